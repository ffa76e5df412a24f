//! Chooses the boxes that a plan acts on, and their order.

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

/// The boxes of `pool`, in an order in which each next one is taken from the hall with the most
/// boxes left, and there from the rack with the most left.
///
/// With limits per hall or rack, another order could leave the last boxes all in one hall or rack,
/// where they can be taken out only one by one.
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
    let count =
        |racks: &BTreeMap<&RackId, Vec<&BoxId>>| -> usize { racks.values().map(Vec::len).sum() };
    let racks = halls.values_mut().max_by_key(|racks| count(racks))?;
    racks.values_mut().max_by_key(|boxes| boxes.len())?.pop()
}

/// `count` boxes that may be removed from `pool`, those with the fewest jobs first.
///
/// # Errors
///
/// [`PlanError::TooFew`] if removing more would take a service below its minimum of replicas, or if
/// no more boxes are in service.
pub fn removable_boxes(fleet: &Fleet, pool: &Pool, count: u32) -> Result<Vec<BoxId>, PlanError> {
    let mut up: BTreeMap<&ServiceKey, u32> = BTreeMap::new();
    for (key, service) in &fleet.services {
        up.insert(key, fleet.replicas_up(service));
    }
    let mut removed = Vec::new();
    let mut blocker = Blocker::NoneLeft;
    for id in serving_boxes_by_jobs(fleet, pool) {
        if removed.len() == count as usize {
            break;
        }
        match first_at_min_up(fleet, id, &up) {
            Some(key) => blocker = Blocker::MinUp { service: key.1.clone() },
            None => {
                for key in fleet.jobs_on(id) {
                    *up.entry(key).or_default() -= 1;
                }
                removed.push(id.clone());
            }
        }
    }
    if removed.len() < count as usize {
        let available = removed.len() as u32;
        return Err(PlanError::TooFew { asked: count, available, blocker });
    }
    Ok(removed)
}

fn serving_boxes_by_jobs<'a>(fleet: &'a Fleet, pool: &'a Pool) -> Vec<&'a BoxId> {
    let is_serving = |id: &&BoxId| fleet.boxes.get(*id).is_some_and(Entry::is_serving);
    let mut boxes: Vec<&BoxId> = pool.boxes.iter().filter(is_serving).collect();
    boxes.sort_by_key(|id| fleet.jobs_on(id).count());
    boxes
}

/// A service on `target` that has no more replicas up than its minimum.
fn first_at_min_up<'a>(
    fleet: &'a Fleet,
    target: &'a str,
    up: &BTreeMap<&ServiceKey, u32>,
) -> Option<&'a ServiceKey> {
    let is_at_min_up = |key: &&ServiceKey| up[*key] <= fleet.services[*key].min_up;
    fleet.jobs_on(target).find(is_at_min_up)
}

/// `count` boxes that are in no pool, from the halls and racks with the fewest boxes of `pool`.
///
/// # Errors
///
/// [`PlanError::TooFew`] if there are fewer.
pub fn unassigned_boxes(
    fleet: &Fleet,
    shapes: &Shapes,
    pool: &Pool,
    count: u32,
) -> Result<Vec<(BoxId, Shape)>, PlanError> {
    let mut candidates: Vec<(&BoxId, &Shape)> =
        shapes.iter().filter(|(id, _)| !fleet.boxes.contains_key(*id)).collect();
    let mut counts = AreaCounts::of(fleet, &pool.boxes);
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let best = (0..candidates.len()).min_by_key(|index| counts.at(candidates[*index].1));
        let Some(best) = best else {
            let available = chosen.len() as u32;
            let blocker = Blocker::NoneFree;
            return Err(PlanError::TooFew { asked: count, available, blocker });
        };
        let (id, shape) = candidates.swap_remove(best);
        counts.add(shape);
        chosen.push((id.clone(), shape.clone()));
    }
    Ok(chosen)
}

/// Number of boxes of a set in each hall and rack.
#[derive(Default)]
struct AreaCounts {
    halls: BTreeMap<HallId, u32>,
    racks: BTreeMap<RackId, u32>,
}

impl AreaCounts {
    fn of(fleet: &Fleet, boxes: &BTreeSet<BoxId>) -> AreaCounts {
        let mut counts = AreaCounts::default();
        for entry in boxes.iter().filter_map(|id| fleet.boxes.get(id)) {
            counts.add(&entry.shape);
        }
        counts
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

/// Up to `count` boxes of `pool` with the resources for another replica of `service`, spread over
/// halls and racks.
pub fn placement_boxes(fleet: &Fleet, service: &Service, pool: &Pool, count: u32) -> Vec<BoxId> {
    let mut candidates: Vec<(&BoxId, &Entry, u32)> = Vec::new();
    for id in &pool.boxes {
        let Some(entry) = fleet.boxes.get(id) else {
            continue;
        };
        let (slots, memory_mb) = fleet.free_resources(id, &entry.shape);
        let fits = slots >= service.slots && memory_mb >= service.memory_mb;
        if fits && !entry.down && !service.is_on(id) {
            candidates.push((id, entry, slots));
        }
    }
    let mut counts = AreaCounts::of(fleet, &service.placed);
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let key = |index: &usize| {
            let (_, entry, slots) = candidates[*index];
            (counts.at(&entry.shape), u32::MAX - slots)
        };
        let Some(best) = (0..candidates.len()).min_by_key(key) else {
            break;
        };
        let (id, entry, _) = candidates.swap_remove(best);
        counts.add(&entry.shape);
        chosen.push(id.clone());
    }
    chosen
}

/// Up to `count` boxes whose replica of `service` is to be stopped, first from the halls, and then
/// the racks, with the most replicas.
pub fn surplus_boxes(fleet: &Fleet, service: &Service, count: u32) -> Vec<BoxId> {
    let mut counts = AreaCounts::of(fleet, &service.placed);
    let mut candidates: Vec<&BoxId> = service.placed.iter().collect();
    let mut chosen = Vec::new();
    while chosen.len() < count as usize {
        let key = |index: &usize| {
            let entry = fleet.boxes.get(candidates[*index]);
            entry.map(|entry| counts.at(&entry.shape))
        };
        let Some(best) = (0..candidates.len()).max_by_key(key) else {
            break;
        };
        let id = candidates.swap_remove(best);
        if let Some(entry) = fleet.boxes.get(id) {
            let in_hall = counts.halls.entry(entry.shape.hall.clone()).or_default();
            *in_hall = in_hall.saturating_sub(1);
        }
        chosen.push(id.clone());
    }
    chosen
}

/// Assigns jobs of a pool's services to boxes that join it, services with the fewest replicas first.
pub struct JobAssigner<'a> {
    /// Services with their number of replicas.
    services: Vec<(&'a ServiceKey, &'a Service, usize)>,
}

impl<'a> JobAssigner<'a> {
    /// An assigner of jobs of the services that are placed on `pool`.
    pub fn new(fleet: &'a Fleet, pool: &PoolId) -> JobAssigner<'a> {
        let on_pool = fleet.services.iter().filter(|(_, service)| service.pool == *pool);
        let placed = on_pool.filter(|(_, service)| service.is_placed());
        let services = placed.map(|(key, service)| (key, service, service.placed.len()));
        JobAssigner { services: services.collect() }
    }

    /// The jobs to start on the next box, which runs none yet.
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
