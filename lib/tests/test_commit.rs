//! What is known of the pace at which jobs are written, and what clients are told by it.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::commit::StoreHealth;
use spokelift_lib::transport::clock;

const SECOND: Duration = Duration::from_secs(1);

/// The pace after appends that took a second each, or failed after one.
fn after(start: Instant, appends: &[bool]) -> StoreHealth {
    let mut pace = StoreHealth::default();
    for (number, is_done) in appends.iter().enumerate() {
        pace.start_append(start + SECOND * number as u32);
        pace.finish_append(start + SECOND * (number as u32 + 1), *is_done);
    }
    pace
}

#[test]
fn a_job_waits_for_the_append_under_way_and_its_own() {
    let start = clock::now();
    let mut pace = after(start, &[true]);
    assert_eq!(pace.expected_wait(start + SECOND), SECOND);
    pace.start_append(start + SECOND);
    assert_eq!(pace.expected_wait(start + SECOND), SECOND * 2);
    assert_eq!(pace.expected_wait(start + SECOND.mul_f64(1.5)), SECOND.mul_f64(1.5));
}

#[test]
fn a_pace_that_is_old_or_failed_refuses_nobody() {
    let start = clock::now();
    assert_eq!(after(start, &[true]).expected_wait(start + SECOND * 3), Duration::ZERO);
    assert_eq!(after(start, &[true, false]).expected_wait(start + SECOND * 2), Duration::ZERO);
}

#[test]
fn an_outage_lasts_from_its_first_failure_to_the_next_append_that_is_done() {
    let start = clock::now();
    assert_eq!(after(start, &[true]).outage_duration(start + SECOND), None);
    let pace = after(start, &[true, false, false]);
    assert_eq!(pace.outage_duration(start + SECOND * 3), Some(SECOND));
    assert_eq!(after(start, &[false, true]).outage_duration(start + SECOND * 2), None);
}

#[test]
fn clients_come_back_after_about_as_long_as_the_store_has_been_away() {
    let start = clock::now();
    let pace = after(start, &[false]);
    let come_back = |seconds: f64| pace.retry_after(start + SECOND + SECOND.mul_f64(seconds));
    assert_eq!(come_back(0.1), Duration::from_millis(800));
    assert_eq!(come_back(2.0), SECOND * 2);
    assert_eq!(come_back(60.0), Duration::from_millis(2_500));
}
