//! Reads of the topics that concern every node: their number does not grow with the nodes.

use std::collections::HashSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::directory;
use spokelift_lib::batch::gossip;
use spokelift_lib::batch::leader;
use spokelift_lib::batch::leader::lease::LeaderLease;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::operator;
use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_lib::batch::peer::Request;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Record;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published::published_config;
use spokelift_testutils::platform::store::Endpoint;
use spokelift_testutils::platform::store::Store;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time limit of an expected result.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between renewals by the leader, which is not among the nodes.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which reads are counted: several turns.
const COUNT_TIME: Duration = Duration::from_millis(5_000);

/// Nodes that know each other, with the store, each at an endpoint of its own.
struct Site {
    store: Store,
    nodes: Vec<Arc<Node>>,
    endpoints: Vec<Endpoint>,
}

/// An address of the loopback network.
fn ip(number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, number as u8))
}

impl Site {
    /// Starts nodes that follow the store, which has a configuration and a leader.
    async fn start(count: usize) -> Site {
        let store = Store::default();
        let config = published_config(1, &[], Default::default());
        store.put(OPERATOR_TOPIC, Record::set("config", config));
        renew(&store, 0);
        let leader = store.clone();
        tokio::spawn(async move {
            for renewals in 1.. {
                sleep(RENEW_INTERVAL).await;
                renew(&leader, renewals);
            }
        });
        let (mut nodes, mut endpoints) = (Vec::new(), Vec::new());
        for number in 1..=count {
            let listener = TcpListener::bind((ip(number), 0)).await.unwrap();
            let endpoint = store.open_endpoint().await.unwrap();
            nodes.push(batch::node(listener, endpoint.addr));
            endpoints.push(endpoint);
        }
        let entries: Vec<(SocketAddr, u32)> =
            nodes.iter().map(|node| (node.settings.peer_addr(), node.settings.cpu)).collect();
        for node in &nodes {
            let others = entries.iter().filter(|(addr, _)| *addr != node.settings.peer_addr());
            node.directory.set_nodes(others.copied());
            tokio::spawn(leader::run(node.clone()));
            tokio::spawn(operator::run(node.clone()));
            tokio::spawn(gossip::run(node.clone()));
        }
        let site = Site { store, nodes, endpoints };
        site.wait_until("each node knows the configuration", |node| node.config_version() == 1)
            .await;
        site
    }

    async fn wait_until(&self, what: &str, holds: impl Fn(&Node) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.nodes.iter().all(|node| holds(node)) {
            assert!(Instant::now() < deadline, "not in time: {what}");
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Number of calls to the store while the nodes follow it for `COUNT_TIME`.
    async fn count_calls(&self) -> u64 {
        let calls = || self.endpoints.iter().map(Endpoint::request_count).sum::<u64>();
        let before = calls();
        sleep(COUNT_TIME).await;
        calls() - before
    }
}

/// Appends a renewal by a leader that is not among the nodes.
fn renew(store: &Store, renewals: u32) {
    let lease = LeaderLease {
        node: "elsewhere".to_owned(),
        incarnation: 1,
        addr: batch::unused_addr(),
        released: false,
        renewals,
        held_boxes: HeldBoxes::All,
    };
    let value = postcard::to_stdvec(&lease).unwrap();
    store.put("keyed.lead", Record::set("lead", value));
}

/// Guards against a store that is used up by nodes which follow the leader lease and the operator's
/// records: with 588 nodes these were 157,000 of 185,000 calls a minute. 80 nodes that all follow
/// make 4.2 calls a second each, 1,680 in the time of this test; 28 watchers make 270.
#[tokio::test(flavor = "multi_thread")]
async fn reads_of_the_store_do_not_grow_with_the_nodes() {
    let large = Site::start(80).await;
    let calls = large.count_calls().await;
    assert!(calls < 600, "{calls} calls of 80 nodes");
    // Nodes that rest learn of a new version all the same.
    let config = published_config(2, &[], Default::default());
    large.store.put(OPERATOR_TOPIC, Record::set("config", config));
    large.wait_until("each node has the new version", |node| node.config_version() == 2).await;
}

/// Guards against a directory that each node reads whole at each refresh: the bytes of the store
/// then grow with the square of the nodes.
#[tokio::test(flavor = "multi_thread")]
async fn each_node_reads_the_whole_directory_once() {
    const NODES: usize = 20;
    let store = Store::default();
    let (mut nodes, mut endpoints) = (Vec::new(), Vec::new());
    for number in 1..=NODES {
        let listener = TcpListener::bind((ip(number), 0)).await.unwrap();
        let endpoint = store.open_endpoint().await.unwrap();
        nodes.push(batch::node(listener, endpoint.addr));
        endpoints.push(endpoint);
    }
    for node in &nodes {
        tokio::spawn(directory::run(node.clone()));
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    // The append, and a read at the start and after each of the three later delays.
    while endpoints.iter().any(|endpoint| endpoint.request_count() < 5) {
        assert!(Instant::now() < deadline, "not all nodes have read the directory");
        sleep(CHECK_INTERVAL).await;
    }
    assert!(nodes.iter().all(|node| node.directory.count() == Some(NODES - 1)));
    assert_eq!(store.full_reads("keyed.nodes"), NODES);
}

/// Guards against losing the leader unnoticed: at each moment some nodes watch, and not always the
/// same ones.
#[tokio::test(flavor = "multi_thread")]
async fn different_nodes_watch_the_leader_lease_in_turn() {
    let site = Site::start(60).await;
    let mut watched: HashSet<usize> = HashSet::new();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while watched.len() < site.nodes.len() {
        let watching: Vec<usize> = (0..site.nodes.len())
            .filter(|number| site.nodes[*number].lease_turns.is_watching())
            .collect();
        assert!(!watching.is_empty(), "no node watches");
        watched.extend(watching);
        assert!(Instant::now() < deadline, "only {} nodes have watched", watched.len());
        sleep(CHECK_INTERVAL).await;
    }
}

/// Guards against a node that asks a leader in vain until its next turn: a client's request shows
/// that its knowledge is outdated, and it reads the store at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_asks_an_earlier_leader_in_vain_reads_of_the_present_one() {
    let store = Store::default();
    let endpoint = store.open_endpoint().await.unwrap();
    let listener = TcpListener::bind((ip(1), 0)).await.unwrap();
    let node = batch::node(listener, endpoint.addr);
    // So many nodes that the next turn is an hour away.
    let cpu = node.settings.cpu;
    node.directory.set_nodes((1..60_000).map(|port| (SocketAddr::new(ip(2), port), cpu)));
    renew(&store, 0);
    tokio::spawn(leader::run(node.clone()));
    let leader = Some(batch::unused_addr());
    let deadline = Instant::now() + TEST_TIMEOUT;
    while node.remote_leader() != leader {
        assert!(Instant::now() < deadline, "the leader is not known");
        sleep(CHECK_INTERVAL).await;
    }
    let rests = async || {
        for renewals in 1.. {
            if !node.lease_turns.is_watching() {
                return;
            }
            renew(&store, renewals);
            sleep(RENEW_INTERVAL).await;
        }
    };
    rests().await;
    let pending = Request::Pending("q".to_owned(), Caller::Operator);
    assert_eq!(node.ask_leader(pending).await, None);
    assert!(node.lease_turns.is_watching());
}
