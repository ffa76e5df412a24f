//! Store calls of a node that the store does not answer, relayed by a peer that it does answer.

use std::sync::Arc;
use std::time::Duration;

use spokelift_lib::batch::node::Node;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use spokelift_testutils::batch;
use spokelift_testutils::platform::store::Endpoint;
use spokelift_testutils::platform::store::Fault;
use spokelift_testutils::platform::store::Store;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

const TOPIC: &str = "keyed.progress";
/// Timeout of a call to the store that must end before its timeout: longer than the test.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of a call that is expected to fail.
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time limit of an expected result.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A node and one peer, each with its own endpoint of the store.
struct Fixture {
    node: Arc<Node>,
    endpoint: Endpoint,
    store: Store,
    _peer: Arc<Node>,
}

impl Fixture {
    async fn start() -> Fixture {
        let store = Store::default();
        let (endpoint, peer_endpoint) =
            (store.open_endpoint().await.unwrap(), store.open_endpoint().await.unwrap());
        let listener = || TcpListener::bind(("127.0.0.1", 0));
        let node = batch::node(listener().await.unwrap(), endpoint.addr);
        let peer = batch::node(listener().await.unwrap(), peer_endpoint.addr);
        node.directory.set_nodes([(peer.settings.peer_addr(), 250)]);
        Fixture { node, endpoint, store, _peer: peer }
    }

    /// Makes the store stop answering the node, and waits until the node has noticed.
    async fn stop_answers(&self) {
        self.endpoint.set_fault(Fault::Unresponsive);
        self.node.read_topic(TOPIC, 0, Duration::ZERO, SHORT_TIMEOUT).await.unwrap();
        assert!(self.node.store_route.is_unavailable());
    }

    async fn append(&self, key: &str) {
        let records = [Record::set(key, "x")];
        self.node.append(TOPIC, &records, &Guard::None, LONG_TIMEOUT).await.unwrap();
    }
}

/// Guards against reads that wait for a store that does not answer until they time out, by which a
/// scheduler discovers workers a second late.
#[tokio::test]
async fn reads_do_not_wait_for_a_store_that_is_known_to_be_unavailable() {
    let fixture = Fixture::start().await;
    fixture.stop_answers().await;
    fixture.append("a").await;
    let page = fixture.node.read_topic(TOPIC, 0, Duration::ZERO, LONG_TIMEOUT);
    let page = timeout(TEST_TIMEOUT, page).await.expect("a peer reads").unwrap();
    assert_eq!(page.records.len(), 1);
    let newest = timeout(TEST_TIMEOUT, fixture.node.read_newest(TOPIC, LONG_TIMEOUT))
        .await
        .expect("a peer reads");
    assert_eq!(newest.unwrap().end, 1);
}

/// A record that is appended during a long poll arrives through a peer as it would from the store.
#[tokio::test]
async fn new_records_arrive_through_a_peer() {
    let fixture = Fixture::start().await;
    fixture.stop_answers().await;
    fixture.append("a").await;
    let read = async {
        loop {
            let page = fixture.node.read_topic(TOPIC, 1, LONG_TIMEOUT, LONG_TIMEOUT).await.unwrap();
            if !page.records.is_empty() {
                return page.records.len();
            }
        }
    };
    let write = async {
        sleep(SHORT_TIMEOUT).await;
        fixture.store.put(TOPIC, Record::set("b", "x"));
    };
    let (read, ()) = tokio::join!(timeout(TEST_TIMEOUT, read), write);
    assert_eq!(read.expect("a peer reads"), 1);
}

/// A node must not keep calling the store through its peers once the store answers it directly.
#[tokio::test]
async fn the_store_is_used_again_once_it_answers() {
    let fixture = Fixture::start().await;
    fixture.stop_answers().await;
    fixture.append("a").await;
    fixture.endpoint.set_fault(Fault::None);
    // The peer may answer a single read before the store does.
    let direct = async {
        while fixture.node.store_route.is_unavailable() {
            fixture.node.read_newest(TOPIC, LONG_TIMEOUT).await.unwrap();
        }
    };
    timeout(TEST_TIMEOUT, direct).await.expect("the store answers");
    let requests_before = fixture.endpoint.request_count();
    fixture.append("b").await;
    assert_eq!(fixture.endpoint.request_count(), requests_before + 1);
}
