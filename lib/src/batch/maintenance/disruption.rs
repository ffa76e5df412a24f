//! Whether tasks that last may be ended now, so that no more of its step are away than allowed.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::worker::POLL_WAIT;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// For how long an answer shows that tasks are at work: a worker that answers does so by then, also one that holds a look
/// back until something ends.
const ANSWER_VALIDITY: Duration = POLL_WAIT.saturating_add(Duration::from_millis(300));

/// A step of a job, in one repetition.
pub(super) type StepName = (JobId, u32, u16);

/// The step of a task.
pub(super) fn step_of(task: TaskName) -> StepName {
    (task.job, task.repetition, task.step)
}

/// Whether a task runs until its job is cancelled.
pub(super) fn is_long_running(cell: &Cell, task: TaskName) -> bool {
    let entry = cell.jobs.get(&task.job);
    entry.and_then(|entry| entry.step(task.step)).is_some_and(|step| step.long_running)
}

/// Whether a task may be ended now: with it, no more tasks of its step are away than allowed.
/// Every other task counts as away that is not known to be at work, and that is on a worker that has said that it leaves: it will
/// be away at any moment.
pub(super) fn may_disrupt(cell: &Cell, name: TaskName, now: Instant) -> bool {
    may_disrupt_matching(cell, name, now, |_, task| task.index == name.index)
}

/// Whether all tasks on a worker that last may be ended now, at once.
pub(super) fn may_disrupt_together(cell: &Cell, life: &Incarnation, now: Instant) -> bool {
    let Some(worker) = cell.workers.get(life) else { return true };
    let mut lasting = worker.allocations.keys().filter(|task| is_long_running(cell, **task));
    lasting.all(|name| may_disrupt_matching(cell, *name, now, |on, _| on.peer.incarnation == *life))
}

/// Whether a task may be ended now, and with it all of its step that `leave`.
fn may_disrupt_matching(
    cell: &Cell,
    name: TaskName,
    now: Instant,
    leave: impl Fn(&Worker, &TaskName) -> bool,
) -> bool {
    let Some(entry) = cell.jobs.get(&name.job) else { return true };
    let Some(step) = entry.step(name.step) else { return true };
    let Some(allowed) = step.max_unavailable else { return true };
    // What a silent worker runs may be gone by now, also where the look at it has not been given up yet.
    let is_heard = |worker: &&Worker| {
        let answered_at = worker.last_poll_answer_at().filter(|_| worker.failed_polls == 0);
        answered_at.is_some_and(|at| now.saturating_duration_since(at) <= ANSWER_VALIDITY)
    };
    let answering = cell.workers.values().filter(|worker| worker.long_running.tasks > 0);
    let answering = answering.filter(|worker| !worker.is_listed_draining()).filter(is_heard);
    let slots =
        answering.flat_map(|worker| worker.allocations.iter().map(move |slot| (worker, slot)));
    let staying = slots.filter(|(worker, (task, slot))| {
        let at_work = matches!(slot.phase, Phase::Live(_)) && slot.percent >= 100;
        step_of(**task) == step_of(name) && at_work && !leave(worker, task)
    });
    // The last of those that leave is itself not away as it is ended.
    let away = step.count.saturating_sub(staying.count() as u32).saturating_sub(1);
    away < allowed
}
