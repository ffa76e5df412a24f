//! Reservations of resources for long-running tasks, for one round of evacuations.
//!
//! A task is moved off a box only if resources for it are reserved elsewhere. Otherwise it would
//! wait, its step would allow no second task to be unavailable, so that the box never becomes
//! empty, and the resources it left would lie idle. Waiting tasks and tasks that are already being
//! stopped are served first; reserved resources are not free for the next task.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Resources;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::place::fit::accepts;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;
use crate::batch::worker::table::WorkerNumber;

/// Maximum number of waiting steps that get reservations before the tasks that are moved. With so
/// many waiting, nothing is left.
const MAX_WAITING_STEPS: usize = 64;

/// How long a long-running task waits without fitting anywhere before a box is fetched for it,
/// whatever the total of free CPU: a start takes some milliseconds, a preemption about a second.
const UNPLACED_DELAY: Duration = Duration::from_millis(1_000);

/// Resources reserved in one round, and the waiting tasks that fit nowhere.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    reserved: HashMap<WorkerNumber, Resources>,
    /// Steps with a reservation on a worker; only for steps with a spread limit.
    reserved_steps: HashSet<(WorkerNumber, (u64, u32, u16))>,
    /// The first unplaced waiting task of each service.
    unplaced: HashMap<String, TaskName>,
}

impl Reservations {
    /// Reserves resources for the tasks that wait and for those that are already being moved.
    pub fn new(cell: &Cell, now: Instant) -> Reservations {
        let mut reservations = Reservations::default();
        let long_running =
            cell.ready.iter().take_while(|rank| !rank.is_finite).take(MAX_WAITING_STEPS);
        for rank in long_running {
            let Some(entry) = cell.jobs.get(&rank.job) else { continue };
            let run = entry.find_step_run(rank.repetition, rank.step);
            for index in run.into_iter().flat_map(|run| &run.waiting) {
                let task = TaskName {
                    job: rank.job,
                    repetition: rank.repetition,
                    step: rank.step,
                    index: *index,
                };
                if !reservations.reserve(cell, task, None, now) {
                    reservations.unplaced.entry(entry.accepted.service.clone()).or_insert(task);
                    break;
                }
            }
        }
        let stopping = cell.workers.values().filter(|worker| worker.long_running.tasks > 0);
        let stopping = stopping.flat_map(|worker| {
            let allocations = worker
                .allocations
                .iter()
                .filter(|(_, allocation)| is_being_moved(allocation.class, allocation.phase));
            allocations.map(|(task, _)| (*task, &worker.peer.incarnation))
        });
        for (task, worker) in stopping {
            reservations.reserve(cell, task, Some(worker), now);
        }
        reservations
    }

    /// The first waiting task of a service that fits on no worker.
    pub fn first_unplaced(&self, service: &str) -> Option<TaskName> {
        self.unplaced.get(service).copied()
    }

    /// CPU, in thousandths of a core and at least 1, of the first unplaced task of each service, if
    /// it has waited for `UNPLACED_DELAY`.
    pub fn unplaced_cpu(&self, cell: &Cell, now: Instant) -> BTreeMap<String, u64> {
        let unplaced = self.unplaced.iter().filter_map(|(service, task)| {
            let entry = cell.jobs.get(&task.job)?;
            let since = entry.find_task(*task)?.waiting_since?;
            let need = u64::from(entry.step(task.step)?.cpu).max(1);
            let is_long = now.saturating_duration_since(since) >= UNPLACED_DELAY;
            is_long.then(|| (service.clone(), need))
        });
        unplaced.collect()
    }

    /// Reserves resources for a task on a worker other than `not_on`; returns whether there is one.
    pub fn reserve(
        &mut self,
        cell: &Cell,
        task: TaskName,
        not_on: Option<&Incarnation>,
        now: Instant,
    ) -> bool {
        let Some(entry) = cell.jobs.get(&task.job) else { return false };
        let Some(step) = entry.step(task.step) else { return false };
        let need = Entry::resources_of(step);
        let step_name = (task.job, task.repetition, task.step);
        let service = &entry.accepted.service;
        let mut workers = cell.workers.eligible_with(service, need.cpu);
        let found = workers.find(|worker| {
            Some(&worker.peer.incarnation) != not_on
                && !self.reserved_steps.contains(&(worker.number, step_name))
                && self.fits_with_reserved(worker, need)
                && accepts(cell, worker, task, now)
        });
        let Some(worker) = found else { return false };
        let reserved = self.reserved.entry(worker.number).or_default();
        *reserved = saturating_sum(*reserved, need);
        if step.max_per_worker > 0 {
            self.reserved_steps.insert((worker.number, step_name));
        }
        true
    }

    fn fits_with_reserved(&self, worker: &Worker, need: Resources) -> bool {
        let reserved = self.reserved.get(&worker.number).copied().unwrap_or_default();
        worker.fits(saturating_sum(reserved, need))
    }
}

fn is_being_moved(class: Class, phase: Phase) -> bool {
    class != Class::Batch && matches!(phase, Phase::Stopping(_))
}

fn saturating_sum(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu: one.cpu.saturating_add(other.cpu),
        memory_mb: one.memory_mb.saturating_add(other.memory_mb),
        gpu: one.gpu.saturating_add(other.gpu),
    }
}
