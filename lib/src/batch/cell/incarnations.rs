//! Incarnations of workers: which ones are known under an id, which one is running, and at what
//! address and with what token each is called.

use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::worker;
use spokelift_platform::worker::BirthMs;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Token;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::record;
use crate::batch::record::StoredWorker;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;
use crate::batch::worker::compose_token;

impl Cell {
    /// Applies a worker's entry in the store; returns whether its incarnation is new. An entry of
    /// an ended incarnation is ignored.
    ///
    /// A new incarnation does not replace one that is known under the same id: its entry may be the
    /// older one, read late. Only answers show which of them is running: see
    /// `Cell::end_other_incarnations`.
    pub fn discover(&mut self, peer: Peer, entry: worker::Entry, now: Instant) -> bool {
        let peer = Peer { incarnation: self.resolve_incarnation(peer.incarnation), ..peer };
        self.invalid_entries.remove(&peer.incarnation.id);
        if self.ended_incarnations.contains_key(&peer.incarnation) {
            return false;
        }
        if self.workers.update(&peer.incarnation, entry.clone()) {
            self.update_hall(&peer.incarnation);
            self.update_address(&peer);
            return false;
        }
        self.add_worker(Worker::new(peer, entry, now));
        true
    }

    /// An entry without a birth time belongs to the incarnation that is known under its id.
    fn resolve_incarnation(&self, incarnation: Incarnation) -> Incarnation {
        let current =
            self.workers.current(&incarnation.id).filter(|_| incarnation.birth_ms.is_none());
        current.map(|worker| worker.peer.incarnation.clone()).unwrap_or(incarnation)
    }

    /// Updates the address of a known worker.
    fn update_address(&mut self, peer: &Peer) {
        let Some(mut worker) = self.workers.get_mut(&peer.incarnation) else { return };
        if worker.peer.addr == peer.addr {
            return;
        }
        worker.peer.addr = peer.addr;
        drop(worker);
        self.reassign(&peer.incarnation);
    }

    /// Adds a worker, also to the store.
    fn add_worker(&mut self, worker: Worker) {
        self.pending_records.push(record::worker(&worker.peer.incarnation, &worker.to_stored()));
        self.insert_worker(worker);
    }

    /// Adds a worker. If its id has had another incarnation, it is not known yet which of them is
    /// the later one, and the later one may execute orders meant for the earlier: see
    /// [`Worker::may_be_later_incarnation`].
    pub(super) fn insert_worker(&mut self, mut worker: Worker) {
        worker.hall_evacuated = self.evacuated_halls.contains(&worker.entry.hall);
        let id = worker.peer.incarnation.id.clone();
        let has_others = self.workers.current(&id).is_some()
            || self.ended_incarnations.keys().any(|ended| ended.id == id);
        self.workers.insert(worker);
        if has_others {
            let longest_lease = self.longest_lease;
            self.update_incarnations(&id, |worker| {
                worker.may_be_later_incarnation = true;
                worker.record_possible_renewal(worker.discovered_at, longest_lease);
            });
        }
    }

    /// Assigns a worker to its dispatcher again, with a higher token and its present address. Stops
    /// that were not answered are sent again.
    fn reassign(&mut self, incarnation: &Incarnation) {
        self.workers.raise_fence(incarnation);
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.fast_polling = false;
        self.reassigned.push(worker.number);
        let peer = worker.peer.clone();
        let unanswered = worker
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.phase == Phase::Stopping(None));
        let unanswered: Vec<(TaskName, Run)> =
            unanswered.map(|(task, allocation)| (*task, allocation.run)).collect();
        drop(worker);
        for (task, run) in unanswered {
            self.outbox.push(Order::Stop { peer: peer.clone(), task, run });
        }
    }

    /// Handles an answer of another incarnation at the address where `incarnation` had answered
    /// before. The runs of `incarnation` are released once the later one has answered to a token of
    /// its own: until then it may execute orders meant for `incarnation`.
    pub fn on_other_incarnation(
        &mut self,
        incarnation: &Incarnation,
        birth_ms: BirthMs,
        now: Instant,
    ) {
        let later = Incarnation::new(incarnation.id.clone(), Some(birth_ms));
        let longest_lease = self.longest_lease;
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.record_possible_renewal(now, longest_lease);
        let (fence, peer) =
            (worker.fence, Peer { incarnation: later.clone(), ..worker.peer.clone() });
        let stored = worker.to_stored();
        drop(worker);
        self.on_failed_poll(incarnation);
        if let Some(other) = self.workers.get(&later) {
            // It was discovered first, so its token is now too low.
            if other.fence < fence {
                self.reassign(&later);
            }
        } else if self.ended_incarnations.contains_key(&later) {
            self.mark_ended(incarnation, "late answer of an ended incarnation");
        } else {
            log::info!(
                worker:% = later,
                before:% = incarnation;
                "another incarnation answers before its entry is listed"
            );
            self.add_worker(unlisted_worker(peer, stored, now));
            self.reassigned.extend(self.workers.get(&later).map(|worker| worker.number));
        }
    }

    /// Handles a worker's refusal because it has seen a token higher than `token`: that of a later
    /// scheduler, or one that this scheduler has given to another incarnation with the same id.
    /// Ignored if this scheduler has raised the worker's token since.
    pub fn on_fenced(&mut self, incarnation: &Incarnation, token: Token) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        if token < compose_token(self.token, worker.fence) {
            return;
        }
        if self.workers.fence_of(&incarnation.id) > worker.fence {
            self.reassign(incarnation);
        } else {
            self.is_fenced = true;
        }
    }

    /// Applies `change` to each incarnation known under an id.
    pub(super) fn update_incarnations(&mut self, id: &str, change: impl Fn(&mut Worker)) {
        let incarnations: Vec<Incarnation> =
            self.workers.incarnations(id).map(|other| other.peer.incarnation.clone()).collect();
        for incarnation in incarnations {
            if let Some(mut worker) = self.workers.get_mut(&incarnation) {
                change(&mut worker);
            }
        }
    }

    /// Removes incarnations that have ended according to the answer of this one to a poll sent at
    /// `sent_at`: those with its id, and those of other ids on its box.
    ///
    /// Only answers decide which of two incarnations is the later one: the store and the list of
    /// machines may be seconds old when read, and a birth time comes from a wall clock that may
    /// jump.
    pub(super) fn end_other_incarnations(&mut self, incarnation: &Incarnation, sent_at: Instant) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let (number, discovered_at) = (worker.number, worker.discovered_at);
        let same_id = self.workers.incarnations(&incarnation.id).filter(|other| {
            // One that was discovered or answered after the poll was sent may be later still.
            let is_before = other.discovered_at <= sent_at
                && other.last_poll_answer_at().is_none_or(|at| at <= sent_at);
            other.number != number && is_before
        });
        let same_id: Vec<Incarnation> =
            same_id.map(|other| other.peer.incarnation.clone()).collect();
        let on_box = worker.entry.machine.as_ref().map(|machine| self.workers.on_box(machine));
        let on_box = on_box
            .into_iter()
            .flatten()
            .filter(|other| other.peer.incarnation.id != incarnation.id);
        let on_box: Vec<(Incarnation, bool)> = on_box
            .map(|other| (other.peer.incarnation.clone(), other.discovered_at < discovered_at))
            .collect();
        for other in same_id {
            self.mark_ended(&other, "a later incarnation has its id");
        }
        for (other, was_discovered_first) in on_box {
            let reason = "another worker runs on its machine";
            // One that was discovered later may be the later one if this answer was delayed, so it
            // is not marked as ended.
            match was_discovered_first {
                true => self.mark_ended(&other, reason),
                false => self.remove_worker(&other, reason),
            }
        }
    }
}

/// A worker that the store does not list, with what the store keeps of it. It gets no tasks before its
/// entry arrives.
pub(super) fn unlisted_worker(peer: Peer, stored: StoredWorker, now: Instant) -> Worker {
    let entry = worker::Entry {
        service: stored.service,
        address: stored.addr,
        hall: String::new(),
        draining: true,
        capacity: Resources::default(),
        labels: Vec::new(),
        leaves_in_ms: None,
        machine: stored.machine,
        birth_ms: peer.incarnation.birth_ms,
    };
    Worker { listed: false, ..Worker::new(peer, entry, now) }
}
