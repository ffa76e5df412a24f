//! How the ledger counts the budget of a pool while a box moves in.
//!
//! Guards against a false budget breach: a pool may have two boxes out, two of its own are
//! draining, and a third one is moving in from another pool. It was drained there and has received
//! its new jobs, but not yet the order to serve. A box that has never served in the pool does not
//! count as out of service there.

use spokelift_lib::state::id::BoxId;
use spokelift_lib::state::id::ServiceKey;
use spokelift_testutils::ledger::Ledger;
use spokelift_testutils::ledger::Pool;

fn job(name: &str) -> ServiceKey {
    ("account".into(), name.into())
}

fn pool(name: &str, service: &str, max_out: usize) -> Pool {
    Pool { name: name.to_owned(), services: vec![job(service)], max_out }
}

/// Two boxes of pool `b`, which may have one out, and one of pool `a`.
fn ledger() -> (Ledger, [BoxId; 3]) {
    let ledger = Ledger::new(vec![pool("a", "first", 1), pool("b", "second", 1)]);
    let boxes: [BoxId; 3] = ["b1".into(), "b2".into(), "a1".into()];
    ledger.record_jobs(&boxes[0], &[job("second")]);
    ledger.record_jobs(&boxes[1], &[job("second")]);
    ledger.record_jobs(&boxes[2], &[job("first")]);
    (ledger, boxes)
}

#[test]
fn a_box_that_moves_in_does_not_count_as_out_before_it_serves() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.record_draining(&moving);
    ledger.record_jobs(&moving, &[]);
    ledger.record_jobs(&moving, &[job("second")]);
    ledger.record_draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 0);
}

#[test]
fn a_box_that_has_moved_in_counts_as_out_once_it_has_served() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.record_draining(&moving);
    ledger.record_jobs(&moving, &[]);
    ledger.record_jobs(&moving, &[job("second")]);
    ledger.record_resumed(&moving);
    ledger.record_draining(&moving);
    ledger.record_draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 1);
}

#[test]
fn a_box_with_its_first_jobs_counts_at_once() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.record_jobs(&moving, &[]);
    ledger.record_jobs(&moving, &[job("second")]);
    ledger.record_draining(&moving);
    ledger.record_draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 1);
}

#[test]
fn a_box_counts_in_its_pool_until_it_has_left() {
    let (ledger, [one, two, moving]) = ledger();
    ledger.record_draining(&one);
    ledger.record_draining(&two);
    assert_eq!(ledger.counts().budget_breaches, 1);
    // It counts as out of its own pool, which may have one box out, until its jobs are removed.
    ledger.record_draining(&moving);
    assert_eq!(ledger.counts().budget_breaches, 1);
}
