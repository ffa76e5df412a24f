//! Orders to workers, and what their answers mean.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Seen;
use spokelift_platform::worker::WorkerMs;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::carry::Carrier;
use crate::batch::carry::charge::Charge;
use crate::batch::carry::look::look_now;
use crate::batch::carry::message::Event;
use crate::batch::carry::message::Start;
use crate::batch::worker::table::Number;
use crate::transport::clock;

/// How long a start may take in all: the longest patience with a worker, and a look.
const START: Duration = Duration::from_millis(1_000);
/// How long another order may take; answers come in about 2 ms.
const ORDER: Duration = Duration::from_millis(500);
/// Pause after an order that failed.
const PAUSE: Duration = Duration::from_millis(150);

/// A run is named by its task and its number.
type RunName = (TaskName, Run);

/// Starts tasks of one job, each by itself.
pub(super) fn start(carrier: &Arc<Carrier>, spec: String, starts: Vec<Start>) {
    let spec: Arc<str> = spec.into();
    for start in starts {
        let (carrier, spec) = (carrier.clone(), spec.clone());
        let shared = carrier.clone();
        carrier.spawn(async move {
            let event = start_one(&shared, &spec, start).await;
            if let Some(event) = event {
                shared.tell(event);
            }
        });
    }
}

/// Starts a task; returns what became of that, or nothing if a look has told it.
async fn start_one(carrier: &Carrier, spec: &str, start: Start) -> Option<Event> {
    let Start { number, task, run, checkpoint, ticket } = start;
    let refused = |why| Some(Event::NotStarted { number, task, run, why });
    let charge = carrier.charge(number);
    let Some(charge) = charge.filter(|_| carrier.license.holds()) else { return refused(None) };
    let Some(lease_until) = charge.state().grant(clock::now()) else { return refused(None) };
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
        Taken::Yes(clock) => {
            tell_clock(carrier, number, &charge, clock);
            let at = carrier.moment(clock::now());
            return Some(Event::Started { number, task, run, at });
        }
        Taken::Shown => return None,
        Taken::Unanswered => {
            tell_not_taken(&charge, (task, run), false, &"no answer");
            return Some(Event::Unanswered { number, task, run });
        }
        Taken::No(error) => error,
    };
    let why = Refusal::of(&error);
    if let CallError::Refused { body, .. } = &error {
        // A lease is also taken from a start that is refused.
        tell_clock(carrier, number, &charge, worker::clock_of(body).unwrap_or(0));
    }
    carrier.tools.counters.count(&format!("batch.start.refused.{why:?}"));
    tell_not_taken(&charge, (task, run), error.is_certain(), &error);
    if why == Some(Refusal::Fenced) {
        carrier.tell(Event::Fenced { number, token: charge.token });
    }
    if error.is_certain() { refused(why) } else { Some(Event::Unanswered { number, task, run }) }
}

/// Tells if a clock that an answer shows is not that of this life; 0 if it shows none.
fn tell_clock(carrier: &Carrier, number: Number, charge: &Charge, clock: WorkerMs) {
    if clock > 0 && charge.state().is_off(clock, clock::now()) {
        carrier.tools.counters.count("batch.worker.off-clock");
        carrier.tell(Event::OffClock { number });
    }
}

fn tell_not_taken(
    charge: &Charge,
    (task, run): RunName,
    certain: bool,
    why: &dyn std::fmt::Display,
) {
    log::info!(
        task = task.to_string().as_str(),
        run,
        token = charge.token,
        worker:% = charge.peer.life,
        certain;
        "start not taken: {why}"
    );
}

/// What became of a start.
enum Taken {
    /// It was taken; the worker's clock.
    Yes(WorkerMs),
    /// A look has shown the run, or its end.
    Shown,
    /// It was refused, or its connection failed.
    No(CallError),
    /// There is no answer, and a look did not show it.
    Unanswered,
}

/// Sends a start. If there is no answer for a while, a look tells whether the run is there.
async fn send_start(
    carrier: &Carrier,
    number: Number,
    charge: &Charge,
    start: &worker::Start<'_>,
) -> Taken {
    let patience = charge.state().patience;
    let begun = clock::now();
    let sent = carrier.tools.workers.start(&charge.peer, start, START);
    let mut sent = std::pin::pin!(sent);
    if let Ok(answer) = timeout(patience, &mut sent).await {
        charge.state().note_answer(clock::since(begun));
        return answer.map_or_else(Taken::No, Taken::Yes);
    }
    carrier.tools.counters.count("batch.start.no-answer");
    let asked = clock::now();
    let seen = look_now(carrier, number, charge).await;
    // Where this node itself is late, the look was as late as the answer to the start is.
    if let Ok(answer) = timeout(clock::since(asked), &mut sent).await {
        charge.state().note_answer(clock::since(begun));
        return answer.map_or_else(Taken::No, Taken::Yes);
    }
    charge.state().note_no_answer();
    match seen.is_some_and(|seen| shows(&seen, (start.task, start.run))) {
        true => Taken::Shown,
        false => Taken::Unanswered,
    }
}

fn shows(seen: &Seen, run: RunName) -> bool {
    seen.running.iter().any(|told| (told.task, told.run) == run)
        || seen.ended.iter().any(|end| (end.task, end.run) == run)
}

/// Stops a run, again and again until the worker has taken it or is looked after no more.
pub(super) fn stop(carrier: &Arc<Carrier>, number: Number, run: RunName) {
    let Some(charge) = carrier.charge(number) else { return };
    let shared = carrier.clone();
    let over = charge.over.clone();
    carrier.spawn(async move {
        over.run_until_cancelled(stop_one(&shared, number, &charge, run)).await;
    });
}

async fn stop_one(carrier: &Carrier, number: Number, charge: &Charge, (task, run): RunName) {
    loop {
        let sent = carrier.tools.workers.stop(&charge.peer, task, run, charge.token, ORDER).await;
        let at = carrier.moment(clock::now());
        let stopped = Event::Stopped { number, task, run, at };
        match sent {
            Ok(()) => {
                carrier.tell(stopped);
                look_now(carrier, number, charge).await;
                return;
            }
            Err(error) => match Refusal::of(&error) {
                Some(Refusal::Fenced) => {
                    return carrier.tell(Event::Fenced { number, token: charge.token });
                }
                Some(Refusal::OtherLife) => return carrier.tell(Event::OtherId { number }),
                Some(Refusal::Unhealthy) | None => {}
                // Refused for good: the worker knows of the run or of a later one.
                Some(_) => return carrier.tell(stopped),
            },
        }
        sleep(PAUSE).await;
    }
}

/// Lets a task work at a share of its speed.
pub(super) fn pace(carrier: &Arc<Carrier>, number: Number, run: RunName, percent: u32) {
    let Some(charge) = carrier.charge(number) else { return };
    let shared = carrier.clone();
    carrier.spawn(async move {
        let (workers, token) = (&shared.tools.workers, charge.token);
        if let Err(error) = workers.pace(&charge.peer, run, percent, token, ORDER).await {
            log::debug!("the pace of {} was not set: {error}", run.0);
        }
    });
}
