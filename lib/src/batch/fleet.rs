//! The scheduler's control loop for boxes: maintenance waves and moves between pools.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Incarnation;
use tokio::time::sleep;

use crate::batch::box_list::BoxList;
use crate::batch::box_state::Facts;
use crate::batch::box_state::Purpose;
use crate::batch::box_state::State;
use crate::batch::box_state::Status;
use crate::batch::cell::Cell;
use crate::batch::costs;
use crate::batch::costs::Cost;
use crate::batch::maintenance::CALL_TIMEOUT;
use crate::batch::maintenance::Waves;
use crate::batch::maintenance::reservations::Reservations;
use crate::batch::pool::Pools;
use crate::batch::pool::load::Load;
use crate::batch::pool::load::loads;
use crate::batch::scheduler::Scheduler;
use crate::batch::stuck::Reporter;
use crate::batch::stuck::stuck_tasks;
use crate::transport::clock;

/// Pause between two rounds. Each round costs a call to list the machines while something is under
/// way.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);

/// Fraction of the platform's order rate that is used; the rest is for what an earlier leader may
/// have ordered in the same second.
const ORDER_RATE_FRACTION: f64 = 0.9;
/// Longest time since the last round for which a round gets orders. Rounds take longer than the
/// pause on large sites (0.3 s with 1,100 boxes), so that counting the pause alone gives 260 orders
/// per second where the platform takes 590, and leaves 500 boxes waiting after a power loss.
const MAX_CATCH_UP: Duration = Duration::from_millis(500);
/// How old the list of boxes may be by which a round decides while the next one does not come.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_000);
/// Number of lists in a row without an answer after which boxes that wait for their orders return to
/// service: a single answer may be lost.
const RELEASE_AFTER: u32 = 2;
/// Interval of the log lines about each service's load.
const LOAD_LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Carries out waves and moves until the scheduler ends.
pub async fn run(scheduler: Arc<Scheduler>) {
    let Some(machines) = scheduler.node.machines.clone() else { return };
    let mut waves = Waves::restore(&scheduler).await;
    let mut pools = Pools::default();
    let mut logged_at = clock::now();
    let mut reporter = Reporter::default();
    let rate = scheduler.node.settings.machine_orders_per_s;
    let mut last_round = clock::now();
    let mut newest = BoxList::default();
    let mut unanswered = 0;
    let max_list_age = MAX_LIST_AGE.min(scheduler.node.settings.maintenance_time / 2);
    loop {
        sleep(ROUND_INTERVAL).await;
        let elapsed = clock::since(last_round);
        let mut orders = order_budget(elapsed, rate);
        last_round = clock::now();
        count_box_time(&scheduler, elapsed);
        let has_waves = waves.add_new(&scheduler);
        {
            let (mut cell, now) = (scheduler.cell(), clock::now());
            cell.unplaced_cpu = Reservations::new(&cell, now).unplaced_cpu(&cell, now);
        }
        let loads = loads(&scheduler.cell(), clock::now());
        pools.record_need(&loads);
        if clock::since(logged_at) >= LOAD_LOG_INTERVAL {
            logged_at = clock::now();
            log_loads(&loads);
            log_box_states(&scheduler.cell());
            let waiting = stuck_tasks(&scheduler.cell(), clock::now());
            let first = reporter.report(&waiting) as u64;
            scheduler.node.counters.add("batch.task.waits-beside-room", first);
        }
        let is_blocked = scheduler.cell().is_blocked_by_unresponsive();
        let has_stale_cordon = has_stale_cordon(&scheduler.cell(), &waves, &pools);
        let needs_list =
            has_waves || is_blocked || has_stale_cordon || pools.needs_machine_list(&loads);
        if !needs_list {
            continue;
        }
        let call = machines.clone();
        let listed = newest.refresh(async move { call.list(CALL_TIMEOUT).await }).await;
        if !matches!(listed, Ok(None)) {
            scheduler.node.record_machines_result(&listed);
        }
        match listed {
            Ok(Some(requested_at)) => {
                unanswered = 0;
                take_unreadable_rows(&scheduler, &mut newest, &waves, &pools);
                scheduler.cell().end_incarnations_by_box_list(newest.boxes(), requested_at);
            }
            Ok(None) if newest.is_recent(max_list_age, clock::now()) => {
                scheduler.node.counters.count("batch.machines.list-late");
            }
            Ok(None) => continue,
            Err(error) => {
                scheduler.node.counters.count("batch.machines.list-failed");
                log::debug!("cannot list machines: {error}");
                let is_unanswered = !matches!(error, CallError::Refused { .. });
                unanswered = if is_unanswered { unanswered + 1 } else { 0 };
                if unanswered >= RELEASE_AFTER {
                    release_pending(&scheduler, &mut pools, &mut waves, newest.boxes());
                }
                continue;
            }
        }
        let list = newest.boxes();
        scheduler.set_boxes(list);
        scheduler.announce_in_advance(|| list.iter().map(|machine| machine.id.clone()).collect());
        let held = scheduler.order_window.held_boxes(clock::now());
        let moving = pools.busy_machines();
        waves.advance(&scheduler, &machines, list, &moving, &held, &mut orders).await;
        let taken = &waves.busy_machines() | &held;
        pools.advance(&scheduler, &machines, list, &taken, orders).await;
        uncordon(&mut scheduler.cell(), &(&waves.busy_machines() | &pools.busy_machines()), list);
        record_box_states(&scheduler, &pools, &waves, &held, list);
        scheduler.wake();
    }
}

/// Keeps the boxes that are known and that the list may have in a row which cannot be read.
fn take_unreadable_rows(scheduler: &Scheduler, list: &mut BoxList, waves: &Waves, pools: &Pools) {
    let rows = list.unreadable_rows();
    if rows == 0 {
        return;
    }
    scheduler.node.counters.add("batch.machines.unreadable-rows", rows as u64);
    log::warn!(rows; "the list of boxes has rows that cannot be read");
    let cell = scheduler.cell();
    let of_workers = cell.workers.values().filter_map(|worker| worker.entry.machine.clone());
    let in_use = waves.machines().cloned().chain(pools.busy_machines());
    list.keep_known(of_workers.chain(in_use).collect());
}

/// Returns boxes to service that were to be ordered but were not: while the platform does not
/// answer calls about boxes, no order can be given. Boxes whose order may have been carried out
/// stay as they are.
fn release_pending(
    scheduler: &Scheduler,
    pools: &mut Pools,
    waves: &mut Waves,
    last_list: &[Machine],
) {
    let boxes = pools.cancel_pending() + waves.cancel_pending();
    if boxes == 0 {
        return;
    }
    log::info!(boxes; "boxes back in service: no answer to calls about boxes");
    scheduler.node.counters.add("batch.machines.released", boxes as u64);
    let busy = &waves.busy_machines() | &pools.busy_machines();
    uncordon(&mut scheduler.cell(), &busy, last_list);
    scheduler.wake();
}

/// Records where the boxes are that serve nothing, by a list of all boxes.
fn record_box_states(
    scheduler: &Scheduler,
    pools: &Pools,
    waves: &Waves,
    held: &HashSet<MachineId>,
    list: &[Machine],
) {
    let (mut cell, now) = (scheduler.cell(), clock::now());
    let config = scheduler.node.config();
    let is_reserve = |machine: &Machine| {
        let service = config.as_ref().and_then(|config| config.service(&machine.pool));
        service.is_some_and(|service| service.is_reserve)
    };
    let statuses = list.iter().filter_map(|machine| {
        let worker = cell.worker_on(machine);
        let facts = Facts {
            listed: machine,
            is_reserve: is_reserve(machine),
            departure: pools.departure(&machine.id).or_else(|| waves.departure(&machine.id)),
            is_held: held.contains(&machine.id),
            is_deferred: pools.is_deferred(&machine.id, now),
            has_joined: worker.is_some_and(|worker| worker.has_token),
            is_empty: worker.is_none_or(|worker| worker.allocations.is_empty()),
        };
        Some((machine.id.clone(), Status::of(facts)?))
    });
    let statuses: Vec<(MachineId, Status)> = statuses.collect();
    for (state, lasted) in cell.box_states.update(statuses, now) {
        scheduler.node.latencies.record(&format!("batch.box.{}", state.name()), lasted);
    }
}

/// How many orders a round may give, `time` after the last one started, at a platform rate of
/// `rate` orders per second.
///
/// ```
/// use std::time::Duration;
/// use spokelift_lib::batch::fleet::order_budget;
/// assert_eq!(order_budget(Duration::from_millis(300), 600.0), 162);
/// assert_eq!(order_budget(Duration::from_secs(60), 600.0), 270);
/// assert_eq!(order_budget(Duration::from_millis(300), 1.0), 1);
/// ```
pub fn order_budget(time: Duration, rate: f64) -> usize {
    (rate * ORDER_RATE_FRACTION * time.min(MAX_CATCH_UP).as_secs_f64()).max(1.0) as usize
}

/// Whether a worker that answers is cordoned although no wave and no move has its box. The next list
/// of the boxes ends that.
fn has_stale_cordon(cell: &Cell, waves: &Waves, pools: &Pools) -> bool {
    let mut cordoned = cell.workers.values().filter(|worker| worker.cordoned && worker.listed);
    cordoned.any(|worker| {
        let machine = worker.entry.machine.as_deref();
        let has_owner = |id: &str| waves.departure(id).is_some() || pools.departure(id).is_some();
        worker.failed_polls == 0 && machine.is_some_and(|id| !has_owner(id))
    })
}

/// Uncordons workers whose boxes are not in `busy`. Applies only to workers that the list names on
/// these boxes: a worker from before an order stays known until the next incarnation answers, and
/// must stay cordoned until then.
pub fn uncordon(cell: &mut Cell, busy: &HashSet<MachineId>, list: &[Machine]) {
    let free = list.iter().filter(|machine| !busy.contains(&machine.id));
    let workers =
        free.filter_map(|machine| Some(cell.worker_on(machine)?.peer.incarnation.clone()));
    let workers: HashSet<Incarnation> = workers.collect();
    cell.workers.for_each_mut(|worker| {
        if worker.cordoned && workers.contains(&worker.peer.incarnation) {
            worker.cordoned = false;
        }
    });
}

/// Counts the time of the boxes in pools since the last round. A switched-off box has no worker.
fn count_box_time(scheduler: &Scheduler, elapsed: Duration) {
    let cell = scheduler.cell();
    let boxes = cell.workers.values().filter(|worker| worker.listed).count() as u64;
    let count = boxes * elapsed.as_millis() as u64;
    costs::add(&scheduler.node.counters, costs::BOX_TIME, Cost { count, ..Cost::default() });
}

/// Logs the load of each service.
fn log_loads(loads: &BTreeMap<String, Load>) {
    for (service, load) in loads {
        log::info!(
            service = service.as_str(),
            workers = load.workers,
            has = load.capacity / 1_000,
            used = load.used / 1_000,
            waiting = load.waiting / 1_000,
            rate = load.arrival_rate / 1_000,
            wanted = load.wanted() / 1_000;
            "load in cores"
        );
    }
}

/// Logs how many boxes are in which state and how many moves and waves have.
fn log_box_states(cell: &Cell) {
    let Some(age) = cell.box_states.age(clock::now()) else { return };
    let counts = cell.box_states.counts();
    let count = |state: State| counts.get(&state).copied().unwrap_or(0);
    let purposes = || cell.box_states.iter().filter_map(|(_, status, _)| status.purpose.as_ref());
    let moves = purposes().filter(|purpose| matches!(purpose, Purpose::Move(_))).count();
    let switch_offs = purposes().filter(|purpose| **purpose == Purpose::SwitchOff).count();
    let waves = purposes().filter(|purpose| matches!(purpose, Purpose::Wave(_))).count();
    log::info!(
        evacuating = count(State::Evacuating),
        empty = count(State::Empty),
        ordered = count(State::Ordered),
        down = count(State::Down),
        maintenance = count(State::Maintenance),
        not_joined = count(State::NotJoined),
        held = count(State::Held),
        deferred = count(State::Deferred),
        switched_off = count(State::SwitchedOff),
        moves,
        switch_offs,
        waves,
        age_ms = age.as_millis() as u64;
        "boxes by state"
    );
}
