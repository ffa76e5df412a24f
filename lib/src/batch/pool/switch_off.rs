//! Switches off idle boxes that their services do not need.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Config;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;

use crate::batch::cell::Cell;
use crate::batch::pool::MachinesById;
use crate::batch::pool::Pools;
use crate::batch::pool::load::loads;
use crate::batch::worker::Worker;

/// How long a box must have been idle before it is switched off. A move to the reserve and one back
/// cost about two seconds of a box.
const IDLE_BEFORE_OFF: Duration = Duration::from_millis(1_000);

/// Returns the worker on a box to service.
fn uncordon_on(cell: &mut Cell, machine: &Machine) {
    let worker = cell.worker_on(machine).map(|worker| worker.peer.incarnation.clone());
    if let Some(mut worker) = worker.and_then(|worker| cell.workers.get_mut(&worker)) {
        worker.cordoned = false;
    }
}

impl Pools {
    /// Updates which boxes run nothing.
    pub(super) fn update_idle(&mut self, cell: &Cell, list: &[Machine], now: Instant) {
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
    pub(super) fn switch_off_excess(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        now: Instant,
    ) {
        let Some(reserve) = config.services.iter().find(|service| service.is_reserve) else {
            return;
        };
        let mut loads = loads(cell, now);
        for machine in list {
            let is_empty =
                cell.worker_on(machine).is_some_and(|worker| worker.allocations.is_empty());
            let may_leave =
                self.is_free(machine, taken, now) && !self.moves.contains_key(&machine.id);
            if !is_empty || !self.is_idle_long_enough(machine, now) || !may_leave {
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
            self.start_move(cell, machine, &reserve.name, true, now);
        }
    }

    /// Whether a box has been idle long enough to be switched off.
    fn is_idle_long_enough(&self, machine: &Machine, now: Instant) -> bool {
        self.idle_since
            .get(&machine.id)
            .is_some_and(|since| now.saturating_duration_since(*since) >= IDLE_BEFORE_OFF)
    }

    /// Whether a box is to be switched off and no order was given. Another service may have it
    /// directly.
    pub(super) fn is_redirectable(&self, machine: &Machine) -> bool {
        let under_way = self.moves.get(&machine.id);
        under_way.is_some_and(|under_way| under_way.is_switch_off && under_way.is_pending())
    }

    /// Cancels switch-offs of boxes whose own service is short again.
    pub(super) fn keep_needed(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        listed: &MachinesById<'_>,
        now: Instant,
    ) {
        let redirectable = self.moves.keys().filter_map(|id| listed.get(id.as_str()).copied());
        let redirectable: Vec<&Machine> =
            redirectable.filter(|machine| self.is_redirectable(machine)).collect();
        if redirectable.is_empty() {
            return;
        }
        for shortage in self.cpu_shortages(config, listed, &loads(cell, now)) {
            let mut missing = shortage.missing;
            let own = redirectable.iter().filter(|machine| machine.pool == shortage.service);
            for machine in own {
                if missing > 0 && self.moves.remove(&machine.id).is_some() {
                    missing = missing.saturating_sub(u64::from(machine.capacity.cpu));
                    uncordon_on(cell, machine);
                }
            }
        }
    }
}
