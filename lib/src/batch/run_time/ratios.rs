//! A fading distribution of run times as ratios to the clients' estimates.
//!
//! Ratios are counted in buckets of equal width on a logarithmic scale. A run that was cut off says
//! only that it would have lasted longer, so the distribution is the product-limit estimate of the
//! survival function: such a run counts among those at risk up to its time, never as a short one.
//! Beyond the longest run that ended, nothing but the lower bounds of those that were cut off is
//! known; the distribution ends there.

/// Buckets that double the ratio.
const PER_OCTAVE: usize = 8;
/// Ratio at which the buckets begin, as a power of 2: seconds against an estimate of a day.
const FIRST_OCTAVE: i32 = -18;
/// Ratio at which the buckets end, as a power of 2.
const LAST_OCTAVE: i32 = 10;
/// Number of buckets.
pub(super) const BUCKETS: usize = (LAST_OCTAVE - FIRST_OCTAVE) as usize * PER_OCTAVE;
/// Part of the weight of all earlier runs that remains with each new one.
const KEPT_WEIGHT: f32 = 0.98;
/// Weight of what is assumed before the first run, in runs. It fades like they do.
const PRIOR_WEIGHT: f32 = 4.0;
/// Number of points of [`Points`], evenly spaced fractions from 0 to 1.
pub(super) const POINT_COUNT: usize = 21;

/// The ratios that evenly spaced fractions of the runs do not exceed, from fraction 0 to 1.
pub(super) type Points = [f32; POINT_COUNT];

/// What is assumed of ratios before any run: all between the two, evenly on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Prior {
    /// The lowest ratio, as a power of 2.
    pub(super) low: i32,
    /// The highest ratio, as a power of 2.
    pub(super) high: i32,
}

impl Prior {
    /// For a client's estimate.
    pub(super) const ESTIMATED: Prior = Prior { low: -1, high: 1 };
    /// For steps without an estimate, whose ratios count from a nominal one.
    pub(super) const UNKNOWN: Prior = Prior { low: -5, high: 5 };

    /// The distribution before any run.
    pub(super) fn points(self) -> Points {
        let span = f64::from(self.high - self.low);
        let point = |number| f64::from(self.low) + span * number as f64 / (POINT_COUNT - 1) as f64;
        std::array::from_fn(|number| point(number).exp2() as f32)
    }
}

/// Ratios of the runs of one queue and step.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Ratios {
    /// Weight of the runs that ended, by bucket.
    ended: [f32; BUCKETS],
    /// Weight of the runs that were cut off, by bucket.
    cut_off: [f32; BUCKETS],
    /// Weight of the runs that ended, without the prior.
    weight: f32,
    points: Points,
}

/// Lower bound of a bucket.
fn lower_bound(bucket: usize) -> f64 {
    (f64::from(FIRST_OCTAVE) + bucket as f64 / PER_OCTAVE as f64).exp2()
}

fn bucket_of(ratio: f64) -> usize {
    let number = (ratio.log2() - f64::from(FIRST_OCTAVE)) * PER_OCTAVE as f64;
    // A ratio of zero has an infinite logarithm; the conversion saturates.
    (number.max(0.0) as usize).min(BUCKETS - 1)
}

impl Ratios {
    /// No run yet.
    pub(super) fn new(prior: Prior) -> Ratios {
        let mut ended = [0.0; BUCKETS];
        let first = (prior.low - FIRST_OCTAVE) as usize * PER_OCTAVE;
        let last = (prior.high - FIRST_OCTAVE) as usize * PER_OCTAVE;
        ended[first..last].fill(PRIOR_WEIGHT / (last - first) as f32);
        Ratios { ended, cut_off: [0.0; BUCKETS], weight: 0.0, points: prior.points() }
    }

    /// Restores buckets that [`Ratios::buckets`] has returned. The weights must be finite and not
    /// negative, and one that ended must be above zero.
    pub(super) fn restore(ended: &[(usize, f32)], cut_off: &[(usize, f32)], weight: f32) -> Ratios {
        let filled = |weights: &[(usize, f32)]| {
            let mut buckets = [0.0; BUCKETS];
            weights.iter().for_each(|(bucket, weight)| buckets[*bucket] = *weight);
            buckets
        };
        let points = Prior::UNKNOWN.points();
        let mut ratios = Ratios { ended: filled(ended), cut_off: filled(cut_off), weight, points };
        ratios.compute_points();
        ratios
    }

    /// Buckets with their weights, where these are not zero: of runs that ended, and of those that
    /// were cut off.
    pub(super) fn buckets(&self) -> [Vec<(usize, f32)>; 2] {
        [&self.ended, &self.cut_off].map(|buckets| {
            let weights = buckets.iter().copied().enumerate();
            weights.filter(|(_, weight)| *weight > 0.0).collect()
        })
    }

    /// Adds a run: the ratio at which it was done, or up to which it had lasted when it was cut
    /// off.
    pub(super) fn add(&mut self, ratio: f64, is_done: bool) {
        for weight in self.ended.iter_mut().chain(&mut self.cut_off) {
            *weight *= KEPT_WEIGHT;
        }
        self.weight = self.weight * KEPT_WEIGHT + f32::from(u8::from(is_done));
        let buckets = if is_done { &mut self.ended } else { &mut self.cut_off };
        buckets[bucket_of(ratio)] += 1.0;
        self.compute_points();
    }

    /// Weight of the runs that ended; each counts for 1 when it is added and fades with later ones.
    pub(super) fn weight(&self) -> f32 {
        self.weight
    }

    /// The ratios that evenly spaced fractions of the runs do not exceed.
    pub(super) fn points(&self) -> &Points {
        &self.points
    }

    fn compute_points(&mut self) {
        let mut at_risk: f64 =
            self.ended.iter().chain(&self.cut_off).map(|weight| f64::from(*weight)).sum();
        let (mut survival, mut next) = (1.0, 0);
        for bucket in 0..BUCKETS {
            let ended = f64::from(self.ended[bucket]);
            let leaving = ended + f64::from(self.cut_off[bucket]);
            if leaving <= 0.0 {
                continue;
            }
            let before = 1.0 - survival;
            survival *= 1.0 - (ended / at_risk).min(1.0);
            at_risk = (at_risk - leaving).max(f64::MIN_POSITIVE);
            let after = 1.0 - survival;
            while next < POINT_COUNT && fraction_of(next) <= after {
                let part =
                    ((fraction_of(next) - before) / (after - before).max(1e-9)).clamp(0.0, 1.0);
                self.points[next] =
                    lower_bound(bucket) as f32 * (part / PER_OCTAVE as f64).exp2() as f32;
                next += 1;
            }
            if next < POINT_COUNT {
                // The end of the distribution, unless a later bucket is filled.
                self.points[next..].fill(lower_bound(bucket + 1) as f32);
            }
        }
    }
}

fn fraction_of(point: usize) -> f64 {
    point as f64 / (POINT_COUNT - 1) as f64
}
