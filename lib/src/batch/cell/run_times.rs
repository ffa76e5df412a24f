//! When tasks, jobs and workers are expected to be done, by the learned run times.

use std::time::Duration;
use std::time::Instant;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::run_time::Distribution;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

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

    /// The time that the unfinished steps of a repetition take one after another with this
    /// certainty, a fraction of 1, if each of their tasks starts as soon as it may.
    pub fn remaining_path(&self, entry: &Entry, repetition: u32, certainty: f64) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for (number, step) in (0u16..).zip(&entry.accepted.job.steps) {
            let before = step.after.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let start = before.max().copied().unwrap_or_default();
            let run = entry.find_step_run(repetition, number);
            let is_done = run.is_some_and(|run| run.left == 0);
            let own = if is_done { None } else { self.run_time(entry, number) };
            ends.push(start + own.map_or(Duration::ZERO, |own| own.quantile(certainty)));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
