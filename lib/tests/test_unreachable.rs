//! A worker that is unreachable over several takeovers delays the tasks it may run no longer than
//! its leases last.

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
use spokelift_testutils::batch::unused_addr;

const TICK: Duration = Duration::from_millis(100);
/// What a slow clock and the interval between two records may add to the longest lease.
const SLACK: Duration = Duration::from_millis(900);

/// Successive schedulers, and what they leave in the store.
struct Fixture {
    cell: Cell,
    token: u64,
    now: Instant,
    store: batch::Store,
}

fn peer(id: &str) -> Peer {
    Peer { incarnation: id.into(), addr: unused_addr() }
}

fn idle(clock: u64) -> PollResponse {
    PollResponse { clock, running: Vec::new(), ended: Vec::new(), birth_ms: None }
}

impl Fixture {
    /// A scheduler with two workers: the first one may run a task, the second one has free
    /// resources.
    fn new() -> Fixture {
        let now = clock::now();
        let mut fixture = Fixture { cell: Cell::new(1), token: 1, now, store: batch::Store::new() };
        fixture.discover_all();
        fixture.flush();
        fixture
    }

    fn discover_all(&mut self) {
        for id in ["unresponsive", "other"] {
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
        let mut unreachable = Vec::new();
        for record in self.store.values() {
            match ProgressRecord::decode(record).unwrap() {
                ProgressRecord::Worker(incarnation, stored) => {
                    self.cell.restore_worker(incarnation, stored, self.now)
                }
                ProgressRecord::Unreachable(incarnation, duration) => {
                    unreachable.push((incarnation, duration))
                }
                _ => {}
            }
        }
        self.cell.restore_unreachable(unreachable);
        self.discover_all();
        self.cell.unpolled = self.cell.workers.keys().cloned().collect();
        let step = Step { count: 1, cpu: 1_000, memory_mb: 100, ..Step::default() };
        self.cell.admit(1, accepted(vec![step]), Some(&Progress::default()));
        self.cell.on_poll(&"other".into(), self.now, self.now, idle(1));
    }

    fn advance(&mut self) {
        self.now += TICK;
        self.cell.on_failed_poll(&"unresponsive".into());
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

/// How long a task waits for the leases of a worker if another scheduler takes over each `between`.
fn waiting_time(between: Duration) -> Duration {
    let mut fixture = Fixture::new();
    fixture.take_over();
    let (started_at, mut taken_over_at) = (fixture.now, fixture.now);
    while fixture.starts() == 0 {
        assert!(fixture.now - started_at < Duration::from_secs(60), "it is never started");
        if fixture.now - taken_over_at >= between {
            fixture.take_over();
            taken_over_at = fixture.now;
        }
        fixture.advance();
    }
    fixture.now - started_at
}

/// Guards against each scheduler waiting for the full lease again: with a takeover each 4.2 s the
/// tasks would never start.
#[test]
fn takeovers_do_not_extend_the_wait_for_an_unreachable_worker() {
    for millis in (800..8_000).step_by(100) {
        let waited = waiting_time(Duration::from_millis(millis));
        assert!(
            waited >= WORKER_LEASE,
            "{millis} ms: started after {waited:?}, its leases may not have expired"
        );
        // The time since the last record is waited for again after each takeover.
        let takeovers = WORKER_LEASE.as_millis() as u64 / millis + 1;
        let most = WORKER_LEASE + SLACK + Duration::from_millis(500 * takeovers);
        assert!(waited <= most, "{millis} ms: waited {waited:?}");
    }
}

/// Otherwise the next scheduler would treat leases as expired that have just been renewed.
#[test]
fn a_worker_that_answers_is_granted_leases_once_the_store_has_recorded_it() {
    let mut fixture = Fixture::new();
    fixture.take_over();
    assert!(fixture.is_granted("other"));
    (0..8).for_each(|_| fixture.advance());
    assert!(fixture.store.contains_key("unheard/unresponsive"));
    fixture.cell.on_poll(&"unresponsive".into(), fixture.now, fixture.now, idle(1));
    assert!(!fixture.is_granted("unresponsive"));
    assert!(!fixture.cell.workers[&Incarnation::from("unresponsive")].is_schedulable(fixture.now));
    fixture.flush();
    assert!(!fixture.store.contains_key("unheard/unresponsive"));
    assert!(fixture.is_granted("unresponsive"));
}

#[test]
fn the_unreachable_record_of_an_ended_worker_is_removed() {
    let mut fixture = Fixture::new();
    fixture.take_over();
    (0..8).for_each(|_| fixture.advance());
    fixture.cell.mark_ended(&"unresponsive".into(), "a test");
    fixture.flush();
    assert!(!fixture.store.contains_key("unheard/unresponsive"));
    let unknown = vec![("nobody".into(), Duration::from_secs(1))];
    fixture.cell.restore_unreachable(unknown);
    let flush = fixture.cell.take_flush();
    let dropped = flush.records.iter().find(|record| record.key == "unheard/nobody");
    assert_eq!(dropped.map(|record| record.value.is_none()), Some(true));
}
