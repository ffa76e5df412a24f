//! Views of batch work on the operators' API: services, queues, workers, jobs, waves and shards.

pub mod account;
pub mod boxes;
pub mod history;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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

use crate::batch::box_state::Counts;
use crate::batch::cell::Cell;
use crate::batch::crash::Crash;
use crate::batch::crash::is_abandoned;
use crate::batch::job::Entry;
use crate::batch::place::fit::count_unfit_workers;
use crate::batch::pool::load::loads;
use crate::batch::record::TaskPosition;
use crate::batch::run_time::Summary;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// Path prefix of the views on the operators' port.
pub const PATH: &str = "/v1/batch/";

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Number of schedulable workers.
    pub workers: u64,
    /// Cores of these workers.
    pub has: f64,
    /// Cores in use.
    pub used: f64,
    /// Cores that waiting tasks request.
    pub waiting: f64,
    /// Cores that the service should have.
    pub wanted: f64,
    /// Number of its workers in evacuated halls.
    #[serde(default)]
    pub evacuated: u64,
    /// These halls.
    #[serde(default)]
    pub evacuated_halls: BTreeSet<String>,
    /// Number of its boxes that are not in service, and of those on their way to it, by state.
    #[serde(default, skip_serializing_if = "Counts::is_empty")]
    pub boxes: Counts,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Jobs of which no task has started.
    pub pending: u32,
    /// Jobs of which some task has started.
    pub running: u32,
    /// Jobs that have ended, with any outcome.
    pub ended: u32,
    /// What is known of the run times of its steps.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub run_times: Vec<RunTime>,
}

/// What is known of the run time of a step. Ratios count from the clients' estimates, or are run
/// times in seconds where they send none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunTime {
    /// Number of the step.
    pub step: u16,
    /// Ratio that a tenth of the runs do not exceed.
    pub p10: f32,
    /// Ratio that half of the runs do not exceed.
    pub p50: f32,
    /// Ratio that nine tenths of the runs do not exceed.
    pub p90: f32,
    /// Number of runs that it rests on, the older ones counting for less.
    pub weight: f32,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its id, with its birth time if it reports one.
    pub id: String,
    /// Its box.
    pub machine: String,
    /// Its service.
    pub service: String,
    /// Number of runs that may be on it.
    pub runs: usize,
    /// Free cores.
    pub free: f64,
    /// Why it takes no new tasks; `None` if it takes them.
    pub closed: Option<String>,
}

/// A job, and what it waits for.
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
    /// The state that clients see.
    pub state: JobState,
    /// Steps that are not done.
    pub steps: Vec<Step>,
    /// Tasks under which workers crashed.
    #[serde(default)]
    pub crashed: Vec<Crashed>,
    /// What the present leader decided about it, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<history::Decision>,
    /// Number of decisions that are left out of the history, before the latest ones.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left_out: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// A task under which workers crashed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crashed {
    /// Its repetition, step and index.
    pub place: TaskPosition,
    /// Its crashes: the workers, and what each crash is evidence of.
    pub crashes: Vec<Crash>,
    /// Whether the job has failed because of this task.
    pub given_up: bool,
}

/// A step that is not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Its repetition and number.
    pub place: (u32, u16),
    /// Tasks that are not done.
    pub left: usize,
    /// Tasks that wait for resources.
    pub waiting: usize,
    /// Its possible runs: worker, phase, and seconds since it was ordered or found.
    pub runs: Vec<(String, String, f64)>,
    /// Number of workers of the service by the reason why they cannot run its first waiting task.
    pub held_by: BTreeMap<String, usize>,
    /// Whether it waits for steps it depends on, or for its scheduled time.
    pub waits_for_turn: bool,
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Number of boxes in the wave.
    pub machines: usize,
    /// Number of boxes whose maintenance has started.
    pub begun: usize,
    /// Maximum number of boxes that may be down at once.
    pub max_down: usize,
    /// Whether all boxes had their maintenance and the operator was notified.
    pub over: bool,
}

/// A shard: the workers that one node dispatches to for the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Number of the shard; 0 is that of the scheduler's own node.
    pub number: u64,
    /// Address of the node for other nodes; `None` for the scheduler's own.
    #[serde(rename = "carrier")]
    pub dispatcher: Option<SocketAddr>,
    /// Number of its workers.
    pub workers: usize,
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submitted {
    /// Its id.
    pub id: String,
}

/// Result of a request to cancel a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The state in which the job has ended; `None` if the request is stored but no node that knows
    /// the job could be reached.
    pub state: Option<JobState>,
}

fn cores(thousandths: impl Into<u64>) -> f64 {
    thousandths.into() as f64 / 1_000.0
}

/// The job that a path names; `None` if it names something else.
pub fn job_in(path: &str) -> Option<JobId> {
    parse_id(path.strip_prefix(PATH)?.strip_prefix("jobs/")?)
}

/// Renders the view that `path` names as JSON; `None` if there is no such view.
pub fn render(cell: &Cell, waves: &[wave::Wave], shards: &[Shard], path: &str) -> Option<String> {
    let now = clock::now();
    let shown = match path.strip_prefix(PATH)? {
        "boxes" => serde_json::to_string(&boxes::boxes(cell, now)),
        "accounts" => serde_json::to_string(&account::accounts(cell)),
        "services" => serde_json::to_string(&services(cell, now)),
        "shares" => serde_json::to_string(shards),
        "queues" => serde_json::to_string(&queues(cell)),
        "waves" => serde_json::to_string(&self::waves(cell, waves)),
        "workers" => serde_json::to_string(&workers(cell, now)),
        _ => serde_json::to_string(&job(cell, job_in(path)?, now)?),
    };
    Some(shown.expect("views serialize to JSON"))
}

/// The services.
pub fn services(cell: &Cell, now: Instant) -> Vec<Service> {
    let mut loads = loads(cell, now);
    let mut evacuated: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for worker in cell.workers.values().filter(|worker| worker.hall_evacuated) {
        evacuated.entry(&worker.entry.service).or_default().push(&worker.entry.hall);
        loads.entry(worker.entry.service.clone()).or_default();
    }
    let mut boxes = cell.box_states.counts_by_service();
    for service in boxes.keys() {
        loads.entry((*service).to_owned()).or_default();
    }
    let shown = loads.into_iter().map(|(name, load)| {
        let boxes = boxes.remove(name.as_str()).unwrap_or_default();
        let halls = evacuated.remove(name.as_str()).unwrap_or_default();
        Service {
            name,
            workers: load.workers,
            has: cores(load.capacity),
            used: cores(load.used),
            waiting: cores(load.waiting),
            wanted: cores(load.wanted()),
            evacuated: halls.len() as u64,
            evacuated_halls: halls.into_iter().map(str::to_owned).collect(),
            boxes,
        }
    });
    shown.collect()
}

/// The queues that have jobs.
pub fn queues(cell: &Cell) -> Vec<Queue> {
    let mut queues: BTreeMap<&str, Queue> = BTreeMap::new();
    for entry in cell.jobs.values() {
        let name = entry.accepted.queue.as_str();
        let queue = queues.entry(name).or_default();
        if queue.name.is_empty() {
            queue.name = name.to_owned();
            queue.run_times = cell.run_times.summaries(name).into_iter().map(run_time).collect();
        }
        match entry.visible_state() {
            JobState::Pending => queue.pending += 1,
            JobState::Running => queue.running += 1,
            _ => queue.ended += 1,
        }
    }
    queues.into_values().collect()
}

fn run_time(Summary { step, ratios: [p10, p50, p90], weight }: Summary) -> RunTime {
    RunTime { step, p10, p50, p90, weight }
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
    let unknown = cell.invalid_entries.iter().filter(|(id, _)| cell.workers.current(id).is_none());
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

/// The waves that operators have requested.
pub fn waves(cell: &Cell, requested: &[wave::Wave]) -> Vec<Wave> {
    let shown = requested.iter().map(|wave| {
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

/// A job and what it waits for; `None` if it is unknown.
pub fn job(cell: &Cell, id: JobId, now: Instant) -> Option<Job> {
    let entry = cell.jobs.get(&id)?;
    let mut steps = Vec::new();
    for (number, repetition) in entry.repetitions.iter().enumerate() {
        for (step, run) in repetition.steps.iter().enumerate().filter(|(_, run)| run.left > 0) {
            let place = (number as u32, step as u16);
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
    let (history, left_out) = history::of_job(cell, id, now);
    let id = format!("{id:016x}");
    Some(Job { id, queue, service, account, state, steps, crashed, history, left_out })
}

fn crashed(entry: &Entry) -> Vec<Crashed> {
    let has_failed = entry.end == Some(JobState::Failed);
    let shown = entry.crashed_tasks().map(|(place, task)| {
        let is_long_running = entry.step(place.1).is_some_and(|step| step.long_running);
        let given_up = has_failed && is_abandoned(&task.crashes, is_long_running);
        Crashed { place, crashes: task.crashes.clone(), given_up }
    });
    shown.collect()
}

fn runs(cell: &Cell, job: JobId, place: (u32, u16), now: Instant) -> Vec<(String, String, f64)> {
    let mut runs = Vec::new();
    for worker in cell.workers.values() {
        for (task, allocation) in &worker.allocations {
            if task.job == job && (task.repetition, task.step) == place {
                let phase = match allocation.phase {
                    Phase::Starting => "starting",
                    Phase::Live(_) => "running",
                    Phase::Stopping(_) => "stopping",
                };
                let since: Duration = now.saturating_duration_since(allocation.ordered_at);
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
