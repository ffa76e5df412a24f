//! Odd entries of another writer in the lists that a node follows, with real daemons on the stand-in
//! platform: the daemons run on, and follow what comes after the odd entry.

use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::record::JOB_TOPIC;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use spokelift_testutils::platform::machines::RESERVE;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::config::config;
use spokelift_testutils::platform::worker;
use spokelift_testutils::platform::worker::Shape;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const NODES: usize = 2;
/// Depth of a nested value in a field.
const DEPTH: usize = 1_000;
/// Depth of a nested record; the store takes records of 262,144 bytes at most.
const RECORD_DEPTH: usize = 100_000;

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn job(tasks: u32) -> Value {
    let step = json!({ "count": tasks, "cpu": 1_000, "memMb": 10, "estimateMs": 100 });
    json!({ "spec": "cpu=1000 mem=10 ms=100", "steps": [step] })
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// A JSON object with one field set to a text that need not be a value of the JSON library.
fn with_field(object: &Value, field: &str, text: &str) -> String {
    let mut object = object.clone();
    object[field] = Value::from("ODD");
    object.to_string().replace("\"ODD\"", text)
}

/// An object in odd forms: with an odd value in each of its fields in turn, and beside them.
fn odd_forms(object: &Value) -> Vec<String> {
    let values =
        [&nested(DEPTH), "1e999", "-1", "18446744073709551615", "4294967295", "null", "\"\""];
    let fields = object.as_object().expect("an object").keys();
    let fields = fields.map(String::as_str).chain(["another"]);
    let forms = fields.flat_map(|field| values.map(|value| with_field(object, field, value)));
    forms.chain([nested(RECORD_DEPTH), "7".to_owned()]).collect()
}

/// Checks that no daemon has ended, that jobs are run by the present leader and by the next one, and
/// that both find a worker that comes only now.
async fn assert_served(site: &Site) {
    for (round, machine) in [(1, "m-late-1"), (2, "m-late-2")] {
        site.machines.add(machine, Shape::of_work("hall-1", "r1-9")).await.unwrap();
        let wide = id(round);
        site.submit_until_accepted(&wide, job(4)).await;
        site.wait_until_succeeded(&wide).await;
        let leader = site.leader().expect("a node leads");
        site.wait_until("the leader knows the new worker", async |site| {
            site.view_of(leader, "workers").await.is_some_and(|shown| shown.contains(machine))
        })
        .await;
        assert!(site.nodes.iter().all(|node| node.is_running()), "{}", site.diagnostics());
        site.nodes[leader].kill();
        site.wait_until("another node leads", async |site| {
            site.leader().is_some_and(|other| other != leader)
        })
        .await;
        site.nodes[leader].start().unwrap();
    }
    site.assert_no_violations();
}

/// Guards against an entry of the workers that ends the daemons, or that they do not get past.
#[tokio::test]
async fn odd_entries_among_the_workers_stop_no_node() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    let mut entry = worker::entry_in_state("ready");
    entry["remainingMs"] = json!(900);
    entry["born"] = json!(5);
    let addresses = ["\"127.0.0.1:99999\"", "\"127.0.0.1:0\"", "\"127.0.0.1:-1\"", "\"[::1]:9\""];
    let addresses = addresses.iter().map(|address| with_field(&entry, "address", address));
    let capacity = r#"{"cpu":4294967295,"memMb":4294967295,"gpu":4294967295}"#;
    let forms = odd_forms(&entry).into_iter().chain(addresses).chain(["{".to_owned()]);
    for (number, form) in forms.chain([with_field(&entry, "capacity", capacity)]).enumerate() {
        site.store.put(WORKER_TOPIC, Record::set(format!("x-{number}"), form));
    }
    for key in ["", "line\nbreak", "\u{e9}", "a/b@c", &"k".repeat(250)] {
        site.store.put(WORKER_TOPIC, Record::set(key, entry.to_string()));
    }
    assert_served(&site).await;
}

/// Guards against a row in the list of boxes that makes the whole list unusable: no box would be
/// ordered any more, whether for maintenance or for a service that is short of boxes.
#[tokio::test]
async fn odd_rows_in_the_list_of_boxes_stop_no_order() {
    let site = Site::start(PROGRAM, NODES, 2, 2).await.unwrap();
    let row = json!({
        "machine": "m-odd", "pool": RESERVE, "state": "down", "zone": "hall-1", "labels": ["a"], "id": "",
        "capacity": { "cpu": 8_000, "memMb": 8_000, "gpu": 0 },
    });
    let state = with_field(&row, "state", "\"resting\"");
    site.machines.set_odd_rows(&odd_forms(&row).into_iter().chain([state]).collect::<Vec<_>>());
    site.request_wave(1, &["m-0".to_owned()], 1);
    site.wait_until("the wave is over", async |site| site.has_wave_succeeded(1)).await;
    for number in 10..20 {
        site.submit_until_accepted(&id(number), job(30)).await;
    }
    site.wait_until("a box has come", async |site| site.machines.count_in_pool("work") > 2).await;
    assert_served(&site).await;
}

/// Guards against an entry of the operator that ends the daemons, or that they do not get past.
#[tokio::test]
async fn odd_entries_of_the_operator_stop_no_node() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    let wave = json!({ "wave": 5, "machines": ["m-none"], "durationS": 20, "maximum": 1 });
    let durations = ["1e18", "1.8e19", "18446744073709551615"];
    let durations = durations.iter().map(|duration| with_field(&wave, "durationS", duration));
    for (number, form) in odd_forms(&wave).into_iter().chain(durations).enumerate() {
        site.put_operator_record(&format!("wave/{}", 100 + number), &form);
        site.put_operator_record(&format!("evacuate/x-{number}"), &form);
        site.put_operator_record(&format!("another/{number}"), &form);
    }
    for form in [nested(RECORD_DEPTH), "{}".to_owned(), r#"{"version":1e999}"#.to_owned()] {
        site.store.put(OPERATOR_TOPIC, Record::set("config", form));
    }
    site.request_wave(1, &["m-0".to_owned()], 1);
    site.wait_until("the wave is over", async |site| site.has_wave_succeeded(1)).await;
    let newer = with_field(&config(), "version", "1000000");
    site.put_operator_record("config", &newer);
    assert_served(&site).await;
}

/// Guards against a record among the jobs that ends the leader, and each next one in turn.
#[tokio::test]
async fn odd_records_among_the_jobs_stop_no_node() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    let bytes: [&[u8]; 4] = [&[0xff; 40], &[0], &[0x80; 3], b"{}"];
    for (number, value) in (0u64..).zip(bytes) {
        for key in [id(number), format!("cancel/{}", id(number)), format!("odd-{number}")] {
            site.store.put(JOB_TOPIC, Record::set(key, value));
        }
    }
    assert_served(&site).await;
}

/// Guards against a job whose numbers are too large to calculate with.
#[tokio::test]
async fn jobs_with_the_largest_numbers_stop_no_node() {
    let site = Site::start(PROGRAM, NODES, 2, 2).await.unwrap();
    let numbers = [u64::from(u32::MAX), u64::MAX];
    let step_fields =
        ["cpu", "memMb", "gpu", "estimateMs", "antiAffinity", "target_ms", "may_miss"];
    let job_fields = ["firstRunMs", "intervalMs"];
    let mut next = 100;
    for number in numbers {
        for field in step_fields {
            let mut odd = job(2);
            odd["steps"][0][field] = json!(number);
            let status = site.submit(0, &id(next), odd).await;
            assert!([200, 400, 503].contains(&status), "{field} {number}: {status}");
            next += 1;
        }
        for field in job_fields {
            let mut odd = job(2);
            odd["repetitions"] = json!(2);
            odd[field] = json!(number);
            let status = site.submit(0, &id(next), odd).await;
            assert!([200, 400, 503].contains(&status), "{field} {number}: {status}");
            next += 1;
        }
    }
    assert_served(&site).await;
}
