//! Calls of a node that the store leaves without an answer, and that a peer can reach.

use std::sync::Arc;
use std::time::Duration;

use spokelift_lib::batch::node::Node;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use spokelift_testutils::batch;
use spokelift_testutils::platform::store::Door;
use spokelift_testutils::platform::store::Fault;
use spokelift_testutils::platform::store::Store;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

const TOPIC: &str = "keyed.progress";
/// How long a call may wait for the store: beyond the end of the test.
const WAIT: Duration = Duration::from_secs(600);
/// How long a call waits that is to fail.
const SOON: Duration = Duration::from_millis(50);
/// How long something awaited may take.
const PATIENCE: Duration = Duration::from_secs(30);

/// A node of a store, with its door, that knows one peer with a door of its own.
struct Bed {
    node: Arc<Node>,
    door: Door,
    store: Store,
    _peer: Arc<Node>,
}

impl Bed {
    async fn start() -> Bed {
        let store = Store::default();
        let (door, other) = (store.door().await.unwrap(), store.door().await.unwrap());
        let listener = || TcpListener::bind(("127.0.0.1", 0));
        let node = batch::node(listener().await.unwrap(), door.addr);
        let peer = batch::node(listener().await.unwrap(), other.addr);
        node.directory.set_nodes([(peer.settings.peer_addr(), 250)]);
        Bed { node, door, store, _peer: peer }
    }

    /// The store says nothing more to the node, which has seen that.
    async fn fall_silent(&self) {
        self.door.set(Fault::Silent);
        self.node.read_topic(TOPIC, 0, Duration::ZERO, SOON).await.unwrap();
        assert!(self.node.store_route.is_unavailable());
    }

    async fn append(&self, key: &str) {
        let records = [Record::set(key, "x")];
        self.node.append(TOPIC, &records, &Guard::None, WAIT).await.unwrap();
    }
}

/// Each read waited its whole time for a store that did not answer, so that a scheduler met workers a second late.
#[tokio::test]
async fn reads_do_not_wait_for_a_store_that_is_known_to_be_silent() {
    let bed = Bed::start().await;
    bed.fall_silent().await;
    bed.append("a").await;
    let page = bed.node.read_topic(TOPIC, 0, Duration::ZERO, WAIT);
    let page = timeout(PATIENCE, page).await.expect("a peer reads").unwrap();
    assert_eq!(page.records.len(), 1);
    let newest = timeout(PATIENCE, bed.node.read_newest(TOPIC, WAIT)).await.expect("a peer reads");
    assert_eq!(newest.unwrap().end, 1);
}

/// News that come while a peer reads are to arrive, as from the store itself.
#[tokio::test]
async fn news_arrive_through_a_peer() {
    let bed = Bed::start().await;
    bed.fall_silent().await;
    bed.append("a").await;
    let news = async {
        loop {
            let page = bed.node.read_topic(TOPIC, 1, WAIT, WAIT).await.unwrap();
            if !page.records.is_empty() {
                return page.records.len();
            }
        }
    };
    let write = async {
        sleep(SOON).await;
        bed.store.put(TOPIC, Record::set("b", "x"));
    };
    let (news, ()) = tokio::join!(timeout(PATIENCE, news), write);
    assert_eq!(news.expect("a peer reads"), 1);
}

/// A node must not stay dependent on its peers once the store answers it.
#[tokio::test]
async fn the_store_is_used_again_once_it_answers() {
    let bed = Bed::start().await;
    bed.fall_silent().await;
    bed.append("a").await;
    bed.door.set(Fault::None);
    // A peer may be faster now and then.
    let open = async {
        while bed.node.store_route.is_unavailable() {
            bed.node.read_newest(TOPIC, WAIT).await.unwrap();
        }
    };
    timeout(PATIENCE, open).await.expect("the store answers");
    let asked = bed.door.asked();
    bed.append("b").await;
    assert_eq!(bed.door.asked(), asked + 1);
}
