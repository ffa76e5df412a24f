//! Load of each service: how much CPU it has and wants, and how many boxes it can give.

use std::collections::BTreeMap;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::job::Entry;
use crate::batch::usage::Claim;
use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Worker;

/// Time in which the requested boxes should clear the waiting work, in milliseconds: about as long
/// as the move of a box takes.
const BACKLOG_CLEAR_MS: u64 = 1_500;
/// Planned utilization of a pool's CPU, in percent; the rest is lost to fragmentation.
const UTILIZATION_PERCENT: u64 = 85;
/// Part of the running work, in percent, that is expected to be followed by as much again: jobs
/// have 1.6 to 2 steps on average, so about half of the running work is followed by another step.
const FOLLOW_UP_PERCENT: u64 = 50;
/// Smallest ratio of the supply of a service without the box to the supply of the recipient at
/// which a service that is short itself still gives a box: the box is idle for about 3 s during the
/// move.
const GIVE_RATIO: f64 = 1.5;
/// Minimum number of boxes that a service keeps beyond what it wants, since jobs arrive in bursts:
/// a wide job requests about a hundred cores at once, and a box that was switched off is back only
/// after 2 s.
const MIN_SPARE_MACHINES: u64 = 3;
/// Number of boxes that a service keeps beyond what it wants while the rises of its demand are not
/// known, and the largest number afterwards, as a percentage of all boxes of the site.
const MAX_SPARE_PERCENT: u64 = 5;

/// Load of a service. Unless stated otherwise, amounts are CPU in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Capacity of its schedulable workers.
    pub capacity: u64,
    /// What the runs on these workers use.
    pub used: u64,
    /// Part of `used` by long-running tasks.
    pub long_running: u64,
    /// What its waiting tasks request.
    pub waiting: u64,
    /// Estimated work of the waiting tasks, in thousandths of a core times milliseconds.
    pub backlog: u64,
    /// What the arriving work keeps busy on average.
    pub arrival_rate: u64,
    /// The part of [`Load::wanted`] that only jobs above the rates of their accounts ask for. It
    /// takes no box from a service.
    pub over_rate: u64,
    /// Number of schedulable workers.
    pub workers: u64,
    /// By label that waiting tasks require: how much their requests exceed the free CPU on workers
    /// with that label.
    pub label_shortages: BTreeMap<String, u64>,
    /// Request of long-running tasks that fit on no worker, even though the free CPU of all workers
    /// together may suffice.
    pub unplaced: u64,
    /// Minimum number of workers: those over which long-running tasks must be spread, and those
    /// that a waiting gang needs.
    pub min_workers: u64,
}

/// The part of a load by tasks that end by themselves.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    /// What the running ones use.
    running: u64,
    /// What the arriving ones keep busy on average.
    arrival_rate: u64,
    /// Work of the waiting ones, in thousandths of a core times milliseconds.
    backlog: u64,
}

impl Batch {
    /// What a service should have for these tasks and those that last. Only a part of the running
    /// work counts, since it ends before a box would have left.
    fn wanted_with(&self, long_running: u64) -> u64 {
        let running = self.running.saturating_mul(FOLLOW_UP_PERCENT) / 100;
        let steady = long_running.saturating_add(self.arrival_rate.max(running));
        let needed = steady.saturating_add(self.backlog / BACKLOG_CLEAR_MS);
        needed.saturating_mul(100) / UTILIZATION_PERCENT
    }

    fn without(&self, other: &Batch) -> Batch {
        Batch {
            running: self.running.saturating_sub(other.running),
            arrival_rate: self.arrival_rate.saturating_sub(other.arrival_rate),
            backlog: self.backlog.saturating_sub(other.backlog),
        }
    }
}

impl Load {
    /// What it should have: enough for the arriving work, and to clear the backlog.
    pub fn wanted(&self) -> u64 {
        let running = self.used.saturating_sub(self.long_running);
        let batch = Batch { running, arrival_rate: self.arrival_rate, backlog: self.backlog };
        batch.wanted_with(self.long_running)
    }

    /// What it should have for the jobs that accounts send within their rates.
    pub fn wanted_within_rates(&self) -> u64 {
        self.wanted().saturating_sub(self.over_rate)
    }

    /// The part of what it should have that only these tasks ask for.
    fn wanted_only_by(&self, tasks: &Batch) -> u64 {
        let running = self.used.saturating_sub(self.long_running);
        let all = Batch { running, arrival_rate: self.arrival_rate, backlog: self.backlog };
        let others = all.without(tasks).wanted_with(self.long_running);
        self.wanted().saturating_sub(others)
    }

    /// What its running and waiting tasks need.
    pub(super) fn need(&self) -> u64 {
        self.used.saturating_add(self.waiting)
    }

    /// Ratio of a capacity to what is wanted.
    fn supply_ratio(&self, capacity: u64) -> f64 {
        capacity as f64 / self.wanted().max(1) as f64
    }

    /// Whether the service, less a box of this size, would still be `GIVE_RATIO` times better
    /// supplied than another.
    pub fn can_give_to(&self, size: u64, other: &Load) -> bool {
        self.is_above_min_workers()
            && self.capacity > size
            && self.supply_ratio(self.capacity - size)
                >= GIVE_RATIO * other.supply_ratio(other.capacity)
    }

    /// Whether the service has what it wants without a box of this size.
    pub fn can_spare(&self, size: u64) -> bool {
        self.is_above_min_workers() && self.capacity >= self.wanted().saturating_add(size)
    }

    /// Whether the service has more than `spare` boxes of this size beyond what it wants.
    pub(super) fn has_excess(&self, size: u64, spare: u64) -> bool {
        let kept = spare.saturating_add(1).saturating_mul(size);
        self.is_above_min_workers() && self.capacity >= self.wanted().saturating_add(kept)
    }

    /// Subtracts a box of this size that is moved away.
    pub fn remove_machine(&mut self, size: u64) {
        self.capacity = self.capacity.saturating_sub(size);
        self.workers = self.workers.saturating_sub(1);
    }

    /// Mean CPU per worker; 0 without workers.
    pub(super) fn mean_worker_cpu(&self) -> u64 {
        self.capacity.checked_div(self.workers).unwrap_or(0)
    }

    /// Whether one worker less would still satisfy the minimum number of workers.
    fn is_above_min_workers(&self) -> bool {
        self.workers > self.min_workers.max(1)
    }
}

/// How many boxes with `size` thousandths of a core a service keeps beyond what it wants, on a site
/// with `machines` boxes. `rise` is how much more it may need before a fetched box arrives, in
/// thousandths of a core, if that is known.
///
/// ```
/// use spokelift_lib::batch::pool::load::spare_machines;
/// assert_eq!(spare_machines(6_000, 32_000, None), 300);
/// // Once the demand is known, the size of the site does not count.
/// assert_eq!(spare_machines(350, 32_000, Some(320_000)), 12);
/// assert_eq!(spare_machines(6_000, 32_000, Some(320_000)), 12);
/// ```
pub fn spare_machines(machines: u64, size: u64, rise: Option<u64>) -> u64 {
    let most = (machines * MAX_SPARE_PERCENT / 100).max(MIN_SPARE_MACHINES);
    let Some(rise) = rise else { return most };
    let needed = rise.saturating_mul(100) / UTILIZATION_PERCENT;
    needed.div_ceil(size.max(1)).clamp(MIN_SPARE_MACHINES, most)
}

/// The load of each service.
pub fn loads(cell: &Cell, now: Instant) -> BTreeMap<String, Load> {
    let mut loads = BTreeMap::new();
    add_workers(&mut loads, cell, now);
    let over_rate_backlogs = add_waiting(&mut loads, cell);
    add_min_workers(&mut loads, cell);
    let over_rate_running = over_rate_running(cell, now);
    for (service, load) in &mut loads {
        load.arrival_rate = cell.demand.rate(service, now);
        let above = Batch {
            running: over_rate_running.get(service).copied().unwrap_or(0),
            arrival_rate: cell.over_rate_demand.rate(service, now),
            backlog: over_rate_backlogs.get(service).copied().unwrap_or(0),
        };
        load.over_rate = load.wanted_only_by(&above);
        load.unplaced = cell.unplaced_cpu.get(service).copied().unwrap_or(0);
        for (label, requested) in &mut load.label_shortages {
            *requested = requested.saturating_sub(free_with_label(cell, service, label, now));
        }
        load.label_shortages.retain(|_, missing| *missing > 0);
    }
    loads
}

/// Adds the schedulable workers and what runs on them.
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

/// Counts how much accounts may still start within their quotas, as the waiting tasks are counted
/// step by step. No boxes are requested for tasks that an account may not run.
#[derive(Default)]
pub(in crate::batch) struct Budgets {
    counted: Totals,
}

impl Budgets {
    /// How many of the waiting tasks of a step its account may start in addition to those counted
    /// before.
    pub(in crate::batch) fn count_startable(
        &mut self,
        cell: &Cell,
        entry: &Entry,
        step: &Step,
        tasks: u64,
    ) -> u64 {
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

/// What the runs of jobs above the rates of their accounts use, by service, without tasks that
/// last.
fn over_rate_running(cell: &Cell, now: Instant) -> BTreeMap<String, u64> {
    let mut running = BTreeMap::new();
    for worker in cell.workers.values().filter(|worker| worker.is_schedulable(now)) {
        let is_above = |(task, allocation): &(&TaskName, &Allocation)| {
            let is_batch = allocation.class == Class::Batch;
            is_batch && cell.jobs.get(&task.job).is_some_and(|entry| entry.is_over_rate)
        };
        let above = worker.allocations.iter().filter(is_above);
        let cpu: u64 = above.map(|(_, allocation)| u64::from(allocation.resources.cpu)).sum();
        if cpu > 0 {
            *running.entry(worker.entry.service.clone()).or_default() += cpu;
        }
    }
    running
}

/// Adds the waiting tasks, except best-effort ones; returns by service the work of those whose jobs
/// are above the rates of their accounts.
fn add_waiting(loads: &mut BTreeMap<String, Load>, cell: &Cell) -> BTreeMap<String, u64> {
    let mut over_rate = BTreeMap::<String, u64>::new();
    let mut budgets = Budgets::default();
    for rank in &cell.ready {
        let Some(entry) = cell.jobs.get(&rank.job) else { continue };
        let Some(step) = entry.step(rank.step).filter(|step| !step.best_effort) else { continue };
        let run = entry.find_step_run(rank.repetition, rank.step);
        let tasks = run.map_or(0, |run| run.waiting.len() as u64);
        let waiting = budgets.count_startable(cell, entry, step, tasks) * u64::from(step.cpu);
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        load.waiting = load.waiting.saturating_add(waiting);
        if step.gang && waiting > 0 {
            let long_running = load.long_running.div_ceil(load.mean_worker_cpu().max(1));
            let gang = workers_for_gang(cell, &entry.accepted.service, step);
            load.min_workers = load.min_workers.max(gang + long_running);
        }
        if let Some(label) = &step.requires {
            let shortage = load.label_shortages.entry(label.clone()).or_default();
            *shortage = shortage.saturating_add(waiting);
        }
        let run_time =
            cell.run_time(entry, rank.step).map_or(0, |run| run.mean().as_millis() as u64);
        let work =
            waiting.saturating_mul(if step.long_running { BACKLOG_CLEAR_MS } else { run_time });
        load.backlog = load.backlog.saturating_add(work);
        if rank.is_over_rate && !step.long_running {
            let over_rate = over_rate.entry(entry.accepted.service.clone()).or_default();
            *over_rate = over_rate.saturating_add(work);
        }
    }
    over_rate
}

/// How many empty workers of a service a gang needs, since all its tasks run at once.
fn workers_for_gang(cell: &Cell, service: &str, step: &Step) -> u64 {
    let Some(largest) = cell
        .workers
        .of_service(service)
        .map(|worker| worker.entry.capacity)
        .max_by_key(|capacity| capacity.cpu)
    else {
        return 0;
    };
    let by_cpu = largest.cpu.checked_div(step.cpu).unwrap_or(u32::MAX);
    let by_memory = largest.memory_mb.checked_div(step.memory_mb).unwrap_or(u32::MAX);
    let spread = if step.max_per_worker > 0 { step.max_per_worker } else { u32::MAX };
    // A task that fits on no worker of this size does not justify more of them.
    match by_cpu.min(by_memory).min(spread) {
        0 => 0,
        per_worker => u64::from(step.count.div_ceil(per_worker)),
    }
}

/// Free CPU, in thousandths of a core, on the schedulable workers of a service that have a label.
fn free_with_label(cell: &Cell, service: &str, label: &str, now: Instant) -> u64 {
    let has_label = |worker: &&Worker| worker.entry.labels.iter().any(|other| other == label);
    let workers =
        cell.workers.eligible_with(service, 0).filter(|worker| worker.is_schedulable(now));
    let workers = workers.filter(has_label);
    workers.map(|worker| u64::from(worker.free.cpu)).sum()
}

/// Raises the minimum number of workers to what the topology spread of long-running jobs requires.
fn add_min_workers(loads: &mut BTreeMap<String, Load>, cell: &Cell) {
    for entry in cell.long_running_jobs.iter().filter_map(|id| cell.jobs.get(id)) {
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        let spread = entry.accepted.job.steps.iter().filter(|step| step.max_per_worker > 0);
        let most = spread.map(|step| step.count.div_ceil(step.max_per_worker)).max().unwrap_or(0);
        load.min_workers = load.min_workers.max(u64::from(most));
    }
}
