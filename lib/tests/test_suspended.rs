//! A box that was suspended for some seconds: the steady clock stood still meanwhile, so by that clock its lead was
//! renewed a moment ago. Each test lets the process believe that it was suspended, which moves only this clock on.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::dispatch::lease::Lease;
use spokelift_lib::batch::order_window::is_sole_leader;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::addr;
use spokelift_testutils::batch::entry;

const AWAY: Duration = Duration::from_secs(6);

/// The clock is that of the whole process, so one test moves it at a time.
static CLOCK: Mutex<()> = Mutex::new(());

fn lock() -> MutexGuard<'static, ()> {
    CLOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[test]
fn the_time_away_counts() {
    let _clock = lock();
    let before = clock::now();
    clock::pretend_suspended(AWAY);
    assert!(clock::since(before) >= AWAY);
    assert!(clock::now() - before < AWAY * 10, "once");
}

#[test]
fn a_timer_is_set_for_what_is_left() {
    let _clock = lock();
    let due = clock::now() + AWAY / 2;
    clock::pretend_suspended(AWAY);
    assert!(clock::timer(due) <= tokio::time::Instant::now(), "it is due on waking");
}

#[test]
fn a_scheduler_that_wakes_is_not_sure_of_its_lead() {
    let _clock = lock();
    let renewed_at = clock::now();
    assert!(is_sole_leader(Some(renewed_at), clock::now()));
    clock::pretend_suspended(AWAY);
    assert!(!is_sole_leader(Some(renewed_at), clock::now()));
}

#[test]
fn a_carrier_that_wakes_has_no_license() {
    let _clock = lock();
    let license = Lease::bounded();
    license.extend(clock::now());
    clock::pretend_suspended(AWAY);
    assert!(!license.is_valid());
}

/// A later scheduler has asked every worker that it read of, but not this one, which would take a start of the
/// earlier one while the same task runs elsewhere.
#[test]
fn a_scheduler_that_wakes_starts_nothing_on_a_worker_that_it_meets_then() {
    let _clock = lock();
    let mut cell = Cell::new(10);
    cell.renewed_at = Some(clock::now());
    clock::pretend_suspended(AWAY);
    cell.discover(
        Peer { incarnation: "w0".into(), addr: addr() },
        entry("m0", 4_000),
        clock::now(),
    );
    let seen =
        PollResponse { clock: 1_000, running: Vec::new(), ended: Vec::new(), birth_ms: None };
    cell.on_poll(&"w0".into(), clock::now(), clock::now(), seen);
    let step = Step { count: 1, cpu: 1_000, ..Step::default() };
    cell.admit(1, accepted(vec![step]), None);
    cell.place_ready(clock::now(), Duration::from_secs(1));
    let started = cell.outbox.iter().filter(|order| matches!(order, Order::Start { .. })).count();
    assert_eq!(started, 0);
    // Once the lead is renewed it is certain that there is no later one.
    cell.renewed_at = Some(clock::now());
    cell.place_ready(clock::now(), Duration::from_secs(1));
    let started = cell.outbox.iter().filter(|order| matches!(order, Order::Start { .. })).count();
    assert_eq!(started, 1);
}
