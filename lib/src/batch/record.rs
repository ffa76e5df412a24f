//! Records in the store: jobs and their progress, workers that may run something, and waves whose
//! maintenance has started.

mod accepted;
mod job;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobError;
use spokelift_platform::job::JobId;
use spokelift_platform::job::parse_id;
use spokelift_platform::machine::MachineId;
use spokelift_platform::store::Partition;
use spokelift_platform::store::Record;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Run;
use thiserror::Error;

use crate::batch::caller::Caller;
use crate::batch::crash::Crash;
pub use crate::batch::record::accepted::Accepted;
pub use crate::batch::record::accepted::JobKey;
pub use crate::batch::record::job::JobRecord;
use crate::batch::run_time::StoredError;
use crate::batch::run_time::StoredRunTimes;
use crate::state::account::format_hash;
use crate::state::account::hash_secret;

/// Topic with the accepted jobs, by id. Every node writes to it, to one of a few partitions.
pub const JOB_TOPIC: &str = "keyed.jobs";
/// Maximum number of partitions of [`JOB_TOPIC`] in use. The store executes the appends of a
/// partition one after the other, each taking 2 ms, and 60 times that while it is slow: with one
/// partition, 32 nodes wait up to 4 s for each other, and the store rejects what has to wait for
/// more than 2 s. With 12 the wait is about 0.4 s. Each partition costs the leader one to two reads
/// a second.
const MAX_JOB_PARTITIONS: u16 = 12;
/// Topic with the progress of jobs, by id. Only the leader writes to it.
pub const PROGRESS_TOPIC: &str = "keyed.progress";
/// Prefix of the keys in [`JOB_TOPIC`] that request a job's cancellation.
const CANCEL_PREFIX: &str = "cancel/";
/// Prefix of the keys in [`PROGRESS_TOPIC`] that name incarnations of workers which may run
/// something. Older records name only the worker's id.
const WORKER_PREFIX: &str = "worker/";
/// Separates a job's id from the hash of its account in the keys of [`JOB_TOPIC`].
const OWNER_SEPARATOR: char = '/';
/// Digits of the hash of an account's name in these keys.
const OWNER_DIGITS: usize = 16;
/// Prefix of the keys in [`PROGRESS_TOPIC`] that record for how long workers have been unreachable.
const UNREACHABLE_PREFIX: &str = "unheard/";
/// Prefix of the keys in [`PROGRESS_TOPIC`] that name ended incarnations of workers.
const ENDED_PREFIX: &str = "gone/";
/// Key in [`PROGRESS_TOPIC`] of the boxes that were ordered recently or are about to be.
const ORDERED_KEY: &str = "ordered";
/// Key in [`PROGRESS_TOPIC`] of the learned run times.
const RUN_TIMES_KEY: &str = "run-times";
/// Prefix of the keys in [`PROGRESS_TOPIC`] that record a job's tasks under which workers crashed.
const CRASHES_PREFIX: &str = "crashes/";
/// Prefix of the keys in [`PROGRESS_TOPIC`] that record when maintenance waves were first seen.
const WAVE_SEEN_PREFIX: &str = "wave-seen/";
/// Prefix of the keys in [`PROGRESS_TOPIC`] that record the progress of maintenance waves.
const WAVE_PREFIX: &str = "wave/";

/// Position of a task in its job: repetition, step and index.
pub type TaskPosition = (u32, u16, u32);

/// Progress of a job.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Progress {
    /// The state it ended in; `None` if it has not ended.
    pub end: Option<JobState>,
    /// A task has started.
    #[serde(rename = "begun")]
    pub started: bool,
    /// For each repetition and step with a finished task, one bit for each task.
    pub done: Vec<(u32, u16, Vec<u8>)>,
    /// Tasks that failed, and which of their runs did.
    pub failed: Vec<(TaskPosition, Vec<Run>)>,
}

/// Tasks of a job under which workers crashed. Kept apart from [`Progress`], since older records of
/// that type have no such field and must still decode.
pub type Crashes = Vec<(TaskPosition, Vec<Crash>)>;

/// Why a record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// Its key has an unknown form.
    #[error("record key {0:?} has an unknown form")]
    Key(String),
    /// It holds a job that no node would have accepted.
    #[error("the job in record {0:?} is not valid")]
    Job(String, #[source] JobError),
    /// Its value does not decode.
    #[error("the value of record {0:?} does not decode")]
    Value(String, #[source] postcard::Error),
    /// It decodes to values that no node has written.
    #[error("the value of record {0:?} is not valid")]
    Content(String, #[source] StoredError),
}

/// A worker that may run something.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct StoredWorker {
    /// Where it is called.
    pub addr: SocketAddr,
    /// Its service.
    pub service: String,
    /// The machine it runs on, if its entry names one.
    pub machine: Option<MachineId>,
    /// Tasks that may be on the worker if it is unresponsive; `None` if it is not. It gets no
    /// further task until the store records that it answers again.
    #[serde(rename = "silent_with")]
    pub unresponsive_with: Option<Vec<(JobId, TaskPosition)>>,
}

/// A record of [`PROGRESS_TOPIC`].
#[derive(Debug, PartialEq)]
pub enum ProgressRecord {
    /// Progress of a job.
    Progress(JobId, Progress),
    /// Tasks of a job under which workers crashed.
    Crashes(JobId, Crashes),
    /// A worker that may run something.
    Worker(Incarnation, StoredWorker),
    /// For how long a worker has been unreachable.
    Unreachable(Incarnation, Duration),
    /// An ended incarnation of a worker.
    Ended(Incarnation),
    /// The machines of a wave whose maintenance has started.
    Wave(u64, Vec<MachineId>),
    /// When a scheduler first saw a wave, since the Unix epoch.
    WaveSeen(u64, Duration),
    /// Boxes that were ordered recently or are about to be.
    Ordered(HashSet<MachineId>),
    /// The run times that an earlier leader had learned.
    RunTimes(StoredRunTimes),
    /// A key was dropped.
    Dropped,
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("records can be written by postcard")
}

fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RecordError> {
    postcard::from_bytes(value).map_err(|error| RecordError::Value(key.to_owned(), error))
}

fn id_of(key: &str) -> Result<JobId, RecordError> {
    parse_id(key).ok_or_else(|| RecordError::Key(key.to_owned()))
}

fn job_key(id: JobId) -> String {
    format!("{id:016x}")
}

/// The key of an account's record of a job: the job's id, and a short hash of the account's name.
fn owned_key(key: &JobKey) -> String {
    let id = job_key(key.id);
    let Some(account) = &key.account else { return id };
    let hash = format_hash(&hash_secret(account));
    format!("{id}{OWNER_SEPARATOR}{}", &hash[..OWNER_DIGITS])
}

/// The job that a key of [`owned_key`] names.
fn id_of_owned(key: &str) -> Result<JobId, RecordError> {
    id_of(key.split_once(OWNER_SEPARATOR).map_or(key, |(id, _)| id))
}

fn cancel_key(key: &JobKey) -> String {
    format!("{CANCEL_PREFIX}{}", owned_key(key))
}

fn worker_key(incarnation: &Incarnation) -> String {
    format!("{WORKER_PREFIX}{incarnation}")
}

fn unreachable_key(incarnation: &Incarnation) -> String {
    format!("{UNREACHABLE_PREFIX}{incarnation}")
}

fn ended_key(incarnation: &Incarnation) -> String {
    format!("{ENDED_PREFIX}{incarnation}")
}

fn crashes_key(id: JobId) -> String {
    format!("{CRASHES_PREFIX}{id:016x}")
}

fn wave_key(number: u64) -> String {
    format!("{WAVE_PREFIX}{number}")
}

fn wave_seen_key(number: u64) -> String {
    format!("{WAVE_SEEN_PREFIX}{number}")
}

fn wave_number(record: &Record, number: &str) -> Result<u64, RecordError> {
    number.parse().map_err(|_| RecordError::Key(record.key.clone()))
}

/// How many partitions of [`JOB_TOPIC`] are in use if the topic has `available`.
pub fn job_partitions(available: u16) -> u16 {
    available.clamp(1, MAX_JOB_PARTITIONS)
}

/// A partition of [`JOB_TOPIC`].
pub fn job_partition(number: u16) -> Partition {
    Partition { topic: JOB_TOPIC.to_owned(), number }
}

/// The record of an accepted job.
pub fn accepted(id: JobId, accepted: &Accepted) -> Record {
    let key = JobKey { id, account: accepted.account.clone() };
    Record::set(owned_key(&key), encode(accepted))
}

/// The record that requests a job's cancellation; it belongs in the first partition.
pub fn cancel(id: JobId, caller: &Caller) -> Record {
    let key = JobKey { id, account: caller.account().cloned() };
    Record::set(cancel_key(&key), encode(caller))
}

/// The record that drops a caller's cancellation request for a job.
pub fn forget_cancel_by(id: JobId, caller: &Caller) -> Record {
    Record::tombstone(cancel_key(&JobKey { id, account: caller.account().cloned() }))
}

/// The record that drops a job from a partition of [`JOB_TOPIC`].
pub fn forget_job(key: &JobKey) -> Record {
    Record::tombstone(owned_key(key))
}

/// The records that drop cancellation requests for a job: its account's, and those of callers
/// without an account.
pub fn forget_cancel(key: &JobKey) -> impl Iterator<Item = Record> {
    let anyone = JobKey { id: key.id, account: None };
    let keys = [cancel_key(key), cancel_key(&anyone)];
    keys.into_iter().map(Record::tombstone)
}

/// The record of a job's progress.
pub fn progress(id: JobId, progress: &Progress) -> Record {
    Record::set(job_key(id), encode(progress))
}

/// The record that drops a job's progress.
pub fn forget_progress(id: JobId) -> Record {
    Record::tombstone(job_key(id))
}

/// The record of the tasks of a job under which workers crashed.
pub fn crashes(id: JobId, crashes: &Crashes) -> Record {
    Record::set(crashes_key(id), encode(crashes))
}

/// The record that drops the tasks of a job under which workers crashed.
pub fn forget_crashes(id: JobId) -> Record {
    Record::tombstone(crashes_key(id))
}

/// The record of a worker that may run something from now on.
pub fn worker(incarnation: &Incarnation, stored: &StoredWorker) -> Record {
    Record::set(worker_key(incarnation), encode(stored))
}

/// The record of how long a worker has been unreachable.
pub fn unreachable(incarnation: &Incarnation, time: Duration) -> Record {
    Record::set(unreachable_key(incarnation), encode(&time))
}

/// The record that drops for how long a worker has been unreachable.
pub fn forget_unreachable(incarnation: &Incarnation) -> Record {
    Record::tombstone(unreachable_key(incarnation))
}

/// The record of an ended incarnation.
pub fn ended(incarnation: &Incarnation) -> Record {
    // The value carries no information, but a record without one would drop the key.
    Record::set(ended_key(incarnation), encode(&true))
}

/// The record that drops an ended incarnation.
pub fn forget_ended(incarnation: &Incarnation) -> Record {
    Record::tombstone(ended_key(incarnation))
}

/// The record of the machines of a wave whose maintenance has started.
pub fn wave(number: u64, started: &[MachineId]) -> Record {
    Record::set(wave_key(number), encode(&started))
}

/// The record of when a wave was first seen, since the Unix epoch.
pub fn wave_seen(number: u64, at: Duration) -> Record {
    Record::set(wave_seen_key(number), encode(&at))
}

/// The record that drops the time at which a wave was first seen.
pub fn forget_wave_seen(number: u64) -> Record {
    Record::tombstone(wave_seen_key(number))
}

/// The record of the boxes that were ordered recently or are about to be.
pub fn ordered(boxes: &HashSet<MachineId>) -> Record {
    Record::set(ORDERED_KEY, encode(boxes))
}

/// The record of the learned run times.
pub fn run_times(stored: &StoredRunTimes) -> Record {
    Record::set(RUN_TIMES_KEY, encode(stored))
}

/// The record that drops the progress of a wave.
pub fn forget_wave(number: u64) -> Record {
    Record::tombstone(wave_key(number))
}

/// The record that drops a worker which runs nothing any more.
pub fn forget_worker(incarnation: &Incarnation) -> Record {
    Record::tombstone(worker_key(incarnation))
}

impl ProgressRecord {
    /// Decodes a record of [`PROGRESS_TOPIC`].
    ///
    /// # Errors
    ///
    /// [`RecordError`] if its key, its value or the job in it is not valid.
    pub fn decode(record: &Record) -> Result<ProgressRecord, RecordError> {
        let Some(value) = &record.value else { return Ok(ProgressRecord::Dropped) };
        if let Some(id) = record.key.strip_prefix(WORKER_PREFIX) {
            return Ok(ProgressRecord::Worker(Incarnation::from(id), decode(&record.key, value)?));
        }
        if let Some(id) = record.key.strip_prefix(CRASHES_PREFIX) {
            return Ok(ProgressRecord::Crashes(id_of(id)?, decode(&record.key, value)?));
        }
        if let Some(id) = record.key.strip_prefix(UNREACHABLE_PREFIX) {
            return Ok(ProgressRecord::Unreachable(
                Incarnation::from(id),
                decode(&record.key, value)?,
            ));
        }
        if let Some(id) = record.key.strip_prefix(ENDED_PREFIX) {
            return Ok(ProgressRecord::Ended(Incarnation::from(id)));
        }
        if let Some(number) = record.key.strip_prefix(WAVE_PREFIX) {
            let number = wave_number(record, number)?;
            return Ok(ProgressRecord::Wave(number, decode(&record.key, value)?));
        }
        if let Some(number) = record.key.strip_prefix(WAVE_SEEN_PREFIX) {
            let number = wave_number(record, number)?;
            return Ok(ProgressRecord::WaveSeen(number, decode(&record.key, value)?));
        }
        if record.key == ORDERED_KEY {
            return Ok(ProgressRecord::Ordered(decode(&record.key, value)?));
        }
        if record.key == RUN_TIMES_KEY {
            let stored: StoredRunTimes = decode(&record.key, value)?;
            let invalid = |error| RecordError::Content(record.key.clone(), error);
            stored.validate().map_err(invalid)?;
            return Ok(ProgressRecord::RunTimes(stored));
        }
        let id = id_of(&record.key)?;
        Ok(ProgressRecord::Progress(id, decode(&record.key, value)?))
    }
}
