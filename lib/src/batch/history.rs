//! What was decided about each job, kept in the leader's memory for operators.
//!
//! Bounded: of a job the first decisions and the latest ones are kept, and beyond a total the
//! oldest jobs are forgotten. A new leader begins without any.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Run;

use crate::transport::clock;

/// Decisions kept of a job.
const MAX_OF_JOB: usize = 32;
/// Of these, the first ones, which stay when later ones are left out.
const FIRST_OF_JOB: usize = 8;
/// Decisions kept of all jobs. One takes 130 bytes with its share of the tables.
const MAX_DECISIONS: usize = 65_536;

/// A decision about a task or a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It was started.
    Started {
        /// The worker.
        worker: Incarnation,
        /// The run.
        run: Run,
        /// How long it had waited.
        waited: Duration,
    },
    /// The worker refused the start, or was not reached.
    NotAccepted {
        /// The worker.
        worker: Incarnation,
        /// The worker's reason.
        why: String,
    },
    /// Its run was ordered to stop.
    Stopped {
        /// The worker.
        worker: Incarnation,
        /// Why.
        why: &'static str,
    },
    /// Its run has failed.
    Failed {
        /// The worker.
        worker: Incarnation,
        /// Failed runs so far.
        failed: u32,
        /// Failed runs at which the job fails.
        limit: u32,
    },
    /// Its run is over since its worker is lost or has ended.
    Lost {
        /// The worker.
        worker: Incarnation,
    },
    /// Its worker has crashed, which counts against it as far as the evidence goes.
    Crashed {
        /// The worker.
        worker: Incarnation,
    },
    /// A run of an earlier leader was found.
    Found {
        /// The worker.
        worker: Incarnation,
        /// Whether it may go on; else it is stopped.
        wanted: bool,
    },
    /// It waits, since its account is at its quota.
    HeldByQuota,
    /// Its step comes after all others, since it cannot meet its objective any more.
    PutLast,
    /// Its job was cancelled before this leader knew it.
    CancelledEarly,
    /// Its job has ended.
    Ended(JobState),
}

impl Decision {
    /// Whether it only says why a task waits, and is made again in each round.
    fn is_repeated(&self) -> bool {
        matches!(self, Decision::HeldByQuota | Decision::PutLast)
    }
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Decision::Started { worker, run, waited } => {
                write!(f, "run {run} started on {worker} after {} ms", waited.as_millis())
            }
            Decision::NotAccepted { worker, why } => write!(f, "start on {worker} failed: {why}"),
            Decision::Stopped { worker, why } => write!(f, "stopped on {worker}: {why}"),
            Decision::Failed { worker, failed, limit } => {
                write!(f, "failed on {worker}: {failed} of {limit}")
            }
            Decision::Lost { worker } => write!(f, "lost with {worker}"),
            Decision::Crashed { worker } => write!(f, "{worker} crashed under it"),
            Decision::Found { worker, wanted: true } => {
                write!(f, "run of an earlier leader found on {worker}")
            }
            Decision::Found { worker, wanted: false } => {
                write!(f, "run of an earlier leader found on {worker}, not wanted")
            }
            Decision::HeldByQuota => f.write_str("its account is at its quota"),
            Decision::PutLast => f.write_str("put last: its objective is out of reach"),
            Decision::CancelledEarly => f.write_str("cancelled before the job was known"),
            Decision::Ended(state) => write!(f, "job ended: {state:?}"),
        }
    }
}

/// A decision with its place and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// When it was taken.
    pub at: Instant,
    /// The repetition, step and index of the task; `None` for the whole job.
    pub place: Option<(u32, u16, u32)>,
    /// The decision.
    pub decision: Decision,
}

/// The decisions about all jobs.
#[derive(Debug, Default)]
pub struct History {
    jobs: BTreeMap<JobId, OfJob>,
    /// The jobs in the order of their first decisions.
    order: VecDeque<JobId>,
    decisions: usize,
}

/// The decisions about one job.
#[derive(Debug, Default)]
struct OfJob {
    entries: VecDeque<Entry>,
    left_out: u64,
}

impl History {
    /// Records a decision about a task.
    ///
    /// ```
    /// use spokelift_lib::batch::history::Decision;
    /// use spokelift_lib::batch::history::History;
    /// use spokelift_platform::job::TaskName;
    /// let mut history = History::default();
    /// let task = TaskName { job: 7, repetition: 0, step: 1, index: 0 };
    /// history.record(task, Decision::PutLast);
    /// // Said once until something else is decided about the task.
    /// history.record(task, Decision::PutLast);
    /// let (entries, left_out) = history.of_job(7);
    /// assert_eq!((entries.count(), left_out), (1, 0));
    /// ```
    pub fn record(&mut self, task: TaskName, decision: Decision) {
        self.push(task.job, Some((task.repetition, task.step, task.index)), decision);
    }

    /// Records a decision about a whole job.
    pub fn record_job(&mut self, job: JobId, decision: Decision) {
        self.push(job, None, decision);
    }

    /// The decisions about a job that are kept, in their order, and the number of those left out
    /// before the latest ones.
    pub fn of_job(&self, job: JobId) -> (impl Iterator<Item = &Entry>, u64) {
        let of_job = self.jobs.get(&job);
        let left_out = of_job.map_or(0, |of_job| of_job.left_out);
        (of_job.into_iter().flat_map(|of_job| &of_job.entries), left_out)
    }

    /// Number of all decisions that are kept.
    pub fn decisions(&self) -> usize {
        self.decisions
    }

    fn push(&mut self, job: JobId, place: Option<(u32, u16, u32)>, decision: Decision) {
        let of_job = self.jobs.entry(job).or_insert_with(|| {
            self.order.push_back(job);
            OfJob::default()
        });
        if decision.is_repeated() && of_job.says(place, &decision) {
            return;
        }
        of_job.entries.push_back(Entry { at: clock::now(), place, decision });
        self.decisions += 1;
        if of_job.entries.len() > MAX_OF_JOB {
            of_job.entries.remove(FIRST_OF_JOB);
            of_job.left_out += 1;
            self.decisions -= 1;
        }
        while self.decisions > MAX_DECISIONS {
            let Some(oldest) = self.order.pop_front() else { return };
            let of_oldest = self.jobs.remove(&oldest);
            self.decisions -= of_oldest.map_or(0, |of_job| of_job.entries.len());
        }
    }
}

impl OfJob {
    /// Whether a decision stands for a place, with only repeated ones after it.
    fn says(&self, place: Option<(u32, u16, u32)>, decision: &Decision) -> bool {
        let of_place = self.entries.iter().rev().filter(|entry| entry.place == place);
        let mut waiting = of_place.take_while(|entry| entry.decision.is_repeated());
        waiting.any(|entry| entry.decision == *decision)
    }
}
