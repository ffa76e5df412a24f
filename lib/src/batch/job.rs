//! A job in the scheduler's memory: its steps, its tasks and how far they are.

use std::collections::BTreeSet;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
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
    /// It has ended well.
    pub done: bool,
    /// Runs of it that may exist on workers.
    pub runs: u32,
    /// The highest run number used or seen.
    pub last_run: Run,
    /// The runs that failed. They are told apart by number, since a worker that was silent may
    /// tell of an early one last, and a new scheduler is told again of some.
    pub failed: Vec<Run>,
    /// Workers that crashed under it.
    pub crashes: Vec<Crash>,
    /// How many of these the store knows.
    pub durable_crashes: usize,
    /// Where its next run goes on from; empty for the start.
    pub checkpoint: String,
    /// Workers it failed or stood still on; others are preferred.
    pub avoided_workers: Vec<Incarnation>,
    /// Since when it waits for room.
    pub waiting_since: Option<Instant>,
    /// When others were last stopped to make room for it.
    pub preempted_others_at: Option<Instant>,
}

/// Crashes under a task from which on the store must know of all before it is started again. A scheduler
/// that is lost then takes no more than one with it, which the limits of [`crate::batch::crash`] allow for;
/// the tasks beside a poison task, which have one, wait for nothing.
const MIN_CRASHES_TO_PERSIST: usize = 2;

impl Task {
    /// Whether it waits for the store to know under how many workers it crashed.
    pub fn awaits_durable_crashes(&self) -> bool {
        self.crashes.len() >= MIN_CRASHES_TO_PERSIST && self.durable_crashes < self.crashes.len()
    }
}

/// The tasks of a step in one repetition.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: usize,
    /// Tasks that wait for room; empty until the step's turn has come.
    pub waiting: BTreeSet<u32>,
    /// The step's turn has come.
    pub open: bool,
}

impl StepRun {
    fn new(count: u32) -> StepRun {
        let tasks = vec![Task::default(); count as usize];
        StepRun { left: tasks.len(), tasks, waiting: BTreeSet::new(), open: false }
    }
}

/// One repetition of a job's steps.
#[derive(Clone, Debug)]
pub struct Repetition {
    /// Its steps.
    pub steps: Vec<StepRun>,
    /// Its time has come.
    pub due: bool,
}

/// A job.
#[derive(Debug)]
pub struct Entry {
    /// Its id.
    pub id: JobId,
    /// What was accepted.
    pub accepted: Accepted,
    /// Its repetitions; those not due yet have no tasks in memory.
    pub repetitions: Vec<Repetition>,
    /// A task of it has begun.
    pub started: bool,
    /// A client has cancelled it.
    pub cancelled: bool,
    /// The state it has ended in.
    pub end: Option<JobState>,
    /// The store knows of the end.
    pub end_is_durable: bool,
    /// When it ended.
    pub ended_at: Option<Instant>,
    /// Partitions of the store's topic that keep it.
    pub stored_in: BTreeSet<u16>,
    /// It was accepted before this scheduler began, so tasks of it may run on workers that have
    /// not been asked yet.
    pub inherited: bool,
    /// Its account had sent more jobs than its weight a second when it came.
    pub is_over_rate: bool,
}

impl Entry {
    /// A job of which nothing has run.
    pub fn new(id: JobId, accepted: Accepted) -> Entry {
        let times = (0..accepted.job.repetition_count())
            .map(|_| Repetition { steps: Vec::new(), due: false });
        let times = times.collect();
        Entry {
            id,
            accepted,
            repetitions: times,
            started: false,
            cancelled: false,
            end: None,
            end_is_durable: false,
            ended_at: None,
            stored_in: BTreeSet::new(),
            inherited: false,
            is_over_rate: false,
        }
    }

    /// The step a task belongs to.
    pub fn step(&self, step: u16) -> Option<&Step> {
        self.accepted.job.steps.get(usize::from(step))
    }

    /// The tasks of a step in a repetition, if it is due.
    pub fn step_run_mut(&mut self, time: u32, step: u16) -> Option<&mut StepRun> {
        self.repetitions.get_mut(time as usize)?.steps.get_mut(usize::from(step))
    }

    /// The same, to look at.
    pub fn find_step_run(&self, time: u32, step: u16) -> Option<&StepRun> {
        self.repetitions.get(time as usize)?.steps.get(usize::from(step))
    }

    /// A task to look at, if its repetition is due.
    pub fn find_task(&self, name: TaskName) -> Option<&Task> {
        self.find_step_run(name.repetition, name.step)?.tasks.get(name.index as usize)
    }

    /// A task, if its repetition is due.
    pub fn task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.step_run_mut(name.repetition, name.step)?.tasks.get_mut(name.index as usize)
    }

    /// Whether a step of it runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.accepted.job.steps.iter().any(|step| step.long_running)
    }

    /// The longest chain of work by the client's guesses, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::new();
        for step in &self.accepted.job.steps {
            let before = step.after.iter().filter_map(|earlier| ends.get(usize::from(*earlier)));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// When the job, or a repetition of it, should be done to be worth its full credit, in
    /// milliseconds since 1970.
    pub fn objective_at(&self, time: u32) -> u64 {
        let from = self.accepted.job.due_at(time).unwrap_or(self.accepted.at);
        let stretch = u64::from(self.accepted.stretch_percent);
        let chain = self.critical_path_ms().saturating_mul(stretch) / 100;
        (from.as_millis() as u64).saturating_add(self.accepted.objective_ms).saturating_add(chain)
    }

    /// What a task of a step takes of a worker's room.
    pub fn resources_of(step: &Step) -> Resources {
        let cpu = if step.best_effort { 0 } else { step.cpu };
        Resources { cpu, memory_mb: step.memory_mb, gpu: step.gpu }
    }

    /// What a run of a step counts for, and for whom.
    pub fn claim(&self, step: u16) -> Option<Claim> {
        let account = owner(self.accepted.account.as_ref());
        Some(Claim { account, usage: Usage::of(self.step(step)?, 1) })
    }

    /// What kind of neighbour a task of a step is.
    pub fn class_of(step: &Step) -> Class {
        match step {
            step if step.best_effort => Class::BestEffort,
            step if step.tail_limit_ms > 0 => Class::Service(step.tail_limit_ms),
            step if step.long_running => Class::LongRunning,
            _ => Class::Batch,
        }
    }

    /// Whether tasks of it may still be started.
    pub fn is_active(&self) -> bool {
        !self.cancelled && self.end.is_none()
    }

    /// Makes the tasks of a repetition.
    pub fn create_tasks(&mut self, time: u32) {
        let counts: Vec<u32> = self.accepted.job.steps.iter().map(|step| step.count).collect();
        let Some(repetition) = self.repetitions.get_mut(time as usize) else { return };
        if repetition.steps.is_empty() {
            repetition.steps = counts.into_iter().map(StepRun::new).collect();
        }
    }

    /// Steps of a repetition whose turn has come and that have not been opened.
    pub fn steps_to_open(&self, time: u32) -> Vec<u16> {
        let Some(repetition) = self.repetitions.get(time as usize) else { return Vec::new() };
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

    /// Runs of its tasks that may be on workers.
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

    /// The state that clients are shown. An end is shown only once the store knows of it, since
    /// what a client was told must hold whoever schedules.
    pub fn visible_state(&self) -> JobState {
        match self.end {
            Some(end) if self.end_is_durable => end,
            _ if self.started => JobState::Running,
            _ => JobState::Pending,
        }
    }

    /// What the store is to keep.
    pub fn progress(&self) -> Progress {
        let mut progress = Progress { end: self.end, started: self.started, ..Progress::default() };
        for (time, repetition) in self.repetitions.iter().enumerate() {
            for (step, tasks) in repetition.steps.iter().enumerate() {
                add_step_progress(&mut progress, (time as u32, step as u16), tasks);
            }
        }
        progress
    }

    /// The tasks under which workers crashed.
    pub fn crashed_tasks(&self) -> impl Iterator<Item = (TaskPosition, &Task)> {
        let steps = (0..).zip(&self.repetitions).flat_map(|(time, repetition)| {
            (0..).zip(&repetition.steps).map(move |(step, run)| (time, step, run))
        });
        let tasks = steps.flat_map(|(time, step, run)| {
            (0..).zip(&run.tasks).map(move |(index, task)| ((time, step, index), task))
        });
        tasks.filter(|(_, task)| !task.crashes.is_empty())
    }

    /// Takes over the crashes that the store knows of.
    pub fn restore_crashes(&mut self, crashes: &Crashes) {
        for ((time, step, index), crashes) in crashes {
            self.create_tasks(*time);
            let name = TaskName { job: self.id, repetition: *time, step: *step, index: *index };
            if let Some(task) = self.task_mut(name) {
                task.crashes.clone_from(crashes);
                task.durable_crashes = crashes.len();
            }
        }
    }

    /// Takes over what the store kept.
    pub fn restore(&mut self, progress: &Progress) {
        self.started = progress.started;
        self.end = progress.end;
        self.end_is_durable = progress.end.is_some();
        self.cancelled |= progress.end == Some(JobState::Canceled);
        for (time, step, bits) in &progress.done {
            self.create_tasks(*time);
            let Some(run) = self.step_run_mut(*time, *step) else { continue };
            for (index, task) in run.tasks.iter_mut().enumerate() {
                task.done = bits.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0);
            }
            run.left = run.tasks.iter().filter(|task| !task.done).count();
        }
        for ((time, step, index), runs) in &progress.failed {
            self.create_tasks(*time);
            let name = TaskName { job: self.id, repetition: *time, step: *step, index: *index };
            if let Some(task) = self.task_mut(name) {
                task.failed.clone_from(runs);
                task.last_run = runs.iter().copied().fold(task.last_run, Run::max);
            }
        }
    }
}

fn add_step_progress(progress: &mut Progress, (time, step): (u32, u16), run: &StepRun) {
    let mut bits = vec![0u8; run.tasks.len().div_ceil(8)];
    for (index, task) in run.tasks.iter().enumerate() {
        if task.done {
            bits[index / 8] |= 1 << (index % 8);
        }
        if !task.failed.is_empty() {
            progress.failed.push(((time, step, index as u32), task.failed.clone()));
        }
    }
    if bits.iter().any(|byte| *byte != 0) {
        progress.done.push((time, step, bits));
    }
}
