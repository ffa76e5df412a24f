//! Clients that do not behave, with real daemons on machines with low limits: the daemon lives, stays
//! within the memory and the descriptors of its machine, and answers an ordinary request while the
//! crowd's connections are still open.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::AUTHORIZATION;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::view;
use spokelift_testutils::crowd::Crowd;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::ledger::Outcome;
use spokelift_testutils::platform::site::Machine;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::config::Account;
use spokelift_testutils::platform::site::config::HOST;
use spokelift_testutils::platform::site::config::config;
use spokelift_testutils::platform::site::node::SITE_KEY;
use spokelift_testutils::process::Usage;
use spokelift_testutils::proxy;
use spokelift_testutils::proxy::Flow;
use spokelift_testutils::site::caller_secret;
use tokio::sync::Mutex;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// The largest body that the stand-in's configuration allows, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// The machine of a daemon with little memory.
const SMALL_MEMORY: Machine = Machine { memory_mb: 64, max_descriptors: 4_100 };
/// The machine of a daemon with few descriptors.
const FEW_DESCRIPTORS: Machine = Machine { memory_mb: 260, max_descriptors: 400 };
/// What an ordinary job is submitted under.
const ORDINARY_JOB: &str = "00000000000000aa";

/// Held by each test, since one crowd is load for the daemon of another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn start_site(machine: Machine) -> Site {
    let options = Options { machine, ..Options::new(1, 4) };
    Site::start_with(PROGRAM, options).await.unwrap()
}

/// Checks that a process lives and is within the limits of its machine.
#[track_caller]
fn assert_within(machine: Machine, pid: u32) {
    let usage = Usage::of(pid).expect("the process lives");
    assert!(usage.peak_memory <= machine.memory_mb << 20, "{usage:?} exceeds {machine:?}");
    assert!(usage.descriptors <= machine.max_descriptors, "{usage:?} exceeds {machine:?}");
}

/// Checks that the daemon is within the limits of its machine, and accepts and runs a job.
async fn assert_served(site: &Site, machine: Machine) {
    let pid = site.nodes[0].pid().expect("the daemon was started");
    assert_within(machine, pid);
    let step = json!({ "count": 2, "cpu": 1_000, "memMb": 10, "estimateMs": 100 });
    let job = json!({ "spec": "cpu=1000 mem=10 ms=100", "steps": [step] });
    assert_eq!(site.submit(0, ORDINARY_JOB, job).await, 200, "{}", site.diagnostics());
    site.wait_until_succeeded(ORDINARY_JOB).await;
    assert_within(machine, pid);
}

/// Waits until the node has a leader again.
async fn wait_for_leader(site: &Site) {
    site.wait_until("there is a leader", async |site| site.pending_jobs(0).await.is_some()).await;
}

/// Waits until the view of accounts has the last of 5,000.
async fn wait_until_accounts_are_shown(site: &Site) {
    site.wait_until("the leader shows all accounts", async |site| {
        site.view_of(0, "accounts").await.is_some_and(|view| view.contains("account-4999"))
    })
    .await;
}

/// The head of a submitted job, up to the headers that say how long the body is.
fn post_head(framing: &str) -> String {
    format!("POST /q/00000000000000bb HTTP/1.1\r\nhost: {HOST}\r\n{framing}\r\n\r\n")
}

fn with_length(length: usize) -> String {
    post_head(&format!("content-length: {length}"))
}

fn chunk(length: usize) -> String {
    format!("{length:x}\r\n{}\r\n", " ".repeat(length))
}

/// A job of 20,000 steps without tasks and one with a task, where `count` names their number.
fn body_of_many_steps(count: &str) -> String {
    let empty = format!("{{\"{count}\":0}},").repeat(20_000);
    format!("{{\"spec\":\"\",\"steps\":[{empty}{{\"{count}\":1}}]}}")
}

/// Checks that the daemon serves after 60 clients have sent a request while the store does not
/// answer.
async fn assert_served_after_late_store(site: &Site, addr: SocketAddr, request: String) {
    let store = &site.nodes[0].store_proxy;
    store.set_fault(proxy::Fault { answer: Flow::Hold, ..proxy::Fault::default() });
    let mut crowd = Crowd::connect(addr, 60).await;
    crowd.send(request).await;
    crowd.wait_until_read().await;
    store.set_fault(proxy::Fault::default());
    wait_for_leader(site).await;
    assert_served(site, SMALL_MEMORY).await;
}

/// Bodies of legal size are held until they are complete: together they may not exceed the memory.
#[tokio::test]
async fn large_bodies_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 400).await;
    crowd.send(with_length(MAX_BODY_BYTES) + &" ".repeat(MAX_BODY_BYTES - 1)).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// As bodies of known length, bodies in large chunks may not exceed the memory together.
#[tokio::test]
async fn large_chunks_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 400).await;
    let chunks = chunk(32_768).repeat(7) + &chunk(32_767);
    crowd.send(post_head("transfer-encoding: chunked") + &chunks).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// The bookkeeping of each piece of a body is memory, too: 200,000 chunks of one byte.
#[tokio::test]
async fn tiny_chunks_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 24).await;
    let chunks = chunk(1).repeat(200_000);
    crowd.send(post_head("transfer-encoding: chunked") + &chunks).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// A piece of one byte may not keep the whole buffer that it was received in.
#[tokio::test]
async fn bodies_that_arrive_byte_by_byte() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 100).await;
    crowd.send(with_length(MAX_BODY_BYTES)).await;
    for _ in 0..300 {
        crowd.send(" ").await;
        // Without a pause, the bytes would arrive as one piece.
        sleep(Duration::from_millis(2)).await;
    }
    assert_served(&site, SMALL_MEMORY).await;
}

/// Connections of all listeners together may not take the descriptors that the daemon needs for the
/// store and the workers.
#[tokio::test]
async fn connections_to_all_listeners() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(FEW_DESCRIPTORS).await;
    let node = &site.nodes[0];
    let mut crowds = Vec::new();
    for addr in [node.readiness_addr, node.operator_addr, node.peer_addr, node.client_addr] {
        crowds.push(Crowd::connect(addr, 300).await);
    }
    assert_served(&site, FEW_DESCRIPTORS).await;
}

/// A client may name any deadline, and its connection is not closed while its request waits for a
/// leader.
#[tokio::test]
async fn requests_that_may_wait_for_an_hour() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(FEW_DESCRIPTORS).await;
    let hold = proxy::Fault { answer: Flow::Hold, ..proxy::Fault::default() };
    site.nodes[0].store_proxy.set_fault(hold);
    site.wait_until("there is no leader", async |site| {
        site.job_state(0, ORDINARY_JOB).await == Err(503)
    })
    .await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 300).await;
    let head =
        format!("GET /q/{ORDINARY_JOB} HTTP/1.1\r\nhost: {HOST}\r\nx-deadline-ms: 3600000\r\n\r\n");
    crowd.send(head).await;
    crowd.wait_until_read().await;
    site.wait_until("the node answers", async |site| site.metrics(0).await.is_some()).await;
    site.nodes[0].store_proxy.set_fault(proxy::Fault::default());
    wait_for_leader(&site).await;
    assert_served(&site, FEW_DESCRIPTORS).await;
}

/// Heads of requests are held until they are complete.
#[tokio::test]
async fn heads_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].client_addr, 2_500).await;
    let head = format!("GET /q/ HTTP/1.1\r\nhost: {HOST}\r\nx-long: {}", "x".repeat(31_000));
    crowd.send(head).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// Answers are held until their client reads them, so no further request is answered before.
#[tokio::test]
async fn answers_that_are_not_read() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let node = &site.nodes[0];
    let mut probes = Crowd::connect(node.readiness_addr, 2).await;
    probes.send("GET / HTTP/1.1\r\n\r\n".repeat(600_000)).await;
    let mut views = Crowd::connect(node.operator_addr, 2).await;
    views.send("GET / HTTP/1.1\r\n\r\n".repeat(50_000)).await;
    probes.wait_until_read().await;
    views.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// A short request can have a long answer, which is held until its client has read it.
#[tokio::test]
async fn long_answers_that_are_not_read() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let account = |number| Account::new(&format!("account-{number}"), "key");
    let accounts: Vec<Account> = (0..5_000).map(account).collect();
    site.publish_config(2, &accounts);
    wait_until_accounts_are_shown(&site).await;
    let mut crowd = Crowd::connect(site.nodes[0].operator_addr, 200).await;
    crowd.send(format!("GET {}accounts HTTP/1.1\r\nhost: x\r\n\r\n", view::PATH)).await;
    crowd.wait_until_read().await;
    wait_until_accounts_are_shown(&site).await;
    let mut without_accounts = config();
    without_accounts["version"] = json!(3);
    site.put_operator_record("config", &without_accounts.to_string());
    site.wait_until("the node has no accounts", async |site| {
        site.metrics(0).await.is_some_and(|text| text.contains("batch_config_version 3\n"))
    })
    .await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// Messages between daemons are held until they are complete; anyone can reach their listener.
#[tokio::test]
async fn messages_to_a_peer_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].peer_addr, 20).await;
    let length = 8_000_000_u32;
    let mut frame = length.to_be_bytes().to_vec();
    frame.resize(length as usize, 0);
    crowd.send(frame).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// Each request of a peer is a task until its answer is sent.
#[tokio::test]
async fn requests_to_a_peer_whose_answers_are_not_read() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowd = Crowd::connect(site.nodes[0].peer_addr, 2).await;
    let request = postcard::to_stdvec(&(7_u64, spokelift_lib::batch::peer::Request::Ping)).unwrap();
    let mut frame = (request.len() as u32).to_be_bytes().to_vec();
    frame.extend(request);
    crowd.send(frame.repeat(20_000)).await;
    crowd.wait_until_read().await;
    assert_served(&site, SMALL_MEMORY).await;
}

/// The method is the client's to choose, so what is counted by it may not grow with its names.
#[tokio::test]
async fn requests_with_methods_of_their_own() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut crowds = Vec::new();
    for round in 0..20 {
        let mut crowd = Crowd::connect(site.nodes[0].client_addr, 1).await;
        let requests =
            (0..500).map(|number| format!("M{round}X{number} /none HTTP/1.1\r\nhost: x\r\n\r\n"));
        crowd.send(requests.collect::<String>()).await;
        crowd.wait_until_read().await;
        crowds.push(crowd);
    }
    assert_served(&site, SMALL_MEMORY).await;
}

/// A short body can state a hundred thousand tasks, each of which the leader keeps.
#[tokio::test]
async fn jobs_of_many_tasks() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let step = json!({ "count": 10_000, "cpu": 1_000_000, "memMb": 1, "estimateMs": 1 });
    let job = json!({ "spec": "", "steps": vec![step; 10] });
    for number in 0..20 {
        // It may be refused.
        site.submit(0, &format!("{:016x}", 0x100 + number), job.clone()).await;
    }
    assert_served(&site, SMALL_MEMORY).await;
}

/// A legal body can state many steps, each of which takes more memory than its text.
#[tokio::test]
async fn jobs_of_many_steps() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let mut steps = vec![json!({ "count": 0 }); 20_000];
    steps[0] = json!({ "count": 1, "cpu": 1_000_000, "memMb": 1, "estimateMs": 1 });
    let job = json!({ "spec": "", "steps": steps });
    for number in 0..40 {
        // It may be refused.
        site.submit(0, &format!("{:016x}", 0x100 + number), job.clone()).await;
    }
    assert_served(&site, SMALL_MEMORY).await;
}

/// What is decoded from a body is held until the job is written, and takes more memory than its text.
#[tokio::test]
async fn many_jobs_of_many_steps_at_once() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let body = body_of_many_steps("count");
    let request = with_length(body.len()) + &body;
    assert_served_after_late_store(&site, site.nodes[0].client_addr, request).await;
}

/// As `many_jobs_of_many_steps_at_once`, from operators.
#[tokio::test]
async fn many_jobs_of_many_steps_of_operators_at_once() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let body = body_of_many_steps("tasks");
    let request = format!(
        "POST {}queues/q/jobs/00000000000000bb HTTP/1.1\r\nhost: x\r\n\
         {AUTHORIZATION}: Bearer {SITE_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        view::PATH,
        body.len(),
    );
    assert_served_after_late_store(&site, site.nodes[0].operator_addr, request).await;
}

/// A single request inside the limits is served while nothing else is asked.
#[tokio::test]
async fn a_body_of_the_largest_size_is_served() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let site = start_site(SMALL_MEMORY).await;
    let step = json!({ "count": 1, "cpu": 1_000, "memMb": 10, "estimateMs": 100 });
    let mut job = json!({ "spec": "cpu=1000 mem=10 ms=100", "steps": [step], "note": "" });
    let length = job.to_string().len();
    job["note"] = Value::from("x".repeat(MAX_BODY_BYTES - length));
    assert_eq!(site.submit(0, "00000000000000bb", job).await, 200);
    assert_served(&site, SMALL_MEMORY).await;
}

/// The largest job that clients may state is accepted by the smallest machine while it has no other.
#[tokio::test]
async fn a_job_of_the_most_tasks_is_accepted() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let machine = Machine { memory_mb: 160, max_descriptors: 4_100 };
    let site = start_site(machine).await;
    let step = json!({ "count": 10_000, "cpu": 1_000_000, "memMb": 1, "estimateMs": 1 });
    let job = json!({ "spec": "", "steps": vec![step; 10] });
    assert_eq!(site.submit(0, "00000000000000bb", job).await, 200);
    assert_served(&site, machine).await;
}

/// Starts a daemon of a site of its own log on a machine.
async fn start_daemon(variables: &[(&'static str, &'static str)]) -> Fixture {
    let fixture = Fixture::start_with_variables(PROGRAM, 1, &[], variables).await.unwrap();
    fixture.set_up().await;
    fixture
}

/// Checks that the daemon is within the limits of its machine, and answers a caller.
async fn assert_caller_served(fixture: &Fixture, machine: Machine) {
    assert_within(machine, fixture.pid(0));
    let call = fixture.build_call("donors", "recall", 1);
    let outcome = fixture.call(0, &call).await;
    assert!(matches!(outcome, Outcome::Answered), "{outcome:?}");
    assert_within(machine, fixture.pid(0));
}

/// As `connections_to_all_listeners`, on a site of its own log.
#[tokio::test]
async fn connections_to_all_listeners_of_a_daemon() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fixture = start_daemon(&[("SPOKELIFT_MAX_DESCRIPTORS", "400")]).await;
    let addrs = fixture.addrs(0);
    let mut crowds = Vec::new();
    for addr in [addrs.operate, addrs.peer, addrs.call] {
        crowds.push(Crowd::connect(addr, 400).await);
    }
    assert_caller_served(&fixture, FEW_DESCRIPTORS).await;
}

/// As `large_bodies_that_stop_short`, on a site of its own log.
#[tokio::test]
async fn bodies_of_callers_that_stop_short() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let fixture = start_daemon(&[("SPOKELIFT_MEMORY_MB", "64")]).await;
    let mut crowd = Crowd::connect(fixture.addrs(0).call, 1_500).await;
    let credential = format!("clinics:{}", caller_secret("clinics"));
    let head = format!(
        "POST /v1/call/booking HTTP/1.1\r\nhost: x\r\n{AUTHORIZATION}: Bearer {credential}\r\n\
         content-length: 65536\r\n\r\n"
    );
    crowd.send(head + &" ".repeat(65_535)).await;
    crowd.wait_until_read().await;
    assert_caller_served(&fixture, SMALL_MEMORY).await;
}

/// Daemons that cannot read the log catch up from others, whoever else has connected there.
#[tokio::test]
async fn silent_connections_to_the_listener_for_catching_up() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut fixture = Fixture::start(PROGRAM, 2, &[]).await.unwrap();
    fixture.set_up().await;
    let _crowd = Crowd::connect(fixture.addrs(0).peer, 200).await;
    fixture.kill_daemon(1);
    let hold = proxy::Fault { answer: Flow::Hold, ..proxy::Fault::default() };
    fixture.log_links[1].set_fault(hold);
    fixture.start_daemon(1).unwrap();
    fixture
        .wait_until("the daemon has caught up", async || {
            fixture.counter(0, "catch-up.served").await > 0
        })
        .await;
}
