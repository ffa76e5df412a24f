//! Writes accepted jobs to the store, batched: all pending jobs go into one append.
//!
//! The store serializes the appends of a topic, so its latency limits the rate of appends, not of
//! jobs. With one job per append, nine nodes at a store that takes 60 ms for an append instead of
//! the usual 1 ms could write two jobs a second each.

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

/// Timeout of one append, after which it is retried: about four times what nine nodes need one after
/// another at a store that is 60 times slower than usual.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age from which the latency of the last append does not predict that of the next one, unless the
/// append itself took longer than this.
const LAST_APPEND_MAX_AGE: Duration = Duration::from_millis(1_000);
/// Length of an outage of the store from which jobs are refused after their first failed append. A
/// store that only sheds load accepts the retry after [`RETRY_DELAY`].
const OUTAGE_GRACE: Duration = Duration::from_millis(300);
/// Bounds of the delay after which a refused client retries. Within them, the delay is the length
/// of the outage so far: an outage is expected to last about as long again as it has lasted.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(800), Duration::from_millis(2_500));
/// Time without an answer to the append in flight from which new jobs are refused at once. A store
/// that is 60 times slower than usual answers within 0.9 s; a job submitted later would wait for the
/// rest of this append and for its own, longer than its client waits.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(900);
/// Timeout of a probe, an empty append to a store that does not answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before each probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(120);
/// Delay before a failed append is retried; the store rejects an append within 5 ms.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of jobs queued for a node's writer; about 10 s of all jobs of a large site.
const QUEUE_CAPACITY: usize = 1_024;
/// Size from which no more jobs join an append; half of what the platform takes in a call.
const MAX_BATCH_BYTES: usize = 1_000_000;

/// The outcome of writing a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store has the job.
    Stored,
    /// The job was not written and will not be. The client may submit it again after this time.
    Refused(Duration),
    /// The job is not accepted, since its id is in use by another account's job. The client gets the
    /// same answer as for [`WriteOutcome::Refused`], so it learns nothing of that job.
    IdInUse(Duration),
    /// The job may have been written; if it was, its id may be in use by another account's job.
    Unknown,
}

/// A job that waits to be written.
struct PendingJob {
    id: JobId,
    record: Record,
    deadline: Instant,
    /// Whether every attempt so far is certain to have had no effect.
    is_known_unwritten: bool,
    /// Set by the first of the writer, when it sends the job, and the client, when it times out. If
    /// the client sets it, the writer never sends the job.
    is_claimed: Arc<AtomicBool>,
    answer: oneshot::Sender<WriteOutcome>,
}

/// Availability and latency of the store, as seen by this node's appends of jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// When the last append succeeded, and how long it took; `None` if the last one failed.
    last_append: Option<(Instant, Duration)>,
    /// When the append in flight was sent.
    in_flight_since: Option<Instant>,
    /// When the first of the appends failed that have failed without a success since.
    failing_since: Option<Instant>,
    /// Whether the last append had no answer.
    is_last_unanswered: bool,
}

impl StoreHealth {
    /// Records that an append is sent.
    pub fn start_append(&mut self, now: Instant) {
        self.in_flight_since = Some(now);
    }

    /// Records the end of the append in flight. The latency of a failed one is not kept.
    pub fn finish_append(&mut self, now: Instant, has_succeeded: bool) {
        let took = self.in_flight_since.take().map(|sent| now.saturating_duration_since(sent));
        self.last_append = took.filter(|_| has_succeeded).map(|took| (now, took));
        self.failing_since = if has_succeeded { None } else { self.failing_since.or(Some(now)) };
    }

    /// Records whether the last append had no answer; `false` also once the store answers a probe.
    pub fn set_last_unanswered(&mut self, is_unanswered: bool) {
        self.is_last_unanswered = is_unanswered;
    }

    /// Whether the store does not answer. The outcome of a job that is sent to it then would be
    /// unknown, while a job that is not sent can be refused with certainty.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let overdue = |sent| now.saturating_duration_since(sent) > UNRESPONSIVE_AFTER;
        self.is_last_unanswered || self.in_flight_since.is_some_and(overdue)
    }

    /// How long all appends have failed; `None` if the last one succeeded.
    pub fn outage_duration(&self, now: Instant) -> Option<Duration> {
        self.failing_since.map(|since| now.saturating_duration_since(since))
    }

    /// Delay after which a refused client should retry.
    pub fn retry_after(&self, now: Instant) -> Duration {
        let outage = self.outage_duration(now).unwrap_or_default();
        self.expected_wait(now).max(outage.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1))
    }

    /// How long a job that is submitted now is expected to wait, given the latency of the last
    /// append: for the rest of the append in flight, then for its own. Zero if the last append
    /// failed or is too old to predict anything.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::commit::StoreHealth;
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut health = StoreHealth::default();
    /// health.start_append(start);
    /// health.finish_append(start + second, true);
    /// assert_eq!(health.expected_wait(start + second), second);
    /// assert_eq!(health.expected_wait(start + second * 3), Duration::ZERO);
    /// ```
    pub fn expected_wait(&self, now: Instant) -> Duration {
        let Some((ended_at, took)) = self.last_append else { return Duration::ZERO };
        if now.saturating_duration_since(ended_at) > took.max(LAST_APPEND_MAX_AGE) {
            return Duration::ZERO;
        }
        let rest = self
            .in_flight_since
            .map(|sent| took.saturating_sub(now.saturating_duration_since(sent)));
        rest.unwrap_or_default() + took
    }
}

/// Jobs that wait to be written to the store by one node.
pub struct Queue {
    sender: mpsc::Sender<PendingJob>,
    receiver: Mutex<Option<mpsc::Receiver<PendingJob>>>,
    health: Mutex<StoreHealth>,
    /// Number of failed appends; each failure moves the next append to another partition.
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
    /// Whether this node's appends of jobs succeed.
    pub fn is_store_available(&self, now: Instant) -> bool {
        let health = self.health();
        !health.is_unresponsive(now) && health.outage_duration(now).is_none()
    }

    fn health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().expect("no thread panics while it holds the store health lock")
    }
}

impl Node {
    /// The partition to which this node writes jobs. Nodes are distributed over the partitions by
    /// rank. Failed appends move a node to other partitions, since the store may be missing only
    /// some of them.
    fn partition_for_jobs(&self) -> Partition {
        let count = usize::from(record::job_partitions(self.settings.store_partitions));
        let rank = self.directory.rank(self.settings.peer_addr());
        let failures = self.commit_queue.failed_appends.load(Ordering::Relaxed);
        record::job_partition((rank.wrapping_add(failures) % count) as u16)
    }

    /// Writes a job to the store before `deadline`, and reports it to the leader.
    ///
    /// Once an append with the job had no answer, the job may have been written, whatever the
    /// outcome of later attempts.
    pub async fn commit_job(
        self: &Arc<Self>,
        id: JobId,
        accepted: Accepted,
        deadline: Instant,
    ) -> WriteOutcome {
        let now = clock::now();
        let health = *self.commit_queue.health();
        if health.is_unresponsive(now) {
            self.counters.count("batch.submit.refused.silent");
            return WriteOutcome::Refused(health.retry_after(now));
        }
        if now + health.expected_wait(now) >= deadline {
            self.counters.count("batch.submit.refused.pace");
            return WriteOutcome::Refused(health.retry_after(now));
        }
        if !self.reserve_job_memory(id, &accepted.job).await {
            self.counters.count("batch.submit.refused.memory");
            return WriteOutcome::Refused(health.retry_after(now));
        }
        let (answer, outcome) = oneshot::channel();
        let is_claimed = Arc::new(AtomicBool::new(false));
        let job = PendingJob {
            id,
            record: record::accepted(id, &accepted),
            deadline,
            is_known_unwritten: true,
            is_claimed: is_claimed.clone(),
            answer,
        };
        if self.commit_queue.sender.try_send(job).is_err() {
            self.counters.count("batch.submit.refused.queue");
            return WriteOutcome::Refused(self.commit_queue.health().retry_after(now));
        }
        let outcome = match timeout(deadline.saturating_duration_since(now), outcome).await {
            Ok(Ok(outcome)) => outcome,
            // The writer has not sent the job and will not.
            Err(_) if !is_claimed.swap(true, Ordering::AcqRel) => {
                WriteOutcome::Refused(self.commit_queue.health().retry_after(clock::now()))
            }
            Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
        };
        self.latencies.record("batch.submit.write", clock::since(now));
        if outcome != WriteOutcome::Stored {
            return outcome;
        }
        if !self.has_accounts() && accepted.account.is_none() {
            self.report_submitted(id, accepted);
            return WriteOutcome::Stored;
        }
        match self.is_id_in_use(id, accepted, deadline).await {
            Some(false) => WriteOutcome::Stored,
            Some(true) => {
                self.counters.count("batch.submit.refused.occupied");
                WriteOutcome::IdInUse(self.commit_queue.health().retry_after(now))
            }
            None => {
                self.counters.count("batch.submit.owner-unknown");
                WriteOutcome::Unknown
            }
        }
    }
}

/// Writes the queued jobs in batches until the process ends.
pub async fn run(node: Arc<Node>) {
    let receiver = node
        .commit_queue
        .receiver
        .lock()
        .expect("no thread panics while it holds the queue lock")
        .take();
    let mut queue = receiver.expect("the queue has one writer");
    let mut batch = Vec::new();
    loop {
        if batch.is_empty() {
            batch.extend(queue.recv().await);
        }
        let mut bytes: usize = batch.iter().map(size_bytes).sum();
        while bytes < MAX_BATCH_BYTES
            && let Ok(job) = queue.try_recv()
        {
            bytes += size_bytes(&job);
            batch.push(job);
        }
        batch = write_batch(&node, batch).await;
        if node.commit_queue.health().is_last_unanswered {
            wait_until_store_answers(&node).await;
        } else if !batch.is_empty() {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Probes the store until it answers again. Until then no job is sent, since the store might keep a
/// job without this node receiving the answer.
async fn wait_until_store_answers(node: &Node) {
    let since = clock::now();
    log::info!("the store does not answer; refusing jobs");
    loop {
        sleep(PROBE_INTERVAL).await;
        match node.append(node.partition_for_jobs(), &[], &Guard::None, PROBE_TIMEOUT).await {
            Err(error) if !error.is_known_not_done() => {
                node.counters.count("batch.submit.probe-unanswered");
                log::debug!("the store does not answer the probe: {error}");
            }
            Ok(_) | Err(_) => break,
        }
    }
    node.commit_queue.health().set_last_unanswered(false);
    let silent_ms = clock::since(since).as_millis() as u64;
    log::info!(silent_ms; "the store answers again");
}

fn size_bytes(job: &PendingJob) -> usize {
    job.record.key.len() + job.record.value.as_ref().map_or(0, Vec::len)
}

/// Writes a batch; returns the jobs to retry.
async fn write_batch(node: &Node, batch: Vec<PendingJob>) -> Vec<PendingJob> {
    // A job whose earlier append may have succeeded stays claimed by the writer. A job whose client
    // has timed out is not sent.
    let is_wanted = |job: &PendingJob| {
        !job.answer.is_closed()
            && (!job.is_known_unwritten || !job.is_claimed.swap(true, Ordering::AcqRel))
    };
    let batch: Vec<PendingJob> = batch.into_iter().filter(is_wanted).collect();
    if batch.is_empty() {
        return batch;
    }
    let records: Vec<Record> = batch.iter().map(|job| job.record.clone()).collect();
    let partition = node.partition_for_jobs();
    node.commit_queue.health().start_append(clock::now());
    let result = node.append(partition, &records, &Guard::None, APPEND_TIMEOUT).await;
    node.commit_queue.health().finish_append(clock::now(), result.is_ok());
    if let Err(error) = result {
        node.counters.count("batch.submit.write-failed");
        node.commit_queue.failed_appends.fetch_add(1, Ordering::Relaxed);
        node.commit_queue.health().set_last_unanswered(!error.is_known_not_done());
        return retry_or_refuse(node, batch, &error);
    }
    for job in batch {
        // A client that has timed out asks for the job's state later.
        let _ = job.answer.send(WriteOutcome::Stored);
    }
    Vec::new()
}

/// Handles the failed append of a batch: answers the clients that cannot wait for a retry, and all
/// clients once an outage has lasted [`OUTAGE_GRACE`]. Returns the jobs to retry.
fn retry_or_refuse(node: &Node, batch: Vec<PendingJob>, error: &CallError) -> Vec<PendingJob> {
    let now = clock::now();
    let health = *node.commit_queue.health();
    let is_outage = health.outage_duration(now).is_some_and(|outage| outage >= OUTAGE_GRACE);
    let mut to_retry = Vec::new();
    for mut job in batch {
        job.is_known_unwritten &= error.is_known_not_done();
        let id = format!("{:016x}", job.id);
        log::info!(job = id.as_str(), certain = job.is_known_unwritten; "job not written: {error}");
        if !is_outage && now + RETRY_DELAY < job.deadline {
            if job.is_known_unwritten {
                job.is_claimed.store(false, Ordering::Release);
            }
            to_retry.push(job);
            continue;
        }
        let outcome = if job.is_known_unwritten {
            WriteOutcome::Refused(health.retry_after(now))
        } else {
            WriteOutcome::Unknown
        };
        // A client that has timed out asks for the job's state later.
        let _ = job.answer.send(outcome);
    }
    to_retry
}
