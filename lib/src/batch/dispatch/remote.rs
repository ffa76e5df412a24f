//! Carrying for a scheduler on another node: its commands come as requests, and what was seen goes back
//! in reports, many events in each.

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

/// Events within this time go to the scheduler in one report. A report costs the scheduler about as
/// much as one answer of a worker does, and tasks run for half a second and more.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// Longest time between two reports; each one acknowledged extends the licence.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Most events in a report.
const MAX_EVENTS: usize = 4_096;
/// Pause after a report that was not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// How long a scheduler may be out of reach before its carrier ends: well beyond the licence, so that
/// one which comes back in time goes on with what it has.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Names one share of one scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Session {
    /// The scheduler.
    pub token: Token,
    /// Number of the share; it rises with each one dealt out.
    #[serde(rename = "share")]
    pub shard: u64,
}

/// What a scheduler asks of a carrier on another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    /// Where the scheduler takes reports.
    pub scheduler: SocketAddr,
    /// The share.
    pub session: Session,
    /// Number of this message, from 1.
    pub sequence: u64,
    /// What is to be done, in this order.
    pub commands: Vec<Command>,
}

/// What a carrier tells a scheduler on another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The share.
    pub session: Session,
    /// Number of this message, from 1.
    pub sequence: u64,
    /// When it was made.
    pub made_at: OffsetMicros,
    /// How late the carrier's own timers are, in milliseconds.
    pub late_ms: u64,
    /// What was seen, in this order.
    pub events: Vec<Event>,
}

/// The share that a node carries for another one. There is at most one: that of the latest scheduler.
#[derive(Default)]
pub struct RemoteDispatch {
    current: Mutex<Option<Current>>,
}

struct Current {
    session: Session,
    /// Number of the last message that was taken.
    sequence: u64,
    dispatcher: Arc<Dispatcher>,
}

impl RemoteDispatch {
    /// Takes a scheduler's message; `false` if the share is not carried here, or no longer.
    ///
    /// A message that comes twice is taken once. One that comes too early is refused, since what came
    /// before it is lost; so is one of a share that has ended.
    pub fn take_commands(&self, tools: &Context, peers: &Peers, errand: Commands) -> bool {
        let mut current = self.current.lock().expect("no holder of the share panics");
        if errand.sequence == 1 && current.as_ref().is_none_or(|old| old.session < errand.session) {
            if let Some(old) = current.take() {
                old.dispatcher.stop();
            }
            let carrier = start_dispatcher(tools, peers, errand.scheduler, errand.session);
            *current = Some(Current { session: errand.session, sequence: 0, dispatcher: carrier });
        }
        let Some(current) = current.as_mut().filter(|known| known.session == errand.session) else {
            return false;
        };
        if errand.sequence <= current.sequence {
            return true;
        }
        if errand.sequence != current.sequence + 1 || current.dispatcher.is_stopped() {
            // Whoever is refused gives the share to another node, so nothing more may be done here.
            current.dispatcher.stop();
            return false;
        }
        current.sequence = errand.sequence;
        for command in errand.commands {
            current.dispatcher.execute(command);
        }
        true
    }

    /// Ends what is carried, as the node stops.
    pub fn stop(&self) {
        if let Some(current) = &*self.current.lock().expect("no holder of the share panics") {
            current.dispatcher.stop();
        }
    }
}

fn start_dispatcher(
    tools: &Context,
    peers: &Peers,
    scheduler: SocketAddr,
    session: Session,
) -> Arc<Dispatcher> {
    let (carrier, events) = Dispatcher::start(tools.clone(), Lease::bounded());
    let addr = scheduler.to_string();
    log::info!(scheduler = addr.as_str(), token = session.token, share = session.shard; "carries a share");
    tools.counters.count("batch.carry.begun");
    let line = Uplink { peers: peers.clone(), scheduler, session };
    tokio::spawn(send_reports(line, carrier.clone(), events));
    carrier
}

/// The way to the scheduler.
struct Uplink {
    peers: Peers,
    scheduler: SocketAddr,
    session: Session,
}

/// Tells the scheduler what was seen until it wants no more, or is out of reach for too long.
async fn send_reports(
    line: Uplink,
    carrier: Arc<Dispatcher>,
    mut events: mpsc::UnboundedReceiver<Event>,
) {
    let mut sequence = 0;
    let mut late = Duration::ZERO;
    while !carrier.is_stopped() {
        // The first one says at once that the share is carried, and asks for the licence.
        let gathered = match sequence {
            0 => Vec::new(),
            _ => gather_events(&mut events, &mut late).await,
        };
        sequence += 1;
        let report = Report {
            session: line.session,
            sequence,
            made_at: carrier.offset_micros(clock::now()),
            late_ms: late.as_millis() as u64,
            events: gathered,
        };
        if !deliver_report(&line, &carrier, report).await {
            break;
        }
    }
    carrier.stop();
    log::info!(token = line.session.token, share = line.session.shard; "carries the share no more");
}

/// Waits for events, for a moment more of them, or for the next heartbeat.
async fn gather_events(
    events: &mut mpsc::UnboundedReceiver<Event>,
    late: &mut Duration,
) -> Vec<Event> {
    let mut gathered = Vec::new();
    // A heartbeat without events is a report as well.
    let _ = timeout(HEARTBEAT_INTERVAL, events.recv_many(&mut gathered, MAX_EVENTS)).await;
    if gathered.is_empty() {
        return gathered;
    }
    let begun = clock::now();
    sleep(REPORT_DELAY).await;
    *late = (*late - *late / 4).max(clock::since(begun).saturating_sub(REPORT_DELAY));
    while gathered.len() < MAX_EVENTS
        && let Ok(event) = events.try_recv()
    {
        gathered.push(event);
    }
    gathered
}

/// Sends a report until it is acknowledged; `false` if the share is over.
async fn deliver_report(line: &Uplink, carrier: &Dispatcher, report: Report) -> bool {
    let begun = clock::now();
    while !carrier.is_stopped() && clock::since(begun) < SCHEDULER_TIMEOUT {
        let sent = clock::now();
        let request = Request::Report(Box::new(report.clone()));
        match line.peers.ask_once(line.scheduler, request).await {
            Ok(Reply::Done) => {
                carrier.lease.extend(sent);
                return true;
            }
            Ok(_) => return false,
            Err(error) => {
                carrier.context.counters.count("batch.carry.report-unanswered");
                log::debug!("the scheduler does not take a report: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    false
}
