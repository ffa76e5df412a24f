//! Which requests a killed entry box may have cut off.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts the kills of each entry box, from the decision until its last task has ended. In between, a
/// few milliseconds or more on a busy machine, it takes requests that it will not answer.
#[derive(Debug, Default)]
pub struct Kills {
    boxes: Vec<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    started: AtomicU64,
    ended: AtomicU64,
}

/// The kills of an entry box that were over at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark(u64);

impl Kills {
    /// No kills of so many entry boxes.
    pub fn new(boxes: usize) -> Kills {
        Kills { boxes: (0..boxes).map(|_| Counts::default()).collect() }
    }

    /// A kill of an entry box begins.
    pub fn record_started(&self, entry: usize) {
        self.boxes[entry].started.fetch_add(1, Ordering::SeqCst);
    }

    /// A kill of an entry box is over: nothing of it runs any more.
    pub fn record_ended(&self, entry: usize) {
        self.boxes[entry].ended.fetch_add(1, Ordering::SeqCst);
    }

    /// Taken before a request is sent to an entry box.
    pub fn mark(&self, entry: usize) -> Mark {
        Mark(self.boxes[entry].ended.load(Ordering::SeqCst))
    }

    /// Whether the entry box was being killed at any time since the mark was taken.
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
