//! A share on another node: its workers, what its carrier is yet to be told, and when it is lost.

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

/// How long a carrier may be silent before it is given up: more than three heartbeats. Its workers are
/// not looked at meanwhile, and what ends there is not heard of.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a node may take to say that it carries a share; it does so at once.
const START_TIMEOUT: Duration = Duration::from_millis(500);
/// How late the timers of a carrier may be before its share goes to others: clients of that node would
/// soon wait as well.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(250);
/// Reports in a row that tell of such lateness.
const LATE_REPORT_LIMIT: u32 = 4;

/// A share on another node.
pub(super) struct RemoteShard {
    pub(super) addr: SocketAddr,
    /// Processor of the node, in thousandths of a core.
    pub(super) weight: u32,
    pub(super) workers: HashSet<WorkerNumber>,
    commands: Vec<Command>,
    /// Number of the last message made of commands.
    sequence: u64,
    /// Wakes the task that sends them.
    pub(super) wake: Arc<Notify>,
    /// When something was last heard of it.
    pub(super) received_at: Instant,
    /// When its last report was acknowledged. Its licence runs from when it sent that report, so it is
    /// over a licence's length after this.
    pub(super) acked_at: Option<Instant>,
    /// The moment from which it counts its own, by our clock or later.
    time_base: Option<Instant>,
    /// Number of the last report that was taken; it has workers only after the first one.
    last_report: u64,
    late_reports: u32,
}

/// Why a share is taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Nothing was heard of it for a while.
    Silent,
    /// The node does not carry it any more, or never did.
    Refused,
    /// No connection could be made to the node.
    Gone,
    /// The node has too much to do.
    Late,
}

/// Where a report stands among those of its share.
pub(super) enum ReportOrder {
    /// It is the next one; from when its moments count.
    Next(Instant),
    /// It was taken before.
    Duplicate,
    /// One before it is missing.
    Gap,
}

impl RemoteShard {
    /// A share without workers, whose carrier has said nothing yet.
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

    /// Whether its carrier has said that it carries.
    pub(super) fn is_ready(&self) -> bool {
        self.last_report > 0
    }

    /// Its workers for its node's processor.
    pub(super) fn load(&self) -> f64 {
        self.workers.len() as f64 / f64::from(self.weight)
    }

    /// Adds a command to the next message.
    pub(super) fn push(&mut self, command: Command) {
        match (self.commands.last_mut(), command) {
            // Tasks of one job share its text.
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

    /// Takes the commands as one message; nothing if there are none, but for the first one, which begins
    /// the share.
    pub(super) fn next_commands(&mut self, session: Session, own: SocketAddr) -> Option<Commands> {
        if self.commands.is_empty() && self.sequence > 0 {
            return None;
        }
        self.sequence += 1;
        let commands = std::mem::take(&mut self.commands);
        Some(Commands { scheduler: own, session, sequence: self.sequence, commands })
    }

    /// The message that ends the share, in place of all that its carrier was to be told.
    pub(super) fn final_commands(&mut self, session: Session, own: SocketAddr) -> Commands {
        self.commands.clear();
        self.sequence += 1;
        let commands = vec![Command::End];
        Commands { scheduler: own, session, sequence: self.sequence, commands }
    }

    /// Takes in that a report has come. Each counts once, in its order.
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

    /// Why the share is to be taken back, if so.
    pub(super) fn loss_reason(&self, now: Instant) -> Option<Lost> {
        let patience = if self.is_ready() { SILENCE_TIMEOUT } else { START_TIMEOUT };
        if now.saturating_duration_since(self.received_at) > patience {
            return Some(Lost::Silent);
        }
        (self.late_reports >= LATE_REPORT_LIMIT).then_some(Lost::Late)
    }
}

/// A moment so many microseconds before another, or as early as the clock can tell.
fn earlier_by(now: Instant, moment: OffsetMicros) -> Instant {
    now.checked_sub(Duration::from_micros(moment)).unwrap_or(now)
}
