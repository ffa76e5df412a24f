//! A job as the scheduler sees it: its steps, its tasks and their progress.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;

use crate::batch::crash::Crash;
use crate::batch::record::Accepted;
use crate::batch::record::Crashes;
use crate::batch::record::Progress;
use crate::batch::record::TaskPosition;
use crate::batch::usage::Claim;
use crate::batch::usage::Usage;
use crate::batch::usage::owner;
use crate::batch::worker::Class;

/// One task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// It has finished successfully.
    pub done: bool,
    /// Runs of it that may exist on workers.
    pub runs: u32,
    /// The highest run number used or observed.
    pub last_run: Run,
    /// The runs that failed. They are identified by number, since an unresponsive worker may report
    /// an earlier run after a later one, and a new scheduler gets some ends reported again.
    pub failed: Vec<Run>,
    /// Workers that crashed under it.
    pub crashes: Vec<Crash>,
    /// How many of these are in the store.
    pub durable_crashes: usize,
    /// The checkpoint from which its next run resumes; empty for the start.
    pub checkpoint: String,
    /// Workers on which it failed or made no progress; others are preferred.
    pub avoided_workers: Vec<Incarnation>,
    /// Since when it waits for resources; `None` if it does not.
    pub waiting_since: Option<Instant>,
    /// When other tasks were last preempted for it; `None` if none were.
    pub preempted_others_at: Option<Instant>,
    /// When this scheduler last ordered its start; `None` if it has not.
    pub ordered_at: Option<Instant>,
}

/// How long the runs of one job have taken that were done, as ratios to the client's estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnRuns {
    /// Their number.
    pub count: u32,
    /// The lowest ratio.
    pub shortest: f64,
    /// The highest ratio.
    pub longest: f64,
}

impl OwnRuns {
    /// Adds a run.
    pub fn add(earlier: Option<OwnRuns>, ratio: f64) -> OwnRuns {
        let Some(earlier) = earlier else {
            return OwnRuns { count: 1, shortest: ratio, longest: ratio };
        };
        OwnRuns {
            count: earlier.count + 1,
            shortest: earlier.shortest.min(ratio),
            longest: earlier.longest.max(ratio),
        }
    }
}

/// From this number of crashes on, all crashes under a task must be in the store before it is
/// started again. A scheduler that fails then takes no more than one with it, which the limits of
/// [`crate::batch::crash`] allow for; the tasks beside a poison task, which have one crash, need
/// not wait.
const MIN_CRASHES_TO_PERSIST: usize = 2;

impl Task {
    /// Whether it must not start before the store has all its crashes.
    pub fn awaits_durable_crashes(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES_TO_PERSIST && self.durable_crashes < self.crashes.len()
    }
}

/// When a job will be done, compared with its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// So late that its result is of no use any more.
    Expired,
    /// Late.
    Late,
    /// In time.
    OnTime,
}

/// The tasks of a step in one repetition.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub left: usize,
    /// Indices of the tasks that wait for resources; empty until the step is open.
    pub waiting: BTreeSet<u32>,
    /// All steps that it depends on are done, so its tasks may start.
    pub open: bool,
    /// Whether its job is in time if its tasks start now, and until when that is assumed; `None` if
    /// it was not looked at yet.
    pub timeliness: Option<(Timeliness, Instant)>,
}

impl StepRun {
    fn new(count: u32) -> StepRun {
        let tasks = vec![Task::default(); count as usize];
        StepRun {
            left: tasks.len(),
            tasks,
            waiting: BTreeSet::new(),
            open: false,
            timeliness: None,
        }
    }
}

/// One repetition of a job's steps.
#[derive(Clone, Debug)]
pub struct Repetition {
    /// Its steps.
    pub steps: Vec<StepRun>,
    /// Its scheduled time has come.
    pub due: bool,
}

/// A job.
#[derive(Debug)]
pub struct Entry {
    /// Its id.
    pub id: JobId,
    /// The job as accepted.
    pub accepted: Accepted,
    /// Its repetitions; those not due yet have no tasks in memory.
    pub repetitions: Vec<Repetition>,
    /// A task of it has started.
    pub started: bool,
    /// A client has cancelled it.
    pub cancelled: bool,
    /// The state it ended in; `None` if it has not ended.
    pub end: Option<JobState>,
    /// The end is in the store.
    pub end_is_durable: bool,
    /// When it ended; `None` if it has not.
    pub ended_at: Option<Instant>,
    /// Partitions of the job topic that hold its record.
    pub stored_in: BTreeSet<u16>,
    /// It was accepted before this scheduler started, so tasks of it may run on workers that have
    /// not been polled yet.
    pub inherited: bool,
    /// On its arrival its account had submitted more jobs a second than its weight.
    pub is_over_rate: bool,
    /// What its own runs have shown; `None` before the first one is done.
    pub own_runs: Option<OwnRuns>,
    /// It is placed after others, as it is nearly certain to miss its objective.
    pub is_put_last: bool,
}

/// Memory that a scheduler takes for a job while it knows it, in bytes: the job itself, and its steps
/// and tasks in all repetitions.
pub fn memory_of(job: &Job) -> u64 {
    let tasks: u64 = job.steps.iter().map(|step| u64::from(step.count)).sum();
    let of_tasks = tasks * (size_of::<Task>() + size_of::<u32>()) as u64;
    let of_steps = (job.steps.len() * size_of::<StepRun>()) as u64;
    let of_repetition = size_of::<Repetition>() as u64 + of_steps + of_tasks;
    let repetitions = u64::from(job.repetition_count());
    (size_of::<Entry>() + job.memory()) as u64 + of_repetition.saturating_mul(repetitions)
}

impl Entry {
    /// A job of which nothing has run.
    pub fn new(id: JobId, accepted: Accepted) -> Entry {
        let repetitions = (0..accepted.job.repetition_count())
            .map(|_| Repetition { steps: Vec::new(), due: false });
        let repetitions = repetitions.collect();
        Entry {
            id,
            accepted,
            repetitions,
            started: false,
            cancelled: false,
            end: None,
            end_is_durable: false,
            ended_at: None,
            stored_in: BTreeSet::new(),
            inherited: false,
            is_over_rate: false,
            own_runs: None,
            is_put_last: false,
        }
    }

    /// The step a task belongs to.
    pub fn step(&self, step: u16) -> Option<&Step> {
        self.accepted.job.steps.get(usize::from(step))
    }

    /// Mutable access to the tasks of a step in a repetition; `None` if the repetition has no tasks
    /// yet.
    pub fn step_run_mut(&mut self, repetition: u32, step: u16) -> Option<&mut StepRun> {
        self.repetitions.get_mut(repetition as usize)?.steps.get_mut(usize::from(step))
    }

    /// The tasks of a step in a repetition; `None` if the repetition has no tasks yet.
    pub fn find_step_run(&self, repetition: u32, step: u16) -> Option<&StepRun> {
        self.repetitions.get(repetition as usize)?.steps.get(usize::from(step))
    }

    /// A task; `None` if its repetition has no tasks yet.
    pub fn find_task(&self, name: TaskName) -> Option<&Task> {
        self.find_step_run(name.repetition, name.step)?.tasks.get(name.index as usize)
    }

    /// Mutable access to a task; `None` if its repetition has no tasks yet.
    pub fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.step_run_mut(name.repetition, name.step)?.tasks.get_mut(name.index as usize)
    }

    /// Whether a step of it runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.accepted.job.steps.iter().any(|step| step.long_running)
    }

    /// Length of the critical path by the client's estimates, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let path = self.longest_path(|_, step| Duration::from_millis(step.estimate_ms));
        u64::try_from(path.as_millis()).unwrap_or(u64::MAX)
    }

    /// The time that its steps take one after another, each of which takes `time_of` its number.
    pub fn longest_path(&self, time_of: impl Fn(u16, &Step) -> Duration) -> Duration {
        let mut ends: Vec<Duration> = Vec::new();
        for (number, step) in (0u16..).zip(&self.accepted.job.steps) {
            let before = step.after.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let start = before.copied().max().unwrap_or_default();
            ends.push(start.saturating_add(time_of(number, step)));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// When the job, or a repetition of it, should be done to meet its objective, in milliseconds
    /// since the Unix epoch.
    pub fn objective_at(&self, repetition: u32) -> u64 {
        let from = self.due_from(repetition);
        (from.as_millis() as u64).saturating_add(self.objective_ms(self.critical_path_ms()))
    }

    /// From when the objective of the job, or of a repetition of it, counts, since the Unix epoch.
    pub fn due_from(&self, repetition: u32) -> Duration {
        self.accepted.job.due_at(repetition).unwrap_or(self.accepted.at)
    }

    /// Time within which it should be done if its critical path is so long, all in milliseconds.
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let stretch = u64::from(self.accepted.stretch_percent);
        let variable_part = critical_path_ms.saturating_mul(stretch) / 100;
        self.accepted.objective_ms.saturating_add(variable_part)
    }

    /// Resources that a task of a step takes on a worker; best-effort tasks take no CPU.
    pub fn resources_of(step: &Step) -> Resources {
        let cpu = if step.best_effort { 0 } else { step.cpu };
        Resources { cpu, memory_mb: step.memory_mb, gpu: step.gpu }
    }

    /// Quota usage of a run of a step, and its account; `None` if there is no such step.
    pub fn claim(&self, step: u16) -> Option<Claim> {
        let account = owner(self.accepted.account.as_ref());
        Some(Claim { account, usage: Usage::of(self.step(step)?, 1) })
    }

    /// Workload class of the tasks of a step.
    pub fn class_of(step: &Step) -> Class {
        match step {
            step if step.best_effort => Class::BestEffort,
            step if step.max_tail_latency_ms > 0 => Class::Service(step.max_tail_latency_ms),
            step if step.long_running => Class::LongRunning,
            _ => Class::Batch,
        }
    }

    /// Whether tasks of it may still be started.
    pub fn is_active(&self) -> bool {
        !self.cancelled && self.end.is_none()
    }

    /// Creates the tasks of a repetition, unless they exist.
    pub fn create_tasks(&mut self, repetition: u32) {
        let counts: Vec<u32> = self.accepted.job.steps.iter().map(|step| step.count).collect();
        let Some(repetition) = self.repetitions.get_mut(repetition as usize) else { return };
        if repetition.steps.is_empty() {
            repetition.steps = counts.into_iter().map(StepRun::new).collect();
        }
    }

    /// Steps of a repetition whose dependencies are done and that have not been opened.
    pub fn steps_to_open(&self, repetition: u32) -> Vec<u16> {
        let Some(repetition) = self.repetitions.get(repetition as usize) else { return Vec::new() };
        if !repetition.due {
            return Vec::new();
        }
        let is_done = |earlier: &u16| {
            let step = repetition.steps.get(usize::from(*earlier));
            step.is_some_and(|step| step.left == 0)
        };
        let mut steps = Vec::new();
        for (index, step) in self.accepted.job.steps.iter().enumerate() {
            let waits = !repetition.steps[index].open;
            if waits && step.after.iter().all(is_done) {
                steps.push(index as u16);
            }
        }
        steps
    }

    /// Number of runs of its tasks that may be on workers.
    pub fn run_count(&self) -> u32 {
        let steps = self.repetitions.iter().flat_map(|repetition| &repetition.steps);
        steps.flat_map(|step| &step.tasks).map(|task| task.runs).sum()
    }

    /// Whether every task of every repetition is done.
    pub fn is_done(&self) -> bool {
        let done = |repetition: &Repetition| {
            repetition.due && repetition.steps.iter().all(|step| step.left == 0)
        };
        !self.is_long_running() && self.repetitions.iter().all(done)
    }

    /// The state that clients see. An end is shown only once it is in the store, so that a later
    /// scheduler cannot contradict it.
    pub fn visible_state(&self) -> JobState {
        match self.end {
            Some(end) if self.end_is_durable => end,
            _ if self.started => JobState::Running,
            _ => JobState::Pending,
        }
    }

    /// The progress that the store keeps.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress { end: self.end, started: self.started, ..Progress::default() };
        for (number, repetition) in self.repetitions.iter().enumerate() {
            for (step, tasks) in repetition.steps.iter().enumerate() {
                add_step_progress(&mut progress, (number as u32, step as u16), tasks);
            }
        }
        progress
    }

    /// The tasks under which workers crashed.
    pub fn crashed_tasks(&self) -> impl Iterator<Item = (TaskPosition, &Task)> {
        let steps = (0..).zip(&self.repetitions).flat_map(|(number, repetition)| {
            (0..).zip(&repetition.steps).map(move |(step, run)| (number, step, run))
        });
        let tasks = steps.flat_map(|(number, step, run)| {
            (0..).zip(&run.tasks).map(move |(index, task)| ((number, step, index), task))
        });
        tasks.filter(|(_, task)| !task.crashes.is_empty())
    }

    /// Applies crashes that were read from the store.
    pub fn restore_crashes(&mut self, crashes: &Crashes) {
        for ((repetition, step, index), crashes) in crashes {
            self.create_tasks(*repetition);
            let name =
                TaskName { job: self.id, repetition: *repetition, step: *step, index: *index };
            if let Some(task) = self.task_mut(name) {
                task.crashes.clone_from(crashes);
                task.durable_crashes = crashes.len();
            }
        }
    }

    /// Applies progress that was read from the store.
    pub fn restore(&mut self, progress: &Progress) {
        self.started = progress.started;
        self.end = progress.end;
        self.end_is_durable = progress.end.is_some();
        self.cancelled |= progress.end == Some(JobState::Canceled);
        for (repetition, step, bits) in &progress.done {
            self.create_tasks(*repetition);
            let Some(run) = self.step_run_mut(*repetition, *step) else { continue };
            for (index, task) in run.tasks.iter_mut().enumerate() {
                task.done = bits.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0);
            }
            run.left = run.tasks.iter().filter(|task| !task.done).count();
        }
        for ((repetition, step, index), runs) in &progress.failed {
            self.create_tasks(*repetition);
            let name =
                TaskName { job: self.id, repetition: *repetition, step: *step, index: *index };
            if let Some(task) = self.task_mut(name) {
                task.failed.clone_from(runs);
                task.last_run = runs.iter().copied().fold(task.last_run, Run::max);
            }
        }
    }
}

fn add_step_progress(progress: &mut Progress, (repetition, step): (u32, u16), run: &StepRun) {
    let mut bits = vec![0u8; run.tasks.len().div_ceil(8)];
    for (index, task) in run.tasks.iter().enumerate() {
        if task.done {
            bits[index / 8] |= 1 << (index % 8);
        }
        if !task.failed.is_empty() {
            progress.failed.push(((repetition, step, index as u32), task.failed.clone()));
        }
    }
    if bits.iter().any(|byte| *byte != 0) {
        progress.done.push((repetition, step, bits));
    }
}
