//! A worker in the scheduler's memory: its room, its lease and what may run on it.

mod closed;
mod life;
mod slot;
pub mod table;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Room;
use spokelift_platform::worker::WorkerMs;

use crate::batch::crash::silence::Silence;
use crate::batch::record::Known;
use crate::batch::usage::Claim;
pub use crate::batch::worker::closed::Closed;
pub use crate::batch::worker::closed::Lack;
pub use crate::batch::worker::life::is_off_clock;
pub use crate::batch::worker::life::token;
use crate::batch::worker::slot::Changes;
pub use crate::batch::worker::slot::Kind;
pub use crate::batch::worker::slot::Lasting;
pub use crate::batch::worker::slot::Phase;
pub use crate::batch::worker::slot::Slot;
use crate::batch::worker::table::Number;

/// How long a look waits for an end; a lease is renewed at each look.
pub const LOOK_WAIT: Duration = Duration::from_millis(1_200);
/// How long a lease is granted for, from each look on. Long enough for another node to take the
/// lead and look in its turn (about 3 s), short enough that the tasks of a worker that has fallen
/// silent are soon started elsewhere.
pub const LEASE: Duration = Duration::from_millis(5_500);
/// Slowest pace of a worker's steady clock against ours; the platform says 2% slow.
const SLOWEST_CLOCK: f64 = 0.98;
/// Added to the end of a lease before what ran under it counts as gone.
const LEASE_SLACK: Duration = Duration::from_millis(100);

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Its number, by which the scheduler's carriers know it.
    pub number: Number,
    /// Orders to it carry this after the scheduler's own number, and a later life's is higher: see [`token`].
    pub fence: Number,
    /// How it is called.
    pub peer: Peer,
    /// What it says of itself.
    pub entry: Entry,
    /// What is left of its room.
    pub free: Room,
    /// What of its slots does not end by itself.
    pub lasting: Lasting,
    /// What may run there. Slots are added and removed by [`Worker::insert`] and [`Worker::remove`], which keep the sums.
    pub slots: HashMap<TaskName, Slot>,
    /// Claims of runs that came and went since the table last took them in.
    pub(super) claims: Changes,
    /// The highest end that was taken into account.
    pub processed: u64,
    /// The highest end whose effect the store knows of.
    pub durable: u64,
    /// The worker's clock, and when it was told.
    pub clock: Option<(WorkerMs, Instant)>,
    /// When it last answered a look or a start.
    pub heard_at: Instant,
    /// The latest end of a lease that was ever asked for.
    pub lease_until: WorkerMs,
    /// It has seen this scheduler's token.
    pub fenced: bool,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// When the first of them failed.
    pub missed_at: Option<Instant>,
    /// It gets nothing new until then.
    pub rest_until: Instant,
    /// Its entry in the store was replaced by one that no worker writes.
    pub unusable: bool,
    /// The store lists it.
    pub listed: bool,
    /// The store may not list it for a while and it takes work all the same, until then: entries
    /// that ran out while the store was away come back soon after it.
    pub excused_until: Option<Instant>,
    /// It is being emptied for upkeep or a move.
    pub cordoned: bool,
    /// Runs in a row that failed, of different tasks.
    pub failures: u32,
    /// The job of a suspect task that was started there, and until when no other job's task is.
    pub quarantine: Option<(JobId, Instant)>,
    /// When it was met.
    pub met_at: Instant,
    /// It was met when another node may already have claimed the lead.
    pub unfenced: bool,
    /// Its carrier was told to look more often.
    pub watched_closely: bool,
    /// Another carrier looks after it now, and has not heard from it yet.
    pub handed_over: bool,
    /// A carrier that was given up may have extended its lease, but no further than to here.
    pub lapses_after: Option<Instant>,
    /// For how long earlier schedulers had not heard of it, and had granted it nothing.
    pub unheard: Duration,
    /// For how long nobody has heard of it, as the store knows or is about to; zero if it has no record.
    pub unheard_told: Duration,
    /// Its leases are extended.
    pub granted: bool,
    /// The store has, or is about to have, a record that it fell silent.
    pub noted_silent: bool,
    /// It is heard of again, and the store does not know that yet.
    pub reopening: bool,
    /// Another life had its id, so orders meant for that one may have been carried out here before this scheduler was
    /// heard: starts, and leases as long as a worker grants.
    pub is_later_life: bool,
}

impl Worker {
    /// A worker that has not been asked yet.
    pub fn new(peer: Peer, entry: Entry, now: Instant) -> Worker {
        Worker {
            number: 0,
            fence: 0,
            peer,
            free: entry.room,
            lasting: Lasting::default(),
            entry,
            slots: HashMap::new(),
            claims: Changes::default(),
            processed: 0,
            durable: 0,
            clock: None,
            heard_at: now,
            lease_until: 0,
            fenced: false,
            misses: 0,
            missed_at: None,
            rest_until: now,
            unusable: false,
            listed: true,
            excused_until: None,
            cordoned: false,
            failures: 0,
            quarantine: None,
            met_at: now,
            unfenced: false,
            watched_closely: false,
            handed_over: false,
            lapses_after: None,
            unheard: Duration::ZERO,
            unheard_told: Duration::ZERO,
            granted: false,
            noted_silent: false,
            reopening: false,
            is_later_life: false,
        }
    }

    /// What the store is to keep of it.
    pub fn known(&self) -> Known {
        let tasks = self.slots.keys().map(|task| (task.job, (task.time, task.step, task.index)));
        Known {
            addr: self.peer.addr,
            service: self.entry.service.clone(),
            machine: self.entry.machine.clone(),
            silent_with: self.noted_silent.then(|| tasks.collect()),
        }
    }

    /// Whether it did not answer the last look, or has not answered any.
    pub fn is_silent(&self) -> bool {
        self.misses > 0 || !self.fenced
    }

    /// Whether it fell silent although nobody had ordered or announced that.
    pub fn fell_silent(&self) -> bool {
        self.misses > 0 && !self.leaves()
    }

    /// Between when and when it fell silent, as far as is known now.
    pub fn silence(&self, now: Instant) -> Silence {
        let missed_at = self.missed_at.unwrap_or(now).max(self.heard_at);
        Silence { heard_at: self.heard_at, missed_at }
    }

    /// When it last answered a look.
    pub fn answered_at(&self) -> Option<Instant> {
        self.clock.map(|(_, told)| told)
    }

    /// A carrier that may have extended the lease until `last` is given up for another one.
    pub fn hand_over(&mut self, last: Instant) {
        self.handed_over = true;
        self.watched_closely = false;
        self.may_lapse_late(last, LEASE);
    }

    /// Orders may have extended the lease by so much until `last`, which its clock does not tell.
    pub fn may_lapse_late(&mut self, last: Instant, lease: Duration) {
        let lapsed = last + lease.div_f64(SLOWEST_CLOCK) + LEASE_SLACK;
        self.lapses_after = self.lapses_after.max(Some(lapsed));
    }

    /// When every lease that was asked for has run out for certain, if the worker hears nothing
    /// more from anyone. An earlier scheduler asked for no longer leases than this one.
    pub fn lapses_at(&self) -> Instant {
        let longest = |lease: Duration| lease.div_f64(SLOWEST_CLOCK) + LEASE_SLACK;
        let lapses_at = match self.clock {
            Some((clock, told)) => {
                told + longest(Duration::from_millis(self.lease_until.saturating_sub(clock)))
            }
            None => self.met_at + longest(LEASE).saturating_sub(self.unheard),
        };
        self.lapses_after.map_or(lapses_at, |after| after.max(lapses_at))
    }

    /// Whether it has said that it leaves, by its entry in the store.
    pub fn is_announced_to_leave(&self) -> bool {
        self.entry.draining && self.listed
    }

    /// For how long nobody has heard of it by `now`, if it has not answered this scheduler.
    pub fn unheard_for(&self, now: Instant) -> Duration {
        self.unheard + now.saturating_duration_since(self.met_at)
    }

    /// Whether its end is no surprise: it has said that it leaves, or is being emptied.
    pub fn leaves(&self) -> bool {
        self.entry.draining || self.cordoned
    }

    /// For how long a run had been on it when it last answered. It may have gone on for longer.
    pub fn lived(&self, slot: &Slot) -> Duration {
        self.heard_at.saturating_duration_since(slot.since)
    }

    /// Adds a run and takes its room.
    pub fn insert(&mut self, task: TaskName, slot: Slot) {
        self.free.cpu = self.free.cpu.saturating_sub(slot.room.cpu);
        self.free.memory_mb = self.free.memory_mb.saturating_sub(slot.room.memory_mb);
        self.free.gpu = self.free.gpu.saturating_sub(slot.room.gpu);
        if slot.kind != Kind::Works {
            self.lasting.tasks += 1;
            self.lasting.cpu += slot.room.cpu;
        }
        self.claims.came.extend(slot.claim.clone());
        self.slots.insert(task, slot);
    }

    /// Whose a run is has become known, and what it takes.
    pub fn identify(&mut self, task: &TaskName, room: Room, kind: Kind, claim: Option<Claim>) {
        let Some(slot) = self.slots.get_mut(task) else { return };
        self.claims.went.extend(slot.claim.take());
        self.claims.came.extend(claim.clone());
        (slot.room, slot.kind, slot.claim) = (room, kind, claim);
        self.recount();
    }

    /// Removes a run that is known to be gone.
    pub fn remove(&mut self, task: &TaskName) -> Option<Slot> {
        let slot = self.slots.remove(task)?;
        self.claims.went.extend(slot.claim.clone());
        self.recount();
        Some(slot)
    }

    /// Takes over a changed entry.
    pub fn update(&mut self, entry: Entry) {
        self.entry = entry;
        self.unusable = false;
        if !self.listed {
            // It was emptied as one that leaves, and stays after all.
            self.cordoned = false;
        }
        self.listed = true;
        self.recount();
    }

    /// Works out what is left of its room.
    pub fn recount(&mut self) {
        let mut free = self.entry.room;
        self.lasting = Lasting::default();
        for slot in self.slots.values() {
            if slot.kind != Kind::Works {
                self.lasting.tasks += 1;
                self.lasting.cpu += slot.room.cpu;
            }
            free.cpu = free.cpu.saturating_sub(slot.room.cpu);
            free.memory_mb = free.memory_mb.saturating_sub(slot.room.memory_mb);
            free.gpu = free.gpu.saturating_sub(slot.room.gpu);
        }
        self.free = free;
    }

    /// Whether tasks that serve users stand beside tasks that take leftovers.
    pub fn serves_beside_fillers(&self) -> bool {
        let mut kinds = self.slots.values().map(|slot| slot.kind);
        kinds.any(|kind| kind == Kind::Fills)
            && self.slots.values().any(|slot| matches!(slot.kind, Kind::Serves(_)))
    }

    /// How many tasks of a step, in one repetition, may run there.
    pub fn count_of_step(&self, task: TaskName) -> u32 {
        let same = |other: &&TaskName| {
            (other.job, other.time, other.step) == (task.job, task.time, task.step)
        };
        self.slots.keys().filter(same).count() as u32
    }
}
