//! Workers that crash together are weak evidence against the tasks on them.
//!
//! Guards against this failure: three in ten workers of a service crash at the same time, every
//! 3 s. Some tasks have just started on one of them each time and look like tasks that crash their
//! workers. They are abandoned after two crashes, and a job of 24 long-running tasks fails as a
//! whole because of one of them. It comes about if each crash is judged alone, although a tenth of
//! all workers or more crash beside it, which no task on one of them explains. In the log, `worker
//! crashed` appears 95 times within 0.6 s, and tasks on two of these workers are abandoned although
//! no task crashes workers.

use spokelift_testutils::batch::simulation::Load;
use spokelift_testutils::batch::simulation::Outcomes;
use spokelift_testutils::batch::simulation::simulate_with_long_running;

/// Long-running jobs, of six tasks each.
const LONG_RUNNING_JOBS: u64 = 8;

fn run_all(load: Load) -> Outcomes {
    let mut sum = Outcomes::default();
    for seed in 1..=40 {
        sum.add(&simulate_with_long_running(load, LONG_RUNNING_JOBS, seed));
    }
    println!("{sum:?}");
    sum
}

#[test]
fn no_job_is_abandoned_for_correlated_crashes() {
    let sum = run_all(Load { jobs_per_s: 14.0, poison_fraction: 0.0, crash_fraction: 0.3 });
    assert_eq!(sum.long_running_abandoned, 0, "{sum:?}");
    // One job in two thousand: a task of 0.64 s is hit by five such crashes in a row less often.
    assert!(sum.abandoned * 2_000 <= sum.normal, "{sum:?}");
    assert_eq!(sum.done + sum.abandoned, sum.normal, "{sum:?}");
}

#[test]
fn long_running_jobs_survive_correlated_crashes() {
    // Little else runs, so a worker is rarely polled between a start and the next crash.
    let sum = run_all(Load { jobs_per_s: 1.0, poison_fraction: 0.0, crash_fraction: 0.3 });
    assert_eq!(sum.long_running_abandoned, 0, "{sum:?}");
    assert_eq!(sum.abandoned, 0, "{sum:?}");
}

#[test]
fn poison_tasks_are_abandoned_within_the_limit_among_correlated_crashes() {
    let sum = run_all(Load { jobs_per_s: 14.0, poison_fraction: 0.03, crash_fraction: 0.3 });
    assert!(sum.poison > 50, "{sum:?}");
    assert!(sum.max_starts <= 5, "{sum:?}");
    assert_eq!(sum.poison_not_abandoned, 0, "{sum:?}");
    assert_eq!(sum.long_running_abandoned, 0, "{sum:?}");
    assert!(sum.abandoned * 500 <= sum.normal, "{sum:?}");
}
