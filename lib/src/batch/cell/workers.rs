//! The life cycle of workers: removal, expiry and restoring after a takeover; and the maintenance
//! waves that empty their boxes.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Run;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::cell::PossibleRuns;
use crate::batch::cell::incarnations::unlisted_worker;
use crate::batch::history::Decision;
use crate::batch::record;
use crate::batch::record::StoredWorker;
use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::batch::worker::WORKER_LEASE;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long an ended incarnation is remembered. The store lists a worker that ended with its box
/// for three heartbeats; a scheduler that starts within that time and does not know of its end
/// would wait for its leases.
const ENDED_RETENTION: Duration = Duration::from_millis(15_000);

/// Time in which a new scheduler evacuates long-running tasks only from draining workers, counted
/// from when all nodes know of it, one second after its start. After it, the new scheduler has
/// observed every stop that its predecessor ordered, including late ones.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// The same if the predecessor had stopped before it released the leader lease: each of its stops
/// was answered or timed out, which takes 0.9 s at most. In a rolling restart each node leads
/// for about 2 s, so with the longer time a wave would make no progress during it.
const SETTLE_TIME_PREDECESSOR_DONE: Duration = Duration::from_millis(500);

/// Maximum number of invalid entries that are remembered and logged; more would add no information.
const MAX_INVALID_ENTRIES: usize = 256;

impl Cell {
    /// Records an invalid worker entry; returns whether it is new. A known worker with this id gets
    /// no new tasks and keeps its runs: something else has overwritten its entry.
    pub fn record_invalid_entry(&mut self, id: &str, reason: &'static str) -> bool {
        self.update_incarnations(id, |worker| worker.has_invalid_entry = true);
        if !self.invalid_entries.contains_key(id)
            && self.invalid_entries.len() >= MAX_INVALID_ENTRIES
        {
            return false;
        }
        self.invalid_entries.insert(id.to_owned(), reason) != Some(reason)
    }

    /// The worker on a machine, according to the platform's list, which names workers by id only.
    pub fn worker_on(&self, machine: &Machine) -> Option<&Worker> {
        self.workers.current(machine.worker.as_ref()?)
    }

    /// Cordons the worker on a machine.
    pub fn cordon_on(&mut self, machine: &Machine) {
        if let Some(id) = &machine.worker {
            self.update_incarnations(id, |worker| worker.cordoned = true);
        }
    }

    /// Marks as ended all workers on a machine that belong to another pool than `pool`, to which it
    /// has moved.
    pub fn end_incarnations_elsewhere(&mut self, machine: &str, pool: &str) {
        let ended = self.workers.on_box(machine).filter(|worker| worker.entry.service != pool);
        let ended: Vec<Incarnation> = ended.map(|worker| worker.peer.incarnation.clone()).collect();
        for incarnation in ended {
            // The move was ordered, so none of its tasks is to blame.
            if let Some(mut worker) = self.workers.get_mut(&incarnation) {
                worker.cordoned = true;
            }
            self.mark_ended(&incarnation, "its machine has moved");
        }
    }

    /// Marks an incarnation as certainly ended and removes it. That is recorded for the next
    /// scheduler, since the store may list the worker for a while.
    pub fn mark_ended(&mut self, incarnation: &Incarnation, reason: &str) {
        self.count_crash(incarnation);
        self.remove_worker(incarnation, reason);
        self.ended_incarnations.insert(incarnation.clone(), clock::now());
        self.pending_records.push(record::ended(incarnation));
    }

    /// Restores the record of an earlier scheduler that an incarnation has ended.
    pub fn restore_ended(&mut self, incarnation: Incarnation, now: Instant) {
        self.removed.extend(self.workers.remove(&incarnation).map(|worker| worker.number));
        self.ended_incarnations.insert(incarnation, now);
    }

    /// Forgets ended incarnations that nobody lists any more after this time.
    pub fn forget_ended(&mut self, now: Instant) {
        let is_old = |_: &Incarnation, at: &mut Instant| {
            now.saturating_duration_since(*at) > ENDED_RETENTION
        };
        for (incarnation, _) in self.ended_incarnations.extract_if(is_old) {
            self.pending_records.push(record::forget_ended(&incarnation));
        }
    }

    /// Adds a worker that an earlier scheduler used; the store may no longer list it.
    pub fn restore_worker(&mut self, incarnation: Incarnation, stored: StoredWorker, now: Instant) {
        if self.workers.contains_key(&incarnation)
            || self.ended_incarnations.contains_key(&incarnation)
        {
            return;
        }
        if let Some(tasks) = &stored.unresponsive_with {
            let names = tasks.iter().map(|(job, (repetition, step, index))| TaskName {
                job: *job,
                repetition: *repetition,
                step: *step,
                index: *index,
            });
            self.tasks_on_unresponsive.insert(incarnation.clone(), names.collect());
        }
        let recorded_unresponsive = stored.unresponsive_with.is_some();
        let peer = Peer { incarnation, addr: stored.addr };
        self.insert_worker(Worker { recorded_unresponsive, ..unlisted_worker(peer, stored, now) });
    }

    /// Records that the store no longer lists a worker. It may still run its tasks. If the store
    /// was unavailable lately, the worker still gets tasks until `unlisted_grace_until`.
    pub fn mark_unlisted(&mut self, id: &str, unlisted_grace_until: Option<Instant>) {
        self.invalid_entries.remove(id);
        self.update_incarnations(id, |worker| {
            worker.listed = false;
            worker.unlisted_grace_until = unlisted_grace_until;
        });
    }

    /// Workers that answer although the store does not list them: some leave without announcing it,
    /// and go on serving for a while.
    pub fn leaving_unannounced(&self, now: Instant) -> Vec<Incarnation> {
        let is_leaving = |worker: &&Worker| {
            worker.is_delisted(now)
                && worker.failed_polls == 0
                && worker.has_token
                && !worker.entry.draining
        };
        self.workers
            .values()
            .filter(is_leaving)
            .map(|worker| worker.peer.incarnation.clone())
            .collect()
    }

    /// Removes a worker whose incarnation has ended or whose leases have expired; its tasks are
    /// queued for placement again.
    pub fn remove_worker(&mut self, incarnation: &Incarnation, reason: &str) {
        let Some(worker) = self.workers.remove(incarnation) else { return };
        log::info!(
            worker:% = incarnation,
            why = reason,
            runs = worker.allocations.len();
            "worker removed"
        );
        self.stats.ended_incarnations += 1;
        self.record_outage(&worker);
        self.unpolled.remove(incarnation);
        self.removed.push(worker.number);
        self.pending_records.push(record::forget_worker(incarnation));
        if !worker.recorded_unreachable.is_zero() {
            self.pending_records.push(record::forget_unreachable(incarnation));
        }
        for (task, allocation) in worker.allocations {
            self.history.record(task, Decision::Lost { worker: incarnation.clone() });
            self.release_run(task, allocation);
        }
    }

    /// Removes an unresponsive worker with expired leases that the store does not list.
    pub fn remove_unresponsive(&mut self, incarnation: &Incarnation) {
        self.record_crash_candidate(incarnation);
        self.remove_worker(incarnation, "unresponsive and not listed");
    }

    /// Releases all runs of an unresponsive worker whose leases have expired. The worker stays
    /// known, as it may come back.
    pub fn expire_runs(&mut self, incarnation: &Incarnation) {
        self.record_crash_candidate(incarnation);
        self.unpolled.remove(incarnation);
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        let tasks: Vec<TaskName> = worker.allocations.keys().copied().collect();
        let allocations = remove_allocations(&mut worker, &tasks);
        drop(worker);
        if !allocations.is_empty() {
            log::info!(worker:% = incarnation, runs = allocations.len(); "worker leases expired");
        }
        for (task, allocation) in allocations {
            self.history.record(task, Decision::Lost { worker: incarnation.clone() });
            self.release_run(task, allocation);
        }
    }

    /// Unresponsive workers whose leases have expired, and whether the store lists each.
    pub fn expired_workers(&self, now: Instant) -> Vec<(Incarnation, bool)> {
        let unresponsive = self.workers.values().filter(|worker| worker.is_unresponsive());
        let expired = unresponsive.filter(|worker| worker.expires_at() <= now);
        expired.map(|worker| (worker.peer.incarnation.clone(), worker.listed)).collect()
    }

    /// Releases the runs of workers whose leases have expired, and queues records of workers that
    /// are still unreachable.
    pub fn expire_due(&mut self, now: Instant) {
        for (incarnation, listed) in self.expired_workers(now) {
            if listed {
                self.expire_runs(&incarnation)
            } else {
                self.remove_unresponsive(&incarnation)
            }
        }
        self.record_unreachable(now);
        if self.unpolled.is_empty() {
            self.clear_inherited();
        }
    }

    /// Passes a worker from a dispatcher that may act until `last` to another one. Starts whose
    /// outcome the first has not reported are stopped before the tasks are started elsewhere, and
    /// stops without an answer are sent again.
    pub fn hand_over(&mut self, incarnation: &Incarnation, last: Instant) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        worker.hand_over(last);
        let peer = worker.peer.clone();
        let runs = worker
            .allocations
            .iter()
            .map(|(task, allocation)| (*task, allocation.run, allocation.phase));
        let runs: Vec<(TaskName, Run, Phase)> = runs.collect();
        drop(worker);
        for (task, run, phase) in runs {
            match phase {
                Phase::Starting => self.stop_for(incarnation, task, "its dispatcher was lost"),
                Phase::Stopping(None) => {
                    self.outbox.push(Order::Stop { peer: peer.clone(), task, run });
                }
                Phase::Live(_) | Phase::Stopping(Some(_)) => {}
            }
        }
    }

    /// Handles that a run is known to be over: its task is queued for placement again, with the
    /// checkpoint that the run has saved.
    pub(super) fn release_run(&mut self, name: TaskName, allocation: Allocation) {
        self.record_cut_off(name, &allocation);
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let has_checkpoints = entry.step(name.step).is_some_and(|step| step.checkpointing);
        let Some(task) = entry.task_mut(name) else { return };
        task.runs = task.runs.saturating_sub(1);
        if has_checkpoints && !allocation.checkpoint.is_empty() {
            task.checkpoint = allocation.checkpoint;
        }
        self.requeue(name);
    }

    /// Records that the maintenance of a machine has started.
    pub fn record_maintenance_started(&mut self, wave: u64, machine: &str) {
        let started = self.maintenance_started.entry(wave).or_default();
        started.insert(machine.to_owned());
        let machines: Vec<MachineId> = started.iter().cloned().collect();
        self.pending_records.push(record::wave(wave, &machines));
    }

    /// Records that the long-running tasks of a worker have to move before its box can be emptied,
    /// and that there is no place for them.
    pub fn record_unplaced(&mut self, incarnation: &Incarnation) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let cpu = u64::from(worker.long_running.cpu).max(1);
        *self.unplaced_cpu.entry(worker.entry.service.clone()).or_default() += cpu;
    }

    /// Ends a wave: forgets its records.
    pub fn end_wave(&mut self, wave: u64) {
        self.ended_waves.insert(wave);
        if self.maintenance_started.remove(&wave).is_some() {
            self.pending_records.push(record::forget_wave(wave));
        }
        if self.waves_first_seen.remove(&wave).is_some() {
            self.pending_records.push(record::forget_wave_seen(wave));
        }
    }

    /// When a wave was first seen, as time since the Unix epoch: now, at `wall`, unless an earlier
    /// scheduler saw it.
    pub fn wave_first_seen(&mut self, wave: u64, wall: Duration) -> Duration {
        if let Some(seen) = self.waves_first_seen.get(&wave) {
            return *seen;
        }
        self.waves_first_seen.insert(wave, wall);
        self.pending_records.push(record::wave_seen(wave, wall));
        wall
    }

    /// Whether a worker that is not known may run tasks of an earlier scheduler, because the store
    /// does not list it and had no record of it in time.
    pub fn may_unknown_worker_run(&self, id: &str, now: Instant) -> bool {
        let expired = self.known_everywhere_from.is_none_or(|from| now >= from + WORKER_LEASE);
        !expired && !self.ended_incarnations.keys().any(|incarnation| incarnation.id == id)
    }

    /// Whether the actions of the previous scheduler have completed. Before, stops that it ordered
    /// may still be in progress, and polls list their tasks as running.
    pub fn is_settled(&self, now: Instant) -> bool {
        let settle =
            if self.predecessor_is_done { SETTLE_TIME_PREDECESSOR_DONE } else { SETTLE_TIME };
        self.known_everywhere_from.is_none_or(|from| now >= from + settle)
    }

    /// What an earlier scheduler may have started on workers that have not been polled.
    pub fn possible_runs(&self) -> PossibleRuns {
        let mut possible_runs = PossibleRuns::default();
        for incarnation in &self.unpolled {
            match (self.tasks_on_unresponsive.get(incarnation), self.workers.get(incarnation)) {
                (Some(tasks), _) => possible_runs.tasks.extend(tasks),
                (None, Some(worker)) => {
                    possible_runs.services.insert(worker.entry.service.clone());
                }
                (None, None) => {}
            }
        }
        possible_runs
    }

    /// Clears the inherited marks of jobs. Called once every worker has been polled, when no run of
    /// an earlier scheduler can be unknown.
    pub fn clear_inherited(&mut self) {
        if !std::mem::take(&mut self.has_inherited) {
            return;
        }
        self.placement_pending = true;
        for entry in self.jobs.values_mut() {
            entry.inherited = false;
        }
    }
}

/// Removes the allocations of these tasks from a worker and returns them.
pub(super) fn remove_allocations(
    worker: &mut Worker,
    tasks: &[TaskName],
) -> Vec<(TaskName, Allocation)> {
    tasks.iter().filter_map(|task| Some((*task, worker.remove(task)?))).collect()
}
