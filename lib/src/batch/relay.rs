//! Reaching the platform's store: directly, or through another node while the store turns this one
//! away.
//!
//! A call that is passed on may be done twice or late, like a call that is sent again. Every append
//! bears that: it has a condition on the topic's end, the number of its producer, or says the same
//! thing twice.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Appended;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Newest;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Page;
use spokelift_platform::store::Partition;
use spokelift_platform::store::Record;
use spokelift_platform::store::Store;

use tokio::time::timeout;

use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::PeerError;
use crate::batch::peer::Reply;
use crate::transport::clock;
use crate::transport::dial::ExchangeError;

/// How long one call to the store for a peer may take.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an append may go without an answer before a peer is asked to do it as well. The store
/// answers within 5 ms in calm.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Longest time that a peer waits for news in a read, so that it answers before it is taken not to.
const MAX_PEER_LONG_POLL: Duration = Duration::from_millis(300);

/// A call to the store that a peer is to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Append these records.
    Append {
        /// Where.
        partition: Partition,
        /// The records.
        records: Vec<Record>,
        /// The condition.
        guard: Guard,
    },
    /// Read from an offset on.
    Read {
        /// Where.
        partition: Partition,
        /// The offset.
        from: Offset,
        /// How long to wait for news, at most `PEER_POLL`.
        long_poll: Duration,
    },
    /// Read the newest record of each key.
    Newest {
        /// Where.
        partition: Partition,
    },
}

/// What became of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The records were appended.
    Appended(Appended),
    /// The records read.
    Page(Page),
    /// The newest records.
    Newest(Newest),
    /// The store refuses what is asked, whoever asks.
    Refused {
        /// Status of the refusal.
        status: u16,
        /// The reason given.
        reason: String,
    },
    /// The peer cannot reach the store either; nothing was done.
    #[serde(rename = "Away")]
    Unavailable,
    /// It may have been done, or may be done later.
    Unknown,
}

/// What a node knows of its own way to the store.
#[derive(Default)]
pub struct Route {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The last direct call that ended was turned away or had no answer.
    is_unavailable: bool,
    /// When the direct appends that are under way were sent.
    in_flight: Vec<Instant>,
}

impl Route {
    fn record_result<T>(&self, done: &Result<T, CallError>) {
        let shut = done.as_ref().err().is_some_and(CallError::is_turned_away);
        let mut state = self.state.lock().expect("no holder of the state panics");
        if state.is_unavailable != shut {
            log::info!(shut; "the store's door for this node");
        }
        state.is_unavailable = shut;
    }

    /// Whether the last direct call failed.
    pub fn is_unavailable(&self) -> bool {
        self.state.lock().expect("no holder of the state panics").is_unavailable
    }

    /// Whether a peer should not be helped: the store is away for this node as well, or so slow
    /// that more writes would only make all of them later.
    fn is_unfit_to_relay(&self) -> bool {
        let state = self.state.lock().expect("no holder of the state panics");
        state.is_unavailable
            || state.in_flight.iter().any(|sent| clock::since(*sent) >= HEDGE_DELAY)
    }

    fn start_append(&self, sent: Instant) {
        self.state.lock().expect("no holder of the state panics").in_flight.push(sent);
    }

    fn finish_append(&self, sent: Instant) {
        let mut state = self.state.lock().expect("no holder of the state panics");
        if let Some(place) = state.in_flight.iter().position(|other| *other == sent) {
            state.in_flight.swap_remove(place);
        }
    }
}

/// Takes an append out of those under way, also where nobody waits for its answer any more.
struct InFlightAppend<'a>(&'a Route, Instant);

impl Drop for InFlightAppend<'_> {
    fn drop(&mut self) {
        self.0.finish_append(self.1);
    }
}

impl Node {
    /// Appends records to a partition of the store, the first one where only a topic is named, if
    /// need be through another node.
    ///
    /// # Errors
    ///
    /// As of [`Store::append`]; it is certain that nothing was done only if no try was left without
    /// an answer.
    pub async fn append(
        &self,
        partition: impl Into<Partition>,
        records: &[Record],
        guard: &Guard,
        wait: Duration,
    ) -> Result<Appended, CallError> {
        let partition = partition.into();
        let call = || Call::Append {
            partition: partition.clone(),
            records: records.to_vec(),
            guard: guard.clone(),
        };
        let mut known = true;
        if self.store_route.is_unavailable() {
            match self.relay(call()).await {
                Some(Answer::Appended(appended)) => return Ok(appended),
                Some(Answer::Unavailable | Answer::Refused { .. }) => {}
                _ => known = false,
            }
        }
        let direct = self.append_directly(&partition, records, guard, wait);
        let mut direct = std::pin::pin!(direct);
        let mut failed = match timeout(HEDGE_DELAY, &mut direct).await {
            Ok(Ok(appended)) => return Ok(appended),
            Ok(Err(error)) if !error.is_turned_away() => {
                return Err(append_error(error, guard, known));
            }
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let mut relayed = std::pin::pin!(self.relay(call()));
        // A slow store may answer the first try before the second one, which it refuses then.
        let relayed = tokio::select! {
            done = &mut direct, if failed.is_none() => match done {
                Ok(appended) => return Ok(appended),
                Err(error) => {
                    failed = Some(error);
                    relayed.await
                }
            },
            relayed = &mut relayed => relayed,
        };
        known &= matches!(relayed, Some(Answer::Unavailable | Answer::Refused { .. }));
        match (relayed, failed) {
            (Some(Answer::Appended(appended)), _) => Ok(appended),
            (Some(Answer::Refused { status, reason }), Some(error)) => {
                known &= error.is_certain();
                let error = CallError::Refused { status, reason, body: Bytes::new() };
                Err(append_error(error, guard, known))
            }
            (_, Some(error)) => Err(append_error(error, guard, known)),
            // The peer may have been refused since the first try is done and its answer on the way.
            (_, None) => direct.await.map_err(|error| append_error(error, guard, known)),
        }
    }

    async fn append_directly(
        &self,
        partition: &Partition,
        records: &[Record],
        guard: &Guard,
        wait: Duration,
    ) -> Result<Appended, CallError> {
        let sent = clock::now();
        self.store_route.start_append(sent);
        let _under_way = InFlightAppend(&self.store_route, sent);
        let done = self.store.append(partition, records, guard, wait).await;
        self.store_route.record_result(&done);
        done
    }

    /// Reads a partition, through another node if the store turns this one away. Then it may wait for news less
    /// long than asked, as the store's own answer is only to show that this node is served again.
    ///
    /// # Errors
    ///
    /// That of the store, if no other node can read either.
    pub async fn read_topic(
        &self,
        partition: impl Into<Partition>,
        from: Offset,
        long_poll: Duration,
        wait: Duration,
    ) -> Result<Page, CallError> {
        let partition = partition.into();
        let own_poll = if self.store_route.is_unavailable() { Duration::ZERO } else { long_poll };
        let direct = self.store.read(&partition, from, own_poll, wait);
        let call = Call::Read { partition: partition.clone(), from, long_poll };
        self.read_or_relay(direct, call, |answer| match answer {
            Answer::Page(page) => Some(page),
            _ => None,
        })
        .await
    }

    /// Reads the newest records of a partition, through another node if the store turns this one away.
    ///
    /// # Errors
    ///
    /// That of the store, if no other node can read either.
    pub async fn read_newest(
        &self,
        partition: impl Into<Partition>,
        wait: Duration,
    ) -> Result<Newest, CallError> {
        let partition = partition.into();
        let direct = self.store.newest(&partition, wait);
        let call = Call::Newest { partition: partition.clone() };
        self.read_or_relay(direct, call, |answer| match answer {
            Answer::Newest(newest) => Some(newest),
            _ => None,
        })
        .await
    }

    /// Reads from the store; while its door is shut, through a peer at the same time, since a store that says nothing
    /// would hold up each read for its whole time.
    async fn read_or_relay<T>(
        &self,
        direct: impl Future<Output = Result<T, CallError>>,
        call: Call,
        take: impl Fn(Answer) -> Option<T>,
    ) -> Result<T, CallError> {
        let is_shut = self.store_route.is_unavailable();
        let direct = async {
            let done = direct.await;
            self.store_route.record_result(&done);
            done
        };
        let relayed = async { self.relayed_read(self.relay(call).await, take) };
        let (mut direct, mut relayed) = (std::pin::pin!(direct), std::pin::pin!(relayed));
        let done = tokio::select! {
            done = &mut direct => done,
            relayed = &mut relayed, if is_shut => match relayed {
                Some(done) => return done,
                None => return direct.await,
            },
        };
        match done {
            Err(error) if error.is_turned_away() => relayed.await.unwrap_or(Err(error)),
            done => done,
        }
    }

    /// What a peer read, or why the store refuses it; `None` if the peers could not ask it.
    fn relayed_read<T>(
        &self,
        answer: Option<Answer>,
        take: impl Fn(Answer) -> Option<T>,
    ) -> Option<Result<T, CallError>> {
        let answer = answer?;
        if let Answer::Refused { status, reason } = answer {
            return Some(Err(CallError::Refused { status, reason, body: Bytes::new() }));
        }
        let read = take(answer)?;
        self.counters.count("batch.store.read-through-peer");
        Some(Ok(read))
    }

    /// Has one of a few peers make a call; `None` if none answered, so that it is not known.
    /// [`Answer::Away`] if none of them can.
    async fn relay(&self, call: Call) -> Option<Answer> {
        let mut is_known = true;
        for addr in self.directory.relay_peers() {
            match self.peers.ask_once(addr, peer::Request::Relay(call.clone())).await {
                Ok(Reply::Relayed(Answer::Unavailable)) => {}
                Ok(Reply::Relayed(Answer::Unknown)) => is_known = false,
                Err(error) => {
                    is_known &= matches!(error, PeerError::NotSent);
                    self.directory.mark_unresponsive(addr);
                }
                Ok(Reply::Relayed(answer)) => {
                    self.counters.count("batch.store.through-peer");
                    self.directory.set_preferred_relay(addr);
                    return Some(answer);
                }
                Ok(reply) => log::warn!("{addr} answers a call to the store by {reply:?}"),
            }
        }
        is_known.then_some(Answer::Unavailable)
    }

    /// Makes a call to the store for a peer.
    pub async fn relay_for_peer(&self, call: Call) -> Answer {
        if self.store_route.is_unfit_to_relay() {
            return Answer::Unavailable;
        }
        call_store(&self.store, call).await.unwrap_or_else(|error| match error {
            CallError::Unknown(_) => Answer::Unknown,
            error if error.is_turned_away() => Answer::Unavailable,
            CallError::Refused { status, reason, .. } => Answer::Refused { status, reason },
            CallError::NotSent(_) => Answer::Unavailable,
        })
    }
}

/// The error of an append of which another try may still be done. What a condition says holds
/// whatever becomes of the other try.
fn append_error(error: CallError, guard: &Guard, others_known: bool) -> CallError {
    match guard {
        Guard::None if !others_known => CallError::Unknown(ExchangeError::Timeout),
        _ => error,
    }
}

async fn call_store(store: &Store, call: Call) -> Result<Answer, CallError> {
    match call {
        Call::Append { partition, records, guard } => {
            let appended = store.append(&partition, &records, &guard, PEER_CALL_TIMEOUT).await;
            appended.map(Answer::Appended)
        }
        Call::Read { partition, from, long_poll } => {
            let long_poll = long_poll.min(MAX_PEER_LONG_POLL);
            let page = store.read(&partition, from, long_poll, PEER_CALL_TIMEOUT).await;
            page.map(Answer::Page)
        }
        Call::Newest { partition } => {
            store.newest(&partition, PEER_CALL_TIMEOUT).await.map(Answer::Newest)
        }
    }
}
