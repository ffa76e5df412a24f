//! What was decided about a job.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::job::JobId;

use crate::batch::cell::Cell;
use crate::batch::record::TaskPosition;

/// A decision about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Seconds since it was taken.
    pub age_s: f64,
    /// The task's repetition, step and index; `None` for the whole job.
    #[serde(default)]
    pub place: Option<TaskPosition>,
    /// The decision, with its worker and reason.
    pub what: String,
}

/// The decisions about a job that the leader remembers, and how many are left out before the latest
/// ones.
pub fn of_job(cell: &Cell, job: JobId, now: Instant) -> (Vec<Decision>, u64) {
    let (entries, left_out) = cell.history.of_job(job);
    let shown = entries.map(|entry| Decision {
        age_s: now.saturating_duration_since(entry.at).as_secs_f64(),
        place: entry.place,
        what: entry.decision.to_string(),
    });
    (shown.collect(), left_out)
}
