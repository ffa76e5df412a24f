//! Until when a node certainly does not claim the leader lease.
//!
//! A leader that cannot renew its lease must not keep the tasks of workers alive that its successor
//! has given up. It goes on only as long as every other node has said that it does not claim the
//! lease yet. While the store is away for all, each of them keeps saying so, and service goes on.

use std::time::Duration;
use std::time::Instant;

use crate::batch::leader::lease::TAKEOVER_TIMEOUT;

/// What decides when a node may claim the leader lease next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Horizon {
    /// It holds the lease, or has sent a claim of which it does not know the outcome.
    Claimed,
    /// It has to read the lease without a renewal for [`TAKEOVER_TIMEOUT`] first: it has not read it
    /// yet, rests, or the store did not answer its last read.
    Unread,
    /// It reads the lease, and last read of a renewal at this time.
    Read(Instant),
}

impl Horizon {
    /// For how long from `now` on the node does not claim the lease, whatever it reads.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::leader::horizon::Horizon;
    /// use spokelift_lib::batch::leader::lease::TAKEOVER_TIMEOUT;
    /// let now = Instant::now();
    /// assert_eq!(Horizon::Claimed.delay(now), Duration::ZERO);
    /// assert_eq!(Horizon::Unread.delay(now), TAKEOVER_TIMEOUT);
    /// assert_eq!(Horizon::Read(now).delay(now + TAKEOVER_TIMEOUT / 2), TAKEOVER_TIMEOUT / 2);
    /// assert_eq!(Horizon::Read(now).delay(now + TAKEOVER_TIMEOUT * 2), Duration::ZERO);
    /// ```
    pub fn delay(self, now: Instant) -> Duration {
        match self {
            Horizon::Claimed => Duration::ZERO,
            Horizon::Unread => TAKEOVER_TIMEOUT,
            Horizon::Read(at) => TAKEOVER_TIMEOUT.saturating_sub(now.saturating_duration_since(at)),
        }
    }
}
