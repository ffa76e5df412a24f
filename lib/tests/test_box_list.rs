//! Lives of workers that are over by the platform's list of boxes: nothing waits for what cannot run any more, and
//! everything waits for what may.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::pool::has_joined;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::transport::clock;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::addr;

const TOKEN: u64 = 10;
const MILLI: Duration = Duration::from_millis(1);

fn step(count: u32) -> Step {
    Step { count, cpu: 4_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn machine(number: usize, status: Status, worker: Option<&str>) -> Machine {
    batch::machine(&format!("m{number}"), status, worker)
}

/// A scheduler with worker `w0` on box `m0` and so on, each with room for one task.
struct Bed {
    cell: Cell,
    now: Instant,
    clock: u64,
}

impl Bed {
    fn new(workers: usize) -> Bed {
        let mut bed = Bed { cell: Cell::new(TOKEN), now: clock::now(), clock: 1_000 };
        for number in 0..workers {
            let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
            bed.cell.discover(peer, batch::entry(&format!("m{number}"), 4_000), bed.now);
        }
        bed
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.clock += time.as_millis() as u64;
    }

    fn look(&mut self, number: usize) {
        let sent = self.now;
        self.pass(MILLI);
        let seen =
            PollResponse { clock: self.clock, running: vec![], ended: vec![], birth_ms: None };
        self.cell.on_poll(&format!("w{number}").into(), sent, self.now, seen);
        self.pass(MILLI);
    }

    fn miss(&mut self, number: usize) {
        self.cell.on_failed_poll(&format!("w{number}").into());
    }

    /// Starts what can be started, and the workers take it: on which worker, and what.
    fn start(&mut self) -> Vec<(String, TaskName)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let orders = std::mem::take(&mut self.cell.outbox);
        let mut started = Vec::new();
        for order in orders {
            let Order::Start { peer, task, run, .. } = order else { continue };
            self.cell.on_started(&peer.incarnation, task, run, self.now);
            started.push((peer.incarnation.to_string(), task));
        }
        self.pass(MILLI);
        started
    }

    /// The list of boxes that is asked for now arrives at once: all are up with their workers but those given.
    fn list(&mut self, others: Vec<Machine>) {
        let asked_at = self.now;
        self.pass(MILLI);
        let mut list: Vec<Machine> = (0..self.cell.workers.len())
            .map(|number| machine(number, Status::Up, Some(&format!("w{number}"))))
            .collect();
        for other in others {
            list.retain(|machine| machine.id != other.id);
            list.push(other);
        }
        self.cell.end_incarnations_by_box_list(&list, asked_at);
    }

    /// The list that is asked for now lacks a box.
    fn list_without(&mut self, number: usize) {
        let asked_at = self.now;
        self.pass(MILLI);
        let others = (0..3).filter(|other| *other != number);
        let list: Vec<Machine> =
            others.map(|other| machine(other, Status::Up, Some(&format!("w{other}")))).collect();
        self.cell.end_incarnations_by_box_list(&list, asked_at);
    }

    fn knows(&self, number: usize) -> bool {
        self.cell.workers.contains_key(&Incarnation::from(format!("w{number}").as_str()))
    }
}

/// A scheduler that has taken over, with a job of before; worker `w0` has not answered it, `w1` and `w2` have.
fn taken_over() -> Bed {
    let mut bed = Bed::new(3);
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    bed.pass(MILLI);
    bed.look(1);
    bed.look(2);
    bed
}

fn task(job: JobId) -> TaskName {
    TaskName { job, repetition: 0, step: 0, index: 0 }
}

/// Callers waited up to 5.8 s for a service of which one worker had left between two schedulers, for good where
/// takeovers followed each other.
#[test]
fn a_worker_that_left_between_two_schedulers_holds_up_nothing() {
    let mut bed = taken_over();
    assert_eq!(bed.start(), []);
    assert!(bed.cell.is_blocked_by_unresponsive());
    bed.list_without(0);
    bed.list_without(0);
    assert_eq!(bed.start().len(), 1);
    assert!(!bed.cell.is_blocked_by_unresponsive());
}

#[test]
fn a_worker_that_crashed_between_two_schedulers_holds_up_nothing() {
    for status in [Status::Down, Status::Moving, Status::Maintenance] {
        let mut bed = taken_over();
        bed.list(vec![machine(0, status, None)]);
        assert_eq!(bed.start().len(), 1, "{status:?}");
    }
}

#[test]
fn a_worker_whose_box_has_another_worker_holds_up_nothing() {
    let mut bed = taken_over();
    bed.list(vec![machine(0, Status::Up, Some("w9"))]);
    assert_eq!(bed.start().len(), 1);
}

/// What it runs would be started a second time.
#[test]
fn a_worker_that_may_be_cut_off_and_run_on_is_waited_for() {
    let mut bed = taken_over();
    bed.list(vec![]);
    bed.list(vec![machine(0, Status::Up, None)]);
    bed.miss(0);
    bed.list(vec![]);
    assert_eq!(bed.start(), []);
    assert!(bed.knows(0));
}

/// The pages of a list are read one after the other, and a box may be in none of them as it changes.
#[test]
fn a_box_that_one_list_lacks_says_nothing() {
    let mut bed = taken_over();
    bed.list_without(0);
    bed.list(vec![]);
    bed.list_without(0);
    assert_eq!(bed.start(), []);
    // A worker that answers is there, whatever the lists say.
    bed.look(0);
    bed.list_without(0);
    bed.list_without(0);
    assert!(bed.knows(0));
}

#[test]
fn a_list_that_was_asked_for_before_a_worker_was_met_or_answered_says_nothing() {
    let mut bed = Bed::new(1);
    bed.pass(MILLI);
    let asked_at = bed.now;
    bed.pass(MILLI);
    let peer = Peer { incarnation: "w1".into(), addr: addr() };
    bed.cell.discover(peer, batch::entry("m1", 4_000), bed.now);
    bed.look(0);
    let list = [machine(0, Status::Down, None), machine(1, Status::Down, None)];
    bed.cell.end_incarnations_by_box_list(&list, asked_at);
    assert!(bed.knows(0) && bed.knows(1));
}

/// Its tasks had waited until their leases were over, 5.7 s.
#[test]
fn the_tasks_of_a_worker_whose_box_is_down_start_elsewhere_at_once() {
    let mut bed = Bed::new(2);
    bed.look(0);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), [("w0".to_owned(), task(1))]);
    bed.look(1);
    bed.list(vec![machine(0, Status::Down, None)]);
    assert_eq!(bed.start(), [("w1".to_owned(), task(1))]);
    // The store lists it for some seconds more.
    let peer = Peer { incarnation: "w0".into(), addr: addr() };
    bed.cell.discover(peer, batch::entry("m0", 4_000), bed.now);
    assert!(!bed.knows(0));
}

#[test]
fn nothing_is_blamed_for_the_end_of_a_worker_whose_box_was_ordered() {
    let away = [
        machine(0, Status::Maintenance, None),
        machine(0, Status::Moving, None),
        Machine { pool: "spare".to_owned(), ..machine(0, Status::Down, None) },
    ];
    for away in away {
        let mut bed = Bed::new(2);
        bed.look(0);
        bed.cell.admit(1, accepted(vec![step(1)]), None);
        bed.start();
        bed.list(vec![away]);
        assert!(!bed.knows(0));
        assert_eq!(bed.cell.stats.crashed_workers, 0);
    }
}

/// A crash says less of what ran there where others crashed with it, and those may be named by the same list.
#[test]
fn crashes_of_one_list_come_together() {
    let mut bed = Bed::new(3);
    (0..3).for_each(|number| bed.look(number));
    let lasting = Step { long_running: true, ..step(3) };
    bed.cell.admit(1, accepted(vec![lasting]), None);
    assert_eq!(bed.start().len(), 3);
    bed.list((0..3).map(|number| machine(number, Status::Down, None)).collect());
    assert_eq!(bed.cell.stats.crashed_workers, 3);
    let entry = &bed.cell.jobs[&1];
    let crashes = entry.crashed_tasks().flat_map(|(_, task)| &task.crashes);
    let told: Vec<String> = crashes.map(|crash| crash.evidence.to_string()).collect();
    assert_eq!(told, ["others crashed in the same moment"; 3]);
}

/// A second box was fetched for what the first one had been fetched for.
#[test]
fn a_box_has_joined_its_pool_once_its_worker_counts_in_the_load() {
    let mut bed = Bed::new(1);
    let arrived = machine(0, Status::Up, Some("w0"));
    let counts = |cell: &Cell, now| loads(cell, now).get("work").map_or(0, |load| load.workers);
    assert!(!has_joined(&bed.cell, &arrived));
    assert_eq!(counts(&bed.cell, bed.now), 0);
    bed.look(0);
    assert!(has_joined(&bed.cell, &arrived));
    assert_eq!(counts(&bed.cell, bed.now), 1);
}
