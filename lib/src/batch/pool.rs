//! Moves machines between pools as the load turns from service to service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::config::Config;
use spokelift_platform::machine;
use spokelift_platform::machine::Holder;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::WorkerId;

use crate::batch::cell::Cell;
use crate::batch::scheduler::Scheduler;
use crate::batch::upkeep::CALL;
use crate::batch::upkeep::empty;
use crate::batch::worker::Kind;
use crate::batch::worker::Worker;

/// Time in which work that waits should be done by the machines asked for: about as long as a
/// machine takes to be moved, in milliseconds.
const CLEAR_MS: u64 = 1_500;
/// Share of a pool's processors that is planned to be used, in hundredths; the rest is lost to
/// sizes that do not fit.
const FILL_PERCENT: u64 = 85;
/// Share of what runs now that will be followed by as much, in hundredths: jobs have 1.6 to 2 steps
/// on average, so about half of what runs is followed by another step.
const RUNNING_PERCENT: u64 = 50;
/// How many times better off a service that is short itself must be to give a machine to another:
/// a move idles a machine for about 3 s, which must be worth it.
const SHARE_RATIO: f64 = 1.5;
/// Least number of machines that a service keeps beyond what it wants, since jobs arrive in lumps:
/// a wide job asks for about a hundred cores at once, and a machine that was switched off is back
/// after 2 s.
const SPARE_MACHINES: u64 = 3;
/// The same as a share of all machines of the site, in hundredths. On a large site loads rise by
/// more machines within those 2 s.
const SPARE_PERCENT: u64 = 5;
/// How long a machine must have been idle before it is switched off. A move to the reserve and one
/// back cost as much as about two seconds of a machine.
const IDLE_TIME: Duration = Duration::from_millis(1_000);
/// How long a machine may take to become empty before what runs on it is stopped.
const EMPTY_TIME: Duration = Duration::from_millis(2_500);
/// How long a move may take until it is taken to have failed: several times the usual 2 s.
const MOVE_TIME: Duration = Duration::from_millis(8_000);
/// Most machines under way at once, as a share of all, in hundredths.
const AT_ONCE_PERCENT: usize = 60;

/// What a service has and wants, in thousandths of a core.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// What its usable workers have.
    pub has: u64,
    /// What runs on them.
    pub used: u64,
    /// Part of that by tasks that do not end by themselves.
    pub lasting: u64,
    /// What its waiting tasks ask for.
    pub waiting: u64,
    /// Work of the waiting tasks, in thousandths of a core times milliseconds.
    pub work: u64,
    /// What the work that arrives keeps busy.
    pub rate: u64,
    /// Usable workers.
    pub workers: u64,
    /// Labels that waiting tasks require, and by how much what they ask for is over what is free on
    /// workers that have them.
    pub lacks: BTreeMap<String, u64>,
    /// Workers it needs at the least, since tasks that last must be spread over so many.
    pub least: u64,
}

impl Load {
    /// What it should have: enough for what arrives, and to clear what waits. Of what runs now only
    /// a part counts, since it is over by the time a machine has left.
    pub fn wanted(&self) -> u64 {
        let running = self.used.saturating_sub(self.lasting) * RUNNING_PERCENT / 100;
        let steady = self.lasting + self.rate.max(running);
        (steady + self.work / CLEAR_MS) * 100 / FILL_PERCENT
    }

    /// What it has of what it should have.
    fn share(&self, has: u64) -> f64 {
        has as f64 / self.wanted().max(1) as f64
    }

    /// Whether it would still be far better off than another without a machine of this size.
    pub fn can_share(&self, size: u64, other: &Load) -> bool {
        self.has_more_than_least()
            && self.has > size
            && self.share(self.has - size) >= SHARE_RATIO * other.share(other.has)
    }

    /// Whether it could do without a machine of this size.
    pub fn can_spare(&self, size: u64) -> bool {
        self.has_more_than_least() && self.has >= self.wanted() + size
    }

    /// Whether it holds more machines of this size than it should keep.
    fn has_excess(&self, size: u64, spare: u64) -> bool {
        self.has_more_than_least() && self.has >= self.wanted() + (spare + 1) * size
    }

    /// Processor of one of its workers, on average.
    fn size(&self) -> u64 {
        self.has.checked_div(self.workers).unwrap_or(0)
    }

    /// Whether its lasting tasks can be spread with one worker less.
    fn has_more_than_least(&self) -> bool {
        self.workers > self.least.max(1)
    }
}

/// How many machines a service keeps beyond what it wants, on a site of so many.
fn spare(machines: u64) -> u64 {
    (machines * SPARE_PERCENT / 100).max(SPARE_MACHINES)
}

/// A machine on its way to another pool.
struct Move {
    to: String,
    /// It is switched off: `to` is the reserve.
    is_off: bool,
    since: Instant,
    ordered: bool,
}

/// Moves under way.
#[derive(Default)]
pub struct Pools {
    moves: HashMap<MachineId, Move>,
    /// Machines on which nothing runs, and since when that is known.
    idle: HashMap<MachineId, Instant>,
}

/// What is free on the usable workers of a service that have a label.
fn free_with_label(cell: &Cell, service: &str, label: &str, now: Instant) -> u64 {
    let usable = |worker: &&Worker| worker.entry.service == service && worker.takes_work(now);
    let has = |worker: &&Worker| worker.entry.labels.iter().any(|known| known == label);
    let workers = cell.workers.values().filter(usable).filter(has);
    workers.map(|worker| u64::from(worker.free.cpu)).sum()
}

/// What each service has and wants.
pub fn loads(cell: &Cell, now: Instant) -> BTreeMap<String, Load> {
    let mut loads: BTreeMap<String, Load> = BTreeMap::new();
    for worker in cell.workers.values().filter(|worker| worker.takes_work(now)) {
        let load = loads.entry(worker.entry.service.clone()).or_default();
        load.has += u64::from(worker.entry.room.cpu);
        load.used += u64::from(worker.entry.room.cpu - worker.free.cpu.min(worker.entry.room.cpu));
        load.workers += 1;
        let lasting = worker.slots.values().filter(|slot| slot.kind != Kind::Works);
        load.lasting += lasting.map(|slot| u64::from(slot.room.cpu)).sum::<u64>();
    }
    for rank in &cell.ready {
        let Some(entry) = cell.jobs.get(&rank.job) else { continue };
        let Some(step) = entry.step(rank.step).filter(|step| !step.fills) else { continue };
        let repetition = entry.times.get(rank.time as usize);
        let run = repetition.and_then(|time| time.steps.get(usize::from(rank.step)));
        let waiting = run.map_or(0, |run| run.waiting.len() as u64) * u64::from(step.cpu);
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        if let Some(label) = &step.requires {
            *load.lacks.entry(label.clone()).or_default() += waiting;
        }
        load.waiting += waiting;
        let guess = step.estimate_ms as f64 * cell.demand.ratio(&entry.accepted.queue);
        load.work += waiting * if step.long_running { CLEAR_MS } else { guess as u64 };
    }
    for entry in cell.jobs.values().filter(|entry| entry.is_active() && entry.lasts()) {
        let load = loads.entry(entry.accepted.service.clone()).or_default();
        let spread = entry.accepted.job.steps.iter().filter(|step| step.max_per_worker > 0);
        let most = spread.map(|step| step.count.div_ceil(step.max_per_worker)).max().unwrap_or(0);
        load.least = load.least.max(u64::from(most));
    }
    for (service, load) in &mut loads {
        for (label, asked) in &mut load.lacks {
            *asked = asked.saturating_sub(free_with_label(cell, service, label, now));
        }
        load.lacks.retain(|_, missing| *missing > 0);
        load.rate = cell.demand.rate(service, now);
    }
    loads
}

impl Pools {
    /// Whether moves are under way or wanted.
    pub fn wants_list(&self, scheduler: &Scheduler) -> bool {
        let loads = loads(&scheduler.cell(), Instant::now());
        let spare = spare(loads.values().map(|load| load.workers).sum());
        let unfit = |load: &Load| {
            let short = load.wanted() > load.has || load.least > load.workers;
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
        self.settle(scheduler, list);
        self.note_idle(&scheduler.cell(), list);
        if !scheduler.may_order_machines() {
            return;
        }
        if let Some(config) = scheduler.node.config() {
            self.choose(&mut scheduler.cell(), &config, list, taken);
            self.release(&mut scheduler.cell(), &config, list, taken);
        }
        let mut emptied = self.emptied(scheduler, list);
        emptied.truncate(orders);
        self.order(scheduler, machines, emptied).await;
    }

    /// Lets go of moves that are done or have failed.
    fn settle(&mut self, scheduler: &Scheduler, list: &[Machine]) {
        let workers: HashSet<WorkerId> = scheduler.cell().workers.keys().cloned().collect();
        self.moves.retain(|id, under_way| {
            let machine = list.iter().find(|machine| machine.id == *id);
            let arrived = machine.is_some_and(|machine| {
                let joined = machine.worker.as_ref().is_some_and(|worker| workers.contains(worker));
                // A machine that is switched off has no worker that would join.
                let joined = joined || under_way.is_off;
                machine.pool == under_way.to && machine.status == Status::Up && joined
            });
            machine.is_some() && !arrived && under_way.since.elapsed() < MOVE_TIME
        });
    }

    /// Picks machines for services that want more than they have: those that are switched off
    /// first, then idle ones of services that have more than they want.
    fn choose(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        taken: &HashSet<MachineId>,
    ) {
        let now = Instant::now();
        let mut loads = loads(cell, now);
        let mut left = (list.len() * AT_ONCE_PERCENT / 100).saturating_sub(self.moves.len());
        let mut short: Vec<(u64, String)> = Vec::new();
        for service in config.services.iter().filter(|service| !service.is_reserve) {
            let load = loads.get(&service.name).cloned().unwrap_or_default();
            self.fetch_labels(cell, config, list, taken, &mut loads, (&service.name, &load));
            let coming: u64 = self.coming(&service.name, list);
            let unspread = load.least.saturating_sub(load.workers) * load.size();
            let missing = load.wanted().max(load.has + unspread).saturating_sub(load.has + coming);
            if missing > 0 {
                short.push((missing, service.name.clone()));
            }
        }
        short.sort();
        while left > 0
            && let Some((missing, service)) = short.pop()
        {
            let any = |_: &Machine| true;
            let Some(machine) = self.source(cell, config, list, taken, &loads, (&service, &any))
            else {
                return;
            };
            let missing_cores = missing / 1_000;
            self.begin_move(cell, &mut loads, machine, &service, missing_cores);
            left -= 1;
            let rest = missing.saturating_sub(u64::from(machine.room.cpu));
            if rest > u64::from(machine.room.cpu) / 2 {
                short.push((rest, service));
                short.sort();
            }
        }
    }

    /// Fetches machines with labels that a service lacks, beside those on their way there.
    fn fetch_labels(
        &mut self,
        cell: &mut Cell,
        config: &Config,
        list: &[Machine],
        taken: &HashSet<MachineId>,
        loads: &mut BTreeMap<String, Load>,
        (service, load): (&str, &Load),
    ) {
        for (label, missing) in &load.lacks {
            let has_label = |machine: &Machine| machine.labels.contains(label);
            let comes = |machine: &&Machine| {
                let under_way = self.moves.get(&machine.id);
                under_way.is_some_and(|under_way| under_way.to == service) && has_label(machine)
            };
            let coming: u64 =
                list.iter().filter(comes).map(|machine| u64::from(machine.room.cpu)).sum();
            let mut missing = missing.saturating_sub(coming);
            while missing > 0
                && let Some(machine) =
                    self.source(cell, config, list, taken, loads, (service, &has_label))
            {
                self.begin_move(cell, loads, machine, service, missing / 1_000);
                missing = missing.saturating_sub(u64::from(machine.room.cpu).max(1));
            }
        }
    }

    /// Takes a machine out of service so that it can move.
    fn begin_move(
        &mut self,
        cell: &mut Cell,
        loads: &mut BTreeMap<String, Load>,
        machine: &Machine,
        to: &str,
        missing_cores: u64,
    ) {
        log::info!(
            machine = machine.id.as_str(),
            from = machine.pool.as_str(),
            to,
            missing_cores;
            "moves to another pool"
        );
        if let Some(worker) =
            machine.worker.as_ref().and_then(|worker| cell.workers.get_mut(worker))
        {
            worker.cordoned = true;
        }
        if let Some(load) = loads.get_mut(&machine.pool) {
            load.has = load.has.saturating_sub(u64::from(machine.room.cpu));
            load.workers = load.workers.saturating_sub(1);
        }
        let under_way =
            Move { to: to.to_owned(), is_off: false, since: Instant::now(), ordered: false };
        self.moves.insert(machine.id.clone(), under_way);
    }

    /// Notes which machines run nothing.
    fn note_idle(&mut self, cell: &Cell, list: &[Machine]) {
        let now = Instant::now();
        for machine in list {
            let worker = machine.worker.as_ref().and_then(|worker| cell.workers.get(worker));
            if worker.is_some_and(|worker| worker.slots.is_empty()) {
                self.idle.entry(machine.id.clone()).or_insert(now);
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
        let now = Instant::now();
        let mut loads = loads(cell, now);
        let spare = spare(list.len() as u64);
        for machine in list {
            let rested = self.idle.get(&machine.id);
            let rested = rested.is_some_and(|since| now.duration_since(*since) >= IDLE_TIME);
            let free = machine.status == Status::Up
                && !taken.contains(&machine.id)
                && !self.moves.contains_key(&machine.id);
            let worker = machine.worker.as_ref().and_then(|worker| cell.workers.get_mut(worker));
            let Some(worker) = worker.filter(|worker| rested && free && worker.slots.is_empty())
            else {
                continue;
            };
            let size = u64::from(machine.room.cpu);
            let Some(load) =
                loads.get_mut(&machine.pool).filter(|load| load.has_excess(size, spare))
            else {
                continue;
            };
            load.has -= size;
            load.workers -= 1;
            worker.cordoned = true;
            log::info!(machine = machine.id.as_str(), from = machine.pool.as_str(); "switched off");
            let to = reserve.name.clone();
            let under_way = Move { to, is_off: true, since: now, ordered: false };
            self.moves.insert(machine.id.clone(), under_way);
        }
    }

    fn coming(&self, service: &str, list: &[Machine]) -> u64 {
        let coming = self.moves.iter().filter(|(_, under_way)| under_way.to == service);
        let machines = coming.filter_map(|(id, _)| list.iter().find(|machine| machine.id == *id));
        machines.map(|machine| u64::from(machine.room.cpu)).sum()
    }

    fn source<'a>(
        &self,
        cell: &Cell,
        config: &Config,
        list: &'a [Machine],
        taken: &HashSet<MachineId>,
        loads: &BTreeMap<String, Load>,
        (to, fits): (&str, &dyn Fn(&Machine) -> bool),
    ) -> Option<&'a Machine> {
        let free = |machine: &&Machine| {
            fits(machine)
                && machine.status == Status::Up
                && machine.pool != to
                && !taken.contains(&machine.id)
                && !self.moves.contains_key(&machine.id)
        };
        let is_reserve = |machine: &&Machine| {
            config.service(&machine.pool).is_some_and(|service| service.is_reserve)
        };
        if let Some(machine) = list.iter().filter(free).find(is_reserve) {
            return Some(machine);
        }
        let candidates =
            list.iter().filter(free).filter(|machine| self.can_give(machine, loads, to));
        let loaded = candidates.filter_map(|machine| {
            let worker = cell.workers.get(machine.worker.as_ref()?)?;
            let lasting = worker.slots.values().filter(|slot| slot.kind != Kind::Works).count();
            Some((lasting, worker.entry.room.cpu - worker.free.cpu, machine))
        });
        let best = loaded.min_by_key(|(lasting, used, _)| (*lasting, *used));
        best.filter(|(lasting, _, _)| *lasting == 0).map(|(_, _, machine)| machine)
    }

    /// Whether the pool of a machine can do without it, beside those already chosen.
    fn can_give(&self, machine: &Machine, loads: &BTreeMap<String, Load>, to: &str) -> bool {
        let size = u64::from(machine.room.cpu);
        let mut other = loads.get(to).cloned().unwrap_or_default();
        other.has +=
            self.moves.values().filter(|under_way| under_way.to == to).count() as u64 * size;
        loads
            .get(&machine.pool)
            .is_some_and(|load| load.can_spare(size) || load.can_share(size, &other))
    }

    /// Machines under way that are empty and have not been ordered to move.
    fn emptied(&self, scheduler: &Scheduler, list: &[Machine]) -> Vec<MachineId> {
        let mut cell = scheduler.cell();
        let mut ready = Vec::new();
        for (id, under_way) in self.moves.iter().filter(|(_, under_way)| !under_way.ordered) {
            let machine = list.iter().find(|machine| machine.id == *id);
            let worker = machine.and_then(|machine| machine.worker.as_ref());
            let hurry = under_way.since.elapsed() > EMPTY_TIME;
            if worker.is_none_or(|worker| empty(&mut cell, worker, hurry)) {
                ready.push(id.clone());
            }
        }
        ready
    }

    /// Orders moves, all at once: one after another, they would take a second and more on a large
    /// site.
    async fn order(&mut self, scheduler: &Scheduler, machines: &Machines, ids: Vec<MachineId>) {
        if !scheduler.may_order_machines() {
            return;
        }
        let holder = Holder { node: &scheduler.node.settings.node, token: scheduler.token };
        let moves = &self.moves;
        let calls = ids.iter().filter_map(|id| {
            let to = &moves.get(id)?.to;
            Some(async move { (id, machines.shift(holder, id, to, CALL).await) })
        });
        let answers = join_all(calls).await;
        for (id, answer) in answers {
            self.on_answer(scheduler, id, answer);
        }
    }

    fn on_answer(&mut self, scheduler: &Scheduler, id: &str, answer: Result<(), CallError>) {
        let Some(under_way) = self.moves.get_mut(id) else { return };
        let ok = answer.is_ok();
        log::info!(machine = id, to = under_way.to.as_str(), ok; "move ordered");
        match answer {
            Ok(()) => {
                under_way.ordered = true;
                scheduler.cell().end_other_lives(id, "");
            }
            Err(error) if machine::is_fenced(&error) => scheduler.cell().fenced = true,
            Err(error) if error.is_certain() => {
                log::info!(machine = id; "move refused: {error}");
                self.moves.remove(id);
            }
            // It may have been done; asking again does no harm.
            Err(error) => log::info!(machine = id; "move without an answer: {error}"),
        }
    }
}
