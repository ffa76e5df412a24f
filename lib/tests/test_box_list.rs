//! Incarnations of workers that have ended according to the platform's list of boxes: no task waits
//! for runs that cannot exist any more, and every task waits for those that may.

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
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 10;
const MILLI: Duration = Duration::from_millis(1);

fn step(count: u32) -> Step {
    Step { count, cpu: 4_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn machine(number: usize, status: Status, worker: Option<&str>) -> Machine {
    batch::machine(&format!("m{number}"), status, worker)
}

/// A scheduler with worker `w0` on box `m0` and so on, each with capacity for one task.
struct Fixture {
    cell: Cell,
    now: Instant,
    clock: u64,
}

impl Fixture {
    fn new(workers: usize) -> Fixture {
        let mut fixture = Fixture { cell: Cell::new(TOKEN), now: clock::now(), clock: 1_000 };
        for number in 0..workers {
            let peer = Peer { incarnation: format!("w{number}").into(), addr: unused_addr() };
            fixture.cell.discover(peer, batch::entry(&format!("m{number}"), 4_000), fixture.now);
        }
        fixture
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.clock += time.as_millis() as u64;
    }

    fn poll(&mut self, number: usize) {
        let sent_at = self.now;
        self.advance(MILLI);
        let response =
            PollResponse { clock: self.clock, running: vec![], ended: vec![], birth_ms: None };
        self.cell.on_poll(&format!("w{number}").into(), sent_at, self.now, response);
        self.advance(MILLI);
    }

    fn fail_poll(&mut self, number: usize) {
        self.cell.on_failed_poll(&format!("w{number}").into());
    }

    /// Starts what can be started, and the workers accept; returns the worker and task of each
    /// start.
    fn start(&mut self) -> Vec<(String, TaskName)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let orders = std::mem::take(&mut self.cell.outbox);
        let mut started = Vec::new();
        for order in orders {
            let Order::Start { peer, task, run, .. } = order else { continue };
            self.cell.on_started(&peer.incarnation, task, run, self.now);
            started.push((peer.incarnation.to_string(), task));
        }
        self.advance(MILLI);
        started
    }

    /// A list of boxes is requested and arrives at once: all are up with their workers, apart from
    /// those given.
    fn list(&mut self, others: Vec<Machine>) {
        let requested_at = self.now;
        self.advance(MILLI);
        let mut list: Vec<Machine> = (0..self.cell.workers.len())
            .map(|number| machine(number, Status::Up, Some(&format!("w{number}"))))
            .collect();
        for other in others {
            list.retain(|machine| machine.id != other.id);
            list.push(other);
        }
        self.cell.end_incarnations_by_box_list(&list, requested_at);
    }

    /// A list of boxes is requested that lacks one box.
    fn list_without(&mut self, number: usize) {
        let requested_at = self.now;
        self.advance(MILLI);
        let others = (0..3).filter(|other| *other != number);
        let list: Vec<Machine> =
            others.map(|other| machine(other, Status::Up, Some(&format!("w{other}")))).collect();
        self.cell.end_incarnations_by_box_list(&list, requested_at);
    }

    fn is_known(&self, number: usize) -> bool {
        self.cell.workers.contains_key(&Incarnation::from(format!("w{number}").as_str()))
    }
}

/// A scheduler that has taken over, with an inherited job; `w1` and `w2` have answered it, `w0` has
/// not.
fn after_takeover() -> Fixture {
    let mut fixture = Fixture::new(3);
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    fixture.advance(MILLI);
    fixture.poll(1);
    fixture.poll(2);
    fixture
}

fn task(job: JobId) -> TaskName {
    TaskName { job, repetition: 0, step: 0, index: 0 }
}

/// Guards against callers of a service waiting up to 5.8 s for the leases of a worker that left
/// between two schedulers, and without end if takeovers follow each other.
#[test]
fn a_worker_that_left_between_two_schedulers_delays_nothing() {
    let mut fixture = after_takeover();
    assert_eq!(fixture.start(), []);
    assert!(fixture.cell.is_blocked_by_unresponsive());
    fixture.list_without(0);
    fixture.list_without(0);
    assert_eq!(fixture.start().len(), 1);
    assert!(!fixture.cell.is_blocked_by_unresponsive());
}

#[test]
fn a_worker_that_crashed_between_two_schedulers_delays_nothing() {
    for status in [Status::Down, Status::Moving, Status::Maintenance] {
        let mut fixture = after_takeover();
        fixture.list(vec![machine(0, status, None)]);
        assert_eq!(fixture.start().len(), 1, "{status:?}");
    }
}

#[test]
fn a_worker_whose_box_has_another_worker_delays_nothing() {
    let mut fixture = after_takeover();
    fixture.list(vec![machine(0, Status::Up, Some("w9"))]);
    assert_eq!(fixture.start().len(), 1);
}

/// Otherwise its runs would be started a second time.
#[test]
fn a_worker_that_may_be_cut_off_and_run_on_is_waited_for() {
    let mut fixture = after_takeover();
    fixture.list(vec![]);
    fixture.list(vec![machine(0, Status::Up, None)]);
    fixture.fail_poll(0);
    fixture.list(vec![]);
    assert_eq!(fixture.start(), []);
    assert!(fixture.is_known(0));
}

/// Guards against taking a worker whose box stands in a row that cannot be read for one that has
/// ended: its runs would be started a second time.
#[test]
fn a_box_whose_row_cannot_be_read_says_nothing() {
    let mut fixture = after_takeover();
    for _ in 0..3 {
        fixture.fail_poll(0);
        fixture.list(vec![Machine::unreadable("m0")]);
    }
    assert_eq!(fixture.start(), []);
    assert!(fixture.is_known(0));
}

/// The pages of a list are read one after another, and a box may be in none of them while it
/// changes.
#[test]
fn a_box_that_one_list_lacks_says_nothing() {
    let mut fixture = after_takeover();
    fixture.list_without(0);
    fixture.list(vec![]);
    fixture.list_without(0);
    assert_eq!(fixture.start(), []);
    // A worker that answers is running, whatever the lists say.
    fixture.poll(0);
    fixture.list_without(0);
    fixture.list_without(0);
    assert!(fixture.is_known(0));
}

#[test]
fn a_list_requested_before_a_worker_was_discovered_or_answered_says_nothing() {
    let mut fixture = Fixture::new(1);
    fixture.advance(MILLI);
    let requested_at = fixture.now;
    fixture.advance(MILLI);
    let peer = Peer { incarnation: "w1".into(), addr: unused_addr() };
    fixture.cell.discover(peer, batch::entry("m1", 4_000), fixture.now);
    fixture.poll(0);
    let list = [machine(0, Status::Down, None), machine(1, Status::Down, None)];
    fixture.cell.end_incarnations_by_box_list(&list, requested_at);
    assert!(fixture.is_known(0) && fixture.is_known(1));
}

/// Guards against the tasks of such a worker waiting until its leases expire, 5.7 s.
#[test]
fn the_tasks_of_a_worker_whose_box_is_down_start_elsewhere_at_once() {
    let mut fixture = Fixture::new(2);
    fixture.poll(0);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), [("w0".to_owned(), task(1))]);
    fixture.poll(1);
    fixture.list(vec![machine(0, Status::Down, None)]);
    assert_eq!(fixture.start(), [("w1".to_owned(), task(1))]);
    // The store lists it for some more seconds.
    let peer = Peer { incarnation: "w0".into(), addr: unused_addr() };
    fixture.cell.discover(peer, batch::entry("m0", 4_000), fixture.now);
    assert!(!fixture.is_known(0));
}

#[test]
fn nothing_is_blamed_for_the_end_of_a_worker_whose_box_was_ordered() {
    let ordered = [
        machine(0, Status::Maintenance, None),
        machine(0, Status::Moving, None),
        Machine { pool: "spare".to_owned(), ..machine(0, Status::Down, None) },
    ];
    for ordered in ordered {
        let mut fixture = Fixture::new(2);
        fixture.poll(0);
        fixture.cell.admit(1, accepted(vec![step(1)]), None);
        fixture.start();
        fixture.list(vec![ordered]);
        assert!(!fixture.is_known(0));
        assert_eq!(fixture.cell.stats.crashed_workers, 0);
    }
}

/// A crash says less about the tasks on a worker if others crashed with it, and those may be in the
/// same list.
#[test]
fn crashes_found_by_one_list_count_as_concurrent() {
    let mut fixture = Fixture::new(3);
    (0..3).for_each(|number| fixture.poll(number));
    let long_running = Step { long_running: true, ..step(3) };
    fixture.cell.admit(1, accepted(vec![long_running]), None);
    assert_eq!(fixture.start().len(), 3);
    fixture.list((0..3).map(|number| machine(number, Status::Down, None)).collect());
    assert_eq!(fixture.cell.stats.crashed_workers, 3);
    let entry = &fixture.cell.jobs[&1];
    let crashes = entry.crashed_tasks().flat_map(|(_, task)| &task.crashes);
    let evidence: Vec<String> = crashes.map(|crash| crash.evidence.to_string()).collect();
    assert_eq!(evidence, ["others crashed in the same moment"; 3]);
}

/// Guards against requesting a second box for the load that the first one was requested for.
#[test]
fn a_box_has_joined_its_pool_once_its_worker_counts_in_the_load() {
    let mut fixture = Fixture::new(1);
    let arrived = machine(0, Status::Up, Some("w0"));
    let counts = |cell: &Cell, now| loads(cell, now).get("work").map_or(0, |load| load.workers);
    assert!(!has_joined(&fixture.cell, &arrived));
    assert_eq!(counts(&fixture.cell, fixture.now), 0);
    fixture.poll(0);
    assert!(has_joined(&fixture.cell, &arrived));
    assert_eq!(counts(&fixture.cell, fixture.now), 1);
}
