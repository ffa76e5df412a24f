//! Directory of the other nodes: each node writes its address and its CPU to the store when it
//! starts, reads all entries once, and later only what was written since. Used to choose peers, for
//! relayed calls to the store among others, and to have nodes with enough CPU claim the leader lease
//! first. Entries may be outdated. The leader must know every node that may claim its lease, so a
//! node that has joined also tells the leader.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::watch::Group;
use crate::transport::clock;

/// Topic with the entries of the nodes, keyed by node name.
const TOPIC: &str = "keyed.nodes";
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delays before the first reads: most nodes of a site start within 0.3 s, some a little later.
const INITIAL_READ_DELAYS: [Duration; 4] = [
    Duration::from_millis(0),
    Duration::from_millis(350),
    Duration::from_millis(650),
    Duration::from_millis(1_500),
];
/// Least time between reads after that. Nodes rarely start or stop, and an entry of a node that does
/// not run any more costs one failed request.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two times of telling the leader of this node.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);
/// With more nodes than this, each of them reads less often, so that the reads of all together do
/// not grow with the nodes.
const READERS: usize = 16;
/// How long a node that did not answer is avoided where other nodes can be asked. A node that was
/// killed has restarted after about this time.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);
/// Maximum number of peers that are asked to relay one call.
const MAX_RELAY_PEERS: usize = 2;

/// A node with at least this fraction of the largest CPU of all nodes is a preferred leader.
const PREFERRED_CPU_FRACTION: f64 = 0.7;

/// The entry of a node in the store.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
struct Entry {
    addr: SocketAddr,
    /// CPU of the node, in thousandths of a core.
    cpu: u32,
}

/// The other nodes, as far as this node knows them.
#[derive(Default)]
pub struct Directory {
    entries: Mutex<Option<Vec<Entry>>>,
    /// Nodes that have told this one that they have joined, and whose entries it has not read yet.
    joined: Mutex<Vec<Entry>>,
    /// When the last read that succeeded began; `None` before the first.
    read_at: Mutex<Option<Instant>>,
    /// Whether this node has joined: its entry is in the store.
    has_joined: AtomicBool,
    /// Whether the leader knows this node, and later ones will once they have read the directory.
    is_known_to_leaders: AtomicBool,
    /// The node that last relayed a call to the store for this one.
    preferred_relay: Mutex<Option<SocketAddr>>,
    /// Nodes that did not answer, and when they were last asked.
    unresponsive: Mutex<HashMap<SocketAddr, Instant>>,
}

impl Directory {
    /// Sets the other nodes, with their CPU in thousandths of a core.
    pub fn set_nodes(&self, nodes: impl IntoIterator<Item = (SocketAddr, u32)>) {
        let entries = nodes.into_iter().map(|(addr, cpu)| Entry { addr, cpu });
        let mut entries: Vec<Entry> = entries.collect();
        let mut joined = self.joined();
        joined.retain(|node| entries.iter().all(|entry| entry.addr != node.addr));
        entries.extend(joined.iter().cloned());
        *self.entries() = Some(entries);
    }

    /// Adds a node that has joined, until its entry is read.
    pub fn add_joined(&self, addr: SocketAddr, cpu: u32) {
        let (mut joined, mut entries) = (self.joined(), self.entries());
        let mut known = entries.iter().flatten().chain(joined.iter());
        if known.any(|entry| entry.addr == addr) {
            return;
        }
        let entry = Entry { addr, cpu };
        if let Some(entries) = entries.as_mut() {
            entries.push(entry.clone());
        }
        joined.push(entry);
    }

    fn joined(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.joined.lock().expect("no thread panics while it holds the joined lock")
    }

    fn read_at(&self) -> MutexGuard<'_, Option<Instant>> {
        self.read_at.lock().expect("no thread panics while it holds the time lock")
    }

    /// Whether a read that began after `then` has succeeded.
    pub fn is_read_since(&self, then: Instant) -> bool {
        self.read_at().is_some_and(|at| at >= then)
    }

    /// Whether this node has joined: its entry is in the store.
    pub fn has_joined(&self) -> bool {
        self.has_joined.load(Ordering::Relaxed)
    }

    /// Whether the leader knows this node, and later ones will once they have read the directory.
    pub fn is_known_to_leaders(&self) -> bool {
        self.is_known_to_leaders.load(Ordering::Relaxed)
    }

    /// Records that the leader knows this node, and that later ones will once they have read the directory.
    pub fn set_known_to_leaders(&self) {
        self.is_known_to_leaders.store(true, Ordering::Relaxed);
    }

    /// Addresses of the other nodes.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.entries().iter().flatten().map(|entry| entry.addr).collect()
    }

    fn entries(&self) -> MutexGuard<'_, Option<Vec<Entry>>> {
        self.entries.lock().expect("no thread panics while it holds the entries lock")
    }

    /// Whether a node with this CPU, in thousandths of a core, is a preferred leader: no other node
    /// has much more. `None` until the other nodes have been read.
    pub fn is_preferred_leader(&self, cpu: u32) -> Option<bool> {
        let entries = self.entries();
        let largest = entries.as_ref()?.iter().map(|entry| entry.cpu).max().unwrap_or(0);
        Some(is_preferred(cpu, largest))
    }

    /// Number of other nodes that are preferred leaders if a node with this CPU is one, and are not
    /// if it is not.
    pub fn count_alike(&self, cpu: u32) -> usize {
        let entries = self.entries();
        let cpus = || entries.iter().flatten().map(|entry| entry.cpu);
        let largest = cpus().max().unwrap_or(0).max(cpu);
        let is_alike = |other: &u32| is_preferred(*other, largest) == is_preferred(cpu, largest);
        cpus().filter(is_alike).count()
    }

    /// Number of other nodes; `None` until they have been read.
    pub fn count(&self) -> Option<usize> {
        self.entries().as_ref().map(Vec::len)
    }

    /// Up to `count` of the other nodes, those with the most CPU first, with their CPU in thousandths
    /// of a core. Excludes the given nodes and those that did not answer recently.
    pub fn peers_by_cpu(
        &self,
        count: usize,
        excluded: &HashSet<SocketAddr>,
    ) -> Vec<(SocketAddr, u32)> {
        let mut nodes: Vec<Entry> = self.entries().iter().flatten().cloned().collect();
        nodes.retain(|node| !excluded.contains(&node.addr) && !self.is_unresponsive(node.addr));
        nodes.shuffle(&mut rand::rng());
        nodes.sort_by_key(|node| std::cmp::Reverse(node.cpu));
        nodes.truncate(count);
        nodes.into_iter().map(|node| (node.addr, node.cpu)).collect()
    }

    /// Number of other nodes with a lower address than `own`. Ranks start at 0 and are distinct if
    /// all nodes know each other.
    pub fn rank(&self, own: SocketAddr) -> usize {
        let entries = self.entries();
        entries.iter().flatten().filter(|entry| entry.addr < own).count()
    }

    /// Records that a node has relayed a call to the store.
    pub fn set_preferred_relay(&self, addr: SocketAddr) {
        *self.preferred_relay.lock().expect("no thread panics while it holds the address lock") =
            Some(addr);
    }

    /// Records that a node did not answer.
    pub fn mark_unresponsive(&self, addr: SocketAddr) {
        let mut unresponsive =
            self.unresponsive.lock().expect("no thread panics while it holds the addresses lock");
        unresponsive.retain(|_, since| clock::since(*since) < UNRESPONSIVE_COOLDOWN);
        unresponsive.insert(addr, clock::now());
    }

    fn is_unresponsive(&self, addr: SocketAddr) -> bool {
        let unresponsive =
            self.unresponsive.lock().expect("no thread panics while it holds the addresses lock");
        unresponsive.get(&addr).is_some_and(|since| clock::since(*since) < UNRESPONSIVE_COOLDOWN)
    }

    /// Addresses of the other nodes except those that did not answer recently.
    fn responsive_addrs(&self) -> Vec<SocketAddr> {
        self.addrs().into_iter().filter(|addr| !self.is_unresponsive(*addr)).collect()
    }

    /// Up to `count` of the other nodes, without those that did not answer recently. A node gets the
    /// same peers each time, so that it needs few connections, and each node gets different ones, so
    /// that every node is reached through some others.
    pub fn stable_peers(&self, own: SocketAddr, count: usize) -> Vec<SocketAddr> {
        let mut addrs = self.responsive_addrs();
        addrs.sort_by_cached_key(|addr| {
            *blake3::hash(format!("{own} {addr}").as_bytes()).as_bytes()
        });
        addrs.truncate(count);
        addrs
    }

    /// The next of the other nodes after `own` in the order of their addresses, the first one after
    /// the last, without those that did not answer recently; `None` if there is none.
    pub fn successor(&self, own: SocketAddr) -> Option<SocketAddr> {
        let addrs = self.responsive_addrs();
        let next = addrs.iter().filter(|addr| **addr > own).min();
        next.or(addrs.iter().min()).copied()
    }

    /// Up to `count` random other nodes, without those that did not answer recently.
    pub fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let mut addrs = self.responsive_addrs();
        addrs.shuffle(&mut rand::rng());
        addrs.truncate(count);
        addrs
    }

    /// The nodes to ask to relay a call: first the one that last relayed one, then random others.
    /// Nodes that did not answer recently come last.
    pub fn relay_peers(&self) -> Vec<SocketAddr> {
        let mut addrs = self.addrs();
        addrs.shuffle(&mut rand::rng());
        let preferred =
            *self.preferred_relay.lock().expect("no thread panics while it holds the address lock");
        addrs.sort_by_key(|addr| (self.is_unresponsive(*addr), Some(*addr) != preferred));
        addrs.truncate(MAX_RELAY_PEERS);
        addrs
    }
}

fn is_preferred(cpu: u32, largest: u32) -> bool {
    f64::from(cpu) >= f64::from(largest) * PREFERRED_CPU_FRACTION
}

/// Writes this node's entry, and reads the entries of the other nodes at intervals.
pub async fn run(node: Arc<Node>) {
    let addr = node.settings.peer_addr();
    let own = Entry { addr, cpu: node.settings.cpu };
    let mut known = Known::default();
    while let Err(error) = join(&node, &own, &mut known).await {
        log::debug!("cannot join the other nodes: {error}");
        sleep(RETRY_DELAY).await;
    }
    node.directory.has_joined.store(true, Ordering::Relaxed);
    tokio::spawn(tell_leader(node.clone(), own));
    let mut delays = INITIAL_READ_DELAYS.into_iter();
    loop {
        match delays.next() {
            Some(delay) => node.directory_turns.pause(delay).await,
            None => {
                let group = Group { nodes: known.entries.len(), watchers: READERS };
                node.directory_turns.pause(REFRESH_INTERVAL).await;
                node.directory_turns.rest(group).await;
            }
        }
        let read_at = clock::now();
        match known.read(&node).await {
            Ok(()) => {
                let others = known.entries.values().filter(|entry| entry.addr != addr);
                node.directory.set_nodes(others.map(|entry| (entry.addr, entry.cpu)));
                *node.directory.read_at() = Some(read_at);
            }
            Err(error) => {
                log::debug!("cannot read the entries of the other nodes: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes this node's entry, unless it is there since an earlier start: then the leader has read it.
async fn join(node: &Node, own: &Entry, known: &mut Known) -> Result<(), CallError> {
    known.read(node).await?;
    if known.entries.get(&node.settings.node) == Some(own) {
        node.directory.set_known_to_leaders();
        return Ok(());
    }
    write_entry(node, own).await
}

/// Tells the leader that this node has joined, until a leader knows it or this node leads.
async fn tell_leader(node: Arc<Node>, own: Entry) {
    while !node.holds_lease() {
        if let Some(leader) = node.remote_leader() {
            let request = peer::Request::Joined { addr: own.addr, cpu: own.cpu };
            if matches!(node.peers.ask(leader, request).await, Ok(peer::Reply::Done)) {
                return node.directory.set_known_to_leaders();
            }
        }
        sleep(JOIN_INTERVAL).await;
    }
}

async fn write_entry(node: &Node, own: &Entry) -> Result<(), CallError> {
    let value = postcard::to_stdvec(own).expect("an entry can be encoded by postcard");
    let record = Record::set(node.settings.node.as_str(), value);
    node.append(TOPIC, &[record], &Guard::None, CALL_TIMEOUT).await.map(drop)
}

/// The entries read so far, by node name.
#[derive(Default)]
struct Known {
    entries: BTreeMap<String, Entry>,
    /// Offset to read on from; `None` until all entries have been read.
    end: Option<Offset>,
}

impl Known {
    /// Reads the entries that were written since the last read, or all of them if the store does not
    /// keep their records any more.
    async fn read(&mut self, node: &Node) -> Result<(), CallError> {
        if let Some(end) = self.end {
            match node.read_topic(TOPIC, end, Duration::ZERO, CALL_TIMEOUT).await {
                Ok(page) => {
                    self.end = Some(end + page.records.len() as Offset);
                    self.apply(page.records);
                    return Ok(());
                }
                Err(error) if error.status() == Some(410) => {}
                Err(error) => return Err(error),
            }
        }
        let newest = node.read_newest(TOPIC, CALL_TIMEOUT).await?;
        self.entries.clear();
        self.end = Some(newest.end);
        self.apply(newest.records);
        Ok(())
    }

    fn apply(&mut self, records: Vec<Record>) {
        for record in records {
            let Some(value) = record.value else {
                self.entries.remove(&record.key);
                continue;
            };
            match postcard::from_bytes::<Entry>(&value) {
                Ok(entry) => {
                    self.entries.insert(record.key, entry);
                }
                Err(error) => log::warn!("cannot decode the entry of node {}: {error}", record.key),
            }
        }
    }
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
