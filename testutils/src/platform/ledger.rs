//! Records the runs that the workers of a site observed and checks that no task runs twice.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

/// Records the runs that the workers of a site observed and checks that no task runs twice.
#[derive(Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<LedgerInner>>,
}

#[derive(Default)]
struct LedgerInner {
    running: HashMap<String, u32>,
    /// The time at which each task that has run before and is not running now stopped running.
    not_running_since: HashMap<String, Instant>,
    done: HashMap<String, u32>,
    /// Tasks that were done at any time, including those whose end was lost.
    ever_done: HashSet<String>,
    starts: HashMap<String, u32>,
    /// Number of worker crashes while each task was running.
    lost_with_worker: HashMap<String, u32>,
    /// Number of workers that each task has crashed, and number of its starts after the third
    /// crash.
    crashes: HashMap<String, (u32, u32)>,
    /// Task counts of each step of the submitted jobs; empty if no job was announced.
    expected_steps: HashMap<String, Vec<u32>>,
    /// The time from which no task of a job may start, by job.
    starts_forbidden_from: HashMap<String, Instant>,
    violations: Vec<String>,
    /// The account of each job that has one.
    owners: HashMap<String, String>,
    /// Largest number of running tasks per account.
    max_running: HashMap<String, u32>,
    /// The evacuated data halls, and since when.
    evacuated_halls: HashMap<String, Instant>,
    /// Number of starts in each data hall.
    starts_by_hall: HashMap<String, u32>,
}

/// Number of workers that a task has crashed when only [`MAX_STARTS_AFTER_CRASHES`] further starts
/// are allowed.
const CRASH_LIMIT: u32 = 3;
/// Number of starts of a task that are allowed after [`CRASH_LIMIT`] crashes.
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// Time after the evacuation of a data hall from which no task may start there.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);

/// The job and the step in a task's name.
fn parse_task(task: &str) -> (&str, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    let step = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
    (job, step)
}

impl LedgerInner {
    /// The guarantee that a start violates, if any, apart from the task running twice.
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
            return Some(format!("{task} was started and its job was never submitted"));
        };
        let previous_step = step.checked_sub(1)?;
        let of_step = |done: &&String| parse_task(done) == (job, previous_step);
        let done = self.ever_done.iter().filter(of_step).count();
        (done < counts[previous_step] as usize)
            .then(|| format!("{task} was started with {done} tasks of step {previous_step} done"))
    }
}

impl LedgerInner {
    /// The violation if a start, which is already counted, exceeds the quota of its account.
    fn check_quota(&self, task: &str) -> Option<String> {
        let owner = self.owners.get(parse_task(task).0)?;
        let max_running = *self.max_running.get(owner)?;
        let of_owner = |task: &&String| self.owners.get(parse_task(task).0) == Some(owner);
        let running = self.running.iter().filter(|(task, _)| of_owner(task));
        let running: u32 = running.map(|(_, running)| running).sum();
        (running > max_running)
            .then(|| format!("{task} raises the running tasks of {owner} to {running}, above its quota of {max_running}"))
    }
}

impl LedgerInner {
    /// The violation if a task starts in a hall that has been evacuated for longer than
    /// [`EVACUATION_LIMIT`].
    fn check_hall(&self, task: &str, hall: &str) -> Option<String> {
        let evacuated_for = self.evacuated_halls.get(hall)?.elapsed();
        (evacuated_for > EVACUATION_LIMIT).then(|| {
            let ms = evacuated_for.as_millis();
            format!("{task} was started in {hall}, {ms} ms after its evacuation")
        })
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, LedgerInner> {
        self.inner.lock().expect("no thread panics while it holds the lock")
    }

    /// Records that a run of a task has started in a data hall.
    pub(super) fn record_start(&self, task: &str, run: u64, hall: &str) {
        let mut ledger = self.lock();
        let violation = ledger.check_start(task);
        ledger.violations.extend(violation);
        let violation = ledger.check_hall(task, hall);
        ledger.violations.extend(violation);
        *ledger.starts_by_hall.entry(hall.to_owned()).or_default() += 1;
        *ledger.starts.entry(task.to_owned()).or_default() += 1;
        let running = ledger.running.entry(task.to_owned()).or_default();
        *running += 1;
        ledger.not_running_since.remove(task);
        let violation = ledger.check_quota(task);
        ledger.violations.extend(violation);
        let running = ledger.running.entry(task.to_owned()).or_default();
        if *running > 1 {
            ledger
                .violations
                .push(format!("two concurrent runs of {task}, the later one is {run}"));
        }
        if let Some((CRASH_LIMIT.., further_starts)) = ledger.crashes.get_mut(task) {
            *further_starts += 1;
            if *further_starts > MAX_STARTS_AFTER_CRASHES {
                let further_starts = *further_starts;
                ledger.violations.push(format!(
                    "{task} crashes its workers and was started {further_starts} more times"
                ));
            }
        }
        if ledger.done.contains_key(task) {
            ledger.violations.push(format!("{task} was done and runs again as {run}"));
        }
    }

    /// Records that a run of a task has ended.
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

    /// Records that a start exceeded the capacity of a worker that does not refuse it.
    pub(super) fn record_overcommit(&self, task: &str, used: u64, capacity: u64) {
        self.lock().violations.push(format!(
            "{task} raises the used resources of its worker to {used} of {capacity}"
        ));
    }

    /// Records that a worker crashed while it ran a task.
    pub(super) fn record_lost_with_worker(&self, task: &str) {
        *self.lock().lost_with_worker.entry(task.to_owned()).or_default() += 1;
    }

    /// The highest number of workers that crashed while they ran one task of a job.
    pub fn max_workers_lost(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.lost_with_worker.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, crashes)| *crashes).max().unwrap_or(0)
    }

    /// Records that a task has crashed its worker.
    pub(super) fn record_crash_by(&self, task: &str) {
        self.lock().crashes.entry(task.to_owned()).or_default().0 += 1;
    }

    /// Number of workers that the tasks of a job have crashed.
    pub fn crashes_by_job(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.crashes.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, (crashes, _))| crashes).sum()
    }

    /// Forgets that a task was done: no scheduler knows of its end, so it may run again.
    pub(super) fn forget_end(&self, task: &str) {
        self.lock().done.remove(task);
    }

    /// Records that a client is about to submit a job with these task counts per step, each step
    /// after the one before. From then on, jobs that were not announced must not run.
    pub fn expect_job(&self, job: &str, steps: &[u32]) {
        self.lock().expected_steps.insert(job.to_owned(), steps.to_vec());
    }

    /// Sets the account of a job.
    pub fn set_owner(&self, job: &str, account: &str) {
        self.lock().owners.insert(job.to_owned(), account.to_owned());
    }

    /// Sets the largest number of running tasks of an account.
    pub fn set_max_running(&self, account: &str, max_running: u32) {
        self.lock().max_running.insert(account.to_owned(), max_running);
    }

    /// The account of a job, if it has one.
    pub fn owner(&self, job: &str) -> Option<String> {
        self.lock().owners.get(job).cloned()
    }

    /// Forbids starts of a job's tasks from a given time on.
    pub fn forbid_starts(&self, job: &str, since: Instant) {
        self.lock().starts_forbidden_from.insert(job.to_owned(), since);
    }

    /// Records that a data hall is evacuated from now on.
    pub fn evacuate_hall(&self, hall: &str) {
        self.lock().evacuated_halls.insert(hall.to_owned(), Instant::now());
    }

    /// Records that a data hall was taken back.
    pub fn take_back_hall(&self, hall: &str) {
        self.lock().evacuated_halls.remove(hall);
    }

    /// Number of starts in a data hall.
    pub fn starts_in_hall(&self, hall: &str) -> u32 {
        self.lock().starts_by_hall.get(hall).copied().unwrap_or(0)
    }

    /// Number of starts of a job's tasks.
    pub fn starts_of(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.starts.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, starts)| starts).sum()
    }

    /// All violations so far: tasks that ran twice or again after they were done, starts before
    /// their time, after a cancellation or in an evacuated hall, exceeded quotas and capacities.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Number of tasks that are done.
    pub fn done_count(&self) -> usize {
        self.lock().done.len()
    }

    /// Number of starts of all tasks.
    pub fn start_count(&self) -> u32 {
        self.lock().starts.values().sum()
    }

    /// The task of a job that has run before and has not been running for the longest time, with
    /// that time.
    pub fn longest_not_running(&self, job: &str) -> Option<(String, Duration)> {
        let ledger = self.lock();
        let of_job = ledger.not_running_since.iter().filter(|(task, _)| task.starts_with(job));
        let not_running = of_job.map(|(task, since)| (task.clone(), since.elapsed()));
        not_running.max_by_key(|(_, time)| *time)
    }

    /// Number of running tasks of a job.
    pub fn running_tasks(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.running.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, running)| *running).sum()
    }
}
