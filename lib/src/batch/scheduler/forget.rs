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

/// Maximum number of jobs whose cancels are deleted from the store in one append.
const MAX_FORGOTTEN_CANCELS: usize = 1_000;

/// Forgets finished jobs until the scheduler stops.
pub(super) async fn forget_finished(scheduler: Arc<Scheduler>) {
    let keep = scheduler.node.settings.status_retention + KEEP_EXTRA;
    loop {
        sleep(FORGET_INTERVAL).await;
        delete_id_conflicts(&scheduler).await;
        forget_early_cancels(&scheduler, keep).await;
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

/// Forgets the cancels whose jobs have not arrived for as long as a cancelled job is kept. A job that the store has had
/// for longer may not have been read yet, so the store is read to its end first.
async fn forget_early_cancels(scheduler: &Scheduler, keep: Duration) {
    let old = || scheduler.cell().early_cancels.older_than(keep, clock::now());
    if old().is_empty() || !scheduler.read_jobs_to_end().await {
        return;
    }
    let mut old = old();
    old.truncate(MAX_FORGOTTEN_CANCELS);
    let requests =
        old.iter().flat_map(|(id, callers)| callers.iter().map(move |caller| (*id, caller)));
    let records: Vec<Record> =
        requests.map(|(id, caller)| record::forget_cancel_by(id, caller)).collect();
    let deleted =
        scheduler.node.append(record::JOB_TOPIC, &records, &Guard::None, STORE_TIMEOUT).await;
    if let Err(error) = deleted {
        log::warn!(jobs = old.len(); "deleting cancels of unknown jobs failed, will retry: {error}");
        return;
    }
    let mut cell = scheduler.cell();
    old.iter().for_each(|(id, _)| cell.early_cancels.forget(*id));
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
