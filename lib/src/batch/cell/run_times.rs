//! When tasks, jobs and workers are expected to be done, by the learned run times.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Outcome;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::job::OwnRuns;
use crate::batch::job::StepRun;
use crate::batch::run_time::Distribution;
use crate::batch::run_time::Observation;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Number of its runs from which on a job is judged by them rather than by its queue.
const MIN_OWN_RUNS: u32 = 3;

impl Cell {
    /// The run time of a task of a step; `None` if the job has no such step.
    pub fn run_time(&self, entry: &Entry, step: u16) -> Option<Distribution> {
        let estimate = Duration::from_millis(entry.step(step)?.estimate_ms);
        Some(self.run_times.of(&entry.accepted.queue, step, estimate))
    }

    /// When a worker that gets nothing new will be empty with this certainty, a fraction of 1.
    /// `None` if something runs there that does not end by itself, or of an unknown job.
    pub fn expected_empty_at(
        &self,
        worker: &Worker,
        certainty: f64,
        now: Instant,
    ) -> Option<Instant> {
        let mut empty_at = now;
        for (task, allocation) in &worker.allocations {
            if matches!(allocation.phase, Phase::Stopping(_)) {
                continue;
            }
            if allocation.class != Class::Batch {
                return None;
            }
            let run_time = self.run_time(self.jobs.get(&task.job)?, task.step)?;
            let elapsed = now.saturating_duration_since(allocation.ordered_at);
            empty_at = empty_at.max(now + run_time.remaining(elapsed, certainty));
        }
        Some(empty_at)
    }

    /// The time that the unfinished steps of a repetition take one after another from `now` on with
    /// this certainty, a fraction of 1, if each of their tasks starts as soon as it may. What runs
    /// already counts with the rest of its time.
    pub fn remaining_path(
        &self,
        entry: &Entry,
        repetition: u32,
        certainty: f64,
        now: Instant,
    ) -> Duration {
        entry.longest_path(|number, step| {
            self.rest_of_step(entry, repetition, (number, step), certainty, now)
        })
    }

    /// The time that all steps of a job take one after another with this certainty, a fraction of
    /// 1.
    pub fn critical_path(&self, entry: &Entry, certainty: f64) -> Duration {
        entry.longest_path(|number, step| self.whole_step(entry, (number, step), certainty))
    }

    /// The run time of a task with this certainty. What enough runs of the job itself have shown
    /// counts rather than its queue: its estimates may be wrong where those of others are right.
    fn whole_step(&self, entry: &Entry, (number, step): (u16, &Step), certainty: f64) -> Duration {
        if step.count == 0 {
            return Duration::ZERO;
        }
        let own = entry.own_runs.filter(|own| own.count >= MIN_OWN_RUNS && step.estimate_ms > 0);
        if let Some(own) = own {
            let ratio = own.shortest + (own.longest - own.shortest) * certainty.clamp(0.0, 1.0);
            return Duration::from_millis(step.estimate_ms).mul_f64(ratio);
        }
        self.run_time(entry, number).map_or(Duration::ZERO, |time| time.quantile(certainty))
    }

    fn rest_of_step(
        &self,
        entry: &Entry,
        repetition: u32,
        (number, step): (u16, &Step),
        certainty: f64,
        now: Instant,
    ) -> Duration {
        let run = entry.find_step_run(repetition, number);
        if run.is_some_and(|run| run.left == 0) {
            return Duration::ZERO;
        }
        let whole = self.whole_step(entry, (number, step), certainty);
        let Some(elapsed) = run.and_then(|run| elapsed(run, now)) else { return whole };
        if elapsed < whole {
            return whole - elapsed;
        }
        let run_time = self.run_time(entry, number);
        run_time.map_or(Duration::ZERO, |time| time.remaining(elapsed, certainty))
    }

    /// Records how long a run lasted. Runs resumed from a checkpoint are left out, as they may have
    /// done only a part of the work. One that was found rather than ordered may be older than is
    /// known, so it counts as cut off.
    pub(super) fn record_run_time(
        &mut self,
        end: &End,
        step: &Step,
        allocation: &Allocation,
        now: Instant,
    ) {
        if step.long_running || allocation.is_resumed {
            return;
        }
        let lasted = now.saturating_duration_since(allocation.ordered_at);
        let is_done = end.outcome == Outcome::Done && !allocation.adopted;
        self.observe(end.task, step, lasted, is_done);
        if is_done {
            self.record_own_run(end.task, step, lasted);
        }
    }

    fn record_own_run(&mut self, name: TaskName, step: &Step, lasted: Duration) {
        if let Some(entry) = self.jobs.get_mut(&name.job)
            && step.estimate_ms > 0
        {
            let ratio = lasted.as_secs_f64() * 1_000.0 / step.estimate_ms as f64;
            entry.own_runs = Some(OwnRuns::add(entry.own_runs, ratio));
        }
    }

    /// Records a run that is over without an end: its worker is lost, or it was stopped. It has
    /// lasted at least until its progress was last reported.
    pub(super) fn record_cut_off(&mut self, name: TaskName, allocation: &Allocation) {
        let step = self.jobs.get(&name.job).and_then(|entry| entry.step(name.step)).cloned();
        let Some(step) = step else { return };
        if step.long_running || allocation.is_resumed || !allocation.confirmed {
            return;
        }
        let lasted = allocation.progressed_at.saturating_duration_since(allocation.ordered_at);
        self.observe(name, &step, lasted, false);
    }

    fn observe(&mut self, name: TaskName, step: &Step, lasted: Duration, is_done: bool) {
        let Some(entry) = self.jobs.get(&name.job) else { return };
        self.run_times.record(&Observation {
            queue: &entry.accepted.queue,
            step: name.step,
            estimate: Duration::from_millis(step.estimate_ms),
            lasted,
            is_done,
        });
    }
}

/// For how long the newest run of a step has lasted, if all its unfinished tasks run; `None`
/// otherwise, and if a run was found rather than ordered.
fn elapsed(run: &StepRun, now: Instant) -> Option<Duration> {
    if !run.open || !run.waiting.is_empty() {
        return None;
    }
    let mut newest = None;
    for task in run.tasks.iter().filter(|task| !task.done) {
        newest = newest.max(Some(task.ordered_at?));
    }
    Some(now.saturating_duration_since(newest?))
}
