//! Shards of workers, with real daemons: dispatchers on other nodes are killed, paused and stopped,
//! and no task runs twice or is lost.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::view;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const NODES: usize = 4;
const WORKERS: usize = 6;

fn job(tasks: u32, millis: u32) -> Value {
    let step = |after: &[u32]| json!({ "count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": millis, "after": after });
    json!({ "spec": format!("ms={millis} cpu=1000 mem=100"), "steps": [step(&[]), step(&[0])] })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// The shards as operators see them.
async fn shards(site: &Site) -> Vec<view::Shard> {
    let text = site.operator_view("shares").await.unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Whether other nodes than the leader dispatch to all workers. Idle boxes are switched off, so
/// there may be fewer workers than at the start.
async fn is_all_dispatched_remotely(site: &Site) -> bool {
    let shards = shards(site).await;
    let (others, own): (Vec<_>, Vec<_>) =
        shards.iter().partition(|shard| shard.dispatcher.is_some());
    own.iter().all(|shard| shard.workers == 0) && others.iter().any(|shard| shard.workers > 0)
}

/// A site of so many nodes on which others than the leader dispatch, if there are any.
fn sharded(nodes: usize) -> Options {
    Options { workers_per_shard: Some(2), ..Options::new(nodes, WORKERS) }
}

async fn start_site() -> Site {
    let site = Site::start_with(PROGRAM, sharded(NODES)).await.unwrap();
    site.wait_until("other nodes dispatch to all workers", is_all_dispatched_remotely).await;
    site
}

/// The index of a node that dispatches to workers.
async fn dispatcher_node(site: &Site) -> usize {
    let shards = shards(site).await;
    let addr = shards.iter().filter(|shard| shard.workers > 0).find_map(|shard| shard.dispatcher);
    let addr = addr.expect("a node dispatches to workers");
    site.nodes.iter().position(|node| node.operator_addr.ip() == addr.ip()).unwrap()
}

async fn submit_jobs(site: &Site, numbers: std::ops::Range<u64>) {
    for number in numbers {
        site.submit_until_accepted(&id(number), job(4, 300)).await;
    }
}

async fn assert_all_succeed(site: &Site, numbers: std::ops::Range<u64>) {
    for number in numbers {
        site.wait_until_succeeded(&id(number)).await;
    }
    site.assert_no_violations();
}

#[tokio::test]
async fn jobs_run_with_dispatchers_on_other_nodes() {
    let site = start_site().await;
    submit_jobs(&site, 0..4).await;
    assert_all_succeed(&site, 0..4).await;
    assert_eq!(site.ledger.start_count(), 32);
    assert!(is_all_dispatched_remotely(&site).await);
}

#[tokio::test]
async fn workers_of_a_killed_dispatcher_are_reassigned() {
    let site = start_site().await;
    submit_jobs(&site, 0..3).await;
    let dispatcher = dispatcher_node(&site).await;
    site.nodes[dispatcher].kill();
    submit_jobs(&site, 3..6).await;
    assert_all_succeed(&site, 0..6).await;
    site.wait_until("other nodes dispatch to all workers again", is_all_dispatched_remotely).await;
}

#[tokio::test]
async fn a_paused_dispatcher_loses_its_workers_and_starts_no_task_twice() {
    let site = start_site().await;
    let dispatcher = dispatcher_node(&site).await;
    submit_jobs(&site, 0..3).await;
    site.nodes[dispatcher].signal(Signal::SIGSTOP).unwrap();
    submit_jobs(&site, 3..6).await;
    sleep(Duration::from_millis(2_500)).await;
    site.nodes[dispatcher].signal(Signal::SIGCONT).unwrap();
    submit_jobs(&site, 6..9).await;
    assert_all_succeed(&site, 0..9).await;
}

#[tokio::test]
async fn jobs_survive_a_crash_of_the_leader_with_remote_dispatchers() {
    let site = start_site().await;
    submit_jobs(&site, 0..4).await;
    let leader = site.leader().unwrap();
    site.nodes[leader].kill();
    submit_jobs(&site, 4..6).await;
    assert_all_succeed(&site, 0..6).await;
}

#[tokio::test]
async fn a_single_node_dispatches_to_all_workers_itself() {
    let site = Site::start_with(PROGRAM, sharded(1)).await.unwrap();
    submit_jobs(&site, 0..2).await;
    assert_all_succeed(&site, 0..2).await;
    assert!(!is_all_dispatched_remotely(&site).await);
}

#[tokio::test]
async fn jobs_survive_a_graceful_stop_of_the_leader_with_remote_dispatchers() {
    let site = start_site().await;
    submit_jobs(&site, 0..3).await;
    let leader = site.leader().unwrap();
    site.nodes[leader].signal(Signal::SIGTERM).unwrap();
    site.wait_until("another node is the leader", async |site| site.leader() != Some(leader)).await;
    submit_jobs(&site, 3..5).await;
    assert_all_succeed(&site, 0..5).await;
}
