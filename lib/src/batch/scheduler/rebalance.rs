//! Manages the shards: starts them on other nodes, reclaims those whose dispatcher is lost, and reassigns their
//! workers.

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

/// Number of workers, in percent of a full shard, up to which the scheduler's node dispatches alone: messages
/// between nodes would cost it as much as the calls to so few workers.
const SINGLE_SHARD_PERCENT: usize = 150;
/// Time between two checks of the shards.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of workers that move from one shard to others in one check.
const MAX_HANDOVER: usize = 100;
/// How long a starting scheduler waits for the first report of its dispatchers; they send it at once.
const READY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between checks whether they have sent it.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a message that was not answered.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// How long to wait for dispatchers to confirm that they have stopped.
const STOP_TIMEOUT: Duration = Duration::from_millis(300);

/// Manages the shards until the scheduler stops.
pub(super) async fn manage_shards(scheduler: Arc<Scheduler>) {
    let mut last_check = clock::now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        scheduler.shards.discount_own_delay((now - last_check).saturating_sub(CHECK_INTERVAL));
        last_check = now;
        for (shard, why) in scheduler.shards.find_lost(now) {
            reclaim_shard(&scheduler, shard, why);
        }
        start_shards(&scheduler);
        rebalance(&scheduler);
    }
}

/// Starts as many shards as the number of workers requires, on the other nodes with the most CPU.
pub(super) fn start_shards(scheduler: &Arc<Scheduler>) {
    let workers = scheduler.cell().workers.len();
    let per_shard = scheduler.node.options.workers_per_shard;
    if workers * 100 <= per_shard * SINGLE_SHARD_PERCENT {
        return;
    }
    let used_addrs = scheduler.shards.addrs();
    let wanted = workers.div_ceil(per_shard).saturating_sub(used_addrs.len());
    if wanted == 0 {
        return;
    }
    let directory = &scheduler.node.directory;
    for (addr, cpu) in directory.peers_by_cpu(wanted, &used_addrs) {
        let (shard, wake) = scheduler.shards.start(addr, cpu, clock::now());
        let to = addr.to_string();
        log::info!(share = shard, carrier = to.as_str(), cpu; "shard started");
        scheduler.node.counters.count("batch.share.begun");
        scheduler.spawn(send_commands(scheduler.clone(), shard, addr, wake));
    }
}

/// Waits up to [`READY_TIMEOUT`] for the first report of every dispatcher.
pub(super) async fn await_shards_ready(scheduler: &Scheduler) {
    let started_at = clock::now();
    while !scheduler.shards.are_all_ready() && clock::since(started_at) < READY_TIMEOUT {
        sleep(READY_CHECK_INTERVAL).await;
    }
}

/// Assigns every worker that has no dispatcher to one.
pub(super) fn assign_unassigned(scheduler: &Scheduler) {
    let cell = scheduler.cell();
    for worker in cell.workers.values() {
        if !scheduler.shards.is_assigned(worker.number) {
            scheduler.shards.assign(worker.number, add_worker_command(&cell, worker));
        }
    }
}

fn add_worker_command(cell: &Cell, worker: &Worker) -> Command {
    let (number, peer, durable_end) = (worker.number, worker.peer.clone(), worker.durable_end);
    let token = compose_token(cell.token, worker.fence);
    Command::AddWorker { number, peer, durable_end, token, renews_lease: worker.renews_lease }
}

/// Reclaims a shard, and reassigns its workers to other shards.
fn reclaim_shard(scheduler: &Arc<Scheduler>, shard: ShardId, why: Lost) {
    let Some(addr) = scheduler.shards.addr_of(shard) else { return };
    let Some((workers, lease_end)) = scheduler.shards.reclaim(shard, clock::now()) else { return };
    let from = addr.to_string();
    log::warn!(
        share = shard,
        carrier = from.as_str(),
        workers = workers.len(),
        why = format!("{why:?}").as_str();
        "shard reclaimed"
    );
    scheduler.node.counters.count(&format!("batch.share.lost.{why:?}"));
    scheduler.node.directory.mark_unresponsive(addr);
    start_shards(scheduler);
    reassign_workers(scheduler, &workers, lease_end);
}

/// Assigns workers to other shards. `lease_end` is when the dispatch lease of their former dispatcher has expired.
fn reassign_workers(scheduler: &Scheduler, numbers: &[WorkerNumber], lease_end: Instant) {
    let mut cell = scheduler.cell();
    for number in numbers {
        let Some(incarnation) = cell.workers.incarnation_of(*number).cloned() else { continue };
        cell.hand_over(&incarnation, lease_end);
        let command = add_worker_command(&cell, &cell.workers[&incarnation]);
        scheduler.shards.assign(*number, command);
    }
    drop(cell);
    scheduler.wake();
}

/// Moves workers of an overloaded shard to others; all workers of this node's own shard move once another node
/// dispatches. Workers whose dispatcher cannot be changed at the moment stay.
fn rebalance(scheduler: &Scheduler) {
    let Some(overload) = scheduler.shards.find_overload() else { return };
    let limit = overload.excess.min(MAX_HANDOVER);
    let movable: Vec<WorkerNumber> = {
        let cell = scheduler.cell();
        let workers = overload.workers.iter();
        let known =
            workers.filter_map(|number| cell.workers.get(cell.workers.incarnation_of(*number)?));
        known
            .filter(|worker| worker.can_change_dispatcher())
            .map(|worker| worker.number)
            .take(limit)
            .collect()
    };
    if movable.is_empty() {
        return;
    }
    let lease_end = scheduler.shards.remove_workers(overload.shard, &movable, clock::now());
    reassign_workers(scheduler, &movable, lease_end);
}

/// Passes the orders of the cell on to the dispatchers.
pub(super) fn dispatch_orders(scheduler: &Scheduler, cell: &mut Cell) {
    for number in std::mem::take(&mut cell.removed) {
        scheduler.shards.release(number);
    }
    for number in std::mem::take(&mut cell.reassigned) {
        let worker = cell
            .workers
            .incarnation_of(number)
            .and_then(|incarnation| cell.workers.get(incarnation));
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
        Order::SetPollRate { fast, .. } => Command::SetPollRate { number, fast },
    }
}

/// Sends a shard its commands, in order, until the shard ends.
async fn send_commands(
    scheduler: Arc<Scheduler>,
    shard: ShardId,
    addr: SocketAddr,
    wake: Arc<Notify>,
) {
    let own = scheduler.node.settings.peer_addr();
    loop {
        wake.notified().await;
        let Some(commands) = scheduler.shards.next_commands(shard, own) else { return };
        let Some(commands) = commands else { continue };
        if !deliver_commands(&scheduler, shard, addr, commands).await {
            return;
        }
    }
}

/// Sends a message until it is accepted; `false` if the shard has ended.
async fn deliver_commands(
    scheduler: &Arc<Scheduler>,
    shard: ShardId,
    addr: SocketAddr,
    commands: Commands,
) -> bool {
    while scheduler.shards.addr_of(shard).is_some() {
        let request = Request::Dispatch(Box::new(commands.clone()));
        match scheduler.node.peers.ask_once(addr, request).await {
            Ok(Reply::Done) => return true,
            Ok(_) => {
                reclaim_shard(scheduler, shard, Lost::Refused);
                return false;
            }
            // Nothing listens there: the process has ended, or the node is partitioned.
            Err(PeerError::NotSent) => {
                reclaim_shard(scheduler, shard, Lost::Gone);
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.share.unanswered");
                log::debug!("sending commands to the dispatcher at {addr} failed: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    false
}

/// Ends all shards, and waits until none of their dispatchers can act any more.
pub(super) async fn stop_shards(scheduler: &Arc<Scheduler>) {
    scheduler.shards.stop_own();
    let ends = scheduler.shards.ids().into_iter().filter_map(|shard| {
        let addr = scheduler.shards.addr_of(shard)?;
        Some(async move { stop_shard(scheduler, shard, addr).await })
    });
    let ended = timeout(STOP_TIMEOUT, futures_util::future::join_all(ends)).await;
    if ended.is_ok_and(|ended| ended.into_iter().all(|ended| ended)) {
        return;
    }
    if let Some(lease_end) = scheduler.shards.last_lease_end() {
        log::info!("waiting for the dispatch leases of unresponsive dispatchers to expire");
        sleep(lease_end.saturating_duration_since(clock::now())).await;
    }
}

/// Ends a shard, whatever commands are in flight; `false` if its node does not answer.
async fn stop_shard(scheduler: &Scheduler, shard: ShardId, addr: SocketAddr) -> bool {
    let Some(commands) =
        scheduler.shards.final_commands(shard, scheduler.node.settings.peer_addr())
    else {
        return true;
    };
    let request = Request::Dispatch(Box::new(commands));
    // A node that does not know the shard any more does nothing for it either.
    matches!(scheduler.node.peers.ask_once(addr, request).await, Ok(Reply::Done | Reply::NotReady))
}
