//! Records what workers and callers observed, independently of the product, and checks that it
//! violates no guarantee.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use spokelift_lib::state::id::BoxId;
use spokelift_lib::state::id::ServiceKey;

/// Id that a caller gives a request, and that its answer must carry.
pub type Token = u64;

/// How long a box may still receive requests after it was ordered to drain.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Time after which a dead box counts against its pool's budget, since daemons should have detected
/// its death by then.
pub const DETECTION_TIME: Duration = Duration::from_secs(4);

/// The outcome of a request, as its caller received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer with the caller's own token.
    Answered,
    /// A complete answer with another token.
    Crossed,
    /// The answer said that the request was not run.
    NotRun,
    /// The answer said that the request may have been run.
    Unknown,
    /// The connection broke without an answer, and the test had killed the daemon.
    Killed,
    /// The connection broke without an answer, or the answer was invalid.
    Nothing,
}

/// A pool whose budget the ledger checks.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its services.
    pub services: Vec<ServiceKey>,
    /// Largest number of boxes that may be out of service.
    pub max_out: usize,
}

/// The ledger of a run. Clones share the same ledger.
#[derive(Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    pools: Vec<Pool>,
    calls: BTreeMap<Token, Call>,
    boxes: BTreeMap<BoxId, BoxState>,
    cut_by_planned_stop: u64,
    work_after_leaving: u64,
    budget_breaches: u64,
    /// Each breach of a budget with its time and description.
    breach_reports: Vec<(Instant, String)>,
    boxes_in_two_pools: u64,
    over_slots: u64,
    moves: u64,
    out_time: Duration,
}

#[derive(Default)]
struct Call {
    repeatable: bool,
    /// The times and boxes of its runs.
    runs: Vec<(Instant, BoxId)>,
    outcome: Option<Outcome>,
    outcome_at: Option<Instant>,
    /// Further observations of the caller.
    notes: Vec<String>,
}

impl Call {
    /// The guarantee that the request's outcome violates, if any.
    fn violation(&self) -> Option<&'static str> {
        let ran = !self.runs.is_empty();
        match self.outcome {
            _ if !self.repeatable && self.runs.len() > 1 => Some("doubled"),
            Some(Outcome::Answered) if !ran => Some("lost: answered, though no worker ran it"),
            Some(Outcome::Crossed) => Some("crossed"),
            Some(Outcome::NotRun) if ran => Some("told not run, though it ran"),
            Some(Outcome::Nothing) | None => Some("lost: no outcome"),
            _ => None,
        }
    }
}

#[derive(Default)]
struct BoxState {
    pool: Option<usize>,
    out_since: Option<Instant>,
    draining_since: Option<Instant>,
    dead_since: Option<Instant>,
    /// Whether it was ordered to run no jobs and does not serve again yet. It is then moving to
    /// another pool and does not count as out of service in either: a box that has never served
    /// in a pool cannot be missing there.
    is_in_transit: bool,
    inflight: BTreeSet<Token>,
}

/// The counts at the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests sent by callers.
    pub requests: u64,
    /// Complete answers.
    pub answered: u64,
    /// Requests whose answer was *not run*.
    pub refused_not_run: u64,
    /// Requests whose answer was *unknown*, or that were cut off by the kill of a daemon.
    pub unknown: u64,
    /// Requests without any outcome, or answered although no worker ran them.
    pub lost: u64,
    /// Requests that are not repeatable and ran more than once.
    pub doubled: u64,
    /// Requests that got the answer of another one.
    pub crossed: u64,
    /// Requests that were answered *not run* and yet ran.
    pub false_not_run: u64,
    /// Requests that were running on a box when it rebooted on command.
    pub cut_by_planned_stop: u64,
    /// Times that a box was ordered to drain although its pool had no budget left.
    pub budget_breaches: u64,
    /// Times that a box was given jobs of more than one pool.
    pub boxes_in_two_pools: u64,
    /// Requests that a box received more than two seconds after it was ordered to drain.
    pub work_after_leaving: u64,
    /// Requests that a box received while all of its slots were in use.
    pub over_slots: u64,
    /// Moves of boxes to another pool.
    pub moves: u64,
    /// Total time that boxes were out of service on command, in seconds.
    pub buffer_cost_box_seconds: f64,
}

impl Counts {
    /// Names of the counts that must be zero and are not.
    pub fn violations(&self) -> Vec<&'static str> {
        let must_be_zero = [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("crossed", self.crossed),
            ("false_not_run", self.false_not_run),
            ("cut_by_planned_stop", self.cut_by_planned_stop),
            ("budget_breaches", self.budget_breaches),
            ("boxes_in_two_pools", self.boxes_in_two_pools),
            ("work_after_leaving", self.work_after_leaving),
            ("over_slots", self.over_slots),
        ];
        let violated = must_be_zero.into_iter().filter(|(_, count)| *count > 0);
        violated.map(|(name, _)| name).collect()
    }
}

impl Ledger {
    /// An empty ledger that checks the budgets of these pools.
    pub fn new(pools: Vec<Pool>) -> Ledger {
        let inner = Inner { pools, ..Inner::default() };
        Ledger { inner: Arc::new(Mutex::new(inner)) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the lock")
    }

    /// Changes the budget of a pool.
    pub fn set_max_out(&self, pool: &str, max_out: usize) {
        let mut inner = self.inner();
        let pool = inner.pools.iter_mut().find(|candidate| candidate.name == pool);
        pool.expect("the ledger was made with this pool").max_out = max_out;
    }

    /// The budget of a pool.
    pub fn max_out(&self, pool: &str) -> usize {
        let inner = self.inner();
        let pool = inner.pools.iter().find(|candidate| candidate.name == pool);
        pool.expect("the ledger was made with this pool").max_out
    }

    /// Records that a caller sends a request.
    pub fn record_sent(&self, token: Token, repeatable: bool) {
        let mut inner = self.inner();
        inner.calls.entry(token).or_default().repeatable = repeatable;
    }

    /// Records the outcome that a caller received.
    pub fn record_outcome(&self, token: Token, outcome: Outcome) {
        let mut inner = self.inner();
        let call = inner.calls.entry(token).or_default();
        call.outcome = Some(outcome);
        call.outcome_at = Some(Instant::now());
    }

    /// Adds an observation of a caller, which [`Ledger::describe_violations`] shows.
    pub fn add_note(&self, token: Token, note: String) {
        self.inner().calls.entry(token).or_default().notes.push(note);
    }

    /// One line for each time that a box was ordered to drain although its pool had no budget left.
    /// Times are relative to `since`.
    pub fn describe_breaches(&self, since: Instant) -> Vec<String> {
        let inner = self.inner();
        let lines = inner.breach_reports.iter().map(|(at, line)| {
            format!("at {} ms: {line}", at.saturating_duration_since(since).as_millis())
        });
        lines.collect()
    }

    /// One line for each request that was lost, doubled, crossed or falsely reported as not run:
    /// its outcome, where it ran, and the caller's observations. Times are relative to `since`.
    pub fn describe_violations(&self, since: Instant) -> Vec<String> {
        let ms = |at: Instant| at.saturating_duration_since(since).as_millis();
        let inner = self.inner();
        let violating =
            inner.calls.iter().filter_map(|(token, call)| Some((token, call, call.violation()?)));
        let lines = violating.map(|(token, call, violation)| {
            let runs: Vec<String> = call
                .runs
                .iter()
                .map(|(at, target)| format!("{target} at {} ms", ms(*at)))
                .collect();
            let outcome_at = call.outcome_at.map(ms);
            format!(
                "request {token}: {violation}; outcome {:?} at {outcome_at:?} ms; ran on {runs:?}; {}",
                call.outcome,
                call.notes.join("; ")
            )
        });
        lines.collect()
    }

    /// Records that a worker starts to run a request.
    pub fn record_started(&self, target: &BoxId, token: Token) {
        let mut inner = self.inner();
        let run = (Instant::now(), target.clone());
        inner.calls.entry(token).or_default().runs.push(run);
        let state = inner.boxes.entry(target.clone()).or_default();
        state.inflight.insert(token);
        let late = state.draining_since.is_some_and(|since| since.elapsed() > DRAIN_GRACE);
        inner.work_after_leaving += u64::from(late);
    }

    /// Records that a worker has run a request, or that the caller's connection has ended.
    pub fn record_ended(&self, target: &BoxId, token: Token) {
        let mut inner = self.inner();
        inner.boxes.entry(target.clone()).or_default().inflight.remove(&token);
    }

    /// Records a request that came while all slots of its box were in use.
    pub fn record_over_slots(&self) {
        self.inner().over_slots += 1;
    }

    /// Records that a worker was ordered to run these jobs.
    pub fn record_jobs(&self, target: &BoxId, jobs: &[ServiceKey]) {
        let mut inner = self.inner();
        let pools = inner.pools_with(jobs);
        inner.boxes_in_two_pools += u64::from(pools.len() > 1);
        let state = inner.boxes.entry(target.clone()).or_default();
        // A draining box that has received new jobs does not serve them yet.
        state.is_in_transit =
            jobs.is_empty() || state.is_in_transit && state.draining_since.is_some();
        let Some(pool) = pools.first().copied() else {
            return;
        };
        let moved = state.pool.is_some_and(|before| before != pool);
        state.pool = Some(pool);
        inner.moves += u64::from(moved);
    }

    /// Records that a worker was ordered to drain.
    pub fn record_draining(&self, target: &BoxId) {
        let mut inner = self.inner();
        let state = inner.boxes.entry(target.clone()).or_default();
        if state.draining_since.is_some() {
            return;
        }
        state.draining_since = Some(Instant::now());
        state.out_since = Some(Instant::now());
        let pool = state.pool;
        let breach = pool.is_some_and(|pool| inner.count_out(pool) > inner.pools[pool].max_out);
        inner.budget_breaches += u64::from(breach);
        if let Some(pool) = pool.filter(|_| breach) {
            let line = inner.describe_breach(target, pool);
            inner.breach_reports.push((Instant::now(), line));
        }
    }

    /// Records that a worker was ordered to serve again.
    pub fn record_resumed(&self, target: &BoxId) {
        let mut inner = self.inner();
        let state = inner.boxes.entry(target.clone()).or_default();
        state.draining_since = None;
        state.is_in_transit = false;
        let out = state.out_since.take().map(|since| since.elapsed());
        inner.out_time += out.unwrap_or_default();
    }

    /// Records that a worker reboots on command.
    pub fn record_reboot(&self, target: &BoxId) {
        let mut inner = self.inner();
        let state = inner.boxes.entry(target.clone()).or_default();
        let cut = std::mem::take(&mut state.inflight).len() as u64;
        inner.cut_by_planned_stop += cut;
    }

    /// Records that a worker died.
    pub fn record_death(&self, target: &BoxId) {
        let mut inner = self.inner();
        let state = inner.boxes.entry(target.clone()).or_default();
        state.inflight.clear();
        state.dead_since = Some(Instant::now());
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        let inner = self.inner();
        let mut counts = Counts {
            cut_by_planned_stop: inner.cut_by_planned_stop,
            budget_breaches: inner.budget_breaches,
            boxes_in_two_pools: inner.boxes_in_two_pools,
            work_after_leaving: inner.work_after_leaving,
            over_slots: inner.over_slots,
            moves: inner.moves,
            buffer_cost_box_seconds: inner.out_time.as_secs_f64(),
            ..Counts::default()
        };
        for call in inner.calls.values() {
            counts.add_call(call);
        }
        counts
    }
}

impl Counts {
    fn add_call(&mut self, call: &Call) {
        self.requests += 1;
        let run = !call.runs.is_empty();
        self.doubled += u64::from(!call.repeatable && call.runs.len() > 1);
        match call.outcome {
            Some(Outcome::Answered) => {
                self.answered += 1;
                self.lost += u64::from(!run);
            }
            Some(Outcome::Crossed) => self.crossed += 1,
            Some(Outcome::NotRun) => {
                self.refused_not_run += 1;
                self.false_not_run += u64::from(run);
            }
            Some(Outcome::Unknown | Outcome::Killed) => self.unknown += 1,
            Some(Outcome::Nothing) | None => self.lost += 1,
        }
    }
}

impl Inner {
    fn pools_with(&self, jobs: &[ServiceKey]) -> Vec<usize> {
        let pools = self.pools.iter().enumerate();
        let used = pools.filter(|(_, pool)| jobs.iter().any(|job| pool.services.contains(job)));
        used.map(|(index, _)| index).collect()
    }

    /// Describes a drain that exceeds the budget of a pool: the box that was ordered to drain, and
    /// the boxes of its pool that are out of service.
    fn describe_breach(&self, target: &BoxId, pool: usize) -> String {
        let ms = |since: Option<Instant>| since.map(|since| since.elapsed().as_millis());
        let pool_boxes = self.boxes.iter().filter(|(_, state)| state.pool == Some(pool));
        let out =
            pool_boxes.filter(|(_, state)| state.out_since.is_some() || state.dead_since.is_some());
        let out = out.map(|(name, state)| {
            let (drains, dead) = (ms(state.out_since), ms(state.dead_since));
            format!(
                "{name} told {drains:?} ms ago, dead {dead:?} ms, in transit {}",
                state.is_in_transit
            )
        });
        let (name, max_out) = (&self.pools[pool].name, self.pools[pool].max_out);
        let out: Vec<String> = out.collect();
        format!(
            "{target} is told to drain; {name} may have {max_out} boxes out of service: {}",
            out.join("; ")
        )
    }

    /// Counts the boxes of a pool that are out of service, as far as a daemon can have detected it.
    fn count_out(&self, pool: usize) -> usize {
        let is_of_pool = |state: &&BoxState| state.pool == Some(pool) && !state.is_in_transit;
        let pool_boxes = self.boxes.values().filter(is_of_pool);
        let out = pool_boxes.filter(|state| {
            let dead = state.dead_since.is_some_and(|since| since.elapsed() > DETECTION_TIME);
            dead || state.out_since.is_some()
        });
        out.count()
    }
}
