//! What "now" is for all that must not outlive its time.
//!
//! A box may be suspended for seconds. The steady clock behind [`Instant::now`] does not count that time, so a
//! lead or a lease that ran out meanwhile would look as if it had been renewed a moment ago. [`now`] adds the
//! time for which this process has been suspended, from the clock that counts it, so differences of its
//! instants are true time. Instants of the two kinds must not be mixed: `Instant::now` and `Instant::elapsed`
//! are forbidden to this workspace's libraries by a lint (`clippy.toml`). Timers that only wake somebody run on the steady clock;
//! [`timer`] sets one for a time of this clock.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A difference between the two clocks that is smaller says nothing: they are read one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(5);

/// Readings of which the best counts when the clocks are first compared.
const INITIAL_READINGS: usize = 3;

/// Time for which this process has been suspended, in microseconds.
static SUSPENDED_MICROS: AtomicU64 = AtomicU64::new(0);
/// What tests add to that, in microseconds.
static SIMULATED_MICROS: AtomicU64 = AtomicU64::new(0);
/// Lets this process believe that it has been suspended, for tests: the clocks of a machine cannot be stopped
/// for one process.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_MICROS.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}

/// By how much the clock that counts suspension was ahead when it was first read.
static INITIAL_OFFSET: OnceLock<Duration> = OnceLock::new();

/// Now, with the time for which this process was suspended.
///
/// ```
/// use spokelift_transport::clock;
/// let before = clock::now();
/// assert!(clock::now() >= before);
/// ```
pub fn now() -> Instant {
    let suspended = suspended_time();
    #[expect(clippy::disallowed_methods, reason = "the one place that reads the steady clock")]
    let steady = Instant::now();
    steady + suspended
}

/// Time since an instant that [`now`] gave; zero if it is in the future.
///
/// ```
/// use std::time::Duration;
/// use spokelift_transport::clock;
/// assert!(clock::since(clock::now()) < Duration::from_secs(5));
/// ```
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// When a timer has to be set for so that it wakes at an instant of [`now`], unless this process is suspended
/// meanwhile.
pub fn timer_instant(at: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.saturating_duration_since(now())
}

/// For how long this process has been suspended in all.
pub fn suspended_time() -> Duration {
    let read = || (0..INITIAL_READINGS).filter_map(|_| boottime_offset()).max().unwrap_or_default();
    let first = *INITIAL_OFFSET.get_or_init(read);
    // A clock that cannot be read adds nothing to what is known.
    let ahead = boottime_offset().unwrap_or_default().saturating_sub(first);
    let micros = ahead.as_micros() as u64 + SIMULATED_MICROS.load(Ordering::Relaxed);
    let known = SUSPENDED_MICROS.load(Ordering::Relaxed);
    if micros <= known + MIN_SUSPENSION.as_micros() as u64 {
        return Duration::from_micros(known);
    }
    let before = SUSPENDED_MICROS.fetch_max(micros, Ordering::Relaxed);
    Duration::from_micros(before.max(micros))
}

/// By how much the clock that counts suspension is ahead of the steady one: at least that much, whatever
/// happens between the two readings.
fn boottime_offset() -> Option<Duration> {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let steady = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(steady)))
}
