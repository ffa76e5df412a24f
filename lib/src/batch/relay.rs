//! Calls to the platform's store: directly, or through another node while the store rejects this
//! node or does not answer it.
//!
//! A relayed call may be executed twice or late, like a retried call. Every append tolerates that:
//! it has a condition on the end of its topic, carries a producer's sequence number, or is
//! idempotent.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Appended;
use spokelift_platform::store::Guard;
use spokelift_platform::store::LatestRecords;
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

/// Timeout of one call to the store for a peer.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer to an append after which a peer is asked to make it as well. Without load,
/// the store answers within 5 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Largest long-poll time of a read for a peer, so that the answer comes before the peer's request
/// times out.
const MAX_PEER_LONG_POLL: Duration = Duration::from_millis(300);

/// A call to the store that a peer is to make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Appends records.
    Append {
        /// The partition.
        partition: Partition,
        /// The records.
        records: Vec<Record>,
        /// The condition under which they are appended.
        guard: Guard,
    },
    /// Reads from an offset on.
    Read {
        /// The partition.
        partition: Partition,
        /// The offset of the first record.
        from: Offset,
        /// How long to wait for new records, at most `MAX_PEER_LONG_POLL`.
        long_poll: Duration,
    },
    /// Reads the newest record of each key.
    Newest {
        /// The partition.
        partition: Partition,
    },
}

/// The result of a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The records were appended.
    Appended(Appended),
    /// The records read.
    Page(Page),
    /// The newest record of each key.
    Newest(LatestRecords),
    /// The store refuses the call, whichever node makes it.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// The store's reason.
        reason: String,
    },
    /// The peer cannot reach the store either; the call had no effect.
    #[serde(rename = "Away")]
    Unavailable,
    /// The call may have been executed, or may be executed later.
    Unknown,
}

/// State of a node's direct route to the store.
#[derive(Default)]
pub struct Route {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Whether the last direct call that ended was rejected for this node or had no answer.
    is_unavailable: bool,
    /// When each direct append in flight was sent.
    in_flight: Vec<Instant>,
}

impl Route {
    fn record_result<T>(&self, result: &Result<T, CallError>) {
        let is_unavailable = result.as_ref().err().is_some_and(CallError::is_unavailable);
        let mut state = self.state.lock().expect("no thread panics while it holds the state lock");
        if state.is_unavailable != is_unavailable {
            log::info!(shut = is_unavailable; "availability of the direct route to the store changed");
        }
        state.is_unavailable = is_unavailable;
    }

    /// Whether the last direct call that ended was rejected for this node or had no answer.
    pub fn is_unavailable(&self) -> bool {
        self.state.lock().expect("no thread panics while it holds the state lock").is_unavailable
    }

    /// Whether this node should not relay calls: it cannot reach the store either, or the store is so
    /// slow that more appends would only delay all of them.
    fn is_unfit_to_relay(&self) -> bool {
        let state = self.state.lock().expect("no thread panics while it holds the state lock");
        state.is_unavailable
            || state.in_flight.iter().any(|sent| clock::since(*sent) >= HEDGE_DELAY)
    }

    fn start_append(&self, sent: Instant) {
        self.state
            .lock()
            .expect("no thread panics while it holds the state lock")
            .in_flight
            .push(sent);
    }

    fn finish_append(&self, sent: Instant) {
        let mut state = self.state.lock().expect("no thread panics while it holds the state lock");
        if let Some(index) = state.in_flight.iter().position(|other| *other == sent) {
            state.in_flight.swap_remove(index);
        }
    }
}

/// Removes an append from those in flight when dropped, also if its future is dropped before the
/// answer.
struct InFlightAppend<'a>(&'a Route, Instant);

impl Drop for InFlightAppend<'_> {
    fn drop(&mut self) {
        self.0.finish_append(self.1);
    }
}

impl Node {
    /// Appends records to a partition of the store, or to the first one if only a topic is named. A
    /// peer relays the append if the direct route is unavailable or slow.
    ///
    /// # Errors
    ///
    /// As of [`Store::append`]. Without a condition, the error is certain only if every attempt had
    /// an answer.
    pub async fn append(
        &self,
        partition: impl Into<Partition>,
        records: &[Record],
        guard: &Guard,
        call_timeout: Duration,
    ) -> Result<Appended, CallError> {
        let partition = partition.into();
        let call = || Call::Append {
            partition: partition.clone(),
            records: records.to_vec(),
            guard: guard.clone(),
        };
        let mut is_known = true;
        if self.store_route.is_unavailable() {
            match self.relay(call()).await {
                Some(Answer::Appended(appended)) => return Ok(appended),
                Some(Answer::Unavailable | Answer::Refused { .. }) => {}
                _ => is_known = false,
            }
        }
        let direct = self.append_directly(&partition, records, guard, call_timeout);
        let mut direct = std::pin::pin!(direct);
        let mut failed = match timeout(HEDGE_DELAY, &mut direct).await {
            Ok(Ok(appended)) => return Ok(appended),
            Ok(Err(error)) if !error.is_unavailable() => {
                return Err(append_error(error, guard, is_known));
            }
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let mut relayed = std::pin::pin!(self.relay(call()));
        // A slow store may execute the direct append first and then refuse the relayed one.
        let relayed = tokio::select! {
            result = &mut direct, if failed.is_none() => match result {
                Ok(appended) => return Ok(appended),
                Err(error) => {
                    failed = Some(error);
                    relayed.await
                }
            },
            relayed = &mut relayed => relayed,
        };
        is_known &= matches!(relayed, Some(Answer::Unavailable | Answer::Refused { .. }));
        match (relayed, failed) {
            (Some(Answer::Appended(appended)), _) => Ok(appended),
            (Some(Answer::Refused { status, reason }), Some(error)) => {
                is_known &= error.is_known_not_done();
                let error = CallError::Refused { status, reason, body: Bytes::new() };
                Err(append_error(error, guard, is_known))
            }
            (_, Some(error)) => Err(append_error(error, guard, is_known)),
            // The relayed append may have been refused because the direct one has been executed and
            // its answer is still on the way.
            (_, None) => direct.await.map_err(|error| append_error(error, guard, is_known)),
        }
    }

    async fn append_directly(
        &self,
        partition: &Partition,
        records: &[Record],
        guard: &Guard,
        call_timeout: Duration,
    ) -> Result<Appended, CallError> {
        let sent = clock::now();
        self.store_route.start_append(sent);
        let _in_flight = InFlightAppend(&self.store_route, sent);
        let result = self.store.append(partition, records, guard, call_timeout).await;
        self.store_route.record_result(&result);
        result
    }

    /// Reads a partition, through another node while the direct route is unavailable. The read then
    /// may wait for new records for less than `long_poll`: the direct read does not wait, since it
    /// only shows whether the route is available again, and a peer waits for a limited time.
    ///
    /// # Errors
    ///
    /// The error of the direct read, if no other node can read either; the store's refusal, if a
    /// relayed read is refused.
    pub async fn read_topic(
        &self,
        partition: impl Into<Partition>,
        from: Offset,
        long_poll: Duration,
        call_timeout: Duration,
    ) -> Result<Page, CallError> {
        let partition = partition.into();
        let direct_poll =
            if self.store_route.is_unavailable() { Duration::ZERO } else { long_poll };
        let direct = self.store.read(&partition, from, direct_poll, call_timeout);
        let call = Call::Read { partition: partition.clone(), from, long_poll };
        self.read_or_relay(direct, call, |answer| match answer {
            Answer::Page(page) => Some(page),
            _ => None,
        })
        .await
    }

    /// Reads a partition by the direct route only, without waiting for new records.
    ///
    /// # Errors
    ///
    /// As of [`Store::read`].
    pub async fn read_topic_directly(
        &self,
        partition: impl Into<Partition>,
        from: Offset,
        call_timeout: Duration,
    ) -> Result<Page, CallError> {
        let result = self.store.read(&partition.into(), from, Duration::ZERO, call_timeout).await;
        self.store_route.record_result(&result);
        result
    }

    /// Reads the newest record of each key of a partition, through another node while the direct
    /// route is unavailable.
    ///
    /// # Errors
    ///
    /// As of [`Node::read_topic`].
    pub async fn read_newest(
        &self,
        partition: impl Into<Partition>,
        call_timeout: Duration,
    ) -> Result<LatestRecords, CallError> {
        let partition = partition.into();
        let direct = self.store.read_latest(&partition, call_timeout);
        let call = Call::Newest { partition: partition.clone() };
        self.read_or_relay(direct, call, |answer| match answer {
            Answer::Newest(newest) => Some(newest),
            _ => None,
        })
        .await
    }

    /// Reads from the store. While the direct route is unavailable, a peer reads at the same time,
    /// since a store that does not answer would delay each read by its whole timeout.
    async fn read_or_relay<T>(
        &self,
        direct: impl Future<Output = Result<T, CallError>>,
        call: Call,
        extract: impl Fn(Answer) -> Option<T>,
    ) -> Result<T, CallError> {
        let is_unavailable = self.store_route.is_unavailable();
        let direct = async {
            let result = direct.await;
            self.store_route.record_result(&result);
            result
        };
        let relayed = async { self.relayed_read(self.relay(call).await, extract) };
        let (mut direct, mut relayed) = (std::pin::pin!(direct), std::pin::pin!(relayed));
        let result = tokio::select! {
            result = &mut direct => result,
            relayed = &mut relayed, if is_unavailable => match relayed {
                Some(result) => return result,
                None => return direct.await,
            },
        };
        match result {
            Err(error) if error.is_unavailable() => relayed.await.unwrap_or(Err(error)),
            result => result,
        }
    }

    /// The result of a relayed read, or the store's refusal; `None` if no peer could reach the store.
    fn relayed_read<T>(
        &self,
        answer: Option<Answer>,
        extract: impl Fn(Answer) -> Option<T>,
    ) -> Option<Result<T, CallError>> {
        let answer = answer?;
        if let Answer::Refused { status, reason } = answer {
            return Some(Err(CallError::Refused { status, reason, body: Bytes::new() }));
        }
        let read = extract(answer)?;
        self.counters.count("batch.store.read-through-peer");
        Some(Ok(read))
    }

    /// Has one of a few peers make a call. [`Answer::Unavailable`] if it is certain that none of them
    /// made it; `None` if one of them may have made it without an answer.
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
                Ok(reply) => {
                    log::warn!("unexpected answer of {addr} to a call to the store: {reply:?}")
                }
            }
        }
        is_known.then_some(Answer::Unavailable)
    }

    /// Makes a call to the store for a peer, only by the direct route.
    pub async fn relay_for_peer(&self, call: Call) -> Answer {
        if self.store_route.is_unfit_to_relay() {
            return Answer::Unavailable;
        }
        call_store(&self.store, call).await.unwrap_or_else(|error| match error {
            CallError::Unknown(_) => Answer::Unknown,
            error if error.is_unavailable() => Answer::Unavailable,
            CallError::Refused { status, reason, .. } => Answer::Refused { status, reason },
            CallError::NotSent(_) => Answer::Unavailable,
        })
    }
}

/// The error of an append of which another attempt may still be executed, if the outcomes of the
/// other attempts are not all known. With a condition, the error stays as it is: what it says of the
/// condition holds whatever becomes of the other attempts.
fn append_error(error: CallError, guard: &Guard, are_others_known: bool) -> CallError {
    match guard {
        Guard::None if !are_others_known => CallError::Unknown(ExchangeError::Timeout),
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
            store.read_latest(&partition, PEER_CALL_TIMEOUT).await.map(Answer::Newest)
        }
    }
}
