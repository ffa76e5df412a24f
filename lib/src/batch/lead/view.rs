//! What a node knows of the lead, and when it may claim it.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::store::Offset;
use spokelift_platform::store::Page;
use spokelift_platform::store::Record;

use crate::batch::lead::Lead;
use crate::batch::lead::RENEW;
use crate::batch::lead::TAKEOVER;
use crate::batch::node::Node;
use crate::batch::turn::Resting;
use crate::transport::clock;

/// The claim of each node waits up to this much longer, so that few collide.
const SPREAD: Duration = Duration::from_millis(250);
/// How much later a weak node claims a free lead than a strong one. The holder does the work of the
/// whole site, and one with a tenth of a core cannot keep up with hundreds of workers.
const WEAK: Duration = Duration::from_millis(700);
/// How long the first lead of a site stays free, until the nodes know of each other.
const FIRST: Duration = Duration::from_millis(600);

/// What a node knows of the lead.
pub(super) struct View {
    /// End of the topic, if it has been read.
    pub(super) end: Option<Offset>,
    pub(super) lead: Option<Lead>,
    /// The last record of the holder before that in `lead`.
    previous: Option<Lead>,
    /// Offset of the record in `lead`.
    pub(super) offset: Offset,
    /// When something was last heard of the holder, or when the store last came back.
    pub(super) heard_at: Instant,
    /// Since when the lead is known to be free.
    pub(super) free_since: Option<Instant>,
    /// The last call to the store failed.
    pub(super) interrupted: bool,
    /// How much longer than others this node waits before a claim.
    spread: Duration,
}

impl View {
    /// With nothing known yet.
    pub(super) fn new() -> View {
        View {
            end: None,
            lead: None,
            previous: None,
            offset: 0,
            heard_at: clock::now(),
            free_since: None,
            interrupted: false,
            spread: SPREAD.mul_f64(rand::random::<f64>()),
        }
    }

    /// This node's own turn is over.
    pub(super) fn drop_own(&mut self) {
        self.lead = None;
        // It says nothing of the turn that has just ended.
        self.previous = None;
        self.heard_at = clock::now();
    }

    /// Whether this life of this node holds the lead.
    pub(super) fn is_mine(&self, node: &Node) -> bool {
        self.lead.as_ref().is_some_and(|lead| lead.life == node.life && !lead.released)
    }

    /// Whether the last record read is that renewal, or a later one, of its holder.
    pub(super) fn has_renewal(&self, number: u32) -> bool {
        self.lead.as_ref().is_some_and(|lead| lead.renewals >= number)
    }

    /// Whether this node may claim the lead, now or after [`View::reserve`].
    pub(super) fn is_free(&self, node: &Node) -> bool {
        match &self.lead {
            None => true,
            Some(lead) if lead.released => true,
            // This node held it in an earlier life. A weak one leaves it to the strong ones, which
            // must wait for the silence.
            Some(lead) if lead.node == node.settings.node && node.is_strong() != Some(false) => {
                true
            }
            Some(_) => clock::since(self.heard_at) > TAKEOVER + self.spread,
        }
    }

    /// How long this node leaves a free lead to others.
    pub(super) fn reserve(&self, node: &Node) -> Duration {
        let first = if self.lead.is_none() { FIRST } else { Duration::ZERO };
        match node.is_strong() {
            Some(true) => first,
            Some(false) | None => first + WEAK,
        }
    }

    /// Takes in a record of the lead.
    pub(super) fn take(&mut self, record: &Record, offset: Offset) {
        let Some(value) = &record.value else { return };
        match postcard::from_bytes(value) {
            Ok(lead) => self.replace(lead, offset),
            Err(error) => log::error!("the record of the lead does not decode: {error}"),
        }
        self.heard_at = clock::now();
    }

    fn replace(&mut self, lead: Lead, offset: Offset) {
        if self.lead.as_ref().is_some_and(|last| last.life != lead.life) {
            self.previous = self.lead.take();
        }
        self.lead = Some(lead);
        self.offset = offset;
    }

    /// Whether the last turn was this node's own, in an earlier life, and so long that the one
    /// before it is far enough away.
    fn continues_own_turn(&self, node: &Node) -> bool {
        let gap = node.settings.turn_gap;
        self.previous.as_ref().is_some_and(|previous| {
            previous.node == node.settings.node && RENEW * previous.renewals > gap
        })
    }

    /// Boxes that the holder before that in `lead` may have ordered last.
    pub(super) fn resting(&self, node: &Node) -> Resting {
        match &self.previous {
            _ if self.continues_own_turn(node) => Resting::These(HashSet::new()),
            Some(previous) => previous.resting.clone(),
            // The claim is the first record of the topic: nobody has ordered anything.
            None if self.offset == 0 => Resting::These(HashSet::new()),
            None => Resting::Every,
        }
    }

    /// Whether the holder before that in `lead` gave it up.
    pub(super) fn was_released(&self) -> bool {
        self.previous.as_ref().is_some_and(|previous| previous.released)
    }

    /// Takes in what was read from `from` on.
    pub(super) fn take_page(&mut self, from: Offset, page: &Page) {
        for (offset, record) in (from..).zip(&page.records) {
            self.take(record, offset);
        }
        self.end = Some(from + page.records.len() as Offset);
    }
}
