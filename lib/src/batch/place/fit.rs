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

/// What holds a task whose account has as much running as it may.
const AT_QUOTA: &str = "its account is at its bound";

/// What is asked of a worker.
pub(super) struct Request<'a> {
    task: TaskName,
    service: &'a str,
    step: &'a Step,
    pub(super) need: Resources,
    class: Class,
    /// Workers on which the task has failed.
    avoid: &'a [Incarnation],
    /// Whether it may have brought down a worker.
    suspicion: Suspicion,
    /// A box that is being emptied would do.
    ignores_cordon: bool,
}

impl<'a> Request<'a> {
    /// What a task of a step asks.
    pub(super) fn new(
        task: TaskName,
        service: &'a str,
        step: &'a Step,
        avoid: &'a [Incarnation],
    ) -> Request<'a> {
        let (need, kind) = (Entry::resources_of(step), Entry::class_of(step));
        Request {
            task,
            service,
            step,
            need,
            class: kind,
            avoid,
            suspicion: Suspicion::None,
            ignores_cordon: false,
        }
    }

    /// The same for a task that may have brought down a worker.
    pub(super) fn with_suspicion(self, suspicion: Suspicion) -> Request<'a> {
        Request { suspicion, ..self }
    }
}

/// Why a worker may not run a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// It belongs to another service.
    #[error("another service")]
    Service,
    /// It is given nothing new.
    #[error("{0}")]
    Unschedulable(Unschedulable),
    /// It lacks the label that the step requires.
    #[error("label missing")]
    Label,
    /// As many tasks of the step as allowed may run there.
    #[error("spread of the step")]
    Spread,
    /// A worker crashed as the task began, and tasks of other jobs have just begun there.
    #[error("a suspect begins by itself")]
    NotIsolated,
    /// There is not enough room.
    #[error("no room: {0}")]
    Resources(Shortage),
}

/// Why a worker may not run the task now; `None` if it may.
pub(super) fn unfit_reason(worker: &Worker, ask: &Request<'_>, now: Instant) -> Option<Unfit> {
    let step = ask.step;
    if worker.entry.service != ask.service {
        return Some(Unfit::Service);
    }
    let is_own_quarantine = |closed: &Unschedulable| {
        *closed == Unschedulable::Quarantined
            && worker.quarantine.is_some_and(|(job, _)| job == ask.task.job)
    };
    let is_ignored = |closed: &Unschedulable| {
        is_own_quarantine(closed) || *closed == Unschedulable::Cordoned && ask.ignores_cordon
    };
    if let Some(closed) = worker.unschedulable(now).filter(|closed| !is_ignored(closed)) {
        return Some(Unfit::Unschedulable(closed));
    }
    if ask.suspicion == Suspicion::Isolate
        && quarantine::has_recent_start(worker, ask.task.job, now)
    {
        return Some(Unfit::NotIsolated);
    }
    if step.requires.as_ref().is_some_and(|label| !worker.entry.labels.contains(label)) {
        return Some(Unfit::Label);
    }
    let crowded = step.max_per_worker > 0 && worker.count_of_step(ask.task) >= step.max_per_worker;
    if crowded || worker.allocations.contains_key(&ask.task) {
        return Some(Unfit::Spread);
    }
    worker.shortage(ask.need).map(Unfit::Resources)
}

/// Why a worker may not run a task of a known job now; `None` if it may.
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

/// Whether a worker may run a task of a known job now, with the permission that its queue needs.
pub fn accepts(cell: &Cell, worker: &Worker, task: TaskName, now: Instant) -> bool {
    task_unfit_reason(cell, worker, task, now).is_none() && cell.is_permitted(task, worker, now)
}

/// Whether a worker would take a task of a known job if its box were not being emptied.
pub fn accepts_if_uncordoned(cell: &Cell, worker: &Worker, task: TaskName, now: Instant) -> bool {
    let Some(entry) = cell.jobs.get(&task.job) else { return false };
    let Some(step) = entry.step(task.step) else { return false };
    let ask = Request::new(task, &entry.accepted.service, step, &[]);
    let ask = Request { ignores_cordon: true, ..ask };
    unfit_reason(worker, &ask, now).is_none() && cell.is_permitted(task, worker, now)
}

/// What keeps a task from how many workers of its service.
pub fn count_unfit_workers(cell: &Cell, task: TaskName, now: Instant) -> BTreeMap<String, usize> {
    let mut held_by: BTreeMap<String, usize> = BTreeMap::new();
    let Some(entry) = cell.jobs.get(&task.job) else { return held_by };
    if entry.step(task.step).is_some_and(|step| cell.is_at_quota(entry, step)) {
        let workers = cell.workers.of_service(&entry.accepted.service).count();
        held_by.insert(AT_QUOTA.to_owned(), workers);
        return held_by;
    }
    for worker in cell.workers.of_service(&entry.accepted.service) {
        let why = task_unfit_reason(cell, worker, task, now);
        let why = why.map_or("nothing".to_owned(), |why| why.to_string());
        *held_by.entry(why).or_default() += 1;
    }
    held_by
}

/// Whether a worker may run the task now.
pub(super) fn is_fit(worker: &Worker, ask: &Request<'_>, now: Instant) -> bool {
    unfit_reason(worker, ask, now).is_none()
}

/// Whether no worker with as much processor left or more, and no nearer to the data, can cost less.
pub(super) fn is_ideal(worker: &Worker, ask: &Request<'_>) -> bool {
    let avoided = ask.avoid.contains(&worker.peer.incarnation);
    let is_free = ask.suspicion == Suspicion::None;
    is_free && ask.class == Class::Batch && !avoided && worker.failures == 0
}

/// Order of preference among workers that may run the task; the least comes first.
pub(super) fn cost(worker: &Worker, ask: &Request<'_>) -> (bool, usize, bool, u32, u32, u32) {
    // What runs beside a suspect may be lost.
    let at_stake = match ask.suspicion {
        Suspicion::None => 0,
        _ => quarantine::count_other_runs(worker, ask.task.job),
    };
    let avoided = ask.avoid.contains(&worker.peer.incarnation);
    let far = match &ask.step.data_rack {
        Some(rack) => !worker.entry.labels.contains(rack),
        None => false,
    };
    let crowd = match ask.class {
        // Users should not share a worker with what takes leftovers.
        Class::Service(_) => {
            worker.allocations.values().filter(|slot| slot.class == Class::BestEffort).count()
        }
        Class::BestEffort => worker
            .allocations
            .values()
            .filter(|slot| matches!(slot.class, Class::Service(_) | Class::BestEffort))
            .count(),
        _ => 0,
    };
    // Tasks that last stand together, so that other machines are free to be moved.
    let lasting = match ask.class {
        Class::Batch => 0,
        _ => worker.long_running.tasks,
    };
    // The fullest worker that has room comes first, so that others become empty and can be moved or
    // switched off.
    (avoided, at_stake, far, crowd as u32 + worker.failures, u32::MAX - lasting, worker.free.cpu)
}
