//! Quotas of accounts: nothing is started above a quota, whatever happens, and nothing else waits
//! for it.
//!
//! Guards against starts above a quota that was lowered far below the load of its account while the
//! leader is killed: the new leader has to count what the account has running.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use serde_json::json;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::place::fit::count_unfit_workers;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::StoredWorker;
use spokelift_lib::batch::usage::Totals;
use spokelift_lib::transport::clock;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published;
use spokelift_testutils::batch::published::published_config;
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 7;
/// CPU in millicores and memory in MB of a worker.
const CAPACITY: u32 = 8_000;
const ACCOUNTS: [&str; 2] = ["a", "b"];

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn accepted(account: &str, step: Step) -> Accepted {
    Accepted { account: Some(account.into()), ..batch::accepted(vec![step]) }
}

/// A configuration with these CPU quotas, in millicores.
fn config(version: u64, quotas: &[(&str, u64)]) -> Arc<Config> {
    let accounts = quotas.iter().map(|(name, cpu)| published::account(name, &[], *cpu));
    let text = published_config(version, &[], accounts.collect());
    Arc::new(Config::decode(&text).unwrap())
}

/// A scheduler's state, and what the workers run according to their orders.
struct Fixture {
    cell: Cell,
    now: Instant,
    clock: u64,
    jobs: JobId,
    version: u64,
    running: Vec<(String, TaskName, Run)>,
    processed: BTreeMap<String, u64>,
}

impl Fixture {
    fn new(workers: usize) -> Fixture {
        let mut fixture = Fixture {
            cell: Cell::new(TOKEN),
            now: clock::now(),
            clock: 1_000,
            jobs: 0,
            version: 0,
            running: Vec::new(),
            processed: BTreeMap::new(),
        };
        for number in 0..workers {
            fixture.discover(number);
            fixture.poll(number, 0);
        }
        fixture
    }

    fn set_quotas(&mut self, quotas: &[(&str, u64)]) {
        self.version += 1;
        self.cell.set_quotas(&config(self.version, quotas));
    }

    fn discover(&mut self, number: usize) {
        let peer = Peer { incarnation: format!("w{number}").into(), addr: unused_addr() };
        self.cell.discover(peer, batch::entry(&format!("m{number}"), CAPACITY), self.now);
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(20);
        self.clock += 20;
    }

    /// A worker answers a poll; the first `ended` tasks on it have ended.
    fn poll(&mut self, number: usize, ended: usize) {
        let id = format!("w{number}");
        let sent_at = self.now;
        self.tick();
        let (mine, others): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(worker, ..)| *worker == id);
        self.running = others;
        let (ended_runs, ongoing) = mine.split_at(mine.len().min(ended));
        let last = self.processed.entry(id.clone()).or_default();
        let ends = ended_runs.iter().map(|(_, task, run)| {
            *last += 1;
            let checkpoint = String::new();
            End { number: *last, task: *task, run: *run, outcome: Outcome::Done, checkpoint }
        });
        let ended = ends.collect();
        let running = ongoing.iter().map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let response =
            PollResponse { clock: self.clock, running: running.collect(), ended, birth_ms: None };
        self.running.extend_from_slice(ongoing);
        self.cell.on_poll(&id.as_str().into(), sent_at, self.now, response);
    }

    fn submit(&mut self, account: &str, step: Step) -> JobId {
        self.jobs += 1;
        self.cell.admit(self.jobs, accepted(account, step), None);
        self.jobs
    }

    /// Places the waiting tasks; returns those that are started. The workers accept all orders.
    fn place(&mut self) -> Vec<TaskName> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let mut started = Vec::new();
        for order in std::mem::take(&mut self.cell.outbox) {
            match order {
                Order::Start { peer, task, run, .. } => {
                    self.cell.on_started(&peer.incarnation, task, run, self.now);
                    self.running.push((peer.incarnation.to_string(), task, run));
                    started.push(task);
                }
                Order::Stop { peer, task, run } => {
                    self.cell.on_stopped(&peer.incarnation, task, run, self.now);
                    self.running
                        .retain(|known| *known != (peer.incarnation.to_string(), task, run));
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::SetPollRate { .. } => {}
            }
        }
        started
    }

    fn forget_runs(&mut self, id: &str) {
        self.running.retain(|(worker, ..)| worker != id);
    }
}

fn of(started: &[TaskName], job: JobId) -> usize {
    started.iter().filter(|task| task.job == job).count()
}

#[test]
fn a_quota_holds_over_all_workers_and_nobody_else_waits() {
    let mut fixture = Fixture::new(3);
    fixture.set_quotas(&[("a", 3_000), ("b", 0)]);
    let first = fixture.submit("a", step(8));
    let other = fixture.submit("b", step(8));
    let started = fixture.place();
    assert_eq!((of(&started, first), of(&started, other)), (3, 8));
    let unfit = count_unfit_workers(
        &fixture.cell,
        TaskName { job: first, repetition: 0, step: 0, index: 7 },
        fixture.now,
    );
    assert_eq!(unfit, [("its account is at its bound".to_owned(), 3)].into());
}

#[test]
fn memory_is_limited_as_cpu_is_and_best_effort_tasks_count() {
    let mut fixture = Fixture::new(3);
    let maximum = json!({ "cpu": 5_000, "memMb": 250 });
    let text = published_config(1, &[], json!([{ "name": "a", "maximum": maximum }]));
    fixture.cell.set_quotas(&Arc::new(Config::decode(&text).unwrap()));
    fixture.submit("a", Step { long_running: true, best_effort: true, ..step(1) });
    fixture.submit("a", step(4));
    assert_eq!(fixture.place().len(), 2);
}

#[test]
fn a_lowered_quota_stops_nothing_and_starts_nothing_until_usage_is_below_it() {
    let mut fixture = Fixture::new(1);
    fixture.set_quotas(&[("a", 4_000)]);
    fixture.submit("a", step(8));
    assert_eq!(fixture.place().len(), 4);
    fixture.set_quotas(&[("a", 2_000)]);
    assert_eq!(fixture.place().len(), 0);
    assert_eq!(fixture.running.len(), 4, "nothing is stopped");
    fixture.poll(0, 2);
    assert_eq!(fixture.place().len(), 0);
    fixture.poll(0, 1);
    assert_eq!(fixture.place().len(), 1);
    fixture.set_quotas(&[("a", 4_000)]);
    assert_eq!(fixture.place().len(), 2, "raised");
    // A version that arrives late changes nothing.
    fixture.cell.set_quotas(&config(1, &[("a", 1_000)]));
    fixture.poll(0, 1);
    assert_eq!(fixture.place().len(), 1);
}

#[test]
fn a_gang_starts_whole_within_the_quota_or_waits_alone() {
    let mut fixture = Fixture::new(2);
    fixture.set_quotas(&[("a", 3_000), ("b", 0)]);
    let wide = fixture.submit("a", Step { gang: true, ..step(4) });
    let narrow = fixture.submit("a", Step { gang: true, ..step(2) });
    let other = fixture.submit("b", step(3));
    let started = fixture.place();
    assert_eq!([wide, narrow, other].map(|job| of(&started, job)), [0, 2, 3]);
    let unfit = count_unfit_workers(
        &fixture.cell,
        TaskName { job: wide, repetition: 0, step: 0, index: 0 },
        fixture.now,
    );
    assert_eq!(unfit.into_keys().collect::<Vec<_>>(), ["its account is at its bound"]);
}

#[test]
fn work_that_its_account_may_not_run_requests_no_boxes() {
    let mut fixture = Fixture::new(2);
    fixture.set_quotas(&[("a", 2_000)]);
    fixture.submit("a", Step { count: 100, ..step(100) });
    fixture.place();
    let load = &loads(&fixture.cell, fixture.now)["work"];
    assert_eq!((load.used, load.waiting), (2_000, 0));
    let before = load.arrival_rate;
    fixture.submit("a", step(100));
    assert_eq!(loads(&fixture.cell, fixture.now)["work"].arrival_rate, before);
    fixture.set_quotas(&[("a", 5_000)]);
    assert_eq!(loads(&fixture.cell, fixture.now)["work"].waiting, 3_000, "as much as it may start");
}

#[test]
fn before_the_quotas_are_known_nothing_of_an_account_starts() {
    let mut fixture = Fixture::new(1);
    fixture.submit("a", step(2));
    assert_eq!(fixture.place().len(), 0);
    fixture.set_quotas(&[("a", 0)]);
    assert_eq!(fixture.place().len(), 2);
}

#[test]
fn an_account_that_is_removed_keeps_its_quota() {
    let mut fixture = Fixture::new(1);
    fixture.set_quotas(&[("a", 2_000)]);
    fixture.submit("a", step(6));
    assert_eq!(fixture.place().len(), 2);
    fixture.set_quotas(&[("b", 1_000)]);
    fixture.poll(0, 1);
    assert_eq!(fixture.place().len(), 1);
    fixture.set_quotas(&[("a", 0)]);
    assert_eq!(fixture.place().len(), 3, "it is back without a quota");
}

/// A new scheduler with a job of 6 tasks of account `a`, which may run 4. Its workers were those of
/// an earlier scheduler; those in `polled` have answered a poll and run nothing.
fn after_takeover(polled: &[usize]) -> Fixture {
    let mut fixture = Fixture::new(0);
    (0..3).for_each(|number| fixture.discover(number));
    // The earlier scheduler cannot have started jobs that arrive from now on.
    fixture.cell.predecessor_is_done = true;
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.set_quotas(&[("a", 4_000), ("b", 4_000)]);
    fixture.jobs = 1;
    fixture.cell.admit(1, accepted("a", step(6)), Some(&Progress::default()));
    polled.iter().for_each(|number| fixture.poll(*number, 0));
    fixture
}

#[test]
fn after_a_takeover_what_is_not_known_counts_as_running() {
    // The unpolled worker may run all six, whatever else is free.
    let mut fixture = after_takeover(&[0, 1]);
    let late = fixture.submit("a", step(1));
    let other = fixture.submit("b", step(1));
    let started = fixture.place();
    assert_eq!((of(&started, late), of(&started, other)), (0, 1));
    // It runs three.
    let runs = (0..3)
        .map(|index| ("w2".to_owned(), TaskName { job: 1, repetition: 0, step: 0, index }, 3));
    fixture.running.extend(runs);
    fixture.poll(2, 0);
    assert_eq!(fixture.place().len(), 1, "four may run");
    let mut fixture = after_takeover(&[0, 1, 2]);
    assert_eq!(fixture.place().len(), 4);
}

#[test]
fn a_worker_that_was_unresponsive_may_run_no_more_than_the_store_names() {
    let mut fixture = after_takeover(&[0, 1, 2]);
    let tasks = vec![(1, (0, 0, 0))];
    let stored = StoredWorker {
        addr: unused_addr(),
        service: "work".to_owned(),
        machine: None,
        unresponsive_with: Some(tasks),
    };
    fixture.cell.restore_worker("unresponsive".into(), stored, fixture.now);
    fixture.cell.unpolled.insert("unresponsive".into());
    let started = fixture.place();
    assert_eq!(started.len(), 3, "one of four may be on the unresponsive worker");
    assert!(started.iter().all(|task| task.index != 0));
    fixture.cell.expire_runs(&"unresponsive".into());
    assert_eq!(fixture.place().len(), 1);
}

/// An event of a worker, a job, a quota or the scheduler.
#[derive(Clone, Debug)]
enum Event {
    Discover(usize),
    Poll(usize, usize),
    FailPoll(usize),
    MarkEnded(usize),
    Expire(usize),
    /// Another scheduler takes over. If true, the previous one has stopped, so it cannot start jobs
    /// that arrive from now on.
    Takeover(bool),
    Job {
        account: usize,
        tasks: u32,
        cpu: u32,
        is_long_running: bool,
        best_effort: bool,
        gang: bool,
    },
    Cancel(u64),
    SetQuota(usize, u64),
    Place,
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0..4_usize;
    let job = (0..2_usize, 1..6_u32, 1..3_000_u32, any::<bool>(), any::<bool>(), any::<bool>());
    prop_oneof![
        2 => worker.clone().prop_map(Event::Discover),
        6 => (worker.clone(), 0..4_usize).prop_map(|(number, ended)| Event::Poll(number, ended)),
        1 => worker.clone().prop_map(Event::FailPoll),
        1 => worker.clone().prop_map(Event::MarkEnded),
        1 => worker.prop_map(Event::Expire),
        1 => any::<bool>().prop_map(Event::Takeover),
        5 => job.prop_map(|(account, tasks, cpu, is_long_running, best_effort, gang)| {
            Event::Job {
                account,
                tasks,
                cpu,
                is_long_running,
                best_effort: is_long_running && best_effort,
                gang: !is_long_running && gang,
            }
        }),
        1 => (1..20_u64).prop_map(Event::Cancel),
        2 => (0..2_usize, 0..9_000_u64).prop_map(|(account, cpu)| Event::SetQuota(account, cpu)),
        6 => Just(Event::Place),
    ]
}

/// The CPU that workers really use for an account, in millicores.
fn actual_usage(fixture: &Fixture, account: &str) -> u64 {
    let owned = fixture.running.iter().filter_map(|(_, task, _)| {
        let entry = fixture.cell.jobs.get(&task.job)?;
        (entry.accepted.account.as_deref() == Some(account))
            .then(|| entry.step(task.step).unwrap().cpu)
    });
    owned.map(u64::from).sum()
}

impl Fixture {
    fn apply_event(&mut self, event: Event, quotas: &mut [u64; 2]) {
        self.tick();
        match event {
            Event::Discover(number) => self.discover(number),
            Event::Poll(number, ended) => self.poll(number, ended),
            Event::FailPoll(number) => self.cell.on_failed_poll(&format!("w{number}").into()),
            Event::MarkEnded(number) | Event::Expire(number) => {
                let id = format!("w{number}");
                self.forget_runs(&id);
                match event {
                    Event::MarkEnded(_) => self.cell.mark_ended(&id.as_str().into(), "a test"),
                    _ => self.cell.expire_runs(&id.as_str().into()),
                }
            }
            Event::Takeover(is_done) => self.take_over(*quotas, is_done),
            Event::Job { account, tasks, cpu, is_long_running, best_effort, gang } => {
                let step =
                    Step { cpu, long_running: is_long_running, best_effort, gang, ..step(tasks) };
                self.submit(ACCOUNTS[account], step);
            }
            Event::Cancel(job) => drop(self.cell.cancel(job)),
            Event::SetQuota(account, cpu) => {
                quotas[account] = cpu;
                self.set_quotas(&[("a", quotas[0]), ("b", quotas[1])]);
            }
            Event::Place => drop(self.place()),
        }
    }

    /// Another scheduler takes over the jobs and the workers, and has polled none of them.
    fn take_over(&mut self, quotas: [u64; 2], predecessor_is_done: bool) {
        let mut cell = Cell::new(self.cell.token + 1_000);
        cell.predecessor_is_done = predecessor_is_done;
        let mut jobs: Vec<_> = self.cell.jobs.iter().collect();
        jobs.sort_by_key(|(id, _)| **id);
        for (id, entry) in jobs {
            cell.admit(*id, entry.accepted.clone(), Some(&entry.progress()));
        }
        for worker in self.cell.workers.values() {
            cell.discover(worker.peer.clone(), worker.entry.clone(), self.now);
        }
        cell.unpolled = cell.workers.keys().cloned().collect();
        let (version, last) = (self.version.max(1), quotas);
        cell.set_quotas(&config(version, &[("a", last[0]), ("b", last[1])]));
        self.cell = cell;
    }
}

proptest! {
    /// The totals match a full count, and no placement starts anything that raises the real usage
    /// of an account above its quota, including just after a takeover.
    #[test]
    fn no_start_exceeds_a_quota(events in prop::collection::vec(event(), 1..120)) {
        let mut fixture = Fixture::new(3);
        let mut quotas = [0, 0];
        fixture.set_quotas(&[("a", 0), ("b", 0)]);
        for event in events {
            let event_text = format!("{event:?}");
            let before = ACCOUNTS.map(|account| actual_usage(&fixture, account));
            let is_placement = matches!(event, Event::Place);
            fixture.apply_event(event, &mut quotas);
            let faults = fixture.cell.workers.faults();
            prop_assert_eq!(faults, Vec::<String>::new(), "after {}", event_text);
            for (number, account) in ACCOUNTS.iter().enumerate() {
                let usage = actual_usage(&fixture, account);
                let is_above = quotas[number] > 0 && usage > quotas[number];
                let has_increased = is_placement && usage > before[number];
                prop_assert!(
                    !is_above || !has_increased,
                    "{account} uses {usage} after {event_text}"
                );
            }
        }
        if fixture.cell.workers.values().all(|worker| worker.allocations.is_empty()) {
            prop_assert_eq!(fixture.cell.workers.totals(), &Totals::default());
        }
    }
}
