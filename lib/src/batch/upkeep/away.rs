//! Whether a task that lasts may be ended now, so that no more of its step are away than allowed.

use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::worker::Phase;

/// Whether a task runs until its job is cancelled.
pub(super) fn is_lasting(cell: &Cell, task: TaskName) -> bool {
    let entry = cell.jobs.get(&task.job);
    entry.and_then(|entry| entry.step(task.step)).is_some_and(|step| step.long_running)
}

/// Whether a task may be ended now: with it, no more tasks of its step are away than allowed.
/// Every other task counts as away that is not known to be at work.
pub(super) fn may_leave(cell: &Cell, name: TaskName) -> bool {
    let Some(entry) = cell.jobs.get(&name.job) else { return true };
    let Some(step) = entry.step(name.step) else { return true };
    let Some(allowed) = step.may_miss else { return true };
    let other = |task: &TaskName| {
        let same = (task.job, task.time, task.step) == (name.job, name.time, name.step);
        same && task.index != name.index
    };
    // What a silent worker runs may be gone by now.
    let answering = cell.workers.values().filter(|worker| worker.misses == 0);
    let answering = answering.filter(|worker| worker.lasting.tasks > 0);
    let working = answering.flat_map(|worker| worker.slots.iter()).filter(|(task, slot)| {
        other(task) && matches!(slot.phase, Phase::Live(_)) && slot.percent >= 100
    });
    let others = step.count.saturating_sub(1);
    let away = others.saturating_sub(working.count() as u32);
    away < allowed
}
