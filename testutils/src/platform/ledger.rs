//! What all workers of a site saw: the judge of whether a task ran twice.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// What all workers of a site saw: the judge of whether a task ran twice.
#[derive(Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<LedgerInner>>,
}

#[derive(Default)]
struct LedgerInner {
    running: HashMap<String, u32>,
    done: HashMap<String, u32>,
    starts: HashMap<String, u32>,
    faults: Vec<String>,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, LedgerInner> {
        self.inner.lock().expect("no holder panics")
    }

    /// A run of a task has begun.
    pub(super) fn started(&self, task: &str, run: u64) {
        let mut ledger = self.lock();
        *ledger.starts.entry(task.to_owned()).or_default() += 1;
        let running = ledger.running.entry(task.to_owned()).or_default();
        *running += 1;
        if *running > 1 {
            ledger.faults.push(format!("two runs of {task} at once, the later one is {run}"));
        }
        if ledger.done.contains_key(task) {
            ledger.faults.push(format!("{task} was done and is run {run} again"));
        }
    }

    /// A run of a task is over.
    pub(super) fn ended(&self, task: &str, done: bool) {
        let mut ledger = self.lock();
        if let Some(running) = ledger.running.get_mut(task) {
            *running = running.saturating_sub(1);
        }
        if done {
            *ledger.done.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// Tasks run twice, or again after they were done.
    pub fn faults(&self) -> Vec<String> {
        self.lock().faults.clone()
    }

    /// How many tasks are done.
    pub fn done(&self) -> usize {
        self.lock().done.len()
    }

    /// How often tasks were started.
    pub fn starts(&self) -> u32 {
        self.lock().starts.values().sum()
    }

    /// Tasks of a job that run now.
    pub fn running(&self, job: &str) -> u32 {
        let ledger = self.lock();
        let of_job = ledger.running.iter().filter(|(task, _)| task.starts_with(job));
        of_job.map(|(_, running)| *running).sum()
    }
}
