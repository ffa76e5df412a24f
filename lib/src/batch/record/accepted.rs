//! Records of accepted jobs, and their keys.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;

use crate::state::id::AccountId;

/// An accepted job.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The queue it was submitted to.
    pub queue: String,
    /// The service that the queue used then.
    pub service: String,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// How often a task may fail before the job fails.
    pub max_attempts: u32,
    /// Its steps need a ticket of the advice service.
    pub needs_advice: bool,
    /// Fixed part of the objective for the job's time, in milliseconds.
    pub objective_ms: u64,
    /// Part of the objective that grows with the critical path, in percent of it.
    pub stretch_percent: u32,
    /// When it was accepted, since the Unix epoch, by the clock of the node that accepted it.
    pub at: Duration,
    /// The account whose key it was submitted with; `None` at a queue that needs no key, and in
    /// older records.
    pub account: Option<AccountId>,
}

/// An accepted job in the older form, without the account.
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
    fn from(legacy: LegacyAccepted) -> Accepted {
        let LegacyAccepted { job, queue, service, priority, max_attempts, needs_advice, .. } =
            legacy;
        let LegacyAccepted { objective_ms, stretch_percent, at, .. } = legacy;
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

/// Identifies a job's record by job and account. Two accounts that choose the same id write two
/// records, and neither replaces the other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey {
    /// The job.
    pub id: JobId,
    /// Its account.
    pub account: Option<AccountId>,
}
