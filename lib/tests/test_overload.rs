//! Overload: how many callers get their jobs done in time when more is asked than the workers can do.

use spokelift_testutils::batch::simulation::Load;
use spokelift_testutils::batch::simulation::Outcomes;
use spokelift_testutils::batch::simulation::simulate;

/// Jobs that the simulated workers can do in a second.
const CAPACITY_PER_S: f64 = 21.0;
const SEEDS: u64 = 2;

fn play(times: f64) -> Outcomes {
    let jobs_per_s = CAPACITY_PER_S * times;
    let load = Load { jobs_per_s, poison_fraction: 0.0, crash_fraction: 0.0 };
    let mut sum = Outcomes::default();
    (1..=SEEDS).for_each(|seed| sum.add(&simulate(load, seed)));
    println!("{times} times the capacity: {} of {} in time", sum.in_time, sum.normal);
    sum
}

/// Guards against an order of placement in which, once the queue is long, each job starts so late
/// that it is late: the workers are then busy with jobs that nobody waits for.
#[test]
fn an_overload_does_not_lower_the_number_of_jobs_in_time() {
    // What the workers can do in the 10 s of arrivals.
    let possible = CAPACITY_PER_S * 10.0 * SEEDS as f64;
    for times in [0.8, 1.5, 3.0] {
        let sum = play(times);
        let expected = f64::from(sum.normal).min(possible);
        assert!(f64::from(sum.in_time) >= 0.8 * expected, "{times}: {sum:?}");
    }
}
