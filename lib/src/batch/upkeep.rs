//! Carries out waves: empties machines, has their upkeep done, at most so many at once.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine;
use spokelift_platform::machine::Holder;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;
use spokelift_platform::machine::Status;
use spokelift_platform::store::Guard;
use spokelift_platform::store::STATUS_TOPIC;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::WorkerId;
use tokio::time::sleep;

use crate::batch::cell::Cell;
use crate::batch::pool::load::loads;
use crate::batch::scheduler::Scheduler;
use crate::batch::worker::Kind;
use crate::batch::worker::Phase;

/// Pause after the states of waves could not be read.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a call about machines may take.
pub const CALL: Duration = Duration::from_millis(800);
/// How long tasks on a machine may take to end by themselves before they are stopped.
const EMPTY_TIME: Duration = Duration::from_millis(4_000);

/// How many more machines are empty or being emptied than may be down at once, so that the
/// next are empty when those come back.
const AHEAD: usize = 2;
/// Share of a wave's time in which it is planned to be done; the rest is for what goes wrong.
const AIM_SHARE: f64 = 0.6;
/// Time for which one machine is kept from work: about 3 s until it is empty, 2 s of upkeep and
/// 1 s until its new worker is found.
const CYCLE: Duration = Duration::from_millis(6_000);
/// How long after it began a scheduler ends no task that lasts of its own accord: stops that its
/// predecessor gave may still be under way, and a look shows their tasks as running until then.
const SETTLE: Duration = Duration::from_millis(3_000);

/// What is known of one wave.
struct Course {
    wave: Wave,
    seen_at: Instant,
    /// Machines whose upkeep has begun.
    begun: HashSet<MachineId>,
    /// Machines that are down for it, since when, and the worker that lived there before.
    down: HashMap<MachineId, (Instant, Option<WorkerId>)>,
    /// Machines that are being emptied, since when.
    emptying: HashMap<MachineId, Instant>,
    /// What the operator has been told: none, running, succeeded.
    told: Option<bool>,
}

/// The waves under way.
#[derive(Default)]
pub struct Waves {
    courses: HashMap<u64, Course>,
}

impl Waves {
    /// Begins with what the store knows of earlier waves.
    pub async fn begin(scheduler: &Scheduler) -> Waves {
        let over = read_over(scheduler).await;
        scheduler.cell().waves_over = over;
        Waves::default()
    }

    /// Takes in new waves; returns whether any is under way.
    pub fn take(&mut self, scheduler: &Scheduler) -> bool {
        let cell = scheduler.cell();
        let waves = scheduler.node.waves();
        for wave in waves.into_iter().filter(|wave| !cell.waves_over.contains(&wave.number)) {
            self.courses.entry(wave.number).or_insert_with(|| {
                let begun = cell.begun.get(&wave.number).cloned();
                Course::new(wave, begun.unwrap_or_default())
            });
        }
        !self.courses.is_empty()
    }

    /// Goes on with every wave, with at most so many orders. `taken` are machines that are about to
    /// move to another pool.
    pub async fn advance(
        &mut self,
        scheduler: &Arc<Scheduler>,
        machines: &Machines,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        orders: &mut usize,
    ) {
        for course in self.courses.values_mut() {
            advance(scheduler, machines, course, list, taken, orders).await;
            if course.told == Some(true) {
                scheduler.cell().wave_over(course.wave.number);
            }
        }
        self.courses.retain(|_, course| course.told != Some(true));
    }

    /// Machines that are being emptied or are down for a wave.
    pub fn busy(&self) -> HashSet<MachineId> {
        let courses = self.courses.values();
        courses
            .flat_map(|course| course.emptying.keys().chain(course.down.keys()))
            .cloned()
            .collect()
    }
}

impl Course {
    fn new(wave: Wave, begun: HashSet<MachineId>) -> Course {
        Course {
            wave,
            seen_at: Instant::now(),
            begun,
            down: HashMap::new(),
            emptying: HashMap::new(),
            told: None,
        }
    }
}

/// Waves that an earlier scheduler has finished.
async fn read_over(scheduler: &Scheduler) -> HashSet<u64> {
    loop {
        match scheduler.node.store.newest(STATUS_TOPIC, CALL).await {
            Ok(newest) => {
                let over = newest.records.iter().filter(|record| {
                    record.value.as_ref().is_some_and(|value| Wave::is_over(value))
                });
                return over.filter_map(|record| Wave::status_number(&record.key)).collect();
            }
            Err(error) => {
                log::debug!("the states of waves cannot be read: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn advance(
    scheduler: &Arc<Scheduler>,
    machines: &Machines,
    course: &mut Course,
    list: &[Machine],
    taken: &HashSet<MachineId>,
    orders: &mut usize,
) {
    if course.told.is_none() {
        tell(scheduler, course, false).await;
    }
    let listed: HashMap<&str, &Machine> =
        list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
    settle_down(scheduler, course, &listed);
    let left: Vec<MachineId> =
        course.wave.machines.iter().filter(|id| !course.begun.contains(*id)).cloned().collect();
    let stays = |id: &&MachineId| listed.contains_key(id.as_str());
    if !left.iter().any(|id| stays(&id)) {
        tell(scheduler, course, true).await;
        return;
    }
    choose_next(scheduler, course, &left, &listed, taken);
    let mut ready: Vec<MachineId> = {
        let mut cell = scheduler.cell();
        if scheduler.began_at.elapsed() < SETTLE {
            return;
        }
        let emptying: Vec<(MachineId, Instant)> =
            course.emptying.iter().map(|(id, since)| (id.clone(), *since)).collect();
        emptying
            .into_iter()
            .filter(|(id, since)| {
                let worker = worker_of(&listed, id);
                worker.is_none_or(|worker| empty(&mut cell, &worker, since.elapsed() > EMPTY_TIME))
            })
            .map(|(id, _)| id)
            .collect()
    };
    ready.truncate((*orders).min(course.wave.max_down.saturating_sub(course.down.len())));
    *orders -= ready.len();
    order(scheduler, machines, course, &ready, &listed).await;
}

fn worker_of(listed: &HashMap<&str, &Machine>, id: &str) -> Option<WorkerId> {
    listed.get(id)?.worker.clone()
}

/// A machine counts as down until the platform lists it as up with another worker. One of the
/// reserve is switched off and gets no other worker.
fn settle_down(scheduler: &Scheduler, course: &mut Course, listed: &HashMap<&str, &Machine>) {
    let least = scheduler.node.settings.upkeep_time;
    let config = scheduler.node.config();
    let is_off = |machine: &Machine| {
        let service = config.as_ref().and_then(|config| config.service(&machine.pool));
        service.is_some_and(|service| service.is_reserve)
    };
    course.down.retain(|id, (since, before)| {
        let back = listed.get(id.as_str()).is_none_or(|machine| {
            let lives_again = machine.worker.is_some() && machine.worker != *before;
            machine.status == Status::Up && (lives_again || is_off(machine))
        });
        !(back && since.elapsed() >= least)
    });
}

/// Picks machines to empty, the least loaded first.
fn choose_next(
    scheduler: &Scheduler,
    course: &mut Course,
    left: &[MachineId],
    listed: &HashMap<&str, &Machine>,
    taken: &HashSet<MachineId>,
) {
    let under_way = course.emptying.len() + course.down.len();
    let mut free = (course.wave.max_down + AHEAD).saturating_sub(under_way);
    if free == 0 {
        return;
    }
    // Machines beyond these are taken only where they can be spared.
    let mut owed = at_once(course, left.len()).saturating_sub(under_way);
    let mut cell = scheduler.cell();
    let mut candidates: Vec<(usize, MachineId)> = Vec::new();
    for id in left.iter().filter(|id| !course.emptying.contains_key(*id) && !taken.contains(*id)) {
        let Some(machine) = listed.get(id.as_str()).filter(|machine| machine.status == Status::Up)
        else {
            continue;
        };
        let load = cell.worker_on(machine).map_or(0, |worker| worker.slots.len());
        candidates.push((load, id.clone()));
    }
    candidates.sort();
    let mut loads = loads(&cell, Instant::now());
    for (_, id) in candidates {
        let Some(machine) = listed.get(id.as_str()) else { continue };
        let size = u64::from(machine.room.cpu);
        let load = loads.get_mut(&machine.pool);
        let spare = load.as_ref().is_none_or(|load| load.can_spare(size));
        if free == 0 || (!spare && owed == 0) {
            continue;
        }
        free -= 1;
        owed = owed.saturating_sub(1);
        if let Some(load) = load {
            load.give(size);
        }
        cell.cordon_on(machine);
        log::info!(machine = id.as_str(), wave = course.wave.number, spare, pool = machine.pool.as_str(); "empties for upkeep");
        course.emptying.insert(id, Instant::now());
    }
}

/// How many machines must be empty or down at a time for the wave to be done in time.
fn at_once(course: &Course, left: usize) -> usize {
    let aim = course.wave.duration.mul_f64(AIM_SHARE);
    let remaining = aim.saturating_sub(course.seen_at.elapsed()).max(CYCLE);
    let needed = left as f64 * CYCLE.as_secs_f64() / remaining.as_secs_f64();
    needed.ceil() as usize
}

/// Moves what it may off a worker; returns whether nothing is left there.
///
/// Tasks that end by themselves are let end, unless `hurry`. Of a step that lasts, at most as many
/// tasks are away at once as it allows.
pub fn empty(cell: &mut Cell, id: &str, hurry: bool) -> bool {
    let Some(worker) = cell.workers.get_mut(id) else { return true };
    worker.cordoned = true;
    let tasks: Vec<(TaskName, Kind, Phase)> =
        worker.slots.iter().map(|(task, slot)| (*task, slot.kind, slot.phase)).collect();
    for (task, kind, phase) in &tasks {
        if !matches!(phase, Phase::Live(_)) {
            continue;
        }
        let lasts = is_lasting(cell, *task);
        let stop = match kind {
            _ if lasts => may_leave(cell, *task),
            _ => hurry,
        };
        if stop {
            log::info!(task = task.to_string().as_str(), worker = id, hurry; "moves off");
            cell.stop_run(id, *task);
        }
    }
    tasks.is_empty()
}

fn is_lasting(cell: &Cell, task: TaskName) -> bool {
    let entry = cell.jobs.get(&task.job);
    entry.and_then(|entry| entry.step(task.step)).is_some_and(|step| step.long_running)
}

/// Whether a task may be ended now: with it, no more tasks of its step are away than allowed.
/// Every other task counts as away that is not known to be at work.
fn may_leave(cell: &Cell, name: TaskName) -> bool {
    let Some(entry) = cell.jobs.get(&name.job) else { return true };
    let Some(step) = entry.step(name.step) else { return true };
    let Some(allowed) = step.may_miss else { return true };
    let other = |task: &TaskName| {
        let same = (task.job, task.time, task.step) == (name.job, name.time, name.step);
        same && task.index != name.index
    };
    // What a silent worker runs may be gone by now.
    let answering = cell.workers.values().filter(|worker| worker.misses == 0);
    let working = answering.flat_map(|worker| worker.slots.iter()).filter(|(task, slot)| {
        other(task) && matches!(slot.phase, Phase::Live(_)) && slot.percent >= 100
    });
    let others = step.count.saturating_sub(1);
    let away = others.saturating_sub(working.count() as u32);
    away < allowed
}

/// Orders the upkeep of machines, all at once.
async fn order(
    scheduler: &Scheduler,
    machines: &Machines,
    course: &mut Course,
    ids: &[MachineId],
    listed: &HashMap<&str, &Machine>,
) {
    if !scheduler.may_order_machines() {
        return;
    }
    let holder = Holder { node: &scheduler.node.settings.node, token: scheduler.token };
    let number = course.wave.number;
    let calls = ids.iter().map(|id| async move { machines.upkeep(holder, id, number, CALL).await });
    let answers = join_all(calls).await;
    for (id, answer) in ids.iter().zip(answers) {
        on_answer(scheduler, course, id, worker_of(listed, id), answer);
    }
}

fn on_answer(
    scheduler: &Scheduler,
    course: &mut Course,
    id: &str,
    before: Option<WorkerId>,
    answer: Result<(), CallError>,
) {
    let wave = course.wave.number;
    log::info!(machine = id, wave, ok = answer.is_ok(); "upkeep ordered");
    match answer {
        Ok(()) => {}
        Err(error) if machine::is_fenced(&error) => {
            scheduler.cell().fenced = true;
            return;
        }
        Err(error @ CallError::Refused { .. }) => {
            log::info!(machine = id, wave; "upkeep refused: {error}");
            return;
        }
        Err(error) => {
            // It may have begun, so it counts as down; asking again does no harm.
            log::info!(machine = id, wave; "upkeep without an answer: {error}");
            course.down.insert(id.to_owned(), (Instant::now(), before));
            return;
        }
    }
    course.begun.insert(id.to_owned());
    scheduler.cell().upkeep_begun(wave, id);
    course.emptying.remove(id);
    course.down.insert(id.to_owned(), (Instant::now(), before));
    scheduler.cell().end_other_lives(id, "");
}

async fn tell(scheduler: &Scheduler, course: &mut Course, succeeded: bool) {
    let record = Wave::status(course.wave.number, succeeded);
    let written = scheduler.node.store.append(STATUS_TOPIC, &[record], Guard::None, CALL).await;
    match written {
        Ok(_) => {
            let took_s = course.seen_at.elapsed().as_secs();
            log::info!(wave = course.wave.number, succeeded, took_s; "wave told");
            course.told = Some(succeeded);
        }
        Err(error) => {
            log::info!("the state of wave {} was not written: {error}", course.wave.number)
        }
    }
}
