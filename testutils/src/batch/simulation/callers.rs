//! Callers that hand in jobs at a node which may refuse them by the leader's outlook, and that come
//! back after a refusal.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::outlook::Arrival;
use spokelift_lib::batch::outlook::Outlook;
use spokelift_lib::batch::outlook::arrival::work_of;
use spokelift_lib::batch::outlook::known::Known;
use spokelift_lib::batch::outlook::measure;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::state::id::AccountId;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;

use crate::batch::accepted;
use crate::batch::simulation::OBJECTIVE_MS;
use crate::batch::simulation::RUN_MS;
use crate::batch::simulation::STEP_MS;
use crate::batch::simulation::Simulation;

/// Time between two outlooks, in milliseconds.
const OUTLOOK_INTERVAL_MS: u64 = 250;
/// Delay after which a caller that does not obey Retry-After comes back, in milliseconds.
const IMPATIENT_MS: u64 = 500;
/// Number of times that a caller comes back.
const RETRIES: u32 = 4;
/// Incarnation of the leader that the node believes in.
const LEADER: u64 = 7;
/// Time in which jobs arrive, and time after which the simulation ends, in milliseconds.
const ARRIVALS_MS: u64 = 10_000;
const END_MS: u64 = 30_000;

/// One kind of callers.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Their account; `None` for callers without one.
    pub account: Option<&'static str>,
    /// Jobs that they hand in per second.
    pub jobs_per_s: f64,
}

/// How nodes and callers behave.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A job is refused beyond this many of its objectives; 0 for never.
    pub refuse_after: u32,
    /// How late the outlook reaches the node.
    pub outlook_delay: Duration,
    /// Whether the node learns that the leader has changed to one that publishes nothing.
    pub is_of_earlier_leader: bool,
    /// Whether callers obey Retry-After.
    pub obey: bool,
}

/// What became of the jobs of one kind of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fates {
    /// Jobs that were to be done.
    pub jobs: u32,
    /// Of these, those that were done within their objective of when they were first handed in.
    pub in_time: u32,
    /// Of these, those that were done within their objective of when they were accepted.
    pub in_time_once_accepted: u32,
    /// Of these, those that were done later.
    pub late: u32,
    /// Of these, those that were refused at each attempt.
    pub refused: u32,
    /// Refusals of all attempts.
    pub refusals: u32,
    /// Jobs of which a task ran although all attempts were refused.
    pub ran_though_refused: u32,
}

impl Fates {
    /// Adds what became of others.
    pub fn add(&mut self, other: &Fates) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.in_time_once_accepted += other.in_time_once_accepted;
        self.late += other.late;
        self.refused += other.refused;
        self.refusals += other.refusals;
        self.ran_though_refused += other.ran_though_refused;
    }
}

struct Attempt {
    at_ms: u64,
    id: JobId,
    kind: usize,
    number: u32,
}

struct Caller {
    id: JobId,
    kind: usize,
    first_ms: u64,
    accepted_ms: Option<u64>,
    refusals: u32,
}

struct Play {
    simulation: Simulation,
    rules: Rules,
    known: Known,
    /// Outlooks on their way, with when they arrive.
    on_the_way: VecDeque<(u64, Outlook)>,
    outlooks: u64,
    attempts: Vec<Attempt>,
    callers: Vec<Caller>,
}

impl Play {
    fn new(kinds: &[Callers], rules: Rules) -> Play {
        let mut simulation = Simulation::new();
        let accounts = kinds.iter().filter_map(|kind| kind.account);
        let accounts: Vec<_> =
            accounts.map(|name| json!({ "name": name, "weight": 10, "apiKeys": [name] })).collect();
        let queue = json!({
            "name": "q", "host": "h", "pathPrefix": "/q/", "service": "work",
            "targetLatencyMs": 600, "stretch": 1.6,
        });
        let config = json!({ "version": 1, "routes": [queue], "tenants": accounts });
        let config = Config::decode(config.to_string().as_bytes()).expect("it is sound");
        simulation.cell.set_quotas(&Arc::new(config));
        Play {
            simulation,
            rules,
            known: Known::default(),
            on_the_way: VecDeque::new(),
            outlooks: 0,
            attempts: Vec::new(),
            callers: Vec::new(),
        }
    }

    fn ms(&self) -> u64 {
        self.simulation.elapsed_ms
    }

    /// Makes an outlook if it is time to, and hands those that have arrived to the node.
    fn pass_outlooks(&mut self) {
        let (ms, now, refuse_after) = (self.ms(), self.simulation.now(), self.rules.refuse_after);
        if ms % OUTLOOK_INTERVAL_MS == 0 && refuse_after > 0 {
            let wall = Duration::from_millis(ms);
            let services = measure::services(&self.simulation.cell, None, refuse_after, now, wall);
            self.outlooks += 1;
            let (number, delay) = (self.outlooks, self.rules.outlook_delay);
            let age_ms = delay.as_millis() as u64;
            let outlook = Outlook { leader: 10, incarnation: LEADER, number, age_ms, services };
            self.on_the_way.push_back((ms + age_ms, outlook));
        }
        while self.on_the_way.front().is_some_and(|(at, _)| *at <= ms) {
            let (_, outlook) = self.on_the_way.pop_front().expect("there is a first one");
            self.known.apply(outlook, now);
        }
    }

    /// When the node tells the caller of a job to come back; `None` if it accepts the job.
    fn refuse(&mut self, id: JobId, job: &Accepted) -> Option<Duration> {
        let (now, multiple) = (self.simulation.now(), self.rules.refuse_after);
        let leader = if self.rules.is_of_earlier_leader { LEADER + 1 } else { LEADER };
        let (outlook, _) = self.known.fresh(Some(leader), now)?;
        let service = outlook.services.get(&job.service)?.clone();
        let arrival = Arrival::of(job)?;
        service.time_until_served(&arrival, multiple)?;
        let wall = Duration::from_millis(self.ms());
        let cell = &self.simulation.cell;
        let is_over_rate = measure::confirm_refusal(cell, id, job.account.as_ref(), wall)?;
        let until = service.time_until_served(&Arrival { is_over_rate, ..arrival }, multiple)?;
        Some(self.known.plan_return(&job.service, &service, work_of(job), until, 1, now))
    }

    fn hand_in(&mut self, attempt: &Attempt, account: Option<AccountId>) {
        let step = Step { count: 6, cpu: 2_300, estimate_ms: RUN_MS, ..Step::default() };
        let steps = vec![step.clone(), Step { after: vec![0], ..step }];
        let at = Duration::from_millis(self.ms());
        let job = Accepted { max_attempts: 3, at, account, ..accepted(steps) };
        let refused = self.refuse(attempt.id, &job);
        let ms = self.ms();
        let index = self.callers.iter().position(|caller| caller.id == attempt.id);
        let caller = &mut self.callers[index.expect("each attempt is of a caller")];
        let Some(delay) = refused else {
            caller.accepted_ms = Some(ms);
            self.simulation.submitted_ms.insert(attempt.id, ms);
            self.simulation.cell.admit(attempt.id, job, None);
            return;
        };
        caller.refusals += 1;
        if attempt.number < RETRIES {
            let delay_ms = if self.rules.obey { delay.as_millis() as u64 } else { IMPATIENT_MS };
            let at_ms = ms + delay_ms.max(STEP_MS);
            self.attempts.push(Attempt { at_ms, number: attempt.number + 1, ..*attempt });
        }
    }

    fn fates(&self, kinds: usize) -> Vec<Fates> {
        let mut fates = vec![Fates::default(); kinds];
        for caller in &self.callers {
            let fate = &mut fates[caller.kind];
            let done = self.simulation.done_ms.get(&caller.id);
            fate.jobs += 1;
            fate.refusals += caller.refusals;
            match (caller.accepted_ms, done) {
                (Some(accepted_ms), Some(done)) => {
                    fate.in_time += u32::from(done - caller.first_ms <= OBJECTIVE_MS);
                    fate.in_time_once_accepted += u32::from(done - accepted_ms <= OBJECTIVE_MS);
                    fate.late += u32::from(done - caller.first_ms > OBJECTIVE_MS);
                }
                (Some(_), None) => fate.late += 1,
                (None, _) => {
                    fate.refused += 1;
                    let has_run = self.simulation.cell.jobs.contains_key(&caller.id);
                    fate.ran_though_refused += u32::from(has_run);
                }
            }
        }
        fates
    }
}

/// Simulates kinds of callers for 10 s of arrivals and 20 s in which the remaining work is done. The
/// workers can do about 21 jobs per second.
pub fn simulate_callers(kinds: &[Callers], rules: Rules, seed: u64) -> Vec<Fates> {
    let mut play = Play::new(kinds, rules);
    let seeds = (0..kinds.len() as u64).map(|kind| seed * 1_000 + kind);
    let mut rngs: Vec<StdRng> = seeds.map(StdRng::seed_from_u64).collect();
    while play.ms() < END_MS {
        let ms = play.ms();
        play.pass_outlooks();
        for (number, (kind, rng)) in kinds.iter().zip(&mut rngs).enumerate() {
            let chance = kind.jobs_per_s * STEP_MS as f64 / 1_000.0;
            if ms < ARRIVALS_MS && rng.random::<f64>() < chance {
                let id = play.callers.len() as JobId + 1;
                let caller =
                    Caller { id, kind: number, first_ms: ms, accepted_ms: None, refusals: 0 };
                play.callers.push(caller);
                play.attempts.push(Attempt { at_ms: ms, id, kind: number, number: 0 });
            }
        }
        let attempts = std::mem::take(&mut play.attempts);
        let (due, later): (Vec<_>, Vec<_>) =
            attempts.into_iter().partition(|attempt| attempt.at_ms <= ms);
        play.attempts = later;
        for attempt in due {
            play.hand_in(&attempt, kinds[attempt.kind].account.map(AccountId::from));
        }
        play.simulation.step(Vec::new());
    }
    play.fates(kinds.len())
}
