//! Carries out waves: empties machines, has their upkeep done, at most so many at once.

mod away;
pub mod course;
pub mod off;
pub mod places;
pub mod plan;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::machine;
use spokelift_platform::machine::Holder;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;
use spokelift_platform::store::Guard;
use spokelift_platform::store::STATUS_TOPIC;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Life;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::batch::upkeep::course::Course;
use crate::batch::upkeep::course::Listed;
pub use crate::batch::upkeep::off::empty;
pub use crate::batch::upkeep::off::leave_draining;
use crate::transport::clock;

/// Pause after the states of waves could not be read.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a call about machines may take.
pub const CALL: Duration = Duration::from_millis(800);
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
        let mut cell = scheduler.cell();
        let wall = wall_clock();
        for wave in scheduler.node.waves() {
            if cell.waves_over.contains(&wave.number) || self.courses.contains_key(&wave.number) {
                continue;
            }
            let begun = cell.begun.get(&wave.number).cloned();
            let age = wall.saturating_sub(cell.wave_seen(wave.number, wall));
            let course = Course::new(wave, begun.unwrap_or_default(), age, clock::now());
            self.courses.insert(course.wave.number, course);
        }
        !self.courses.is_empty()
    }

    /// Goes on with every wave, with at most so many orders. `moving` are machines that are about to move to another
    /// pool, `resting` those that an earlier scheduler may have ordered just now.
    pub async fn advance(
        &mut self,
        scheduler: &Arc<Scheduler>,
        machines: &Machines,
        list: &[Machine],
        moving: &HashSet<MachineId>,
        resting: &HashSet<MachineId>,
        orders: &mut usize,
    ) {
        let taken = moving | resting;
        for course in self.courses.values_mut() {
            course.note_resting(resting);
            advance(scheduler, machines, course, list, &taken, orders).await;
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
    let answers = |machine: &Machine| {
        let cell = scheduler.cell();
        let worker = cell.worker_on(machine)?;
        Some((worker.peer.life.clone(), worker.answered_at()?))
    };
    course.settle_down(least, config.as_deref(), &listed, answers, clock::now());
    if !course.left().iter().any(|id| listed.contains_key(id.as_str())) {
        if course.wants_word(true) {
            tell(scheduler, course, true);
        }
        return;
    }
    let ready = plan::next(&mut scheduler.cell(), course, &listed, taken, *orders, clock::now());
    *orders -= ready.len();
    order(scheduler, machines, course, &ready, &listed).await;
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
        let before = plan::worker_of(&scheduler.cell(), listed, id);
        on_answer(scheduler, course, id, before, answer);
    }
}

fn on_answer(
    scheduler: &Scheduler,
    course: &mut Course,
    id: &str,
    before: Option<Life>,
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
            let reason = error.reason();
            scheduler.node.counters.count(&format!("batch.upkeep.refused.{reason}"));
            // One that is only turned away may be asked again in the next round.
            if !error.is_turned_away() && course.put_off(id, reason, clock::now()) {
                log::info!(machine = id, wave, reason; "upkeep refused");
            }
            return;
        }
        Err(error) => {
            // It may have begun, so it counts as down; asking again does no harm.
            scheduler.node.counters.count("batch.upkeep.no-answer");
            log::info!(machine = id, wave; "upkeep without an answer: {error}");
            course.unanswered.insert(id.to_owned());
            course.goes_down(id, before, clock::now());
            return;
        }
    }
    scheduler.cell().upkeep_begun(wave, id);
    // Its worker stays known until it is silent or another answers: if the upkeep had been done
    // before, it lives on, and nobody would tell of it again.
    course.begins(id, before, clock::now());
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
