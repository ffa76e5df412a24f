//! The cuts of links in a soak test: what some daemons reach and others do not.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::platform::network::Cut;
use crate::platform::soak::MACHINES;
use crate::platform::soak::NODES;
use crate::platform::soak::schedule::Action;
use crate::platform::soak::schedule::draw_at_intervals;

/// Time between two cuts of links to workers, in milliseconds: at any time, some are cut.
const WORKER_INTERVAL_MS: RangeInclusive<u64> = 50..=400;
/// Time between two cuts between daemons, in milliseconds.
const NODE_INTERVAL_MS: RangeInclusive<u64> = 1_000..=5_000;
/// Duration of a cut, in milliseconds: from too short to be noticed to longer than a takeover and the
/// lease of a worker together.
const DURATION_MS: RangeInclusive<u64> = 500..=10_000;

/// Draws a cut, with the action that restores what it cuts.
type DrawCut = fn(&mut StdRng) -> (Action, Action);

/// Draws the cuts for `time`, in no order.
pub(super) fn draw_cuts(rng: &mut StdRng, time: Duration) -> Vec<(Duration, Action)> {
    let mut cuts = Vec::new();
    let kinds: [(_, DrawCut); 2] =
        [(WORKER_INTERVAL_MS, draw_worker_cut), (NODE_INTERVAL_MS, draw_node_cut)];
    for (interval_ms, draw) in kinds {
        draw_at_intervals(rng, Duration::ZERO..time, interval_ms, |rng, at| {
            let (start, end) = draw(rng);
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            cuts.extend([(at, start), (at + duration, end)]);
        });
    }
    cuts
}

/// Cuts the path between a daemon and a worker.
fn draw_worker_cut(rng: &mut StdRng) -> (Action, Action) {
    let (node, machine) = (rng.random_range(0..NODES), rng.random_range(0..MACHINES));
    let cut = draw_cut(rng);
    (Action::CutWorker(node, machine, cut), Action::CutWorker(node, machine, Cut::None))
}

/// Isolates up to half of the daemons, or cuts the path between two of them.
fn draw_node_cut(rng: &mut StdRng) -> (Action, Action) {
    let mut nodes: Vec<usize> = (0..NODES).collect();
    nodes.shuffle(rng);
    let cut = draw_cut(rng);
    if rng.random_bool(0.25) {
        let (one, other) = (nodes[0], nodes[1]);
        return (Action::CutNodes(one, other, cut), Action::CutNodes(one, other, Cut::None));
    }
    nodes.truncate(rng.random_range(1..=NODES / 2));
    (Action::IsolateNodes(nodes.clone(), cut), Action::IsolateNodes(nodes, Cut::None))
}

fn draw_cut(rng: &mut StdRng) -> Cut {
    [Cut::Both, Cut::Both, Cut::Inbound, Cut::Outbound][rng.random_range(0..4)]
}
