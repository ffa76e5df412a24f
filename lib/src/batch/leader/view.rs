//! What a node knows of the leader lease, and when it may claim it.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::store::Offset;
use spokelift_platform::store::Page;
use spokelift_platform::store::Record;

use crate::batch::leader::claim;
use crate::batch::leader::lease::LeaderLease;
use crate::batch::leader::lease::MAX_EXTENSION;
use crate::batch::leader::lease::RENEW_INTERVAL;
use crate::batch::leader::lease::TAKEOVER_TIMEOUT;
use crate::batch::node::Node;
use crate::batch::order_window::HeldBoxes;
use crate::transport::clock;

/// Largest random delay of a node's claim, so that few claims collide.
const CLAIM_JITTER: Duration = Duration::from_millis(250);
/// Additional claim delay of a node that is not a preferred leader. The leader schedules for the
/// whole site, and a node with a tenth of a core cannot keep up with hundreds of workers.
const LOW_CPU_CLAIM_DELAY: Duration = Duration::from_millis(700);
/// Claim delay of the first leader lease of a site, until the nodes know of each other.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(600);

/// What a node knows of the leader lease.
pub(super) struct View {
    /// Offset after the last record read; `None` until the topic has been read.
    pub(super) topic_end: Option<Offset>,
    /// End of the topic when it was first read with this node's entry in the directory; `None` before. A leader
    /// that claims the lease later reads the entry.
    joined_end: Option<Offset>,
    /// The last record read; `None` if there is none, or after this node's own lease has ended.
    pub(super) lease: Option<LeaderLease>,
    /// The last record of the leader before the one in `lease`.
    previous_lease: Option<LeaderLease>,
    /// Offset of the record in `lease`.
    pub(super) lease_offset: Offset,
    /// When a record was last read, or when the store was last reachable again after a failure.
    pub(super) last_contact: Instant,
    /// Since when the lease is known to be free.
    pub(super) free_since: Option<Instant>,
    /// Whether the last read of the topic failed.
    pub(super) is_interrupted: bool,
    /// Whether the last read showed a renewal or a claim that came after the read before.
    pub(super) has_new_renewal: bool,
    /// Additional random wait of this node before a claim.
    claim_jitter: Duration,
}

impl View {
    /// A view before the topic has been read.
    pub(super) fn new() -> View {
        View {
            topic_end: None,
            joined_end: None,
            lease: None,
            previous_lease: None,
            lease_offset: 0,
            last_contact: clock::now(),
            free_since: None,
            is_interrupted: false,
            has_new_renewal: false,
            claim_jitter: CLAIM_JITTER.mul_f64(rand::random::<f64>()),
        }
    }

    /// Reads the topic anew after a rest, in which nothing was read: how long the lease has not been
    /// renewed counts from now.
    pub(super) fn resume(&mut self) {
        self.topic_end = None;
        self.has_new_renewal = false;
        self.last_contact = clock::now();
    }

    /// Whether some node holds the lease, as far as was read.
    pub(super) fn is_held(&self) -> bool {
        self.lease.as_ref().is_some_and(|lease| !lease.released)
    }

    /// Forgets this node's own lease after it has ended.
    pub(super) fn clear_own_lease(&mut self) {
        self.lease = None;
        // It says nothing of the order window that has just ended.
        self.previous_lease = None;
        self.last_contact = clock::now();
    }

    /// What decides when this node may claim the lease. After a failed read it waits for
    /// [`TAKEOVER_TIMEOUT`] from the next one on.
    pub(super) fn claim_state(&self) -> claim::State {
        match &self.lease {
            _ if self.topic_end.is_none() || self.is_interrupted => claim::State::Unread,
            Some(lease) if !lease.released => claim::State::Read(self.last_contact),
            // A free lease is claimed at once.
            Some(_) | None => claim::State::Claimed,
        }
    }

    /// Whether this incarnation of this node holds the lease.
    pub(super) fn is_own(&self, node: &Node) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lease| lease.incarnation == node.incarnation && !lease.released)
    }

    /// Whether the last record read is the renewal with this number, or a later one.
    pub(super) fn has_renewal(&self, number: u32) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.renewals >= number)
    }

    /// Whether this node may claim the lease, now or after [`View::claim_delay`].
    pub(super) fn is_claimable(&self, node: &Node) -> bool {
        match &self.lease {
            None => true,
            Some(lease) if lease.released => true,
            // An earlier incarnation of this node held it. A node that is not a preferred leader
            // leaves it to the preferred ones, which must wait for the takeover timeout.
            Some(lease)
                if lease.node == node.settings.node
                    && node.is_preferred_leader() != Some(false) =>
            {
                true
            }
            // A leader that does not know this node goes on without its promise.
            Some(lease) if !self.is_known_to(lease) && !node.directory.is_known_to_leaders() => {
                clock::since(self.last_contact) > TAKEOVER_TIMEOUT + MAX_EXTENSION
            }
            Some(_) => clock::since(self.last_contact) > TAKEOVER_TIMEOUT + self.claim_jitter,
        }
    }

    /// Whether the leader of the record in `lease` knows this node once it has read the directory: its claim came
    /// after this node's entry.
    fn is_known_to(&self, lease: &LeaderLease) -> bool {
        // The records of one leader follow each other: the claim, then its renewals.
        let claimed_at = self.lease_offset.saturating_sub(Offset::from(lease.renewals));
        self.joined_end.is_some_and(|end| claimed_at >= end)
    }

    /// How long this node leaves a free lease to others.
    pub(super) fn claim_delay(&self, node: &Node) -> Duration {
        let first = if self.lease.is_none() { FIRST_CLAIM_DELAY } else { Duration::ZERO };
        match node.is_preferred_leader() {
            Some(true) => first,
            Some(false) | None => first + LOW_CPU_CLAIM_DELAY,
        }
    }

    /// Applies a record of the leader lease.
    pub(super) fn apply_record(&mut self, record: &Record, offset: Offset) {
        let Some(value) = &record.value else { return };
        match postcard::from_bytes(value) {
            Ok(lease) => self.set_lease(lease, offset),
            Err(error) => log::error!("cannot decode the leader lease: {error}"),
        }
        self.last_contact = clock::now();
    }

    fn set_lease(&mut self, lease: LeaderLease, offset: Offset) {
        if self.lease.as_ref().is_some_and(|last| last.incarnation != lease.incarnation) {
            self.previous_lease = self.lease.take();
        }
        self.lease = Some(lease);
        self.lease_offset = offset;
    }

    /// Whether the previous leader was an earlier incarnation of this node and held the lease for
    /// longer than the platform's gap between the orders of two nodes. Then no other node's orders
    /// are recent enough to matter.
    fn continues_own_order_window(&self, node: &Node) -> bool {
        let gap = node.settings.handover_gap;
        self.previous_lease.as_ref().is_some_and(|previous| {
            previous.node == node.settings.node && RENEW_INTERVAL * previous.renewals > gap
        })
    }

    /// Boxes that the leader before the one in `lease` may have ordered recently.
    pub(super) fn held_boxes(&self, node: &Node) -> HeldBoxes {
        match &self.previous_lease {
            _ if self.continues_own_order_window(node) => HeldBoxes::Only(HashSet::new()),
            Some(previous) => previous.held_boxes.clone(),
            // The claim is the first record of the topic, so no box has been ordered.
            None if self.lease_offset == 0 => HeldBoxes::Only(HashSet::new()),
            None => HeldBoxes::All,
        }
    }

    /// Whether the leader before the one in `lease` released it.
    pub(super) fn was_released(&self) -> bool {
        self.previous_lease.as_ref().is_some_and(|previous| previous.released)
    }

    /// Records that the topic was read with this node's entry in the directory.
    pub(super) fn record_joined_read(&mut self) {
        self.joined_end = self.joined_end.or(self.topic_end);
    }

    /// Applies a page of records that starts at offset `from`.
    pub(super) fn apply_page(&mut self, from: Offset, page: &Page) {
        for (offset, record) in (from..).zip(&page.records) {
            self.apply_record(record, offset);
        }
        self.topic_end = Some(from + page.records.len() as Offset);
    }
}
