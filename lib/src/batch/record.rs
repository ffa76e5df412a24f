//! What the store keeps: jobs and how far they are, workers that may run something, and waves
//! whose upkeep has begun.

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
use crate::state::account::format_hash;
use crate::state::account::hash_secret;

/// Topic with the jobs as accepted, by id. Every node writes to it, to one of a few partitions.
pub const JOB_TOPIC: &str = "keyed.jobs";
/// Most partitions of [`JOB_TOPIC`] in use. The store takes the appends of a partition in turn, at
/// 60 times its usual 2 ms each while it is slow: with one partition, 32 nodes waited for each other
/// for 4 s, and it refuses what has to wait for more than 2 s. With 12 it is about 0.4 s. Each costs
/// the holder of the lead one to two reads a second.
const MAX_JOB_PARTITIONS: u16 = 12;
/// Topic with how far jobs are, by id. Only the holder of the lead writes to it.
pub const PROGRESS_TOPIC: &str = "keyed.progress";
/// Start of the keys in [`JOB_TOPIC`] that ask for a job to be cancelled.
const CANCEL_PREFIX: &str = "cancel/";
/// Start of the keys in [`PROGRESS_TOPIC`] that name lives of workers which may run something. Records of before lives were
/// told apart name the worker's id alone.
const WORKER_PREFIX: &str = "worker/";
/// Stands between a job's id and its account in the keys of [`JOB_TOPIC`].
const OWNER_SEPARATOR: char = '/';
/// Digits of the hash of an account's name in them.
const OWNER_DIGITS: usize = 16;
/// Start of the keys in [`PROGRESS_TOPIC`] that tell for how long no scheduler has heard of workers.
const UNREACHABLE_PREFIX: &str = "unheard/";
/// Start of the keys in [`PROGRESS_TOPIC`] that name lives of workers that are over.
const ENDED_PREFIX: &str = "gone/";
/// Key in [`PROGRESS_TOPIC`] of the boxes that were ordered lately or are about to be.
const ORDERED_KEY: &str = "ordered";
/// Start of the keys in [`PROGRESS_TOPIC`] that tell under which tasks workers crashed, by job.
const CRASHES_PREFIX: &str = "crashes/";
/// Start of the keys in [`PROGRESS_TOPIC`] that tell when waves were first seen.
const WAVE_SEEN_PREFIX: &str = "wave-seen/";
/// Start of the keys in [`PROGRESS_TOPIC`] that tell how far waves are.
const WAVE_PREFIX: &str = "wave/";

/// Which of a job's tasks: repetition, step and index.
pub type TaskPosition = (u32, u16, u32);

/// How far a job is.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Progress {
    /// The state it ended in, if it has ended.
    pub end: Option<JobState>,
    /// A task has begun.
    #[serde(rename = "begun")]
    pub started: bool,
    /// For each repetition and step with a task that is done, a bit for each task.
    pub done: Vec<(u32, u16, Vec<u8>)>,
    /// Tasks that failed, and the runs that did.
    pub failed: Vec<(TaskPosition, Vec<Run>)>,
}

/// Tasks of a job under which workers crashed. Apart from [`Progress`], whose records of before this was
/// kept must still be read.
pub type Crashes = Vec<(TaskPosition, Vec<Crash>)>;

/// Why a record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// Its key is none of ours.
    #[error("unknown key {0:?}")]
    Key(String),
    /// It holds a job that no node would have accepted.
    #[error("the job of {0:?} cannot be used")]
    Job(String, #[source] JobError),
    /// Its value does not decode.
    #[error("the value of {0:?} does not decode")]
    Value(String, #[source] postcard::Error),
}

/// What the store keeps of a worker that may run something.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct StoredWorker {
    /// Where it is called.
    pub addr: SocketAddr,
    /// Its service.
    pub service: String,
    /// The machine it lives on, if it says so.
    pub machine: Option<MachineId>,
    /// The worker fell silent, and these are the tasks that may be on it. It is given no others
    /// before the store knows that it is heard of again.
    #[serde(rename = "silent_with")]
    pub unresponsive_with: Option<Vec<(JobId, TaskPosition)>>,
}

/// A record of [`PROGRESS_TOPIC`].
#[derive(Debug, PartialEq)]
pub enum ProgressRecord {
    /// How far a job is.
    Progress(JobId, Progress),
    /// Tasks of a job under which workers crashed.
    Crashes(JobId, Crashes),
    /// A worker that may run something.
    Worker(Incarnation, StoredWorker),
    /// For how long no scheduler has heard of a worker.
    Unreachable(Incarnation, Duration),
    /// A worker whose life is over.
    Ended(Incarnation),
    /// The machines of a wave whose upkeep has begun.
    Wave(u64, Vec<MachineId>),
    /// When a scheduler first saw a wave, since 1970.
    WaveSeen(u64, Duration),
    /// Boxes that were ordered lately or are about to be.
    Ordered(HashSet<MachineId>),
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

/// The key of what an account says of a job: the job's id, and a short hash of the account's name.
fn owned_key(key: &JobKey) -> String {
    let id = job_key(key.id);
    let Some(account) = &key.account else { return id };
    let hash = format_hash(&hash_secret(account));
    format!("{id}{OWNER_SEPARATOR}{}", &hash[..OWNER_DIGITS])
}

/// The job that such a key names.
fn id_of_owned(key: &str) -> Result<JobId, RecordError> {
    id_of(key.split_once(OWNER_SEPARATOR).map_or(key, |(id, _)| id))
}

fn cancel_key(key: &JobKey) -> String {
    format!("{CANCEL_PREFIX}{}", owned_key(key))
}

fn worker_key(life: &Incarnation) -> String {
    format!("{WORKER_PREFIX}{life}")
}

fn unreachable_key(life: &Incarnation) -> String {
    format!("{UNREACHABLE_PREFIX}{life}")
}

fn ended_key(life: &Incarnation) -> String {
    format!("{ENDED_PREFIX}{life}")
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

/// How many partitions of [`JOB_TOPIC`] are in use, where a topic has so many.
pub fn job_partitions(of_topic: u16) -> u16 {
    of_topic.clamp(1, MAX_JOB_PARTITIONS)
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

/// The record that asks for a job to be cancelled; it lies in the first partition.
pub fn cancel(id: JobId, caller: &Caller) -> Record {
    let key = JobKey { id, account: caller.account().cloned() };
    Record::set(cancel_key(&key), encode(caller))
}

/// The record that lets go of a job in a partition of [`JOB_TOPIC`].
pub fn forget_job(key: &JobKey) -> Record {
    Record::drop_key(owned_key(key))
}

/// The records that let go of wishes to cancel a job: its account's, and those of whoever has none.
pub fn forget_cancel(key: &JobKey) -> impl Iterator<Item = Record> {
    let anyone = JobKey { id: key.id, account: None };
    let keys = [cancel_key(key), cancel_key(&anyone)];
    keys.into_iter().map(Record::drop_key)
}

/// The record of a job's progress.
pub fn progress(id: JobId, progress: &Progress) -> Record {
    Record::set(job_key(id), encode(progress))
}

/// The record that lets go of a job's progress.
pub fn forget_progress(id: JobId) -> Record {
    Record::drop_key(job_key(id))
}

/// The record of the tasks of a job under which workers crashed.
pub fn crashes(id: JobId, crashes: &Crashes) -> Record {
    Record::set(crashes_key(id), encode(crashes))
}

/// The record that lets go of them.
pub fn forget_crashes(id: JobId) -> Record {
    Record::drop_key(crashes_key(id))
}

/// The record of a worker that may run something from now on.
pub fn worker(life: &Incarnation, known: &StoredWorker) -> Record {
    Record::set(worker_key(life), encode(known))
}

/// The record of how long no scheduler has heard of a worker.
pub fn unreachable(life: &Incarnation, time: Duration) -> Record {
    Record::set(unreachable_key(life), encode(&time))
}

/// The record that lets go of that.
pub fn forget_unreachable(life: &Incarnation) -> Record {
    Record::drop_key(unreachable_key(life))
}

/// The record of a worker whose life is over.
pub fn ended(life: &Incarnation) -> Record {
    // The value says nothing, but a record without one would drop the key.
    Record::set(ended_key(life), encode(&true))
}

/// The record that lets go of a worker whose life is over.
pub fn forget_ended(life: &Incarnation) -> Record {
    Record::drop_key(ended_key(life))
}

/// The record of the machines of a wave whose upkeep has begun.
pub fn wave(number: u64, begun: &[MachineId]) -> Record {
    Record::set(wave_key(number), encode(&begun))
}

/// The record of when a wave was first seen, since 1970.
pub fn wave_seen(number: u64, at: Duration) -> Record {
    Record::set(wave_seen_key(number), encode(&at))
}

/// The record that lets go of that.
pub fn forget_wave_seen(number: u64) -> Record {
    Record::drop_key(wave_seen_key(number))
}

/// The record of the boxes that were ordered lately or are about to be.
pub fn ordered(boxes: &HashSet<MachineId>) -> Record {
    Record::set(ORDERED_KEY, encode(boxes))
}

/// The record that lets go of a wave.
pub fn forget_wave(number: u64) -> Record {
    Record::drop_key(wave_key(number))
}

/// The record of a worker that runs nothing any more.
pub fn forget_worker(life: &Incarnation) -> Record {
    Record::drop_key(worker_key(life))
}

impl ProgressRecord {
    /// Reads a record of [`PROGRESS_TOPIC`].
    ///
    /// # Errors
    ///
    /// [`RecordError`] if it is none of ours.
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
        let id = id_of(&record.key)?;
        Ok(ProgressRecord::Progress(id, decode(&record.key, value)?))
    }
}
