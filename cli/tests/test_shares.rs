//! Real daemons that share out the workers: nodes that look after workers for the scheduler are killed,
//! paused and cut off, and no task runs twice or is lost.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::view;
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

/// The shares as operators see them.
async fn shares(site: &Site) -> Vec<view::Shard> {
    let text = site.operator_view("shares").await.unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Whether other nodes than the scheduler's look after all workers that there are. Boxes that have nothing
/// to do are switched off, so these may be fewer than at the start.
async fn all_elsewhere(site: &Site) -> bool {
    let shares = shares(site).await;
    let (others, own): (Vec<_>, Vec<_>) =
        shares.iter().partition(|share| share.dispatcher.is_some());
    own.iter().all(|share| share.workers == 0) && others.iter().any(|share| share.workers > 0)
}

async fn start() -> Site {
    let site = Site::start_sharded(PROGRAM, NODES, WORKERS, 0, 2).await.unwrap();
    site.wait_until("other nodes look after all workers", all_elsewhere).await;
    site
}

/// A node that looks after workers, and how many.
async fn carrier(site: &Site) -> usize {
    let shares = shares(site).await;
    let addr = shares.iter().filter(|share| share.workers > 0).find_map(|share| share.dispatcher);
    let addr = addr.expect("a node looks after workers");
    site.nodes.iter().position(|node| node.operator_addr.ip() == addr.ip()).unwrap()
}

async fn submit(site: &Site, numbers: std::ops::Range<u64>) {
    for number in numbers {
        site.submit_until_accepted(&id(number), job(4, 300)).await;
    }
}

async fn all_succeed(site: &Site, numbers: std::ops::Range<u64>) {
    for number in numbers {
        site.wait_until_succeeded(&id(number)).await;
    }
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn jobs_run_where_other_nodes_look_after_the_workers() {
    let site = start().await;
    submit(&site, 0..4).await;
    all_succeed(&site, 0..4).await;
    assert_eq!(site.ledger.start_count(), 32);
    assert!(all_elsewhere(&site).await);
}

#[tokio::test]
async fn the_workers_of_a_killed_node_go_to_others() {
    let site = start().await;
    submit(&site, 0..3).await;
    let victim = carrier(&site).await;
    site.nodes[victim].kill();
    submit(&site, 3..6).await;
    all_succeed(&site, 0..6).await;
    site.wait_until("other nodes look after all workers again", all_elsewhere).await;
}

#[tokio::test]
async fn a_node_that_was_paused_has_lost_its_workers_and_does_no_harm() {
    let site = start().await;
    let victim = carrier(&site).await;
    submit(&site, 0..3).await;
    site.nodes[victim].signal(Signal::SIGSTOP).unwrap();
    submit(&site, 3..6).await;
    sleep(Duration::from_millis(2_500)).await;
    site.nodes[victim].signal(Signal::SIGCONT).unwrap();
    submit(&site, 6..9).await;
    all_succeed(&site, 0..9).await;
}

#[tokio::test]
async fn jobs_survive_the_death_of_the_scheduler_whose_workers_others_look_after() {
    let site = start().await;
    submit(&site, 0..4).await;
    let leader = site.leader().unwrap();
    site.nodes[leader].kill();
    submit(&site, 4..6).await;
    all_succeed(&site, 0..6).await;
}

#[tokio::test]
async fn one_node_alone_looks_after_all_workers_itself() {
    let site = Site::start_sharded(PROGRAM, 1, WORKERS, 0, 2).await.unwrap();
    submit(&site, 0..2).await;
    all_succeed(&site, 0..2).await;
    assert!(!all_elsewhere(&site).await);
}

#[tokio::test]
async fn a_planned_stop_of_the_scheduler_ends_what_others_do_for_it() {
    let site = start().await;
    submit(&site, 0..3).await;
    let leader = site.leader().unwrap();
    site.nodes[leader].signal(Signal::SIGTERM).unwrap();
    site.wait_until("another node leads", async |site| site.leader() != Some(leader)).await;
    submit(&site, 3..5).await;
    all_succeed(&site, 0..5).await;
}
