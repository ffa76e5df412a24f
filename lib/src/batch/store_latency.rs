//! Latency of the store, which decides whether orders about boxes wait for it.
//!
//! A box is announced in the store before it is ordered (see [`crate::batch::order_window`]). With
//! a store that applies a change in 10 ms that costs nothing. A slow store, or one that loses
//! answers, takes 0.4 to 1.9 s, and each round of orders would wait as long: that costs 0.11 of a
//! day's value with a store 70 and 45 times slower for 5 s each, and 0.06 with 40% of its answers
//! lost. While the store is slow, every box is therefore announced in advance, once.

use std::time::Duration;
use std::time::Instant;

/// A change that takes longer delays orders about boxes by most of a round, which is 150 ms.
/// Changes usually take 10 to 20 ms.
const SLOW_CHANGE: Duration = Duration::from_millis(100);
/// How long no change must have been slow before the store counts as fast again. It loses some
/// answers and not others, and each switch costs an announcement.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000);

/// How fast the store applies the changes of a scheduler, of which one is in flight at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLatency {
    /// Since when a change is in flight; `None` if there is none.
    change_started_at: Option<Instant>,
    /// When the last slow change finished.
    slow_at: Option<Instant>,
}

impl StoreLatency {
    /// Records that a change is sent.
    pub fn start_change(&mut self, now: Instant) {
        self.change_started_at = Some(now);
    }

    /// Records that the store has applied the change.
    pub fn finish_change(&mut self, now: Instant) {
        if self.is_overdue(now) {
            self.slow_at = Some(now);
        }
        self.change_started_at = None;
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.change_started_at
            .is_some_and(|started_at| now.saturating_duration_since(started_at) > SLOW_CHANGE)
    }

    /// Whether orders about boxes should not wait for announcements of their own.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::store_latency::StoreLatency;
    /// let (mut latency, now) = (StoreLatency::default(), Instant::now());
    /// let at = |ms| now + Duration::from_millis(ms);
    /// latency.start_change(at(0));
    /// assert!(!latency.is_slow(at(50)));
    /// assert!(latency.is_slow(at(150)), "nobody knows how late it will be");
    /// latency.finish_change(at(300));
    /// assert!(latency.is_slow(at(1_000)));
    /// assert!(!latency.is_slow(at(2_500)));
    /// ```
    pub fn is_slow(&self, now: Instant) -> bool {
        let lately = |at: Instant| now.saturating_duration_since(at) < RECOVERY_TIME;
        self.is_overdue(now) || self.slow_at.is_some_and(lately)
    }
}
