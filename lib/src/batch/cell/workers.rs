//! Workers: met, silent and gone, and the waves that empty their machines.

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
use crate::batch::record;
use crate::batch::record::StoredWorker;
use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::batch::worker::WORKER_LEASE;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long a worker whose life is over is remembered: longer than the store lists one that died with its machine, three
/// heartbeats, since a scheduler that begins then would wait for its leases.
const ENDED_RETENTION: Duration = Duration::from_millis(15_000);

/// How long after every node knows of a scheduler, a second after it began, it ends no task that lasts of its own
/// accord. By then every stop of its predecessor has been seen to be over, also one that was late.
const SETTLE_TIME: Duration = Duration::from_millis(2_000);
/// The same where the predecessor had ended before it gave up the lead: each of its stops has been answered or
/// given up, and takes 0.9 s at most. Nodes that are restarted in turn hold the lead for about 2 s each, and with the
/// longer time a wave stood still meanwhile.
const SETTLE_TIME_PREDECESSOR_DONE: Duration = Duration::from_millis(500);

/// Most unusable entries that are remembered and told of: more of them say nothing more.
const MAX_UNUSABLE_ENTRIES: usize = 256;

impl Cell {
    /// An entry names no worker to use; returns whether that is news. A worker that is known by its id gets
    /// nothing new, and what it runs goes on: somebody else has written over its entry.
    pub fn record_unusable(&mut self, id: &str, why: &'static str) -> bool {
        self.update_incarnations(id, |worker| worker.unusable = true);
        if !self.unusable.contains_key(id) && self.unusable.len() >= MAX_UNUSABLE_ENTRIES {
            return false;
        }
        self.unusable.insert(id.to_owned(), why) != Some(why)
    }

    /// The worker that lives on a machine, by the platform's list, which tells ids only.
    pub fn worker_on(&self, machine: &Machine) -> Option<&Worker> {
        self.workers.current(machine.worker.as_ref()?)
    }

    /// The worker that lives on a machine gets no more work.
    pub fn cordon_on(&mut self, machine: &Machine) {
        if let Some(id) = &machine.worker {
            self.update_incarnations(id, |worker| worker.cordoned = true);
        }
    }

    /// A machine was moved to a pool: the workers that it had in another one are dead.
    pub fn end_incarnations_elsewhere(&mut self, machine: &str, pool: &str) {
        let dead = self.workers.on_box(machine).filter(|worker| worker.entry.service != pool);
        let dead: Vec<Incarnation> = dead.map(|worker| worker.peer.incarnation.clone()).collect();
        for life in dead {
            // Ordered, so nothing that it ran is to blame.
            if let Some(mut worker) = self.workers.get_mut(&life) {
                worker.cordoned = true;
            }
            self.mark_ended(&life, "its machine has moved");
        }
    }

    /// A worker's life is over for certain: the next scheduler is to know, since the store may list
    /// it for a while.
    pub fn mark_ended(&mut self, life: &Incarnation, why: &str) {
        self.count_crash(life);
        self.remove_worker(life, why);
        self.ended_incarnations.insert(life.clone(), clock::now());
        self.pending_records.push(record::ended(life));
    }

    /// An earlier scheduler knew that a worker's life is over.
    pub fn restore_ended(&mut self, life: Incarnation, now: Instant) {
        self.removed.extend(self.workers.remove(&life).map(|worker| worker.number));
        self.ended_incarnations.insert(life, now);
    }

    /// Lets go of workers whose lives have been over for so long that nobody lists them any more.
    pub fn forget_ended(&mut self, now: Instant) {
        let is_old = |_: &Incarnation, at: &mut Instant| {
            now.saturating_duration_since(*at) > ENDED_RETENTION
        };
        for (life, _) in self.ended_incarnations.extract_if(is_old) {
            self.pending_records.push(record::forget_ended(&life));
        }
    }

    /// Takes in a worker that an earlier scheduler used; it may not be listed any more.
    pub fn restore_worker(&mut self, life: Incarnation, known: StoredWorker, now: Instant) {
        if self.workers.contains_key(&life) || self.ended_incarnations.contains_key(&life) {
            return;
        }
        if let Some(tasks) = &known.unresponsive_with {
            let names = tasks.iter().map(|(job, (time, step, index))| TaskName {
                job: *job,
                repetition: *time,
                step: *step,
                index: *index,
            });
            self.tasks_on_unresponsive.insert(life.clone(), names.collect());
        }
        let noted_silent = known.unresponsive_with.is_some();
        let peer = Peer { incarnation: life, addr: known.addr };
        self.insert_worker(Worker {
            recorded_unresponsive: noted_silent,
            ..unlisted_worker(peer, known, now)
        });
    }

    /// The store no longer lists a worker. It may still run what it was told. It is excused for a
    /// while if the store was away lately.
    pub fn mark_unlisted(&mut self, id: &str, excused_until: Option<Instant>) {
        self.unusable.remove(id);
        self.update_incarnations(id, |worker| {
            worker.listed = false;
            worker.unlisted_grace_until = excused_until;
        });
    }

    /// Workers that answer and that the store does not list: some leave without saying so, and serve
    /// on for a while.
    pub fn leaving_unannounced(&self, now: Instant) -> Vec<Incarnation> {
        let leaves = |worker: &&Worker| {
            worker.is_delisted(now)
                && worker.failed_polls == 0
                && worker.has_token
                && !worker.entry.draining
        };
        self.workers.values().filter(leaves).map(|worker| worker.peer.incarnation.clone()).collect()
    }

    /// A worker's life is over, or all it ran has lapsed: its tasks wait for room again.
    pub fn remove_worker(&mut self, life: &Incarnation, why: &str) {
        let Some(worker) = self.workers.remove(life) else { return };
        log::info!(worker:% = life, why, runs = worker.allocations.len(); "worker gone");
        self.stats.ended_incarnations += 1;
        self.record_outage(&worker);
        self.unpolled.remove(life);
        self.removed.push(worker.number);
        self.pending_records.push(record::forget_worker(life));
        if !worker.recorded_unreachable.is_zero() {
            self.pending_records.push(record::forget_unreachable(life));
        }
        for (task, slot) in worker.allocations {
            self.release_run(task, slot);
        }
    }

    /// A worker is silent, its leases have run out, and the store does not list it: its tasks wait for room
    /// again.
    pub fn remove_unresponsive(&mut self, life: &Incarnation) {
        self.record_crash_candidate(life);
        self.remove_worker(life, "silent and not listed");
    }

    /// Everything on a silent worker has lapsed by now; it may come back.
    pub fn expire_runs(&mut self, life: &Incarnation) {
        self.record_crash_candidate(life);
        self.unpolled.remove(life);
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        let tasks: Vec<TaskName> = worker.allocations.keys().copied().collect();
        let slots = remove_allocations(&mut worker, &tasks);
        drop(worker);
        if !slots.is_empty() {
            log::info!(worker:% = life, runs = slots.len(); "leases lapsed");
        }
        for (task, slot) in slots {
            self.release_run(task, slot);
        }
    }

    /// Workers that are silent and whose leases have run out.
    pub fn expired_workers(&self, now: Instant) -> Vec<(Incarnation, bool)> {
        let silent = self.workers.values().filter(|worker| worker.is_unresponsive());
        let lapsed = silent.filter(|worker| worker.expires_at() <= now);
        lapsed.map(|worker| (worker.peer.incarnation.clone(), worker.listed)).collect()
    }

    /// Lets go of what has lapsed, and tells the store of workers that are still waited for.
    pub fn expire_due(&mut self, now: Instant) {
        for (life, listed) in self.expired_workers(now) {
            if listed { self.expire_runs(&life) } else { self.remove_unresponsive(&life) }
        }
        self.record_unreachable(now);
        if self.unpolled.is_empty() {
            self.clear_inherited();
        }
    }

    /// A worker passes from a carrier that may act until `last` to another one. What the first was told
    /// to start and did not answer for is stopped before it is started elsewhere; what it was told to
    /// stop is told again.
    pub fn hand_over(&mut self, life: &Incarnation, last: Instant) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        worker.hand_over(last);
        let peer = worker.peer.clone();
        let runs = worker.allocations.iter().map(|(task, slot)| (*task, slot.run, slot.phase));
        let runs: Vec<(TaskName, Run, Phase)> = runs.collect();
        drop(worker);
        for (task, run, phase) in runs {
            match phase {
                Phase::Starting => self.stop_run(life, task),
                Phase::Stopping(None) => {
                    self.outbox.push(Order::Stop { peer: peer.clone(), task, run });
                }
                Phase::Live(_) | Phase::Stopping(Some(_)) => {}
            }
        }
    }

    /// A run is known to be gone: its task waits for room again, with what the run has saved.
    pub(super) fn release_run(&mut self, name: TaskName, slot: Allocation) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let saves = entry.step(name.step).is_some_and(|step| step.checkpointing);
        let Some(task) = entry.task_mut(name) else { return };
        task.runs = task.runs.saturating_sub(1);
        if saves && !slot.checkpoint.is_empty() {
            task.checkpoint = slot.checkpoint;
        }
        self.requeue(name);
    }

    /// A machine's upkeep has begun.
    pub fn record_maintenance_started(&mut self, wave: u64, machine: &str) {
        let begun = self.maintenance_started.entry(wave).or_default();
        begun.insert(machine.to_owned());
        let machines: Vec<MachineId> = begun.iter().cloned().collect();
        self.pending_records.push(record::wave(wave, &machines));
    }

    /// What lasts on a worker has to go elsewhere before its box can be emptied, and has no place there.
    pub fn record_unplaced(&mut self, life: &Incarnation) {
        let Some(worker) = self.workers.get(life) else { return };
        let cpu = u64::from(worker.long_running.cpu).max(1);
        *self.unplaced_cpu.entry(worker.entry.service.clone()).or_default() += cpu;
    }

    /// A wave is over.
    pub fn end_wave(&mut self, wave: u64) {
        self.ended_waves.insert(wave);
        if self.maintenance_started.remove(&wave).is_some() {
            self.pending_records.push(record::forget_wave(wave));
        }
        if self.waves_first_seen.remove(&wave).is_some() {
            self.pending_records.push(record::forget_wave_seen(wave));
        }
    }

    /// When a wave was first seen, since 1970: now, at `wall`, unless an earlier scheduler saw it.
    pub fn wave_first_seen(&mut self, wave: u64, wall: Duration) -> Duration {
        if let Some(seen) = self.waves_first_seen.get(&wave) {
            return *seen;
        }
        self.waves_first_seen.insert(wave, wall);
        self.pending_records.push(record::wave_seen(wave, wall));
        wall
    }

    /// Whether a worker that is not known may run what an earlier scheduler has started: the store does not list it, and was
    /// not told of it in time.
    pub fn may_unknown_worker_run(&self, id: &str, now: Instant) -> bool {
        let lapsed = self.known_everywhere_from.is_none_or(|from| now >= from + WORKER_LEASE);
        !lapsed && !self.ended_incarnations.keys().any(|life| life.id == id)
    }

    /// Whether what an earlier scheduler was doing is over: stops that it gave may still be under way, and a look
    /// shows their tasks as running until then.
    pub fn is_settled(&self, now: Instant) -> bool {
        let settle =
            if self.predecessor_is_done { SETTLE_TIME_PREDECESSOR_DONE } else { SETTLE_TIME };
        self.known_everywhere_from.is_none_or(|from| now >= from + settle)
    }

    /// What an earlier scheduler may have started on workers that have not been asked.
    pub fn possible_runs(&self) -> PossibleRuns {
        let mut doubt = PossibleRuns::default();
        for life in &self.unpolled {
            match (self.tasks_on_unresponsive.get(life), self.workers.get(life)) {
                (Some(tasks), _) => doubt.tasks.extend(tasks),
                (None, Some(worker)) => {
                    doubt.services.insert(worker.entry.service.clone());
                }
                (None, None) => {}
            }
        }
        doubt
    }

    /// Once every worker has been asked, nothing of an earlier scheduler is in doubt.
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

/// Takes the slots of these tasks out of a worker.
pub(super) fn remove_allocations(
    worker: &mut Worker,
    tasks: &[TaskName],
) -> Vec<(TaskName, Allocation)> {
    tasks.iter().filter_map(|task| Some((*task, worker.remove(task)?))).collect()
}
