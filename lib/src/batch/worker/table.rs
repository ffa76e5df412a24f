//! All workers, with indexes that follow each change.
//!
//! A scheduler of a large cluster starts thousands of tasks a second on a thousand workers or more.
//! What each task needs (a worker with free resources, another incarnation on the same box, ends
//! that are not in the store) is therefore looked up in an index, never searched for among all
//! workers.
//!
//! Invariant: the indexes hold for each worker what `IndexedState::of` returns. A worker is
//! changed only through a [`Handle`], which updates the indexes when it is dropped.

mod index;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Deref;
use std::ops::DerefMut;
use std::ops::Index as IndexById;

use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::WorkerId;

use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::ClaimChanges;
use crate::batch::worker::Worker;
use crate::batch::worker::table::index::ByFree;
use crate::batch::worker::table::index::Index;
use crate::batch::worker::table::index::IndexedState;
use crate::batch::worker::table::index::Service;

/// Number of a worker in the order in which a scheduler discovered them; unique to an incarnation.
pub type WorkerNumber = u64;

/// All workers.
#[derive(Default)]
pub struct Table {
    numbers: HashMap<Incarnation, WorkerNumber>,
    /// The known incarnations of each id. There are several while it is not certain which of them
    /// is current.
    incarnations: HashMap<WorkerId, Incarnations>,
    workers: BTreeMap<WorkerNumber, Worker>,
    last_number: WorkerNumber,
    index: Index,
}

/// The known incarnations of an id.
#[derive(Default)]
struct Incarnations {
    numbers: BTreeSet<WorkerNumber>,
    /// The highest fence that any incarnation of the id was given, including forgotten ones.
    fence: WorkerNumber,
}

/// Mutable access to a worker. The indexes are updated when it is dropped.
pub struct Handle<'a> {
    worker: &'a mut Worker,
    index: &'a mut Index,
    number: WorkerNumber,
    before: IndexedState,
}

impl Deref for Handle<'_> {
    type Target = Worker;

    fn deref(&self) -> &Worker {
        self.worker
    }
}

impl DerefMut for Handle<'_> {
    fn deref_mut(&mut self) -> &mut Worker {
        self.worker
    }
}

impl Drop for Handle<'_> {
    fn drop(&mut self) {
        let after = IndexedState::of(self.worker);
        if after != self.before {
            self.index.remove(self.number, self.worker, &self.before);
            self.index.insert(self.number, self.worker, &after);
            self.index.has_freed |= after.has_more_than(&self.before);
        }
        self.index.apply_claim_changes(self.worker);
    }
}

impl Table {
    /// How many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Whether an incarnation is known.
    pub fn contains_key(&self, incarnation: &Incarnation) -> bool {
        self.numbers.contains_key(incarnation)
    }

    /// The worker with an incarnation; `None` if it is not known.
    pub fn get(&self, incarnation: &Incarnation) -> Option<&Worker> {
        self.workers.get(self.numbers.get(incarnation)?)
    }

    /// The incarnation of the worker with a number; `None` if it is not known.
    pub fn incarnation_of(&self, number: WorkerNumber) -> Option<&Incarnation> {
        self.workers.get(&number).map(|worker| &worker.peer.incarnation)
    }

    /// All known incarnations of an id, in the order in which they were discovered.
    pub fn incarnations(&self, id: &str) -> impl DoubleEndedIterator<Item = &Worker> {
        let numbers =
            self.incarnations.get(id).into_iter().flat_map(|incarnations| &incarnations.numbers);
        numbers.filter_map(|number| self.workers.get(number))
    }

    /// The current incarnation of an id as far as is known: the last one that was discovered.
    pub fn current(&self, id: &str) -> Option<&Worker> {
        self.incarnations(id).next_back()
    }

    /// The highest fence that any incarnation of an id was given; 0 if none is known.
    pub fn fence_of(&self, id: &str) -> WorkerNumber {
        self.incarnations.get(id).map_or(0, |incarnations| incarnations.fence)
    }

    /// Gives a worker a fence above all that were given before.
    pub fn raise_fence(&mut self, incarnation: &Incarnation) {
        let fence = self.next_number();
        if let Some(incarnations) = self.incarnations.get_mut(&incarnation.id) {
            incarnations.fence = fence;
        }
        if let Some(mut worker) = self.get_mut(incarnation) {
            worker.fence = fence;
        }
    }

    fn next_number(&mut self) -> WorkerNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Mutable access to a worker; `None` if it is not known.
    pub fn get_mut(&mut self, incarnation: &Incarnation) -> Option<Handle<'_>> {
        let number = *self.numbers.get(incarnation)?;
        self.handle(number)
    }

    fn handle(&mut self, number: WorkerNumber) -> Option<Handle<'_>> {
        let worker = self.workers.get_mut(&number)?;
        let before = IndexedState::of(worker);
        Some(Handle { worker, index: &mut self.index, number, before })
    }

    /// Changes each worker.
    pub fn for_each_mut(&mut self, mut change: impl FnMut(&mut Worker)) {
        for (number, worker) in &mut self.workers {
            let before = IndexedState::of(worker);
            change(&mut Handle { worker, index: &mut self.index, number: *number, before });
        }
    }

    /// All workers, in the order in which they were discovered.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// All incarnations, in arbitrary order.
    pub fn keys(&self) -> impl Iterator<Item = &Incarnation> {
        self.numbers.keys()
    }

    /// Adds a worker, under a new number and fence.
    pub fn insert(&mut self, worker: Worker) {
        let incarnation = worker.peer.incarnation.clone();
        self.remove(&incarnation);
        let number = self.next_number();
        let claim_changes = ClaimChanges::default();
        let worker = Worker { number, fence: number, claim_changes, ..worker };
        self.index.add_claims(&worker);
        let state = IndexedState::of(&worker);
        self.index.insert(self.last_number, &worker, &state);
        self.index.insert_on_box(self.last_number, &worker);
        self.index.has_freed |= state.eligible;
        let incarnations = self.incarnations.entry(incarnation.id.clone()).or_default();
        incarnations.numbers.insert(number);
        incarnations.fence = number;
        self.numbers.insert(incarnation, self.last_number);
        self.workers.insert(self.last_number, worker);
    }

    /// Removes a worker.
    pub fn remove(&mut self, incarnation: &Incarnation) -> Option<Worker> {
        let number = self.numbers.remove(incarnation)?;
        if let Some(incarnations) = self.incarnations.get_mut(&incarnation.id) {
            incarnations.numbers.remove(&number);
            if incarnations.numbers.is_empty() {
                self.incarnations.remove(&incarnation.id);
            }
        }
        let worker = self.workers.remove(&number)?;
        self.index.remove(number, &worker, &IndexedState::of(&worker));
        self.index.remove_from_box(number, &worker);
        self.index.remove_claims(&worker);
        Some(worker)
    }

    /// Applies a changed entry of a worker; `false` if the worker is not known.
    pub fn update(&mut self, incarnation: &Incarnation, entry: Entry) -> bool {
        let Some(number) = self.numbers.get(incarnation).copied() else { return false };
        let Some(worker) = self.workers.get_mut(&number) else { return false };
        let before = IndexedState::of(worker);
        self.index.remove(number, worker, &before);
        self.index.remove_from_box(number, worker);
        worker.update(entry);
        let after = IndexedState::of(worker);
        self.index.insert(number, worker, &after);
        self.index.insert_on_box(number, worker);
        // It may only now be listed again, which its indexed state does not show.
        self.index.has_freed |= after.eligible;
        true
    }

    /// The workers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let members = self.index.services.get(service).map(|service| &service.members);
        members.into_iter().flatten().filter_map(|number| self.workers.get(number))
    }

    /// The workers of a service that are eligible (see [`Worker::is_eligible`]) and have at least
    /// so much free CPU, in thousandths of a core: those with the least first.
    pub fn eligible_with(
        &self,
        service: &str,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &Worker> {
        let eligible = self.index.services.get(service).map(|service| &service.eligible);
        self.with_free(eligible, cpu)
    }

    /// The same, on one rack only.
    pub fn eligible_on_rack(
        &self,
        service: &str,
        rack: &str,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &Worker> {
        let eligible = self.index.services.get(service).and_then(|service| service.racks.get(rack));
        self.with_free(eligible, cpu)
    }

    fn with_free<'a>(
        &'a self,
        eligible: Option<&'a ByFree>,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &'a Worker> {
        let eligible = eligible.into_iter().flat_map(move |eligible| eligible.range((cpu, 0)..));
        eligible.filter_map(|(_, number)| self.workers.get(number))
    }

    /// The workers on a box, as far as their entries name one.
    pub fn on_box(&self, name: &str) -> impl Iterator<Item = &Worker> {
        let incarnations = self.index.boxes.get(name);
        incarnations.into_iter().flatten().filter_map(|number| self.workers.get(number))
    }

    /// The capacity of all workers.
    pub fn capacity(&self) -> Usage {
        self.index.capacity
    }

    /// What each account may have running, over all workers.
    pub fn totals(&self) -> &Totals {
        &self.index.totals
    }

    /// Workers with ends whose effect is not in the store.
    pub fn with_pending_ends(&self) -> impl Iterator<Item = &Worker> {
        self.index.with_pending_ends.iter().filter_map(|number| self.workers.get(number))
    }

    /// Workers that answer again, which the store does not record yet.
    pub fn recovering(&self) -> impl Iterator<Item = &Worker> {
        self.index.recovering.iter().filter_map(|number| self.workers.get(number))
    }

    /// Whether more resources have become free, or a worker eligible again, since the last call.
    pub fn take_freed(&mut self) -> bool {
        std::mem::take(&mut self.index.has_freed)
    }

    /// Compares the indexes with ones built from all workers; returns a message for each
    /// difference.
    pub fn faults(&self) -> Vec<String> {
        let mut counted = Index::default();
        for (number, worker) in &self.workers {
            counted.insert(*number, worker, &IndexedState::of(worker));
            counted.insert_on_box(*number, worker);
            counted.add_claims(worker);
        }
        let mut faults = Vec::new();
        let mut compare = |what: &str, same: bool| {
            if !same {
                faults.push(format!("{what} differ from a full count"));
            }
        };
        compare("capacities", counted.capacity == self.index.capacity);
        compare("totals of accounts", counted.totals == self.index.totals);
        compare("boxes", counted.boxes == self.index.boxes);
        compare("pending ends", counted.with_pending_ends == self.index.with_pending_ends);
        compare("recovering workers", counted.recovering == self.index.recovering);
        let mut incarnations: HashMap<WorkerId, BTreeSet<WorkerNumber>> = HashMap::new();
        for (incarnation, number) in &self.numbers {
            incarnations.entry(incarnation.id.clone()).or_default().insert(*number);
        }
        let indexed = self
            .incarnations
            .iter()
            .map(|(id, incarnations)| (id.clone(), incarnations.numbers.clone()));
        compare("incarnations", incarnations == indexed.collect());
        let none = Service::default();
        let names = self.index.services.keys().chain(counted.services.keys());
        for name in names {
            let indexed = self.index.services.get(name).unwrap_or(&none);
            let counted = counted.services.get(name).unwrap_or(&none);
            compare("members", indexed.members == counted.members);
            compare("eligible workers", indexed.eligible == counted.eligible);
            let on_racks = |service: &Service| -> BTreeSet<(u32, WorkerNumber)> {
                service.racks.values().flatten().copied().collect()
            };
            compare("workers on racks", on_racks(indexed) == on_racks(counted));
        }
        faults
    }
}

impl IndexById<&str> for Table {
    type Output = Worker;

    /// The current incarnation of an id.
    fn index(&self, id: &str) -> &Worker {
        self.current(id).expect("the worker is known")
    }
}

impl IndexById<&Incarnation> for Table {
    type Output = Worker;

    fn index(&self, incarnation: &Incarnation) -> &Worker {
        self.get(incarnation).expect("the worker is known")
    }
}
