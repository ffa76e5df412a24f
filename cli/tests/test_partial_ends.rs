//! Workers with more ended runs than one answer to a poll lists, with real daemons on the stand-in
//! platform.
//!
//! While the store is down, no end can be acknowledged, so the worker lists the same first ends in
//! each answer. A run that ended later is neither listed as running nor as ended. Guards against
//! taking such a run for one that is over without an end, so that a task that was done is started
//! again.

use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::store::Fault;
use spokelift_testutils::platform::worker::MAX_LISTED_ENDS;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const JOBS: u64 = 3;
const TASKS_PER_JOB: u32 = 500;
/// Number of tasks that are done before the store is back.
const DONE_IN_OUTAGE: usize = MAX_LISTED_ENDS + 300;
/// Number of polls in the outage after that.
const FURTHER_POLLS: u64 = 3;

/// A job of many short tasks that may all run at the same time.
fn job() -> Value {
    let step = json!({ "count": TASKS_PER_JOB, "cpu": 5, "memMb": 5, "estimateMs": 200 });
    json!({ "spec": "ms=200 cpu=5 mem=5", "steps": [step] })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// A site with one worker, on which more runs have ended than it lists, while the store is down.
async fn start_site_with_unlisted_ends(nodes: usize) -> Site {
    let site = Site::start(PROGRAM, nodes, 1, 0).await.unwrap();
    for number in 0..JOBS {
        site.submit_until_accepted(&id(number), job()).await;
    }
    site.set_store_fault(Fault::Busy);
    site.wait_until("more tasks are done than are listed", async |site| {
        site.ledger.done_count() >= DONE_IN_OUTAGE || !site.ledger.violations().is_empty()
    })
    .await;
    let worker = site.machines.worker("m-0").expect("the machine has a worker");
    let polls = worker.poll_count() + FURTHER_POLLS;
    site.wait_until("the worker is polled", async |_| worker.poll_count() >= polls).await;
    site
}

async fn wait_until_all_succeeded(site: &Site) {
    for number in 0..JOBS {
        site.wait_until_succeeded(&id(number)).await;
    }
}

#[tokio::test]
async fn tasks_whose_ends_are_not_listed_yet_are_not_started_again() {
    let site = start_site_with_unlisted_ends(1).await;
    site.set_store_fault(Fault::None);
    wait_until_all_succeeded(&site).await;
    site.assert_no_violations();
}

/// Guards against a new leader that takes the first answer of a worker for all that it has.
#[tokio::test]
async fn a_new_leader_waits_for_the_ends_that_are_not_listed_yet() {
    let site = start_site_with_unlisted_ends(3).await;
    site.nodes[site.leader().expect("a node leads")].kill();
    site.set_store_fault(Fault::None);
    wait_until_all_succeeded(&site).await;
    site.assert_no_violations();
}
