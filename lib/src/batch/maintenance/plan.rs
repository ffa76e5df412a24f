//! Which boxes of a wave are emptied next, which are taken back into service, and which may be ordered.

use std::collections::HashSet;
use std::time::Instant;

use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::maintenance::evacuation::EVACUATION_TIMEOUT;
use crate::batch::maintenance::evacuation::evacuate_gracefully;
use crate::batch::maintenance::evacuation::try_reserve_evacuation;
use crate::batch::maintenance::progress::MachinesById;
use crate::batch::maintenance::progress::WaveProgress;
use crate::batch::maintenance::reservations::Reservations;
use crate::batch::place::fit::accepts_if_uncordoned;
use crate::batch::pool::load::loads;

/// How many more machines are empty or being emptied than may be down at once, so that the
/// next are empty when those come back.
const EVACUATE_AHEAD: usize = 2;

/// Why a box is put off that a task waits for.
const NEEDED_REASON: &str = "needed";

/// Chooses boxes to empty, moves off what may go, and returns boxes to order now, at most `most`. `taken` are those
/// that somebody else is about to order.
pub fn plan_round(
    cell: &mut Cell,
    course: &mut WaveProgress,
    listed: &MachinesById<'_>,
    taken: &HashSet<MachineId>,
    most: usize,
    now: Instant,
) -> Vec<MachineId> {
    let left = course.remaining();
    choose_machines(cell, course, &left, listed, taken, now);
    let empty = evacuate_machines(cell, course, listed, now);
    course.select_orders(empty, most)
}

/// Moves what it may off the machines being emptied; returns those on which nothing is left.
fn evacuate_machines(
    cell: &mut Cell,
    course: &mut WaveProgress,
    listed: &MachinesById<'_>,
    now: Instant,
) -> Vec<MachineId> {
    let mut places = Reservations::new(cell, now);
    uncordon_needed(cell, course, listed, &places, now);
    let mut ready = Vec::new();
    for (id, since) in &course.evacuating {
        let hurry = now.saturating_duration_since(*since) > EVACUATION_TIMEOUT;
        let worker = listed_incarnation(cell, listed, id);
        if worker.is_none_or(|worker| evacuate_gracefully(cell, &worker, hurry, &mut places, now)) {
            ready.push(id.clone());
        }
    }
    ready
}

/// Takes a box back into service, one of each service in a round, where a task that lasts waits, has no other place,
/// and would have one there. Such a box is rarely empty soon: its own tasks have no other place either.
fn uncordon_needed(
    cell: &mut Cell,
    course: &mut WaveProgress,
    listed: &MachinesById<'_>,
    places: &Reservations,
    now: Instant,
) {
    let mut released: Vec<(MachineId, Incarnation)> = Vec::new();
    let mut served: HashSet<String> = HashSet::new();
    for id in course.evacuating.keys() {
        let Some(worker) =
            listed_incarnation(cell, listed, id).and_then(|life| cell.workers.get(&life))
        else {
            continue;
        };
        let service = worker.entry.service.as_str();
        let Some(task) = places.first_unplaced(service) else { continue };
        // An order that had no answer may still take the box away.
        let may_go = worker.allocations.is_empty() || course.unanswered.contains(id);
        if may_go || served.contains(service) {
            continue;
        }
        if accepts_if_uncordoned(cell, worker, task, now) {
            served.insert(service.to_owned());
            released.push((id.clone(), worker.peer.incarnation.clone()));
        }
    }
    for (id, worker) in released {
        log::info!(machine = id.as_str(), wave = course.wave.number; "back in service, a task waits for its room");
        course.defer(&id, NEEDED_REASON, now);
        if let Some(mut worker) = cell.workers.get_mut(&worker) {
            worker.cordoned = false;
        }
    }
}

/// The life that is on a machine, by the platform's list; one that is not known here goes by its id alone.
pub fn listed_incarnation(cell: &Cell, listed: &MachinesById<'_>, id: &str) -> Option<Incarnation> {
    let worker = listed.get(id)?.worker.as_ref()?;
    let known = cell.workers.current(worker).map(|known| known.peer.incarnation.clone());
    Some(known.unwrap_or_else(|| Incarnation::new(worker.clone(), None)))
}

/// Picks machines to empty, the least loaded first.
fn choose_machines(
    cell: &mut Cell,
    course: &mut WaveProgress,
    left: &[MachineId],
    listed: &MachinesById<'_>,
    taken: &HashSet<MachineId>,
    now: Instant,
) {
    let mut free = (course.wave.max_down + EVACUATE_AHEAD).saturating_sub(course.count_under_way());
    if free == 0 {
        return;
    }
    // Machines beyond these are taken only where they can be spared.
    let mut owed =
        course.required_concurrency(left.len(), now).saturating_sub(course.count_under_way());
    let mut loads = loads(cell, now);
    let mut places = Reservations::new(cell, now);
    for machine in candidates(cell, course, left, listed, taken, now) {
        let size = u64::from(machine.capacity.cpu);
        let load = loads.get_mut(&machine.pool);
        let spare = load.as_ref().is_none_or(|load| load.can_spare(size));
        if free == 0 || (!spare && owed == 0) {
            continue;
        }
        if let Some(worker) = listed_incarnation(cell, listed, &machine.id)
            && !try_reserve_evacuation(cell, &worker, &mut places, now)
        {
            if owed > 0 {
                cell.record_unplaced(&worker);
                owed -= 1;
            }
            continue;
        }
        free -= 1;
        owed = owed.saturating_sub(1);
        if let Some(load) = load {
            load.remove_machine(size);
        }
        cell.cordon_on(machine);
        log::info!(machine = machine.id.as_str(), wave = course.wave.number, spare, pool = machine.pool.as_str(); "empties for upkeep");
        course.evacuating.insert(machine.id.clone(), now);
    }
}

/// Machines that are up and may be emptied next, the least loaded first.
fn candidates<'a>(
    cell: &Cell,
    course: &WaveProgress,
    left: &[MachineId],
    listed: &MachinesById<'a>,
    taken: &HashSet<MachineId>,
    now: Instant,
) -> Vec<&'a Machine> {
    let waiting = left.iter().filter(|id| {
        !course.evacuating.contains_key(*id)
            && !taken.contains(*id)
            && !course.deferrals.is_deferred(id, now)
    });
    let up = waiting
        .filter_map(|id| listed.get(id.as_str()).copied())
        .filter(|machine| machine.status == Status::Up);
    let mut candidates: Vec<&Machine> = up.collect();
    let tasks =
        |machine: &Machine| cell.worker_on(machine).map_or(0, |worker| worker.allocations.len());
    candidates.sort_by_key(|machine| (tasks(machine), &machine.id));
    candidates
}
