//! What the store keeps of the learned run times, so that they survive the leader.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::batch::run_time::ratios::BUCKETS;

/// Layout of the record. A reader of another one begins anew.
pub(super) const VERSION: u8 = 1;
/// Steps with this number and higher ones count as one.
pub(super) const MAX_STEP: u16 = 31;
/// Series that are stored; a series takes some 100 bytes.
pub(super) const MAX_STORED_SERIES: usize = 64;
/// Parts of a run in which weights are stored.
pub(super) const WEIGHT_PARTS: f32 = 16.0;
/// Highest weight of a bucket, far above what fading leaves.
const MAX_WEIGHT: u16 = 16_000;

/// Weights by bucket, in `WEIGHT_PARTS`.
pub(super) type StoredBuckets = Vec<(u16, u16)>;

/// The learned run times.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredRunTimes {
    pub(super) version: u8,
    pub(super) queues: Vec<StoredQueue>,
}

/// The run times of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredQueue {
    pub(super) name: String,
    pub(super) mean_ratio: f32,
    pub(super) series: Vec<StoredSeries>,
}

/// The run times of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredSeries {
    pub(super) step: u16,
    pub(super) has_estimate: bool,
    pub(super) weight: u16,
    pub(super) ended: StoredBuckets,
    pub(super) cut_off: StoredBuckets,
}

/// Why stored run times cannot be used.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum StoredError {
    /// Another layout.
    #[error("layout {0} is not known")]
    Version(u8),
    /// A number is outside of its range, or there is too much.
    #[error("{0} is out of range")]
    Range(&'static str),
}

impl StoredRunTimes {
    /// Checks each number.
    ///
    /// # Errors
    ///
    /// [`StoredError`] says which one is wrong.
    pub fn validate(&self) -> Result<(), StoredError> {
        if self.version != VERSION {
            return Err(StoredError::Version(self.version));
        }
        let series = || self.queues.iter().flat_map(|queue| &queue.series);
        if series().count() > MAX_STORED_SERIES {
            return Err(StoredError::Range("the number of series"));
        }
        let names: BTreeSet<&str> = self.queues.iter().map(|queue| queue.name.as_str()).collect();
        if names.len() != self.queues.len() {
            return Err(StoredError::Range("a queue's name"));
        }
        if self.queues.iter().any(|queue| !(0.0..=1_000.0).contains(&queue.mean_ratio)) {
            return Err(StoredError::Range("a mean ratio"));
        }
        series().try_for_each(StoredSeries::validate)
    }
}

impl StoredSeries {
    fn validate(&self) -> Result<(), StoredError> {
        let is_sound = |(bucket, weight): &(u16, u16)| {
            usize::from(*bucket) < BUCKETS && (1..=MAX_WEIGHT).contains(weight)
        };
        if !self.ended.iter().chain(&self.cut_off).all(is_sound) || self.ended.is_empty() {
            return Err(StoredError::Range("a bucket"));
        }
        if self.step > MAX_STEP || self.weight > MAX_WEIGHT {
            return Err(StoredError::Range("a step"));
        }
        Ok(())
    }
}

/// Weights as they are stored; those that round to nothing are left out.
pub(super) fn stored_buckets(buckets: &[(usize, f32)]) -> StoredBuckets {
    let rounded = buckets.iter().map(|(bucket, weight)| (*bucket as u16, stored_weight(*weight)));
    rounded.filter(|(_, weight)| *weight > 0).collect()
}

pub(super) fn stored_weight(weight: f32) -> u16 {
    ((weight * WEIGHT_PARTS).round() as u16).min(MAX_WEIGHT)
}

/// Weights as they were before they were stored.
pub(super) fn restored_buckets(stored: &StoredBuckets) -> Vec<(usize, f32)> {
    let restored = stored.iter();
    restored.map(|(bucket, weight)| (usize::from(*bucket), restored_weight(*weight))).collect()
}

pub(super) fn restored_weight(stored: u16) -> f32 {
    f32::from(stored) / WEIGHT_PARTS
}
