//! Evacuated data halls, with real daemons on the stand-in platform.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::machines::RESERVE;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// How long jobs are submitted while a hall is evacuated; longer than the time that the platform
/// allows until nothing starts there any more, which the ledger checks.
const LOAD_TIME: Duration = Duration::from_millis(7_000);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(100);

fn job(tasks: u32, cpu: u32) -> Value {
    json!({
        "spec": format!("cpu={cpu} mem=100 ms=200"),
        "steps": [{ "count": tasks, "cpu": cpu, "memMb": 100, "estimateMs": 200 }],
    })
}

/// Submits jobs for `LOAD_TIME`; returns their ids.
async fn submit_jobs(site: &Site, first: u64) -> Vec<String> {
    let count = LOAD_TIME.as_millis() / SUBMIT_INTERVAL.as_millis();
    let mut ids = Vec::new();
    for number in first..first + count as u64 {
        let id = format!("{number:016x}");
        site.submit_until_accepted(&id, job(4, 2_000)).await;
        ids.push(id);
        sleep(SUBMIT_INTERVAL).await;
    }
    ids
}

/// Guards against starts in an evacuated hall, by the leader that reads of it and by a later one,
/// and against fetching a box there.
#[tokio::test]
async fn an_evacuated_hall_gets_no_starts_and_no_boxes_until_it_is_taken_back() {
    // Pool `work` has two boxes in hall-1 and one in hall-2; the reserve has m-3, m-6 and m-7 in
    // hall-2 and m-4 and m-5 in hall-1.
    let site = Site::start(PROGRAM, 2, 3, 5).await.unwrap();
    site.evacuate_hall("hall-1");
    let ids = submit_jobs(&site, 1).await;
    for id in &ids {
        site.wait_until_succeeded(id).await;
    }
    site.assert_no_violations();
    let moved = |machine: &str| site.machines.pool_of(machine).is_some_and(|pool| pool != RESERVE);
    assert!(!moved("m-4") && !moved("m-5"), "a box was fetched in the evacuated hall");
    assert!(moved("m-3") || moved("m-6") || moved("m-7"), "no box was fetched in the other hall");

    let leader = site.leader().unwrap();
    site.nodes[leader].kill();
    let starts_before = site.ledger.starts_in_hall("hall-1");
    let ids = submit_jobs(&site, 1_000).await;
    for id in &ids {
        site.wait_until_succeeded(id).await;
    }
    assert_eq!(site.ledger.starts_in_hall("hall-1"), starts_before);

    site.take_back_hall("hall-1");
    let id = format!("{:016x}", 5_000);
    // More tasks than fit in the other hall, so some wait unless the hall is used again.
    site.submit_until_accepted(&id, job(40, 2_000)).await;
    site.wait_until_succeeded(&id).await;
    assert!(site.ledger.starts_in_hall("hall-1") > starts_before);
    site.assert_no_violations();
}

/// Guards against an operator who cannot see why jobs wait, and against records that stop a node
/// or evacuate something else.
#[tokio::test]
async fn with_all_halls_evacuated_jobs_wait_and_the_views_say_why() {
    let site = Site::start(PROGRAM, 1, 4, 0).await.unwrap();
    site.put_operator_record("evacuate/", "{}");
    site.put_operator_record("evacuate/hall-unknown", "{}");
    site.put_operator_record("evacuate/hall-1", "no json");
    site.put_operator_record("evacuate/hall-2", "{\"until\":[]}");
    let evacuated = async |site: &Site| {
        let services = site.operator_view("services").await.unwrap_or_default();
        let services: Value = serde_json::from_str(&services).unwrap_or_default();
        services[0]["evacuated_halls"] == json!(["hall-1", "hall-2"])
    };
    site.wait_until("both halls are evacuated", evacuated).await;
    let id = format!("{:016x}", 1);
    site.submit_until_accepted(&id, job(1, 1_000)).await;
    let explained = async |site: &Site| {
        let job = site.operator_view(&format!("jobs/{id}")).await.unwrap_or_default();
        job.contains("\"its hall is evacuated\":4")
    };
    site.wait_until("the job's view names the evacuation", explained).await;
    assert_eq!(site.ledger.starts_of(&id), 0);
    let metrics = site.metrics(0).await.unwrap();
    assert!(metrics.contains("batch_operator_evacuation_invalid 2"), "{metrics}");
    site.take_back_hall("hall-1");
    site.wait_until_succeeded(&id).await;
}
