//! Workers by what is asked for each task, kept up as they change.

use std::collections::BTreeSet;
use std::collections::HashMap;

use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Room;

use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::Worker;
use crate::batch::worker::table::Number;

/// Workers by the processor that is left on them, in thousandths of a core.
pub(super) type ByFree = BTreeSet<(u32, Number)>;

#[derive(Default)]
pub(super) struct Index {
    pub(super) services: HashMap<String, Service>,
    pub(super) boxes: HashMap<MachineId, BTreeSet<Number>>,
    /// Workers with ends that the store does not know of.
    pub(super) unsaid: BTreeSet<Number>,
    /// Workers that are heard of again, which the store does not know.
    pub(super) reopening: BTreeSet<Number>,
    /// What accounts may have running, over all workers.
    pub(super) totals: Totals,
    /// The room of all workers.
    pub(super) room: Usage,
    /// A worker has got more room, or takes work again.
    pub(super) has_freed: bool,
}

/// The workers of a service.
#[derive(Default)]
pub(super) struct Service {
    pub(super) members: BTreeSet<Number>,
    /// Those that are not closed, but for a time.
    pub(super) open: ByFree,
    /// The same by rack.
    pub(super) racks: HashMap<String, ByFree>,
}

/// What the indexes say of a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    pub(super) open: bool,
    pub(super) free: Room,
    pub(super) unsaid: bool,
    pub(super) reopening: bool,
}

impl Standing {
    pub(super) fn of(worker: &Worker) -> Standing {
        Standing {
            open: worker.is_open(),
            free: worker.free,
            unsaid: worker.processed > worker.durable,
            reopening: worker.reopening,
        }
    }

    /// Whether a task may fit now that did not before.
    pub(super) fn has_more_than(&self, before: &Standing) -> bool {
        let more = self.free.cpu > before.free.cpu
            || self.free.memory_mb > before.free.memory_mb
            || self.free.gpu > before.free.gpu;
        self.open && (!before.open || more)
    }
}

impl Index {
    pub(super) fn enter(&mut self, number: Number, worker: &Worker, standing: &Standing) {
        let service = self.services.entry(worker.entry.service.clone()).or_default();
        service.members.insert(number);
        self.room = self.room.plus(worker.entry.room.into());
        if standing.open {
            let place = (standing.free.cpu, number);
            service.open.insert(place);
            if let Some(rack) = worker.entry.rack() {
                service.racks.entry(rack.to_owned()).or_default().insert(place);
            }
        }
        if standing.unsaid {
            self.unsaid.insert(number);
        }
        if standing.reopening {
            self.reopening.insert(number);
        }
    }

    pub(super) fn leave(&mut self, number: Number, worker: &Worker, standing: &Standing) {
        self.room = self.room.minus(worker.entry.room.into());
        if let Some(service) = self.services.get_mut(&worker.entry.service) {
            let place = (standing.free.cpu, number);
            service.members.remove(&number);
            service.open.remove(&place);
            if let Some(rack) = worker.entry.rack().and_then(|rack| service.racks.get_mut(rack)) {
                rack.remove(&place);
            }
        }
        self.unsaid.remove(&number);
        self.reopening.remove(&number);
    }

    /// Takes in which runs of accounts came and went on a worker.
    pub(super) fn take_claims(&mut self, worker: &mut Worker) {
        for claim in worker.claims.went.drain(..) {
            self.totals.remove(&claim);
            // Its account may be below its bound now, wherever its tasks would start.
            self.has_freed |= claim.has_bound();
        }
        for claim in worker.claims.came.drain(..) {
            self.totals.add(&claim);
        }
    }

    /// Counts all that may run on a worker.
    pub(super) fn add_claims(&mut self, worker: &Worker) {
        worker
            .slots
            .values()
            .filter_map(|slot| slot.claim.as_ref())
            .for_each(|c| self.totals.add(c));
    }

    pub(super) fn remove_claims(&mut self, worker: &Worker) {
        let claims = worker.slots.values().filter_map(|slot| slot.claim.as_ref());
        claims.for_each(|claim| self.totals.remove(claim));
    }

    pub(super) fn live_on(&mut self, number: Number, worker: &Worker) {
        if let Some(name) = &worker.entry.machine {
            self.boxes.entry(name.clone()).or_default().insert(number);
        }
    }

    pub(super) fn leave_box(&mut self, number: Number, worker: &Worker) {
        let Some(name) = &worker.entry.machine else { return };
        let Some(lives) = self.boxes.get_mut(name) else { return };
        lives.remove(&number);
        if lives.is_empty() {
            self.boxes.remove(name);
        }
    }
}
