//! Workers that fell silent in the same moment.
//!
//! A task that brings down its worker does so at a time of its own. Where many workers crash together, something
//! else did it: a rack without power, a bad release, a cut network. One that held a task which had crashed another
//! worker before explains itself, and does not count.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Least number of other workers that fell silent in the same moment: one other may be chance.
const LEAST: usize = 2;
/// The same as a share of the workers, in hundredths: among many, several tasks may bring down
/// their workers at once.
const LEAST_PERCENT: usize = 10;
/// How long the silence of a worker that is not known any more is remembered. The next life on its box shows
/// after some seconds, and those of others may have shown earlier.
const REMEMBER: Duration = Duration::from_millis(10_000);

/// Between when a worker was last heard of and when it was first missed. It fell silent within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// When it last answered.
    pub heard_at: Instant,
    /// When a call to it first failed.
    pub missed_at: Instant,
}

impl Silence {
    /// Whether two workers may have fallen silent in the same moment.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::crash::silence::Silence;
    /// let begun = Instant::now();
    /// let silence = |heard, missed| Silence {
    ///     heard_at: begun + Duration::from_millis(heard),
    ///     missed_at: begun + Duration::from_millis(missed),
    /// };
    /// assert!(silence(0, 1_000).meets(&silence(990, 1_010)));
    /// assert!(!silence(0, 1_000).meets(&silence(1_001, 1_010)));
    /// ```
    pub fn meets(&self, other: &Silence) -> bool {
        self.heard_at <= other.missed_at && other.heard_at <= self.missed_at
    }
}

/// Whether so many others that fell silent in the same moment, among so many workers, explain a crash.
///
/// ```
/// use spokelift_lib::batch::crash::silence::explains;
/// assert!(explains(2, 12));
/// assert!(!explains(2, 60));
/// assert!(!explains(1, 2));
/// ```
pub fn explains(others: usize, workers: usize) -> bool {
    others >= LEAST && others * 100 >= workers * LEAST_PERCENT
}

/// Silences of workers that are not known any more.
#[derive(Debug, Default)]
pub struct Silences {
    past: VecDeque<(Instant, String, Silence)>,
}

impl Silences {
    /// Remembers the silence of a worker of a service.
    pub fn note(&mut self, service: &str, silence: Silence, now: Instant) {
        self.past.push_back((now, service.to_owned(), silence));
    }

    /// Lets go of those that are too old to matter.
    pub fn forget(&mut self, now: Instant) {
        let is_old =
            |(at, ..): &(Instant, String, Silence)| now.saturating_duration_since(*at) > REMEMBER;
        while self.past.front().is_some_and(is_old) {
            self.past.pop_front();
        }
    }

    /// Services of the workers that may have fallen silent in the same moment, one for each.
    pub fn services(&self, silence: &Silence) -> impl Iterator<Item = &str> {
        let met = self.past.iter().filter(|(.., other)| other.meets(silence));
        met.map(|(_, service, _)| service.as_str())
    }
}
