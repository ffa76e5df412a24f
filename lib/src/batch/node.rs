//! A node on the platform: the state that its tasks share, and how it starts and stops.

mod answer;
mod config;
mod halls;
mod job_memory;
mod leadership;
mod operator_api;
mod outlook;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use spokelift_platform::call::CallError;
use spokelift_platform::ingress::READINESS_PATH;
use spokelift_platform::machine::Machines;
use spokelift_platform::settings::Settings;
use spokelift_platform::store::Store;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::WorkerClient;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::availability::Availability;
use crate::batch::availability::count_connections;
use crate::batch::cancel_queue;
use crate::batch::client_api;
use crate::batch::commit;
use crate::batch::costs;
use crate::batch::directory;
use crate::batch::directory::Directory;
use crate::batch::dispatch::Context;
use crate::batch::dispatch::calls::MAX_IDLE_CONNECTIONS;
use crate::batch::dispatch::remote::RemoteDispatch;
use crate::batch::evacuated_halls::EvacuatedHalls;
use crate::batch::gossip;
use crate::batch::gossip::Gossip;
use crate::batch::job_memory::Credit;
use crate::batch::leader;
use crate::batch::leader::claim::Claims;
use crate::batch::leader::lease::KnownLease;
use crate::batch::node::config::InForce;
use crate::batch::node::operator_api::MAX_VIEWS;
use crate::batch::node::operator_api::handle_operator;
use crate::batch::operator;
use crate::batch::outlook::known::Known;
use crate::batch::peer::Peers;
use crate::batch::relay::Route;
use crate::batch::scheduler::Scheduler;
use crate::batch::submit;
use crate::batch::watch::Turns;
use crate::latency::Latencies;
use crate::listen::StartError;
use crate::listen::admission;
use crate::listen::listen;
use crate::metrics::Counters;
use crate::settings::NodeSettings;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::Dialer;
use crate::transport::dial::full;
use crate::transport::serve::Incoming;
use crate::transport::serve::serve;

/// Time between checks whether this node was suspended.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for opening a connection; halls are about 1 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a node keeps serving after SIGTERM. The platform probes readiness once a second and
/// stops sending new connections after two failed probes.
const STOP_DELAY: Duration = Duration::from_millis(2_600);

/// The state that the tasks of a node share.
pub struct Node {
    /// The settings that the platform gives.
    pub settings: Settings,
    /// This program's own settings.
    pub options: NodeSettings,
    /// Random number drawn each time the node starts.
    pub incarnation: u64,
    /// The platform's store.
    pub store: Store,
    /// State of this node's direct route to the store.
    pub store_route: Route,
    /// Jobs that wait to be written to the store.
    pub commit_queue: commit::Queue,
    /// Cancels that wait to be written to the store.
    pub cancel_queue: cancel_queue::Queue,
    /// Client of the workers.
    pub workers: WorkerClient,
    /// Client of the platform's interface for machines, if there is one.
    pub machines: Option<Machines>,
    /// Whether that interface answers.
    pub machines_availability: Availability,
    /// Connections to the platform.
    pub dialer: Dialer,
    /// Connections to the other nodes.
    pub peers: Peers,
    /// Addresses of the other nodes.
    pub directory: Directory,
    /// Dispatches to workers for a scheduler on another node.
    pub remote_dispatch: RemoteDispatch,
    /// Exchange of configuration versions with other nodes.
    pub gossip: Gossip,
    /// This node's promises not to claim the leader lease, and its claims.
    pub claims: Claims,
    /// This node's turns to watch the topic of the leader lease.
    pub lease_turns: Turns,
    /// This node's turns to watch the operator's topic.
    pub operator_turns: Turns,
    /// This node's turns to read the directory.
    pub directory_turns: Turns,
    /// Permits to ask the leader for a view.
    view_permits: Semaphore,
    /// Counters.
    pub counters: Counters,
    /// Latencies of answers to clients, waits of tasks and writes of jobs.
    pub latencies: Latencies,
    config: Mutex<Option<InForce>>,
    waves: Mutex<BTreeMap<u64, Wave>>,
    evacuated_halls: Mutex<EvacuatedHalls>,
    known_lease: Mutex<KnownLease>,
    outlook: Mutex<Known>,
    /// What this node may accept of jobs by the leader's last grant of memory.
    job_credit: Mutex<Credit>,
    scheduler: Mutex<Option<Arc<Scheduler>>>,
    stopping: watch::Sender<bool>,
}

impl Node {
    /// A node that has no configuration and knows no leader and no other nodes yet.
    pub fn new(settings: Settings, options: NodeSettings, counters: Counters) -> Arc<Node> {
        let handler = count_connections(&settings, counters.clone());
        let dialer = Dialer::new(CONNECT_TIMEOUT)
            .with_event_handler(handler)
            .with_exchange_handler(costs::count_exchanges(counters.clone()));
        Arc::new(Node {
            store: Store::new(settings.store, dialer.clone()),
            workers: WorkerClient::new(dialer.clone().with_max_idle(MAX_IDLE_CONNECTIONS)),
            machines: settings.machines.map(|addr| Machines::new(addr, dialer.clone())),
            machines_availability: Availability::default(),
            store_route: Route::default(),
            commit_queue: commit::Queue::default(),
            cancel_queue: cancel_queue::Queue::default(),
            dialer,
            options,
            incarnation: rand::random(),
            peers: Peers::new(counters.clone()),
            directory: Directory::default(),
            remote_dispatch: RemoteDispatch::default(),
            gossip: Gossip::default(),
            claims: Claims::default(),
            lease_turns: Turns::default(),
            operator_turns: Turns::default(),
            directory_turns: Turns::default(),
            view_permits: Semaphore::new(MAX_VIEWS),
            counters,
            latencies: Latencies::default(),
            config: Mutex::default(),
            waves: Mutex::default(),
            evacuated_halls: Mutex::default(),
            known_lease: Mutex::default(),
            outlook: Mutex::default(),
            job_credit: Mutex::default(),
            scheduler: Mutex::default(),
            stopping: watch::Sender::new(false),
            settings,
        })
    }

    /// The clients and counters that a dispatcher needs.
    pub fn dispatch_context(&self) -> Context {
        Context { workers: self.workers.clone(), counters: self.counters.clone() }
    }

    /// The maintenance waves that operators have requested.
    pub fn waves(&self) -> Vec<Wave> {
        self.waves
            .lock()
            .expect("no thread panics while it holds the waves lock")
            .values()
            .cloned()
            .collect()
    }

    /// Adds a maintenance wave; a wave with a known number changes nothing.
    pub fn add_wave(&self, wave: Wave) {
        let mut waves = self.waves.lock().expect("no thread panics while it holds the waves lock");
        waves.entry(wave.number).or_insert_with(|| {
            log::info!(
                wave = wave.number,
                machines = wave.machines.len(),
                max_down = wave.max_down,
                duration_s = wave.duration.as_secs();
                "maintenance wave requested"
            );
            wave
        });
    }

    /// The scheduler, while this node is the leader and has read the store.
    pub fn scheduler(&self) -> Option<Arc<Scheduler>> {
        self.scheduler.lock().expect("no thread panics while it holds the scheduler lock").clone()
    }

    /// Sets the scheduler.
    pub fn set_scheduler(&self, scheduler: Option<Arc<Scheduler>>) {
        *self.scheduler.lock().expect("no thread panics while it holds the scheduler lock") =
            scheduler;
    }

    /// Whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Sleeps for `time`, or until the node is stopping.
    pub async fn sleep_until_stopping(&self, time: Duration) {
        let mut stopping = self.stopping.subscribe();
        // The timeout and the stop both end the sleep.
        let _ = timeout(time, stopping.wait_for(|stopping| *stopping)).await;
    }

    /// Records the result of a call to the interface for machines.
    pub fn record_machines_result<T>(&self, result: &Result<T, CallError>) {
        self.machines_availability.record_result("machines", &self.counters, result);
    }
}

/// Runs a node until `stop` turns true and the requests in flight have ended.
///
/// # Errors
///
/// [`StartError`] if it cannot register its metrics or listen.
pub async fn run(
    settings: Settings,
    options: NodeSettings,
    mut stop: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let counters = Counters::new(None).map_err(StartError::Metrics)?;
    let peer_addr = settings.peer_addr();
    let metrics_addr = SocketAddr::new(settings.ip, settings.metrics_port);
    let clients = listen("clients", settings.client_addr).await?;
    let readiness = listen("readiness", settings.readiness_addr).await?;
    let metrics = listen("metrics", metrics_addr).await?;
    let peers = listen("peers", peer_addr).await?;
    log::info!(node = settings.node.as_str(), hall = settings.hall.as_str(); "node starts");
    let node = Node::new(settings, options, counters);
    let (memory, max_descriptors) = (node.settings.memory, node.settings.max_descriptors);
    let admission = admission(memory, max_descriptors, &node.counters);
    let tasks = [
        tokio::spawn(node.clone().serve_peers(peers, admission.clone())),
        tokio::spawn(operator::run(node.clone())),
        tokio::spawn(gossip::run(node.clone())),
        tokio::spawn(leader::run(node.clone())),
        tokio::spawn(directory::run(node.clone())),
        tokio::spawn(commit::run(node.clone())),
        tokio::spawn(submit::write_cancels(node.clone())),
        tokio::spawn(costs::run(node.counters.clone())),
        tokio::spawn(watch_suspension(node.clone())),
    ];
    let (close, closed) = watch::channel(false);
    let this = node.clone();
    let clients = serve(clients, admission.clone(), closed.clone(), move |request| {
        client_api::handle(this.clone(), request)
    });
    let this = node.clone();
    let probes = serve(readiness, admission.clone(), closed.clone(), move |request| {
        answer_readiness(this.clone(), request)
    });
    let this = node.clone();
    let views =
        serve(metrics, admission, closed, move |request| handle_operator(this.clone(), request));
    let stopping = async {
        // A dropped sender is a stop as well.
        let _ = stop.wait_for(|stop| *stop).await;
        log::info!("node is stopping; readiness probes fail from now on");
        node.stopping.send_replace(true);
        node.remote_dispatch.stop();
        sleep(STOP_DELAY).await;
        close.send_replace(true);
    };
    tokio::join!(clients, probes, views, stopping);
    for task in tasks {
        task.abort();
    }
    log::info!("node stopped");
    Ok(())
}

/// Logs and counts suspensions of this node. Timeouts need nothing more, since [`clock::now`]
/// includes the time of a suspension.
async fn watch_suspension(node: Arc<Node>) {
    let mut known = clock::suspended_time();
    loop {
        sleep(SUSPENSION_CHECK_INTERVAL).await;
        let suspended = clock::suspended_time();
        if suspended > known {
            let away_ms = (suspended - known).as_millis() as u64;
            log::warn!(away_ms; "this node was suspended");
            node.counters.count("node.suspended");
            known = suspended;
        }
    }
}

/// Answers the platform's readiness probe: whether clients may be sent to this node.
async fn answer_readiness(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let is_probe = request.uri().path() == READINESS_PATH;
    let is_ready = is_probe && node.config().is_some() && !node.is_stopping();
    let response = Response::builder().status(if is_ready { 200 } else { 503 });
    response.body(full("")).expect("the status is valid")
}
