//! Preemption of batch tasks for long-running ones.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Resources;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::place::fit::Request;
use crate::batch::place::fit::Unfit;
use crate::batch::place::fit::unfit_reason;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Least time between two preemptions for the same task; a stop takes up to 0.9 s.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(1_500);

impl Cell {
    /// Stops batch tasks on one worker so that a long-running task fits there. The worker is chosen
    /// so that the least work is lost.
    pub(super) fn preempt(&mut self, name: TaskName, service: &str, step: &Step, now: Instant) {
        let recently = |at: Instant| now.saturating_duration_since(at) < PREEMPT_INTERVAL;
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(name)) else {
            return;
        };
        if task.preempted_others_at.is_some_and(recently) {
            return;
        }
        let need = Entry::resources_of(step);
        // Preempts only where nothing but a shortage of resources keeps the task away.
        let request = Request::new(name, service, step, &[]);
        let usable = self.workers.of_service(service).filter(|worker| {
            matches!(unfit_reason(worker, &request, now), None | Some(Unfit::Resources(_)))
        });
        let plans = usable.filter_map(|worker| {
            Some((victims(worker, need, now)?, worker.peer.incarnation.clone()))
        });
        let Some(((lost, tasks), worker)) = plans.min_by_key(|((lost, _), _)| *lost) else {
            return;
        };
        if let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(name)) {
            task.preempted_others_at = Some(now);
        }
        log::info!(
            task = name.to_string().as_str(),
            worker:% = worker,
            stopped = tasks.len(),
            lost_ms = lost;
            "preempting batch tasks"
        );
        for task in tasks {
            self.stop_for(&worker, task, "preempted by a long-running task");
        }
    }
}

/// The batch tasks to stop on a worker so that `need` fits, the most recently started first, and
/// the core-milliseconds of work that are lost; `None` if that cannot free enough.
fn victims(worker: &Worker, need: Resources, now: Instant) -> Option<(u64, Vec<TaskName>)> {
    // A run without resources may belong to a job that is not known yet; its stop would free
    // nothing.
    let is_preemptible = |allocation: &Allocation| {
        allocation.class == Class::Batch && allocation.resources != Resources::default()
    };
    let live = worker
        .allocations
        .iter()
        .filter(|(_, allocation)| matches!(allocation.phase, Phase::Live(_)));
    let mut candidates: Vec<(&TaskName, &Allocation)> =
        live.filter(|(_, allocation)| is_preemptible(allocation)).collect();
    candidates.sort_by_key(|(_, allocation)| std::cmp::Reverse(allocation.ordered_at));
    let mut free = Balance::of(worker);
    let (mut lost, mut tasks) = (0, Vec::new());
    for (task, allocation) in candidates {
        if free.covers(need) {
            break;
        }
        free.add(allocation.resources);
        let ran = now.saturating_duration_since(allocation.ordered_at).as_millis() as u64;
        lost += ran * u64::from(allocation.resources.cpu) / 1_000;
        tasks.push(*task);
    }
    free.covers(need).then_some((lost, tasks))
}

/// Free resources of a worker; negative if its capacity has shrunk below what runs there.
struct Balance {
    cpu: i64,
    memory_mb: i64,
}

impl Balance {
    fn of(worker: &Worker) -> Balance {
        let capacity = worker.entry.capacity;
        let used = |part: fn(&Resources) -> u32| -> i64 {
            worker
                .allocations
                .values()
                .map(|allocation| i64::from(part(&allocation.resources)))
                .sum()
        };
        Balance {
            cpu: i64::from(capacity.cpu) - used(|resources| resources.cpu),
            memory_mb: i64::from(capacity.memory_mb) - used(|resources| resources.memory_mb),
        }
    }

    fn add(&mut self, resources: Resources) {
        self.cpu += i64::from(resources.cpu);
        self.memory_mb += i64::from(resources.memory_mb);
    }

    fn covers(&self, need: Resources) -> bool {
        i64::from(need.cpu) <= self.cpu && i64::from(need.memory_mb) <= self.memory_mb
    }
}
