//! Looks at workers: each renews a lease and hears what has ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::worker::Look;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::WorkerId;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::scheduler::Scheduler;

/// How long a look waits for an end; a lease is renewed at each look.
const LOOK_WAIT: Duration = Duration::from_millis(1_200);
/// The same where tasks that serve stand beside tasks that take leftovers.
const LOOK_WAIT_SERVING: Duration = Duration::from_millis(600);
/// How long a look may take beyond its wait.
const LOOK: Duration = Duration::from_millis(600);
/// How long a look may take that does not wait for an end; answers come in about 2 ms.
const LOOK_NOW: Duration = Duration::from_millis(300);
/// Longest pause between looks at a worker that does not answer.
const LOOK_PAUSE: Duration = Duration::from_millis(400);
/// How long the ends of one look wait for the store before the worker is looked at again.
const AWAIT_FLUSH: Duration = Duration::from_millis(300);

/// Begins to look at every worker that is not looked at yet.
pub(super) fn spawn_all_looks(scheduler: &Arc<Scheduler>) {
    let ids: Vec<WorkerId> = scheduler.cell().workers.keys().cloned().collect();
    for id in ids {
        spawn_looks(scheduler, id);
    }
}

/// Begins to look at a worker, unless it is looked at already.
pub(super) fn spawn_looks(scheduler: &Arc<Scheduler>, id: WorkerId) {
    let met_at = {
        let mut cell = scheduler.cell();
        let Some(mut worker) = cell.workers.get_mut(&id).filter(|worker| !worker.looked_at) else {
            return;
        };
        worker.looked_at = true;
        worker.met_at
    };
    scheduler.spawn(look(scheduler.clone(), id, met_at));
}

/// Looks at one worker as long as it is known: renews its lease, hears what ends.
async fn look(scheduler: Arc<Scheduler>, id: WorkerId, met_at: Instant) {
    loop {
        let sent = Instant::now();
        let Some((peer, message)) = next_look(&scheduler, &id, met_at, sent) else { return };
        match scheduler.node.workers.look(&peer, &message, LOOK).await {
            Ok(seen) => {
                let ends = !seen.ended.is_empty();
                scheduler.cell().on_look(&id, sent, Instant::now(), seen);
                scheduler.kick();
                if ends {
                    scheduler.kick_flush();
                    await_flush(&scheduler, &id).await;
                }
            }
            Err(error) => {
                if !is_worth_another(&scheduler, &id, &error) {
                    return;
                }
                sleep(LOOK_PAUSE).await;
            }
        }
    }
}

/// Looks at a worker once, without waiting for an end, and beside the looks that do. Used to learn
/// at once what became of an order: the next look may be 1.2 s away.
pub(super) async fn look_now(scheduler: &Scheduler, peer: &Peer) {
    let seen = {
        let cell = scheduler.cell();
        let Some(worker) = cell.workers.get(&peer.id).filter(|worker| worker.fenced) else {
            return;
        };
        worker.durable
    };
    let look = Look { token: scheduler.token, seen, lease_until: None, wait_ms: 0 };
    let sent = Instant::now();
    match scheduler.node.workers.look(peer, &look, LOOK_NOW).await {
        Ok(seen) => {
            scheduler.cell().on_look(&peer.id, sent, Instant::now(), seen);
            scheduler.kick();
            scheduler.kick_flush();
        }
        // The looks that go on tell whether the worker is silent.
        Err(error) => log::debug!("worker {} does not answer at once: {error}", peer.id),
    }
}

/// Takes in that a look failed; `false` if the worker is not to be looked at again.
fn is_worth_another(scheduler: &Scheduler, id: &str, error: &CallError) -> bool {
    scheduler.node.counters.count("batch.look.failed");
    match Refusal::of(error) {
        Some(Refusal::Fenced) => {
            scheduler.cell().fenced = true;
            return false;
        }
        Some(Refusal::OtherLife) => {
            scheduler.cell().bury(id, "another life answers at its address");
            scheduler.kick();
            return false;
        }
        _ => scheduler.cell().on_miss(id),
    }
    log::debug!("worker {id} does not answer: {error}");
    true
}

/// The next look at a worker; `None` once it is gone or lives again.
fn next_look(
    scheduler: &Scheduler,
    id: &str,
    met_at: Instant,
    now: Instant,
) -> Option<(Peer, Look)> {
    let mut cell = scheduler.cell();
    let mut worker = cell.workers.get_mut(id).filter(|worker| worker.met_at == met_at)?;
    let waits = worker.clock.is_some() && worker.misses == 0 && worker.processed == worker.durable;
    let wait = match (waits, worker.serves_beside_fillers()) {
        (false, _) => Duration::ZERO,
        (true, true) => LOOK_WAIT_SERVING,
        (true, false) => LOOK_WAIT,
    };
    // A look that is not answered may still be carried out, so a worker that is silent is not
    // granted more time: its lease would never be known to have run out.
    let lease_until = if worker.misses == 0 { worker.grant(now) } else { None };
    let look = Look {
        token: scheduler.token,
        seen: worker.durable,
        lease_until,
        wait_ms: wait.as_millis() as u64,
    };
    Some((worker.peer.clone(), look))
}

/// Waits until the store knows of the ends that the worker has listed.
async fn await_flush(scheduler: &Scheduler, id: &str) {
    let mut flushed = scheduler.flushed.subscribe();
    let durable = async {
        loop {
            let waits = scheduler
                .cell()
                .workers
                .get(id)
                .is_some_and(|worker| worker.processed > worker.durable);
            if !waits || flushed.changed().await.is_err() {
                return;
            }
        }
    };
    // While the store is away, the worker is looked at all the same, to renew its lease.
    let _ = timeout(AWAIT_FLUSH, durable).await;
}
