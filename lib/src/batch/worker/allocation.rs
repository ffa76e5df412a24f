//! What may run on a worker.

use std::time::Instant;

use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;

use crate::batch::usage::Claim;

/// How sure it is that a run is on the worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The order to start is on its way.
    Starting,
    /// The worker has taken it; since when that is known.
    Live(Instant),
    /// It is being stopped; since when the worker is known to have taken the stop.
    Stopping(Option<Instant>),
}

/// A run that may be on the worker. Its room counts until it is known to be gone.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Its number.
    pub run: Run,
    /// How sure it is there.
    pub phase: Phase,
    /// The worker is known to have taken it.
    pub confirmed: bool,
    /// It was found on the worker, so it may be older than `since` says.
    pub adopted: bool,
    /// What it takes.
    pub resources: Resources,
    /// When it was ordered.
    pub ordered_at: Instant,
    /// How far it is, in hundredths.
    pub percent: u32,
    /// When `percent` last rose.
    pub progressed_at: Instant,
    /// Where it could go on from elsewhere.
    pub checkpoint: String,
    /// Processor in use, or tail of answer times in milliseconds.
    pub figure: u64,
    /// When `pace` was last set.
    pub paced_at: Option<Instant>,
    /// Share of its speed it is let work at, in hundredths.
    pub pace: u32,
    /// The task serves users, takes leftovers, or neither.
    pub class: Class,
    /// What it counts for, and for whom; none while its job is not known.
    pub claim: Option<Claim>,
}

/// What kind of neighbour a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It serves users of its own under a limit of the tail, in milliseconds.
    Service(u64),
    /// It takes what others leave unused.
    BestEffort,
    /// It ends by itself.
    Batch,
    /// It runs until it is cancelled, without a limit of its own.
    LongRunning,
}

impl Allocation {
    /// A run that has just been ordered or found.
    pub fn new(run: Run, phase: Phase, room: Resources, kind: Class, now: Instant) -> Allocation {
        Allocation {
            run,
            phase,
            confirmed: false,
            adopted: false,
            resources: room,
            ordered_at: now,
            percent: 0,
            progressed_at: now,
            checkpoint: String::new(),
            figure: 0,
            paced_at: None,
            pace: 100,
            class: kind,
            claim: None,
        }
    }
}

/// Tasks that do not end by themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LongRunningTotals {
    /// How many.
    pub tasks: u32,
    /// What they take, in thousandths of a core.
    pub cpu: u32,
}

/// Claims of runs that came and went.
#[derive(Clone, Debug, Default)]
pub(in crate::batch) struct ClaimChanges {
    pub(in crate::batch) added: Vec<Claim>,
    pub(in crate::batch) removed: Vec<Claim>,
}
