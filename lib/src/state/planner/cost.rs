//! Width and predicted cost of plans.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::plan::Cost;

/// Time expected for draining and moving one box, in seconds.
pub const MOVE_S: u64 = 5;
/// Time expected for starting jobs, in seconds.
pub const START_S: u64 = 2;

/// Number of boxes of `pool` that a plan takes out of service at a time: the maximum that the budgets
/// allow while no box has failed.
///
/// The maximum width gives the shortest roll-out and costs no more buffer than a smaller one: at
/// any width, each box is out of service for its maintenance time only, and capacity is released as
/// soon as fewer boxes than the width are left.
pub fn width(fleet: &Fleet, pool: &Pool) -> u32 {
    let halls = count_distinct(fleet, pool, |entry| &entry.shape.hall);
    let racks = count_distinct(fleet, pool, |entry| &entry.shape.rack);
    let budget = pool.budget;
    let by_hall = budget.max_out_per_hall.map_or(u32::MAX, |limit| limit.saturating_mul(halls));
    let by_rack = budget.max_out_per_rack.map_or(u32::MAX, |limit| limit.saturating_mul(racks));
    budget.max_out.min(by_hall).min(by_rack).max(1)
}

fn count_distinct<'a>(
    fleet: &'a Fleet,
    pool: &'a Pool,
    area: impl Fn(&'a Entry) -> &'a Arc<str>,
) -> u32 {
    let entries = pool.boxes.iter().filter_map(|id| fleet.boxes.get(id));
    let areas: BTreeSet<_> = entries.map(area).collect();
    areas.len() as u32
}

/// Cost of rebooting `boxes` boxes of `pool`, `width` at a time.
pub fn reboot_cost(pool: &Pool, boxes: u32, width: u32) -> Cost {
    let rounds = u64::from(boxes.div_ceil(width.max(1)));
    let rollout_seconds = rounds * u64::from(pool.maintenance_s);
    let buffer_box_seconds = u64::from(boxes) * u64::from(pool.maintenance_s);
    Cost { buffer_box_seconds, rollout_seconds, moves: 0 }
}

/// Cost of moving `count` boxes or jobs, `width` at a time.
pub fn move_cost(count: u32, width: u32) -> Cost {
    let rounds = u64::from(count.div_ceil(width.max(1)));
    let rollout_seconds = rounds * MOVE_S;
    Cost { buffer_box_seconds: u64::from(count) * MOVE_S, rollout_seconds, moves: count }
}

impl Cost {
    /// Cost of two plans carried out at the same time.
    pub fn in_parallel_with(self, other: Cost) -> Cost {
        Cost {
            buffer_box_seconds: self.buffer_box_seconds + other.buffer_box_seconds,
            rollout_seconds: self.rollout_seconds.max(other.rollout_seconds),
            moves: self.moves + other.moves,
        }
    }
}
