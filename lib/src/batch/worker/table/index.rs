//! Indexes of workers by what placing a task needs, updated as workers change.

use std::collections::BTreeSet;
use std::collections::HashMap;

use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Resources;

use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::Worker;
use crate::batch::worker::table::WorkerNumber;

/// Workers by their free CPU, in thousandths of a core.
pub(super) type ByFree = BTreeSet<(u32, WorkerNumber)>;

#[derive(Default)]
pub(super) struct Index {
    pub(super) services: HashMap<String, Service>,
    pub(super) boxes: HashMap<MachineId, BTreeSet<WorkerNumber>>,
    /// Workers with ends whose effect is not in the store.
    pub(super) with_pending_ends: BTreeSet<WorkerNumber>,
    /// Workers that answer again, which the store does not record yet.
    pub(super) recovering: BTreeSet<WorkerNumber>,
    /// What each account may have running, over all workers.
    pub(super) totals: Totals,
    /// The capacity of all workers.
    pub(super) capacity: Usage,
    /// More resources have become free, or a worker has become eligible again.
    pub(super) has_freed: bool,
}

/// The workers of a service.
#[derive(Default)]
pub(super) struct Service {
    pub(super) members: BTreeSet<WorkerNumber>,
    /// Those for which [`Worker::is_eligible`] is true.
    pub(super) eligible: ByFree,
    /// The eligible ones by rack.
    pub(super) racks: HashMap<String, ByFree>,
}

/// The state of a worker by which it is indexed.
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
    pub(super) fn insert(&mut self, number: WorkerNumber, worker: &Worker, state: &IndexedState) {
        let service = self.services.entry(worker.entry.service.clone()).or_default();
        service.members.insert(number);
        self.capacity = self.capacity.plus(worker.entry.capacity.into());
        if state.eligible {
            let key = (state.free.cpu, number);
            service.eligible.insert(key);
            if let Some(rack) = worker.entry.rack() {
                service.racks.entry(rack.to_owned()).or_default().insert(key);
            }
        }
        if state.has_pending_ends {
            self.with_pending_ends.insert(number);
        }
        if state.recovering {
            self.recovering.insert(number);
        }
    }

    pub(super) fn remove(&mut self, number: WorkerNumber, worker: &Worker, state: &IndexedState) {
        self.capacity = self.capacity.minus(worker.entry.capacity.into());
        if let Some(service) = self.services.get_mut(&worker.entry.service) {
            let key = (state.free.cpu, number);
            service.members.remove(&number);
            service.eligible.remove(&key);
            if let Some(rack) = worker.entry.rack().and_then(|rack| service.racks.get_mut(rack)) {
                rack.remove(&key);
            }
        }
        self.with_pending_ends.remove(&number);
        self.recovering.remove(&number);
    }

    /// Applies the claims that were added and removed on a worker.
    pub(super) fn apply_claim_changes(&mut self, worker: &mut Worker) {
        for claim in worker.claim_changes.removed.drain(..) {
            self.totals.remove(&claim);
            // Its account may be below its quota now, wherever its tasks would start.
            self.has_freed |= claim.has_quota();
        }
        for claim in worker.claim_changes.added.drain(..) {
            self.totals.add(&claim);
        }
    }

    /// Adds the claims of all runs that may be on a worker.
    pub(super) fn add_claims(&mut self, worker: &Worker) {
        worker
            .allocations
            .values()
            .filter_map(|allocation| allocation.claim.as_ref())
            .for_each(|claim| self.totals.add(claim));
    }

    pub(super) fn remove_claims(&mut self, worker: &Worker) {
        let claims = worker.allocations.values().filter_map(|allocation| allocation.claim.as_ref());
        claims.for_each(|claim| self.totals.remove(claim));
    }

    pub(super) fn insert_on_box(&mut self, number: WorkerNumber, worker: &Worker) {
        if let Some(name) = &worker.entry.machine {
            self.boxes.entry(name.clone()).or_default().insert(number);
        }
    }

    pub(super) fn remove_from_box(&mut self, number: WorkerNumber, worker: &Worker) {
        let Some(name) = &worker.entry.machine else { return };
        let Some(incarnations) = self.boxes.get_mut(name) else { return };
        incarnations.remove(&number);
        if incarnations.is_empty() {
            self.boxes.remove(name);
        }
    }
}
