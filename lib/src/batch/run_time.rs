//! Run times of tasks, learned from the runs of the same queue and step.
//!
//! Clients send an estimate with each step. It may be wrong by a factor, so decisions use the
//! distribution that the runs themselves have shown, as ratios to the estimates. While little is
//! known, the client's estimate counts; older runs fade. Only durations enter, so a clock that
//! steps changes nothing.

mod distribution;
mod ratios;
mod stored;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

pub use crate::batch::run_time::distribution::Distribution;
use crate::batch::run_time::ratios::Points;
use crate::batch::run_time::ratios::Prior;
use crate::batch::run_time::ratios::Ratios;
use crate::batch::run_time::stored::MAX_STEP;
pub use crate::batch::run_time::stored::StoredError;
use crate::batch::run_time::stored::StoredQueue;
pub use crate::batch::run_time::stored::StoredRunTimes;
use crate::batch::run_time::stored::StoredSeries;

/// Weight of the newest run in the mean ratio of run time to estimate.
const RATIO_WEIGHT: f64 = 0.05;
/// Range to which each ratio is clamped, so that a few outliers do not distort the mean.
const RATIO_BOUNDS: (f64, f64) = (0.3, 3.0);
/// What the ratios of steps without an estimate are counted from.
const NOMINAL_ESTIMATE: Duration = Duration::from_secs(1);
/// Series that are kept, some 2 KB each; the least recently seen one goes first.
const MAX_SERIES: usize = 256;
/// Weight from which on the learned quantiles bound the mean.
const TRUSTED_WEIGHT: f32 = 10.0;
/// Least time between two records in the store.
const STORE_INTERVAL: Duration = Duration::from_secs(10);
/// Weight from which on a series is stored.
const MIN_STORED_WEIGHT: f32 = 8.0;
/// A series is stored again once one of its quantiles has changed by this factor.
const STORED_CHANGE: f32 = 1.2;
/// Points of the quantiles 0.1, 0.5 and 0.9, whose change is looked at.
const COMPARED_POINTS: [usize; 3] = [2, 10, 18];

/// A run of a task that ended, or that was cut off.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Queue of the job.
    pub queue: &'a str,
    /// Number of the step within the job.
    pub step: u16,
    /// The client's estimate; zero if there is none.
    pub estimate: Duration,
    /// How long the run lasted.
    pub lasted: Duration,
    /// Whether the task was done. If not, it would have run for longer by an unknown time.
    pub is_done: bool,
}

/// The run times of each queue and step, as ratios to the clients' estimates.
#[derive(Default)]
pub struct RunTimes {
    queues: HashMap<String, Queue>,
    /// Number of runs recorded.
    recorded: u64,
    /// When they were last taken for the store; `None` if never.
    stored_at: Option<Instant>,
}

/// A step, and whether its clients send an estimate.
type SeriesKey = (u16, bool);

struct Queue {
    /// Mean ratio of all steps.
    mean_ratio: f64,
    series: BTreeMap<SeriesKey, Series>,
}

struct Series {
    ratios: Ratios,
    /// Number of the last run recorded.
    seen: u64,
    /// The quantiles that the store has; `None` if it has none.
    stored: Option<Points>,
}

/// What is known of a step, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of the step.
    pub step: u16,
    /// Ratios of run time to estimate that a tenth, a half and nine tenths of the runs do not
    /// exceed; run times in seconds if clients send no estimate.
    pub ratios: [f32; 3],
    /// Number of runs it rests on, the older ones counting for less.
    pub weight: f32,
}

fn key_of(step: u16, estimate: Duration) -> SeriesKey {
    (step.min(MAX_STEP), !estimate.is_zero())
}

fn prior_of((_, has_estimate): SeriesKey) -> Prior {
    if has_estimate { Prior::ESTIMATED } else { Prior::UNKNOWN }
}

impl RunTimes {
    /// Records a run.
    pub fn record(&mut self, run: &Observation<'_>) {
        self.recorded += 1;
        let key = key_of(run.step, run.estimate);
        let base = if key.1 { run.estimate } else { NOMINAL_ESTIMATE };
        let ratio = run.lasted.as_secs_f64() / base.as_secs_f64();
        let is_known =
            self.queues.get(run.queue).is_some_and(|queue| queue.series.contains_key(&key));
        if !is_known {
            self.drop_oldest(MAX_SERIES - 1);
        }
        let queue = self.queues.entry(run.queue.to_owned());
        let queue = queue.or_insert(Queue { mean_ratio: 1.0, series: BTreeMap::new() });
        if run.is_done && key.1 {
            let clamped = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            queue.mean_ratio += RATIO_WEIGHT * (clamped - queue.mean_ratio);
        }
        let series = queue.series.entry(key).or_insert_with(|| Series {
            ratios: Ratios::new(prior_of(key)),
            seen: 0,
            stored: None,
        });
        series.ratios.add(ratio, run.is_done);
        series.seen = self.recorded;
    }

    /// The run time of a task of this queue and step with this estimate; zero if there is none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::run_time::RunTimes;
    /// let estimate = Duration::from_secs(2);
    /// let unknown = RunTimes::default().of("queue", 0, estimate);
    /// assert_eq!(unknown.mean(), estimate);
    /// ```
    pub fn of(&self, queue: &str, step: u16, estimate: Duration) -> Distribution {
        let key = key_of(step, estimate);
        let base = if key.1 { estimate } else { NOMINAL_ESTIMATE };
        let queue = self.queues.get(queue);
        let mean_ratio = queue.map_or(1.0, |queue| queue.mean_ratio);
        let Some(series) = queue.and_then(|queue| queue.series.get(&key)) else {
            let points = prior_of(key).points();
            return Distribution { mean: estimate.mul_f64(mean_ratio), base, points, weight: 0.0 };
        };
        let (points, weight) = (*series.ratios.points(), series.ratios.weight());
        let mean = mean(&points, weight, key.1, mean_ratio);
        Distribution { mean: base.mul_f64(mean), base, points, weight }
    }

    /// What is known of the steps of a queue; empty if nothing is.
    pub fn summaries(&self, queue: &str) -> Vec<Summary> {
        let series = self.queues.get(queue).into_iter().flat_map(|queue| &queue.series);
        let summaries = series.map(|((step, _), series)| {
            let points = series.ratios.points();
            let ratios = COMPARED_POINTS.map(|point| points[point]);
            Summary { step: *step, ratios, weight: series.ratios.weight() }
        });
        summaries.collect()
    }

    /// Drops the series that were not seen for longest until no more than `count` are left.
    fn drop_oldest(&mut self, count: usize) {
        while self.queues.values().map(|queue| queue.series.len()).sum::<usize>() > count {
            let all = self.queues.iter().flat_map(|(name, queue)| {
                queue.series.iter().map(move |(key, series)| (series.seen, name, *key))
            });
            let Some((_, name, key)) = all.min() else { return };
            let name = name.clone();
            if let Some(queue) = self.queues.get_mut(&name) {
                queue.series.remove(&key);
            }
            self.queues.retain(|_, queue| !queue.series.is_empty());
        }
    }

    /// What the store should keep, if that has changed enough and the last time was long enough
    /// ago; at once for the first time.
    pub fn take_for_store(&mut self, now: Instant) -> Option<StoredRunTimes> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < STORE_INTERVAL;
        if self.stored_at.is_some_and(is_recent) {
            return None;
        }
        let mut series = self.queues.values().flat_map(|queue| queue.series.values());
        if !series.any(Series::has_changed) {
            return None;
        }
        self.stored_at = Some(now);
        for series in self.queues.values_mut().flat_map(|queue| queue.series.values_mut()) {
            if series.ratios.weight() >= MIN_STORED_WEIGHT {
                series.stored = Some(*series.ratios.points());
            }
        }
        Some(self.to_stored())
    }

    fn to_stored(&self) -> StoredRunTimes {
        let series = self.queues.values().flat_map(|queue| queue.series.values());
        let known = series.filter(|series| series.ratios.weight() >= MIN_STORED_WEIGHT);
        let mut seen: Vec<u64> = known.map(|series| series.seen).collect();
        seen.sort_unstable_by_key(|seen| std::cmp::Reverse(*seen));
        let oldest = seen.get(stored::MAX_STORED_SERIES - 1).copied().unwrap_or(0);
        let stored = |(key, series): (&SeriesKey, &Series)| {
            let is_stored = series.ratios.weight() >= MIN_STORED_WEIGHT && series.seen >= oldest;
            is_stored.then(|| series.to_stored(*key))
        };
        let queues = self.queues.iter().map(|(name, queue)| StoredQueue {
            name: name.clone(),
            mean_ratio: queue.mean_ratio as f32,
            series: queue.series.iter().filter_map(stored).collect(),
        });
        let mut queues: Vec<StoredQueue> =
            queues.filter(|queue| !queue.series.is_empty()).collect();
        queues.sort_by(|one, other| one.name.cmp(&other.name));
        StoredRunTimes { version: stored::VERSION, queues }
    }

    /// What an earlier leader had learned. The values must be valid:
    /// [`StoredRunTimes::validate`].
    pub fn restore(stored: &StoredRunTimes) -> RunTimes {
        let queues = stored.queues.iter().map(|queue| {
            let series = queue
                .series
                .iter()
                .map(|series| ((series.step, series.has_estimate), Series::restore(series)));
            let mean_ratio = f64::from(queue.mean_ratio);
            (queue.name.clone(), Queue { mean_ratio, series: series.collect() })
        });
        RunTimes { queues: queues.collect(), recorded: 0, stored_at: None }
    }
}

/// The mean ratio. The queue's counts, within what its step has shown; without an estimate only the
/// latter does, and nothing before the first run.
fn mean(points: &Points, weight: f32, has_estimate: bool, mean_ratio: f64) -> f64 {
    let low = f64::from(points[COMPARED_POINTS[0]]);
    let high = f64::from(points[COMPARED_POINTS[2]]);
    if !has_estimate {
        let sum: f64 = points.iter().map(|point| f64::from(*point)).sum();
        return if weight > 0.0 { (sum / points.len() as f64).clamp(low, high) } else { 0.0 };
    }
    if weight < TRUSTED_WEIGHT { mean_ratio } else { mean_ratio.clamp(low, high) }
}

impl Series {
    /// Whether the store should have it and has not, or something else.
    fn has_changed(&self) -> bool {
        if self.ratios.weight() < MIN_STORED_WEIGHT {
            return false;
        }
        let Some(stored) = &self.stored else { return true };
        let points = self.ratios.points();
        COMPARED_POINTS.into_iter().any(|point| {
            let change = points[point] / stored[point];
            !(1.0 / STORED_CHANGE..=STORED_CHANGE).contains(&change)
        })
    }

    fn to_stored(&self, (step, has_estimate): SeriesKey) -> StoredSeries {
        let [ended, cut_off] =
            self.ratios.buckets().map(|buckets| stored::stored_buckets(&buckets));
        let weight = stored::stored_weight(self.ratios.weight());
        StoredSeries { step, has_estimate, weight, ended, cut_off }
    }

    fn restore(stored: &StoredSeries) -> Series {
        let ended = stored::restored_buckets(&stored.ended);
        let cut_off = stored::restored_buckets(&stored.cut_off);
        let ratios = Ratios::restore(&ended, &cut_off, stored::restored_weight(stored.weight));
        Series { stored: Some(*ratios.points()), ratios, seen: 0 }
    }
}
