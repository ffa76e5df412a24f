//! Answers that a job does not exist, with real daemons on the stand-in platform.
//!
//! A client that cancels a job takes such an answer for the acknowledgement: it never asks again.
//! Guards against giving it while the job is only not known yet, so that it runs on for ever.

use std::time::Duration;

use futures_util::future::try_join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::JOB_TOPIC;
use spokelift_platform::job::Step;
use spokelift_testutils::batch;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::config::HOST;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Number of nodes where one is suspended.
const NODES: usize = 3;
/// Number of jobs that are cancelled.
const JOBS: u64 = 12;
/// Time between two of them: shorter than the interval at which a leader reads the jobs.
const INTERVAL: Duration = Duration::from_millis(70);
const WAIT: Duration = Duration::from_secs(20);

fn long_running_job() -> Value {
    let step = json!({ "count": 1, "cpu": 100, "memMb": 10, "longRunning": true });
    json!({ "spec": "cpu=100 mem=10", "steps": [step] })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// The report of an accepted job is lost with the connection or while there is no leader, so its
/// record in the store is all that is known of it.
#[tokio::test]
async fn a_stored_job_that_nobody_has_reported_can_be_cancelled_at_once() {
    let site = Site::start(PROGRAM, 2, 1, 0).await.unwrap();
    for number in 0..JOBS {
        let accepted = batch::accepted(vec![Step { count: 1, ..Step::default() }]);
        site.store.put(JOB_TOPIC, record::accepted(number, &accepted));
        assert_eq!(site.cancel(0, &id(number)).await, 200, "job {number}");
        sleep(INTERVAL).await;
    }
    assert_eq!(site.cancel(0, &id(JOBS)).await, 410);
    assert_eq!(site.job_state(1, &id(JOBS)).await, Err(410));
}

/// Sends a request about a job on an open connection; returns the answer.
async fn call_on(mut connection: TcpStream, method: &str, job: u64) -> String {
    let id = id(job);
    let head = format!(
        "{method} /q/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-deadline-ms: 3000\r\nconnection: close\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    connection.read_to_string(&mut answer).await.unwrap();
    answer
}

/// A leader that is suspended, after another node has taken over.
struct SuspendedLeader {
    leader: usize,
    /// A node that runs.
    other: usize,
    /// Open connections to the leader, one for a request about each job.
    connections: Vec<TcpStream>,
}

async fn suspend_leader(site: &Site) -> SuspendedLeader {
    let leader = site.leader().expect("a node leads");
    let addr = site.nodes[leader].client_proxy.addr;
    let connections = try_join_all((0..JOBS).map(|_| TcpStream::connect(addr))).await.unwrap();
    site.nodes[leader].signal(Signal::SIGSTOP).unwrap();
    site.wait_until("another node leads", async |site| site.leader() != Some(leader)).await;
    SuspendedLeader { leader, other: (leader + 1) % NODES, connections }
}

/// Sends a request about each job to a suspended node, resumes the node, and returns the answers.
async fn answers_after_pause(
    site: &Site,
    node: usize,
    connections: Vec<TcpStream>,
    method: &'static str,
) -> Vec<String> {
    let calls = (0..JOBS).zip(connections);
    let calls = calls.map(|(job, connection)| tokio::spawn(call_on(connection, method, job)));
    let calls: Vec<_> = calls.collect();
    sleep(INTERVAL).await;
    site.nodes[node].signal(Signal::SIGCONT).unwrap();
    timeout(WAIT, try_join_all(calls)).await.expect("the requests are answered").unwrap()
}

/// A leader that was suspended finds out only some time after it wakes that another node has
/// replaced it.
#[tokio::test]
async fn a_leader_that_wakes_up_does_not_deny_the_jobs_of_its_successor() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    let SuspendedLeader { leader, other, connections } = suspend_leader(&site).await;
    for number in 0..JOBS {
        site.wait_until("a running node accepts the job", async |site| {
            site.submit(other, &id(number), long_running_job()).await == 200
        })
        .await;
    }
    for answer in answers_after_pause(&site, leader, connections, "DELETE").await {
        assert!(!answer.starts_with("HTTP/1.1 410"), "{answer}");
    }
}

/// Guards against a leader that wakes up and answers from a state that its successor has changed.
#[tokio::test]
async fn a_leader_that_wakes_up_does_not_answer_from_its_old_state() {
    let site = Site::start(PROGRAM, NODES, 2, 0).await.unwrap();
    for number in 0..JOBS {
        site.submit_until_accepted(&id(number), long_running_job()).await;
    }
    let SuspendedLeader { leader, other, connections } = suspend_leader(&site).await;
    for number in 0..JOBS {
        site.wait_until("a running node cancels the job", async |site| {
            site.cancel(other, &id(number)).await == 200
                && site.job_state(other, &id(number)).await == Ok("canceled".to_owned())
        })
        .await;
    }
    for answer in answers_after_pause(&site, leader, connections, "GET").await {
        assert!(!answer.contains("running") && !answer.contains("pending"), "{answer}");
    }
}
