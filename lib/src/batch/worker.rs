//! A worker as the scheduler sees it: its free resources, its lease and what may run on it.

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

/// How long a poll waits for an end; each poll renews the lease.
pub const POLL_WAIT: Duration = Duration::from_millis(1_200);
/// How long a lease is granted for, counted from each poll. Long enough for another node to become
/// leader and poll in turn (about 3 s), short enough that the tasks of an unresponsive worker are
/// soon started elsewhere.
pub const WORKER_LEASE: Duration = Duration::from_millis(5_500);
/// Lowest rate of a worker's monotonic clock relative to ours; the platform specifies up to 2%
/// slow.
const MIN_CLOCK_RATE: f64 = 0.98;
/// Added to the end of a lease before the runs under it are considered ended.
const LEASE_SLACK: Duration = Duration::from_millis(100);

/// A worker, as the scheduler sees it.
///
/// The states below are independent of each other unless a condition says otherwise.
///
/// | State | Condition |
/// |---|---|
/// | unpolled | this scheduler has no answer from it yet (`!has_token`) |
/// | unresponsive | the last poll was not answered (`failed_polls > 0`) |
/// | unreachable | no scheduler had an answer for [`Worker::unreachable_for`]; kept in the store |
/// | expired | all its leases have run out ([`Worker::expires_at`]) |
/// | crash candidate | unresponsive and expired; it may have crashed, which is not yet certain |
/// | recovering | it answers again, but the store still records it as unresponsive or unreachable |
/// | ended | the incarnation is known to be over; the worker is removed |
/// | listed | the store's worker topic has a current entry for it (`listed`) |
/// | backing off | it gets nothing new until `backoff_until`, after failures |
/// | cordoned | it is being emptied for maintenance or a move |
/// | draining | its entry says that it is about to leave |
/// | evacuated | the operator has evacuated its hall |
/// | quarantined | a suspect task was just started on it |
#[derive(Debug)]
pub struct Worker {
    /// Its number, by which the scheduler's dispatchers know it.
    pub number: WorkerNumber,
    /// Lower part of the fencing token of orders to it; see [`compose_token`].
    pub fence: WorkerNumber,
    /// Where it is called.
    pub peer: Peer,
    /// Its entry in the store.
    pub entry: Entry,
    /// Resources that no allocation takes.
    pub free: Resources,
    /// Totals of the allocations of any class but [`Class::Batch`].
    pub long_running: LongRunningTotals,
    /// Runs that may be on it. [`Worker::insert`] and [`Worker::remove`] keep the totals up to
    /// date.
    pub allocations: HashMap<TaskName, Allocation>,
    /// Claims added and removed since the table last applied them.
    pub(super) claim_changes: ClaimChanges,
    /// Number of the highest end that the scheduler has applied.
    pub processed_end: u64,
    /// Number of the highest end whose effect is in the store.
    pub durable_end: u64,
    /// The worker's clock, and when it was reported.
    pub clock: Option<(WorkerMs, Instant)>,
    /// When it last answered a poll or a start.
    pub last_answer_at: Instant,
    /// The latest end of a lease that was ever requested, on the worker's clock.
    pub lease_until: WorkerMs,
    /// It has seen this scheduler's fencing token.
    pub has_token: bool,
    /// Consecutive polls without an answer.
    pub failed_polls: u32,
    /// When the first of them failed; `None` if the last poll was answered.
    pub first_failed_at: Option<Instant>,
    /// It gets no new task until then.
    pub backoff_until: Instant,
    /// Its entry in the store was replaced by an invalid one.
    pub has_invalid_entry: bool,
    /// The store's worker topic has a current entry for it.
    pub listed: bool,
    /// Until then it gets tasks although it is not listed: entries that expired while the store was
    /// unavailable are rewritten soon after it is back.
    pub unlisted_grace_until: Option<Instant>,
    /// It is being emptied for maintenance or a move.
    pub cordoned: bool,
    /// Its hall is evacuated.
    pub hall_evacuated: bool,
    /// Consecutive failed runs of different tasks.
    pub failures: u32,
    /// The job of a suspect task that was started there, and until when tasks of other jobs are
    /// not started there.
    pub quarantine: Option<(JobId, Instant)>,
    /// When this scheduler discovered it.
    pub discovered_at: Instant,
    /// It was discovered when another node may already have claimed the leader lease.
    pub fencing_uncertain: bool,
    /// Its dispatcher was ordered to poll it at the higher rate.
    pub fast_polling: bool,
    /// It was handed over to another dispatcher, which has no answer from it yet.
    pub handed_over: bool,
    /// Its lease is not assumed to have expired before this time: a dispatcher that was replaced
    /// may have renewed it until then. `None` if there is no such dispatcher.
    pub not_expired_before: Option<Instant>,
    /// For how long earlier schedulers had no answer from it and renewed no lease of it.
    pub unreachable_before: Duration,
    /// For how long it has been unreachable, as the store records or is about to; zero without a
    /// record.
    pub recorded_unreachable: Duration,
    /// Polls renew its leases.
    pub renews_lease: bool,
    /// The store records it as unresponsive, or is about to.
    pub recorded_unresponsive: bool,
    /// It answers again, but the store does not record that yet.
    pub recovering: bool,
    /// Another incarnation has had its id, and this one may be the later of them. Orders to the
    /// earlier one may then have been executed here before this incarnation's first answer to this
    /// scheduler: starts, and leases as long as a worker grants.
    pub may_be_later_incarnation: bool,
}

impl Worker {
    /// A worker that has not been polled yet.
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
            has_invalid_entry: false,
            listed: true,
            unlisted_grace_until: None,
            cordoned: false,
            hall_evacuated: false,
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
            may_be_later_incarnation: false,
        }
    }

    /// What the store keeps of it.
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

    /// Whether it did not answer the last poll, or has not answered any.
    pub fn is_unresponsive(&self) -> bool {
        self.failed_polls > 0 || !self.has_token
    }

    /// Whether it is unresponsive although it was neither draining nor cordoned.
    pub fn is_unexpectedly_unresponsive(&self) -> bool {
        self.failed_polls > 0 && !self.is_leaving()
    }

    /// The time within which it stopped answering, as far as is known now.
    pub fn outage(&self, now: Instant) -> Outage {
        let first_failed_at = self.first_failed_at.unwrap_or(now).max(self.last_answer_at);
        Outage { last_answer_at: self.last_answer_at, first_failed_at }
    }

    /// When it last answered a poll; `None` if it has not.
    pub fn last_poll_answer_at(&self) -> Option<Instant> {
        self.clock.map(|(_, reported_at)| reported_at)
    }

    /// Hands the worker over to another dispatcher. The previous one may have renewed the lease
    /// until `last`.
    pub fn hand_over(&mut self, last: Instant) {
        self.handed_over = true;
        self.fast_polling = false;
        self.record_possible_renewal(last, WORKER_LEASE);
    }

    /// Records that orders may have renewed the lease for `lease` until `last`, beyond what the
    /// worker's clock has shown.
    pub fn record_possible_renewal(&mut self, last: Instant, lease: Duration) {
        let expiry = last + lease.div_f64(MIN_CLOCK_RATE) + LEASE_SLACK;
        self.not_expired_before = self.not_expired_before.max(Some(expiry));
    }

    /// When every requested lease has certainly run out, if nobody reaches the worker any more. No
    /// earlier scheduler requested longer leases than this one.
    pub fn expires_at(&self) -> Instant {
        let longest = |lease: Duration| lease.div_f64(MIN_CLOCK_RATE) + LEASE_SLACK;
        let expiry = match self.clock {
            Some((clock, reported_at)) => {
                reported_at + longest(Duration::from_millis(self.lease_until.saturating_sub(clock)))
            }
            None => {
                self.discovered_at + longest(WORKER_LEASE).saturating_sub(self.unreachable_before)
            }
        };
        self.not_expired_before.map_or(expiry, |after| after.max(expiry))
    }

    /// Whether it is listed as draining.
    pub fn is_listed_draining(&self) -> bool {
        self.entry.draining && self.listed
    }

    /// For how long it has been unreachable by `now`, if it has not answered this scheduler.
    pub fn unreachable_for(&self, now: Instant) -> Duration {
        self.unreachable_before + now.saturating_duration_since(self.discovered_at)
    }

    /// Whether it is draining or cordoned, so that its end is expected.
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.cordoned
    }

    /// How long a run had been on it when it last answered. The run may have gone on for longer.
    pub fn observed_run_time(&self, allocation: &Allocation) -> Duration {
        self.last_answer_at.saturating_duration_since(allocation.ordered_at)
    }

    /// Adds a run and takes its resources.
    pub fn insert(&mut self, task: TaskName, allocation: Allocation) {
        self.free.cpu = self.free.cpu.saturating_sub(allocation.resources.cpu);
        self.free.memory_mb = self.free.memory_mb.saturating_sub(allocation.resources.memory_mb);
        self.free.gpu = self.free.gpu.saturating_sub(allocation.resources.gpu);
        if allocation.class != Class::Batch {
            self.long_running.tasks += 1;
            self.long_running.cpu += allocation.resources.cpu;
        }
        self.claim_changes.added.extend(allocation.claim.clone());
        self.allocations.insert(task, allocation);
    }

    /// Sets the resources, class and claim of a run whose job has become known.
    pub fn identify(
        &mut self,
        task: &TaskName,
        resources: Resources,
        class: Class,
        claim: Option<Claim>,
    ) {
        let Some(allocation) = self.allocations.get_mut(task) else { return };
        self.claim_changes.removed.extend(allocation.claim.take());
        self.claim_changes.added.extend(claim.clone());
        (allocation.resources, allocation.class, allocation.claim) = (resources, class, claim);
        self.recompute_free();
    }

    /// Removes a run that is known to have ended or never to have started.
    pub fn remove(&mut self, task: &TaskName) -> Option<Allocation> {
        let allocation = self.allocations.remove(task)?;
        self.claim_changes.removed.extend(allocation.claim.clone());
        self.recompute_free();
        Some(allocation)
    }

    /// Applies a changed entry.
    pub fn update(&mut self, entry: Entry) {
        self.entry = entry;
        self.has_invalid_entry = false;
        if !self.listed {
            // It was cordoned because it was about to leave, and stays after all.
            self.cordoned = false;
        }
        self.listed = true;
        self.recompute_free();
    }

    /// Computes the free resources and the totals from the allocations.
    pub fn recompute_free(&mut self) {
        let mut free = self.entry.capacity;
        self.long_running = LongRunningTotals::default();
        for allocation in self.allocations.values() {
            if allocation.class != Class::Batch {
                self.long_running.tasks += 1;
                self.long_running.cpu += allocation.resources.cpu;
            }
            free.cpu = free.cpu.saturating_sub(allocation.resources.cpu);
            free.memory_mb = free.memory_mb.saturating_sub(allocation.resources.memory_mb);
            free.gpu = free.gpu.saturating_sub(allocation.resources.gpu);
        }
        self.free = free;
    }

    /// Whether a service task and a best-effort task share the worker.
    pub fn has_service_beside_best_effort(&self) -> bool {
        let mut classes = self.allocations.values().map(|allocation| allocation.class);
        classes.any(|class| class == Class::BestEffort)
            && self
                .allocations
                .values()
                .any(|allocation| matches!(allocation.class, Class::Service(_)))
    }

    /// How many tasks of a step, in one repetition, may run there.
    pub fn count_of_step(&self, task: TaskName) -> u32 {
        let same = |other: &&TaskName| {
            (other.job, other.repetition, other.step) == (task.job, task.repetition, task.step)
        };
        self.allocations.keys().filter(same).count() as u32
    }
}
