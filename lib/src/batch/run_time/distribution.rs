//! The distribution of the run time of one task.

use std::time::Duration;

use crate::batch::run_time::ratios::POINT_COUNT;
use crate::batch::run_time::ratios::Points;

/// The distribution of the run time of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    pub(super) mean: Duration,
    /// What the ratios are counted from.
    pub(super) base: Duration,
    pub(super) points: Points,
    pub(super) weight: f32,
}

/// The longest time that is told; a ratio of an estimate near the largest number would overflow.
const MAX_RUN_TIME: Duration = Duration::from_secs(30 * 24 * 3_600);

impl Distribution {
    /// The mean.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Number of runs that it rests on, the older ones counting for less.
    pub fn weight(&self) -> f32 {
        self.weight
    }

    /// The run time that this fraction of the runs does not exceed.
    pub fn quantile(&self, fraction: f64) -> Duration {
        let place = fraction.clamp(0.0, 1.0) * (POINT_COUNT - 1) as f64;
        let (before, part) = (place as usize, place.fract());
        let low = f64::from(self.points[before]);
        let high = f64::from(self.points[(before + 1).min(POINT_COUNT - 1)]);
        let time = self.base.as_secs_f64() * (low + (high - low) * part);
        Duration::from_secs_f64(time.min(MAX_RUN_TIME.as_secs_f64()))
    }

    /// The fraction of the runs that do not exceed this run time.
    pub fn fraction_within(&self, time: Duration) -> f64 {
        let ratio = time.as_secs_f64() / self.base.as_secs_f64().max(f64::MIN_POSITIVE);
        let last = (POINT_COUNT - 1) as f64;
        let above = self.points.partition_point(|point| f64::from(*point) <= ratio);
        if above == 0 || above == POINT_COUNT {
            return if above == 0 { 0.0 } else { 1.0 };
        }
        let (low, high) = (f64::from(self.points[above - 1]), f64::from(self.points[above]));
        ((above - 1) as f64 + (ratio - low) / (high - low)) / last
    }

    /// The certainty, a fraction of 1, that a run which has lasted `elapsed` ends within `time`.
    pub fn certainty_of_end(&self, elapsed: Duration, time: Duration) -> f64 {
        let before = self.fraction_within(elapsed);
        if before >= 1.0 {
            let total = (elapsed + time).as_secs_f64().max(f64::MIN_POSITIVE);
            return time.as_secs_f64() / total;
        }
        (self.fraction_within(elapsed.saturating_add(time)) - before) / (1.0 - before)
    }

    /// The time after which a run that has lasted `elapsed` will have ended with this certainty, a
    /// fraction of 1. Of a run that has outlasted all known ones, it is assumed that it lasts up to
    /// as long again.
    pub fn remaining(&self, elapsed: Duration, certainty: f64) -> Duration {
        let before = self.fraction_within(elapsed);
        if before >= 1.0 {
            return elapsed.min(MAX_RUN_TIME).mul_f64(certainty.clamp(0.0, 1.0));
        }
        self.quantile(before + certainty * (1.0 - before)).saturating_sub(elapsed)
    }
}
