//! All workers, with indexes that are kept up as each of them changes.
//!
//! A scheduler of a large site starts thousands of tasks a second among a thousand workers and more. What
//! is asked for each task (a worker with room, another life on the same box, ends the store does not know
//! of) is therefore looked up, never searched for among all workers.
//!
//! Invariant: the indexes say of each worker what [`IndexedState::of`] says. A worker is changed only through
//! a [`Handle`], which brings them up to date as it is dropped.

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

/// Number of a worker in the order in which a scheduler met them; no two lives share one.
pub type WorkerNumber = u64;

/// All workers.
#[derive(Default)]
pub struct Table {
    numbers: HashMap<Incarnation, WorkerNumber>,
    /// The lives known of each id. There are several while it is not known which of them lives.
    incarnations: HashMap<WorkerId, Incarnations>,
    workers: BTreeMap<WorkerNumber, Worker>,
    last_number: WorkerNumber,
    index: Index,
}

/// The lives known of an id.
#[derive(Default)]
struct Incarnations {
    numbers: BTreeSet<WorkerNumber>,
    /// The highest fence that any life of the id was given, also one that is not known any more.
    fence: WorkerNumber,
}

/// A worker that may be changed. The indexes follow as it is dropped.
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

    /// Whether a life is known.
    pub fn contains_key(&self, life: &Incarnation) -> bool {
        self.numbers.contains_key(life)
    }

    /// A worker.
    pub fn get(&self, life: &Incarnation) -> Option<&Worker> {
        self.workers.get(self.numbers.get(life)?)
    }

    /// The life of the worker with a number.
    pub fn incarnation_of(&self, number: WorkerNumber) -> Option<&Incarnation> {
        self.workers.get(&number).map(|worker| &worker.peer.incarnation)
    }

    /// All lives known of an id, in the order in which they were met.
    pub fn incarnations(&self, id: &str) -> impl DoubleEndedIterator<Item = &Worker> {
        let numbers = self.incarnations.get(id).into_iter().flat_map(|lives| &lives.numbers);
        numbers.filter_map(|number| self.workers.get(number))
    }

    /// The life that an id has now, as far as is known: the last one that was met.
    pub fn current(&self, id: &str) -> Option<&Worker> {
        self.incarnations(id).next_back()
    }

    /// The highest fence that any life of an id was given, as long as one is known.
    pub fn fence_of(&self, id: &str) -> WorkerNumber {
        self.incarnations.get(id).map_or(0, |lives| lives.fence)
    }

    /// Gives a worker a fence above those of all others so far.
    pub fn raise_fence(&mut self, life: &Incarnation) {
        let fence = self.next_number();
        if let Some(lives) = self.incarnations.get_mut(&life.id) {
            lives.fence = fence;
        }
        if let Some(mut worker) = self.get_mut(life) {
            worker.fence = fence;
        }
    }

    fn next_number(&mut self) -> WorkerNumber {
        self.last_number += 1;
        self.last_number
    }

    /// A worker that is to be changed.
    pub fn get_mut(&mut self, life: &Incarnation) -> Option<Handle<'_>> {
        let number = *self.numbers.get(life)?;
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

    /// All workers, in the order in which they were met.
    pub fn values(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// All lives, in no order.
    pub fn keys(&self) -> impl Iterator<Item = &Incarnation> {
        self.numbers.keys()
    }

    /// Adds a worker that is not known.
    pub fn insert(&mut self, worker: Worker) {
        let life = worker.peer.incarnation.clone();
        self.remove(&life);
        let number = self.next_number();
        let claims = ClaimChanges::default();
        let worker = Worker { number, fence: number, claim_changes: claims, ..worker };
        self.index.add_claims(&worker);
        let standing = IndexedState::of(&worker);
        self.index.insert(self.last_number, &worker, &standing);
        self.index.insert_on_box(self.last_number, &worker);
        self.index.has_freed |= standing.eligible;
        let lives = self.incarnations.entry(life.id.clone()).or_default();
        lives.numbers.insert(number);
        lives.fence = number;
        self.numbers.insert(life, self.last_number);
        self.workers.insert(self.last_number, worker);
    }

    /// Removes a worker.
    pub fn remove(&mut self, life: &Incarnation) -> Option<Worker> {
        let number = self.numbers.remove(life)?;
        if let Some(lives) = self.incarnations.get_mut(&life.id) {
            lives.numbers.remove(&number);
            if lives.numbers.is_empty() {
                self.incarnations.remove(&life.id);
            }
        }
        let worker = self.workers.remove(&number)?;
        self.index.remove(number, &worker, &IndexedState::of(&worker));
        self.index.remove_from_box(number, &worker);
        self.index.remove_claims(&worker);
        Some(worker)
    }

    /// Takes over the changed entry of a worker; `false` if it is not known.
    pub fn update(&mut self, life: &Incarnation, entry: Entry) -> bool {
        let Some(number) = self.numbers.get(life).copied() else { return false };
        let Some(worker) = self.workers.get_mut(&number) else { return false };
        let before = IndexedState::of(worker);
        self.index.remove(number, worker, &before);
        self.index.remove_from_box(number, worker);
        worker.update(entry);
        let after = IndexedState::of(worker);
        self.index.insert(number, worker, &after);
        self.index.insert_on_box(number, worker);
        // It may only now be listed again, which its standing does not say.
        self.index.has_freed |= after.eligible;
        true
    }

    /// The workers of a service.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Worker> {
        let members = self.index.services.get(service).map(|service| &service.members);
        members.into_iter().flatten().filter_map(|number| self.workers.get(number))
    }

    /// The workers of a service that are open, as [`Worker::is_open`] says, and have so much processor
    /// left: those with the least left first.
    pub fn eligible_with(
        &self,
        service: &str,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &Worker> {
        let open = self.index.services.get(service).map(|service| &service.eligible);
        self.with_free(open, cpu)
    }

    /// The same on one rack.
    pub fn eligible_on_rack(
        &self,
        service: &str,
        rack: &str,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &Worker> {
        let open = self.index.services.get(service).and_then(|service| service.racks.get(rack));
        self.with_free(open, cpu)
    }

    fn with_free<'a>(
        &'a self,
        open: Option<&'a ByFree>,
        cpu: u32,
    ) -> impl DoubleEndedIterator<Item = &'a Worker> {
        let open = open.into_iter().flat_map(move |open| open.range((cpu, 0)..));
        open.filter_map(|(_, number)| self.workers.get(number))
    }

    /// The workers that live on a box, as far as they say so.
    pub fn on_box(&self, name: &str) -> impl Iterator<Item = &Worker> {
        let lives = self.index.boxes.get(name);
        lives.into_iter().flatten().filter_map(|number| self.workers.get(number))
    }

    /// The room of all workers.
    pub fn capacity(&self) -> Usage {
        self.index.capacity
    }

    /// What accounts may have running, over all workers.
    pub fn totals(&self) -> &Totals {
        &self.index.totals
    }

    /// Workers with ends that the store does not know of.
    pub fn with_pending_ends(&self) -> impl Iterator<Item = &Worker> {
        self.index.with_pending_ends.iter().filter_map(|number| self.workers.get(number))
    }

    /// Workers that are heard of again, which the store does not know.
    pub fn recovering(&self) -> impl Iterator<Item = &Worker> {
        self.index.recovering.iter().filter_map(|number| self.workers.get(number))
    }

    /// Whether a worker has got more room, or takes work again, since the last time this was asked.
    pub fn take_freed(&mut self) -> bool {
        std::mem::take(&mut self.index.has_freed)
    }

    /// Compares the indexes with what a look at every worker gives; the differences in words.
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
        compare("room", counted.capacity == self.index.capacity);
        compare("totals of accounts", counted.totals == self.index.totals);
        compare("boxes", counted.boxes == self.index.boxes);
        compare("unsaid ends", counted.with_pending_ends == self.index.with_pending_ends);
        compare("reopening workers", counted.recovering == self.index.recovering);
        let mut lives: HashMap<WorkerId, BTreeSet<WorkerNumber>> = HashMap::new();
        for (life, number) in &self.numbers {
            lives.entry(life.id.clone()).or_default().insert(*number);
        }
        let kept = self.incarnations.iter().map(|(id, lives)| (id.clone(), lives.numbers.clone()));
        compare("lives", lives == kept.collect());
        let none = Service::default();
        let names = self.index.services.keys().chain(counted.services.keys());
        for name in names {
            let kept = self.index.services.get(name).unwrap_or(&none);
            let counted = counted.services.get(name).unwrap_or(&none);
            compare("members", kept.members == counted.members);
            compare("open workers", kept.eligible == counted.eligible);
            let on_racks = |service: &Service| -> BTreeSet<(u32, WorkerNumber)> {
                service.racks.values().flatten().copied().collect()
            };
            compare("workers on racks", on_racks(kept) == on_racks(counted));
        }
        faults
    }
}

impl IndexById<&str> for Table {
    type Output = Worker;

    /// The life that an id has now.
    fn index(&self, id: &str) -> &Worker {
        self.current(id).expect("the worker is known")
    }
}

impl IndexById<&Incarnation> for Table {
    type Output = Worker;

    fn index(&self, life: &Incarnation) -> &Worker {
        self.get(life).expect("the worker is known")
    }
}
