//! Tasks that disturb each other on one worker.

use std::time::Duration;
use std::time::Instant;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Share of its limit at which the tail of a serving task makes its neighbours pause.
const PAUSE_THRESHOLD: f64 = 0.9;
/// Share of its limit below which the neighbours may speed up again.
const SPEED_UP_THRESHOLD: f64 = 0.6;
/// How much faster a neighbour may work after each [`PACE_STEP_INTERVAL`], in hundredths.
const PACE_STEP_PERCENT: u32 = 25;
/// Time between two steps up.
const PACE_STEP_INTERVAL: Duration = Duration::from_millis(1_000);

impl Cell {
    /// Slows tasks that take leftovers where a serving task is near its limit, and lets them work
    /// again where all are well below.
    pub fn adjust_best_effort_paces(&mut self, now: Instant) {
        let outbox = &mut self.outbox;
        self.workers.for_each_mut(|worker| {
            let closely = worker.long_running.tasks > 0 && worker.has_service_beside_best_effort();
            if worker.fast_polling != closely && !worker.handed_over {
                worker.fast_polling = closely;
                outbox.push(Order::Watch { peer: worker.peer.clone(), closely });
            }
            if !closely {
                return;
            }
            let strain = max_tail_ratio(worker);
            let peer = worker.peer.clone();
            for (task, slot) in &mut worker.allocations {
                let Some(percent) = next_pace(slot, strain, now) else { continue };
                slot.pace = percent;
                slot.paced_at = Some(now);
                log::info!(task = task.to_string().as_str(), worker:% = peer.incarnation, percent, strain_percent = (strain * 100.0) as u64; "pace");
                outbox.push(Order::Pace { peer: peer.clone(), task: *task, run: slot.run, percent });
            }
        });
    }
}

/// The highest tail among the serving tasks, as a share of its limit.
fn max_tail_ratio(worker: &Worker) -> f64 {
    let shares = worker.allocations.values().filter_map(|slot| match slot.class {
        Class::Service(limit) if limit > 0 => Some(slot.figure as f64 / limit as f64),
        _ => None,
    });
    shares.fold(0.0, f64::max)
}

fn next_pace(slot: &Allocation, strain: f64, now: Instant) -> Option<u32> {
    let live = matches!(slot.phase, Phase::Live(_));
    if slot.class != Class::BestEffort || !live {
        return None;
    }
    let changed =
        slot.paced_at.is_some_and(|at| now.saturating_duration_since(at) < PACE_STEP_INTERVAL);
    if strain >= PAUSE_THRESHOLD && slot.pace > 0 {
        return Some(0);
    }
    let eases = strain < SPEED_UP_THRESHOLD && slot.pace < 100 && !changed;
    eases.then(|| (slot.pace + PACE_STEP_PERCENT).min(100))
}
