//! Which boxes a plan acts on, and in which order.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::state::config::Shapes;
use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::fleet::Service;
use crate::state::fleet::Shape;
use crate::state::id::BoxId;
use crate::state::id::HallId;
use crate::state::id::PoolId;
use crate::state::id::RackId;
use crate::state::id::ServiceKey;
use crate::state::planner::Blocker;
use crate::state::planner::PlanError;

/// Boxes of `pool`, each next one from the hall, and in it the rack, with the most left.
///
/// Taking from the fullest first keeps limits per hall and rack from leaving a tail of boxes
/// that can only go one by one.
pub fn maintenance_order(fleet: &Fleet, pool: &Pool) -> Vec<BoxId> {
    let mut halls: BTreeMap<&HallId, BTreeMap<&RackId, Vec<&BoxId>>> = BTreeMap::new();
    for id in pool.boxes.iter().rev() {
        let Some(entry) = fleet.boxes.get(id) else {
            continue;
        };
        let racks = halls.entry(&entry.shape.hall).or_default();
        racks.entry(&entry.shape.rack).or_default().push(id);
    }
    let mut order = Vec::with_capacity(pool.boxes.len());
    while let Some(id) = pop_from_fullest(&mut halls) {
        order.push(id.clone());
    }
    order
}

fn pop_from_fullest<'a>(
    halls: &mut BTreeMap<&HallId, BTreeMap<&RackId, Vec<&'a BoxId>>>,
) -> Option<&'a BoxId> {
    let left = |racks: &BTreeMap<&RackId, Vec<&BoxId>>| racks.values().map(Vec::len).sum::<usize>();
    let racks = halls.values_mut().max_by_key(|racks| left(racks))?;
    racks.values_mut().max_by_key(|boxes| boxes.len())?.pop()
}

/// `count` boxes that may leave `pool`, those with the fewest jobs first.
pub fn removable_boxes(fleet: &Fleet, pool: &Pool, count: u32) -> Result<Vec<BoxId>, PlanError> {
    let mut up: BTreeMap<&ServiceKey, u32> = BTreeMap::new();
    for (key, service) in &fleet.services {
        up.insert(key, fleet.replicas_up(service));
    }
    let mut taken = Vec::new();
    let mut blocker = Blocker::NoneLeft;
    for id in serving_boxes_by_jobs(fleet, pool) {
        if taken.len() == count as usize {
            break;
        }
        match first_at_min_up(fleet, id, &up) {
            Some(key) => blocker = Blocker::MinUp { service: key.1.clone() },
            None => {
                for key in fleet.jobs_on(id) {
                    *up.entry(key).or_default() -= 1;
                }
                taken.push(id.clone());
            }
        }
    }
    if taken.len() < count as usize {
        let available = taken.len() as u32;
        return Err(PlanError::TooFew { asked: count, available, blocker });
    }
    Ok(taken)
}

fn serving_boxes_by_jobs<'a>(fleet: &'a Fleet, pool: &'a Pool) -> Vec<&'a BoxId> {
    let serving = |id: &&BoxId| fleet.boxes.get(*id).is_some_and(Entry::is_serving);
    let mut boxes: Vec<&BoxId> = pool.boxes.iter().filter(serving).collect();
    boxes.sort_by_key(|id| fleet.jobs_on(id).count());
    boxes
}

/// A service on `target` that has no replica to spare.
fn first_at_min_up<'a>(
    fleet: &'a Fleet,
    target: &'a str,
    up: &BTreeMap<&ServiceKey, u32>,
) -> Option<&'a ServiceKey> {
    let short = |key: &&ServiceKey| up[*key] <= fleet.services[*key].min_up;
    fleet.jobs_on(target).find(short)
}

/// `count` boxes that are in no pool, spread over the halls that have fewest boxes of `pool`.
pub fn unassigned_boxes(
    fleet: &Fleet,
    shapes: &Shapes,
    pool: &Pool,
    count: u32,
) -> Result<Vec<(BoxId, Shape)>, PlanError> {
    let mut left: Vec<(&BoxId, &Shape)> =
        shapes.iter().filter(|(id, _)| !fleet.boxes.contains_key(*id)).collect();
    let mut load = AreaCounts::of(fleet, &pool.boxes);
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let best = (0..left.len()).min_by_key(|index| load.at(left[*index].1));
        let Some(best) = best else {
            let available = chosen.len() as u32;
            let blocker = Blocker::NoneFree;
            return Err(PlanError::TooFew { asked: count, available, blocker });
        };
        let (id, shape) = left.swap_remove(best);
        load.add(shape);
        chosen.push((id.clone(), shape.clone()));
    }
    Ok(chosen)
}

/// How many boxes of a set each hall and rack holds.
#[derive(Default)]
struct AreaCounts {
    halls: BTreeMap<HallId, u32>,
    racks: BTreeMap<RackId, u32>,
}

impl AreaCounts {
    fn of(fleet: &Fleet, boxes: &BTreeSet<BoxId>) -> AreaCounts {
        let mut load = AreaCounts::default();
        for entry in boxes.iter().filter_map(|id| fleet.boxes.get(id)) {
            load.add(&entry.shape);
        }
        load
    }

    fn add(&mut self, shape: &Shape) {
        *self.halls.entry(shape.hall.clone()).or_default() += 1;
        *self.racks.entry(shape.rack.clone()).or_default() += 1;
    }

    fn at(&self, shape: &Shape) -> (u32, u32) {
        let hall = self.halls.get(&shape.hall).copied().unwrap_or(0);
        let rack = self.racks.get(&shape.rack).copied().unwrap_or(0);
        (hall, rack)
    }
}

/// Up to `count` boxes of `pool` with room for one more job of `service`, spread over halls and
/// racks.
pub fn placement_boxes(fleet: &Fleet, service: &Service, pool: &Pool, count: u32) -> Vec<BoxId> {
    let mut left: Vec<(&BoxId, &Entry, u32)> = Vec::new();
    for id in &pool.boxes {
        let Some(entry) = fleet.boxes.get(id) else {
            continue;
        };
        let (slots, memory_mb) = fleet.free_resources(id, &entry.shape);
        let fits = slots >= service.slots && memory_mb >= service.memory_mb;
        if fits && !entry.down && !service.is_on(id) {
            left.push((id, entry, slots));
        }
    }
    let mut load = AreaCounts::of(fleet, &service.placed);
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let key = |index: &usize| {
            let (_, entry, slots) = left[*index];
            (load.at(&entry.shape), u32::MAX - slots)
        };
        let Some(best) = (0..left.len()).min_by_key(key) else {
            break;
        };
        let (id, entry, _) = left.swap_remove(best);
        load.add(&entry.shape);
        chosen.push(id.clone());
    }
    chosen
}

/// `count` boxes on which `service` has a replica too many, from the fullest halls first.
pub fn surplus_boxes(fleet: &Fleet, service: &Service, count: u32) -> Vec<BoxId> {
    let mut load = AreaCounts::of(fleet, &service.placed);
    let mut left: Vec<&BoxId> = service.placed.iter().collect();
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let key = |index: &usize| {
            let entry = fleet.boxes.get(left[*index]);
            entry.map(|entry| load.at(&entry.shape))
        };
        let Some(best) = (0..left.len()).max_by_key(key) else {
            break;
        };
        let id = left.swap_remove(best);
        if let Some(entry) = fleet.boxes.get(id) {
            let halls = load.halls.entry(entry.shape.hall.clone()).or_default();
            *halls = halls.saturating_sub(1);
        }
        chosen.push(id.clone());
    }
    chosen
}

/// Fills boxes that come into a pool with its services, the one with fewest replicas first.
pub struct JobAssigner<'a> {
    services: Vec<(&'a ServiceKey, &'a Service, usize)>,
}

impl<'a> JobAssigner<'a> {
    /// The services that run on `pool`.
    pub fn new(fleet: &'a Fleet, pool: &PoolId) -> JobAssigner<'a> {
        let own = fleet.services.iter().filter(|(_, service)| service.pool == *pool);
        let running = own.filter(|(_, service)| service.is_placed());
        let services = running.map(|(key, service)| (key, service, service.placed.len()));
        JobAssigner { services: services.collect() }
    }

    /// The jobs to start on the next box.
    pub fn assign(&mut self, shape: &Shape) -> Vec<ServiceKey> {
        let mut slots = shape.slots;
        let mut memory_mb = shape.memory_mb;
        let mut jobs = Vec::new();
        self.services.sort_by_key(|(_, _, replicas)| *replicas);
        for (key, service, replicas) in &mut self.services {
            if slots >= service.slots && memory_mb >= service.memory_mb {
                slots -= service.slots;
                memory_mb -= service.memory_mb;
                *replicas += 1;
                jobs.push(key.clone());
            }
        }
        jobs
    }
}
