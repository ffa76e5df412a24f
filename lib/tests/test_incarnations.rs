//! Incarnations of workers, by the scheduler's state alone: while workers restart under their ids,
//! no task runs twice, none is lost, and no resources are held for runs that have ended.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::batch::worker::WORKER_LEASE;
use spokelift_lib::batch::worker::compose_token;
use spokelift_lib::batch::worker::is_clock_discontinuous;
use spokelift_lib::transport::clock;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::BirthMs;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_platform::worker::Token;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::unused_addr;

const TOKEN: Token = 10;
const WORKERS: usize = 3;
/// The longest lease that a worker grants.
const LONGEST_LEASE: u64 = 10_000;
/// Rounds within which all jobs end once nothing fails any more.
const ROUNDS: usize = 60;

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn peer(id: &str, birth_ms: BirthMs) -> Peer {
    Peer { incarnation: Incarnation::new(id, Some(birth_ms)), addr: unused_addr() }
}

fn entry(machine: &str, birth_ms: BirthMs) -> Entry {
    Entry { birth_ms: Some(birth_ms), ..batch::entry(machine, 4_000) }
}

/// The answer of a worker that runs nothing.
fn idle(clock: u64, birth_ms: BirthMs) -> PollResponse {
    PollResponse { clock, running: Vec::new(), ended: Vec::new(), birth_ms: Some(birth_ms) }
}

/// A scheduler that knows two incarnations of one worker, the second of which has not answered; its
/// first task runs on the first one.
fn with_two_incarnations() -> (Cell, Instant, TaskName) {
    let now = clock::now();
    let mut cell = Cell::new(TOKEN);
    cell.discover(peer("w", 5), entry("m", 5), now);
    cell.on_poll(&Incarnation::new("w", Some(5)), now, now, idle(9_000, 5));
    cell.admit(1, accepted(vec![step(1)]), None);
    cell.place_ready(now, Duration::from_secs(1));
    let Some(Order::Start { task, run, .. }) = cell.outbox.pop() else { panic!("no start") };
    cell.on_started(&Incarnation::new("w", Some(5)), task, run, now);
    let later = now + Duration::from_millis(10);
    cell.discover(peer("w", 3), entry("m", 3), later);
    (cell, later, task)
}

#[test]
fn an_incarnation_known_only_by_its_entry_gets_no_task_before_it_answers() {
    let (cell, _, task) = with_two_incarnations();
    let incarnations: Vec<String> = cell
        .workers
        .incarnations("w")
        .map(|incarnation| incarnation.peer.incarnation.to_string())
        .collect();
    assert_eq!(incarnations, ["w@5", "w@3"]);
    assert!(cell.workers[&Incarnation::new("w", Some(5))].allocations.contains_key(&task));
}

#[test]
fn the_incarnation_that_answers_ends_the_previous_one_whatever_its_birth_time() {
    let (mut cell, now, task) = with_two_incarnations();
    let (first, second) = (Incarnation::new("w", Some(5)), Incarnation::new("w", Some(3)));
    cell.on_poll(&second, now, now, idle(10, 3));
    assert!(!cell.workers.contains_key(&first));
    // An old entry that is read late restores nothing.
    assert!(!cell.discover(peer("w", 5), entry("m", 5), now));
    cell.place_ready(now, Duration::from_secs(1));
    let Some(Order::Start { peer, task: again, run, .. }) = cell.outbox.pop() else {
        panic!("no start")
    };
    assert_eq!((peer.incarnation, again), (second.clone(), task));
    // Its clock and the numbers of its ends start anew.
    let end = End { number: 1, task, run, outcome: Outcome::Done, checkpoint: String::new() };
    cell.on_poll(&second, now, now, PollResponse { ended: vec![end], ..idle(20, 3) });
    assert!(cell.jobs[&1].end.is_some());
}

#[test]
fn an_answer_to_a_poll_sent_before_the_other_incarnation_was_discovered_ends_nothing() {
    let (mut cell, now, _) = with_two_incarnations();
    let (first, second) = (Incarnation::new("w", Some(5)), Incarnation::new("w", Some(3)));
    cell.on_poll(&first, now - Duration::from_millis(5), now, idle(9_500, 5));
    assert!(cell.workers.contains_key(&second));
}

#[test]
fn an_incarnation_that_answers_before_its_entry_arrives_gets_no_task() {
    let now = clock::now();
    let mut cell = Cell::new(TOKEN);
    let (first, second) = (Incarnation::new("w", Some(5)), Incarnation::new("w", Some(6)));
    cell.discover(peer("w", 5), entry("m", 5), now);
    cell.on_poll(&first, now, now, idle(9_000, 5));
    cell.on_other_incarnation(&first, 6, now);
    let worker = &cell.workers[&second];
    assert!(!worker.is_schedulable(now));
    assert_eq!(cell.reassigned, [worker.number]);
    let later = now + Duration::from_millis(10);
    cell.on_poll(&second, later, later, idle(1, 6));
    assert!(!cell.workers.contains_key(&first));
    cell.discover(peer("w", 6), entry("m", 6), later);
    assert!(cell.workers[&second].is_schedulable(later));
}

/// Before its first poll, orders for the previous incarnation may have been executed on it.
#[test]
fn a_later_incarnation_that_becomes_unresponsive_may_hold_the_longest_lease() {
    let (mut cell, now, _) = with_two_incarnations();
    let second = Incarnation::new("w", Some(3));
    cell.on_poll(&second, now, now, idle(10, 3));
    cell.on_failed_poll(&second);
    assert_eq!(cell.expired_workers(now + Duration::from_millis(LONGEST_LEASE)), []);
    assert_eq!(
        cell.expired_workers(now + Duration::from_millis(LONGEST_LEASE + 400)),
        [(second, true)]
    );
}

#[test]
fn a_scheduler_is_not_fenced_by_its_own_token() {
    let (mut cell, _, _) = with_two_incarnations();
    let first = Incarnation::new("w", Some(5));
    let fence = cell.workers[&first].fence;
    // The later incarnation has seen the token that this scheduler keeps for it.
    cell.on_fenced(&first, compose_token(TOKEN, fence));
    assert!(!cell.is_fenced);
    assert!(cell.workers[&first].fence > cell.workers[&Incarnation::new("w", Some(3))].fence);
    // A refusal of an earlier order means nothing any more; one of the highest token does.
    cell.on_fenced(&first, compose_token(TOKEN, fence));
    assert!(!cell.is_fenced);
    let fence = cell.workers[&first].fence;
    cell.on_fenced(&first, compose_token(TOKEN, fence));
    assert!(cell.is_fenced);
}

#[test]
fn an_entry_without_birth_time_belongs_to_the_known_incarnation() {
    let (mut cell, now, _) = with_two_incarnations();
    let entry = Entry { birth_ms: None, draining: true, ..entry("m", 0) };
    assert!(!cell.discover(Peer { incarnation: "w".into(), addr: unused_addr() }, entry, now));
    assert!(cell.workers[&Incarnation::new("w", Some(3))].entry.draining);
}

#[test]
fn an_older_record_without_birth_time_is_read() {
    let stored = with_two_incarnations().0.workers["w"].to_stored();
    let record = spokelift_lib::batch::record::worker(&"w".into(), &stored);
    assert_eq!(record.key, "worker/w");
    let read = ProgressRecord::decode(&record).unwrap();
    assert_eq!(read, ProgressRecord::Worker(Incarnation::new("w", None), stored));
}

/// A worker's process.
struct Process {
    birth_ms: BirthMs,
    /// Its clock when it started, and the time of that.
    clock: u64,
    started_at: Instant,
    fence: Token,
    lease: u64,
    runs: BTreeMap<TaskName, Run>,
    rejected: HashMap<TaskName, Run>,
    ended: Vec<End>,
    last_end: u64,
}

impl Process {
    fn new(birth_ms: BirthMs, clock: u64, started_at: Instant) -> Process {
        let (runs, rejected, ended) = (BTreeMap::new(), HashMap::new(), Vec::new());
        Process {
            birth_ms,
            clock,
            started_at,
            fence: 0,
            lease: 0,
            runs,
            rejected,
            ended,
            last_end: 0,
        }
    }

    fn clock(&self, now: Instant) -> u64 {
        self.clock + now.saturating_duration_since(self.started_at).as_millis() as u64
    }

    /// Whether an order with this token is executed.
    fn accepts(&mut self, token: Token) -> bool {
        let accepts = token >= self.fence;
        self.fence = self.fence.max(token);
        accepts
    }

    fn extend(&mut self, lease: u64, now: Instant) {
        self.lease = self.lease.max(lease.min(self.clock(now) + LONGEST_LEASE));
    }

    fn end(&mut self, task: TaskName, outcome: Outcome) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.last_end += 1;
        self.rejected.insert(task, run);
        let (number, checkpoint) = (self.last_end, String::new());
        self.ended.push(End { number, task, run, outcome, checkpoint });
    }
}

/// A start without an answer that may still be executed.
struct LateStart {
    worker: usize,
    token: Token,
    lease: u64,
    task: TaskName,
    run: Run,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// A worker restarts, with its clock and birth time ahead or behind.
    Restart {
        worker: usize,
        clock: u64,
        birth: u64,
    },
    /// The entry of the current incarnation, or of the previous one, is read.
    Entry {
        worker: usize,
        is_old: bool,
    },
    /// Each known incarnation of a worker is polled; the answers may be lost.
    Poll {
        worker: usize,
        is_lost: bool,
    },
    /// Half of the runs on a worker end.
    Work(usize),
    Job(u32),
    /// Waiting tasks are started; all answers of one worker may be lost, and its starts be delayed.
    Place {
        loses: Option<usize>,
    },
    /// The oldest start without an answer is executed.
    LateStart,
    Flush,
    /// A worker's box goes down; it is up again once its worker restarts.
    Down(usize),
    /// The box list is requested.
    RequestList,
    /// The box list that was requested first arrives.
    List,
    /// Time passes, in milliseconds.
    Advance(u64),
    TakeOver,
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0..WORKERS;
    let births = (worker.clone(), 0..200_000_u64, 0..40_u64);
    prop_oneof![
        3 => births.prop_map(|(worker, clock, birth)| Event::Restart { worker, clock, birth }),
        4 => (worker.clone(), prop::bool::weighted(0.3))
            .prop_map(|(worker, is_old)| Event::Entry { worker, is_old }),
        10 => (worker.clone(), prop::bool::weighted(0.2))
            .prop_map(|(worker, is_lost)| Event::Poll { worker, is_lost }),
        6 => worker.clone().prop_map(Event::Work),
        4 => (1..6_u32).prop_map(Event::Job),
        8 => prop::option::weighted(0.2, worker.clone()).prop_map(|loses| Event::Place { loses }),
        2 => Just(Event::LateStart),
        4 => Just(Event::Flush),
        2 => worker.clone().prop_map(Event::Down),
        3 => Just(Event::RequestList),
        3 => Just(Event::List),
        2 => (1..9_000_u64).prop_map(Event::Advance),
        1 => Just(Event::TakeOver),
    ]
}

/// A scheduler, the store, and the workers' processes.
struct Simulation {
    cell: Cell,
    token: Token,
    now: Instant,
    store: batch::Store,
    processes: Vec<Process>,
    /// Workers whose boxes are down.
    down: Vec<bool>,
    /// Requested box lists that have not arrived, each with the time of its request.
    lists: VecDeque<(Instant, Vec<Machine>)>,
    /// The birth time of the previous incarnation of each worker.
    previous: Vec<Option<BirthMs>>,
    late: Vec<LateStart>,
    jobs: JobId,
    sizes: HashMap<JobId, u32>,
    births: u64,
    /// The birth time of the process to which the connection of each known incarnation leads. A
    /// broken connection means that there may be another process.
    connected: HashMap<Incarnation, BirthMs>,
    /// How often the successful end of each task was acknowledged.
    acked: HashMap<TaskName, u64>,
    faults: Vec<String>,
}

fn name(worker: usize) -> String {
    format!("w{worker}")
}

impl Simulation {
    fn new() -> Simulation {
        let now = clock::now();
        let processes = (0..WORKERS).map(|number| Process::new(1_000 + number as u64, 1_000, now));
        let mut simulation = Simulation {
            cell: Cell::new(TOKEN),
            token: TOKEN,
            now,
            store: batch::Store::new(),
            processes: processes.collect(),
            down: vec![false; WORKERS],
            lists: VecDeque::new(),
            previous: vec![None; WORKERS],
            late: Vec::new(),
            jobs: 0,
            sizes: HashMap::new(),
            births: 0,
            connected: HashMap::new(),
            acked: HashMap::new(),
            faults: Vec::new(),
        };
        (0..WORKERS).for_each(|worker| simulation.entry(worker, false));
        simulation
    }

    fn entry(&mut self, worker: usize, is_old: bool) {
        let birth_ms =
            if is_old { self.previous[worker] } else { Some(self.processes[worker].birth_ms) };
        let Some(birth_ms) = birth_ms else { return };
        let machine = format!("m{worker}");
        self.cell.discover(peer(&name(worker), birth_ms), entry(&machine, birth_ms), self.now);
    }

    fn restart(&mut self, worker: usize, clock: u64, birth: u64) {
        self.births += 1;
        // Never equal to an earlier one; ahead of it or behind.
        let birth_ms = birth * 1_000 + 500 - self.births.min(499);
        self.previous[worker] = Some(self.processes[worker].birth_ms);
        self.processes[worker] = Process::new(birth_ms, clock, self.now);
        self.down[worker] = false;
    }

    /// Ends everything on a box.
    fn take_down(&mut self, worker: usize) {
        self.processes[worker].runs.clear();
        self.processes[worker].ended.clear();
        self.down[worker] = true;
    }

    fn request_list(&mut self) {
        let boxes = self.down.iter().enumerate().map(|(worker, down)| {
            let (id, name) = (format!("m{worker}"), name(worker));
            match down {
                true => batch::machine(&id, Status::Down, None),
                false => batch::machine(&id, Status::Up, Some(&name)),
            }
        });
        self.lists.push_back((self.now, boxes.collect()));
    }

    fn apply_list(&mut self) {
        if let Some((requested_at, list)) = self.lists.pop_front() {
            self.cell.end_incarnations_by_box_list(&list, requested_at);
        }
    }

    /// Polls each known incarnation of a worker; the poll reaches whichever process has its id.
    fn poll(&mut self, worker: usize, is_lost: bool) {
        let incarnations: Vec<Incarnation> = self
            .cell
            .workers
            .incarnations(&name(worker))
            .map(|worker| worker.peer.incarnation.clone())
            .collect();
        for incarnation in incarnations {
            self.now += Duration::from_millis(2);
            self.poll_incarnation(worker, &incarnation, is_lost);
        }
    }

    fn poll_incarnation(&mut self, worker: usize, incarnation: &Incarnation, is_lost: bool) {
        let Some(worker_state) = self.cell.workers.get(incarnation) else { return };
        if self.down[worker] {
            return self.cell.on_failed_poll(incarnation);
        }
        let birth_ms = self.processes[worker].birth_ms;
        let is_same = self.connected.insert(incarnation.clone(), birth_ms) == Some(birth_ms)
            && worker_state.failed_polls == 0;
        let token = compose_token(self.token, worker_state.fence);
        // Over a new connection, and after a failed poll, nothing is acknowledged and no lease
        // granted.
        let durable = if is_same { worker_state.durable_end } else { 0 };
        let lease = worker_state.clock.filter(|_| is_same && worker_state.renews_lease);
        let (now, sent) = (self.now, self.now - Duration::from_millis(1));
        let lease = lease.map(|(clock, reported_at)| {
            let age = now.saturating_duration_since(reported_at).as_millis() as u64;
            clock + age + WORKER_LEASE.as_millis() as u64
        });
        let process = &mut self.processes[worker];
        if !process.accepts(token) {
            return self.cell.on_fenced(incarnation, token);
        }
        if let Some(lease) = lease {
            process.extend(lease, now);
            self.cell.record_lease(incarnation, lease);
        }
        for end in process.ended.extract_if(.., |end| end.number <= durable) {
            if end.outcome == Outcome::Done {
                *self.acked.entry(end.task).or_default() += 1;
            }
        }
        if is_lost {
            return self.cell.on_failed_poll(incarnation);
        }
        if !incarnation.may_have_reported(Some(process.birth_ms)) {
            return self.cell.on_other_incarnation(incarnation, process.birth_ms, now);
        }
        let running = process.runs.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        });
        let (clock, running) = (process.clock(now), running.collect());
        let response = PollResponse {
            clock,
            running,
            ended: process.ended.clone(),
            birth_ms: Some(process.birth_ms),
        };
        self.cell.on_poll(incarnation, sent, now, response);
    }

    fn work(&mut self, worker: usize) {
        let process = &mut self.processes[worker];
        let tasks: Vec<TaskName> = process.runs.keys().copied().collect();
        for task in tasks.into_iter().step_by(2) {
            process.end(task, Outcome::Done);
        }
    }

    /// Executes a start; returns whether it is accepted.
    fn start(&mut self, late: &LateStart) -> bool {
        let now = self.now;
        let process = &mut self.processes[late.worker];
        if !process.accepts(late.token) || late.lease < process.clock(now) {
            return false;
        }
        process.extend(late.lease, now);
        let (task, run) = (late.task, late.run);
        let is_rejected = process.rejected.get(&task).is_some_and(|rejected| run <= *rejected);
        if is_rejected || process.runs.contains_key(&task) {
            return false;
        }
        process.runs.insert(task, run);
        let at_once = self.processes.iter().filter(|process| process.runs.contains_key(&task));
        if at_once.count() > 1 {
            self.faults.push(format!("two runs of {task} at once"));
        }
        if self.acked.contains_key(&task) {
            self.faults
                .push(format!("{task} was done, which was acknowledged, and is run {run} again"));
        }
        true
    }

    fn place(&mut self, loses: Option<usize>) {
        // The store records a worker some milliseconds after it is discovered.
        self.flush();
        self.cell.place_ready(self.now, Duration::from_secs(1));
        self.execute_orders(loses);
    }

    fn execute_orders(&mut self, loses: Option<usize>) {
        while let Some(order) = self.cell.outbox.pop() {
            let incarnation = order.peer().incarnation.clone();
            let worker: usize = incarnation.id[1..].parse().unwrap();
            let Some(worker_state) = self.cell.workers.get(&incarnation) else { continue };
            let token = compose_token(self.token, worker_state.fence);
            match order {
                Order::Start { task, run, .. } => {
                    let Some((clock, reported_at)) = worker_state.clock else { continue };
                    let age = self.now.saturating_duration_since(reported_at).as_millis() as u64;
                    let lease = clock + age + WORKER_LEASE.as_millis() as u64;
                    self.cell.record_lease(&incarnation, lease);
                    let late = LateStart { worker, token, lease, task, run };
                    if self.down[worker] {
                        self.cell.on_unanswered(&incarnation, task, run, self.now);
                    } else if loses == Some(worker) {
                        self.late.push(late);
                        self.cell.on_unanswered(&incarnation, task, run, self.now);
                    } else if self.start(&late) {
                        let shown = self.processes[worker].clock(self.now);
                        if is_clock_discontinuous(clock, shown, self.now - reported_at) {
                            self.cell.on_clock_mismatch(&incarnation, self.now);
                        }
                        self.cell.on_started(&incarnation, task, run, self.now);
                    } else {
                        if token < self.processes[worker].fence {
                            self.cell.on_fenced(&incarnation, token);
                        }
                        self.cell.on_refused(&incarnation, task, run, None, self.now);
                    }
                }
                Order::Stop { .. } if self.down[worker] => {}
                Order::Stop { task, run, .. } => {
                    let process = &mut self.processes[worker];
                    if !process.accepts(token) {
                        self.cell.on_fenced(&incarnation, token);
                        continue;
                    }
                    let rejected = process.rejected.entry(task).or_default();
                    *rejected = run.max(*rejected);
                    if process.runs.get(&task) == Some(&run) {
                        process.end(task, Outcome::Stopped);
                    }
                    self.cell.on_stopped(&incarnation, task, run, self.now);
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::SetPollRate { .. } => {}
            }
        }
    }

    /// Executes the oldest start without an answer, unless its worker has restarted and has not
    /// answered since: until then nothing can reject it.
    fn execute_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let late = self.late.remove(0);
        let incarnation =
            Incarnation::new(name(late.worker), Some(self.processes[late.worker].birth_ms));
        if !self.down[late.worker]
            && self.cell.workers.get(&incarnation).is_some_and(|worker| worker.has_token)
        {
            self.start(&late);
        }
    }

    fn flush(&mut self) {
        batch::flush(&mut self.cell, &mut self.store);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for process in
            self.processes.iter_mut().filter(|process| process.lease < process.clock(now))
        {
            let tasks: Vec<TaskName> = process.runs.keys().copied().collect();
            tasks.into_iter().for_each(|task| process.end(task, Outcome::Expired));
        }
        self.tick();
    }

    fn tick(&mut self) {
        self.cell.expire_due(self.now);
        self.cell.request_placement();
    }

    /// Another node becomes leader, with what the store has.
    fn take_over(&mut self) {
        self.token += 1;
        self.cell = Cell::new(self.token);
        let mut progress: HashMap<JobId, Progress> = HashMap::new();
        let mut unreachable = Vec::new();
        for record in self.store.values() {
            match ProgressRecord::decode(record).unwrap() {
                ProgressRecord::Worker(incarnation, stored) => {
                    self.cell.restore_worker(incarnation, stored, self.now)
                }
                ProgressRecord::Ended(incarnation) => {
                    self.cell.restore_ended(incarnation, self.now)
                }
                ProgressRecord::Progress(job, stored) => drop(progress.insert(job, stored)),
                ProgressRecord::Unreachable(incarnation, time) => {
                    unreachable.push((incarnation, time))
                }
                _ => {}
            }
        }
        self.cell.restore_unreachable(unreachable);
        for (job, size) in self.sizes.clone() {
            let stored = progress.remove(&job).unwrap_or_default();
            self.cell.admit(job, accepted(vec![step(size)]), Some(&stored));
        }
        (0..WORKERS).for_each(|worker| self.entry(worker, false));
        self.cell.unpolled = self.cell.workers.keys().cloned().collect();
        self.cell.known_everywhere_from = Some(self.now);
    }

    fn apply(&mut self, event: Event) {
        self.now += Duration::from_millis(10);
        match event {
            Event::Restart { worker, clock, birth } => self.restart(worker, clock, birth),
            Event::Entry { worker, is_old } => self.entry(worker, is_old),
            Event::Poll { worker, is_lost } => self.poll(worker, is_lost),
            Event::Work(worker) => self.work(worker),
            Event::Job(tasks) => {
                self.jobs += 1;
                self.sizes.insert(self.jobs, tasks);
                self.cell.admit(self.jobs, accepted(vec![step(tasks)]), None);
            }
            Event::Place { loses } => self.place(loses),
            Event::LateStart => self.execute_late(),
            Event::Flush => self.flush(),
            Event::Down(worker) => self.take_down(worker),
            Event::RequestList => self.request_list(),
            Event::List => self.apply_list(),
            Event::Advance(millis) => self.advance(Duration::from_millis(millis)),
            Event::TakeOver => self.take_over(),
        }
        self.execute_orders(None);
    }

    /// Runs without failures until every job has ended and the scheduler knows exactly the workers
    /// that exist.
    fn settle(&mut self) {
        for worker in (0..WORKERS).filter(|worker| self.down[*worker]).collect::<Vec<usize>>() {
            self.restart(worker, 1_000, 100);
        }
        for _ in 0..ROUNDS {
            for worker in 0..WORKERS {
                self.entry(worker, false);
                self.poll(worker, false);
                self.work(worker);
                self.poll(worker, false);
            }
            self.execute_orders(None);
            self.flush();
            self.advance(Duration::from_millis(1_000));
            self.place(None);
        }
    }

    /// What is still wrong in the end.
    fn remaining(&self) -> Vec<String> {
        let waiting = self.cell.jobs.values().filter(|job| job.end.is_none());
        let mut remaining: Vec<String> =
            waiting.map(|job| format!("job {} has not ended", job.id)).collect();
        for worker in self.cell.workers.values() {
            let number: usize = worker.peer.incarnation.id[1..].parse().unwrap();
            if worker.peer.incarnation.birth_ms != Some(self.processes[number].birth_ms) {
                remaining.push(format!("{} has ended and is still known", worker.peer.incarnation));
            }
            if !worker.allocations.is_empty() || worker.free != worker.entry.capacity {
                remaining.push(format!(
                    "{} holds resources for {:?}",
                    worker.peer.incarnation, worker.allocations
                ));
            }
        }
        if self.cell.workers.len() != WORKERS || self.cell.is_fenced {
            remaining.push(format!(
                "{} workers known, fenced {}",
                self.cell.workers.len(),
                self.cell.is_fenced
            ));
        }
        remaining
    }
}

proptest! {
    #[test]
    fn no_task_runs_twice_and_none_is_lost_while_workers_restart(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut simulation = Simulation::new();
        for event in events {
            let after = format!("{event:?}");
            simulation.apply(event);
            prop_assert_eq!(&simulation.faults, &Vec::<String>::new(), "after {}", after);
            prop_assert!(!simulation.cell.is_fenced, "fenced after {}", after);
            prop_assert_eq!(simulation.cell.workers.faults(), Vec::<String>::new(), "after {}", after);
        }
        simulation.settle();
        prop_assert_eq!(&simulation.faults, &Vec::<String>::new());
        prop_assert_eq!(simulation.remaining(), Vec::<String>::new());
    }
}
