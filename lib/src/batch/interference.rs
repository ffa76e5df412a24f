//! Interference between tasks on a worker: slows best-effort tasks that disturb service tasks.

use std::time::Duration;
use std::time::Instant;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::worker::Allocation;
use crate::batch::worker::Class;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

/// Tail latency of a service task, as a fraction of its limit, from which the best-effort tasks on
/// its worker are paused.
const PAUSE_THRESHOLD: f64 = 0.9;
/// Tail latency, as a fraction of the limit, below which they speed up again.
const SPEED_UP_THRESHOLD: f64 = 0.6;
/// How much faster a best-effort task may run after each [`PACE_STEP_INTERVAL`], in percentage
/// points.
const PACE_STEP_PERCENT: u32 = 25;
/// Time between two increases.
const PACE_STEP_INTERVAL: Duration = Duration::from_millis(1_000);

impl Cell {
    /// Pauses best-effort tasks where a service task is near its latency limit, and speeds them up
    /// again where all are well below.
    pub fn adjust_best_effort_paces(&mut self, now: Instant) {
        let outbox = &mut self.outbox;
        self.workers.for_each_mut(|worker| {
            let fast = worker.long_running.tasks > 0 && worker.has_service_beside_best_effort();
            if worker.fast_polling != fast && !worker.handed_over {
                worker.fast_polling = fast;
                outbox.push(Order::SetPollRate { peer: worker.peer.clone(), fast });
            }
            if !fast {
                return;
            }
            let tail_ratio = max_tail_ratio(worker);
            let peer = worker.peer.clone();
            for (task, allocation) in &mut worker.allocations {
                let Some(percent) = next_pace(allocation, tail_ratio, now) else { continue };
                allocation.pace = percent;
                allocation.paced_at = Some(now);
                log::info!(task = task.to_string().as_str(), worker:% = peer.incarnation, percent, strain_percent = (tail_ratio * 100.0) as u64; "task pace changed");
                outbox.push(Order::Pace { peer: peer.clone(), task: *task, run: allocation.run, percent });
            }
        });
    }
}

/// The highest tail latency among the service tasks, as a fraction of its limit.
fn max_tail_ratio(worker: &Worker) -> f64 {
    let ratios = worker.allocations.values().filter_map(|allocation| match allocation.class {
        Class::Service(limit) if limit > 0 => Some(allocation.figure as f64 / limit as f64),
        _ => None,
    });
    ratios.fold(0.0, f64::max)
}

fn next_pace(allocation: &Allocation, tail_ratio: f64, now: Instant) -> Option<u32> {
    let live = matches!(allocation.phase, Phase::Live(_));
    if allocation.class != Class::BestEffort || !live {
        return None;
    }
    let changed_recently = allocation
        .paced_at
        .is_some_and(|at| now.saturating_duration_since(at) < PACE_STEP_INTERVAL);
    if tail_ratio >= PAUSE_THRESHOLD && allocation.pace > 0 {
        return Some(0);
    }
    let speeds_up = tail_ratio < SPEED_UP_THRESHOLD && allocation.pace < 100 && !changed_recently;
    speeds_up.then(|| (allocation.pace + PACE_STEP_PERCENT).min(100))
}
