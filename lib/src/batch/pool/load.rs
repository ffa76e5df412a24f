//! What each service has and wants: how many machines it should have, and how many it can give.

use std::collections::BTreeMap;
use std::time::Instant;

use spokelift_platform::job::Step;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::usage::Claim;
use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::Worker;

/// Time in which work that waits should be done by the machines asked for: about as long as a
/// machine takes to be moved, in milliseconds.
const BACKLOG_CLEAR_MS: u64 = 1_500;
/// Share of a pool's processors that is planned to be used, in hundredths; the rest is lost to
/// sizes that do not fit.
const UTILIZATION_PERCENT: u64 = 85;
/// Share of what runs now that will be followed by as much, in hundredths: jobs have 1.6 to 2 steps
/// on average, so about half of what runs is followed by another step.
const FOLLOW_UP_PERCENT: u64 = 50;
/// How many times better off a service that is short itself must be to give a machine to another:
/// a move idles a machine for about 3 s, which must be worth it.
const GIVE_RATIO: f64 = 1.5;
/// Least number of machines that a service keeps beyond what it wants, since jobs arrive in lumps:
/// a wide job asks for about a hundred cores at once, and a machine that was switched off is back
/// after 2 s.
const MIN_SPARE_MACHINES: u64 = 3;
/// The same as a share of all machines of the site, in hundredths. On a large site loads rise by
/// more machines within those 2 s.
const SPARE_PERCENT: u64 = 5;

/// What a service has and wants, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// What its usable workers have.
    pub capacity: u64,
    /// What runs on them.
    pub used: u64,
    /// Part of that by tasks that do not end by themselves.
    pub long_running: u64,
    /// What its waiting tasks ask for.
    pub waiting: u64,
    /// Work of the waiting tasks, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// What the work that arrives keeps busy.
    pub arrival_rate: u64,
    /// Usable workers.
    pub workers: u64,
    /// Labels that waiting tasks require, and by how much what they ask for is over what is free on
    /// workers that have them.
    pub label_shortages: BTreeMap<String, u64>,
    /// What lasts and has no place on any of its workers, though there may be room in all.
    pub unplaced: u64,
    /// Workers it needs at the least, since tasks that last must be spread over so many, or since a
    /// gang that waits fits on no fewer.
    pub min_workers: u64,
}

impl Load {
    /// What it should have: enough for what arrives, and to clear what waits. Of what runs now only
    /// a part counts, since it is over by the time a machine has left.
    pub fn wanted(&self) -> u64 {
        let running = self.used.saturating_sub(self.long_running) * FOLLOW_UP_PERCENT / 100;
        let steady = self.long_running + self.arrival_rate.max(running);
        (steady + self.backlog / BACKLOG_CLEAR_MS) * 100 / UTILIZATION_PERCENT
    }

    /// What it has of what it should have.
    fn supply_ratio(&self, has: u64) -> f64 {
        has as f64 / self.wanted().max(1) as f64
    }

    /// Whether it would still be far better off than another without a machine of this size.
    pub fn can_give_to(&self, size: u64, other: &Load) -> bool {
        self.is_above_min_workers()
            && self.capacity > size
            && self.supply_ratio(self.capacity - size)
                >= GIVE_RATIO * other.supply_ratio(other.capacity)
    }

    /// Whether it could do without a machine of this size.
    pub fn can_spare(&self, size: u64) -> bool {
        self.is_above_min_workers() && self.capacity >= self.wanted() + size
    }

    /// Whether it holds more machines of this size than it should keep.
    pub(super) fn has_excess(&self, size: u64, spare: u64) -> bool {
        self.is_above_min_workers() && self.capacity >= self.wanted() + (spare + 1) * size
    }

    /// Counts a machine of this size as given away.
    pub fn remove_machine(&mut self, size: u64) {
        self.capacity = self.capacity.saturating_sub(size);
        self.workers = self.workers.saturating_sub(1);
    }

    /// Processor of one of its workers, on average.
    pub(super) fn mean_worker_cpu(&self) -> u64 {
        self.capacity.checked_div(self.workers).unwrap_or(0)
    }

    /// Whether one worker less is still as many as it needs at the least.
    fn is_above_min_workers(&self) -> bool {
        self.workers > self.min_workers.max(1)
    }
}

/// How many machines a service keeps beyond what it wants, on a site of so many.
pub(super) fn spare_machines(machines: u64) -> u64 {
    (machines * SPARE_PERCENT / 100).max(MIN_SPARE_MACHINES)
}

/// What each service has and wants.
pub fn loads(cell: &Cell, now: Instant) -> BTreeMap<String, Load> {
    let mut loads = BTreeMap::new();
    add_workers(&mut loads, cell, now);
    add_waiting(&mut loads, cell);
    add_min_workers(&mut loads, cell);
    for (service, load) in &mut loads {
        load.arrival_rate = cell.demand.rate(service, now);
        load.unplaced = cell.unplaced_cpu.get(service).copied().unwrap_or(0);
        for (label, asked) in &mut load.label_shortages {
            *asked = asked.saturating_sub(free_with_label(cell, service, label, now));
        }
        load.label_shortages.retain(|_, missing| *missing > 0);
    }
    loads
}

/// Adds the usable workers and what runs on them.
fn add_workers(loads: &mut BTreeMap<String, Load>, cell: &Cell, now: Instant) {
    for worker in cell.workers.values().filter(|worker| worker.is_schedulable(now)) {
        let load = loads.entry(worker.entry.service.clone()).or_default();
        load.capacity += u64::from(worker.entry.capacity.cpu);
        load.used +=
            u64::from(worker.entry.capacity.cpu - worker.free.cpu.min(worker.entry.capacity.cpu));
        load.workers += 1;
        load.long_running += u64::from(worker.long_running.cpu);
    }
}

/// What accounts may still start, as waiting tasks are counted one step after the other. Boxes are not wanted for what an
/// account may not run.
#[derive(Default)]
struct Budgets {
    counted: Totals,
}

impl Budgets {
    /// How many of the waiting tasks of a step their account may start beside those counted before.
    fn count_startable(&mut self, cell: &Cell, entry: &Entry, step: &Step, tasks: u64) -> u64 {
        let Some(account) = &entry.accepted.account else { return tasks };
        let counted = self.counted.of(account);
        let may_start = |tasks: u64| {
            let more = counted.plus(Usage::of(step, tasks));
            cell.has_quota_for(Some(account), more)
        };
        let least = if step.gang { tasks.max(1) } else { 1 };
        let (mut low, mut high) = (0, tasks);
        if may_start(tasks) {
            low = tasks;
        } else if !may_start(least) || step.gang {
            high = 0;
        }
        while high > low + 1 {
            let middle = low.midpoint(high);
            if may_start(middle) { low = middle } else { high = middle }
        }
        self.counted.add(&Claim { account: account.clone(), usage: Usage::of(step, low) });
        low
    }
}

/// Adds the tasks that wait, but for those that take only what others leave unused.
fn add_waiting(loads: &mut BTreeMap<String, Load>, cell: &Cell) {
    let mut budgets = Budgets::default();
    for rank in &cell.ready {
        let Some(entry) = cell.jobs.get(&rank.job) else { continue };
        let Some(step) = entry.step(rank.step).filter(|step| !step.best_effort) else { continue };
        let run = entry.find_step_run(rank.repetition, rank.step);
        let tasks = run.map_or(0, |run| run.waiting.len() as u64);
        let waiting = budgets.count_startable(cell, entry, step, tasks) * u64::from(step.cpu);
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        load.waiting += waiting;
        if step.gang && waiting > 0 {
            let lasting = load.long_running.div_ceil(load.mean_worker_cpu().max(1));
            let gang = workers_for_gang(cell, &entry.accepted.service, step);
            load.min_workers = load.min_workers.max(gang + lasting);
        }
        if let Some(label) = &step.requires {
            *load.label_shortages.entry(label.clone()).or_default() += waiting;
        }
        let guess = step.estimate_ms as f64 * cell.demand.run_time_ratio(&entry.accepted.queue);
        load.backlog += waiting * if step.long_running { BACKLOG_CLEAR_MS } else { guess as u64 };
    }
}

/// How many empty workers of a service a gang needs, all of whose tasks run at once.
fn workers_for_gang(cell: &Cell, service: &str, step: &Step) -> u64 {
    let Some(room) = cell
        .workers
        .of_service(service)
        .map(|worker| worker.entry.capacity)
        .max_by_key(|room| room.cpu)
    else {
        return 0;
    };
    let by_cpu = room.cpu.checked_div(step.cpu).unwrap_or(u32::MAX);
    let by_memory = room.memory_mb.checked_div(step.memory_mb).unwrap_or(u32::MAX);
    let spread = if step.max_per_worker > 0 { step.max_per_worker } else { u32::MAX };
    // A task that fits on no worker of this size asks for no more of them.
    match by_cpu.min(by_memory).min(spread) {
        0 => 0,
        per_worker => u64::from(step.count.div_ceil(per_worker)),
    }
}

/// What is free on the usable workers of a service that have a label.
fn free_with_label(cell: &Cell, service: &str, label: &str, now: Instant) -> u64 {
    let has = |worker: &&Worker| worker.entry.labels.iter().any(|known| known == label);
    let workers =
        cell.workers.eligible_with(service, 0).filter(|worker| worker.is_schedulable(now));
    let workers = workers.filter(has);
    workers.map(|worker| u64::from(worker.free.cpu)).sum()
}

/// Adds over how many workers lasting tasks must be spread.
fn add_min_workers(loads: &mut BTreeMap<String, Load>, cell: &Cell) {
    for entry in cell.long_running_jobs.iter().filter_map(|id| cell.jobs.get(id)) {
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        let spread = entry.accepted.job.steps.iter().filter(|step| step.max_per_worker > 0);
        let most = spread.map(|step| step.count.div_ceil(step.max_per_worker)).max().unwrap_or(0);
        load.min_workers = load.min_workers.max(u64::from(most));
    }
}
