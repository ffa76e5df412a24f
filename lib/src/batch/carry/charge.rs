//! A worker as its carrier knows it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Seen;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerMs;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::batch::worker::LEASE;
use crate::batch::worker::is_off_clock;

/// Least and longest time for which a start may go without an answer before a look asks for the run.
/// Answers come in about 2 ms; those of a node that is short of processor in up to 0.5 s.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_millis(500));
/// How many times as long as the last answer took the next one may take.
const PATIENCE_RATIO: u32 = 4;

/// A worker that is looked after.
pub(super) struct Charge {
    /// How it is called.
    pub peer: Peer,
    /// What orders to it carry.
    pub token: Token,
    state: Mutex<State>,
    /// The store knows of more of its ends.
    pub durable: Notify,
    /// Its leases are extended from now on.
    pub granting: Notify,
    /// It is looked after no more.
    pub over: CancellationToken,
}

/// What is known of it.
pub(super) struct State {
    /// Its clock, and when it was told.
    pub clock: Option<(WorkerMs, Instant)>,
    /// The latest end of a lease that was asked for.
    pub lease_until: WorkerMs,
    /// The highest end that was told to the scheduler.
    pub told: u64,
    /// The highest end whose effect the store knows of.
    pub durable: u64,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// Its leases are extended.
    pub grants: bool,
    /// It is to be looked at more often.
    pub closely: bool,
    /// How long a start may go without an answer before a look asks for the run.
    pub patience: Duration,
}

impl Charge {
    pub(super) fn new(peer: Peer, durable: u64, token: Token, grants: bool) -> Charge {
        let state = State {
            clock: None,
            lease_until: 0,
            told: durable,
            durable,
            misses: 0,
            grants,
            closely: false,
            patience: PATIENCE.0,
        };
        let (state, over) = (Mutex::new(state), CancellationToken::new());
        let (durable, granting) = (Notify::new(), Notify::new());
        Charge { peer, token, state, durable, granting, over }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    pub(super) fn set_durable(&self, end: u64) {
        let mut state = self.state();
        state.durable = state.durable.max(end);
        drop(state);
        self.durable.notify_one();
    }

    pub(super) fn set_granting(&self) {
        self.state().grants = true;
        self.granting.notify_one();
    }
}

impl State {
    /// End of a lease granted now; none before its leases may be extended, none until the worker has told its clock, and
    /// none while it is silent: what it does not answer may still be carried out, and its lease would never be known to
    /// have run out.
    pub(super) fn grant(&mut self, now: Instant) -> Option<WorkerMs> {
        let (clock, told) = self.clock.filter(|_| self.grants && self.misses == 0)?;
        let age = now.saturating_duration_since(told).as_millis() as WorkerMs;
        let until = clock + age + LEASE.as_millis() as WorkerMs;
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Takes in an answer to a look: leaves what the scheduler has not been told. `false` if it is no
    /// newer than the last one by the worker's clock: answers on different connections overtake each
    /// other, and the scheduler must not be told of an older state. Its ends are listed again.
    pub(super) fn take(&mut self, seen: &mut Seen, now: Instant) -> bool {
        self.misses = 0;
        if self.clock.is_some_and(|(last, _)| seen.clock <= last) {
            return false;
        }
        self.clock = Some((seen.clock, now));
        seen.ended.retain(|end| end.number > self.told);
        let last = seen.ended.iter().map(|end| end.number).max();
        self.told = self.told.max(last.unwrap_or(0));
        true
    }

    /// Whether a look that was sent at `sent` and answered by another life shows that this one is over. One that was sent
    /// before this life last answered may have been answered by the life before.
    pub(super) fn is_over_by(&self, sent: Instant) -> bool {
        self.clock.is_none_or(|(_, told)| told <= sent)
    }

    /// Whether a clock that an answer showed is not that of this life. A steady clock never runs ahead of ours, and may
    /// run a little slow.
    pub(super) fn is_off(&self, clock: WorkerMs, now: Instant) -> bool {
        self.clock.is_some_and(|(last, told)| is_off_clock(last, clock, now - told))
    }

    /// A start was answered, after `took`. A worker that is slow to answer is given more time.
    pub(super) fn note_answer(&mut self, took: Duration) {
        let patience = (self.patience / 2).max(took * PATIENCE_RATIO);
        self.patience = patience.clamp(PATIENCE.0, PATIENCE.1);
    }

    /// A start had no answer in time: it was lost, or the time was too short.
    pub(super) fn note_no_answer(&mut self) {
        self.patience = (self.patience * 2).min(PATIENCE.1);
    }
}
