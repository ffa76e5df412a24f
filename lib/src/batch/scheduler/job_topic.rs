//! How far a scheduler has read the jobs in the store.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use spokelift_platform::store::Offset;

/// How far a scheduler has read the topic of accepted jobs.
#[derive(Default)]
pub(super) struct Offsets {
    /// For each partition, the offset up to which its records are applied.
    applied: Mutex<Vec<Offset>>,
    /// When the last read of all partitions to their ends began. Locked during such a read.
    pub(super) read_to_end_at: tokio::sync::Mutex<Option<Instant>>,
}

impl Offsets {
    fn applied(&self) -> MutexGuard<'_, Vec<Offset>> {
        self.applied.lock().expect("no thread panics while it holds the offsets lock")
    }

    /// Number of partitions.
    pub(super) fn partitions(&self) -> u16 {
        self.applied().len() as u16
    }

    /// Sets the end offsets of the partitions as they were loaded; returns the number of partitions.
    pub(super) fn set_loaded(&self, ends: Vec<Offset>) -> u16 {
        *self.applied() = ends;
        self.partitions()
    }

    /// The offset up to which the records of a partition are applied.
    pub(super) fn applied_in(&self, number: u16) -> Offset {
        self.applied()[usize::from(number)]
    }

    /// Records that the records of a partition are applied up to an offset.
    pub(super) fn advance(&self, number: u16, to: Offset) {
        let mut applied = self.applied();
        let applied = &mut applied[usize::from(number)];
        *applied = to.max(*applied);
    }
}
