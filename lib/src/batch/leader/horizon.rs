//! Until when a node certainly does not claim the leader lease.
//!
//! A leader that cannot renew its lease must not keep the tasks of workers alive that its successor
//! has given up. It goes on only as long as every other node has said that it does not claim the
//! lease yet. While the store is away for all, each of them keeps saying so, and service goes on.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::leader::lease::TAKEOVER_TIMEOUT;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Time between two times of asking the other nodes for how long they do not claim the lease, while it is not renewed.
const CLAIM_DELAY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of asking the other nodes for how long they do not claim the lease.
const CLAIM_DELAY_TIMEOUT: Duration = Duration::from_millis(700);

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

/// Lets the scheduler go on while the lease cannot be renewed and no other node claims it.
pub(super) async fn extend_while_unclaimable(node: Arc<Node>, scheduler: Arc<Scheduler>) {
    loop {
        sleep(CLAIM_DELAY_INTERVAL).await;
        if scheduler.is_renewal_overdue() {
            ask_for_claim_delays(&node, &scheduler).await;
        }
    }
}

/// Asks all other nodes for how long they do not claim the lease; the scheduler goes on until the first of them may. It
/// gains nothing if one of them does not answer.
async fn ask_for_claim_delays(node: &Node, scheduler: &Scheduler) {
    if node.directory.count().is_none() {
        return;
    }
    let asked_at = clock::now();
    let asked = node
        .directory
        .addrs()
        .into_iter()
        .map(|addr| async move { node.peers.ask_once(addr, peer::Request::ClaimDelay).await });
    let Ok(replies) = timeout(CLAIM_DELAY_TIMEOUT, join_all(asked)).await else { return };
    let mut least = TAKEOVER_TIMEOUT;
    for reply in replies {
        match reply {
            Ok(peer::Reply::ClaimDelay(delay)) => least = least.min(delay),
            Ok(_) | Err(_) => {
                node.counters.count("batch.lead.claim-delay-unknown");
                return;
            }
        }
    }
    scheduler.record_unclaimable(asked_at + least);
}
