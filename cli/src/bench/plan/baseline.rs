//! Two ways without spokelift: one box of each pool at a time, and fixed batches in random order.
//!
//! Both go through the pools side by side and do not look at what has failed, as an operator's rolling
//! script does not. A batch ends when its last box is back; its spare is held until then.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Pool;
use spokelift_lib::state::id::BoxId;

use crate::bench::plan::DECLARED_MAINTENANCE_MS;
use crate::bench::plan::LOST_AFTER_FACTOR;
use crate::bench::plan::Measures;
use crate::bench::plan::Scenario;

pub fn one_at_a_time(fleet: &Fleet, fate: &Scenario, random: &mut StdRng) -> Measures {
    simulate_pools(fleet, fate, random, |_| 1)
}

pub fn fixed_batch(fleet: &Fleet, fate: &Scenario, random: &mut StdRng) -> Measures {
    simulate_pools(fleet, fate, random, |pool| pool.budget.max_out as usize)
}

fn simulate_pools(
    fleet: &Fleet,
    fate: &Scenario,
    random: &mut StdRng,
    width: impl Fn(&Pool) -> usize,
) -> Measures {
    let mut sum = Measures::default();
    for pool in fleet.pools.values() {
        let mut order: Vec<&BoxId> = pool.boxes.iter().collect();
        order.shuffle(random);
        let mut now = 0;
        for batch in order.chunks(width(pool).max(1)) {
            sum.budget_breaches += u64::from(exceeds_budget(fleet, fate, pool, batch, now));
            let ends = batch.iter().map(|id| return_time_ms(fate, id, now, &mut sum.not_done));
            let end = ends.max().unwrap_or(now);
            sum.buffer_cost_box_seconds += (end - now) as f64 / 1000.0 * batch.len() as f64;
            now = end;
        }
        sum.rollout_seconds = sum.rollout_seconds.max(now as f64 / 1000.0);
    }
    sum
}

/// When a box taken out at `now` is back, or given up.
fn return_time_ms(fate: &Scenario, id: &BoxId, now: u64, not_done: &mut u64) -> u64 {
    let Some(takes) = fate.durations_ms[id] else {
        *not_done += 1;
        return now + DECLARED_MAINTENANCE_MS * LOST_AFTER_FACTOR;
    };
    match &fate.failure {
        // It cannot come back before its hall or rack does.
        Some(failure) if failure.boxes.contains(id) && failure.overlaps(now, now + takes) => {
            failure.end_ms + takes
        }
        _ => now + takes,
    }
}

impl crate::bench::plan::Failure {
    fn overlaps(&self, from: u64, to: u64) -> bool {
        from < self.end_ms && to > self.start_ms
    }

    pub fn is_down(&self, now: u64) -> bool {
        (self.start_ms..self.end_ms).contains(&now)
    }
}

/// Whether taking the batch out exceeds the pool's budget, with what has failed.
fn exceeds_budget(fleet: &Fleet, fate: &Scenario, pool: &Pool, batch: &[&BoxId], now: u64) -> bool {
    let failed = fate.failure.iter().filter(|failure| failure.is_down(now));
    let failed = failed.flat_map(|failure| &failure.boxes);
    let failed = failed.filter(|id| pool.boxes.contains(*id) && !batch.contains(id));
    let out: Vec<&BoxId> = failed.chain(batch.iter().copied()).collect();
    if out.len() > pool.budget.max_out as usize {
        return true;
    }
    let limit = pool.budget.max_out_per_hall.unwrap_or(u32::MAX) as usize;
    let hall = |id: &BoxId| &fleet.boxes[id].shape.hall;
    batch.iter().any(|own| out.iter().filter(|id| hall(id) == hall(own)).count() > limit)
}
