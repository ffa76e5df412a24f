//! Workers that are lost beside a takeover, with real daemons on the stand-in of the users' platform.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const JOB: &str = "0000000000000001";
const NODES: usize = 7;
/// Time between two losses of the leader: less than the longest lease of a worker, 5.5 s.
const BETWEEN: Duration = Duration::from_millis(3_500);

/// Each new scheduler waited anew for the leases of a worker that none of them had ever reached, and started nothing
/// of its service meanwhile.
#[tokio::test]
async fn a_worker_lost_beside_a_takeover_does_not_hold_up_its_service_over_all_later_ones() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    for worker in site.machines.workers() {
        worker.set_cpu(0, true);
    }
    let step = json!({ "count": 4, "cpu": 500, "memMb": 100, "estimateMs": 100 });
    site.submit_until_accepted(JOB, json!({ "spec": "ms=100 cpu=500 mem=100", "steps": [step] }))
        .await;
    let mut lost = Vec::new();
    let mut is_done = false;
    while !is_done && lost.len() + 1 < NODES {
        let not_lost = async |site: &Site| site.leader().is_some_and(|node| !lost.contains(&node));
        site.wait_until("another node leads", not_lost).await;
        let leader = site.leader().expect("a node leads");
        site.nodes[leader].signal(Signal::SIGKILL).unwrap();
        if lost.is_empty() {
            site.machines.crash_for_good("m-0");
            site.machines.worker("m-1").expect("a worker lives there").set_cpu(8_000, true);
        }
        lost.push(leader);
        sleep(BETWEEN).await;
        is_done = site.ledger.starts_of(JOB) == 4;
    }
    assert!(is_done, "no task was started while {} leaders were lost", lost.len());
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
