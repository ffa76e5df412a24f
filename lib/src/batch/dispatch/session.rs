//! The session of a dispatcher with one worker.

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

use crate::batch::dispatch::calls;
use crate::batch::dispatch::lease::Validity;
use crate::batch::worker::is_clock_discontinuous;

/// Shortest and longest time to wait for the answer to a start before a poll checks for the run. Answers come in
/// about 2 ms; those of a node that is short of CPU in up to 0.5 s.
const ANSWER_TIMEOUT_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(500));
/// Ratio of the next answer timeout to the time that the last answer took.
const ANSWER_TIMEOUT_FACTOR: u32 = 4;

/// A worker that a dispatcher polls.
pub(super) struct WorkerSession {
    /// Incarnation and address of the worker.
    pub peer: Peer,
    /// Fencing token of all calls to it.
    pub token: Token,
    state: Mutex<State>,
    /// Limits the concurrent calls to it.
    pub calls: calls::Limit,
    /// Notified when [`State::durable_end`] changes.
    pub durable_changed: Notify,
    /// Notified when [`State::renews_lease`] is set.
    pub renewal_enabled: Notify,
    /// Cancelled when the worker is removed from the dispatcher.
    pub cancellation: CancellationToken,
}

/// What is known of the worker.
pub(super) struct State {
    /// The last clock that it reported, and when that was received; `None` before its first answer.
    pub clock: Option<(WorkerMs, Instant)>,
    /// The latest end of a lease that was requested, by the clock of the worker.
    pub lease_until: WorkerMs,
    /// Number of the last end of a run that was reported to the scheduler.
    pub reported_end: u64,
    /// Number of the last end whose effect is in the store.
    pub durable_end: u64,
    /// Whether the worker may have more ends than its last answer listed.
    omits_ends: bool,
    /// Consecutive polls without an answer.
    pub failed_polls: u32,
    /// Whether polls and starts may renew its lease.
    pub renews_lease: bool,
    /// Whether it is polled more often.
    pub fast_polling: bool,
    /// How long to wait for the answer to a start before a poll checks for the run.
    pub answer_timeout: Duration,
}

impl WorkerSession {
    pub(super) fn new(
        peer: Peer,
        durable_end: u64,
        token: Token,
        renews_lease: bool,
    ) -> WorkerSession {
        let state = State {
            clock: None,
            lease_until: 0,
            reported_end: durable_end,
            durable_end,
            omits_ends: false,
            failed_polls: 0,
            renews_lease,
            fast_polling: false,
            answer_timeout: ANSWER_TIMEOUT_RANGE.0,
        };
        let (state, cancellation) = (Mutex::new(state), CancellationToken::new());
        let (durable_changed, renewal_enabled) = (Notify::new(), Notify::new());
        let calls = calls::Limit::default();
        WorkerSession { peer, token, state, calls, durable_changed, renewal_enabled, cancellation }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the session lock")
    }

    pub(super) fn set_durable_end(&self, end: u64) {
        let mut state = self.state();
        state.durable_end = state.durable_end.max(end);
        drop(state);
        self.durable_changed.notify_one();
    }

    pub(super) fn enable_lease_renewal(&self) {
        self.state().renews_lease = true;
        self.renewal_enabled.notify_one();
    }
}

impl State {
    /// Requests a lease as of the time at which the dispatcher was allowed to act; returns its end by the clock of the worker.
    /// `None` before its lease may be renewed, until it has reported its clock, and while it is unresponsive: it may
    /// still carry out a call that it does not answer, and the lease would then never be known to have expired.
    pub(super) fn request_lease(&mut self, validity: Validity) -> Option<WorkerMs> {
        let (clock, received_at) =
            self.clock.filter(|_| self.renews_lease && self.failed_polls == 0)?;
        let until = validity.worker_lease(clock, received_at);
        self.lease_until = self.lease_until.max(until);
        Some(until)
    }

    /// Applies the response to a poll, and removes from it the ends that were reported to the scheduler before. `false`
    /// if it is no newer than the last one by the worker's clock: responses on different connections overtake each
    /// other, and the scheduler must not get an older state. The ends in such a response are listed again in the next
    /// one.
    pub(super) fn accept_answer(&mut self, response: &mut PollResponse, now: Instant) -> bool {
        self.failed_polls = 0;
        if self.clock.is_some_and(|(last, _)| response.clock <= last) {
            return false;
        }
        self.clock = Some((response.clock, now));
        response.ended.retain(|end| end.number > self.reported_end);
        let last = response.ended.iter().map(|end| end.number).max();
        self.reported_end = self.reported_end.max(last.unwrap_or(0));
        true
    }

    /// Records whether the last answer may omit ends; returns whether that has changed.
    pub(super) fn record_omitted_ends(&mut self, omits_ends: bool) -> bool {
        std::mem::replace(&mut self.omits_ends, omits_ends) != omits_ends
    }

    /// Whether a poll that was sent at `sent` and answered by another incarnation shows that this one has ended. A poll
    /// that was sent before the last answer of this incarnation may have been answered by an earlier one.
    pub(super) fn is_ended_by_poll(&self, sent: Instant) -> bool {
        self.clock.is_none_or(|(_, received_at)| received_at <= sent)
    }

    /// Whether a clock in an answer cannot be that of this incarnation. A monotonic clock never runs ahead of the local
    /// one, and may run a little slow.
    pub(super) fn is_clock_mismatch(&self, clock: WorkerMs, now: Instant) -> bool {
        self.clock.is_some_and(|(last, received_at)| {
            is_clock_discontinuous(last, clock, now - received_at)
        })
    }

    /// Records that a start was answered after `took`. A worker that is slow to answer gets more time.
    pub(super) fn record_answer(&mut self, took: Duration) {
        let answer_timeout = (self.answer_timeout / 2).max(took * ANSWER_TIMEOUT_FACTOR);
        self.answer_timeout = answer_timeout.clamp(ANSWER_TIMEOUT_RANGE.0, ANSWER_TIMEOUT_RANGE.1);
    }

    /// Records that a start was not answered in time: it was lost, or the timeout was too short.
    pub(super) fn record_timeout(&mut self) {
        self.answer_timeout = (self.answer_timeout * 2).min(ANSWER_TIMEOUT_RANGE.1);
    }
}
