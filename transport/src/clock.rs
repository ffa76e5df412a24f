//! The clock for everything that expires: it also advances while this process is suspended.
//!
//! A box may be suspended for seconds. The monotonic clock behind [`Instant::now`] does not count
//! that time, so a lease that expired meanwhile would look as if it had just been renewed. [`now`]
//! adds the time for which this process has been suspended, from the clock that counts it, so
//! differences of its instants are real time. Instants of the two kinds must not be mixed:
//! `Instant::now` and `Instant::elapsed` are forbidden to this workspace's libraries by a lint
//! (`clippy.toml`). Timers that only wake a task run on the monotonic clock; [`timer_instant`] sets
//! one for a time of this clock.

use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Smallest difference between the two clocks that counts as a suspension. They are read one after
/// the other, so a smaller one may be a delay between the readings.
const MIN_SUSPENSION: Duration = Duration::from_millis(5);

/// Readings of the initial offset between the two clocks; the largest one is used.
const INITIAL_READINGS: usize = 3;

/// Time for which this process has been suspended, in microseconds.
static SUSPENDED_MICROS: AtomicU64 = AtomicU64::new(0);
/// Simulated suspension that tests add, in microseconds.
static SIMULATED_MICROS: AtomicU64 = AtomicU64::new(0);
/// Simulates a suspension of this process, for tests: the clocks of a machine cannot be stopped for
/// one process.
pub fn simulate_suspension(time: Duration) {
    SIMULATED_MICROS.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
}

/// Offset of the clock that counts suspension when it was first read.
static INITIAL_OFFSET: OnceLock<Duration> = OnceLock::new();

/// The current time, including the time for which this process was suspended.
///
/// ```
/// use spokelift_transport::clock;
/// let before = clock::now();
/// assert!(clock::now() >= before);
/// ```
pub fn now() -> Instant {
    let suspended = suspended_time();
    #[expect(clippy::disallowed_methods, reason = "the one place that reads the monotonic clock")]
    let monotonic = Instant::now();
    monotonic + suspended
}

/// Time since an instant of [`now`]; zero if it is in the future.
///
/// ```
/// use std::time::Duration;
/// use spokelift_transport::clock;
/// assert!(clock::since(clock::now()) < Duration::from_secs(5));
/// ```
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// The instant for a tokio timer that wakes at an instant of [`now`], unless this process is
/// suspended meanwhile.
pub fn timer_instant(at: Instant) -> tokio::time::Instant {
    tokio::time::Instant::now() + at.saturating_duration_since(now())
}

/// Total time for which this process has been suspended.
pub fn suspended_time() -> Duration {
    let read = || (0..INITIAL_READINGS).filter_map(|_| boottime_offset()).max().unwrap_or_default();
    let first = *INITIAL_OFFSET.get_or_init(read);
    // If a clock cannot be read, the time recorded so far is returned.
    let ahead = boottime_offset().unwrap_or_default().saturating_sub(first);
    let micros = ahead.as_micros() as u64 + SIMULATED_MICROS.load(Ordering::Relaxed);
    let recorded = SUSPENDED_MICROS.load(Ordering::Relaxed);
    if micros <= recorded + MIN_SUSPENSION.as_micros() as u64 {
        return Duration::from_micros(recorded);
    }
    let previous = SUSPENDED_MICROS.fetch_max(micros, Ordering::Relaxed);
    Duration::from_micros(previous.max(micros))
}

/// Offset of the clock that counts suspension to the monotonic one: a lower bound, whatever happens
/// between the two readings. `None` if a clock cannot be read.
fn boottime_offset() -> Option<Duration> {
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).ok()?;
    Some(Duration::from(boot).saturating_sub(Duration::from(monotonic)))
}
