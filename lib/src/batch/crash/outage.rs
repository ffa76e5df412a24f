//! Outages of workers, and whether several happened at the same time.
//!
//! A task that crashes its worker does so independently of other workers. Where many workers crash
//! together, the cause is something else: a rack without power, a bad release, a network partition.
//! A worker with a task that had crashed another worker before is explained by that task, and is
//! not counted.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Minimum number of other workers that failed in the same window: a single one may be chance.
const MIN_OTHERS: usize = 2;
/// The same in percent of the workers: among many, several tasks may crash their workers at once.
const MIN_OTHERS_PERCENT: usize = 10;
/// How long the outage of a removed worker is kept. The next incarnation on its box shows after
/// some seconds, and those of others may have shown earlier.
const RETENTION: Duration = Duration::from_millis(10_000);

/// The time between a worker's last answer and the first failed call. It failed within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When it last answered.
    pub last_answer_at: Instant,
    /// When a call to it first failed.
    pub first_failed_at: Instant,
}

impl Outage {
    /// Whether two workers may have failed at the same time.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::crash::outage::Outage;
    /// let start = Instant::now();
    /// let outage = |last_answer, first_failure| Outage {
    ///     last_answer_at: start + Duration::from_millis(last_answer),
    ///     first_failed_at: start + Duration::from_millis(first_failure),
    /// };
    /// assert!(outage(0, 1_000).overlaps(&outage(990, 1_010)));
    /// assert!(!outage(0, 1_000).overlaps(&outage(1_001, 1_010)));
    /// ```
    pub fn overlaps(&self, other: &Outage) -> bool {
        self.last_answer_at <= other.first_failed_at && other.last_answer_at <= self.first_failed_at
    }
}

/// Whether a crash is explained by the `others` of `workers` that failed in the same window.
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

/// Outages of workers that were removed.
#[derive(Debug, Default)]
pub struct Outages {
    past: VecDeque<(Instant, String, Outage)>,
}

impl Outages {
    /// Records the outage of a worker of a service.
    pub fn record(&mut self, service: &str, outage: Outage, now: Instant) {
        self.past.push_back((now, service.to_owned(), outage));
    }

    /// Removes those that are older than the retention time.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_old =
            |(at, ..): &(Instant, String, Outage)| now.saturating_duration_since(*at) > RETENTION;
        while self.past.front().is_some_and(is_old) {
            self.past.pop_front();
        }
    }

    /// The service of each worker that may have failed at the same time; one item for each worker.
    pub fn overlapping_services(&self, outage: &Outage) -> impl Iterator<Item = &str> {
        let overlapping = self.past.iter().filter(|(.., other)| other.overlaps(outage));
        overlapping.map(|(_, service, _)| service.as_str())
    }
}
