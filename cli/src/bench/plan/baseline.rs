//! Baseline strategies without spokelift: one box of each pool at a time, and fixed batches in
//! random order.
//!
//! Both process the pools in parallel and ignore failed boxes, as an operator's rolling script
//! does. A batch ends when its last box has returned; its spare capacity is reserved until then.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Pool;
use spokelift_lib::state::id::BoxId;

use crate::bench::plan::DECLARED_MAINTENANCE_MS;
use crate::bench::plan::LOST_AFTER_FACTOR;
use crate::bench::plan::Measures;
use crate::bench::plan::Scenario;

pub fn one_at_a_time(fleet: &Fleet, scenario: &Scenario, random: &mut StdRng) -> Measures {
    simulate_pools(fleet, scenario, random, |_| 1)
}

pub fn fixed_batch(fleet: &Fleet, scenario: &Scenario, random: &mut StdRng) -> Measures {
    simulate_pools(fleet, scenario, random, |pool| pool.budget.max_out as usize)
}

fn simulate_pools(
    fleet: &Fleet,
    scenario: &Scenario,
    random: &mut StdRng,
    width: impl Fn(&Pool) -> usize,
) -> Measures {
    let mut sum = Measures::default();
    for pool in fleet.pools.values() {
        let mut order: Vec<&BoxId> = pool.boxes.iter().collect();
        order.shuffle(random);
        let mut now_ms = 0;
        for batch in order.chunks(width(pool).max(1)) {
            sum.budget_breaches += u64::from(exceeds_budget(fleet, scenario, pool, batch, now_ms));
            let return_times =
                batch.iter().map(|id| return_time_ms(scenario, id, now_ms, &mut sum.not_done));
            let end_ms = return_times.max().unwrap_or(now_ms);
            sum.buffer_cost_box_seconds += (end_ms - now_ms) as f64 / 1000.0 * batch.len() as f64;
            now_ms = end_ms;
        }
        sum.rollout_seconds = sum.rollout_seconds.max(now_ms as f64 / 1000.0);
    }
    sum
}

/// Time at which a box taken out at `now_ms` returns or is abandoned.
fn return_time_ms(scenario: &Scenario, id: &BoxId, now_ms: u64, not_done: &mut u64) -> u64 {
    let Some(duration_ms) = scenario.durations_ms[id] else {
        *not_done += 1;
        return now_ms + DECLARED_MAINTENANCE_MS * LOST_AFTER_FACTOR;
    };
    match &scenario.failure {
        // A box returns only after the outage of its hall or rack.
        Some(failure)
            if failure.boxes.contains(id) && failure.overlaps(now_ms, now_ms + duration_ms) =>
        {
            failure.end_ms + duration_ms
        }
        _ => now_ms + duration_ms,
    }
}

impl crate::bench::plan::Failure {
    fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        from_ms < self.end_ms && to_ms > self.start_ms
    }

    pub fn is_down(&self, now_ms: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&now_ms)
    }
}

/// Whether the batch, together with failed boxes, exceeds the pool's budget.
fn exceeds_budget(
    fleet: &Fleet,
    scenario: &Scenario,
    pool: &Pool,
    batch: &[&BoxId],
    now_ms: u64,
) -> bool {
    let failed = scenario.failure.iter().filter(|failure| failure.is_down(now_ms));
    let failed = failed.flat_map(|failure| &failure.boxes);
    let failed = failed.filter(|id| pool.boxes.contains(*id) && !batch.contains(id));
    let out: Vec<&BoxId> = failed.chain(batch.iter().copied()).collect();
    if out.len() > pool.budget.max_out as usize {
        return true;
    }
    let limit = pool.budget.max_out_per_hall.unwrap_or(u32::MAX) as usize;
    let hall = |id: &BoxId| &fleet.boxes[id].shape.hall;
    batch.iter().any(|id| out.iter().filter(|other| hall(other) == hall(id)).count() > limit)
}
