//! Cancels of jobs that are not known yet.
//!
//! A cancel and the record of its job reach the scheduler separately: they may stand in different
//! partitions of the store, and the record may be written after the cancel. A cancel that arrives
//! first is kept until its job is known.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;

use crate::batch::caller::Caller;
use crate::batch::record::Accepted;

/// The cancels that are kept.
///
/// ```
/// use std::time::{Duration, Instant};
/// use spokelift_lib::batch::caller::Caller;
/// use spokelift_lib::batch::early_cancels::EarlyCancels;
/// let (now, mut cancels) = (Instant::now(), EarlyCancels::default());
/// assert!(cancels.keep(7, &Caller::Operator, now));
/// let job = spokelift_testutils::batch::accepted(vec![]);
/// assert!(cancels.take(7, &job));
/// assert!(!cancels.take(7, &job), "it has been applied");
/// ```
#[derive(Debug, Default)]
pub struct EarlyCancels {
    by_job: HashMap<JobId, OfJob>,
}

/// The cancels of one job.
#[derive(Debug)]
struct OfJob {
    callers: Vec<Caller>,
    /// When the last of them arrived.
    last_at: Instant,
}

impl EarlyCancels {
    /// Keeps a cancel; returns whether this caller has no other one of this job.
    pub fn keep(&mut self, id: JobId, caller: &Caller, now: Instant) -> bool {
        let new = || OfJob { callers: Vec::new(), last_at: now };
        let of_job = self.by_job.entry(id).or_insert_with(new);
        of_job.last_at = now;
        let is_new = !of_job.callers.contains(caller);
        if is_new {
            of_job.callers.push(caller.clone());
        }
        is_new
    }

    /// Removes the cancels by callers who may cancel `job`, which has this id; returns whether
    /// there were any. Those by others remain.
    pub fn take(&mut self, id: JobId, job: &Accepted) -> bool {
        let Some(of_job) = self.by_job.get_mut(&id) else { return false };
        let count = of_job.callers.len();
        of_job.callers.retain(|caller| !caller.may_use(job));
        let has_any = of_job.callers.len() < count;
        if of_job.callers.is_empty() {
            self.by_job.remove(&id);
        }
        has_any
    }

    /// The jobs whose last cancel arrived more than `keep` ago, with the callers.
    pub fn older_than(&self, keep: Duration, now: Instant) -> Vec<(JobId, Vec<Caller>)> {
        let is_old = |of_job: &OfJob| now.saturating_duration_since(of_job.last_at) > keep;
        let old = self.by_job.iter().filter(|(_, of_job)| is_old(of_job));
        old.map(|(id, of_job)| (*id, of_job.callers.clone())).collect()
    }

    /// Forgets the cancels of a job. The store has none of them any more, or the next scheduler
    /// would keep them again.
    pub fn forget(&mut self, id: JobId) {
        self.by_job.remove(&id);
    }
}
