//! Stand-in for the machines API: lists machines, moves them between pools, and takes them down for
//! maintenance.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::platform::header_number;
use crate::platform::json_response;
use crate::platform::ledger::Ledger;
use crate::platform::read_json;
use crate::platform::store::Store;
use crate::platform::worker::CrashSender;
use crate::platform::worker::Shape;
use crate::platform::worker::StartOptions;
use crate::platform::worker::Worker;
use crate::serve::serve;

/// How long a machine is down for a move or maintenance, or after a crash of its worker.
const DOWNTIME: Duration = Duration::from_millis(600);

/// Clock advance of a new incarnation over its predecessor, in milliseconds, unless its clock
/// starts behind.
const CLOCK_ADVANCE_MS: u64 = 40_000;

struct Machine {
    shape: Shape,
    worker: Option<Worker>,
    status: &'static str,
    fence: u64,
}

/// Status of a machine whose worker has crashed.
const DOWN: &str = "down";
/// The reserve: the pool whose machines are switched off.
pub const RESERVE: &str = "spare";

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    maintained: HashMap<u64, HashSet<String>>,
    max_down: usize,
    moves: usize,
    /// Number of further orders that are neither executed nor answered.
    orders_to_lose: usize,
    /// Machines that refuse every order as busy, with the number of refusals.
    busy_refusals: HashMap<String, usize>,
    /// Whether a new incarnation takes over the id of the last one on its machine in its service.
    reuses_ids: bool,
    /// Rows that the list has beside those of the machines, as JSON texts.
    odd_rows: Vec<String>,
    /// The IP address on which the workers listen; `None` for the default.
    worker_ip: Option<IpAddr>,
    /// The latest incarnation on each machine in each service.
    last_incarnations: HashMap<(String, String), Worker>,
}

/// The machines of a site. Clones share the same machines.
#[derive(Clone)]
pub struct Machines {
    /// The address of the API.
    pub addr: SocketAddr,
    store: Store,
    ledger: Ledger,
    state: Arc<Mutex<State>>,
    crash_sender: CrashSender,
    _shutdown: Arc<watch::Sender<bool>>,
}

impl Machines {
    /// Starts the API without machines.
    pub async fn start(store: &Store, ledger: &Ledger) -> std::io::Result<Machines> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (shutdown, shutdown_rx) = watch::channel(false);
        let (crash_sender, mut crash_receiver) = mpsc::unbounded_channel();
        let machines = Machines {
            addr: listener.local_addr()?,
            store: store.clone(),
            ledger: ledger.clone(),
            state: Arc::default(),
            crash_sender,
            _shutdown: Arc::new(shutdown),
        };
        let crash_machines = machines.clone();
        tokio::spawn(async move {
            while let Some(machine_id) = crash_receiver.recv().await {
                let machines = crash_machines.clone();
                tokio::spawn(async move { machines.crash(&machine_id).await });
            }
        });
        let shared = machines.clone();
        tokio::spawn(serve(listener, shutdown_rx, move |request| {
            let machines = shared.clone();
            async move { machines.handle(request).await }
        }));
        Ok(machines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Sets the IP address on which workers listen that are started from now on.
    pub fn set_worker_ip(&self, ip: IpAddr) {
        self.state().worker_ip = Some(ip);
    }

    /// Adds a machine, with a worker unless it is in the reserve.
    pub async fn add(&self, id: &str, shape: Shape) -> std::io::Result<()> {
        let worker = self.start_worker(id, &shape, StartOptions::default()).await?;
        let machine = Machine { shape, worker, status: "up", fence: 0 };
        self.state().machines.insert(id.to_owned(), machine);
        Ok(())
    }

    /// The worker on a machine, if there is one.
    pub fn worker(&self, id: &str) -> Option<Worker> {
        self.state().machines.get(id)?.worker.clone()
    }

    /// All workers.
    pub fn workers(&self) -> Vec<Worker> {
        self.state().machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Sets rows that the list has beside those of the machines, as JSON texts.
    pub fn set_odd_rows(&self, rows: &[String]) {
        self.state().odd_rows = rows.to_vec();
    }

    /// Number of machines in a pool.
    pub fn count_in_pool(&self, pool: &str) -> usize {
        self.state().machines.values().filter(|machine| machine.shape.service == pool).count()
    }

    /// The pool that a machine is in, or moves to.
    pub fn pool_of(&self, id: &str) -> Option<String> {
        Some(self.state().machines.get(id)?.shape.service.clone())
    }

    /// A line for each machine: its pool, its status and its worker.
    pub fn describe(&self) -> String {
        let state = self.state();
        let lines = state.machines.iter().map(|(id, machine)| {
            let worker = machine.worker.as_ref().map(|worker| worker.id.as_str());
            let (pool, rack) = (&machine.shape.service, &machine.shape.rack);
            format!("{id} pool={pool} rack={rack} {} {}", machine.status, worker.unwrap_or("-"))
        });
        lines.collect::<Vec<String>>().join("\n")
    }

    /// The number of machines whose maintenance for a wave has started, and the highest number of
    /// machines that were down at once.
    pub fn maintenance_counts(&self, wave: u64) -> (usize, usize) {
        let state = self.state();
        (state.maintained.get(&wave).map_or(0, HashSet::len), state.max_down)
    }

    /// Crashes a machine's worker; another incarnation starts after `DOWNTIME`. Without effect
    /// if the machine has no worker, since an incarnation may be about to start there already.
    pub async fn crash(&self, id: &str) {
        if self.worker(id).is_none() {
            return;
        }
        self.take_down(id, DOWN);
        self.bring_up(id.to_owned(), DOWNTIME).await;
    }

    /// Crashes a machine's worker; no other one starts there.
    pub fn crash_for_good(&self, id: &str) {
        self.take_down(id, DOWN);
    }

    /// From now on a worker keeps the id that it had on its machine in its service. The clocks of
    /// new incarnations start below or above that of their predecessor, and every second one has
    /// another address.
    pub fn reuse_ids(&self) {
        self.state().reuses_ids = true;
    }

    /// Crashes a machine's worker; another incarnation with its id starts after a pause, with these
    /// options.
    pub async fn restart(&self, id: &str, after: Duration, options: StartOptions) {
        let predecessor = {
            let mut state = self.state();
            let machine = state.machines.get_mut(id).expect("the machine exists");
            machine.status = DOWN;
            machine.worker.take().expect("the machine has a worker")
        };
        predecessor.crash_before_successor();
        sleep(after).await;
        let options = StartOptions { predecessor: Some(predecessor), ..options };
        self.bring_up_with(id, Some(options)).await;
    }

    /// Records that the maintenance of a machine for a wave has been done.
    pub fn record_maintained(&self, wave: u64, id: &str) {
        self.state().maintained.entry(wave).or_default().insert(id.to_owned());
    }

    /// Drops the next `count` orders: they are neither executed nor answered.
    pub fn lose_orders(&self, count: usize) {
        self.state().orders_to_lose = count;
    }

    /// Makes a machine refuse every order as busy, like a machine that is about to leave.
    pub fn refuse_as_busy(&self, id: &str) {
        self.state().busy_refusals.insert(id.to_owned(), 0);
    }

    /// Number of orders that a machine has refused as busy.
    pub fn refused_orders(&self, id: &str) -> usize {
        self.state().busy_refusals.get(id).copied().unwrap_or(0)
    }

    /// Whether the order that has just arrived is to be dropped; counts it if so.
    fn take_order_to_lose(&self) -> bool {
        let mut state = self.state();
        let is_lost = state.orders_to_lose > 0;
        state.orders_to_lose = state.orders_to_lose.saturating_sub(1);
        is_lost
    }

    fn take_down(&self, id: &str, status: &'static str) {
        let mut state = self.state();
        let reuses_ids = state.reuses_ids;
        if let Some(machine) = state.machines.get_mut(id) {
            machine.status = status;
            if let Some(worker) = machine.worker.take() {
                match status {
                    DOWN if reuses_ids => worker.crash_before_successor(),
                    DOWN => worker.crash(),
                    _ => worker.terminate(),
                }
            }
        }
        let down_count =
            state.machines.values().filter(|machine| machine.status == "upkeep").count();
        state.max_down = state.max_down.max(down_count);
    }

    async fn bring_up(&self, id: String, after: Duration) {
        sleep(after).await;
        self.bring_up_with(&id, None).await;
    }

    async fn bring_up_with(&self, id: &str, options: Option<StartOptions>) {
        let Some(shape) = self.state().machines.get(id).map(|machine| machine.shape.clone()) else {
            return;
        };
        let options = options.unwrap_or_else(|| self.next_start_options(id, &shape.service));
        let worker = self.start_worker(id, &shape, options).await;
        if let (Ok(worker), Some(machine)) = (worker, self.state().machines.get_mut(id)) {
            machine.worker = worker;
            machine.status = "up";
        }
    }

    /// The options with which the next incarnation on a machine in a service starts by default.
    fn next_start_options(&self, id: &str, service: &str) -> StartOptions {
        let state = self.state();
        let last = state.last_incarnations.get(&(id.to_owned(), service.to_owned()));
        let Some(last) = last.filter(|_| state.reuses_ids) else { return StartOptions::default() };
        let clock = last.clock_ms();
        let clock_ms = if clock.is_multiple_of(2) { clock / 2 } else { clock + CLOCK_ADVANCE_MS };
        let same_address = clock.is_multiple_of(4);
        StartOptions {
            predecessor: Some(last.clone()),
            clock_ms,
            reuses_address: same_address,
            ..StartOptions::default()
        }
    }

    /// Starts a worker on a machine; `None` in the reserve, whose machines are switched off.
    async fn start_worker(
        &self,
        id: &str,
        shape: &Shape,
        options: StartOptions,
    ) -> std::io::Result<Option<Worker>> {
        if shape.service == RESERVE {
            return Ok(None);
        }
        let ip = self.state().worker_ip.unwrap_or(options.ip);
        let options = StartOptions { ip, ..options };
        let started =
            Worker::start(&self.store, &self.ledger, id, shape, &self.crash_sender, options);
        let worker = started.await?;
        let key = (id.to_owned(), shape.service.clone());
        self.state().last_incarnations.insert(key, worker.clone());
        Ok(Some(worker))
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let token = header_number(request.headers(), "x-fencing-token");
        let body = read_json(request.into_body()).await;
        match path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-move" | "/api/machine-upkeep" if self.take_order_to_lose() => {
                std::future::pending().await
            }
            "/api/machine-move" | "/api/machine-upkeep" => self.handle_order(&path, token, &body),
            _ => json_response(404, &json!({})),
        }
    }

    fn list(&self) -> Response<Body> {
        let state = self.state();
        let rows: Vec<Value> = state
            .machines
            .iter()
            .map(|(id, machine)| {
                let worker = machine.worker.as_ref();
                let worker = worker.map(|worker| worker.id.clone()).unwrap_or_default();
                json!({
                    "machine": id, "pool": machine.shape.service, "state": machine.status,
                    "zone": machine.shape.hall,
                    "labels": ["a", machine.shape.rack], "id": worker,
                    "capacity": {
                        "cpu": machine.shape.cpu, "memMb": machine.shape.memory_mb, "gpu": 0,
                    },
                })
            })
            .collect();
        // Odd rows are not values of the JSON library, which cannot hold all of them.
        let rows = rows.iter().map(Value::to_string).chain(state.odd_rows.iter().cloned());
        let rows: Vec<String> = rows.collect();
        Response::new(full(format!("{{\"machines\":[{}],\"nextToken\":null}}", rows.join(","))))
    }

    fn handle_order(&self, path: &str, token: u64, body: &Value) -> Response<Body> {
        let id = body["machine"].as_str().unwrap_or_default().to_owned();
        let wave = body["wave"].as_u64();
        let status = {
            let mut state = self.state();
            if let Some(wave) = wave
                && state.maintained.get(&wave).is_some_and(|maintained| maintained.contains(&id))
            {
                return json_response(200, &json!({}));
            }
            if let Some(refused) = state.busy_refusals.get_mut(&id) {
                *refused += 1;
                return json_response(409, &json!({ "reason": "busy" }));
            }
            let Some(machine) = state.machines.get_mut(&id) else {
                return json_response(400, &json!({}));
            };
            if token < machine.fence {
                return json_response(409, &json!({ "reason": "fence" }));
            }
            machine.fence = token;
            if machine.status != "up" {
                return json_response(409, &json!({ "reason": "busy" }));
            }
            if path == "/api/machine-move" {
                machine.shape.service = body["pool"].as_str().unwrap_or_default().to_owned();
                state.moves += 1;
                "moving"
            } else {
                state.maintained.entry(wave.unwrap_or(0)).or_default().insert(id.clone());
                "upkeep"
            }
        };
        self.take_down(&id, status);
        let machines = self.clone();
        tokio::spawn(async move { machines.bring_up(id, DOWNTIME).await });
        json_response(200, &json!({}))
    }
}
