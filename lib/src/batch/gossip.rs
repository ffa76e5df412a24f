//! Gossip: what is new passes from node to node, since only some nodes watch the store at a time,
//! and some cannot reach it.
//!
//! A node that has put a version of the configuration in force announces its number to a few peers,
//! and a peer with an older version fetches what changed from the sender, in parts (see
//! `config::transfer`), and announces it in turn. A new leader is announced in the same way, with the record of its lease (see
//! `node::leadership`). Announcements may be lost, so a node that does not watch the store also asks a
//! peer for a newer configuration at intervals. A node that its peers have not brought up to date a
//! while after an announcement reads the store.

mod fetch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Version;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::config::Config;
use crate::batch::config::transfer::Download;
use crate::batch::config::transfer::Fetched;
use crate::batch::config::transfer::OlderNodes;
use crate::batch::config::transfer::PartReply;
use crate::batch::config::transfer::PartRequest;
use crate::batch::config::transfer::Source;
use crate::batch::node::Node;
use crate::batch::peer::Request;
use crate::transport::clock;

/// Number of peers to which a node announces news, in addition to its successor in the order of
/// addresses, through which the news reaches every node.
const FANOUT: usize = 3;
/// Time between two requests of a resting node for a newer configuration. Announcements take less
/// than 0.1 s; a version must be in force within 3 s also where they are lost.
const SYNC_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of concurrent fetches, so that a sender that does not answer does not delay the
/// fetch from another one.
const MAX_FETCHES: usize = 2;
/// Maximum number of senders to fetch from; beyond it, those with the oldest versions are dropped.
const MAX_PENDING_SENDERS: usize = 8;
/// How long after an announcement a node without that version reads the store. A version must be in
/// force within 3 s.
const STORE_DELAY: Duration = Duration::from_millis(1_000);
/// Mean delay before another sender is asked after one that sends to enough others.
const BUSY_DELAY: Duration = Duration::from_millis(20);
/// How long a client's request that would be refused waits for a newer configuration.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Smallest time between two rounds of asking peers for a newer configuration, however many requests
/// would be refused.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers asked in one round.
const ASKED_PEERS: usize = 2;
/// Maximum number of concurrent fetches for clients' requests: more would share this node's link with
/// those that are under way.
const MAX_ASKED_FETCHES: usize = 4;

/// A node's state of the gossip.
#[derive(Default)]
pub struct Gossip {
    asked_at: Mutex<Option<Instant>>,
    /// Number of fetches that were started for clients' requests and have not ended.
    asked_fetches: AtomicUsize,
    senders: Mutex<Senders>,
    /// What this node sends to others.
    source: Mutex<Source>,
    /// What arrives from others.
    download: Mutex<Option<Download>>,
    /// Nodes that know no parts.
    older_nodes: Mutex<OlderNodes>,
}

impl Gossip {
    /// What the node sends to others.
    pub fn source(&self) -> MutexGuard<'_, Source> {
        self.source.lock().expect("no thread panics while it holds the source lock")
    }
}

/// Nodes that have announced versions newer than the one in force at this node.
#[derive(Default)]
struct Senders {
    /// Number of tasks that fetch configurations.
    active_fetches: usize,
    /// Senders to fetch from, with their versions, in the order in which they are asked.
    pending: Vec<(Version, SocketAddr)>,
    /// The newest version that was announced.
    newest: Version,
    /// The newest version that the peers did not deliver in time.
    late: Version,
}

impl Senders {
    /// Adds a sender of an announcement; returns whether to start one more task that fetches.
    fn add(&mut self, version: Version, from: SocketAddr) -> bool {
        self.insert(version, from);
        let may_start = self.active_fetches < MAX_FETCHES;
        self.active_fetches += usize::from(may_start);
        may_start
    }

    /// Adds a sender after all others of its version or newer ones.
    fn insert(&mut self, version: Version, from: SocketAddr) {
        self.pending.retain(|(_, addr)| *addr != from);
        self.pending.push((version, from));
        self.pending.sort_by_key(|(version, _)| std::cmp::Reverse(*version));
        self.pending.truncate(MAX_PENDING_SENDERS);
    }

    /// Removes and returns the first sender with the newest version above `in_force`. `None` if there
    /// is none; the calling task must end then and is not counted any more.
    fn next_sender(&mut self, in_force: Version) -> Option<(Version, SocketAddr)> {
        self.pending.retain(|(version, _)| *version > in_force);
        if self.pending.is_empty() {
            self.active_fetches -= 1;
            return None;
        }
        Some(self.pending.remove(0))
    }

    /// Records an announced version; returns whether it is the newest one so far.
    fn is_newest(&mut self, version: Version) -> bool {
        let is_newest = version > self.newest;
        self.newest = self.newest.max(version);
        is_newest
    }
}

/// Asks one peer after another for a newer configuration while this node does not watch the
/// operator's topic or is turned away by the store, until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut round = 0;
    loop {
        sleep(SYNC_INTERVAL).await;
        let peers = node.gossip_peers();
        let reads_store = node.operator_turns.is_watching() && !node.store_route.is_unavailable();
        if reads_store || peers.is_empty() {
            continue;
        }
        node.fetch_config(peers[round % peers.len()]).await;
        round += 1;
    }
}

impl Node {
    /// The peers to which this node announces news.
    pub fn gossip_peers(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_addr();
        let mut peers = self.directory.stable_peers(own, FANOUT);
        peers.extend(self.directory.successor(own).filter(|addr| !peers.contains(addr)));
        peers
    }

    /// Announces to a few nodes that a version is in force at this node.
    pub fn announce_version(&self, version: Version) {
        let from = self.settings.peer_addr();
        for addr in self.gossip_peers() {
            self.counters.count("batch.config.told");
            self.peers.notify(addr, Request::Newer { version, from });
        }
    }

    /// Handles the announcement of a version by the node at `from`.
    pub fn on_version(self: &Arc<Self>, version: Version, from: SocketAddr) {
        if self.config_version() >= version {
            return;
        }
        let (may_fetch, is_newest) = {
            let mut senders = self.senders();
            (senders.add(version, from), senders.is_newest(version))
        };
        if is_newest {
            tokio::spawn(self.clone().read_store_unless_in_force(version));
        }
        if may_fetch {
            tokio::spawn(self.clone().fetch_from_senders());
        }
    }

    async fn fetch_from_senders(self: Arc<Self>) {
        while let Some((version, from)) = self.next_sender() {
            if let Fetched::Busy(others) = self.fetch_config(from).await {
                self.add_senders(version, &others, from);
                sleep(BUSY_DELAY.mul_f64(2.0 * rand::random::<f64>())).await;
            }
        }
    }

    /// Adds the senders that a busy one names, and then that one again.
    fn add_senders(&self, version: Version, others: &[SocketAddr], busy: SocketAddr) {
        let own = self.settings.peer_addr();
        let mut senders = self.senders();
        for addr in others.iter().filter(|addr| **addr != own) {
            senders.insert(version, *addr);
        }
        senders.insert(version, busy);
    }

    /// Starts a turn of reading the operator's topic, unless the peers have brought this node up to
    /// date within `STORE_DELAY`.
    async fn read_store_unless_in_force(self: Arc<Self>, version: Version) {
        sleep(STORE_DELAY).await;
        if self.config_version() < version {
            self.counters.count("batch.config.late-from-peers");
            log::info!(version, in_force = self.config_version(); "configuration late from peers; reading the store");
            self.senders().late = version;
            self.operator_turns.start();
        }
    }

    /// Whether this node leaves the operator's records to its peers, since the store turns it away. A
    /// read through a peer would pass each version whole over the links of both, which the peer's
    /// transfers share. A node reads through a peer if it is the leader, which alone needs the other
    /// records, or has no version yet, or if the peers are late with one.
    pub fn leaves_records_to_peers(&self) -> bool {
        let in_force = self.config_version();
        self.store_route.is_unavailable()
            && !self.holds_lease()
            && in_force > 0
            && self.senders().late <= in_force
            && self.directory.count().is_some_and(|others| others > 0)
    }

    fn senders(&self) -> MutexGuard<'_, Senders> {
        self.gossip.senders.lock().expect("no thread panics while it holds the senders lock")
    }

    fn next_sender(&self) -> Option<(Version, SocketAddr)> {
        let in_force = self.config_version();
        self.senders().next_sender(in_force)
    }

    /// The part of the configuration in force here that another node asks for.
    pub fn config_part(&self, request: &PartRequest) -> PartReply {
        let Some(config) = self.config() else { return PartReply::NotNewer };
        let reply = self.gossip.source().answer(&config, request, clock::now());
        if matches!(reply, PartReply::Busy(_)) {
            self.counters.count("batch.config.busy");
        }
        reply
    }

    /// The configuration in force at this node, if it is newer than `version`.
    pub fn config_newer_than(&self, version: Version) -> Option<Box<Config>> {
        let config = self.config().filter(|config| config.version > version)?;
        Some(Box::new(Config::clone(&config)))
    }

    /// Asks a few nodes for a configuration newer than the one in force at this node, which would
    /// refuse a client's request. `None` if none arrives within `ASK_TIMEOUT`, if the last round of
    /// asking was less than `MIN_ASK_INTERVAL` ago, or if enough fetches of earlier rounds are under way.
    pub async fn fetch_newer_config(self: &Arc<Self>) -> Option<Arc<Config>> {
        let before = self.config_version();
        let under_way = self.gossip.asked_fetches.load(Ordering::Relaxed);
        if under_way >= MAX_ASKED_FETCHES || !self.try_start_asking(clock::now()) {
            return None;
        }
        self.counters.count("batch.config.asked");
        // A configuration that arrives later is put in force all the same.
        let fetch = |addr| {
            let node = self.clone();
            self.gossip.asked_fetches.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                node.fetch_config(addr).await;
                node.gossip.asked_fetches.fetch_sub(1, Ordering::Relaxed);
            })
        };
        let fetches = self.directory.random_peers(ASKED_PEERS).into_iter().map(fetch);
        let fetches = futures_util::future::join_all(fetches);
        let _ = timeout(ASK_TIMEOUT, fetches).await;
        self.config().filter(|config| config.version > before)
    }

    /// Records the start of a round of asking peers; `false` if the last one is too recent.
    fn try_start_asking(&self, now: Instant) -> bool {
        let mut asked_at =
            self.gossip.asked_at.lock().expect("no thread panics while it holds the time lock");
        if asked_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_ASK_INTERVAL) {
            return false;
        }
        *asked_at = Some(now);
        true
    }
}
