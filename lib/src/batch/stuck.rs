//! Long-running tasks that have waited for long although they would fit on a worker of their
//! service, and why each of them waits.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::cell::Rank;
use crate::batch::job::Entry;
use crate::batch::place::fit::count_unfit_workers;

/// How long a long-running task may wait despite free resources before it is reported: a start
/// takes some milliseconds, and moving a box about 3 s.
const MIN_WAIT: Duration = Duration::from_millis(3_000);
/// Maximum number of steps that are examined and reported in a round: under full load more of them
/// add no information.
const MAX_STEPS: usize = 16;

/// A task that waits despite free resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StuckTask {
    /// The task, the first of its step.
    pub task: TaskName,
    /// For how long it has waited.
    pub waited: Duration,
    /// Each reason that keeps it from workers of its service, with the number of these workers.
    pub blockers: BTreeMap<String, usize>,
}

/// The first waiting task of each long-running step, in rank order, that has waited for long
/// although some responsive worker has free resources for it.
pub fn stuck_tasks(cell: &Cell, now: Instant) -> Vec<StuckTask> {
    let long_running = cell.ready.iter().take_while(|rank| !rank.is_finite).take(MAX_STEPS);
    long_running.filter_map(|rank| stuck_step(cell, rank, now)).collect()
}

fn stuck_step(cell: &Cell, rank: &Rank, now: Instant) -> Option<StuckTask> {
    let entry = cell.jobs.get(&rank.job)?;
    let step = entry.step(rank.step)?;
    let run = entry.find_step_run(rank.repetition, rank.step)?;
    let index = *run.waiting.first()?;
    let since = run.tasks.get(index as usize)?.waiting_since?;
    let waited = now.saturating_duration_since(since);
    let need = Entry::resources_of(step);
    let mut workers = cell.workers.of_service(&entry.accepted.service);
    if waited < MIN_WAIT || !workers.any(|worker| worker.failed_polls == 0 && worker.fits(need)) {
        return None;
    }
    let task = TaskName { job: rank.job, repetition: rank.repetition, step: rank.step, index };
    Some(StuckTask { task, waited, blockers: count_unfit_workers(cell, task, now) })
}

/// Logs tasks that wait despite free resources, when they are found first and when their reasons
/// change.
#[derive(Debug, Default)]
pub struct Reporter {
    reported: HashMap<TaskName, Vec<String>>,
}

impl Reporter {
    /// Writes the log lines that are due; returns how many of the tasks were not reported before.
    pub fn report(&mut self, stuck: &[StuckTask]) -> usize {
        self.reported.retain(|task, _| stuck.iter().any(|stuck_task| stuck_task.task == *task));
        let mut first = 0;
        for stuck_task in stuck {
            let reasons: Vec<String> = stuck_task.blockers.keys().cloned().collect();
            let before = self.reported.insert(stuck_task.task, reasons.clone());
            first += usize::from(before.is_none());
            if before.as_ref() != Some(&reasons) {
                let blockers =
                    stuck_task.blockers.iter().map(|(why, workers)| format!("{why}: {workers}"));
                log::info!(
                    task = stuck_task.task.to_string().as_str(),
                    waited_ms = stuck_task.waited.as_millis() as u64,
                    held_by = blockers.collect::<Vec<String>>().join(", ").as_str();
                    "task waits despite free resources"
                );
            }
        }
        first
    }
}
