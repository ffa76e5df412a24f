//! Carries out waves: empties machines, has their upkeep done, at most so many at once.

mod away;
mod course;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

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
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::batch::cell::Cell;
use crate::batch::pool::load::loads;
use crate::batch::scheduler::Scheduler;
use crate::batch::upkeep::away::is_lasting;
use crate::batch::upkeep::away::may_leave;
use crate::batch::upkeep::course::Course;
use crate::batch::upkeep::course::Listed;
use crate::batch::worker::Phase;
use crate::transport::clock;

/// Pause after the states of waves could not be read.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a call about machines may take.
pub const CALL: Duration = Duration::from_millis(800);
/// How long tasks on a machine may take to end by themselves before they are stopped.
const EMPTY_TIME: Duration = Duration::from_millis(4_000);

/// How many more machines are empty or being emptied than may be down at once, so that the
/// next are empty when those come back.
const AHEAD: usize = 2;
/// How long after it began a scheduler ends no task that lasts of its own accord: stops that its
/// predecessor gave may still be under way, and a look shows their tasks as running until then.
const SETTLE: Duration = Duration::from_millis(3_000);

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

/// Waves that an earlier scheduler has finished.
async fn read_over(scheduler: &Scheduler) -> HashSet<u64> {
    loop {
        match scheduler.node.read_newest(STATUS_TOPIC, CALL).await {
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

/// Goes on with one wave.
async fn advance(
    scheduler: &Arc<Scheduler>,
    machines: &Machines,
    course: &mut Course,
    list: &[Machine],
    taken: &HashSet<MachineId>,
    orders: &mut usize,
) {
    if course.wants_word(false) {
        tell(scheduler, course, false);
    }
    let listed: Listed<'_> = list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
    let config = scheduler.node.config();
    let least = scheduler.node.settings.upkeep_time;
    let answered_at = |id: &WorkerId| scheduler.cell().workers.get(id)?.answered_at();
    course.settle_down(least, config.as_deref(), &listed, answered_at);
    let left = course.left();
    if !left.iter().any(|id| listed.contains_key(id.as_str())) {
        if course.wants_word(true) {
            tell(scheduler, course, true);
        }
        return;
    }
    choose_next(&mut scheduler.cell(), course, &left, &listed, taken);
    if clock::since(scheduler.began_at) < SETTLE {
        return;
    }
    let empty = emptied(&mut scheduler.cell(), course, &listed);
    let ready = course.to_order(empty, *orders);
    *orders -= ready.len();
    order(scheduler, machines, course, &ready, &listed).await;
}

/// Moves what it may off the machines being emptied; returns those on which nothing is left.
fn emptied(cell: &mut Cell, course: &Course, listed: &Listed<'_>) -> Vec<MachineId> {
    let mut ready = Vec::new();
    for (id, since) in &course.emptying {
        let hurry = clock::since(*since) > EMPTY_TIME;
        if worker_of(listed, id).is_none_or(|worker| empty(cell, &worker, hurry)) {
            ready.push(id.clone());
        }
    }
    ready
}

fn worker_of(listed: &Listed<'_>, id: &str) -> Option<WorkerId> {
    listed.get(id)?.worker.clone()
}

/// Picks machines to empty, the least loaded first.
fn choose_next(
    cell: &mut Cell,
    course: &mut Course,
    left: &[MachineId],
    listed: &Listed<'_>,
    taken: &HashSet<MachineId>,
) {
    let mut free = (course.wave.max_down + AHEAD).saturating_sub(course.under_way());
    if free == 0 {
        return;
    }
    // Machines beyond these are taken only where they can be spared.
    let mut owed = course.at_once(left.len()).saturating_sub(course.under_way());
    let mut loads = loads(cell, clock::now());
    for machine in candidates(cell, course, left, listed, taken) {
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
        log::info!(machine = machine.id.as_str(), wave = course.wave.number, spare, pool = machine.pool.as_str(); "empties for upkeep");
        course.emptying.insert(machine.id.clone(), clock::now());
    }
}

/// Machines that are up and may be emptied next, the least loaded first.
fn candidates<'a>(
    cell: &Cell,
    course: &Course,
    left: &[MachineId],
    listed: &Listed<'a>,
    taken: &HashSet<MachineId>,
) -> Vec<&'a Machine> {
    let waiting =
        left.iter().filter(|id| !course.emptying.contains_key(*id) && !taken.contains(*id));
    let up = waiting
        .filter_map(|id| listed.get(id.as_str()).copied())
        .filter(|machine| machine.status == Status::Up);
    let mut candidates: Vec<&Machine> = up.collect();
    let tasks = |machine: &Machine| cell.worker_on(machine).map_or(0, |worker| worker.slots.len());
    candidates.sort_by_key(|machine| (tasks(machine), &machine.id));
    candidates
}

/// Moves what it may off a worker; returns whether nothing is left there.
///
/// Tasks that end by themselves are let end, unless `hurry`. Of a step that lasts, at most as many
/// tasks are away at once as it allows. What runs on a worker that has not answered this scheduler is not
/// known.
pub fn empty(cell: &mut Cell, id: &str, hurry: bool) -> bool {
    let Some(mut worker) = cell.workers.get_mut(id) else { return true };
    worker.cordoned = true;
    if !worker.fenced {
        return false;
    }
    let tasks: Vec<(TaskName, Phase)> =
        worker.slots.iter().map(|(task, slot)| (*task, slot.phase)).collect();
    drop(worker);
    for (task, phase) in &tasks {
        if !matches!(phase, Phase::Live(_)) {
            continue;
        }
        let stop = if is_lasting(cell, *task) { may_leave(cell, *task) } else { hurry };
        if stop {
            log::info!(task = task.to_string().as_str(), worker = id, hurry; "moves off");
            cell.stop_run(id, *task);
        }
    }
    tasks.is_empty()
}

/// Orders the upkeep of machines, all at once.
async fn order(
    scheduler: &Scheduler,
    machines: &Machines,
    course: &mut Course,
    ids: &[MachineId],
    listed: &Listed<'_>,
) {
    if ids.is_empty() || !scheduler.may_order_machines() {
        return;
    }
    if !scheduler.announce(ids).await || !scheduler.may_order_machines() {
        return;
    }
    let holder = Holder { node: &scheduler.node.settings.node, token: scheduler.token };
    let number = course.wave.number;
    let now = clock::now();
    let ids: Vec<&MachineId> =
        ids.iter().filter(|id| scheduler.turn.begin_order(id, now)).collect();
    let calls = ids.iter().map(|id| async move { machines.upkeep(holder, id, number, CALL).await });
    let answers = join_all(calls).await;
    for (id, answer) in ids.into_iter().zip(answers) {
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
    scheduler.node.note_machines(&answer);
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
            scheduler.node.counters.count("batch.upkeep.no-answer");
            log::info!(machine = id, wave; "upkeep without an answer: {error}");
            course.unanswered.insert(id.to_owned());
            course.goes_down(id, before);
            return;
        }
    }
    course.unanswered.remove(id);
    course.begun.insert(id.to_owned());
    scheduler.cell().upkeep_begun(wave, id);
    course.emptying.remove(id);
    // Its worker stays known until it is silent or another answers: if the upkeep had been done
    // before, it lives on, and nobody would tell of it again.
    course.goes_down(id, before);
}

/// Tells the operator how far a wave is. Nothing else waits for that: a store that is slow or loses answers
/// would hold up every order about boxes for up to [`CALL`].
fn tell(scheduler: &Arc<Scheduler>, course: &mut Course, succeeded: bool) {
    let (written, told) = oneshot::channel();
    course.telling = Some((succeeded, told));
    let (wave, seen_at) = (course.wave.number, course.seen_at);
    let shared = scheduler.clone();
    scheduler.spawn(async move {
        let record = Wave::status(wave, succeeded);
        let done = shared.node.append(STATUS_TOPIC, &[record], &Guard::None, CALL).await;
        match &done {
            Ok(_) => {
                let took_s = clock::since(seen_at).as_secs();
                log::info!(wave, succeeded, took_s; "wave told");
            }
            Err(error) => log::info!("the state of wave {wave} was not written: {error}"),
        }
        // Nobody listens once the scheduler has ended.
        let _ = written.send(done.is_ok());
    });
}
