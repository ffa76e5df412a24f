//! Invalid input from operators, callers and unknown senders: it gets a typed error, is counted,
//! and does not affect others.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use assert_matches::assert_matches;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use spokelift_lib::transport::dial::full;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::ledger::Outcome;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");

async fn small_site() -> Fixture {
    let fixture = Fixture::start(PROGRAM, 1, &[("body-limit", "100000")]).await.unwrap();
    fixture.set_up().await;
    fixture
}

/// Checks that another account's request is still served.
async fn assert_undisturbed(fixture: &Fixture, token: u64) {
    let call = fixture.build_call("donors", "recall", token);
    assert_matches!(fixture.call(0, &call).await, Outcome::Answered);
}

#[tokio::test]
async fn each_configuration_error_is_reported_with_its_position() {
    let fixture = small_site().await;
    let cases = [
        ("[[pool]\n", "syntax"),
        ("[[pool]]\nname = \"x\"\ncolour = 1\n", "syntax"),
        (
            "[[pool]]\nname = \"new\"\naccount = \"clinics\"\nmax_out = 9\nboxes = [\"box-000\"]",
            "box-taken",
        ),
        ("[[pool]]\nname = \"front\"\naccount = \"clinics\"\nmax_out = 8\n", "budget"),
        (
            "[[service]]\nname = \"s\"\naccount = \"clinics\"\npool = \"none\"\nslots = 1\n",
            "unknown-pool",
        ),
        (
            "[[service]]\nname = \"s\"\naccount = \"clinics\"\npool = \"outreach\"\nslots = 1\n",
            "unknown-pool",
        ),
        (
            "[[service]]\nname = \"s\"\naccount = \"clinics\"\npool = \"front\"\nslots = 1\n\
             min_up = 7\n",
            "min-up",
        ),
        (
            "[[pool]]\nname = \"new\"\naccount = \"clinics\"\nmax_out = 1\nboxes = [\"box-9\"]",
            "unknown-box",
        ),
        ("[[account]]\nname = \"Not a name\"\n", "name"),
        ("[[account]]\nname = \"a\"\ncaller_key_hashes = [\"secret\"]\n", "hash"),
        ("[[account]]\nname = \"a\"\n[[account]]\nname = \"a\"\n", "twice"),
    ];
    for (text, expected) in cases {
        let next_offset = fixture.log.next_offset();
        let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", text).await;
        assert_eq!((status, &answer["error"]), (422, &"config".into()), "{text}: {answer}");
        let faults = answer["faults"].as_array().unwrap();
        let found = faults.iter().find(|fault| fault["kind"]["fault"] == expected);
        assert!(found.is_some_and(|fault| !fault["span"].is_null()), "{text}: {answer}");
        assert_eq!(fixture.log.next_offset(), next_offset, "nothing is appended: {text}");
    }
    let count = fixture.counter(0, "operate.refused.config").await;
    assert_eq!(count, cases.len() as u64);
    assert_undisturbed(&fixture, 1).await;
}

#[tokio::test]
async fn a_box_claimed_by_two_pools_of_one_file_is_refused() {
    let fixture = Fixture::start(PROGRAM, 1, &[]).await.unwrap();
    let twice = fixture.site.config().replace("\"box-008\"", "\"box-000\"");
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", &twice).await;
    assert_eq!(status, 422, "{answer}");
    assert_eq!(answer["faults"][0]["kind"]["fault"], "claimed-twice");
    let (_, boxes) = fixture.call_operator_api(0, "GET", "/v1/boxes", "").await;
    assert_eq!(boxes.as_array().unwrap().len(), 0, "no part of the change was applied");
}

#[tokio::test]
async fn an_impossible_intent_is_refused_with_its_constraint() {
    let fixture = small_site().await;
    let cases = [
        (r#"{"resize":{"pool":"front","boxes":40}}"#, "too-few"),
        (r#"{"move":{"from":"front","to":"outreach","boxes":5}}"#, "too-few"),
        (r#"{"move":{"from":"front","to":"front","boxes":1}}"#, "same-pool"),
        (r#"{"move":{"from":"front","to":"none","boxes":1}}"#, "unknown-pool"),
        (r#"{"place":{"account":"clinics","service":"booking","replicas":9}}"#, "no-room"),
        (r#"{"place":{"account":"clinics","service":"booking","replicas":1}}"#, "min-up"),
        (r#"{"place":{"account":"clinics","service":"booking","replicas":8}}"#, "nothing"),
    ];
    for (intent, expected) in cases {
        let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/intents", intent).await;
        assert_eq!((status, &answer["cause"]["reason"]), (422, &expected.into()), "{answer}");
    }
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/intents", "{").await;
    assert_eq!((status, &answer["error"]), (400, &"malformed".into()));
    assert_eq!(fixture.counter(0, "operate.refused.plan").await, cases.len() as u64);
}

#[tokio::test]
async fn an_answer_does_not_reveal_objects_of_other_accounts() {
    let fixture = small_site().await;
    let plan = fixture.propose(0, r#"{"maintain":{"pools":["front"]}}"#).await;
    let donors = "donors:donors-operator-secret";
    for (method, path, body) in [
        ("GET", format!("/v1/plans/{plan}"), String::new()),
        ("POST", format!("/v1/plans/{plan}/confirm"), String::new()),
        ("POST", format!("/v1/plans/{plan}/abort"), String::new()),
    ] {
        let real = fixture.call_operator_api_as(donors, 0, method, &path, &body).await;
        let none = path.replace(&plan, "00000000000000ff");
        let none = fixture.call_operator_api_as(donors, 0, method, &none, &body).await;
        assert_eq!(real, none, "{path}");
        assert_eq!(real.0, 404);
    }
    let theirs = r#"{"maintain":{"pools":["front"]}}"#;
    let none = r#"{"maintain":{"pools":["fromm"]}}"#;
    let theirs = fixture.call_operator_api_as(donors, 0, "POST", "/v1/intents", theirs).await;
    let none = fixture.call_operator_api_as(donors, 0, "POST", "/v1/intents", none).await;
    assert_eq!(theirs.1.to_string().replace("front", "fromm"), none.1.to_string());
    let (_, pools) = fixture.call_operator_api_as(donors, 0, "GET", "/v1/pools", "").await;
    assert_eq!(pools.as_array().unwrap().len(), 1);
    let (_, counters) = fixture.call_operator_api_as(donors, 0, "GET", "/v1/counters", "").await;
    assert!(counters.as_object().unwrap().keys().all(|name| name.starts_with("account.donors.")));
    for key in ["clinics:wrong", "nobody:wrong", "clinics:clinics-caller-secret"] {
        let (status, answer) = fixture.call_operator_api_as(key, 0, "GET", "/v1/pools", "").await;
        assert_eq!((status, &answer["error"]), (401, &"credential".into()));
    }
    assert_eq!(fixture.counter(0, "operate.refused.credential").await, 3);
}

#[tokio::test]
async fn calls_with_invalid_credentials_or_headers_are_not_run() {
    let fixture = small_site().await;
    let good = "Bearer clinics:clinics-caller-secret";
    let cases = [
        ("/v1/call/booking", "Bearer clinics:wrong", "false", "credential"),
        ("/v1/call/booking", "Bearer nobody:wrong", "false", "credential"),
        ("/v1/call/booking", "Basic abc", "false", "credential"),
        ("/v1/call/recall", good, "false", "unknown-service"),
        ("/v1/call/none", good, "false", "unknown-service"),
        ("/v1/call/booking", good, "perhaps", "malformed"),
        ("/elsewhere", good, "false", "malformed"),
    ];
    for (path, credential, repeatable, expected) in cases {
        let request = Request::post(path)
            .header(AUTHORIZATION, credential)
            .header("spokelift-repeatable", repeatable)
            .body(full("x"))
            .unwrap();
        let answer = fixture.send_raw(0, request).await.unwrap();
        assert_eq!(answer.headers()["spokelift-outcome"], "not-run");
        assert_eq!(answer.headers()["spokelift-reason"], expected, "{path} {credential}");
    }
    assert_eq!(fixture.counter(0, "call.refused.credential").await, 3);
    assert_eq!(fixture.counter(0, "call.refused.unknown-service").await, 2);
    assert_eq!(fixture.counter(0, "call.refused.malformed").await, 2);
    assert_undisturbed(&fixture, 1).await;
}

#[tokio::test]
async fn an_oversized_request_is_refused_before_it_is_run() {
    let fixture = small_site().await;
    // The daemon does not read the rest of the body, so it must close the connection.
    let request = Request::post("/v1/call/booking")
        .header(AUTHORIZATION, "Bearer clinics:clinics-caller-secret")
        .body(full(vec![b'x'; 100_001]))
        .unwrap();
    let answer = fixture.send_raw(0, request).await.unwrap();
    assert_eq!(answer.headers()["spokelift-reason"], "too-large");
    assert_eq!(answer.headers()["connection"], "close");
    let mut call = fixture.build_call("clinics", "booking", 5);
    call.body = vec![b'x'; 100_001].into();
    assert_matches!(fixture.call(0, &call).await, Outcome::NotRun);
    call = fixture.build_call("clinics", "booking", 6);
    call.body = vec![b'x'; 100_000].into();
    assert_matches!(fixture.call(0, &call).await, Outcome::Answered);
    assert_eq!(fixture.counter(0, "call.refused.too-large").await, 2);
    assert!(fixture.ledger.counts().violations().is_empty());
}

#[tokio::test]
async fn an_incomplete_request_reaches_no_target() {
    let fixture = small_site().await;
    let addr = fixture.addrs(0).call;
    for announced in [100, 50_000] {
        let mut stream = TcpStream::connect(addr).unwrap();
        let head = format!(
            "POST /v1/call/booking HTTP/1.1\r\nhost: x\r\nx-token: 77\r\n\
             authorization: Bearer clinics:clinics-caller-secret\r\n\
             content-length: {announced}\r\n\r\nhalf"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
    }
    fixture
        .wait_until("both are counted", async || {
            fixture.counter(0, "call.refused.half-sent").await == 2
        })
        .await;
    let counts = fixture.ledger.counts();
    assert_eq!(counts.requests, 0, "no worker received token 77: {counts:?}");
    assert_undisturbed(&fixture, 1).await;
}

#[tokio::test]
async fn random_bytes_on_every_port_are_dropped_and_counted() {
    let mut fixture = small_site().await;
    let addrs = fixture.addrs(0);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in [0, 1, 16, 17, 200, 1400, 1401, 9000] {
        socket.send_to(&vec![0xa5; size], addrs.peer).unwrap();
    }
    for addr in [addrs.call, addrs.operate] {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(&[0xa5; 4096]).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
    }
    fixture
        .wait_until("all datagrams are counted", async || {
            let size = fixture.counter(0, "peer.dropped.size").await;
            let seal = fixture.counter(0, "peer.dropped.seal").await;
            size + seal == 8
        })
        .await;
    assert_undisturbed(&fixture, 1).await;
    assert_eq!(fixture.daemon(0).exit_success().unwrap(), None);
}

#[tokio::test]
async fn replayed_datagrams_are_counted_and_change_nothing() {
    let fixture = Fixture::start(PROGRAM, 2, &[]).await.unwrap();
    let link = fixture.peer_links[1][0].clone().unwrap().datagrams;
    fixture.wait_until("heartbeats are recorded", async || link.received().len() > 20).await;
    let recorded = link.received();
    let before = fixture.counter(0, "peer.dropped.replay").await;
    for bytes in recorded.iter().rev().take(5) {
        link.send(bytes).await.unwrap();
    }
    fixture
        .wait_until("replays are counted", async || {
            fixture.counter(0, "peer.dropped.replay").await >= before + 5
        })
        .await;
    fixture.wait_until_serving().await;
}

#[tokio::test]
async fn a_quota_limits_only_the_jobs_of_its_account() {
    let fixture = small_site().await;
    let quota = "[[account]]\nname = \"clinics\"\nquota_slots = 50\n";
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", quota).await;
    assert_eq!(status, 200, "{answer}");
    let service = "[[service]]\nname = \"screening\"\naccount = \"clinics\"\npool = \"front\"\n\
                   slots = 2\n";
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/publish", service).await;
    assert_eq!(status, 200, "{answer}");
    // The eight jobs of booking use 48 slots.
    let place = |replicas| {
        format!(
            r#"{{"place":{{"account":"clinics","service":"screening","replicas":{replicas}}}}}"#
        )
    };
    let (status, answer) = fixture.call_operator_api(0, "POST", "/v1/intents", &place(2)).await;
    assert_eq!((status, &answer["cause"]["reason"]), (422, &"quota".into()), "{answer}");
    // A quota that is lowered after planning makes the fold refuse the step; it is not retried.
    let plan = fixture.propose(0, &place(1)).await;
    let (status, _) =
        fixture.call_operator_api(0, "POST", "/v1/publish", &quota.replace("50", "48")).await;
    assert_eq!(status, 200);
    let (status, answer) =
        fixture.call_operator_api(0, "POST", &format!("/v1/plans/{plan}/confirm"), "").await;
    assert_eq!(status, 200, "{answer}");
    fixture.wait_until_plan_ended(0, &plan).await;
    let step = fixture.plan(0, &plan).await["steps"][0].clone();
    assert_eq!(step["progress"]["over"]["outcome"], "refused", "{step}");
    assert_undisturbed(&fixture, 1).await;
}
