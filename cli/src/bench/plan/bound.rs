//! The least that any way could take, worked out from the budgets alone.
//!
//! A pool of n boxes with b out at a time, each taking its own time t, takes at least the sum of all t
//! divided by b, and at least ceil(n/b) times the shortest t; the same holds for each hall with its
//! own limit, and for the longest t. Every box is out for its own t, so the buffer is at least their
//! sum. While a hall or rack is gone, its boxes use up budget and no work is done on them: in that time
//! only b less their number can be worked on. Boxes that never come back are left out.

use std::collections::BTreeMap;

use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Pool;

use crate::bench::plan::Measures;
use crate::bench::plan::Scenario;

pub fn lower_bound(fleet: &Fleet, fate: &Scenario) -> Measures {
    let mut rollout_ms = 0;
    let mut buffer_ms = 0;
    for pool in fleet.pools.values() {
        let mut all = Vec::new();
        let mut halls: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
        for id in &pool.boxes {
            if let Some(takes) = fate.durations_ms[id] {
                all.push(takes);
                halls.entry(&fleet.boxes[id].shape.hall).or_default().push(takes);
            }
        }
        buffer_ms += all.iter().sum::<u64>();
        let limit = pool.budget.max_out;
        rollout_ms = rollout_ms
            .max(min_rollout_ms(&all, limit))
            .max(min_rollout_with_failure_ms(pool, fate, &all, limit));
        for takes in halls.values() {
            let limit = pool.budget.max_out_per_hall.unwrap_or(u32::MAX);
            rollout_ms = rollout_ms.max(min_rollout_ms(takes, limit));
        }
    }
    Measures {
        buffer_cost_box_seconds: buffer_ms as f64 / 1000.0,
        rollout_seconds: rollout_ms as f64 / 1000.0,
        ..Measures::default()
    }
}

fn min_rollout_ms(takes: &[u64], limit: u32) -> u64 {
    let limit = u64::from(limit.max(1));
    let longest = takes.iter().copied().max().unwrap_or(0);
    let shortest = takes.iter().copied().min().unwrap_or(0);
    let by_work = takes.iter().sum::<u64>().div_ceil(limit);
    let by_rounds = (takes.len() as u64).div_ceil(limit) * shortest;
    longest.max(by_work).max(by_rounds)
}

/// The least time in which all the work fits under the budget that a failure leaves.
///
/// What was out when the hall failed may go on beyond the budget, for as long as the longest takes.
fn min_rollout_with_failure_ms(pool: &Pool, fate: &Scenario, takes: &[u64], limit: u32) -> u64 {
    let work = takes.iter().sum::<u64>();
    let longest = takes.iter().copied().max().unwrap_or(0);
    let Some(failure) = &fate.failure else {
        return 0;
    };
    let limit = u64::from(limit.max(1));
    let failed = failure.boxes.iter().filter(|id| pool.boxes.contains(*id)).count() as u64;
    let at_ms = (failure.start_ms + longest).min(failure.end_ms);
    let before = limit * at_ms;
    if work <= before {
        return work.div_ceil(limit);
    }
    let meanwhile = limit.saturating_sub(failed);
    let gone_ms = failure.end_ms - at_ms;
    let left = work - before;
    if left <= meanwhile * gone_ms {
        return at_ms + left.div_ceil(meanwhile);
    }
    failure.end_ms + (left - meanwhile * gone_ms).div_ceil(limit)
}
