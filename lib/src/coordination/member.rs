//! Which peers are alive, by heartbeats over UDP.
//!
//! A peer is live while it was heard of within [`Members::suspect_after`]. A daemon that finds its
//! own loop late (it was paused, or starved) gives every peer a new chance before suspecting it,
//! as Lifeguard (Dadgar et al., 2018) does for SWIM.
//!
//! Suspicion goes by when a beat was received. Freshness must not: a beat may have been on its way
//! for long. Each beat names the last one its sender had received and for how long, so it was sent
//! no earlier than that one plus that time, by the receiver's own clock.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::coordination::freshness::PeerState;
use crate::coordination::node::Node;
use crate::protocol::wire::Echo;
use crate::protocol::wire::Frame;
use crate::protocol::wire::Heartbeat;
use crate::protocol::wire::MAX_BUSY_BOXES;
use crate::protocol::wire::MAX_DATAGRAM_BYTES;
use crate::protocol::wire::StateHash;
use crate::protocol::wire::WireError;
use crate::state::hash;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Incarnation;
use crate::state::id::Offset;
use crate::transport::clock;

/// Shortest pause between two beats to the same peer.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A gap of this many intervals between two of its own ticks tells a daemon that it was paused.
const PAUSED_AFTER_INTERVALS: u32 = 3;
/// Beats whose time is kept; an echo of an older one tells nothing.
const MAX_SENT_TIMES: usize = 64;
/// Pause after a socket error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What is known of the other daemons of the site.
#[derive(Debug)]
pub struct Members {
    own: DaemonId,
    incarnation: Incarnation,
    suspect_after: Duration,
    peers: Mutex<BTreeMap<DaemonId, Peer>>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    incarnation: Incarnation,
    last_received: u64,
    last_sent: u64,
    /// When the latest beats went out.
    sent_times: VecDeque<(u64, Instant)>,
    received_at: Option<Instant>,
    /// The beat was sent no earlier than this.
    earliest_sent_at: Option<Instant>,
    /// Until when it is not suspected although it has not been heard of.
    grace_until: Option<Instant>,
    heartbeat: Heartbeat,
}

impl Members {
    /// Members of which none has been heard of yet.
    pub fn new(
        own: DaemonId,
        incarnation: Incarnation,
        suspect_after: Duration,
        peers: &[(DaemonId, SocketAddr)],
    ) -> Members {
        let unheard = |addr| Peer {
            addr,
            incarnation: 0,
            last_received: 0,
            last_sent: 0,
            sent_times: VecDeque::new(),
            received_at: None,
            earliest_sent_at: None,
            grace_until: None,
            heartbeat: Heartbeat::default(),
        };
        let peers = peers.iter().map(|(id, addr)| (*id, unheard(*addr)));
        let peers = Mutex::new(peers.collect());
        Members { own, incarnation, suspect_after, peers }
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<DaemonId, Peer>> {
        self.peers.lock().expect("no holder of the peers panics")
    }

    /// How long a peer may be silent.
    pub fn suspect_after(&self) -> Duration {
        self.suspect_after
    }

    /// How many daemons are configured, this one included.
    pub fn configured_count(&self) -> usize {
        self.peers().len() + 1
    }

    /// Every configured daemon, this one included, in order.
    pub fn configured_ids(&self) -> Vec<DaemonId> {
        let mut all: Vec<DaemonId> = self.peers().keys().copied().collect();
        all.push(self.own);
        all.sort_unstable();
        all
    }

    /// Takes in a frame heard at `now`.
    ///
    /// A frame that does not name this life of this daemon was recorded before it began, or comes
    /// from a peer that has not yet heard of it: it teaches the peer's life and no more.
    pub fn accept_frame(&self, frame: Frame, now: Instant) -> Result<(), WireError> {
        let mut peers = self.peers();
        let peer = peers.get_mut(&frame.from).ok_or(WireError::UnknownPeer)?;
        if frame.incarnation < peer.incarnation {
            return Err(WireError::Replay);
        }
        if frame.incarnation > peer.incarnation {
            peer.incarnation = frame.incarnation;
            peer.last_received = 0;
            peer.received_at = None;
            peer.earliest_sent_at = None;
        }
        if frame.receiver_incarnation != self.incarnation {
            return Ok(());
        }
        if frame.sequence <= peer.last_received {
            return Err(WireError::Replay);
        }
        peer.last_received = frame.sequence;
        peer.received_at = Some(now);
        peer.earliest_sent_at = peer.earliest_sent_at(frame.echo);
        peer.heartbeat = frame.heartbeat;
        Ok(())
    }

    /// The next frame to a peer, sent at `now`, and where it goes.
    fn next_frame(
        &self,
        id: DaemonId,
        beat: Heartbeat,
        now: Instant,
    ) -> Option<(SocketAddr, Frame)> {
        let mut peers = self.peers();
        let peer = peers.get_mut(&id)?;
        peer.last_sent += 1;
        peer.sent_times.push_back((peer.last_sent, now));
        if peer.sent_times.len() > MAX_SENT_TIMES {
            peer.sent_times.pop_front();
        }
        let frame = Frame {
            from: self.own,
            incarnation: self.incarnation,
            sequence: peer.last_sent,
            receiver_incarnation: peer.incarnation,
            echo: peer.echo(now),
            heartbeat: beat,
        };
        Some((peer.addr, frame))
    }

    /// The serving daemons, this one included if `own_serving`, in order.
    pub fn serving_daemons(&self, now: Instant, own_serving: bool) -> Vec<DaemonId> {
        let peers = self.peers();
        let live = |peer: &Peer| peer.is_live(now, self.suspect_after) && peer.heartbeat.serving;
        let live = peers.iter().filter(|(_, peer)| live(peer));
        let mut live: Vec<DaemonId> = live.map(|(id, _)| *id).collect();
        if own_serving {
            live.push(self.own);
        }
        live.sort_unstable();
        live
    }

    /// Whether a daemon was heard of lately.
    pub fn is_live(&self, id: DaemonId, now: Instant) -> bool {
        if id == self.own {
            return true;
        }
        let peers = self.peers();
        peers.get(&id).is_some_and(|peer| peer.is_live(now, self.suspect_after))
    }

    /// Peers heard of within `max_age`, for the freshness rule.
    pub fn recent_peers(&self, now: Instant, max_age: Duration) -> Vec<PeerState> {
        let peers = self.peers();
        let heard = peers.values().filter_map(|peer| peer.recent_state(now, max_age));
        heard.collect()
    }

    /// Live peers with the first offset each has not applied.
    pub fn live_offsets(&self, now: Instant) -> Vec<(DaemonId, Offset)> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, peer)| peer.is_live(now, self.suspect_after));
        live.map(|(id, peer)| (*id, peer.heartbeat.next)).collect()
    }

    /// Live peers that have applied more than `next`, the furthest first.
    pub fn peers_ahead_of(&self, next: Offset, now: Instant) -> Vec<SocketAddr> {
        let peers = self.peers();
        let ahead = peers
            .values()
            .filter(|peer| peer.is_live(now, self.suspect_after) && peer.heartbeat.next > next);
        let mut ahead: Vec<(Offset, SocketAddr)> =
            ahead.map(|peer| (peer.heartbeat.next, peer.addr)).collect();
        ahead.sort_unstable_by_key(|(next, _)| std::cmp::Reverse(*next));
        ahead.into_iter().map(|(_, addr)| addr).collect()
    }

    /// What live peers say their states hashed to at the last mark, and where to reach them.
    pub fn live_hashes(&self, now: Instant) -> Vec<(SocketAddr, StateHash)> {
        let peers = self.peers();
        let live = peers.values().filter(|peer| peer.is_live(now, self.suspect_after));
        live.filter_map(|peer| Some((peer.addr, peer.heartbeat.mark?))).collect()
    }

    /// What peers have said about a box taken out at `permit`.
    pub fn count_releases(&self, target: &str, permit: Offset, now: Instant) -> Releases {
        let short = short_box_hash(target);
        let mut releases = Releases::default();
        for peer in self.peers().values() {
            if !peer.is_live(now, self.suspect_after) {
                releases.unresponsive += 1;
            } else if peer.heartbeat.next < permit || peer.heartbeat.busy.contains(&short) {
                releases.holding += 1;
            } else {
                releases.released += 1;
            }
        }
        releases
    }

    /// Spares every peer heard of before, after this daemon was late itself.
    ///
    /// This is for suspicion only: what a peer said before the pause is no fresher for it.
    fn grant_grace(&self, now: Instant) {
        for peer in self.peers().values_mut() {
            if peer.received_at.is_some() {
                peer.grace_until = Some(now + self.suspect_after);
            }
        }
    }
}

/// How many peers have let go of a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Releases {
    /// Have applied the permit and have no request there.
    pub released: usize,
    /// Have not applied the permit or still have requests there.
    pub holding: usize,
    /// Have not been heard of lately.
    pub unresponsive: usize,
}

impl Peer {
    fn is_live(&self, now: Instant, within: Duration) -> bool {
        let heard =
            self.received_at.is_some_and(|heard| now.saturating_duration_since(heard) < within);
        heard || self.grace_until.is_some_and(|until| now < until)
    }

    fn echo(&self, now: Instant) -> Option<Echo> {
        let held = now.saturating_duration_since(self.received_at?);
        let held_ms = held.as_millis().min(u128::from(u32::MAX)) as u32;
        let sequence = self.last_received;
        Some(Echo { sequence, held_ms })
    }

    /// The earliest moment at which a beat with this echo was sent.
    fn earliest_sent_at(&self, echo: Option<Echo>) -> Option<Instant> {
        let echo = echo?;
        let (_, at) = self.sent_times.iter().find(|(sequence, _)| *sequence == echo.sequence)?;
        Some(*at + Duration::from_millis(echo.held_ms.into()))
    }

    fn recent_state(&self, now: Instant, max_age: Duration) -> Option<PeerState> {
        let age = now.saturating_duration_since(self.earliest_sent_at?);
        if age >= max_age {
            return None;
        }
        let log_age = self.heartbeat.log_age_ms.map(|ms| Duration::from_millis(ms.into()) + age);
        Some(PeerState { next: self.heartbeat.next, log_age, is_complete: self.heartbeat.complete })
    }
}

/// Short name of a box in a heartbeat. Two boxes that share one only make a drain wait longer.
pub fn short_box_hash(target: &str) -> u32 {
    hash::stable_hash(&[target.as_bytes()]) as u32
}

/// Sends heartbeats to one peer: at the set interval, and soon after each change applied.
pub async fn send_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>, peer: DaemonId) {
    let mut changes = node.replica.changes();
    loop {
        let beat = own_heartbeat(&node);
        if let Some((addr, frame)) = node.members.next_frame(peer, beat, clock::now()) {
            let bytes = frame.seal(&node.settings.peer_key);
            node.counters.add("peer.sent.bytes", bytes.len() as u64);
            // A datagram that cannot be sent is one that is lost.
            let _ = socket.send_to(&bytes, addr).await;
        }
        sleep(MIN_HEARTBEAT_INTERVAL).await;
        tokio::select! {
            () = sleep(node.settings.heartbeat_interval.saturating_sub(MIN_HEARTBEAT_INTERVAL)) => {}
            _ = changes.changed() => {}
        }
    }
}

fn own_heartbeat(node: &Node) -> Heartbeat {
    let now = clock::now();
    let log_age = node.replica.log_age(now);
    Heartbeat {
        next: node.replica.next(),
        mark: node.history.state_hash(),
        complete: node.replica.is_complete(),
        log_age_ms: log_age.map(|age| age.as_millis().min(u128::from(u32::MAX)) as u32),
        serving: node.is_serving(),
        inflight: node.routes.inflight(),
        busy: busy_hashes(node),
    }
}

fn busy_hashes(node: &Node) -> Vec<u32> {
    let busy: Vec<BoxId> = node.routes.busy_boxes();
    if busy.len() > MAX_BUSY_BOXES {
        // More than fit: name the first ones now, the others once these are idle. Drains wait for
        // a named box only, so the driver also asks the worker itself before it acts.
        node.counters.count("peer.busy-overflow");
    }
    busy.iter().take(MAX_BUSY_BOXES).map(|id| short_box_hash(id)).collect()
}

/// Takes in heartbeats.
pub async fn receive_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut bytes).await else {
            sleep(SOCKET_RETRY_DELAY).await;
            continue;
        };
        let frame = Frame::open(&node.settings.peer_key, &bytes[..size]);
        let taken = frame.and_then(|frame| node.members.accept_frame(frame, clock::now()));
        match taken {
            Ok(()) => node.counters.count("peer.received"),
            Err(error) => node.counters.count(error.counter()),
        }
    }
}

/// Watches this daemon's own clock, and forgives the peers when it was late.
pub async fn detect_pauses(node: Arc<Node>) {
    let interval = node.settings.heartbeat_interval;
    let mut last = clock::now();
    loop {
        sleep(interval).await;
        let now = clock::now();
        if now.duration_since(last) > interval * PAUSED_AFTER_INTERVALS {
            node.counters.count("member.paused");
            node.members.grant_grace(now);
        }
        last = now;
    }
}
