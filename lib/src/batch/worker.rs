//! A worker in the scheduler's memory: its room, its lease and what may run on it.

mod allocation;
mod incarnation;
mod schedulable;
pub mod table;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::WorkerMs;

use crate::batch::crash::outage::Outage;
use crate::batch::record::StoredWorker;
use crate::batch::usage::Claim;
pub use crate::batch::worker::allocation::Allocation;
use crate::batch::worker::allocation::ClaimChanges;
pub use crate::batch::worker::allocation::Class;
pub use crate::batch::worker::allocation::LongRunningTotals;
pub use crate::batch::worker::allocation::Phase;
pub use crate::batch::worker::incarnation::compose_token;
pub use crate::batch::worker::incarnation::is_clock_discontinuous;
pub use crate::batch::worker::schedulable::Shortage;
pub use crate::batch::worker::schedulable::Unschedulable;
use crate::batch::worker::table::WorkerNumber;

/// How long a look waits for an end; a lease is renewed at each look.
pub const POLL_WAIT: Duration = Duration::from_millis(1_200);
/// How long a lease is granted for, from each look on. Long enough for another node to take the
/// lead and look in its turn (about 3 s), short enough that the tasks of a worker that has fallen
/// silent are soon started elsewhere.
pub const WORKER_LEASE: Duration = Duration::from_millis(5_500);
/// Slowest pace of a worker's steady clock against ours; the platform says 2% slow.
const MIN_CLOCK_RATE: f64 = 0.98;
/// Added to the end of a lease before what ran under it counts as gone.
const LEASE_SLACK: Duration = Duration::from_millis(100);

/// A worker.
#[derive(Debug)]
pub struct Worker {
    /// Its number, by which the scheduler's carriers know it.
    pub number: WorkerNumber,
    /// Orders to it carry this after the scheduler's own number, and a later life's is higher: see [`token`].
    pub fence: WorkerNumber,
    /// How it is called.
    pub peer: Peer,
    /// What it says of itself.
    pub entry: Entry,
    /// What is left of its room.
    pub free: Resources,
    /// What of its slots does not end by itself.
    pub long_running: LongRunningTotals,
    /// What may run there. Slots are added and removed by [`Worker::insert`] and [`Worker::remove`], which keep the sums.
    pub allocations: HashMap<TaskName, Allocation>,
    /// Claims of runs that came and went since the table last took them in.
    pub(super) claim_changes: ClaimChanges,
    /// The highest end that was taken into account.
    pub processed_end: u64,
    /// The highest end whose effect the store knows of.
    pub durable_end: u64,
    /// The worker's clock, and when it was told.
    pub clock: Option<(WorkerMs, Instant)>,
    /// When it last answered a look or a start.
    pub last_answer_at: Instant,
    /// The latest end of a lease that was ever asked for.
    pub lease_until: WorkerMs,
    /// It has seen this scheduler's token.
    pub has_token: bool,
    /// Looks in a row without an answer.
    pub failed_polls: u32,
    /// When the first of them failed.
    pub first_failed_at: Option<Instant>,
    /// It gets nothing new until then.
    pub backoff_until: Instant,
    /// Its entry in the store was replaced by one that no worker writes.
    pub unusable: bool,
    /// The store lists it.
    pub listed: bool,
    /// The store may not list it for a while and it takes work all the same, until then: entries
    /// that ran out while the store was away come back soon after it.
    pub unlisted_grace_until: Option<Instant>,
    /// It is being emptied for upkeep or a move.
    pub cordoned: bool,
    /// Runs in a row that failed, of different tasks.
    pub failures: u32,
    /// The job of a suspect task that was started there, and until when no other job's task is.
    pub quarantine: Option<(JobId, Instant)>,
    /// When it was met.
    pub discovered_at: Instant,
    /// It was met when another node may already have claimed the lead.
    pub fencing_uncertain: bool,
    /// Its carrier was told to look more often.
    pub fast_polling: bool,
    /// Another carrier looks after it now, and has not heard from it yet.
    pub handed_over: bool,
    /// A carrier that was given up may have extended its lease, but no further than to here.
    pub not_expired_before: Option<Instant>,
    /// For how long earlier schedulers had not heard of it, and had granted it nothing.
    pub unreachable_before: Duration,
    /// For how long nobody has heard of it, as the store knows or is about to; zero if it has no record.
    pub recorded_unreachable: Duration,
    /// Its leases are extended.
    pub renews_lease: bool,
    /// The store has, or is about to have, a record that it fell silent.
    pub recorded_unresponsive: bool,
    /// It is heard of again, and the store does not know that yet.
    pub recovering: bool,
    /// Another life had its id, so orders meant for that one may have been carried out here before this scheduler was
    /// heard: starts, and leases as long as a worker grants.
    pub is_later_incarnation: bool,
}

impl Worker {
    /// A worker that has not been asked yet.
    pub fn new(peer: Peer, entry: Entry, now: Instant) -> Worker {
        Worker {
            number: 0,
            fence: 0,
            peer,
            free: entry.capacity,
            long_running: LongRunningTotals::default(),
            entry,
            allocations: HashMap::new(),
            claim_changes: ClaimChanges::default(),
            processed_end: 0,
            durable_end: 0,
            clock: None,
            last_answer_at: now,
            lease_until: 0,
            has_token: false,
            failed_polls: 0,
            first_failed_at: None,
            backoff_until: now,
            unusable: false,
            listed: true,
            unlisted_grace_until: None,
            cordoned: false,
            failures: 0,
            quarantine: None,
            discovered_at: now,
            fencing_uncertain: false,
            fast_polling: false,
            handed_over: false,
            not_expired_before: None,
            unreachable_before: Duration::ZERO,
            recorded_unreachable: Duration::ZERO,
            renews_lease: false,
            recorded_unresponsive: false,
            recovering: false,
            is_later_incarnation: false,
        }
    }

    /// What the store is to keep of it.
    pub fn to_stored(&self) -> StoredWorker {
        let tasks = self
            .allocations
            .keys()
            .map(|task| (task.job, (task.repetition, task.step, task.index)));
        StoredWorker {
            addr: self.peer.addr,
            service: self.entry.service.clone(),
            machine: self.entry.machine.clone(),
            unresponsive_with: self.recorded_unresponsive.then(|| tasks.collect()),
        }
    }

    /// Whether it did not answer the last look, or has not answered any.
    pub fn is_unresponsive(&self) -> bool {
        self.failed_polls > 0 || !self.has_token
    }

    /// Whether it fell silent although nobody had ordered or announced that.
    pub fn is_unexpectedly_unresponsive(&self) -> bool {
        self.failed_polls > 0 && !self.is_leaving()
    }

    /// Between when and when it fell silent, as far as is known now.
    pub fn outage(&self, now: Instant) -> Outage {
        let missed_at = self.first_failed_at.unwrap_or(now).max(self.last_answer_at);
        Outage { last_answer_at: self.last_answer_at, first_failed_at: missed_at }
    }

    /// When it last answered a look.
    pub fn last_poll_answer_at(&self) -> Option<Instant> {
        self.clock.map(|(_, told)| told)
    }

    /// A carrier that may have extended the lease until `last` is given up for another one.
    pub fn hand_over(&mut self, last: Instant) {
        self.handed_over = true;
        self.fast_polling = false;
        self.record_possible_renewal(last, WORKER_LEASE);
    }

    /// Orders may have extended the lease by so much until `last`, which its clock does not tell.
    pub fn record_possible_renewal(&mut self, last: Instant, lease: Duration) {
        let lapsed = last + lease.div_f64(MIN_CLOCK_RATE) + LEASE_SLACK;
        self.not_expired_before = self.not_expired_before.max(Some(lapsed));
    }

    /// When every lease that was asked for has run out for certain, if the worker hears nothing
    /// more from anyone. An earlier scheduler asked for no longer leases than this one.
    pub fn expires_at(&self) -> Instant {
        let longest = |lease: Duration| lease.div_f64(MIN_CLOCK_RATE) + LEASE_SLACK;
        let lapses_at = match self.clock {
            Some((clock, told)) => {
                told + longest(Duration::from_millis(self.lease_until.saturating_sub(clock)))
            }
            None => {
                self.discovered_at + longest(WORKER_LEASE).saturating_sub(self.unreachable_before)
            }
        };
        self.not_expired_before.map_or(lapses_at, |after| after.max(lapses_at))
    }

    /// Whether it has said that it leaves, by its entry in the store.
    pub fn is_listed_draining(&self) -> bool {
        self.entry.draining && self.listed
    }

    /// For how long nobody has heard of it by `now`, if it has not answered this scheduler.
    pub fn unreachable_for(&self, now: Instant) -> Duration {
        self.unreachable_before + now.saturating_duration_since(self.discovered_at)
    }

    /// Whether its end is no surprise: it has said that it leaves, or is being emptied.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.cordoned
    }

    /// For how long a run had been on it when it last answered. It may have gone on for longer.
    pub fn observed_run_time(&self, slot: &Allocation) -> Duration {
        self.last_answer_at.saturating_duration_since(slot.ordered_at)
    }

    /// Adds a run and takes its room.
    pub fn insert(&mut self, task: TaskName, slot: Allocation) {
        self.free.cpu = self.free.cpu.saturating_sub(slot.resources.cpu);
        self.free.memory_mb = self.free.memory_mb.saturating_sub(slot.resources.memory_mb);
        self.free.gpu = self.free.gpu.saturating_sub(slot.resources.gpu);
        if slot.class != Class::Batch {
            self.long_running.tasks += 1;
            self.long_running.cpu += slot.resources.cpu;
        }
        self.claim_changes.added.extend(slot.claim.clone());
        self.allocations.insert(task, slot);
    }

    /// Whose a run is has become known, and what it takes.
    pub fn identify(
        &mut self,
        task: &TaskName,
        room: Resources,
        kind: Class,
        claim: Option<Claim>,
    ) {
        let Some(slot) = self.allocations.get_mut(task) else { return };
        self.claim_changes.removed.extend(slot.claim.take());
        self.claim_changes.added.extend(claim.clone());
        (slot.resources, slot.class, slot.claim) = (room, kind, claim);
        self.recompute_free();
    }

    /// Removes a run that is known to be gone.
    pub fn remove(&mut self, task: &TaskName) -> Option<Allocation> {
        let slot = self.allocations.remove(task)?;
        self.claim_changes.removed.extend(slot.claim.clone());
        self.recompute_free();
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
        self.recompute_free();
    }

    /// Works out what is left of its room.
    pub fn recompute_free(&mut self) {
        let mut free = self.entry.capacity;
        self.long_running = LongRunningTotals::default();
        for slot in self.allocations.values() {
            if slot.class != Class::Batch {
                self.long_running.tasks += 1;
                self.long_running.cpu += slot.resources.cpu;
            }
            free.cpu = free.cpu.saturating_sub(slot.resources.cpu);
            free.memory_mb = free.memory_mb.saturating_sub(slot.resources.memory_mb);
            free.gpu = free.gpu.saturating_sub(slot.resources.gpu);
        }
        self.free = free;
    }

    /// Whether tasks that serve users stand beside tasks that take leftovers.
    pub fn has_service_beside_best_effort(&self) -> bool {
        let mut kinds = self.allocations.values().map(|slot| slot.class);
        kinds.any(|kind| kind == Class::BestEffort)
            && self.allocations.values().any(|slot| matches!(slot.class, Class::Service(_)))
    }

    /// How many tasks of a step, in one repetition, may run there.
    pub fn count_of_step(&self, task: TaskName) -> u32 {
        let same = |other: &&TaskName| {
            (other.job, other.repetition, other.step) == (task.job, task.repetition, task.step)
        };
        self.allocations.keys().filter(same).count() as u32
    }
}
