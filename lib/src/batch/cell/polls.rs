//! What looks at workers show: ends, runs that go on, and runs that are gone.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
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
use crate::batch::job::Entry;
use crate::batch::record;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// Failures in a row, of different tasks, after which a worker is taken to fail everything.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// How long a run of a task that lasts must have been on a worker to show that it does it no harm.
const HARMLESS_RUNTIME: Duration = Duration::from_millis(3_000);
/// How long a worker that fails everything rests; one task then tries it again.
const BACKOFF_FAILING: Duration = Duration::from_millis(6_000);

impl Cell {
    /// Takes in the answer to a look that was sent at `sent`.
    ///
    /// One that is no newer than the last, by the worker's clock, changes nothing: answers on
    /// different connections overtake each other, and an older one would show runs that are over.
    /// What it lists of ends is listed again.
    pub fn on_poll(&mut self, life: &Incarnation, sent: Instant, now: Instant, seen: PollResponse) {
        let longest = self.longest_lease;
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.failed_polls = 0;
        worker.first_failed_at = None;
        worker.handed_over = false;
        if worker.clock.is_some_and(|(last, _)| seen.clock <= last) {
            return;
        }
        worker.clock = Some((seen.clock, now));
        worker.last_answer_at = worker.last_answer_at.max(now);
        if worker.recorded_unresponsive {
            worker.recorded_unresponsive = false;
            worker.recovering = true;
            self.pending_records.push(record::worker(life, &worker.to_stored()));
        }
        if !worker.has_token {
            worker.has_token = true;
            worker.backoff_until = now;
            if worker.is_later_incarnation {
                // An order meant for the life before may have been carried out here until this look had come.
                worker.record_possible_renewal(now, longest);
            }
        }
        drop(worker);
        self.clear_unreachable(life);
        self.end_other_incarnations(life, sent);
        self.resolve_crash_candidates(life);
        self.unpolled.remove(life);
        for end in &seen.ended {
            self.on_end(life, end, now);
        }
        self.adopt_runs(life, &seen.running, now);
        self.remove_missing_runs(life, sent, &seen.running);
        if self.unpolled.is_empty() {
            self.clear_inherited();
        }
    }

    /// A run has ended. Ends are listed until they are acknowledged, so one may be seen again.
    fn on_end(&mut self, life: &Incarnation, end: &End, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        if end.number <= worker.processed_end {
            return;
        }
        worker.processed_end = end.number;
        let slot = match worker.allocations.get(&end.task) {
            Some(slot) if slot.run == end.run => worker.remove(&end.task),
            _ => None,
        };
        drop(worker);
        self.count_failure(life, end.outcome, now);
        if self.jobs.contains_key(&end.task.job) {
            self.apply_end(life, end, slot, now);
        } else {
            self.early_ends.push(EarlyEnd {
                worker: life.clone(),
                end: end.clone(),
                reported_at: now,
            });
        }
    }

    /// Takes in the ends of a job's runs that were told before the job had come.
    pub(super) fn apply_early_ends(&mut self, job: JobId, now: Instant) {
        let of_job = |early: &mut EarlyEnd| early.end.task.job == job;
        let ends: Vec<EarlyEnd> = self.early_ends.extract_if(.., of_job).collect();
        for early in ends {
            self.apply_end(&early.worker, &early.end, None, now);
        }
    }

    /// Takes in the end of a run of a known job.
    fn apply_end(&mut self, life: &Incarnation, end: &End, slot: Option<Allocation>, now: Instant) {
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
        if let Some(slot) = slot {
            task.runs = task.runs.saturating_sub(1);
            self.learn_runtime(end, &step, &slot, now);
            if step.long_running
                && now.saturating_duration_since(slot.ordered_at) > HARMLESS_RUNTIME
            {
                self.clear_crashes(end.task);
            }
        }
        match end.outcome {
            Outcome::Done if !step.long_running => self.on_done(end.task, step.gang),
            Outcome::Failed => self.on_failed(life, end, step.long_running),
            _ => {}
        }
        self.requeue(end.task);
    }

    /// Learns how far off the client's guess was. Runs with a checkpoint are left out: they need
    /// not have begun at the start of the work.
    fn learn_runtime(&mut self, end: &End, step: &Step, slot: &Allocation, now: Instant) {
        let whole = end.outcome == Outcome::Done && !step.long_running;
        if !whole || !slot.checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let guess = Duration::from_millis(step.estimate_ms);
        let took = now.saturating_duration_since(slot.ordered_at);
        self.demand.record_run(&entry.accepted.queue, guess, took);
    }

    /// A task has failed; one that lasts is started again however often it does.
    fn on_failed(&mut self, life: &Incarnation, end: &End, lasts: bool) {
        let Some(entry) = self.jobs.get_mut(&end.task.job) else { return };
        let limit = entry.accepted.max_attempts.max(1);
        let Some(task) = entry.task_mut(end.task) else { return };
        if !task.avoided_workers.iter().any(|other| other == life) {
            task.avoided_workers.push(life.clone());
        }
        if lasts || task.failed.contains(&end.run) {
            return;
        }
        task.failed.push(end.run);
        let failed = task.failed.len() as u32;
        let ends_job = failed >= limit && entry.is_active();
        self.dirty_jobs.insert(end.task.job);
        log::info!(
            task = end.task.to_string().as_str(),
            run = end.run,
            worker:% = life,
            failed,
            limit;
            "task failed"
        );
        if ends_job {
            self.end_job(end.task.job, JobState::Failed);
        }
    }

    /// Counts failures in a row of a worker; one that fails everything rests.
    fn count_failure(&mut self, life: &Incarnation, outcome: Outcome, now: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        match outcome {
            Outcome::Done => worker.failures = 0,
            Outcome::Failed => {
                worker.failures += 1;
                if worker.failures >= MAX_CONSECUTIVE_FAILURES {
                    worker.backoff_until = now + BACKOFF_FAILING;
                    log::warn!(
                        worker:% = life,
                        failures = worker.failures;
                        "worker fails everything, rests"
                    );
                }
            }
            _ => {}
        }
    }

    /// Matches what a worker says it runs with what it should run.
    fn adopt_runs(&mut self, life: &Incarnation, running: &[Running], now: Instant) {
        for told in running {
            let Some(mut worker) = self.workers.get_mut(life) else { return };
            match worker.allocations.get_mut(&told.task) {
                Some(slot) if slot.run == told.run => update_allocation(slot, told, now),
                Some(_) => {
                    // The slot is for a later run, so this one must end first.
                    let peer = worker.peer.clone();
                    self.outbox.push(Order::Stop { peer, task: told.task, run: told.run });
                }
                None => {
                    drop(worker);
                    self.adopt_unknown_run(life, told, now);
                }
            }
        }
    }

    /// A run ordered by an earlier scheduler: it goes on if its task needs it, else it is stopped.
    fn adopt_unknown_run(&mut self, life: &Incarnation, told: &Running, now: Instant) {
        let Some(worker) = self.workers.get(life) else { return };
        let peer = worker.peer.clone();
        let (room, kind) = self.resources_and_class(told.task);
        let claim = self.claim_of(told.task);
        let wanted = self.count_found_run(told);
        let phase = if wanted { Phase::Live(now) } else { Phase::Stopping(None) };
        let mut slot = Allocation {
            adopted: true,
            claim,
            ..Allocation::new(told.run, phase, room, kind, now)
        };
        update_allocation(&mut slot, told, now);
        log::info!(
            task = told.task.to_string().as_str(),
            run = told.run,
            worker:% = life,
            wanted;
            "unknown run found"
        );
        if !self.jobs.contains_key(&told.task.job) {
            self.unknown_jobs.insert(told.task.job);
        }
        if let Some(mut worker) = self.workers.get_mut(life) {
            worker.insert(told.task, slot);
        }
        if !wanted {
            self.outbox.push(Order::Stop { peer, task: told.task, run: told.run });
        }
    }

    /// What a task takes of a worker's room, and what kind of neighbour it is. Nothing is known
    /// of that while its job is not.
    fn resources_and_class(&self, name: TaskName) -> (Resources, Class) {
        let step = self.jobs.get(&name.job).and_then(|entry| entry.step(name.step));
        match step {
            Some(step) => (Entry::resources_of(step), Entry::class_of(step)),
            None => (Resources::default(), Class::Batch),
        }
    }

    /// Counts a run that was found for its task; returns whether it may go on. One whose job is
    /// not known may: the record of the job may still be on its way from the store.
    fn count_found_run(&mut self, told: &Running) -> bool {
        let Some(entry) = self.jobs.get_mut(&told.task.job) else { return true };
        let active = entry.is_active();
        entry.create_tasks(told.task.repetition);
        if !entry.started {
            entry.started = true;
            self.dirty_jobs.insert(told.task.job);
        }
        let Some(task) = entry.task_mut(told.task) else { return false };
        task.last_run = task.last_run.max(told.run);
        let wanted = active && !task.done && task.runs == 0;
        task.runs += 1;
        // It does not wait, whatever was thought before this run was found.
        task.waiting_since = None;
        if wanted && let Some(run) = entry.step_run_mut(told.task.repetition, told.task.step) {
            run.waiting.remove(&told.task.index);
        }
        wanted
    }

    /// Removes runs that a look should have shown and did not.
    fn remove_missing_runs(&mut self, life: &Incarnation, sent: Instant, running: &[Running]) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        let shown: HashSet<(TaskName, Run)> =
            running.iter().map(|told| (told.task, told.run)).collect();
        let missing = worker.allocations.iter().filter(|(task, slot)| {
            let settled = match slot.phase {
                Phase::Starting => false,
                Phase::Live(since) => since < sent,
                Phase::Stopping(since) => since.is_some_and(|since| since < sent),
            };
            settled && !shown.contains(&(**task, slot.run))
        });
        let missing: Vec<TaskName> = missing.map(|(task, _)| *task).collect();
        let taken = remove_allocations(&mut worker, &missing);
        drop(worker);
        for (task, slot) in taken {
            self.release_run(task, slot);
        }
    }

    /// A look was answered; its carrier has asked for a lease until then at the latest.
    pub fn record_lease(&mut self, life: &Incarnation, until: WorkerMs) {
        if let Some(mut worker) = self.workers.get_mut(life) {
            worker.lease_until = worker.lease_until.max(until);
        }
    }

    /// A look had no answer.
    pub fn on_failed_poll(&mut self, life: &Incarnation) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.failed_polls += 1;
        worker.first_failed_at.get_or_insert_with(clock::now);
        if worker.has_token && !worker.recorded_unresponsive {
            worker.recorded_unresponsive = true;
            self.pending_records.push(record::worker(life, &worker.to_stored()));
        }
    }
}

/// Takes over what a worker tells of a run.
fn update_allocation(slot: &mut Allocation, told: &Running, now: Instant) {
    slot.confirmed = true;
    if slot.phase == Phase::Starting {
        slot.phase = Phase::Live(now);
    }
    if told.percent != slot.percent {
        slot.percent = told.percent;
        slot.progressed_at = now;
    }
    slot.figure = told.figure;
    if !told.checkpoint.is_empty() {
        slot.checkpoint.clone_from(&told.checkpoint);
    }
}
