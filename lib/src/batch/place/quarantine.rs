//! Placement of suspects: tasks that may have crashed a worker. A suspect starts where a further
//! crash loses the least, and where no task of another job has recently started or is about to, so
//! that a second crash is evidence against it alone.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::crash::RECENT_START;
use crate::batch::crash::is_suspect;
use crate::batch::worker::Worker;

/// How long after the start order of a suspect no task of another job starts on its worker: longer
/// than [`RECENT_START`] by the time in which a start is answered and a broken connection is
/// noticed.
const QUARANTINE: Duration = Duration::from_millis(RECENT_START.as_millis() as u64 + 50);
/// How long a suspect waits for a worker without recent starts. After that it starts on any worker:
/// it may be innocent, and tasks run for about a second.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Whether a task is suspected of crashing a worker, and what that means for its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// It is no suspect.
    None,
    /// It starts only where no task of another job has recently started.
    Isolate,
    /// It has waited too long for an isolated worker and may start on any.
    Overdue,
    /// It must not start before the store has recorded its crashes.
    AwaitsStore,
}

impl Cell {
    /// The suspicion against a task; [`Suspicion::None`] if it is unknown.
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

    /// Quarantines the worker of a suspect that was just started: for [`QUARANTINE`] nothing of
    /// another job starts there.
    pub(super) fn quarantine_worker(
        &mut self,
        job: JobId,
        incarnation: &Incarnation,
        now: Instant,
    ) {
        if let Some(mut worker) = self.workers.get_mut(incarnation) {
            worker.quarantine = Some((job, now + QUARANTINE));
        }
    }
}

/// Whether a task of another job has recently started on a worker, or may have.
pub(super) fn has_recent_start(worker: &Worker, job: JobId, now: Instant) -> bool {
    let is_recent = |since: Instant| now.saturating_duration_since(since) < QUARANTINE;
    let mut others = worker.allocations.iter().filter(|(task, _)| task.job != job);
    others.any(|(_, allocation)| !allocation.confirmed || is_recent(allocation.ordered_at))
}

/// Number of runs of other jobs on a worker.
pub(super) fn count_other_runs(worker: &Worker, job: JobId) -> usize {
    worker.allocations.keys().filter(|task| task.job != job).count()
}
