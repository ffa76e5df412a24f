//! Moves boxes between pools as the load shifts between services.

pub mod load;
mod order;
pub mod rise;
mod source;

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

use crate::batch::cell::Cell;
use crate::batch::deferral::Deferrals;
use crate::batch::evacuated_halls::HallNames;
use crate::batch::maintenance::evacuate;
use crate::batch::maintenance::plan::listed_incarnation;
use crate::batch::pool::load::Load;
use crate::batch::pool::load::loads;
use crate::batch::pool::load::spare_machines;
use crate::batch::pool::rise::Rises;
use crate::batch::pool::source::Recipient;
use crate::batch::pool::source::Sources;
use crate::batch::scheduler::Scheduler;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long a box must have been idle before it is switched off. A move to the reserve and one back
/// cost about two seconds of a box.
const IDLE_BEFORE_OFF: Duration = Duration::from_millis(1_000);
/// How long the evacuation of a box may take before what still runs on it is stopped.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a move may take until it counts as failed; usually it takes 2 s.
const MOVE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Maximum number of boxes that are moved at once, as a percentage of all boxes.
const MAX_MOVING_PERCENT: usize = 60;

/// A move of a box to another pool.
struct Move {
    to: String,
    /// Whether the box is switched off: `to` is the reserve.
    is_switch_off: bool,
    started_at: Instant,
    is_ordered: bool,
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
        let listed: MachinesById<'_> =
            list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        self.evacuated_halls = scheduler.cell().evacuated_halls().clone();
        self.cancel_moves_to_evacuated_halls(&listed);
        self.remove_finished(&scheduler.cell(), &listed);
        self.update_idle(&scheduler.cell(), list);
        if !scheduler.may_order_boxes() {
            return;
        }
        if let Some(config) = scheduler.node.config() {
            self.fetch_for_shortages(&mut scheduler.cell(), &config, list, &listed, taken);
            self.switch_off_excess(&mut scheduler.cell(), &config, list, taken);
        }
        let mut empty = self.evacuate_machines(&mut scheduler.cell(), &listed);
        empty.truncate(orders);
        self.order_moves(scheduler, machines, empty).await;
    }

    /// Removes moves that are complete or have failed.
    fn remove_finished(&mut self, cell: &Cell, listed: &MachinesById<'_>) {
        self.moves.retain(|id, under_way| {
            let machine = listed.get(id.as_str());
            let arrived = machine.is_some_and(|machine| {
                let joined = has_joined(cell, machine);
                // A box that is switched off has no worker that could join.
                let joined = joined || under_way.is_switch_off;
                machine.pool == under_way.to && machine.status == Status::Up && joined
            });
            machine.is_some() && !arrived && clock::since(under_way.started_at) < MOVE_TIMEOUT
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

    /// Starts moves of boxes to services with less than they want: switched-off boxes first, then
    /// lightly used boxes of services that can give them.
    fn fetch_for_shortages(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        listed: &MachinesById<'_>,
        taken: &HashSet<MachineId>,
    ) {
        let mut loads = loads(cell, clock::now());
        let mut left = (list.len() * MAX_MOVING_PERCENT / 100).saturating_sub(self.moves.len());
        let free = list.iter().filter(|machine| self.is_free(machine, taken));
        let mut sources = Sources::new(cell, config, free);
        self.fetch_labelled(cell, listed, &mut sources, &mut loads);
        let mut short = self.cpu_shortages(config, listed, &loads);
        while left > 0
            && let Some((missing, service)) = short.pop()
        {
            let Some(machine) =
                sources.take_machine(&loads, &self.recipient(&loads, &service), |_| true)
            else {
                return;
            };
            let size = u64::from(machine.capacity.cpu);
            self.fetch_machine(cell, &mut loads, machine, &service, missing);
            left -= 1;
            let remainder = missing.saturating_sub(size);
            if remainder > size / 2 {
                short.push((remainder, service));
                short.sort();
            }
        }
    }

    /// Fetches boxes with labels that services are short of, beyond those already on their way.
    fn fetch_labelled(
        &mut self,
        cell: &mut Cell,
        listed: &MachinesById<'_>,
        sources: &mut Sources<'_>,
        loads: &mut BTreeMap<String, Load>,
    ) {
        let shortages = loads.iter().flat_map(|(service, load)| {
            load.label_shortages
                .iter()
                .map(|(label, missing)| (service.clone(), label.clone(), *missing))
        });
        let shortages: Vec<(String, String, u64)> = shortages.collect();
        for (service, label, missing) in shortages {
            let has_label = |machine: &Machine| machine.labels.contains(&label);
            let mut missing =
                missing.saturating_sub(self.incoming_cpu(&service, listed, has_label));
            while missing > 0 {
                let to = self.recipient(loads, &service);
                let Some(machine) = sources.take_machine(loads, &to, has_label) else { break };
                self.fetch_machine(cell, loads, machine, &service, missing);
                missing = missing.saturating_sub(u64::from(machine.capacity.cpu).max(1));
            }
        }
    }

    /// Starts the move of a box to a service with a shortage of `missing` thousandths of a core.
    fn fetch_machine(
        &mut self,
        cell: &mut Cell,
        loads: &mut BTreeMap<String, Load>,
        machine: &Machine,
        to: &str,
        missing: u64,
    ) {
        log::info!(
            machine = machine.id.as_str(),
            from = machine.pool.as_str(),
            to,
            missing_cores = missing / 1_000;
            "moving box to another pool"
        );
        if let Some(load) = loads.get_mut(&machine.pool) {
            load.remove_machine(u64::from(machine.capacity.cpu));
        }
        self.start_move(cell, machine, to, false);
    }

    /// Services that want more than they have and will soon receive, with the shortage in
    /// thousandths of a core; the largest shortage comes last.
    fn cpu_shortages(
        &self,
        config: &Config,
        listed: &MachinesById<'_>,
        loads: &BTreeMap<String, Load>,
    ) -> Vec<(u64, String)> {
        let mut short = Vec::new();
        for service in config.services.iter().filter(|service| !service.is_reserve) {
            let load = loads.get(&service.name).cloned().unwrap_or_default();
            let incoming = self.incoming_cpu(&service.name, listed, |_| true);
            let unspread = load.min_workers.saturating_sub(load.workers) * load.mean_worker_cpu();
            let needed =
                load.wanted().max(load.capacity + unspread).max(load.capacity + load.unplaced);
            let missing = needed.saturating_sub(load.capacity + incoming);
            if missing > 0 {
                short.push((missing, service.name.clone()));
            }
        }
        short.sort();
        short
    }

    /// Starts the move of a box and cordons its worker.
    fn start_move(&mut self, cell: &mut Cell, machine: &Machine, to: &str, is_switch_off: bool) {
        cell.cordon_on(machine);
        let started_at = clock::now();
        let under_way = Move { to: to.to_owned(), is_switch_off, started_at, is_ordered: false };
        self.moves.insert(machine.id.clone(), under_way);
    }

    /// Updates which boxes run nothing.
    fn update_idle(&mut self, cell: &Cell, list: &[Machine]) {
        let now = clock::now();
        for machine in list {
            let is_idle = |worker: &Worker| worker.has_token && worker.allocations.is_empty();
            if cell.worker_on(machine).is_some_and(is_idle) {
                if !self.idle_since.contains_key(&machine.id) {
                    self.idle_since.insert(machine.id.clone(), now);
                }
            } else {
                self.idle_since.remove(&machine.id);
            }
        }
    }

    /// Switches off idle boxes that their services do not need: in the reserve they cost nothing,
    /// and from there they come back as soon as from another service.
    fn switch_off_excess(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        taken: &HashSet<MachineId>,
    ) {
        let Some(reserve) = config.services.iter().find(|service| service.is_reserve) else {
            return;
        };
        let mut loads = loads(cell, clock::now());
        for machine in list {
            let is_empty =
                cell.worker_on(machine).is_some_and(|worker| worker.allocations.is_empty());
            if !is_empty || !self.is_idle_long_enough(machine) || !self.is_free(machine, taken) {
                continue;
            }
            let size = u64::from(machine.capacity.cpu);
            let Some(load) = loads.get_mut(&machine.pool) else { continue };
            let spare = self.spare_machines(&machine.pool, load, list.len() as u64);
            if !load.has_excess(size, spare) {
                continue;
            }
            load.remove_machine(size);
            log::info!(machine = machine.id.as_str(), from = machine.pool.as_str(); "switching off idle box");
            self.start_move(cell, machine, &reserve.name, true);
        }
    }

    /// Whether a box has been idle long enough to be switched off.
    fn is_idle_long_enough(&self, machine: &Machine) -> bool {
        self.idle_since
            .get(&machine.id)
            .is_some_and(|since| clock::since(*since) >= IDLE_BEFORE_OFF)
    }

    /// Whether a box is up, not moving, not deferred, not in an evacuated hall and not in `taken`.
    fn is_free(&self, machine: &Machine, taken: &HashSet<MachineId>) -> bool {
        machine.status == Status::Up
            && !self.evacuated_halls.contains(&machine.hall)
            && !taken.contains(&machine.id)
            && !self.deferrals.is_deferred(&machine.id, clock::now())
            && !self.moves.contains_key(&machine.id)
    }

    /// CPU, in thousandths of a core, of the boxes on their way to a service for which `fits`
    /// holds, without those in evacuated halls.
    fn incoming_cpu(
        &self,
        service: &str,
        listed: &MachinesById<'_>,
        fits: impl Fn(&Machine) -> bool,
    ) -> u64 {
        let incoming = self.moves.iter().filter(|(_, under_way)| under_way.to == service);
        let machines = incoming.filter_map(|(id, _)| listed.get(id.as_str()));
        let machines = machines
            .filter(|machine| fits(machine) && !self.evacuated_halls.contains(&machine.hall));
        machines.map(|machine| u64::from(machine.capacity.cpu)).sum()
    }

    /// A service as a possible recipient of boxes, with its load and the boxes on their way to it.
    fn recipient<'a>(&self, loads: &BTreeMap<String, Load>, service: &'a str) -> Recipient<'a> {
        let load = loads.get(service).cloned().unwrap_or_default();
        let incoming = self.moves.values().filter(|under_way| under_way.to == service).count();
        Recipient { service, load, incoming: incoming as u64 }
    }

    /// Continues the evacuation of moving boxes; returns those that are empty and not yet ordered
    /// to move.
    fn evacuate_machines(&self, cell: &mut Cell, listed: &MachinesById<'_>) -> Vec<MachineId> {
        let mut ready: Vec<(bool, MachineId)> = Vec::new();
        for (id, under_way) in self.moves.iter().filter(|(_, under_way)| !under_way.is_ordered) {
            let worker = listed_incarnation(cell, listed, id);
            let hurry = clock::since(under_way.started_at) > EVACUATION_TIMEOUT;
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
