//! Tracks which requests may have been cut off by the kill of a daemon.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts the kills of each daemon that takes calls, from the decision until its last task has
/// ended. In between, a few milliseconds or more on a busy machine, it accepts requests that it
/// will not answer.
#[derive(Debug, Default)]
pub struct Kills {
    boxes: Vec<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    ended: AtomicU64,
}

/// The number of kills of a daemon that had ended at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u64);

impl Kills {
    /// Counts for `boxes` daemons, without any kills.
    pub fn new(boxes: usize) -> Kills {
        Kills { boxes: (0..boxes).map(|_| Counts::default()).collect() }
    }

    /// Records that a kill of a daemon starts.
    pub fn record_started(&self, entry: usize) {
        self.boxes[entry].started.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that a kill of a daemon has ended: none of its tasks runs any more.
    pub fn record_ended(&self, entry: usize) {
        self.boxes[entry].ended.fetch_add(1, Ordering::SeqCst);
    }

    /// A mark to be taken before a request is sent to a daemon.
    pub fn mark(&self, entry: usize) -> Mark {
        Mark(self.boxes[entry].ended.load(Ordering::SeqCst))
    }

    /// Whether the daemon was being killed at any time since the mark was taken.
    ///
    /// ```
    /// # use spokelift_testutils::kills::Kills;
    /// let kills = Kills::new(1);
    /// let before = kills.mark(0);
    /// assert!(!kills.was_killed_since(0, before));
    /// kills.record_started(0);
    /// let during = kills.mark(0);
    /// kills.record_ended(0);
    /// assert!(kills.was_killed_since(0, before) && kills.was_killed_since(0, during));
    /// assert!(!kills.was_killed_since(0, kills.mark(0)));
    /// ```
    pub fn was_killed_since(&self, entry: usize, since: Mark) -> bool {
        self.boxes[entry].started.load(Ordering::SeqCst) > since.0
    }
}
