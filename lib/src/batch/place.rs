//! Which worker a task is started on.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Room;
use spokelift_platform::worker::WorkerId;
use thiserror::Error;

use crate::batch::cell::Cell;
use crate::batch::cell::Doubt;
use crate::batch::cell::Order;
use crate::batch::cell::Rank;
use crate::batch::cell::next_run;
use crate::batch::job::Entry;
use crate::batch::worker::Closed;
use crate::batch::worker::Kind;
use crate::batch::worker::Phase;
use crate::batch::worker::Slot;
use crate::batch::worker::Worker;

/// How long after others were stopped for a task before more are stopped for it; a stop takes up
/// to 0.9 s.
const MAKE_ROOM_AGAIN: Duration = Duration::from_millis(1_500);

/// What is asked of a worker, beside room.
struct Demand<'a> {
    task: TaskName,
    service: &'a str,
    step: &'a Step,
    need: Room,
    kind: Kind,
    avoid: &'a [WorkerId],
}

impl Cell {
    /// Starts what waits, as far as there is room, in the order of rank. What cannot reach its
    /// objective any more comes after everything that can.
    pub fn place(&mut self, now: Instant, wall: Duration) {
        let mut tops = self.top_room(now);
        let doubt = self.doubt();
        let ranks: Vec<Rank> = self.ready.iter().copied().collect();
        let wall_ms = wall.as_millis() as u64;
        let (hopeful, late): (Vec<Rank>, Vec<Rank>) =
            ranks.into_iter().partition(|rank| !rank.ends || self.is_hopeful(rank, wall_ms));
        for rank in hopeful.into_iter().chain(late) {
            self.place_step(rank, now, &mut tops, &doubt);
        }
    }

    fn is_hopeful(&self, rank: &Rank, wall_ms: u64) -> bool {
        let Some(entry) = self.jobs.get(&rank.job) else { return true };
        let step = entry.step(rank.step).map_or(0, |step| step.estimate_ms);
        wall_ms + step <= rank.objective_at
    }

    /// The most processor left on any worker of each service; a step that needs more is passed
    /// over without a look at the workers.
    fn top_room(&self, now: Instant) -> HashMap<String, u32> {
        let mut tops = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.takes_work(now)) {
            let top = tops.entry(worker.entry.service.clone()).or_insert(0);
            *top = worker.free.cpu.max(*top);
        }
        tops
    }

    fn place_step(
        &mut self,
        rank: Rank,
        now: Instant,
        tops: &mut HashMap<String, u32>,
        doubt: &Doubt,
    ) {
        let Rank { time, step, job, .. } = rank;
        let Some(entry) = self.jobs.get(&job) else {
            self.ready.remove(&rank);
            return;
        };
        if entry.inherited && doubt.services.contains(&entry.accepted.service) {
            return;
        }
        let accepted = &entry.accepted;
        let Some(shape) = accepted.job.steps.get(usize::from(step)) else { return };
        let need = Entry::room_of(shape);
        let crowded = tops.get(&accepted.service).is_none_or(|top| *top < need.cpu);
        if crowded && rank.ends {
            return;
        }
        let (service, shape) = (accepted.service.clone(), shape.clone());
        if shape.gang {
            self.place_gang(rank, &service, &shape, now);
            return;
        }
        let waiting: Vec<u32> =
            match self.jobs.get_mut(&job).and_then(|entry| entry.step_run(time, step)) {
                Some(run) => run.waiting.iter().copied().collect(),
                None => return,
            };
        let mut left = waiting.len();
        for index in waiting {
            let task = TaskName { job, time, step, index };
            if doubt.tasks.contains(&task) {
                continue;
            }
            let Some(worker) = self.choose(task, &service, &shape, now) else {
                if !rank.ends {
                    self.make_room(task, &service, &shape, now);
                }
                // Tasks of a step are alike, except for the workers they avoid.
                break;
            };
            self.start(task, &worker, &shape, None, now);
            left -= 1;
        }
        if left == 0 {
            self.ready.remove(&rank);
        }
    }

    fn choose(
        &mut self,
        task: TaskName,
        service: &str,
        step: &Step,
        now: Instant,
    ) -> Option<WorkerId> {
        let avoid = self.jobs.get_mut(&task.job)?.task(task)?.avoid.clone();
        let (need, kind) = (Entry::room_of(step), Entry::kind_of(step));
        let demand = Demand { task, service, step, need, kind, avoid: &avoid };
        let candidates = self.workers.values().filter(|worker| allows(worker, &demand, now));
        let best = candidates.min_by_key(|worker| cost(worker, &demand));
        best.map(|worker| worker.peer.id.clone())
    }

    /// Stops tasks that end by themselves so that one that lasts gets their room. They are chosen
    /// so that the least work is lost.
    fn make_room(&mut self, name: TaskName, service: &str, step: &Step, now: Instant) {
        let recently = |at: Instant| now.saturating_duration_since(at) < MAKE_ROOM_AGAIN;
        let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task(name)) else {
            return;
        };
        if task.made_room_at.is_some_and(recently) {
            return;
        }
        let need = Entry::room_of(step);
        let usable = self.workers.values().filter(|worker| {
            let apart =
                step.max_per_worker == 0 || worker.count_of_step(name) < step.max_per_worker;
            worker.entry.service == service && worker.takes_work(now) && apart
        });
        let plans =
            usable.filter_map(|worker| Some((victims(worker, need, now)?, worker.peer.id.clone())));
        let Some(((lost, tasks), worker)) = plans.min_by_key(|((lost, _), _)| *lost) else {
            return;
        };
        if let Some(task) = self.jobs.get_mut(&name.job).and_then(|entry| entry.task(name)) {
            task.made_room_at = Some(now);
        }
        log::info!(task = name.to_string().as_str(), worker = worker.as_str(), stopped = tasks.len(), lost_ms = lost; "makes room");
        for task in tasks {
            self.stop_run(&worker, task);
        }
    }

    /// Starts all members of a gang, or none.
    fn place_gang(&mut self, rank: Rank, service: &str, step: &Step, now: Instant) {
        let Rank { time, step: number, job, .. } = rank;
        let Some(run) = self.jobs.get_mut(&job).and_then(|entry| entry.step_run(time, number))
        else {
            return;
        };
        if run.waiting.len() < run.tasks.len() {
            return;
        }
        let last = run.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let checkpoint =
            run.tasks.iter().map(|task| task.checkpoint.clone()).find(|text| !text.is_empty());
        let members = run.tasks.len() as u32;
        let racks = self.racks(service, step);
        for rack in racks {
            let mut chosen = Vec::new();
            let mut taken: HashMap<WorkerId, (Room, u32)> = HashMap::new();
            for index in 0..members {
                let task = TaskName { job, time, step: number, index };
                match self.choose_member(task, service, step, rack.as_deref(), &taken, now) {
                    Some(worker) => {
                        let need = Entry::room_of(step);
                        let sum = taken.entry(worker.clone()).or_default();
                        sum.0.cpu += need.cpu;
                        sum.0.memory_mb += need.memory_mb;
                        sum.0.gpu += need.gpu;
                        sum.1 += 1;
                        chosen.push((task, worker));
                    }
                    None => break,
                }
            }
            if chosen.len() < members as usize {
                continue;
            }
            for (task, worker) in chosen {
                if let Some(member) = self.jobs.get_mut(&job).and_then(|entry| entry.task(task)) {
                    member.last_run = last;
                    member.checkpoint = checkpoint.clone().unwrap_or_default();
                }
                self.start(task, &worker, step, None, now);
            }
            self.ready.remove(&rank);
            return;
        }
    }

    /// Racks to try for a gang; `None` stands for any mix of racks.
    fn racks(&self, service: &str, step: &Step) -> Vec<Option<String>> {
        let mut racks = Vec::new();
        if step.same_rack {
            let workers = self.workers.values().filter(|worker| worker.entry.service == service);
            let mut names: Vec<String> =
                workers.filter_map(|worker| worker.entry.rack().map(str::to_owned)).collect();
            names.sort();
            names.dedup();
            racks.extend(names.into_iter().map(Some));
        }
        racks.push(None);
        racks
    }

    fn choose_member(
        &self,
        task: TaskName,
        service: &str,
        step: &Step,
        rack: Option<&str>,
        taken: &HashMap<WorkerId, (Room, u32)>,
        now: Instant,
    ) -> Option<WorkerId> {
        let (need, kind) = (Entry::room_of(step), Entry::kind_of(step));
        let demand = Demand { task, service, step, need, kind, avoid: &[] };
        let fits = |worker: &&Worker| {
            let (sum, count) = taken.get(&worker.peer.id).copied().unwrap_or_default();
            let room = Room {
                cpu: need.cpu + sum.cpu,
                memory_mb: need.memory_mb + sum.memory_mb,
                gpu: need.gpu + sum.gpu,
            };
            let apart = step.max_per_worker == 0
                || worker.count_of_step(task) + count < step.max_per_worker;
            let on_rack = rack.is_none() || worker.entry.rack() == rack;
            apart && on_rack && worker.fits(room) && allows(worker, &demand, now)
        };
        let best = self.workers.values().filter(fits).min_by_key(|worker| cost(worker, &demand));
        best.map(|worker| worker.peer.id.clone())
    }

    fn start(
        &mut self,
        name: TaskName,
        id: &str,
        step: &Step,
        ticket: Option<String>,
        now: Instant,
    ) {
        let token = self.token;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(lease_until) = worker.grant(now) else { return };
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let spec = entry.accepted.job.spec.clone();
        let Some(task) = entry.task(name) else { return };
        let run = next_run(task, token);
        task.last_run = run;
        task.runs += 1;
        let waited = task.waiting_since.take().map(|since| now.saturating_duration_since(since));
        let checkpoint = task.checkpoint.clone();
        if let Some(run) = entry.step_run(name.time, name.step) {
            run.waiting.remove(&name.index);
        }
        let slot = Slot::new(run, Phase::Starting, Entry::room_of(step), Entry::kind_of(step), now);
        worker.insert(name, slot);
        let waited_ms = waited.unwrap_or_default().as_millis() as u64;
        log::info!(task = name.to_string().as_str(), run, worker = id, waited_ms, free_cpu = worker.free.cpu; "start");
        let peer = worker.peer.clone();
        let ticket = ticket.unwrap_or_default();
        self.outbox.push(Order::Start {
            peer,
            task: name,
            run,
            spec,
            lease_until,
            checkpoint,
            ticket,
        });
    }
}

/// The tasks to stop on a worker so that `need` fits, youngest first, and the core-milliseconds
/// of work that are lost; `None` if that cannot make enough room.
fn victims(worker: &Worker, need: Room, now: Instant) -> Option<(u64, Vec<TaskName>)> {
    let mut works: Vec<(&TaskName, &Slot)> = worker
        .slots
        .iter()
        .filter(|(_, slot)| slot.kind == Kind::Works && matches!(slot.phase, Phase::Live(_)))
        .collect();
    works.sort_by_key(|(_, slot)| std::cmp::Reverse(slot.since));
    let mut free = worker.free;
    let (mut lost, mut tasks) = (0, Vec::new());
    for (task, slot) in works {
        if need.cpu <= free.cpu && need.memory_mb <= free.memory_mb {
            break;
        }
        free.cpu += slot.room.cpu;
        free.memory_mb += slot.room.memory_mb;
        let ran = now.saturating_duration_since(slot.since).as_millis() as u64;
        lost += ran * u64::from(slot.room.cpu) / 1_000;
        tasks.push(*task);
    }
    (need.cpu <= free.cpu && need.memory_mb <= free.memory_mb).then_some((lost, tasks))
}

/// Why a worker may not run a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Hindrance {
    /// It belongs to another service.
    #[error("another service")]
    Service,
    /// It is given nothing new.
    #[error("{0}")]
    Closed(Closed),
    /// It lacks the label that the step requires.
    #[error("label missing")]
    Label,
    /// As many tasks of the step as allowed may run there.
    #[error("spread of the step")]
    Spread,
    /// There is not enough room.
    #[error("no room")]
    Room,
}

/// Why a worker may not run the task now; `None` if it may.
fn hindrance(worker: &Worker, demand: &Demand<'_>, now: Instant) -> Option<Hindrance> {
    let step = demand.step;
    if worker.entry.service != demand.service {
        return Some(Hindrance::Service);
    }
    if let Some(closed) = worker.closed(now) {
        return Some(Hindrance::Closed(closed));
    }
    if step.requires.as_ref().is_some_and(|label| !worker.entry.labels.contains(label)) {
        return Some(Hindrance::Label);
    }
    let crowded =
        step.max_per_worker > 0 && worker.count_of_step(demand.task) >= step.max_per_worker;
    if crowded || worker.slots.contains_key(&demand.task) {
        return Some(Hindrance::Spread);
    }
    if worker.clock.is_none() || !worker.fits(demand.need) {
        return Some(Hindrance::Room);
    }
    None
}

/// Why a worker may not run a task of a known job now; `None` if it may.
pub fn hindrance_of(
    cell: &Cell,
    worker: &Worker,
    task: TaskName,
    now: Instant,
) -> Option<Hindrance> {
    let entry = cell.jobs.get(&task.job)?;
    let step = entry.step(task.step)?;
    let (need, kind) = (Entry::room_of(step), Entry::kind_of(step));
    let service = entry.accepted.service.as_str();
    hindrance(worker, &Demand { task, service, step, need, kind, avoid: &[] }, now)
}

/// Whether a worker may run the task now.
fn allows(worker: &Worker, demand: &Demand<'_>, now: Instant) -> bool {
    hindrance(worker, demand, now).is_none()
}

/// Order of preference among workers that may run the task; the least comes first.
fn cost(worker: &Worker, demand: &Demand<'_>) -> (bool, bool, u32, u32, u32) {
    let avoided = demand.avoid.contains(&worker.peer.id);
    let far = match &demand.step.data_rack {
        Some(rack) => !worker.entry.labels.contains(rack),
        None => false,
    };
    let crowd = match demand.kind {
        // Users should not share a worker with what takes leftovers.
        Kind::Serves(_) => worker.slots.values().filter(|slot| slot.kind == Kind::Fills).count(),
        Kind::Fills => worker
            .slots
            .values()
            .filter(|slot| matches!(slot.kind, Kind::Serves(_) | Kind::Fills))
            .count(),
        _ => 0,
    };
    // Tasks that last stand together, so that other machines are free to be moved.
    let lasting = match demand.kind {
        Kind::Works => 0,
        _ => worker.slots.values().filter(|slot| slot.kind != Kind::Works).count() as u32,
    };
    (avoided, far, crowd as u32 + worker.failures, u32::MAX - lasting, u32::MAX - worker.free.cpu)
}
