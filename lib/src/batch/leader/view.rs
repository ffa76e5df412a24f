//! What a node knows of the lead, and when it may claim it.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::store::Offset;
use spokelift_platform::store::Page;
use spokelift_platform::store::Record;

use crate::batch::leader::LeaderLease;
use crate::batch::leader::RENEW_INTERVAL;
use crate::batch::leader::TAKEOVER_TIMEOUT;
use crate::batch::node::Node;
use crate::batch::order_window::HeldBoxes;
use crate::transport::clock;

/// The claim of each node waits up to this much longer, so that few collide.
const CLAIM_JITTER: Duration = Duration::from_millis(250);
/// How much later a weak node claims a free lead than a strong one. The holder does the work of the
/// whole site, and one with a tenth of a core cannot keep up with hundreds of workers.
const LOW_CPU_CLAIM_DELAY: Duration = Duration::from_millis(700);
/// How long the first lead of a site stays free, until the nodes know of each other.
const FIRST_CLAIM_DELAY: Duration = Duration::from_millis(600);

/// What a node knows of the lead.
pub(super) struct View {
    /// End of the topic, if it has been read.
    pub(super) topic_end: Option<Offset>,
    pub(super) lease: Option<LeaderLease>,
    /// The last record of the holder before that in `lead`.
    previous_lease: Option<LeaderLease>,
    /// Offset of the record in `lead`.
    pub(super) lease_offset: Offset,
    /// When something was last heard of the holder, or when the store last came back.
    pub(super) last_contact: Instant,
    /// Since when the lead is known to be free.
    pub(super) free_since: Option<Instant>,
    /// The last call to the store failed.
    pub(super) is_interrupted: bool,
    /// How much longer than others this node waits before a claim.
    claim_jitter: Duration,
}

impl View {
    /// With nothing known yet.
    pub(super) fn new() -> View {
        View {
            topic_end: None,
            lease: None,
            previous_lease: None,
            lease_offset: 0,
            last_contact: clock::now(),
            free_since: None,
            is_interrupted: false,
            claim_jitter: CLAIM_JITTER.mul_f64(rand::random::<f64>()),
        }
    }

    /// This node's own turn is over.
    pub(super) fn clear_own_lease(&mut self) {
        self.lease = None;
        // It says nothing of the turn that has just ended.
        self.previous_lease = None;
        self.last_contact = clock::now();
    }

    /// Whether this life of this node holds the lead.
    pub(super) fn is_own(&self, node: &Node) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lead| lead.incarnation == node.incarnation && !lead.released)
    }

    /// Whether the last record read is that renewal, or a later one, of its holder.
    pub(super) fn has_renewal(&self, number: u32) -> bool {
        self.lease.as_ref().is_some_and(|lead| lead.renewals >= number)
    }

    /// Whether this node may claim the lead, now or after [`View::reserve`].
    pub(super) fn is_claimable(&self, node: &Node) -> bool {
        match &self.lease {
            None => true,
            Some(lead) if lead.released => true,
            // This node held it in an earlier life. A weak one leaves it to the strong ones, which
            // must wait for the silence.
            Some(lead)
                if lead.node == node.settings.node && node.is_preferred_leader() != Some(false) =>
            {
                true
            }
            Some(_) => clock::since(self.last_contact) > TAKEOVER_TIMEOUT + self.claim_jitter,
        }
    }

    /// How long this node leaves a free lead to others.
    pub(super) fn claim_delay(&self, node: &Node) -> Duration {
        let first = if self.lease.is_none() { FIRST_CLAIM_DELAY } else { Duration::ZERO };
        match node.is_preferred_leader() {
            Some(true) => first,
            Some(false) | None => first + LOW_CPU_CLAIM_DELAY,
        }
    }

    /// Takes in a record of the lead.
    pub(super) fn apply_record(&mut self, record: &Record, offset: Offset) {
        let Some(value) = &record.value else { return };
        match postcard::from_bytes(value) {
            Ok(lead) => self.set_lease(lead, offset),
            Err(error) => log::error!("the record of the lead does not decode: {error}"),
        }
        self.last_contact = clock::now();
    }

    fn set_lease(&mut self, lead: LeaderLease, offset: Offset) {
        if self.lease.as_ref().is_some_and(|last| last.incarnation != lead.incarnation) {
            self.previous_lease = self.lease.take();
        }
        self.lease = Some(lead);
        self.lease_offset = offset;
    }

    /// Whether the last turn was this node's own, in an earlier life, and so long that the one
    /// before it is far enough away.
    fn continues_own_order_window(&self, node: &Node) -> bool {
        let gap = node.settings.turn_gap;
        self.previous_lease.as_ref().is_some_and(|previous| {
            previous.node == node.settings.node && RENEW_INTERVAL * previous.renewals > gap
        })
    }

    /// Boxes that the holder before that in `lead` may have ordered last.
    pub(super) fn held_boxes(&self, node: &Node) -> HeldBoxes {
        match &self.previous_lease {
            _ if self.continues_own_order_window(node) => HeldBoxes::Only(HashSet::new()),
            Some(previous) => previous.held_boxes.clone(),
            // The claim is the first record of the topic: nobody has ordered anything.
            None if self.lease_offset == 0 => HeldBoxes::Only(HashSet::new()),
            None => HeldBoxes::All,
        }
    }

    /// Whether the holder before that in `lead` gave it up.
    pub(super) fn was_released(&self) -> bool {
        self.previous_lease.as_ref().is_some_and(|previous| previous.released)
    }

    /// Takes in what was read from `from` on.
    pub(super) fn apply_page(&mut self, from: Offset, page: &Page) {
        for (offset, record) in (from..).zip(&page.records) {
            self.apply_record(record, offset);
        }
        self.topic_end = Some(from + page.records.len() as Offset);
    }
}
