//! Guards against configurations that never reach a node: a version may be so large that a slow link
//! carries it for longer than a request's timeout, and a transfer that is broken off and begins from
//! nothing each time never ends. Then nodes go by an older version for as long as they live.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::config::payload::ChunkIndex;
use spokelift_lib::batch::config::payload::UnpackError;
use spokelift_lib::batch::config::payload::pack;
use spokelift_lib::batch::config::payload::unpack;
use spokelift_lib::batch::config::transfer::Download;
use spokelift_lib::batch::config::transfer::Part;
use spokelift_lib::batch::config::transfer::PartReply;
use spokelift_lib::batch::config::transfer::PartRequest;
use spokelift_lib::batch::config::transfer::Progress;
use spokelift_lib::batch::config::transfer::Source;
use spokelift_lib::batch::gossip;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::operator;
use spokelift_lib::batch::peer::Reply;
use spokelift_lib::batch::peer::Request;
use spokelift_lib::transport::dial::Dialer;
use spokelift_platform::store;
use spokelift_platform::store::CONFIG_KEY;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Record;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published::large_config;
use spokelift_testutils::platform;
use spokelift_testutils::platform::store::Store;
use spokelift_testutils::proxy::Fault;
use spokelift_testutils::proxy::Flow;
use spokelift_testutils::proxy::Proxy;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Time limit of an expected result.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between checks of an expected result.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes a second of a slow link: 2 Mbit/s.
const SLOW_LINK: u64 = 250_000;
/// Routes of a version that a slow link carries for some seconds if it is sent whole.
const MANY_ROUTES: u32 = 20_000;

fn config(version: u64, routes: u32) -> Config {
    Config::decode(&large_config(version, routes)).unwrap()
}

async fn node() -> Arc<Node> {
    node_at_store(batch::unused_addr()).await
}

async fn node_at_store(store: SocketAddr) -> Arc<Node> {
    batch::node(TcpListener::bind("127.0.0.1:0").await.unwrap(), store)
}

/// A proxy whose answers pass at the rate of a slow link.
async fn slow_link_to(addr: SocketAddr) -> Proxy {
    let proxy = Proxy::start(addr).await.unwrap();
    proxy.set_fault(Fault { answer: Flow::Limit(SLOW_LINK), ..Fault::default() });
    proxy
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(CHECK_INTERVAL).await;
    }
}

fn counter(node: &Node, name: &str) -> u64 {
    node.counters.totals().get(name).copied().unwrap_or(0)
}

#[tokio::test]
async fn a_large_version_passes_a_slow_link() {
    let (sender, receiver) = (node().await, node().await);
    let link = slow_link_to(sender.settings.peer_addr()).await;
    assert!(sender.set_config(config(2, MANY_ROUTES)));
    receiver.on_version(2, link.addr);
    wait_until("the receiver has it", || receiver.config_version() == 2).await;
    assert_eq!(*receiver.config().unwrap(), config(2, MANY_ROUTES));
}

#[tokio::test]
async fn other_requests_pass_during_a_transfer() {
    let (sender, receiver) = (node().await, node().await);
    let link = slow_link_to(sender.settings.peer_addr()).await;
    assert!(sender.set_config(config(2, MANY_ROUTES)));
    receiver.on_version(2, link.addr);
    let mut answered = 0;
    while receiver.config_version() < 2 {
        let reply = receiver.peers.ask(link.addr, Request::Ping).await;
        assert_matches!(reply, Ok(Reply::Done));
        answered += u32::from(receiver.config_version() < 2);
    }
    assert!(answered > 1, "answered during the transfer: {answered}");
}

/// Also a frame from an older node, which sends the whole configuration at once.
#[tokio::test]
async fn an_answer_in_one_long_frame_arrives_over_a_slow_link() {
    let (sender, receiver) = (node().await, node().await);
    let link = slow_link_to(sender.settings.peer_addr()).await;
    assert!(sender.set_config(config(2, MANY_ROUTES)));
    let reply = receiver.peers.ask(link.addr, Request::Config(1)).await;
    assert_matches!(reply, Ok(Reply::Config(Some(_))));
    assert_eq!(link.connection_count(), 1, "the connection was kept");
}

#[tokio::test]
async fn a_connection_that_delivers_nothing_is_still_closed() {
    let (sender, receiver) = (node().await, node().await);
    let link = slow_link_to(sender.settings.peer_addr()).await;
    assert_matches!(receiver.peers.ask(link.addr, Request::Ping).await, Ok(Reply::Done));
    link.set_fault(Fault { answer: Flow::Hold, ..Fault::default() });
    assert_matches!(receiver.peers.ask(link.addr, Request::Ping).await, Err(_));
    wait_until("another connection is opened", || link.connection_count() > 1).await;
}

#[tokio::test]
async fn a_change_costs_little_where_the_version_before_is_known() {
    let (sender, receiver) = (node().await, node().await);
    let link = Proxy::start(sender.settings.peer_addr()).await.unwrap();
    assert!(sender.set_config(config(2, MANY_ROUTES)));
    receiver.on_version(2, link.addr);
    wait_until("the receiver has the first", || receiver.config_version() == 2).await;
    let whole = link.forwarded_bytes();
    assert!(sender.set_config(config(3, MANY_ROUTES + 10)));
    receiver.on_version(3, link.addr);
    wait_until("the receiver has the second", || receiver.config_version() == 3).await;
    assert_eq!(*receiver.config().unwrap(), config(3, MANY_ROUTES + 10));
    let change = link.forwarded_bytes() - whole;
    assert!(change < whole / 10, "{change} bytes after {whole}");
    assert_eq!(counter(&receiver, "batch.config.from-peer.difference"), 1);
}

/// Two operators' records with one version number must not lead to a mixture of both.
#[tokio::test]
async fn a_change_of_another_version_of_that_number_is_fetched_whole() {
    let (sender, receiver) = (node().await, node().await);
    assert!(sender.set_config(config(2, 500)));
    assert!(receiver.set_config(config(2, 700)));
    assert!(sender.set_config(config(3, 510)));
    receiver.on_version(3, sender.settings.peer_addr());
    wait_until("the receiver has it", || receiver.config_version() == 3).await;
    assert_eq!(*receiver.config().unwrap(), config(3, 510));
}

#[test]
fn what_does_not_fit_is_not_unpacked() {
    let (old, new) = (config(2, 500), config(3, 510));
    let difference = pack(&new, Some(&ChunkIndex::new(&old)));
    assert_eq!(difference.manifest.base, Some(2));
    assert_eq!(unpack(&difference.manifest, &difference.bytes, Some(&old)).unwrap(), new);
    let unpacked = unpack(&difference.manifest, &difference.bytes, None);
    assert_matches!(unpacked, Err(UnpackError::OtherBase));
    let unpacked = unpack(&difference.manifest, &difference.bytes, Some(&config(2, 400)));
    assert_matches!(unpacked, Err(UnpackError::OtherResult));
    let whole = pack(&new, None);
    assert_eq!(unpack(&whole.manifest, &whole.bytes, None).unwrap(), new);
    let cut_short = &whole.bytes[..whole.bytes.len() / 2];
    assert_matches!(unpack(&whole.manifest, cut_short, None), Err(UnpackError::Damaged));
    let mut manifest = whole.manifest.clone();
    for noise in [&[][..], &[0xff; 40], cut_short] {
        manifest.payload = *blake3::hash(noise).as_bytes();
        assert!(unpack(&manifest, noise, None).is_err());
    }
}

fn asker(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], number))
}

fn request(from: SocketAddr, part: Option<([u8; 32], u32)>) -> PartRequest {
    PartRequest { from, in_force: 0, base: None, part }
}

fn part_of(reply: PartReply) -> Part {
    match reply {
        PartReply::Part(part) => *part,
        other => panic!("no part: {other:?}"),
    }
}

#[test]
fn a_transfer_goes_on_at_another_sender() {
    let now = Instant::now();
    let large = config(2, MANY_ROUTES);
    let mut sources = [Source::default(), Source::default()];
    let mut download = None;
    let (mut next, mut asked) = (None, 0);
    loop {
        // The first sender is lost after the second part.
        let source = &mut sources[usize::from(asked >= 2)];
        let part = part_of(source.answer(&large, &request(asker(1), next), now));
        asked += 1;
        match Download::accept(&mut download, part, now) {
            Progress::Unfinished => next = download.as_mut().and_then(Download::next_part),
            Progress::Complete(manifest, bytes) => {
                assert_eq!(unpack(&manifest, &bytes, None).unwrap(), large);
                let parts = bytes.len().div_ceil(16 * 1024);
                // The first part was asked for before the payload was known.
                assert!(
                    asked <= parts + 1,
                    "no part but the first is sent twice: {asked} of {parts}"
                );
                break;
            }
            Progress::Other => panic!("another payload"),
        }
    }
}

#[test]
fn a_sender_serves_few_at_once_and_names_those_it_has_served() {
    let now = Instant::now();
    let large = config(2, MANY_ROUTES);
    let mut source = Source::default();
    let first = part_of(source.answer(&large, &request(asker(1), None), now));
    let last = first.manifest.length.div_ceil(16 * 1024) - 1;
    part_of(source.answer(&large, &request(asker(2), None), now));
    assert_eq!(source.answer(&large, &request(asker(3), None), now), PartReply::Busy(vec![]));
    part_of(source.answer(&large, &request(asker(1), Some((first.manifest.payload, last))), now));
    part_of(source.answer(&large, &request(asker(3), None), now));
    let reply = source.answer(&large, &request(asker(4), None), now);
    assert_eq!(reply, PartReply::Busy(vec![asker(1)]));
    let later = now + Duration::from_secs(1);
    part_of(source.answer(&large, &request(asker(4), None), later));
    let small = config(3, 5);
    for number in 1..100 {
        part_of(source.answer(&small, &request(asker(number), None), now));
    }
}

#[test]
fn a_malformed_part_is_not_taken() {
    let now = Instant::now();
    let good = part_of(Source::default().answer(&config(2, 500), &request(asker(1), None), now));
    let mut download = None;
    for number in [1, 7_000, u32::MAX] {
        let part = Part { number, ..good.clone() };
        assert_eq!(Download::accept(&mut download, part, now), Progress::Other);
    }
    let mut part = good.clone();
    part.bytes.pop();
    assert_eq!(Download::accept(&mut download, part, now), Progress::Other);
    let mut part = good;
    part.manifest.length = u32::MAX;
    assert_eq!(Download::accept(&mut download, part, now), Progress::Other);
    assert!(download.is_none());
}

/// A node of a build without parts: it closes the connection on a request that it cannot decode.
async fn older_node(config: Config) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = frames.next().await {
                let (number, request) = postcard::from_bytes::<(u64, Request)>(&frame).unwrap();
                let reply = match request {
                    Request::Config(_) => Reply::Config(Some(Box::new(config.clone()))),
                    Request::ConfigPart(_) => break,
                    _ => Reply::Done,
                };
                let reply = postcard::to_stdvec(&(number, reply)).unwrap();
                frames.send(Bytes::from(reply)).await.unwrap();
            }
        }
    });
    addr
}

#[tokio::test]
async fn an_older_node_gives_its_whole_configuration() {
    let receiver = node().await;
    receiver.on_version(2, older_node(config(2, 50)).await);
    wait_until("the receiver has it", || receiver.config_version() == 2).await;
    assert_eq!(*receiver.config().unwrap(), config(2, 50));
}

/// A node that watches the store rests for minutes on a large site; a version that its peers announce
/// and do not deliver must not wait for that.
#[tokio::test]
async fn a_node_that_its_peers_do_not_bring_up_to_date_reads_the_store() {
    let store = Store::default();
    let endpoint = store.open_endpoint().await.unwrap();
    store.put(OPERATOR_TOPIC, Record::set(CONFIG_KEY, large_config(1, 5)));
    let node = node_at_store(endpoint.addr).await;
    let others = (1..10_000).map(|port| (asker(port), 500));
    node.directory.set_nodes(others);
    tokio::spawn(operator::run(node.clone()));
    wait_until("the node has the first", || node.config_version() == 1).await;
    wait_until("the node rests", || !node.operator_turns.is_watching()).await;
    store.put(OPERATOR_TOPIC, Record::set(CONFIG_KEY, large_config(2, 5)));
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    node.on_version(2, unresponsive.local_addr().unwrap());
    wait_until("the node has the second", || node.config_version() == 2).await;
    assert_eq!(counter(&node, "batch.config.late-from-peers"), 1);
}

/// Reads through peers would pass a version whole over their links, again and again on slow ones.
#[tokio::test]
async fn a_node_that_the_store_turns_away_leaves_versions_to_its_peers() {
    let store = Store::default();
    let endpoints = [store.open_endpoint().await.unwrap(), store.open_endpoint().await.unwrap()];
    endpoints[1].set_fault(platform::store::Fault::Busy);
    store.put(OPERATOR_TOPIC, Record::set(CONFIG_KEY, large_config(1, 5)));
    let nodes = [node_at_store(endpoints[0].addr).await, node_at_store(endpoints[1].addr).await];
    for (node, other) in [(&nodes[0], &nodes[1]), (&nodes[1], &nodes[0])] {
        node.directory.set_nodes([(other.settings.peer_addr(), 500)]);
        tokio::spawn(operator::run(node.clone()));
        tokio::spawn(gossip::run(node.clone()));
    }
    wait_until("both have the first", || nodes.iter().all(|node| node.config_version() == 1)).await;
    wait_until("the store is asked again", || endpoints[1].request_count() > 2).await;
    let through_peer = counter(&nodes[1], "batch.store.read-through-peer");
    store.put(OPERATOR_TOPIC, Record::set(CONFIG_KEY, large_config(2, 5)));
    wait_until("both have the second", || nodes.iter().all(|node| node.config_version() == 2))
        .await;
    assert_eq!(counter(&nodes[1], "batch.store.read-through-peer"), through_peer);
    endpoints[1].set_fault(platform::store::Fault::None);
    wait_until("the store answers again", || !nodes[1].store_route.is_unavailable()).await;
}

#[tokio::test]
async fn a_read_of_the_store_goes_on_while_it_progresses() {
    let store = Store::default();
    let endpoint = store.open_endpoint().await.unwrap();
    store.put(OPERATOR_TOPIC, Record::set(CONFIG_KEY, large_config(1, 4_000)));
    let link = slow_link_to(endpoint.addr).await;
    let client = store::Store::new(link.addr, Dialer::new(TEST_TIMEOUT));
    let (partition, timeout) = (OPERATOR_TOPIC.into(), Duration::from_millis(400));
    let page = client.read(&partition, 0, Duration::ZERO, timeout).await.unwrap();
    assert_eq!(page.records.len(), 1);
    assert_eq!(endpoint.request_count(), 1, "no second copy was sent");
    link.set_fault(Fault { answer: Flow::Hold, ..Fault::default() });
    assert!(client.read(&partition, 0, Duration::ZERO, timeout).await.is_err());
}
