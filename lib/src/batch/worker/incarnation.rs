//! How the lives of a worker are told apart.

use std::time::Duration;

use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerMs;

use crate::batch::worker::MIN_CLOCK_RATE;
use crate::batch::worker::table::WorkerNumber;

/// How many bits of a [`Token`] tell the lives apart that one scheduler has met.
const INCARNATION_BITS: u32 = 20;

/// By how much two answers' clocks may seem apart since the answers were on their way.
const TRANSIT_SLACK: Duration = Duration::from_millis(1_000);

/// Whether a clock that showed `last` cannot show `clock` so much later: another life has answered.
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

/// What a worker is to know a scheduler by: higher with each scheduler, and with each life that it meets.
///
/// A later life of a worker has seen no token, no stop and no acknowledgement. An order that was meant for the life before
/// and is carried out late would do there what it was to do then: start a task that has been started elsewhere since, extend
/// a lease, or acknowledge ends that nobody has heard of. With a number of its own for each life, the first look at the later
/// one bars all of them.
///
/// ```
/// use spokelift_lib::batch::worker::compose_token;
/// assert!(compose_token(7, 1) < compose_token(7, 2));
/// assert!(compose_token(7, u64::MAX) < compose_token(8, 1));
/// ```
pub fn compose_token(scheduler: Token, fence: WorkerNumber) -> Token {
    (scheduler << INCARNATION_BITS) | fence.min((1 << INCARNATION_BITS) - 1)
}
