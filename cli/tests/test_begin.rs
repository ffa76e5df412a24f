//! What a client gets of a node that it reaches before the node listens, has a configuration, or knows who leads: a
//! balancer may send it one at any time after the node was started.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Time between two jobs of the client.
const PAUSE: Duration = Duration::from_millis(5);
/// Most jobs that the client hands in: for about a minute.
const MOST: u64 = 6_000;

fn job() -> Value {
    json!({
        "spec": "ms=50 cpu=100 mem=10",
        "steps": [{ "count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50 }],
    })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// Hands jobs to a node until it takes one; returns the status of each.
async fn hand_in(site: &Site, node: usize) -> BTreeMap<u64, u16> {
    let mut answers = BTreeMap::new();
    for number in 1..MOST {
        let status = site.submit(node, &id(number), job()).await;
        answers.insert(number, status);
        if status == 200 {
            return answers;
        }
        sleep(PAUSE).await;
    }
    panic!("no job was taken: {answers:?}");
}

#[tokio::test]
async fn a_node_that_has_just_begun_takes_a_job_or_refuses_it_for_certain() {
    let site = Site::start(PROGRAM, 3, 4, 0).await.unwrap();
    let node = (0..3).find(|node| site.leader() != Some(*node)).unwrap();
    site.nodes[node].kill();
    site.wait_until("the node is gone", async |site| !site.nodes[node].is_running()).await;
    assert_eq!(site.submit(node, &id(0), job()).await, 0, "nothing listens there");
    site.nodes[node].start().unwrap();
    let answers = hand_in(&site, node).await;
    let (taken, _) = answers.last_key_value().unwrap();
    site.wait_until_succeeded(&id(*taken)).await;
    for (number, status) in &answers {
        // No answer, or one that says that the job was not taken.
        assert!(matches!(status, 0 | 200 | 429 | 503), "job {number} got {status}");
        let starts = site.ledger.starts_of(&id(*number));
        assert_eq!(starts, u32::from(*status == 200), "job {number} got {status}");
    }
    assert_eq!(site.ledger.starts_of(&id(0)), 0);
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
