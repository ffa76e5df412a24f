//! Follows the store: the workers that it lists, and the jobs, which it also reads to their end before
//! one is said not to exist.
//!
//! Nodes report each job that they have accepted, but a report may be late, or lost while there is no
//! leader. So the scheduler also reads the partitions of the topic at intervals.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::try_join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use tokio::time::sleep;

use crate::batch::record;
use crate::batch::record::JobKey;
use crate::batch::record::JobRecord;
use crate::batch::scheduler::LOAD_TIMEOUT;
use crate::batch::scheduler::STORE_TIMEOUT;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::load::apply_worker_entry;
use crate::batch::scheduler::load::load_workers;
use crate::batch::scheduler::rebalance::assign_unassigned;
use crate::transport::clock;

/// Time between reads of the worker topic. A worker that drains must get nothing new after 2 s. A worker that
/// joins a pool is discovered up to this much later.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time between reads of a job partition, for jobs whose report was lost.
const JOBS_READ_INTERVAL: Duration = Duration::from_millis(400);
/// How long such a read waits for a record, so that partitions to which few nodes write are read rarely.
const JOBS_READ_WAIT: Duration = Duration::from_millis(2_000);
/// Minimum time between two reads of all partitions to their ends, whoever asks for how many unknown jobs.
const READ_TO_END_INTERVAL: Duration = Duration::from_millis(100);

/// How long after a store outage a worker that the store does not list may still get tasks: the platform lists
/// live workers again within about two seconds.
const RELIST_GRACE: Duration = Duration::from_millis(2_300);

/// Follows the worker topic; reads all of it again if the store has truncated it beyond the current offset.
pub(super) async fn follow_workers(scheduler: Arc<Scheduler>, mut from: Offset) {
    let mut unlisted_grace_until = None;
    loop {
        sleep(WORKERS_READ_INTERVAL).await;
        match scheduler.node.read_topic(WORKER_TOPIC, from, Duration::ZERO, STORE_TIMEOUT).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                let mut is_new = false;
                for record in &page.records {
                    is_new |= apply_worker_entry(&scheduler, record, unlisted_grace_until);
                }
                if is_new {
                    assign_unassigned(&scheduler);
                }
                if !page.records.is_empty() {
                    scheduler.wake();
                }
            }
            Err(error) if error.status() == Some(410) => {
                match load_workers(&scheduler, unlisted_grace_until).await {
                    Ok(end) => {
                        from = end;
                        assign_unassigned(&scheduler);
                    }
                    Err(error) => log::warn!("reading the worker topic failed: {error}"),
                }
            }
            Err(error) => {
                unlisted_grace_until = Some(clock::now() + RELIST_GRACE);
                log::debug!("following the worker topic failed: {error}");
            }
        }
    }
}

/// Follows one job partition.
pub(super) async fn follow_jobs(scheduler: Arc<Scheduler>, number: u16) {
    loop {
        sleep(JOBS_READ_INTERVAL).await;
        if let Err(error) = scheduler.read_jobs(number, JOBS_READ_WAIT).await {
            log::debug!("following the jobs in partition {number} failed: {error}");
        }
    }
}

impl Scheduler {
    /// Whether this scheduler is the only one, and knows all jobs that the store had when it was asked: then a job that
    /// it does not know does not exist. Reads what it has not read yet.
    pub(super) async fn knows_all_jobs(&self) -> bool {
        let is_sole_leader = || self.cell().is_sole_leader(clock::now());
        is_sole_leader() && self.read_jobs_to_end().await && is_sole_leader()
    }

    /// Reads the jobs that the store had when this was called, at once for all that ask meanwhile; `false` if the store
    /// does not answer.
    pub(super) async fn read_jobs_to_end(&self) -> bool {
        let asked_at = clock::now();
        let mut read_at = self.job_topic.read_to_end_at.lock().await;
        if read_at.is_some_and(|at| at >= asked_at) {
            return true;
        }
        if let Some(at) = *read_at {
            sleep(READ_TO_END_INTERVAL.saturating_sub(clock::since(at))).await;
        }
        let started_at = clock::now();
        self.node.counters.count("batch.jobs.read-to-end");
        let reads =
            (0..self.job_topic.partitions()).map(|number| self.read_partition_to_end(number));
        match try_join_all(reads).await {
            Ok(_) => {
                *read_at = Some(started_at);
                true
            }
            Err(error) => {
                self.node.counters.count("batch.jobs.read-to-end-failed");
                log::info!("cannot read whether a job exists: {error}");
                false
            }
        }
    }

    async fn read_partition_to_end(&self, number: u16) -> Result<(), CallError> {
        while !self.read_jobs(number, Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads and applies the next records of a partition, and waits for up to `wait` if there are none; returns whether
    /// there were no more. Reads all of the partition again if the store has truncated it beyond the current offset.
    async fn read_jobs(&self, number: u16, wait: Duration) -> Result<bool, CallError> {
        let partition = record::job_partition(number);
        let from = self.job_topic.applied_in(number);
        match self.node.read_topic(partition.clone(), from, wait, STORE_TIMEOUT).await {
            Ok(page) => {
                apply_jobs(self, number, &page.records);
                let to = from + page.records.len() as Offset;
                self.job_topic.advance(number, to);
                Ok(to >= page.end)
            }
            Err(error) if error.status() == Some(410) => {
                let newest = self.node.read_newest(partition, LOAD_TIMEOUT).await?;
                apply_jobs(self, number, &newest.records);
                self.job_topic.advance(number, newest.end);
                Ok(true)
            }
            Err(error) => Err(error),
        }
    }
}

fn apply_jobs(scheduler: &Scheduler, partition: u16, records: &[Record]) {
    let mut changed = false;
    for record in records {
        match JobRecord::decode(record) {
            Ok(JobRecord::Accepted(id, job)) => {
                let mut cell = scheduler.cell();
                let owner = job.account.clone();
                changed |= cell.admit(id, *job, None);
                cell.record_stored_in(JobKey { id, account: owner }, partition);
            }
            Ok(JobRecord::Cancel(id, caller)) => {
                scheduler.apply_cancel(id, &caller);
            }
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("invalid job record: {error}"),
        }
    }
    if changed {
        scheduler.wake();
    }
}
