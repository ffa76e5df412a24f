//! Lives of workers: which are known of an id, which of them lives, and what orders to each are told by.

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
use crate::batch::worker::compose_token as worker_token;

impl Cell {
    /// Takes in a worker's entry; returns whether its life is new. An entry of a life that is over says nothing.
    ///
    /// A life that is new by its entry takes nothing from the one that is known under its id: the entry may be the older
    /// one, read late. Which of them lives is told by answers: see [`Cell::end_other_lives`].
    pub fn discover(&mut self, peer: Peer, entry: worker::Entry, now: Instant) -> bool {
        let peer = Peer { incarnation: self.resolve_incarnation(peer.incarnation), ..peer };
        self.unusable.remove(&peer.incarnation.id);
        if self.ended_incarnations.contains_key(&peer.incarnation) {
            return false;
        }
        if self.workers.update(&peer.incarnation, entry.clone()) {
            self.update_address(&peer);
            return false;
        }
        self.add_worker(Worker::new(peer, entry, now));
        true
    }

    /// What an entry that tells no birth is of: the life that is known under its id.
    fn resolve_incarnation(&self, life: Incarnation) -> Incarnation {
        let current = self.workers.current(&life.id).filter(|_| life.birth_ms.is_none());
        current.map(|worker| worker.peer.incarnation.clone()).unwrap_or(life)
    }

    /// A known worker is called here from now on.
    fn update_address(&mut self, peer: &Peer) {
        let Some(mut worker) = self.workers.get_mut(&peer.incarnation) else { return };
        if worker.peer.addr == peer.addr {
            return;
        }
        worker.peer.addr = peer.addr;
        drop(worker);
        self.reassign(&peer.incarnation);
    }

    /// A worker is known from now on, also to the store.
    fn add_worker(&mut self, worker: Worker) {
        self.pending_records.push(record::worker(&worker.peer.incarnation, &worker.to_stored()));
        self.insert_worker(worker);
    }

    /// A worker is known from now on. Where its id has had another life, which of them is the later one is not known yet,
    /// and orders meant for the earlier one may be carried out by it: see [`Worker::is_later_life`].
    pub(super) fn insert_worker(&mut self, worker: Worker) {
        let id = worker.peer.incarnation.id.clone();
        let has_others = self.workers.current(&id).is_some()
            || self.ended_incarnations.keys().any(|gone| gone.id == id);
        self.workers.insert(worker);
        if has_others {
            let longest = self.longest_lease;
            self.update_incarnations(&id, |worker| {
                worker.is_later_incarnation = true;
                worker.record_possible_renewal(worker.discovered_at, longest);
            });
        }
    }

    /// A worker's carrier is to take it anew, with a higher token, as it is called now. Stops that it was told to send are
    /// told again.
    fn reassign(&mut self, life: &Incarnation) {
        self.workers.raise_fence(life);
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.fast_polling = false;
        self.reassigned.push(worker.number);
        let peer = worker.peer.clone();
        let open =
            worker.allocations.iter().filter(|(_, slot)| slot.phase == Phase::Stopping(None));
        let open: Vec<(TaskName, Run)> = open.map(|(task, slot)| (*task, slot.run)).collect();
        drop(worker);
        for (task, run) in open {
            self.outbox.push(Order::Stop { peer: peer.clone(), task, run });
        }
    }

    /// Another life answers where this one is called and had answered before. What it ran is settled once the later one
    /// has answered to a token of its own: until then an order meant for this life may be carried out there.
    pub fn on_other_incarnation(&mut self, life: &Incarnation, born: BirthMs, now: Instant) {
        let later = Incarnation::new(life.id.clone(), Some(born));
        let longest = self.longest_lease;
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.record_possible_renewal(now, longest);
        let (fence, peer) =
            (worker.fence, Peer { incarnation: later.clone(), ..worker.peer.clone() });
        let known = worker.to_stored();
        drop(worker);
        self.on_failed_poll(life);
        if let Some(other) = self.workers.get(&later) {
            // It was met first, so its token is too low by now.
            if other.fence < fence {
                self.reassign(&later);
            }
        } else if self.ended_incarnations.contains_key(&later) {
            self.mark_ended(life, "an answer of a life that is over has come late");
        } else {
            log::info!(worker:% = later, before:% = life; "another life answers, its entry has not come");
            self.add_worker(unlisted_worker(peer, known, now));
            self.reassigned.extend(self.workers.get(&later).map(|worker| worker.number));
        }
    }

    /// A worker has refused an order since it has seen a higher token than this: that of a later scheduler, or one that
    /// this scheduler has given to another life with its id.
    pub fn on_fenced(&mut self, life: &Incarnation, token: Token) {
        let Some(worker) = self.workers.get(life) else { return };
        if token < worker_token(self.token, worker.fence) {
            return;
        }
        if self.workers.fence_of(&life.id) > worker.fence {
            self.reassign(life);
        } else {
            self.is_fenced = true;
        }
    }

    /// Changes each life that is known of an id.
    pub(super) fn update_incarnations(&mut self, id: &str, change: impl Fn(&mut Worker)) {
        let lives: Vec<Incarnation> =
            self.workers.incarnations(id).map(|other| other.peer.incarnation.clone()).collect();
        for life in lives {
            if let Some(mut worker) = self.workers.get_mut(&life) {
                change(&mut worker);
            }
        }
    }

    /// Removes lives of which this one, that has answered a look sent at `sent`, shows that they are over: those on its
    /// machine before it, and those with its id. Which of two lives is the later one is told by answers only, since reads
    /// of the store and of the list of machines may be seconds old, and a life's own account of its birth goes by a time
    /// of day that may jump.
    pub(super) fn end_other_incarnations(&mut self, life: &Incarnation, sent: Instant) {
        let Some(worker) = self.workers.get(life) else { return };
        let (number, met_at) = (worker.number, worker.discovered_at);
        let same_id = self.workers.incarnations(&life.id).filter(|other| {
            // What was met or heard after the look was sent may be later still.
            let is_before = other.discovered_at <= sent
                && other.last_poll_answer_at().is_none_or(|at| at <= sent);
            other.number != number && is_before
        });
        let same_id: Vec<Incarnation> =
            same_id.map(|other| other.peer.incarnation.clone()).collect();
        let on_box = worker.entry.machine.as_ref().map(|machine| self.workers.on_box(machine));
        let on_box =
            on_box.into_iter().flatten().filter(|other| other.peer.incarnation.id != life.id);
        let on_box: Vec<(Incarnation, bool)> = on_box
            .map(|other| (other.peer.incarnation.clone(), other.discovered_at < met_at))
            .collect();
        for other in same_id {
            self.mark_ended(&other, "a later life has its id");
        }
        for (other, was_met_first) in on_box {
            let why = "another worker lives on its machine";
            // One that was met later may be the later life, if this answer was long on its way.
            match was_met_first {
                true => self.mark_ended(&other, why),
                false => self.remove_worker(&other, why),
            }
        }
    }
}

/// A worker that the store does not list, as far as it is known: it takes no work before its entry has come.
pub(super) fn unlisted_worker(peer: Peer, known: StoredWorker, now: Instant) -> Worker {
    let entry = worker::Entry {
        service: known.service,
        address: known.addr,
        hall: String::new(),
        draining: true,
        capacity: Resources::default(),
        labels: Vec::new(),
        leaves_in_ms: None,
        machine: known.machine,
        birth_ms: peer.incarnation.birth_ms,
    };
    Worker { listed: false, ..Worker::new(peer, entry, now) }
}
