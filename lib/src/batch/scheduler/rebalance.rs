//! Who carries for the scheduler: shares are begun on other nodes, taken back from those that are lost,
//! and their workers dealt out anew.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::dispatch::message::Command;
use crate::batch::dispatch::message::Start;
use crate::batch::dispatch::remote::Commands;
use crate::batch::peer::PeerError;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::shard::Lost;
use crate::batch::scheduler::shard::ShardId;
use crate::batch::worker::Worker;
use crate::batch::worker::compose_token;
use crate::batch::worker::table::WorkerNumber;
use crate::transport::clock;

/// Shares' worth of workers, in hundredths, up to which the scheduler's node carries alone: messages
/// between nodes would cost it as much as the calls to so few workers.
const SINGLE_SHARD_PERCENT: usize = 150;
/// Time between two looks at the shares.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Most workers that pass from one share to others in a round.
const MAX_HANDOVER: usize = 100;
/// How long a scheduler that begins waits for the nodes that are to carry; they say so at once.
const READY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between looks whether they have.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a message that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// How long the end of a share is waited for.
const STOP_TIMEOUT: Duration = Duration::from_millis(300);

/// Watches over the shares as long as the scheduler lasts.
pub(super) async fn manage_shards(scheduler: Arc<Scheduler>) {
    let mut last = clock::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        scheduler.shards.discount_own_delay((now - last).saturating_sub(CHECK_INTERVAL));
        last = now;
        for (share, why) in scheduler.shards.find_lost(now) {
            reclaim_shard(&scheduler, share, why);
        }
        start_shards(&scheduler);
        rebalance(&scheduler);
    }
}

/// Begins as many shares as the number of workers asks for, on the strongest of the other nodes.
pub(super) fn start_shards(scheduler: &Arc<Scheduler>) {
    let workers = scheduler.cell().workers.len();
    let per_share = scheduler.node.options.workers_per_share;
    if workers * 100 <= per_share * SINGLE_SHARD_PERCENT {
        return;
    }
    let has = scheduler.shards.addrs();
    let wanted = workers.div_ceil(per_share).saturating_sub(has.len());
    if wanted == 0 {
        return;
    }
    let directory = &scheduler.node.directory;
    for (addr, cpu) in directory.peers_by_cpu(wanted, &has) {
        let (share, wake) = scheduler.shards.start(addr, cpu, clock::now());
        let to = addr.to_string();
        log::info!(share, carrier = to.as_str(), cpu; "share begins");
        scheduler.node.counters.count("batch.share.begun");
        scheduler.spawn(send_commands(scheduler.clone(), share, addr, wake));
    }
}

/// Waits a moment for the nodes that are to carry.
pub(super) async fn await_shards_ready(scheduler: &Scheduler) {
    let begun = clock::now();
    while !scheduler.shards.are_all_ready() && clock::since(begun) < READY_TIMEOUT {
        sleep(READY_CHECK_INTERVAL).await;
    }
}

/// Gives every worker that no carrier has to one.
pub(super) fn assign_unassigned(scheduler: &Scheduler) {
    let cell = scheduler.cell();
    for worker in cell.workers.values() {
        if !scheduler.shards.is_assigned(worker.number) {
            scheduler.shards.assign(worker.number, add_worker_command(&cell, worker));
        }
    }
}

fn add_worker_command(cell: &Cell, worker: &Worker) -> Command {
    let (number, peer, durable) = (worker.number, worker.peer.clone(), worker.durable_end);
    let token = compose_token(cell.token, worker.fence);
    Command::AddWorker { number, peer, durable, token, grants: worker.renews_lease }
}

/// Takes a share back, and deals its workers out to others.
fn reclaim_shard(scheduler: &Arc<Scheduler>, share: ShardId, why: Lost) {
    let Some(addr) = scheduler.shards.addr_of(share) else { return };
    let Some((workers, last)) = scheduler.shards.reclaim(share, clock::now()) else { return };
    let from = addr.to_string();
    log::warn!(
        share,
        carrier = from.as_str(),
        workers = workers.len(),
        why = format!("{why:?}").as_str();
        "share taken back"
    );
    scheduler.node.counters.count(&format!("batch.share.lost.{why:?}"));
    scheduler.node.directory.mark_unresponsive(addr);
    start_shards(scheduler);
    reassign_workers(scheduler, &workers, last);
}

fn reassign_workers(scheduler: &Scheduler, numbers: &[WorkerNumber], last: Instant) {
    let mut cell = scheduler.cell();
    for number in numbers {
        let Some(life) = cell.workers.incarnation_of(*number).cloned() else { continue };
        cell.hand_over(&life, last);
        let command = add_worker_command(&cell, &cell.workers[&life]);
        scheduler.shards.assign(*number, command);
    }
    drop(cell);
    scheduler.wake();
}

/// Workers of a share that has too many go to others; those of this node's own share do where any other
/// node carries. Those that are not calm stay for now.
fn rebalance(scheduler: &Scheduler) {
    let Some(crowded) = scheduler.shards.find_overload() else { return };
    let most = crowded.excess.min(MAX_HANDOVER);
    let calm: Vec<WorkerNumber> = {
        let cell = scheduler.cell();
        let workers = crowded.workers.iter();
        let known =
            workers.filter_map(|number| cell.workers.get(cell.workers.incarnation_of(*number)?));
        known
            .filter(|worker| worker.can_change_dispatcher())
            .map(|worker| worker.number)
            .take(most)
            .collect()
    };
    if calm.is_empty() {
        return;
    }
    let last = scheduler.shards.remove_workers(crowded.shard, &calm, clock::now());
    reassign_workers(scheduler, &calm, last);
}

/// Passes the orders of the cell on to the carriers.
pub(super) fn dispatch_orders(scheduler: &Scheduler, cell: &mut Cell) {
    for number in std::mem::take(&mut cell.removed) {
        scheduler.shards.release(number);
    }
    for number in std::mem::take(&mut cell.reassigned) {
        let worker = cell.workers.incarnation_of(number).and_then(|life| cell.workers.get(life));
        let Some(worker) = worker else { continue };
        let command = add_worker_command(cell, worker);
        match scheduler.shards.is_assigned(number) {
            true => scheduler.shards.send(number, command),
            false => scheduler.shards.assign(number, command),
        }
    }
    for order in std::mem::take(&mut cell.outbox) {
        let Some(worker) = cell.workers.get(&order.peer().incarnation) else { continue };
        let number = worker.number;
        scheduler.shards.send(number, to_command(cell, number, order));
    }
}

fn to_command(cell: &Cell, number: WorkerNumber, order: Order) -> Command {
    match order {
        Order::Start { task, run, checkpoint, ticket, .. } => {
            let spec = cell.jobs.get(&task.job).map(|entry| entry.accepted.job.spec.clone());
            let start = Start { number, task, run, checkpoint, ticket };
            Command::Start { spec: spec.unwrap_or_default(), starts: vec![start] }
        }
        Order::Stop { task, run, .. } => Command::Stop { number, task, run },
        Order::Pace { task, run, percent, .. } => Command::Pace { number, task, run, percent },
        Order::Grant { .. } => Command::Grant { number },
        Order::Watch { closely, .. } => Command::Watch { number, closely },
    }
}

/// Sends a share its commands, in their order, until it is over.
async fn send_commands(
    scheduler: Arc<Scheduler>,
    share: ShardId,
    addr: SocketAddr,
    wake: Arc<Notify>,
) {
    let own = scheduler.node.settings.peer_addr();
    loop {
        wake.notified().await;
        let Some(errand) = scheduler.shards.next_commands(share, own) else { return };
        let Some(errand) = errand else { continue };
        if !deliver_commands(&scheduler, share, addr, errand).await {
            return;
        }
    }
}

/// Sends a message until it is taken; `false` if the share is over.
async fn deliver_commands(
    scheduler: &Arc<Scheduler>,
    share: ShardId,
    addr: SocketAddr,
    errand: Commands,
) -> bool {
    while scheduler.shards.addr_of(share).is_some() {
        let request = Request::Dispatch(Box::new(errand.clone()));
        match scheduler.node.peers.ask_once(addr, request).await {
            Ok(Reply::Done) => return true,
            Ok(_) => {
                reclaim_shard(scheduler, share, Lost::Refused);
                return false;
            }
            // Nothing listens there: the process has ended, or the node is cut off.
            Err(PeerError::NotSent) => {
                reclaim_shard(scheduler, share, Lost::Gone);
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.share.unanswered");
                log::debug!("the carrier at {addr} does not take its commands: {error}");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
    false
}

/// Ends all shares, and waits until nothing more can come of them.
pub(super) async fn stop_shards(scheduler: &Arc<Scheduler>) {
    scheduler.shards.stop_own();
    let ends = scheduler.shards.ids().into_iter().filter_map(|share| {
        let addr = scheduler.shards.addr_of(share)?;
        Some(async move { stop_shard(scheduler, share, addr).await })
    });
    let ended = timeout(STOP_TIMEOUT, futures_util::future::join_all(ends)).await;
    if ended.is_ok_and(|ended| ended.into_iter().all(|ended| ended)) {
        return;
    }
    if let Some(last) = scheduler.shards.last_lease_end() {
        log::info!("waits for carriers that do not answer");
        sleep(last.saturating_duration_since(clock::now())).await;
    }
}

/// Ends a share, whatever commands are under way; `false` if its node does not answer.
async fn stop_shard(scheduler: &Scheduler, share: ShardId, addr: SocketAddr) -> bool {
    let Some(errand) = scheduler.shards.final_commands(share, scheduler.node.settings.peer_addr())
    else {
        return true;
    };
    let request = Request::Dispatch(Box::new(errand));
    // One that does not know the share any more does nothing for it either.
    matches!(scheduler.node.peers.ask_once(addr, request).await, Ok(Reply::Done | Reply::NotReady))
}
