//! Which steps of a plan may begin now: the decision that the driver makes, as a rule of the state.

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

/// What to do with a plan's waiting steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Choice {
    /// Steps that may begin, in order; the log judges each when it does.
    pub ready: Vec<u32>,
    /// Steps whose box is down or gone, passed over for now.
    pub blocked: Vec<u32>,
}

/// Chooses the steps to begin. `begun` are those under way that the plan does not show yet.
///
/// A box is passed over while its hall, rack or service has nothing to spare, and the next one is
/// looked at; a pool is left alone once its budget or the plan's width is used up. Each pool is
/// counted once, whatever the number of steps, and only if a step of it may begin at all.
pub fn choose_steps(fleet: &Fleet, plan: &Plan, begun: &BTreeSet<u32>) -> Choice {
    let mut room = WidthLimits::new(fleet, plan, begun);
    let mut tallies: BTreeMap<&PoolId, PoolUsage<'_>> = BTreeMap::new();
    let mut choice = Choice::default();
    for (index, step) in indexed_steps(plan) {
        if room.is_exhausted() {
            break;
        }
        if step.progress != Progress::Waiting || begun.contains(&index) {
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
        if !room.has_capacity(plan, &entry.pool) {
            continue;
        }
        let tally =
            tallies.entry(&entry.pool).or_insert_with(|| PoolUsage::new(fleet, &entry.pool));
        match tally.eligibility(&step.target, entry) {
            Eligibility::Eligible => {
                room.count_step(&entry.pool);
                tally.take_out(&step.target, entry);
                choice.ready.push(index);
            }
            Eligibility::BoxDown => choice.blocked.push(index),
            Eligibility::BoxIneligible => {}
            Eligibility::PoolExhausted => room.mark_exhausted(&entry.pool),
        }
    }
    choice
}

/// The steps of a plan with their numbers.
pub fn indexed_steps(plan: &Plan) -> impl Iterator<Item = (u32, &Step)> {
    plan.steps.iter().enumerate().map(|(index, step)| (index as u32, step))
}

/// How many more steps may be under way in each pool.
struct WidthLimits<'a> {
    under_way: BTreeMap<&'a PoolId, u32>,
    exhausted: BTreeSet<&'a PoolId>,
    pool_count: usize,
}

impl<'a> WidthLimits<'a> {
    fn new(fleet: &'a Fleet, plan: &Plan, begun: &BTreeSet<u32>) -> WidthLimits<'a> {
        let pools = plan.width.len();
        let mut room = WidthLimits {
            under_way: BTreeMap::new(),
            exhausted: BTreeSet::new(),
            pool_count: pools,
        };
        for (index, step) in indexed_steps(plan) {
            let under_way = step.progress.is_under_way() || begun.contains(&index);
            if let Some(entry) = fleet.boxes.get(&step.target).filter(|_| under_way) {
                room.count_step(&entry.pool);
            }
        }
        room
    }

    fn count_step(&mut self, pool: &'a PoolId) {
        *self.under_way.entry(pool).or_default() += 1;
    }

    fn mark_exhausted(&mut self, pool: &'a PoolId) {
        self.exhausted.insert(pool);
    }

    /// Whether no pool of the plan has room any more. A plan without widths takes nothing out.
    fn is_exhausted(&self) -> bool {
        self.pool_count > 0 && self.exhausted.len() >= self.pool_count
    }

    fn has_capacity(&mut self, plan: &Plan, pool: &'a PoolId) -> bool {
        if self.exhausted.contains(pool) {
            return false;
        }
        let taken = self.under_way.get(pool).copied().unwrap_or(0);
        let has = taken < plan.width_of(pool);
        if !has {
            self.mark_exhausted(pool);
        }
        has
    }
}

/// Whether a box can be spared now.
enum Eligibility {
    /// It can.
    Eligible,
    /// It is down.
    BoxDown,
    /// Not this one; another of the pool may.
    BoxIneligible,
    /// No box of the pool.
    PoolExhausted,
}

/// What is out in a pool and up of its services, with the boxes chosen a moment ago.
struct PoolUsage<'a> {
    pool: &'a Pool,
    out: u32,
    halls: BTreeMap<&'a HallId, u32>,
    racks: BTreeMap<&'a RackId, u32>,
    jobs: BTreeMap<&'a BoxId, Vec<usize>>,
    /// For each service of the pool, how many replicas may still go.
    spare_replicas: Vec<u32>,
}

impl<'a> PoolUsage<'a> {
    fn new(fleet: &'a Fleet, id: &PoolId) -> PoolUsage<'a> {
        let pool = &fleet.pools[id];
        let mut tally = PoolUsage {
            pool,
            out: 0,
            halls: BTreeMap::new(),
            racks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            spare_replicas: Vec::new(),
        };
        for (_, entry) in fleet.boxes_out(pool) {
            tally.count_out(entry);
        }
        for service in fleet.services.values().filter(|service| service.pool == *id) {
            let number = tally.spare_replicas.len();
            tally.spare_replicas.push(fleet.replicas_up(service).saturating_sub(service.min_up));
            for target in service.placed.iter().chain(&service.starting) {
                tally.jobs.entry(target).or_default().push(number);
            }
        }
        tally
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
        let full = budget.max_out_per_hall.is_some_and(|limit| in_hall >= limit)
            || budget.max_out_per_rack.is_some_and(|limit| in_rack >= limit);
        let jobs = self.jobs.get(target).map_or(&[][..], Vec::as_slice);
        let short = jobs.iter().any(|number| self.spare_replicas[*number] == 0);
        if full || short || entry.out.is_some() {
            Eligibility::BoxIneligible
        } else {
            Eligibility::Eligible
        }
    }

    fn take_out(&mut self, target: &BoxId, entry: &'a Entry) {
        self.count_out(entry);
        for number in self.jobs.get(target).map_or(&[][..], Vec::as_slice) {
            self.spare_replicas[*number] = self.spare_replicas[*number].saturating_sub(1);
        }
    }
}
