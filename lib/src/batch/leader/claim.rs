//! When a node may claim the leader lease, and what it promises the leader of that.
//!
//! A leader that cannot renew its lease must not renew leases of workers whose tasks its successor
//! starts elsewhere. It goes on only as long as every other node has promised not to claim the lease
//! yet. While the store is unavailable for all, each of them keeps promising it, and the leader goes
//! on.

use std::time::Duration;
use std::time::Instant;

use crate::batch::leader::lease::TAKEOVER_TIMEOUT;

/// What decides when a node may claim the leader lease next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It holds the lease, or has sent a claim of which it does not know the outcome.
    Claimed,
    /// It has to read the lease without a renewal for [`TAKEOVER_TIMEOUT`] first: it has not read it
    /// yet, rests, or the store did not answer its last read.
    Unread,
    /// It reads the lease, and last read of a renewal at this time.
    Read(Instant),
}

impl State {
    /// For how long from `now` on the node promises not to claim the lease, whatever it reads.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::leader::claim::State;
    /// use spokelift_lib::batch::leader::lease::TAKEOVER_TIMEOUT;
    /// let now = Instant::now();
    /// assert_eq!(State::Claimed.promise(now), Duration::ZERO);
    /// assert_eq!(State::Unread.promise(now), TAKEOVER_TIMEOUT);
    /// assert_eq!(State::Read(now).promise(now + TAKEOVER_TIMEOUT / 2), TAKEOVER_TIMEOUT / 2);
    /// assert_eq!(State::Read(now).promise(now + TAKEOVER_TIMEOUT * 2), Duration::ZERO);
    /// ```
    pub fn promise(self, now: Instant) -> Duration {
        match self {
            State::Claimed => Duration::ZERO,
            State::Unread => TAKEOVER_TIMEOUT,
            State::Read(at) => TAKEOVER_TIMEOUT.saturating_sub(now.saturating_duration_since(at)),
        }
    }
}
