//! Moves boxes to services that are short.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Instant;

use spokelift_platform::config::Config;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;

use crate::batch::cell::Cell;
use crate::batch::pool::MachinesById;
use crate::batch::pool::Pools;
use crate::batch::pool::by_id;
use crate::batch::pool::load::Load;
use crate::batch::pool::load::loads;
use crate::batch::pool::shortage::Shortage;
use crate::batch::pool::source::Recipient;
use crate::batch::pool::source::Sources;

/// Maximum number of boxes that move to services at once, as a percentage of all boxes.
const MAX_MOVING_PERCENT: usize = 60;

/// Whether a service is short of CPU, or of boxes with a label.
fn is_any_short(short: &[Shortage], loads: &BTreeMap<String, Load>) -> bool {
    !short.is_empty() || loads.values().any(|load| !load.label_shortages.is_empty())
}

impl Pools {
    /// Starts moves of boxes to services with less than they want: switched-off boxes first, then
    /// lightly used boxes of services that can give them.
    pub(super) fn fetch_for_shortages(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        now: Instant,
    ) {
        let listed = &by_id(list);
        let mut loads = loads(cell, now);
        let moving = self.moves.values().filter(|under_way| !under_way.is_switch_off).count();
        let mut left = (list.len() * MAX_MOVING_PERCENT / 100).saturating_sub(moving);
        if !is_any_short(&self.cpu_shortages(config, listed, &loads), &loads) {
            return;
        }
        let free = list.iter().filter(|machine| self.is_free(machine, taken, now));
        let is_leaving = |machine: &Machine| self.is_redirectable(machine);
        let mut sources = Sources::new(cell, config, free, is_leaving, now);
        self.fetch_labelled(cell, listed, &mut sources, &mut loads, now);
        let mut short = self.cpu_shortages(config, listed, &loads);
        while left > 0
            && let Some(Shortage { is_within_rates, missing, service }) = short.pop()
        {
            let to = Recipient { is_within_rates, ..self.recipient(&loads, &service) };
            let Some(machine) = sources.take_machine(&loads, &to, |_| true) else { return };
            let size = u64::from(machine.capacity.cpu);
            self.fetch_machine(cell, &mut loads, machine, &service, missing, now);
            left -= 1;
            let remainder = missing.saturating_sub(size);
            if remainder > size / 2 {
                short.push(Shortage { is_within_rates, missing: remainder, service });
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
        now: Instant,
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
                self.fetch_machine(cell, loads, machine, &service, missing, now);
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
        now: Instant,
    ) {
        log::info!(
            machine = machine.id.as_str(),
            from = machine.pool.as_str(),
            to,
            missing_cores = missing / 1_000;
            "moving box to another pool"
        );
        // A box that was about to be switched off is cordoned, so it is not in the load.
        if let Some(load) = loads.get_mut(&machine.pool)
            && !self.is_redirectable(machine)
        {
            load.remove_machine(u64::from(machine.capacity.cpu));
        }
        self.start_move(cell, machine, to, false, now);
    }

    /// Services that want more than they have and will soon receive. The largest shortage comes
    /// last, and those that only jobs above their accounts' rates make come before all others.
    pub(super) fn cpu_shortages(
        &self,
        config: &Config,
        listed: &MachinesById<'_>,
        loads: &BTreeMap<String, Load>,
    ) -> Vec<Shortage> {
        let mut short = Vec::new();
        for service in config.services.iter().filter(|service| !service.is_reserve) {
            let load = loads.get(&service.name).cloned().unwrap_or_default();
            let incoming = self.incoming_cpu(&service.name, listed, |_| true);
            short.extend(Shortage::of(&service.name, &load, incoming));
        }
        short.sort();
        short
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
        Recipient { service, load, incoming: incoming as u64, is_within_rates: true }
    }
}
