//! Detects which peers are live, by heartbeats over UDP.
//!
//! A peer is live while its last heartbeat was received within [`Members::suspect_after`]. A daemon
//! whose own timer fires late (it was paused, or short of CPU) gives every peer a grace period
//! before suspecting any, as Lifeguard (Dadgar et al., 2018) does for SWIM.
//!
//! Failure detection uses the time at which a heartbeat was received. Freshness cannot: a heartbeat
//! may have been delayed. So each heartbeat echoes the last one that its sender received, and says
//! how long ago that was. The receiver knows when it sent the echoed heartbeat: that time plus the
//! reported one is the earliest time, by its own clock, at which the heartbeat can have been sent.

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

/// Shortest time between two heartbeats to the same peer.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A daemon considers itself to have been paused if a timer of one heartbeat interval fires after
/// more than this number of intervals.
const PAUSED_AFTER_INTERVALS: u32 = 3;
/// Number of heartbeats to a peer whose send times are kept; the echo of an older one is ignored.
const MAX_SENT_TIMES: usize = 64;
/// Pause after a socket error.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The other daemons of the site, as their heartbeats report them.
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
    /// Sequence numbers and send times of the latest heartbeats to it.
    sent_times: VecDeque<(u64, Instant)>,
    received_at: Option<Instant>,
    /// Earliest time at which its last heartbeat can have been sent.
    earliest_sent_at: Option<Instant>,
    /// Until when it counts as live although no heartbeat was received.
    grace_until: Option<Instant>,
    heartbeat: Heartbeat,
}

impl Members {
    /// Members from which no heartbeat was received yet.
    pub fn new(
        own: DaemonId,
        incarnation: Incarnation,
        suspect_after: Duration,
        peers: &[(DaemonId, SocketAddr)],
    ) -> Members {
        let new_peer = |addr| Peer {
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
        let peers = peers.iter().map(|(id, addr)| (*id, new_peer(*addr)));
        let peers = Mutex::new(peers.collect());
        Members { own, incarnation, suspect_after, peers }
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<DaemonId, Peer>> {
        self.peers.lock().expect("no thread panics while it holds the peers lock")
    }

    /// Time without a heartbeat after which a peer is not live.
    pub fn suspect_after(&self) -> Duration {
        self.suspect_after
    }

    /// Number of configured daemons, this one included.
    pub fn configured_count(&self) -> usize {
        self.peers().len() + 1
    }

    /// Every configured daemon, this one included, in order of ids.
    pub fn configured_ids(&self) -> Vec<DaemonId> {
        let mut all: Vec<DaemonId> = self.peers().keys().copied().collect();
        all.push(self.own);
        all.sort_unstable();
        all
    }

    /// Processes a frame received at `now`.
    ///
    /// A frame that does not name this daemon's incarnation is a replay from before its start, or
    /// comes from a peer that has not yet received a frame of it: only the peer's incarnation is
    /// taken from it.
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

    /// The next frame to a peer, sent at `now`, and its address; `None` if there is no such peer.
    fn next_frame(
        &self,
        id: DaemonId,
        heartbeat: Heartbeat,
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
            heartbeat,
        };
        Some((peer.addr, frame))
    }

    /// The live daemons that serve, this one included if `is_self_serving`, in order of ids.
    pub fn serving_daemons(&self, now: Instant, is_self_serving: bool) -> Vec<DaemonId> {
        let peers = self.peers();
        let serves = |peer: &Peer| peer.is_live(now, self.suspect_after) && peer.heartbeat.serving;
        let live = peers.iter().filter(|(_, peer)| serves(peer));
        let mut live: Vec<DaemonId> = live.map(|(id, _)| *id).collect();
        if is_self_serving {
            live.push(self.own);
        }
        live.sort_unstable();
        live
    }

    /// Whether a daemon is live; this one always is.
    pub fn is_live(&self, id: DaemonId, now: Instant) -> bool {
        if id == self.own {
            return true;
        }
        let peers = self.peers();
        peers.get(&id).is_some_and(|peer| peer.is_live(now, self.suspect_after))
    }

    /// State of the peers whose last heartbeat was sent within `max_age`, for the freshness rule.
    pub fn recent_peers(&self, now: Instant, max_age: Duration) -> Vec<PeerState> {
        let peers = self.peers();
        let recent = peers.values().filter_map(|peer| peer.recent_state(now, max_age));
        recent.collect()
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

    /// The address of each live peer and the hash of its state at the last mark.
    pub fn live_hashes(&self, now: Instant) -> Vec<(SocketAddr, StateHash)> {
        let peers = self.peers();
        let live = peers.values().filter(|peer| peer.is_live(now, self.suspect_after));
        live.filter_map(|peer| Some((peer.addr, peer.heartbeat.mark?))).collect()
    }

    /// Counts the peers that have released a box which was taken out of service at `permit`.
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

    /// Counts every peer that has sent a heartbeat as live for another `suspect_after`, because
    /// this daemon was paused itself.
    ///
    /// This affects failure detection only, not the freshness of what a peer reported.
    fn grant_grace(&self, now: Instant) {
        for peer in self.peers().values_mut() {
            if peer.received_at.is_some() {
                peer.grace_until = Some(now + self.suspect_after);
            }
        }
    }
}

/// How many peers have released a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Releases {
    /// Have applied the permit and have no request on the box.
    pub released: usize,
    /// Have not applied the permit, or still have requests on the box.
    pub holding: usize,
    /// Are not live.
    pub unresponsive: usize,
}

impl Peer {
    fn is_live(&self, now: Instant, within: Duration) -> bool {
        let is_recent =
            self.received_at.is_some_and(|at| now.saturating_duration_since(at) < within);
        is_recent || self.grace_until.is_some_and(|until| now < until)
    }

    /// The echo of its last heartbeat, for a frame sent at `now`.
    fn echo(&self, now: Instant) -> Option<Echo> {
        let age = now.saturating_duration_since(self.received_at?);
        let held_ms = age.as_millis().min(u128::from(u32::MAX)) as u32;
        let sequence = self.last_received;
        Some(Echo { sequence, held_ms })
    }

    /// The earliest time at which a heartbeat with this echo can have been sent; `None` if it has
    /// no echo or the echoed send time is no longer kept.
    fn earliest_sent_at(&self, echo: Option<Echo>) -> Option<Instant> {
        let echo = echo?;
        let (_, at) = self.sent_times.iter().find(|(sequence, _)| *sequence == echo.sequence)?;
        Some(*at + Duration::from_millis(echo.held_ms.into()))
    }

    /// Its state by its last heartbeat; `None` if that was sent `max_age` ago or longer.
    fn recent_state(&self, now: Instant, max_age: Duration) -> Option<PeerState> {
        let age = now.saturating_duration_since(self.earliest_sent_at?);
        if age >= max_age {
            return None;
        }
        let log_age = self.heartbeat.log_age_ms.map(|ms| Duration::from_millis(ms.into()) + age);
        Some(PeerState { next: self.heartbeat.next, log_age, is_complete: self.heartbeat.complete })
    }
}

/// Hash that stands for a box in heartbeats. A collision only makes a drain take longer.
pub fn short_box_hash(target: &str) -> u32 {
    hash::stable_hash(&[target.as_bytes()]) as u32
}

/// Sends heartbeats to one peer, at the configured interval and soon after each applied change.
pub async fn send_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>, peer: DaemonId) {
    let mut changes = node.replica.changes();
    loop {
        let heartbeat = own_heartbeat(&node);
        if let Some((addr, frame)) = node.members.next_frame(peer, heartbeat, clock::now()) {
            let bytes = frame.seal(&node.settings.peer_key);
            node.counters.add("peer.sent.bytes", bytes.len() as u64);
            // A send error is treated like a lost datagram.
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
        // Only the first ones fit; the others are reported once these are idle. Since a drain waits
        // for reported boxes only, the driver also polls the worker itself before it acts.
        node.counters.count("peer.busy-overflow");
    }
    busy.iter().take(MAX_BUSY_BOXES).map(|id| short_box_hash(id)).collect()
}

/// Receives heartbeats for as long as the daemon runs.
pub async fn receive_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut bytes).await else {
            sleep(SOCKET_RETRY_DELAY).await;
            continue;
        };
        let frame = Frame::open(&node.settings.peer_key, &bytes[..size]);
        let result = frame.and_then(|frame| node.members.accept_frame(frame, clock::now()));
        match result {
            Ok(()) => node.counters.count("peer.received"),
            Err(error) => node.counters.count(error.counter()),
        }
    }
}

/// Detects pauses of this daemon by its own clock, and grants the peers a grace period after one.
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
