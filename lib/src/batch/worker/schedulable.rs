//! Whether a worker gets new tasks, and why not.

use std::time::Instant;

use spokelift_platform::worker::Resources;
use thiserror::Error;

use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Why a worker gets no new task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Unschedulable {
    /// It has not answered this scheduler yet.
    #[error("not asked yet")]
    Unpolled,
    /// The store's worker topic has no current entry for it.
    #[error("not listed")]
    NotListed,
    /// It was handed over to another dispatcher, which has no answer from it yet.
    #[error("handed over")]
    HandedOver,
    /// Its entry in the store was replaced by an invalid one.
    #[error("unusable entry")]
    InvalidEntry,
    /// It is about to leave.
    #[error("draining")]
    Draining,
    /// The operator has evacuated its hall.
    #[error("its hall is evacuated")]
    HallEvacuated,
    /// It was discovered so long after the last renewal of the leader lease that a later scheduler
    /// may not know it. Such a scheduler would not have fenced this one on it.
    #[error("unknown to a later scheduler")]
    FencingUncertain,
    /// It is being emptied for maintenance or a move.
    #[error("cordoned")]
    Cordoned,
    /// It did not answer the last poll, or the store still records it as unresponsive or
    /// unreachable.
    #[error("silent")]
    Unresponsive,
    /// It failed recently.
    #[error("resting")]
    BackingOff,
    /// A task that may crash it was just started there.
    #[error("quarantined for a suspect task")]
    Quarantined,
}

/// The resource of which a worker has too little for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Shortage {
    /// It has not answered, so its running tasks are unknown.
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
    /// Why it gets no new task; `None` if it does.
    pub fn unschedulable(&self, now: Instant) -> Option<Unschedulable> {
        match self {
            worker if !worker.has_token => Some(Unschedulable::Unpolled),
            worker if worker.fencing_uncertain => Some(Unschedulable::FencingUncertain),
            worker if worker.is_delisted(now) => Some(Unschedulable::NotListed),
            worker if worker.has_invalid_entry => Some(Unschedulable::InvalidEntry),
            worker if worker.handed_over => Some(Unschedulable::HandedOver),
            worker if worker.entry.draining => Some(Unschedulable::Draining),
            worker if worker.hall_evacuated => Some(Unschedulable::HallEvacuated),
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

    /// Whether it gets new tasks, apart from conditions that pass with time: a backoff, a
    /// quarantine, or that the store does not list it for a while.
    pub fn is_eligible(&self) -> bool {
        let ineligible = !self.has_token
            || self.fencing_uncertain
            || self.has_invalid_entry
            || self.handed_over
            || self.entry.draining
            || self.cordoned
            || self.hall_evacuated
            || self.failed_polls > 0
            || self.recovering;
        !ineligible
    }

    /// Whether it may be handed over to another dispatcher that is no better: it answers its
    /// current dispatcher, and no order to it is pending.
    pub fn can_change_dispatcher(&self) -> bool {
        let is_live = |allocation: &Allocation| matches!(allocation.phase, Phase::Live(_));
        self.has_token
            && !self.handed_over
            && self.failed_polls == 0
            && self.allocations.values().all(is_live)
    }

    /// Whether the store does not list it, and has had the time to list it again. It has left or is
    /// about to.
    pub fn is_delisted(&self, now: Instant) -> bool {
        !self.listed && self.unlisted_grace_until.is_none_or(|until| until <= now)
    }

    /// Whether it gets new tasks.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        self.unschedulable(now).is_none()
    }

    /// Whether a task that needs these resources fits beside what may run there.
    pub fn fits(&self, need: Resources) -> bool {
        self.shortage(need).is_none()
    }

    /// The resource that is too small for a task that needs these; `None` if it fits.
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
