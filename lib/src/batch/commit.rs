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
const WRITE: Duration = Duration::from_millis(1_500);
/// Age from which the time of the last append says nothing of the next one, unless it took longer.
const PACE_AGE: Duration = Duration::from_millis(1_000);
/// How long the store must have been away until jobs are refused as soon as a write has failed. A
/// store that only sheds load takes the next try, 60 ms later.
const GRACE: Duration = Duration::from_millis(300);
/// Bounds of the time after which a client that was refused comes back. In between it is as long as
/// the store has been away: an outage lasts about as much longer as it has lasted.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(800), Duration::from_millis(2_500));
/// How long the append under way may go without an answer until jobs are refused as soon as they
/// come. A store that is 60 times slower than usual answers within 0.9 s; what comes after that
/// would have to wait for the rest of this append and for its own, longer than its client does.
const OVERDUE: Duration = Duration::from_millis(900);
/// How long a silent store is given to answer an append of nothing.
const PROBE: Duration = Duration::from_millis(1_000);
/// Time between these.
const PROBE_PAUSE: Duration = Duration::from_millis(120);
/// Pause between tries; the store refuses within 5 ms.
const PAUSE: Duration = Duration::from_millis(60);
/// Jobs that may wait for one node's writer; about 10 s of all that a large site asks for.
const QUEUE: usize = 1_024;
/// Most bytes of one append, half of what the platform takes in a call.
const BATCH_BYTES: usize = 1_000_000;

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The store keeps it.
    Kept,
    /// It was not taken and never will be. It may be sent again after this time.
    Refused(Duration),
    /// It was not taken and never will be under this id. The caller is told no more than that.
    Occupied(Duration),
    /// It may have been taken.
    Unknown,
}

/// A job that waits to be written.
struct Waiting {
    id: JobId,
    record: Record,
    until: Instant,
    /// Whether every try so far is certain to have done nothing.
    certain: bool,
    /// Set by whoever comes first: the writer that sends it, or the client that gives up on it.
    claimed: Arc<AtomicBool>,
    answer: oneshot::Sender<Written>,
}

/// What is known of the pace of writes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// When the last append was done, and how long it took.
    done: Option<(Instant, Duration)>,
    /// When the append under way was sent.
    sent: Option<Instant>,
    /// Since when every append has failed.
    away_since: Option<Instant>,
    /// The last append had no answer.
    is_silent: bool,
}

impl Pace {
    /// An append is sent.
    pub fn begin(&mut self, now: Instant) {
        self.sent = Some(now);
    }

    /// The append under way has ended. One that failed says nothing of the pace.
    pub fn end(&mut self, now: Instant, is_done: bool) {
        let took = self.sent.take().map(|sent| now.saturating_duration_since(sent));
        self.done = took.filter(|_| is_done).map(|took| (now, took));
        self.away_since = if is_done { None } else { self.away_since.or(Some(now)) };
    }

    /// The last append had no answer, or has one at last.
    pub fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Whether the store gives no answer: of a job that is sent to it nobody knows whether it is
    /// kept, and one that is not sent can be refused for certain.
    pub fn is_silent(&self, now: Instant) -> bool {
        let overdue = |sent| now.saturating_duration_since(sent) > OVERDUE;
        self.is_silent || self.sent.is_some_and(overdue)
    }

    /// How long every append has failed; `None` if the last one was done.
    pub fn away(&self, now: Instant) -> Option<Duration> {
        self.away_since.map(|since| now.saturating_duration_since(since))
    }

    /// When a client that is refused should come back.
    pub fn come_back(&self, now: Instant) -> Duration {
        let away = self.away(now).unwrap_or_default();
        self.wait(now).max(away.clamp(COME_BACK.0, COME_BACK.1))
    }

    /// How long a job that comes now has to wait, by the last append: for the rest of the one under
    /// way, then for its own. Nothing is known of that if the last append failed or is too old.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::commit::Pace;
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut pace = Pace::default();
    /// pace.begin(start);
    /// pace.end(start + second, true);
    /// assert_eq!(pace.wait(start + second), second);
    /// assert_eq!(pace.wait(start + second * 3), Duration::ZERO);
    /// ```
    pub fn wait(&self, now: Instant) -> Duration {
        let Some((at, took)) = self.done else { return Duration::ZERO };
        if now.saturating_duration_since(at) > took.max(PACE_AGE) {
            return Duration::ZERO;
        }
        let rest = self.sent.map(|sent| took.saturating_sub(now.saturating_duration_since(sent)));
        rest.unwrap_or_default() + took
    }
}

/// Jobs that wait to be written at one node.
pub struct Queue {
    sender: mpsc::Sender<Waiting>,
    receiver: Mutex<Option<mpsc::Receiver<Waiting>>>,
    pace: Mutex<Pace>,
    /// Appends that failed; each makes the next one go to another partition.
    failures: AtomicUsize,
}

impl Default for Queue {
    fn default() -> Queue {
        let (sender, receiver) = mpsc::channel(QUEUE);
        Queue {
            sender,
            receiver: Mutex::new(Some(receiver)),
            pace: Mutex::default(),
            failures: AtomicUsize::new(0),
        }
    }
}

impl Queue {
    fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().expect("no holder of the pace panics")
    }
}

impl Node {
    /// Where this node writes jobs: in calm it shares a partition with few others. A store that
    /// lacks some of its partitions refuses there only.
    fn partition_for_jobs(&self) -> Partition {
        let count = usize::from(record::job_partitions(self.settings.store_partitions));
        let rank = self.directory.rank(self.settings.peer_addr());
        let failures = self.commits.failures.load(Ordering::Relaxed);
        record::job_partition((rank.wrapping_add(failures) % count) as u16)
    }

    /// Has a job written to the store before `until`, and tells the holder of the lead.
    ///
    /// Once a write has had no answer, the job may be taken whatever later tries say.
    pub async fn commit(
        self: &Arc<Self>,
        id: JobId,
        accepted: Accepted,
        until: Instant,
    ) -> Written {
        let now = clock::now();
        let pace = *self.commits.pace();
        if pace.is_silent(now) {
            self.counters.count("batch.submit.refused.silent");
            return Written::Refused(pace.come_back(now));
        }
        if now + pace.wait(now) >= until {
            self.counters.count("batch.submit.refused.pace");
            return Written::Refused(pace.come_back(now));
        }
        let (answer, answered) = oneshot::channel();
        let claimed = Arc::new(AtomicBool::new(false));
        let waiting = Waiting {
            id,
            record: record::accepted(id, &accepted),
            until,
            certain: true,
            claimed: claimed.clone(),
            answer,
        };
        if self.commits.sender.try_send(waiting).is_err() {
            self.counters.count("batch.submit.refused.queue");
            return Written::Refused(self.commits.pace().come_back(now));
        }
        let written = match timeout(until.saturating_duration_since(now), answered).await {
            Ok(Ok(written)) => written,
            // The writer has not sent it and will not.
            Err(_) if !claimed.swap(true, Ordering::AcqRel) => {
                Written::Refused(self.commits.pace().come_back(clock::now()))
            }
            Ok(Err(_)) | Err(_) => Written::Unknown,
        };
        self.latencies.record("batch.submit.write", clock::since(now));
        if written != Written::Kept {
            return written;
        }
        if accepted.account.is_none() {
            self.tell_submitted(id, accepted);
        } else if self.is_occupied(id, accepted).await {
            self.counters.count("batch.submit.refused.occupied");
            return Written::Occupied(self.commits.pace().come_back(now));
        }
        Written::Kept
    }
}

/// Writes what waits until the process ends.
pub async fn run(node: Arc<Node>) {
    let receiver = node.commits.receiver.lock().expect("no holder of the queue panics").take();
    let mut queue = receiver.expect("the queue has one writer");
    let mut left = Vec::new();
    loop {
        if left.is_empty() {
            left.extend(queue.recv().await);
        }
        let mut bytes: usize = left.iter().map(size).sum();
        while bytes < BATCH_BYTES
            && let Ok(waiting) = queue.try_recv()
        {
            bytes += size(&waiting);
            left.push(waiting);
        }
        left = write(&node, left).await;
        if node.commits.pace().is_silent {
            await_answer(&node).await;
        } else if !left.is_empty() {
            sleep(PAUSE).await;
        }
    }
}

/// Waits until the store answers again. Meanwhile nothing is sent that could be kept unheard.
async fn await_answer(node: &Node) {
    let since = clock::now();
    log::info!("jobs are refused: the store gives no answer");
    loop {
        sleep(PROBE_PAUSE).await;
        match node.append(node.partition_for_jobs(), &[], &Guard::None, PROBE).await {
            Err(error) if !error.is_certain() => {
                node.counters.count("batch.submit.probe-unanswered");
                log::debug!("the store still gives no answer: {error}");
            }
            Ok(_) | Err(_) => break,
        }
    }
    node.commits.pace().set_silent(false);
    let silent_ms = clock::since(since).as_millis() as u64;
    log::info!(silent_ms; "the store answers again");
}

fn size(waiting: &Waiting) -> usize {
    waiting.record.key.len() + waiting.record.value.as_ref().map_or(0, Vec::len)
}

/// Writes a batch; returns what is to be tried again.
async fn write(node: &Node, batch: Vec<Waiting>) -> Vec<Waiting> {
    // A job that was sent before stays claimed; one that its client has given up on is not sent.
    let is_wanted = |waiting: &Waiting| {
        !waiting.answer.is_closed()
            && (!waiting.certain || !waiting.claimed.swap(true, Ordering::AcqRel))
    };
    let batch: Vec<Waiting> = batch.into_iter().filter(is_wanted).collect();
    if batch.is_empty() {
        return batch;
    }
    let records: Vec<Record> = batch.iter().map(|waiting| waiting.record.clone()).collect();
    let partition = node.partition_for_jobs();
    node.commits.pace().begin(clock::now());
    let written = node.append(partition, &records, &Guard::None, WRITE).await;
    node.commits.pace().end(clock::now(), written.is_ok());
    if let Err(error) = written {
        node.counters.count("batch.submit.write-failed");
        node.commits.failures.fetch_add(1, Ordering::Relaxed);
        node.commits.pace().set_silent(!error.is_certain());
        return retry_or_refuse(node, batch, &error);
    }
    for waiting in batch {
        // A client that has gone asks for the job later.
        let _ = waiting.answer.send(Written::Kept);
    }
    Vec::new()
}

/// Takes in that a batch was not written: answers the clients whose time is over, and all of them
/// while the store is away; returns what is to be tried again.
fn retry_or_refuse(node: &Node, batch: Vec<Waiting>, error: &CallError) -> Vec<Waiting> {
    let now = clock::now();
    let pace = *node.commits.pace();
    let is_away = pace.away(now).is_some_and(|away| away >= GRACE);
    let mut left = Vec::new();
    for mut waiting in batch {
        waiting.certain &= error.is_certain();
        let job = format!("{:016x}", waiting.id);
        log::info!(job = job.as_str(), certain = waiting.certain; "job not written: {error}");
        if !is_away && now + PAUSE < waiting.until {
            if waiting.certain {
                waiting.claimed.store(false, Ordering::Release);
            }
            left.push(waiting);
            continue;
        }
        let outcome =
            if waiting.certain { Written::Refused(pace.come_back(now)) } else { Written::Unknown };
        // A client that has gone asks for the job later.
        let _ = waiting.answer.send(outcome);
    }
    left
}
