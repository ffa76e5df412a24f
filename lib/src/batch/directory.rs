//! The other nodes: each writes where it is and how strong it is to the store when it starts. That
//! is used when the store turns a node away, and to have strong nodes take the lead first; for
//! nothing that must be right.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::node::Node;
use crate::transport::clock;

/// Topic with the nodes, by name.
const TOPIC: &str = "keyed.nodes";
/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Times between the first reads: nodes of a site start within 0.3 s, some a little later.
const INITIAL_READ_DELAYS: [Duration; 4] = [
    Duration::from_millis(0),
    Duration::from_millis(350),
    Duration::from_millis(650),
    Duration::from_millis(1_500),
];
/// Time between reads after that. Nodes come and go rarely, and those that are gone cost one try.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// How long a node that did not answer is asked only where there are no others: a node that was
/// killed is back within about this time.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);
/// Nodes that are tried for one request.
const MAX_RELAY_PEERS: usize = 2;

/// Share of the strongest node's processor with which a node counts as strong itself.
const PREFERRED_CPU_FRACTION: f64 = 0.7;

/// A node, as it writes itself to the store.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct Entry {
    addr: SocketAddr,
    /// Its processor, in thousandths of a core.
    cpu: u32,
}

/// The other nodes.
#[derive(Default)]
pub struct Directory {
    entries: Mutex<Option<Vec<Entry>>>,
    /// The node that last reached the store for this one.
    preferred_relay: Mutex<Option<SocketAddr>>,
    /// Nodes that did not answer, and when.
    unresponsive: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Directory {
    /// The other nodes, with their processor in thousandths of a core.
    pub fn set_nodes(&self, nodes: impl IntoIterator<Item = (SocketAddr, u32)>) {
        let entries = nodes.into_iter().map(|(addr, cpu)| Entry { addr, cpu });
        *self.entries() = Some(entries.collect());
    }

    /// Where the other nodes answer, as far as is known.
    fn addrs(&self) -> Vec<SocketAddr> {
        self.entries().iter().flatten().map(|entry| entry.addr).collect()
    }

    fn entries(&self) -> MutexGuard<'_, Option<Vec<Entry>>> {
        self.entries.lock().expect("no holder of the entries panics")
    }

    /// Whether no other node is much stronger than one with so many thousandths of a core; `None`
    /// until the others have been read.
    pub fn is_preferred_leader(&self, cpu: u32) -> Option<bool> {
        let entries = self.entries();
        let strongest = entries.as_ref()?.iter().map(|entry| entry.cpu).max().unwrap_or(0);
        Some(f64::from(cpu) >= f64::from(strongest) * PREFERRED_CPU_FRACTION)
    }

    /// The strongest of the other nodes, with their processor in thousandths of a core; not those that
    /// are left out, nor such as did not answer lately.
    pub fn peers_by_cpu(
        &self,
        count: usize,
        without: &HashSet<SocketAddr>,
    ) -> Vec<(SocketAddr, u32)> {
        let mut nodes: Vec<Entry> = self.entries().iter().flatten().cloned().collect();
        nodes.retain(|node| !without.contains(&node.addr) && !self.is_unresponsive(node.addr));
        nodes.shuffle(&mut rand::rng());
        nodes.sort_by_key(|node| std::cmp::Reverse(node.cpu));
        nodes.truncate(count);
        nodes.into_iter().map(|node| (node.addr, node.cpu)).collect()
    }

    /// How many of the other nodes have a lower address: a number that each node has for itself,
    /// from 0, as far as they know of each other.
    pub fn rank(&self, own: SocketAddr) -> usize {
        let entries = self.entries();
        entries.iter().flatten().filter(|entry| entry.addr < own).count()
    }

    /// A node has reached the store for this one.
    pub fn set_preferred_relay(&self, addr: SocketAddr) {
        *self.preferred_relay.lock().expect("no holder of the address panics") = Some(addr);
    }

    /// A node has not answered.
    pub fn mark_unresponsive(&self, addr: SocketAddr) {
        let mut shunned = self.unresponsive.lock().expect("no holder of the addresses panics");
        shunned.retain(|_, since| clock::since(*since) < UNRESPONSIVE_COOLDOWN);
        shunned.insert(addr, clock::now());
    }

    fn is_unresponsive(&self, addr: SocketAddr) -> bool {
        let shunned = self.unresponsive.lock().expect("no holder of the addresses panics");
        shunned.get(&addr).is_some_and(|since| clock::since(*since) < UNRESPONSIVE_COOLDOWN)
    }

    /// The other nodes but for those that did not answer lately.
    fn responsive_addrs(&self) -> Vec<SocketAddr> {
        self.addrs().into_iter().filter(|addr| !self.is_unresponsive(*addr)).collect()
    }

    /// A few of the other nodes, not such as did not answer lately: the same ones each time, and others for each node
    /// that asks, so that few connections are needed and all nodes are reached over some others.
    pub fn stable_peers(&self, own: SocketAddr, count: usize) -> Vec<SocketAddr> {
        let mut addrs = self.responsive_addrs();
        addrs.sort_by_cached_key(|addr| {
            *blake3::hash(format!("{own} {addr}").as_bytes()).as_bytes()
        });
        addrs.truncate(count);
        addrs
    }

    /// A few of the other nodes at random, not such as did not answer lately.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let mut addrs = self.responsive_addrs();
        addrs.shuffle(&mut rand::rng());
        addrs.truncate(count);
        addrs
    }

    /// A few of the other nodes: first the one that last was of help, then others at random, and
    /// those that did not answer lately only where there are no others.
    pub fn relay_peers(&self) -> Vec<SocketAddr> {
        let mut addrs = self.addrs();
        addrs.shuffle(&mut rand::rng());
        let preferred = *self.preferred_relay.lock().expect("no holder of the address panics");
        addrs.sort_by_key(|addr| (self.is_unresponsive(*addr), Some(*addr) != preferred));
        addrs.truncate(MAX_RELAY_PEERS);
        addrs
    }
}

/// Writes this node's entry, and reads those of the others now and then.
pub async fn run(node: Arc<Node>) {
    let addr = node.settings.peer_addr();
    let own = Entry { addr, cpu: node.settings.cpu };
    while let Err(error) = write_entry(&node, &own).await {
        log::debug!("the entry of this node was not written: {error}");
        sleep(RETRY_DELAY).await;
    }
    let mut pauses = INITIAL_READ_DELAYS.into_iter();
    loop {
        sleep(pauses.next().unwrap_or(REFRESH_INTERVAL)).await;
        match read_entries(&node, addr).await {
            Ok(entries) => {
                node.directory.set_nodes(entries.into_iter().map(|entry| (entry.addr, entry.cpu)));
            }
            Err(error) => {
                log::debug!("the other nodes cannot be read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn write_entry(node: &Node, own: &Entry) -> Result<(), CallError> {
    let value = postcard::to_stdvec(own).expect("an entry can be written by postcard");
    let record = Record::set(node.settings.node.as_str(), value);
    node.append(TOPIC, &[record], &Guard::None, CALL_TIMEOUT).await.map(drop)
}

async fn read_entries(node: &Node, own: SocketAddr) -> Result<Vec<Entry>, CallError> {
    let newest = node.read_newest(TOPIC, CALL_TIMEOUT).await?;
    let mut entries = Vec::new();
    for record in newest.records {
        let Some(value) = record.value else { continue };
        match postcard::from_bytes::<Entry>(&value) {
            Ok(entry) => entries.push(entry),
            Err(error) => log::warn!("the entry of node {} does not decode: {error}", record.key),
        }
    }
    entries.retain(|entry| entry.addr != own);
    Ok(entries)
}

#[cfg(test)]
mod tests {
    use super::Entry;

    /// A node reads the entries that nodes of another build have written.
    #[test]
    fn an_entry_keeps_its_encoding() {
        let entry = Entry { addr: "127.0.0.1:7001".parse().unwrap(), cpu: 500 };
        let bytes = postcard::to_stdvec(&entry).unwrap();
        assert_eq!(bytes, [0, 127, 0, 0, 1, 217, 54, 244, 3]);
    }
}
