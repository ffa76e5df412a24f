//! Clients that do not behave, with real daemons on machines with low limits: the daemon lives, stays
//! within the memory and the descriptors of its machine, and answers an ordinary request while the
//! crowd's connections are still open.

use serde_json::json;
use spokelift_testutils::crowd::Crowd;
use spokelift_testutils::fixture::Fixture;
use spokelift_testutils::ledger::Outcome;
use spokelift_testutils::platform::site::Machine;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::config::HOST;
use spokelift_testutils::process::Usage;
use tokio::sync::Mutex;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
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
