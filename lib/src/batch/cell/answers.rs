//! What workers answer to orders, and what follows from silence.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;

use crate::batch::cell::Cell;
use crate::batch::worker::Phase;

/// How long a worker rests after it failed to answer an order.
const BACKOFF_UNANSWERED: Duration = Duration::from_millis(1_000);
/// How long a worker rests after it refused an order as unhealthy.
const BACKOFF_UNHEALTHY: Duration = Duration::from_millis(2_000);
/// How long a worker rests after it said that it has no room although it should have.
const BACKOFF_FULL: Duration = Duration::from_millis(150);

impl Cell {
    /// A start was taken.
    pub fn on_started(&mut self, life: &Incarnation, task: TaskName, run: Run, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.last_answer_at = worker.last_answer_at.max(now);
        let Some(slot) = worker.allocations.get_mut(&task).filter(|slot| slot.run == run) else {
            return;
        };
        slot.confirmed = true;
        if slot.phase == Phase::Starting {
            slot.phase = Phase::Live(now);
        }
        if let Some(entry) = self.jobs.get_mut(&task.job)
            && !entry.started
        {
            entry.started = true;
            self.dirty_jobs.insert(task.job);
        }
    }

    /// A start was answered by a clock that this life cannot have, so a later one may have taken it. The lease that it
    /// asked for is as long as a worker grants, by that clock.
    pub fn on_off_clock(&mut self, life: &Incarnation, now: Instant) {
        let longest = self.longest_lease;
        if let Some(mut worker) = self.workers.get_mut(life) {
            worker.record_possible_renewal(now, longest);
        }
    }

    /// A start was not taken; it is certain that it never will be. What a higher token says is told apart: see
    /// [`Cell::on_fenced`].
    pub fn on_refused(
        &mut self,
        life: &Incarnation,
        task: TaskName,
        run: Run,
        why: Option<Refusal>,
        now: Instant,
    ) {
        if why == Some(Refusal::Fenced) && self.is_fenced {
            // A later scheduler has this task now.
            return;
        }
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        let rest = match why {
            Some(Refusal::NoRoom) => BACKOFF_FULL,
            Some(Refusal::Unhealthy) => BACKOFF_UNHEALTHY,
            Some(Refusal::OtherLife) | None => BACKOFF_UNANSWERED,
            _ => Duration::ZERO,
        };
        worker.backoff_until = worker.backoff_until.max(now + rest);
        let is_there = worker.allocations.get(&task).is_some_and(|slot| slot.run == run);
        let slot = if is_there { worker.remove(&task) } else { None };
        drop(worker);
        if let Some(slot) = slot {
            self.release_run(task, slot);
        }
        if why == Some(Refusal::Ticket) {
            self.advices.invalidate_ticket((task.job, task.repetition, task.step), life);
        }
        if why == Some(Refusal::OtherLife) {
            self.mark_ended(life, "another life answers at its address");
        }
    }

    /// A start had no answer: it may have been taken, or may be taken later. The run is stopped,
    /// so that the worker refuses it from then on, before the task is started elsewhere.
    pub fn on_unanswered(&mut self, life: &Incarnation, task: TaskName, run: Run, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.backoff_until = worker.backoff_until.max(now + BACKOFF_UNANSWERED);
        let is_there = worker.allocations.get(&task).is_some_and(|slot| slot.run == run);
        drop(worker);
        if is_there {
            self.stop_run(life, task);
        }
    }

    /// A worker has taken a stop.
    pub fn on_stopped(&mut self, life: &Incarnation, task: TaskName, run: Run, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        if let Some(slot) = worker.allocations.get_mut(&task).filter(|slot| slot.run == run) {
            slot.phase = Phase::Stopping(Some(now));
        }
    }
}
