//! How a configuration reaches the nodes that the store does not serve.
//!
//! Each node reads the operator's records itself. One that the store turns away or leaves without an answer learns of a
//! newer version from the others: whoever has put one in force tells a few nodes its number, and who has an older one
//! fetches it from the teller, whole, and tells others in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Version;
use tokio::time::timeout;

use crate::batch::config::Config;
use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::transport::clock;

/// Nodes that are told of a new version by each node that has put it in force: with half of all cut off from the store,
/// one in twenty of them is told by nobody else at first.
const FANOUT: usize = 3;
/// Nodes whose configuration is fetched at once, so that one that is silent does not hold up another.
const MAX_FETCHES: usize = 2;
/// Nodes that wait to have theirs fetched; of more, who has the oldest version is passed over.
const MAX_PENDING_SENDERS: usize = 4;
/// How long a call that would be refused waits for a newer configuration.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Least time between two such questions of a node, however many calls would be refused.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Nodes that are asked each time.
const ASKED_PEERS: usize = 2;

/// What a node knows of its own questions.
#[derive(Default)]
pub struct Gossip {
    asked_at: Mutex<Option<Instant>>,
    senders: Mutex<Senders>,
}

/// Nodes that have told of versions newer than the one in force here.
#[derive(Default)]
struct Senders {
    /// Tasks that fetch versions.
    active_fetches: usize,
    pending: Vec<(Version, SocketAddr)>,
}

impl Senders {
    /// A node has told of a version; returns whether one more task is to fetch versions.
    fn add(&mut self, version: Version, from: SocketAddr) -> bool {
        self.pending.retain(|(_, addr)| *addr != from);
        self.pending.push((version, from));
        self.pending.sort_unstable();
        let passed_over = self.pending.len().saturating_sub(MAX_PENDING_SENDERS);
        self.pending.drain(..passed_over);
        let may_begin = self.active_fetches < MAX_FETCHES;
        self.active_fetches += usize::from(may_begin);
        may_begin
    }

    /// Whose version is fetched next, the newest first; `None` ends the task that asks.
    fn next_source(&mut self, in_force: Version) -> Option<SocketAddr> {
        self.pending.retain(|(version, _)| *version > in_force);
        let next = self.pending.pop();
        self.active_fetches -= usize::from(next.is_none());
        next.map(|(_, addr)| addr)
    }
}

impl Node {
    /// Tells a few nodes that a version is in force here.
    pub fn announce_version(&self, version: Version) {
        let from = self.settings.peer_addr();
        for addr in self.directory.stable_peers(from, FANOUT) {
            self.counters.count("batch.config.told");
            self.peers.notify(addr, Request::Newer { version, from });
        }
    }

    /// Another node has a version in force.
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
        self.gossip.senders.lock().expect("no holder of the tellers panics")
    }

    fn next_sender(&self) -> Option<SocketAddr> {
        let in_force = self.config_version();
        self.senders().next_source(in_force)
    }

    /// Fetches the configuration of another node and puts it in force if it is newer.
    async fn fetch_config(&self, from: SocketAddr) {
        match self.peers.ask(from, Request::Config(self.config_version())).await {
            Ok(Reply::Config(Some(config))) => {
                self.counters.count("batch.config.from-peer");
                self.set_config(*config);
            }
            Ok(_) => log::debug!("no newer configuration at {from}"),
            Err(error) => log::debug!("no configuration from {from}: {error}"),
        }
    }

    /// The configuration in force here, if it is newer than a peer's.
    pub fn config_newer_than(&self, version: Version) -> Option<Box<Config>> {
        let config = self.config().filter(|config| config.version > version)?;
        Some(Box::new(Config::clone(&config)))
    }

    /// Asks a few nodes for a configuration newer than this node's, which would refuse a call; `None` if none is
    /// known in time, or nodes were asked a moment ago.
    pub async fn fetch_newer_config(&self) -> Option<Arc<Config>> {
        let before = self.config_version();
        if !self.try_start_asking(clock::now()) {
            return None;
        }
        self.counters.count("batch.config.asked");
        let asks = self
            .directory
            .random_peers(ASKED_PEERS)
            .into_iter()
            .map(|addr| self.fetch_config(addr));
        let asked = futures_util::future::join_all(asks);
        // Whatever came in time counts, also if one of them is silent.
        let _ = timeout(ASK_TIMEOUT, asked).await;
        self.config().filter(|config| config.version > before)
    }

    fn try_start_asking(&self, now: Instant) -> bool {
        let mut asked_at = self.gossip.asked_at.lock().expect("no holder of the time panics");
        if asked_at.is_some_and(|at| now.saturating_duration_since(at) < MIN_ASK_INTERVAL) {
            return false;
        }
        *asked_at = Some(now);
        true
    }
}
