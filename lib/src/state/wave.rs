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
    pub begin: Vec<u32>,
    /// Steps whose box is down or gone, passed over for now.
    pub blocked: Vec<u32>,
}

/// Chooses the steps to begin. `begun` are those under way that the plan does not show yet.
///
/// A box is passed over while its hall, rack or service has nothing to spare, and the next one is
/// looked at; a pool is left alone once its budget or the plan's width is used up. Each pool is
/// counted once, whatever the number of steps, and only if a step of it may begin at all.
pub fn choose(fleet: &Fleet, plan: &Plan, begun: &BTreeSet<u32>) -> Choice {
    let mut room = Room::new(fleet, plan, begun);
    let mut tallies: BTreeMap<&PoolId, Tally<'_>> = BTreeMap::new();
    let mut choice = Choice::default();
    for (index, step) in indexed(plan) {
        if room.is_closed() {
            break;
        }
        if step.progress != Progress::Waiting || begun.contains(&index) {
            continue;
        }
        if !step.action.takes_out() {
            choice.begin.push(index);
            continue;
        }
        let Some(entry) = fleet.boxes.get(&step.target) else {
            choice.blocked.push(index);
            continue;
        };
        if !room.has(plan, &entry.pool) {
            continue;
        }
        let tally = tallies.entry(&entry.pool).or_insert_with(|| Tally::new(fleet, &entry.pool));
        match tally.spares(&step.target, entry) {
            Spares::Yes => {
                room.take(&entry.pool);
                tally.take(&step.target, entry);
                choice.begin.push(index);
            }
            Spares::NoBox => choice.blocked.push(index),
            Spares::NotThis => {}
            Spares::None => room.close(&entry.pool),
        }
    }
    choice
}

/// The steps of a plan with their numbers.
pub fn indexed(plan: &Plan) -> impl Iterator<Item = (u32, &Step)> {
    plan.steps.iter().enumerate().map(|(index, step)| (index as u32, step))
}

/// How many more steps may be under way in each pool.
struct Room<'a> {
    taken: BTreeMap<&'a PoolId, u32>,
    closed: BTreeSet<&'a PoolId>,
    pools: usize,
}

impl<'a> Room<'a> {
    fn new(fleet: &'a Fleet, plan: &Plan, begun: &BTreeSet<u32>) -> Room<'a> {
        let pools = plan.width.len();
        let mut room = Room { taken: BTreeMap::new(), closed: BTreeSet::new(), pools };
        for (index, step) in indexed(plan) {
            let under_way = step.progress.is_begun() || begun.contains(&index);
            if let Some(entry) = fleet.boxes.get(&step.target).filter(|_| under_way) {
                room.take(&entry.pool);
            }
        }
        room
    }

    fn take(&mut self, pool: &'a PoolId) {
        *self.taken.entry(pool).or_default() += 1;
    }

    fn close(&mut self, pool: &'a PoolId) {
        self.closed.insert(pool);
    }

    /// Whether no pool of the plan has room any more. A plan without widths takes nothing out.
    fn is_closed(&self) -> bool {
        self.pools > 0 && self.closed.len() >= self.pools
    }

    fn has(&mut self, plan: &Plan, pool: &'a PoolId) -> bool {
        if self.closed.contains(pool) {
            return false;
        }
        let taken = self.taken.get(pool).copied().unwrap_or(0);
        let has = taken < plan.width_of(pool);
        if !has {
            self.close(pool);
        }
        has
    }
}

/// Whether a box can be spared now.
enum Spares {
    /// It can.
    Yes,
    /// It is down.
    NoBox,
    /// Not this one; another of the pool may.
    NotThis,
    /// No box of the pool.
    None,
}

/// What is out in a pool and up of its services, with the boxes chosen a moment ago.
struct Tally<'a> {
    pool: &'a Pool,
    out: u32,
    halls: BTreeMap<&'a HallId, u32>,
    racks: BTreeMap<&'a RackId, u32>,
    jobs: BTreeMap<&'a BoxId, Vec<usize>>,
    /// For each service of the pool, how many replicas may still go.
    spare: Vec<u32>,
}

impl<'a> Tally<'a> {
    fn new(fleet: &'a Fleet, id: &PoolId) -> Tally<'a> {
        let pool = &fleet.pools[id];
        let mut tally = Tally {
            pool,
            out: 0,
            halls: BTreeMap::new(),
            racks: BTreeMap::new(),
            jobs: BTreeMap::new(),
            spare: Vec::new(),
        };
        for (_, entry) in fleet.out_of(pool) {
            tally.count(entry);
        }
        for service in fleet.services.values().filter(|service| service.pool == *id) {
            let number = tally.spare.len();
            tally.spare.push(fleet.up(service).saturating_sub(service.min_up));
            for target in service.placed.iter().chain(&service.starting) {
                tally.jobs.entry(target).or_default().push(number);
            }
        }
        tally
    }

    fn count(&mut self, entry: &'a Entry) {
        self.out += 1;
        *self.halls.entry(&entry.shape.hall).or_default() += 1;
        *self.racks.entry(&entry.shape.rack).or_default() += 1;
    }

    fn spares(&self, target: &BoxId, entry: &Entry) -> Spares {
        if entry.down {
            return Spares::NoBox;
        }
        let budget = self.pool.budget;
        if self.out >= budget.max_out {
            return Spares::None;
        }
        let in_hall = self.halls.get(&entry.shape.hall).copied().unwrap_or(0);
        let in_rack = self.racks.get(&entry.shape.rack).copied().unwrap_or(0);
        let full = budget.max_out_per_hall.is_some_and(|limit| in_hall >= limit)
            || budget.max_out_per_rack.is_some_and(|limit| in_rack >= limit);
        let jobs = self.jobs.get(target).map_or(&[][..], Vec::as_slice);
        let short = jobs.iter().any(|number| self.spare[*number] == 0);
        if full || short || entry.out.is_some() { Spares::NotThis } else { Spares::Yes }
    }

    fn take(&mut self, target: &BoxId, entry: &'a Entry) {
        self.count(entry);
        for number in self.jobs.get(target).map_or(&[][..], Vec::as_slice) {
            self.spare[*number] = self.spare[*number].saturating_sub(1);
        }
    }
}
