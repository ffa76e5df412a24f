//! Whether a worker may run a task, and how well it suits.

use std::collections::BTreeMap;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Resources;
use thiserror::Error;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::place::quarantine;
use crate::batch::place::quarantine::Suspicion;
use crate::batch::worker::Class;
use crate::batch::worker::Shortage;
use crate::batch::worker::Unschedulable;
use crate::batch::worker::Worker;

/// Why a task waits whose account has reached its quota.
const AT_QUOTA: &str = "its account is at its bound";

/// What a task requests of a worker.
pub(super) struct Request<'a> {
    task: TaskName,
    service: &'a str,
    step: &'a Step,
    pub(super) need: Resources,
    class: Class,
    /// Workers on which the task has failed; they are chosen last.
    avoid: &'a [Incarnation],
    /// Whether the task may have crashed a worker.
    suspicion: Suspicion,
    /// Whether a cordoned worker is acceptable.
    ignores_cordon: bool,
}

impl<'a> Request<'a> {
    /// The request of a task of a step, without suspicion.
    pub(super) fn new(
        task: TaskName,
        service: &'a str,
        step: &'a Step,
        avoid: &'a [Incarnation],
    ) -> Request<'a> {
        let (need, class) = (Entry::resources_of(step), Entry::class_of(step));
        Request {
            task,
            service,
            step,
            need,
            class,
            avoid,
            suspicion: Suspicion::None,
            ignores_cordon: false,
        }
    }

    /// The same request for a task suspected of crashing a worker.
    pub(super) fn with_suspicion(self, suspicion: Suspicion) -> Request<'a> {
        Request { suspicion, ..self }
    }
}

/// Why a worker is unfit for a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// The worker belongs to another service.
    #[error("another service")]
    Service,
    /// The worker takes no new tasks.
    #[error("{0}")]
    Unschedulable(Unschedulable),
    /// The worker does not have the label that the step requires.
    #[error("label missing")]
    Label,
    /// The worker already has this task, or as many tasks of the step as allowed.
    #[error("spread of the step")]
    Spread,
    /// The task is suspected of crashing a worker, and tasks of other jobs have recently started on
    /// this one.
    #[error("a suspect begins by itself")]
    NotIsolated,
    /// The worker's free resources are too small.
    #[error("no room: {0}")]
    Resources(Shortage),
}

/// Why a worker is unfit for a request now; `None` if it fits.
pub(super) fn unfit_reason(worker: &Worker, request: &Request<'_>, now: Instant) -> Option<Unfit> {
    let step = request.step;
    if worker.entry.service != request.service {
        return Some(Unfit::Service);
    }
    let is_own_quarantine = |reason: &Unschedulable| {
        *reason == Unschedulable::Quarantined
            && worker.quarantine.is_some_and(|(job, _)| job == request.task.job)
    };
    let is_ignored = |reason: &Unschedulable| {
        is_own_quarantine(reason) || *reason == Unschedulable::Cordoned && request.ignores_cordon
    };
    if let Some(reason) = worker.unschedulable(now).filter(|reason| !is_ignored(reason)) {
        return Some(Unfit::Unschedulable(reason));
    }
    if request.suspicion == Suspicion::Isolate
        && quarantine::has_recent_start(worker, request.task.job, now)
    {
        return Some(Unfit::NotIsolated);
    }
    if step.requires.as_ref().is_some_and(|label| !worker.entry.labels.contains(label)) {
        return Some(Unfit::Label);
    }
    let is_at_spread_limit =
        step.max_per_worker > 0 && worker.count_of_step(request.task) >= step.max_per_worker;
    if is_at_spread_limit || worker.allocations.contains_key(&request.task) {
        return Some(Unfit::Spread);
    }
    worker.shortage(request.need).map(Unfit::Resources)
}

/// Why a worker is unfit for a task now; `None` if it fits or the job is unknown.
pub fn task_unfit_reason(
    cell: &Cell,
    worker: &Worker,
    task: TaskName,
    now: Instant,
) -> Option<Unfit> {
    let entry = cell.jobs.get(&task.job)?;
    let step = entry.step(task.step)?;
    unfit_reason(worker, &Request::new(task, &entry.accepted.service, step, &[]), now)
}

/// Whether a worker may run a task now, including the permission of the advice service if its queue
/// needs that.
pub fn accepts(cell: &Cell, worker: &Worker, task: TaskName, now: Instant) -> bool {
    task_unfit_reason(cell, worker, task, now).is_none() && cell.is_permitted(task, worker, now)
}

/// Whether a worker would accept a task if it were not cordoned; `false` if the job is unknown.
pub fn accepts_if_uncordoned(cell: &Cell, worker: &Worker, task: TaskName, now: Instant) -> bool {
    let Some(entry) = cell.jobs.get(&task.job) else { return false };
    let Some(step) = entry.step(task.step) else { return false };
    let request = Request::new(task, &entry.accepted.service, step, &[]);
    let request = Request { ignores_cordon: true, ..request };
    unfit_reason(worker, &request, now).is_none() && cell.is_permitted(task, worker, now)
}

/// Counts the workers of the task's service by the reason why they are unfit for it; "nothing"
/// counts those that fit. If the account is at its quota, all workers count for that reason. Empty
/// if the job is unknown.
pub fn count_unfit_workers(cell: &Cell, task: TaskName, now: Instant) -> BTreeMap<String, usize> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let Some(entry) = cell.jobs.get(&task.job) else { return counts };
    if entry.step(task.step).is_some_and(|step| cell.is_at_quota(entry, step)) {
        let workers = cell.workers.of_service(&entry.accepted.service).count();
        counts.insert(AT_QUOTA.to_owned(), workers);
        return counts;
    }
    for worker in cell.workers.of_service(&entry.accepted.service) {
        let reason = task_unfit_reason(cell, worker, task, now);
        let reason = reason.map_or("nothing".to_owned(), |reason| reason.to_string());
        *counts.entry(reason).or_default() += 1;
    }
    counts
}

/// Whether a worker fits a request now.
pub(super) fn is_fit(worker: &Worker, request: &Request<'_>, now: Instant) -> bool {
    unfit_reason(worker, request, now).is_none()
}

/// Whether no worker with as much free CPU or more, and no closer to the data, can have a lower
/// cost.
pub(super) fn is_ideal(worker: &Worker, request: &Request<'_>) -> bool {
    let is_avoided = request.avoid.contains(&worker.peer.incarnation);
    let is_unsuspected = request.suspicion == Suspicion::None;
    is_unsuspected && request.class == Class::Batch && !is_avoided && worker.failures == 0
}

/// Sort key of workers that may run the task; the lowest is the best.
pub(super) fn cost(worker: &Worker, request: &Request<'_>) -> (bool, usize, bool, u32, u32, u32) {
    // Runs beside a suspect are lost if it crashes the worker again.
    let other_runs = match request.suspicion {
        Suspicion::None => 0,
        _ => quarantine::count_other_runs(worker, request.task.job),
    };
    let is_avoided = request.avoid.contains(&worker.peer.incarnation);
    let is_off_rack = match &request.step.data_rack {
        Some(rack) => !worker.entry.labels.contains(rack),
        None => false,
    };
    let conflicting_runs = match request.class {
        // User-facing services should not share a worker with best-effort tasks.
        Class::Service(_) => worker
            .allocations
            .values()
            .filter(|allocation| allocation.class == Class::BestEffort)
            .count(),
        Class::BestEffort => worker
            .allocations
            .values()
            .filter(|allocation| matches!(allocation.class, Class::Service(_) | Class::BestEffort))
            .count(),
        _ => 0,
    };
    // Long-running tasks are packed onto few workers, so that other boxes can be moved.
    let long_running = match request.class {
        Class::Batch => 0,
        _ => worker.long_running.tasks,
    };
    // The fullest worker that fits comes first, so that others become empty and can be moved or
    // switched off.
    (
        is_avoided,
        other_runs,
        is_off_rack,
        conflicting_runs as u32 + worker.failures,
        u32::MAX - long_running,
        worker.free.cpu,
    )
}
