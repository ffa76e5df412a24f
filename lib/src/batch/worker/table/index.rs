//! Workers by what is asked for each task, kept up as they change.

use std::collections::BTreeSet;
use std::collections::HashMap;

use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Resources;

use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::Worker;
use crate::batch::worker::table::WorkerNumber;

/// Workers by the processor that is left on them, in thousandths of a core.
pub(super) type ByFree = BTreeSet<(u32, WorkerNumber)>;

#[derive(Default)]
pub(super) struct Index {
    pub(super) services: HashMap<String, Service>,
    pub(super) boxes: HashMap<MachineId, BTreeSet<WorkerNumber>>,
    /// Workers with ends that the store does not know of.
    pub(super) with_pending_ends: BTreeSet<WorkerNumber>,
    /// Workers that are heard of again, which the store does not know.
    pub(super) recovering: BTreeSet<WorkerNumber>,
    /// What accounts may have running, over all workers.
    pub(super) totals: Totals,
    /// The room of all workers.
    pub(super) capacity: Usage,
    /// A worker has got more room, or takes work again.
    pub(super) has_freed: bool,
}

/// The workers of a service.
#[derive(Default)]
pub(super) struct Service {
    pub(super) members: BTreeSet<WorkerNumber>,
    /// Those that are not closed, but for a time.
    pub(super) eligible: ByFree,
    /// The same by rack.
    pub(super) racks: HashMap<String, ByFree>,
}

/// What the indexes say of a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct IndexedState {
    pub(super) eligible: bool,
    pub(super) free: Resources,
    pub(super) has_pending_ends: bool,
    pub(super) recovering: bool,
}

impl IndexedState {
    pub(super) fn of(worker: &Worker) -> IndexedState {
        IndexedState {
            eligible: worker.is_eligible(),
            free: worker.free,
            has_pending_ends: worker.processed_end > worker.durable_end,
            recovering: worker.recovering,
        }
    }

    /// Whether a task may fit now that did not before.
    pub(super) fn has_more_than(&self, before: &IndexedState) -> bool {
        let more = self.free.cpu > before.free.cpu
            || self.free.memory_mb > before.free.memory_mb
            || self.free.gpu > before.free.gpu;
        self.eligible && (!before.eligible || more)
    }
}

impl Index {
    pub(super) fn insert(
        &mut self,
        number: WorkerNumber,
        worker: &Worker,
        standing: &IndexedState,
    ) {
        let service = self.services.entry(worker.entry.service.clone()).or_default();
        service.members.insert(number);
        self.capacity = self.capacity.plus(worker.entry.capacity.into());
        if standing.eligible {
            let place = (standing.free.cpu, number);
            service.eligible.insert(place);
            if let Some(rack) = worker.entry.rack() {
                service.racks.entry(rack.to_owned()).or_default().insert(place);
            }
        }
        if standing.has_pending_ends {
            self.with_pending_ends.insert(number);
        }
        if standing.recovering {
            self.recovering.insert(number);
        }
    }

    pub(super) fn remove(
        &mut self,
        number: WorkerNumber,
        worker: &Worker,
        standing: &IndexedState,
    ) {
        self.capacity = self.capacity.minus(worker.entry.capacity.into());
        if let Some(service) = self.services.get_mut(&worker.entry.service) {
            let place = (standing.free.cpu, number);
            service.members.remove(&number);
            service.eligible.remove(&place);
            if let Some(rack) = worker.entry.rack().and_then(|rack| service.racks.get_mut(rack)) {
                rack.remove(&place);
            }
        }
        self.with_pending_ends.remove(&number);
        self.recovering.remove(&number);
    }

    /// Takes in which runs of accounts came and went on a worker.
    pub(super) fn apply_claim_changes(&mut self, worker: &mut Worker) {
        for claim in worker.claim_changes.removed.drain(..) {
            self.totals.remove(&claim);
            // Its account may be below its bound now, wherever its tasks would start.
            self.has_freed |= claim.has_quota();
        }
        for claim in worker.claim_changes.added.drain(..) {
            self.totals.add(&claim);
        }
    }

    /// Counts all that may run on a worker.
    pub(super) fn add_claims(&mut self, worker: &Worker) {
        worker
            .allocations
            .values()
            .filter_map(|slot| slot.claim.as_ref())
            .for_each(|c| self.totals.add(c));
    }

    pub(super) fn remove_claims(&mut self, worker: &Worker) {
        let claims = worker.allocations.values().filter_map(|slot| slot.claim.as_ref());
        claims.for_each(|claim| self.totals.remove(claim));
    }

    pub(super) fn insert_on_box(&mut self, number: WorkerNumber, worker: &Worker) {
        if let Some(name) = &worker.entry.machine {
            self.boxes.entry(name.clone()).or_default().insert(number);
        }
    }

    pub(super) fn remove_from_box(&mut self, number: WorkerNumber, worker: &Worker) {
        let Some(name) = &worker.entry.machine else { return };
        let Some(lives) = self.boxes.get_mut(name) else { return };
        lives.remove(&number);
        if lives.is_empty() {
            self.boxes.remove(name);
        }
    }
}
