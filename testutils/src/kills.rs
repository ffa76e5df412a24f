//! Tracks which requests may have been cut off by the kill of a daemon.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts the kills of each daemon. A kill lasts from the decision until the daemon's last task has
/// ended, which takes a few milliseconds or more on a busy machine; in that time the daemon may
/// accept requests that it will not answer.
#[derive(Debug, Default)]
pub struct Kills {
    daemons: Vec<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    ended: AtomicU64,
}

/// The number of kills of a daemon that had ended when the mark was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u64);

impl Kills {
    /// Counters of `count` daemons, none of which has been killed.
    pub fn new(count: usize) -> Kills {
        Kills { daemons: (0..count).map(|_| Counts::default()).collect() }
    }

    /// Records that a kill of a daemon starts.
    pub fn record_started(&self, daemon: usize) {
        self.daemons[daemon].started.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that a kill of a daemon has ended: none of its tasks runs any more.
    pub fn record_ended(&self, daemon: usize) {
        self.daemons[daemon].ended.fetch_add(1, Ordering::SeqCst);
    }

    /// A mark to be taken before a request is sent to a daemon.
    pub fn mark(&self, daemon: usize) -> Mark {
        Mark(self.daemons[daemon].ended.load(Ordering::SeqCst))
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
    pub fn was_killed_since(&self, daemon: usize, since: Mark) -> bool {
        self.daemons[daemon].started.load(Ordering::SeqCst) > since.0
    }
}
