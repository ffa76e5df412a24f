//! Jobs as seen by their callers, and the removal of jobs that have ended.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;

use crate::batch::caller::Caller;
use crate::batch::cell::Cell;
use crate::batch::cell::FinishedJob;
use crate::batch::job::Entry;
use crate::batch::job::memory_of;
use crate::batch::record;
use crate::batch::record::JobKey;
use crate::state::id::AccountId;
use crate::transport::clock;

impl Cell {
    /// The state of a job as shown to a caller; `None` if no such job belongs to them.
    pub fn job_state_for(&self, id: JobId, caller: &Caller) -> Option<JobState> {
        let entry = self.jobs.get(&id).filter(|entry| caller.may_use(&entry.accepted));
        entry.map(Entry::visible_state)
    }

    /// Cancels a job for a caller and returns its state; `None` if no such job belongs to them. The
    /// cancel is kept then, and applies if such a job arrives later.
    pub fn cancel_for(&mut self, id: JobId, caller: &Caller) -> Option<JobState> {
        if self.job_state_for(id, caller).is_some() {
            return self.cancel(id);
        }
        if self.early_cancels.keep(id, caller, clock::now()) {
            log::info!(job = format!("{id:016x}").as_str(); "cancel kept: its job is not known");
        }
        None
    }

    /// Whether a job is known and belongs to `account`; `None` stands for jobs without an account.
    pub fn is_job_of(&self, id: JobId, account: Option<&AccountId>) -> bool {
        self.jobs.get(&id).is_some_and(|entry| entry.accepted.account.as_ref() == account)
    }

    /// The number of active jobs in a queue that the caller may see and of which no task has
    /// started.
    pub fn count_pending(&self, queue: &str, caller: &Caller) -> u32 {
        let is_waiting =
            |entry: &&Entry| entry.accepted.queue == queue && entry.is_active() && !entry.started;
        let waiting = self.jobs.values().filter(is_waiting);
        waiting.filter(|entry| caller.may_use(&entry.accepted)).count() as u32
    }

    /// Records that a partition of the store holds a job. The job is not removed before at least
    /// one partition is known: a record left behind would be a new job to the next scheduler.
    pub fn record_stored_in(&mut self, key: JobKey, partition: u16) {
        match self.jobs.get_mut(&key.id) {
            Some(entry) if entry.accepted.account == key.account => {
                entry.stored_in.insert(partition);
            }
            Some(_) => self.record_id_conflict(key, partition),
            None => {}
        }
    }

    /// Records that a partition holds a job under an id of another account's job; that record is to
    /// be removed.
    pub fn record_id_conflict(&mut self, key: JobKey, partition: u16) {
        if self.id_conflicts.insert((key, partition)) {
            log::info!("job rejected: its id belongs to a job of another account");
        }
    }

    /// Takes the records that [`Self::record_id_conflict`] has recorded since the last call.
    pub fn take_id_conflicts(&mut self) -> BTreeSet<(JobKey, u16)> {
        std::mem::take(&mut self.id_conflicts)
    }

    /// Jobs that ended more than `keep` ago and may be removed from the store.
    pub fn finished_jobs(&self, keep: Duration, now: Instant) -> Vec<FinishedJob> {
        let is_old = |entry: &&Entry| {
            let ended = entry.ended_at.is_some_and(|at| now.saturating_duration_since(at) > keep);
            ended && entry.end_is_durable && !entry.stored_in.is_empty()
        };
        let old = self.jobs.values().filter(is_old);
        let finished = old.map(|entry| FinishedJob {
            key: JobKey { id: entry.id, account: entry.accepted.account.clone() },
            cancelled: entry.cancelled,
            stored_in: entry.stored_in.clone(),
        });
        finished.collect()
    }

    /// Forgets a job that has ended. The caller has removed it from all partitions before: if the
    /// store forgot its end first, the next scheduler would run the job again.
    pub fn forget_job(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id) {
            self.job_memory -= memory_of(&entry.accepted.job);
            self.advice.forget_job(id);
            self.pending_records.push(record::forget_progress(id));
            if entry.crashed_tasks().next().is_some() {
                self.pending_records.push(record::forget_crashes(id));
            }
        }
    }
}
