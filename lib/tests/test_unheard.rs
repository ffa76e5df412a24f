//! A worker that is silent over several takeovers holds up what it may run no longer than its leases last.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::batch::worker::WORKER_LEASE;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::addr;

const TICK: Duration = Duration::from_millis(100);
/// What a clock that runs slow and the time between two records may add to the longest lease.
const SLACK: Duration = Duration::from_millis(900);

/// Schedulers that follow each other, and what they leave in the store.
struct Bed {
    cell: Cell,
    token: u64,
    now: Instant,
    store: batch::Store,
}

fn peer(id: &str) -> Peer {
    Peer { incarnation: id.into(), addr: addr() }
}

fn idle(clock: u64) -> PollResponse {
    PollResponse { clock, running: Vec::new(), ended: Vec::new(), birth_ms: None }
}

impl Bed {
    /// A scheduler of which the first worker has a task; the second has room.
    fn new() -> Bed {
        let now = clock::now();
        let mut bed = Bed { cell: Cell::new(1), token: 1, now, store: batch::Store::new() };
        bed.meet_all();
        bed.flush();
        bed
    }

    fn meet_all(&mut self) {
        for id in ["silent", "other"] {
            self.cell.discover(peer(id), batch::entry(&format!("m-{id}"), 4_000), self.now);
        }
    }

    fn flush(&mut self) {
        batch::flush(&mut self.cell, &mut self.store);
    }

    /// Another scheduler takes over; only one worker answers it.
    fn take_over(&mut self) {
        self.token += 1;
        self.cell = Cell::new(self.token);
        let mut unheard = Vec::new();
        for record in self.store.values() {
            match ProgressRecord::decode(record).unwrap() {
                ProgressRecord::Worker(life, known) => {
                    self.cell.restore_worker(life, known, self.now)
                }
                ProgressRecord::Unreachable(life, time) => unheard.push((life, time)),
                _ => {}
            }
        }
        self.cell.restore_unreachable(unheard);
        self.meet_all();
        self.cell.unpolled = self.cell.workers.keys().cloned().collect();
        let step = Step { count: 1, cpu: 1_000, memory_mb: 100, ..Step::default() };
        self.cell.admit(1, accepted(vec![step]), Some(&Progress::default()));
        self.cell.on_poll(&"other".into(), self.now, self.now, idle(1));
    }

    fn pass(&mut self) {
        self.now += TICK;
        self.cell.on_failed_poll(&"silent".into());
        self.cell.expire_due(self.now);
        self.flush();
    }

    fn starts(&mut self) -> usize {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let orders = std::mem::take(&mut self.cell.outbox);
        orders.iter().filter(|order| matches!(order, Order::Start { .. })).count()
    }

    fn is_granted(&self, id: &str) -> bool {
        self.cell.workers[&Incarnation::from(id)].renews_lease
    }
}

/// How long a task waits for the leases of a worker where the lead passes on after each of these times.
fn waits(between: Duration) -> Duration {
    let mut bed = Bed::new();
    bed.take_over();
    let (begun, mut taken_at) = (bed.now, bed.now);
    while bed.starts() == 0 {
        assert!(bed.now - begun < Duration::from_secs(60), "it is never started");
        if bed.now - taken_at >= between {
            bed.take_over();
            taken_at = bed.now;
        }
        bed.pass();
    }
    bed.now - begun
}

/// Each scheduler waited anew, so that with a takeover each 4.2 s a service stood still for good.
#[test]
fn takeovers_do_not_put_off_the_end_of_what_a_silent_worker_holds_up() {
    for millis in (800..8_000).step_by(100) {
        let waited = waits(Duration::from_millis(millis));
        assert!(
            waited >= WORKER_LEASE,
            "{millis} ms: started after {waited:?}, its leases may last"
        );
        // What passed since the last record is waited for again at each takeover.
        let takeovers = WORKER_LEASE.as_millis() as u64 / millis + 1;
        let most = WORKER_LEASE + SLACK + Duration::from_millis(500 * takeovers);
        assert!(waited <= most, "{millis} ms: waited {waited:?}");
    }
}

/// Otherwise the next scheduler would take leases for over that have just been extended.
#[test]
fn a_worker_that_is_heard_of_is_granted_leases_once_the_store_knows() {
    let mut bed = Bed::new();
    bed.take_over();
    assert!(bed.is_granted("other"));
    (0..8).for_each(|_| bed.pass());
    assert!(bed.store.contains_key("unheard/silent"));
    bed.cell.on_poll(&"silent".into(), bed.now, bed.now, idle(1));
    assert!(!bed.is_granted("silent"));
    assert!(!bed.cell.workers[&Incarnation::from("silent")].is_schedulable(bed.now));
    bed.flush();
    assert!(!bed.store.contains_key("unheard/silent"));
    assert!(bed.is_granted("silent"));
}

#[test]
fn what_the_store_says_of_a_worker_that_is_gone_is_let_go_of() {
    let mut bed = Bed::new();
    bed.take_over();
    (0..8).for_each(|_| bed.pass());
    bed.cell.mark_ended(&"silent".into(), "a test");
    bed.flush();
    assert!(!bed.store.contains_key("unheard/silent"));
    let lost = vec![("nobody".into(), Duration::from_secs(1))];
    bed.cell.restore_unreachable(lost);
    let flush = bed.cell.take_flush();
    let dropped = flush.records.iter().find(|record| record.key == "unheard/nobody");
    assert_eq!(dropped.map(|record| record.value.is_none()), Some(true));
}
