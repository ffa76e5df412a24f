//! What callers see of their jobs, and what is kept of those that have ended.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;

use crate::batch::caller::Caller;
use crate::batch::cell::Cell;
use crate::batch::cell::FinishedJob;
use crate::batch::job::Entry;
use crate::batch::record;
use crate::batch::record::JobKey;
use crate::state::id::AccountId;

impl Cell {
    /// The state that a job is shown in to a caller; `None` if there is none of theirs.
    pub fn job_state_for(&self, id: JobId, caller: &Caller) -> Option<JobState> {
        let entry = self.jobs.get(&id).filter(|entry| caller.may_use(&entry.accepted));
        entry.map(Entry::visible_state)
    }

    /// Cancels a job for a caller; `None` if there is none of theirs.
    pub fn cancel_for(&mut self, id: JobId, caller: &Caller) -> Option<JobState> {
        self.job_state_for(id, caller)?;
        self.cancel(id)
    }

    /// Whether a job is known and belongs to an account, or to none.
    pub fn is_job_of(&self, id: JobId, account: Option<&AccountId>) -> bool {
        self.jobs.get(&id).is_some_and(|entry| entry.accepted.account.as_ref() == account)
    }

    /// Jobs of a queue that a caller may count, none of whose tasks has begun.
    pub fn count_pending(&self, queue: &str, caller: &Caller) -> u32 {
        let waits =
            |entry: &&Entry| entry.accepted.queue == queue && entry.is_active() && !entry.started;
        let waiting = self.jobs.values().filter(waits);
        waiting.filter(|entry| caller.may_use(&entry.accepted)).count() as u32
    }

    /// A partition keeps a job. Until that is known the job is not let go of: what is left behind
    /// there would be taken for a new job by the next scheduler.
    pub fn record_kept(&mut self, key: JobKey, partition: u16) {
        match self.jobs.get_mut(&key.id) {
            Some(entry) if entry.accepted.account == key.account => {
                entry.stored_in.insert(partition);
            }
            Some(_) => self.record_id_conflict(key, partition),
            None => {}
        }
    }

    /// A partition keeps a job under an id that is another account's; it is to be let go of.
    pub fn record_id_conflict(&mut self, key: JobKey, partition: u16) {
        if self.id_conflicts.insert((key, partition)) {
            log::info!("a job under the id of another account's is not taken");
        }
    }

    /// Takes the records of such jobs.
    pub fn take_id_conflicts(&mut self) -> BTreeSet<(JobKey, u16)> {
        std::mem::take(&mut self.id_conflicts)
    }

    /// Jobs that ended longer than `keep` ago and may be let go of in the store.
    pub fn finished_jobs(&self, keep: Duration, now: Instant) -> Vec<FinishedJob> {
        let is_old = |entry: &&Entry| {
            let ended = entry.ended_at.is_some_and(|at| now.saturating_duration_since(at) > keep);
            ended && entry.end_is_durable && !entry.stored_in.is_empty()
        };
        let old = self.jobs.values().filter(is_old);
        let finished = old.map(|entry| FinishedJob {
            key: JobKey { id: entry.id, account: entry.accepted.account.clone() },
            cancelled: entry.cancelled,
            kept_in: entry.stored_in.clone(),
        });
        finished.collect()
    }

    /// Lets go of a finished job, which no partition keeps any more. That comes first: a job whose
    /// end the store has forgotten would be run again by the next scheduler.
    pub fn forget_job(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id) {
            self.advices.forget_job(id);
            self.pending_records.push(record::forget_progress(id));
            if entry.crashed_tasks().next().is_some() {
                self.pending_records.push(record::forget_crashes(id));
            }
        }
    }
}
