//! Boxes that get no orders for a while, because an order was refused or the box is needed where it
//! is.
//!
//! A box that is leaving refuses every order as busy until it is gone. If it were ordered again in
//! each round, it would take 115 orders in 50 s and hold its place among the boxes in progress.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::machine::MachineId;

/// First deferral of a box; each further one is twice as long. A box that is leaving is gone after
/// some seconds.
const FIRST_DEFERRAL: Duration = Duration::from_millis(1_000);
/// Longest deferral, without jitter.
const MAX_DEFERRAL: Duration = Duration::from_millis(8_000);
/// Jitter that is added to a deferral, in percent of it at most, so that deferred boxes do not all
/// become available at once.
const JITTER_PERCENT: u32 = 30;
/// How long after the end of its deferral a box is forgotten if it is not deferred again.
const RETENTION: Duration = Duration::from_millis(30_000);

struct Deferral {
    until: Instant,
    count: u32,
    reason: String,
}

/// Deferred boxes.
#[derive(Default)]
pub struct Deferrals {
    deferrals: HashMap<MachineId, Deferral>,
}

impl Deferrals {
    /// Defers a box, for a reason; returns whether the box was not deferred before or the reason is
    /// new.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::deferral::Deferrals;
    /// let (mut deferrals, now) = (Deferrals::default(), Instant::now());
    /// assert!(deferrals.defer("m1", "busy", now));
    /// assert!(deferrals.is_deferred("m1", now + Duration::from_millis(900)));
    /// assert!(!deferrals.is_deferred("m1", now + Duration::from_millis(1_400)));
    /// assert!(!deferrals.defer("m1", "busy", now + Duration::from_millis(1_400)));
    /// assert!(deferrals.is_deferred("m1", now + Duration::from_millis(3_300)));
    /// ```
    pub fn defer(&mut self, id: &str, reason: &str, now: Instant) -> bool {
        self.deferrals
            .retain(|_, deferral| now.saturating_duration_since(deferral.until) < RETENTION);
        let before = self.deferrals.get(id);
        let count = before.map_or(0, |deferral| deferral.count);
        let is_new = before.is_none_or(|deferral| deferral.reason != reason);
        let duration = FIRST_DEFERRAL.saturating_mul(1 << count.min(8)).min(MAX_DEFERRAL);
        let until = now + duration + duration * jitter_percent(id, count) / 100;
        let deferral = Deferral { until, count: count + 1, reason: reason.to_owned() };
        self.deferrals.insert(id.to_owned(), deferral);
        is_new
    }

    /// Whether a box is deferred at `now`.
    pub fn is_deferred(&self, id: &str, now: Instant) -> bool {
        self.deferrals.get(id).is_some_and(|deferral| deferral.until > now)
    }

    /// Ends the deferral of a box, after an order about it was accepted.
    pub fn forget(&mut self, id: &str) {
        self.deferrals.remove(id);
    }
}

/// Jitter that is added to a deferral of a box, in percent.
fn jitter_percent(id: &str, count: u32) -> u32 {
    let mut hasher = DefaultHasher::new();
    (id, count).hash(&mut hasher);
    (hasher.finish() % u64::from(JITTER_PERCENT)) as u32
}
