//! Decoding of invalid data from other writers: valid values with parts that are missing, of
//! another type, huge or deeply nested, and bytes that are truncated or flipped. Each is decoded
//! into a valid value or refused with a typed error, and a decoded value can be applied.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeTuple;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::crash::Crash;
use spokelift_lib::batch::crash::Evidence;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::JobRecord;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::batch::record::StoredWorker;
use spokelift_lib::protocol::boxes;
use spokelift_lib::protocol::catch_up;
use spokelift_lib::protocol::log;
use spokelift_lib::protocol::wire::Frame;
use spokelift_lib::protocol::wire::Heartbeat;
use spokelift_lib::protocol::wire::derive_key;
use spokelift_lib::protocol::worker;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::transport::clock;
use spokelift_platform::config::Config;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::Job;
use spokelift_platform::job::Step;
use spokelift_platform::store::Record;
use spokelift_platform::store::decode_records;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_testutils::batch;
use spokelift_testutils::batch::unused_addr;

/// Number of cases for each decoder, unless `PROPTEST_CASES` is set.
const CASES: u32 = 256;

fn cases() -> ProptestConfig {
    let is_set = std::env::var("PROPTEST_CASES").is_ok();
    ProptestConfig {
        cases: if is_set { ProptestConfig::default().cases } else { CASES },
        ..ProptestConfig::default()
    }
}

/// A value of any type or size.
fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        prop_oneof![Just(0.5), Just(-1.0), Just(1e300), Just(u64::MAX as f64)]
            .prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
        "[a-z]{300}".prop_map(Value::from),
    ];
    leaf.prop_recursive(6, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::hash_map("[a-z]{1,6}", inner, 0..4)
                .prop_map(|fields| fields.into_iter().collect::<serde_json::Map<_, _>>().into()),
        ]
    })
}

/// A mutation of valid JSON; each index selects a place in the value or a byte.
#[derive(Clone, Debug)]
enum Mutation {
    Drop(usize),
    Replace(usize, Value),
    Cut(usize),
    Flip(usize, u8),
}

fn mutation() -> impl Strategy<Value = Mutation> {
    prop_oneof![
        any::<usize>().prop_map(Mutation::Drop),
        (any::<usize>(), any_value()).prop_map(|(at, value)| Mutation::Replace(at, value)),
        any::<usize>().prop_map(Mutation::Cut),
        (any::<usize>(), any::<u8>()).prop_map(|(at, bits)| Mutation::Flip(at, bits)),
    ]
}

/// Collects the JSON pointers of every place in a value.
fn places(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_owned());
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| places(value, &format!("{at}/{name}"), found));
        }
        Value::Array(rows) => {
            rows.iter()
                .enumerate()
                .for_each(|(row, value)| places(value, &format!("{at}/{row}"), found));
        }
        _ => {}
    }
}

fn place(value: &Value, choice: usize) -> String {
    let mut found = Vec::new();
    places(value, "", &mut found);
    found[choice % found.len()].clone()
}

fn mutated(valid: &Value, mutations: &[Mutation]) -> Vec<u8> {
    let mut value = valid.clone();
    let mut bytes = None;
    for mutation in mutations {
        match mutation {
            Mutation::Drop(choice) => {
                let at = place(&value, *choice);
                let Some((parent, name)) = at.rsplit_once('/') else { continue };
                if let Some(Value::Object(fields)) = value.pointer_mut(parent) {
                    fields.remove(name);
                }
            }
            Mutation::Replace(choice, other) => {
                let at = place(&value, *choice);
                if let Some(old) = value.pointer_mut(&at) {
                    *old = other.clone();
                }
            }
            Mutation::Cut(_) | Mutation::Flip(..) => {
                let bytes = bytes.get_or_insert_with(|| value.to_string().into_bytes());
                mutate_bytes(bytes, mutation);
            }
        }
    }
    bytes.unwrap_or_else(|| value.to_string().into_bytes())
}

fn mutate_bytes(bytes: &mut Vec<u8>, mutation: &Mutation) {
    let length = bytes.len().max(1);
    match mutation {
        Mutation::Cut(at) => bytes.truncate(at % length),
        Mutation::Flip(at, bits) => {
            if let Some(byte) = bytes.get_mut(at % length) {
                *byte ^= bits;
            }
        }
        Mutation::Drop(_) | Mutation::Replace(..) => {}
    }
}

fn entry() -> Value {
    json!({
        "service": "work", "address": "127.0.0.1:9", "zone": "h", "version": "v1", "slots": 8, "state": "ready",
        "coldRemainingMs": 0, "seq": 4, "capacity": { "cpu": 16000, "memMb": 32768, "gpu": 0 },
        "labels": ["a", "r1-3"], "machine": "m-1", "remainingMs": 900,
    })
}

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [{ "name": "r", "host": "a.example", "pathPrefix": "/p/", "kind": "unsafe", "timeoutMs": 3000,
            "targetLatencyMs": 600, "priority": 1, "service": "work", "maxAttempts": 4, "stretch": 1.6 }],
        "services": [{ "name": "work", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
            "enforcesCapacity": true, "headroom": false }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
    })
}

fn job() -> Value {
    json!({
        "spec": "x", "repetitions": 3, "firstRunMs": 5, "intervalMs": 7,
        "steps": [{ "count": 2, "cpu": 500, "memMb": 64, "estimateMs": 900 },
            { "count": 3, "cpu": 500, "after": [0], "longRunning": true, "may_miss": 1, "requires": "a",
              "affinity": "r1-3", "antiAffinity": 1, "gang": false }],
    })
}

fn accepted(job: Job) -> Accepted {
    Accepted { job, ..batch::accepted(Vec::new()) }
}

/// Records as schedulers and nodes write them.
fn records() -> Vec<Record> {
    let small = Job {
        spec: "x".to_owned(),
        steps: vec![Step { count: 3, cpu: 100, ..Step::default() }],
        repetitions: 2,
        first_run_ms: 1,
        interval_ms: 1,
    };
    let progress = Progress {
        end: Some(JobState::Failed),
        started: true,
        done: vec![(0, 0, vec![5])],
        failed: vec![((1, 0, 2), vec![3, 4])],
    };
    let worker = StoredWorker {
        addr: unused_addr(),
        service: "work".to_owned(),
        machine: Some("m-1".to_owned()),
        unresponsive_with: Some(vec![(7, (0, 0, 1))]),
    };
    let crash = Crash { worker: "w1".into(), evidence: Evidence::AmongRecent };
    vec![
        record::accepted(7, &accepted(small)),
        record::progress(7, &progress),
        record::crashes(7, &vec![((0, 0, 1), vec![crash])]),
        record::worker(&"w1".into(), &worker),
        record::wave(3, &["m-1".to_owned()]),
        record::ordered(&["m-1".to_owned()].into()),
    ]
}

/// Applies a record like a scheduler that starts.
fn apply(record: &Record) {
    let mut cell = Cell::new(10);
    let valid = accepted(serde_json::from_value(job()).unwrap());
    cell.admit(7, valid, Some(&Progress::default()));
    if let Ok(JobRecord::Accepted(id, job)) = JobRecord::decode(record) {
        cell.admit(id, *job, None);
    }
    match ProgressRecord::decode(record) {
        Ok(ProgressRecord::Progress(id, progress)) => {
            let valid = accepted(serde_json::from_value(job()).unwrap());
            cell.admit(id ^ 1, valid, Some(&progress));
        }
        Ok(ProgressRecord::Crashes(_, crashes)) => {
            cell.restore_crashes(&HashMap::from([(7, crashes)]));
        }
        Ok(ProgressRecord::Worker(id, worker)) => cell.restore_worker(id, worker, clock::now()),
        _ => {}
    }
    cell.open_due_repetitions(Duration::from_secs(1));
    cell.place_ready(clock::now(), Duration::from_secs(1));
    cell.take_flush();
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn entries_are_decoded_or_refused(mutations in prop::collection::vec(mutation(), 1..4)) {
        let bytes = mutated(&entry(), &mutations);
        if let Ok(entry) = Entry::decode(&bytes) {
            let mut cell = Cell::new(10);
            cell.discover(Peer { incarnation: "w0".into(), addr: entry.address }, entry, clock::now());
            prop_assert_eq!(cell.workers.faults(), Vec::<String>::new());
        }
    }

    #[test]
    fn operator_records_are_decoded_or_refused(mutations in prop::collection::vec(mutation(), 1..4)) {
        let _ = Config::decode(&mutated(&config(), &mutations));
        let wave = json!({ "wave": 1, "machines": ["m-1"], "durationS": 20.5, "maximum": 3 });
        let _ = Wave::decode(&mutated(&wave, &mutations));
    }

    #[test]
    fn jobs_are_applied_or_refused(mutations in prop::collection::vec(mutation(), 1..4)) {
        if let Ok(job) = Job::decode(&mutated(&job(), &mutations)) {
            apply(&record::accepted(8, &accepted(job)));
        }
    }

    #[test]
    fn records_are_applied_or_refused(
        index in 0..6_usize,
        mutations in prop::collection::vec(mutation(), 1..6),
        key in prop::option::of(".{0,12}"),
    ) {
        let mut record = records().swap_remove(index);
        let mut value = record.value.take().unwrap().to_vec();
        mutations.iter().for_each(|mutation| mutate_bytes(&mut value, mutation));
        let key = key.unwrap_or(record.key);
        apply(&Record::set(key, value));
    }

    #[test]
    fn pages_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_records(bytes.into());
    }
}

/// Bytes that are encoded without a length prefix.
struct Raw(Vec<u8>);

impl Serialize for Raw {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut tuple = to.serialize_tuple(self.0.len())?;
        self.0.iter().try_for_each(|byte| tuple.serialize_element(byte))?;
        tuple.end()
    }
}

/// Messages on a site without the users' platform: answers of the log and the box list, the status
/// and commands of workers, and intents of operators.
fn site_messages() -> Vec<Value> {
    let listed = json!({
        "name": "box-1", "addr": "127.0.0.1:1", "hall": "hall-1", "rack": "r1", "slots": 8,
        "memory_mb": 100, "leaving": false,
    });
    vec![
        json!({ "first": 1, "next": 3, "records": [{ "offset": 1, "data": "YWJj" }] }),
        json!({ "offset": 7 }),
        json!({ "version": 3, "whole": true, "boxes": [listed], "gone": ["box-2"] }),
        json!({ "fence": 3, "draining": false, "inflight": 0, "jobs": [], "rebooted_for": null }),
        json!({ "fence": 3, "action": { "kind": "reboot", "operation": 4 } }),
        json!({ "kind": "maintain", "pools": ["front"] }),
    ]
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn site_messages_are_decoded_or_refused(
        index in 0..6_usize,
        mutations in prop::collection::vec(mutation(), 1..4),
    ) {
        let bytes = mutated(&site_messages()[index], &mutations);
        if let Ok(page) = serde_json::from_slice::<log::Page>(&bytes) {
            page.records.iter().for_each(|item| drop(item.bytes()));
        }
        if let Ok(list) = serde_json::from_slice::<boxes::List>(&bytes) {
            list.boxes.iter().for_each(|listed| drop(listed.shape()));
        }
        let _ = serde_json::from_slice::<log::Appended>(&bytes);
        let _ = serde_json::from_slice::<worker::Status>(&bytes);
        let _ = serde_json::from_slice::<worker::Command>(&bytes);
        let _ = serde_json::from_slice::<Intent>(&bytes);
    }

    #[test]
    fn datagrams_are_opened_or_refused(mutations in prop::collection::vec(mutation(), 1..6)) {
        let key = derive_key("shared");
        let heartbeat = Heartbeat { next: 9, busy: vec![1, 2], serving: true, ..Heartbeat::default() };
        let frame = Frame { from: 1, incarnation: 2, sequence: 3, receiver_incarnation: 4, echo: None, heartbeat };
        let sealed = frame.seal(&key);
        let mut bytes = sealed.clone();
        mutations.iter().for_each(|mutation| mutate_bytes(&mut bytes, mutation));
        let opened = Frame::open(&key, &bytes);
        prop_assert!(bytes == sealed || opened.is_err(), "{opened:?}");
    }

    #[test]
    fn catch_up_messages_sealed_with_the_key_are_opened_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let key = derive_key("shared");
        let sealed = catch_up::seal(&key, &Raw(bytes));
        let _ = catch_up::open::<catch_up::Piece>(&key, &sealed);
        let _ = catch_up::open::<catch_up::Request>(&key, &sealed);
        let _ = catch_up::open::<catch_up::Greeting>(&key, &sealed);
    }
}
