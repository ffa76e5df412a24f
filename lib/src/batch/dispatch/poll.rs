//! Polls of workers: each renews the worker lease and returns what runs and what has ended.

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
use crate::batch::dispatch::lease::Validity;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::session::State;
use crate::batch::dispatch::session::WorkerSession;
use crate::batch::worker::POLL_WAIT;
use crate::batch::worker::table::WorkerNumber;
use crate::transport::clock;

/// How long a poll waits for an end on workers where services run next to best-effort tasks; on others [`POLL_WAIT`].
const SHORT_POLL_WAIT: Duration = Duration::from_millis(600);
/// How long a poll may take beyond its wait.
const POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a poll may take that does not wait for an end; answers come in about 2 ms.
const POLL_NOW_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failed poll.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time between polls that share one connection with the orders.
const SHARED_POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Longest delay of the next poll of a worker while the store does not have what the last one returned.
const STORE_WAIT: Duration = Duration::from_millis(300);
/// Time between checks whether the dispatch lease is valid again.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Polls one worker until another incarnation or a later scheduler is found there.
pub(super) async fn poll_worker(
    dispatcher: Arc<Dispatcher>,
    number: WorkerNumber,
    session: Arc<WorkerSession>,
) {
    loop {
        let permit = session.calls.permit_regular_poll().await;
        let Some(validity) = dispatcher.lease.check() else {
            drop(permit);
            sleep(LEASE_CHECK_INTERVAL).await;
            continue;
        };
        let sent = validity.at();
        let message = next_poll(&session, validity);
        let answer = dispatcher.context.workers.poll(&session.peer, &message, POLL_TIMEOUT).await;
        drop(permit);
        match answer {
            Ok(response) => {
                if !report_answer(&dispatcher, number, &session, sent, response) {
                    return;
                }
                if session.calls.is_shared() {
                    sleep(SHARED_POLL_INTERVAL).await;
                }
                // The next poll renews the lease and acknowledges the listed ends.
                await_state(&session, &session.renewal_enabled, |state| state.renews_lease).await;
                await_state(&session, &session.durable_changed, |state| {
                    state.reported_end <= state.durable_end
                })
                .await;
            }
            Err(error) => {
                if !record_failed_poll(&dispatcher, number, &session, &error) {
                    return;
                }
                sleep(POLL_RETRY_DELAY).await;
            }
        }
    }
}

/// Polls a worker once, without waiting for an end, concurrently with [`poll_worker`]. This shows the outcome of an
/// order at once: the next regular poll may be 1.2 s away. `None` if the worker has never answered, if this poll is not
/// answered, or if another incarnation answers that shows this one to have ended.
pub(super) async fn poll_now(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
) -> Option<PollResponse> {
    session.state().clock?;
    // It may use another connection than the polls that wait, so another incarnation may answer it: it renews no lease
    // and acknowledges no end.
    let request = Poll { token: session.token, acknowledged_end: 0, lease_until: None, wait_ms: 0 };
    let permit = timeout(POLL_NOW_TIMEOUT, session.calls.permit_immediate_poll()).await.ok()?;
    let sent = clock::now();
    let answer = dispatcher.context.workers.poll(&session.peer, &request, POLL_NOW_TIMEOUT).await;
    drop(permit);
    match answer {
        Ok(response) => {
            report_answer(dispatcher, number, session, sent, response.clone()).then_some(response)
        }
        // Only the regular polls decide whether the worker is unresponsive.
        Err(error) => {
            dispatcher.record_error(session, &error);
            log::debug!("immediate poll of worker {} failed: {error}", session.peer.incarnation);
            None
        }
    }
}

/// Reports a response to the scheduler; `false` if it shows that another incarnation runs there and this one has ended.
fn report_answer(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
    sent: Instant,
    mut response: PollResponse,
) -> bool {
    let now = clock::now();
    // Reported under the lock, so that two responses are reported in order.
    let mut state = session.state();
    if let Some(birth_ms) =
        response.birth_ms.filter(|_| !session.peer.incarnation.may_have_reported(response.birth_ms))
    {
        if state.is_ended_by_poll(sent) {
            dispatcher.context.counters.count("batch.worker.other-life");
            log_other_incarnation(&session.peer.incarnation, birth_ms, &state, &response);
            dispatcher.emit(Event::OtherIncarnation { number, birth_ms });
            return false;
        }
        // The next poll decides.
        return true;
    }
    let (sent, at) = (dispatcher.offset_micros(sent), dispatcher.offset_micros(now));
    let may_omit_ends = response.may_omit_ends();
    if state.accept_answer(&mut response, now) {
        if state.record_omitted_ends(may_omit_ends) {
            log_omitted_ends(&session.peer.incarnation, may_omit_ends);
        }
        let lease_until = state.lease_until;
        dispatcher.emit(match may_omit_ends {
            true => Event::PolledPartly { number, sent, at, lease_until, response },
            false => Event::Polled { number, sent, at, lease_until, response },
        });
    }
    true
}

fn log_omitted_ends(incarnation: &Incarnation, may_omit_ends: bool) {
    match may_omit_ends {
        true => log::warn!(worker:% = incarnation; "worker lists only a part of its ends"),
        false => log::info!(worker:% = incarnation; "worker lists all its ends again"),
    }
}

/// Logs that a worker has restarted under its id, with the clock and the number of the last end of both incarnations.
fn log_other_incarnation(
    incarnation: &Incarnation,
    birth_ms: BirthMs,
    state: &State,
    response: &PollResponse,
) {
    log::info!(
        worker:% = incarnation,
        born = birth_ms,
        clock = response.clock,
        clock_before = state.clock.map_or(0, |(clock, _)| clock),
        last_end = response.ended.iter().map(|end| end.number).max().unwrap_or(0),
        last_end_before = state.reported_end;
        "another incarnation answers under this id"
    );
}

/// Records a failed poll; `false` if the worker must not be polled again.
fn record_failed_poll(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
    error: &CallError,
) -> bool {
    dispatcher.context.counters.count("batch.look.failed");
    dispatcher.record_error(session, error);
    match Refusal::from_error(error) {
        Some(Refusal::Fenced) => {
            dispatcher.emit(Event::Fenced { number, token: session.token });
            return false;
        }
        Some(Refusal::OtherLife) => {
            dispatcher.emit(Event::OtherId { number });
            return false;
        }
        _ => {}
    }
    log::debug!("poll of worker {} failed: {error}", session.peer.incarnation);
    let mut state = session.state();
    state.failed_polls += 1;
    let lease_until = state.lease_until;
    drop(state);
    dispatcher.emit(Event::PollFailed { number, lease_until });
    true
}

fn next_poll(session: &WorkerSession, validity: Validity) -> Poll {
    let is_shared = session.calls.is_shared();
    let mut state = session.state();
    let is_settled = state.renews_lease && state.reported_end == state.durable_end;
    let waits = state.clock.is_some() && state.failed_polls == 0 && is_settled && !is_shared;
    let wait = match (waits, state.fast_polling) {
        (false, _) => Duration::ZERO,
        (true, true) => SHORT_POLL_WAIT,
        (true, false) => POLL_WAIT,
    };
    // After a failed poll another incarnation may answer, none of whose ends has been received.
    let acknowledged_end = if state.failed_polls == 0 { state.durable_end } else { 0 };
    Poll {
        token: session.token,
        acknowledged_end,
        lease_until: state.request_lease(validity),
        wait_ms: wait.as_millis() as u64,
    }
}

/// Waits until `is_done` holds for the state of the session, for up to [`STORE_WAIT`]. `changed` is notified of
/// changes.
async fn await_state(session: &WorkerSession, changed: &Notify, is_done: impl Fn(&State) -> bool) {
    let done = async {
        loop {
            let change = changed.notified();
            if is_done(&session.state()) {
                return;
            }
            change.await;
        }
    };
    // While the store is unavailable, the worker is polled all the same, to renew its lease and to receive its ends.
    let _ = timeout(STORE_WAIT, done).await;
}
