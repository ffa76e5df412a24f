//! Stand-in for a worker: runs tasks under a lease, reports running tasks and ends when polled, and
//! publishes its entry in the store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::Incoming;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::advice::ticket;
use crate::platform::json_response;
use crate::platform::ledger::Ledger;
use crate::platform::read_json;
use crate::platform::store::Store;
use crate::serve::serve;

/// Word in a job's specification that makes workers require a ticket of the advice service.
pub const NEEDS_TICKET: &str = "needs-ticket";
/// Time between two writes of a worker's entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between checks for tasks that have ended or expired.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Reading of a worker's clock at its start, in milliseconds.
const CLOCK_START_MS: u64 = 1_000;

/// Sends the id of a machine whose worker a task has crashed.
pub type CrashSender = mpsc::UnboundedSender<String>;

/// The processor capacity of a worker, in thousandths of a core.
struct CpuCapacity {
    cpu: u64,
    /// The capacity before the last change.
    previous_cpu: u64,
    changed_at: Instant,
    /// Whether the worker refuses tasks that do not fit.
    is_enforced: bool,
}

impl CpuCapacity {
    /// The largest capacity that a scheduler may assume: that of the worker's current entry, or of
    /// the one before if it changed just now.
    fn allowed(&self) -> u64 {
        let is_new = self.changed_at.elapsed() < CAPACITY_CHANGE_GRACE;
        if is_new { self.cpu.max(self.previous_cpu) } else { self.cpu }
    }
}

/// How long after a decrease of a worker's capacity a start may still be based on the earlier one:
/// long enough for a heartbeat, a read of the entry, and a start in flight.
const CAPACITY_CHANGE_GRACE: Duration = Duration::from_millis(1_500);

/// A fault of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// It keeps running, but neither receives calls nor sends answers.
    Disconnected,
    /// Every task fails.
    FailsAll,
    /// It starts tasks without answering.
    LosesStartAnswers,
    /// It answers a start only after `SLOW_START_DELAY`.
    SlowStarts,
    /// It does not answer a start; the incarnation that has its id [`LATE_START_DELAY`] later
    /// executes the start.
    LateStarts,
}

/// How an incarnation of a worker starts.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// The incarnation whose id it takes over; `None` for a new id.
    pub predecessor: Option<Worker>,
    /// The initial reading of its clock, in milliseconds.
    pub clock_ms: u64,
    /// Its birth time by its own time of day, in milliseconds since the Unix epoch.
    pub birth_ms: u64,
    /// Whether it listens on the address of its predecessor.
    pub reuses_address: bool,
    /// The IP address on which it listens otherwise.
    pub ip: IpAddr,
}

impl Default for StartOptions {
    fn default() -> StartOptions {
        let birth_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let birth_ms = birth_ms.as_millis() as u64;
        StartOptions {
            predecessor: None,
            clock_ms: CLOCK_START_MS,
            birth_ms,
            reuses_address: true,
            ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        }
    }
}

struct RunningTask {
    run: u64,
    done_at: Option<Instant>,
    stops_at: Option<Instant>,
    cpu: u64,
    memory_mb: u64,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until: u64,
    runs: BTreeMap<String, RunningTask>,
    barred_runs: HashMap<String, u64>,
    unacknowledged_ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    poll_count: u64,
    fault: Fault,
}

impl State {
    /// Tasks that have completed, were stopped, or whose lease has expired, with their outcomes.
    fn finished_tasks(&self, clock: u64) -> Vec<(String, &'static str)> {
        let expired = self.lease_until < clock;
        let now = Instant::now();
        let outcome = |running: &RunningTask| {
            let stopped = running.stops_at.is_some_and(|at| at <= now);
            let done = running.done_at.is_some_and(|at| at <= now);
            match (stopped, expired, done) {
                (true, _, _) => Some("stopped"),
                (_, true, _) => Some("lapsed"),
                (_, _, true) if self.fault == Fault::FailsAll => Some("failed"),
                (_, _, true) => Some("done"),
                _ => None,
            }
        };
        let finished =
            self.runs.iter().filter_map(|(task, running)| Some((task.clone(), outcome(running)?)));
        finished.collect()
    }
}

/// An incarnation of a worker.
#[derive(Clone)]
pub struct Worker {
    /// Its id, which an earlier incarnation may have had.
    pub id: String,
    /// Its machine.
    pub machine: String,
    inner: Arc<Inner>,
    addr: SocketAddr,
    /// The incarnation that has the id now.
    current: CurrentIncarnation,
    stop: Arc<watch::Sender<bool>>,
}

impl std::fmt::Debug for Worker {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{} born {}", self.id, self.inner.birth_ms)
    }
}

/// The incarnation that has an id now.
type CurrentIncarnation = Arc<Mutex<Weak<Inner>>>;

struct Inner {
    id: String,
    birth_ms: u64,
    clock_start_ms: u64,
    current: CurrentIncarnation,
    machine: String,
    hall: String,
    /// Receives the machine's id if a task crashes the worker.
    crash_sender: CrashSender,
    started_at: Instant,
    cpu_capacity: Mutex<CpuCapacity>,
    memory_mb: u64,
    ledger: Ledger,
    state: Mutex<State>,
    end_notify: Notify,
    /// Whether its entry stays in the store when it ends, since a later incarnation has its id.
    keeps_entry: AtomicBool,
}

/// Delay of a start at a worker with [`Fault::LateStarts`].
pub const LATE_START_DELAY: Duration = Duration::from_millis(2_500);
/// How long the address of an earlier incarnation may take to become free.
const REBIND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Number of ends that an answer to a poll lists at most.
pub const MAX_LISTED_ENDS: usize = 500;

/// How long a worker with [`Fault::SlowStarts`] takes for a start.
const SLOW_START_DELAY: Duration = Duration::from_millis(200);

/// The properties of a worker.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its service.
    pub service: String,
    /// Its data hall.
    pub hall: String,
    /// Its rack.
    pub rack: String,
    /// Its processor capacity, in thousandths of a core.
    pub cpu: u64,
    /// Its memory in megabytes.
    pub memory_mb: u64,
}

impl Shape {
    /// A worker of service `work` with eight cores and 8 GB.
    pub fn of_work(hall: &str, rack: &str) -> Shape {
        let (hall, rack) = (hall.to_owned(), rack.to_owned());
        Shape { service: "work".to_owned(), hall, rack, cpu: 8_000, memory_mb: 8_000 }
    }
}

impl Worker {
    /// Starts an incarnation on a machine.
    pub async fn start(
        store: &Store,
        ledger: &Ledger,
        machine: &str,
        shape: &Shape,
        crash_sender: &CrashSender,
        options: StartOptions,
    ) -> std::io::Result<Worker> {
        let predecessor = options.predecessor.as_ref();
        let listener = match predecessor.filter(|_| options.reuses_address) {
            Some(predecessor) => rebind(predecessor.addr).await?,
            None => TcpListener::bind((options.ip, 0)).await?,
        };
        let addr = listener.local_addr()?;
        let id = predecessor.map(|predecessor| predecessor.id.clone());
        let id = id.unwrap_or_else(|| format!("i-{:016x}", rand::random::<u64>()));
        let current =
            predecessor.map(|predecessor| predecessor.current.clone()).unwrap_or_default();
        let inner = Arc::new(Inner {
            id: id.clone(),
            birth_ms: options.birth_ms,
            clock_start_ms: options.clock_ms,
            current: current.clone(),
            keeps_entry: AtomicBool::new(false),
            machine: machine.to_owned(),
            hall: shape.hall.clone(),
            crash_sender: crash_sender.clone(),
            started_at: Instant::now(),
            cpu_capacity: Mutex::new(CpuCapacity {
                cpu: shape.cpu,
                previous_cpu: shape.cpu,
                changed_at: Instant::now(),
                is_enforced: true,
            }),
            memory_mb: shape.memory_mb,
            ledger: ledger.clone(),
            state: Mutex::default(),
            end_notify: Notify::new(),
        });
        *current.lock().expect("no thread panics while it holds the lock") = Arc::downgrade(&inner);
        let (stop, stop_rx) = watch::channel(false);
        let shared = inner.clone();
        let server = serve(listener, stop_rx.clone(), move |request| {
            let inner = shared.clone();
            async move { inner.handle(request).await }
        });
        let (shape, machine_name) = (shape.clone(), machine.to_owned());
        let (store, key, incarnation) = (store.clone(), id.clone(), inner.clone());
        let (heartbeat_inner, ending_inner, mut stop_rx) = (inner.clone(), inner.clone(), stop_rx);
        tokio::spawn(async move {
            let heartbeats = async {
                loop {
                    let cpu = heartbeat_inner.cpu_capacity().cpu;
                    let shape = Shape { cpu, ..shape.clone() };
                    let mut entry = entry(addr, &machine_name, &shape, "ready");
                    entry["born"] = json!(heartbeat_inner.birth_ms);
                    store.put(WORKER_TOPIC, Record::set(key.clone(), entry.to_string()));
                    sleep(HEARTBEAT_INTERVAL).await;
                }
            };
            tokio::select! {
                () = server => {}
                () = heartbeats => {}
                () = incarnation.end_finished_tasks() => {}
                // Dropping the server closes its connections, as a crash does.
                _ = stop_rx.wait_for(|is_stopped| *is_stopped) => {}
            }
            if !ending_inner.keeps_entry.load(Ordering::Relaxed) {
                store.put(WORKER_TOPIC, Record::tombstone(key));
            }
        });
        let (machine, stop) = (machine.to_owned(), Arc::new(stop));
        Ok(Worker { id, machine, inner, addr, current, stop })
    }

    /// Like [`Worker::crash`], but keeps the entry in the store, since another incarnation gets the
    /// id.
    pub fn crash_before_successor(&self) {
        self.inner.keeps_entry.store(true, Ordering::Relaxed);
        self.crash();
    }

    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The reading of its clock, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.inner.clock_ms()
    }

    /// Its birth time by its own time of day, in milliseconds since the Unix epoch.
    pub fn birth_ms(&self) -> u64 {
        self.inner.birth_ms
    }

    /// Sets its fault.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.state().fault = fault;
    }

    /// Number of polls that it has answered.
    pub fn poll_count(&self) -> u64 {
        self.inner.state().poll_count
    }

    /// Sets its processor capacity, which its next heartbeat publishes, and whether it refuses
    /// tasks that do not fit.
    pub fn set_cpu(&self, cpu: u64, is_enforced: bool) {
        let mut capacity = self.inner.cpu_capacity();
        *capacity = CpuCapacity {
            cpu,
            previous_cpu: capacity.allowed(),
            changed_at: Instant::now(),
            is_enforced,
        };
    }

    /// Ends the incarnation and its tasks unexpectedly.
    pub fn crash(&self) {
        for task in self.inner.state().runs.keys() {
            self.inner.ledger.record_lost_with_worker(task);
        }
        self.terminate();
    }

    /// Ends the incarnation and its tasks.
    pub fn terminate(&self) {
        let mut state = self.inner.state();
        // Requests that arrive before the server is closed start nothing.
        state.fault = Fault::Disconnected;
        for (task, _) in std::mem::take(&mut state.runs) {
            self.inner.ledger.record_end(&task, false);
        }
        self.inner.forget_unacknowledged_ends(&state);
        drop(state);
        let _ = self.stop.send(true);
    }

    /// Whether it runs no tasks.
    pub fn is_idle(&self) -> bool {
        self.inner.state().runs.is_empty()
    }
}

/// The entry of a worker of service `work` in the given state, with an address on which nothing
/// listens.
pub fn entry_in_state(state: &str) -> Value {
    let shape = Shape::of_work("hall-1", "r1-0");
    entry(SocketAddr::from(([127, 0, 0, 1], 1)), "m-none", &shape, state)
}

/// Binds the address of an earlier incarnation, which may have ended just now.
async fn rebind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let deadline = Instant::now() + REBIND_TIMEOUT;
    loop {
        match TcpListener::bind(addr).await {
            Err(_) if Instant::now() < deadline => sleep(CHECK_INTERVAL).await,
            bound => return bound,
        }
    }
}

fn entry(addr: SocketAddr, machine: &str, shape: &Shape, state: &str) -> Value {
    json!({
        "service": shape.service, "address": addr.to_string(), "zone": shape.hall, "version": "v1",
        "slots": 8, "state": state, "coldRemainingMs": 0, "seq": 0,
        "capacity": { "cpu": shape.cpu, "memMb": shape.memory_mb, "gpu": 0 },
        "labels": ["a", shape.rack], "machine": machine,
    })
}

/// The number that follows the prefix `name` in a job's specification.
fn spec_number(spec: &str, name: &str) -> Option<u64> {
    let text = spec.split_whitespace().find_map(|word| word.strip_prefix(name));
    text.and_then(|text| text.parse().ok())
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    fn cpu_capacity(&self) -> MutexGuard<'_, CpuCapacity> {
        self.cpu_capacity.lock().expect("no thread panics while it holds the lock")
    }

    fn clock_ms(&self) -> u64 {
        self.clock_start_ms + self.started_at.elapsed().as_millis() as u64
    }

    /// Ends completed, stopped and expired tasks until the worker ends.
    async fn end_finished_tasks(&self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let clock = self.clock_ms();
            let mut state = self.state();
            for (task, outcome) in state.finished_tasks(clock) {
                self.end_task(&mut state, &task, outcome);
            }
            if state.lease_until < clock {
                self.forget_unacknowledged_ends(&state);
            }
        }
    }

    fn end_task(&self, state: &mut State, task: &str, outcome: &'static str) {
        let Some(running) = state.runs.remove(task) else { return };
        state.last_end += 1;
        let number = state.last_end;
        state.unacknowledged_ends.push((number, task.to_owned(), running.run, outcome));
        state.barred_runs.insert(task.to_owned(), running.run);
        self.ledger.record_end(task, outcome == "done");
        self.end_notify.notify_waiters();
    }

    /// Makes the ledger forget the unacknowledged ends, which schedulers may not have received: the
    /// worker has ended, or its lease has expired, so the tasks may run again elsewhere.
    fn forget_unacknowledged_ends(&self, state: &State) {
        for (_, task, ..) in
            state.unacknowledged_ends.iter().filter(|(.., outcome)| *outcome == "done")
        {
            self.ledger.forget_end(task);
        }
    }

    async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let expected = request.headers().get("x-expected-instance").and_then(|id| id.to_str().ok());
        let is_other_worker = expected.is_some_and(|expected| expected != self.id);
        let path = request.uri().path().to_owned();
        let body = read_json(request.into_body()).await;
        if self.state().fault == Fault::Disconnected {
            return std::future::pending().await;
        }
        if is_other_worker {
            return json_response(421, &json!({}));
        }
        if path == "/api/run-start" && self.state().fault == Fault::LateStarts {
            tokio::spawn(execute_late_start(self.current.clone(), body));
            return std::future::pending().await;
        }
        self.execute(&path, &body).await
    }

    /// Executes an order, unless an earlier one had a higher fencing token.
    async fn execute(self: &Arc<Self>, path: &str, body: &Value) -> Response<Body> {
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        {
            let mut state = self.state();
            if token < state.fence {
                return json_response(
                    409,
                    &json!({ "clockMs": self.clock_ms(), "reason": "fence" }),
                );
            }
            state.fence = token;
        }
        match path {
            "/api/run-start" => self.handle_start(body).await,
            "/api/run-stop" => self.handle_stop(body),
            "/api/hold" => self.handle_poll(body).await,
            "/api/pace" => json_response(200, &json!({ "clockMs": self.clock_ms() })),
            _ => json_response(404, &json!({})),
        }
    }

    async fn handle_start(self: &Arc<Self>, body: &Value) -> Response<Body> {
        if self.state().fault == Fault::SlowStarts {
            sleep(SLOW_START_DELAY).await;
        }
        let clock = self.clock_ms();
        match self.accept_start(body, clock) {
            Ok(true) => json_response(200, &json!({ "clockMs": clock })),
            Ok(false) => std::future::pending().await,
            Err(reason) => json_response(409, &json!({ "clockMs": clock, "reason": reason })),
        }
    }

    /// Accepts a start; returns whether it is answered, or the reason of the refusal. The job's
    /// specification defines the behaviour of its tasks: `ms=N` is the run time, without which a
    /// task runs until it is stopped; `kills=N` is the time after which the first task of each step
    /// crashes its worker.
    fn accept_start(self: &Arc<Self>, body: &Value, clock: u64) -> Result<bool, &'static str> {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let lease = body["deadlineMs"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default();
        let mut state = self.state();
        // The worker may have ended since the order arrived; nothing would ever end a task started
        // here.
        if state.fault == Fault::Disconnected {
            return Ok(false);
        }
        if lease < clock {
            return Err("late");
        }
        state.lease_until = state.lease_until.max(lease);
        let needs_ticket = spec.split_whitespace().any(|word| word == NEEDS_TICKET);
        if needs_ticket && body["ticket"] != ticket(&self.id) {
            return Err("ticket");
        }
        if state.runs.get(&task).is_some_and(|running| running.run == run) {
            return Ok(true);
        }
        let barred = state.barred_runs.get(&task).is_some_and(|barred| run <= *barred);
        if barred || state.runs.contains_key(&task) {
            return Err("old");
        }
        let (cpu, memory) =
            (spec_number(spec, "cpu=").unwrap_or(0), spec_number(spec, "mem=").unwrap_or(0));
        let used_cpu: u64 = state.runs.values().map(|running| running.cpu).sum();
        let used_memory: u64 = state.runs.values().map(|running| running.memory_mb).sum();
        let capacity = self.cpu_capacity();
        if capacity.is_enforced
            && (used_cpu + cpu > capacity.cpu || used_memory + memory > self.memory_mb)
        {
            return Err("room");
        }
        if cpu > 0 && used_cpu + cpu > capacity.allowed() {
            self.ledger.record_overcommit(&task, used_cpu + cpu, capacity.allowed());
        }
        drop(capacity);
        let done_at =
            spec_number(spec, "ms=").map(|millis| Instant::now() + Duration::from_millis(millis));
        state.runs.insert(
            task.clone(),
            RunningTask { run, done_at, stops_at: None, cpu, memory_mb: memory },
        );
        self.ledger.record_start(&task, run, &self.hall);
        if let Some(after) = spec_number(spec, "kills=").filter(|_| task.ends_with(".0")) {
            tokio::spawn(self.clone().crash_after(task, run, Duration::from_millis(after)));
        }
        Ok(state.fault != Fault::LosesStartAnswers)
    }

    /// Crashes the worker if the task still runs after `after`.
    async fn crash_after(self: Arc<Self>, task: String, run: u64, after: Duration) {
        sleep(after).await;
        let runs = self.state().runs.get(&task).is_some_and(|running| running.run == run);
        if runs {
            self.ledger.record_crash_by(&task);
            // The channel is closed only after the machines have been dropped; then no worker is
            // restarted any more.
            let _ = self.crash_sender.send(self.machine.clone());
        }
    }

    fn handle_stop(&self, body: &Value) -> Response<Body> {
        let task = body["task"].as_str().unwrap_or_default();
        let run = body["run"].as_u64().unwrap_or(0);
        let mut state = self.state();
        let barred = state.barred_runs.entry(task.to_owned()).or_default();
        *barred = run.max(*barred);
        if let Some(running) = state.runs.get_mut(task).filter(|running| running.run == run) {
            running.stops_at.get_or_insert(Instant::now() + Duration::from_millis(50));
        }
        json_response(200, &json!({ "clockMs": self.clock_ms() }))
    }

    async fn handle_poll(&self, body: &Value) -> Response<Body> {
        let acknowledged = body["lastSeen"].as_u64().unwrap_or(0);
        {
            let mut state = self.state();
            state.unacknowledged_ends.retain(|(number, ..)| *number > acknowledged);
            state.lease_until = state.lease_until.max(body["deadlineMs"].as_u64().unwrap_or(0));
        }
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
        let ended = self.end_notify.notified();
        let mut ended = std::pin::pin!(ended);
        ended.as_mut().enable();
        if self.state().unacknowledged_ends.is_empty() {
            // If no task ends in time, the answer lists no ends.
            let _ = timeout(wait, ended).await;
        }
        let mut state = self.state();
        state.poll_count += 1;
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, running)| json!([task, running.run, "", 100, 0]))
            .collect();
        let ended: Vec<Value> = state
            .unacknowledged_ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, outcome)| json!([number, task, run, outcome, ""]))
            .collect();
        let (clock, birth_ms) = (self.clock_ms(), self.birth_ms);
        json_response(
            200,
            &json!({ "clockMs": clock, "born": birth_ms, "running": running, "ended": ended }),
        )
    }
}

/// Executes a start at the incarnation that has the id by then.
async fn execute_late_start(current: CurrentIncarnation, body: Value) {
    sleep(LATE_START_DELAY).await;
    let incarnation = current.lock().expect("no thread panics while it holds the lock").upgrade();
    if let Some(incarnation) =
        incarnation.filter(|incarnation| incarnation.state().fault != Fault::Disconnected)
    {
        incarnation.execute("/api/run-start", &body).await;
    }
}
