//! Boxes that are left alone for a while, since an order about them was refused or they are needed where they are.
//!
//! A box that leaves refuses every order as busy until it is gone. Asked again in each round it took 115 orders in
//! 50 s, and held its place among the boxes under way.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::machine::MachineId;

/// How long a box is left alone at first; twice as long each time after that. One that leaves is gone after some
/// seconds.
const FIRST_DEFERRAL: Duration = Duration::from_millis(1_000);
/// Longest time for which it is left alone.
const MAX_DEFERRAL: Duration = Duration::from_millis(8_000);
/// Most of that time, in hundredths, by which it is longer for one box than for another, so that not all come back
/// at once.
const JITTER_PERCENT: u32 = 30;
/// How long after its pause a box that was not put off again is forgotten.
const RETENTION: Duration = Duration::from_millis(30_000);

struct Deferral {
    until: Instant,
    times: u32,
    reason: String,
}

/// Boxes that are left alone.
#[derive(Default)]
pub struct Deferrals {
    deferrals: HashMap<MachineId, Deferral>,
}

impl Deferrals {
    /// Leaves a box alone for a while, for a reason; returns whether that is news.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::deferral::Deferrals;
    /// let (mut deferral, now) = (Deferrals::default(), Instant::now());
    /// assert!(deferral.defer("m1", "busy", now));
    /// assert!(deferral.is_deferred("m1", now + Duration::from_millis(900)));
    /// assert!(!deferral.is_deferred("m1", now + Duration::from_millis(1_400)));
    /// assert!(!deferral.defer("m1", "busy", now + Duration::from_millis(1_400)));
    /// assert!(deferral.is_deferred("m1", now + Duration::from_millis(3_300)));
    /// ```
    pub fn defer(&mut self, id: &str, reason: &str, now: Instant) -> bool {
        self.deferrals.retain(|_, pause| now.saturating_duration_since(pause.until) < RETENTION);
        let before = self.deferrals.get(id);
        let times = before.map_or(0, |pause| pause.times);
        let is_news = before.is_none_or(|pause| pause.reason != reason);
        let time = FIRST_DEFERRAL.saturating_mul(1 << times.min(8)).min(MAX_DEFERRAL);
        let until = now + time + time * jitter_percent(id, times) / 100;
        let pause = Deferral { until, times: times + 1, reason: reason.to_owned() };
        self.deferrals.insert(id.to_owned(), pause);
        is_news
    }

    /// Whether a box is left alone for now.
    pub fn is_deferred(&self, id: &str, now: Instant) -> bool {
        self.deferrals.get(id).is_some_and(|pause| pause.until > now)
    }

    /// An order about a box was taken.
    pub fn forget(&mut self, id: &str) {
        self.deferrals.remove(id);
    }
}

/// Part of a pause, in hundredths, that is added for a box.
fn jitter_percent(id: &str, times: u32) -> u32 {
    let mut hasher = DefaultHasher::new();
    (id, times).hash(&mut hasher);
    (hasher.finish() % u64::from(JITTER_PERCENT)) as u32
}
