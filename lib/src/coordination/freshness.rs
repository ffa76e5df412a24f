//! The freshness rule: when a daemon's state may be taken for the one in force.
//!
//! With `max_age` the setting of that name, a daemon may serve if one of these holds:
//!
//! 1. `log`: a read begun within `max_age` found the log's end, and all of it is applied.
//! 2. `peer`: a live peer's own read is within `max_age`, counted from when that read began, and
//!    this daemon has applied at least as much as that peer had.
//! 3. `quorum`: a majority of the configured daemons, this one included, were heard of within
//!    `max_age` and are complete, none heard of has read the log within it, and none has applied
//!    more than this one.
//!
//! A daemon is complete once it has, in its life, held all that was in force: by reaching the log's
//! end, or the offset of a peer that did so after this one's start, or that of a majority of complete peers. One that
//! has just started, with part of the log read, can neither serve by a quorum nor be counted in one.
//!
//! The first two bound how old the state can be by `max_age`. The third keeps routing alive while
//! the log is away for everybody: then nothing can be accepted that this majority does not know.
//!
//! Ages are judged by each daemon's own monotonic clock; a beat counts from the earliest moment at
//! which it can have been sent (see [`crate::coordination::member`]), so no delay makes it young.
//!
//! A daemon cut off from both the log and the majority serves nobody.

use std::time::Duration;

use crate::state::id::Offset;

/// What a daemon knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnState {
    /// First offset not applied.
    pub next: Offset,
    /// Age of the last read at the log's end.
    pub log_age: Option<Duration>,
    /// Whether it has held all that was in force.
    pub is_complete: bool,
    /// Time since it was started.
    pub uptime: Duration,
}

/// What a daemon knows of a peer whose last beat was sent within `max_age`.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// First offset the peer had not applied.
    pub next: Offset,
    /// Age now of the peer's last read at the log's end.
    pub log_age: Option<Duration>,
    /// Whether the peer has held all that was in force.
    pub is_complete: bool,
}

/// Why a daemon may serve, or that it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its own read of the log.
    Log,
    /// A peer's read of the log.
    Peer,
    /// The log is away and a majority knows no more.
    Quorum,
    /// It may not serve.
    Stale,
}

impl Basis {
    /// Whether the daemon may serve.
    pub fn is_fresh(self) -> bool {
        self != Basis::Stale
    }

    /// The word operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Log => "log",
            Basis::Peer => "peer",
            Basis::Quorum => "quorum",
            Basis::Stale => "stale",
        }
    }
}

/// Applies the rule; `daemons` counts all that are configured, this one included.
///
/// ```
/// use std::time::Duration;
/// use spokelift_lib::coordination::freshness::{Basis, PeerState, OwnState, evaluate};
/// let second = Duration::from_secs(1);
/// let cut_off = OwnState { next: 7, log_age: Some(9 * second), is_complete: true, uptime: 60 * second };
/// assert_eq!(evaluate(cut_off, &[], 3, 3 * second), Basis::Stale);
/// let peer = PeerState { next: 7, log_age: Some(second), is_complete: true };
/// assert_eq!(evaluate(cut_off, &[peer], 3, 3 * second), Basis::Peer);
/// let ahead = PeerState { next: 8, ..peer };
/// assert_eq!(evaluate(cut_off, &[ahead], 3, 3 * second), Basis::Stale);
/// ```
pub fn evaluate(own: OwnState, heard: &[PeerState], daemons: usize, max_age: Duration) -> Basis {
    if is_recent(own.log_age, max_age) {
        return Basis::Log;
    }
    if heard.iter().any(|peer| is_recent(peer.log_age, max_age)) {
        let covered = has_recent_reader(own, heard, max_age);
        return if covered { Basis::Peer } else { Basis::Stale };
    }
    let complete = heard.iter().filter(|peer| peer.is_complete).count();
    let majority = own.is_complete && 2 * (complete + 1) > daemons;
    let latest = heard.iter().all(|peer| own.next >= peer.next);
    if majority && latest { Basis::Quorum } else { Basis::Stale }
}

/// Whether a daemon that was not complete is so now, by what it has heard.
///
/// ```
/// use spokelift_lib::coordination::freshness::{PeerState, OwnState, becomes_complete};
/// let second = std::time::Duration::from_secs(1);
/// let started = OwnState { next: 7, log_age: None, is_complete: false, uptime: second };
/// let peer = PeerState { next: 7, log_age: None, is_complete: true };
/// assert!(!becomes_complete(started, &[peer], 3, second), "one of three peers may have missed some");
/// assert!(becomes_complete(started, &[peer, peer], 3, second));
/// ```
pub fn becomes_complete(
    own: OwnState,
    heard: &[PeerState],
    daemons: usize,
    max_age: Duration,
) -> bool {
    let complete = heard.iter().filter(|peer| peer.is_complete);
    let majority = 2 * complete.clone().count() > daemons;
    let latest = complete.clone().all(|peer| own.next >= peer.next);
    // A read from before this daemon's start may miss what its earlier life knew.
    (majority && latest) || has_recent_reader(own, heard, max_age.min(own.uptime))
}

/// Whether a peer has read the log lately, and had applied no more than this daemon.
fn has_recent_reader(own: OwnState, heard: &[PeerState], max_age: Duration) -> bool {
    let mut readers = heard.iter().filter(|peer| is_recent(peer.log_age, max_age));
    readers.any(|peer| own.next >= peer.next)
}

fn is_recent(age: Option<Duration>, max_age: Duration) -> bool {
    age.is_some_and(|age| age < max_age)
}
