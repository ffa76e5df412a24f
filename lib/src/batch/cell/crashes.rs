//! Worker crashes, and the evidence they give against the tasks that ran there.
//!
//! A crash is certain once another incarnation is found on the worker's box or at its address. A
//! worker that is only unresponsive may be cut off and still run its tasks, so nothing is counted
//! for it. Its tasks are remembered until it answers again, another incarnation is found in its
//! place, or [`CRASH_CANDIDATE_RETENTION`] has passed.

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
use crate::batch::history::Decision;
use crate::batch::record::Crashes;
use crate::batch::worker::Allocation;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long the tasks of an unresponsive worker with expired leases are remembered. A worker that
/// crashes is back after some seconds.
const CRASH_CANDIDATE_RETENTION: Duration = Duration::from_millis(30_000);
/// Maximum number of runs named in the log line of a crash. The task that crashed a worker is among
/// the last ones it accepted; at full load a worker accepts about one each 50 ms.
const MAX_LOGGED_RUNS: usize = 4;

/// An unresponsive worker with expired leases, and the tasks that were on it.
pub(super) struct CrashCandidate {
    machine: Option<MachineId>,
    discovered_at: Instant,
    expired_at: Instant,
    tasks: Vec<(TaskName, Evidence)>,
}

/// Numbers of other workers that may have become unresponsive at the same time, apart from those
/// with a task that explains it.
struct ConcurrentOutages {
    /// Workers of the same service.
    of_service: usize,
    /// Workers of all services.
    total: usize,
}

/// Counters since they were last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStats {
    /// Workers that crashed.
    pub crashed_workers: u64,
    /// Tasks that were abandoned after too many crashes.
    pub abandoned_tasks: u64,
    /// Incarnations that ended, for whatever reason.
    pub ended_incarnations: u64,
    /// Incarnations that ended according to the list of boxes.
    pub ended_by_box_list: u64,
    /// Jobs that were put last, as nearly certain to miss their objective.
    pub jobs_put_last: u64,
    /// Jobs that were put last and are no longer.
    pub jobs_put_back: u64,
}

impl Cell {
    /// Counts a crash if a worker's incarnation has certainly ended without having announced that
    /// it would leave.
    pub(super) fn count_crash(&mut self, incarnation: &Incarnation) {
        let Some(worker) = self.workers.get(incarnation).filter(|worker| !worker.is_leaving())
        else {
            self.crash_candidates.remove(incarnation);
            return;
        };
        log_crash(worker, &self.concurrent_outages(worker));
        self.stats.crashed_workers += 1;
        let tasks = self.tasks_on(worker);
        let candidate_tasks = self
            .crash_candidates
            .remove(incarnation)
            .into_iter()
            .flat_map(|candidate| candidate.tasks);
        self.record_crash(incarnation, tasks.into_iter().chain(candidate_tasks).collect());
    }

    /// Remembers the tasks of an unresponsive worker whose leases have expired. It may have
    /// crashed, which another incarnation in its place would show.
    pub(super) fn record_crash_candidate(&mut self, incarnation: &Incarnation) {
        let Some(worker) = self.workers.get(incarnation).filter(|worker| !worker.is_leaving())
        else {
            return;
        };
        // It is still unresponsive, and its tasks are remembered already.
        if worker.allocations.is_empty() && self.crash_candidates.contains_key(incarnation) {
            return;
        }
        let tasks = self.tasks_on(worker);
        if tasks.is_empty() {
            return;
        }
        let (machine, discovered_at) = (worker.entry.machine.clone(), worker.discovered_at);
        let candidate = CrashCandidate { machine, discovered_at, expired_at: clock::now(), tasks };
        self.crash_candidates.insert(incarnation.clone(), candidate);
    }

    /// Handles an answer of a worker: it has not crashed, and crash candidates that were discovered
    /// on its box before it have.
    pub(super) fn resolve_crash_candidates(&mut self, incarnation: &Incarnation) {
        self.tasks_on_unresponsive.remove(incarnation);
        self.crash_candidates.remove(incarnation);
        let Some(worker) = self.workers.get(incarnation) else { return };
        let (Some(machine), discovered_at) = (&worker.entry.machine, worker.discovered_at) else {
            return;
        };
        let earlier = self.crash_candidates.iter().filter(|(_, candidate)| {
            candidate.machine.as_ref() == Some(machine) && candidate.discovered_at < discovered_at
        });
        let earlier: Vec<Incarnation> =
            earlier.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in earlier {
            if let Some(candidate) = self.crash_candidates.remove(&incarnation) {
                self.stats.crashed_workers += 1;
                self.record_crash(&incarnation, candidate.tasks);
            }
        }
    }

    /// Forgets crash candidates and outages that are older than their retention.
    pub fn forget_crash_candidates(&mut self, now: Instant) {
        self.outages.remove_expired(now);
        self.crash_candidates.retain(|_, candidate| {
            now.saturating_duration_since(candidate.expired_at) <= CRASH_CANDIDATE_RETENTION
        });
    }

    /// The tasks that may have been on a worker, and the evidence that its crash gives against
    /// each.
    fn tasks_on(&self, worker: &Worker) -> Vec<(TaskName, Evidence)> {
        let jobs: HashSet<JobId> = recently_started(worker).map(|task| task.job).collect();
        let evidence = |allocation: &Allocation| match allocation {
            allocation if !allocation.confirmed => Evidence::Uncertain,
            allocation if !is_recently_started(worker, allocation) => Evidence::NotRecent,
            _ if jobs.len() == 1 => Evidence::OnlyRecent,
            _ => Evidence::AmongRecent,
        };
        let is_correlated = self.is_correlated_outage(worker);
        // A second crash under the same task counts against it even if other workers failed at the
        // same time, but not as a certain cause.
        let allocations =
            worker.allocations.iter().map(|(task, allocation)| match evidence(allocation) {
                // For a long-running task, having run for a while is evidence in its favour.
                Evidence::NotRecent => (*task, Evidence::NotRecent),
                _ if is_correlated && !self.has_crashed_elsewhere(task, worker) => {
                    (*task, Evidence::Correlated)
                }
                Evidence::OnlyRecent if is_correlated => (*task, Evidence::AmongRecent),
                own => (*task, own),
            });
        let inherited = self.tasks_on_unresponsive.get(&worker.peer.incarnation);
        let inherited = inherited.into_iter().flatten().map(|task| (*task, Evidence::Uncertain));
        allocations.chain(inherited).collect()
    }

    /// Whether a task that had recently started on a worker had crashed another worker before,
    /// which explains this outage without another cause.
    fn is_outage_explained(&self, worker: &Worker) -> bool {
        recently_started(worker).any(|name| self.has_crashed_elsewhere(name, worker))
    }

    /// Whether another worker than this may have crashed shortly after the task had started there.
    fn has_crashed_elsewhere(&self, name: &TaskName, worker: &Worker) -> bool {
        let task = self.jobs.get(&name.job).and_then(|entry| entry.find_task(*name));
        let mut crashes = task.iter().flat_map(|task| &task.crashes);
        crashes.any(|crash| crash.worker != worker.peer.incarnation && crash.may_be_recent_start())
    }

    /// Counts the other workers that may have become unresponsive at the same time, without a task
    /// that explains it.
    fn concurrent_outages(&self, worker: &Worker) -> ConcurrentOutages {
        let now = clock::now();
        let outage = worker.outage(now);
        let affected = self.workers.values().filter(|other| {
            other.number != worker.number
                && other.is_unexpectedly_unresponsive()
                && other.outage(now).overlaps(&outage)
                && !self.is_outage_explained(other)
        });
        let affected = affected.map(|other| other.entry.service.as_str());
        let services: Vec<&str> =
            affected.chain(self.outages.overlapping_services(&outage)).collect();
        let service = &worker.entry.service;
        let of_service = services.iter().filter(|name| *name == service).count();
        ConcurrentOutages { of_service, total: services.len() }
    }

    /// Whether so many others became unresponsive at the same time as a worker, in its service or
    /// in total, that its crash says little about its tasks.
    fn is_correlated_outage(&self, worker: &Worker) -> bool {
        let concurrent = self.concurrent_outages(worker);
        let workers = self.workers.of_service(&worker.entry.service).count();
        is_correlated(concurrent.of_service, workers)
            || is_correlated(concurrent.total, self.workers.len())
    }

    /// Remembers when a worker that is being removed became unresponsive.
    pub(super) fn record_outage(&mut self, worker: &Worker) {
        let now = clock::now();
        if worker.is_unexpectedly_unresponsive() && !self.is_outage_explained(worker) {
            self.outages.record(&worker.entry.service, worker.outage(now), now);
        }
    }

    /// Records a worker's crash for tasks, and abandons those that have had too many.
    fn record_crash(&mut self, worker: &Incarnation, tasks: Vec<(TaskName, Evidence)>) {
        let is_repeat = tasks.iter().any(|(name, evidence)| {
            let task = self.jobs.get(&name.job).and_then(|entry| entry.find_task(*name));
            task.is_some_and(|task| crash::is_repeat(&task.crashes, *evidence))
        });
        self.repeated_crashes.record_crash(is_repeat);
        for (name, evidence) in tasks {
            let Some(entry) = self.jobs.get_mut(&name.job) else { continue };
            let is_long_running = entry.step(name.step).is_some_and(|step| step.long_running);
            let Some(task) = entry.task_mut(name).filter(|task| !task.done) else { continue };
            if task.crashes.iter().any(|crash| crash.worker == *worker) {
                continue;
            }
            self.dirty_crashes.insert(name.job);
            if is_long_running && evidence == Evidence::NotRecent {
                // It can run on a worker for a while without harm.
                task.crashes.clear();
                continue;
            }
            self.history.record(name, Decision::Crashed { worker: worker.clone() });
            task.crashes.push(Crash { worker: worker.clone(), evidence });
            self.has_suspects = true;
            if crash::is_abandoned(&task.crashes, is_long_running) && entry.is_active() {
                self.abandon_task(name);
            }
        }
    }

    /// Abandons a task that crashes each worker it starts on: its job fails.
    fn abandon_task(&mut self, name: TaskName) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        let workers = task.crashes.iter().map(|crash| crash.worker.to_string());
        log::warn!(
            task = name.to_string().as_str(),
            crashes = task.crashes.len(),
            workers = workers.collect::<Vec<String>>().join(",").as_str();
            "task abandoned, workers crash under it"
        );
        self.stats.abandoned_tasks += 1;
        self.end_job(name.job, JobState::Failed);
    }

    /// Restores the crash records read from the store.
    pub fn restore_crashes(&mut self, crashes: &HashMap<JobId, Crashes>) {
        for (id, crashes) in crashes {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.restore_crashes(crashes);
                self.has_suspects = true;
            }
        }
    }

    /// Forgets the crashes of a long-running task. Called when a run of it has ended without a
    /// crash after `HARMLESS_RUN_TIME`: earlier crashes are then no evidence against the task.
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

/// Whether a run had only recently started on a worker when the worker last answered.
fn is_recently_started(worker: &Worker, allocation: &Allocation) -> bool {
    !allocation.adopted
        && (!allocation.confirmed || worker.observed_run_time(allocation) <= crash::RECENT_START)
}

/// Tasks that had only recently started on a worker.
fn recently_started(worker: &Worker) -> impl Iterator<Item = &TaskName> {
    let allocations =
        worker.allocations.iter().filter(|(_, allocation)| is_recently_started(worker, allocation));
    allocations.map(|(task, _)| task)
}

/// Logs the crash of a worker: the youngest runs, one of which may be the cause, and how many other
/// workers became unresponsive at the same time without an explanation, which is evidence in favour
/// of all these runs.
fn log_crash(worker: &Worker, concurrent: &ConcurrentOutages) {
    let run_time = |(task, allocation): (&TaskName, &Allocation)| {
        (worker.observed_run_time(allocation).as_millis() as u64, *task)
    };
    let mut runs: Vec<(u64, TaskName)> = worker.allocations.iter().map(run_time).collect();
    runs.sort();
    let youngest = runs.iter().take(MAX_LOGGED_RUNS);
    let youngest: Vec<String> =
        youngest.map(|(run_time, task)| format!("{task}:{run_time}")).collect();
    log::info!(
        worker:% = worker.peer.incarnation,
        runs = runs.len(),
        silent_beside = concurrent.total,
        of_service = concurrent.of_service,
        youngest_ms = youngest.join(",").as_str();
        "worker crashed"
    );
}
