//! A site: the stand-ins for the platform around real daemons.

pub mod config;
pub mod node;

use std::io;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::view;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Record;
use spokelift_platform::store::STATUS_TOPIC;
use tokio::time::sleep;

use crate::platform::advice::Advice;
use crate::platform::ledger::Ledger;
use crate::platform::machines::Machines;
use crate::platform::machines::RESERVE;
use crate::platform::network::Cut;
use crate::platform::network::Network;
use crate::platform::site::config::Account;
use crate::platform::site::config::HOST;
use crate::platform::site::config::config;
use crate::platform::site::config::config_with_accounts;
use crate::platform::site::node::Node;
use crate::platform::site::node::NodeOptions;
use crate::platform::store;
use crate::platform::store::Store;
use crate::platform::worker;
use crate::platform::worker::Shape;
use crate::proxy;
use crate::proxy::Flow;
use crate::proxy::Proxy;

/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest view that is read, in bytes.
const MAX_VIEW_BYTES: usize = 1 << 20;
/// Pause between checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The `cpuShare` setting of a node by default: the fraction of a core that it may use.
const CPU_SHARE: f64 = 0.25;
/// Default minimum time between the order windows of two schedulers.
const HANDOVER_GAP: Duration = Duration::from_secs(1);

/// A site.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The machines.
    pub machines: Machines,
    /// The proxy between the daemons and the machines API.
    pub machines_proxy: Proxy,
    /// What the workers observed.
    pub ledger: Ledger,
    /// The daemons.
    pub nodes: Vec<Node>,
    /// The links of the daemons; `None` if they reach workers and each other directly.
    network: Option<Network>,
    dialer: Dialer,
    _advice: Advice,
}

/// The limits of the machine that a daemon runs on, as its settings state them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory of a process, in megabytes.
    pub memory_mb: u64,
    /// Open descriptors of a process.
    pub max_descriptors: usize,
}

impl Default for Machine {
    fn default() -> Machine {
        Machine { memory_mb: 260, max_descriptors: 4_100 }
    }
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The `cpuShare` setting of each daemon: the fraction of a core that it may use.
    pub cpu_shares: Vec<f64>,
    /// Number of machines in pool `work`.
    pub workers: usize,
    /// Number of machines in pool `spare`.
    pub reserve: usize,
    /// Minimum time between the order windows of two schedulers.
    pub handover_gap: Duration,
    /// Number of workers in each shard; `None` for the daemon's default. If there are more workers,
    /// other nodes than the leader dispatch to them.
    pub workers_per_shard: Option<usize>,
    /// Whether the daemons reach workers and each other by links of a [`Network`].
    pub has_links: bool,
    /// Number of daemons, the last ones, that are not started.
    pub stopped_nodes: usize,
    /// The `memoryMb` and `maxFds` settings of each daemon.
    pub machine: Machine,
}

impl Options {
    /// A site of `nodes` daemons and `workers` machines, without a reserve or links.
    pub fn new(nodes: usize, workers: usize) -> Options {
        Options {
            cpu_shares: vec![CPU_SHARE; nodes],
            workers,
            reserve: 0,
            handover_gap: HANDOVER_GAP,
            workers_per_shard: None,
            has_links: false,
            stopped_nodes: 0,
            machine: Machine::default(),
        }
    }
}

/// The data halls of a site.
pub const HALLS: [&str; 2] = ["hall-1", "hall-2"];

/// Starts the links of daemons, and has the workers listen where the links lead.
fn start_network(nodes: &[Node], machines: &Machines) -> io::Result<Network> {
    let addrs: Vec<_> = nodes.iter().map(|node| node.peer_addr).collect();
    let network = Network::start(&addrs)?;
    machines.set_worker_ip(network.worker_ip());
    for (number, node) in nodes.iter().enumerate() {
        node.store_endpoint.set_network(&network, number);
    }
    Ok(network)
}

/// The data hall of a machine: the racks, of two machines each, stand in the halls in turn.
pub fn hall_of(machine: usize) -> &'static str {
    HALLS[machine / 2 % HALLS.len()]
}

/// The key that an account has in every version of the configuration.
pub fn account_key(account: &str) -> String {
    format!("key-of-{account}")
}

impl Site {
    /// Starts `nodes` daemons of `program`, with `workers` machines in pool `work` and `reserve` in
    /// pool `spare`, and waits until each of them answers clients, since a daemon that does not
    /// listen yet refuses connections.
    pub async fn start(
        program: &str,
        nodes: usize,
        workers: usize,
        reserve: usize,
    ) -> io::Result<Site> {
        let options = Options { reserve, ..Options::new(nodes, workers) };
        Site::start_with(program, options).await
    }

    /// Starts a site as [`Site::start`] does.
    pub async fn start_with(program: &str, options: Options) -> io::Result<Site> {
        let (store, ledger) = (Store::default(), Ledger::default());
        let machines = Machines::start(&store, &ledger).await?;
        let machines_proxy = Proxy::start(machines.addr).await?;
        let advice = Advice::start(&machines).await?;
        let mut nodes = Vec::new();
        for (number, cpu_share) in options.cpu_shares.iter().copied().enumerate() {
            let node = NodeOptions {
                number,
                cpu_share,
                machine: options.machine,
                handover_gap: options.handover_gap,
                workers_per_shard: options.workers_per_shard,
                machines: machines_proxy.addr,
                advice: advice.addr,
            };
            nodes.push(Node::prepare(program, &store, &node).await?);
        }
        let network =
            if options.has_links { Some(start_network(&nodes, &machines)?) } else { None };
        for number in 0..options.workers + options.reserve {
            let service = if number < options.workers { "work" } else { RESERVE };
            let rack = format!("r1-{}", number / 2);
            let shape = Shape::of_work(hall_of(number), &rack);
            let shape = Shape { service: service.to_owned(), ..shape };
            machines.add(&format!("m-{number}"), shape).await?;
        }
        store.put(OPERATOR_TOPIC, Record::set("config", config().to_string()));
        let (dialer, _advice) = (Dialer::new(ANSWER_TIMEOUT), advice);
        let site =
            Site { store, machines, machines_proxy, ledger, nodes, network, dialer, _advice };
        let started = 0..site.nodes.len() - options.stopped_nodes;
        site.nodes[started.clone()].iter().try_for_each(Node::start)?;
        for number in started {
            site.wait_until("each daemon answers", async |site| {
                site.pending_jobs(number).await.is_some()
            })
            .await;
        }
        Ok(site)
    }

    /// The links of the daemons.
    ///
    /// # Panics
    ///
    /// If the site was started without links.
    pub fn network(&self) -> &Network {
        self.network.as_ref().expect("the site was started with links")
    }

    /// Cuts the paths of some daemons to the store and to all others, as they see them.
    pub fn isolate_nodes(&self, nodes: &[usize], cut: Cut) {
        let flow = |is_held| if is_held { Flow::Hold } else { Flow::Pass };
        let (request, answer) = (flow(cut.holds_outbound()), flow(cut.holds_inbound()));
        let fault = proxy::Fault { request, answer, ..proxy::Fault::default() };
        for node in nodes {
            self.nodes[*node].store_proxy.set_fault(fault);
            for other in (0..self.nodes.len()).filter(|other| !nodes.contains(other)) {
                self.network().cut_nodes(*node, other, cut);
            }
        }
    }

    /// Evacuates a data hall.
    pub fn evacuate_hall(&self, hall: &str) {
        self.store.put(OPERATOR_TOPIC, Record::set(format!("evacuate/{hall}"), "{}"));
        self.ledger.evacuate_hall(hall);
    }

    /// Writes a record to the operator's topic.
    pub fn put_operator_record(&self, key: &str, value: &str) {
        self.store.put(OPERATOR_TOPIC, Record::set(key, value));
    }

    /// Takes a data hall back.
    pub fn take_back_hall(&self, hall: &str) {
        self.ledger.take_back_hall(hall);
        self.store.put(OPERATOR_TOPIC, Record::tombstone(format!("evacuate/{hall}")));
    }

    /// Sets the fault of the store for all daemons.
    pub fn set_store_fault(&self, fault: store::Fault) {
        self.nodes.iter().for_each(|node| node.store_endpoint.set_fault(fault));
    }

    /// Ends every fault, takes back all halls, and starts the daemons that do not run.
    pub fn end_faults(&self) -> io::Result<()> {
        HALLS.iter().for_each(|hall| self.take_back_hall(hall));
        self.network.iter().for_each(Network::restore);
        for node in &self.nodes {
            node.store_endpoint.set_fault(store::Fault::None);
            node.store_proxy.set_fault(proxy::Fault::default());
            node.client_proxy.set_fault(proxy::Fault::default());
            node.signal(Signal::SIGCONT)?;
            if !node.is_running() {
                node.start()?;
            }
        }
        for worker in self.machines.workers() {
            worker.set_fault(worker::Fault::None);
        }
        Ok(())
    }

    /// Publishes a configuration with these accounts.
    pub fn publish_config(&self, version: u64, accounts: &[Account]) {
        let config = config_with_accounts(version, accounts).to_string();
        self.store.put(OPERATOR_TOPIC, Record::set("config", config));
    }

    /// Calls a node about the job that the path ends in, with the key of the job's account, or
    /// without a key if it has none; status 0 if there is no answer.
    async fn call(&self, node: usize, method: Method, path: &str, body: Value) -> (u16, Value) {
        let job = path.rsplit('/').next().unwrap_or_default();
        match self.ledger.owner(job) {
            Some(account) => self.call_as(&account_key(&account), node, method, path, body).await,
            None => self.call_with(&[], node, method, path, body).await,
        }
    }

    /// Calls a node with these headers; status 0 if there is no answer.
    pub async fn call_with(
        &self,
        headers: &[(&str, &[u8])],
        node: usize,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let addr = self.nodes[node].client_proxy.addr;
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let mut request = Request::builder().method(method).uri(path).header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(full(body)).expect("the tests make valid requests");
        match self.dialer.exchange(addr, request, 65_536, ANSWER_TIMEOUT).await {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, serde_json::from_slice(response.body()).unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// The metrics of a node; `None` if there is no answer.
    pub async fn metrics(&self, node: usize) -> Option<String> {
        let addr = self.nodes[node].operator_addr;
        let request = Request::builder().uri("/metrics").header("host", HOST).body(full(""));
        let request = request.expect("the tests make valid requests");
        let response = self.dialer.exchange(addr, request, 65_536, ANSWER_TIMEOUT).await.ok()?;
        String::from_utf8(response.body().to_vec()).ok()
    }

    /// The operator's view under a path, from any running node; `None` if none answers with 200.
    pub async fn operator_view(&self, path: &str) -> Option<String> {
        for (number, _) in self.nodes.iter().enumerate().filter(|(_, node)| node.is_running()) {
            if let Some(view) = self.view_of(number, path).await {
                return Some(view);
            }
        }
        None
    }

    /// The operator's view under a path from a node; `None` if it does not answer with 200.
    pub async fn view_of(&self, node: usize, path: &str) -> Option<String> {
        let addr = self.nodes[node].operator_addr;
        let uri = format!("{}{path}", view::PATH);
        let request = Request::builder().uri(uri).header("host", HOST).body(full(""));
        let request = request.expect("the tests make valid requests");
        let answer =
            self.dialer.exchange(addr, request, MAX_VIEW_BYTES, ANSWER_TIMEOUT).await.ok()?;
        let body = (answer.status() == 200).then(|| answer.body().to_vec())?;
        String::from_utf8(body).ok()
    }

    /// Submits a job to queue `q`; returns the status, or 0 if there is no answer.
    pub async fn submit(&self, node: usize, id: &str, job: Value) -> u16 {
        self.submit_to("q", node, id, job).await
    }

    /// Submits a job to a queue; returns the status, or 0 if there is no answer.
    pub async fn submit_to(&self, queue: &str, node: usize, id: &str, job: Value) -> u16 {
        self.call(node, Method::POST, &format!("/{queue}/{id}"), job).await.0
    }

    /// Calls a node with a key; status 0 if there is no answer.
    pub async fn call_as(
        &self,
        key: &str,
        node: usize,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        let bearer = format!("Bearer {key}");
        self.call_with(&[("authorization", bearer.as_bytes())], node, method, path, body).await
    }

    /// Submits a job to one node after another until it is accepted.
    pub async fn submit_until_accepted(&self, id: &str, job: Value) {
        for attempt in 0..200 {
            if self.submit(attempt % self.nodes.len(), id, job.clone()).await == 200 {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
        panic!("no daemon accepts {id}");
    }

    /// A job's state, or the status of the answer.
    pub async fn job_state(&self, node: usize, id: &str) -> Result<String, u16> {
        let (status, body) = self.call(node, Method::GET, &format!("/q/{id}"), Value::Null).await;
        match body["state"].as_str() {
            Some(state) if status == 200 => Ok(state.to_owned()),
            _ => Err(status),
        }
    }

    /// Cancels a job; returns the status, or 0 if there is no answer.
    pub async fn cancel(&self, node: usize, id: &str) -> u16 {
        self.call(node, Method::DELETE, &format!("/q/{id}"), Value::Null).await.0
    }

    /// Number of pending jobs in queue `q`; `None` if the node does not answer.
    pub async fn pending_jobs(&self, node: usize) -> Option<u64> {
        let (status, body) = self.call(node, Method::GET, "/q/", Value::Null).await;
        if status == 200 { body["pending"].as_u64() } else { None }
    }

    /// Requests a maintenance wave of at most `max_down` machines at once.
    pub fn request_wave(&self, number: u64, machines: &[String], max_down: usize) {
        let wave =
            json!({ "wave": number, "machines": machines, "durationS": 20, "maximum": max_down });
        self.store.put(OPERATOR_TOPIC, Record::set(format!("wave/{number}"), wave.to_string()));
    }

    /// Whether the store has a status of a wave.
    pub fn has_wave_status(&self, number: u64) -> bool {
        self.store.get(STATUS_TOPIC, &format!("wave/{number}")).is_some()
    }

    /// Whether the status of a wave in the store says that it succeeded.
    pub fn has_wave_succeeded(&self, number: u64) -> bool {
        let status = self.store.get(STATUS_TOPIC, &format!("wave/{number}"));
        status.is_some_and(|status| status.ends_with(b"\"succeeded\"}"))
    }

    /// The index of the leader according to the leader lease in the store.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.get("keyed.lead", "lead")?;
        let lease: spokelift_lib::batch::leader::lease::LeaderLease =
            postcard::from_bytes(&record).ok()?;
        lease.node.strip_prefix("node-")?.parse().ok()
    }

    /// Saves the logs of all daemons and the current operator views, including those of `jobs`, in
    /// a folder.
    pub async fn save_diagnostics(&self, folder: &Path, jobs: &[String]) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for node in &self.nodes {
            node.copy_log(folder)?;
        }
        let jobs = jobs.iter().map(|job| format!("jobs/{job}"));
        let views = ["workers", "services", "waves", "queues", "shares"].map(str::to_owned);
        for view in views.into_iter().chain(jobs) {
            let content = self.operator_view(&view).await.unwrap_or_default();
            std::fs::write(folder.join(format!("{}.json", view.replace('/', "-"))), content)?;
        }
        Ok(())
    }

    /// Waits until `condition` returns true.
    ///
    /// # Panics
    ///
    /// If it does not within a minute.
    pub async fn wait_until(&self, what: &str, condition: impl AsyncFn(&Site) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(60);
        while Instant::now() < deadline {
            if condition(self).await {
                return;
            }
            sleep(CHECK_INTERVAL).await;
        }
        panic!("not within a minute: {what}\n{}", self.diagnostics());
    }

    /// The state of the machines and the last log lines of the daemons, for the message of a failed
    /// check.
    pub fn diagnostics(&self) -> String {
        let nodes: Vec<String> = self.nodes.iter().map(Node::diagnostics).collect();
        format!("{}\n{}", self.machines.describe(), nodes.join("\n"))
    }

    /// Checks that the ledger has seen no violation of a guarantee.
    ///
    /// # Panics
    ///
    /// If it has.
    #[track_caller]
    pub fn assert_no_violations(&self) {
        assert_eq!(self.ledger.violations(), Vec::<String>::new());
    }

    /// Waits until any node shows a job as succeeded.
    pub async fn wait_until_succeeded(&self, id: &str) {
        let succeeded = async |site: &Site| {
            for node in 0..site.nodes.len() {
                if site.job_state(node, id).await.is_ok_and(|state| state == "succeeded") {
                    return true;
                }
            }
            false
        };
        self.wait_until(&format!("{id} succeeds"), succeeded).await;
    }
}
