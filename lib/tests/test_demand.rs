//! Estimates of arriving work.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::demand::Demand;
use spokelift_lib::batch::job::Entry;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::run_time::RunTimes;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Job;
use spokelift_platform::job::Step;

/// A job whose work is one core for one second.
fn entry() -> Entry {
    let step = Step { count: 2, cpu: 1_000, estimate_ms: 500, ..Step::default() };
    let job = Job {
        spec: String::new(),
        steps: vec![step],
        repetitions: 0,
        first_run_ms: 0,
        interval_ms: 0,
    };
    let accepted = Accepted {
        job,
        queue: "q".to_owned(),
        service: "work".to_owned(),
        priority: 0,
        max_attempts: 1,
        needs_advice: false,
        objective_ms: 600,
        stretch_percent: 160,
        at: Duration::ZERO,
        account: None,
    };
    Entry::new(1, accepted)
}

/// Adds jobs at even intervals; returns the time after the last one.
fn arrive(demand: &mut Demand, from: Instant, per_s: u32, time: Duration) -> Instant {
    let gap = Duration::from_secs(1) / per_s;
    let count = (time.as_secs_f64() * f64::from(per_s)) as u32;
    for number in 0..count {
        demand.record_arrival(&entry(), &RunTimes::default(), from + gap * number);
    }
    from + time
}

fn cores(demand: &Demand, at: Instant) -> u64 {
    demand.rate("work", at) / 1_000
}

#[test]
fn the_rate_follows_a_rise_at_once_and_a_fall_slowly() {
    let mut demand = Demand::default();
    let now = arrive(&mut demand, clock::now(), 10, Duration::from_secs(6));
    assert!((9..=12).contains(&cores(&demand, now)), "{}", cores(&demand, now));
    let now = arrive(&mut demand, now, 40, Duration::from_millis(500));
    assert!(cores(&demand, now) > 23, "{}", cores(&demand, now));
    let later = now + Duration::from_millis(1_000);
    assert!(cores(&demand, later) > 7, "{}", cores(&demand, later));
    assert_eq!(demand.rate("another", later), 0);
}
