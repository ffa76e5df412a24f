//! What operators see of batch work: services, queues, workers, and why a job waits.

pub mod account;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::job::parse_id;
use spokelift_platform::wave;

use crate::batch::cell::Cell;
use crate::batch::crash::Crash;
use crate::batch::crash::is_abandoned;
use crate::batch::job::Entry;
use crate::batch::place::fit::count_unfit_workers;
use crate::batch::pool::load::loads;
use crate::batch::record::TaskPosition;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// Path of the views on the operators' port.
pub const PATH: &str = "/v1/batch/";

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Workers that take work.
    pub workers: u64,
    /// Cores they have.
    pub has: f64,
    /// Cores that run something.
    pub used: f64,
    /// Cores that waiting tasks ask for.
    pub waiting: f64,
    /// Cores it should have.
    pub wanted: f64,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Jobs none of whose tasks has begun.
    pub pending: u32,
    /// Jobs some of whose tasks have begun.
    pub running: u32,
    /// Jobs that have ended, however.
    pub ended: u32,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its id, and when its life began, if it says so.
    pub id: String,
    /// Its machine.
    pub machine: String,
    /// Its service.
    pub service: String,
    /// Runs that may be on it.
    pub runs: usize,
    /// Cores that are left.
    pub free: f64,
    /// Why it takes nothing new, if so.
    pub closed: Option<String>,
}

/// A job, and what holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// Its queue.
    pub queue: String,
    /// Its service.
    pub service: String,
    /// The account that it belongs to, if any.
    #[serde(default)]
    pub account: Option<String>,
    /// What clients are told.
    pub state: JobState,
    /// Steps that are not done.
    pub steps: Vec<Step>,
    /// Tasks under which workers crashed.
    #[serde(default)]
    pub crashed: Vec<Crashed>,
}

/// A task under which workers crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crashed {
    /// Its repetition, step and index.
    pub place: TaskPosition,
    /// The workers, and what each crash says of the task.
    pub crashes: Vec<Crash>,
    /// The job has failed for it.
    pub given_up: bool,
}

/// A step that is not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Its repetition and number.
    pub place: (u32, u16),
    /// Tasks that are not done.
    pub left: usize,
    /// Tasks that wait for room.
    pub waiting: usize,
    /// Where its tasks may run, and since when, in seconds.
    pub runs: Vec<(String, String, f64)>,
    /// What keeps a waiting task from how many workers of the service.
    pub held_by: BTreeMap<String, usize>,
    /// Its turn has not come: steps it depends on, or its time.
    pub waits_for_turn: bool,
}

/// A wave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Machines that are due.
    pub machines: usize,
    /// Those whose upkeep has begun.
    pub begun: usize,
    /// Most machines that may be down at once.
    pub max_down: usize,
    /// All have had their upkeep, and the operator was told.
    pub over: bool,
}

/// The workers that one node looks after for the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the share; 0 is that of the scheduler's own node.
    pub number: u64,
    /// Where the node answers other nodes; none for the scheduler's own.
    #[serde(rename = "carrier")]
    pub dispatcher: Option<SocketAddr>,
    /// How many workers it looks after.
    pub workers: usize,
}

/// A job that was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submitted {
    /// Its id.
    pub id: String,
}

/// What became of a wish to cancel a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The state the job has ended in; none if the wish is kept and nobody who knows the job could
    /// be asked.
    pub state: Option<JobState>,
}

fn cores(thousandths: impl Into<u64>) -> f64 {
    thousandths.into() as f64 / 1_000.0
}

/// Shows what `path` names, as JSON; `None` if there is no such thing.
pub fn render(cell: &Cell, waves: &[wave::Wave], shares: &[Shard], path: &str) -> Option<String> {
    let now = clock::now();
    let shown = match path.strip_prefix(PATH)? {
        "accounts" => serde_json::to_string(&account::accounts(cell)),
        "services" => serde_json::to_string(&services(cell, now)),
        "shares" => serde_json::to_string(shares),
        "queues" => serde_json::to_string(&queues(cell)),
        "waves" => serde_json::to_string(&self::waves(cell, waves)),
        "workers" => serde_json::to_string(&workers(cell, now)),
        other => serde_json::to_string(&job(cell, parse_id(other.strip_prefix("jobs/")?)?, now)?),
    };
    Some(shown.expect("views can be written as JSON"))
}

/// The services.
pub fn services(cell: &Cell, now: Instant) -> Vec<Service> {
    let shown = loads(cell, now).into_iter().map(|(name, load)| Service {
        name,
        workers: load.workers,
        has: cores(load.capacity),
        used: cores(load.used),
        waiting: cores(load.waiting),
        wanted: cores(load.wanted()),
    });
    shown.collect()
}

/// The queues that have jobs.
pub fn queues(cell: &Cell) -> Vec<Queue> {
    let mut queues: BTreeMap<&str, Queue> = BTreeMap::new();
    for entry in cell.jobs.values() {
        let name = entry.accepted.queue.as_str();
        let queue = queues.entry(name).or_default();
        queue.name = name.to_owned();
        match entry.visible_state() {
            JobState::Pending => queue.pending += 1,
            JobState::Running => queue.running += 1,
            _ => queue.ended += 1,
        }
    }
    queues.into_values().collect()
}

/// The workers.
pub fn workers(cell: &Cell, now: Instant) -> Vec<Worker> {
    let mut shown: Vec<Worker> = cell
        .workers
        .values()
        .map(|worker| Worker {
            id: worker.peer.incarnation.to_string(),
            machine: worker.entry.machine.clone().unwrap_or_default(),
            service: worker.entry.service.clone(),
            runs: worker.allocations.len(),
            free: cores(worker.free.cpu),
            closed: worker.unschedulable(now).map(|why| why.to_string()),
        })
        .collect();
    let unknown = cell.unusable.iter().filter(|(id, _)| cell.workers.current(id).is_none());
    shown.extend(unknown.map(|(id, why)| Worker {
        id: id.clone(),
        machine: String::new(),
        service: String::new(),
        runs: 0,
        free: 0.0,
        closed: Some(format!("unusable entry: {why}")),
    }));
    shown.sort_by(|one, other| (&one.service, &one.id).cmp(&(&other.service, &other.id)));
    shown
}

/// The waves asked for.
pub fn waves(cell: &Cell, asked: &[wave::Wave]) -> Vec<Wave> {
    let shown = asked.iter().map(|wave| {
        let over = cell.ended_waves.contains(&wave.number);
        let begun = cell.maintenance_started.get(&wave.number).map_or(0, HashSet::len);
        Wave {
            number: wave.number,
            machines: wave.machines.len(),
            begun: if over { wave.machines.len() } else { begun },
            max_down: wave.max_down,
            over,
        }
    });
    shown.collect()
}

/// A job and what holds it.
pub fn job(cell: &Cell, id: JobId, now: Instant) -> Option<Job> {
    let entry = cell.jobs.get(&id)?;
    let mut steps = Vec::new();
    for (time, repetition) in entry.repetitions.iter().enumerate() {
        for (step, run) in repetition.steps.iter().enumerate().filter(|(_, run)| run.left > 0) {
            let place = (time as u32, step as u16);
            let waits = run.waiting.first().map(|index| TaskName {
                job: id,
                repetition: place.0,
                step: place.1,
                index: *index,
            });
            let held_by =
                waits.map(|task| count_unfit_workers(cell, task, now)).unwrap_or_default();
            let waits_for_turn = !run.open;
            let waiting = run.waiting.len();
            let runs = runs(cell, id, place, now);
            steps.push(Step { place, left: run.left, waiting, runs, held_by, waits_for_turn });
        }
    }
    let accepted = &entry.accepted;
    let (queue, service) = (accepted.queue.clone(), accepted.service.clone());
    let account = accepted.account.as_ref().map(ToString::to_string);
    let (state, crashed) = (entry.visible_state(), crashed(entry));
    Some(Job { id: format!("{id:016x}"), queue, service, account, state, steps, crashed })
}

fn crashed(entry: &Entry) -> Vec<Crashed> {
    let has_failed = entry.end == Some(JobState::Failed);
    let shown = entry.crashed_tasks().map(|(place, task)| {
        let lasts = entry.step(place.1).is_some_and(|step| step.long_running);
        let given_up = has_failed && is_abandoned(&task.crashes, lasts);
        Crashed { place, crashes: task.crashes.clone(), given_up }
    });
    shown.collect()
}

fn runs(cell: &Cell, job: JobId, place: (u32, u16), now: Instant) -> Vec<(String, String, f64)> {
    let mut runs = Vec::new();
    for worker in cell.workers.values() {
        for (task, slot) in &worker.allocations {
            if task.job == job && (task.repetition, task.step) == place {
                let phase = match slot.phase {
                    Phase::Starting => "starting",
                    Phase::Live(_) => "running",
                    Phase::Stopping(_) => "stopping",
                };
                let since: Duration = now.saturating_duration_since(slot.ordered_at);
                runs.push((
                    worker.peer.incarnation.to_string(),
                    phase.to_owned(),
                    since.as_secs_f64(),
                ));
            }
        }
    }
    runs
}
