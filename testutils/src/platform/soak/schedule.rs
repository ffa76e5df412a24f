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
use crate::proxy::Flow;
use crate::proxy::Silence;

/// Time between the beginnings of two faults, in milliseconds. Most last longer, so they overlap.
const GAP_MS: std::ops::RangeInclusive<u64> = 100..=1_200;
/// Time between two times that connections go silent, in milliseconds.
const SILENCE_GAP_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// How long a fault lasts, in milliseconds.
const LAST_MS: std::ops::RangeInclusive<u64> = 200..=4_000;
/// A daemon that was told to stop is started again after this; it takes 2.6 s for the platform to
/// notice, and a little more for the last requests.
const BACK: Duration = Duration::from_millis(4_500);

/// When the first fault comes: by then clients have jobs under way.
const FIRST: Duration = Duration::from_millis(500);
/// Kinds of faults in [`fault`], some of which count twice so that they come twice as often.
const KINDS: u32 = 14;

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
    Door(usize, store::Fault),
    /// The connections between a daemon and the store.
    StoreLine(usize, proxy::Fault),
    /// The connections between clients and a daemon.
    ClientLine(usize, proxy::Fault),
    /// A machine's worker.
    Worker(usize, worker::Fault),
    /// A machine's worker crashes, and another life begins.
    Crash(usize),
    /// The store forgets what is not the newest of a key.
    Forget,
    /// Two machines are due for upkeep, one at a time.
    Wave(u64),
    /// The open connections of a daemon to the store go silent for good.
    SilentStoreLine(usize, Silence),
    /// The open connections of all daemons to the interface for machines go silent for good.
    SilentMachinesLine(Silence),
    /// Both, of all daemons.
    SilentLines(Silence),
}

impl Action {
    pub(super) async fn carry_out(&self, site: &Site) -> io::Result<()> {
        match self {
            Action::Kill(node) => site.nodes[*node].kill(),
            Action::KillAll => site.nodes.iter().for_each(|node| node.kill()),
            Action::Start(node) => start(site, *node)?,
            Action::StartAll => {
                for node in 0..NODES {
                    start(site, node)?;
                }
            }
            Action::Signal(node, signal) => site.nodes[*node].signal(*signal)?,
            Action::Door(node, fault) => site.nodes[*node].door.set(*fault),
            Action::StoreLine(node, fault) => site.nodes[*node].store_line.set(*fault),
            Action::ClientLine(node, fault) => site.nodes[*node].client_line.set(*fault),
            Action::Worker(machine, fault) => {
                if let Some(worker) = site.machines.worker(&name(*machine)) {
                    worker.set(*fault);
                }
            }
            Action::Crash(machine) => {
                let (machines, id) = (site.machines.clone(), name(*machine));
                tokio::spawn(async move { machines.crash(&id).await });
            }
            Action::Forget => site.store.forget_history(),
            Action::SilentStoreLine(node, way) => site.nodes[*node].store_line.silence_open(*way),
            Action::SilentMachinesLine(way) => site.machines_line.silence_open(*way),
            Action::SilentLines(way) => {
                site.machines_line.silence_open(*way);
                site.nodes.iter().for_each(|node| node.store_line.silence_open(*way));
            }
            Action::Wave(number) => {
                let first = *number as usize % WORKERS;
                site.wave(*number, &[name(first), name((first + 1) % WORKERS)], 1);
            }
        }
        Ok(())
    }
}

fn name(machine: usize) -> String {
    format!("m-{machine}")
}

/// Starts a daemon unless it runs.
fn start(site: &Site, node: usize) -> io::Result<()> {
    let node = &site.nodes[node];
    if node.is_running() {
        return Ok(());
    }
    node.start()
}

/// Draws faults for `time`, in the order of their times. Connections that go silent are drawn by a
/// generator of their own, so that the other faults of a seed stay what they were.
pub(super) fn draw(
    rng: &mut StdRng,
    silent_rng: &mut StdRng,
    time: Duration,
) -> Vec<(Duration, Action)> {
    let mut schedule = Vec::new();
    let mut at = FIRST;
    let mut waves = 0;
    while at < time {
        let (begin, end) = fault(rng, &mut waves);
        schedule.push((at, begin));
        schedule.extend(end.map(|(after, end)| (at + after, end)));
        at += Duration::from_millis(rng.random_range(GAP_MS));
    }
    let mut at = FIRST;
    while at < time {
        schedule.push((at, silence(silent_rng)));
        at += Duration::from_millis(silent_rng.random_range(SILENCE_GAP_MS));
    }
    schedule.sort_by_key(|(at, _)| *at);
    schedule
}

/// Draws connections that go silent.
fn silence(rng: &mut StdRng) -> Action {
    let node = rng.random_range(0..NODES);
    let way = [Silence::Both, Silence::Requests, Silence::Answers][rng.random_range(0..3)];
    match rng.random_range(0..4) {
        0 | 1 => Action::SilentStoreLine(node, way),
        2 => Action::SilentMachinesLine(way),
        _ => Action::SilentLines(way),
    }
}

/// Draws a fault: how it begins, and after what time it ends, unless it is over at once.
///
/// What is drawn, and in which order, decides what a seed means: a change here makes the seeds in
/// `docs/design/soak.md` other ones.
fn fault(rng: &mut StdRng, waves: &mut u64) -> (Action, Option<(Duration, Action)>) {
    let last = Duration::from_millis(rng.random_range(LAST_MS));
    let node = rng.random_range(0..NODES);
    let machine = rng.random_range(0..WORKERS);
    let line = line_fault(rng);
    let none = proxy::Fault::default();
    let until = |end: Action| Some((last, end));
    match rng.random_range(0..KINDS) {
        0 | 1 => (Action::Kill(node), until(Action::Start(node))),
        2 | 3 => {
            (Action::Signal(node, Signal::SIGSTOP), until(Action::Signal(node, Signal::SIGCONT)))
        }
        4 => (Action::Signal(node, Signal::SIGTERM), Some((BACK, Action::Start(node)))),
        5 => (Action::Signal(node, Signal::SIGHUP), None),
        6 | 7 => (Action::StoreLine(node, line), until(Action::StoreLine(node, none))),
        8 => (Action::ClientLine(node, line), until(Action::ClientLine(node, none))),
        9 => {
            let fault = door_fault(rng);
            (Action::Door(node, fault), until(Action::Door(node, store::Fault::None)))
        }
        10 => {
            let fault = worker_fault(rng);
            (Action::Worker(machine, fault), until(Action::Worker(machine, worker::Fault::None)))
        }
        11 => (Action::Crash(machine), None),
        12 => match rng.random_range(0..3) {
            0 => (Action::KillAll, until(Action::StartAll)),
            _ => (Action::Forget, None),
        },
        _ => {
            *waves += 1;
            (Action::Wave(*waves), None)
        }
    }
}

fn line_fault(rng: &mut StdRng) -> proxy::Fault {
    let none = proxy::Fault::default();
    match rng.random_range(0..5) {
        0 => proxy::Fault { request: Flow::Hold, answer: Flow::Hold, ..none },
        1 => proxy::Fault { answer: Flow::Hold, ..none },
        2 => proxy::Fault { request: Flow::Hold, ..none },
        3 => proxy::Fault { refuse: true, ..none },
        _ => proxy::Fault { answer: Flow::Delay(Duration::from_millis(150)), ..none },
    }
}

fn door_fault(rng: &mut StdRng) -> store::Fault {
    use store::Fault::*;
    [Busy, Silent, LosesAnswers, Late][rng.random_range(0..4)]
}

fn worker_fault(rng: &mut StdRng) -> worker::Fault {
    [worker::Fault::Cut, worker::Fault::LosesStarts][rng.random_range(0..2)]
}
