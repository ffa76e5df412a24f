//! Selection of boxes to move to a service that is short.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Config;
use spokelift_platform::machine::Machine;

use crate::batch::cell::Cell;
use crate::batch::pool::load::Load;
use crate::batch::worker::Worker;

/// With what certainty a box is empty at the time that it is chosen by, a fraction of 1.
const EMPTY_CERTAINTY: f64 = 0.8;
/// Times until boxes are empty that differ by less count as equal: orders are given once a round.
const EMPTY_GRANULARITY: Duration = Duration::from_millis(150);
/// Maximum number of boxes in a round for which the time until they are empty is estimated; all
/// others are chosen last.
const MAX_ESTIMATES: usize = 500;

/// How soon a box can be given: rounds until it is empty, then its used CPU in thousandths of a
/// core.
type Readiness = (u32, u32);

/// A service that receives a box.
pub(super) struct Recipient<'a> {
    /// Its name.
    pub service: &'a str,
    /// Its current load.
    pub load: Load,
    /// Number of boxes on their way to it.
    pub incoming: u64,
    /// Whether jobs within the rates of their accounts ask for the box. Otherwise no service gives
    /// one that it wants itself.
    pub is_within_rates: bool,
}

/// Boxes that may be moved, each pool's in the order in which it gives them. They are sorted once
/// per round: on a large site a rising load takes a hundred boxes in one round.
pub(super) struct Sources<'a> {
    /// Boxes that are about to be switched off.
    leaving: Vec<&'a Machine>,
    /// Boxes that are switched off.
    switched_off: Vec<&'a Machine>,
    /// By pool, boxes whose workers have answered and run no long-running tasks; those that are
    /// empty last come first.
    pools: BTreeMap<&'a str, Vec<(Readiness, &'a Machine)>>,
}

impl<'a> Sources<'a> {
    /// Sorts free boxes: those that are up and used for nothing else. `is_leaving` says whether a
    /// box is about to be switched off.
    pub(super) fn new(
        cell: &Cell,
        config: &Config,
        free: impl Iterator<Item = &'a Machine>,
        is_leaving: impl Fn(&Machine) -> bool,
        now: Instant,
    ) -> Sources<'a> {
        let mut estimates = 0;
        let (mut leaving, mut switched_off) = (Vec::new(), Vec::new());
        let mut pools = BTreeMap::<&str, Vec<_>>::new();
        let is_reserve = |pool: &str| config.service(pool).is_some_and(|pool| pool.is_reserve);
        let mut reserves = BTreeMap::<&str, bool>::new();
        for machine in free {
            let pool = machine.pool.as_str();
            if is_leaving(machine) {
                leaving.push(machine);
            } else if *reserves.entry(pool).or_insert_with(|| is_reserve(pool)) {
                switched_off.push(machine);
            } else if let Some(worker) = cell.worker_on(machine)
                && worker.has_token
                && worker.long_running.tasks == 0
            {
                estimates += usize::from(!worker.allocations.is_empty());
                let readiness = readiness(cell, worker, estimates <= MAX_ESTIMATES, now);
                pools.entry(pool).or_default().push((readiness, machine));
            }
        }
        switched_off.reverse();
        for machines in pools.values_mut() {
            machines.reverse();
            machines.sort_by_key(|(readiness, _)| std::cmp::Reverse(*readiness));
        }
        Sources { leaving, switched_off, pools }
    }

    /// Takes a box for which `fits` holds: one that is about to be switched off, since it is empty
    /// and would not be available during its move; else a switched-off one, else the one that is
    /// empty first of a service that can give it.
    pub(super) fn take_machine(
        &mut self,
        loads: &BTreeMap<String, Load>,
        to: &Recipient<'_>,
        fits: impl Fn(&Machine) -> bool,
    ) -> Option<&'a Machine> {
        let to_other = |machine: &Machine| machine.pool != to.service && fits(machine);
        if let Some(index) = self.leaving.iter().rposition(|machine| to_other(machine)) {
            return Some(self.leaving.remove(index));
        }
        if let Some(index) = self.switched_off.iter().rposition(|machine| fits(machine)) {
            return Some(self.switched_off.remove(index));
        }
        let others = self.pools.iter().filter(|(pool, _)| **pool != to.service);
        let offers = others.filter_map(|(pool, machines)| {
            let gives = |machine: &Machine| fits(machine) && can_give(machine, loads, to);
            let index = machines.iter().rposition(|(_, machine)| gives(machine))?;
            Some((machines[index].0, *pool, index))
        });
        let (_, pool, index) = offers.min_by_key(|(readiness, _, _)| *readiness)?;
        let (_, machine) = self.pools.get_mut(pool)?.remove(index);
        Some(machine)
    }
}

/// How soon the box of a worker can be given. The time until it is empty is only estimated if asked
/// for.
fn readiness(cell: &Cell, worker: &Worker, is_estimated: bool, now: Instant) -> Readiness {
    let used = worker.entry.capacity.cpu.saturating_sub(worker.free.cpu);
    if worker.allocations.is_empty() {
        return (0, used);
    }
    let empty_at = match is_estimated {
        true => cell.expected_empty_at(worker, EMPTY_CERTAINTY, now),
        false => None,
    };
    let rounds = empty_at.map(|at| {
        let left = at.saturating_duration_since(now);
        (left.as_millis() / EMPTY_GRANULARITY.as_millis()) as u32
    });
    (rounds.unwrap_or(u32::MAX), used)
}

/// Whether the pool of a box can give it, after those already taken.
fn can_give(machine: &Machine, loads: &BTreeMap<String, Load>, to: &Recipient<'_>) -> bool {
    let size = u64::from(machine.capacity.cpu);
    let Some(load) = loads.get(&machine.pool) else { return false };
    if load.can_spare(size) || !to.is_within_rates {
        return load.can_spare(size);
    }
    let mut other = to.load.clone();
    other.capacity += to.incoming * size;
    load.can_give_to(size, &other)
}
