//! Carries out waves: empties machines, has their upkeep done, at most so many at once.

mod disruption;
pub mod evacuation;
pub mod plan;
pub mod progress;
pub mod reservations;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::machine;
use spokelift_platform::machine::Leader;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;
use spokelift_platform::store::Guard;
use spokelift_platform::store::STATUS_TOPIC;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Incarnation;
use tokio::sync::oneshot;
use tokio::time::sleep;

pub use crate::batch::maintenance::evacuation::evacuate;
pub use crate::batch::maintenance::evacuation::evacuate_draining;
use crate::batch::maintenance::progress::MachinesById;
use crate::batch::maintenance::progress::WaveProgress;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::transport::clock;

/// Pause after the states of waves could not be read.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How long a call about machines may take.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// The waves under way.
#[derive(Default)]
pub struct Waves {
    waves: HashMap<u64, WaveProgress>,
}

impl Waves {
    /// Begins with what the store knows of earlier waves.
    pub async fn restore(scheduler: &Scheduler) -> Waves {
        let over = read_finished(scheduler).await;
        scheduler.cell().ended_waves = over;
        Waves::default()
    }

    /// Takes in new waves; returns whether any is under way.
    pub fn add_new(&mut self, scheduler: &Scheduler) -> bool {
        let mut cell = scheduler.cell();
        let wall = wall_clock();
        for wave in scheduler.node.waves() {
            if cell.ended_waves.contains(&wave.number) || self.waves.contains_key(&wave.number) {
                continue;
            }
            let begun = cell.maintenance_started.get(&wave.number).cloned();
            let age = wall.saturating_sub(cell.wave_first_seen(wave.number, wall));
            let course = WaveProgress::new(wave, begun.unwrap_or_default(), age, clock::now());
            self.waves.insert(course.wave.number, course);
        }
        !self.waves.is_empty()
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
        for course in self.waves.values_mut() {
            course.set_held(resting);
            advance_wave(scheduler, machines, course, list, &taken, orders).await;
            if course.reported == Some(true) {
                scheduler.cell().end_wave(course.wave.number);
            }
        }
        self.waves.retain(|_, course| course.reported != Some(true));
    }

    /// Machines that are being emptied or are down for a wave.
    pub fn busy_machines(&self) -> HashSet<MachineId> {
        let courses = self.waves.values();
        courses
            .flat_map(|course| course.evacuating.keys().chain(course.down.keys()))
            .cloned()
            .collect()
    }
}

/// Waves that an earlier scheduler has finished.
async fn read_finished(scheduler: &Scheduler) -> HashSet<u64> {
    loop {
        match scheduler.node.read_newest(STATUS_TOPIC, CALL_TIMEOUT).await {
            Ok(newest) => {
                let over = newest.records.iter().filter(|record| {
                    record.value.as_ref().is_some_and(|value| Wave::is_over(value))
                });
                return over.filter_map(|record| Wave::status_number(&record.key)).collect();
            }
            Err(error) => {
                log::debug!("the states of waves cannot be read: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Goes on with one wave.
async fn advance_wave(
    scheduler: &Arc<Scheduler>,
    machines: &Machines,
    course: &mut WaveProgress,
    list: &[Machine],
    taken: &HashSet<MachineId>,
    orders: &mut usize,
) {
    if course.needs_report(false) {
        report_status(scheduler, course, false);
    }
    let listed: MachinesById<'_> =
        list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
    let config = scheduler.node.config();
    let least = scheduler.node.settings.upkeep_time;
    let answers = |machine: &Machine| {
        let cell = scheduler.cell();
        let worker = cell.worker_on(machine)?;
        Some((worker.peer.incarnation.clone(), worker.last_poll_answer_at()?))
    };
    course.update_down(least, config.as_deref(), &listed, answers, clock::now());
    if !course.remaining().iter().any(|id| listed.contains_key(id.as_str())) {
        if course.needs_report(true) {
            report_status(scheduler, course, true);
        }
        return;
    }
    let ready =
        plan::plan_round(&mut scheduler.cell(), course, &listed, taken, *orders, clock::now());
    *orders -= ready.len();
    order_maintenance(scheduler, machines, course, &ready, &listed).await;
}

/// Orders the upkeep of machines, all at once.
async fn order_maintenance(
    scheduler: &Scheduler,
    machines: &Machines,
    course: &mut WaveProgress,
    ids: &[MachineId],
    listed: &MachinesById<'_>,
) {
    if ids.is_empty() || !scheduler.may_order_boxes() {
        return;
    }
    if !scheduler.announce_orders(ids).await || !scheduler.may_order_boxes() {
        return;
    }
    let holder = Leader { node: &scheduler.node.settings.node, token: scheduler.token };
    let number = course.wave.number;
    let now = clock::now();
    let ids: Vec<&MachineId> =
        ids.iter().filter(|id| scheduler.order_window.record_order(id, now)).collect();
    let calls = ids.iter().map(|id| async move {
        machines.start_maintenance(holder, id, number, CALL_TIMEOUT).await
    });
    let answers = join_all(calls).await;
    for (id, answer) in ids.into_iter().zip(answers) {
        let before = plan::listed_incarnation(&scheduler.cell(), listed, id);
        on_answer(scheduler, course, id, before, answer);
    }
}

fn on_answer(
    scheduler: &Scheduler,
    course: &mut WaveProgress,
    id: &str,
    before: Option<Incarnation>,
    answer: Result<(), CallError>,
) {
    scheduler.node.record_machines_result(&answer);
    let wave = course.wave.number;
    log::info!(machine = id, wave, ok = answer.is_ok(); "upkeep ordered");
    match answer {
        Ok(()) => {}
        Err(error) if machine::is_fenced(&error) => {
            scheduler.cell().is_fenced = true;
            return;
        }
        Err(error @ CallError::Refused { .. }) => {
            let reason = error.reason();
            scheduler.node.counters.count(&format!("batch.upkeep.refused.{reason}"));
            // One that is only turned away may be asked again in the next round.
            if !error.is_turned_away() && course.defer(id, reason, clock::now()) {
                log::info!(machine = id, wave, reason; "upkeep refused");
            }
            return;
        }
        Err(error) => {
            // It may have begun, so it counts as down; asking again does no harm.
            scheduler.node.counters.count("batch.upkeep.no-answer");
            log::info!(machine = id, wave; "upkeep without an answer: {error}");
            course.unanswered.insert(id.to_owned());
            course.mark_down(id, before, clock::now());
            return;
        }
    }
    scheduler.cell().record_maintenance_started(wave, id);
    // Its worker stays known until it is silent or another answers: if the upkeep had been done
    // before, it lives on, and nobody would tell of it again.
    course.mark_started(id, before, clock::now());
}

/// Tells the operator how far a wave is. Nothing else waits for that: a store that is slow or loses answers
/// would hold up every order about boxes for up to [`CALL_TIMEOUT`].
fn report_status(scheduler: &Arc<Scheduler>, course: &mut WaveProgress, succeeded: bool) {
    let (written, told) = oneshot::channel();
    course.pending_report = Some((succeeded, told));
    let (wave, seen_at) = (course.wave.number, course.first_seen_at);
    let shared = scheduler.clone();
    scheduler.spawn(async move {
        let record = Wave::status(wave, succeeded);
        let done = shared.node.append(STATUS_TOPIC, &[record], &Guard::None, CALL_TIMEOUT).await;
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
