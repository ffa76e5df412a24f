//! What is moved off a worker whose box is to be ordered away.

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

/// How long tasks on a box may take to end by themselves before they are stopped, and how long tasks that last
/// wait there for a place elsewhere before the box is taken with all of them away at once.
pub const EVACUATION_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Moves what it may off a worker; returns whether nothing is left there.
///
/// Tasks that end by themselves are let end, unless `hurry`. Of a step that lasts, at most as many
/// tasks are away at once as it allows. What runs on a worker that has not answered this scheduler is not
/// known.
pub fn evacuate(cell: &mut Cell, life: &Incarnation, hurry: bool) -> bool {
    let now = clock::now();
    let Some(tasks) = cordon_and_list_runs(cell, life, now) else { return false };
    let settled = cell.is_settled(now);
    for task in live_tasks(tasks.iter().copied()) {
        let stop = match is_long_running(cell, task) {
            true => settled && may_disrupt(cell, task, now),
            false => hurry,
        };
        if stop {
            move_off(cell, life, task, hurry);
        }
    }
    tasks.is_empty()
}

/// The same for a worker whose box need not go now: a task that lasts is moved off only if it has a place elsewhere,
/// or, with `hurry`, if all may be away together, so that they are back once the box is.
pub fn evacuate_gracefully(
    cell: &mut Cell,
    life: &Incarnation,
    hurry: bool,
    places: &mut Reservations,
    now: Instant,
) -> bool {
    let Some(tasks) = cordon_and_list_runs(cell, life, now) else { return false };
    let settled = cell.is_settled(now);
    let together = hurry && may_disrupt_together(cell, life, now);
    for task in live_tasks(tasks.iter().copied()) {
        let stop = match is_long_running(cell, task) {
            true => {
                let may_leave = settled && may_disrupt(cell, task, now);
                may_leave && (together || places.reserve(cell, task, Some(life), now))
            }
            false => hurry,
        };
        if stop {
            move_off(cell, life, task, hurry);
        }
    }
    tasks.is_empty()
}

/// Whether all tasks that last could leave a worker: each has a place elsewhere, or all may be away together. The
/// places are taken if so.
pub fn try_reserve_evacuation(
    cell: &Cell,
    life: &Incarnation,
    places: &mut Reservations,
    now: Instant,
) -> bool {
    let Some(worker) = cell.workers.get(life) else { return true };
    let lasting: Vec<TaskName> =
        worker.allocations.keys().copied().filter(|task| is_long_running(cell, *task)).collect();
    let mut trial = places.clone();
    if lasting.iter().all(|task| trial.reserve(cell, *task, Some(life), now)) {
        *places = trial;
        return true;
    }
    may_disrupt_together(cell, life, now)
}

/// Stops tasks on workers that are about to leave where stopping loses nothing: tasks that last are started elsewhere, and
/// tasks that save their progress go on elsewhere.
///
/// They may all be away at once, which no other task of their step may join. So where the step has too many away
/// with them, stops of it that are under way on workers that stay are awaited: theirs may be carried out after these.
pub fn evacuate_draining(cell: &mut Cell, now: Instant) {
    let leaving = cell.workers.values().filter(|worker| worker.is_listed_draining());
    let leaving: Vec<(Incarnation, TaskName)> = leaving
        .flat_map(|worker| {
            live_tasks(run_phases(worker)).map(|task| (worker.peer.incarnation.clone(), task))
        })
        .filter(|(_, task)| is_movable(cell, *task))
        .collect();
    if leaving.is_empty() {
        return;
    }
    let stopping = steps_being_moved(cell);
    for (life, task) in leaving {
        if stopping.contains(&step_of(task)) && !may_disrupt(cell, task, now) {
            continue;
        }
        log::info!(task = task.to_string().as_str(), worker:% = life; "leaves a draining worker");
        cell.stop_run(&life, task);
    }
}

/// Whether a task goes on elsewhere as well as where it is.
fn is_movable(cell: &Cell, task: TaskName) -> bool {
    let step = cell.jobs.get(&task.job).and_then(|entry| entry.step(task.step));
    step.is_some_and(|step| step.long_running || (step.checkpointing && !step.gang))
}

/// Steps with stops under way on workers that stay and answer.
fn steps_being_moved(cell: &Cell) -> HashSet<StepName> {
    let staying = |worker: &&Worker| !worker.is_listed_draining() && !worker.is_unresponsive();
    let tasks = cell.workers.values().filter(staying).flat_map(run_phases);
    let stopping = tasks.filter(|(_, phase)| matches!(phase, Phase::Stopping(_)));
    stopping.map(|(task, _)| step_of(task)).collect()
}

/// Closes a worker to new tasks; returns what may run there, and none if that is not known.
fn cordon_and_list_runs(
    cell: &mut Cell,
    life: &Incarnation,
    now: Instant,
) -> Option<Vec<(TaskName, Phase)>> {
    if !cell.workers.contains_key(life) {
        return (!cell.may_unknown_worker_run(&life.id, now)).then(Vec::new);
    }
    let mut worker = cell.workers.get_mut(life)?;
    worker.cordoned = true;
    worker.has_token.then(|| run_phases(&worker).collect())
}

fn run_phases(worker: &Worker) -> impl Iterator<Item = (TaskName, Phase)> {
    worker.allocations.iter().map(|(task, slot)| (*task, slot.phase))
}

fn live_tasks(tasks: impl Iterator<Item = (TaskName, Phase)>) -> impl Iterator<Item = TaskName> {
    let live = tasks.filter(|(_, phase)| matches!(phase, Phase::Live(_)));
    live.map(|(task, _)| task)
}

fn move_off(cell: &mut Cell, life: &Incarnation, task: TaskName, hurry: bool) {
    log::info!(task = task.to_string().as_str(), worker:% = life, hurry; "moves off");
    cell.stop_run(life, task);
}
