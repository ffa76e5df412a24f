//! Disruption budget of long-running steps: whether tasks may be stopped without more tasks of
//! their step being unavailable than allowed.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::worker::POLL_WAIT;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// How long a poll answer proves that tasks run: a live worker answers within this time, also when
/// it holds a poll back until a task ends.
const ANSWER_VALIDITY: Duration = POLL_WAIT.saturating_add(Duration::from_millis(300));

/// A step of a job in one repetition: job, repetition, step.
pub(super) type StepName = (JobId, u32, u16);

/// The step of a task.
pub(super) fn step_of(task: TaskName) -> StepName {
    (task.job, task.repetition, task.step)
}

/// Whether a task runs until its job is cancelled; `false` if the job is unknown.
pub(super) fn is_long_running(cell: &Cell, task: TaskName) -> bool {
    let entry = cell.jobs.get(&task.job);
    entry.and_then(|entry| entry.step(task.step)).is_some_and(|step| step.long_running)
}

/// Whether a task may be stopped now without more tasks of its step being unavailable than allowed.
/// Every other task counts as unavailable unless it is known to run, and also if its worker is
/// listed as draining, since it may end at any moment.
pub(super) fn may_disrupt(cell: &Cell, name: TaskName, now: Instant) -> bool {
    may_disrupt_matching(cell, name, now, |_, task| task.index == name.index)
}

/// Whether all long-running tasks on a worker may be stopped now at once.
pub(super) fn may_disrupt_together(cell: &Cell, incarnation: &Incarnation, now: Instant) -> bool {
    let Some(worker) = cell.workers.get(incarnation) else { return true };
    let mut long_running = worker.allocations.keys().filter(|task| is_long_running(cell, **task));
    long_running.all(|name| {
        may_disrupt_matching(cell, *name, now, |worker, _| worker.peer.incarnation == *incarnation)
    })
}

/// Whether a task may be stopped now together with all tasks of its step for which `is_stopped`
/// holds.
fn may_disrupt_matching(
    cell: &Cell,
    name: TaskName,
    now: Instant,
    is_stopped: impl Fn(&Worker, &TaskName) -> bool,
) -> bool {
    let Some(entry) = cell.jobs.get(&name.job) else { return true };
    let Some(step) = entry.step(name.step) else { return true };
    let Some(allowed) = step.max_unavailable else { return true };
    // The tasks of an unresponsive worker may have ended, even before its current poll times out.
    let is_responsive = |worker: &&Worker| {
        let answered_at = worker.last_poll_answer_at().filter(|_| worker.failed_polls == 0);
        answered_at.is_some_and(|at| now.saturating_duration_since(at) <= ANSWER_VALIDITY)
    };
    let responsive = cell.workers.values().filter(|worker| worker.long_running.tasks > 0);
    let responsive = responsive.filter(|worker| !worker.is_listed_draining()).filter(is_responsive);
    let allocations = responsive
        .flat_map(|worker| worker.allocations.iter().map(move |allocation| (worker, allocation)));
    let unaffected = allocations.filter(|(worker, (task, allocation))| {
        let is_running = matches!(allocation.phase, Phase::Live(_)) && allocation.percent >= 100;
        step_of(**task) == step_of(name) && is_running && !is_stopped(worker, task)
    });
    // The last of the stopped tasks does not count as unavailable when it is stopped.
    let unavailable = step.count.saturating_sub(unaffected.count() as u32).saturating_sub(1);
    unavailable < allowed
}
