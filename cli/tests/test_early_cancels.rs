//! Cancels that reach the leader before their jobs, with real daemons on the stand-in platform.

use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::JOB_TOPIC;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_testutils::batch;
use spokelift_testutils::platform::site::Site;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const NODES: usize = 2;
/// The partition of the jobs' records; cancels are in the first one.
const PARTITION: u16 = 3;
const JOB: JobId = 0xd000;
/// A job that arrives after [`JOB`].
const NEXT_JOB: JobId = 0xd001;

fn text(id: JobId) -> String {
    format!("{id:016x}")
}

/// Writes the record of a long-running job to the store, as a node does that accepts it.
fn put_job(site: &Site, id: JobId) {
    let step = Step { count: 1, cpu: 100, memory_mb: 10, long_running: true, ..Step::default() };
    let record = record::accepted(id, &batch::accepted(vec![step]));
    site.store.put(record::job_partition(PARTITION), record);
}

/// Waits until the leader has read [`JOB`], which was cancelled, and a task of the next job runs; then checks that
/// none of the first one was started.
async fn assert_never_started(site: &Site) {
    put_job(site, NEXT_JOB);
    site.wait_until("the next job runs", async |site| {
        site.ledger.running_tasks(&text(NEXT_JOB)) > 0
    })
    .await;
    site.wait_until("the first one is shown as cancelled", async |site| {
        site.job_state(0, &text(JOB)).await.as_deref() == Ok("canceled")
    })
    .await;
    assert_eq!(site.ledger.starts_of(&text(JOB)), 0);
}

/// Guards against dropping a cancel that a node has written to the store, and acknowledged, if the
/// leader reads it before the job: its partition may be the only one that can be read.
#[tokio::test]
async fn a_cancel_that_is_read_before_its_job_cancels_it() {
    let site = Site::start(PROGRAM, NODES, 1, 0).await.unwrap();
    site.store.put(JOB_TOPIC, record::cancel(JOB, &Caller::Operator));
    site.wait_until("the leader has read the cancel", async |site| {
        let leader = site.leader().expect("a node leads");
        site.metrics(leader).await.is_some_and(|text| text.contains("batch_cancel_kept"))
    })
    .await;
    put_job(&site, JOB);
    assert_never_started(&site).await;
}

/// Has the leader replaced by the other node.
async fn replace_leader(site: &Site) {
    let leader = site.leader().expect("a node leads");
    site.nodes[leader].kill();
    let other = (leader + 1) % NODES;
    // What it says of a job it says only once it has read the store.
    site.wait_until("another node leads, and has read the store", async |site| {
        site.leader() == Some(other) && site.job_state(other, &text(NEXT_JOB)).await == Err(410)
    })
    .await;
    site.nodes[leader].start().unwrap();
}

/// The same, if the cancel is known only to a leader that is lost before the job arrives.
#[tokio::test]
async fn a_cancel_that_is_read_before_its_job_outlives_its_leader() {
    let site = Site::start(PROGRAM, NODES, 1, 0).await.unwrap();
    site.store.put(JOB_TOPIC, record::cancel(JOB, &Caller::Operator));
    replace_leader(&site).await;
    put_job(&site, JOB);
    assert_never_started(&site).await;
}

/// Guards against forgetting a cancel that was answered with 410: the record of the job may still be
/// on its way to the store, since a write without an answer may be carried out seconds later.
#[tokio::test]
async fn a_job_whose_cancel_was_answered_410_is_never_started() {
    let site = Site::start(PROGRAM, NODES, 1, 0).await.unwrap();
    assert_eq!(site.cancel(0, &text(JOB)).await, 410);
    put_job(&site, JOB);
    assert_never_started(&site).await;
}

/// The same, if the leader that gave the answer is lost before the job arrives.
#[tokio::test]
async fn a_cancel_that_was_answered_410_outlives_its_leader() {
    let site = Site::start(PROGRAM, NODES, 1, 0).await.unwrap();
    assert_eq!(site.cancel(0, &text(JOB)).await, 410);
    replace_leader(&site).await;
    put_job(&site, JOB);
    assert_never_started(&site).await;
}
