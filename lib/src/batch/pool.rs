//! Moves boxes between pools as the load shifts between services.

mod fetch;
pub mod load;
mod order;
pub mod rise;
pub mod shortage;
mod source;
mod switch_off;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Config;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;
use spokelift_platform::machine::Status;

use crate::batch::box_state::Departure;
use crate::batch::box_state::Purpose;
use crate::batch::cell::Cell;
use crate::batch::deferral::Deferrals;
use crate::batch::evacuated_halls::HallNames;
use crate::batch::maintenance::evacuate;
use crate::batch::maintenance::plan::is_unreadable;
use crate::batch::maintenance::plan::listed_incarnation;
use crate::batch::pool::load::Load;
use crate::batch::pool::load::spare_machines;
use crate::batch::pool::rise::Rises;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// How long the evacuation of a box may take before what still runs on it is stopped.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a move may take until it counts as failed; usually it takes 2 s.
const MOVE_TIMEOUT: Duration = Duration::from_millis(8_000);

/// A move of a box to another pool.
struct Move {
    to: String,
    /// Whether the box is switched off: `to` is the reserve.
    is_switch_off: bool,
    started_at: Instant,
    is_ordered: bool,
    /// Whether an order had no answer, so that it may have been carried out.
    is_unanswered: bool,
}

impl Move {
    /// Whether no order was given that may have been carried out.
    fn is_pending(&self) -> bool {
        !self.is_ordered && !self.is_unanswered
    }
}

/// The boxes as the platform lists them, by id.
type MachinesById<'a> = HashMap<&'a str, &'a Machine>;

/// The moves under way, and what is needed to choose new ones.
#[derive(Default)]
pub struct Pools {
    moves: HashMap<MachineId, Move>,
    /// Boxes whose move the platform refused lately.
    deferrals: Deferrals,
    /// Boxes on which nothing runs, and since when this is known.
    idle_since: HashMap<MachineId, Instant>,
    /// How much the needs of services rise within the time of a move.
    rises: Rises,
    /// The evacuated halls. Their boxes stay where they are.
    evacuated_halls: Arc<HallNames>,
}

/// Whether the worker of a moved box has answered this scheduler. Until then it counts in no load,
/// and a second box would be fetched for the same shortage.
pub fn has_joined(cell: &Cell, machine: &Machine) -> bool {
    cell.worker_on(machine).is_some_and(|worker| worker.has_token)
}

fn by_id(list: &[Machine]) -> MachinesById<'_> {
    list.iter().map(|machine| (machine.id.as_str(), machine)).collect()
}

impl Pools {
    /// Whether moves are under way or needed, so that the platform's list of machines is needed.
    pub fn needs_machine_list(&self, loads: &BTreeMap<String, Load>) -> bool {
        let machines = loads.values().map(|load| load.workers).sum();
        let needs_moves = |(service, load): (&String, &Load)| {
            let spare = self.spare_machines(service, load, machines);
            let short = load.wanted() > load.capacity
                || load.min_workers > load.workers
                || load.unplaced > 0;
            short
                || !load.label_shortages.is_empty()
                || load.has_excess(load.mean_worker_cpu(), spare)
        };
        !self.moves.is_empty() || loads.iter().any(needs_moves)
    }

    /// How many boxes a service keeps beyond what it wants, on a site with `machines` boxes.
    fn spare_machines(&self, service: &str, load: &Load, machines: u64) -> u64 {
        spare_machines(machines, load.mean_worker_cpu(), self.rises.largest(service))
    }

    /// Records what the services need now.
    pub fn record_need(&mut self, loads: &BTreeMap<String, Load>) {
        let now = clock::now();
        for (service, load) in loads {
            self.rises.record(service, load.need(), now);
        }
    }

    /// Boxes with a move under way.
    pub fn busy_machines(&self) -> HashSet<MachineId> {
        self.moves.keys().cloned().collect()
    }

    /// The move that has a box; `None` if none has.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        let under_way = self.moves.get(id)?;
        let purpose = match under_way.is_switch_off {
            true => Purpose::SwitchOff,
            false => Purpose::Move(under_way.to.clone()),
        };
        Some(Departure { purpose, is_ordered: !under_way.is_pending() })
    }

    /// Cancels all moves that were not ordered; returns their number.
    pub fn cancel_pending(&mut self) -> usize {
        let before = self.moves.len();
        self.moves.retain(|_, under_way| !under_way.is_pending());
        before - self.moves.len()
    }

    /// Whether the last order about a box was refused a short time ago.
    pub fn is_deferred(&self, id: &str, now: Instant) -> bool {
        self.deferrals.is_deferred(id, now)
    }

    /// Continues the moves under way and starts new ones, with at most `orders` orders to the
    /// platform. `taken` are boxes used by waves or on hold.
    pub async fn advance(
        &mut self,
        scheduler: &Arc<Scheduler>,
        machines: &Machines,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        orders: usize,
    ) {
        self.update(&scheduler.cell(), list, clock::now());
        if !scheduler.may_order_boxes() {
            return;
        }
        let config = scheduler.node.config();
        let config = config.as_deref().map(|config| &**config);
        let now = clock::now();
        let mut empty = self.plan(&mut scheduler.cell(), config, list, taken, now);
        empty.truncate(orders);
        self.order_moves(scheduler, machines, empty).await;
    }

    /// Takes in a list of all boxes: which moves are over, and which boxes are idle.
    pub fn update(&mut self, cell: &Cell, list: &[Machine], now: Instant) {
        let listed = by_id(list);
        self.evacuated_halls = cell.evacuated_halls().clone();
        self.cancel_moves_to_evacuated_halls(&listed);
        self.remove_finished(cell, &listed, now);
        self.update_idle(cell, list, now);
    }

    /// Starts the moves that are needed and continues all evacuations. Returns the boxes that may be
    /// ordered to move now, those that services wait for first.
    pub fn plan(
        &mut self,
        cell: &mut Cell,
        config: Option<&Config>,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        now: Instant,
    ) -> Vec<MachineId> {
        let listed = by_id(list);
        if let Some(config) = config {
            self.keep_needed(cell, config, &listed, now);
            self.fetch_for_shortages(cell, config, list, taken, now);
            self.switch_off_excess(cell, config, list, taken, now);
        }
        self.evacuate_machines(cell, &listed, now)
    }

    /// Removes moves that are complete or have failed.
    fn remove_finished(&mut self, cell: &Cell, listed: &MachinesById<'_>, now: Instant) {
        self.moves.retain(|id, under_way| {
            let machine = listed.get(id.as_str());
            let arrived = machine.is_some_and(|machine| {
                let joined = has_joined(cell, machine);
                // A box that is switched off has no worker that could join.
                let joined = joined || under_way.is_switch_off;
                machine.pool == under_way.to && machine.status == Status::Up && joined
            });
            let elapsed = now.saturating_duration_since(under_way.started_at);
            machine.is_some() && !arrived && elapsed < MOVE_TIMEOUT
        });
    }

    /// Cancels moves that are not ordered yet and would bring a box of an evacuated hall into
    /// service.
    fn cancel_moves_to_evacuated_halls(&mut self, listed: &MachinesById<'_>) {
        let evacuated_halls = &self.evacuated_halls;
        self.moves.retain(|id, under_way| {
            let machine = listed.get(id.as_str());
            let is_evacuated =
                machine.is_some_and(|machine| evacuated_halls.contains(&machine.hall));
            under_way.is_ordered || under_way.is_switch_off || !is_evacuated
        });
    }

    /// Starts the move of a box and cordons its worker.
    fn start_move(
        &mut self,
        cell: &mut Cell,
        machine: &Machine,
        to: &str,
        is_switch_off: bool,
        now: Instant,
    ) {
        cell.cordon_on(machine);
        let under_way = Move {
            to: to.to_owned(),
            is_switch_off,
            started_at: now,
            is_ordered: false,
            is_unanswered: false,
        };
        self.moves.insert(machine.id.clone(), under_way);
    }

    /// Whether a box is up, not moving, not deferred, not in an evacuated hall and not in `taken`.
    fn is_free(&self, machine: &Machine, taken: &HashSet<MachineId>, now: Instant) -> bool {
        machine.status == Status::Up
            && !self.evacuated_halls.contains(&machine.hall)
            && !taken.contains(&machine.id)
            && !self.deferrals.is_deferred(&machine.id, now)
            && (!self.moves.contains_key(&machine.id) || self.is_redirectable(machine))
    }

    /// Continues the evacuation of moving boxes; returns those that are empty and not yet ordered
    /// to move.
    fn evacuate_machines(
        &self,
        cell: &mut Cell,
        listed: &MachinesById<'_>,
        now: Instant,
    ) -> Vec<MachineId> {
        let mut ready: Vec<(bool, MachineId)> = Vec::new();
        let waiting = self
            .moves
            .iter()
            .filter(|(id, under_way)| !under_way.is_ordered && !is_unreadable(listed, id));
        for (id, under_way) in waiting {
            let worker = listed_incarnation(cell, listed, id);
            let elapsed = now.saturating_duration_since(under_way.started_at);
            let hurry = elapsed > EVACUATION_TIMEOUT;
            if worker.is_none_or(|worker| evacuate(cell, &worker, hurry)) {
                ready.push((under_way.is_switch_off, id.clone()));
            }
        }
        // Boxes for services come before boxes to be switched off: a service with rising load waits
        // for them, while nothing waits for a switch-off. As a rise ends, hundreds are switched
        // off, and the platform limits the rate of orders.
        ready.sort();
        ready.into_iter().map(|(_, id)| id).collect()
    }
}
