//! Workers that crash during a takeover, with real daemons on the stand-in platform.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const JOB: &str = "0000000000000001";
const NODES: usize = 7;
/// Time between two losses of the leader; less than the longest lease of a worker, 5.5 s.
const LEADER_LOSS_INTERVAL: Duration = Duration::from_millis(3_500);

/// Guards against a service that starts no task: each new scheduler waits again for the leases of a
/// worker that no scheduler has ever reached, and starts nothing of its service until they have
/// expired.
#[tokio::test]
async fn a_worker_lost_during_a_takeover_does_not_block_its_service_across_later_takeovers() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    for worker in site.machines.workers() {
        worker.set_cpu(0, true);
    }
    let step = json!({ "count": 4, "cpu": 500, "memMb": 100, "estimateMs": 100 });
    site.submit_until_accepted(JOB, json!({ "spec": "ms=100 cpu=500 mem=100", "steps": [step] }))
        .await;
    let mut lost_leaders = Vec::new();
    let mut all_started = false;
    while !all_started && lost_leaders.len() + 1 < NODES {
        let has_new_leader =
            async |site: &Site| site.leader().is_some_and(|node| !lost_leaders.contains(&node));
        site.wait_until("another node is the leader", has_new_leader).await;
        let leader = site.leader().expect("there is a leader");
        site.nodes[leader].signal(Signal::SIGKILL).unwrap();
        if lost_leaders.is_empty() {
            site.machines.crash_for_good("m-0");
            site.machines.worker("m-1").expect("the machine has a worker").set_cpu(8_000, true);
        }
        lost_leaders.push(leader);
        sleep(LEADER_LOSS_INTERVAL).await;
        all_started = site.ledger.starts_of(JOB) == 4;
    }
    assert!(all_started, "no task was started while {} leaders were lost", lost_leaders.len());
    site.assert_no_violations();
}
