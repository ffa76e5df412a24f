//! A worker as its carrier knows it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerMs;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::batch::worker::WORKER_LEASE;
use crate::batch::worker::is_clock_discontinuous;

/// Least and longest time for which a start may go without an answer before a look asks for the run.
/// Answers come in about 2 ms; those of a node that is short of processor in up to 0.5 s.
const ANSWER_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(500));
/// How many times as long as the last answer took the next one may take.
const ANSWER_TIMEOUT_FACTOR: u32 = 4;

/// A worker that is looked after.
pub(super) struct WorkerSession {
    /// How it is called.
    pub peer: Peer,
    /// What orders to it carry.
    pub token: Token,
    state: Mutex<State>,
    /// The store knows of more of its ends.
    pub durable_changed: Notify,
    /// Its leases are extended from now on.
    pub extension_enabled: Notify,
    /// It is looked after no more.
    pub cancellation: CancellationToken,
}

/// What is known of it.
pub(super) struct State {
    /// Its clock, and when it was told.
    pub clock: Option<(WorkerMs, Instant)>,
    /// The latest end of a lease that was asked for.
    pub lease_until: WorkerMs,
    /// The highest end that was told to the scheduler.
    pub reported_end: u64,
    /// The highest end whose effect the store knows of.
    pub durable_end: u64,
    /// Looks in a row without an answer.
    pub failed_polls: u32,
    /// Its leases are extended.
    pub extends_leases: bool,
    /// It is to be looked at more often.
    pub polls_often: bool,
    /// How long a start may go without an answer before a look asks for the run.
    pub answer_timeout: Duration,
}

impl WorkerSession {
    pub(super) fn new(peer: Peer, durable: u64, token: Token, grants: bool) -> WorkerSession {
        let state = State {
            clock: None,
            lease_until: 0,
            reported_end: durable,
            durable_end: durable,
            failed_polls: 0,
            extends_leases: grants,
            polls_often: false,
            answer_timeout: ANSWER_TIMEOUT_RANGE.0,
        };
        let (state, over) = (Mutex::new(state), CancellationToken::new());
        let (durable, granting) = (Notify::new(), Notify::new());
        WorkerSession {
            peer,
            token,
            state,
            durable_changed: durable,
            extension_enabled: granting,
            cancellation: over,
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    pub(super) fn set_durable_end(&self, end: u64) {
        let mut state = self.state();
        state.durable_end = state.durable_end.max(end);
        drop(state);
        self.durable_changed.notify_one();
    }

    pub(super) fn enable_lease_extension(&self) {
        self.state().extends_leases = true;
        self.extension_enabled.notify_one();
    }
}

impl State {
    /// End of a lease granted now; none before its leases may be extended, none until the worker has told its clock, and
    /// none while it is silent: what it does not answer may still be carried out, and its lease would never be known to
    /// have run out.
    pub(super) fn grant_lease(&mut self, now: Instant) -> Option<WorkerMs> {
        let (clock, told) = self.clock.filter(|_| self.extends_leases && self.failed_polls == 0)?;
        let age = now.saturating_duration_since(told).as_millis() as WorkerMs;
        let until = clock + age + WORKER_LEASE.as_millis() as WorkerMs;
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Takes in an answer to a look: leaves what the scheduler has not been told. `false` if it is no
    /// newer than the last one by the worker's clock: answers on different connections overtake each
    /// other, and the scheduler must not be told of an older state. Its ends are listed again.
    pub(super) fn accept_answer(&mut self, seen: &mut PollResponse, now: Instant) -> bool {
        self.failed_polls = 0;
        if self.clock.is_some_and(|(last, _)| seen.clock <= last) {
            return false;
        }
        self.clock = Some((seen.clock, now));
        seen.ended.retain(|end| end.number > self.reported_end);
        let last = seen.ended.iter().map(|end| end.number).max();
        self.reported_end = self.reported_end.max(last.unwrap_or(0));
        true
    }

    /// Whether a look that was sent at `sent` and answered by another life shows that this one is over. One that was sent
    /// before this life last answered may have been answered by the life before.
    pub(super) fn is_ended_by_poll(&self, sent: Instant) -> bool {
        self.clock.is_none_or(|(_, told)| told <= sent)
    }

    /// Whether a clock that an answer showed is not that of this life. A steady clock never runs ahead of ours, and may
    /// run a little slow.
    pub(super) fn is_clock_mismatch(&self, clock: WorkerMs, now: Instant) -> bool {
        self.clock.is_some_and(|(last, told)| is_clock_discontinuous(last, clock, now - told))
    }

    /// A start was answered, after `took`. A worker that is slow to answer is given more time.
    pub(super) fn record_answer(&mut self, took: Duration) {
        let patience = (self.answer_timeout / 2).max(took * ANSWER_TIMEOUT_FACTOR);
        self.answer_timeout = patience.clamp(ANSWER_TIMEOUT_RANGE.0, ANSWER_TIMEOUT_RANGE.1);
    }

    /// A start had no answer in time: it was lost, or the time was too short.
    pub(super) fn record_timeout(&mut self) {
        self.answer_timeout = (self.answer_timeout * 2).min(ANSWER_TIMEOUT_RANGE.1);
    }
}
