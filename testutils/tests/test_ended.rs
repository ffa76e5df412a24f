//! The simulated worker ends all its runs in the ledger when it crashes.
//!
//! Guards against a false report of a task that runs twice at once: a start that arrives just
//! before its worker crashes must not be carried out just after, because nothing would ever end
//! that run in the ledger.

use std::time::Duration;

use hyper::Request;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;
use spokelift_testutils::platform::ledger::Ledger;
use spokelift_testutils::platform::store::Store;
use spokelift_testutils::platform::worker::Shape;
use spokelift_testutils::platform::worker::StartOptions;
use spokelift_testutils::platform::worker::Worker;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time limit of a start.
const WAIT: Duration = Duration::from_secs(2);
/// Number of workers that crash while starts arrive.
const WORKERS: usize = 150;
/// Number of starts that are sent concurrently.
const STARTS: usize = 30;

fn start(task: usize) -> Request<Body> {
    let name = format!("1.0.0.{task}");
    let start =
        json!({ "task": name, "run": 1, "spec": "x", "deadlineMs": 60_000, "fencingToken": 1 });
    let request = Request::post("/api/run-start").header("host", "w");
    request.body(full(start.to_string())).expect("the request is valid")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_arrives_as_its_worker_crashes_leaves_no_run() {
    let (store, (shutdowns, _kept)) = (Store::default(), mpsc::unbounded_channel());
    let shape = Shape::of_work("hall-1", "r1-0");
    let mut remaining_runs = 0;
    for number in 0..WORKERS {
        let ledger = Ledger::default();
        let started =
            Worker::start(&store, &ledger, "m-0", &shape, &shutdowns, StartOptions::default());
        let worker = started.await.unwrap();
        let (dialer, addr) = (Dialer::new(WAIT), worker.addr());
        let sent: Vec<_> = (0..STARTS)
            .map(|task| {
                let dialer = dialer.clone();
                tokio::spawn(async move {
                    dialer.exchange(addr, start(task), 65_536, WAIT).await.map(drop)
                })
            })
            .collect();
        sleep(Duration::from_micros(number as u64 * 40)).await;
        worker.crash();
        for sent in sent {
            // The answer came in time, or its connection was closed.
            let _ = sent.await;
        }
        remaining_runs += ledger.running_tasks("1");
    }
    assert_eq!(remaining_runs, 0);
}
