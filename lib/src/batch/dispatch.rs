//! Carries out what a scheduler decides: polls its workers, and starts and stops tasks there with its fencing token.
//!
//! A dispatcher holds the connections to the workers of one shard. It decides nothing: it executes [`Command`]s and
//! reports what it observes as [`Event`]s, in the order in which it observes them. The scheduler's own node dispatches
//! in the same way as any other node; on a small site it has the only shard.
//!
//! A dispatcher may act only while its [`Lease`] is valid, so that a scheduler that has assigned the shard to another
//! node knows when the dispatcher has stopped acting.

pub mod calls;
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

use spokelift_platform::call::CallError;
use spokelift_platform::worker::WorkerClient;
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

/// What a dispatcher uses of its node.
#[derive(Clone)]
pub struct Context {
    /// Client for calls to workers.
    pub workers: WorkerClient,
    /// Metrics counters of the node.
    pub counters: Counters,
}

/// Carries out the commands of one scheduler for the workers of one shard.
pub struct Dispatcher {
    context: Context,
    /// Until when it may act.
    pub lease: Lease,
    started_at: Instant,
    sessions: Mutex<HashMap<WorkerNumber, Arc<WorkerSession>>>,
    /// Unbounded, but it stays short: each worker has one poll in flight at a time and no more starts than it has
    /// resources for, and without a valid lease there are no polls and no starts.
    events: mpsc::UnboundedSender<Event>,
    cancellation: CancellationToken,
}

impl Dispatcher {
    /// Creates a dispatcher without workers; returns it with the receiver of its events.
    pub fn start(
        context: Context,
        lease: Lease,
    ) -> (Arc<Dispatcher>, mpsc::UnboundedReceiver<Event>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let dispatcher = Dispatcher {
            context,
            lease,
            started_at: clock::now(),
            sessions: Mutex::default(),
            events,
            cancellation: CancellationToken::new(),
        };
        (Arc::new(dispatcher), receiver)
    }

    /// When it was started; the offsets in its events count from there.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Carries out a command; its outcome is reported as an event.
    pub fn execute(self: &Arc<Self>, command: Command) {
        match command {
            Command::AddWorker { number, peer, durable_end, token, renews_lease } => {
                self.add_worker(number, WorkerSession::new(peer, durable_end, token, renews_lease));
            }
            Command::Grant { number } => {
                if let Some(session) = self.session(number) {
                    session.enable_lease_renewal();
                }
            }
            Command::RemoveWorker { number } => self.remove_worker(number),
            Command::AcknowledgeEnds { number, end } => {
                if let Some(session) = self.session(number) {
                    session.set_durable_end(end);
                }
            }
            Command::SetPollRate { number, fast } => {
                if let Some(session) = self.session(number) {
                    session.state().fast_polling = fast;
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

    /// Stops all its tasks and drops all workers.
    pub fn stop(&self) {
        self.cancellation.cancel();
        let sessions = std::mem::take(&mut *self.sessions());
        sessions.values().for_each(|session| self.end_session(session));
    }

    /// Whether it was stopped.
    pub fn is_stopped(&self) -> bool {
        self.cancellation.is_cancelled()
    }

    fn add_worker(self: &Arc<Self>, number: WorkerNumber, session: WorkerSession) {
        let session = Arc::new(session);
        if let Some(previous) = self.sessions().insert(number, session.clone()) {
            self.end_session(&previous);
        }
        let cancellation = session.cancellation.clone();
        let polls = poll::poll_worker(self.clone(), number, session);
        self.spawn(async move {
            cancellation.run_until_cancelled_owned(polls).await;
        });
    }

    fn remove_worker(&self, number: WorkerNumber) {
        if let Some(session) = self.sessions().remove(&number) {
            self.end_session(&session);
        }
    }

    /// Ends the calls of a session and closes its connections, which count among those that the
    /// worker accepts.
    fn end_session(&self, session: &WorkerSession) {
        session.cancellation.cancel();
        self.context.workers.close_idle(&session.peer);
    }

    /// Records that a call to a worker failed.
    fn record_error(&self, session: &WorkerSession, error: &CallError) {
        if error.is_rejected_connection() && session.calls.record_rejection() {
            self.context.counters.count("batch.worker.connections-exhausted");
            log::warn!(
                worker:% = session.peer.incarnation;
                "worker rejects new connections, calls share one"
            );
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancellation = self.cancellation.clone();
        tokio::spawn(async move { cancellation.run_until_cancelled_owned(task).await });
    }

    fn sessions(&self) -> MutexGuard<'_, HashMap<WorkerNumber, Arc<WorkerSession>>> {
        self.sessions.lock().expect("no thread panics while it holds the sessions lock")
    }

    fn session(&self, number: WorkerNumber) -> Option<Arc<WorkerSession>> {
        self.sessions().get(&number).cloned()
    }

    fn offset_micros(&self, at: Instant) -> OffsetMicros {
        at.saturating_duration_since(self.started_at).as_micros() as OffsetMicros
    }

    fn emit(&self, event: Event) {
        // Without a receiver the dispatcher is about to be stopped.
        let _ = self.events.send(event);
    }
}
