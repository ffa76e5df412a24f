//! Carries out maintenance waves: evacuates boxes and orders their maintenance, within the wave's
//! limit of boxes that are down at once.

mod disruption;
pub mod evacuation;
pub mod plan;
pub mod progress;
pub mod reservations;
pub mod status;

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
use spokelift_platform::store::STATUS_TOPIC;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Incarnation;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::batch::box_state::Departure;
use crate::batch::box_state::Purpose;
pub use crate::batch::maintenance::evacuation::evacuate;
pub use crate::batch::maintenance::evacuation::evacuate_draining;
use crate::batch::maintenance::progress::MachinesById;
use crate::batch::maintenance::progress::WaveProgress;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::flush;
use crate::batch::scheduler::wall_clock;
use crate::transport::clock;

/// Delay before the status records of waves are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Timeout of a call about machines, and of reading wave status records.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// The waves under way.
pub struct Waves {
    /// By number.
    waves: HashMap<u64, WaveProgress>,
    statuses: status::Queue,
}

impl Waves {
    /// Reads from the store which waves earlier schedulers have finished.
    pub async fn restore(scheduler: &Arc<Scheduler>) -> Waves {
        let finished = read_finished(scheduler).await;
        scheduler.cell().ended_waves = finished;
        Waves { waves: HashMap::new(), statuses: start_writing_statuses(scheduler) }
    }

    /// Adds new waves; returns whether any wave is under way.
    pub fn add_new(&mut self, scheduler: &Scheduler) -> bool {
        let mut cell = scheduler.cell();
        let wall = wall_clock();
        for wave in scheduler.node.waves() {
            if cell.ended_waves.contains(&wave.number) || self.waves.contains_key(&wave.number) {
                continue;
            }
            let started = cell.maintenance_started.get(&wave.number).cloned();
            let age = wall.saturating_sub(cell.wave_first_seen(wave.number, wall));
            let progress = WaveProgress::new(wave, started.unwrap_or_default(), age, clock::now());
            self.waves.insert(progress.wave.number, progress);
        }
        !self.waves.is_empty()
    }

    /// Advances every wave, with at most `orders` orders in all, and subtracts those given.
    /// `moving` are boxes about to move to another pool, `held` those on hold because an earlier
    /// scheduler may just have ordered them.
    pub async fn advance(
        &mut self,
        scheduler: &Scheduler,
        machines: &Machines,
        list: &[Machine],
        moving: &HashSet<MachineId>,
        held: &HashSet<MachineId>,
        orders: &mut usize,
    ) {
        let taken = moving | held;
        let unsettled = scheduler.order_window.unsettled(clock::now());
        for progress in self.waves.values_mut() {
            progress.set_held(held);
            progress.set_unsettled(&unsettled);
            let statuses = &self.statuses;
            advance_wave(scheduler, machines, statuses, progress, list, &taken, orders).await;
        }
        for (number, _) in self.waves.extract_if(|_, progress| progress.has_ended()) {
            scheduler.cell().end_wave(number);
        }
    }

    /// All boxes of the waves.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.waves.values().flat_map(|progress| &progress.wave.machines)
    }

    /// The maintenance that has a box; `None` if none has.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        let progress = self.waves.values().find(|progress| progress.is_under_way(id))?;
        let purpose = Purpose::Wave(progress.wave.number);
        Some(Departure { purpose, is_ordered: progress.down.contains_key(id) })
    }

    /// Ends all evacuations of boxes that were not ordered; returns their number.
    pub fn cancel_pending(&mut self) -> usize {
        self.waves.values_mut().map(WaveProgress::cancel_pending).sum()
    }

    /// Boxes that are being evacuated or are down for a wave.
    pub fn busy_machines(&self) -> HashSet<MachineId> {
        let waves = self.waves.values();
        waves
            .flat_map(|progress| progress.evacuating.keys().chain(progress.down.keys()))
            .cloned()
            .collect()
    }
}

/// Starts the task that writes the statuses of waves. It is not the one that orders boxes, since a store
/// that is slow or loses answers would delay every order.
fn start_writing_statuses(scheduler: &Arc<Scheduler>) -> status::Queue {
    let (statuses, queue) = mpsc::unbounded_channel();
    let shared = scheduler.clone();
    scheduler.spawn(status::write_all(queue, move |record, sequence| {
        let scheduler = shared.clone();
        async move { flush::write(&scheduler, STATUS_TOPIC, &[record], sequence).await }
    }));
    statuses
}

/// Reads which waves earlier schedulers have finished; retries until the store answers.
async fn read_finished(scheduler: &Scheduler) -> HashSet<u64> {
    loop {
        match scheduler.node.read_newest(STATUS_TOPIC, CALL_TIMEOUT).await {
            Ok(newest) => {
                let finished = newest.records.iter().filter(|record| {
                    record.value.as_ref().is_some_and(|value| Wave::is_finished_status(value))
                });
                return finished.filter_map(|record| Wave::status_number(&record.key)).collect();
            }
            Err(error) => {
                log::debug!("cannot read wave statuses: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Advances one wave.
async fn advance_wave(
    scheduler: &Scheduler,
    machines: &Machines,
    statuses: &status::Queue,
    progress: &mut WaveProgress,
    list: &[Machine],
    taken: &HashSet<MachineId>,
    orders: &mut usize,
) {
    progress.report(statuses, false);
    let listed: MachinesById<'_> =
        list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
    let config = scheduler.node.config();
    let min_down_time = scheduler.node.settings.maintenance_time;
    let answers = |machine: &Machine| {
        let cell = scheduler.cell();
        let worker = cell.worker_on(machine)?;
        Some((worker.peer.incarnation.clone(), worker.last_poll_answer_at()?))
    };
    progress.update_down(min_down_time, config.as_deref(), &listed, answers, clock::now());
    if !progress.remaining().iter().any(|id| listed.contains_key(id.as_str())) {
        progress.report(statuses, true);
        return;
    }
    let ready =
        plan::plan_round(&mut scheduler.cell(), progress, &listed, taken, *orders, clock::now());
    *orders -= ready.len();
    order_maintenance(scheduler, machines, progress, &ready, &listed).await;
}

/// Orders the maintenance of boxes, all concurrently.
async fn order_maintenance(
    scheduler: &Scheduler,
    machines: &Machines,
    progress: &mut WaveProgress,
    ids: &[MachineId],
    listed: &MachinesById<'_>,
) {
    if ids.is_empty() || !scheduler.may_order_boxes() {
        return;
    }
    if !scheduler.announce_orders(ids).await || !scheduler.may_order_boxes() {
        return;
    }
    let leader = Leader { node: &scheduler.node.settings.node, token: scheduler.token };
    let number = progress.wave.number;
    let now = clock::now();
    let ids: Vec<&MachineId> =
        ids.iter().filter(|id| scheduler.order_window.record_order(id, now)).collect();
    let calls = ids.iter().map(|id| async move {
        machines.start_maintenance(leader, id, number, CALL_TIMEOUT).await
    });
    let answers = join_all(calls).await;
    for (id, answer) in ids.into_iter().zip(answers) {
        let before = plan::listed_incarnation(&scheduler.cell(), listed, id);
        on_answer(scheduler, progress, id, before, answer);
    }
}

fn on_answer(
    scheduler: &Scheduler,
    progress: &mut WaveProgress,
    id: &str,
    before: Option<Incarnation>,
    answer: Result<(), CallError>,
) {
    scheduler.record_order_answer(id, &answer);
    let wave = progress.wave.number;
    log::info!(machine = id, wave, ok = answer.is_ok(); "maintenance ordered");
    match answer {
        Ok(()) => {}
        Err(error) if machine::is_fenced(&error) => {
            scheduler.cell().is_fenced = true;
            return;
        }
        Err(error @ CallError::Refused { .. }) => {
            let reason = error.reason();
            scheduler.node.counters.count(&format!("batch.upkeep.refused.{reason}"));
            // An order that was only rejected for now may be repeated in the next round.
            if !error.is_unavailable() && progress.defer(id, reason, clock::now()) {
                log::info!(machine = id, wave, reason; "maintenance refused");
            }
            return;
        }
        Err(error) => {
            // The maintenance may have started, so the box counts as down; repeating the order is
            // harmless.
            scheduler.node.counters.count("batch.upkeep.no-answer");
            log::info!(machine = id, wave; "no answer to maintenance order: {error}");
            progress.unanswered.insert(id.to_owned());
            progress.mark_down(id, before, clock::now());
            return;
        }
    }
    scheduler.cell().record_maintenance_started(wave, id);
    // The worker stays known until it becomes unresponsive or another one answers: if an earlier
    // scheduler had the maintenance done already, this worker keeps running, and its entry in the
    // store would not be written again.
    progress.mark_started(id, before, clock::now());
}
