//! Tasks that last, have waited for long, and would fit on a worker of their service: why each waits.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::cell::Rank;
use crate::batch::job::Entry;
use crate::batch::place::fit::count_unfit_workers;

/// How long a task that lasts may wait beside room before that is told: a start takes some milliseconds, a box
/// that is fetched about 3 s.
const MIN_WAIT: Duration = Duration::from_millis(3_000);
/// Most steps that are looked at and told of in a round: under a full load more of them say nothing more.
const MAX_STEPS: usize = 16;

/// A task that waits beside room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StuckTask {
    /// The task, the first of its step.
    pub task: TaskName,
    /// For how long it has waited.
    pub waited: Duration,
    /// What keeps it from how many workers of its service.
    pub blockers: BTreeMap<String, usize>,
}

/// The first tasks of steps that last, in their order, that have waited for long although some worker that
/// answers has room for them.
pub fn stuck_tasks(cell: &Cell, now: Instant) -> Vec<StuckTask> {
    let lasting = cell.ready.iter().take_while(|rank| !rank.is_finite).take(MAX_STEPS);
    lasting.filter_map(|rank| stuck_step(cell, rank, now)).collect()
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

/// Tells of tasks that wait beside room, each when it is found first and as its reasons change.
#[derive(Debug, Default)]
pub struct Reporter {
    reported: HashMap<TaskName, Vec<String>>,
}

impl Reporter {
    /// Writes the lines that are due; returns how many tasks wait beside room for the first time.
    pub fn report(&mut self, stuck: &[StuckTask]) -> usize {
        self.reported.retain(|task, _| stuck.iter().any(|one| one.task == *task));
        let mut first = 0;
        for one in stuck {
            let reasons: Vec<String> = one.blockers.keys().cloned().collect();
            let before = self.reported.insert(one.task, reasons.clone());
            first += usize::from(before.is_none());
            if before.as_ref() != Some(&reasons) {
                let held_by = one.blockers.iter().map(|(why, workers)| format!("{why}: {workers}"));
                log::info!(
                    task = one.task.to_string().as_str(),
                    waited_ms = one.waited.as_millis() as u64,
                    held_by = held_by.collect::<Vec<String>>().join(", ").as_str();
                    "waits beside room"
                );
            }
        }
        first
    }
}
