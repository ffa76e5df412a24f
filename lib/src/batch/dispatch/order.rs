//! Orders to workers, and what their answers mean.

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

/// How long a start may take in all: the longest patience with a worker, and a look.
const START_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long another order may take; answers come in about 2 ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after an order that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A run is named by its task and its number.
type RunName = (TaskName, Run);

/// Starts tasks of one job, each by itself.
pub(super) fn start(carrier: &Arc<Dispatcher>, spec: String, starts: Vec<Start>) {
    let spec: Arc<str> = spec.into();
    for start in starts {
        let (carrier, spec) = (carrier.clone(), spec.clone());
        let shared = carrier.clone();
        carrier.spawn(async move {
            let event = start_one(&shared, &spec, start).await;
            if let Some(event) = event {
                shared.emit(event);
            }
        });
    }
}

/// Starts a task; returns what became of that, or nothing if a look has told it.
async fn start_one(carrier: &Dispatcher, spec: &str, start: Start) -> Option<Event> {
    let Start { number, task, run, checkpoint, ticket } = start;
    let refused = |why| Some(Event::NotStarted { number, task, run, why });
    let charge = carrier.session(number);
    let Some(charge) = charge.filter(|_| carrier.lease.is_valid()) else { return refused(None) };
    let Some(lease_until) = charge.state().grant_lease(clock::now()) else { return refused(None) };
    let message = worker::Start {
        task,
        run,
        spec,
        lease_until,
        token: charge.token,
        checkpoint: &checkpoint,
        ticket: &ticket,
    };
    let error = match send_start(carrier, number, &charge, &message).await {
        StartOutcome::Accepted(clock) => {
            check_clock(carrier, number, &charge, clock);
            let at = carrier.offset_micros(clock::now());
            return Some(Event::Started { number, task, run, at });
        }
        StartOutcome::ObservedByPoll => return None,
        StartOutcome::Unanswered => {
            log_start_rejected(&charge, (task, run), false, &"no answer");
            return Some(Event::StartUnanswered { number, task, run });
        }
        StartOutcome::Failed(error) => error,
    };
    let why = Refusal::of(&error);
    if let CallError::Refused { body, .. } = &error {
        // A lease is also taken from a start that is refused.
        check_clock(carrier, number, &charge, worker::clock_of(body).unwrap_or(0));
    }
    carrier.context.counters.count(&format!("batch.start.refused.{why:?}"));
    log_start_rejected(&charge, (task, run), error.is_certain(), &error);
    if why == Some(Refusal::Fenced) {
        carrier.emit(Event::Fenced { number, token: charge.token });
    }
    if error.is_certain() {
        refused(why)
    } else {
        Some(Event::StartUnanswered { number, task, run })
    }
}

/// Tells if a clock that an answer shows is not that of this life; 0 if it shows none.
fn check_clock(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
    clock: WorkerMs,
) {
    if clock > 0 && charge.state().is_clock_mismatch(clock, clock::now()) {
        carrier.context.counters.count("batch.worker.off-clock");
        carrier.emit(Event::ClockMismatch { number });
    }
}

fn log_start_rejected(
    charge: &WorkerSession,
    (task, run): RunName,
    certain: bool,
    why: &dyn std::fmt::Display,
) {
    log::info!(
        task = task.to_string().as_str(),
        run,
        token = charge.token,
        worker:% = charge.peer.incarnation,
        certain;
        "start not taken: {why}"
    );
}

/// What became of a start.
enum StartOutcome {
    /// It was taken; the worker's clock.
    Accepted(WorkerMs),
    /// A look has shown the run, or its end.
    ObservedByPoll,
    /// It was refused, or its connection failed.
    Failed(CallError),
    /// There is no answer, and a look did not show it.
    Unanswered,
}

/// Sends a start. If there is no answer for a while, a look tells whether the run is there.
async fn send_start(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
    start: &worker::Start<'_>,
) -> StartOutcome {
    let patience = charge.state().answer_timeout;
    let begun = clock::now();
    let sent = carrier.context.workers.start(&charge.peer, start, START_TIMEOUT);
    let mut sent = std::pin::pin!(sent);
    if let Ok(answer) = timeout(patience, &mut sent).await {
        charge.state().record_answer(clock::since(begun));
        return answer.map_or_else(StartOutcome::Failed, StartOutcome::Accepted);
    }
    carrier.context.counters.count("batch.start.no-answer");
    let asked = clock::now();
    let seen = poll_now(carrier, number, charge).await;
    // Where this node itself is late, the look was as late as the answer to the start is.
    if let Ok(answer) = timeout(clock::since(asked), &mut sent).await {
        charge.state().record_answer(clock::since(begun));
        return answer.map_or_else(StartOutcome::Failed, StartOutcome::Accepted);
    }
    charge.state().record_timeout();
    match seen.is_some_and(|seen| has_run(&seen, (start.task, start.run))) {
        true => StartOutcome::ObservedByPoll,
        false => StartOutcome::Unanswered,
    }
}

fn has_run(seen: &PollResponse, run: RunName) -> bool {
    seen.running.iter().any(|told| (told.task, told.run) == run)
        || seen.ended.iter().any(|end| (end.task, end.run) == run)
}

/// Stops a run, again and again until the worker has taken it or is looked after no more.
pub(super) fn stop(carrier: &Arc<Dispatcher>, number: WorkerNumber, run: RunName) {
    let Some(charge) = carrier.session(number) else { return };
    let shared = carrier.clone();
    let over = charge.cancellation.clone();
    carrier.spawn(async move {
        over.run_until_cancelled(stop_one(&shared, number, &charge, run)).await;
    });
}

async fn stop_one(
    carrier: &Dispatcher,
    number: WorkerNumber,
    charge: &WorkerSession,
    (task, run): RunName,
) {
    loop {
        let sent = carrier
            .context
            .workers
            .stop(&charge.peer, task, run, charge.token, ORDER_TIMEOUT)
            .await;
        let at = carrier.offset_micros(clock::now());
        let stopped = Event::Stopped { number, task, run, at };
        match sent {
            Ok(()) => {
                carrier.emit(stopped);
                poll_now(carrier, number, charge).await;
                return;
            }
            Err(error) => match Refusal::of(&error) {
                Some(Refusal::Fenced) => {
                    return carrier.emit(Event::Fenced { number, token: charge.token });
                }
                Some(Refusal::OtherLife) => return carrier.emit(Event::OtherId { number }),
                Some(Refusal::Unhealthy) | None => {}
                // Refused for good: the worker knows of the run or of a later one.
                Some(_) => return carrier.emit(stopped),
            },
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Lets a task work at a share of its speed.
pub(super) fn set_pace(
    carrier: &Arc<Dispatcher>,
    number: WorkerNumber,
    run: RunName,
    percent: u32,
) {
    let Some(charge) = carrier.session(number) else { return };
    let shared = carrier.clone();
    carrier.spawn(async move {
        let (workers, token) = (&shared.context.workers, charge.token);
        if let Err(error) = workers.pace(&charge.peer, run, percent, token, ORDER_TIMEOUT).await {
            log::debug!("the pace of {} was not set: {error}", run.0);
        }
    });
}
