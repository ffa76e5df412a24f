//! Planned stops interrupt no request in flight, and a leaving box gets no new ones. A reboot waits
//! for running requests up to the pool's drain limit.

use std::time::Duration;

use assert_matches::assert_matches;
use hyper::Request;
use nix::sys::signal::Signal;
use spokelift_lib::transport::dial::full;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::ledger::Outcome;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");

#[tokio::test]
async fn sigterm_fails_the_health_check_and_completes_requests_in_flight() {
    let mut fixture = Fixture::start(PROGRAM, 1, &[]).await.unwrap();
    fixture.set_up().await;
    let calls: Vec<_> = (1..=4)
        .map(|token| {
            let mut call = fixture.build_call("clinics", "booking", token);
            call.run_ms = 1500;
            call
        })
        .collect();
    let stop = async {
        let busy = async || {
            let (_, status) = fixture.call_operator_api(0, "GET", "/v1/status", "").await;
            status["inflight"] == 4
        };
        fixture.wait_until("all are in flight", busy).await;
        fixture.signal(0, Signal::SIGTERM).unwrap();
        let is_unhealthy = async || {
            let health = Request::get("/healthz").body(full("")).unwrap();
            let answer = fixture.send_raw(0, health).await;
            answer.is_some_and(|answer| answer.status() == 503)
        };
        fixture.wait_until("the health check fails", is_unhealthy).await;
    };
    let (outcomes, ()) = tokio::join!(
        async {
            let (a, b, c, d) = tokio::join!(
                fixture.call(0, &calls[0]),
                fixture.call(0, &calls[1]),
                fixture.call(0, &calls[2]),
                fixture.call(0, &calls[3]),
            );
            [a, b, c, d]
        },
        stop
    );
    assert_eq!(outcomes, [Outcome::Answered; 4]);
    let mut ended = None;
    for _ in 0..300 {
        ended = fixture.daemon(0).exit_success().unwrap();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(ended, Some(true));
}

#[tokio::test]
async fn a_box_that_the_list_calls_leaving_gets_no_new_work() {
    let fixture = Fixture::start(PROGRAM, 1, &[]).await.unwrap();
    fixture.set_up().await;
    for worker in &fixture.workers[1..8] {
        fixture.boxes.set_leaving(&worker.listed.name, true);
    }
    // The list is read every 200 ms; a box gets no new work 2 s after it was listed as leaving.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before: Vec<u64> =
        fixture.workers[1..8].iter().map(|worker| worker.started_requests()).collect();
    for token in 1..=20 {
        let call = fixture.build_call("clinics", "booking", token);
        assert_matches!(fixture.call(0, &call).await, Outcome::Answered);
    }
    let after: Vec<u64> =
        fixture.workers[1..8].iter().map(|worker| worker.started_requests()).collect();
    assert_eq!(before, after);
    assert_eq!(fixture.workers[0].started_requests(), 20);
}

#[tokio::test]
async fn a_reboot_waits_for_a_long_request_and_a_drain_limit_ends_the_wait() {
    let fixture = Fixture::start(PROGRAM, 1, &[]).await.unwrap();
    let config = fixture.site.config().replace("drain_limit_s = 15", "drain_limit_s = 1");
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", &config).await;
    assert_eq!(status, 200, "{answer}");
    let place = r#"{"place":{"account":"donors","service":"recall","replicas":4}}"#;
    let plan = fixture.propose_and_confirm(0, place).await;
    fixture.wait_until_plan_ended(0, &plan).await;
    let mut long = fixture.build_call("donors", "recall", 1);
    long.run_ms = 6000;
    let wave = async {
        let busy = async || fixture.workers[8..].iter().any(|worker| worker.status().inflight > 0);
        fixture.wait_until("the build_request runs", busy).await;
        let plan = fixture.propose_and_confirm(0, r#"{"maintain":{"pools":["outreach"]}}"#).await;
        fixture.wait_until_plan_ended(0, &plan).await;
        plan
    };
    let (outcome, plan) = tokio::join!(fixture.call(0, &long), wave);
    assert_eq!(outcome, Outcome::Answered);
    let plan = fixture.plan(0, &plan).await;
    let steps = plan["steps"].as_array().unwrap().iter();
    let at_drain_limit = steps.filter(|step| step["progress"]["over"]["outcome"] == "drain-limit");
    assert_eq!(at_drain_limit.count(), 1, "{plan}");
    assert!(fixture.ledger.counts().violations().is_empty(), "{:?}", fixture.ledger.counts());
}
