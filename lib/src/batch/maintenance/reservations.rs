//! Where tasks that last could go, for one round of emptying boxes.
//!
//! A task is moved off a box only where it has somewhere to go: otherwise it waits, its step may miss no second one,
//! so that the box never becomes empty, and its room lies idle. What waits already, and what is being stopped, comes
//! first; a place that one task will take is no place for the next.

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

/// Most steps that wait and are given places ahead of what is moved off. With so many waiting, nothing is left.
const MAX_WAITING_STEPS: usize = 64;

/// How long a task that lasts waits for a place before a box is fetched for it, whatever the sums say: a start takes
/// some milliseconds, room that is made for it about a second.
const UNPLACED_DELAY: Duration = Duration::from_millis(1_000);

/// Room that is free and not yet meant for another task.
#[derive(Clone, Debug, Default)]
pub struct Reservations {
    reserved: HashMap<WorkerNumber, Resources>,
    /// Steps of which a task is meant to go to a worker, which counts where a step must be spread.
    reserved_steps: HashSet<(WorkerNumber, (u64, u32, u16))>,
    /// Waiting tasks without a place, the first of each service.
    unplaced: HashMap<String, TaskName>,
}

impl Reservations {
    /// What is free beside what waits or is being moved off already.
    pub fn new(cell: &Cell, now: Instant) -> Reservations {
        let mut places = Reservations::default();
        let lasting = cell.ready.iter().take_while(|rank| !rank.is_finite).take(MAX_WAITING_STEPS);
        for rank in lasting {
            let Some(entry) = cell.jobs.get(&rank.job) else { continue };
            let run = entry.find_step_run(rank.repetition, rank.step);
            for index in run.into_iter().flat_map(|run| &run.waiting) {
                let task = TaskName {
                    job: rank.job,
                    repetition: rank.repetition,
                    step: rank.step,
                    index: *index,
                };
                if !places.reserve(cell, task, None, now) {
                    places.unplaced.entry(entry.accepted.service.clone()).or_insert(task);
                    break;
                }
            }
        }
        let stopping = cell.workers.values().filter(|worker| worker.long_running.tasks > 0);
        let stopping = stopping.flat_map(|worker| {
            let slots = worker
                .allocations
                .iter()
                .filter(|(_, slot)| is_being_moved(slot.class, slot.phase));
            slots.map(|(task, _)| (*task, &worker.peer.incarnation))
        });
        for (task, worker) in stopping {
            places.reserve(cell, task, Some(worker), now);
        }
        places
    }

    /// The first task of a service that waits and has no place.
    pub fn first_unplaced(&self, service: &str) -> Option<TaskName> {
        self.unplaced.get(service).copied()
    }

    /// What the first task of each service that has waited for long and has no place takes of a core, in thousandths.
    pub fn unplaced_cpu(&self, cell: &Cell, now: Instant) -> BTreeMap<String, u64> {
        let homeless = self.unplaced.iter().filter_map(|(service, task)| {
            let entry = cell.jobs.get(&task.job)?;
            let since = entry.find_task(*task)?.waiting_since?;
            let need = u64::from(entry.step(task.step)?.cpu).max(1);
            let is_long = now.saturating_duration_since(since) >= UNPLACED_DELAY;
            is_long.then(|| (service.clone(), need))
        });
        homeless.collect()
    }

    /// Takes a place for a task, not on this worker; `false` if there is none.
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
        let step_of = (task.job, task.repetition, task.step);
        let service = &entry.accepted.service;
        let mut workers = cell.workers.eligible_with(service, need.cpu);
        let found = workers.find(|worker| {
            Some(&worker.peer.incarnation) != not_on
                && !self.reserved_steps.contains(&(worker.number, step_of))
                && self.fits_with_reserved(worker, need)
                && accepts(cell, worker, task, now)
        });
        let Some(worker) = found else { return false };
        let claimed = self.reserved.entry(worker.number).or_default();
        *claimed = saturating_sum(*claimed, need);
        if step.max_per_worker > 0 {
            self.reserved_steps.insert((worker.number, step_of));
        }
        true
    }

    fn fits_with_reserved(&self, worker: &Worker, need: Resources) -> bool {
        let claimed = self.reserved.get(&worker.number).copied().unwrap_or_default();
        worker.fits(saturating_sum(claimed, need))
    }
}

fn is_being_moved(kind: Class, phase: Phase) -> bool {
    kind != Class::Batch && matches!(phase, Phase::Stopping(_))
}

fn saturating_sum(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu: one.cpu.saturating_add(other.cpu),
        memory_mb: one.memory_mb.saturating_add(other.memory_mb),
        gpu: one.gpu.saturating_add(other.gpu),
    }
}
