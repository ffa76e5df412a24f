//! Dispatches for a scheduler on another node: its commands come as requests, and events are sent back in reports,
//! many in each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Token;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::dispatch::Context;
use crate::batch::dispatch::Dispatcher;
use crate::batch::dispatch::lease::Lease;
use crate::batch::dispatch::message::Command;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::message::OffsetMicros;
use crate::batch::peer::Peers;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::transport::clock;

/// Events within this time are sent to the scheduler in one report. A report costs the scheduler about as much as one
/// answer of a worker does, and tasks run for half a second and more.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two reports; each one that is acknowledged extends the dispatch lease.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of events in a report.
const MAX_EVENTS: usize = 4_096;
/// Delay after a report that was not acknowledged.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// How long a scheduler may be unreachable before its dispatcher stops: well beyond the dispatch lease, so that a
/// scheduler that is reachable again in time keeps its dispatcher.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Identifies the session of one scheduler with one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    /// Fencing token of the scheduler.
    pub token: Token,
    /// Number of the shard; each new shard of a scheduler gets a higher one.
    #[serde(rename = "share")]
    pub shard: u64,
}

/// Commands of a scheduler to a dispatcher on another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    /// Where the scheduler receives reports.
    pub scheduler: SocketAddr,
    /// Session that the message belongs to.
    pub session: Session,
    /// Number of this message, from 1.
    pub sequence: u64,
    /// The commands, to be executed in this order.
    pub commands: Vec<Command>,
}

/// Report of a dispatcher to a scheduler on another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Session that the message belongs to.
    pub session: Session,
    /// Number of this message, from 1.
    pub sequence: u64,
    /// When it was made.
    pub made_at: OffsetMicros,
    /// How late the timers of the dispatcher are, in milliseconds.
    pub late_ms: u64,
    /// What was observed, in this order.
    pub events: Vec<Event>,
}

/// The dispatcher of a node for a scheduler on another node. There is at most one: that of the latest scheduler.
#[derive(Default)]
pub struct RemoteDispatch {
    current: Mutex<Option<Current>>,
}

struct Current {
    session: Session,
    /// Number of the last message that was accepted.
    sequence: u64,
    dispatcher: Arc<Dispatcher>,
}

impl RemoteDispatch {
    /// Executes the commands of a scheduler's message; `false` if its shard is not, or no longer, dispatched here.
    ///
    /// A duplicate message is executed once. A message is refused if one before it is missing, or if its shard has
    /// ended.
    pub fn take_commands(&self, context: &Context, peers: &Peers, commands: Commands) -> bool {
        let mut current =
            self.current.lock().expect("no thread panics while it holds the session lock");
        if commands.sequence == 1
            && current.as_ref().is_none_or(|old| old.session < commands.session)
        {
            if let Some(old) = current.take() {
                old.dispatcher.stop();
            }
            let dispatcher = start_dispatcher(context, peers, commands.scheduler, commands.session);
            *current = Some(Current { session: commands.session, sequence: 0, dispatcher });
        }
        let Some(current) = current.as_mut().filter(|known| known.session == commands.session)
        else {
            return false;
        };
        if commands.sequence <= current.sequence {
            return true;
        }
        if commands.sequence != current.sequence + 1 || current.dispatcher.is_stopped() {
            // A scheduler that is refused reassigns the shard, so this node must not act for it any more.
            current.dispatcher.stop();
            return false;
        }
        current.sequence = commands.sequence;
        for command in commands.commands {
            current.dispatcher.execute(command);
        }
        true
    }

    /// Stops the dispatcher when the node stops.
    pub fn stop(&self) {
        if let Some(current) =
            &*self.current.lock().expect("no thread panics while it holds the session lock")
        {
            current.dispatcher.stop();
        }
    }
}

fn start_dispatcher(
    context: &Context,
    peers: &Peers,
    scheduler: SocketAddr,
    session: Session,
) -> Arc<Dispatcher> {
    let (dispatcher, events) = Dispatcher::start(context.clone(), Lease::default());
    let addr = scheduler.to_string();
    log::info!(scheduler = addr.as_str(), token = session.token, share = session.shard; "dispatcher started");
    context.counters.count("batch.carry.begun");
    let uplink = Uplink { peers: peers.clone(), scheduler, session };
    tokio::spawn(send_reports(uplink, dispatcher.clone(), events));
    dispatcher
}

/// The connection of a dispatcher to its scheduler.
struct Uplink {
    peers: Peers,
    scheduler: SocketAddr,
    session: Session,
}

/// Sends reports to the scheduler until it refuses one, or is unreachable for [`SCHEDULER_TIMEOUT`].
async fn send_reports(
    uplink: Uplink,
    dispatcher: Arc<Dispatcher>,
    mut events: mpsc::UnboundedReceiver<Event>,
) {
    let mut sequence = 0;
    let mut timer_delay = Duration::ZERO;
    while !dispatcher.is_stopped() {
        // The first report is sent at once: it shows that the dispatcher is ready, and its acknowledgement extends
        // the lease.
        let gathered = match sequence {
            0 => Vec::new(),
            _ => gather_events(&mut events, &mut timer_delay).await,
        };
        sequence += 1;
        let report = Report {
            session: uplink.session,
            sequence,
            made_at: dispatcher.offset_micros(clock::now()),
            late_ms: timer_delay.as_millis() as u64,
            events: gathered,
        };
        if !deliver_report(&uplink, &dispatcher, report).await {
            break;
        }
    }
    dispatcher.stop();
    log::info!(token = uplink.session.token, share = uplink.session.shard; "dispatcher stopped");
}

/// Waits for events and then gathers more of them for [`REPORT_DELAY`]; returns none if there are none until the next
/// heartbeat.
async fn gather_events(
    events: &mut mpsc::UnboundedReceiver<Event>,
    timer_delay: &mut Duration,
) -> Vec<Event> {
    let mut gathered = Vec::new();
    // A heartbeat is a report without events.
    let _ = timeout(HEARTBEAT_INTERVAL, events.recv_many(&mut gathered, MAX_EVENTS)).await;
    if gathered.is_empty() {
        return gathered;
    }
    let started_at = clock::now();
    sleep(REPORT_DELAY).await;
    *timer_delay = (*timer_delay - *timer_delay / 4)
        .max(clock::since(started_at).saturating_sub(REPORT_DELAY));
    while gathered.len() < MAX_EVENTS
        && let Ok(event) = events.try_recv()
    {
        gathered.push(event);
    }
    gathered
}

/// Sends a report until it is acknowledged; `false` if the shard has ended or the scheduler is unreachable for too
/// long.
async fn deliver_report(uplink: &Uplink, dispatcher: &Dispatcher, report: Report) -> bool {
    let started_at = clock::now();
    while !dispatcher.is_stopped() && clock::since(started_at) < SCHEDULER_TIMEOUT {
        let sent = clock::now();
        let request = Request::Report(Box::new(report.clone()));
        match uplink.peers.ask_once(uplink.scheduler, request).await {
            Ok(Reply::Reported(valid_for)) => {
                dispatcher.lease.extend_until(sent + valid_for);
                return true;
            }
            Ok(_) => return false,
            Err(error) => {
                dispatcher.context.counters.count("batch.carry.report-unanswered");
                log::debug!("sending a report to the scheduler failed: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    false
}
