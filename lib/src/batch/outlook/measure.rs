//! Makes the outlook of the services from the scheduler's state.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;

use crate::batch::cell::Cell;
use crate::batch::cell::Rank;
use crate::batch::job::Entry;
use crate::batch::outlook::Class;
use crate::batch::outlook::Service;
use crate::batch::outlook::Work;
use crate::batch::pool::load::Budgets;
use crate::batch::pool::load::Load;
use crate::batch::pool::load::loads;
use crate::state::id::AccountId;

/// Fraction of the runs that are faster than the run time that is assumed of waiting tasks.
const OPTIMISTIC: f64 = 0.1;
/// Steps by which the times are told apart by which jobs should be done, each up to a time from now;
/// both in milliseconds.
const DUE_STEPS_MS: [(u64, u64); 4] =
    [(4_000, 250), (8_000, 500), (16_000, 1_000), (32_000, 2_000)];
/// Maximum number of classes of a service; what comes after them is not published, so no job is
/// refused for it.
const MAX_CLASSES: usize = 64;

/// The outlook of each service that is so short of capacity that a job could be refused.
/// `site_cpu` is the CPU of all boxes of the site, in thousandths of a core; `None` if boxes cannot
/// be moved. `wall` is the time since the Unix epoch. A job is refused if it would wait for
/// `multiple` of its objectives.
pub fn services(
    cell: &Cell,
    site_cpu: Option<u64>,
    multiple: u32,
    now: Instant,
    wall: Duration,
) -> BTreeMap<String, Service> {
    let waiting = classes(cell, now, wall);
    if waiting.is_empty() {
        return BTreeMap::new();
    }
    let loads = loads(cell, now);
    let mut short = BTreeMap::new();
    for (name, classes) in waiting {
        let capacity = loads.get(&name).map_or(0, |load| load.capacity);
        let attainable = site_cpu.map_or(0, |site| attainable(&loads, &name, site));
        let service = Service {
            capacity,
            incoming: attainable.saturating_sub(capacity),
            free: max_free_cpu(cell, &name, now),
            classes: classes.into_values().take(MAX_CLASSES).collect(),
        };
        if may_refuse(cell, &name, &service, multiple) {
            short.insert(name, service);
        }
    }
    short
}

/// Whether a job of some queue of the service could be refused by this outlook.
fn may_refuse(cell: &Cell, name: &str, service: &Service, multiple: u32) -> bool {
    let Some(config) = cell.config() else { return false };
    // Without any box it is not known how long the work takes.
    if service.capacity + service.incoming == 0 {
        return false;
    }
    let objectives = config.queues.iter().filter(|queue| queue.service == name);
    let objectives = objectives.map(|queue| queue.objective_ms).filter(|ms| *ms > 0);
    let work = service.classes.iter().map(|class| class.on_time.saturating_add(class.late));
    let longest = service.time_for(work.fold(0, u64::saturating_add));
    objectives.min().is_some_and(|ms| longest > Duration::from_millis(ms) * multiple)
}

/// The most free CPU on a schedulable worker of a service, in thousandths of a core.
fn max_free_cpu(cell: &Cell, service: &str, now: Instant) -> u32 {
    let mut workers = cell.workers.eligible_with(service, 0).rev();
    workers.find(|worker| worker.is_schedulable(now)).map_or(0, |worker| worker.free.cpu)
}

/// The CPU that a service would have if it got all boxes that no other service wants.
fn attainable(loads: &BTreeMap<String, Load>, service: &str, site_cpu: u64) -> u64 {
    let others = loads.iter().filter(|(name, _)| *name != service);
    let kept: u64 = others.map(|(_, load)| load.capacity.min(load.wanted_within_rates())).sum();
    site_cpu.saturating_sub(kept)
}

/// Classes by priority, whether they are above the rates, and time by which they should be done.
type Classes = BTreeMap<(u32, bool, u64), Class>;

/// By service, the waiting work of its classes in the order of their placement.
fn classes(cell: &Cell, now: Instant, wall: Duration) -> BTreeMap<String, Classes> {
    let mut classes = BTreeMap::<String, Classes>::new();
    let mut budgets = Budgets::default();
    let mut counted = HashSet::new();
    // Tasks that last do not end before others start; they count as used capacity.
    for rank in cell.ready.iter().filter(|rank| rank.is_finite) {
        let Some((service, work)) = waiting_work(cell, rank, &mut budgets) else { continue };
        let Some(due_ms) = due_limit(rank, wall) else { continue };
        let (priority, is_over_rate) = (rank.priority, rank.is_over_rate);
        let of_service = classes.entry(service.to_owned()).or_default();
        let class = of_service.entry((priority, is_over_rate, due_ms));
        let new = Class { priority, is_over_rate, due_ms, on_time: 0, late: 0 };
        let class = class.or_insert(new);
        let is_on_time = cell.may_be_on_time(rank, now, wall);
        let sum = if is_on_time { &mut class.on_time } else { &mut class.late };
        let is_first = counted.insert((rank.job, rank.repetition));
        let later = if is_first { later_work(cell, rank) } else { 0 };
        *sum = sum.saturating_add(work).saturating_add(later);
    }
    classes
}

/// The time from now by which a job should be done, rounded up, in milliseconds; `None` if it is
/// further off than any, so that no new job is certain to come after it.
fn due_limit(rank: &Rank, wall: Duration) -> Option<u64> {
    let due_ms = rank.objective_at.saturating_sub(wall.as_millis() as u64);
    let (_, step) = DUE_STEPS_MS.into_iter().find(|(up_to, _)| due_ms <= *up_to)?;
    Some(due_ms.next_multiple_of(step))
}

/// The service of a step, and the work of those of its waiting tasks that its account's quota lets
/// run, by the fastest of its runs.
fn waiting_work<'a>(cell: &'a Cell, rank: &Rank, budgets: &mut Budgets) -> Option<(&'a str, Work)> {
    let entry = cell.jobs.get(&rank.job)?;
    let step = entry.step(rank.step).filter(|step| !step.best_effort && !step.long_running)?;
    let tasks = entry.find_step_run(rank.repetition, rank.step)?.waiting.len() as u64;
    let tasks = budgets.count_startable(cell, entry, step, tasks);
    let work = work_of_tasks(cell, entry, rank.step, tasks);
    (work > 0).then_some((entry.accepted.service.as_str(), work))
}

/// The work of the steps of a repetition that wait for other steps. They have the same rank as those
/// before them, so in a queue longer than the path of a job they come before what arrives now.
fn later_work(cell: &Cell, rank: &Rank) -> Work {
    let Some(entry) = cell.jobs.get(&rank.job) else { return 0 };
    let steps = (0u16..).zip(&entry.accepted.job.steps);
    let is_open = |number| entry.find_step_run(rank.repetition, number).is_some_and(|run| run.open);
    let later = steps.filter(|(number, step)| !step.best_effort && !is_open(*number));
    let works = later.map(|(number, step)| work_of_tasks(cell, entry, number, step.count.into()));
    works.fold(0, u64::saturating_add)
}

/// The work of tasks of a step, by the fastest of its runs.
fn work_of_tasks(cell: &Cell, entry: &Entry, step: u16, tasks: u64) -> Work {
    let run_time = cell.run_time(entry, step).map(|run| run.quantile(OPTIMISTIC).as_millis());
    let cpu = entry.step(step).map_or(0, |step| u64::from(step.cpu));
    tasks.saturating_mul(cpu).saturating_mul(run_time.unwrap_or(0) as u64)
}

/// Whether a job that arrives now would be above its account's rate, if the leader may confirm its
/// refusal. `None` if it must not be refused: it is known, so an earlier attempt was accepted, or
/// its account uses less than its fair share, so that it need not wait for others. `wall` is the
/// time since the Unix epoch.
pub fn confirm_refusal(
    cell: &Cell,
    id: JobId,
    account: Option<&AccountId>,
    wall: Duration,
) -> Option<bool> {
    let must_serve = cell.jobs.contains_key(&id) || cell.is_below_share(account);
    (!must_serve).then(|| cell.is_over_rate_at(account, wall))
}
