//! The scheduler's dealings with machines: waves of upkeep, and moves between pools.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::worker::Life;
use tokio::time::sleep;

use crate::batch::cell::Cell;
use crate::batch::pool::Pools;
use crate::batch::pool::load::loads;
use crate::batch::scheduler::Scheduler;
use crate::batch::stuck::Teller;
use crate::batch::stuck::stuck;
use crate::batch::upkeep::CALL;
use crate::batch::upkeep::Waves;
use crate::batch::upkeep::places::Places;
use crate::transport::clock;

/// Time between two rounds. Each costs a call to list the machines while something is under way.
const ROUND: Duration = Duration::from_millis(150);

/// Share of the platform's rate of orders that is used; the rest is for what an earlier holder of the
/// lead may have ordered in the same second.
const ORDERS_SHARE: f64 = 0.9;
/// Longest time since the last round whose orders a round may make up for. A round takes 0.3 s with 1,100
/// boxes; counted by the pause alone, 260 orders a second went out where 590 are taken, and after a
/// loss of power 500 boxes waited for theirs.
const CATCH_UP: Duration = Duration::from_millis(500);
/// Time between lines in the log about what each service has and wants.
const TELL: Duration = Duration::from_millis(1_000);

/// Carries out waves and moves as long as the scheduler lasts.
pub async fn run(scheduler: Arc<Scheduler>) {
    let Some(machines) = scheduler.node.machines.clone() else { return };
    let mut waves = Waves::begin(&scheduler).await;
    let mut pools = Pools::default();
    let mut told_at = clock::now();
    let mut teller = Teller::default();
    let rate = scheduler.node.settings.machine_orders_per_s;
    let mut last_round = clock::now();
    loop {
        sleep(ROUND).await;
        let mut orders = orders_in(clock::since(last_round), rate);
        last_round = clock::now();
        let under_way = waves.take(&scheduler);
        {
            let (mut cell, now) = (scheduler.cell(), clock::now());
            cell.unhoused = Places::new(&cell, now).unhoused(&cell, now);
        }
        if clock::since(told_at) >= TELL {
            told_at = clock::now();
            tell_loads(&scheduler);
            let waiting = stuck(&scheduler.cell(), clock::now());
            let first = teller.tell(&waiting) as u64;
            scheduler.node.counters.add("batch.task.waits-beside-room", first);
        }
        let awaits_silent = scheduler.cell().awaits_silent();
        if !under_way && !awaits_silent && !pools.wants_list(&scheduler) {
            continue;
        }
        let asked_at = clock::now();
        let listed = machines.list(CALL).await;
        scheduler.node.note_machines(&listed);
        let list = match listed {
            Ok(list) => list,
            Err(error) => {
                scheduler.node.counters.count("batch.machines.list-failed");
                log::debug!("the machines cannot be listed: {error}");
                continue;
            }
        };
        scheduler.cell().end_lives_by_list(&list, asked_at);
        scheduler.announce_ahead(|| list.iter().map(|machine| machine.id.clone()).collect());
        let resting = scheduler.turn.resting(clock::now());
        let moving = pools.busy();
        waves.advance(&scheduler, &machines, &list, &moving, &resting, &mut orders).await;
        let taken = &waves.busy() | &resting;
        pools.advance(&scheduler, &machines, &list, &taken, orders).await;
        uncordon(&mut scheduler.cell(), &(&waves.busy() | &pools.busy()), &list);
        scheduler.kick();
    }
}

/// How many orders a round may give, so long after the last one began, at the platform's rate of orders
/// a second.
///
/// ```
/// use std::time::Duration;
/// use spokelift_lib::batch::fleet::orders_in;
/// assert_eq!(orders_in(Duration::from_millis(300), 600.0), 162);
/// assert_eq!(orders_in(Duration::from_secs(60), 600.0), 270);
/// assert_eq!(orders_in(Duration::from_millis(300), 1.0), 1);
/// ```
pub fn orders_in(time: Duration, rate: f64) -> usize {
    (rate * ORDERS_SHARE * time.min(CATCH_UP).as_secs_f64()).max(1.0) as usize
}

/// Workers on boxes that nobody empties take work again. Only those that the list names as living there now: one that
/// lived on a box before it was ordered is known until the next life answers, and must stay closed until then.
pub fn uncordon(cell: &mut Cell, busy: &HashSet<MachineId>, list: &[Machine]) {
    let free = list.iter().filter(|machine| !busy.contains(&machine.id));
    let workers = free.filter_map(|machine| Some(cell.worker_on(machine)?.peer.life.clone()));
    let workers: HashSet<Life> = workers.collect();
    cell.workers.for_each_mut(|worker| {
        if worker.cordoned && workers.contains(&worker.peer.life) {
            worker.cordoned = false;
        }
    });
}

/// Tells what each service has and wants.
fn tell_loads(scheduler: &Scheduler) {
    for (service, load) in loads(&scheduler.cell(), clock::now()) {
        log::info!(
            service = service.as_str(),
            workers = load.workers,
            has = load.has / 1_000,
            used = load.used / 1_000,
            waiting = load.waiting / 1_000,
            rate = load.rate / 1_000,
            wanted = load.wanted() / 1_000;
            "load in cores"
        );
    }
}
