//! The interface for machines: lists them, moves them between pools, takes them down for upkeep.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::platform::answer;
use crate::platform::header_number;
use crate::platform::ledger::Ledger;
use crate::platform::read_json;
use crate::platform::store::Store;
use crate::platform::worker::Birth;
use crate::platform::worker::Downs;
use crate::platform::worker::Shape;
use crate::platform::worker::Worker;

/// How long a machine is away for a move or for upkeep.
const AWAY: Duration = Duration::from_millis(600);

/// By how much the clock of a life is ahead of the one before, where it is not behind, in milliseconds.
const OTHER_CLOCK: u64 = 40_000;

struct Machine {
    shape: Shape,
    worker: Option<Worker>,
    status: &'static str,
    fence: u64,
}

/// Status of a machine whose worker has crashed.
const DOWN: &str = "down";
/// The pool whose machines are switched off.
pub const RESERVE: &str = "spare";

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    upkept: HashMap<u64, HashSet<String>>,
    most_down: usize,
    moves: usize,
    /// Orders that are still to be lost.
    orders_to_lose: usize,
    /// Machines that refuse every order as busy, and how many they have refused.
    busy: HashMap<String, usize>,
    /// Workers start again under the id that they had on their machine in their service.
    keeps_ids: bool,
    /// The last life on each machine in each service.
    last: HashMap<(String, String), Worker>,
}

/// The machines of a site. Clones are the same machines.
#[derive(Clone)]
pub struct Machines {
    /// Where they are managed.
    pub addr: SocketAddr,
    store: Store,
    ledger: Ledger,
    state: Arc<Mutex<State>>,
    downs: Downs,
    _open: Arc<watch::Sender<bool>>,
}

impl Machines {
    /// Starts the interface, without machines.
    pub async fn start(store: &Store, ledger: &Ledger) -> std::io::Result<Machines> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (open, closed) = watch::channel(false);
        let (downs, mut down) = mpsc::unbounded_channel();
        let machines = Machines {
            addr: listener.local_addr()?,
            store: store.clone(),
            ledger: ledger.clone(),
            state: Arc::default(),
            downs,
            _open: Arc::new(open),
        };
        let crashing = machines.clone();
        tokio::spawn(async move {
            while let Some(id) = down.recv().await {
                let machines = crashing.clone();
                tokio::spawn(async move { machines.crash(&id).await });
            }
        });
        let shared = machines.clone();
        tokio::spawn(serve(listener, closed, move |request| {
            let machines = shared.clone();
            async move { machines.answer(request).await }
        }));
        Ok(machines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Adds a machine, with a worker unless it is in the reserve.
    pub async fn add(&self, id: &str, shape: Shape) -> std::io::Result<()> {
        let worker = self.start_worker(id, &shape, Birth::default()).await?;
        let machine = Machine { shape, worker, status: "up", fence: 0 };
        self.state().machines.insert(id.to_owned(), machine);
        Ok(())
    }

    /// The worker on a machine.
    pub fn worker(&self, id: &str) -> Option<Worker> {
        self.state().machines.get(id)?.worker.clone()
    }

    /// All workers.
    pub fn workers(&self) -> Vec<Worker> {
        self.state().machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Machines in a pool.
    pub fn in_pool(&self, pool: &str) -> usize {
        self.state().machines.values().filter(|machine| machine.shape.service == pool).count()
    }

    /// A line for each machine: its pool, its status and its worker.
    pub fn account(&self) -> String {
        let state = self.state();
        let lines = state.machines.iter().map(|(id, machine)| {
            let worker = machine.worker.as_ref().map(|worker| worker.id.as_str());
            let (pool, rack) = (&machine.shape.service, &machine.shape.rack);
            format!("{id} pool={pool} rack={rack} {} {}", machine.status, worker.unwrap_or("-"))
        });
        lines.collect::<Vec<String>>().join("\n")
    }

    /// Machines of a wave whose upkeep has begun, and the most that were down at once.
    pub fn upkept(&self, wave: u64) -> (usize, usize) {
        let state = self.state();
        (state.upkept.get(&wave).map_or(0, HashSet::len), state.most_down)
    }

    /// Crashes a machine's worker; another life begins a moment later. A machine that is away has none, and the one that is
    /// about to begin there would get a second one beside it.
    pub async fn crash(&self, id: &str) {
        if self.worker(id).is_none() {
            return;
        }
        self.take_down(id, DOWN);
        self.bring_up(id.to_owned(), AWAY).await;
    }

    /// Crashes a machine's worker; no other one begins there.
    pub fn lose(&self, id: &str) {
        self.take_down(id, DOWN);
    }

    /// From now on workers start again under the id that they had on their machine in their service, on clocks that
    /// begin below and above those of the lives before, each second time at another address.
    pub fn keep_ids(&self) {
        self.state().keeps_ids = true;
    }

    /// Crashes a machine's worker; another life with its id begins after a pause, in this way.
    pub async fn start_again(&self, id: &str, after: Duration, birth: Birth) {
        let before = {
            let mut state = self.state();
            let machine = state.machines.get_mut(id).expect("there is such a machine");
            machine.status = DOWN;
            machine.worker.take().expect("a worker lives there")
        };
        before.crash_before_another();
        sleep(after).await;
        let birth = Birth { after: Some(before), ..birth };
        self.bring_up_as(id, Some(birth)).await;
    }

    /// The upkeep of a machine for a wave has been done already.
    pub fn note_upkept(&self, wave: u64, id: &str) {
        self.state().upkept.entry(wave).or_default().insert(id.to_owned());
    }

    /// The next orders are neither carried out nor answered.
    pub fn lose_orders(&self, count: usize) {
        self.state().orders_to_lose = count;
    }

    /// A machine refuses every order as busy from now on, as one does that is about to leave.
    pub fn keep_busy(&self, id: &str) {
        self.state().busy.insert(id.to_owned(), 0);
    }

    /// How many orders a machine has refused as busy.
    pub fn refused(&self, id: &str) -> usize {
        self.state().busy.get(id).copied().unwrap_or(0)
    }

    /// Whether an order that has just come is lost.
    fn loses_order(&self) -> bool {
        let mut state = self.state();
        let lost = state.orders_to_lose > 0;
        state.orders_to_lose = state.orders_to_lose.saturating_sub(1);
        lost
    }

    fn take_down(&self, id: &str, status: &'static str) {
        let mut state = self.state();
        let keeps_ids = state.keeps_ids;
        if let Some(machine) = state.machines.get_mut(id) {
            machine.status = status;
            if let Some(worker) = machine.worker.take() {
                match status {
                    DOWN if keeps_ids => worker.crash_before_another(),
                    DOWN => worker.crash(),
                    _ => worker.end(),
                }
            }
        }
        let down = state.machines.values().filter(|machine| machine.status == "upkeep").count();
        state.most_down = state.most_down.max(down);
    }

    async fn bring_up(&self, id: String, after: Duration) {
        sleep(after).await;
        self.bring_up_as(&id, None).await;
    }

    async fn bring_up_as(&self, id: &str, birth: Option<Birth>) {
        let Some(shape) = self.state().machines.get(id).map(|machine| machine.shape.clone()) else {
            return;
        };
        let birth = birth.unwrap_or_else(|| self.birth(id, &shape.service));
        let worker = self.start_worker(id, &shape, birth).await;
        if let (Ok(worker), Some(machine)) = (worker, self.state().machines.get_mut(id)) {
            machine.worker = worker;
            machine.status = "up";
        }
    }

    /// How the next life on a machine in a service begins, if nothing else is said.
    fn birth(&self, id: &str, service: &str) -> Birth {
        let state = self.state();
        let last = state.last.get(&(id.to_owned(), service.to_owned()));
        let Some(last) = last.filter(|_| state.keeps_ids) else { return Birth::default() };
        let clock = last.clock();
        let clock_ms = if clock.is_multiple_of(2) { clock / 2 } else { clock + OTHER_CLOCK };
        let same_address = clock.is_multiple_of(4);
        Birth { after: Some(last.clone()), clock_ms, same_address, ..Birth::default() }
    }

    /// Machines of the reserve are switched off.
    async fn start_worker(
        &self,
        id: &str,
        shape: &Shape,
        birth: Birth,
    ) -> std::io::Result<Option<Worker>> {
        if shape.service == RESERVE {
            return Ok(None);
        }
        let started = Worker::start(&self.store, &self.ledger, id, shape, &self.downs, birth);
        let worker = started.await?;
        let place = (id.to_owned(), shape.service.clone());
        self.state().last.insert(place, worker.clone());
        Ok(Some(worker))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let token = header_number(request.headers(), "x-fencing-token");
        let body = read_json(request.into_body()).await;
        match path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-move" | "/api/machine-upkeep" if self.loses_order() => {
                std::future::pending().await
            }
            "/api/machine-move" | "/api/machine-upkeep" => self.order(&path, token, &body),
            _ => answer(404, &json!({})),
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
                    "zone": "hall-1",
                    "labels": ["a", machine.shape.rack], "id": worker,
                    "capacity": {
                        "cpu": machine.shape.cpu, "memMb": machine.shape.memory, "gpu": 0,
                    },
                })
            })
            .collect();
        answer(200, &json!({ "machines": rows, "nextToken": null }))
    }

    fn order(&self, path: &str, token: u64, body: &Value) -> Response<Body> {
        let id = body["machine"].as_str().unwrap_or_default().to_owned();
        let wave = body["wave"].as_u64();
        let status = {
            let mut state = self.state();
            if let Some(wave) = wave
                && state.upkept.get(&wave).is_some_and(|upkept| upkept.contains(&id))
            {
                return answer(200, &json!({}));
            }
            if let Some(refused) = state.busy.get_mut(&id) {
                *refused += 1;
                return answer(409, &json!({ "reason": "busy" }));
            }
            let Some(machine) = state.machines.get_mut(&id) else { return answer(400, &json!({})) };
            if token < machine.fence {
                return answer(409, &json!({ "reason": "fence" }));
            }
            machine.fence = token;
            if machine.status != "up" {
                return answer(409, &json!({ "reason": "busy" }));
            }
            if path == "/api/machine-move" {
                machine.shape.service = body["pool"].as_str().unwrap_or_default().to_owned();
                state.moves += 1;
                "moving"
            } else {
                state.upkept.entry(wave.unwrap_or(0)).or_default().insert(id.clone());
                "upkeep"
            }
        };
        self.take_down(&id, status);
        let machines = self.clone();
        tokio::spawn(async move { machines.bring_up(id, AWAY).await });
        answer(200, &json!({}))
    }
}
