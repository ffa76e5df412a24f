//! Answers of a node that has just started and may not yet listen, have a configuration or know the
//! leader. A load balancer may send it clients' jobs at any time after its start; each must either
//! run, or be refused and never run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Time between two jobs of the client.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(5);
/// Most jobs that the client submits; takes about a minute.
const MAX_JOBS: u64 = 6_000;

fn job() -> Value {
    json!({
        "spec": "ms=50 cpu=100 mem=10",
        "steps": [{ "count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50 }],
    })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Submits jobs to a node until it accepts one. Returns the HTTP status of each by its number; 0
/// stands for no answer.
async fn submit_until_accepted(site: &Site, node: usize) -> BTreeMap<u64, u16> {
    let mut statuses = BTreeMap::new();
    for number in 1..MAX_JOBS {
        let status = site.submit(node, &id(number), job()).await;
        statuses.insert(number, status);
        if status == 200 {
            return statuses;
        }
        sleep(SUBMIT_INTERVAL).await;
    }
    panic!("no job was accepted: {statuses:?}");
}

#[tokio::test]
async fn starting_node_accepts_a_job_or_never_runs_it() {
    let site = Site::start(PROGRAM, 3, 4, 0).await.unwrap();
    let node = (0..3).find(|node| site.leader() != Some(*node)).unwrap();
    site.nodes[node].kill();
    site.wait_until("the node has stopped", async |site| !site.nodes[node].is_running()).await;
    assert_eq!(site.submit(node, &id(0), job()).await, 0, "nothing listens there");
    site.nodes[node].start().unwrap();
    let statuses = submit_until_accepted(&site, node).await;
    let (accepted, _) = statuses.last_key_value().unwrap();
    site.wait_until_succeeded(&id(*accepted)).await;
    for (number, status) in &statuses {
        // No answer, or one that says whether the job was accepted.
        assert!(matches!(status, 0 | 200 | 429 | 503), "job {number} got {status}");
        let starts = site.ledger.starts_of(&id(*number));
        assert_eq!(starts, u32::from(*status == 200), "job {number} got {status}");
    }
    assert_eq!(site.ledger.starts_of(&id(0)), 0);
    site.assert_no_violations();
}
