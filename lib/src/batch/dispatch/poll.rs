//! Looks at workers: each renews a lease and hears what has ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::worker::BirthMs;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Poll;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::dispatch::Dispatcher;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::session::State;
use crate::batch::dispatch::session::WorkerSession;
use crate::batch::worker::POLL_WAIT;
use crate::batch::worker::table::WorkerNumber;
use crate::transport::clock;

/// The same where tasks that serve stand beside tasks that take leftovers.
const SHORT_POLL_WAIT: Duration = Duration::from_millis(600);
/// How long a look may take beyond its wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a look may take that does not wait for an end; answers come in about 2 ms.
const POLL_NOW_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest pause between looks at a worker that does not answer.
const POLL_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How long what one look has brought waits for the store before the worker is looked at again.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Time between questions whether there is a licence again.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks at one worker again and again: renews its lease, hears what ends.
pub(super) async fn poll_worker(
    carrier: Arc<Dispatcher>,
    number: WorkerNumber,
    charge: Arc<WorkerSession>,
) {
    loop {
        while !carrier.lease.is_valid() {
            sleep(LEASE_CHECK_INTERVAL).await;
        }
        let sent = clock::now();
        let message = next_poll(&charge, sent);
        match carrier.context.workers.poll(&charge.peer, &message, POLL_TIMEOUT).await {
            Ok(seen) => {
                if !report_answer(&carrier, number, &charge, sent, seen) {
                    return;
                }
                // The next look extends its leases, and acknowledges the ends that it has listed.
                await_state(&charge, &charge.extension_enabled, |state| state.extends_leases).await;
                await_state(&charge, &charge.durable_changed, |state| {
                    state.reported_end <= state.durable_end
                })
                .await;
            }
            Err(error) => {
                if !record_failed_poll(&carrier, number, &charge, &error) {
                    return;
                }
                sleep(POLL_RETRY_PAUSE).await;
            }
        }
    }
}

/// Looks at a worker once, without waiting for an end, and beside the looks that do. Used to learn
/// at once what became of an order: the next look may be 1.2 s away.
pub(super) async fn poll_now(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
) -> Option<PollResponse> {
    charge.state().clock?;
    // It may go over another connection than the looks that wait, so another life may answer it: it only asks.
    let look = Poll { token: charge.token, acknowledged_end: 0, lease_until: None, wait_ms: 0 };
    let sent = clock::now();
    match carrier.context.workers.poll(&charge.peer, &look, POLL_NOW_TIMEOUT).await {
        Ok(seen) => report_answer(carrier, number, charge, sent, seen.clone()).then_some(seen),
        // The looks that go on tell whether the worker is silent.
        Err(error) => {
            log::debug!("worker {} does not answer at once: {error}", charge.peer.incarnation);
            None
        }
    }
}

/// Tells the scheduler of an answer; `false` if another life gave it.
fn report_answer(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
    sent: Instant,
    mut seen: PollResponse,
) -> bool {
    let now = clock::now();
    // Told under the lock: of two answers the later one must be told last.
    let mut state = charge.state();
    if let Some(born) =
        seen.birth_ms.filter(|_| !charge.peer.incarnation.may_have_reported(seen.birth_ms))
    {
        if state.is_ended_by_poll(sent) {
            carrier.context.counters.count("batch.worker.other-life");
            log_other_incarnation(&charge.peer.incarnation, born, &state, &seen);
            carrier.emit(Event::OtherIncarnation { number, born });
            return false;
        }
        // The next look tells.
        return true;
    }
    let (sent, at) = (carrier.offset_micros(sent), carrier.offset_micros(now));
    if state.accept_answer(&mut seen, now) {
        let lease_until = state.lease_until;
        carrier.emit(Event::Polled { number, sent, at, lease_until, seen });
    }
    true
}

/// Tells that a worker has started again under its id, with what the life before had said: its clock, and the number of
/// its last end.
fn log_other_incarnation(life: &Incarnation, born: BirthMs, state: &State, seen: &PollResponse) {
    log::info!(
        worker:% = life,
        born,
        clock = seen.clock,
        clock_before = state.clock.map_or(0, |(clock, _)| clock),
        last_end = seen.ended.iter().map(|end| end.number).max().unwrap_or(0),
        last_end_before = state.reported_end;
        "another life answers under this id"
    );
}

/// Takes in that a look failed; `false` if the worker is not to be looked at again.
fn record_failed_poll(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
    error: &CallError,
) -> bool {
    carrier.context.counters.count("batch.look.failed");
    match Refusal::of(error) {
        Some(Refusal::Fenced) => {
            carrier.emit(Event::Fenced { number, token: charge.token });
            return false;
        }
        Some(Refusal::OtherLife) => {
            carrier.emit(Event::OtherId { number });
            return false;
        }
        _ => {}
    }
    log::debug!("worker {} does not answer: {error}", charge.peer.incarnation);
    let mut state = charge.state();
    state.failed_polls += 1;
    let lease_until = state.lease_until;
    drop(state);
    carrier.emit(Event::PollFailed { number, lease_until });
    true
}

fn next_poll(charge: &WorkerSession, now: Instant) -> Poll {
    let mut state = charge.state();
    let is_settled = state.extends_leases && state.reported_end == state.durable_end;
    let waits = state.clock.is_some() && state.failed_polls == 0 && is_settled;
    let wait = match (waits, state.polls_often) {
        (false, _) => Duration::ZERO,
        (true, true) => SHORT_POLL_WAIT,
        (true, false) => POLL_WAIT,
    };
    // After a look without an answer another life may be there, of whose ends nobody has heard.
    let seen = if state.failed_polls == 0 { state.durable_end } else { 0 };
    Poll {
        token: charge.token,
        acknowledged_end: seen,
        lease_until: state.grant_lease(now),
        wait_ms: wait.as_millis() as u64,
    }
}

/// Waits until what is known of a worker is so, for up to [`STORE_WAIT`].
async fn await_state(charge: &WorkerSession, changed: &Notify, is_done: impl Fn(&State) -> bool) {
    let done = async {
        loop {
            let change = changed.notified();
            if is_done(&charge.state()) {
                return;
            }
            change.await;
        }
    };
    // While the store is away, the worker is looked at all the same, to renew its lease and to hear of its ends.
    let _ = timeout(STORE_WAIT, done).await;
}
