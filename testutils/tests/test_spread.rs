//! How a configuration passes from node to node, without the store.
//!
//! A node that the store leaves without an answer read the operator's records through another node only after its own
//! read had run out: the last of 33 nodes acted on a version 4.3 s after the first, where 3 s are allowed.
//!
//! A node that was told of a version by one that then fell silent was deaf for as long as it waited for that one's
//! answer: whoever told it of a newer version in that time was passed over, and nobody told it again.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::node::Node;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published;
use spokelift_testutils::batch::published::published;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long something awaited may take.
const WAIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(10);
/// Least time between two questions of a node for a newer version.
const ASK_AGAIN_MS: u64 = 500;

/// Listeners at one port of several addresses, as nodes of a site have them.
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

/// Nodes that answer each other and cannot reach the store.
async fn nodes(count: u8) -> Vec<Arc<Node>> {
    let listeners = listeners(count).await;
    let addrs: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    let begin = |(listener, addr): (TcpListener, SocketAddr)| {
        let node = batch::node(listener, batch::addr());
        node.directory
            .set_nodes(addrs.iter().filter(|other| **other != addr).map(|other| (*other, 250)));
        node
    };
    listeners.into_iter().zip(addrs.clone()).map(begin).collect()
}

fn config(version: u64, key: &str) -> Config {
    let accounts = [published::account("a", &[key], version)];
    Config::decode(&published(version, &[], accounts.into_iter().collect())).unwrap()
}

async fn until(what: &str, holds: impl Fn() -> bool) {
    let until = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn a_version_reaches_nodes_that_the_store_does_not_serve() {
    let nodes = nodes(4).await;
    assert!(nodes[0].set_config(config(3, "k3")));
    let all_have = |version| nodes.iter().all(|node| node.config_version() == version);
    until("all have version 3", || all_have(3)).await;
    let whole = config(3, "k3");
    assert!(nodes.iter().all(|node| *node.config().unwrap() == whole), "it passes whole");
    assert!(nodes[2].set_config(config(8, "k8")));
    until("all have version 8", || all_have(8)).await;
}

/// A node that has told of a version and answers nobody.
async fn silent_teller() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    (listener.local_addr().unwrap(), listener)
}

#[tokio::test]
async fn a_version_is_fetched_beside_tellers_that_have_fallen_silent() {
    let nodes = nodes(2).await;
    let silent = [silent_teller().await, silent_teller().await, silent_teller().await];
    for (addr, _) in &silent {
        nodes[1].on_version(5, *addr);
    }
    let asked = timeout(WAIT, silent[0].1.accept()).await.unwrap();
    assert!(asked.is_ok(), "the silent node is asked");
    assert!(nodes[0].set_config(config(8, "k8")));
    until("the other node has it", || nodes[1].config_version() == 8).await;
}

#[tokio::test]
async fn no_node_goes_back_to_an_older_version() {
    let nodes = nodes(3).await;
    assert!(nodes[0].set_config(config(8, "k8")));
    until("all have it", || nodes.iter().all(|node| node.config_version() == 8)).await;
    assert!(!nodes[1].set_config(config(3, "k3")), "it came out of order");
    assert!(!nodes[1].set_config(config(8, "other")), "it came twice");
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
    let began = Instant::now();
    for _ in 0..1_000 {
        assert_eq!(nodes[0].fetch_newer_config().await, None);
    }
    let most = 2 + began.elapsed().as_millis() as u64 / ASK_AGAIN_MS;
    assert!(asked(&nodes[0]) <= Some(most), "asked {:?} times", asked(&nodes[0]));
}
