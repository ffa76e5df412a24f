//! Reading the store as a scheduler begins.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::try_join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::job::JobId;
use spokelift_platform::machine::MachineId;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Newest;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use spokelift_platform::worker;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::WorkerId;

use crate::batch::cell::Cell;
use crate::batch::record;
use crate::batch::record::Crashes;
use crate::batch::record::JobKey;
use crate::batch::record::JobRecord;
use crate::batch::record::Progress;
use crate::batch::record::ProgressRecord;
use crate::batch::scheduler::LOAD_TIMEOUT;
use crate::batch::scheduler::PRODUCER_NAME;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Bars earlier schedulers from the progress topic, then reads it and the jobs; returns the end of
/// each partition with jobs.
pub(super) async fn load(scheduler: &Arc<Scheduler>) -> Result<Vec<Offset>, CallError> {
    let node = &scheduler.node;
    let producer = Producer { name: PRODUCER_NAME.to_owned(), epoch: scheduler.token, sequence: 0 };
    node.append(record::PROGRESS_TOPIC, &[], &Guard::Producer(producer), LOAD_TIMEOUT).await?;
    let kept = node.read_newest(record::PROGRESS_TOPIC, LOAD_TIMEOUT).await?;
    let partitions = 0..record::job_partitions(node.settings.store_partitions);
    let reads =
        partitions.map(|number| node.read_newest(record::job_partition(number), LOAD_TIMEOUT));
    let jobs = try_join_all(reads).await?;
    let mut cell = scheduler.cell();
    let kept = apply_progress(&mut cell, &kept.records);
    scheduler.order_window.set_inherited(kept.ordered);
    cell.restore_unreachable(kept.unreachable);
    apply_jobs(&mut cell, &jobs, kept.progress);
    cell.restore_crashes(&kept.crashes);
    Ok(jobs.iter().map(|newest| newest.end).collect())
}

/// What the progress topic says that is taken in once all of it is read.
#[derive(Default)]
struct LoadedProgress {
    /// How far jobs are.
    progress: HashMap<JobId, Progress>,
    /// Under which tasks workers crashed.
    crashes: HashMap<JobId, Crashes>,
    /// Boxes that the scheduler before may have ordered last.
    ordered: HashSet<MachineId>,
    /// For how long earlier schedulers have not heard of workers.
    unreachable: Vec<(Incarnation, Duration)>,
}

/// Takes in the records of the progress topic; returns what is taken in after them.
fn apply_progress(cell: &mut Cell, records: &[Record]) -> LoadedProgress {
    let mut kept = LoadedProgress::default();
    for record in records {
        match ProgressRecord::decode(record) {
            Ok(ProgressRecord::Progress(id, told)) => {
                kept.progress.insert(id, told);
            }
            Ok(ProgressRecord::Crashes(id, told)) => {
                kept.crashes.insert(id, told);
            }
            Ok(ProgressRecord::Worker(id, known)) => cell.restore_worker(id, known, clock::now()),
            Ok(ProgressRecord::Wave(number, begun)) => {
                cell.maintenance_started.insert(number, begun.into_iter().collect());
            }
            Ok(ProgressRecord::WaveSeen(number, at)) => {
                cell.waves_first_seen.insert(number, at);
            }
            Ok(ProgressRecord::Ended(id)) => cell.restore_ended(id, clock::now()),
            Ok(ProgressRecord::Ordered(boxes)) => kept.ordered.extend(boxes),
            Ok(ProgressRecord::Unreachable(life, time)) => kept.unreachable.push((life, time)),
            Ok(ProgressRecord::Dropped) => {}
            Err(error) => log::error!("a record of progress cannot be used: {error}"),
        }
    }
    kept
}

/// Takes in the jobs in the order in which they were accepted, then what clients cancelled: a
/// cancel can only be taken in once its job is known. A job that several nodes were sent may lie in
/// several partitions; the first one accepted counts.
fn apply_jobs(cell: &mut Cell, partitions: &[Newest], mut progress: HashMap<JobId, Progress>) {
    let mut cancelled = Vec::new();
    let mut accepted = Vec::new();
    for (partition, newest) in (0..).zip(partitions) {
        for record in &newest.records {
            match JobRecord::decode(record) {
                Ok(JobRecord::Accepted(id, job)) => accepted.push((id, job, partition)),
                Ok(JobRecord::Cancel(id, caller)) => cancelled.push((id, caller)),
                Ok(JobRecord::Dropped) => {}
                Err(error) => log::error!("the record of a job cannot be used: {error}"),
            }
        }
    }
    accepted.sort_by_key(|(_, job, _)| job.at);
    for (id, job, partition) in accepted {
        let progress = progress.remove(&id).unwrap_or_default();
        let owner = job.account.clone();
        cell.admit(id, *job, Some(&progress));
        cell.record_kept(JobKey { id, account: owner }, partition);
    }
    for (id, caller) in cancelled {
        cell.cancel_for(id, &caller);
    }
}

/// Reads which workers are listed; one that is not listed may still run what it was told.
pub(super) async fn load_workers(
    scheduler: &Arc<Scheduler>,
    excused_until: Option<Instant>,
) -> Result<Offset, CallError> {
    let newest = scheduler.node.read_newest(WORKER_TOPIC, LOAD_TIMEOUT).await?;
    let mut listed = HashSet::new();
    for record in &newest.records {
        apply_worker_entry(scheduler, record, excused_until);
        listed.insert(record.key.clone());
    }
    let mut cell = scheduler.cell();
    let gone = cell.workers.keys().map(|life| &life.id).filter(|id| !listed.contains(*id));
    let gone: HashSet<WorkerId> = gone.cloned().collect();
    for id in gone {
        cell.mark_unlisted(&id, excused_until);
    }
    Ok(newest.end)
}

/// Takes in a worker's entry; returns whether its life is new.
pub(super) fn apply_worker_entry(
    scheduler: &Arc<Scheduler>,
    record: &Record,
    excused_until: Option<Instant>,
) -> bool {
    let Some(value) = &record.value else {
        scheduler.cell().mark_unlisted(&record.key, excused_until);
        return false;
    };
    let entry = match worker::Entry::decode(value) {
        Ok(entry) => entry,
        Err(error) => {
            scheduler.node.counters.count(&format!("batch.worker.entry.{}", error.name()));
            if scheduler.cell().record_unusable(&record.key, error.name()) {
                log::warn!(worker = record.key.as_str(); "an entry names no worker to use: {error}");
            }
            return false;
        }
    };
    let life = Incarnation::new(record.key.clone(), entry.birth_ms);
    let peer = Peer { incarnation: life, addr: entry.address };
    let mut cell = scheduler.cell();
    let was_draining =
        cell.workers.get(&peer.incarnation).is_some_and(|worker| worker.entry.draining);
    if entry.draining && !was_draining {
        log::info!(
            worker:% = peer.incarnation,
            leaves_in_ms = entry.leaves_in_ms.unwrap_or(0);
            "worker drains"
        );
    }
    cell.discover(peer, entry, clock::now())
}
