//! Follows the store: workers that are listed or unlisted, and jobs whose notification was lost.

use std::sync::Arc;
use std::time::Duration;

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
/// Time between reads of a job partition, for jobs whose notification was lost.
const JOBS_READ_INTERVAL: Duration = Duration::from_millis(400);
/// How long such a read waits for a record, so that partitions to which few nodes write are read rarely.
const JOBS_READ_WAIT: Duration = Duration::from_millis(2_000);

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

/// Follows one job partition; reads all of it again if the store has truncated it beyond the current offset.
pub(super) async fn follow_jobs(scheduler: Arc<Scheduler>, number: u16, mut from: Offset) {
    let partition = record::job_partition(number);
    loop {
        sleep(JOBS_READ_INTERVAL).await;
        match scheduler
            .node
            .read_topic(partition.clone(), from, JOBS_READ_WAIT, STORE_TIMEOUT)
            .await
        {
            Ok(page) => {
                from += page.records.len() as Offset;
                apply_jobs(&scheduler, number, &page.records);
            }
            Err(error) if error.status() == Some(410) => {
                match scheduler.node.read_newest(partition.clone(), LOAD_TIMEOUT).await {
                    Ok(newest) => {
                        from = newest.end;
                        apply_jobs(&scheduler, number, &newest.records);
                    }
                    Err(error) => log::warn!("reading the jobs in {partition} failed: {error}"),
                }
            }
            Err(error) => log::debug!("following the jobs in {partition} failed: {error}"),
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
                changed = true;
                scheduler.cell().cancel_for(id, &caller);
                scheduler.wake_flush();
            }
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("invalid job record: {error}"),
        }
    }
    if changed {
        scheduler.wake();
    }
}
