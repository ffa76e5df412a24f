//! Rate of arriving work for each service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::job::Entry;
use crate::batch::run_time::RunTimes;

/// Time in which an arrival's weight falls to 1/e. Load shifts between services within seconds; a
/// machine takes about two to be moved.
const ARRIVAL_DECAY: Duration = Duration::from_millis(1_500);
/// The same for the estimate that follows a rise first. It is noisy, so it counts only where it is
/// the higher one: an unneeded machine costs little, one that comes late costs jobs.
const SHORT_ARRIVAL_DECAY: Duration = Duration::from_millis(600);

/// Arriving work of one service.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Decayed work, in thousandths of a core times milliseconds.
    work: f64,
    /// The same with the shorter decay time.
    recent_work: f64,
    at: Instant,
}

/// Estimates of arriving work.
#[derive(Default)]
pub struct Demand {
    arrivals: HashMap<String, Arrival>,
}

impl Demand {
    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, entry: &Entry, run_times: &RunTimes, now: Instant) {
        let work = finite_work(entry, run_times);
        let arrival = self.arrivals.entry(entry.accepted.service.clone());
        let arrival = arrival.or_insert(Arrival { work: 0.0, recent_work: 0.0, at: now });
        let age = now.saturating_duration_since(arrival.at);
        arrival.work = decayed(arrival.work, age, ARRIVAL_DECAY) + work;
        arrival.recent_work = decayed(arrival.recent_work, age, SHORT_ARRIVAL_DECAY) + work;
        arrival.at = now;
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

/// Work of a job's steps that end by themselves, in thousandths of a core times milliseconds.
fn finite_work(entry: &Entry, run_times: &RunTimes) -> f64 {
    let steps = (0..).zip(&entry.accepted.job.steps);
    let finite_steps = steps.filter(|(_, step)| !step.long_running && !step.best_effort);
    let work = finite_steps.map(|(number, step)| {
        let estimate = Duration::from_millis(step.estimate_ms);
        let run_time = run_times.of(&entry.accepted.queue, number, estimate).mean();
        f64::from(step.count) * f64::from(step.cpu) * run_time.as_secs_f64() * 1_000.0
    });
    work.sum()
}

/// Decays a weighted sum by `age`.
fn decayed(work: f64, age: Duration, decay_time: Duration) -> f64 {
    work * (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
