//! What the store keeps of a job, and under whose name.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;

use crate::state::id::AccountId;

/// A job as it was accepted.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The queue it was handed in at.
    pub queue: String,
    /// The service that queue used then.
    pub service: String,
    /// Rank of the queue; 0 comes first.
    pub priority: u32,
    /// How often a task may fail before the job fails.
    pub max_attempts: u32,
    /// Its steps need the permission of the advice service.
    pub needs_advice: bool,
    /// Fixed part of the objective of the job's time, in milliseconds.
    pub objective_ms: u64,
    /// Part of the objective that grows with the longest chain of work, in hundredths.
    pub stretch_percent: u32,
    /// When it was accepted, since 1970, by the clock of the node that took it.
    pub at: Duration,
    /// The account whose key it was handed in with; none at a queue that asks for none, and in records of before
    /// accounts were known.
    pub account: Option<AccountId>,
}

/// A job as records of before accounts were known keep it: without the last field.
#[derive(Deserialize)]
pub(super) struct LegacyAccepted {
    job: Job,
    queue: String,
    service: String,
    priority: u32,
    max_attempts: u32,
    needs_advice: bool,
    objective_ms: u64,
    stretch_percent: u32,
    at: Duration,
}

impl From<LegacyAccepted> for Accepted {
    fn from(kept: LegacyAccepted) -> Accepted {
        let LegacyAccepted { job, queue, service, priority, max_attempts, needs_advice, .. } = kept;
        let LegacyAccepted { objective_ms, stretch_percent, at, .. } = kept;
        Accepted {
            job,
            queue,
            service,
            priority,
            max_attempts,
            needs_advice,
            objective_ms,
            stretch_percent,
            at,
            account: None,
        }
    }
}

/// A job's record: which job, and whose. Two accounts that choose one id write two records, of which neither takes the
/// place of the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The job.
    pub id: JobId,
    /// Its account.
    pub account: Option<AccountId>,
}
