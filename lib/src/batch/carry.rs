//! Carrying out what a scheduler decides: looks at its workers, starts and stops, in the scheduler's
//! name and with its token.
//!
//! A carrier holds the connections to a share of the workers. It decides nothing: it obeys
//! [`Command`]s and tells what it saw as [`Event`]s, in the order in which it saw it. The scheduler's
//! own node carries in the same way as any other one; on a small site it has the only share.
//!
//! What a carrier may do is bounded by its [`License`], so that a scheduler that has given its share to
//! another knows from when on nothing more comes of it.

mod charge;
pub mod license;
mod look;
pub mod message;
mod order;
pub mod remote;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use spokelift_platform::worker::Caller;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::batch::carry::charge::Charge;
use crate::batch::carry::license::License;
use crate::batch::carry::message::Command;
use crate::batch::carry::message::Event;
use crate::batch::carry::message::Moment;
use crate::batch::worker::table::Number;
use crate::metrics::Counters;
use crate::transport::clock;

/// What a carrier needs of its node.
#[derive(Clone)]
pub struct Tools {
    /// What calls workers.
    pub workers: Caller,
    /// Counters.
    pub counters: Counters,
}

/// Carries out what one scheduler decides about a share of its workers.
pub struct Carrier {
    tools: Tools,
    /// Whether it may act.
    pub license: License,
    began_at: Instant,
    charges: Mutex<HashMap<Number, Arc<Charge>>>,
    /// Never full for long: each worker has one look under way at a time and no more starts than room,
    /// and without a licence there are no looks and no starts.
    events: mpsc::UnboundedSender<Event>,
    over: CancellationToken,
}

impl Carrier {
    /// A carrier without workers, and where its events come.
    pub fn begin(tools: Tools, license: License) -> (Arc<Carrier>, mpsc::UnboundedReceiver<Event>) {
        let (events, told) = mpsc::unbounded_channel();
        let carrier = Carrier {
            tools,
            license,
            began_at: clock::now(),
            charges: Mutex::default(),
            events,
            over: CancellationToken::new(),
        };
        (Arc::new(carrier), told)
    }

    /// When it began; its events count their moments from there.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// Carries out a command; what becomes of it is told as an event.
    pub fn obey(self: &Arc<Self>, command: Command) {
        match command {
            Command::Take { number, peer, durable, token, grants } => {
                self.take(number, Charge::new(peer, durable, token, grants));
            }
            Command::Grant { number } => {
                if let Some(charge) = self.charge(number) {
                    charge.set_granting();
                }
            }
            Command::Leave { number } => self.leave(number),
            Command::Durable { number, end } => {
                if let Some(charge) = self.charge(number) {
                    charge.set_durable(end);
                }
            }
            Command::Watch { number, closely } => {
                if let Some(charge) = self.charge(number) {
                    charge.state().closely = closely;
                }
            }
            Command::Start { spec, starts } => order::start(self, spec, starts),
            Command::Stop { number, task, run } => order::stop(self, number, (task, run)),
            Command::Pace { number, task, run, percent } => {
                order::pace(self, number, (task, run), percent);
            }
            Command::End => self.end(),
        }
    }

    /// Ends all that it does.
    pub fn end(&self) {
        self.over.cancel();
        self.charges().clear();
    }

    /// Whether it was ended.
    pub fn is_over(&self) -> bool {
        self.over.is_cancelled()
    }

    fn take(self: &Arc<Self>, number: Number, charge: Charge) {
        let charge = Arc::new(charge);
        if let Some(before) = self.charges().insert(number, charge.clone()) {
            before.over.cancel();
        }
        let over = charge.over.clone();
        let looks = look::look(self.clone(), number, charge);
        self.spawn(async move {
            over.run_until_cancelled_owned(looks).await;
        });
    }

    fn leave(&self, number: Number) {
        if let Some(charge) = self.charges().remove(&number) {
            charge.over.cancel();
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let over = self.over.clone();
        tokio::spawn(async move { over.run_until_cancelled_owned(task).await });
    }

    fn charges(&self) -> MutexGuard<'_, HashMap<Number, Arc<Charge>>> {
        self.charges.lock().expect("no holder of the charges panics")
    }

    fn charge(&self, number: Number) -> Option<Arc<Charge>> {
        self.charges().get(&number).cloned()
    }

    fn moment(&self, at: Instant) -> Moment {
        at.saturating_duration_since(self.began_at).as_micros() as Moment
    }

    fn tell(&self, event: Event) {
        // Once nobody listens, the carrier is about to be ended.
        let _ = self.events.send(event);
    }
}
