//! What a leader remembers of the outlooks that it has published.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::batch::outlook::known::MAX_AGE;

/// Number of outlooks that are remembered: as many as are made within [`MAX_AGE`].
const REMEMBERED: usize = 8;

/// The outlooks of a leader.
#[derive(Debug, Default)]
pub struct Published {
    /// CPU of all boxes of the site, in thousandths of a core; `None` until they are known.
    pub site_cpu: Option<u64>,
    /// Number of the last outlook.
    last: u64,
    /// Numbers of the last outlooks by which jobs may be refused, and when they were made.
    recent: VecDeque<(u64, Instant)>,
    /// Whether the last outlook was of a site that is short.
    is_short: bool,
}

impl Published {
    /// The number of an outlook that is made now; `None` if there is nothing to publish: no service
    /// is short, and the nodes know that.
    ///
    /// ```
    /// use std::time::Instant;
    /// use spokelift_lib::batch::outlook::published::Published;
    /// let (mut published, now) = (Published::default(), Instant::now());
    /// assert_eq!(published.next(false, now), None);
    /// assert_eq!(published.next(true, now), Some(1));
    /// assert_eq!(published.next(false, now), Some(2), "the nodes learn that it is over");
    /// assert_eq!(published.next(false, now), None);
    /// ```
    pub fn next(&mut self, is_short: bool, now: Instant) -> Option<u64> {
        if !is_short && !self.is_short {
            return None;
        }
        self.is_short = is_short;
        self.last += 1;
        if is_short {
            self.recent.push_back((self.last, now));
            let excess = self.recent.len().saturating_sub(REMEMBERED);
            self.recent.drain(..excess);
        } else {
            self.recent.clear();
        }
        Some(self.last)
    }

    /// How old the outlook of this number is, if a job may still be refused by it: a message may be
    /// under way for longer than its sender can tell.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::outlook::published::Published;
    /// let (mut published, now) = (Published::default(), Instant::now());
    /// published.next(true, now);
    /// assert_eq!(published.age(1, now), Some(Duration::ZERO));
    /// assert_eq!(published.age(1, now + Duration::from_secs(3)), None);
    /// published.next(false, now);
    /// assert_eq!(published.age(1, now), None, "the service is not short any more");
    /// ```
    pub fn age(&self, number: u64, now: Instant) -> Option<Duration> {
        let (_, made_at) = self.recent.iter().find(|(recent, _)| *recent == number)?;
        let age = now.saturating_duration_since(*made_at);
        (age <= MAX_AGE).then_some(age)
    }
}
