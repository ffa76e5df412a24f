//! What carriers saw is taken into the cell.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::batch::cell::Cell;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::message::OffsetMicros;
use crate::batch::dispatch::remote::Report;
use crate::batch::peer::Reply;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::shard::OWN_SHARD;
use crate::batch::scheduler::shard::ReportOutcome;
use crate::batch::scheduler::shard::ShardId;
use crate::batch::worker::table::WorkerNumber;
use crate::transport::clock;

/// Most events that are taken in at once.
const MAX_EVENTS: usize = 1_024;

/// Takes in what this node's own carrier saw, as long as the scheduler lasts.
pub(super) async fn consume_own_events(
    scheduler: Arc<Scheduler>,
    base: Instant,
    mut events: mpsc::UnboundedReceiver<Event>,
) {
    let mut gathered = Vec::new();
    while events.recv_many(&mut gathered, MAX_EVENTS).await > 0 {
        apply_events(&scheduler, OWN_SHARD, base, std::mem::take(&mut gathered));
    }
}

/// Takes in a report of another node.
pub(super) fn take_report(scheduler: &Scheduler, report: Report) -> Reply {
    let share = report.session.shard;
    match scheduler.shards.take_report(report, clock::now()) {
        ReportOutcome::New(told) => {
            apply_events(scheduler, share, told.time_base, told.report.events)
        }
        ReportOutcome::Duplicate => {}
        ReportOutcome::Stale => return Reply::NotReady,
    }
    Reply::Done
}

fn apply_events(scheduler: &Scheduler, share: ShardId, base: Instant, events: Vec<Event>) {
    if events.is_empty() {
        return;
    }
    let numbers = events.iter().map(number_of);
    let current = scheduler.shards.in_shard(share, numbers);
    let mut cell = scheduler.cell();
    for event in events {
        apply_event(&mut cell, &current, base, event);
    }
    drop(cell);
    scheduler.wake();
}

fn number_of(event: &Event) -> WorkerNumber {
    match event {
        Event::Polled { number, .. }
        | Event::PollFailed { number, .. }
        | Event::OtherId { number }
        | Event::OtherIncarnation { number, .. }
        | Event::Fenced { number, .. }
        | Event::ClockMismatch { number }
        | Event::Started { number, .. }
        | Event::NotStarted { number, .. }
        | Event::StartUnanswered { number, .. }
        | Event::Stopped { number, .. } => *number,
    }
}

/// Takes in an event, unless it is of a worker that another carrier has by now.
fn apply_event(cell: &mut Cell, current: &HashSet<WorkerNumber>, base: Instant, event: Event) {
    let number = number_of(&event);
    if !current.contains(&number) {
        return;
    }
    let Some(life) = cell.workers.incarnation_of(number).cloned() else { return };
    let life = &life;
    let now = clock::now();
    let instant = |moment: OffsetMicros| base + Duration::from_micros(moment);
    match event {
        Event::Polled { sent, at, lease_until, seen, .. } => {
            cell.record_lease(life, lease_until);
            cell.on_poll(life, instant(sent), instant(at), seen);
        }
        Event::PollFailed { lease_until, .. } => {
            cell.record_lease(life, lease_until);
            cell.on_failed_poll(life);
        }
        Event::Fenced { token, .. } => cell.on_fenced(life, token),
        Event::OtherId { .. } => cell.mark_ended(life, "another worker answers at its address"),
        Event::OtherIncarnation { born, .. } => cell.on_other_incarnation(life, born, now),
        Event::ClockMismatch { .. } => cell.on_off_clock(life, now),
        Event::Started { task, run, at, .. } => cell.on_started(life, task, run, instant(at)),
        Event::NotStarted { task, run, why, .. } => cell.on_refused(life, task, run, why, now),
        Event::StartUnanswered { task, run, .. } => cell.on_unanswered(life, task, run, now),
        Event::Stopped { task, run, at, .. } => cell.on_stopped(life, task, run, instant(at)),
    }
}
