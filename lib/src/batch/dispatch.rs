//! Carrying out what a scheduler decides: looks at its workers, starts and stops, in the scheduler's
//! name and with its token.
//!
//! A carrier holds the connections to a share of the workers. It decides nothing: it obeys
//! [`Command`]s and tells what it saw as [`Event`]s, in the order in which it saw it. The scheduler's
//! own node carries in the same way as any other one; on a small site it has the only share.
//!
//! What a carrier may do is bounded by its [`Lease`], so that a scheduler that has given its share to
//! another knows from when on nothing more comes of it.

pub mod lease;
pub mod message;
mod order;
mod poll;
pub mod remote;
mod session;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use spokelift_platform::worker::Caller;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::batch::dispatch::lease::Lease;
use crate::batch::dispatch::message::Command;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::message::OffsetMicros;
use crate::batch::dispatch::session::WorkerSession;
use crate::batch::worker::table::WorkerNumber;
use crate::metrics::Counters;
use crate::transport::clock;

/// What a carrier needs of its node.
#[derive(Clone)]
pub struct Context {
    /// What calls workers.
    pub workers: Caller,
    /// Counters.
    pub counters: Counters,
}

/// Carries out what one scheduler decides about a share of its workers.
pub struct Dispatcher {
    context: Context,
    /// Whether it may act.
    pub lease: Lease,
    started_at: Instant,
    sessions: Mutex<HashMap<WorkerNumber, Arc<WorkerSession>>>,
    /// Never full for long: each worker has one look under way at a time and no more starts than room,
    /// and without a licence there are no looks and no starts.
    events: mpsc::UnboundedSender<Event>,
    cancellation: CancellationToken,
}

impl Dispatcher {
    /// A carrier without workers, and where its events come.
    pub fn start(
        tools: Context,
        license: Lease,
    ) -> (Arc<Dispatcher>, mpsc::UnboundedReceiver<Event>) {
        let (events, told) = mpsc::unbounded_channel();
        let carrier = Dispatcher {
            context: tools,
            lease: license,
            started_at: clock::now(),
            sessions: Mutex::default(),
            events,
            cancellation: CancellationToken::new(),
        };
        (Arc::new(carrier), told)
    }

    /// When it began; its events count their moments from there.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Carries out a command; what becomes of it is told as an event.
    pub fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::AddWorker { number, peer, durable, token, grants } => {
                self.add_worker(number, WorkerSession::new(peer, durable, token, grants));
            }
            Command::Grant { number } => {
                if let Some(charge) = self.session(number) {
                    charge.enable_lease_extension();
                }
            }
            Command::RemoveWorker { number } => self.remove_worker(number),
            Command::AcknowledgeEnds { number, end } => {
                if let Some(charge) = self.session(number) {
                    charge.set_durable_end(end);
                }
            }
            Command::Watch { number, closely } => {
                if let Some(charge) = self.session(number) {
                    charge.state().polls_often = closely;
                }
            }
            Command::Start { spec, starts } => order::start(self, spec, starts),
            Command::Stop { number, task, run } => order::stop(self, number, (task, run)),
            Command::Pace { number, task, run, percent } => {
                order::set_pace(self, number, (task, run), percent);
            }
            Command::End => self.stop(),
        }
    }

    /// Ends all that it does.
    pub fn stop(&self) {
        self.cancellation.cancel();
        self.sessions().clear();
    }

    /// Whether it was ended.
    pub fn is_stopped(&self) -> bool {
        self.cancellation.is_cancelled()
    }

    fn add_worker(self: &Arc<Self>, number: WorkerNumber, charge: WorkerSession) {
        let charge = Arc::new(charge);
        if let Some(before) = self.sessions().insert(number, charge.clone()) {
            before.cancellation.cancel();
        }
        let over = charge.cancellation.clone();
        let looks = poll::poll_worker(self.clone(), number, charge);
        self.spawn(async move {
            over.run_until_cancelled_owned(looks).await;
        });
    }

    fn remove_worker(&self, number: WorkerNumber) {
        if let Some(charge) = self.sessions().remove(&number) {
            charge.cancellation.cancel();
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let over = self.cancellation.clone();
        tokio::spawn(async move { over.run_until_cancelled_owned(task).await });
    }

    fn sessions(&self) -> MutexGuard<'_, HashMap<WorkerNumber, Arc<WorkerSession>>> {
        self.sessions.lock().expect("no holder of the charges panics")
    }

    fn session(&self, number: WorkerNumber) -> Option<Arc<WorkerSession>> {
        self.sessions().get(&number).cloned()
    }

    fn offset_micros(&self, at: Instant) -> OffsetMicros {
        at.saturating_duration_since(self.started_at).as_micros() as OffsetMicros
    }

    fn emit(&self, event: Event) {
        // Once nobody listens, the carrier is about to be ended.
        let _ = self.events.send(event);
    }
}
