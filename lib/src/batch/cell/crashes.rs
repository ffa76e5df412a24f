//! Workers that crash, and what that says of the tasks that were on them.
//!
//! A crash is certain once another life is found on the worker's box or at its address. A worker that only
//! fell silent may be cut off and run on, so nothing is counted for that; what was on it is remembered until
//! it answers again, another life is found in its place, or [`CRASH_CANDIDATE_RETENTION`] has passed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::crash;
use crate::batch::crash::Crash;
use crate::batch::crash::Evidence;
use crate::batch::crash::outage::is_correlated;
use crate::batch::record::Crashes;
use crate::batch::worker::Allocation;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long it is remembered what was on a silent worker whose leases have run out. One that crashes is back
/// after some seconds.
const CRASH_CANDIDATE_RETENTION: Duration = Duration::from_millis(30_000);
/// Runs that the line of a crash names. Whichever brought a worker down was among the last that it had
/// taken; a worker takes about one each 50 ms at full load.
const MAX_LOGGED_RUNS: usize = 4;

/// A silent worker whose leases have run out, and what was on it.
pub(super) struct CrashCandidate {
    machine: Option<MachineId>,
    discovered_at: Instant,
    expired_at: Instant,
    tasks: Vec<(TaskName, Evidence)>,
}

/// Workers that may have fallen silent in the same moment as another, without a task that explains it.
struct ConcurrentOutages {
    /// Those of its service.
    of_service: usize,
    /// All of them.
    total: usize,
}

/// What has been counted since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStats {
    /// Workers that crashed.
    pub crashed_workers: u64,
    /// Tasks that were given up for it.
    pub abandoned_tasks: u64,
    /// Lives of workers that are over, for whatever cause.
    pub ended_incarnations: u64,
    /// Those of which the list of boxes showed it.
    pub ended_by_box_list: u64,
}

impl Cell {
    /// A worker's life is over for certain, and it did not say that it would leave.
    pub(super) fn count_crash(&mut self, life: &Incarnation) {
        let Some(worker) = self.workers.get(life).filter(|worker| !worker.is_leaving()) else {
            self.crash_candidates.remove(life);
            return;
        };
        log_crash(worker, &self.concurrent_outages(worker));
        self.stats.crashed_workers += 1;
        let tasks = self.tasks_on(worker);
        let lost = self.crash_candidates.remove(life).into_iter().flat_map(|lost| lost.tasks);
        self.record_crash(life, tasks.into_iter().chain(lost).collect());
    }

    /// Everything on a silent worker has lapsed. It may have crashed, which another life would show.
    pub(super) fn record_crash_candidate(&mut self, life: &Incarnation) {
        let Some(worker) = self.workers.get(life).filter(|worker| !worker.is_leaving()) else {
            return;
        };
        // It stays silent, and what was on it is remembered already.
        if worker.allocations.is_empty() && self.crash_candidates.contains_key(life) {
            return;
        }
        let tasks = self.tasks_on(worker);
        if tasks.is_empty() {
            return;
        }
        let (machine, met_at) = (worker.entry.machine.clone(), worker.discovered_at);
        let lost =
            CrashCandidate { machine, discovered_at: met_at, expired_at: clock::now(), tasks };
        self.crash_candidates.insert(life.clone(), lost);
    }

    /// A worker has answered, so it has not crashed, and those before it on its box have.
    pub(super) fn resolve_crash_candidates(&mut self, life: &Incarnation) {
        self.tasks_on_unresponsive.remove(life);
        self.crash_candidates.remove(life);
        let Some(worker) = self.workers.get(life) else { return };
        let (Some(machine), met_at) = (&worker.entry.machine, worker.discovered_at) else { return };
        let earlier = self.crash_candidates.iter().filter(|(_, lost)| {
            lost.machine.as_ref() == Some(machine) && lost.discovered_at < met_at
        });
        let earlier: Vec<Incarnation> = earlier.map(|(life, _)| life.clone()).collect();
        for life in earlier {
            if let Some(lost) = self.crash_candidates.remove(&life) {
                self.stats.crashed_workers += 1;
                self.record_crash(&life, lost.tasks);
            }
        }
    }

    /// Lets go of silent workers that will not be heard of any more.
    pub fn forget_crash_candidates(&mut self, now: Instant) {
        self.outages.remove_expired(now);
        self.crash_candidates.retain(|_, lost| {
            now.saturating_duration_since(lost.expired_at) <= CRASH_CANDIDATE_RETENTION
        });
    }

    /// The tasks that may have been on a worker, and what its crash says of each.
    fn tasks_on(&self, worker: &Worker) -> Vec<(TaskName, Evidence)> {
        let jobs: HashSet<JobId> = recently_started(worker).map(|task| task.job).collect();
        let evidence = |slot: &Allocation| match slot {
            slot if !slot.confirmed => Evidence::Uncertain,
            slot if !is_recently_started(worker, slot) => Evidence::NotRecent,
            _ if jobs.len() == 1 => Evidence::OnlyRecent,
            _ => Evidence::AmongRecent,
        };
        let is_shared = self.is_correlated_outage(worker);
        // The second crash under a task speaks against it also in company, but not for certain.
        let slots = worker.allocations.iter().map(|(task, slot)| match evidence(slot) {
            // That it had run for a while speaks for one that lasts.
            Evidence::NotRecent => (*task, Evidence::NotRecent),
            _ if is_shared && !self.has_crashed_elsewhere(task, worker) => {
                (*task, Evidence::Correlated)
            }
            Evidence::OnlyRecent if is_shared => (*task, Evidence::AmongRecent),
            own => (*task, own),
        });
        let inherited = self.tasks_on_unresponsive.get(&worker.peer.incarnation);
        let inherited = inherited.into_iter().flatten().map(|task| (*task, Evidence::Uncertain));
        slots.chain(inherited).collect()
    }

    /// Whether a task that had just begun on a worker had brought down another one before, so that nothing else need have
    /// silenced this one.
    fn is_outage_explained(&self, worker: &Worker) -> bool {
        recently_started(worker).any(|name| self.has_crashed_elsewhere(name, worker))
    }

    /// Whether another worker had crashed as a task had just begun there.
    fn has_crashed_elsewhere(&self, name: &TaskName, worker: &Worker) -> bool {
        let task = self.jobs.get(&name.job).and_then(|entry| entry.find_task(*name));
        let mut crashes = task.iter().flat_map(|task| &task.crashes);
        crashes.any(|crash| crash.worker != worker.peer.incarnation && crash.may_be_recent_start())
    }

    /// Other workers that may have fallen silent in the same moment, without a task that explains it.
    fn concurrent_outages(&self, worker: &Worker) -> ConcurrentOutages {
        let now = clock::now();
        let silence = worker.outage(now);
        let known = self.workers.values().filter(|other| {
            other.number != worker.number
                && other.is_unexpectedly_unresponsive()
                && other.outage(now).overlaps(&silence)
                && !self.is_outage_explained(other)
        });
        let known = known.map(|other| other.entry.service.as_str());
        let services: Vec<&str> =
            known.chain(self.outages.overlapping_services(&silence)).collect();
        let service = &worker.entry.service;
        let of_service = services.iter().filter(|name| *name == service).count();
        ConcurrentOutages { of_service, total: services.len() }
    }

    /// Whether so many others fell silent in the same moment as a worker, of its service or in all, that its crash
    /// says little of its tasks.
    fn is_correlated_outage(&self, worker: &Worker) -> bool {
        let beside = self.concurrent_outages(worker);
        let workers = self.workers.of_service(&worker.entry.service).count();
        is_correlated(beside.of_service, workers) || is_correlated(beside.total, self.workers.len())
    }

    /// Remembers when a worker that will not be known any more fell silent.
    pub(super) fn record_outage(&mut self, worker: &Worker) {
        let now = clock::now();
        if worker.is_unexpectedly_unresponsive() && !self.is_outage_explained(worker) {
            self.outages.record(&worker.entry.service, worker.outage(now), now);
        }
    }

    /// Counts a crash for tasks, and gives up those that have had too many.
    fn record_crash(&mut self, worker: &Incarnation, tasks: Vec<(TaskName, Evidence)>) {
        let is_repeat = tasks.iter().any(|(name, evidence)| {
            let task = self.jobs.get(&name.job).and_then(|entry| entry.find_task(*name));
            task.is_some_and(|task| crash::is_repeat(&task.crashes, *evidence))
        });
        self.repeated_crashes.record_crash(is_repeat);
        for (name, evidence) in tasks {
            let Some(entry) = self.jobs.get_mut(&name.job) else { continue };
            let lasts = entry.step(name.step).is_some_and(|step| step.long_running);
            let Some(task) = entry.task_mut(name).filter(|task| !task.done) else { continue };
            if task.crashes.iter().any(|crash| crash.worker == *worker) {
                continue;
            }
            self.dirty_crashes.insert(name.job);
            if lasts && evidence == Evidence::NotRecent {
                // It can be at work on a worker for a while without harm.
                task.crashes.clear();
                continue;
            }
            task.crashes.push(Crash { worker: worker.clone(), evidence });
            self.has_suspects = true;
            if crash::is_abandoned(&task.crashes, lasts) && entry.is_active() {
                self.abandon_task(name);
            }
        }
    }

    /// A task brings down each worker that starts it: its job cannot be done.
    fn abandon_task(&mut self, name: TaskName) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        let workers = task.crashes.iter().map(|crash| crash.worker.to_string());
        log::warn!(
            task = name.to_string().as_str(),
            crashes = task.crashes.len(),
            workers = workers.collect::<Vec<String>>().join(",").as_str();
            "task given up, workers crash under it"
        );
        self.stats.abandoned_tasks += 1;
        self.end_job(name.job, JobState::Failed);
    }

    /// Takes over what the store knows of crashes.
    pub fn restore_crashes(&mut self, crashes: &HashMap<JobId, Crashes>) {
        for (id, crashes) in crashes {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.restore_crashes(crashes);
                self.has_suspects = true;
            }
        }
    }

    /// A run of a task that lasts has ended other than by a crash after it had been at work for a while, so
    /// the crashes before it say nothing of the task.
    pub(super) fn clear_crashes(&mut self, name: TaskName) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        if !task.crashes.is_empty() {
            task.crashes.clear();
            self.dirty_crashes.insert(name.job);
        }
    }
}

/// Whether a run had only just begun on a worker when it was last heard of.
fn is_recently_started(worker: &Worker, slot: &Allocation) -> bool {
    !slot.adopted && (!slot.confirmed || worker.observed_run_time(slot) <= crash::RECENT_START)
}

/// Tasks that had only just begun on a worker.
fn recently_started(worker: &Worker) -> impl Iterator<Item = &TaskName> {
    let slots = worker.allocations.iter().filter(|(_, slot)| is_recently_started(worker, slot));
    slots.map(|(task, _)| task)
}

/// Tells which runs had only just begun on a worker that has crashed, one of which may be why, and how many
/// others fell silent with it, unexplained, which speaks for all of them.
fn log_crash(worker: &Worker, beside: &ConcurrentOutages) {
    let lived = |(task, slot): (&TaskName, &Allocation)| {
        (worker.observed_run_time(slot).as_millis() as u64, *task)
    };
    let mut runs: Vec<(u64, TaskName)> = worker.allocations.iter().map(lived).collect();
    runs.sort();
    let youngest = runs.iter().take(MAX_LOGGED_RUNS);
    let youngest: Vec<String> = youngest.map(|(lived, task)| format!("{task}:{lived}")).collect();
    log::info!(
        worker:% = worker.peer.incarnation,
        runs = runs.len(),
        silent_beside = beside.total,
        of_service = beside.of_service,
        youngest_ms = youngest.join(",").as_str();
        "worker crashed"
    );
}
