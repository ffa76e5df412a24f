//! Health of the store as seen by the appends of jobs, and the delays that clients get from it.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::commit::StoreHealth;
use spokelift_lib::transport::clock;

const SECOND: Duration = Duration::from_secs(1);

/// The health after appends that succeeded or failed after a second each.
fn after(start: Instant, appends: &[bool]) -> StoreHealth {
    let mut health = StoreHealth::default();
    for (number, has_succeeded) in appends.iter().enumerate() {
        health.start_append(start + SECOND * number as u32);
        health.finish_append(start + SECOND * (number as u32 + 1), *has_succeeded);
    }
    health
}

#[test]
fn a_job_waits_for_the_append_in_flight_and_its_own() {
    let start = clock::now();
    let mut health = after(start, &[true]);
    assert_eq!(health.expected_wait(start + SECOND), SECOND);
    health.start_append(start + SECOND);
    assert_eq!(health.expected_wait(start + SECOND), SECOND * 2);
    assert_eq!(health.expected_wait(start + SECOND.mul_f64(1.5)), SECOND.mul_f64(1.5));
}

#[test]
fn an_old_or_failed_append_predicts_no_wait() {
    let start = clock::now();
    assert_eq!(after(start, &[true]).expected_wait(start + SECOND * 3), Duration::ZERO);
    assert_eq!(after(start, &[true, false]).expected_wait(start + SECOND * 2), Duration::ZERO);
}

#[test]
fn an_outage_lasts_from_its_first_failure_to_the_next_successful_append() {
    let start = clock::now();
    assert_eq!(after(start, &[true]).outage_duration(start + SECOND), None);
    let health = after(start, &[true, false, false]);
    assert_eq!(health.outage_duration(start + SECOND * 3), Some(SECOND));
    assert_eq!(after(start, &[false, true]).outage_duration(start + SECOND * 2), None);
}

#[test]
fn clients_retry_after_about_the_length_of_the_outage() {
    let start = clock::now();
    let health = after(start, &[false]);
    let retry_after_s = |seconds: f64| health.retry_after(start + SECOND + SECOND.mul_f64(seconds));
    assert_eq!(retry_after_s(0.1), Duration::from_millis(800));
    assert_eq!(retry_after_s(2.0), SECOND * 2);
    assert_eq!(retry_after_s(60.0), Duration::from_millis(2_500));
}
