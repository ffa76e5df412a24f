//! Rate of arriving work for each service, and actual run times against estimates.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::job::Entry;

/// Time in which an arrival's weight falls to 1/e. Load shifts between services within seconds; a
/// machine takes about two to be moved.
const ARRIVAL_DECAY: Duration = Duration::from_millis(1_500);
/// The same for the estimate that follows a rise first. It is noisy, so it counts only where it is
/// the higher one: an unneeded machine costs little, one that comes late costs jobs.
const SHORT_ARRIVAL_DECAY: Duration = Duration::from_millis(600);
/// Weight of the newest run in the mean ratio of run time to estimate.
const RUN_TIME_RATIO_WEIGHT: f64 = 0.05;
/// Range to which each ratio is clamped, so that a few outliers do not distort the mean.
const RUN_TIME_RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);

/// Arriving work of one service.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Decayed work, in thousandths of a core times milliseconds.
    work: f64,
    /// The same with the shorter decay time.
    recent_work: f64,
    at: Instant,
}

/// Estimates of arriving work and run times.
#[derive(Default)]
pub struct Demand {
    arrivals: HashMap<String, Arrival>,
    /// Mean ratio of actual run time to the client's estimate, by queue.
    run_time_ratios: HashMap<String, f64>,
}

impl Demand {
    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, entry: &Entry, now: Instant) {
        let ratio = self.run_time_ratio(&entry.accepted.queue);
        let finite_steps =
            entry.accepted.job.steps.iter().filter(|step| !step.long_running && !step.best_effort);
        let work: f64 = finite_steps
            .map(|step| f64::from(step.count) * f64::from(step.cpu) * step.estimate_ms as f64)
            .sum();
        let arrival = self.arrivals.entry(entry.accepted.service.clone());
        let arrival = arrival.or_insert(Arrival { work: 0.0, recent_work: 0.0, at: now });
        let age = now.saturating_duration_since(arrival.at);
        arrival.work = decayed(arrival.work, age, ARRIVAL_DECAY) + work * ratio;
        arrival.recent_work = decayed(arrival.recent_work, age, SHORT_ARRIVAL_DECAY) + work * ratio;
        arrival.at = now;
    }

    /// Records how long a finished run took, with the client's estimate.
    pub fn record_run(&mut self, queue: &str, estimate: Duration, run_time: Duration) {
        if estimate.is_zero() {
            return;
        }
        let ratio = run_time.as_secs_f64() / estimate.as_secs_f64();
        let mean = self.run_time_ratios.entry(queue.to_owned()).or_insert(1.0);
        *mean += RUN_TIME_RATIO_WEIGHT
            * (ratio.clamp(RUN_TIME_RATIO_BOUNDS.0, RUN_TIME_RATIO_BOUNDS.1) - *mean);
    }

    /// Mean ratio of actual run time to the client's estimate; 1 if no run was recorded.
    pub fn run_time_ratio(&self, queue: &str) -> f64 {
        self.run_time_ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// CPU that the arriving work of a service keeps busy, in thousandths of a core.
    pub fn rate(&self, service: &str, now: Instant) -> u64 {
        let Some(arrival) = self.arrivals.get(service) else { return 0 };
        let age = now.saturating_duration_since(arrival.at);
        let steady = decayed(arrival.work, age, ARRIVAL_DECAY) / ARRIVAL_DECAY.as_millis() as f64;
        let recent = decayed(arrival.recent_work, age, SHORT_ARRIVAL_DECAY)
            / SHORT_ARRIVAL_DECAY.as_millis() as f64;
        steady.max(recent) as u64
    }
}

/// Decays a weighted sum by `age`.
fn decayed(work: f64, age: Duration, decay_time: Duration) -> f64 {
    work * (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
