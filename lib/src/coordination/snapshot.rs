//! Writes snapshots onto the log, and finds out when a daemon's state differs from its peers'.
//!
//! A mark record asks every daemon to hash its state right after it. The daemon that wrote the
//! mark also writes its state, in chunks. All hashes go round in the heartbeats: a daemon that
//! differs from a majority of those that speak of the same mark takes a peer's state in place of
//! its own.

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

/// How often a daemon looks whether a snapshot is due and whether it differs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which a snapshot once marked should have been written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Batches kept for peers that catch up.
const MAX_BATCHES: usize = 2048;
/// Bytes of batches kept for peers that catch up.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// Key of the duty to write snapshots.
const OWNER_KEY: &[u8] = b"snapshot";

/// What a daemon keeps of its past: hashes of its state, and the latest batches.
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

/// The last snapshot seen whole on the log.
#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    mark: Offset,
    parts: u32,
    age_since: Instant,
}

impl History {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the history panics")
    }

    /// Keeps a batch that was applied.
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

    /// All batches from `from` on, if they are still kept.
    pub fn batches_from(&self, from: Offset) -> Option<Vec<(Offset, Bytes)>> {
        let inner = self.inner();
        let oldest = inner.batches.front().map(|(offset, _)| *offset)?;
        if from < oldest {
            return None;
        }
        let newer = inner.batches.iter().filter(|(offset, _)| *offset >= from);
        Some(newer.cloned().collect())
    }

    /// Position and hash of the state at the last mark.
    pub fn state_hash(&self) -> Option<StateHash> {
        self.inner().state_hash
    }

    /// Notes the hash of the state at a mark.
    fn set_state_hash(&self, hashed: Option<StateHash>) {
        self.inner().state_hash = hashed;
    }

    /// Forgets the batches, which do not follow on from a state that was put in place.
    pub fn forget_batches(&self) {
        let mut inner = self.inner();
        inner.batches.clear();
        inner.bytes = 0;
    }

    /// Notes a chunk on the log.
    pub fn record_chunk(&self, chunk: &Chunk) {
        let mut inner = self.inner();
        let before = inner.last_snapshot.filter(|seen| seen.mark == chunk.mark);
        let parts = before.map_or(0, |seen| seen.parts) + 1;
        let whole = parts >= chunk.parts;
        // A snapshot that is not whole yet must not put off the next one.
        let at = match (whole, inner.last_snapshot) {
            (false, Some(seen)) => seen.age_since,
            _ => clock::now(),
        };
        inner.last_snapshot = Some(SeenSnapshot { mark: chunk.mark, parts, age_since: at });
    }

    fn snapshot_age(&self) -> Option<Duration> {
        self.inner().last_snapshot.map(|seen| clock::since(seen.age_since))
    }
}

/// Hashes the state right after a mark; the mark's writer also gets the chunks to write.
pub fn hash_at_mark(node: &Node, fleet: &Fleet, is_writer: bool) -> Vec<Chunk> {
    let encoded = snapshot::encode(fleet);
    let digest = snapshot::digest(&encoded);
    let head = digest[..8].try_into().expect("a digest holds 32 bytes");
    let hashed = StateHash { position: fleet.marked, head: u64::from_le_bytes(head) };
    node.history.set_state_hash(Some(hashed));
    node.counters.count("snapshot.hashed");
    if is_writer { snapshot::split(&encoded, fleet.marked) } else { Vec::new() }
}

/// Writes chunks to the log, one after the other.
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

/// Starts snapshots when they are due, and rebuilds this daemon when it differs.
pub async fn run(node: Arc<Node>) {
    let mut tried: Option<Instant> = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let written_by_now = tried.is_none_or(|tried| clock::since(tried) >= WRITE_TIMEOUT);
        if written_by_now && let Some(after) = mark_due_after(&node) {
            tried = Some(clock::now());
            // Refused if another daemon marked meanwhile.
            let _ = node.appender.submit(new_record_id(), Body::Mark { after }).await;
        }
        if let Some(peer) = diverging_majority_peer(&node) {
            node.counters.count("snapshot.deviant");
            log::warn!("this daemon's state differs from the others': rebuilds it from a peer");
            rebuild_from(&node, peer).await;
        }
    }
}

/// The mark after which a new one is due, if it is this daemon's duty.
///
/// Time alone makes one due as well: on a log that is idle, the last snapshot lapses like any
/// other record.
fn mark_due_after(node: &Node) -> Option<Offset> {
    let duty = hash::owner(OWNER_KEY, &node.serving_daemons());
    if node.basis() != Basis::Log || duty != Some(node.settings.id) {
        return None;
    }
    let fleet = node.replica.fleet();
    let many = fleet.next.saturating_sub(fleet.marked) >= node.settings.snapshot_every;
    let old = node.history.snapshot_age().is_none_or(|age| age >= node.settings.snapshot_period);
    let due = fleet.next > 0 && (many || old);
    due.then_some(fleet.marked)
}

/// A peer of the majority, if this daemon is not of it.
fn diverging_majority_peer(node: &Node) -> Option<SocketAddr> {
    let own = node.history.state_hash()?;
    let peers = node.members.live_hashes(clock::now());
    let other = majority_against(own, &peers)?;
    node.counters.count("snapshot.differs");
    let agreeing = peers.iter().find(|(_, hashed)| *hashed == other);
    agreeing.map(|(addr, _)| *addr)
}

/// The hash that most daemons have at this daemon's mark, if it is another one.
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
    let same_mark = peers.iter().filter(|(_, hashed)| hashed.position == own.position);
    for (_, hashed) in same_mark {
        *votes.entry(hashed.head).or_default() += 1;
    }
    let all: usize = votes.values().sum();
    let (head, most) = votes.into_iter().max_by_key(|(_, count)| *count)?;
    let other = head != own.head && 2 * most > all;
    other.then_some(StateHash { position: own.position, head })
}

/// Takes a peer's whole state. Until then, this daemon serves nobody.
async fn rebuild_from(node: &Arc<Node>, peer: SocketAddr) {
    node.set_diverged(true);
    match catch_up::from_peer(node, peer, true).await {
        Ok(()) => {
            // The hash of the wrong state is of no use; the next mark brings a new one.
            node.history.set_state_hash(None);
            node.set_diverged(false);
            node.counters.count("snapshot.rebuilt");
        }
        Err(_) => node.counters.count("snapshot.rebuild-failed"),
    }
}
