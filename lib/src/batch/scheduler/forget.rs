//! Lets go of jobs that ended long ago, in the store and in memory.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use spokelift_platform::job::JobId;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::cell::FinishedJob;
use crate::batch::record;
use crate::batch::scheduler::STORE_TIMEOUT;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Time between looks for such jobs.
const FORGET_INTERVAL: Duration = Duration::from_millis(500);
/// How long a finished job is kept beyond what clients were promised.
const KEEP_EXTRA: Duration = Duration::from_secs(15);

/// Lets go of finished jobs as long as the scheduler lasts.
pub(super) async fn forget_finished(scheduler: Arc<Scheduler>) {
    let keep = scheduler.node.settings.status_time + KEEP_EXTRA;
    loop {
        sleep(FORGET_INTERVAL).await;
        drop_other_accounts(&scheduler).await;
        let finished = scheduler.cell().finished_jobs(keep, clock::now());
        if finished.is_empty() {
            continue;
        }
        let still_kept = drop_records(&scheduler, &finished).await;
        let mut cell = scheduler.cell();
        for job in finished.iter().filter(|job| !still_kept.contains(&job.key.id)) {
            cell.forget_job(job.key.id);
        }
        drop(cell);
        scheduler.wake_flush();
    }
}

/// Drops the records of jobs under ids that are another account's: their senders were told that they are not taken.
async fn drop_other_accounts(scheduler: &Scheduler) {
    let foreign = scheduler.cell().take_id_conflicts();
    for (key, number) in foreign {
        let (partition, record) = (record::job_partition(number), record::forget_job(&key));
        if let Err(error) =
            scheduler.node.append(partition, &[record], &Guard::None, STORE_TIMEOUT).await
        {
            log::warn!("a job that was not taken stays in the store for now: {error}");
            scheduler.cell().record_id_conflict(key, number);
        }
    }
}

/// Drops the records of jobs in each partition that keeps one; returns the jobs of which one is
/// left. They are tried again.
async fn drop_records(scheduler: &Scheduler, finished: &[FinishedJob]) -> HashSet<JobId> {
    let mut by_partition: BTreeMap<u16, (Vec<JobId>, Vec<Record>)> = BTreeMap::new();
    let mut add = |partition: u16, id: JobId, record: Record| {
        let (ids, records) = by_partition.entry(partition).or_default();
        ids.push(id);
        records.push(record);
    };
    for job in finished {
        for partition in &job.kept_in {
            add(*partition, job.key.id, record::forget_job(&job.key));
        }
        if job.cancelled {
            record::forget_cancel(&job.key).for_each(|record| add(0, job.key.id, record));
        }
    }
    let drops = by_partition.into_iter().map(|(partition, (ids, records))| async move {
        let partition = record::job_partition(partition);
        let dropped = scheduler.node.append(partition, &records, &Guard::None, STORE_TIMEOUT).await;
        dropped.map_err(|error| (ids, error))
    });
    let mut still_kept = HashSet::new();
    for (ids, error) in join_all(drops).await.into_iter().filter_map(Result::err) {
        log::warn!(jobs = ids.len(); "finished jobs stay in the store for now: {error}");
        still_kept.extend(ids);
    }
    still_kept
}
