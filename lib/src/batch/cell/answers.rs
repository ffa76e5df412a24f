//! Handles the answers of workers to orders, and missing answers.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;

use crate::batch::cell::Cell;
use crate::batch::history::Decision;
use crate::batch::worker::Phase;

/// Backoff of a worker that did not answer an order.
const BACKOFF_UNANSWERED: Duration = Duration::from_millis(1_000);
/// Backoff of a worker that refused an order as unhealthy.
const BACKOFF_UNHEALTHY: Duration = Duration::from_millis(2_000);
/// Backoff of a worker that reported too few resources although it should have enough.
const BACKOFF_FULL: Duration = Duration::from_millis(150);

impl Cell {
    /// Records that a worker accepted a start.
    pub fn on_started(
        &mut self,
        incarnation: &Incarnation,
        task: TaskName,
        run: Run,
        now: Instant,
    ) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.last_answer_at = worker.last_answer_at.max(now);
        let Some(allocation) =
            worker.allocations.get_mut(&task).filter(|allocation| allocation.run == run)
        else {
            return;
        };
        allocation.confirmed = true;
        if allocation.phase == Phase::Starting {
            allocation.phase = Phase::Live(now);
        }
        if let Some(entry) = self.jobs.get_mut(&task.job)
            && !entry.started
        {
            entry.started = true;
            self.dirty_jobs.insert(task.job);
        }
    }

    /// Handles an answer to a start whose clock value this incarnation cannot have: a later
    /// incarnation may have accepted the start. The lease requested with it then lasts as long as a
    /// worker grants, by the later incarnation's clock.
    pub fn on_clock_mismatch(&mut self, incarnation: &Incarnation, now: Instant) {
        let longest_lease = self.longest_lease;
        if let Some(mut worker) = self.workers.get_mut(incarnation) {
            worker.record_possible_renewal(now, longest_lease);
        }
    }

    /// Handles a refused start: it is certain that it will never run. [`Cell::on_fenced`] decides
    /// what a refusal because of a higher token means.
    pub fn on_refused(
        &mut self,
        incarnation: &Incarnation,
        task: TaskName,
        run: Run,
        refusal: Option<Refusal>,
        now: Instant,
    ) {
        if refusal == Some(Refusal::Fenced) && self.is_fenced {
            // A later scheduler is responsible for this task now.
            return;
        }
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        let backoff = match refusal {
            Some(Refusal::NoRoom) => BACKOFF_FULL,
            Some(Refusal::Unhealthy) => BACKOFF_UNHEALTHY,
            Some(Refusal::OtherLife) | None => BACKOFF_UNANSWERED,
            _ => Duration::ZERO,
        };
        worker.backoff_until = worker.backoff_until.max(now + backoff);
        let is_allocated =
            worker.allocations.get(&task).is_some_and(|allocation| allocation.run == run);
        let allocation = if is_allocated { worker.remove(&task) } else { None };
        drop(worker);
        if let Some(allocation) = allocation {
            let why = refusal.map_or_else(|| "not sent".to_owned(), |why| format!("{why:?}"));
            self.history.record(task, Decision::NotAccepted { worker: incarnation.clone(), why });
            self.release_run(task, allocation);
        }
        if refusal == Some(Refusal::Ticket) {
            self.advice.invalidate_ticket((task.job, task.repetition, task.step), incarnation);
        }
        if refusal == Some(Refusal::OtherLife) {
            self.mark_ended(incarnation, "another incarnation answers at its address");
        }
    }

    /// Handles a start without an answer: the worker may have accepted it, or may do so later. The
    /// run is stopped, so that the worker refuses the start from then on, before the task is
    /// started elsewhere.
    pub fn on_unanswered(
        &mut self,
        incarnation: &Incarnation,
        task: TaskName,
        run: Run,
        now: Instant,
    ) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.backoff_until = worker.backoff_until.max(now + BACKOFF_UNANSWERED);
        let is_allocated =
            worker.allocations.get(&task).is_some_and(|allocation| allocation.run == run);
        drop(worker);
        if is_allocated {
            self.stop_for(incarnation, task, "no answer to its start");
        }
    }

    /// Records that a worker accepted a stop.
    pub fn on_stopped(
        &mut self,
        incarnation: &Incarnation,
        task: TaskName,
        run: Run,
        now: Instant,
    ) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        if let Some(allocation) =
            worker.allocations.get_mut(&task).filter(|allocation| allocation.run == run)
        {
            allocation.phase = Phase::Stopping(Some(now));
        }
    }
}
