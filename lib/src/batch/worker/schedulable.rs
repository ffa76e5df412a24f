//! Whether a worker takes work, and why not.

use std::time::Instant;

use spokelift_platform::worker::Resources;
use thiserror::Error;

use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Why a worker is given nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unschedulable {
    /// It has not answered this scheduler yet.
    #[error("not asked yet")]
    Unpolled,
    /// The store does not list it.
    #[error("not listed")]
    NotListed,
    /// Another carrier looks after it now, and has not heard from it yet.
    #[error("handed over")]
    HandedOver,
    /// Its entry in the store is none that a worker writes.
    #[error("unusable entry")]
    InvalidEntry,
    /// It is about to leave.
    #[error("draining")]
    Draining,
    /// It was met so long after the lead was last renewed that a later scheduler may not know it, and
    /// so would not have told it to refuse this one.
    #[error("unknown to a later scheduler")]
    FencingUncertain,
    /// It is being emptied for upkeep or a move.
    #[error("cordoned")]
    Cordoned,
    /// It did not answer the last look.
    #[error("silent")]
    Unresponsive,
    /// It failed lately.
    #[error("resting")]
    BackingOff,
    /// A task that may bring it down has just been started there.
    #[error("quarantined for a suspect task")]
    Quarantined,
}

/// What a worker has too little of for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Shortage {
    /// It has not answered, so what runs there is not known.
    #[error("not known")]
    Unknown,
    /// Processor.
    #[error("processor")]
    Processor,
    /// Memory.
    #[error("memory")]
    Memory,
    /// Accelerators.
    #[error("accelerators")]
    Accelerator,
}

impl Worker {
    /// Why it may not be given new tasks; `None` if it may.
    pub fn unschedulable(&self, now: Instant) -> Option<Unschedulable> {
        match self {
            worker if !worker.has_token => Some(Unschedulable::Unpolled),
            worker if worker.fencing_uncertain => Some(Unschedulable::FencingUncertain),
            worker if worker.is_delisted(now) => Some(Unschedulable::NotListed),
            worker if worker.unusable => Some(Unschedulable::InvalidEntry),
            worker if worker.handed_over => Some(Unschedulable::HandedOver),
            worker if worker.entry.draining => Some(Unschedulable::Draining),
            worker if worker.cordoned => Some(Unschedulable::Cordoned),
            worker if worker.failed_polls > 0 || worker.recovering => {
                Some(Unschedulable::Unresponsive)
            }
            worker if worker.backoff_until > now => Some(Unschedulable::BackingOff),
            worker if worker.quarantine.is_some_and(|(_, until)| until > now) => {
                Some(Unschedulable::Quarantined)
            }
            _ => None,
        }
    }

    /// Whether it takes work but for what passes by itself with time: a rest, or that the store does not
    /// list it for a while.
    pub fn is_eligible(&self) -> bool {
        let closed = !self.has_token
            || self.fencing_uncertain
            || self.unusable
            || self.handed_over
            || self.entry.draining
            || self.cordoned
            || self.failed_polls > 0
            || self.recovering;
        !closed
    }

    /// Whether it may pass to another carrier that is no worse: it answers the one that it has, and no
    /// order to it is open.
    pub fn can_change_dispatcher(&self) -> bool {
        let is_live = |slot: &Allocation| matches!(slot.phase, Phase::Live(_));
        self.has_token
            && !self.handed_over
            && self.failed_polls == 0
            && self.allocations.values().all(is_live)
    }

    /// Whether the store does not list it, and has had the time to list it again. It has left or
    /// is about to.
    pub fn is_delisted(&self, now: Instant) -> bool {
        !self.listed && self.unlisted_grace_until.is_none_or(|until| until <= now)
    }

    /// Whether it may be given new tasks.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.unschedulable(now).is_none()
    }

    /// Whether a task of this size fits beside what may run there.
    pub fn fits(&self, need: Resources) -> bool {
        self.shortage(need).is_none()
    }

    /// What there is too little of for a task of this size; `None` if it fits.
    pub fn shortage(&self, need: Resources) -> Option<Shortage> {
        match self.free {
            _ if self.clock.is_none() => Some(Shortage::Unknown),
            free if need.cpu > free.cpu => Some(Shortage::Processor),
            free if need.memory_mb > free.memory_mb => Some(Shortage::Memory),
            free if need.gpu > free.gpu => Some(Shortage::Accelerator),
            _ => None,
        }
    }
}
