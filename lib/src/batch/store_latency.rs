//! Whether orders about boxes may wait for the store to know of them.
//!
//! A box is announced in the store before it is ordered (see [`crate::batch::order_window`]). With a store that takes
//! a change in 10 ms that costs nothing. One that is slow, or loses answers, takes 0.4 to 1.9 s, and each round
//! of orders waited as long: 0.11 of a day's worth with a store 70 and 45 times slower for 5 s each, 0.06 with
//! 40% of its answers lost (means of six days at 49 workers). While it is late, every box is therefore
//! announced ahead, once.

use std::time::Duration;
use std::time::Instant;

/// A change that takes the store longer makes orders about boxes late by most of a round, which is 150 ms.
/// In calm it takes 10 to 20 ms.
const SLOW_CHANGE: Duration = Duration::from_millis(100);
/// How long all changes must have been in time before the store is no longer late. It loses some answers
/// and not others, and each change of mind costs an announcement.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000);

/// How fast the store takes the changes of a scheduler, of which one is under way at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLatency {
    /// Since when a change is under way.
    change_started_at: Option<Instant>,
    /// When the last change ended that was late.
    slow_at: Option<Instant>,
}

impl StoreLatency {
    /// A change is sent.
    pub fn start_change(&mut self, now: Instant) {
        self.change_started_at = Some(now);
    }

    /// The store knows of it.
    pub fn finish_change(&mut self, now: Instant) {
        if self.is_overdue(now) {
            self.slow_at = Some(now);
        }
        self.change_started_at = None;
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.change_started_at
            .is_some_and(|begun| now.saturating_duration_since(begun) > SLOW_CHANGE)
    }

    /// Whether an order about a box should not wait for an announcement of its own.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::store_latency::StoreLatency;
    /// let (mut pace, now) = (StoreLatency::default(), Instant::now());
    /// let at = |ms| now + Duration::from_millis(ms);
    /// pace.start_change(at(0));
    /// assert!(!pace.is_slow(at(50)));
    /// assert!(pace.is_slow(at(150)), "nobody knows how late it will be");
    /// pace.finish_change(at(300));
    /// assert!(pace.is_slow(at(1_000)));
    /// assert!(!pace.is_slow(at(2_500)));
    /// ```
    pub fn is_slow(&self, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) < RECOVERY_TIME;
        self.is_overdue(now) || self.slow_at.is_some_and(lately)
    }
}
