//! How the ledger judges a pool's budget while a box moves in.
//!
//! What happened: the trial counted one budget breach in about 125 runs. Pool `outreach` may have two boxes out; two of its
//! own were told to drain, and a third was on its way in from another pool: it had been told to drain there, had its new
//! jobs, and had not been told to serve yet. Nothing of `outreach` was out beyond the two: a box that has never served
//! there cannot be missed.
//! Shown by the trial's line `budget breach at 4636 ms: box-025 is told to drain, outreach may have 2 out: box-001 told
//! Some(208) ms ago ..., box-025 ..., box-029 ...`, where box-001 is one of the two that the plan moved to `outreach`.

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
    ledger.jobs(&boxes[0], &[job("second")]);
    ledger.jobs(&boxes[1], &[job("second")]);
    ledger.jobs(&boxes[2], &[job("first")]);
    (ledger, boxes)
}

#[test]
fn a_box_that_moves_in_is_not_missed_before_it_serves() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.draining(&moving);
    ledger.jobs(&moving, &[]);
    ledger.jobs(&moving, &[job("second")]);
    ledger.draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 0);
}

#[test]
fn a_box_that_has_moved_in_is_missed_once_it_served() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.draining(&moving);
    ledger.jobs(&moving, &[]);
    ledger.jobs(&moving, &[job("second")]);
    ledger.resumed(&moving);
    ledger.draining(&moving);
    ledger.draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 1);
}

#[test]
fn a_box_that_gets_its_first_jobs_counts_at_once() {
    let (ledger, [one, _, moving]) = ledger();
    ledger.jobs(&moving, &[]);
    ledger.jobs(&moving, &[job("second")]);
    ledger.draining(&moving);
    ledger.draining(&one);
    assert_eq!(ledger.counts().budget_breaches, 1);
}

#[test]
fn a_box_counts_in_its_pool_until_it_has_left() {
    let (ledger, [one, two, moving]) = ledger();
    ledger.draining(&one);
    ledger.draining(&two);
    assert_eq!(ledger.counts().budget_breaches, 1);
    // It is out of its own pool, which may have one out, until its jobs are gone.
    ledger.draining(&moving);
    assert_eq!(ledger.counts().budget_breaches, 1);
}
