//! Writes records to the log and learns their verdicts by reading them back.
//!
//! One append is under way at a time, and it is sent again, under the same sequence, until its
//! answer or its records come back; readers drop the copies. A limiter keeps each daemon's share
//! of the log's rate, and records that wait meanwhile go together in one append.

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

/// Most records that wait for the log.
const MAX_QUEUED_RECORDS: usize = 4096;
/// Most records in one append.
const MAX_RECORDS: usize = 512;
/// How long the log may take to answer an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause after a failed append.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed appends.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// How long an operator's request waits for its verdict.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);
/// Appends that may go out at once after a pause.
const BURST: u32 = 8;

/// Why a record has no accepted offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// It was judged, and changed nothing.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// It may yet take effect.
    #[error("not yet known")]
    Unknown(RecordId),
    /// It was not sent: too many records wait.
    #[error("too many records wait for the log")]
    QueueFull,
}

/// Hands records to the queue.
#[derive(Clone, Debug)]
pub struct Appender {
    queue: Address<Queue>,
    wake: Arc<Notify>,
}

/// The records that wait, and those who wait for verdicts.
#[derive(Default, xtra::Actor)]
struct Queue {
    records: VecDeque<Record>,
    verdict_senders: HashMap<RecordId, oneshot::Sender<Verdict>>,
}

struct Submit(Record);
struct TakeRecords;
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
                // Whoever asked may have gone.
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

    /// Submits a change and waits up to [`VERDICT_TIMEOUT`] for its verdict.
    pub async fn submit(&self, id: RecordId, body: Body) -> Result<Offset, AppendError> {
        let verdict = self.enqueue(id, body).await?;
        match timeout(VERDICT_TIMEOUT, verdict).await {
            Ok(Ok(verdict)) => Ok(verdict?),
            _ => Err(AppendError::Unknown(id)),
        }
    }

    /// Submits a change and waits for its verdict however long the log is away.
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

    /// Passes on verdicts that were read back.
    pub async fn deliver_verdicts(&self, verdicts: Vec<(RecordId, Verdict)>) {
        let _ = self.queue.send(DeliverVerdicts(verdicts)).await;
    }
}

/// A new record id.
pub fn new_record_id() -> RecordId {
    rand::rng().random()
}

/// Appends what is submitted, for as long as the daemon runs.
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

/// The life under which this daemon writes: its own, or one more than the last on the log if its
/// clock has gone back since. Known once the log's end was reached.
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

/// Sends a batch until it is known to be on the log.
async fn append_batch(node: &Node, limiter: &DefaultDirectRateLimiter, batch: &Batch) {
    let bytes = match batch.encode() {
        Ok(bytes) => bytes,
        Err(_) => {
            // Only a single record that is too large on its own comes here.
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

fn is_read_back(node: &Node, batch: &Batch) -> bool {
    let fleet = node.replica.fleet();
    let writer = fleet.writers.get(&batch.writer);
    writer.is_some_and(|writer| {
        (writer.incarnation, writer.sequence) >= (batch.incarnation, batch.sequence)
    })
}

async fn send_append(node: &Node, bytes: Vec<u8>) -> Result<Appended, ExchangeError> {
    // A batch that is on the log twice counts once, by its writer's number.
    let request = || Request::post(APPEND).body(full(bytes.clone()));
    let limits = Limits { max_bytes: 4096, timeout: APPEND_TIMEOUT, long_poll: Duration::ZERO };
    let answer =
        node.dialer.exchange_hedged(node.settings.log_addr, request, limits).await?.response;
    if !answer.status().is_success() {
        return Err(ExchangeError::Status(answer.status().as_u16()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}
