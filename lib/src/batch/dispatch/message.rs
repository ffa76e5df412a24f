//! What a scheduler and its carriers say to each other.

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::BirthMs;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerMs;

use crate::batch::worker::table::WorkerNumber;

/// Microseconds since a carrier began, by its own steady clock.
pub type OffsetMicros = u64;

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The worker.
    pub number: WorkerNumber,
    /// The task.
    pub task: TaskName,
    /// Number of the start.
    pub run: Run,
    /// Where to go on from.
    pub checkpoint: String,
    /// Permission, where the queue needs one.
    pub ticket: String,
}

/// What a scheduler wants of a carrier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Look after a worker from now on.
    #[serde(rename = "Take")]
    AddWorker {
        /// Its number.
        number: WorkerNumber,
        /// How it is called.
        peer: Peer,
        /// Ends up to this one may be forgotten by the worker.
        durable: u64,
        /// What orders to it carry; a worker that has seen a higher one refuses them.
        token: Token,
        /// Its leases are extended from its first answer on, and not only once a [`Command::Grant`] has come.
        grants: bool,
    },
    /// Look after a worker no more.
    #[serde(rename = "Leave")]
    RemoveWorker {
        /// Its number.
        number: WorkerNumber,
    },
    /// Ends up to this one may be forgotten by the worker.
    #[serde(rename = "Durable")]
    AcknowledgeEnds {
        /// The worker.
        number: WorkerNumber,
        /// The highest end whose effect the store knows of.
        end: u64,
    },
    /// The leases of a worker are extended from now on.
    Grant {
        /// The worker.
        number: WorkerNumber,
    },
    /// Tasks that serve stand beside tasks that take leftovers there, or no longer do.
    Watch {
        /// The worker.
        number: WorkerNumber,
        /// Look more often.
        closely: bool,
    },
    /// Start tasks of one job.
    Start {
        /// The job's text.
        spec: String,
        /// The tasks.
        starts: Vec<Start>,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// The share, in hundredths.
        percent: u32,
    },
    /// Do nothing more.
    End,
}

/// What a carrier saw.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A look was answered.
    #[serde(rename = "Seen")]
    Polled {
        /// The worker.
        number: WorkerNumber,
        /// When the look was sent.
        sent: OffsetMicros,
        /// When the answer had come.
        at: OffsetMicros,
        /// The latest end of a lease that this carrier has asked for there.
        lease_until: WorkerMs,
        /// The answer; ends that were told before are left out.
        seen: PollResponse,
    },
    /// A look had no answer.
    #[serde(rename = "Missed")]
    PollFailed {
        /// The worker.
        number: WorkerNumber,
        /// The latest end of a lease that this carrier has asked for there; it asks for no more until
        /// the worker answers.
        lease_until: WorkerMs,
    },
    /// A worker refuses this token: it has seen a higher one.
    Fenced {
        /// The worker.
        number: WorkerNumber,
        /// The token that is too low.
        token: Token,
    },
    /// A worker with another id answers at the worker's address.
    OtherId {
        /// The worker.
        number: WorkerNumber,
    },
    /// A later life of the worker answers; this one is over.
    #[serde(rename = "OtherLife")]
    OtherIncarnation {
        /// The worker.
        number: WorkerNumber,
        /// When the later life began.
        born: BirthMs,
    },
    /// A start was answered by a clock that this life cannot have: it may have got a longer lease than was meant.
    #[serde(rename = "OffClock")]
    ClockMismatch {
        /// The worker.
        number: WorkerNumber,
    },
    /// A start was taken.
    Started {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// When that was known.
        at: OffsetMicros,
    },
    /// A start was not taken and never will be.
    NotStarted {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// Why, if the worker said so.
        why: Option<Refusal>,
    },
    /// A start had no answer, and a look did not show the run.
    #[serde(rename = "Unanswered")]
    StartUnanswered {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
    },
    /// A stop was taken, or the worker will not run it in any case.
    Stopped {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// When that was known.
        at: OffsetMicros,
    },
}
