//! Orders to workers, and what their answers mean.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Start;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::cell::Order;
use crate::batch::scheduler::PAUSE;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::look::look_now;
use crate::batch::worker::Phase;
use crate::transport::dial::ExchangeError;

/// How long a start may take in all: the longest patience with a worker, and a look.
const START: Duration = Duration::from_millis(1_000);
/// How long another order may take; answers come in about 2 ms.
const ORDER: Duration = Duration::from_millis(500);

/// Sends an order and takes in the answer.
pub(super) async fn send(scheduler: Arc<Scheduler>, order: Order) {
    match order {
        Order::Start { peer, task, run, spec, lease_until, checkpoint, ticket } => {
            let start = Start {
                task,
                run,
                spec: &spec,
                lease_until,
                token: scheduler.token,
                checkpoint: &checkpoint,
                ticket: &ticket,
            };
            let taken = send_start(&scheduler, &peer, &start).await;
            on_start_answer(&scheduler, &peer, (task, run), taken);
        }
        Order::Stop { peer, task, run } => stop(&scheduler, &peer, (task, run)).await,
        Order::Pace { peer, task, run, percent } => {
            let paced = scheduler
                .node
                .workers
                .pace(&peer, (task, run), percent, scheduler.token, ORDER)
                .await;
            if let Err(error) = paced {
                log::debug!("the pace of {task} was not set: {error}");
            }
        }
    }
}

/// Sends a start. If there is no answer for a while, a look tells whether the run is there.
async fn send_start(
    scheduler: &Scheduler,
    peer: &Peer,
    start: &Start<'_>,
) -> Result<(), CallError> {
    let patience = scheduler.cell().workers.get(&peer.id).map_or(START, |worker| worker.patience);
    let begun = Instant::now();
    let sent = scheduler.node.workers.start(peer, start, START);
    let mut sent = std::pin::pin!(sent);
    if let Ok(taken) = timeout(patience, &mut sent).await {
        note_answer(scheduler, peer, Some(begun.elapsed()));
        return taken.map(drop);
    }
    scheduler.node.counters.count("batch.start.no-answer");
    let asked = Instant::now();
    look_now(scheduler, peer).await;
    // Where this node itself is late, the look was as late as the answer to the start is.
    if let Ok(taken) = timeout(asked.elapsed(), &mut sent).await {
        note_answer(scheduler, peer, Some(begun.elapsed()));
        return taken.map(drop);
    }
    note_answer(scheduler, peer, None);
    let cell = scheduler.cell();
    let slot = cell.workers.get(&peer.id).and_then(|worker| worker.slots.get(&start.task));
    let is_open = slot.is_some_and(|slot| slot.run == start.run && slot.phase == Phase::Starting);
    drop(cell);
    match is_open {
        true => Err(CallError::Unknown(ExchangeError::Timeout)),
        // The look has shown the run, or its end.
        false => Ok(()),
    }
}

/// Learns how long answers of a worker take; `None` if there was none.
fn note_answer(scheduler: &Scheduler, peer: &Peer, took: Option<Duration>) {
    let mut cell = scheduler.cell();
    let Some(mut worker) = cell.workers.get_mut(&peer.id) else { return };
    match took {
        Some(took) => worker.note_answer(took),
        None => worker.note_no_answer(),
    }
}

/// A run is named by its task and its number.
type RunName = (TaskName, Run);

fn on_start_answer(
    scheduler: &Scheduler,
    peer: &Peer,
    (task, run): RunName,
    taken: Result<(), CallError>,
) {
    let now = Instant::now();
    let mut cell = scheduler.cell();
    match taken {
        Ok(()) => cell.on_started(&peer.id, task, run, now),
        Err(error) => {
            let why = Refusal::of(&error);
            let certain = error.is_certain();
            log::info!(
                task = task.to_string().as_str(),
                run,
                worker = peer.id.as_str(),
                certain;
                "start not taken: {error}"
            );
            scheduler.node.counters.count(&format!("batch.start.refused.{why:?}"));
            if certain {
                cell.on_refused(&peer.id, task, run, why, now);
            } else {
                cell.on_unanswered(&peer.id, task, run, now);
            }
        }
    }
    drop(cell);
    scheduler.kick();
}

/// Stops a run, again and again until the worker has taken it or is gone.
async fn stop(scheduler: &Arc<Scheduler>, peer: &Peer, (task, run): RunName) {
    loop {
        let stopped = scheduler.node.workers.stop(peer, task, run, scheduler.token, ORDER).await;
        let now = Instant::now();
        match stopped {
            Ok(()) => {
                scheduler.cell().on_stopped(&peer.id, task, run, now);
                look_now(scheduler, peer).await;
                break;
            }
            Err(error) => match Refusal::of(&error) {
                Some(Refusal::Fenced) => {
                    scheduler.cell().fenced = true;
                    return;
                }
                Some(Refusal::OtherLife) => {
                    scheduler.cell().bury(&peer.id, "another life answers at its address");
                    break;
                }
                Some(Refusal::Unhealthy) | None => {}
                // Refused for good: the worker knows of the run or of a later one.
                Some(_) => break scheduler.cell().on_stopped(&peer.id, task, run, now),
            },
        }
        let wanted = scheduler
            .cell()
            .workers
            .get(&peer.id)
            .is_some_and(|worker| worker.slots.get(&task).is_some_and(|slot| slot.run == run));
        if !wanted {
            return;
        }
        sleep(PAUSE).await;
    }
    scheduler.kick();
}
