//! Where a task begins that may have brought down a worker: where the least is lost if it does so again, and
//! no other job's task has just begun or is about to, so that a second crash speaks against it alone.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::crash::RECENT_START;
use crate::batch::crash::is_suspect;
use crate::batch::worker::Worker;

/// How long after a suspect was ordered to start no other job's task begins on its worker: longer than
/// [`RECENT_START`] by the time in which a start is answered and a broken connection seen.
const QUARANTINE: Duration = Duration::from_millis(RECENT_START.as_millis() as u64 + 50);
/// How long a suspect waits for a worker on which nothing has just begun. After that it begins where it can:
/// it may be innocent, and tasks run for about a second.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whether a task may have brought down a worker, and what that means for its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Nothing speaks against it.
    None,
    /// It begins where no other job's task has just begun.
    Isolate,
    /// It has waited so long for such a worker that it begins anywhere.
    Overdue,
    /// It begins once the store knows under how many workers it crashed.
    AwaitsStore,
}

impl Cell {
    /// What speaks against a task.
    pub(super) fn suspicion(&self, name: TaskName, now: Instant) -> Suspicion {
        let Some(task) = self.jobs.get(&name.job).and_then(|job| job.find_task(name)) else {
            return Suspicion::None;
        };
        let has_waited = |since: Instant| now.saturating_duration_since(since) >= ISOLATION_TIMEOUT;
        match task {
            task if task.awaits_durable_crashes() => Suspicion::AwaitsStore,
            task if !is_suspect(&task.crashes, self.repeated_crashes) => Suspicion::None,
            task if task.waiting_since.is_some_and(has_waited) => Suspicion::Overdue,
            _ => Suspicion::Isolate,
        }
    }

    /// A suspect task was started on a worker: nothing else begins there for a moment.
    pub(super) fn quarantine_worker(&mut self, job: JobId, life: &Incarnation, now: Instant) {
        if let Some(mut worker) = self.workers.get_mut(life) {
            worker.quarantine = Some((job, now + QUARANTINE));
        }
    }
}

/// Whether a task of another job has just begun on a worker, or may have.
pub(super) fn has_recent_start(worker: &Worker, job: JobId, now: Instant) -> bool {
    let is_young = |since: Instant| now.saturating_duration_since(since) < QUARANTINE;
    let mut others = worker.allocations.iter().filter(|(task, _)| task.job != job);
    others.any(|(_, slot)| !slot.confirmed || is_young(slot.ordered_at))
}

/// Runs of other jobs on a worker.
pub(super) fn count_other_runs(worker: &Worker, job: JobId) -> usize {
    worker.allocations.keys().filter(|task| task.job != job).count()
}
