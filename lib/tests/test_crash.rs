//! Tasks that crash the workers that start them: how often they are started, by whichever
//! scheduler, and what that costs the tasks beside them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::crash::Evidence;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::Crashes;
use spokelift_lib::batch::record::JobKey;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::transport::clock;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 10;
/// Time between two polls of a worker.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn task(job: JobId, step: u16, index: u32) -> TaskName {
    TaskName { job, repetition: 0, step, index }
}

/// A scheduler's state, and what its workers run.
struct Fixture {
    cell: Cell,
    now: Instant,
    clock: u64,
    /// The id of the incarnation on each box.
    incarnations: HashMap<String, String>,
    running: Vec<(String, TaskName, Run)>,
    starts: HashMap<TaskName, u32>,
    count: u32,
}

impl Fixture {
    fn new(boxes: u32) -> Fixture {
        Fixture::of(0, boxes)
    }

    /// A fleet whose boxes and incarnations are numbered from `first` on, so that two fleets share
    /// none.
    fn of(first: u32, boxes: u32) -> Fixture {
        let mut fixture = Fixture {
            cell: Cell::new(TOKEN),
            now: clock::now(),
            clock: 1_000,
            incarnations: HashMap::new(),
            running: Vec::new(),
            starts: HashMap::new(),
            count: first,
        };
        for number in first..first + boxes {
            fixture.start_incarnation(&format!("m{number}"));
        }
        fixture.poll_all();
        fixture
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.clock += time.as_millis() as u64;
    }

    /// Starts a new incarnation on a box, and the scheduler discovers it.
    fn start_incarnation(&mut self, machine: &str) -> String {
        self.count += 1;
        let id = format!("w{}", self.count);
        self.incarnations.insert(machine.to_owned(), id.clone());
        self.cell.discover(
            Peer { incarnation: id.clone().into(), addr: unused_addr() },
            entry(machine, 8_000),
            self.now,
        );
        id
    }

    fn poll(&mut self, id: &str) {
        let sent = self.now;
        self.advance(Duration::from_millis(1));
        let own = self.running.iter().filter(|(worker, ..)| worker == id);
        let running = own.map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let response = PollResponse {
            clock: self.clock,
            running: running.collect(),
            ended: Vec::new(),
            birth_ms: None,
        };
        self.cell.on_poll(&id.into(), sent, self.now, response);
    }

    fn poll_all(&mut self) {
        self.advance(POLL_INTERVAL);
        let ids: Vec<String> = self.incarnations.values().cloned().collect();
        for id in ids {
            self.poll(&id);
        }
    }

    /// Writes all changes so far to the store.
    fn flush(&mut self) {
        let flush = self.cell.take_flush();
        self.cell.on_flushed(&flush);
    }

    /// Starts what can be started; every start is answered.
    fn start(&mut self) -> Vec<(String, TaskName)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let mut started = Vec::new();
        for order in std::mem::take(&mut self.cell.outbox) {
            if let Order::Start { peer, task, run, .. } = order {
                self.cell.on_started(&peer.incarnation, task, run, self.now);
                self.running.push((peer.incarnation.to_string(), task, run));
                *self.starts.entry(task).or_default() += 1;
                started.push((peer.incarnation.to_string(), task));
            }
        }
        started
    }

    fn box_of(&self, id: &str) -> String {
        let found = self.incarnations.iter().find(|(_, incarnation)| *incarnation == id);
        found.map(|(machine, _)| machine.clone()).unwrap()
    }

    /// Crashes a worker; two seconds later another incarnation on its box answers.
    fn crash(&mut self, id: &str) {
        let machine = self.box_of(id);
        self.running.retain(|(worker, ..)| worker != id);
        self.cell.on_failed_poll(&id.into());
        self.advance(Duration::from_millis(2_000));
        let next = self.start_incarnation(&machine);
        self.poll(&next);
    }

    /// Starts what can be started and crashes the worker that got the task, until the task is
    /// started no more; returns how often it was started.
    fn run_poison(&mut self, poison: TaskName) -> u32 {
        for _ in 0..12 {
            self.flush();
            let started = self.start();
            if let Some((worker, _)) = started.iter().find(|(_, task)| *task == poison) {
                let worker = worker.clone();
                self.crash(&worker);
            }
            self.poll_all();
            self.advance(Duration::from_millis(1_100));
        }
        self.starts.get(&poison).copied().unwrap_or(0)
    }

    fn state(&self, job: JobId) -> Option<JobState> {
        self.cell.jobs[&job].end
    }

    /// Evidence of each crash under a task.
    fn evidence(&mut self, name: TaskName) -> Vec<Evidence> {
        let task = self.cell.jobs.get_mut(&name.job).unwrap().task_mut(name).unwrap();
        task.crashes.iter().map(|crash| crash.evidence).collect()
    }

    /// The crashes in the store, decoded from the records as they are written.
    fn crashes_in_store(&mut self) -> HashMap<JobId, Crashes> {
        let flush = self.cell.take_flush();
        self.cell.on_flushed(&flush);
        let records = flush.records.iter().map(|record| ProgressRecord::decode(record).unwrap());
        let crashes = records.filter_map(|record| match record {
            ProgressRecord::Crashes(id, crashes) => Some((id, crashes)),
            _ => None,
        });
        crashes.collect()
    }
}

#[test]
fn a_task_that_crashes_each_worker_is_abandoned_at_the_second_isolated_crash() {
    let mut fixture = Fixture::new(4);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.run_poison(task(1, 0, 0)), 2);
    assert_eq!(fixture.state(1), Some(JobState::Failed));
}

#[test]
fn a_long_running_task_that_crashes_each_worker_is_abandoned_at_the_third_crash() {
    let mut fixture = Fixture::new(4);
    fixture.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    assert_eq!(fixture.run_poison(task(1, 0, 0)), 3);
    assert_eq!(fixture.state(1), Some(JobState::Failed));
}

/// The crashes come together. A worker with a task that crashed another worker before must not
/// count as correlated: otherwise each crash explains the others, and each task is started a fourth
/// time.
#[test]
fn tasks_that_crash_their_workers_together_are_abandoned_at_the_third_crash() {
    let mut fixture = Fixture::new(8);
    let guilty = [task(1, 0, 0), task(2, 0, 0), task(3, 0, 0)];
    for name in guilty {
        let large = Step { cpu: 8_000, ..step(1) };
        fixture.cell.admit(name.job, accepted(vec![large]), None);
    }
    for _ in 0..5 {
        fixture.flush();
        let started = fixture.start();
        for (worker, _) in &started {
            fixture.cell.on_failed_poll(&worker.as_str().into());
        }
        for (worker, _) in started {
            fixture.crash(&worker);
        }
        fixture.advance(Duration::from_millis(1_100));
        fixture.poll_all();
    }
    for name in guilty {
        assert_eq!(fixture.state(name.job), Some(JobState::Failed));
        assert_eq!(fixture.evidence(name)[0], Evidence::Correlated);
        assert_eq!(fixture.starts[&name], 3);
    }
}

#[test]
fn a_gang_whose_member_crashes_each_worker_is_abandoned_in_time() {
    let mut fixture = Fixture::new(4);
    let apart = Step { gang: true, max_per_worker: 1, ..step(3) };
    fixture.cell.admit(1, accepted(vec![apart]), None);
    let mut starts = 0;
    for _ in 0..8 {
        fixture.flush();
        let started = fixture.start();
        let poison = started.iter().find(|(_, member)| *member == task(1, 0, 1));
        let Some((worker, _)) = poison.cloned() else { continue };
        starts += 1;
        fixture.crash(&worker);
        // The other members of the gang end with it.
        for (worker, member, run) in std::mem::take(&mut fixture.running) {
            fixture.cell.on_refused(&worker.as_str().into(), member, run, None, fixture.now);
        }
        fixture.advance(Duration::from_millis(1_200));
        fixture.poll_all();
    }
    assert_eq!(fixture.state(1), Some(JobState::Failed));
    assert!(starts <= 3, "started {starts} times");
}

#[test]
fn a_task_that_crashes_workers_late_is_abandoned_too() {
    let mut fixture = Fixture::new(4);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let mut starts = 0;
    for _ in 0..10 {
        fixture.flush();
        let Some((worker, _)) = fixture.start().into_iter().next() else { continue };
        starts += 1;
        // It is observed running for a while first.
        fixture.advance(Duration::from_millis(800));
        fixture.poll_all();
        fixture.crash(&worker);
    }
    assert_eq!(fixture.state(1), Some(JobState::Failed));
    assert_eq!(starts, 4);
}

#[test]
fn tasks_beside_a_poison_task_are_not_abandoned() {
    let mut fixture = Fixture::new(3);
    for job in 1..5 {
        fixture.cell.admit(job, accepted(vec![step(2)]), None);
    }
    let poison = task(1, 0, 0);
    assert!(fixture.run_poison(poison) <= 3);
    assert_eq!(fixture.state(1), Some(JobState::Failed));
    for job in 2..5 {
        assert_eq!(fixture.state(job), None, "job {job}");
    }
}

#[test]
fn a_suspect_starts_where_nothing_else_just_started_and_nothing_else_starts_beside_it() {
    let mut fixture = Fixture::new(2);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    let started = fixture.start();
    assert_eq!(started[0].0, started[1].0, "both are placed on the same worker");
    fixture.crash(&started[0].0.clone());
    fixture.flush();
    let again = fixture.start();
    assert_eq!(again.len(), 2);
    assert_ne!(again[0].0, again[1].0, "each starts on a worker of its own");
    fixture.cell.admit(3, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), [], "nothing starts beside them");
    fixture.advance(Duration::from_millis(250));
    assert_eq!(fixture.start().len(), 1, "only for the time of the quarantine");
}

#[test]
fn suspects_do_not_wait_for_long_where_every_worker_starts_others() {
    let mut fixture = Fixture::new(1);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = fixture.start().remove(0);
    fixture.crash(&worker);
    fixture.flush();
    // A task of another job is always about to start on the only worker.
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    let started_at = fixture.now;
    let mut job = 2;
    while fixture.starts[&task(1, 0, 0)] < 2 {
        job += 1;
        fixture.cell.admit(job, accepted(vec![step(1)]), None);
        fixture.start();
        fixture.advance(Duration::from_millis(50));
        assert!(fixture.now - started_at < Duration::from_millis(1_500), "it waits indefinitely");
    }
}

#[test]
fn a_partitioned_worker_counts_against_no_task() {
    let mut fixture = Fixture::new(2);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = fixture.start().remove(0);
    fixture.cell.on_failed_poll(&worker.as_str().into());
    fixture.cell.expire_runs(&worker.as_str().into());
    assert_eq!(fixture.evidence(task(1, 0, 0)), []);
    // The same incarnation answers again.
    fixture.running.clear();
    fixture.advance(Duration::from_millis(6_000));
    fixture.poll(&worker.clone());
    fixture.crash(&worker);
    assert_eq!(fixture.evidence(task(1, 0, 0)), [], "it was not on the worker at the crash");
}

#[test]
fn a_crash_detected_after_the_lease_counts() {
    let mut fixture = Fixture::new(2);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = fixture.start().remove(0);
    fixture.cell.on_failed_poll(&worker.as_str().into());
    fixture.cell.expire_runs(&worker.as_str().into());
    fixture.crash(&worker);
    assert_eq!(fixture.evidence(task(1, 0, 0)), [Evidence::OnlyRecent]);

    // The same if the store no longer lists its entry by then.
    fixture.advance(Duration::from_millis(1_100));
    let (worker, _) = fixture.start().remove(0);
    let machine = fixture.box_of(&worker);
    fixture.cell.on_failed_poll(&worker.as_str().into());
    fixture.cell.mark_unlisted(&worker, None);
    fixture.cell.remove_unresponsive(&worker.as_str().into());
    fixture.running.clear();
    fixture.advance(Duration::from_millis(3_000));
    let next = fixture.start_incarnation(&machine);
    fixture.poll(&next);
    assert_eq!(fixture.evidence(task(1, 0, 0)).len(), 2);
}

#[test]
fn a_worker_that_leaves_or_is_moved_counts_against_no_task() {
    for why in ["drains", "cordoned", "moved"] {
        let mut fixture = Fixture::new(2);
        fixture.cell.admit(1, accepted(vec![step(1)]), None);
        let (worker, _) = fixture.start().remove(0);
        let machine = fixture.box_of(&worker);
        match why {
            "moved" => fixture.cell.end_incarnations_elsewhere(&machine, "other"),
            "cordoned" => {
                fixture.cell.workers.get_mut(&worker.as_str().into()).unwrap().cordoned = true;
                fixture.crash(&worker);
            }
            _ => {
                let entry = fixture.cell.workers[worker.as_str()].entry.clone();
                let entry = Entry { draining: true, ..entry };
                let peer = Peer { incarnation: worker.clone().into(), addr: unused_addr() };
                fixture.cell.discover(peer, entry, fixture.now);
                fixture.crash(&worker);
            }
        }
        assert_eq!(fixture.evidence(task(1, 0, 0)), [], "{why}");
    }
}

#[test]
fn a_start_without_an_answer_is_weak_evidence() {
    let mut fixture = Fixture::new(1);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    for number in 1..=3 {
        fixture.flush();
        fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
        fixture.cell.outbox.clear();
        let worker = fixture.incarnations["m0"].clone();
        fixture.crash(&worker);
        fixture.advance(Duration::from_millis(1_100));
        assert_eq!(fixture.evidence(task(1, 0, 0)), vec![Evidence::Uncertain; number]);
        assert_eq!(fixture.state(1), None, "it may never have been there");
    }
}

#[test]
fn a_long_running_task_is_cleared_by_running() {
    let mut fixture = Fixture::new(2);
    fixture.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    for crashes in 1..=2 {
        let (worker, _) = fixture.start().remove(0);
        fixture.crash(&worker);
        fixture.advance(Duration::from_millis(1_100));
        fixture.flush();
        assert_eq!(fixture.evidence(task(1, 0, 0)).len(), crashes);
    }
    let (worker, _) = fixture.start().remove(0);
    fixture.advance(Duration::from_millis(5_000));
    fixture.poll(&worker);
    fixture.crash(&worker);
    assert_eq!(fixture.evidence(task(1, 0, 0)), []);
}

#[test]
fn the_next_scheduler_continues_the_count() {
    let job = accepted(vec![step(1)]);
    let mut crashes = HashMap::new();
    let mut starts = 0;
    for first in [0, 10, 20, 30, 40, 50] {
        // Each scheduler observes one crash, records it and fails.
        let mut fixture = Fixture::of(first, 3);
        fixture.cell.admit(1, job.clone(), Some(&Progress::default()));
        fixture.cell.clear_inherited();
        fixture.cell.restore_crashes(&crashes);
        let Some((worker, _)) = fixture.start().into_iter().next() else { continue };
        starts += 1;
        fixture.crash(&worker);
        crashes.extend(fixture.crashes_in_store());
        if fixture.state(1) == Some(JobState::Failed) {
            break;
        }
    }
    assert_eq!(starts, 2);
}

#[test]
fn after_two_crashes_a_task_waits_until_they_are_in_the_store() {
    let mut fixture = Fixture::new(3);
    fixture.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    let (worker, _) = fixture.start().remove(0);
    fixture.crash(&worker);
    fixture.advance(Duration::from_millis(1_100));
    let (worker, _) = fixture.start().remove(0);
    fixture.crash(&worker);
    fixture.advance(Duration::from_millis(1_100));
    assert_eq!(fixture.start(), [], "a scheduler that fails now would lose two crashes");
    fixture.flush();
    assert_eq!(fixture.start().len(), 1);
}

#[test]
fn tasks_on_a_worker_that_became_unresponsive_before_a_takeover_are_counted_after_it() {
    let mut first = Fixture::new(2);
    first.cell.admit(1, accepted(vec![step(1)]), None);
    let (unresponsive, _) = first.start().remove(0);
    first.cell.on_failed_poll(&unresponsive.as_str().into());
    let flush = first.cell.take_flush();
    let records = flush.records.iter().map(|record| ProgressRecord::decode(record).unwrap());
    let mut stored = records.filter_map(|record| match record {
        ProgressRecord::Worker(id, stored) if id == unresponsive.as_str().into() => Some(stored),
        _ => None,
    });
    let stored = stored.next_back().unwrap();

    let mut second = Fixture::of(10, 1);
    second.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    second.cell.restore_worker(unresponsive.as_str().into(), stored.clone(), second.now);
    let entry = second.cell.workers["w11"].entry.clone();
    let entry = Entry { machine: stored.machine.clone(), ..entry };
    second.cell.discover(
        Peer { incarnation: unresponsive.clone().into(), addr: unused_addr() },
        entry,
        second.now,
    );
    second.advance(Duration::from_millis(2_000));
    let next = second.start_incarnation(&stored.machine.unwrap());
    second.poll(&next);
    assert_eq!(second.evidence(task(1, 0, 0)), [Evidence::Uncertain]);
}

#[test]
fn the_record_of_crashes_is_dropped_with_its_job() {
    let mut fixture = Fixture::new(2);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.cell.record_stored_in(JobKey { id: 1, account: None }, 0);
    let (worker, _) = fixture.start().remove(0);
    fixture.crash(&worker);
    assert!(!fixture.crashes_in_store().is_empty());
    fixture.cell.forget_job(1);
    let flush = fixture.cell.take_flush();
    let dropped = record::forget_crashes(1);
    assert!(flush.records.contains(&dropped));
}

#[test]
fn an_older_progress_record_without_crashes_still_decodes() {
    let progress = Progress { started: true, ..Progress::default() };
    let record = record::progress(7, &progress);
    // `end`, `started`, `done` and `failed`, one byte each.
    assert_eq!(record.value.as_deref(), Some([0, 1, 0, 0].as_slice()));
    assert_eq!(ProgressRecord::decode(&record).unwrap(), ProgressRecord::Progress(7, progress));
}
