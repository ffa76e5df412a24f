//! The messages between a scheduler and its dispatchers.

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

/// Microseconds since a dispatcher was started, by its own monotonic clock.
pub type OffsetMicros = u64;

/// A task to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The worker.
    pub number: WorkerNumber,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: Run,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the advice service; empty if the queue needs none.
    pub ticket: String,
}

/// A command of a scheduler to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Poll a worker from now on.
    #[serde(rename = "Take")]
    AddWorker {
        /// The worker.
        number: WorkerNumber,
        /// Its incarnation and address.
        peer: Peer,
        /// Number of the last end of a run that the worker may forget.
        #[serde(rename = "durable")]
        durable_end: u64,
        /// Fencing token of all calls to it; a worker that has seen a higher one refuses them.
        token: Token,
        /// Whether its lease is renewed from its first answer on, rather than only after a [`Command::Grant`].
        #[serde(rename = "grants")]
        renews_lease: bool,
    },
    /// Stop polling a worker.
    #[serde(rename = "Leave")]
    RemoveWorker {
        /// The worker.
        number: WorkerNumber,
    },
    /// Let a worker forget its ends of runs up to this one.
    #[serde(rename = "Durable")]
    AcknowledgeEnds {
        /// The worker.
        number: WorkerNumber,
        /// Number of the last end whose effect is in the store.
        end: u64,
    },
    /// Renew the lease of a worker from now on.
    Grant {
        /// The worker.
        number: WorkerNumber,
    },
    /// Set how often a worker is polled.
    #[serde(rename = "Watch")]
    SetPollRate {
        /// The worker.
        number: WorkerNumber,
        /// Poll at the higher rate: services run there next to best-effort tasks.
        #[serde(rename = "closely")]
        fast: bool,
    },
    /// Start tasks of one job.
    Start {
        /// Text of the job.
        spec: String,
        /// Tasks of this job, possibly on several workers.
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
    /// Let a task run at a fraction of its speed.
    Pace {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// The fraction, in percent.
        percent: u32,
    },
    /// Stop the dispatcher.
    End,
}

/// What a dispatcher observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A poll was answered.
    #[serde(rename = "Seen")]
    Polled {
        /// The worker.
        number: WorkerNumber,
        /// When the poll was sent.
        sent: OffsetMicros,
        /// When the response was received.
        at: OffsetMicros,
        /// The latest end of a lease that this dispatcher has requested there.
        lease_until: WorkerMs,
        /// The response, without the ends that were reported before.
        #[serde(rename = "seen")]
        response: PollResponse,
    },
    /// A poll was not answered.
    #[serde(rename = "Missed")]
    PollFailed {
        /// The worker.
        number: WorkerNumber,
        /// The latest end of a lease that this dispatcher has requested there; it requests no more until the worker
        /// answers.
        lease_until: WorkerMs,
    },
    /// A worker refuses the fencing token: it has seen a higher one.
    Fenced {
        /// The worker.
        number: WorkerNumber,
        /// The token that is too low.
        token: Token,
    },
    /// A worker with another id answers at the address of this one.
    OtherId {
        /// The worker.
        number: WorkerNumber,
    },
    /// Another incarnation of the worker answers; this one has ended.
    #[serde(rename = "OtherLife")]
    OtherIncarnation {
        /// The worker.
        number: WorkerNumber,
        /// Birth time of the other incarnation.
        #[serde(rename = "born")]
        birth_ms: BirthMs,
    },
    /// A start was answered with a clock that this incarnation cannot have: the worker may have got a longer lease than
    /// intended.
    #[serde(rename = "OffClock")]
    ClockMismatch {
        /// The worker.
        number: WorkerNumber,
    },
    /// A worker accepted a start.
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
    /// A start was not accepted, and will not be later.
    NotStarted {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
        /// Why, if the worker gave a reason.
        why: Option<Refusal>,
    },
    /// A start was not answered, and a poll did not show the run.
    #[serde(rename = "Unanswered")]
    StartUnanswered {
        /// The worker.
        number: WorkerNumber,
        /// The task.
        task: TaskName,
        /// Its run.
        run: Run,
    },
    /// A worker accepted a stop, or will not run the task in any case.
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
    /// A poll was answered as in [`Event::Polled`], by a worker that may have more ends than the response lists: a run
    /// that is missing there need not be over without an end.
    PolledPartly {
        /// The worker.
        number: WorkerNumber,
        /// When the poll was sent.
        sent: OffsetMicros,
        /// When the response was received.
        at: OffsetMicros,
        /// The latest end of a lease that this dispatcher has requested there.
        lease_until: WorkerMs,
        /// The response, without the ends that were reported before.
        response: PollResponse,
    },
}
