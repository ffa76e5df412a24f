//! A service under load, some of whose jobs bring down the workers that start them, played in steps of 10 ms
//! without a network: 12 workers of 32 cores; jobs of two steps of six tasks, 0.64 s on 2.3 cores each; a worker
//! that crashed is back under another id after 2 s. What is judged is what callers of the other jobs get.

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
use crate::batch::addr;
use crate::batch::published::published;

const WORKERS: usize = 12;
/// Ids of jobs that last begin here.
const LASTING: JobId = 1_000_000;
/// Length of a step of the play, in milliseconds.
const STEP_MS: u64 = 10;
/// How long a task runs.
const RUN_MS: u64 = 640;
/// How long after a crash the next life on the box has answered.
const BACK_MS: u64 = 2_150;
/// Time between two looks at a worker of which nothing is heard.
const LOOK_MS: u64 = 1_200;
/// By when a job should be done after it was handed in: 600 ms and 1.6 times its longest chain.
const AIM_MS: u64 = 600 + 2 * RUN_MS * 16 / 10;

/// What is played.
#[derive(Clone, Copy)]
pub struct Load {
    /// Jobs that are handed in a second.
    pub jobs_per_s: f64,
    /// Share of the jobs with a task that brings down its workers.
    pub poison: f64,
    /// Share of all workers that crash each 3 s whatever they run.
    pub crashing: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Jobs without a poison task that end by themselves.
    pub innocent: u32,
    /// Those that were done in time.
    pub in_time: u32,
    /// Those that were done.
    pub done: u32,
    /// Those that were given up.
    pub given_up: u32,
    /// Jobs that last, none of which has a poison task.
    pub lasting: u32,
    /// Those that were given up.
    pub lasting_given_up: u32,
    /// Jobs with a poison task.
    pub poison: u32,
    /// Those that were not given up.
    pub poison_left: u32,
    /// Workers that poison tasks brought down.
    pub crashes: u32,
    /// Most starts of one poison task.
    pub most_starts: u32,
}

impl Outcomes {
    /// Adds what came of another play.
    pub fn add(&mut self, other: &Outcomes) {
        self.innocent += other.innocent;
        self.in_time += other.in_time;
        self.done += other.done;
        self.given_up += other.given_up;
        self.lasting += other.lasting;
        self.lasting_given_up += other.lasting_given_up;
        self.poison += other.poison;
        self.poison_left += other.poison_left;
        self.crashes += other.crashes;
        self.most_starts = self.most_starts.max(other.most_starts);
    }
}

struct Life {
    machine: usize,
    looked_ms: u64,
    last_end: u64,
    /// When each run is over.
    runs: BTreeMap<TaskName, (Run, u64)>,
}

struct Play {
    cell: Cell,
    begun: Instant,
    ms: u64,
    lives: BTreeMap<String, Life>,
    /// Boxes whose worker is gone, and when the next one answers.
    back: Vec<(u64, usize)>,
    count: u32,
    /// The poison task of each such job, and its starts.
    poison: BTreeMap<JobId, (TaskName, u32)>,
    handed_in: BTreeMap<JobId, u64>,
    done_at: BTreeMap<JobId, u64>,
    lasting: Vec<JobId>,
    crashes: u32,
}

impl Play {
    fn new() -> Play {
        let mut play = Play {
            cell: Cell::new(10),
            begun: clock::now(),
            ms: 0,
            lives: BTreeMap::new(),
            back: Vec::new(),
            count: 0,
            poison: BTreeMap::new(),
            handed_in: BTreeMap::new(),
            done_at: BTreeMap::new(),
            lasting: Vec::new(),
            crashes: 0,
        };
        (0..WORKERS).for_each(|machine| play.live(machine));
        play
    }

    fn now(&self) -> Instant {
        self.begun + Duration::from_millis(self.ms)
    }

    fn live(&mut self, machine: usize) {
        self.count += 1;
        let id = format!("w{}", self.count);
        let entry = Entry {
            service: "work".to_owned(),
            address: addr(),
            hall: "hall-1".to_owned(),
            draining: false,
            capacity: Resources { cpu: 32_000, memory_mb: 64_000, gpu: 0 },
            labels: Vec::new(),
            leaves_in_ms: None,
            machine: Some(format!("m{machine}")),
            birth_ms: None,
        };
        self.cell.discover(
            Peer { incarnation: id.clone().into(), addr: addr() },
            entry,
            self.now(),
        );
        let life = Life { machine, looked_ms: self.ms, last_end: 0, runs: BTreeMap::new() };
        self.lives.insert(id.clone(), life);
        self.look(&id);
    }

    /// A worker answers a look: what is over has ended.
    fn look(&mut self, id: &str) {
        let (ms, now) = (self.ms, self.now());
        let Some(life) = self.lives.get_mut(id) else { return };
        life.looked_ms = ms;
        let over: Vec<(TaskName, Run)> = life
            .runs
            .iter()
            .filter(|(_, (_, until))| *until <= ms)
            .map(|(task, (run, _))| (*task, *run))
            .collect();
        let mut ended = Vec::new();
        for (task, run) in over {
            life.runs.remove(&task);
            life.last_end += 1;
            let (number, checkpoint) = (life.last_end, String::new());
            ended.push(End { number, task, run, outcome: Outcome::Done, checkpoint });
        }
        let running = life.runs.iter().map(|(task, (run, _))| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        });
        let seen =
            PollResponse { clock: 1_000 + ms, running: running.collect(), ended, birth_ms: None };
        self.cell.on_poll(&id.into(), now - Duration::from_millis(2), now, seen);
    }

    fn crash(&mut self, id: &str) {
        let Some(life) = self.lives.remove(id) else { return };
        self.cell.on_failed_poll(&id.into());
        let now = self.now();
        // A look is under way at every worker, so the connection breaks as it crashes.
        if let Some(mut worker) = self.cell.workers.get_mut(&id.into()) {
            worker.first_failed_at = Some(now);
        }
        self.back.push((self.ms + BACK_MS, life.machine));
    }

    fn hand_in(&mut self, id: JobId, poison: Option<TaskName>) {
        let step = Step { count: 6, cpu: 2_300, estimate_ms: RUN_MS, ..Step::default() };
        let steps = vec![step.clone(), Step { after: vec![0], ..step }];
        self.handed_in.insert(id, self.ms);
        self.poison.extend(poison.map(|task| (id, (task, 0))));
        self.admit(id, steps);
    }

    fn hand_in_for(&mut self, id: JobId, account: Option<AccountId>) {
        let step = Step { count: 6, cpu: 2_300, estimate_ms: RUN_MS, ..Step::default() };
        let steps = vec![step.clone(), Step { after: vec![0], ..step }];
        self.handed_in.insert(id, self.ms);
        let at = Duration::from_millis(self.ms);
        self.cell.admit(id, Accepted { max_attempts: 3, at, account, ..accepted(steps) }, None);
    }

    fn hand_in_lasting(&mut self, id: JobId) {
        let step = Step { count: 6, cpu: 1_000, long_running: true, ..Step::default() };
        self.lasting.push(id);
        self.admit(id, vec![step]);
    }

    fn admit(&mut self, id: JobId, steps: Vec<Step>) {
        let at = Duration::from_millis(self.ms);
        let accepted = Accepted { max_attempts: 3, at, ..accepted(steps) };
        self.cell.admit(id, accepted, None);
    }

    /// Orders go out; returns the workers that poison tasks were started on.
    fn order(&mut self) -> Vec<String> {
        self.cell.place_ready(self.now(), Duration::from_millis(self.ms));
        let mut doomed = Vec::new();
        for order in std::mem::take(&mut self.cell.outbox) {
            match order {
                Order::Start { peer, task, run, .. } => {
                    let Some(life) = self.lives.get_mut(&peer.incarnation.id) else { continue };
                    let lasts = self.lasting.contains(&task.job);
                    let until = if lasts { u64::MAX } else { self.ms + RUN_MS };
                    life.runs.insert(task, (run, until));
                    self.cell.on_started(
                        &peer.incarnation,
                        task,
                        run,
                        self.begun + Duration::from_millis(self.ms),
                    );
                    if let Some((poison, starts)) = self.poison.get_mut(&task.job)
                        && *poison == task
                    {
                        *starts += 1;
                        doomed.push(peer.incarnation.to_string());
                    }
                }
                Order::Stop { peer, task, run } => {
                    if let Some(life) = self.lives.get_mut(&peer.incarnation.id) {
                        life.runs.remove(&task);
                    }
                    self.cell.on_stopped(&peer.incarnation, task, run, self.now());
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::Watch { .. } => {}
            }
        }
        doomed
    }

    fn step(&mut self, doomed: Vec<String>) -> Vec<String> {
        self.ms += STEP_MS;
        for id in doomed {
            self.crashes += u32::from(self.lives.contains_key(&id));
            self.crash(&id);
        }
        let (now, later): (Vec<_>, Vec<_>) =
            self.back.drain(..).partition(|(at, _)| *at <= self.ms);
        self.back = later;
        now.into_iter().for_each(|(_, machine)| self.live(machine));
        let ms = self.ms;
        let due = self.lives.iter().filter(|(_, life)| {
            ms - life.looked_ms >= LOOK_MS || life.runs.values().any(|(_, until)| *until <= ms)
        });
        let due: Vec<String> = due.map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.look(id));
        let flush = self.cell.take_flush();
        self.cell.on_flushed(&flush);
        let doomed = self.order();
        for (id, entry) in &self.cell.jobs {
            if entry.end == Some(JobState::Succeeded) {
                self.done_at.entry(*id).or_insert(ms);
            }
        }
        doomed
    }

    fn outcomes(&self) -> Outcomes {
        let mut outcomes = Outcomes { crashes: self.crashes, ..Outcomes::default() };
        for (id, handed_in) in &self.handed_in {
            if let Some((_, starts)) = self.poison.get(id) {
                outcomes.poison += 1;
                outcomes.most_starts = outcomes.most_starts.max(*starts);
                outcomes.poison_left += u32::from(!self.is_given_up(*id));
                continue;
            }
            outcomes.innocent += 1;
            outcomes.given_up += u32::from(self.is_given_up(*id));
            if let Some(done) = self.done_at.get(id) {
                outcomes.done += 1;
                outcomes.in_time += u32::from(done - handed_in <= AIM_MS);
            }
        }
        outcomes.lasting = self.lasting.len() as u32;
        let given_up = self.lasting.iter().filter(|id| self.is_given_up(**id));
        outcomes.lasting_given_up = given_up.count() as u32;
        outcomes
    }

    fn is_given_up(&self, id: JobId) -> bool {
        self.cell.jobs[&id].end == Some(JobState::Failed)
    }
}

/// Plays a load for 10 s, and lets it run out for 20 s.
///
/// ```
/// use spokelift_testutils::batch::play::Load;
/// use spokelift_testutils::batch::play::play;
/// let outcomes = play(Load { jobs_per_s: 2.0, poison: 0.0, crashing: 0.0 }, 1);
/// assert_eq!(outcomes.done, outcomes.innocent);
/// ```
pub fn play(load: Load, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut play = Play::new();
    run(&mut play, load, &mut rng)
}

/// The same beside so many jobs that last.
pub fn play_beside_lasting(load: Load, lasting: u64, seed: u64) -> Outcomes {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut play = Play::new();
    (0..lasting).for_each(|job| play.hand_in_lasting(LASTING + job));
    run(&mut play, load, &mut rng)
}

fn name(account: usize) -> String {
    format!("account-{account}")
}

/// What an account got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Jobs that it handed in.
    pub jobs: u32,
    /// Those that were done in time.
    pub in_time: u32,
}

/// Plays accounts of one weight that hand in so many jobs a second each, for 10 s, and lets that run out for 10 s; what
/// each of them got. The arrivals of an account do not depend on the others. The workers bear about 21 jobs a second.
pub fn play_accounts(jobs_per_s: &[f64], seed: u64) -> Vec<Served> {
    play_owned(jobs_per_s, seed, |account| Some(name(account).into()))
}

/// The same where the jobs of the last account are nobody's.
pub fn play_beside_nobody(jobs_per_s: &[f64], seed: u64) -> Vec<Served> {
    let last = jobs_per_s.len() - 1;
    play_owned(jobs_per_s, seed, |account| (account != last).then(|| name(account).into()))
}

fn play_owned(
    jobs_per_s: &[f64],
    seed: u64,
    owner: impl Fn(usize) -> Option<AccountId>,
) -> Vec<Served> {
    let mut play = Play::new();
    let accounts =
        (0..jobs_per_s.len()).map(|account| json!({ "name": name(account), "weight": 10 }));
    let accounts: Vec<Value> = accounts.collect();
    let config =
        Config::decode(&published(1, &[], accounts.into())).expect("the configuration is sound");
    play.cell.set_quotas(&Arc::new(config));
    let seeds = (0..jobs_per_s.len() as u64).map(|account| seed * 1_000 + account);
    let mut rngs: Vec<StdRng> = seeds.map(StdRng::seed_from_u64).collect();
    let (mut owners, mut job) = (BTreeMap::new(), 0);
    while play.ms < 20_000 {
        let arrives = play.ms < 10_000;
        for (account, rng) in rngs.iter_mut().enumerate() {
            if arrives && rng.random::<f64>() < jobs_per_s[account] * STEP_MS as f64 / 1_000.0 {
                job += 1;
                owners.insert(job, account);
                play.hand_in_for(job, owner(account));
            }
        }
        play.step(Vec::new());
    }
    let mut served = vec![Served::default(); jobs_per_s.len()];
    for (job, account) in owners {
        let (done, handed_in) = (play.done_at.get(&job), play.handed_in[&job]);
        served[account].jobs += 1;
        served[account].in_time += u32::from(done.is_some_and(|done| done - handed_in <= AIM_MS));
    }
    served
}

fn run(play: &mut Play, load: Load, rng: &mut StdRng) -> Outcomes {
    let (mut doomed, mut job) = (Vec::new(), 0);
    while play.ms < 30_000 {
        let arrives =
            play.ms < 10_000 && rng.random::<f64>() < load.jobs_per_s * STEP_MS as f64 / 1_000.0;
        if arrives {
            job += 1;
            let step = rng.random_range(0..2);
            let poison = TaskName { job, repetition: 0, step, index: 0 };
            play.hand_in(job, (rng.random::<f64>() < load.poison).then_some(poison));
        }
        if play.ms < 21_000 && play.ms % 3_000 == 2_000 {
            let hit: Vec<String> = play
                .lives
                .keys()
                .filter(|_| rng.random::<f64>() < load.crashing)
                .cloned()
                .collect();
            hit.iter().for_each(|id| play.crash(id));
        }
        doomed = play.step(doomed);
    }
    play.outcomes()
}
