//! The freshness rule: when a daemon's state may be taken for the one in force.
//!
//! With `max_age` the setting of that name, a daemon may serve if one of these holds:
//!
//! 1. `log`: a read begun within `max_age` found the log's end, and all of it is applied.
//! 2. `peer`: a live peer's own read is within `max_age`, counted from when that read began, and
//!    this daemon has applied at least as much as that peer had.
//! 3. `quorum`: a majority of the configured daemons, this one included, were heard of within
//!    `max_age`, none of them has read the log within it, and none has applied more than this one.
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
pub struct Own {
    /// First offset not applied.
    pub next: Offset,
    /// Age of the last read at the log's end.
    pub log_age: Option<Duration>,
}

/// What a daemon knows of a peer whose last beat was sent within `max_age`.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// First offset the peer had not applied.
    pub next: Offset,
    /// Age now of the peer's last read at the log's end.
    pub log_age: Option<Duration>,
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
/// use spokelift_lib::coordination::fresh::{Basis, Heard, Own, judge};
/// let second = Duration::from_secs(1);
/// let cut_off = Own { next: 7, log_age: Some(9 * second) };
/// assert_eq!(judge(cut_off, &[], 3, 3 * second), Basis::Stale);
/// let peer = Heard { next: 7, log_age: Some(second) };
/// assert_eq!(judge(cut_off, &[peer], 3, 3 * second), Basis::Peer);
/// let ahead = Heard { next: 8, log_age: Some(second) };
/// assert_eq!(judge(cut_off, &[ahead], 3, 3 * second), Basis::Stale);
/// ```
pub fn judge(own: Own, heard: &[Heard], daemons: usize, max_age: Duration) -> Basis {
    let is_recent = |age: Option<Duration>| age.is_some_and(|age| age < max_age);
    // Without any state, there is nothing to serve by.
    if own.next == 0 && own.log_age.is_none() {
        return Basis::Stale;
    }
    if is_recent(own.log_age) {
        return Basis::Log;
    }
    let mut readers = heard.iter().filter(|peer| is_recent(peer.log_age));
    if readers.clone().next().is_some() {
        let covered = readers.any(|peer| own.next >= peer.next);
        return if covered { Basis::Peer } else { Basis::Stale };
    }
    let majority = 2 * (heard.len() + 1) > daemons;
    let latest = heard.iter().all(|peer| own.next >= peer.next);
    if majority && latest {
        return Basis::Quorum;
    }
    Basis::Stale
}
