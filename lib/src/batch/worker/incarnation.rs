//! Distinguishes incarnations of a worker, by their clocks and by fencing tokens.

use std::time::Duration;

use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerMs;

use crate::batch::worker::MIN_CLOCK_RATE;
use crate::batch::worker::table::WorkerNumber;

/// How many bits of a [`Token`] distinguish the incarnations that one scheduler has discovered.
const INCARNATION_BITS: u32 = 20;

/// Tolerance when comparing the clocks in two answers, for the time the answers were in transit.
const TRANSIT_SLACK: Duration = Duration::from_millis(1_000);

/// Whether a clock that showed `last` cannot show `clock` after `passed`, so that another
/// incarnation has answered.
///
/// ```
/// use std::time::Duration;
/// use spokelift_lib::batch::worker::is_clock_discontinuous;
/// let passed = Duration::from_millis(10_000);
/// assert!(!is_clock_discontinuous(50_000, 60_000, passed));
/// assert!(!is_clock_discontinuous(50_000, 59_800, passed));
/// assert!(is_clock_discontinuous(50_000, 400, passed));
/// assert!(is_clock_discontinuous(50_000, 90_000, passed));
/// ```
pub fn is_clock_discontinuous(last: WorkerMs, clock: WorkerMs, passed: Duration) -> bool {
    let slack = TRANSIT_SLACK.as_millis() as WorkerMs;
    let latest = last + passed.as_millis() as WorkerMs + slack;
    let earliest = last + passed.mul_f64(MIN_CLOCK_RATE).as_millis() as WorkerMs;
    clock > latest || clock + slack < earliest
}

/// The fencing token of orders to a worker: higher for each scheduler, and for each incarnation
/// that it discovers.
///
/// A later incarnation of a worker has seen no token, no stop and no acknowledgement. A delayed
/// order for the previous incarnation would take effect there: start a task that has been started
/// elsewhere since, extend a lease, or acknowledge ends that nobody has received. As each
/// incarnation has its own number, the first poll of the later one makes it reject all of them.
///
/// ```
/// use spokelift_lib::batch::worker::compose_token;
/// assert!(compose_token(7, 1) < compose_token(7, 2));
/// assert!(compose_token(7, u64::MAX) < compose_token(8, 1));
/// ```
pub fn compose_token(scheduler: Token, fence: WorkerNumber) -> Token {
    (scheduler << INCARNATION_BITS) | fence.min((1 << INCARNATION_BITS) - 1)
}
