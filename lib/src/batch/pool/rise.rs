//! Rises of the need of services for CPU: how much more a service may need before a box that is
//! fetched for it arrives. Its idle boxes have to cover that.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Time from a rise until a box that is fetched for it has started tasks.
const FETCH_TIME: Duration = Duration::from_millis(3_000);
/// Length of a period of observation. A rise counts in its period and the next one; before the first
/// period is over, too little of the demand is known.
const PERIOD: Duration = Duration::from_secs(600);

/// The rises of each service.
#[derive(Default)]
pub struct Rises {
    services: HashMap<String, Rise>,
}

struct Rise {
    /// Start of the present period.
    since: Instant,
    /// Needs within the last `FETCH_TIME`, without those that a later one is below.
    lowest: VecDeque<(Instant, u64)>,
    /// Largest rise in the present period.
    largest: u64,
    /// The same in the last one; `None` during the first.
    last_largest: Option<u64>,
}

impl Rises {
    /// Records what a service needs now, in thousandths of a core.
    pub fn record(&mut self, service: &str, need: u64, now: Instant) {
        let new = || Rise { since: now, lowest: VecDeque::new(), largest: 0, last_largest: None };
        let rise = self.services.entry(service.to_owned()).or_insert_with(new);
        if now.saturating_duration_since(rise.since) >= PERIOD {
            rise.last_largest = Some(std::mem::take(&mut rise.largest));
            rise.since = now;
        }
        while rise.lowest.back().is_some_and(|(_, earlier)| *earlier >= need) {
            rise.lowest.pop_back();
        }
        rise.lowest.push_back((now, need));
        let is_old = |at: Instant| now.saturating_duration_since(at) > FETCH_TIME;
        while rise.lowest.front().is_some_and(|(at, _)| is_old(*at)) {
            rise.lowest.pop_front();
        }
        let before = rise.lowest.front().map_or(need, |(_, lowest)| *lowest);
        rise.largest = rise.largest.max(need - before);
    }

    /// The largest rise of a service in the present and the last period, in thousandths of a core;
    /// `None` before the first period is over.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::pool::rise::Rises;
    /// let (mut rises, start) = (Rises::default(), Instant::now());
    /// for second in 0..700 {
    ///     let need = if second % 100 == 0 { 9_000 } else { 1_000 };
    ///     rises.record("work", need, start + Duration::from_secs(second));
    ///     assert_eq!(rises.largest("work"), (second >= 600).then_some(8_000));
    /// }
    /// ```
    pub fn largest(&self, service: &str) -> Option<u64> {
        let rise = self.services.get(service)?;
        rise.last_largest.map(|last| last.max(rise.largest))
    }
}
