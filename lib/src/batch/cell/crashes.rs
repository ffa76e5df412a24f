//! Workers that crash, and what that says of the tasks that were on them.
//!
//! A crash is certain once another life is found on the worker's box or at its address. A worker that only
//! fell silent may be cut off and run on, so nothing is counted for that; what was on it is remembered until
//! it answers again, another life is found in its place, or [`REMEMBER_LOST`] has passed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Life;

use crate::batch::cell::Cell;
use crate::batch::crash;
use crate::batch::crash::Crash;
use crate::batch::crash::Evidence;
use crate::batch::crash::silence::explains;
use crate::batch::record::Crashes;
use crate::batch::worker::Slot;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long it is remembered what was on a silent worker whose leases have run out. One that crashes is back
/// after some seconds.
const REMEMBER_LOST: Duration = Duration::from_millis(30_000);
/// Runs that the line of a crash names. Whichever brought a worker down was among the last that it had
/// taken; a worker takes about one each 50 ms at full load.
const YOUNGEST_TOLD: usize = 4;

/// A silent worker whose leases have run out, and what was on it.
pub(super) struct Lost {
    machine: Option<MachineId>,
    met_at: Instant,
    lost_at: Instant,
    tasks: Vec<(TaskName, Evidence)>,
}

/// Workers that may have fallen silent in the same moment as another, without a task that explains it.
struct Beside {
    /// Those of its service.
    of_service: usize,
    /// All of them.
    in_all: usize,
}

/// What has been counted since it was last asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Workers that crashed.
    pub workers: u64,
    /// Tasks that were given up for it.
    pub given_up: u64,
    /// Lives of workers that are over, for whatever cause.
    pub ended: u64,
    /// Those of which the list of boxes showed it.
    pub ended_by_list: u64,
}

impl Cell {
    /// A worker's life is over for certain, and it did not say that it would leave.
    pub(super) fn count_crash(&mut self, life: &Life) {
        let Some(worker) = self.workers.get(life).filter(|worker| !worker.leaves()) else {
            self.lost.remove(life);
            return;
        };
        tell_youngest(worker, &self.silent_beside(worker));
        self.tally.workers += 1;
        let tasks = self.tasks_on(worker);
        let lost = self.lost.remove(life).into_iter().flat_map(|lost| lost.tasks);
        self.record_crash(life, tasks.into_iter().chain(lost).collect());
    }

    /// Everything on a silent worker has lapsed. It may have crashed, which another life would show.
    pub(super) fn note_lost(&mut self, life: &Life) {
        let Some(worker) = self.workers.get(life).filter(|worker| !worker.leaves()) else { return };
        // It stays silent, and what was on it is remembered already.
        if worker.slots.is_empty() && self.lost.contains_key(life) {
            return;
        }
        let tasks = self.tasks_on(worker);
        if tasks.is_empty() {
            return;
        }
        let (machine, met_at) = (worker.entry.machine.clone(), worker.met_at);
        let lost = Lost { machine, met_at, lost_at: clock::now(), tasks };
        self.lost.insert(life.clone(), lost);
    }

    /// A worker has answered, so it has not crashed, and those before it on its box have.
    pub(super) fn settle_lost(&mut self, life: &Life) {
        self.silent_with.remove(life);
        self.lost.remove(life);
        let Some(worker) = self.workers.get(life) else { return };
        let (Some(machine), met_at) = (&worker.entry.machine, worker.met_at) else { return };
        let earlier = self
            .lost
            .iter()
            .filter(|(_, lost)| lost.machine.as_ref() == Some(machine) && lost.met_at < met_at);
        let earlier: Vec<Life> = earlier.map(|(life, _)| life.clone()).collect();
        for life in earlier {
            if let Some(lost) = self.lost.remove(&life) {
                self.tally.workers += 1;
                self.record_crash(&life, lost.tasks);
            }
        }
    }

    /// Lets go of silent workers that will not be heard of any more.
    pub fn forget_lost(&mut self, now: Instant) {
        self.silences.forget(now);
        self.lost.retain(|_, lost| now.saturating_duration_since(lost.lost_at) <= REMEMBER_LOST);
    }

    /// The tasks that may have been on a worker, and what its crash says of each.
    fn tasks_on(&self, worker: &Worker) -> Vec<(TaskName, Evidence)> {
        let jobs: HashSet<JobId> = young(worker).map(|task| task.job).collect();
        let evidence = |slot: &Slot| match slot {
            slot if !slot.taken => Evidence::Unsure,
            slot if !is_young(worker, slot) => Evidence::Earlier,
            _ if jobs.len() == 1 => Evidence::Alone,
            _ => Evidence::Among,
        };
        let is_shared = self.has_company(worker);
        // The second crash under a task speaks against it also in company, but not for certain.
        let slots = worker.slots.iter().map(|(task, slot)| match evidence(slot) {
            // That it had run for a while speaks for one that lasts.
            Evidence::Earlier => (*task, Evidence::Earlier),
            _ if is_shared && !self.crashed_elsewhere(task, worker) => (*task, Evidence::Shared),
            Evidence::Alone if is_shared => (*task, Evidence::Among),
            own => (*task, own),
        });
        let inherited = self.silent_with.get(&worker.peer.life);
        let inherited = inherited.into_iter().flatten().map(|task| (*task, Evidence::Unsure));
        slots.chain(inherited).collect()
    }

    /// Whether a task that had just begun on a worker had brought down another one before, so that nothing else need have
    /// silenced this one.
    fn is_explained(&self, worker: &Worker) -> bool {
        young(worker).any(|name| self.crashed_elsewhere(name, worker))
    }

    /// Whether another worker had crashed as a task had just begun there.
    fn crashed_elsewhere(&self, name: &TaskName, worker: &Worker) -> bool {
        let task = self.jobs.get(&name.job).and_then(|entry| entry.seen_task(*name));
        let mut crashes = task.iter().flat_map(|task| &task.crashes);
        crashes.any(|crash| crash.worker != worker.peer.life && crash.is_young())
    }

    /// Other workers that may have fallen silent in the same moment, without a task that explains it.
    fn silent_beside(&self, worker: &Worker) -> Beside {
        let now = clock::now();
        let silence = worker.silence(now);
        let known = self.workers.values().filter(|other| {
            other.number != worker.number
                && other.fell_silent()
                && other.silence(now).meets(&silence)
                && !self.is_explained(other)
        });
        let known = known.map(|other| other.entry.service.as_str());
        let services: Vec<&str> = known.chain(self.silences.services(&silence)).collect();
        let service = &worker.entry.service;
        let of_service = services.iter().filter(|name| *name == service).count();
        Beside { of_service, in_all: services.len() }
    }

    /// Whether so many others fell silent in the same moment as a worker, of its service or in all, that its crash
    /// says little of its tasks.
    fn has_company(&self, worker: &Worker) -> bool {
        let beside = self.silent_beside(worker);
        let workers = self.workers.of_service(&worker.entry.service).count();
        explains(beside.of_service, workers) || explains(beside.in_all, self.workers.len())
    }

    /// Remembers when a worker that will not be known any more fell silent.
    pub(super) fn note_silence(&mut self, worker: &Worker) {
        let now = clock::now();
        if worker.fell_silent() && !self.is_explained(worker) {
            self.silences.note(&worker.entry.service, worker.silence(now), now);
        }
    }

    /// Counts a crash for tasks, and gives up those that have had too many.
    fn record_crash(&mut self, worker: &Life, tasks: Vec<(TaskName, Evidence)>) {
        let is_repeat = tasks.iter().any(|(name, evidence)| {
            let task = self.jobs.get(&name.job).and_then(|entry| entry.seen_task(*name));
            task.is_some_and(|task| crash::is_repeat(&task.crashes, *evidence))
        });
        self.repeats.crashed(is_repeat);
        for (name, evidence) in tasks {
            let Some(entry) = self.jobs.get_mut(&name.job) else { continue };
            let lasts = entry.step(name.step).is_some_and(|step| step.long_running);
            let Some(task) = entry.task(name).filter(|task| !task.done) else { continue };
            if task.crashes.iter().any(|crash| crash.worker == *worker) {
                continue;
            }
            self.crashed.insert(name.job);
            if lasts && evidence == Evidence::Earlier {
                // It can be at work on a worker for a while without harm.
                task.crashes.clear();
                continue;
            }
            task.crashes.push(Crash { worker: worker.clone(), evidence });
            self.suspects = true;
            if crash::is_given_up(&task.crashes, lasts) && entry.is_active() {
                self.give_up(name);
            }
        }
    }

    /// A task brings down each worker that starts it: its job cannot be done.
    fn give_up(&mut self, name: TaskName) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task(name)) else {
            return;
        };
        let workers = task.crashes.iter().map(|crash| crash.worker.to_string());
        log::warn!(
            task = name.to_string().as_str(),
            crashes = task.crashes.len(),
            workers = workers.collect::<Vec<String>>().join(",").as_str();
            "task given up, workers crash under it"
        );
        self.tally.given_up += 1;
        self.end_job(name.job, JobState::Failed);
    }

    /// Takes over what the store knows of crashes.
    pub fn restore_crashes(&mut self, crashes: &HashMap<JobId, Crashes>) {
        for (id, crashes) in crashes {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.restore_crashes(crashes);
                self.suspects = true;
            }
        }
    }

    /// A run of a task that lasts has ended other than by a crash after it had been at work for a while, so
    /// the crashes before it say nothing of the task.
    pub(super) fn clear_crashes(&mut self, name: TaskName) {
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task(name)) else {
            return;
        };
        if !task.crashes.is_empty() {
            task.crashes.clear();
            self.crashed.insert(name.job);
        }
    }
}

/// Whether a run had only just begun on a worker when it was last heard of.
fn is_young(worker: &Worker, slot: &Slot) -> bool {
    !slot.adopted && (!slot.taken || worker.lived(slot) <= crash::JUST_BEGUN)
}

/// Tasks that had only just begun on a worker.
fn young(worker: &Worker) -> impl Iterator<Item = &TaskName> {
    let slots = worker.slots.iter().filter(|(_, slot)| is_young(worker, slot));
    slots.map(|(task, _)| task)
}

/// Tells which runs had only just begun on a worker that has crashed, one of which may be why, and how many
/// others fell silent with it, unexplained, which speaks for all of them.
fn tell_youngest(worker: &Worker, beside: &Beside) {
    let lived = |(task, slot): (&TaskName, &Slot)| (worker.lived(slot).as_millis() as u64, *task);
    let mut runs: Vec<(u64, TaskName)> = worker.slots.iter().map(lived).collect();
    runs.sort();
    let youngest = runs.iter().take(YOUNGEST_TOLD);
    let youngest: Vec<String> = youngest.map(|(lived, task)| format!("{task}:{lived}")).collect();
    log::info!(
        worker:% = worker.peer.life,
        runs = runs.len(),
        silent_beside = beside.in_all,
        of_service = beside.of_service,
        youngest_ms = youngest.join(",").as_str();
        "worker crashed"
    );
}
