//! Lower bounds for any strategy, computed from the budgets alone.
//!
//! A pool of n boxes, at most b of them out at a time, each for its own time t, takes at least the
//! longest t, the sum of all t divided by b, and ceil(n/b) times the shortest t. The same bounds hold
//! for each hall with its own limit. Every box is out for its t, so the buffer is at least the sum
//! of all t. Boxes in a hall or rack that fails use up budget during the outage, so that only b minus
//! their number can be worked on meanwhile. Boxes that never return are left out.

use std::collections::BTreeMap;

use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Pool;

use crate::bench::plan::Measures;
use crate::bench::plan::Scenario;

pub fn lower_bound(fleet: &Fleet, scenario: &Scenario) -> Measures {
    let mut rollout_ms = 0;
    let mut buffer_ms = 0;
    for pool in fleet.pools.values() {
        let mut all = Vec::new();
        let mut halls: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for id in &pool.boxes {
            if let Some(duration_ms) = scenario.durations_ms[id] {
                all.push(duration_ms);
                halls.entry(&fleet.boxes[id].shape.hall).or_default().push(duration_ms);
            }
        }
        buffer_ms += all.iter().sum::<u64>();
        let limit = pool.budget.max_out;
        rollout_ms = rollout_ms
            .max(min_rollout_ms(&all, limit))
            .max(min_rollout_with_failure_ms(pool, scenario, &all, limit));
        for durations_ms in halls.values() {
            let limit = pool.budget.max_out_per_hall.unwrap_or(u32::MAX);
            rollout_ms = rollout_ms.max(min_rollout_ms(durations_ms, limit));
        }
    }
    Measures {
        buffer_cost_box_seconds: buffer_ms as f64 / 1000.0,
        rollout_seconds: rollout_ms as f64 / 1000.0,
        ..Measures::default()
    }
}

fn min_rollout_ms(durations_ms: &[u64], limit: u32) -> u64 {
    let limit = u64::from(limit.max(1));
    let longest = durations_ms.iter().copied().max().unwrap_or(0);
    let shortest = durations_ms.iter().copied().min().unwrap_or(0);
    let by_work = durations_ms.iter().sum::<u64>().div_ceil(limit);
    let by_rounds = (durations_ms.len() as u64).div_ceil(limit) * shortest;
    longest.max(by_work).max(by_rounds)
}

/// Lower bound of the time for all the work if an outage reduces the budget; 0 without an outage.
///
/// The budget may be exceeded by boxes that were out when the outage began, so the reduction counts
/// only from the longest duration after its start.
fn min_rollout_with_failure_ms(
    pool: &Pool,
    scenario: &Scenario,
    durations_ms: &[u64],
    limit: u32,
) -> u64 {
    let work = durations_ms.iter().sum::<u64>();
    let longest = durations_ms.iter().copied().max().unwrap_or(0);
    let Some(failure) = &scenario.failure else {
        return 0;
    };
    let limit = u64::from(limit.max(1));
    let failed = failure.boxes.iter().filter(|id| pool.boxes.contains(*id)).count() as u64;
    let blocked_from_ms = (failure.start_ms + longest).min(failure.end_ms);
    let work_before = limit * blocked_from_ms;
    if work <= work_before {
        return work.div_ceil(limit);
    }
    let remaining_limit = limit.saturating_sub(failed);
    let blocked_ms = failure.end_ms - blocked_from_ms;
    let work_left = work - work_before;
    if work_left <= remaining_limit * blocked_ms {
        return blocked_from_ms + work_left.div_ceil(remaining_limit);
    }
    failure.end_ms + (work_left - remaining_limit * blocked_ms).div_ceil(limit)
}
