//! Cancels that reach the scheduler before their jobs: they apply when the jobs arrive.

use std::time::Duration;

use assert_matches::assert_matches;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::JobKey;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::transport::clock;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch;
use spokelift_testutils::batch::unused_addr;

const JOB: JobId = 1;
const WORKER: &str = "w0";

/// A scheduler with one idle worker.
fn cell() -> Cell {
    let mut cell = Cell::new(7);
    let now = clock::now();
    let peer = Peer { incarnation: WORKER.into(), addr: unused_addr() };
    cell.discover(peer, batch::entry("m0", 4_000), now);
    let idle = PollResponse { clock: 1_000, running: vec![], ended: vec![], birth_ms: None };
    cell.on_poll(&WORKER.into(), now, now, idle);
    cell
}

fn job_of(account: Option<&str>) -> Accepted {
    let step = Step { count: 2, cpu: 100, long_running: true, ..Step::default() };
    Accepted { account: account.map(Into::into), ..batch::accepted(vec![step]) }
}

fn caller_of(account: &str) -> Caller {
    Caller::Account(account.into())
}

/// Number of tasks that the scheduler starts now.
fn place(cell: &mut Cell) -> usize {
    cell.outbox.clear();
    cell.place_ready(clock::now(), Duration::from_secs(1));
    cell.outbox.len()
}

/// Guards against dropping a cancel that is read before its job: the job would run for ever.
#[test]
fn a_job_that_was_cancelled_before_it_arrived_is_never_started() {
    for is_reported in [false, true] {
        let mut cell = cell();
        assert_eq!(cell.cancel_for(JOB, &Caller::Operator), None);
        match is_reported {
            true => assert!(cell.admit_reported(JOB, job_of(None))),
            false => assert!(cell.admit(JOB, job_of(None), None)),
        }
        assert_eq!(place(&mut cell), 0);
        assert_eq!(cell.jobs[&JOB].end, Some(JobState::Canceled));
        assert!(cell.long_running_jobs.is_empty());
        // The end is written like that of any cancelled job, and the cancel's record goes with it.
        let flush = cell.take_flush();
        assert_eq!(flush.ended_jobs, [JOB]);
        cell.on_flushed(&flush);
        cell.record_stored_in(JobKey { id: JOB, account: None }, 3);
        let later = clock::now() + Duration::from_secs(60);
        let finished = cell.finished_jobs(Duration::from_secs(1), later);
        assert_matches!(&finished[..], [job] if job.cancelled);
    }
}

#[test]
fn a_cancel_applies_only_to_a_job_of_its_account() {
    let mut cell = cell();
    assert_eq!(cell.cancel_for(JOB, &caller_of("b")), None);
    assert!(cell.admit(JOB, job_of(Some("a")), None));
    assert!(cell.jobs[&JOB].is_active());
}

#[test]
fn of_the_cancels_by_several_callers_one_that_may_cancel_is_enough() {
    let mut cell = cell();
    for account in ["b", "a", "c"] {
        assert_eq!(cell.cancel_for(JOB, &caller_of(account)), None);
    }
    assert!(cell.admit(JOB, job_of(Some("a")), None));
    assert_eq!(place(&mut cell), 0);
    assert_eq!(cell.jobs[&JOB].end, Some(JobState::Canceled));
}

#[test]
fn a_cancel_does_not_change_the_end_of_a_job_that_is_over() {
    let mut cell = cell();
    assert_eq!(cell.cancel_for(JOB, &Caller::Operator), None);
    let progress = Progress { end: Some(JobState::Succeeded), ..Progress::default() };
    assert!(cell.admit(JOB, job_of(None), Some(&progress)));
    assert_eq!(cell.jobs[&JOB].end, Some(JobState::Succeeded));
}

/// Guards against keeping the cancels of jobs that never arrive for ever, and against forgetting
/// one sooner than a job that was cancelled.
#[test]
fn a_cancel_is_kept_for_as_long_as_a_cancelled_job() {
    let mut cell = cell();
    let keep = Duration::from_secs(60);
    let kept = |cell: &Cell, after: Duration| {
        cell.early_cancels.older_than(keep, clock::now() + after).is_empty()
    };
    assert_eq!(cell.cancel_for(JOB, &caller_of("a")), None);
    assert!(kept(&cell, keep / 2));
    assert!(!kept(&cell, keep * 2));
    let old = cell.early_cancels.older_than(keep, clock::now() + keep * 2);
    assert_eq!(old, [(JOB, vec![caller_of("a")])]);
    cell.early_cancels.forget(JOB);
    assert!(kept(&cell, keep * 2));
    assert!(cell.admit(JOB, job_of(Some("a")), None));
    assert!(cell.jobs[&JOB].is_active());
}
