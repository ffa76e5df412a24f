//! Who carries for the scheduler: shares are begun on other nodes, taken back from those that are lost,
//! and their workers dealt out anew.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::carry::message::Command;
use crate::batch::carry::message::Start;
use crate::batch::carry::remote::Errand;
use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::peer::PeerError;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::share::Lost;
use crate::batch::scheduler::share::ShareId;
use crate::batch::worker::Worker;
use crate::batch::worker::table::Number;
use crate::batch::worker::token;
use crate::transport::clock;

/// Shares' worth of workers, in hundredths, up to which the scheduler's node carries alone: messages
/// between nodes would cost it as much as the calls to so few workers.
const ALONE_PERCENT: usize = 150;
/// Time between two looks at the shares.
const ROUND: Duration = Duration::from_millis(100);
/// Most workers that pass from one share to others in a round.
const HANDED_OVER: usize = 100;
/// How long a scheduler that begins waits for the nodes that are to carry; they say so at once.
const AWAIT_READY: Duration = Duration::from_millis(150);
/// Time between looks whether they have.
const STEP: Duration = Duration::from_millis(10);
/// Pause after a message that was not answered.
const PAUSE: Duration = Duration::from_millis(30);
/// How long the end of a share is waited for.
const END: Duration = Duration::from_millis(300);

/// Watches over the shares as long as the scheduler lasts.
pub(super) async fn deal(scheduler: Arc<Scheduler>) {
    let mut last = clock::now();
    loop {
        sleep(ROUND).await;
        let now = clock::now();
        scheduler.shares.excuse((now - last).saturating_sub(ROUND));
        last = now;
        for (share, why) in scheduler.shares.lost(now) {
            take_back(&scheduler, share, why);
        }
        begin_shares(&scheduler);
        balance(&scheduler);
    }
}

/// Begins as many shares as the number of workers asks for, on the strongest of the other nodes.
pub(super) fn begin_shares(scheduler: &Arc<Scheduler>) {
    let workers = scheduler.cell().workers.len();
    let per_share = scheduler.node.options.workers_per_share;
    if workers * 100 <= per_share * ALONE_PERCENT {
        return;
    }
    let has = scheduler.shares.addrs();
    let wanted = workers.div_ceil(per_share).saturating_sub(has.len());
    if wanted == 0 {
        return;
    }
    let directory = &scheduler.node.directory;
    for (addr, cpu) in directory.strongest(wanted, &has) {
        let (share, wake) = scheduler.shares.begin(addr, cpu, clock::now());
        let to = addr.to_string();
        log::info!(share, carrier = to.as_str(), cpu; "share begins");
        scheduler.node.counters.count("batch.share.begun");
        scheduler.spawn(send(scheduler.clone(), share, addr, wake));
    }
}

/// Waits a moment for the nodes that are to carry.
pub(super) async fn await_ready(scheduler: &Scheduler) {
    let begun = clock::now();
    while !scheduler.shares.all_ready() && clock::since(begun) < AWAIT_READY {
        sleep(STEP).await;
    }
}

/// Gives every worker that no carrier has to one.
pub(super) fn assign_all(scheduler: &Scheduler) {
    let cell = scheduler.cell();
    for worker in cell.workers.values() {
        if !scheduler.shares.is_assigned(worker.number) {
            scheduler.shares.assign(worker.number, take_command(&cell, worker));
        }
    }
}

fn take_command(cell: &Cell, worker: &Worker) -> Command {
    let (number, peer, durable) = (worker.number, worker.peer.clone(), worker.durable);
    let token = token(cell.token, worker.fence);
    Command::Take { number, peer, durable, token, grants: worker.granted }
}

/// Takes a share back, and deals its workers out to others.
fn take_back(scheduler: &Arc<Scheduler>, share: ShareId, why: Lost) {
    let Some(addr) = scheduler.shares.addr_of(share) else { return };
    let Some((workers, last)) = scheduler.shares.take_back(share, clock::now()) else { return };
    let from = addr.to_string();
    log::warn!(
        share,
        carrier = from.as_str(),
        workers = workers.len(),
        why = format!("{why:?}").as_str();
        "share taken back"
    );
    scheduler.node.counters.count(&format!("batch.share.lost.{why:?}"));
    scheduler.node.directory.shun(addr);
    begin_shares(scheduler);
    hand_over(scheduler, &workers, last);
}

fn hand_over(scheduler: &Scheduler, numbers: &[Number], last: Instant) {
    let mut cell = scheduler.cell();
    for number in numbers {
        let Some(life) = cell.workers.life_of(*number).cloned() else { continue };
        cell.hand_over(&life, last);
        let command = take_command(&cell, &cell.workers[&life]);
        scheduler.shares.assign(*number, command);
    }
    drop(cell);
    scheduler.kick();
}

/// Workers of a share that has too many go to others; those of this node's own share do where any other
/// node carries. Those that are not calm stay for now.
fn balance(scheduler: &Scheduler) {
    let Some(crowded) = scheduler.shares.crowded() else { return };
    let most = crowded.too_many.min(HANDED_OVER);
    let calm: Vec<Number> = {
        let cell = scheduler.cell();
        let workers = crowded.workers.iter();
        let known = workers.filter_map(|number| cell.workers.get(cell.workers.life_of(*number)?));
        known.filter(|worker| worker.is_calm()).map(|worker| worker.number).take(most).collect()
    };
    if calm.is_empty() {
        return;
    }
    let last = scheduler.shares.take_out(crowded.share, &calm, clock::now());
    hand_over(scheduler, &calm, last);
}

/// Passes the orders of the cell on to the carriers.
pub(super) fn pass_on(scheduler: &Scheduler, cell: &mut Cell) {
    for number in std::mem::take(&mut cell.removed) {
        scheduler.shares.leave(number);
    }
    for number in std::mem::take(&mut cell.retaken) {
        let worker = cell.workers.life_of(number).and_then(|life| cell.workers.get(life));
        let Some(worker) = worker else { continue };
        let command = take_command(cell, worker);
        match scheduler.shares.is_assigned(number) {
            true => scheduler.shares.send(number, command),
            false => scheduler.shares.assign(number, command),
        }
    }
    for order in std::mem::take(&mut cell.outbox) {
        let Some(worker) = cell.workers.get(&order.peer().life) else { continue };
        let number = worker.number;
        scheduler.shares.send(number, command(cell, number, order));
    }
}

fn command(cell: &Cell, number: Number, order: Order) -> Command {
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
async fn send(scheduler: Arc<Scheduler>, share: ShareId, addr: SocketAddr, wake: Arc<Notify>) {
    let own = scheduler.node.settings.peer_addr();
    loop {
        wake.notified().await;
        let Some(errand) = scheduler.shares.next_errand(share, own) else { return };
        let Some(errand) = errand else { continue };
        if !deliver(&scheduler, share, addr, errand).await {
            return;
        }
    }
}

/// Sends a message until it is taken; `false` if the share is over.
async fn deliver(
    scheduler: &Arc<Scheduler>,
    share: ShareId,
    addr: SocketAddr,
    errand: Errand,
) -> bool {
    while scheduler.shares.addr_of(share).is_some() {
        let request = Request::Carry(Box::new(errand.clone()));
        match scheduler.node.peers.ask_once(addr, request).await {
            Ok(Reply::Done) => return true,
            Ok(_) => {
                take_back(scheduler, share, Lost::Refused);
                return false;
            }
            // Nothing listens there: the process has ended, or the node is cut off.
            Err(PeerError::NotSent) => {
                take_back(scheduler, share, Lost::Gone);
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.share.unanswered");
                log::debug!("the carrier at {addr} does not take its commands: {error}");
                sleep(PAUSE).await;
            }
        }
    }
    false
}

/// Ends all shares, and waits until nothing more can come of them.
pub(super) async fn end_all(scheduler: &Arc<Scheduler>) {
    scheduler.shares.end_own();
    let ends = scheduler.shares.ids().into_iter().filter_map(|share| {
        let addr = scheduler.shares.addr_of(share)?;
        Some(async move { end_one(scheduler, share, addr).await })
    });
    let ended = timeout(END, futures_util::future::join_all(ends)).await;
    if ended.is_ok_and(|ended| ended.into_iter().all(|ended| ended)) {
        return;
    }
    if let Some(last) = scheduler.shares.last_act() {
        log::info!("waits for carriers that do not answer");
        sleep(last.saturating_duration_since(clock::now())).await;
    }
}

/// Ends a share, whatever commands are under way; `false` if its node does not answer.
async fn end_one(scheduler: &Scheduler, share: ShareId, addr: SocketAddr) -> bool {
    let Some(errand) = scheduler.shares.last_errand(share, scheduler.node.settings.peer_addr())
    else {
        return true;
    };
    let request = Request::Carry(Box::new(errand));
    // One that does not know the share any more does nothing for it either.
    matches!(scheduler.node.peers.ask_once(addr, request).await, Ok(Reply::Done | Reply::NotReady))
}
