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
use crate::batch::scheduler::CALL;
use crate::batch::scheduler::LOAD;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::deal::assign_all;
use crate::batch::scheduler::load::load_workers;
use crate::batch::scheduler::load::take_worker;
use crate::transport::clock;

/// Time between reads of workers' entries. A worker that drains must get nothing new after 2 s.
/// A worker that joins a pool is found as late as that.
const READ_WORKERS: Duration = Duration::from_millis(150);
/// Time between reads of a partition with jobs, for those whose news was lost on the way.
const READ_JOBS: Duration = Duration::from_millis(400);
/// How long such a read waits for a record. Partitions to which few nodes write are read rarely.
const AWAIT_JOBS: Duration = Duration::from_millis(2_000);

/// How long after the store has come back a worker that it does not list may be given work: the
/// platform lists those again that live, within about two seconds.
const EXCUSED: Duration = Duration::from_millis(2_300);

/// Follows the workers' topic; reads it anew where its start was cut off.
pub(super) async fn follow_workers(scheduler: Arc<Scheduler>, mut from: Offset) {
    let mut excused_until = None;
    loop {
        sleep(READ_WORKERS).await;
        match scheduler.node.read_topic(WORKER_TOPIC, from, Duration::ZERO, CALL).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                let mut is_new = false;
                for record in &page.records {
                    is_new |= take_worker(&scheduler, record, excused_until);
                }
                if is_new {
                    assign_all(&scheduler);
                }
                if !page.records.is_empty() {
                    scheduler.kick();
                }
            }
            Err(error) if error.status() == Some(410) => {
                match load_workers(&scheduler, excused_until).await {
                    Ok(end) => {
                        from = end;
                        assign_all(&scheduler);
                    }
                    Err(error) => log::warn!("the workers cannot be read: {error}"),
                }
            }
            Err(error) => {
                excused_until = Some(clock::now() + EXCUSED);
                log::debug!("the workers cannot be followed: {error}");
            }
        }
    }
}

/// Follows one partition with jobs; reads it anew where its start was cut off.
pub(super) async fn follow_jobs(scheduler: Arc<Scheduler>, number: u16, mut from: Offset) {
    let partition = record::job_partition(number);
    loop {
        sleep(READ_JOBS).await;
        match scheduler.node.read_topic(partition.clone(), from, AWAIT_JOBS, CALL).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                take_jobs(&scheduler, number, &page.records);
            }
            Err(error) if error.status() == Some(410) => {
                match scheduler.node.read_newest(partition.clone(), LOAD).await {
                    Ok(newest) => {
                        from = newest.end;
                        take_jobs(&scheduler, number, &newest.records);
                    }
                    Err(error) => log::warn!("the jobs in {partition} cannot be read: {error}"),
                }
            }
            Err(error) => log::debug!("the jobs in {partition} cannot be followed: {error}"),
        }
    }
}

fn take_jobs(scheduler: &Scheduler, partition: u16, records: &[Record]) {
    let mut changed = false;
    for record in records {
        match JobRecord::decode(record) {
            Ok(JobRecord::Accepted(id, job)) => {
                let mut cell = scheduler.cell();
                let owner = job.account.clone();
                changed |= cell.admit(id, *job, None);
                cell.note_kept(JobKey { id, account: owner }, partition);
            }
            Ok(JobRecord::Cancel(id, caller)) => {
                changed = true;
                scheduler.cell().cancel_for(id, &caller);
                scheduler.kick_flush();
            }
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("the record of a job cannot be used: {error}"),
        }
    }
    if changed {
        scheduler.kick();
    }
}
