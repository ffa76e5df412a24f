//! Room for tasks that last, made by stopping some that end by themselves.

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

/// How long after others were stopped for a task before more are stopped for it; a stop takes up
/// to 0.9 s.
const PREEMPT_INTERVAL: Duration = Duration::from_millis(1_500);

impl Cell {
    /// Stops tasks that end by themselves so that one that lasts gets their room. They are chosen
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
        // Room is made only where nothing else keeps the task away.
        let ask = Request::new(name, service, step, &[]);
        let usable = self.workers.of_service(service).filter(|worker| {
            matches!(unfit_reason(worker, &ask, now), None | Some(Unfit::Resources(_)))
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
            "makes room"
        );
        for task in tasks {
            self.stop_run(&worker, task);
        }
    }
}

/// The tasks to stop on a worker so that `need` fits, youngest first, and the core-milliseconds
/// of work that are lost; `None` if that cannot make enough room.
fn victims(worker: &Worker, need: Resources, now: Instant) -> Option<(u64, Vec<TaskName>)> {
    // The job of a run that takes no room may not be known yet, and its stop would give nothing.
    let works =
        |slot: &Allocation| slot.class == Class::Batch && slot.resources != Resources::default();
    let live = worker.allocations.iter().filter(|(_, slot)| matches!(slot.phase, Phase::Live(_)));
    let mut works: Vec<(&TaskName, &Allocation)> = live.filter(|(_, slot)| works(slot)).collect();
    works.sort_by_key(|(_, slot)| std::cmp::Reverse(slot.ordered_at));
    let mut free = Balance::of(worker);
    let (mut lost, mut tasks) = (0, Vec::new());
    for (task, slot) in works {
        if free.covers(need) {
            break;
        }
        free.add(slot.resources);
        let ran = now.saturating_duration_since(slot.ordered_at).as_millis() as u64;
        lost += ran * u64::from(slot.resources.cpu) / 1_000;
        tasks.push(*task);
    }
    free.covers(need).then_some((lost, tasks))
}

/// What is left of a worker's room, or missing where the room has shrunk below what runs there.
struct Balance {
    cpu: i64,
    memory_mb: i64,
}

impl Balance {
    fn of(worker: &Worker) -> Balance {
        let room = worker.entry.capacity;
        let used = |part: fn(&Resources) -> u32| -> i64 {
            worker.allocations.values().map(|slot| i64::from(part(&slot.resources))).sum()
        };
        Balance {
            cpu: i64::from(room.cpu) - used(|room| room.cpu),
            memory_mb: i64::from(room.memory_mb) - used(|room| room.memory_mb),
        }
    }

    fn add(&mut self, room: Resources) {
        self.cpu += i64::from(room.cpu);
        self.memory_mb += i64::from(room.memory_mb);
    }

    fn covers(&self, need: Resources) -> bool {
        i64::from(need.cpu) <= self.cpu && i64::from(need.memory_mb) <= self.memory_mb
    }
}
