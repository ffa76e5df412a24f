//! Simulates a service under load without a network, in steps of 10 ms. Some jobs have a poison
//! task, which crashes the workers that start it. There are 12 workers of 32 cores; a job has two
//! steps of six tasks, each 0.64 s on 2.3 cores; a crashed worker is back under another id after 2
//! s. The results count how the other jobs fared.

pub mod callers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::state::id::AccountId;
use spokelift_lib::transport::clock;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;

use crate::batch::accepted;
use crate::batch::published::published_config;
use crate::batch::unused_addr;

const WORKERS: usize = 12;
/// First id of the long-running jobs.
const FIRST_LONG_RUNNING_ID: JobId = 1_000_000;
/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 10;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 640;
/// Time from a crash until the next incarnation on the box has answered, in milliseconds.
const RESTART_MS: u64 = 2_150;
/// Time between two polls of a worker without completed tasks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_200;
/// When slow workers are slow, in milliseconds.
const SLOW_FROM_MS: u64 = 3_000;
const SLOW_UNTIL_MS: u64 = 8_000;
/// Time within which a job should complete: 600 ms and 1.6 times its critical path.
const OBJECTIVE_MS: u64 = 600 + 2 * RUN_MS * 16 / 10;

/// The simulated load.
#[derive(Clone, Copy)]
pub struct Load {
    /// Jobs submitted per second.
    pub jobs_per_s: f64,
    /// Fraction of jobs that have a poison task.
    pub poison_fraction: f64,
    /// Fraction of all workers that crash every 3 s, whatever they run.
    pub crash_fraction: f64,
}

/// How jobs and workers differ from what the clients say and from each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variation {
    /// Each job's estimates are wrong by up to this factor, both ways; 0 for right ones.
    pub estimate_factor: f64,
    /// Fraction of the workers that are slow from second 3 to 8.
    pub slow_fraction: f64,
    /// How many times as long everything takes there.
    pub slow_factor: u64,
}

/// Results of one or more simulations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Finite jobs without a poison task.
    pub normal: u32,
    /// Of these, those that completed in time.
    pub in_time: u32,
    /// Of these, those that completed, in no more than three times the time.
    pub of_use: u32,
    /// Of these, those that completed.
    pub done: u32,
    /// Of these, those that were abandoned.
    pub abandoned: u32,
    /// Long-running jobs, none of which has a poison task.
    pub long_running: u32,
    /// Of these, those that were abandoned.
    pub long_running_abandoned: u32,
    /// Jobs with a poison task.
    pub poison: u32,
    /// Of these, those that were not abandoned.
    pub poison_not_abandoned: u32,
    /// Workers that poison tasks crashed.
    pub crashes: u32,
    /// Highest number of starts of one poison task.
    pub max_starts: u32,
}

impl Outcomes {
    /// Adds the results of another simulation.
    pub fn add(&mut self, other: &Outcomes) {
        self.normal += other.normal;
        self.in_time += other.in_time;
        self.of_use += other.of_use;
        self.done += other.done;
        self.abandoned += other.abandoned;
        self.long_running += other.long_running;
        self.long_running_abandoned += other.long_running_abandoned;
        self.poison += other.poison;
        self.poison_not_abandoned += other.poison_not_abandoned;
        self.crashes += other.crashes;
        self.max_starts = self.max_starts.max(other.max_starts);
    }
}

struct Incarnation {
    machine: usize,
    polled_ms: u64,
    last_end: u64,
    /// Each run with the times at which it starts and completes, in milliseconds.
    runs: BTreeMap<TaskName, (Run, u64, u64)>,
}

struct Simulation {
    cell: Cell,
    started_at: Instant,
    elapsed_ms: u64,
    incarnations: BTreeMap<String, Incarnation>,
    /// Boxes without a worker, with the time at which the next one answers, in milliseconds.
    restarts: Vec<(u64, usize)>,
    incarnation_count: u32,
    /// The poison task of each job that has one, and how often it was started.
    poison_tasks: BTreeMap<JobId, (TaskName, u32)>,
    submitted_ms: BTreeMap<JobId, u64>,
    done_ms: BTreeMap<JobId, u64>,
    long_running: Vec<JobId>,
    crashes: u32,
    variation: Variation,
}

impl Simulation {
    fn new() -> Simulation {
        let mut simulation = Simulation {
            cell: Cell::new(10),
            started_at: clock::now(),
            elapsed_ms: 0,
            incarnations: BTreeMap::new(),
            restarts: Vec::new(),
            incarnation_count: 0,
            poison_tasks: BTreeMap::new(),
            submitted_ms: BTreeMap::new(),
            done_ms: BTreeMap::new(),
            long_running: Vec::new(),
            crashes: 0,
            variation: Variation::default(),
        };
        (0..WORKERS).for_each(|machine| simulation.start_worker(machine));
        simulation
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.elapsed_ms)
    }

    fn start_worker(&mut self, machine: usize) {
        self.incarnation_count += 1;
        let id = format!("w{}", self.incarnation_count);
        let entry = Entry {
            service: "work".to_owned(),
            address: unused_addr(),
            hall: "hall-1".to_owned(),
            draining: false,
            capacity: Resources { cpu: 32_000, memory_mb: 64_000, gpu: 0 },
            labels: Vec::new(),
            leaves_in_ms: None,
            machine: Some(format!("m{machine}")),
            birth_ms: None,
        };
        self.cell.discover(
            Peer { incarnation: id.clone().into(), addr: unused_addr() },
            entry,
            self.now(),
        );
        let incarnation =
            Incarnation { machine, polled_ms: self.elapsed_ms, last_end: 0, runs: BTreeMap::new() };
        self.incarnations.insert(id.clone(), incarnation);
        self.poll(&id);
    }

    /// Answers a poll of the worker: runs that have completed are reported as ended.
    fn poll(&mut self, id: &str) {
        let (ms, now) = (self.elapsed_ms, self.now());
        let Some(incarnation) = self.incarnations.get_mut(id) else { return };
        incarnation.polled_ms = ms;
        let completed: Vec<(TaskName, Run)> = incarnation
            .runs
            .iter()
            .filter(|(_, (_, _, until))| *until <= ms)
            .map(|(task, (run, _, _))| (*task, *run))
            .collect();
        let mut ended = Vec::new();
        for (task, run) in completed {
            incarnation.runs.remove(&task);
            incarnation.last_end += 1;
            let (number, checkpoint) = (incarnation.last_end, String::new());
            ended.push(End { number, task, run, outcome: Outcome::Done, checkpoint });
        }
        let running = incarnation.runs.iter().map(|(task, (run, from, until))| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: ((ms - from) * 100 / until.saturating_sub(*from).max(1)) as u32,
            figure: 0,
        });
        let response =
            PollResponse { clock: 1_000 + ms, running: running.collect(), ended, birth_ms: None };
        self.cell.on_poll(&id.into(), now - Duration::from_millis(2), now, response);
    }

    fn crash(&mut self, id: &str) {
        let Some(incarnation) = self.incarnations.remove(id) else { return };
        self.cell.on_failed_poll(&id.into());
        let now = self.now();
        // A poll is in flight at every worker, so the connection breaks as it crashes.
        if let Some(mut worker) = self.cell.workers.get_mut(&id.into()) {
            worker.first_failed_at = Some(now);
        }
        self.restarts.push((self.elapsed_ms + RESTART_MS, incarnation.machine));
    }

    fn submit(&mut self, id: JobId, poison: Option<TaskName>, estimate_ms: u64) {
        let step = Step { count: 6, cpu: 2_300, estimate_ms, ..Step::default() };
        let steps = vec![step.clone(), Step { after: vec![0], ..step }];
        self.submitted_ms.insert(id, self.elapsed_ms);
        self.poison_tasks.extend(poison.map(|task| (id, (task, 0))));
        self.admit(id, steps);
    }

    fn submit_for(&mut self, id: JobId, account: Option<AccountId>) {
        let step = Step { count: 6, cpu: 2_300, estimate_ms: RUN_MS, ..Step::default() };
        let steps = vec![step.clone(), Step { after: vec![0], ..step }];
        self.submitted_ms.insert(id, self.elapsed_ms);
        let at = Duration::from_millis(self.elapsed_ms);
        self.cell.admit(id, Accepted { max_attempts: 3, at, account, ..accepted(steps) }, None);
    }

    fn submit_long_running(&mut self, id: JobId) {
        let step = Step { count: 6, cpu: 1_000, long_running: true, ..Step::default() };
        self.long_running.push(id);
        self.admit(id, vec![step]);
    }

    fn admit(&mut self, id: JobId, steps: Vec<Step>) {
        let at = Duration::from_millis(self.elapsed_ms);
        let accepted = Accepted { max_attempts: 3, at, ..accepted(steps) };
        self.cell.admit(id, accepted, None);
    }

    /// Places tasks and executes the cell's orders; returns the workers on which a poison task was
    /// started.
    fn execute_orders(&mut self) -> Vec<String> {
        self.cell.place_ready(self.now(), Duration::from_millis(self.elapsed_ms));
        let mut crashing = Vec::new();
        for order in std::mem::take(&mut self.cell.outbox) {
            match order {
                Order::Start { peer, task, run, .. } => {
                    let Some(incarnation) = self.incarnations.get_mut(&peer.incarnation.id) else {
                        continue;
                    };
                    let is_long_running = self.long_running.contains(&task.job);
                    let run_ms = match self.variation {
                        Variation { slow_fraction, slow_factor, .. }
                            if (SLOW_FROM_MS..SLOW_UNTIL_MS).contains(&self.elapsed_ms)
                                && (incarnation.machine as f64)
                                    < slow_fraction * WORKERS as f64 =>
                        {
                            RUN_MS * slow_factor
                        }
                        _ => RUN_MS,
                    };
                    let until = if is_long_running { u64::MAX } else { self.elapsed_ms + run_ms };
                    incarnation.runs.insert(task, (run, self.elapsed_ms, until));
                    self.cell.on_started(
                        &peer.incarnation,
                        task,
                        run,
                        self.started_at + Duration::from_millis(self.elapsed_ms),
                    );
                    if let Some((poison, starts)) = self.poison_tasks.get_mut(&task.job)
                        && *poison == task
                    {
                        *starts += 1;
                        crashing.push(peer.incarnation.to_string());
                    }
                }
                Order::Stop { peer, task, run } => {
                    if let Some(incarnation) = self.incarnations.get_mut(&peer.incarnation.id) {
                        incarnation.runs.remove(&task);
                    }
                    self.cell.on_stopped(&peer.incarnation, task, run, self.now());
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::SetPollRate { .. } => {}
            }
        }
        crashing
    }

    fn step(&mut self, crashing: Vec<String>) -> Vec<String> {
        self.elapsed_ms += STEP_MS;
        for id in crashing {
            self.crashes += u32::from(self.incarnations.contains_key(&id));
            self.crash(&id);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            self.restarts.drain(..).partition(|(at, _)| *at <= self.elapsed_ms);
        self.restarts = later;
        due.into_iter().for_each(|(_, machine)| self.start_worker(machine));
        let ms = self.elapsed_ms;
        let due = self.incarnations.iter().filter(|(_, incarnation)| {
            ms - incarnation.polled_ms >= POLL_INTERVAL_MS
                || incarnation.runs.values().any(|(_, _, until)| *until <= ms)
        });
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.poll(id));
        let flush = self.cell.take_flush();
        self.cell.on_flushed(&flush);
        let crashing = self.execute_orders();
        for (id, entry) in &self.cell.jobs {
            if entry.end == Some(JobState::Succeeded) {
                self.done_ms.entry(*id).or_insert(ms);
            }
        }
        crashing
    }

    fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes { crashes: self.crashes, ..Outcomes::default() };
        for (id, submitted) in &self.submitted_ms {
            if let Some((_, starts)) = self.poison_tasks.get(id) {
                outcomes.poison += 1;
                outcomes.max_starts = outcomes.max_starts.max(*starts);
                outcomes.poison_not_abandoned += u32::from(!self.is_abandoned(*id));
                continue;
            }
            outcomes.normal += 1;
            outcomes.abandoned += u32::from(self.is_abandoned(*id));
            if let Some(done) = self.done_ms.get(id) {
                outcomes.done += 1;
                outcomes.in_time += u32::from(done - submitted <= OBJECTIVE_MS);
                outcomes.of_use += u32::from(done - submitted <= 3 * OBJECTIVE_MS);
            }
        }
        outcomes.long_running = self.long_running.len() as u32;
        let abandoned = self.long_running.iter().filter(|id| self.is_abandoned(**id));
        outcomes.long_running_abandoned = abandoned.count() as u32;
        outcomes
    }

    fn is_abandoned(&self, id: JobId) -> bool {
        self.cell.jobs[&id].end == Some(JobState::Failed)
    }
}

/// Simulates 10 s of arrivals and 20 s in which the remaining work completes.
///
/// ```
/// use spokelift_testutils::batch::simulation::Load;
/// use spokelift_testutils::batch::simulation::simulate;
/// let load = Load { jobs_per_s: 2.0, poison_fraction: 0.0, crash_fraction: 0.0 };
/// let outcomes = simulate(load, 1);
/// assert_eq!(outcomes.done, outcomes.normal);
/// ```
pub fn simulate(load: Load, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    run_load(&mut simulation, load, &mut rng)
}

/// Like [`simulate`], with wrong estimates and slow workers.
pub fn simulate_varied(load: Load, variation: Variation, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    simulation.variation = variation;
    run_load(&mut simulation, load, &mut rng)
}

/// Like [`simulate`], with `long_running` long-running jobs submitted first.
pub fn simulate_with_long_running(load: Load, long_running: u64, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut simulation = Simulation::new();
    (0..long_running).for_each(|job| simulation.submit_long_running(FIRST_LONG_RUNNING_ID + job));
    run_load(&mut simulation, load, &mut rng)
}

fn account_name(account: usize) -> String {
    format!("account-{account}")
}

/// Results of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Jobs that it submitted.
    pub jobs: u32,
    /// Of these, those that completed in time.
    pub in_time: u32,
}

/// Simulates accounts of equal weight that submit the given numbers of jobs per second for 10 s,
/// and 10 s more in which the remaining work completes; returns the results of each. The arrivals
/// of an account do not depend on the others. The workers can run about 21 jobs per second.
pub fn simulate_accounts(jobs_per_s: &[f64], seed: u64) -> Vec<Served> {
    simulate_owned(jobs_per_s, seed, |account| Some(account_name(account).into()))
}

/// Like [`simulate_accounts`], but the jobs of the last entry belong to no account.
pub fn simulate_with_unowned(jobs_per_s: &[f64], seed: u64) -> Vec<Served> {
    let last = jobs_per_s.len() - 1;
    simulate_owned(jobs_per_s, seed, |account| {
        (account != last).then(|| account_name(account).into())
    })
}

fn simulate_owned(
    jobs_per_s: &[f64],
    seed: u64,
    owner: impl Fn(usize) -> Option<AccountId>,
) -> Vec<Served> {
    let mut simulation = Simulation::new();
    let accounts =
        (0..jobs_per_s.len()).map(|account| json!({ "name": account_name(account), "weight": 10 }));
    let accounts: Vec<Value> = accounts.collect();
    let config = Config::decode(&published_config(1, &[], accounts.into()))
        .expect("the configuration is sound");
    simulation.cell.set_quotas(&Arc::new(config));
    let seeds = (0..jobs_per_s.len() as u64).map(|account| seed * 1_000 + account);
    let mut rngs: Vec<StdRng> = seeds.map(StdRng::seed_from_u64).collect();
    let (mut owners, mut job) = (BTreeMap::new(), 0);
    while simulation.elapsed_ms < 20_000 {
        let arrives = simulation.elapsed_ms < 10_000;
        for (account, rng) in rngs.iter_mut().enumerate() {
            if arrives && rng.random::<f64>() < jobs_per_s[account] * STEP_MS as f64 / 1_000.0 {
                job += 1;
                owners.insert(job, account);
                simulation.submit_for(job, owner(account));
            }
        }
        simulation.step(Vec::new());
    }
    let mut served = vec![Served::default(); jobs_per_s.len()];
    for (job, account) in owners {
        let (done, submitted) = (simulation.done_ms.get(&job), simulation.submitted_ms[&job]);
        served[account].jobs += 1;
        served[account].in_time +=
            u32::from(done.is_some_and(|done| done - submitted <= OBJECTIVE_MS));
    }
    served
}

fn run_load(simulation: &mut Simulation, load: Load, rng: &mut StdRng) -> Outcomes {
    let (mut crashing, mut job) = (Vec::new(), 0);
    while simulation.elapsed_ms < 30_000 {
        let arrives = simulation.elapsed_ms < 10_000
            && rng.random::<f64>() < load.jobs_per_s * STEP_MS as f64 / 1_000.0;
        if arrives {
            job += 1;
            let step = rng.random_range(0..2);
            let poison = TaskName { job, repetition: 0, step, index: 0 };
            let poison = (rng.random::<f64>() < load.poison_fraction).then_some(poison);
            let factor = simulation.variation.estimate_factor;
            let wrong = if factor > 0.0 { factor.powf(rng.random_range(-1.0..1.0)) } else { 1.0 };
            simulation.submit(job, poison, (RUN_MS as f64 * wrong) as u64);
        }
        if simulation.elapsed_ms < 21_000 && simulation.elapsed_ms % 3_000 == 2_000 {
            let crashed: Vec<String> = simulation
                .incarnations
                .keys()
                .filter(|_| rng.random::<f64>() < load.crash_fraction)
                .cloned()
                .collect();
            crashed.iter().for_each(|id| simulation.crash(id));
        }
        crashing = simulation.step(crashing);
    }
    simulation.outcomes()
}
