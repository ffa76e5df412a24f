//! Writes snapshots to the log, and detects when a daemon's state has diverged from its peers'.
//!
//! A mark record makes every daemon hash its state right after it. The daemon that wrote the mark
//! also writes its state to the log, in chunks. Heartbeats carry the hashes: a daemon that differs
//! from a majority of those that report the same mark replaces its state by a peer's.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::time::sleep;

use crate::coordination::append::new_record_id;
use crate::coordination::catch_up;
use crate::coordination::freshness::Basis;
use crate::coordination::node::Node;
use crate::protocol::wire::StateHash;
use crate::state::fleet::Fleet;
use crate::state::hash;
use crate::state::id::Offset;
use crate::state::record::Body;
use crate::state::snapshot;
use crate::state::snapshot::Chunk;
use crate::transport::clock;

/// How often a daemon checks whether a snapshot is due and whether its state has diverged.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a marked snapshot is given to be written, before another mark may be appended.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of batches kept for peers that catch up.
const MAX_BATCHES: usize = 2048;
/// Maximum size of the batches kept for peers that catch up, in bytes.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// Key by which the rendezvous hash chooses the daemon that appends marks.
const OWNER_KEY: &[u8] = b"snapshot";

/// The hash of a daemon's state at the last mark, its latest batches, and the age of the last
/// snapshot.
#[derive(Debug, Default)]
pub struct History {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    batches: VecDeque<(Offset, Bytes)>,
    bytes: usize,
    state_hash: Option<StateHash>,
    last_snapshot: Option<SeenSnapshot>,
}

/// The snapshot of the last chunk read from the log.
#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    mark: Offset,
    /// How many of its chunks were read.
    parts: u32,
    /// When the last whole snapshot was read; if there was none, when its first chunk was.
    age_since: Instant,
}

impl History {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the history lock")
    }

    /// Keeps an applied batch for peers that catch up, and drops the oldest ones over the limits.
    pub fn keep_batch(&self, offset: Offset, bytes: Bytes) {
        let mut inner = self.inner();
        inner.bytes += bytes.len();
        inner.batches.push_back((offset, bytes));
        while inner.batches.len() > MAX_BATCHES || inner.bytes > MAX_BYTES {
            let Some((_, oldest)) = inner.batches.pop_front() else {
                break;
            };
            inner.bytes -= oldest.len();
        }
    }

    /// All applied batches from `from` on; `None` if some of them are no longer kept.
    pub fn batches_from(&self, from: Offset) -> Option<Vec<(Offset, Bytes)>> {
        let inner = self.inner();
        let oldest = inner.batches.front().map(|(offset, _)| *offset)?;
        if from < oldest {
            return None;
        }
        let newer = inner.batches.iter().filter(|(offset, _)| *offset >= from);
        Some(newer.cloned().collect())
    }

    /// Position and hash of the state at the last mark; `None` before one was applied.
    pub fn state_hash(&self) -> Option<StateHash> {
        self.inner().state_hash
    }

    /// Sets the hash of the state at a mark.
    fn set_state_hash(&self, state_hash: Option<StateHash>) {
        self.inner().state_hash = state_hash;
    }

    /// Drops the batches, since they do not lead up to a state that was installed.
    pub fn forget_batches(&self) {
        let mut inner = self.inner();
        inner.batches.clear();
        inner.bytes = 0;
    }

    /// Records a snapshot chunk that was read from the log.
    pub fn record_chunk(&self, chunk: &Chunk) {
        let mut inner = self.inner();
        let before = inner.last_snapshot.filter(|seen| seen.mark == chunk.mark);
        let parts = before.map_or(0, |seen| seen.parts) + 1;
        let whole = parts >= chunk.parts;
        // A snapshot that is not whole yet must not defer the next one.
        let at = match (whole, inner.last_snapshot) {
            (false, Some(seen)) => seen.age_since,
            _ => clock::now(),
        };
        inner.last_snapshot = Some(SeenSnapshot { mark: chunk.mark, parts, age_since: at });
    }

    /// Time since the last snapshot on the log; `None` if none was read.
    fn snapshot_age(&self) -> Option<Duration> {
        self.inner().last_snapshot.map(|seen| clock::since(seen.age_since))
    }
}

/// Hashes the state right after a mark. Returns the snapshot's chunks if this daemon wrote the
/// mark, else none.
pub fn hash_at_mark(node: &Node, fleet: &Fleet, is_writer: bool) -> Vec<Chunk> {
    let encoded = snapshot::encode(fleet);
    let digest = snapshot::digest(&encoded);
    let head = digest[..8].try_into().expect("a digest holds 32 bytes");
    let state_hash = StateHash { position: fleet.marked, head: u64::from_le_bytes(head) };
    node.history.set_state_hash(Some(state_hash));
    node.counters.count("snapshot.hashed");
    if is_writer { snapshot::split(&encoded, fleet.marked) } else { Vec::new() }
}

/// Appends chunks to the log, one after the other.
pub async fn write_chunks(node: Arc<Node>, chunks: Vec<Chunk>) {
    node.counters.count("snapshot.written");
    for chunk in chunks {
        let body = Body::Snapshot(chunk);
        if node.appender.submit_without_timeout(body).await.is_err() {
            node.counters.count("snapshot.write-failed");
            return;
        }
    }
}

/// Appends marks when snapshots are due, and replaces this daemon's state when it has diverged.
pub async fn run(node: Arc<Node>) {
    let mut last_mark: Option<Instant> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let may_mark = last_mark.is_none_or(|last_mark| clock::since(last_mark) >= WRITE_TIMEOUT);
        if may_mark && let Some(after) = mark_due_after(&node) {
            last_mark = Some(clock::now());
            // Refused if another daemon has appended a mark meanwhile.
            let _ = node.appender.submit(new_record_id(), Body::Mark { after }).await;
        }
        if let Some(peer) = majority_peer_if_diverged(&node) {
            node.counters.count("snapshot.deviant");
            log::warn!("state differs from a majority of the daemons; replacing it by a peer's");
            rebuild_from(&node, peer).await;
        }
    }
}

/// The position of the last mark, if a new one is due and this daemon is to append it.
///
/// A mark is also due after `snapshot_period` without new records: on an idle log, the last
/// snapshot expires like any other record.
fn mark_due_after(node: &Node) -> Option<Offset> {
    let owner = hash::owner(OWNER_KEY, &node.serving_daemons());
    if node.basis() != Basis::Log || owner != Some(node.settings.id) {
        return None;
    }
    let fleet = node.replica.fleet();
    let many = fleet.next.saturating_sub(fleet.marked) >= node.settings.snapshot_every;
    let old = node.history.snapshot_age().is_none_or(|age| age >= node.settings.snapshot_period);
    let due = fleet.next > 0 && (many || old);
    due.then_some(fleet.marked)
}

/// A peer with the state of a majority, if this daemon's state differs from it.
fn majority_peer_if_diverged(node: &Node) -> Option<SocketAddr> {
    let own = node.history.state_hash()?;
    let peers = node.members.live_hashes(clock::now());
    let other = majority_against(own, &peers)?;
    node.counters.count("snapshot.differs");
    let agreeing = peers.iter().find(|(_, state_hash)| *state_hash == other);
    agreeing.map(|(addr, _)| *addr)
}

/// The hash that a majority of the daemons reports for this daemon's mark, if its own is another.
///
/// ```
/// use spokelift_lib::coordination::snapshot::majority_against;
/// use spokelift_lib::protocol::wire::StateHash;
/// let hashed = |head| StateHash { position: 9, head };
/// let peer = |head| ("127.0.0.1:1".parse().unwrap(), hashed(head));
/// assert_eq!(majority_against(hashed(1), &[peer(2), peer(2)]), Some(hashed(2)));
/// assert_eq!(majority_against(hashed(1), &[peer(2)]), None, "one against one");
/// assert_eq!(majority_against(hashed(1), &[peer(1), peer(2)]), None);
/// ```
pub fn majority_against(own: StateHash, peers: &[(SocketAddr, StateHash)]) -> Option<StateHash> {
    let mut votes: BTreeMap<u64, usize> = BTreeMap::from([(own.head, 1)]);
    let same_mark = peers.iter().filter(|(_, state_hash)| state_hash.position == own.position);
    for (_, state_hash) in same_mark {
        *votes.entry(state_hash.head).or_default() += 1;
    }
    let all: usize = votes.values().sum();
    let (head, most) = votes.into_iter().max_by_key(|(_, count)| *count)?;
    let other = head != own.head && 2 * most > all;
    other.then_some(StateHash { position: own.position, head })
}

/// Replaces this daemon's state by a peer's. Until that succeeds, the daemon does not serve.
async fn rebuild_from(node: &Arc<Node>, peer: SocketAddr) {
    node.set_diverged(true);
    match catch_up::from_peer(node, peer, true).await {
        Ok(()) => {
            // This is the hash of the diverged state; the next mark sets a new one.
            node.history.set_state_hash(None);
            node.set_diverged(false);
            node.counters.count("snapshot.rebuilt");
        }
        Err(_) => node.counters.count("snapshot.rebuild-failed"),
    }
}
