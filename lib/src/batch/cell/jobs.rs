//! The life cycle of jobs: admission, opening of steps, placement queue and end.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Run;

use crate::batch::cell::Cell;
use crate::batch::cell::EarlyEnd;
use crate::batch::cell::Order;
use crate::batch::cell::Rank;
use crate::batch::history::Decision;
use crate::batch::job::Entry;
use crate::batch::job::memory_of;
use crate::batch::record::Accepted;
use crate::batch::record::Progress;
use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// How long a run may go on whose job is not known: the job's record may still be on its way from
/// the store.
const UNKNOWN_JOB_TIMEOUT: Duration = Duration::from_millis(3_000);

impl Cell {
    /// Admits a job reported by the node that accepted it; returns false if it is known already.
    pub fn admit_reported(&mut self, id: JobId, accepted: Accepted) -> bool {
        let is_known_everywhere =
            self.known_everywhere_from.is_some_and(|from| clock::now() >= from);
        self.admit_job(id, accepted, None, !is_known_everywhere)
    }

    /// Admits a job read from the store, with its progress under an earlier scheduler if there is
    /// any; returns false if it is known already.
    pub fn admit(&mut self, id: JobId, accepted: Accepted, inherited: Option<&Progress>) -> bool {
        self.admit_job(id, accepted, inherited, true)
    }

    fn admit_job(
        &mut self,
        id: JobId,
        accepted: Accepted,
        inherited: Option<&Progress>,
        others_may_know: bool,
    ) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        let mut entry = Entry::new(id, accepted);
        // Until every worker has answered this scheduler, an unresponsive earlier one may go on
        // starting tasks, including those of jobs that arrive only now, if it learns of them.
        let may_be_started =
            others_may_know && !self.predecessor_is_done && !self.unpolled.is_empty();
        entry.inherited = inherited.is_some() || may_be_started;
        self.has_inherited |= entry.inherited;
        if let Some(progress) = inherited {
            entry.restore(progress);
        }
        let is_cancelled = self.early_cancels.take(id, &entry.accepted);
        entry.is_over_rate = self.exceeds_rate(entry.accepted.account.as_ref(), entry.accepted.at);
        self.claim_found_runs(&mut entry);
        let repetitions = entry.accepted.job.repetition_count();
        for repetition in 0..repetitions {
            match entry.accepted.job.due_at(repetition) {
                Some(due) if entry.is_active() => {
                    self.scheduled.insert((due, id, repetition));
                }
                _ => entry.repetitions[repetition as usize].due = true,
            }
        }
        // Work that the account's quota holds back must not request boxes: they would be idle.
        let may_run = |step| !is_cancelled && !self.is_at_quota(&entry, step);
        if inherited.is_none() && entry.accepted.job.steps.iter().all(may_run) {
            let now = clock::now();
            self.demand.record_arrival(&entry, &self.run_times, now);
            if entry.is_over_rate {
                self.over_rate_demand.record_arrival(&entry, &self.run_times, now);
            }
        }
        if entry.is_active() && entry.is_long_running() {
            self.long_running_jobs.insert(id);
        }
        self.job_memory += memory_of(&entry.accepted.job);
        self.jobs.insert(id, entry);
        self.quotas.admitted_jobs += 1;
        for repetition in 0..repetitions {
            self.open_steps(id, repetition);
        }
        self.apply_early_ends(id, clock::now());
        if is_cancelled {
            self.history.record_job(id, Decision::CancelledEarly);
            self.cancel(id);
        }
        true
    }

    /// Assigns runs that were found on workers before their job was known to the job's tasks.
    fn claim_found_runs(&mut self, entry: &mut Entry) {
        let id = entry.id;
        if !self.unknown_jobs.remove(&id) {
            return;
        }
        self.workers.for_each_mut(|worker| {
            let found = worker.allocations.iter().filter(|(name, _)| name.job == id);
            let found: Vec<(TaskName, Run)> =
                found.map(|(name, allocation)| (*name, allocation.run)).collect();
            for (name, run) in found {
                let Some(step) = entry.step(name.step) else { continue };
                let (resources, class) = (Entry::resources_of(step), Entry::class_of(step));
                worker.identify(&name, resources, class, entry.claim(name.step));
                entry.create_tasks(name.repetition);
                entry.started = true;
                if let Some(task) = entry.task_mut(name) {
                    task.runs += 1;
                    task.last_run = task.last_run.max(run);
                }
            }
        });
    }

    /// Stops runs on workers whose jobs are still unknown after `UNKNOWN_JOB_TIMEOUT`, and drops
    /// ends of such jobs after the same time.
    pub fn stop_unknown_jobs(&mut self, now: Instant) {
        if !self.unknown_jobs.is_empty() {
            self.stop_runs_of_unknown_jobs(now);
        }
        let is_waiting = |early_end: &EarlyEnd| {
            now.saturating_duration_since(early_end.reported_at) <= UNKNOWN_JOB_TIMEOUT
        };
        self.early_ends.retain(is_waiting);
    }

    fn stop_runs_of_unknown_jobs(&mut self, now: Instant) {
        let mut still_unknown = HashSet::new();
        let mut timed_out = Vec::new();
        for worker in self.workers.values() {
            let found =
                worker.allocations.iter().filter(|(name, _)| self.unknown_jobs.contains(&name.job));
            for (name, allocation) in found {
                still_unknown.insert(name.job);
                if now.saturating_duration_since(allocation.ordered_at) > UNKNOWN_JOB_TIMEOUT {
                    timed_out.push((worker.peer.incarnation.clone(), *name));
                }
            }
        }
        self.unknown_jobs = still_unknown;
        for (worker, task) in timed_out {
            self.stop_for(&worker, task, "its job is not known");
        }
    }

    /// Opens the repetitions that are due at `wall`, the time since the Unix epoch.
    pub fn open_due_repetitions(&mut self, wall: Duration) {
        while let Some(&(due, id, repetition)) = self.scheduled.first() {
            if due > wall {
                return;
            }
            self.scheduled.pop_first();
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            entry.repetitions[repetition as usize].due = true;
            self.open_steps(id, repetition);
            // The tasks of a repetition whose time has passed may all be done: under an earlier
            // scheduler, or by ends that were reported before the time was looked at.
            self.end_if_done(id);
        }
    }

    /// Opens the steps of a due repetition whose preceding steps are done.
    fn open_steps(&mut self, id: JobId, repetition: u32) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if !entry.is_active() || !entry.repetitions[repetition as usize].due {
            return;
        }
        entry.create_tasks(repetition);
        let mut opened = Vec::new();
        // A step without tasks is done when it is opened, and may allow others to open.
        loop {
            let steps = entry.steps_to_open(repetition);
            if steps.is_empty() {
                break;
            }
            for step in steps {
                let run =
                    entry.step_run_mut(repetition, step).expect("the repetition was opened above");
                run.open = true;
                opened.push(step);
            }
        }
        for step in opened {
            let count = self.jobs[&id].accepted.job.steps[usize::from(step)].count;
            for index in 0..count {
                self.requeue(TaskName { job: id, repetition, step, index });
            }
        }
    }

    /// Queues a task for placement if it is not done and no run of it may exist any more.
    pub fn requeue(&mut self, name: TaskName) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        if !entry.is_active() {
            return;
        }
        let rank = Rank::of(entry, name.repetition, name.step);
        let Some(run) = entry.step_run_mut(name.repetition, name.step).filter(|run| run.open)
        else {
            return;
        };
        let Some(task) = run.tasks.get_mut(name.index as usize) else { return };
        if task.done || task.runs > 0 {
            return;
        }
        task.waiting_since.get_or_insert_with(clock::now);
        run.waiting.insert(name.index);
        self.ready.insert(rank);
        self.placement_pending = true;
    }

    /// Cancels a job and returns its state, which is another one if it had ended before; `None` if
    /// it is not known.
    pub fn cancel(&mut self, id: JobId) -> Option<JobState> {
        let entry = self.jobs.get_mut(&id)?;
        if entry.end.is_none() {
            entry.cancelled = true;
            self.end_job(id, JobState::Canceled);
        }
        Some(self.jobs[&id].end.unwrap_or(JobState::Canceled))
    }

    /// Ends a job: its end is written with the next flush, and all its runs are stopped.
    pub(super) fn end_job(&mut self, id: JobId, state: JobState) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.end = Some(state);
        entry.ended_at = Some(clock::now());
        let runs = entry.run_count();
        for (number, repetition) in (0..).zip(&entry.repetitions) {
            for (step, _) in (0..).zip(&repetition.steps) {
                self.ready.remove(&Rank::of(entry, number, step));
            }
        }
        self.long_running_jobs.remove(&id);
        self.dirty_jobs.insert(id);
        log::info!(
            job = format!("{id:016x}").as_str(),
            state = format!("{state:?}").as_str();
            "job ended"
        );
        self.history.record_job(id, Decision::Ended(state));
        // Most jobs end with no run left, and the search covers all runs of all workers.
        if runs > 0 {
            self.stop_where(|task| task.job == id);
        }
    }

    /// Stops all runs of tasks that match `fits`.
    pub fn stop_where(&mut self, fits: impl Fn(&TaskName) -> bool) {
        let outbox = &mut self.outbox;
        self.workers.for_each_mut(|worker| {
            for (task, allocation) in &mut worker.allocations {
                if fits(task) {
                    order_stop(outbox, &worker.peer, *task, allocation);
                }
            }
        });
    }

    /// Stops one run, so that its task can be started elsewhere.
    pub fn stop_run(&mut self, incarnation: &Incarnation, task: TaskName) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        let worker = &mut *worker;
        let Some(allocation) = worker.allocations.get_mut(&task) else { return };
        order_stop(&mut self.outbox, &worker.peer, task, allocation);
    }

    /// Stops one run for a reason that its job's history shows.
    pub fn stop_for(&mut self, incarnation: &Incarnation, task: TaskName, why: &'static str) {
        self.history.record(task, Decision::Stopped { worker: incarnation.clone(), why });
        self.stop_run(incarnation, task);
    }

    /// Marks a task as done, or all tasks of its step if it is a gang.
    pub(super) fn on_done(&mut self, name: TaskName, gang: bool) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let Some(run) = entry.step_run_mut(name.repetition, name.step) else { return };
        let members: Vec<u32> =
            if gang { (0..run.tasks.len() as u32).collect() } else { vec![name.index] };
        for index in members {
            let task = &mut run.tasks[index as usize];
            run.left -= usize::from(!task.done);
            task.done = true;
            run.waiting.remove(&index);
        }
        let is_step_done = run.left == 0;
        // Other runs of the same task are stopped; the members of a gang end by themselves.
        let has_copies = !gang && run.tasks[name.index as usize].runs > 0;
        self.dirty_jobs.insert(name.job);
        if has_copies {
            self.stop_where(|other| *other == name);
        }
        if is_step_done {
            self.open_steps(name.job, name.repetition);
        }
        self.end_if_done(name.job);
    }

    /// Ends a job as succeeded if all its tasks are done.
    fn end_if_done(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|entry| entry.is_active() && entry.is_done()) {
            self.end_job(id, JobState::Succeeded);
        }
    }
}

/// Orders a run to be stopped, unless that was ordered already.
fn order_stop(outbox: &mut Vec<Order>, peer: &Peer, task: TaskName, allocation: &mut Allocation) {
    if !matches!(allocation.phase, Phase::Stopping(_)) {
        allocation.phase = Phase::Stopping(None);
        outbox.push(Order::Stop { peer: peer.clone(), task, run: allocation.run });
    }
}
