//! Reads the store when a scheduler starts.

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
use spokelift_platform::store::LatestRecords;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use spokelift_platform::worker;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::WorkerId;

use crate::batch::cell::Cell;
use crate::batch::operator;
use crate::batch::record;
use crate::batch::record::Crashes;
use crate::batch::record::JobKey;
use crate::batch::record::JobRecord;
use crate::batch::record::Progress;
use crate::batch::record::ProgressRecord;
use crate::batch::run_time::RunTimes;
use crate::batch::scheduler::LOAD_TIMEOUT;
use crate::batch::scheduler::PRODUCER_NAME;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Fences earlier schedulers off the progress topic, then reads it and the jobs; returns the end offset of each job
/// partition.
pub(super) async fn load(scheduler: &Arc<Scheduler>) -> Result<Vec<Offset>, CallError> {
    let node = &scheduler.node;
    let producer = Producer { name: PRODUCER_NAME.to_owned(), epoch: scheduler.token, sequence: 0 };
    node.append(record::PROGRESS_TOPIC, &[], &Guard::Producer(producer), LOAD_TIMEOUT).await?;
    let newest = node.read_newest(record::PROGRESS_TOPIC, LOAD_TIMEOUT).await?;
    let partitions = 0..record::job_partitions(node.settings.store_partitions);
    let reads =
        partitions.map(|number| node.read_newest(record::job_partition(number), LOAD_TIMEOUT));
    let jobs = try_join_all(reads).await?;
    // An evacuation that this node has not read yet must hold before the first placement.
    operator::read_all(node, LOAD_TIMEOUT).await?;
    let mut cell = scheduler.cell();
    cell.set_evacuated_halls(node.evacuated_halls());
    let loaded = apply_progress(&mut cell, &newest.records);
    scheduler.order_window.set_inherited(loaded.ordered);
    cell.restore_unreachable(loaded.unreachable);
    apply_jobs(&mut cell, &jobs, loaded.progress);
    cell.restore_crashes(&loaded.crashes);
    Ok(jobs.iter().map(|newest| newest.end).collect())
}

/// The part of the progress topic that is applied after all of it is read.
#[derive(Default)]
struct LoadedProgress {
    /// Progress of jobs.
    progress: HashMap<JobId, Progress>,
    /// Crashes of workers, by the jobs that ran there.
    crashes: HashMap<JobId, Crashes>,
    /// Boxes that the previous scheduler may have ordered last.
    ordered: HashSet<MachineId>,
    /// How long workers have been unreachable for earlier schedulers.
    unreachable: Vec<(Incarnation, Duration)>,
}

/// Applies the records of the progress topic; returns what is to be applied after them.
fn apply_progress(cell: &mut Cell, records: &[Record]) -> LoadedProgress {
    let mut loaded = LoadedProgress::default();
    for record in records {
        match ProgressRecord::decode(record) {
            Ok(ProgressRecord::Progress(id, progress)) => {
                loaded.progress.insert(id, progress);
            }
            Ok(ProgressRecord::Crashes(id, crashes)) => {
                loaded.crashes.insert(id, crashes);
            }
            Ok(ProgressRecord::Worker(id, worker)) => cell.restore_worker(id, worker, clock::now()),
            Ok(ProgressRecord::Wave(number, machines)) => {
                cell.maintenance_started.insert(number, machines.into_iter().collect());
            }
            Ok(ProgressRecord::WaveSeen(number, at)) => {
                cell.waves_first_seen.insert(number, at);
            }
            Ok(ProgressRecord::Ended(id)) => cell.restore_ended(id, clock::now()),
            Ok(ProgressRecord::Ordered(boxes)) => loaded.ordered.extend(boxes),
            Ok(ProgressRecord::Unreachable(incarnation, time)) => {
                loaded.unreachable.push((incarnation, time))
            }
            Ok(ProgressRecord::RunTimes(stored)) => cell.run_times = RunTimes::restore(&stored),
            Ok(ProgressRecord::Dropped) => {}
            Err(error) => log::error!("invalid progress record: {error}"),
        }
    }
    loaded
}

/// Admits the jobs in the order in which they were accepted, then applies the cancels of clients. A job that was sent
/// to several nodes may be in several partitions; the one accepted first counts.
fn apply_jobs(
    cell: &mut Cell,
    partitions: &[LatestRecords],
    mut progress: HashMap<JobId, Progress>,
) {
    let mut cancelled = Vec::new();
    let mut accepted = Vec::new();
    for (partition, newest) in (0..).zip(partitions) {
        for record in &newest.records {
            match JobRecord::decode(record) {
                Ok(JobRecord::Accepted(id, job)) => accepted.push((id, job, partition)),
                Ok(JobRecord::Cancel(id, caller)) => cancelled.push((id, caller)),
                Ok(JobRecord::Dropped) => {}
                Err(error) => log::error!("invalid job record: {error}"),
            }
        }
    }
    accepted.sort_by_key(|(_, job, _)| job.at);
    for (id, job, partition) in accepted {
        let progress = progress.remove(&id).unwrap_or_default();
        let owner = job.account.clone();
        cell.admit(id, *job, Some(&progress));
        cell.record_stored_in(JobKey { id, account: owner }, partition);
    }
    for (id, caller) in cancelled {
        cell.cancel_for(id, &caller);
    }
}

/// Reads the worker topic. A known worker that is not listed there is marked so; it may still run its tasks.
pub(super) async fn load_workers(
    scheduler: &Arc<Scheduler>,
    unlisted_grace_until: Option<Instant>,
) -> Result<Offset, CallError> {
    let newest = scheduler.node.read_newest(WORKER_TOPIC, LOAD_TIMEOUT).await?;
    let mut listed = HashSet::new();
    for record in &newest.records {
        apply_worker_entry(scheduler, record, unlisted_grace_until);
        listed.insert(record.key.clone());
    }
    let mut cell = scheduler.cell();
    let unlisted =
        cell.workers.keys().map(|incarnation| &incarnation.id).filter(|id| !listed.contains(*id));
    let unlisted: HashSet<WorkerId> = unlisted.cloned().collect();
    for id in unlisted {
        cell.mark_unlisted(&id, unlisted_grace_until);
    }
    Ok(newest.end)
}

/// Applies the entry of a worker; returns whether its incarnation is new.
pub(super) fn apply_worker_entry(
    scheduler: &Arc<Scheduler>,
    record: &Record,
    unlisted_grace_until: Option<Instant>,
) -> bool {
    let Some(value) = &record.value else {
        scheduler.cell().mark_unlisted(&record.key, unlisted_grace_until);
        return false;
    };
    let entry = match worker::Entry::decode(value) {
        Ok(entry) => entry,
        Err(error) => {
            scheduler.node.counters.count(&format!("batch.worker.entry.{}", error.reason()));
            if scheduler.cell().record_invalid_entry(&record.key, error.reason()) {
                log::warn!(worker = record.key.as_str(); "invalid worker entry: {error}");
            }
            return false;
        }
    };
    let incarnation = Incarnation::new(record.key.clone(), entry.birth_ms);
    let peer = Peer { incarnation, addr: entry.address };
    let mut cell = scheduler.cell();
    let was_draining =
        cell.workers.get(&peer.incarnation).is_some_and(|worker| worker.entry.draining);
    if entry.draining && !was_draining {
        log::info!(
            worker:% = peer.incarnation,
            leaves_in_ms = entry.leaves_in_ms.unwrap_or(0);
            "worker is draining"
        );
    }
    cell.discover(peer, entry, clock::now())
}
