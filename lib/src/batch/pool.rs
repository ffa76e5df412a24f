//! Moves machines between pools as the load turns from service to service.

pub mod load;
mod order;
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
use crate::batch::pool::load::Load;
use crate::batch::pool::load::loads;
use crate::batch::pool::load::spare;
use crate::batch::pool::source::Sources;
use crate::batch::pool::source::Taker;
use crate::batch::put_off::PutOff;
use crate::batch::scheduler::Scheduler;
use crate::batch::upkeep::empty;
use crate::batch::upkeep::plan::worker_of;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// How long a machine must have been idle before it is switched off. A move to the reserve and one
/// back cost as much as about two seconds of a machine.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
/// How long a machine may take to become empty before what runs on it is stopped.
const EMPTY_TIME: Duration = Duration::from_millis(2_500);
/// How long a move may take until it is taken to have failed: several times the usual 2 s.
const MOVE_TIME: Duration = Duration::from_millis(8_000);
/// Most machines under way at once, as a share of all, in hundredths.
const AT_ONCE_PERCENT: usize = 60;

/// A machine on its way to another pool.
struct Move {
    to: String,
    /// It is switched off: `to` is the reserve.
    is_off: bool,
    since: Instant,
    ordered: bool,
}

/// The boxes as the platform lists them, by id.
type Listed<'a> = HashMap<&'a str, &'a Machine>;

/// Moves under way.
#[derive(Default)]
pub struct Pools {
    moves: HashMap<MachineId, Move>,
    /// Machines that refused to move.
    put_off: PutOff,
    /// Machines on which nothing runs, and since when that is known.
    idle: HashMap<MachineId, Instant>,
}

/// Whether the worker of a box that was moved has answered. Until then it counts in no load, and another box would be fetched
/// for what it was fetched for.
pub fn has_joined(cell: &Cell, machine: &Machine) -> bool {
    cell.worker_on(machine).is_some_and(|worker| worker.fenced)
}

impl Pools {
    /// Whether moves are under way or wanted.
    pub fn wants_list(&self, scheduler: &Scheduler) -> bool {
        let loads = loads(&scheduler.cell(), clock::now());
        let spare = spare(loads.values().map(|load| load.workers).sum());
        let unfit = |load: &Load| {
            let short = load.wanted() > load.has || load.least > load.workers || load.unhoused > 0;
            short || !load.lacks.is_empty() || load.has_excess(load.size(), spare)
        };
        !self.moves.is_empty() || loads.values().any(unfit)
    }

    /// Machines under way.
    pub fn busy(&self) -> HashSet<MachineId> {
        self.moves.keys().cloned().collect()
    }

    /// Goes on with the moves under way and begins new ones, with at most so many orders.
    pub async fn advance(
        &mut self,
        scheduler: &Arc<Scheduler>,
        machines: &Machines,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        orders: usize,
    ) {
        let listed: Listed<'_> =
            list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        self.settle(&scheduler.cell(), &listed);
        self.note_idle(&scheduler.cell(), list);
        if !scheduler.may_order_machines() {
            return;
        }
        if let Some(config) = scheduler.node.config() {
            self.choose(&mut scheduler.cell(), &config, list, &listed, taken);
            self.release(&mut scheduler.cell(), &config, list, taken);
        }
        let mut emptied = self.emptied(&mut scheduler.cell(), &listed);
        emptied.truncate(orders);
        self.order(scheduler, machines, emptied).await;
    }

    /// Lets go of moves that are done or have failed.
    fn settle(&mut self, cell: &Cell, listed: &Listed<'_>) {
        self.moves.retain(|id, under_way| {
            let machine = listed.get(id.as_str());
            let arrived = machine.is_some_and(|machine| {
                let joined = has_joined(cell, machine);
                // A machine that is switched off has no worker that would join.
                let joined = joined || under_way.is_off;
                machine.pool == under_way.to && machine.status == Status::Up && joined
            });
            machine.is_some() && !arrived && clock::since(under_way.since) < MOVE_TIME
        });
    }

    /// Picks machines for services that want more than they have: those that are switched off
    /// first, then idle ones of services that have more than they want.
    fn choose(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        listed: &Listed<'_>,
        taken: &HashSet<MachineId>,
    ) {
        let mut loads = loads(cell, clock::now());
        let mut left = (list.len() * AT_ONCE_PERCENT / 100).saturating_sub(self.moves.len());
        let free = list.iter().filter(|machine| self.is_free(machine, taken));
        let mut sources = Sources::new(cell, config, free);
        self.fetch_labels(cell, listed, &mut sources, &mut loads);
        let mut short = self.short(config, listed, &loads);
        while left > 0
            && let Some((missing, service)) = short.pop()
        {
            let Some(machine) = sources.take(&loads, &self.with_coming(&loads, &service), |_| true)
            else {
                return;
            };
            let size = u64::from(machine.room.cpu);
            self.fetch(cell, &mut loads, machine, &service, missing);
            left -= 1;
            let rest = missing.saturating_sub(size);
            if rest > size / 2 {
                short.push((rest, service));
                short.sort();
            }
        }
    }

    /// Fetches machines with labels that services lack, beside those on their way there.
    fn fetch_labels(
        &mut self,
        cell: &mut Cell,
        listed: &Listed<'_>,
        sources: &mut Sources<'_>,
        loads: &mut BTreeMap<String, Load>,
    ) {
        let lacks = loads.iter().flat_map(|(service, load)| {
            load.lacks.iter().map(|(label, missing)| (service.clone(), label.clone(), *missing))
        });
        let lacks: Vec<(String, String, u64)> = lacks.collect();
        for (service, label, missing) in lacks {
            let has_label = |machine: &Machine| machine.labels.contains(&label);
            let mut missing = missing.saturating_sub(self.coming(&service, listed, has_label));
            while missing > 0 {
                let to = self.with_coming(loads, &service);
                let Some(machine) = sources.take(loads, &to, has_label) else { break };
                self.fetch(cell, loads, machine, &service, missing);
                missing = missing.saturating_sub(u64::from(machine.room.cpu).max(1));
            }
        }
    }

    /// Begins to fetch a machine for a service that misses so many thousandths of a core.
    fn fetch(
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
            "moves to another pool"
        );
        if let Some(load) = loads.get_mut(&machine.pool) {
            load.give(u64::from(machine.room.cpu));
        }
        self.begin(cell, machine, to, false);
    }

    /// Services that want more than they have and than is coming, and how much more, in thousandths
    /// of a core; the one that misses most comes last.
    fn short(
        &self,
        config: &Config,
        listed: &Listed<'_>,
        loads: &BTreeMap<String, Load>,
    ) -> Vec<(u64, String)> {
        let mut short = Vec::new();
        for service in config.services.iter().filter(|service| !service.is_reserve) {
            let load = loads.get(&service.name).cloned().unwrap_or_default();
            let coming = self.coming(&service.name, listed, |_| true);
            let unspread = load.least.saturating_sub(load.workers) * load.size();
            let needed = load.wanted().max(load.has + unspread).max(load.has + load.unhoused);
            let missing = needed.saturating_sub(load.has + coming);
            if missing > 0 {
                short.push((missing, service.name.clone()));
            }
        }
        short.sort();
        short
    }

    /// Begins the move of a machine; its worker gets no more work.
    fn begin(&mut self, cell: &mut Cell, machine: &Machine, to: &str, is_off: bool) {
        cell.cordon_on(machine);
        let since = clock::now();
        let under_way = Move { to: to.to_owned(), is_off, since, ordered: false };
        self.moves.insert(machine.id.clone(), under_way);
    }

    /// Notes which machines run nothing.
    fn note_idle(&mut self, cell: &Cell, list: &[Machine]) {
        let now = clock::now();
        for machine in list {
            let is_idle = |worker: &Worker| worker.fenced && worker.slots.is_empty();
            if cell.worker_on(machine).is_some_and(is_idle) {
                if !self.idle.contains_key(&machine.id) {
                    self.idle.insert(machine.id.clone(), now);
                }
            } else {
                self.idle.remove(&machine.id);
            }
        }
    }

    /// Switches machines off that their services do not need: they cost nothing in the reserve,
    /// and are back from there as soon as from another service.
    fn release(
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
        let spare = spare(list.len() as u64);
        for machine in list {
            let is_empty = cell.worker_on(machine).is_some_and(|worker| worker.slots.is_empty());
            if !is_empty || !self.is_rested(machine) || !self.is_free(machine, taken) {
                continue;
            }
            let size = u64::from(machine.room.cpu);
            let load = loads.get_mut(&machine.pool);
            let Some(load) = load.filter(|load| load.has_excess(size, spare)) else { continue };
            load.give(size);
            log::info!(machine = machine.id.as_str(), from = machine.pool.as_str(); "switched off");
            self.begin(cell, machine, &reserve.name, true);
        }
    }

    /// Whether a machine has been idle long enough to be switched off.
    fn is_rested(&self, machine: &Machine) -> bool {
        self.idle.get(&machine.id).is_some_and(|since| clock::since(*since) >= IDLE_TIME)
    }

    /// Whether a machine is up and neither moved nor needed otherwise. `taken` are those in waves.
    fn is_free(&self, machine: &Machine, taken: &HashSet<MachineId>) -> bool {
        machine.status == Status::Up
            && !taken.contains(&machine.id)
            && !self.put_off.contains(&machine.id, clock::now())
            && !self.moves.contains_key(&machine.id)
    }

    /// Processor of the machines that fit and are on their way to a service.
    fn coming(&self, service: &str, listed: &Listed<'_>, fits: impl Fn(&Machine) -> bool) -> u64 {
        let coming = self.moves.iter().filter(|(_, under_way)| under_way.to == service);
        let machines = coming.filter_map(|(id, _)| listed.get(id.as_str()));
        let machines = machines.filter(|machine| fits(machine));
        machines.map(|machine| u64::from(machine.room.cpu)).sum()
    }

    /// A service that may be given boxes, and how many are on their way to it.
    fn with_coming<'a>(&self, loads: &BTreeMap<String, Load>, service: &'a str) -> Taker<'a> {
        let load = loads.get(service).cloned().unwrap_or_default();
        let coming = self.moves.values().filter(|under_way| under_way.to == service).count();
        Taker { service, load, coming: coming as u64 }
    }

    /// Machines under way that are empty and have not been ordered to move.
    fn emptied(&self, cell: &mut Cell, listed: &Listed<'_>) -> Vec<MachineId> {
        let mut ready: Vec<(bool, MachineId)> = Vec::new();
        for (id, under_way) in self.moves.iter().filter(|(_, under_way)| !under_way.ordered) {
            let worker = worker_of(cell, listed, id);
            let hurry = clock::since(under_way.since) > EMPTY_TIME;
            if worker.is_none_or(|worker| empty(cell, &worker, hurry)) {
                ready.push((under_way.is_off, id.clone()));
            }
        }
        // A service in a rise waits for its boxes; one that is switched off waits for nothing. As a
        // rise ends hundreds are, and the platform takes only so many orders a second.
        ready.sort();
        ready.into_iter().map(|(_, id)| id).collect()
    }
}
