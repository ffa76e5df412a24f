//! Applies the events of dispatchers to the cell.

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

/// Maximum number of events that are applied at once.
const MAX_EVENTS: usize = 1_024;

/// Applies the events of this node's own dispatcher until the scheduler stops. Their offsets count from `time_base`.
pub(super) async fn consume_own_events(
    scheduler: Arc<Scheduler>,
    time_base: Instant,
    mut events: mpsc::UnboundedReceiver<Event>,
) {
    let mut gathered = Vec::new();
    while events.recv_many(&mut gathered, MAX_EVENTS).await > 0 {
        apply_events(&scheduler, OWN_SHARD, time_base, std::mem::take(&mut gathered));
    }
}

/// Applies a report of a dispatcher on another node. The dispatcher may act no longer than this scheduler may itself.
pub(super) fn take_report(scheduler: &Scheduler, report: Report) -> Reply {
    let shard = report.session.shard;
    match scheduler.shards.take_report(report, clock::now()) {
        ReportOutcome::New(received) => {
            apply_events(scheduler, shard, received.time_base, received.report.events)
        }
        ReportOutcome::Duplicate => {}
        ReportOutcome::Stale => return Reply::NotReady,
    }
    Reply::Reported(scheduler.shards.dispatch_lease(clock::now()))
}

fn apply_events(scheduler: &Scheduler, shard: ShardId, time_base: Instant, events: Vec<Event>) {
    if events.is_empty() {
        return;
    }
    let numbers = events.iter().map(number_of);
    let current = scheduler.shards.in_shard(shard, numbers);
    let mut cell = scheduler.cell();
    for event in events {
        apply_event(&mut cell, &current, time_base, event);
    }
    drop(cell);
    scheduler.wake();
}

fn number_of(event: &Event) -> WorkerNumber {
    match event {
        Event::Polled { number, .. }
        | Event::PolledPartly { number, .. }
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

/// Applies an event, unless its worker is not among `current`, those that its shard still has.
fn apply_event(cell: &mut Cell, current: &HashSet<WorkerNumber>, time_base: Instant, event: Event) {
    let number = number_of(&event);
    if !current.contains(&number) {
        return;
    }
    let Some(incarnation) = cell.workers.incarnation_of(number).cloned() else { return };
    let incarnation = &incarnation;
    let now = clock::now();
    let instant = |offset: OffsetMicros| time_base + Duration::from_micros(offset);
    match event {
        Event::Polled { sent, at, lease_until, response, .. } => {
            cell.record_lease(incarnation, lease_until);
            cell.on_poll(incarnation, instant(sent), instant(at), response);
        }
        Event::PolledPartly { sent, at, lease_until, response, .. } => {
            cell.record_lease(incarnation, lease_until);
            cell.on_partial_poll(incarnation, instant(sent), instant(at), response);
        }
        Event::PollFailed { lease_until, .. } => {
            cell.record_lease(incarnation, lease_until);
            cell.on_failed_poll(incarnation);
        }
        Event::Fenced { token, .. } => cell.on_fenced(incarnation, token),
        Event::OtherId { .. } => {
            cell.mark_ended(incarnation, "another worker answers at its address")
        }
        Event::OtherIncarnation { birth_ms, .. } => {
            cell.on_other_incarnation(incarnation, birth_ms, now)
        }
        Event::ClockMismatch { .. } => cell.on_clock_mismatch(incarnation, now),
        Event::Started { task, run, at, .. } => {
            cell.on_started(incarnation, task, run, instant(at))
        }
        Event::NotStarted { task, run, why, .. } => {
            cell.on_refused(incarnation, task, run, why, now)
        }
        Event::StartUnanswered { task, run, .. } => cell.on_unanswered(incarnation, task, run, now),
        Event::Stopped { task, run, at, .. } => {
            cell.on_stopped(incarnation, task, run, instant(at))
        }
    }
}
