//! Tasks that bring down the workers that start them: how often they are started, by whichever scheduler,
//! and what that costs the tasks beside them.

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
use spokelift_testutils::batch::addr;
use spokelift_testutils::batch::entry;

const TOKEN: u64 = 10;
/// Time between two looks at a worker here.
const LOOK: Duration = Duration::from_millis(50);

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn task(job: JobId, step: u16, index: u32) -> TaskName {
    TaskName { job, repetition: 0, step, index }
}

/// A scheduler's state, and what its workers run.
struct Bed {
    cell: Cell,
    now: Instant,
    clock: u64,
    /// Which life lives on each box.
    lives: HashMap<String, String>,
    running: Vec<(String, TaskName, Run)>,
    starts: HashMap<TaskName, u32>,
    count: u32,
}

impl Bed {
    fn new(boxes: u32) -> Bed {
        Bed::of(0, boxes)
    }

    /// A site whose boxes and lives are numbered from `first` on, so that no two sites share one.
    fn of(first: u32, boxes: u32) -> Bed {
        let mut bed = Bed {
            cell: Cell::new(TOKEN),
            now: clock::now(),
            clock: 1_000,
            lives: HashMap::new(),
            running: Vec::new(),
            starts: HashMap::new(),
            count: first,
        };
        for number in first..first + boxes {
            bed.live(&format!("m{number}"));
        }
        bed.look_at_all();
        bed
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.clock += time.as_millis() as u64;
    }

    /// A new life begins on a box and is met.
    fn live(&mut self, machine: &str) -> String {
        self.count += 1;
        let id = format!("w{}", self.count);
        self.lives.insert(machine.to_owned(), id.clone());
        self.cell.discover(
            Peer { incarnation: id.clone().into(), addr: addr() },
            entry(machine, 8_000),
            self.now,
        );
        id
    }

    fn look(&mut self, id: &str) {
        let sent = self.now;
        self.pass(Duration::from_millis(1));
        let mine = self.running.iter().filter(|(worker, ..)| worker == id);
        let running = mine.map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let seen = PollResponse {
            clock: self.clock,
            running: running.collect(),
            ended: Vec::new(),
            birth_ms: None,
        };
        self.cell.on_poll(&id.into(), sent, self.now, seen);
    }

    fn look_at_all(&mut self) {
        self.pass(LOOK);
        let ids: Vec<String> = self.lives.values().cloned().collect();
        for id in ids {
            self.look(&id);
        }
    }

    /// The store knows of all changes so far.
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
        let found = self.lives.iter().find(|(_, life)| *life == id);
        found.map(|(machine, _)| machine.clone()).unwrap()
    }

    /// A worker crashes; two seconds later another life on its box answers.
    fn crash(&mut self, id: &str) {
        let machine = self.box_of(id);
        self.running.retain(|(worker, ..)| worker != id);
        self.cell.on_failed_poll(&id.into());
        self.pass(Duration::from_millis(2_000));
        let next = self.live(&machine);
        self.look(&next);
    }

    /// Starts what can be started, and whichever worker got the task crashes, until the task is started no
    /// more; how often it was.
    fn play_poison(&mut self, poison: TaskName) -> u32 {
        for _ in 0..12 {
            self.flush();
            let started = self.start();
            if let Some((worker, _)) = started.iter().find(|(_, task)| *task == poison) {
                let worker = worker.clone();
                self.crash(&worker);
            }
            self.look_at_all();
            self.pass(Duration::from_millis(1_100));
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

    /// What the store knows of crashes, from records as they are written.
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
fn a_task_that_brings_down_each_worker_is_given_up_at_the_second_crash_by_itself() {
    let mut bed = Bed::new(4);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.play_poison(task(1, 0, 0)), 2);
    assert_eq!(bed.state(1), Some(JobState::Failed));
}

#[test]
fn a_task_that_lasts_and_brings_down_each_worker_is_given_up_at_the_third_crash() {
    let mut bed = Bed::new(4);
    bed.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    assert_eq!(bed.play_poison(task(1, 0, 0)), 3);
    assert_eq!(bed.state(1), Some(JobState::Failed));
}

/// Their crashes come together and would explain each other, so that each was started a fourth time.
#[test]
fn tasks_that_bring_down_their_workers_together_are_given_up_at_the_third_crash() {
    let mut bed = Bed::new(8);
    let guilty = [task(1, 0, 0), task(2, 0, 0), task(3, 0, 0)];
    for name in guilty {
        let large = Step { cpu: 8_000, ..step(1) };
        bed.cell.admit(name.job, accepted(vec![large]), None);
    }
    for _ in 0..5 {
        bed.flush();
        let started = bed.start();
        for (worker, _) in &started {
            bed.cell.on_failed_poll(&worker.as_str().into());
        }
        for (worker, _) in started {
            bed.crash(&worker);
        }
        bed.pass(Duration::from_millis(1_100));
        bed.look_at_all();
    }
    for name in guilty {
        assert_eq!(bed.state(name.job), Some(JobState::Failed));
        assert_eq!(bed.evidence(name)[0], Evidence::Correlated);
        assert_eq!(bed.starts[&name], 3);
    }
}

#[test]
fn a_gang_whose_member_brings_down_each_worker_is_given_up_in_time() {
    let mut bed = Bed::new(4);
    let apart = Step { gang: true, max_per_worker: 1, ..step(3) };
    bed.cell.admit(1, accepted(vec![apart]), None);
    let mut starts = 0;
    for _ in 0..8 {
        bed.flush();
        let started = bed.start();
        let poison = started.iter().find(|(_, member)| *member == task(1, 0, 1));
        let Some((worker, _)) = poison.cloned() else { continue };
        starts += 1;
        bed.crash(&worker);
        // The others are broken by it.
        for (worker, member, run) in std::mem::take(&mut bed.running) {
            bed.cell.on_refused(&worker.as_str().into(), member, run, None, bed.now);
        }
        bed.pass(Duration::from_millis(1_200));
        bed.look_at_all();
    }
    assert_eq!(bed.state(1), Some(JobState::Failed));
    assert!(starts <= 3, "started {starts} times");
}

#[test]
fn a_task_that_brings_a_worker_down_late_is_given_up_too() {
    let mut bed = Bed::new(4);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let mut starts = 0;
    for _ in 0..10 {
        bed.flush();
        let Some((worker, _)) = bed.start().into_iter().next() else { continue };
        starts += 1;
        // It is seen at work for a while before.
        bed.pass(Duration::from_millis(800));
        bed.look_at_all();
        bed.crash(&worker);
    }
    assert_eq!(bed.state(1), Some(JobState::Failed));
    assert_eq!(starts, 4);
}

#[test]
fn the_neighbours_of_a_poison_task_are_not_given_up() {
    let mut bed = Bed::new(3);
    for job in 1..5 {
        bed.cell.admit(job, accepted(vec![step(2)]), None);
    }
    let poison = task(1, 0, 0);
    assert!(bed.play_poison(poison) <= 3);
    assert_eq!(bed.state(1), Some(JobState::Failed));
    for job in 2..5 {
        assert_eq!(bed.state(job), None, "job {job}");
    }
}

#[test]
fn a_suspect_begins_where_nothing_else_has_just_begun_and_nothing_else_begins_beside_it() {
    let mut bed = Bed::new(2);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    let started = bed.start();
    assert_eq!(started[0].0, started[1].0, "both are put where the other one is");
    bed.crash(&started[0].0.clone());
    bed.flush();
    let again = bed.start();
    assert_eq!(again.len(), 2);
    assert_ne!(again[0].0, again[1].0, "each begins by itself");
    bed.cell.admit(3, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), [], "nothing begins beside them");
    bed.pass(Duration::from_millis(250));
    assert_eq!(bed.start().len(), 1, "for a moment only");
}

#[test]
fn suspects_do_not_wait_for_long_where_every_worker_starts_others() {
    let mut bed = Bed::new(1);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = bed.start().remove(0);
    bed.crash(&worker);
    bed.flush();
    // Something of another job is always about to begin on the only worker.
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    let begun = bed.now;
    let mut job = 2;
    while bed.starts[&task(1, 0, 0)] < 2 {
        job += 1;
        bed.cell.admit(job, accepted(vec![step(1)]), None);
        bed.start();
        bed.pass(Duration::from_millis(50));
        assert!(bed.now - begun < Duration::from_millis(1_500), "it waits without end");
    }
}

#[test]
fn a_worker_that_was_only_cut_off_counts_against_nothing() {
    let mut bed = Bed::new(2);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = bed.start().remove(0);
    bed.cell.on_failed_poll(&worker.as_str().into());
    bed.cell.expire_runs(&worker.as_str().into());
    assert_eq!(bed.evidence(task(1, 0, 0)), []);
    // The same life answers again.
    bed.running.clear();
    bed.pass(Duration::from_millis(6_000));
    bed.look(&worker.clone());
    bed.crash(&worker);
    assert_eq!(bed.evidence(task(1, 0, 0)), [], "it was not there any more as it crashed");
}

#[test]
fn a_crash_that_shows_only_after_the_lease_counts() {
    let mut bed = Bed::new(2);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, _) = bed.start().remove(0);
    bed.cell.on_failed_poll(&worker.as_str().into());
    bed.cell.expire_runs(&worker.as_str().into());
    bed.crash(&worker);
    assert_eq!(bed.evidence(task(1, 0, 0)), [Evidence::OnlyRecent]);

    // The same where the store has let go of its entry by then.
    bed.pass(Duration::from_millis(1_100));
    let (worker, _) = bed.start().remove(0);
    let machine = bed.box_of(&worker);
    bed.cell.on_failed_poll(&worker.as_str().into());
    bed.cell.mark_unlisted(&worker, None);
    bed.cell.remove_unresponsive(&worker.as_str().into());
    bed.running.clear();
    bed.pass(Duration::from_millis(3_000));
    let next = bed.live(&machine);
    bed.look(&next);
    assert_eq!(bed.evidence(task(1, 0, 0)).len(), 2);
}

#[test]
fn a_worker_that_leaves_or_is_moved_counts_against_nothing() {
    for why in ["drains", "cordoned", "moved"] {
        let mut bed = Bed::new(2);
        bed.cell.admit(1, accepted(vec![step(1)]), None);
        let (worker, _) = bed.start().remove(0);
        let machine = bed.box_of(&worker);
        match why {
            "moved" => bed.cell.end_incarnations_elsewhere(&machine, "other"),
            "cordoned" => {
                bed.cell.workers.get_mut(&worker.as_str().into()).unwrap().cordoned = true;
                bed.crash(&worker);
            }
            _ => {
                let entry = bed.cell.workers[worker.as_str()].entry.clone();
                let entry = Entry { draining: true, ..entry };
                let peer = Peer { incarnation: worker.clone().into(), addr: addr() };
                bed.cell.discover(peer, entry, bed.now);
                bed.crash(&worker);
            }
        }
        assert_eq!(bed.evidence(task(1, 0, 0)), [], "{why}");
    }
}

#[test]
fn a_start_without_an_answer_is_weak_evidence() {
    let mut bed = Bed::new(1);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    for number in 1..=3 {
        bed.flush();
        bed.cell.place_ready(bed.now, Duration::from_secs(1));
        bed.cell.outbox.clear();
        let worker = bed.lives["m0"].clone();
        bed.crash(&worker);
        bed.pass(Duration::from_millis(1_100));
        assert_eq!(bed.evidence(task(1, 0, 0)), vec![Evidence::Uncertain; number]);
        assert_eq!(bed.state(1), None, "it may never have been there");
    }
}

#[test]
fn a_task_that_lasts_is_cleared_by_being_at_work() {
    let mut bed = Bed::new(2);
    bed.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    for crashes in 1..=2 {
        let (worker, _) = bed.start().remove(0);
        bed.crash(&worker);
        bed.pass(Duration::from_millis(1_100));
        bed.flush();
        assert_eq!(bed.evidence(task(1, 0, 0)).len(), crashes);
    }
    let (worker, _) = bed.start().remove(0);
    bed.pass(Duration::from_millis(5_000));
    bed.look(&worker);
    bed.crash(&worker);
    assert_eq!(bed.evidence(task(1, 0, 0)), []);
}

#[test]
fn the_next_scheduler_goes_on_counting() {
    let job = accepted(vec![step(1)]);
    let mut crashes = HashMap::new();
    let mut starts = 0;
    for first in [0, 10, 20, 30, 40, 50] {
        // Each scheduler sees one crash, writes it down and is lost.
        let mut bed = Bed::of(first, 3);
        bed.cell.admit(1, job.clone(), Some(&Progress::default()));
        bed.cell.clear_inherited();
        bed.cell.restore_crashes(&crashes);
        let Some((worker, _)) = bed.start().into_iter().next() else { continue };
        starts += 1;
        bed.crash(&worker);
        crashes.extend(bed.crashes_in_store());
        if bed.state(1) == Some(JobState::Failed) {
            break;
        }
    }
    assert_eq!(starts, 2);
}

#[test]
fn after_two_crashes_a_task_waits_until_the_store_knows_of_them() {
    let mut bed = Bed::new(3);
    bed.cell.admit(1, accepted(vec![Step { long_running: true, ..step(1) }]), None);
    let (worker, _) = bed.start().remove(0);
    bed.crash(&worker);
    bed.pass(Duration::from_millis(1_100));
    let (worker, _) = bed.start().remove(0);
    bed.crash(&worker);
    bed.pass(Duration::from_millis(1_100));
    assert_eq!(bed.start(), [], "a scheduler that is lost now would take two crashes with it");
    bed.flush();
    assert_eq!(bed.start().len(), 1);
}

#[test]
fn tasks_on_a_worker_that_fell_silent_before_a_takeover_are_counted_after_it() {
    let mut first = Bed::new(2);
    first.cell.admit(1, accepted(vec![step(1)]), None);
    let (silent, _) = first.start().remove(0);
    first.cell.on_failed_poll(&silent.as_str().into());
    let flush = first.cell.take_flush();
    let records = flush.records.iter().map(|record| ProgressRecord::decode(record).unwrap());
    let mut known = records.filter_map(|record| match record {
        ProgressRecord::Worker(id, known) if id == silent.as_str().into() => Some(known),
        _ => None,
    });
    let known = known.next_back().unwrap();

    let mut second = Bed::of(10, 1);
    second.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    second.cell.restore_worker(silent.as_str().into(), known.clone(), second.now);
    let entry = second.cell.workers["w11"].entry.clone();
    let entry = Entry { machine: known.machine.clone(), ..entry };
    second.cell.discover(
        Peer { incarnation: silent.clone().into(), addr: addr() },
        entry,
        second.now,
    );
    second.pass(Duration::from_millis(2_000));
    let next = second.live(&known.machine.unwrap());
    second.look(&next);
    assert_eq!(second.evidence(task(1, 0, 0)), [Evidence::Uncertain]);
}

#[test]
fn the_record_of_crashes_is_let_go_of_with_its_job() {
    let mut bed = Bed::new(2);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.cell.record_kept(JobKey { id: 1, account: None }, 0);
    let (worker, _) = bed.start().remove(0);
    bed.crash(&worker);
    assert!(!bed.crashes_in_store().is_empty());
    bed.cell.forget_job(1);
    let flush = bed.cell.take_flush();
    let gone = record::forget_crashes(1);
    assert!(flush.records.contains(&gone));
}

#[test]
fn a_record_of_progress_of_before_crashes_were_counted_is_still_read() {
    let progress = Progress { started: true, ..Progress::default() };
    let record = record::progress(7, &progress);
    // End, begun, done and failed, a byte each.
    assert_eq!(record.value.as_deref(), Some([0, 1, 0, 0].as_slice()));
    assert_eq!(ProgressRecord::decode(&record).unwrap(), ProgressRecord::Progress(7, progress));
}
