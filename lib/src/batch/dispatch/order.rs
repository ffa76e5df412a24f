//! Sends orders to workers, and interprets their answers.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::WorkerMs;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::dispatch::Dispatcher;
use crate::batch::dispatch::message::Event;
use crate::batch::dispatch::message::Start;
use crate::batch::dispatch::poll::poll_now;
use crate::batch::dispatch::session::WorkerSession;
use crate::batch::worker::table::WorkerNumber;
use crate::transport::clock;

/// Timeout of a start: it allows for the longest answer timeout and a poll.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of other orders; answers come in about 2 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed order.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// A task and the number of its run.
type RunName = (TaskName, Run);

/// Starts tasks of one job, each independently.
pub(super) fn start(dispatcher: &Arc<Dispatcher>, spec: String, starts: Vec<Start>) {
    let spec: Arc<str> = spec.into();
    for start in starts {
        let (dispatcher, spec) = (dispatcher.clone(), spec.clone());
        let shared = dispatcher.clone();
        dispatcher.spawn(async move {
            let event = start_one(&shared, &spec, start).await;
            if let Some(event) = event {
                shared.emit(event);
            }
        });
    }
}

/// Starts a task; returns the outcome, or `None` if a poll has reported it.
async fn start_one(dispatcher: &Dispatcher, spec: &str, start: Start) -> Option<Event> {
    let Start { number, task, run, checkpoint, ticket } = start;
    let not_started = |why| Some(Event::NotStarted { number, task, run, why });
    let Some(session) = dispatcher.session(number) else {
        return not_started(None);
    };
    let Ok(_permit) = timeout(START_TIMEOUT, session.calls.permit_order()).await else {
        dispatcher.context.counters.count("batch.start.not-permitted");
        log_start_rejected(&session, (task, run), true, &"too many orders wait for an answer");
        return not_started(None);
    };
    let validity = dispatcher.lease.check().filter(|_| !session.cancellation.is_cancelled());
    let lease_until = validity.and_then(|validity| session.state().request_lease(validity));
    let Some(lease_until) = lease_until else {
        return not_started(None);
    };
    let message = worker::Start {
        task,
        run,
        spec,
        lease_until,
        token: session.token,
        checkpoint: &checkpoint,
        ticket: &ticket,
    };
    let error = match send_start(dispatcher, number, &session, &message).await {
        StartOutcome::Accepted(clock) => {
            check_clock(dispatcher, number, &session, clock);
            let at = dispatcher.offset_micros(clock::now());
            return Some(Event::Started { number, task, run, at });
        }
        StartOutcome::ObservedByPoll => return None,
        StartOutcome::Unanswered => {
            log_start_rejected(&session, (task, run), false, &"no answer");
            return Some(Event::StartUnanswered { number, task, run });
        }
        StartOutcome::Failed(error) => error,
    };
    dispatcher.record_error(&session, &error);
    let why = Refusal::from_error(&error);
    if let CallError::Refused { body, .. } = &error {
        // A worker accepts the lease also of a start that it refuses.
        check_clock(dispatcher, number, &session, worker::parse_clock(body).unwrap_or(0));
    }
    dispatcher.context.counters.count(&format!("batch.start.refused.{why:?}"));
    log_start_rejected(&session, (task, run), error.is_known_not_done(), &error);
    if why == Some(Refusal::Fenced) {
        dispatcher.emit(Event::Fenced { number, token: session.token });
    }
    if error.is_known_not_done() {
        not_started(why)
    } else {
        Some(Event::StartUnanswered { number, task, run })
    }
}

/// Reports a clock in an answer that cannot be that of this incarnation. `clock` is 0 if the answer has none.
fn check_clock(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
    clock: WorkerMs,
) {
    if clock > 0 && session.state().is_clock_mismatch(clock, clock::now()) {
        dispatcher.context.counters.count("batch.worker.off-clock");
        dispatcher.emit(Event::ClockMismatch { number });
    }
}

fn log_start_rejected(
    session: &WorkerSession,
    (task, run): RunName,
    certain: bool,
    why: &dyn std::fmt::Display,
) {
    log::info!(
        task = task.to_string().as_str(),
        run,
        token = session.token,
        worker:% = session.peer.incarnation,
        certain;
        "start not accepted: {why}"
    );
}

/// The outcome of a start.
enum StartOutcome {
    /// The worker accepted it; the clock in the answer, or 0.
    Accepted(WorkerMs),
    /// It was not answered, but a poll showed the run or its end.
    ObservedByPoll,
    /// The worker refused it, or the connection failed.
    Failed(CallError),
    /// It was not answered, and no poll showed the run.
    Unanswered,
}

/// Sends a start. If it is not answered within the answer timeout, a poll checks whether the worker has the run.
async fn send_start(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
    start: &worker::Start<'_>,
) -> StartOutcome {
    let answer_timeout = session.state().answer_timeout;
    let sent_at = clock::now();
    let sent = dispatcher.context.workers.start_run(&session.peer, start, START_TIMEOUT);
    let mut sent = std::pin::pin!(sent);
    if let Ok(answer) = timeout(answer_timeout, &mut sent).await {
        session.state().record_answer(clock::since(sent_at));
        return answer.map_or_else(StartOutcome::Failed, StartOutcome::Accepted);
    }
    dispatcher.context.counters.count("batch.start.no-answer");
    let polled_at = clock::now();
    let response = poll_now(dispatcher, number, session).await;
    // If this node itself is delayed, the answer to the start is as late as the response to the poll.
    if let Ok(answer) = timeout(clock::since(polled_at), &mut sent).await {
        session.state().record_answer(clock::since(sent_at));
        return answer.map_or_else(StartOutcome::Failed, StartOutcome::Accepted);
    }
    session.state().record_timeout();
    match response.is_some_and(|response| has_run(&response, (start.task, start.run))) {
        true => StartOutcome::ObservedByPoll,
        false => StartOutcome::Unanswered,
    }
}

fn has_run(response: &PollResponse, run: RunName) -> bool {
    response.running.iter().any(|running| (running.task, running.run) == run)
        || response.ended.iter().any(|end| (end.task, end.run) == run)
}

/// Stops a run; retries until the worker has accepted the stop or is removed from the dispatcher.
pub(super) fn stop(dispatcher: &Arc<Dispatcher>, number: WorkerNumber, run: RunName) {
    let Some(session) = dispatcher.session(number) else { return };
    let shared = dispatcher.clone();
    let cancellation = session.cancellation.clone();
    dispatcher.spawn(async move {
        cancellation.run_until_cancelled(stop_one(&shared, number, &session, run)).await;
    });
}

async fn stop_one(
    dispatcher: &Dispatcher,
    number: WorkerNumber,
    session: &WorkerSession,
    (task, run): RunName,
) {
    loop {
        let permit = session.calls.permit_order().await;
        let sent = dispatcher
            .context
            .workers
            .stop_run(&session.peer, task, run, session.token, ORDER_TIMEOUT)
            .await;
        drop(permit);
        let at = dispatcher.offset_micros(clock::now());
        let stopped = Event::Stopped { number, task, run, at };
        match sent {
            Ok(()) => {
                dispatcher.emit(stopped);
                poll_now(dispatcher, number, session).await;
                return;
            }
            Err(error) => {
                dispatcher.record_error(session, &error);
                match Refusal::from_error(&error) {
                    Some(Refusal::Fenced) => {
                        return dispatcher.emit(Event::Fenced { number, token: session.token });
                    }
                    Some(Refusal::OtherLife) => return dispatcher.emit(Event::OtherId { number }),
                    Some(Refusal::Unhealthy) | None => {}
                    // Refused permanently: the worker knows the run or a later one.
                    Some(_) => return dispatcher.emit(stopped),
                }
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Lets a task run at a fraction of its speed.
pub(super) fn set_pace(
    dispatcher: &Arc<Dispatcher>,
    number: WorkerNumber,
    run: RunName,
    percent: u32,
) {
    let Some(session) = dispatcher.session(number) else { return };
    let shared = dispatcher.clone();
    dispatcher.spawn(async move {
        let (workers, token) = (&shared.context.workers, session.token);
        let Ok(_permit) = timeout(ORDER_TIMEOUT, session.calls.permit_order()).await else {
            return log::debug!("setting the pace of {} waited too long", run.0);
        };
        if let Err(error) =
            workers.set_pace(&session.peer, run, percent, token, ORDER_TIMEOUT).await
        {
            shared.record_error(&session, &error);
            log::debug!("setting the pace of {} failed: {error}", run.0);
        }
    });
}
