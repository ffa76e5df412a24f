//! Evaluates the answers to polls: ends, runs that go on, and runs that are over.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_platform::worker::WorkerMs;

use crate::batch::cell::Cell;
use crate::batch::cell::EarlyEnd;
use crate::batch::cell::Order;
use crate::batch::cell::workers::remove_allocations;
use crate::batch::history::Decision;
use crate::batch::job::Entry;
use crate::batch::record;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// Consecutive failures after which a worker is assumed to fail every task.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a run of a long-running task must have been on a worker to show that the task does not
/// crash it.
const HARMLESS_RUN_TIME: Duration = Duration::from_millis(3_000);
/// Backoff of a worker that fails every task; one task then tries it again.
const BACKOFF_FAILING: Duration = Duration::from_millis(6_000);

impl Cell {
    /// Applies the answer to a poll that was sent at `sent_at`.
    ///
    /// An answer that is not newer than the last one, by the worker's clock, only shows that the
    /// worker responds: answers on different connections may arrive out of order, and an older one
    /// would list runs that are over. The ends it lists are listed again in later answers.
    pub fn on_poll(
        &mut self,
        incarnation: &Incarnation,
        sent_at: Instant,
        now: Instant,
        response: PollResponse,
    ) {
        if !self.apply_answer(incarnation, sent_at, now, &response) {
            return;
        }
        self.remove_missing_runs(incarnation, sent_at, &response.running);
        self.unpolled.remove(incarnation);
        if self.unpolled.is_empty() {
            self.clear_inherited();
        }
    }

    /// Applies the answer to a poll of a worker that may have more ends than it lists, as
    /// [`Cell::on_poll`] does. A run that is not listed may have ended, whoever started it, so it is
    /// not released, and the worker still counts as unpolled.
    pub fn on_partial_poll(
        &mut self,
        incarnation: &Incarnation,
        sent_at: Instant,
        now: Instant,
        response: PollResponse,
    ) {
        self.apply_answer(incarnation, sent_at, now, &response);
    }

    /// Applies what an answer lists; returns whether it is newer than the last one.
    fn apply_answer(
        &mut self,
        incarnation: &Incarnation,
        sent_at: Instant,
        now: Instant,
        response: &PollResponse,
    ) -> bool {
        let longest_lease = self.longest_lease;
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return false };
        worker.failed_polls = 0;
        worker.first_failed_at = None;
        worker.handed_over = false;
        if worker.clock.is_some_and(|(last, _)| response.clock <= last) {
            return false;
        }
        worker.clock = Some((response.clock, now));
        worker.last_answer_at = worker.last_answer_at.max(now);
        if worker.recorded_unresponsive {
            worker.recorded_unresponsive = false;
            worker.recovering = true;
            self.pending_records.push(record::worker(incarnation, &worker.to_stored()));
        }
        if !worker.has_token {
            worker.has_token = true;
            worker.backoff_until = now;
            if worker.may_be_later_incarnation {
                // The worker may have executed an order meant for the earlier incarnation until it
                // received this poll.
                worker.record_possible_renewal(now, longest_lease);
            }
        }
        drop(worker);
        self.clear_unreachable(incarnation);
        self.end_other_incarnations(incarnation, sent_at);
        self.resolve_crash_candidates(incarnation);
        for end in &response.ended {
            self.on_end(incarnation, end, now);
        }
        self.adopt_runs(incarnation, &response.running, now);
        true
    }

    /// Handles the end of a run. Ends are listed until they are acknowledged, so the same one may
    /// be reported again.
    fn on_end(&mut self, incarnation: &Incarnation, end: &End, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        if end.number <= worker.processed_end {
            return;
        }
        worker.processed_end = end.number;
        let allocation = match worker.allocations.get(&end.task) {
            Some(allocation) if allocation.run == end.run => worker.remove(&end.task),
            _ => None,
        };
        drop(worker);
        self.count_failure(incarnation, end.outcome, now);
        if self.jobs.contains_key(&end.task.job) {
            self.apply_end(incarnation, end, allocation, now);
        } else {
            self.early_ends.push(EarlyEnd {
                worker: incarnation.clone(),
                end: end.clone(),
                reported_at: now,
            });
        }
    }

    /// Applies ends that were reported before their job was known.
    pub(super) fn apply_early_ends(&mut self, job: JobId, now: Instant) {
        let of_job = |early_end: &mut EarlyEnd| early_end.end.task.job == job;
        let ends: Vec<EarlyEnd> = self.early_ends.extract_if(.., of_job).collect();
        for early_end in ends {
            self.apply_end(&early_end.worker, &early_end.end, None, now);
        }
    }

    /// Applies the end of a run of a known job.
    fn apply_end(
        &mut self,
        incarnation: &Incarnation,
        end: &End,
        allocation: Option<Allocation>,
        now: Instant,
    ) {
        let Some(entry) = self.jobs.get_mut(&end.task.job) else { return };
        entry.create_tasks(end.task.repetition);
        if !entry.started {
            entry.started = true;
            self.dirty_jobs.insert(end.task.job);
        }
        let Some(step) = entry.step(end.task.step).cloned() else { return };
        let Some(task) = entry.task_mut(end.task) else { return };
        task.last_run = task.last_run.max(end.run);
        if step.checkpointing && !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if let Some(allocation) = allocation {
            task.runs = task.runs.saturating_sub(1);
            self.record_run_time(end, &step, &allocation, now);
            if step.long_running
                && now.saturating_duration_since(allocation.ordered_at) > HARMLESS_RUN_TIME
            {
                self.clear_crashes(end.task);
            }
        }
        match end.outcome {
            Outcome::Done if !step.long_running => self.on_done(end.task, step.gang),
            Outcome::Failed => self.on_failed(incarnation, end, step.long_running),
            _ => {}
        }
        self.requeue(end.task);
    }

    /// Counts a failed run and fails the job at its limit of attempts. A long-running task is
    /// restarted however often it fails.
    fn on_failed(&mut self, incarnation: &Incarnation, end: &End, is_long_running: bool) {
        let Some(entry) = self.jobs.get_mut(&end.task.job) else { return };
        let limit = entry.accepted.max_attempts.max(1);
        let Some(task) = entry.task_mut(end.task) else { return };
        if !task.avoided_workers.iter().any(|other| other == incarnation) {
            task.avoided_workers.push(incarnation.clone());
        }
        if is_long_running || task.failed.contains(&end.run) {
            return;
        }
        task.failed.push(end.run);
        let failed = task.failed.len() as u32;
        let ends_job = failed >= limit && entry.is_active();
        self.dirty_jobs.insert(end.task.job);
        log::info!(
            task = end.task.to_string().as_str(),
            run = end.run,
            worker:% = incarnation,
            failed,
            limit;
            "task failed"
        );
        let worker = incarnation.clone();
        self.history.record(end.task, Decision::Failed { worker, failed, limit });
        if ends_job {
            self.end_job(end.task.job, JobState::Failed);
        }
    }

    /// Counts a worker's consecutive failures; one that fails every task backs off.
    fn count_failure(&mut self, incarnation: &Incarnation, outcome: Outcome, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        match outcome {
            Outcome::Done => worker.failures = 0,
            Outcome::Failed => {
                worker.failures += 1;
                if worker.failures >= MAX_CONSECUTIVE_FAILURES {
                    worker.backoff_until = now + BACKOFF_FAILING;
                    log::warn!(
                        worker:% = incarnation,
                        failures = worker.failures;
                        "worker fails every task, backing off"
                    );
                }
            }
            _ => {}
        }
    }

    /// Compares the runs that a worker reports with its allocations.
    fn adopt_runs(&mut self, incarnation: &Incarnation, running: &[Running], now: Instant) {
        for reported in running {
            let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
            match worker.allocations.get_mut(&reported.task) {
                Some(allocation) if allocation.run == reported.run => {
                    update_allocation(allocation, reported, now)
                }
                Some(_) => {
                    // The allocation is for a later run, so this one must be stopped first.
                    let peer = worker.peer.clone();
                    self.outbox.push(Order::Stop { peer, task: reported.task, run: reported.run });
                }
                None => {
                    drop(worker);
                    self.adopt_unknown_run(incarnation, reported, now);
                }
            }
        }
    }

    /// Adds a run that an earlier scheduler ordered. It goes on if its task needs it; otherwise it
    /// is stopped.
    fn adopt_unknown_run(&mut self, incarnation: &Incarnation, reported: &Running, now: Instant) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let peer = worker.peer.clone();
        let (resources, class) = self.resources_and_class(reported.task);
        let claim = self.claim_of(reported.task);
        let wanted = self.count_found_run(reported);
        let phase = if wanted { Phase::Live(now) } else { Phase::Stopping(None) };
        let mut allocation = Allocation {
            adopted: true,
            claim,
            ..Allocation::new(reported.run, phase, resources, class, now)
        };
        update_allocation(&mut allocation, reported, now);
        log::info!(
            task = reported.task.to_string().as_str(),
            run = reported.run,
            worker:% = incarnation,
            wanted;
            "unknown run found"
        );
        self.history.record(reported.task, Decision::Found { worker: incarnation.clone(), wanted });
        if !self.jobs.contains_key(&reported.task.job) {
            self.unknown_jobs.insert(reported.task.job);
        }
        if let Some(mut worker) = self.workers.get_mut(incarnation) {
            worker.insert(reported.task, allocation);
        }
        if !wanted {
            self.outbox.push(Order::Stop { peer, task: reported.task, run: reported.run });
        }
    }

    /// The resources of a task and its workload class. Without the job nothing is known of them:
    /// the run then counts as a batch task without resources.
    fn resources_and_class(&self, name: TaskName) -> (Resources, Class) {
        let step = self.jobs.get(&name.job).and_then(|entry| entry.step(name.step));
        match step {
            Some(step) => (Entry::resources_of(step), Entry::class_of(step)),
            None => (Resources::default(), Class::Batch),
        }
    }

    /// Counts a run found on a worker for its task; returns whether it may go on. It may if its job
    /// is not known: the job's record may still be on its way from the store.
    fn count_found_run(&mut self, reported: &Running) -> bool {
        let Some(entry) = self.jobs.get_mut(&reported.task.job) else { return true };
        let is_active = entry.is_active();
        entry.create_tasks(reported.task.repetition);
        if !entry.started {
            entry.started = true;
            self.dirty_jobs.insert(reported.task.job);
        }
        let Some(task) = entry.task_mut(reported.task) else { return false };
        task.last_run = task.last_run.max(reported.run);
        let wanted = is_active && !task.done && task.runs == 0;
        task.runs += 1;
        // The task does not wait for placement any more, now that this run was found.
        task.waiting_since = None;
        if wanted
            && let Some(run) = entry.step_run_mut(reported.task.repetition, reported.task.step)
        {
            run.waiting.remove(&reported.task.index);
        }
        wanted
    }

    /// Releases the runs that the poll sent at `sent_at` should have listed and did not.
    fn remove_missing_runs(
        &mut self,
        incarnation: &Incarnation,
        sent_at: Instant,
        running: &[Running],
    ) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        let listed: HashSet<(TaskName, Run)> =
            running.iter().map(|reported| (reported.task, reported.run)).collect();
        let missing = worker.allocations.iter().filter(|(task, allocation)| {
            let is_confirmed = match allocation.phase {
                Phase::Starting => false,
                Phase::Live(since) => since < sent_at,
                Phase::Stopping(since) => since.is_some_and(|since| since < sent_at),
            };
            is_confirmed && !listed.contains(&(**task, allocation.run))
        });
        let missing: Vec<TaskName> = missing.map(|(task, _)| *task).collect();
        let removed = remove_allocations(&mut worker, &missing);
        drop(worker);
        for (task, allocation) in removed {
            log::info!(
                task = task.to_string().as_str(),
                run = allocation.run,
                worker:% = incarnation;
                "run is over without an end"
            );
            self.release_run(task, allocation);
        }
    }

    /// Records that a dispatcher has requested a lease until `until`, by the worker's clock.
    pub fn record_lease(&mut self, incarnation: &Incarnation, until: WorkerMs) {
        if let Some(mut worker) = self.workers.get_mut(incarnation) {
            worker.lease_until = worker.lease_until.max(until);
        }
    }

    /// Handles a poll without an answer.
    pub fn on_failed_poll(&mut self, incarnation: &Incarnation) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.failed_polls += 1;
        worker.first_failed_at.get_or_insert_with(clock::now);
        if worker.has_token && !worker.recorded_unresponsive {
            worker.recorded_unresponsive = true;
            self.pending_records.push(record::worker(incarnation, &worker.to_stored()));
        }
    }
}

/// Updates an allocation with what the worker reports of its run.
fn update_allocation(allocation: &mut Allocation, reported: &Running, now: Instant) {
    allocation.confirmed = true;
    if allocation.phase == Phase::Starting {
        allocation.phase = Phase::Live(now);
    }
    if reported.percent != allocation.percent {
        allocation.percent = reported.percent;
        allocation.progressed_at = now;
    }
    allocation.figure = reported.figure;
    if !reported.checkpoint.is_empty() {
        allocation.checkpoint.clone_from(&reported.checkpoint);
    }
}
