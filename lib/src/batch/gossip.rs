//! Gossip: what is new passes from node to node, since only some nodes watch the store at a time,
//! and some cannot reach it.
//!
//! A node that has put a version of the configuration in force announces its number to a few peers,
//! and a peer with an older version fetches the whole configuration from the sender and announces it
//! in turn. A new leader is announced in the same way, with the record of its lease (see
//! `node::leadership`). Announcements may be lost, so a node that does not watch the store also asks a
//! peer for a newer configuration at intervals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Version;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::config::Config;
use crate::batch::node::Node;
use crate::batch::peer::Reply;
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
const MAX_PENDING_SENDERS: usize = 4;
/// How long a client's request that would be refused waits for a newer configuration.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Smallest time between two rounds of asking peers for a newer configuration, however many requests
/// would be refused.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of peers asked in one round.
const ASKED_PEERS: usize = 2;

/// A node's state of the gossip.
#[derive(Default)]
pub struct Gossip {
    asked_at: Mutex<Option<Instant>>,
    senders: Mutex<Senders>,
}

/// Nodes that have announced versions newer than the one in force at this node.
#[derive(Default)]
struct Senders {
    /// Number of tasks that fetch configurations.
    active_fetches: usize,
    /// Senders to fetch from, with their versions, the oldest version first.
    pending: Vec<(Version, SocketAddr)>,
}

impl Senders {
    /// Adds a sender of an announcement; returns whether to start one more task that fetches.
    fn add(&mut self, version: Version, from: SocketAddr) -> bool {
        self.pending.retain(|(_, addr)| *addr != from);
        self.pending.push((version, from));
        self.pending.sort_unstable();
        let excess = self.pending.len().saturating_sub(MAX_PENDING_SENDERS);
        self.pending.drain(..excess);
        let may_start = self.active_fetches < MAX_FETCHES;
        self.active_fetches += usize::from(may_start);
        may_start
    }

    /// Removes and returns the sender with the newest version above `in_force`. `None` if there is
    /// none; the calling task must end then and is not counted any more.
    fn next_sender(&mut self, in_force: Version) -> Option<SocketAddr> {
        self.pending.retain(|(version, _)| *version > in_force);
        let next = self.pending.pop();
        self.active_fetches -= usize::from(next.is_none());
        next.map(|(_, addr)| addr)
    }
}

/// Asks one peer after another for a newer configuration while this node does not watch the
/// operator's topic, until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut round = 0;
    loop {
        sleep(SYNC_INTERVAL).await;
        let peers = node.gossip_peers();
        if node.operator_turns.is_watching() || peers.is_empty() {
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
        if self.config_version() >= version || !self.senders().add(version, from) {
            return;
        }
        let node = self.clone();
        tokio::spawn(async move {
            while let Some(from) = node.next_sender() {
                node.fetch_config(from).await;
            }
        });
    }

    fn senders(&self) -> MutexGuard<'_, Senders> {
        self.gossip.senders.lock().expect("no thread panics while it holds the senders lock")
    }

    fn next_sender(&self) -> Option<SocketAddr> {
        let in_force = self.config_version();
        self.senders().next_sender(in_force)
    }

    /// Fetches the configuration of another node and puts it in force, if it is newer.
    async fn fetch_config(&self, from: SocketAddr) {
        match self.peers.ask(from, Request::Config(self.config_version())).await {
            Ok(Reply::Config(Some(config))) => {
                self.counters.count("batch.config.from-peer");
                self.set_config(*config);
            }
            Ok(_) => log::debug!("no newer configuration at {from}"),
            Err(error) => {
                self.directory.mark_unresponsive(from);
                log::debug!("no configuration from {from}: {error}");
            }
        }
    }

    /// The configuration in force at this node, if it is newer than `version`.
    pub fn config_newer_than(&self, version: Version) -> Option<Box<Config>> {
        let config = self.config().filter(|config| config.version > version)?;
        Some(Box::new(Config::clone(&config)))
    }

    /// Asks a few nodes for a configuration newer than the one in force at this node, which would
    /// refuse a client's request. `None` if none arrives within `ASK_TIMEOUT`, or if the last round
    /// of asking was less than `MIN_ASK_INTERVAL` ago.
    pub async fn fetch_newer_config(&self) -> Option<Arc<Config>> {
        let before = self.config_version();
        if !self.try_start_asking(clock::now()) {
            return None;
        }
        self.counters.count("batch.config.asked");
        let fetches = self
            .directory
            .random_peers(ASKED_PEERS)
            .into_iter()
            .map(|addr| self.fetch_config(addr));
        let fetches = futures_util::future::join_all(fetches);
        // After a timeout, a configuration from a peer that answered in time is in force all the same.
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
