//! How much work arrives for each service, and how long its tasks really run.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::job::Entry;

/// Time in which an arrival's weight falls to 1/e. Loads turn from service to service within
/// seconds; a machine takes about two to be moved.
const ARRIVAL_DECAY: Duration = Duration::from_millis(1_500);
/// The same for the estimate that sees a rise first. It scatters, so it counts only where it is the
/// higher one: a machine too many costs little, one that comes late costs jobs.
const SHORT_ARRIVAL_DECAY: Duration = Duration::from_millis(600);
/// Weight of the newest run in the mean of run times against guesses.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.05;
/// Bounds of that mean, so that a few odd runs do not mislead.
const RUN_TIME_RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);

/// Work that arrives, for one service.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Weighted work, in thousandths of a core times milliseconds.
    work: f64,
    /// The same with the shorter memory.
    recent_work: f64,
    at: Instant,
}

/// What is learned of arrivals and run times.
#[derive(Default)]
pub struct Demand {
    arrivals: HashMap<String, Arrival>,
    /// Mean of true run time over the client's guess, by queue.
    run_time_ratios: HashMap<String, f64>,
}

impl Demand {
    /// A job has arrived.
    pub fn record_arrival(&mut self, entry: &Entry, now: Instant) {
        let ratio = self.run_time_ratio(&entry.accepted.queue);
        let ends =
            entry.accepted.job.steps.iter().filter(|step| !step.long_running && !step.best_effort);
        let work: f64 = ends
            .map(|step| f64::from(step.count) * f64::from(step.cpu) * step.estimate_ms as f64)
            .sum();
        let rate = self.arrivals.entry(entry.accepted.service.clone());
        let rate = rate.or_insert(Arrival { work: 0.0, recent_work: 0.0, at: now });
        let age = now.saturating_duration_since(rate.at);
        rate.work = decayed(rate.work, age, ARRIVAL_DECAY) + work * ratio;
        rate.recent_work = decayed(rate.recent_work, age, SHORT_ARRIVAL_DECAY) + work * ratio;
        rate.at = now;
    }

    /// A task guessed to run for `guess` has run for `took`.
    pub fn record_run(&mut self, queue: &str, guess: Duration, took: Duration) {
        if guess.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / guess.as_secs_f64();
        let mean = self.run_time_ratios.entry(queue.to_owned()).or_insert(1.0);
        *mean += RUN_TIME_RATIO_WEIGHT
            * (ratio.clamp(RUN_TIME_RATIO_BOUNDS.0, RUN_TIME_RATIO_BOUNDS.1) - *mean);
    }

    /// Mean of true run time over the client's guess.
    pub fn run_time_ratio(&self, queue: &str) -> f64 {
        self.run_time_ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Processor that the arriving work of a service keeps busy, in thousandths of a core.
    pub fn rate(&self, service: &str, now: Instant) -> u64 {
        let Some(arrival) = self.arrivals.get(service) else { return 0 };
        let age = now.saturating_duration_since(arrival.at);
        let steady = decayed(arrival.work, age, ARRIVAL_DECAY) / ARRIVAL_DECAY.as_millis() as f64;
        let recent = decayed(arrival.recent_work, age, SHORT_ARRIVAL_DECAY)
            / SHORT_ARRIVAL_DECAY.as_millis() as f64;
        steady.max(recent) as u64
    }
}

/// What is left of a weighted sum after a time.
fn decayed(work: f64, age: Duration, memory: Duration) -> f64 {
    work * (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
