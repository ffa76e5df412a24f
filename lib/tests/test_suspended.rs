//! A node that was suspended for some seconds. The monotonic clock of the system stands still meanwhile, so by that
//! clock the leader lease still looks freshly renewed. Each test simulates a suspension, which advances only the
//! clock of this process.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::dispatch::lease::Lease;
use spokelift_lib::batch::order_window::is_sole_leader;
use spokelift_lib::batch::worker::WORKER_LEASE;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

const SUSPENDED_TIME: Duration = Duration::from_secs(6);

/// All tests share the clock of the process, so only one at a time may advance it.
static CLOCK: Mutex<()> = Mutex::new(());

fn lock() -> MutexGuard<'static, ()> {
    CLOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[test]
fn the_suspended_time_counts() {
    let _clock = lock();
    let before = clock::now();
    clock::simulate_suspension(SUSPENDED_TIME);
    assert!(clock::since(before) >= SUSPENDED_TIME);
    assert!(clock::now() - before < SUSPENDED_TIME * 10, "it counts once");
}

#[test]
fn a_timer_is_set_for_the_remaining_time() {
    let _clock = lock();
    let due = clock::now() + SUSPENDED_TIME / 2;
    clock::simulate_suspension(SUSPENDED_TIME);
    assert!(
        clock::timer_instant(due) <= tokio::time::Instant::now(),
        "it is due when the node wakes up"
    );
}

#[test]
fn a_scheduler_that_wakes_up_is_not_certain_to_be_the_leader() {
    let _clock = lock();
    let renewed_at = clock::now();
    assert!(is_sole_leader(Some(renewed_at), clock::now()));
    clock::simulate_suspension(SUSPENDED_TIME);
    assert!(!is_sole_leader(Some(renewed_at), clock::now()));
}

#[test]
fn a_dispatcher_that_wakes_up_has_no_valid_lease() {
    let _clock = lock();
    let lease = Lease::default();
    lease.extend_until(clock::now() + SUSPENDED_TIME / 2);
    clock::simulate_suspension(SUSPENDED_TIME);
    assert!(lease.check().is_none());
}

/// Guards against a worker's lease that its successor does not know of: the dispatcher is suspended after the check of
/// its own lease and before it requests that of the worker.
#[test]
fn a_worker_lease_counts_from_the_check_of_the_dispatch_lease() {
    let _clock = lock();
    let (lease, lease_ms) = (Lease::default(), WORKER_LEASE.as_millis() as u64);
    lease.extend_until(clock::now() + SUSPENDED_TIME / 2);
    let validity = lease.check().unwrap();
    clock::simulate_suspension(SUSPENDED_TIME);
    assert_eq!(validity.worker_lease(1_000, validity.at()), 1_000 + lease_ms);
    let answered_later = 1_000 + SUSPENDED_TIME.as_millis() as u64;
    assert!(validity.worker_lease(answered_later, clock::now()) <= 1_000 + lease_ms);
}

/// A later scheduler may have polled every worker that it knows, but not this one. This one would accept a start of the
/// earlier scheduler while the same task runs elsewhere.
#[test]
fn a_scheduler_that_wakes_up_starts_nothing_on_a_newly_discovered_worker() {
    let _clock = lock();
    let mut cell = Cell::new(10);
    cell.renewed_at = Some(clock::now());
    clock::simulate_suspension(SUSPENDED_TIME);
    cell.discover(
        Peer { incarnation: "w0".into(), addr: unused_addr() },
        entry("m0", 4_000),
        clock::now(),
    );
    let response =
        PollResponse { clock: 1_000, running: Vec::new(), ended: Vec::new(), birth_ms: None };
    cell.on_poll(&"w0".into(), clock::now(), clock::now(), response);
    let step = Step { count: 1, cpu: 1_000, ..Step::default() };
    cell.admit(1, accepted(vec![step]), None);
    cell.place_ready(clock::now(), Duration::from_secs(1));
    let started = cell.outbox.iter().filter(|order| matches!(order, Order::Start { .. })).count();
    assert_eq!(started, 0);
    // Once the leader lease is renewed there is certainly no later scheduler.
    cell.renewed_at = Some(clock::now());
    cell.place_ready(clock::now(), Duration::from_secs(1));
    let started = cell.outbox.iter().filter(|order| matches!(order, Order::Start { .. })).count();
    assert_eq!(started, 1);
}
