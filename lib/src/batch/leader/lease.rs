//! The record of the leader lease.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use spokelift_platform::worker::Token;

use crate::batch::order_window::HeldBoxes;
use crate::transport::clock;

/// Key of the record.
pub(super) const KEY: &str = "lead";
/// Time between renewals. Each renewal costs one call to the store and a read by each node that
/// watches.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Time without a renewal after which another node claims the lease: three and a half renewals.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_100);

/// How long after its last renewal a leader goes on by the promises of other nodes at most: longer than any
/// outage of the store that tasks should outlive. A node that the leader does not know waits for as long before it
/// claims the lease.
pub const MAX_EXTENSION: Duration = Duration::from_secs(60);

/// The leader lease, as it is written to the store.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LeaderLease {
    /// Name of the leader's node.
    pub node: String,
    /// Incarnation of the leader's node; a node that restarts is another leader.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which the leader answers other nodes.
    pub addr: SocketAddr,
    /// Whether the leader has released the lease.
    pub released: bool,
    /// Number of renewals by this leader.
    pub renewals: u32,
    /// Boxes that the next leader must not order at first.
    #[serde(rename = "resting")]
    pub held_boxes: HeldBoxes,
}

impl LeaderLease {
    /// The record in the store.
    pub(super) fn to_record(&self) -> Record {
        let value = postcard::to_stdvec(self).expect("a leader lease can be encoded by postcard");
        Record::set(KEY, value)
    }
}

/// The newest record of the leader lease that a node knows of.
#[derive(Default)]
pub struct KnownLease {
    /// Where the record stands in its topic, and when this node learned of its leader.
    known: Option<(Offset, Instant)>,
    /// The record; `None` if the lease is free.
    lease: Option<LeaderLease>,
}

impl KnownLease {
    /// Applies a record; returns whether it names another leader than before.
    pub fn apply(&mut self, offset: Offset, lease: &LeaderLease) -> bool {
        if self.known.is_some_and(|(known, _)| offset <= known) {
            return false;
        }
        let is_held = |known: &LeaderLease| known.incarnation == lease.incarnation;
        let changed = !lease.released && !self.lease.as_ref().is_some_and(is_held);
        let learned_at = self.known.filter(|_| !changed).map(|(_, at)| at);
        self.known = Some((offset, learned_at.unwrap_or_else(clock::now)));
        self.lease = Some(lease.clone()).filter(|lease| !lease.released);
        changed
    }

    /// Whether this node learned of the leader so recently that no later one can have taken over.
    pub fn is_recent(&self) -> bool {
        self.known.is_some_and(|(_, learned_at)| clock::since(learned_at) < TAKEOVER_TIMEOUT)
    }

    /// Whether the leader with this token, in this incarnation of its node, has a successor.
    ///
    /// ```
    /// use spokelift_lib::batch::leader::lease::KnownLease;
    /// use spokelift_lib::batch::leader::lease::LeaderLease;
    /// use spokelift_lib::batch::order_window::HeldBoxes;
    /// let (addr, held_boxes) = ("127.0.0.1:1".parse()?, HeldBoxes::All);
    /// let (node, incarnation) = ("node-1".to_owned(), 1);
    /// let lease = LeaderLease { node, incarnation, addr, released: false, renewals: 0, held_boxes };
    /// let mut known = KnownLease::default();
    /// known.apply(7, &lease);
    /// known.apply(8, &LeaderLease { renewals: 1, ..lease.clone() });
    /// assert!(!known.has_successor(8, 1));
    /// known.apply(9, &LeaderLease { incarnation: 2, ..lease });
    /// assert!(known.has_successor(8, 1) && !known.has_successor(10, 2));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn has_successor(&self, token: Token, incarnation: u64) -> bool {
        // The token is the offset after the claim.
        let is_later = self.known.is_some_and(|(offset, _)| offset >= token);
        let is_same = |lease: &LeaderLease| lease.incarnation == incarnation;
        is_later && !self.lease.as_ref().is_some_and(is_same)
    }

    /// The record; `None` if the lease is free.
    pub fn lease(&self) -> Option<&LeaderLease> {
        self.lease.as_ref()
    }

    /// Forgets the lease if this incarnation of a node held it.
    pub fn clear_own(&mut self, incarnation: u64) {
        self.lease = self.lease.take().filter(|lease| lease.incarnation != incarnation);
    }
}
