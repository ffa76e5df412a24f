//! The faults of a soak test and their schedule.

use std::io;
use std::ops::Range;
use std::ops::RangeInclusive;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::platform::network::Cut;
use crate::platform::site::HALLS;
use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::WORKERS;
use crate::platform::store;
use crate::platform::worker;
use crate::proxy;
use crate::proxy::Direction;
use crate::proxy::Flow;

/// Time between the starts of two faults, in milliseconds. Most last longer, so they overlap.
const FAULT_INTERVAL_MS: RangeInclusive<u64> = 100..=1_200;
/// Time between two black holes, in milliseconds.
const BLACK_HOLE_INTERVAL_MS: RangeInclusive<u64> = 300..=3_000;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: RangeInclusive<u64> = 200..=4_000;
/// Time after which a daemon that received SIGTERM is started again: the platform takes 2.6 s to
/// detect the stop, and the last requests take a little longer.
const RESTART_DELAY: Duration = Duration::from_millis(4_500);

/// Time of the first fault; by then clients have jobs in progress.
const FIRST_FAULT_AT: Duration = Duration::from_millis(500);
/// Number of cases in [`draw_fault`]; kinds of faults with two cases are twice as frequent.
const FAULT_KINDS: u32 = 14;

/// An action on the site.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// Kills a daemon.
    Kill(usize),
    /// Kills all daemons.
    KillAll,
    /// Starts a daemon, unless it runs.
    Start(usize),
    /// Starts all daemons that do not run.
    StartAll,
    /// Sends a signal to a daemon.
    Signal(usize, Signal),
    /// Sets the fault of a daemon's endpoint of the store.
    StoreFault(usize, store::Fault),
    /// Sets the fault of the connections between a daemon and the store.
    StoreProxy(usize, proxy::Fault),
    /// Sets the fault of the connections between clients and a daemon.
    ClientProxy(usize, proxy::Fault),
    /// Sets the fault of a machine's worker.
    WorkerFault(usize, worker::Fault),
    /// Crashes a machine's worker; another incarnation starts later.
    CrashWorker(usize),
    /// Drops all records of the store but the latest of each key.
    CompactStore,
    /// Requests maintenance of two machines, one at a time.
    MaintenanceWave(u64),
    /// Evacuates a data hall.
    EvacuateHall(&'static str),
    /// Takes a data hall back.
    TakeBackHall(&'static str),
    /// Turns the open connections of a daemon to the store into black holes.
    BlackHoleStoreConnections(usize, Direction),
    /// Turns the open connections of all daemons to the machines API into black holes.
    BlackHoleMachinesConnections(Direction),
    /// Turns the open connections of all daemons to the store and the machines API into black
    /// holes.
    BlackHoleAllConnections(Direction),
    /// Cuts the paths of some daemons to the store and to all others.
    IsolateNodes(Vec<usize>, Cut),
    /// Cuts the path between two daemons.
    CutNodes(usize, usize, Cut),
    /// Cuts the path between a daemon and a machine's worker.
    CutWorker(usize, usize, Cut),
}

impl Action {
    pub(super) async fn execute(&self, site: &Site) -> io::Result<()> {
        match self {
            Action::Kill(node) => site.nodes[*node].kill(),
            Action::KillAll => site.nodes.iter().for_each(|node| node.kill()),
            Action::Start(node) => start_if_stopped(site, *node)?,
            Action::StartAll => {
                for node in 0..NODES {
                    start_if_stopped(site, node)?;
                }
            }
            Action::Signal(node, signal) => site.nodes[*node].signal(*signal)?,
            Action::StoreFault(node, fault) => site.nodes[*node].store_endpoint.set_fault(*fault),
            Action::StoreProxy(node, fault) => site.nodes[*node].store_proxy.set_fault(*fault),
            Action::ClientProxy(node, fault) => site.nodes[*node].client_proxy.set_fault(*fault),
            Action::WorkerFault(machine, fault) => {
                if let Some(worker) = site.machines.worker(&machine_id(*machine)) {
                    worker.set_fault(*fault);
                }
            }
            Action::CrashWorker(machine) => {
                let (machines, id) = (site.machines.clone(), machine_id(*machine));
                tokio::spawn(async move { machines.crash(&id).await });
            }
            Action::CompactStore => site.store.compact(),
            Action::BlackHoleStoreConnections(node, direction) => {
                site.nodes[*node].store_proxy.black_hole_open(*direction)
            }
            Action::BlackHoleMachinesConnections(direction) => {
                site.machines_proxy.black_hole_open(*direction)
            }
            Action::BlackHoleAllConnections(direction) => {
                site.machines_proxy.black_hole_open(*direction);
                site.nodes.iter().for_each(|node| node.store_proxy.black_hole_open(*direction));
            }
            Action::IsolateNodes(nodes, cut) => site.isolate_nodes(nodes, *cut),
            Action::CutNodes(one, other, cut) => site.network().cut_nodes(*one, *other, *cut),
            Action::CutWorker(node, machine, cut) => {
                site.network().cut_worker(*node, &machine_id(*machine), *cut)
            }
            Action::EvacuateHall(hall) => site.evacuate_hall(hall),
            Action::TakeBackHall(hall) => site.take_back_hall(hall),
            Action::MaintenanceWave(number) => {
                let first = *number as usize % WORKERS;
                site.request_wave(
                    *number,
                    &[machine_id(first), machine_id((first + 1) % WORKERS)],
                    1,
                );
            }
        }
        Ok(())
    }
}

fn machine_id(machine: usize) -> String {
    format!("m-{machine}")
}

/// Starts a daemon unless it runs.
fn start_if_stopped(site: &Site, node: usize) -> io::Result<()> {
    let node = &site.nodes[node];
    if node.is_running() {
        return Ok(());
    }
    node.start()
}

/// Draws the faults for `time`, sorted by their times. Black holes and evacuations have their own
/// random generators, so that they leave the other faults of a seed unchanged.
pub(super) fn draw_schedule(
    rng: &mut StdRng,
    black_hole_rng: &mut StdRng,
    evacuation_rng: &mut StdRng,
    time: Duration,
) -> Vec<(Duration, Action)> {
    let mut schedule = Vec::new();
    let mut waves = 0;
    let times = FIRST_FAULT_AT..time;
    draw_at_intervals(rng, times.clone(), FAULT_INTERVAL_MS, |rng, at| {
        let (start, end) = draw_fault(rng, &mut waves);
        schedule.push((at, start));
        schedule.extend(end.map(|(after, end)| (at + after, end)));
    });
    draw_at_intervals(black_hole_rng, times, BLACK_HOLE_INTERVAL_MS, |rng, at| {
        schedule.push((at, draw_black_hole(rng)));
    });
    schedule.extend(draw_evacuation(evacuation_rng, time));
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Draws something at the start of `times`, and again after each interval until their end.
pub(super) fn draw_at_intervals(
    rng: &mut StdRng,
    times: Range<Duration>,
    interval_ms: RangeInclusive<u64>,
    mut draw: impl FnMut(&mut StdRng, Duration),
) {
    let mut at = times.start;
    while at < times.end {
        draw(rng, at);
        at += Duration::from_millis(rng.random_range(interval_ms.clone()));
    }
}

/// Draws the evacuation of a hall in the first quarter of `time`; in half of all cases the other
/// hall is evacuated as well for a while.
fn draw_evacuation(rng: &mut StdRng, time: Duration) -> Vec<(Duration, Action)> {
    let start = FIRST_FAULT_AT + time.mul_f64(rng.random_range(0.0..0.25));
    let first = rng.random_range(0..HALLS.len());
    let mut drawn = vec![(start, Action::EvacuateHall(HALLS[first]))];
    if rng.random_bool(0.5) {
        let other = HALLS[(first + 1) % HALLS.len()];
        let at = start + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        drawn.push((at, Action::EvacuateHall(other)));
        let until = at + Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        drawn.push((until, Action::TakeBackHall(other)));
    }
    drawn
}

/// Draws the connections and the direction of a black hole.
fn draw_black_hole(rng: &mut StdRng) -> Action {
    let node = rng.random_range(0..NODES);
    let direction =
        [Direction::Both, Direction::Requests, Direction::Answers][rng.random_range(0..3)];
    match rng.random_range(0..4) {
        0 | 1 => Action::BlackHoleStoreConnections(node, direction),
        2 => Action::BlackHoleMachinesConnections(direction),
        _ => Action::BlackHoleAllConnections(direction),
    }
}

/// Draws a fault: the action that starts it, and the one that ends it with the time in between,
/// unless the fault is momentary.
///
/// The draws and their order define the schedule of a seed: a change here changes the meaning of
/// the seeds in `docs/design/soak.md`.
fn draw_fault(rng: &mut StdRng, waves: &mut u64) -> (Action, Option<(Duration, Action)>) {
    let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let node = rng.random_range(0..NODES);
    let machine = rng.random_range(0..WORKERS);
    let proxy_fault = draw_proxy_fault(rng);
    let none = proxy::Fault::default();
    let ends_with = |end: Action| Some((duration, end));
    match rng.random_range(0..FAULT_KINDS) {
        0 | 1 => (Action::Kill(node), ends_with(Action::Start(node))),
        2 | 3 => (
            Action::Signal(node, Signal::SIGSTOP),
            ends_with(Action::Signal(node, Signal::SIGCONT)),
        ),
        4 => (Action::Signal(node, Signal::SIGTERM), Some((RESTART_DELAY, Action::Start(node)))),
        5 => (Action::Signal(node, Signal::SIGHUP), None),
        6 | 7 => (Action::StoreProxy(node, proxy_fault), ends_with(Action::StoreProxy(node, none))),
        8 => (Action::ClientProxy(node, proxy_fault), ends_with(Action::ClientProxy(node, none))),
        9 => {
            let fault = draw_store_fault(rng);
            (
                Action::StoreFault(node, fault),
                ends_with(Action::StoreFault(node, store::Fault::None)),
            )
        }
        10 => {
            let fault = draw_worker_fault(rng);
            (
                Action::WorkerFault(machine, fault),
                ends_with(Action::WorkerFault(machine, worker::Fault::None)),
            )
        }
        11 => (Action::CrashWorker(machine), None),
        12 => match rng.random_range(0..3) {
            0 => (Action::KillAll, ends_with(Action::StartAll)),
            _ => (Action::CompactStore, None),
        },
        _ => {
            *waves += 1;
            (Action::MaintenanceWave(*waves), None)
        }
    }
}

fn draw_proxy_fault(rng: &mut StdRng) -> proxy::Fault {
    let none = proxy::Fault::default();
    match rng.random_range(0..5) {
        0 => proxy::Fault { request: Flow::Hold, answer: Flow::Hold, ..none },
        1 => proxy::Fault { answer: Flow::Hold, ..none },
        2 => proxy::Fault { request: Flow::Hold, ..none },
        3 => proxy::Fault { refuse: true, ..none },
        _ => proxy::Fault { answer: Flow::Delay(Duration::from_millis(150)), ..none },
    }
}

fn draw_store_fault(rng: &mut StdRng) -> store::Fault {
    use store::Fault::*;
    [Busy, Unresponsive, LosesAnswers, Late][rng.random_range(0..4)]
}

fn draw_worker_fault(rng: &mut StdRng) -> worker::Fault {
    [worker::Fault::Disconnected, worker::Fault::LosesStartAnswers][rng.random_range(0..2)]
}
