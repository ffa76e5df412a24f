//! A leader that cannot renew its lease, with real daemons on the stand-in platform.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use spokelift_testutils::platform::network::Cut;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::store::Fault;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const JOB: &str = "0000000000000001";
const TASKS: u32 = 3;
/// An outage of the store that is longer than the leases of the leader and of a worker together.
const OUTAGE: Duration = Duration::from_secs(10);

/// A site of three nodes on which a long-running job runs, and the number of its leader.
async fn start_site() -> (Site, usize) {
    let site = Site::start(PROGRAM, 3, 2, 0).await.unwrap();
    submit_job(&site).await;
    let leader = site.leader().expect("a node leads");
    (site, leader)
}

/// Submits a long-running job to a daemon that runs, and waits until its tasks run.
async fn submit_job(site: &Site) {
    let step = json!({ "count": TASKS, "cpu": 100, "memMb": 10, "longRunning": true });
    let job = json!({ "spec": "cpu=100 mem=10", "steps": [step] });
    site.submit_until_accepted(JOB, job).await;
    site.wait_until("the tasks run", async |site| site.ledger.running_tasks(JOB) == TASKS).await;
}

fn signal_others(site: &Site, leader: usize, signal: Signal) {
    let others = (0..site.nodes.len()).filter(|number| *number != leader);
    others.for_each(|number| site.nodes[number].signal(signal).unwrap());
}

/// Guards against two runs of a task: a leader that is cut off renews the lease of a worker for ever
/// whose tasks its successor, which does not reach the worker, starts elsewhere.
#[tokio::test]
async fn a_leader_that_hears_of_nobody_lets_the_leases_of_workers_expire() {
    let (site, leader) = start_site().await;
    signal_others(&site, leader, Signal::SIGSTOP);
    site.set_store_fault(Fault::Busy);
    site.wait_until("the leases expire", async |site| site.ledger.running_tasks(JOB) == 0).await;
    site.set_store_fault(Fault::None);
    signal_others(&site, leader, Signal::SIGCONT);
    site.wait_until("the tasks run", async |site| site.ledger.running_tasks(JOB) == TASKS).await;
    site.assert_no_violations();
}

/// Guards against an outage of the store that ends all tasks, although no node can take over.
#[tokio::test]
async fn tasks_run_on_while_the_store_is_away_for_all_nodes() {
    for fault in [Fault::Busy, Fault::Unresponsive] {
        let (site, _) = start_site().await;
        site.set_store_fault(fault);
        sleep(OUTAGE).await;
        site.set_store_fault(Fault::None);
        assert_eq!(site.ledger.running_tasks(JOB), TASKS);
        assert_eq!(site.ledger.starts_of(JOB), TASKS, "{fault:?}");
        site.assert_no_violations();
    }
}

/// Guards against two runs of a task: a node joins while the store rejects all others, and takes over, since the
/// leader does not know it and goes on by the promises of the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_joins_while_the_store_rejects_all_others_runs_nothing_twice() {
    for is_cut_off in [false, true] {
        let options = Options { has_links: true, stopped_nodes: 1, ..Options::new(3, 2) };
        let site = Site::start_with(PROGRAM, options).await.unwrap();
        let (others, joining) = (0..2, 2);
        submit_job(&site).await;
        for machine in ["m-0", "m-1"] {
            let is_idle = site.machines.worker(machine).is_some_and(|worker| worker.is_idle());
            site.network().cut_worker(
                joining,
                machine,
                if is_idle { Cut::None } else { Cut::Both },
            );
        }
        for node in others {
            site.nodes[node].store_endpoint.set_fault(Fault::Busy);
            let cut = if is_cut_off { Cut::Both } else { Cut::None };
            site.network().cut_nodes(joining, node, cut);
        }
        site.nodes[joining].start().unwrap();
        // A takeover and the lease of a worker take less.
        sleep(OUTAGE).await;
        site.assert_no_violations();
        assert_eq!(site.ledger.running_tasks(JOB), TASKS, "cut off: {is_cut_off}");
    }
}

/// Guards against a site without a leader for a minute: the first one is killed before it has
/// acknowledged any other node.
#[tokio::test]
async fn a_node_takes_over_from_a_leader_that_is_killed_at_its_start() {
    let site = Site::start(PROGRAM, 2, 1, 0).await.unwrap();
    site.wait_until("a node leads", async |site| site.leader().is_some()).await;
    let leader = site.leader().unwrap();
    site.nodes[leader].kill();
    site.wait_until("the other one leads", async |site| site.leader() == Some(1 - leader)).await;
}
