//! Appends records to the log, and gets their verdicts by reading them back from it.
//!
//! One append is under way at a time. It is retried with the same sequence number until it is
//! answered or its records are read back; readers drop duplicates. A rate limiter keeps each daemon
//! within its part of the log's rate; records that queue up meanwhile go into one append.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use governor::DefaultDirectRateLimiter;
use governor::Quota;
use governor::RateLimiter;
use hyper::Request;
use rand::RngExt;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;
use xtra::prelude::*;

use crate::coordination::node::Node;
use crate::protocol::log::APPEND;
use crate::protocol::log::Appended;
use crate::state::fold::Refusal;
use crate::state::fold::Verdict;
use crate::state::id::Incarnation;
use crate::state::id::Offset;
use crate::state::id::RecordId;
use crate::state::record::Batch;
use crate::state::record::Body;
use crate::state::record::MAX_BATCH_BYTES;
use crate::state::record::Record;
use crate::transport::clock;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::Limits;
use crate::transport::dial::full;

/// Maximum number of queued records.
const MAX_QUEUED_RECORDS: usize = 4096;
/// Maximum number of records in one append.
const MAX_RECORDS: usize = 512;
/// How long an append may take.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause after a failed append.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed appends.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// How long an operator's request waits for its verdict.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of appends in a burst.
const BURST: u32 = 8;

/// Why a submitted record has no offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// Its verdict is a refusal; it changed nothing.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// Its verdict is not known: it may still take effect.
    #[error("not yet known")]
    Unknown(RecordId),
    /// It was not queued, and takes no effect: too many records wait.
    #[error("too many records wait for the log")]
    QueueFull,
}

/// A handle for submitting records.
#[derive(Clone, Debug)]
pub struct Appender {
    queue: Address<Queue>,
    wake: Arc<Notify>,
}

/// The records to append, and the channels on which submitters wait for verdicts.
#[derive(Default, xtra::Actor)]
struct Queue {
    records: VecDeque<Record>,
    verdict_senders: HashMap<RecordId, oneshot::Sender<Verdict>>,
}

/// Queues a record; returns `None` if the queue is full.
struct Submit(Record);
/// Removes as many records from the queue as fit into one batch.
struct TakeRecords;
/// Sends verdicts to those submitters that still wait.
struct DeliverVerdicts(Vec<(RecordId, Verdict)>);

impl Handler<Submit> for Queue {
    type Return = Option<oneshot::Receiver<Verdict>>;

    async fn handle(&mut self, message: Submit, _: &mut Context<Self>) -> Self::Return {
        if self.records.len() >= MAX_QUEUED_RECORDS {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.verdict_senders.retain(|_, sender| !sender.is_closed());
        self.verdict_senders.insert(message.0.id, sender);
        self.records.push_back(message.0);
        Some(receiver)
    }
}

impl Handler<TakeRecords> for Queue {
    type Return = Vec<Record>;

    async fn handle(&mut self, _: TakeRecords, _: &mut Context<Self>) -> Vec<Record> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(record) = self.records.front() {
            bytes += postcard::experimental::serialized_size(record).unwrap_or(MAX_BATCH_BYTES);
            let full = taken.len() == MAX_RECORDS || bytes > MAX_BATCH_BYTES - 1024;
            if full && !taken.is_empty() {
                break;
            }
            taken.extend(self.records.pop_front());
        }
        taken
    }
}

impl Handler<DeliverVerdicts> for Queue {
    type Return = ();

    async fn handle(&mut self, message: DeliverVerdicts, _: &mut Context<Self>) {
        for (id, verdict) in message.0 {
            if let Some(sender) = self.verdict_senders.remove(&id) {
                // The submitter may have timed out.
                let _ = sender.send(verdict);
            }
        }
    }
}

impl Appender {
    /// Starts the queue on the current runtime.
    pub fn start() -> Appender {
        let queue = xtra::spawn_tokio(Queue::default(), Mailbox::unbounded());
        Appender { queue, wake: Arc::default() }
    }

    /// Submits a change and waits for its verdict up to [`VERDICT_TIMEOUT`]. Returns the offset at
    /// which it was accepted.
    pub async fn submit(&self, id: RecordId, body: Body) -> Result<Offset, AppendError> {
        let verdict = self.enqueue(id, body).await?;
        match timeout(VERDICT_TIMEOUT, verdict).await {
            Ok(Ok(verdict)) => Ok(verdict?),
            _ => Err(AppendError::Unknown(id)),
        }
    }

    /// Submits a change and waits for its verdict, however long the log is unavailable. Returns the
    /// offset at which it was accepted.
    pub async fn submit_without_timeout(&self, body: Body) -> Result<Offset, AppendError> {
        let id = new_record_id();
        let verdict = self.enqueue(id, body).await?;
        match verdict.await {
            Ok(verdict) => Ok(verdict?),
            Err(_) => Err(AppendError::Unknown(id)),
        }
    }

    async fn enqueue(
        &self,
        id: RecordId,
        body: Body,
    ) -> Result<oneshot::Receiver<Verdict>, AppendError> {
        let submitted = self.queue.send(Submit(Record { id, body })).await;
        let receiver = submitted.ok().flatten().ok_or(AppendError::QueueFull)?;
        self.wake.notify_one();
        Ok(receiver)
    }

    /// Sends verdicts that were read back from the log to the submitters.
    pub async fn deliver_verdicts(&self, verdicts: Vec<(RecordId, Verdict)>) {
        let _ = self.queue.send(DeliverVerdicts(verdicts)).await;
    }
}

/// A random record id.
pub fn new_record_id() -> RecordId {
    rand::rng().random()
}

/// Appends submitted records for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let limiter = limiter(node.settings.appends_per_s);
    let incarnation = writer_incarnation(&node).await;
    let mut sequence = 0;
    loop {
        node.appender.wake.notified().await;
        while let Some(records) = take_records(&node).await {
            sequence += 1;
            let batch = Batch { writer: node.settings.id, incarnation, sequence, records };
            append_batch(&node, &limiter, &batch).await;
        }
    }
}

/// The incarnation in which this daemon writes: its own, or the last one on the log plus one if the
/// daemon's clock has gone back since. Waits until a read has reached the log's end.
async fn writer_incarnation(node: &Node) -> Incarnation {
    let mut changes = node.replica.changes();
    while node.replica.log_age(clock::now()).is_none() {
        let _ = timeout(MIN_BACKOFF, changes.changed()).await;
    }
    let fleet = node.replica.fleet();
    let last = fleet.writers.get(&node.settings.id);
    let after_last = last.map_or(0, |last| last.incarnation + 1);
    node.incarnation.max(after_last)
}

fn limiter(appends_per_s: u32) -> DefaultDirectRateLimiter {
    let rate = NonZeroU32::new(appends_per_s).unwrap_or(NonZeroU32::MIN);
    let burst = NonZeroU32::new(BURST).expect("BURST is not zero");
    RateLimiter::direct(Quota::per_second(rate).allow_burst(burst))
}

async fn take_records(node: &Node) -> Option<Vec<Record>> {
    let taken = node.appender.queue.send(TakeRecords).await.ok()?;
    (!taken.is_empty()).then_some(taken)
}

/// Retries sending a batch until it is known to be on the log.
async fn append_batch(node: &Node, limiter: &DefaultDirectRateLimiter, batch: &Batch) {
    let bytes = match batch.encode() {
        Ok(bytes) => bytes,
        Err(_) => {
            // Only a batch of one record can be too large.
            node.counters.count("log.append.too-large");
            return;
        }
    };
    let mut backoff = MIN_BACKOFF;
    loop {
        limiter.until_ready().await;
        node.counters.count("log.append.sent");
        match send_append(node, bytes.clone()).await {
            Ok(_) => return,
            Err(error) => node.counters.count(failure_counter(&error)),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        if is_read_back(node, batch) {
            node.counters.count("log.append.answer-lost");
            return;
        }
    }
}

fn failure_counter(error: &ExchangeError) -> &'static str {
    match error {
        ExchangeError::NotSent(_) => "log.append.failed.not-sent",
        ExchangeError::Timeout => "log.append.failed.timeout",
        ExchangeError::Status(_) => "log.append.failed.status",
        _ => "log.append.failed.cut",
    }
}

/// Whether the batch, or a later one of this writer, was read from the log.
fn is_read_back(node: &Node, batch: &Batch) -> bool {
    let fleet = node.replica.fleet();
    let writer = fleet.writers.get(&batch.writer);
    writer.is_some_and(|writer| {
        (writer.incarnation, writer.sequence) >= (batch.incarnation, batch.sequence)
    })
}

async fn send_append(node: &Node, bytes: Vec<u8>) -> Result<Appended, ExchangeError> {
    // Hedging is safe: readers drop a duplicate by the writer's sequence number.
    let request = || Request::post(APPEND).body(full(bytes.clone()));
    let limits = Limits { max_bytes: 4096, timeout: APPEND_TIMEOUT, long_poll: Duration::ZERO };
    let response =
        node.dialer.exchange_hedged(node.settings.log_addr, request, limits).await?.response;
    if !response.status().is_success() {
        return Err(ExchangeError::Status(response.status().as_u16()));
    }
    Ok(serde_json::from_slice(response.body())?)
}
