//! Detects ended workers by the platform's list of boxes.
//!
//! A worker that does not answer may only be cut off from the network and still run its tasks, so
//! these count as running until its leases expire. The list tells the two cases apart: the box of a
//! worker that is cut off is up with that worker on it. A worker that was discovered before the
//! list was requested had started before it. If its box is then down, moving, in maintenance, up
//! with another worker, or not listed, the worker's incarnation has ended and runs nothing.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Instant;

use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::worker::Worker;
use crate::transport::clock;

/// Why a worker's incarnation has ended, according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// Its box is down.
    Down,
    /// Its box was ordered to another pool or to maintenance.
    Ordered,
    /// Another worker runs on its box.
    Replaced,
    /// Its box is not listed any more.
    Removed,
}

impl EndReason {
    fn as_str(self) -> &'static str {
        match self {
            EndReason::Down => "its box is down",
            EndReason::Ordered => "its box was ordered to move or to maintenance",
            EndReason::Replaced => "the list names another worker on its box",
            EndReason::Removed => "its box is not listed any more",
        }
    }
}

impl Cell {
    /// Whether tasks may be waiting for an unresponsive worker that the list of boxes may show to
    /// have ended.
    pub fn is_blocked_by_unresponsive(&self) -> bool {
        let may_block_tasks = |worker: &Worker| {
            let has_runs =
                !worker.allocations.is_empty() || self.unpolled.contains(&worker.peer.incarnation);
            has_runs && worker.is_unresponsive() && worker.entry.machine.is_some()
        };
        self.workers.values().any(may_block_tasks)
    }

    /// Marks incarnations as ended that the list of all boxes, requested at `requested_at`, shows
    /// to have ended.
    pub fn end_incarnations_by_box_list(&mut self, list: &[Machine], requested_at: Instant) {
        let boxes: HashMap<&str, &Machine> =
            list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        let is_older = |worker: &&Worker| {
            worker.discovered_at <= requested_at
                && worker.last_poll_answer_at().is_none_or(|at| at <= requested_at)
        };
        let ended = self.workers.values().filter(is_older).filter_map(|worker| {
            let machine = worker.entry.machine.as_ref()?;
            Some((
                worker.peer.incarnation.clone(),
                end_reason(worker, boxes.get(machine.as_str()))?,
            ))
        });
        let (removed, ended): (Vec<_>, Vec<_>) =
            ended.partition(|(_, reason)| *reason == EndReason::Removed);
        // The pages of a list are read one after another, so a box that changes meanwhile may be
        // missing from all of them. Only two lists in a row without the box count.
        let removed: HashSet<Incarnation> =
            removed.into_iter().map(|(incarnation, _)| incarnation).collect();
        let missing_twice = removed
            .intersection(&self.missing_from_box_list)
            .map(|incarnation| (incarnation.clone(), EndReason::Removed));
        let ended: Vec<(Incarnation, EndReason)> = ended.into_iter().chain(missing_twice).collect();
        self.missing_from_box_list = removed;
        // All of them are marked unresponsive before the first crash is evaluated: each crash
        // weakens the evidence against the tasks on the others.
        for (incarnation, reason) in &ended {
            self.record_end_reason(incarnation, *reason);
        }
        self.stats.ended_by_box_list += ended.len() as u64;
        for (incarnation, reason) in ended {
            self.mark_ended(&incarnation, reason.as_str());
        }
    }

    fn record_end_reason(&mut self, incarnation: &Incarnation, reason: EndReason) {
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        if reason == EndReason::Ordered {
            // The box was taken down on purpose, so none of its tasks is to blame.
            worker.cordoned = true;
        }
        worker.failed_polls = worker.failed_polls.max(1);
        worker.first_failed_at.get_or_insert_with(clock::now);
    }
}

/// Why a worker's incarnation has ended by the list's entry of its box; `None` if the list does not
/// show that it has.
fn end_reason(worker: &Worker, listed: Option<&&Machine>) -> Option<EndReason> {
    let Some(machine) = listed else {
        return worker.is_unresponsive().then_some(EndReason::Removed);
    };
    match machine.status {
        Status::Moving | Status::Maintenance => Some(EndReason::Ordered),
        Status::Down if machine.pool != worker.entry.service => Some(EndReason::Ordered),
        Status::Down => Some(EndReason::Down),
        Status::Up => {
            let is_replaced =
                machine.worker.as_ref().is_some_and(|id| *id != worker.peer.incarnation.id);
            is_replaced.then_some(EndReason::Replaced)
        }
        Status::Unreadable => None,
    }
}
