//! Workers that fell silent in the same moment.
//!
//! A task that brings down its worker does so at a time of its own. Where many workers crash together, something
//! else did it: a rack without power, a bad release, a cut network. One that held a task which had crashed another
//! worker before explains itself, and does not count.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Least number of other workers that fell silent in the same moment: one other may be chance.
const MIN_OTHERS: usize = 2;
/// The same as a share of the workers, in hundredths: among many, several tasks may bring down
/// their workers at once.
const MIN_OTHERS_PERCENT: usize = 10;
/// How long the silence of a worker that is not known any more is remembered. The next life on its box shows
/// after some seconds, and those of others may have shown earlier.
const RETENTION: Duration = Duration::from_millis(10_000);

/// Between when a worker was last heard of and when it was first missed. It fell silent within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When it last answered.
    pub last_answer_at: Instant,
    /// When a call to it first failed.
    pub first_failed_at: Instant,
}

impl Outage {
    /// Whether two workers may have fallen silent in the same moment.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::crash::outage::Outage;
    /// let begun = Instant::now();
    /// let outage = |heard, missed| Outage {
    ///     last_answer_at: begun + Duration::from_millis(heard),
    ///     first_failed_at: begun + Duration::from_millis(missed),
    /// };
    /// assert!(outage(0, 1_000).overlaps(&outage(990, 1_010)));
    /// assert!(!outage(0, 1_000).overlaps(&outage(1_001, 1_010)));
    /// ```
    pub fn overlaps(&self, other: &Outage) -> bool {
        self.last_answer_at <= other.first_failed_at && other.last_answer_at <= self.first_failed_at
    }
}

/// Whether so many others that fell silent in the same moment, among so many workers, explain a crash.
///
/// ```
/// use spokelift_lib::batch::crash::outage::is_correlated;
/// assert!(is_correlated(2, 12));
/// assert!(!is_correlated(2, 60));
/// assert!(!is_correlated(1, 2));
/// ```
pub fn is_correlated(others: usize, workers: usize) -> bool {
    others >= MIN_OTHERS && others * 100 >= workers * MIN_OTHERS_PERCENT
}

/// Silences of workers that are not known any more.
#[derive(Debug, Default)]
pub struct Outages {
    past: VecDeque<(Instant, String, Outage)>,
}

impl Outages {
    /// Remembers the silence of a worker of a service.
    pub fn record(&mut self, service: &str, silence: Outage, now: Instant) {
        self.past.push_back((now, service.to_owned(), silence));
    }

    /// Lets go of those that are too old to matter.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_old =
            |(at, ..): &(Instant, String, Outage)| now.saturating_duration_since(*at) > RETENTION;
        while self.past.front().is_some_and(is_old) {
            self.past.pop_front();
        }
    }

    /// Services of the workers that may have fallen silent in the same moment, one for each.
    pub fn overlapping_services(&self, silence: &Outage) -> impl Iterator<Item = &str> {
        let met = self.past.iter().filter(|(.., other)| other.overlaps(silence));
        met.map(|(_, service, _)| service.as_str())
    }
}
