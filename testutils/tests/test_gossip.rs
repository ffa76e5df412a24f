//! Gossip of configuration versions between nodes, without the store.
//!
//! Guards against two failures. A node that the store does not answer reads the operator's records
//! through another node only after its own read has timed out: without gossip, the last of 33 nodes
//! puts a version in force 4.3 s after the first, where 3 s are allowed.
//!
//! A sender that announces a version and then does not answer must not block the node that fetches
//! from it: announcements of newer versions would be lost meanwhile, since none is repeated.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::leader::lease::LeaderLease;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published;
use spokelift_testutils::batch::published::published_config;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

/// Time limit of an expected result.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks of an expected result.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Smallest time between two rounds in which a node asks for a newer version.
const MIN_ASK_INTERVAL_MS: u64 = 500;

/// Listeners on the same port of several addresses, as the nodes of a site have them.
async fn listeners(count: u8) -> Vec<TcpListener> {
    let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, 0, 0, number));
    'ports: for _ in 0..50 {
        let first = TcpListener::bind((ip(1), 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut listeners = vec![first];
        for number in 2..=count {
            match TcpListener::bind((ip(number), port)).await {
                Ok(listener) => listeners.push(listener),
                Err(_) => continue 'ports,
            }
        }
        return listeners;
    }
    panic!("no port is free at {count} addresses");
}

/// Nodes that know and answer each other and cannot reach the store.
async fn nodes(count: u8) -> Vec<Arc<Node>> {
    let listeners = listeners(count).await;
    let addrs: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let start = |(listener, addr): (TcpListener, SocketAddr)| {
        let node = batch::node(listener, batch::unused_addr());
        let others = addrs.iter().filter(|other| **other != addr);
        node.directory.set_nodes(others.map(|other| (*other, node.settings.cpu)));
        node
    };
    listeners.into_iter().zip(addrs.clone()).map(start).collect()
}

fn config(version: u64, key: &str) -> Config {
    let accounts = [published::account("a", &[key], version)];
    Config::decode(&published_config(version, &[], accounts.into_iter().collect())).unwrap()
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(CHECK_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_version_reaches_nodes_that_cannot_reach_the_store() {
    let nodes = nodes(4).await;
    assert!(nodes[0].set_config(config(3, "k3")));
    let all_have = |version| nodes.iter().all(|node| node.config_version() == version);
    wait_until("all have version 3", || all_have(3)).await;
    let expected = config(3, "k3");
    assert!(
        nodes.iter().all(|node| *node.config().unwrap() == expected),
        "the whole configuration is passed on"
    );
    assert!(nodes[2].set_config(config(8, "k8")));
    wait_until("all have version 8", || all_have(8)).await;
}

fn lease_of(addr: SocketAddr, incarnation: u64) -> LeaderLease {
    LeaderLease {
        node: format!("n-{addr}"),
        incarnation,
        addr,
        released: false,
        renewals: 0,
        held_boxes: HeldBoxes::All,
    }
}

/// Guards against nodes that do not watch the lease topic and go on asking an earlier leader.
#[tokio::test]
async fn a_new_leader_becomes_known_to_nodes_that_do_not_watch_the_store() {
    let nodes = nodes(40).await;
    let addr = |number: usize| nodes[number].settings.peer_addr();
    nodes[3].set_leader_lease(7, &lease_of(addr(5), 1));
    let all_know = |leader: SocketAddr| {
        let others = nodes.iter().filter(|node| node.settings.peer_addr() != leader);
        others.into_iter().all(|node| node.remote_leader() == Some(leader))
    };
    wait_until("all know the first leader", || all_know(addr(5))).await;
    nodes[9].set_leader_lease(20, &lease_of(addr(8), 2));
    wait_until("all know the second leader", || all_know(addr(8))).await;
    // A late announcement of the first one changes nothing.
    nodes[1].set_leader_lease(8, &lease_of(addr(5), 1));
    assert!(all_know(addr(8)));
}

/// Address of a node that accepts connections and answers no request.
async fn unresponsive_node() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[tokio::test]
async fn a_version_is_fetched_while_other_senders_do_not_answer() {
    let nodes = nodes(2).await;
    let unresponsive =
        [unresponsive_node().await, unresponsive_node().await, unresponsive_node().await];
    for (addr, _) in &unresponsive {
        nodes[1].on_version(5, *addr);
    }
    let asked = timeout(TEST_TIMEOUT, unresponsive[0].1.accept()).await.unwrap();
    assert!(asked.is_ok(), "the unresponsive node is asked");
    assert!(nodes[0].set_config(config(8, "k8")));
    wait_until("the other node has it", || nodes[1].config_version() == 8).await;
}

#[tokio::test]
async fn no_node_goes_back_to_an_older_version() {
    let nodes = nodes(3).await;
    assert!(nodes[0].set_config(config(8, "k8")));
    wait_until("all have it", || nodes.iter().all(|node| node.config_version() == 8)).await;
    assert!(!nodes[1].set_config(config(3, "k3")), "an older version");
    assert!(!nodes[1].set_config(config(8, "other")), "the same version");
    nodes[2].on_version(5, nodes[0].settings.peer_addr());
    assert!(nodes[0].config_newer_than(8).is_none());
    assert!(nodes.iter().all(|node| *node.config().unwrap() == config(8, "k8")));
}

#[tokio::test]
async fn a_call_that_would_be_refused_asks_for_a_newer_version_once() {
    let nodes = nodes(2).await;
    assert_eq!(nodes[0].fetch_newer_config().await, None, "nobody has one");
    let asked = |node: &Node| node.counters.totals().get("batch.config.asked").copied();
    assert_eq!(asked(&nodes[0]), Some(1));
    let started_at = Instant::now();
    for _ in 0..1_000 {
        assert_eq!(nodes[0].fetch_newer_config().await, None);
    }
    let most = 2 + started_at.elapsed().as_millis() as u64 / MIN_ASK_INTERVAL_MS;
    assert!(asked(&nodes[0]) <= Some(most), "asked {:?} times", asked(&nodes[0]));
}
