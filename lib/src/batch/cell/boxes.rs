//! What the platform's list of boxes says of the lives of workers.
//!
//! A worker that does not answer may be cut off and run on, so what it runs counts as running until its leases are over.
//! The list tells the two apart: the box of one that is cut off is up with that worker on it. A worker that was met
//! before the list was asked for was born before it, so if its box is then down, under way, up with another worker, or
//! not there, that life is over and runs nothing.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::Life;

use crate::batch::cell::Cell;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// Why a worker's life is over, by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// Its box is down.
    Down,
    /// Its box was ordered to another pool, or down for its upkeep.
    Ordered,
    /// Another worker lives on its box.
    Succeeded,
    /// Its box is not listed any more.
    Removed,
}

impl Over {
    fn reason(self) -> &'static str {
        match self {
            Over::Down => "its box is down",
            Over::Ordered => "its box was ordered",
            Over::Succeeded => "the list names another worker on its box",
            Over::Removed => "its box is not listed any more",
        }
    }
}

impl Cell {
    /// Whether a silent worker keeps tasks waiting that the list of boxes may set free.
    pub fn awaits_silent(&self) -> bool {
        let keeps_waiting = |worker: &Worker| {
            let holds = !worker.slots.is_empty() || self.unasked.contains(&worker.peer.life);
            holds && worker.is_silent() && worker.entry.machine.is_some()
        };
        self.workers.values().any(keeps_waiting)
    }

    /// Ends the lives of which the list of all boxes, asked for at `asked_at`, shows that they are over.
    pub fn end_lives_by_list(&mut self, list: &[Machine], asked_at: Instant) {
        let boxes: HashMap<&str, &Machine> =
            list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        let is_older = |worker: &&Worker| {
            worker.met_at <= asked_at && worker.answered_at().is_none_or(|at| at <= asked_at)
        };
        let over = self.workers.values().filter(is_older).filter_map(|worker| {
            let machine = worker.entry.machine.as_ref()?;
            Some((worker.peer.life.clone(), over_by(worker, boxes.get(machine.as_str()))?))
        });
        let (removed, over): (Vec<_>, Vec<_>) = over.partition(|(_, why)| *why == Over::Removed);
        // The pages of a list are not read in one moment, so a box may be missing in one of them.
        let removed: HashSet<Life> = removed.into_iter().map(|(life, _)| life).collect();
        let twice =
            removed.intersection(&self.without_box).map(|life| (life.clone(), Over::Removed));
        let over: Vec<(Life, Over)> = over.into_iter().chain(twice).collect();
        self.without_box = removed;
        // All are silent before the first crash is weighed: each speaks for what ran on the others.
        for (life, why) in &over {
            self.note_over(life, *why);
        }
        self.tally.ended_by_list += over.len() as u64;
        for (life, why) in over {
            self.bury(&life, why.reason());
        }
    }

    fn note_over(&mut self, life: &Life, why: Over) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        if why == Over::Ordered {
            // Nothing that it ran is to blame.
            worker.cordoned = true;
        }
        worker.misses = worker.misses.max(1);
        worker.missed_at.get_or_insert_with(clock::now);
    }
}

/// Whether a worker's life is over by what the list says of its box.
fn over_by(worker: &Worker, listed: Option<&&Machine>) -> Option<Over> {
    let Some(machine) = listed else { return worker.is_silent().then_some(Over::Removed) };
    match machine.status {
        Status::Moving | Status::Upkeep => Some(Over::Ordered),
        Status::Down if machine.pool != worker.entry.service => Some(Over::Ordered),
        Status::Down => Some(Over::Down),
        Status::Up => {
            let other = machine.worker.as_ref().is_some_and(|id| *id != worker.peer.life.id);
            other.then_some(Over::Succeeded)
        }
    }
}
