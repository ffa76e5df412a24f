//! The faults of a soak and when they come.

use std::io;
use std::time::Duration;

use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::WORKERS;
use crate::platform::store;
use crate::platform::worker;
use crate::proxy;
use crate::proxy::Direction;
use crate::proxy::Flow;

/// Time between the beginnings of two faults, in milliseconds. Most last longer, so they overlap.
const FAULT_INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=1_200;
/// Time between two times that connections go silent, in milliseconds.
const BLACK_HOLE_INTERVAL_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// How long a fault lasts, in milliseconds.
const FAULT_DURATION_MS: std::ops::RangeInclusive<u64> = 200..=4_000;
/// A daemon that was told to stop is started again after this; it takes 2.6 s for the platform to
/// notice, and a little more for the last requests.
const RESTART_DELAY: Duration = Duration::from_millis(4_500);

/// When the first fault comes: by then clients have jobs under way.
const FIRST_FAULT_AT: Duration = Duration::from_millis(500);
/// Kinds of faults in [`fault`], some of which count twice so that they come twice as often.
const FAULT_KINDS: u32 = 14;

/// Something done to the site.
#[derive(Clone, Debug)]
pub(super) enum Action {
    /// A daemon is killed.
    Kill(usize),
    /// All daemons are killed.
    KillAll,
    /// A daemon is started, if it does not run.
    Start(usize),
    /// All daemons that do not run are started.
    StartAll,
    /// A daemon gets a signal.
    Signal(usize, Signal),
    /// A daemon's way into the store.
    StoreFault(usize, store::Fault),
    /// The connections between a daemon and the store.
    StoreProxy(usize, proxy::Fault),
    /// The connections between clients and a daemon.
    ClientProxy(usize, proxy::Fault),
    /// A machine's worker.
    WorkerFault(usize, worker::Fault),
    /// A machine's worker crashes, and another life begins.
    CrashWorker(usize),
    /// The store forgets what is not the newest of a key.
    CompactStore,
    /// Two machines are due for upkeep, one at a time.
    MaintenanceWave(u64),
    /// The open connections of a daemon to the store go silent for good.
    BlackHoleStoreConnections(usize, Direction),
    /// The open connections of all daemons to the interface for machines go silent for good.
    BlackHoleMachinesConnections(Direction),
    /// Both, of all daemons.
    BlackHoleAllConnections(Direction),
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
            Action::BlackHoleStoreConnections(node, way) => {
                site.nodes[*node].store_proxy.black_hole_open(*way)
            }
            Action::BlackHoleMachinesConnections(way) => site.machines_proxy.black_hole_open(*way),
            Action::BlackHoleAllConnections(way) => {
                site.machines_proxy.black_hole_open(*way);
                site.nodes.iter().for_each(|node| node.store_proxy.black_hole_open(*way));
            }
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

/// Draws faults for `time`, in the order of their times. Connections that go silent are drawn by a
/// generator of their own, so that the other faults of a seed stay what they were.
pub(super) fn draw_schedule(
    rng: &mut StdRng,
    silent_rng: &mut StdRng,
    time: Duration,
) -> Vec<(Duration, Action)> {
    let mut schedule = Vec::new();
    let mut at = FIRST_FAULT_AT;
    let mut waves = 0;
    while at < time {
        let (begin, end) = draw_fault(rng, &mut waves);
        schedule.push((at, begin));
        schedule.extend(end.map(|(after, end)| (at + after, end)));
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    }
    let mut at = FIRST_FAULT_AT;
    while at < time {
        schedule.push((at, draw_black_hole(silent_rng)));
        at += Duration::from_millis(silent_rng.random_range(BLACK_HOLE_INTERVAL_MS));
    }
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Draws connections that go silent.
fn draw_black_hole(rng: &mut StdRng) -> Action {
    let node = rng.random_range(0..NODES);
    let way = [Direction::Both, Direction::Requests, Direction::Answers][rng.random_range(0..3)];
    match rng.random_range(0..4) {
        0 | 1 => Action::BlackHoleStoreConnections(node, way),
        2 => Action::BlackHoleMachinesConnections(way),
        _ => Action::BlackHoleAllConnections(way),
    }
}

/// Draws a fault: how it begins, and after what time it ends, unless it is over at once.
///
/// What is drawn, and in which order, decides what a seed means: a change here makes the seeds in
/// `docs/design/soak.md` other ones.
fn draw_fault(rng: &mut StdRng, waves: &mut u64) -> (Action, Option<(Duration, Action)>) {
    let last = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let node = rng.random_range(0..NODES);
    let machine = rng.random_range(0..WORKERS);
    let line = draw_proxy_fault(rng);
    let none = proxy::Fault::default();
    let until = |end: Action| Some((last, end));
    match rng.random_range(0..FAULT_KINDS) {
        0 | 1 => (Action::Kill(node), until(Action::Start(node))),
        2 | 3 => {
            (Action::Signal(node, Signal::SIGSTOP), until(Action::Signal(node, Signal::SIGCONT)))
        }
        4 => (Action::Signal(node, Signal::SIGTERM), Some((RESTART_DELAY, Action::Start(node)))),
        5 => (Action::Signal(node, Signal::SIGHUP), None),
        6 | 7 => (Action::StoreProxy(node, line), until(Action::StoreProxy(node, none))),
        8 => (Action::ClientProxy(node, line), until(Action::ClientProxy(node, none))),
        9 => {
            let fault = draw_store_fault(rng);
            (Action::StoreFault(node, fault), until(Action::StoreFault(node, store::Fault::None)))
        }
        10 => {
            let fault = draw_worker_fault(rng);
            (
                Action::WorkerFault(machine, fault),
                until(Action::WorkerFault(machine, worker::Fault::None)),
            )
        }
        11 => (Action::CrashWorker(machine), None),
        12 => match rng.random_range(0..3) {
            0 => (Action::KillAll, until(Action::StartAll)),
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
