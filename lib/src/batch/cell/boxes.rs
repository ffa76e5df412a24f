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
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// Why a worker's life is over, by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// Its box is down.
    Down,
    /// Its box was ordered to another pool, or down for its upkeep.
    Ordered,
    /// Another worker lives on its box.
    Replaced,
    /// Its box is not listed any more.
    Removed,
}

impl EndReason {
    fn as_str(self) -> &'static str {
        match self {
            EndReason::Down => "its box is down",
            EndReason::Ordered => "its box was ordered",
            EndReason::Replaced => "the list names another worker on its box",
            EndReason::Removed => "its box is not listed any more",
        }
    }
}

impl Cell {
    /// Whether a silent worker keeps tasks waiting that the list of boxes may set free.
    pub fn is_blocked_by_unresponsive(&self) -> bool {
        let keeps_waiting = |worker: &Worker| {
            let holds =
                !worker.allocations.is_empty() || self.unpolled.contains(&worker.peer.incarnation);
            holds && worker.is_unresponsive() && worker.entry.machine.is_some()
        };
        self.workers.values().any(keeps_waiting)
    }

    /// Ends the lives of which the list of all boxes, asked for at `asked_at`, shows that they are over.
    pub fn end_incarnations_by_box_list(&mut self, list: &[Machine], asked_at: Instant) {
        let boxes: HashMap<&str, &Machine> =
            list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        let is_older = |worker: &&Worker| {
            worker.discovered_at <= asked_at
                && worker.last_poll_answer_at().is_none_or(|at| at <= asked_at)
        };
        let over = self.workers.values().filter(is_older).filter_map(|worker| {
            let machine = worker.entry.machine.as_ref()?;
            Some((
                worker.peer.incarnation.clone(),
                end_reason(worker, boxes.get(machine.as_str()))?,
            ))
        });
        let (removed, over): (Vec<_>, Vec<_>) =
            over.partition(|(_, why)| *why == EndReason::Removed);
        // The pages of a list are not read in one moment, so a box may be missing in one of them.
        let removed: HashSet<Incarnation> = removed.into_iter().map(|(life, _)| life).collect();
        let twice = removed
            .intersection(&self.missing_from_box_list)
            .map(|life| (life.clone(), EndReason::Removed));
        let over: Vec<(Incarnation, EndReason)> = over.into_iter().chain(twice).collect();
        self.missing_from_box_list = removed;
        // All are silent before the first crash is weighed: each speaks for what ran on the others.
        for (life, why) in &over {
            self.record_end_reason(life, *why);
        }
        self.stats.ended_by_box_list += over.len() as u64;
        for (life, why) in over {
            self.mark_ended(&life, why.as_str());
        }
    }

    fn record_end_reason(&mut self, life: &Incarnation, why: EndReason) {
        let Some(mut worker) = self.workers.get_mut(life) else { return };
        if why == EndReason::Ordered {
            // Nothing that it ran is to blame.
            worker.cordoned = true;
        }
        worker.failed_polls = worker.failed_polls.max(1);
        worker.first_failed_at.get_or_insert_with(clock::now);
    }
}

/// Whether a worker's life is over by what the list says of its box.
fn end_reason(worker: &Worker, listed: Option<&&Machine>) -> Option<EndReason> {
    let Some(machine) = listed else {
        return worker.is_unresponsive().then_some(EndReason::Removed);
    };
    match machine.status {
        Status::Moving | Status::Maintenance => Some(EndReason::Ordered),
        Status::Down if machine.pool != worker.entry.service => Some(EndReason::Ordered),
        Status::Down => Some(EndReason::Down),
        Status::Up => {
            let other = machine.worker.as_ref().is_some_and(|id| *id != worker.peer.incarnation.id);
            other.then_some(EndReason::Replaced)
        }
    }
}
