//! What all workers of a site saw: the judge of whether a task ran twice.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// What all workers of a site saw: the judge of whether a task ran twice.
#[derive(Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<LedgerInner>>,
}

#[derive(Default)]
struct LedgerInner {
    running: HashMap<String, u32>,
    /// Since when each task that ran before is not running.
    not_running_since: HashMap<String, Instant>,
    done: HashMap<String, u32>,
    /// Tasks that were ever done, also where the end is lost.
    ever_done: HashSet<String>,
    starts: HashMap<String, u32>,
    /// How often each task was lost with its worker.
    lost_with_worker: HashMap<String, u32>,
    /// Workers that each task has brought down, and its starts after the third.
    crashes: HashMap<String, (u32, u32)>,
    /// Tasks of each step of the jobs that clients sent; empty where nobody says.
    expected_steps: HashMap<String, Vec<u32>>,
    /// Jobs of which nothing may start any more, and since when.
    starts_forbidden_from: HashMap<String, Instant>,
    violations: Vec<String>,
    /// Accounts of jobs.
    owners: HashMap<String, String>,
    /// Most tasks that accounts may have running.
    max_running: HashMap<String, u32>,
}

/// A task under which so many workers have crashed may be started [`MAX_STARTS_AFTER_CRASHES`] times more.
const CRASH_LIMIT: u32 = 3;
/// How often a task may be started after that.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// The job, the step and the rest of a task's name.
fn parse_task(task: &str) -> (&str, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    let step = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    (job, step)
}

impl LedgerInner {
    /// What was wrong with a start, beside that the task ran twice.
    fn check_start(&self, task: &str) -> Option<String> {
        let (job, step) = parse_task(task);
        if self.starts_forbidden_from.get(job).is_some_and(|since| since.elapsed() > Duration::ZERO)
        {
            return Some(format!("{task} was started after its job was cancelled"));
        }
        if self.expected_steps.is_empty() {
            return None;
        }
        let Some(counts) = self.expected_steps.get(job) else {
            return Some(format!("{task} was started and nobody sent its job"));
        };
        let before = step.checked_sub(1)?;
        let of_step = |done: &&String| parse_task(done) == (job, before);
        let done = self.ever_done.iter().filter(of_step).count();
        (done < counts[before] as usize)
            .then(|| format!("{task} was started with {done} tasks of step {before} done"))
    }
}

impl LedgerInner {
    /// Whether a start that has been counted lifts its account above its bound, and by how much.
    fn check_quota(&self, task: &str) -> Option<String> {
        let owner = self.owners.get(parse_task(task).0)?;
        let most = *self.max_running.get(owner)?;
        let of_owner = |task: &&String| self.owners.get(parse_task(task).0) == Some(owner);
        let running = self.running.iter().filter(|(task, _)| of_owner(task));
        let running: u32 = running.map(|(_, running)| running).sum();
        (running > most).then(|| format!("{task} lifts {owner} to {running} tasks of {most}"))
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, LedgerInner> {
        self.inner.lock().expect("no holder panics")
    }

    /// A run of a task has begun.
    pub(super) fn record_start(&self, task: &str, run: u64) {
        let mut ledger = self.lock();
        let fault = ledger.check_start(task);
        ledger.violations.extend(fault);
        *ledger.starts.entry(task.to_owned()).or_default() += 1;
        let running = ledger.running.entry(task.to_owned()).or_default();
        *running += 1;
        ledger.not_running_since.remove(task);
        let above = ledger.check_quota(task);
        ledger.violations.extend(above);
        let running = ledger.running.entry(task.to_owned()).or_default();
        if *running > 1 {
            ledger.violations.push(format!("two runs of {task} at once, the later one is {run}"));
        }
        if let Some((CRASH_LIMIT.., more)) = ledger.crashes.get_mut(task) {
            *more += 1;
            if *more > MAX_STARTS_AFTER_CRASHES {
                let more = *more;
                ledger.violations.push(format!(
                    "{task} brings its workers down and is started {more} times more"
                ));
            }
        }
        if ledger.done.contains_key(task) {
            ledger.violations.push(format!("{task} was done and is run {run} again"));
        }
    }

    /// A run of a task is over.
    pub(super) fn record_end(&self, task: &str, done: bool) {
        let mut ledger = self.lock();
        if let Some(running) = ledger.running.get_mut(task) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                ledger.not_running_since.insert(task.to_owned(), Instant::now());
            }
        }
        if done {
            *ledger.done.entry(task.to_owned()).or_default() += 1;
            ledger.ever_done.insert(task.to_owned());
        }
    }

    /// A start brought a worker that does not guard its room over it.
    pub(super) fn record_overcommit(&self, task: &str, used: u64, room: u64) {
        self.lock().violations.push(format!("{task} brings its worker to {used} of {room}"));
    }

    /// A task was on a worker that has crashed.
    pub(super) fn record_lost_with_worker(&self, task: &str) {
        *self.lock().lost_with_worker.entry(task.to_owned()).or_default() += 1;
    }

    /// The most workers that were lost under one task of a job.
    pub fn max_workers_lost(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.lost_with_worker.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, lost)| *lost).max().unwrap_or(0)
    }

    /// A task has brought its worker down.
    pub(super) fn record_crash_by(&self, task: &str) {
        self.lock().crashes.entry(task.to_owned()).or_default().0 += 1;
    }

    /// How many workers the tasks of a job have brought down.
    pub fn crashes_by_job(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.crashes.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, (crashes, _))| crashes).sum()
    }

    /// The end of a task that was done is known to nobody, so it may run again.
    pub(super) fn forget_end(&self, task: &str) {
        self.lock().done.remove(task);
    }

    /// A client is about to send a job with so many tasks in each step, each step after the one
    /// before. From then on, jobs that nobody has sent must not run.
    pub fn expect_job(&self, job: &str, steps: &[u32]) {
        self.lock().expected_steps.insert(job.to_owned(), steps.to_vec());
    }

    /// A job belongs to an account.
    pub fn set_owner(&self, job: &str, account: &str) {
        self.lock().owners.insert(job.to_owned(), account.to_owned());
    }

    /// An account may have no more tasks than that running.
    pub fn set_max_running(&self, account: &str, most: u32) {
        self.lock().max_running.insert(account.to_owned(), most);
    }

    /// The account of a job.
    pub fn owner(&self, job: &str) -> Option<String> {
        self.lock().owners.get(job).cloned()
    }

    /// Nothing of a job may start any more, beginning at a time.
    pub fn forbid_starts(&self, job: &str, since: Instant) {
        self.lock().starts_forbidden_from.insert(job.to_owned(), since);
    }

    /// How often tasks of a job were started.
    pub fn starts_of(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.starts.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, starts)| starts).sum()
    }

    /// Tasks run twice, or again after they were done.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// How many tasks are done.
    pub fn done_count(&self) -> usize {
        self.lock().done.len()
    }

    /// How often tasks were started.
    pub fn start_count(&self) -> u32 {
        self.lock().starts.values().sum()
    }

    /// The task of a job that ran before and has now been away for longest, and for how long.
    pub fn longest_not_running(&self, job: &str) -> Option<(String, Duration)> {
        let ledger = self.lock();
        let of_job = ledger.not_running_since.iter().filter(|(task, _)| task.starts_with(job));
        let away = of_job.map(|(task, since)| (task.clone(), since.elapsed()));
        away.max_by_key(|(_, time)| *time)
    }

    /// Tasks of a job that run now.
    pub fn running_tasks(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.running.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, running)| *running).sum()
    }
}
