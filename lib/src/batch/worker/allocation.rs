//! Runs that may be on a worker, with the resources they take.

use std::time::Instant;

use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;

use crate::batch::usage::Claim;

/// How certain it is that a run is on the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The order to start has been sent and not been answered.
    Starting,
    /// The worker has confirmed it; since when that is known.
    Live(Instant),
    /// It is being stopped; when the worker confirmed the stop, `None` if it has not.
    Stopping(Option<Instant>),
}

/// A run that may be on the worker. It takes resources until it is known to have ended or
/// never to have started.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Its run number.
    pub run: Run,
    /// How certain it is that it is there.
    pub phase: Phase,
    /// The worker has confirmed it.
    pub confirmed: bool,
    /// It was found on the worker, so it may be older than `ordered_at` says.
    pub adopted: bool,
    /// Resources it takes.
    pub resources: Resources,
    /// It began at a checkpoint, so it may do only a part of the work.
    pub is_resumed: bool,
    /// When it was ordered to start, or found.
    pub ordered_at: Instant,
    /// Its progress, in percent.
    pub percent: u32,
    /// When `percent` last rose.
    pub progressed_at: Instant,
    /// The checkpoint from which another run could resume; empty if there is none.
    pub checkpoint: String,
    /// For a service task, the tail latency in milliseconds; for others, the CPU in use.
    pub figure: u64,
    /// When `pace` was last set; `None` if it never was.
    pub paced_at: Option<Instant>,
    /// Its permitted speed, in percent.
    pub pace: u32,
    /// Workload class of the task.
    pub class: Class,
    /// Its quota usage and account; `None` while its job is unknown.
    pub claim: Option<Claim>,
}

/// Workload class of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It serves users, and its tail latency should stay under this limit, in milliseconds.
    Service(u64),
    /// It is best-effort: it uses only CPU time that others leave unused.
    BestEffort,
    /// It finishes by itself.
    Batch,
    /// It runs until it is cancelled, and has no latency limit.
    LongRunning,
}

impl Allocation {
    /// A run that has just been ordered or found, without claim, progress or checkpoint.
    pub fn new(
        run: Run,
        phase: Phase,
        resources: Resources,
        class: Class,
        now: Instant,
    ) -> Allocation {
        Allocation {
            run,
            phase,
            confirmed: false,
            adopted: false,
            is_resumed: false,
            resources,
            ordered_at: now,
            percent: 0,
            progressed_at: now,
            checkpoint: String::new(),
            figure: 0,
            paced_at: None,
            pace: 100,
            class,
            claim: None,
        }
    }
}

/// Totals of the tasks of any class but [`Class::Batch`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongRunningTotals {
    /// Number of tasks.
    pub tasks: u32,
    /// CPU they take, in thousandths of a core.
    pub cpu: u32,
}

/// Claims of runs that were added and removed.
#[derive(Clone, Debug, Default)]
pub(in crate::batch) struct ClaimChanges {
    pub(in crate::batch) added: Vec<Claim>,
    pub(in crate::batch) removed: Vec<Claim>,
}
