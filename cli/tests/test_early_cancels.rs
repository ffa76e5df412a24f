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

/// The same, if the cancel is known only to a leader that is lost before the job arrives.
#[tokio::test]
async fn a_cancel_that_is_read_before_its_job_outlives_its_leader() {
    let site = Site::start(PROGRAM, NODES, 1, 0).await.unwrap();
    site.store.put(JOB_TOPIC, record::cancel(JOB, &Caller::Operator));
    let leader = site.leader().expect("a node leads");
    site.nodes[leader].kill();
    site.wait_until("another node leads", async |site| site.leader() != Some(leader)).await;
    site.nodes[leader].start().unwrap();
    put_job(&site, JOB);
    assert_never_started(&site).await;
}
