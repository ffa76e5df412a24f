//! Writes accepted jobs to the store, all that wait in one append.
//!
//! The store takes the appends of a topic one after another, so its pace bounds appends and not
//! jobs: at 60 times its usual 1 ms each, and nine nodes, one job an append would be two a second
//! for each node.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::job::JobId;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Partition;
use spokelift_platform::store::Record;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::node::Node;
use crate::batch::record;
use crate::batch::record::Accepted;
use crate::transport::clock;

/// How long one append may take before it is tried again: about four times what nine nodes need in
/// turn at a store that is 60 times slower than usual.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age from which the time of the last append says nothing of the next one, unless it took longer.
const LAST_APPEND_MAX_AGE: Duration = Duration::from_millis(1_000);
/// How long the store must have been away until jobs are refused as soon as a write has failed. A
/// store that only sheds load takes the next try, 60 ms later.
const OUTAGE_GRACE: Duration = Duration::from_millis(300);
/// Bounds of the time after which a client that was refused comes back. In between it is as long as
/// the store has been away: an outage lasts about as much longer as it has lasted.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_500));
/// How long the append under way may go without an answer until jobs are refused as soon as they
/// come. A store that is 60 times slower than usual answers within 0.9 s; what comes after that
/// would have to wait for the rest of this append and for its own, longer than its client does.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(900);
/// How long a silent store is given to answer an append of nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between these.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);
/// Pause between tries; the store refuses within 5 ms.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Jobs that may wait for one node's writer; about 10 s of all that a large site asks for.
const QUEUE_CAPACITY: usize = 1_024;
/// Most bytes of one append, half of what the platform takes in a call.
const MAX_BATCH_BYTES: usize = 1_000_000;

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store keeps it.
    Stored,
    /// It was not taken and never will be. It may be sent again after this time.
    Refused(Duration),
    /// It was not taken and never will be under this id. The caller is told no more than that.
    IdInUse(Duration),
    /// It may have been taken.
    Unknown,
}

/// A job that waits to be written.
struct PendingJob {
    id: JobId,
    record: Record,
    deadline: Instant,
    /// Whether every try so far is certain to have done nothing.
    is_known_unwritten: bool,
    /// Set by whoever comes first: the writer that sends it, or the client that gives up on it.
    is_claimed: Arc<AtomicBool>,
    answer: oneshot::Sender<WriteOutcome>,
}

/// What is known of the pace of writes.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// When the last append was done, and how long it took.
    last_append: Option<(Instant, Duration)>,
    /// When the append under way was sent.
    in_flight_since: Option<Instant>,
    /// Since when every append has failed.
    failing_since: Option<Instant>,
    /// The last append had no answer.
    is_last_unanswered: bool,
}

impl StoreHealth {
    /// An append is sent.
    pub fn start_append(&mut self, now: Instant) {
        self.in_flight_since = Some(now);
    }

    /// The append under way has ended. One that failed says nothing of the pace.
    pub fn finish_append(&mut self, now: Instant, is_done: bool) {
        let took = self.in_flight_since.take().map(|sent| now.saturating_duration_since(sent));
        self.last_append = took.filter(|_| is_done).map(|took| (now, took));
        self.failing_since = if is_done { None } else { self.failing_since.or(Some(now)) };
    }

    /// The last append had no answer, or has one at last.
    pub fn set_last_unanswered(&mut self, is_silent: bool) {
        self.is_last_unanswered = is_silent;
    }

    /// Whether the store gives no answer: of a job that is sent to it nobody knows whether it is
    /// kept, and one that is not sent can be refused for certain.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let overdue = |sent| now.saturating_duration_since(sent) > UNRESPONSIVE_AFTER;
        self.is_last_unanswered || self.in_flight_since.is_some_and(overdue)
    }

    /// How long every append has failed; `None` if the last one was done.
    pub fn outage_duration(&self, now: Instant) -> Option<Duration> {
        self.failing_since.map(|since| now.saturating_duration_since(since))
    }

    /// When a client that is refused should come back.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let away = self.outage_duration(now).unwrap_or_default();
        self.expected_wait(now).max(away.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1))
    }

    /// How long a job that comes now has to wait, by the last append: for the rest of the one under
    /// way, then for its own. Nothing is known of that if the last append failed or is too old.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::commit::StoreHealth;
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut pace = StoreHealth::default();
    /// pace.start_append(start);
    /// pace.finish_append(start + second, true);
    /// assert_eq!(pace.expected_wait(start + second), second);
    /// assert_eq!(pace.expected_wait(start + second * 3), Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let Some((at, took)) = self.last_append else { return Duration::ZERO };
        if now.saturating_duration_since(at) > took.max(LAST_APPEND_MAX_AGE) {
            return Duration::ZERO;
        }
        let rest = self
            .in_flight_since
            .map(|sent| took.saturating_sub(now.saturating_duration_since(sent)));
        rest.unwrap_or_default() + took
    }
}

/// Jobs that wait to be written at one node.
pub struct Queue {
    sender: mpsc::Sender<PendingJob>,
    receiver: Mutex<Option<mpsc::Receiver<PendingJob>>>,
    health: Mutex<StoreHealth>,
    /// Appends that failed; each makes the next one go to another partition.
    failed_appends: AtomicUsize,
}

impl Default for Queue {
    fn default() -> Queue {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        Queue {
            sender,
            receiver: Mutex::new(Some(receiver)),
            health: Mutex::default(),
            failed_appends: AtomicUsize::new(0),
        }
    }
}

impl Queue {
    fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().expect("no holder of the pace panics")
    }
}

impl Node {
    /// Where this node writes jobs: in calm it shares a partition with few others. A store that
    /// lacks some of its partitions refuses there only.
    fn partition_for_jobs(&self) -> Partition {
        let count = usize::from(record::job_partitions(self.settings.store_partitions));
        let rank = self.directory.rank(self.settings.peer_addr());
        let failures = self.commit_queue.failed_appends.load(Ordering::Relaxed);
        record::job_partition((rank.wrapping_add(failures) % count) as u16)
    }

    /// Has a job written to the store before `until`, and tells the holder of the lead.
    ///
    /// Once a write has had no answer, the job may be taken whatever later tries say.
    pub async fn commit_job(
        self: &Arc<Self>,
        id: JobId,
        accepted: Accepted,
        until: Instant,
    ) -> WriteOutcome {
        let now = clock::now();
        let pace = *self.commit_queue.health();
        if pace.is_unresponsive(now) {
            self.counters.count("batch.submit.refused.silent");
            return WriteOutcome::Refused(pace.retry_after(now));
        }
        if now + pace.expected_wait(now) >= until {
            self.counters.count("batch.submit.refused.pace");
            return WriteOutcome::Refused(pace.retry_after(now));
        }
        let (answer, answered) = oneshot::channel();
        let claimed = Arc::new(AtomicBool::new(false));
        let waiting = PendingJob {
            id,
            record: record::accepted(id, &accepted),
            deadline: until,
            is_known_unwritten: true,
            is_claimed: claimed.clone(),
            answer,
        };
        if self.commit_queue.sender.try_send(waiting).is_err() {
            self.counters.count("batch.submit.refused.queue");
            return WriteOutcome::Refused(self.commit_queue.health().retry_after(now));
        }
        let written = match timeout(until.saturating_duration_since(now), answered).await {
            Ok(Ok(written)) => written,
            // The writer has not sent it and will not.
            Err(_) if !claimed.swap(true, Ordering::AcqRel) => {
                WriteOutcome::Refused(self.commit_queue.health().retry_after(clock::now()))
            }
            Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
        };
        self.latencies.record("batch.submit.write", clock::since(now));
        if written != WriteOutcome::Stored {
            return written;
        }
        if accepted.account.is_none() {
            self.report_submitted(id, accepted);
        } else if self.is_id_in_use(id, accepted).await {
            self.counters.count("batch.submit.refused.occupied");
            return WriteOutcome::IdInUse(self.commit_queue.health().retry_after(now));
        }
        WriteOutcome::Stored
    }
}

/// Writes what waits until the process ends.
pub async fn run(node: Arc<Node>) {
    let receiver = node.commit_queue.receiver.lock().expect("no holder of the queue panics").take();
    let mut queue = receiver.expect("the queue has one writer");
    let mut left = Vec::new();
    loop {
        if left.is_empty() {
            left.extend(queue.recv().await);
        }
        let mut bytes: usize = left.iter().map(size_bytes).sum();
        while bytes < MAX_BATCH_BYTES
            && let Ok(waiting) = queue.try_recv()
        {
            bytes += size_bytes(&waiting);
            left.push(waiting);
        }
        left = write_batch(&node, left).await;
        if node.commit_queue.health().is_last_unanswered {
            wait_until_store_answers(&node).await;
        } else if !left.is_empty() {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until the store answers again. Meanwhile nothing is sent that could be kept unheard.
async fn wait_until_store_answers(node: &Node) {
    let since = clock::now();
    log::info!("jobs are refused: the store gives no answer");
    loop {
        sleep(PROBE_INTERVAL).await;
        match node.append(node.partition_for_jobs(), &[], &Guard::None, PROBE_TIMEOUT).await {
            Err(error) if !error.is_certain() => {
                node.counters.count("batch.submit.probe-unanswered");
                log::debug!("the store still gives no answer: {error}");
            }
            Ok(_) | Err(_) => break,
        }
    }
    node.commit_queue.health().set_last_unanswered(false);
    let silent_ms = clock::since(since).as_millis() as u64;
    log::info!(silent_ms; "the store answers again");
}

fn size_bytes(waiting: &PendingJob) -> usize {
    waiting.record.key.len() + waiting.record.value.as_ref().map_or(0, Vec::len)
}

/// Writes a batch; returns what is to be tried again.
async fn write_batch(node: &Node, batch: Vec<PendingJob>) -> Vec<PendingJob> {
    // A job that was sent before stays claimed; one that its client has given up on is not sent.
    let is_wanted = |waiting: &PendingJob| {
        !waiting.answer.is_closed()
            && (!waiting.is_known_unwritten || !waiting.is_claimed.swap(true, Ordering::AcqRel))
    };
    let batch: Vec<PendingJob> = batch.into_iter().filter(is_wanted).collect();
    if batch.is_empty() {
        return batch;
    }
    let records: Vec<Record> = batch.iter().map(|waiting| waiting.record.clone()).collect();
    let partition = node.partition_for_jobs();
    node.commit_queue.health().start_append(clock::now());
    let written = node.append(partition, &records, &Guard::None, APPEND_TIMEOUT).await;
    node.commit_queue.health().finish_append(clock::now(), written.is_ok());
    if let Err(error) = written {
        node.counters.count("batch.submit.write-failed");
        node.commit_queue.failed_appends.fetch_add(1, Ordering::Relaxed);
        node.commit_queue.health().set_last_unanswered(!error.is_certain());
        return retry_or_refuse(node, batch, &error);
    }
    for waiting in batch {
        // A client that has gone asks for the job later.
        let _ = waiting.answer.send(WriteOutcome::Stored);
    }
    Vec::new()
}

/// Takes in that a batch was not written: answers the clients whose time is over, and all of them
/// while the store is away; returns what is to be tried again.
fn retry_or_refuse(node: &Node, batch: Vec<PendingJob>, error: &CallError) -> Vec<PendingJob> {
    let now = clock::now();
    let pace = *node.commit_queue.health();
    let is_away = pace.outage_duration(now).is_some_and(|away| away >= OUTAGE_GRACE);
    let mut left = Vec::new();
    for mut waiting in batch {
        waiting.is_known_unwritten &= error.is_certain();
        let job = format!("{:016x}", waiting.id);
        log::info!(job = job.as_str(), certain = waiting.is_known_unwritten; "job not written: {error}");
        if !is_away && now + RETRY_DELAY < waiting.deadline {
            if waiting.is_known_unwritten {
                waiting.is_claimed.store(false, Ordering::Release);
            }
            left.push(waiting);
            continue;
        }
        let outcome = if waiting.is_known_unwritten {
            WriteOutcome::Refused(pace.retry_after(now))
        } else {
            WriteOutcome::Unknown
        };
        // A client that has gone asks for the job later.
        let _ = waiting.answer.send(outcome);
    }
    left
}
