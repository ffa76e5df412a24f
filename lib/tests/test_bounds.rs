//! What accounts may have running: nothing is started above a bound, whatever happens, and nothing else waits for it.
//!
//! A bound that was lowered far below what an account sent, beside a holder of the lead that was killed, was exceeded by
//! the next start in three of four plays: nothing counted what an account had running.

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
use spokelift_testutils::batch::addr;
use spokelift_testutils::batch::published;
use spokelift_testutils::batch::published::published;

const TOKEN: u64 = 7;
/// Processor and memory of a worker.
const ROOM: u32 = 8_000;
const ACCOUNTS: [&str; 2] = ["a", "b"];

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn accepted(account: &str, step: Step) -> Accepted {
    Accepted { account: Some(account.into()), ..batch::accepted(vec![step]) }
}

/// A configuration with these bounds of processor.
fn config(version: u64, bounds: &[(&str, u64)]) -> Arc<Config> {
    let accounts = bounds.iter().map(|(name, cpu)| published::account(name, &[], *cpu));
    let text = published(version, &[], accounts.collect());
    Arc::new(Config::decode(&text).unwrap())
}

/// A scheduler's state, and what the workers run by what they were told.
struct Bed {
    cell: Cell,
    now: Instant,
    clock: u64,
    jobs: JobId,
    version: u64,
    running: Vec<(String, TaskName, Run)>,
    processed: BTreeMap<String, u64>,
}

impl Bed {
    fn new(workers: usize) -> Bed {
        let mut bed = Bed {
            cell: Cell::new(TOKEN),
            now: clock::now(),
            clock: 1_000,
            jobs: 0,
            version: 0,
            running: Vec::new(),
            processed: BTreeMap::new(),
        };
        for number in 0..workers {
            bed.meet(number);
            bed.look(number, 0);
        }
        bed
    }

    fn bound(&mut self, bounds: &[(&str, u64)]) {
        self.version += 1;
        self.cell.set_quotas(&config(self.version, bounds));
    }

    fn meet(&mut self, number: usize) {
        let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
        self.cell.discover(peer, batch::entry(&format!("m{number}"), ROOM), self.now);
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(20);
        self.clock += 20;
    }

    /// A worker answers a look; the first tasks on it have ended.
    fn look(&mut self, number: usize, ended: usize) {
        let id = format!("w{number}");
        let sent = self.now;
        self.tick();
        let (mine, others): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(worker, ..)| *worker == id);
        self.running = others;
        let (over, on) = mine.split_at(mine.len().min(ended));
        let last = self.processed.entry(id.clone()).or_default();
        let ends = over.iter().map(|(_, task, run)| {
            *last += 1;
            let checkpoint = String::new();
            End { number: *last, task: *task, run: *run, outcome: Outcome::Done, checkpoint }
        });
        let ended = ends.collect();
        let running = on.iter().map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let seen =
            PollResponse { clock: self.clock, running: running.collect(), ended, birth_ms: None };
        self.running.extend_from_slice(on);
        self.cell.on_poll(&id.as_str().into(), sent, self.now, seen);
    }

    fn submit(&mut self, account: &str, step: Step) -> JobId {
        self.jobs += 1;
        self.cell.admit(self.jobs, accepted(account, step), None);
        self.jobs
    }

    /// Places what waits; returns the tasks that are started. The workers take all orders.
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
                Order::Grant { .. } | Order::Pace { .. } | Order::Watch { .. } => {}
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
fn a_bound_holds_over_all_workers_and_nobody_else_waits() {
    let mut bed = Bed::new(3);
    bed.bound(&[("a", 3_000), ("b", 0)]);
    let first = bed.submit("a", step(8));
    let other = bed.submit("b", step(8));
    let started = bed.place();
    assert_eq!((of(&started, first), of(&started, other)), (3, 8));
    let held = count_unfit_workers(
        &bed.cell,
        TaskName { job: first, repetition: 0, step: 0, index: 7 },
        bed.now,
    );
    assert_eq!(held, [("its account is at its bound".to_owned(), 3)].into());
}

#[test]
fn memory_bounds_as_processor_does_and_what_fills_counts() {
    let mut bed = Bed::new(3);
    let maximum = json!({ "cpu": 5_000, "memMb": 250 });
    let text = published(1, &[], json!([{ "name": "a", "maximum": maximum }]));
    bed.cell.set_quotas(&Arc::new(Config::decode(&text).unwrap()));
    bed.submit("a", Step { long_running: true, best_effort: true, ..step(1) });
    bed.submit("a", step(4));
    assert_eq!(bed.place().len(), 2);
}

#[test]
fn a_lowered_bound_stops_nothing_and_starts_nothing_until_there_is_room() {
    let mut bed = Bed::new(1);
    bed.bound(&[("a", 4_000)]);
    bed.submit("a", step(8));
    assert_eq!(bed.place().len(), 4);
    bed.bound(&[("a", 2_000)]);
    assert_eq!(bed.place().len(), 0);
    assert_eq!(bed.running.len(), 4, "nothing is stopped");
    bed.look(0, 2);
    assert_eq!(bed.place().len(), 0);
    bed.look(0, 1);
    assert_eq!(bed.place().len(), 1);
    bed.bound(&[("a", 4_000)]);
    assert_eq!(bed.place().len(), 2, "raised");
    // A version that comes late changes nothing.
    bed.cell.set_quotas(&config(1, &[("a", 1_000)]));
    bed.look(0, 1);
    assert_eq!(bed.place().len(), 1);
}

#[test]
fn a_gang_starts_whole_within_the_bound_or_waits_alone() {
    let mut bed = Bed::new(2);
    bed.bound(&[("a", 3_000), ("b", 0)]);
    let wide = bed.submit("a", Step { gang: true, ..step(4) });
    let narrow = bed.submit("a", Step { gang: true, ..step(2) });
    let other = bed.submit("b", step(3));
    let started = bed.place();
    assert_eq!([wide, narrow, other].map(|job| of(&started, job)), [0, 2, 3]);
    let held = count_unfit_workers(
        &bed.cell,
        TaskName { job: wide, repetition: 0, step: 0, index: 0 },
        bed.now,
    );
    assert_eq!(held.into_keys().collect::<Vec<_>>(), ["its account is at its bound"]);
}

#[test]
fn work_that_its_account_may_not_run_wants_no_boxes() {
    let mut bed = Bed::new(2);
    bed.bound(&[("a", 2_000)]);
    bed.submit("a", Step { count: 100, ..step(100) });
    bed.place();
    let load = &loads(&bed.cell, bed.now)["work"];
    assert_eq!((load.used, load.waiting), (2_000, 0));
    let before = load.arrival_rate;
    bed.submit("a", step(100));
    assert_eq!(loads(&bed.cell, bed.now)["work"].arrival_rate, before);
    bed.bound(&[("a", 5_000)]);
    assert_eq!(loads(&bed.cell, bed.now)["work"].waiting, 3_000, "as much as it may start");
}

#[test]
fn before_the_bounds_are_known_nothing_of_an_account_starts() {
    let mut bed = Bed::new(1);
    bed.submit("a", step(2));
    assert_eq!(bed.place().len(), 0);
    bed.bound(&[("a", 0)]);
    assert_eq!(bed.place().len(), 2);
}

#[test]
fn an_account_that_vanishes_keeps_its_bound() {
    let mut bed = Bed::new(1);
    bed.bound(&[("a", 2_000)]);
    bed.submit("a", step(6));
    assert_eq!(bed.place().len(), 2);
    bed.bound(&[("b", 1_000)]);
    bed.look(0, 1);
    assert_eq!(bed.place().len(), 1);
    bed.bound(&[("a", 0)]);
    assert_eq!(bed.place().len(), 3, "it is back without a bound");
}

/// A scheduler that has just begun, with a job of 6 tasks of account `a`, which may run 4. Its workers were those of an
/// earlier scheduler; those in `asked` have been asked and run nothing.
fn taken_over(asked: &[usize]) -> Bed {
    let mut bed = Bed::new(0);
    (0..3).for_each(|number| bed.meet(number));
    // Jobs that come from now on are none that it can have started.
    bed.cell.predecessor_is_done = true;
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.bound(&[("a", 4_000), ("b", 4_000)]);
    bed.jobs = 1;
    bed.cell.admit(1, accepted("a", step(6)), Some(&Progress::default()));
    asked.iter().for_each(|number| bed.look(*number, 0));
    bed
}

#[test]
fn after_a_takeover_what_is_not_known_counts_as_running() {
    // The one that was not asked may run all six, whatever else is free.
    let mut bed = taken_over(&[0, 1]);
    let late = bed.submit("a", step(1));
    let other = bed.submit("b", step(1));
    let started = bed.place();
    assert_eq!((of(&started, late), of(&started, other)), (0, 1));
    // It runs three.
    let runs = (0..3)
        .map(|index| ("w2".to_owned(), TaskName { job: 1, repetition: 0, step: 0, index }, 3));
    bed.running.extend(runs);
    bed.look(2, 0);
    assert_eq!(bed.place().len(), 1, "four may run");
    let mut bed = taken_over(&[0, 1, 2]);
    assert_eq!(bed.place().len(), 4);
}

#[test]
fn a_worker_that_had_fallen_silent_hides_no_more_than_the_store_names() {
    let mut bed = taken_over(&[0, 1, 2]);
    let tasks = vec![(1, (0, 0, 0))];
    let known = StoredWorker {
        addr: addr(),
        service: "work".to_owned(),
        machine: None,
        unresponsive_with: Some(tasks),
    };
    bed.cell.restore_worker("gone".into(), known, bed.now);
    bed.cell.unpolled.insert("gone".into());
    let started = bed.place();
    assert_eq!(started.len(), 3, "one of four may be on the silent worker");
    assert!(started.iter().all(|task| task.index != 0));
    bed.cell.expire_runs(&"gone".into());
    assert_eq!(bed.place().len(), 1);
}

/// What may happen to a worker, a job or a bound.
#[derive(Clone, Debug)]
enum Happening {
    Meet(usize),
    Look(usize, usize),
    Miss(usize),
    Bury(usize),
    Lapse(usize),
    /// Another scheduler follows; the one before had ended, so what comes from now on it cannot have started.
    Overtake(bool),
    Job {
        account: usize,
        tasks: u32,
        cpu: u32,
        lasts: bool,
        fills: bool,
        gang: bool,
    },
    Cancel(u64),
    Bound(usize, u64),
    Place,
}

fn happening() -> impl Strategy<Value = Happening> {
    let worker = 0..4_usize;
    let job = (0..2_usize, 1..6_u32, 1..3_000_u32, any::<bool>(), any::<bool>(), any::<bool>());
    prop_oneof![
        2 => worker.clone().prop_map(Happening::Meet),
        6 => (worker.clone(), 0..4_usize).prop_map(|(number, ended)| Happening::Look(number, ended)),
        1 => worker.clone().prop_map(Happening::Miss),
        1 => worker.clone().prop_map(Happening::Bury),
        1 => worker.prop_map(Happening::Lapse),
        1 => any::<bool>().prop_map(Happening::Overtake),
        5 => job.prop_map(|(account, tasks, cpu, lasts, fills, gang)| {
            Happening::Job { account, tasks, cpu, lasts, fills: lasts && fills, gang: !lasts && gang }
        }),
        1 => (1..20_u64).prop_map(Happening::Cancel),
        2 => (0..2_usize, 0..9_000_u64).prop_map(|(account, cpu)| Happening::Bound(account, cpu)),
        6 => Just(Happening::Place),
    ]
}

/// What workers really run for an account.
fn really_runs(bed: &Bed, account: &str) -> u64 {
    let owned = bed.running.iter().filter_map(|(_, task, _)| {
        let entry = bed.cell.jobs.get(&task.job)?;
        (entry.accepted.account.as_deref() == Some(account))
            .then(|| entry.step(task.step).unwrap().cpu)
    });
    owned.map(u64::from).sum()
}

impl Bed {
    fn happen(&mut self, what: Happening, bounds: &mut [u64; 2]) {
        self.tick();
        match what {
            Happening::Meet(number) => self.meet(number),
            Happening::Look(number, ended) => self.look(number, ended),
            Happening::Miss(number) => self.cell.on_failed_poll(&format!("w{number}").into()),
            Happening::Bury(number) | Happening::Lapse(number) => {
                let id = format!("w{number}");
                self.forget_runs(&id);
                match what {
                    Happening::Bury(_) => self.cell.mark_ended(&id.as_str().into(), "a test"),
                    _ => self.cell.expire_runs(&id.as_str().into()),
                }
            }
            Happening::Overtake(is_done) => self.overtake(*bounds, is_done),
            Happening::Job { account, tasks, cpu, lasts, fills, gang } => {
                let step =
                    Step { cpu, long_running: lasts, best_effort: fills, gang, ..step(tasks) };
                self.submit(ACCOUNTS[account], step);
            }
            Happening::Cancel(job) => drop(self.cell.cancel(job)),
            Happening::Bound(account, cpu) => {
                bounds[account] = cpu;
                self.bound(&[("a", bounds[0]), ("b", bounds[1])]);
            }
            Happening::Place => drop(self.place()),
        }
    }

    /// Another scheduler goes on with the jobs and the workers, and has asked none of them.
    fn overtake(&mut self, bounds: [u64; 2], predecessor_is_done: bool) {
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
        let (version, last) = (self.version.max(1), bounds);
        cell.set_quotas(&config(version, &[("a", last[0]), ("b", last[1])]));
        self.cell = cell;
    }
}

proptest! {
    /// The totals are what a full count gives, and no round starts anything that lifts what workers really run for an
    /// account above its bound, also just after a takeover.
    #[test]
    fn no_start_goes_above_a_bound(happenings in prop::collection::vec(happening(), 1..120)) {
        let mut bed = Bed::new(3);
        let mut bounds = [0, 0];
        bed.bound(&[("a", 0), ("b", 0)]);
        for what in happenings {
            let told = format!("{what:?}");
            let before = ACCOUNTS.map(|account| really_runs(&bed, account));
            let places = matches!(what, Happening::Place);
            bed.happen(what, &mut bounds);
            prop_assert_eq!(bed.cell.workers.faults(), Vec::<String>::new(), "after {}", told);
            for (number, account) in ACCOUNTS.iter().enumerate() {
                let runs = really_runs(&bed, account);
                let is_above = bounds[number] > 0 && runs > bounds[number];
                let has_risen = places && runs > before[number];
                prop_assert!(!is_above || !has_risen, "{account} runs {runs} after {told}");
            }
        }
        if bed.cell.workers.values().all(|worker| worker.allocations.is_empty()) {
            prop_assert_eq!(bed.cell.workers.totals(), &Totals::default());
        }
    }
}
