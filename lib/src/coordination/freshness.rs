//! The freshness rule: when a daemon's state is recent enough to serve from.
//!
//! With `max_age` the setting of that name, a daemon may serve if one of these holds:
//!
//! 1. `log`: a read started within `max_age` reached the log's end, and all of it is applied.
//! 2. `peer`: a live peer's own read is within `max_age`, counted from when that read started, and
//!    this daemon has applied at least as much as that peer had.
//! 3. `quorum`: a majority of the configured daemons, this one included, are complete and have sent
//!    a heartbeat within `max_age`. Of all peers with such a heartbeat, complete or not, none has
//!    read the log within `max_age`, and none has applied more than this daemon.
//!
//! A daemon is complete once it has applied everything that was accepted before some moment after
//! its start: by reaching the log's end, or the offset of a peer that did so after this daemon's
//! start, or the offsets of complete peers that are a majority of the daemons. A daemon that has
//! just started and has read part of the log can neither serve by a quorum nor be counted in one.
//!
//! The first two conditions bound the age of the state by `max_age`. The third keeps routing
//! available while no daemon can read the log: then nothing can be accepted that this majority has
//! not applied.
//!
//! Ages are measured by each daemon's own monotonic clock. A heartbeat counts from the earliest
//! time at which it can have been sent (see [`crate::coordination::member`]), so that a delayed one
//! does not appear recent.
//!
//! A daemon that reaches neither the log nor a majority does not serve.

use std::time::Duration;

use crate::state::id::Offset;

/// A daemon's own state, as the rule needs it.
#[derive(Clone, Copy, Debug)]
pub struct OwnState {
    /// First offset not applied.
    pub next: Offset,
    /// Age of the last read that reached the log's end; `None` before the first one.
    pub log_age: Option<Duration>,
    /// Whether it is complete, as defined in the module's documentation.
    pub is_complete: bool,
    /// Time since its start.
    pub uptime: Duration,
}

/// The state of a peer whose last heartbeat was sent within `max_age`.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// First offset the peer had not applied.
    pub next: Offset,
    /// Present age of the peer's last read that reached the log's end; `None` before the first one.
    pub log_age: Option<Duration>,
    /// Whether the peer is complete.
    pub is_complete: bool,
}

/// The condition by which a daemon may serve, or that none holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its own read of the log is recent.
    Log,
    /// A peer's read of the log is recent.
    Peer,
    /// The log is unavailable and no daemon of a majority has applied more.
    Quorum,
    /// It may not serve.
    Stale,
}

impl Basis {
    /// Whether the daemon may serve.
    pub fn is_fresh(self) -> bool {
        self != Basis::Stale
    }

    /// Name in the operator API.
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Log => "log",
            Basis::Peer => "peer",
            Basis::Quorum => "quorum",
            Basis::Stale => "stale",
        }
    }
}

/// Applies the rule; `daemons` is the number of configured daemons, this one included.
///
/// ```
/// use std::time::Duration;
/// use spokelift_lib::coordination::freshness::{Basis, OwnState, PeerState, evaluate};
/// let second = Duration::from_secs(1);
/// let log_age = Some(9 * second);
/// let cut_off = OwnState { next: 7, log_age, is_complete: true, uptime: 60 * second };
/// assert_eq!(evaluate(cut_off, &[], 3, 3 * second), Basis::Stale);
/// let peer = PeerState { next: 7, log_age: Some(second), is_complete: true };
/// assert_eq!(evaluate(cut_off, &[peer], 3, 3 * second), Basis::Peer);
/// let ahead = PeerState { next: 8, ..peer };
/// assert_eq!(evaluate(cut_off, &[ahead], 3, 3 * second), Basis::Stale);
/// ```
pub fn evaluate(own: OwnState, peers: &[PeerState], daemons: usize, max_age: Duration) -> Basis {
    if is_recent(own.log_age, max_age) {
        return Basis::Log;
    }
    if peers.iter().any(|peer| is_recent(peer.log_age, max_age)) {
        let covered = has_recent_reader(own, peers, max_age);
        return if covered { Basis::Peer } else { Basis::Stale };
    }
    let complete = peers.iter().filter(|peer| peer.is_complete).count();
    let majority = own.is_complete && 2 * (complete + 1) > daemons;
    let latest = peers.iter().all(|peer| own.next >= peer.next);
    if majority && latest { Basis::Quorum } else { Basis::Stale }
}

/// Whether a daemon that was not complete is so now, by the state of its `peers`.
///
/// ```
/// use spokelift_lib::coordination::freshness::{OwnState, PeerState, becomes_complete};
/// let second = std::time::Duration::from_secs(1);
/// let started = OwnState { next: 7, log_age: None, is_complete: false, uptime: second };
/// let peer = PeerState { next: 7, log_age: None, is_complete: true };
/// assert!(!becomes_complete(started, &[peer], 3, second), "one of three is no majority");
/// assert!(becomes_complete(started, &[peer, peer], 3, second));
/// ```
pub fn becomes_complete(
    own: OwnState,
    peers: &[PeerState],
    daemons: usize,
    max_age: Duration,
) -> bool {
    let complete = peers.iter().filter(|peer| peer.is_complete);
    let majority = 2 * complete.clone().count() > daemons;
    let latest = complete.clone().all(|peer| own.next >= peer.next);
    // A read from before this daemon's start may miss what its earlier incarnation had applied.
    (majority && latest) || has_recent_reader(own, peers, max_age.min(own.uptime))
}

/// Whether a peer has read the log within `max_age`, and had applied no more than this daemon.
fn has_recent_reader(own: OwnState, peers: &[PeerState], max_age: Duration) -> bool {
    let mut readers = peers.iter().filter(|peer| is_recent(peer.log_age, max_age));
    readers.any(|peer| own.next >= peer.next)
}

fn is_recent(age: Option<Duration>, max_age: Duration) -> bool {
    age.is_some_and(|age| age < max_age)
}
