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
    begun: AtomicU64,
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
    pub fn begin(&self, entry: usize) {
        self.boxes[entry].begun.fetch_add(1, Ordering::SeqCst);
    }

    /// A kill of an entry box is over: nothing of it runs any more.
    pub fn end(&self, entry: usize) {
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
    /// assert!(!kills.reached(0, before));
    /// kills.begin(0);
    /// let during = kills.mark(0);
    /// kills.end(0);
    /// assert!(kills.reached(0, before) && kills.reached(0, during));
    /// assert!(!kills.reached(0, kills.mark(0)));
    /// ```
    pub fn reached(&self, entry: usize, since: Mark) -> bool {
        self.boxes[entry].begun.load(Ordering::SeqCst) > since.0
    }
}
