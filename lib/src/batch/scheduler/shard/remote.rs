//! A shard on another node: its workers, the commands that are yet to be sent, and when its dispatcher is lost.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::batch::dispatch::message::Command;
use crate::batch::dispatch::message::OffsetMicros;
use crate::batch::dispatch::remote::Commands;
use crate::batch::dispatch::remote::Report;
use crate::batch::dispatch::remote::Session;
use crate::batch::worker::table::WorkerNumber;

/// How long a dispatcher may send no report before its shard is reclaimed: more than three heartbeats. Meanwhile its
/// workers may not be polled, and no ends of runs are received from them.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the first report of a dispatcher may take; it is sent at once.
const START_TIMEOUT: Duration = Duration::from_millis(500);
/// How late the timers of a dispatcher may be before its shard is reclaimed: the clients of that node would soon wait
/// as well.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Consecutive reports with such a delay after which the shard is reclaimed.
const LATE_REPORT_LIMIT: u32 = 4;

/// A shard on another node.
pub(super) struct RemoteShard {
    pub(super) addr: SocketAddr,
    /// CPU of the node, in thousandths of a core; at least 1.
    pub(super) weight: u32,
    pub(super) workers: HashSet<WorkerNumber>,
    commands: Vec<Command>,
    /// Sequence number of the last message of commands.
    sequence: u64,
    /// Wakes the task that sends the commands.
    pub(super) wake: Arc<Notify>,
    /// When the last report came, or when the shard was started; moved on by delays of this node itself.
    pub(super) received_at: Instant,
    /// When its last report was acknowledged. Its dispatch lease counts from when it sent that report, so it has
    /// expired one lease after this.
    pub(super) acked_at: Option<Instant>,
    /// The time that its offsets count from, by the clock of this node: when it started, or somewhat later.
    time_base: Option<Instant>,
    /// Sequence number of the last accepted report; the shard gets workers only after the first one.
    last_report: u64,
    late_reports: u32,
}

/// Why a shard is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// No report has come for too long.
    Silent,
    /// The node refuses commands: it does not have the shard any more, or never had.
    Refused,
    /// No connection could be made to the node.
    Gone,
    /// The timers of the node are late: it is overloaded.
    Late,
}

/// The position of a report among those of its shard.
pub(super) enum ReportOrder {
    /// It is the next one; the time that its offsets count from.
    Next(Instant),
    /// It was accepted before.
    Duplicate,
    /// A report before it is missing.
    Gap,
}

impl RemoteShard {
    /// Creates a shard without workers, whose dispatcher has not reported yet.
    pub(super) fn new(
        addr: SocketAddr,
        weight: u32,
        wake: Arc<Notify>,
        now: Instant,
    ) -> RemoteShard {
        RemoteShard {
            addr,
            weight: weight.max(1),
            workers: HashSet::new(),
            commands: Vec::new(),
            sequence: 0,
            wake,
            received_at: now,
            acked_at: None,
            time_base: None,
            last_report: 0,
            late_reports: 0,
        }
    }

    /// Whether its dispatcher has reported.
    pub(super) fn is_ready(&self) -> bool {
        self.last_report > 0
    }

    /// Number of its workers per unit of CPU.
    pub(super) fn load(&self) -> f64 {
        self.workers.len() as f64 / f64::from(self.weight)
    }

    /// Adds a command to the next message.
    pub(super) fn push(&mut self, command: Command) {
        match (self.commands.last_mut(), command) {
            // Starts of one job are sent together with its text.
            (
                Some(Command::Start { spec, starts }),
                Command::Start { spec: other, starts: more },
            ) if *spec == other
                && starts.last().map(|start| start.task.job)
                    == more.first().map(|start| start.task.job) =>
            {
                starts.extend(more);
            }
            (_, command) => self.commands.push(command),
        }
        self.wake.notify_one();
    }

    /// Takes the pending commands as one message; `None` if there are none, unless it is the first message, which
    /// starts the shard.
    pub(super) fn next_commands(
        &mut self,
        session: Session,
        scheduler: SocketAddr,
    ) -> Option<Commands> {
        if self.commands.is_empty() && self.sequence > 0 {
            return None;
        }
        self.sequence += 1;
        let commands = std::mem::take(&mut self.commands);
        Some(Commands { scheduler, session, sequence: self.sequence, commands })
    }

    /// The message that ends the shard, in place of all pending commands.
    pub(super) fn final_commands(&mut self, session: Session, scheduler: SocketAddr) -> Commands {
        self.commands.clear();
        self.sequence += 1;
        let commands = vec![Command::End];
        Commands { scheduler, session, sequence: self.sequence, commands }
    }

    /// Records that a report has come. Reports are accepted once each, in order.
    pub(super) fn take_report(&mut self, report: &Report, now: Instant) -> ReportOrder {
        if report.sequence > self.last_report + 1 {
            return ReportOrder::Gap;
        }
        self.received_at = now;
        self.acked_at = Some(now);
        if report.sequence <= self.last_report {
            return ReportOrder::Duplicate;
        }
        self.last_report = report.sequence;
        let is_late = Duration::from_millis(report.late_ms) > MAX_TIMER_DELAY;
        self.late_reports = if is_late { self.late_reports + 1 } else { 0 };
        ReportOrder::Next(*self.time_base.get_or_insert_with(|| earlier_by(now, report.made_at)))
    }

    /// Why the shard is to be reclaimed; `None` if it is not.
    pub(super) fn loss_reason(&self, now: Instant) -> Option<Lost> {
        let report_limit = if self.is_ready() { REPORT_TIMEOUT } else { START_TIMEOUT };
        if now.saturating_duration_since(self.received_at) > report_limit {
            return Some(Lost::Silent);
        }
        (self.late_reports >= LATE_REPORT_LIMIT).then_some(Lost::Late)
    }
}

/// The time so many microseconds before `now`; `now` if the clock cannot represent that.
fn earlier_by(now: Instant, offset: OffsetMicros) -> Instant {
    now.checked_sub(Duration::from_micros(offset)).unwrap_or(now)
}
