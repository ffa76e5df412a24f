//! Whether a worker takes work, and why not.

use std::time::Instant;

use spokelift_platform::worker::Room;
use thiserror::Error;

use crate::batch::worker::Phase;
use crate::batch::worker::Slot;
use crate::batch::worker::Worker;

/// Why a worker is given nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Closed {
    /// It has not answered this scheduler yet.
    #[error("not asked yet")]
    NotAsked,
    /// The store does not list it.
    #[error("not listed")]
    NotListed,
    /// Another carrier looks after it now, and has not heard from it yet.
    #[error("handed over")]
    HandedOver,
    /// Its entry in the store is none that a worker writes.
    #[error("unusable entry")]
    Unusable,
    /// It is about to leave.
    #[error("draining")]
    Draining,
    /// It was met so long after the lead was last renewed that a later scheduler may not know it, and
    /// so would not have told it to refuse this one.
    #[error("unknown to a later scheduler")]
    Unfenced,
    /// It is being emptied for upkeep or a move.
    #[error("cordoned")]
    Cordoned,
    /// It did not answer the last look.
    #[error("silent")]
    Silent,
    /// It failed lately.
    #[error("resting")]
    Resting,
    /// A task that may bring it down has just been started there.
    #[error("quarantined for a suspect task")]
    Quarantined,
}

/// What a worker has too little of for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Lack {
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
    pub fn closed(&self, now: Instant) -> Option<Closed> {
        match self {
            worker if !worker.fenced => Some(Closed::NotAsked),
            worker if worker.unfenced => Some(Closed::Unfenced),
            worker if worker.is_missing(now) => Some(Closed::NotListed),
            worker if worker.unusable => Some(Closed::Unusable),
            worker if worker.handed_over => Some(Closed::HandedOver),
            worker if worker.entry.draining => Some(Closed::Draining),
            worker if worker.cordoned => Some(Closed::Cordoned),
            worker if worker.misses > 0 || worker.reopening => Some(Closed::Silent),
            worker if worker.rest_until > now => Some(Closed::Resting),
            worker if worker.quarantine.is_some_and(|(_, until)| until > now) => {
                Some(Closed::Quarantined)
            }
            _ => None,
        }
    }

    /// Whether it takes work but for what passes by itself with time: a rest, or that the store does not
    /// list it for a while.
    pub fn is_open(&self) -> bool {
        let closed = !self.fenced
            || self.unfenced
            || self.unusable
            || self.handed_over
            || self.entry.draining
            || self.cordoned
            || self.misses > 0
            || self.reopening;
        !closed
    }

    /// Whether it may pass to another carrier that is no worse: it answers the one that it has, and no
    /// order to it is open.
    pub fn is_calm(&self) -> bool {
        let is_live = |slot: &Slot| matches!(slot.phase, Phase::Live(_));
        self.fenced && !self.handed_over && self.misses == 0 && self.slots.values().all(is_live)
    }

    /// Whether the store does not list it, and has had the time to list it again. It has left or
    /// is about to.
    pub fn is_missing(&self, now: Instant) -> bool {
        !self.listed && self.excused_until.is_none_or(|until| until <= now)
    }

    /// Whether it may be given new tasks.
    pub fn takes_work(&self, now: Instant) -> bool {
        self.closed(now).is_none()
    }

    /// Whether a task of this size fits beside what may run there.
    pub fn fits(&self, need: Room) -> bool {
        self.lack(need).is_none()
    }

    /// What there is too little of for a task of this size; `None` if it fits.
    pub fn lack(&self, need: Room) -> Option<Lack> {
        match self.free {
            _ if self.clock.is_none() => Some(Lack::Unknown),
            free if need.cpu > free.cpu => Some(Lack::Processor),
            free if need.memory_mb > free.memory_mb => Some(Lack::Memory),
            free if need.gpu > free.gpu => Some(Lack::Accelerator),
            _ => None,
        }
    }
}
