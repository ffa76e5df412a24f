//! Chooses which boxes of a wave are evacuated next, which return to service, and which may be
//! ordered.

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

/// How many more boxes are evacuated or evacuating than may be down at once, so that the next are
/// empty when those come back.
const EVACUATE_AHEAD: usize = 2;

/// Reason for the deferral of a box whose resources a waiting task needs.
const NEEDED_REASON: &str = "needed";

/// Chooses boxes to evacuate, continues their evacuation, and returns the boxes to order now, at
/// most `max_orders`. `taken` are boxes that are on hold or about to be ordered for another
/// purpose.
pub fn plan_round(
    cell: &mut Cell,
    progress: &mut WaveProgress,
    listed: &MachinesById<'_>,
    taken: &HashSet<MachineId>,
    max_orders: usize,
    now: Instant,
) -> Vec<MachineId> {
    let left = progress.remaining();
    choose_machines(cell, progress, &left, listed, taken, now);
    let empty = evacuate_machines(cell, progress, listed, now);
    progress.select_orders(empty, max_orders)
}

/// Continues the evacuation of boxes; returns those on which nothing is left.
fn evacuate_machines(
    cell: &mut Cell,
    progress: &mut WaveProgress,
    listed: &MachinesById<'_>,
    now: Instant,
) -> Vec<MachineId> {
    let mut reservations = Reservations::new(cell, now);
    uncordon_needed(cell, progress, listed, &reservations, now);
    let mut ready = Vec::new();
    for (id, since) in &progress.evacuating {
        if is_unreadable(listed, id) {
            continue;
        }
        let hurry = now.saturating_duration_since(*since) > EVACUATION_TIMEOUT;
        let worker = listed_incarnation(cell, listed, id);
        if worker
            .is_none_or(|worker| evacuate_gracefully(cell, &worker, hurry, &mut reservations, now))
        {
            ready.push(id.clone());
        }
    }
    ready
}

/// Returns a box to service, at most one per service and round, if an unplaced long-running task
/// would fit on it. Such a box is unlikely to be empty soon: its own tasks fit nowhere else either.
fn uncordon_needed(
    cell: &mut Cell,
    progress: &mut WaveProgress,
    listed: &MachinesById<'_>,
    reservations: &Reservations,
    now: Instant,
) {
    let mut uncordoned: Vec<(MachineId, Incarnation)> = Vec::new();
    let mut served: HashSet<String> = HashSet::new();
    for id in progress.evacuating.keys() {
        let Some(worker) = listed_incarnation(cell, listed, id)
            .and_then(|incarnation| cell.workers.get(&incarnation))
        else {
            continue;
        };
        let service = worker.entry.service.as_str();
        let Some(task) = reservations.first_unplaced(service) else { continue };
        // An unanswered order may still take the box away.
        let may_be_ordered = worker.allocations.is_empty() || progress.unanswered.contains(id);
        if may_be_ordered || served.contains(service) {
            continue;
        }
        if accepts_if_uncordoned(cell, worker, task, now) {
            served.insert(service.to_owned());
            uncordoned.push((id.clone(), worker.peer.incarnation.clone()));
        }
    }
    for (id, worker) in uncordoned {
        log::info!(
            machine = id.as_str(),
            wave = progress.wave.number;
            "box back in service: a waiting task needs its resources"
        );
        progress.defer(&id, NEEDED_REASON, now);
        if let Some(mut worker) = cell.workers.get_mut(&worker) {
            worker.cordoned = false;
        }
    }
}

/// Whether the platform's list has a box in a form that cannot be read. It must not be ordered: the list does not say
/// which worker is on it.
pub fn is_unreadable(listed: &MachinesById<'_>, id: &str) -> bool {
    listed.get(id).is_some_and(|machine| machine.status == Status::Unreadable)
}

/// The worker incarnation on a box by the platform's list; one without a birth time if the worker
/// is unknown here.
pub fn listed_incarnation(cell: &Cell, listed: &MachinesById<'_>, id: &str) -> Option<Incarnation> {
    let worker = listed.get(id)?.worker.as_ref()?;
    let known = cell.workers.current(worker).map(|known| known.peer.incarnation.clone());
    Some(known.unwrap_or_else(|| Incarnation::new(worker.clone(), None)))
}

/// Chooses boxes to evacuate, those with the fewest runs first.
fn choose_machines(
    cell: &mut Cell,
    progress: &mut WaveProgress,
    left: &[MachineId],
    listed: &MachinesById<'_>,
    taken: &HashSet<MachineId>,
    now: Instant,
) {
    let mut free =
        (progress.wave.max_down + EVACUATE_AHEAD).saturating_sub(progress.count_under_way());
    if free == 0 && progress.unsettled.is_empty() {
        return;
    }
    // Beyond this number, boxes are chosen only from services that can spare them.
    let mut required =
        progress.required_concurrency(left.len(), now).saturating_sub(progress.count_under_way());
    let mut loads = loads(cell, now);
    let mut reservations = Reservations::new(cell, now);
    for machine in candidates(cell, progress, left, listed, taken, now) {
        let size = u64::from(machine.capacity.cpu);
        let load = loads.get_mut(&machine.pool);
        let spare = load.as_ref().is_none_or(|load| load.can_spare(size));
        let is_unsettled = progress.unsettled.contains(&machine.id);
        if !is_unsettled && (free == 0 || (!spare && required == 0)) {
            continue;
        }
        if let Some(worker) = listed_incarnation(cell, listed, &machine.id)
            && !try_reserve_evacuation(cell, &worker, &mut reservations, now)
        {
            if required > 0 {
                cell.record_unplaced(&worker);
                required -= 1;
            }
            continue;
        }
        free = free.saturating_sub(1);
        required = required.saturating_sub(1);
        if let Some(load) = load {
            load.remove_machine(size);
        }
        cell.cordon_on(machine);
        log::info!(
            machine = machine.id.as_str(),
            wave = progress.wave.number,
            spare,
            pool = machine.pool.as_str();
            "evacuating box for maintenance"
        );
        progress.evacuating.insert(machine.id.clone(), now);
    }
}

/// Boxes that are up and may be evacuated next: the unsettled ones first, then those with the fewest
/// runs.
fn candidates<'a>(
    cell: &Cell,
    progress: &WaveProgress,
    left: &[MachineId],
    listed: &MachinesById<'a>,
    taken: &HashSet<MachineId>,
    now: Instant,
) -> Vec<&'a Machine> {
    let waiting = left.iter().filter(|id| {
        !progress.evacuating.contains_key(*id)
            && !taken.contains(*id)
            && !progress.deferrals.is_deferred(id, now)
    });
    let up = waiting
        .filter_map(|id| listed.get(id.as_str()).copied())
        .filter(|machine| machine.status == Status::Up);
    let mut candidates: Vec<&Machine> = up.collect();
    let tasks =
        |machine: &Machine| cell.worker_on(machine).map_or(0, |worker| worker.allocations.len());
    candidates.sort_by_key(|machine| {
        (!progress.unsettled.contains(&machine.id), tasks(machine), &machine.id)
    });
    candidates
}
