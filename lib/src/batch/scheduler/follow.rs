//! Following the store: workers that come and go, jobs whose news was lost on the way.

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

/// Time between reads of workers' entries. A worker that drains must get nothing new after 2 s.
/// A worker that joins a pool is found as late as that.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time between reads of a partition with jobs, for those whose news was lost on the way.
const JOBS_READ_INTERVAL: Duration = Duration::from_millis(400);
/// How long such a read waits for a record. Partitions to which few nodes write are read rarely.
const JOBS_READ_WAIT: Duration = Duration::from_millis(2_000);

/// How long after the store has come back a worker that it does not list may be given work: the
/// platform lists those again that live, within about two seconds.
const RELIST_GRACE: Duration = Duration::from_millis(2_300);

/// Follows the workers' topic; reads it anew where its start was cut off.
pub(super) async fn follow_workers(scheduler: Arc<Scheduler>, mut from: Offset) {
    let mut excused_until = None;
    loop {
        sleep(WORKERS_READ_INTERVAL).await;
        match scheduler.node.read_topic(WORKER_TOPIC, from, Duration::ZERO, STORE_TIMEOUT).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                let mut is_new = false;
                for record in &page.records {
                    is_new |= apply_worker_entry(&scheduler, record, excused_until);
                }
                if is_new {
                    assign_unassigned(&scheduler);
                }
                if !page.records.is_empty() {
                    scheduler.wake();
                }
            }
            Err(error) if error.status() == Some(410) => {
                match load_workers(&scheduler, excused_until).await {
                    Ok(end) => {
                        from = end;
                        assign_unassigned(&scheduler);
                    }
                    Err(error) => log::warn!("the workers cannot be read: {error}"),
                }
            }
            Err(error) => {
                excused_until = Some(clock::now() + RELIST_GRACE);
                log::debug!("the workers cannot be followed: {error}");
            }
        }
    }
}

/// Follows one partition with jobs; reads it anew where its start was cut off.
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
                    Err(error) => log::warn!("the jobs in {partition} cannot be read: {error}"),
                }
            }
            Err(error) => log::debug!("the jobs in {partition} cannot be followed: {error}"),
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
                cell.record_kept(JobKey { id, account: owner }, partition);
            }
            Ok(JobRecord::Cancel(id, caller)) => {
                changed = true;
                scheduler.cell().cancel_for(id, &caller);
                scheduler.wake_flush();
            }
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("the record of a job cannot be used: {error}"),
        }
    }
    if changed {
        scheduler.wake();
    }
}
