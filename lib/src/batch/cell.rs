//! The scheduler's state: jobs, workers and what may run where.
//!
//! Invariants:
//! - A task is started only while no run of it may exist on any worker ([`Task::runs`] is 0), and
//!   each start has a higher run number than all before it.
//! - A run stays in its worker's slots until it is known to be gone: its end was listed, the
//!   worker refused it, the worker's life is over, its lease has run out, or a look that was sent
//!   after the worker had answered the start or the stop does not show it.
//! - An end is acknowledged to the worker only after the store knows of its effect.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;
use spokelift_platform::store::Record;
use spokelift_platform::worker;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_platform::worker::Seen;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerId;
use spokelift_platform::worker::WorkerMs;

use crate::batch::demand::Demand;
use crate::batch::job::Entry;
use crate::batch::job::Task;
use crate::batch::record;
use crate::batch::record::Accepted;
use crate::batch::record::Known;
use crate::batch::record::Progress;
use crate::batch::worker::Kind;
use crate::batch::worker::Phase;
use crate::batch::worker::Slot;
use crate::batch::worker::Worker;

/// How long a worker rests after it failed to answer an order.
const REST_UNANSWERED: Duration = Duration::from_millis(1_000);
/// How long a worker rests after it refused an order as unhealthy.
const REST_UNHEALTHY: Duration = Duration::from_millis(2_000);
/// How long a worker rests after it said that it has no room although it should have.
const REST_FULL: Duration = Duration::from_millis(150);
/// Failures in a row, of different tasks, after which a worker is taken to fail everything.
const FAILURES_IN_A_ROW: u32 = 3;
/// How long a worker that fails everything rests; one task then tries it again.
const REST_FAILING: Duration = Duration::from_millis(6_000);

/// How long a run whose job is not known goes on: the record of the job may still be on its way
/// from the store.
const UNKNOWN_JOB: Duration = Duration::from_millis(3_000);

/// Order of steps that wait for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Tasks that last come first: each second they are away is lost, and nothing catches it up.
    pub ends: bool,
    /// Rank of the queue.
    pub priority: u32,
    /// When it should be done, in milliseconds since 1970.
    pub objective_at: u64,
    /// The job.
    pub job: JobId,
    /// The repetition.
    pub time: u32,
    /// The step.
    pub step: u16,
}

/// What is to be sent to a worker.
#[derive(Debug)]
pub enum Order {
    /// Start a task.
    Start {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// Number of the start.
        run: Run,
        /// The job's text.
        spec: String,
        /// End of the lease.
        lease_until: WorkerMs,
        /// Where to go on from.
        checkpoint: String,
        /// Permission, where the queue needs one.
        ticket: String,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run.
        run: Run,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run.
        run: Run,
        /// The share, in hundredths.
        percent: u32,
    },
}

/// Changes that the store is to know of.
#[derive(Debug, Default)]
pub struct Flush {
    /// Records of the progress topic.
    pub records: Vec<Record>,
    /// Jobs whose end is among them.
    pub ended: Vec<JobId>,
    /// Workers of which it tells that they are heard of again.
    pub reopened: Vec<WorkerId>,
    /// Ends of each worker that are taken into account by then.
    pub processed: Vec<(WorkerId, u64)>,
}

/// What an earlier scheduler may have started and this one cannot know of.
#[derive(Debug, Default)]
pub struct Doubt {
    /// Any task of these services.
    pub services: HashSet<String>,
    /// These tasks.
    pub tasks: HashSet<TaskName>,
}

/// The scheduler's state.
pub struct Cell {
    /// Number of this scheduler; workers refuse lower ones.
    pub token: Token,
    /// The jobs.
    pub jobs: HashMap<JobId, Entry>,
    /// The workers.
    pub workers: HashMap<WorkerId, Worker>,
    /// Steps with tasks that wait for room.
    pub ready: BTreeSet<Rank>,
    /// Workers that may run something of an earlier scheduler and have not been asked.
    pub unasked: HashSet<WorkerId>,
    /// Tasks that may be on workers which had fallen silent under an earlier scheduler.
    silent_with: HashMap<WorkerId, HashSet<TaskName>>,
    /// Machines of waves whose upkeep has begun.
    pub begun: HashMap<u64, HashSet<MachineId>>,
    /// Repetitions that are not due yet: when, since 1970.
    scheduled: BTreeSet<(Duration, JobId, u32)>,
    dirty: HashSet<JobId>,
    /// Workers that the store is to know of, or to forget.
    roster: Vec<Record>,
    /// Orders to be sent.
    pub outbox: Vec<Order>,
    /// A newer scheduler was heard of.
    pub fenced: bool,
    /// What is learned of the load.
    pub demand: Demand,
}

impl Cell {
    /// An empty state.
    pub fn new(token: Token) -> Cell {
        Cell {
            token,
            jobs: HashMap::new(),
            workers: HashMap::new(),
            ready: BTreeSet::new(),
            unasked: HashSet::new(),
            silent_with: HashMap::new(),
            begun: HashMap::new(),
            scheduled: BTreeSet::new(),
            dirty: HashSet::new(),
            roster: Vec::new(),
            outbox: Vec::new(),
            fenced: false,
            demand: Demand::default(),
        }
    }

    // Jobs.

    /// Takes in a job; one that is known already stays as it is.
    pub fn admit(&mut self, id: JobId, accepted: Accepted, inherited: Option<&Progress>) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        let mut entry = Entry::new(id, accepted);
        // Until every worker has heard of this scheduler, an earlier one may go on starting tasks,
        // also of jobs that only arrive now.
        entry.inherited = inherited.is_some() || !self.unasked.is_empty();
        if let Some(progress) = inherited {
            entry.restore(progress);
        }
        self.claim_found(&mut entry);
        let times = entry.accepted.job.times();
        for time in 0..times {
            match entry.accepted.job.due(time) {
                Some(due) if entry.is_active() => {
                    self.scheduled.insert((due, id, time));
                }
                _ => entry.times[time as usize].due = true,
            }
        }
        if inherited.is_none() {
            self.demand.arrived(&entry, Instant::now());
        }
        self.jobs.insert(id, entry);
        for time in 0..times {
            self.open_steps(id, time);
        }
        true
    }

    /// Runs that were found on workers before the job was heard of count for its tasks.
    fn claim_found(&mut self, entry: &mut Entry) {
        let id = entry.id;
        for worker in self.workers.values_mut() {
            for (name, slot) in worker.slots.iter_mut().filter(|(name, _)| name.job == id) {
                let Some(step) = entry.step(name.step) else { continue };
                slot.room = Entry::room_of(step);
                slot.kind = Entry::kind_of(step);
                entry.open_time(name.time);
                entry.begun = true;
                if let Some(task) = entry.task(*name) {
                    task.runs += 1;
                    task.last_run = task.last_run.max(slot.run);
                }
            }
            worker.recount();
        }
    }

    /// Stops runs that were found on workers and whose job has still not been heard of.
    pub fn stop_unknown(&mut self, now: Instant) {
        let mut unknown = Vec::new();
        for worker in self.workers.values() {
            for (name, slot) in &worker.slots {
                let old = now.saturating_duration_since(slot.since) > UNKNOWN_JOB;
                if old && !self.jobs.contains_key(&name.job) {
                    unknown.push((worker.peer.id.clone(), *name));
                }
            }
        }
        for (worker, task) in unknown {
            self.stop_run(&worker, task);
        }
    }

    /// Opens the repetitions that are due at `wall`, the time since 1970.
    pub fn open_due(&mut self, wall: Duration) {
        while let Some(&(due, id, time)) = self.scheduled.first() {
            if due > wall {
                return;
            }
            self.scheduled.pop_first();
            let Some(entry) = self.jobs.get_mut(&id) else { continue };
            entry.times[time as usize].due = true;
            self.open_steps(id, time);
        }
    }

    fn open_steps(&mut self, id: JobId, time: u32) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if !entry.is_active() || !entry.times[time as usize].due {
            return;
        }
        entry.open_time(time);
        let mut opened = Vec::new();
        // A step without tasks is done as it is opened, and may open others.
        loop {
            let steps = entry.steps_to_open(time);
            if steps.is_empty() {
                break;
            }
            for step in steps {
                let run = entry.step_run(time, step).expect("the repetition was opened above");
                run.open = true;
                opened.push(step);
            }
        }
        for step in opened {
            let count = self.jobs[&id].accepted.job.steps[usize::from(step)].count;
            for index in 0..count {
                self.requeue(TaskName { job: id, time, step, index });
            }
        }
    }

    /// Lets a task wait for room if nothing of it may run any more.
    pub fn requeue(&mut self, name: TaskName) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        if !entry.is_active() {
            return;
        }
        let rank = Rank {
            ends: !entry.lasts(),
            priority: entry.accepted.priority,
            objective_at: entry.objective_at(name.time),
            job: name.job,
            time: name.time,
            step: name.step,
        };
        let Some(run) = entry.step_run(name.time, name.step).filter(|run| run.open) else { return };
        let Some(task) = run.tasks.get_mut(name.index as usize) else { return };
        if task.done || task.runs > 0 {
            return;
        }
        task.waiting_since.get_or_insert_with(Instant::now);
        run.waiting.insert(name.index);
        self.ready.insert(rank);
    }

    /// Cancels a job; `None` if it is not known.
    pub fn cancel(&mut self, id: JobId) -> Option<JobState> {
        let entry = self.jobs.get_mut(&id)?;
        if entry.end.is_none() {
            entry.cancelled = true;
            self.end_job(id, JobState::Canceled);
        }
        Some(self.jobs[&id].end.unwrap_or(JobState::Canceled))
    }

    fn end_job(&mut self, id: JobId, state: JobState) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.end = Some(state);
        entry.ended_at = Some(Instant::now());
        self.dirty.insert(id);
        log::info!(job = format!("{id:016x}").as_str(), state = format!("{state:?}").as_str(); "job ended");
        self.ready.retain(|rank| rank.job != id);
        self.stop_where(|task| task.job == id);
    }

    /// Stops all runs of tasks that fit.
    pub fn stop_where(&mut self, fits: impl Fn(&TaskName) -> bool) {
        for worker in self.workers.values_mut() {
            for (task, slot) in &mut worker.slots {
                if fits(task) && !matches!(slot.phase, Phase::Stopping(_)) {
                    slot.phase = Phase::Stopping(None);
                    let peer = worker.peer.clone();
                    self.outbox.push(Order::Stop { peer, task: *task, run: slot.run });
                }
            }
        }
    }

    /// Stops one run so that it can go on elsewhere.
    pub fn stop_run(&mut self, id: &str, task: TaskName) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.slots.get_mut(&task) else { return };
        if !matches!(slot.phase, Phase::Stopping(_)) {
            slot.phase = Phase::Stopping(None);
            let peer = worker.peer.clone();
            self.outbox.push(Order::Stop { peer, task, run: slot.run });
        }
    }

    /// Jobs of a queue none of whose tasks has begun.
    pub fn pending(&self, queue: &str) -> u32 {
        let waits =
            |entry: &&Entry| entry.accepted.queue == queue && entry.is_active() && !entry.begun;
        self.jobs.values().filter(waits).count() as u32
    }

    /// Lets go of jobs that ended longer than `keep` ago; returns them, with whether each was
    /// cancelled.
    pub fn forget(&mut self, keep: Duration, now: Instant) -> Vec<(JobId, bool)> {
        let old = |entry: &&Entry| {
            let ended = entry.ended_at.is_some_and(|at| now.saturating_duration_since(at) > keep);
            ended && entry.end_is_durable
        };
        let gone: Vec<(JobId, bool)> =
            self.jobs.values().filter(old).map(|entry| (entry.id, entry.cancelled)).collect();
        for (id, _) in &gone {
            self.jobs.remove(id);
            self.roster.push(record::forget_progress(*id));
        }
        gone
    }

    // Workers.

    /// Takes in a worker's entry.
    pub fn meet(&mut self, peer: Peer, entry: worker::Entry, now: Instant) -> bool {
        let id = peer.id.clone();
        if let Some(known) = self.workers.get_mut(&id) {
            known.update(entry);
            return false;
        }
        let worker = Worker::new(peer, entry, now);
        self.roster.push(record::worker(&id, &worker.known()));
        self.workers.insert(id, worker);
        true
    }

    /// Removes workers that lived on a machine before `current` did. Which of two lives is the
    /// later one is told by answers only, since reads of the store and of the list of machines may
    /// be seconds old.
    pub fn end_other_lives(&mut self, machine: &str, current: &str) {
        let lived = |worker: &&Worker| {
            worker.entry.machine.as_deref() == Some(machine) && worker.peer.id != current
        };
        let gone: Vec<WorkerId> =
            self.workers.values().filter(lived).map(|worker| worker.peer.id.clone()).collect();
        for id in gone {
            self.remove_worker(&id, "another worker lives on its machine");
        }
    }

    /// Takes in a worker that an earlier scheduler used; it may not be listed any more.
    pub fn meet_known(&mut self, id: WorkerId, known: Known, now: Instant) {
        if self.workers.contains_key(&id) {
            return;
        }
        if let Some(tasks) = &known.silent_with {
            let names = tasks.iter().map(|(job, (time, step, index))| TaskName {
                job: *job,
                time: *time,
                step: *step,
                index: *index,
            });
            self.silent_with.insert(id.clone(), names.collect());
        }
        let entry = worker::Entry {
            service: known.service,
            address: known.addr,
            hall: String::new(),
            draining: true,
            room: worker::Room::default(),
            labels: Vec::new(),
            leaves_in_ms: None,
            machine: known.machine,
        };
        let mut worker = Worker::new(Peer { id: id.clone(), addr: known.addr }, entry, now);
        worker.listed = false;
        worker.noted_silent = known.silent_with.is_some();
        self.workers.insert(id, worker);
    }

    /// The store no longer lists a worker. It may still run what it was told.
    pub fn unlist(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
    }

    /// A worker's life is over, or all it ran has lapsed: its tasks wait for room again.
    pub fn remove_worker(&mut self, id: &str, why: &str) {
        let Some(worker) = self.workers.remove(id) else { return };
        log::info!(worker = id, why, runs = worker.slots.len(); "worker gone");
        self.unasked.remove(id);
        self.roster.push(record::forget_worker(id));
        for (task, slot) in worker.slots {
            self.run_gone(task, slot);
        }
    }

    /// Everything on a silent worker has lapsed by now; it may come back.
    pub fn lapse(&mut self, id: &str) {
        self.unasked.remove(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let tasks: Vec<TaskName> = worker.slots.keys().copied().collect();
        let slots: Vec<_> =
            tasks.iter().filter_map(|task| Some((*task, worker.remove(task)?))).collect();
        if !slots.is_empty() {
            log::info!(worker = id, runs = slots.len(); "leases lapsed");
        }
        for (task, slot) in slots {
            self.run_gone(task, slot);
        }
    }

    /// Workers that are silent and whose leases have run out.
    pub fn lapsed(&self, now: Instant) -> Vec<(WorkerId, bool)> {
        let silent = self.workers.values().filter(|worker| worker.misses > 0 || !worker.fenced);
        let lapsed = silent.filter(|worker| worker.lapses_at() <= now);
        lapsed.map(|worker| (worker.peer.id.clone(), worker.listed)).collect()
    }

    fn run_gone(&mut self, name: TaskName, slot: Slot) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let saves = entry.step(name.step).is_some_and(|step| step.checkpointing);
        let Some(task) = entry.task(name) else { return };
        task.runs = task.runs.saturating_sub(1);
        if saves && !slot.checkpoint.is_empty() {
            task.checkpoint = slot.checkpoint;
        }
        self.requeue(name);
    }

    /// A machine's upkeep has begun.
    pub fn upkeep_begun(&mut self, wave: u64, machine: &str) {
        let begun = self.begun.entry(wave).or_default();
        begun.insert(machine.to_owned());
        let machines: Vec<MachineId> = begun.iter().cloned().collect();
        self.roster.push(record::wave(wave, &machines));
    }

    /// A wave is over.
    pub fn wave_over(&mut self, wave: u64) {
        if self.begun.remove(&wave).is_some() {
            self.roster.push(record::forget_wave(wave));
        }
    }

    // What workers tell.

    /// Takes in the answer to a look that was sent at `sent`.
    pub fn on_look(&mut self, id: &str, sent: Instant, now: Instant, seen: Seen) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.clock = Some((seen.clock, now));
        worker.misses = 0;
        if worker.noted_silent {
            worker.noted_silent = false;
            worker.reopening = true;
            self.roster.push(record::worker(id, &worker.known()));
        }
        if !worker.fenced {
            worker.fenced = true;
            worker.rest_until = now;
        }
        if let Some(machine) = worker.entry.machine.clone() {
            self.end_other_lives(&machine, id);
        }
        self.unasked.remove(id);
        for end in &seen.ended {
            self.on_end(id, end, now);
        }
        self.adopt(id, &seen.running, now);
        self.drop_missing(id, sent, &seen.running);
        if self.unasked.is_empty() {
            self.clear_inherited();
        }
    }

    /// What an earlier scheduler may have started on workers that have not been asked.
    pub fn doubt(&self) -> Doubt {
        let mut doubt = Doubt::default();
        for id in &self.unasked {
            match (self.silent_with.get(id), self.workers.get(id)) {
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
        for entry in self.jobs.values_mut() {
            entry.inherited = false;
        }
    }

    fn on_end(&mut self, id: &str, end: &End, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if end.number <= worker.processed {
            return;
        }
        worker.processed = end.number;
        let slot = match worker.slots.get(&end.task) {
            Some(slot) if slot.run == end.run => worker.remove(&end.task),
            _ => None,
        };
        self.count_failure(id, end.outcome, now);
        let Some(entry) = self.jobs.get_mut(&end.task.job) else { return };
        let lasts = entry.step(end.task.step).is_some_and(|step| step.long_running);
        let saves = entry.step(end.task.step).is_some_and(|step| step.checkpointing);
        let gang = entry.step(end.task.step).is_some_and(|step| step.gang);
        let guess = entry.step(end.task.step).map_or(0, |step| step.estimate_ms);
        let guess = Duration::from_millis(guess);
        let queue = entry.accepted.queue.clone();
        let limit = entry.accepted.max_attempts.max(1);
        entry.open_time(end.task.time);
        entry.begun = true;
        let Some(task) = entry.task(end.task) else { return };
        if let Some(slot) = &slot {
            task.runs = task.runs.saturating_sub(1);
            if end.outcome == Outcome::Done && !lasts && slot.checkpoint.is_empty() {
                self.demand.ran(&queue, guess, now.saturating_duration_since(slot.since));
            }
        }
        task.last_run = task.last_run.max(end.run);
        if saves && !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.outcome {
            Outcome::Done if !lasts => self.on_done(end.task, gang),
            Outcome::Failed => {
                if !task.avoid.iter().any(|other| other == id) {
                    task.avoid.push(id.to_owned());
                }
                if !lasts && !task.failed.contains(&end.run) {
                    task.failed.push(end.run);
                    let failed = task.failed.len() as u32;
                    self.dirty.insert(end.task.job);
                    log::info!(task = end.task.to_string().as_str(), run = end.run, worker = id, failed, limit; "task failed");
                    if failed >= limit && self.jobs[&end.task.job].is_active() {
                        self.end_job(end.task.job, JobState::Failed);
                    }
                }
            }
            _ => {}
        }
        self.requeue(end.task);
    }

    fn count_failure(&mut self, id: &str, outcome: Outcome, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match outcome {
            Outcome::Done => worker.failures = 0,
            Outcome::Failed => {
                worker.failures += 1;
                if worker.failures >= FAILURES_IN_A_ROW {
                    worker.rest_until = now + REST_FAILING;
                    log::warn!(worker = id, failures = worker.failures; "worker fails everything, rests");
                }
            }
            _ => {}
        }
    }

    fn on_done(&mut self, name: TaskName, gang: bool) {
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let Some(run) = entry.step_run(name.time, name.step) else { return };
        let members: Vec<u32> =
            if gang { (0..run.tasks.len() as u32).collect() } else { vec![name.index] };
        for index in members {
            let task = &mut run.tasks[index as usize];
            run.left -= usize::from(!task.done);
            task.done = true;
            run.waiting.remove(&index);
        }
        let step_done = run.left == 0;
        let is_done = entry.is_done();
        self.dirty.insert(name.job);
        // Other copies of the task, or the rest of a gang that is done as a whole, end as well.
        self.stop_where(|other| {
            let same_step = (other.job, other.time, other.step) == (name.job, name.time, name.step);
            same_step && !gang && other.index == name.index
        });
        if step_done {
            self.open_steps(name.job, name.time);
        }
        if is_done && self.jobs[&name.job].is_active() {
            self.end_job(name.job, JobState::Succeeded);
        }
    }

    /// Matches what a worker says it runs with what it should run.
    fn adopt(&mut self, id: &str, running: &[Running], now: Instant) {
        for told in running {
            let Some(worker) = self.workers.get_mut(id) else { return };
            match worker.slots.get_mut(&told.task) {
                Some(slot) if slot.run == told.run => refresh(slot, told, now),
                Some(_) => {
                    // The slot is for a later run, so this one must end first.
                    let peer = worker.peer.clone();
                    self.outbox.push(Order::Stop { peer, task: told.task, run: told.run });
                }
                None => self.adopt_unknown(id, told, now),
            }
        }
    }

    /// A run ordered by an earlier scheduler: it goes on if its task needs it, else it is stopped.
    fn adopt_unknown(&mut self, id: &str, told: &Running, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let peer = worker.peer.clone();
        let mut wanted = !self.jobs.contains_key(&told.task.job);
        let mut room = worker::Room::default();
        let mut kind = Kind::Works;
        if let Some(entry) = self.jobs.get_mut(&told.task.job) {
            let active = entry.is_active();
            entry.open_time(told.task.time);
            entry.begun = true;
            if let Some(step) = entry.step(told.task.step) {
                room = Entry::room_of(step);
                kind = Entry::kind_of(step);
            }
            if let Some(task) = entry.task(told.task) {
                task.last_run = task.last_run.max(told.run);
                wanted = active && !task.done && task.runs == 0;
                task.runs += 1;
            }
            if wanted && let Some(run) = entry.step_run(told.task.time, told.task.step) {
                run.waiting.remove(&told.task.index);
            }
        }
        let phase = if wanted { Phase::Live(now) } else { Phase::Stopping(None) };
        let mut slot = Slot::new(told.run, phase, room, kind, now);
        refresh(&mut slot, told, now);
        log::info!(task = told.task.to_string().as_str(), run = told.run, worker = id, wanted; "unknown run found");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.insert(told.task, slot);
        }
        if !wanted {
            self.outbox.push(Order::Stop { peer, task: told.task, run: told.run });
        }
    }

    /// Removes runs that a look should have shown and did not.
    fn drop_missing(&mut self, id: &str, sent: Instant, running: &[Running]) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let shown: HashSet<(TaskName, Run)> =
            running.iter().map(|told| (told.task, told.run)).collect();
        let missing = worker.slots.iter().filter(|(task, slot)| {
            let settled = match slot.phase {
                Phase::Starting => false,
                Phase::Live(since) => since < sent,
                Phase::Stopping(since) => since.is_some_and(|since| since < sent),
            };
            settled && !shown.contains(&(**task, slot.run))
        });
        let missing: Vec<TaskName> = missing.map(|(task, _)| *task).collect();
        let slots: Vec<_> =
            missing.iter().filter_map(|task| Some((*task, worker.remove(task)?))).collect();
        for (task, slot) in slots {
            self.run_gone(task, slot);
        }
    }

    /// A look had no answer.
    pub fn on_miss(&mut self, id: &str) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.misses += 1;
        if worker.fenced && !worker.noted_silent {
            worker.noted_silent = true;
            self.roster.push(record::worker(id, &worker.known()));
        }
    }

    /// A start was taken.
    pub fn on_started(&mut self, id: &str, task: TaskName, run: Run, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(slot) = worker.slots.get_mut(&task).filter(|slot| slot.run == run) else { return };
        if slot.phase == Phase::Starting {
            slot.phase = Phase::Live(now);
        }
        if let Some(entry) = self.jobs.get_mut(&task.job)
            && !entry.begun
        {
            entry.begun = true;
            self.dirty.insert(task.job);
        }
    }

    /// A start was not taken; it is certain that it never will be.
    pub fn on_refused(
        &mut self,
        id: &str,
        task: TaskName,
        run: Run,
        why: Option<Refusal>,
        now: Instant,
    ) {
        if why == Some(Refusal::Fenced) {
            self.fenced = true;
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let rest = match why {
            Some(Refusal::NoRoom) => REST_FULL,
            Some(Refusal::Unhealthy) => REST_UNHEALTHY,
            Some(Refusal::OtherLife) | None => REST_UNANSWERED,
            _ => Duration::ZERO,
        };
        worker.rest_until = worker.rest_until.max(now + rest);
        if worker.slots.get(&task).is_some_and(|slot| slot.run == run)
            && let Some(slot) = worker.remove(&task)
        {
            self.run_gone(task, slot);
        }
        if why == Some(Refusal::OtherLife) {
            self.remove_worker(id, "another life answers at its address");
        }
    }

    /// A start had no answer: it may have been taken, or may be taken later. The run is stopped,
    /// so that the worker refuses it from then on, before the task is started elsewhere.
    pub fn on_unanswered(&mut self, id: &str, task: TaskName, run: Run, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.rest_until = worker.rest_until.max(now + REST_UNANSWERED);
        if worker.slots.get(&task).is_some_and(|slot| slot.run == run) {
            self.stop_run(id, task);
        }
    }

    /// A worker has taken a stop.
    pub fn on_stopped(&mut self, id: &str, task: TaskName, run: Run, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(slot) = worker.slots.get_mut(&task).filter(|slot| slot.run == run) {
            slot.phase = Phase::Stopping(Some(now));
        }
    }

    // What the store is to know.

    /// Whether [`Cell::take_flush`] would return anything.
    pub fn needs_flush(&self) -> bool {
        let unsaid = |worker: &Worker| worker.processed > worker.durable;
        !self.dirty.is_empty() || !self.roster.is_empty() || self.workers.values().any(unsaid)
    }

    /// Takes the changes since the last time.
    pub fn take_flush(&mut self) -> Flush {
        let mut flush = Flush { records: std::mem::take(&mut self.roster), ..Flush::default() };
        for id in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            flush.records.push(record::progress(id, &entry.progress()));
            if entry.end.is_some() {
                flush.ended.push(id);
            }
        }
        for worker in self.workers.values().filter(|worker| worker.reopening) {
            flush.reopened.push(worker.peer.id.clone());
        }
        for worker in self.workers.values().filter(|worker| worker.processed > worker.durable) {
            flush.processed.push((worker.peer.id.clone(), worker.processed));
        }
        flush
    }

    /// The store knows of these changes.
    pub fn on_flushed(&mut self, flush: &Flush) {
        for id in &flush.ended {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.end_is_durable = true;
            }
        }
        for id in &flush.reopened {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.reopening = false;
            }
        }
        for (id, processed) in &flush.processed {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.durable = worker.durable.max(*processed);
            }
        }
    }
}

/// The next run number of a task: above all used before, and above all that an earlier scheduler
/// used, since tokens rise with each scheduler faster than runs within one.
pub fn next_run(task: &Task, token: Token) -> Run {
    (task.last_run + 1).max(token)
}

fn refresh(slot: &mut Slot, told: &Running, now: Instant) {
    if slot.phase == Phase::Starting {
        slot.phase = Phase::Live(now);
    }
    if told.percent != slot.percent {
        slot.percent = told.percent;
        slot.moved_at = now;
    }
    slot.figure = told.figure;
    if !told.checkpoint.is_empty() {
        slot.checkpoint.clone_from(&told.checkpoint);
    }
}
