//! Chooses the steps of a plan that the driver may start now, from the replicated state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::id::BoxId;
use crate::state::id::HallId;
use crate::state::id::PoolId;
use crate::state::id::RackId;
use crate::state::plan::Plan;
use crate::state::plan::Progress;
use crate::state::plan::Step;

/// The waiting steps of a plan that may start or are blocked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Steps that may start, in order; the fold checks each again when it applies the step's permit.
    pub ready: Vec<u32>,
    /// Steps that are skipped for now, because their box is down or no longer in a pool.
    pub blocked: Vec<u32>,
}

/// Chooses the steps to start. `started` are steps in progress that the plan does not show yet.
///
/// A box is skipped while the limit of its hall or rack is reached or one of its services has no
/// spare replica. A pool is skipped once its budget or the plan's width is used up. The usage of each
/// pool is computed at most once, and only if one of its steps may start.
pub fn choose_steps(fleet: &Fleet, plan: &Plan, started: &BTreeSet<u32>) -> Choice {
    let mut limits = WidthLimits::new(fleet, plan, started);
    let mut usages: BTreeMap<&PoolId, PoolUsage<'_>> = BTreeMap::new();
    let mut choice = Choice::default();
    for (index, step) in indexed_steps(plan) {
        if limits.is_exhausted() {
            break;
        }
        if step.progress != Progress::Waiting || started.contains(&index) {
            continue;
        }
        if !step.action.is_disruptive() {
            choice.ready.push(index);
            continue;
        }
        let Some(entry) = fleet.boxes.get(&step.target) else {
            choice.blocked.push(index);
            continue;
        };
        if !limits.has_capacity(plan, &entry.pool) {
            continue;
        }
        let usage = usages.entry(&entry.pool).or_insert_with(|| PoolUsage::new(fleet, &entry.pool));
        match usage.eligibility(&step.target, entry) {
            Eligibility::Eligible => {
                limits.count_step(&entry.pool);
                usage.take_out(&step.target, entry);
                choice.ready.push(index);
            }
            Eligibility::BoxDown => choice.blocked.push(index),
            Eligibility::BoxIneligible => {}
            Eligibility::PoolExhausted => limits.mark_exhausted(&entry.pool),
        }
    }
    choice
}

/// The steps of a plan with their indexes.
pub fn indexed_steps(plan: &Plan) -> impl Iterator<Item = (u32, &Step)> {
    plan.steps.iter().enumerate().map(|(index, step)| (index as u32, step))
}

/// Number of steps in progress in each pool, limited by the plan's width.
struct WidthLimits<'a> {
    under_way: BTreeMap<&'a PoolId, u32>,
    /// Pools in which no more steps may start.
    exhausted: BTreeSet<&'a PoolId>,
    /// Number of pools in the plan's widths.
    pool_count: usize,
}

impl<'a> WidthLimits<'a> {
    fn new(fleet: &'a Fleet, plan: &Plan, started: &BTreeSet<u32>) -> WidthLimits<'a> {
        let mut limits = WidthLimits {
            under_way: BTreeMap::new(),
            exhausted: BTreeSet::new(),
            pool_count: plan.width.len(),
        };
        for (index, step) in indexed_steps(plan) {
            let is_under_way = step.progress.is_under_way() || started.contains(&index);
            if let Some(entry) = fleet.boxes.get(&step.target).filter(|_| is_under_way) {
                limits.count_step(&entry.pool);
            }
        }
        limits
    }

    fn count_step(&mut self, pool: &'a PoolId) {
        *self.under_way.entry(pool).or_default() += 1;
    }

    fn mark_exhausted(&mut self, pool: &'a PoolId) {
        self.exhausted.insert(pool);
    }

    /// Whether no more steps may start in any pool. Always false for a plan without widths, which
    /// takes no box out of service.
    fn is_exhausted(&self) -> bool {
        self.pool_count > 0 && self.exhausted.len() >= self.pool_count
    }

    /// Whether another step may start in `pool`; marks the pool as exhausted if not.
    fn has_capacity(&mut self, plan: &Plan, pool: &'a PoolId) -> bool {
        if self.exhausted.contains(pool) {
            return false;
        }
        let under_way = self.under_way.get(pool).copied().unwrap_or(0);
        let is_below_width = under_way < plan.width_of(pool);
        if !is_below_width {
            self.mark_exhausted(pool);
        }
        is_below_width
    }
}

/// Whether a box may be taken out of service now.
enum Eligibility {
    /// It may.
    Eligible,
    /// It is down.
    BoxDown,
    /// It may not, but other boxes of the pool may.
    BoxIneligible,
    /// No box of the pool may.
    PoolExhausted,
}

/// Boxes of a pool that are out of service and spare replicas of its services, after the steps chosen
/// so far.
struct PoolUsage<'a> {
    pool: &'a Pool,
    /// Boxes that are out, in all.
    out: u32,
    halls: BTreeMap<&'a HallId, u32>,
    racks: BTreeMap<&'a RackId, u32>,
    /// For each box, the indexes of its services in `spare_replicas`.
    jobs: BTreeMap<&'a BoxId, Vec<usize>>,
    /// For each service of the pool, the number of replicas up beyond its minimum.
    spare_replicas: Vec<u32>,
}

impl<'a> PoolUsage<'a> {
    fn new(fleet: &'a Fleet, id: &PoolId) -> PoolUsage<'a> {
        let pool = &fleet.pools[id];
        let mut usage = PoolUsage {
            pool,
            out: 0,
            halls: BTreeMap::new(),
            racks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            spare_replicas: Vec::new(),
        };
        for (_, entry) in fleet.boxes_out(pool) {
            usage.count_out(entry);
        }
        for service in fleet.services.values().filter(|service| service.pool == *id) {
            let index = usage.spare_replicas.len();
            usage.spare_replicas.push(fleet.replicas_up(service).saturating_sub(service.min_up));
            for target in service.placed.iter().chain(&service.starting) {
                usage.jobs.entry(target).or_default().push(index);
            }
        }
        usage
    }

    fn count_out(&mut self, entry: &'a Entry) {
        self.out += 1;
        *self.halls.entry(&entry.shape.hall).or_default() += 1;
        *self.racks.entry(&entry.shape.rack).or_default() += 1;
    }

    fn eligibility(&self, target: &BoxId, entry: &Entry) -> Eligibility {
        if entry.down {
            return Eligibility::BoxDown;
        }
        let budget = self.pool.budget;
        if self.out >= budget.max_out {
            return Eligibility::PoolExhausted;
        }
        let in_hall = self.halls.get(&entry.shape.hall).copied().unwrap_or(0);
        let in_rack = self.racks.get(&entry.shape.rack).copied().unwrap_or(0);
        let is_area_full = budget.max_out_per_hall.is_some_and(|limit| in_hall >= limit)
            || budget.max_out_per_rack.is_some_and(|limit| in_rack >= limit);
        let jobs = self.jobs.get(target).map_or(&[][..], Vec::as_slice);
        let is_at_min_up = jobs.iter().any(|index| self.spare_replicas[*index] == 0);
        if is_area_full || is_at_min_up || entry.out.is_some() {
            Eligibility::BoxIneligible
        } else {
            Eligibility::Eligible
        }
    }

    fn take_out(&mut self, target: &BoxId, entry: &'a Entry) {
        self.count_out(entry);
        for index in self.jobs.get(target).map_or(&[][..], Vec::as_slice) {
            self.spare_replicas[*index] = self.spare_replicas[*index].saturating_sub(1);
        }
    }
}
