//! Evacuation of workers that are draining, or whose boxes are to be moved or maintained.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::maintenance::disruption::StepName;
use crate::batch::maintenance::disruption::is_long_running;
use crate::batch::maintenance::disruption::may_disrupt;
use crate::batch::maintenance::disruption::may_disrupt_together;
use crate::batch::maintenance::disruption::step_of;
use crate::batch::maintenance::reservations::Reservations;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long batch tasks on a box may take to end before they are stopped, and how long long-running
/// tasks wait for resources elsewhere before all of them are stopped at once.
pub const EVACUATION_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Cordons a worker and stops the tasks that may be moved off; returns whether nothing is left
/// there.
///
/// Batch tasks may run to their end, unless `hurry`. Of a long-running step, no more tasks are
/// unavailable at once than it allows. A worker that has not answered this scheduler never counts
/// as empty, since its tasks are not known.
pub fn evacuate(cell: &mut Cell, incarnation: &Incarnation, hurry: bool) -> bool {
    let now = clock::now();
    let Some(tasks) = cordon_and_list_runs(cell, incarnation, now) else { return false };
    let settled = cell.is_settled(now);
    for task in live_tasks(tasks.iter().copied()) {
        let stop = match is_long_running(cell, task) {
            true => settled && may_disrupt(cell, task, now),
            false => hurry,
        };
        if stop {
            move_off(cell, incarnation, task, hurry);
        }
    }
    tasks.is_empty()
}

/// Like [`evacuate`], for a worker whose box need not be freed at once: a long-running task is
/// stopped only if resources for it are reserved elsewhere or, with `hurry`, if all on the worker
/// may be unavailable together, so that they return with the box.
pub fn evacuate_gracefully(
    cell: &mut Cell,
    incarnation: &Incarnation,
    hurry: bool,
    reservations: &mut Reservations,
    now: Instant,
) -> bool {
    let Some(tasks) = cordon_and_list_runs(cell, incarnation, now) else { return false };
    let settled = cell.is_settled(now);
    let together = hurry && may_disrupt_together(cell, incarnation, now);
    for task in live_tasks(tasks.iter().copied()) {
        let stop = match is_long_running(cell, task) {
            true => {
                let may_stop = settled && may_disrupt(cell, task, now);
                may_stop && (together || reservations.reserve(cell, task, Some(incarnation), now))
            }
            false => hurry,
        };
        if stop {
            move_off(cell, incarnation, task, hurry);
        }
    }
    tasks.is_empty()
}

/// Whether all long-running tasks could leave a worker: either resources are reserved elsewhere for
/// each of them, or all may be unavailable together. Changes `reservations` only in the first case.
pub fn try_reserve_evacuation(
    cell: &Cell,
    incarnation: &Incarnation,
    reservations: &mut Reservations,
    now: Instant,
) -> bool {
    let Some(worker) = cell.workers.get(incarnation) else { return true };
    let long_running: Vec<TaskName> =
        worker.allocations.keys().copied().filter(|task| is_long_running(cell, *task)).collect();
    let mut trial = reservations.clone();
    if long_running.iter().all(|task| trial.reserve(cell, *task, Some(incarnation), now)) {
        *reservations = trial;
        return true;
    }
    may_disrupt_together(cell, incarnation, now)
}

/// Stops tasks on draining workers where that loses nothing: long-running tasks, and tasks that
/// save checkpoints; both continue elsewhere.
///
/// All of them may be unavailable at once, and then no other task of their step may be. So if the
/// step would exceed its limit with them, pending stops of its tasks on workers that stay are
/// awaited first: these could be carried out after the new ones.
pub fn evacuate_draining(cell: &mut Cell, now: Instant) {
    let draining = cell.workers.values().filter(|worker| worker.is_listed_draining());
    let draining: Vec<(Incarnation, TaskName)> = draining
        .flat_map(|worker| {
            live_tasks(run_phases(worker)).map(|task| (worker.peer.incarnation.clone(), task))
        })
        .filter(|(_, task)| is_movable(cell, *task))
        .collect();
    if draining.is_empty() {
        return;
    }
    let stopping = steps_being_moved(cell);
    for (incarnation, task) in draining {
        if stopping.contains(&step_of(task)) && !may_disrupt(cell, task, now) {
            continue;
        }
        log::info!(
            task = task.to_string().as_str(),
            worker:% = incarnation;
            "moving task off a draining worker"
        );
        cell.stop_for(&incarnation, task, "its worker is draining");
    }
}

/// Whether a task loses nothing by continuing on another worker.
fn is_movable(cell: &Cell, task: TaskName) -> bool {
    let step = cell.jobs.get(&task.job).and_then(|entry| entry.step(task.step));
    step.is_some_and(|step| step.long_running || (step.checkpointing && !step.gang))
}

/// Steps with pending stops on workers that stay and answer.
fn steps_being_moved(cell: &Cell) -> HashSet<StepName> {
    let staying = |worker: &&Worker| !worker.is_listed_draining() && !worker.is_unresponsive();
    let tasks = cell.workers.values().filter(staying).flat_map(run_phases);
    let stopping = tasks.filter(|(_, phase)| matches!(phase, Phase::Stopping(_)));
    stopping.map(|(task, _)| step_of(task)).collect()
}

/// Cordons a worker; returns the runs that may be on it, `None` if they are not known.
fn cordon_and_list_runs(
    cell: &mut Cell,
    incarnation: &Incarnation,
    now: Instant,
) -> Option<Vec<(TaskName, Phase)>> {
    if !cell.workers.contains_key(incarnation) {
        return (!cell.may_unknown_worker_run(&incarnation.id, now)).then(Vec::new);
    }
    let mut worker = cell.workers.get_mut(incarnation)?;
    worker.cordoned = true;
    worker.has_token.then(|| run_phases(&worker).collect())
}

fn run_phases(worker: &Worker) -> impl Iterator<Item = (TaskName, Phase)> {
    worker.allocations.iter().map(|(task, allocation)| (*task, allocation.phase))
}

fn live_tasks(tasks: impl Iterator<Item = (TaskName, Phase)>) -> impl Iterator<Item = TaskName> {
    let live = tasks.filter(|(_, phase)| matches!(phase, Phase::Live(_)));
    live.map(|(task, _)| task)
}

fn move_off(cell: &mut Cell, incarnation: &Incarnation, task: TaskName, hurry: bool) {
    log::info!(
        task = task.to_string().as_str(),
        worker:% = incarnation,
        hurry;
        "moving task off worker"
    );
    cell.stop_for(incarnation, task, "its worker is being emptied");
}
