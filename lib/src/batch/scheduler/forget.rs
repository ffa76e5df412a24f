//! Forgets jobs that finished long ago, in the store and in memory.

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

/// Time between checks for such jobs.
const FORGET_INTERVAL: Duration = Duration::from_millis(500);
/// How much longer a finished job is kept than clients were promised.
const KEEP_EXTRA: Duration = Duration::from_secs(15);

/// Forgets finished jobs until the scheduler stops.
pub(super) async fn forget_finished(scheduler: Arc<Scheduler>) {
    let keep = scheduler.node.settings.status_retention + KEEP_EXTRA;
    loop {
        sleep(FORGET_INTERVAL).await;
        delete_id_conflicts(&scheduler).await;
        let finished = scheduler.cell().finished_jobs(keep, clock::now());
        if finished.is_empty() {
            continue;
        }
        let still_stored = delete_records(&scheduler, &finished).await;
        let mut cell = scheduler.cell();
        for job in finished.iter().filter(|job| !still_stored.contains(&job.key.id)) {
            cell.forget_job(job.key.id);
        }
        drop(cell);
        scheduler.wake_flush();
    }
}

/// Deletes the records of jobs whose ids belong to jobs of other accounts: their senders got the answer that the
/// jobs are not accepted.
async fn delete_id_conflicts(scheduler: &Scheduler) {
    let conflicts = scheduler.cell().take_id_conflicts();
    for (key, number) in conflicts {
        let (partition, record) = (record::job_partition(number), record::forget_job(&key));
        if let Err(error) =
            scheduler.node.append(partition, &[record], &Guard::None, STORE_TIMEOUT).await
        {
            log::warn!("deleting the record of a rejected job failed, will retry: {error}");
            scheduler.cell().record_id_conflict(key, number);
        }
    }
}

/// Deletes the records of jobs in each partition that has one; returns the jobs of which one could not be deleted.
/// They are tried again.
async fn delete_records(scheduler: &Scheduler, finished: &[FinishedJob]) -> HashSet<JobId> {
    let mut by_partition: BTreeMap<u16, (Vec<JobId>, Vec<Record>)> = BTreeMap::new();
    let mut add = |partition: u16, id: JobId, record: Record| {
        let (ids, records) = by_partition.entry(partition).or_default();
        ids.push(id);
        records.push(record);
    };
    for job in finished {
        for partition in &job.stored_in {
            add(*partition, job.key.id, record::forget_job(&job.key));
        }
        if job.cancelled {
            record::forget_cancel(&job.key).for_each(|record| add(0, job.key.id, record));
        }
    }
    let deletions = by_partition.into_iter().map(|(partition, (ids, records))| async move {
        let partition = record::job_partition(partition);
        let deleted = scheduler.node.append(partition, &records, &Guard::None, STORE_TIMEOUT).await;
        deleted.map_err(|error| (ids, error))
    });
    let mut still_stored = HashSet::new();
    for (ids, error) in join_all(deletions).await.into_iter().filter_map(Result::err) {
        log::warn!(jobs = ids.len(); "deleting the records of finished jobs failed, will retry: {error}");
        still_stored.extend(ids);
    }
    still_stored
}
