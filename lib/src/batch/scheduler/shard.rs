//! Dealing out the workers to carriers: which node looks after which worker, and what becomes of a
//! share whose carrier is lost.
//!
//! The scheduler decides everything; carriers hold the connections and send what it decides. On a site of
//! few workers its own node has the only share. On a large one the calls to workers would take all its
//! processor: 1,100 workers mean some 150,000 calls in 45 s. There other nodes have the shares, and the
//! scheduler gets a few hundred messages a second, each with many events.
//!
//! A carrier that is not heard of is given up, and its workers go to others at once. What it may still
//! do is bounded by its licence, and counted in the leases of its workers.

mod remote;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Token;
use tokio::sync::Notify;

use crate::batch::dispatch::Dispatcher;
use crate::batch::dispatch::lease::DISPATCH_LEASE;
use crate::batch::dispatch::message::Command;
use crate::batch::dispatch::remote::Commands;
use crate::batch::dispatch::remote::Report;
use crate::batch::dispatch::remote::Session;
use crate::batch::scheduler::shard::remote::RemoteShard;
use crate::batch::scheduler::shard::remote::ReportOrder;
use crate::batch::view;
use crate::batch::worker::table::WorkerNumber;

pub use crate::batch::scheduler::shard::remote::Lost;

/// Number of a share of this scheduler; the one of its own node is [`OWN_SHARD`].
pub type ShardId = u64;
/// The share of the scheduler's own node.
pub const OWN_SHARD: ShardId = 0;

/// A share with more than this part of what it should have, in hundredths, gives workers to others.
const OVERLOAD_PERCENT: usize = 125;

/// All shares of a scheduler.
pub struct Shards {
    token: Token,
    own: Arc<Dispatcher>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    remotes: HashMap<ShardId, RemoteShard>,
    assignments: HashMap<WorkerNumber, ShardId>,
    last_id: ShardId,
}

/// A share that has too many workers.
#[derive(Debug)]
pub struct Overload {
    /// Its number.
    pub shard: ShardId,
    /// All its workers.
    pub workers: Vec<WorkerNumber>,
    /// How many of them others should have. Not more may be passed on: the others would have too many then,
    /// and pass them on in turn.
    pub excess: usize,
}

/// A report that was taken: what it tells, and from when its moments count.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report.
    pub report: Report,
    /// From when its moments count.
    pub time_base: Instant,
}

/// What becomes of a report.
#[derive(Debug)]
pub enum ReportOutcome {
    /// It is new.
    New(ReceivedReport),
    /// It was taken before.
    Duplicate,
    /// The share is not that node's any more.
    Stale,
}

impl Shards {
    /// Nothing is dealt out yet.
    pub fn new(token: Token, own: Arc<Dispatcher>) -> Shards {
        Shards { token, own, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the shares panics")
    }

    /// Begins a share on another node; what wakes the task that is to send its commands.
    pub fn start(&self, addr: SocketAddr, weight: u32, now: Instant) -> (ShardId, Arc<Notify>) {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let wake = Arc::new(Notify::new());
        // The first message begins the share, whether there are commands or not.
        wake.notify_one();
        let remote = RemoteShard::new(addr, weight, wake.clone(), now);
        state.remotes.insert(id, remote);
        (id, wake)
    }

    /// Gives a worker to the share that has the fewest for its node's processor.
    pub fn assign(&self, number: WorkerNumber, command: Command) {
        let mut state = self.state();
        let ready = state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let least = ready.min_by(|(_, one), (_, other)| one.load().total_cmp(&other.load()));
        let share = least.map_or(OWN_SHARD, |(id, _)| *id);
        state.assignments.insert(number, share);
        if let Some(remote) = state.remotes.get_mut(&share) {
            remote.workers.insert(number);
        }
        self.push(&mut state, share, command);
    }

    /// Whether a worker is in some share.
    pub fn is_assigned(&self, number: WorkerNumber) -> bool {
        self.state().assignments.contains_key(&number)
    }

    /// Whether each share that was begun is carried.
    pub fn are_all_ready(&self) -> bool {
        self.state().remotes.values().all(|remote| remote.is_ready())
    }

    /// A share that has too many workers; none while no other node carries, or where all have about their
    /// part.
    pub fn find_overload(&self) -> Option<Overload> {
        let state = self.state();
        let ready = || state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let weight: usize = ready().map(|(_, remote)| remote.weight as usize).sum();
        if weight == 0 {
            return None;
        }
        let members = |share: ShardId| {
            let places = state.assignments.iter().filter(move |(_, place)| **place == share);
            places.map(|(number, _)| *number).collect::<Vec<WorkerNumber>>()
        };
        let own = members(OWN_SHARD);
        if !own.is_empty() {
            return Some(Overload { shard: OWN_SHARD, excess: own.len(), workers: own });
        }
        ready().find_map(|(id, remote)| {
            let part = state.assignments.len() * remote.weight as usize / weight;
            let is_crowded = remote.workers.len() > part * OVERLOAD_PERCENT / 100 + 1;
            let too_many = remote.workers.len().saturating_sub(part);
            is_crowded.then(|| Overload { shard: *id, workers: members(*id), excess: too_many })
        })
    }

    /// Sends a command to the share that has the worker.
    pub fn send(&self, number: WorkerNumber, command: Command) {
        let mut state = self.state();
        if let Some(share) = state.assignments.get(&number).copied() {
            self.push(&mut state, share, command);
        }
    }

    /// A worker is to be looked after no more.
    pub fn release(&self, number: WorkerNumber) {
        let mut state = self.state();
        let Some(share) = state.assignments.remove(&number) else { return };
        if let Some(remote) = state.remotes.get_mut(&share) {
            remote.workers.remove(&number);
        }
        self.push(&mut state, share, Command::RemoveWorker { number });
    }

    fn push(&self, state: &mut State, share: ShardId, command: Command) {
        let Some(remote) = state.remotes.get_mut(&share) else {
            return self.own.execute(command);
        };
        remote.push(command);
    }

    /// Takes the commands of a share as one message; nothing if there are none. The first message is
    /// made also without any. `None` once the share is over.
    pub fn next_commands(&self, share: ShardId, own: SocketAddr) -> Option<Option<Commands>> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&share)?;
        let session = Session { token: self.token, shard: share };
        Some(remote.next_commands(session, own))
    }

    /// The message that ends a share. It is the next one or, if that is under way, comes too early: the
    /// share is refused then, and its carrier ends at once as well.
    pub fn final_commands(&self, share: ShardId, own: SocketAddr) -> Option<Commands> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&share)?;
        Some(remote.final_commands(Session { token: self.token, shard: share }, own))
    }

    /// Whether a share is still dealt out, and where.
    pub fn addr_of(&self, share: ShardId) -> Option<SocketAddr> {
        Some(self.state().remotes.get(&share)?.addr)
    }

    /// Takes a report of another node. Each counts once, in its order.
    pub fn take_report(&self, report: Report, now: Instant) -> ReportOutcome {
        let mut state = self.state();
        let is_ours = report.session.token == self.token;
        let remote = state.remotes.get_mut(&report.session.shard).filter(|_| is_ours);
        let Some(remote) = remote else { return ReportOutcome::Stale };
        match remote.take_report(&report, now) {
            ReportOrder::Next(base) => {
                ReportOutcome::New(ReceivedReport { report, time_base: base })
            }
            ReportOrder::Duplicate => ReportOutcome::Duplicate,
            ReportOrder::Gap => ReportOutcome::Stale,
        }
    }

    /// Those of some workers that are in a share.
    pub fn in_shard(
        &self,
        share: ShardId,
        numbers: impl Iterator<Item = WorkerNumber>,
    ) -> HashSet<WorkerNumber> {
        let state = self.state();
        numbers.filter(|number| state.assignments.get(number) == Some(&share)).collect()
    }

    /// Shares that are to be taken back.
    pub fn find_lost(&self, now: Instant) -> Vec<(ShardId, Lost)> {
        let state = self.state();
        let lost =
            state.remotes.iter().filter_map(|(id, remote)| Some((*id, remote.loss_reason(now)?)));
        lost.collect()
    }

    /// This node was itself late by so much: that nothing was heard meanwhile says nothing.
    pub fn discount_own_delay(&self, late: Duration) {
        for remote in self.state().remotes.values_mut() {
            remote.received_at += late;
        }
    }

    /// Takes a share back; its workers, and until when its carrier may act.
    pub fn reclaim(&self, share: ShardId, now: Instant) -> Option<(Vec<WorkerNumber>, Instant)> {
        let mut state = self.state();
        let remote = state.remotes.remove(&share)?;
        for number in &remote.workers {
            state.assignments.remove(number);
        }
        remote.wake.notify_one();
        let last = remote.acked_at.map_or(now, |at| at + DISPATCH_LEASE);
        Some((remote.workers.into_iter().collect(), last))
    }

    /// Takes workers out of a share, to be dealt out anew; until when its carrier may act for them.
    pub fn remove_workers(
        &self,
        share: ShardId,
        numbers: &[WorkerNumber],
        now: Instant,
    ) -> Instant {
        let mut state = self.state();
        for number in numbers.iter().copied() {
            if state.assignments.get(&number) != Some(&share) {
                continue;
            }
            state.assignments.remove(&number);
            if let Some(remote) = state.remotes.get_mut(&share) {
                remote.workers.remove(&number);
            }
            self.push(&mut state, share, Command::RemoveWorker { number });
        }
        state
            .remotes
            .get(&share)
            .and_then(|remote| remote.acked_at)
            .map_or(now, |at| at + DISPATCH_LEASE)
    }

    /// The nodes that have shares.
    pub fn addrs(&self) -> HashSet<SocketAddr> {
        self.state().remotes.values().map(|remote| remote.addr).collect()
    }

    /// Each share as operators see it.
    pub fn view(&self) -> Vec<view::Shard> {
        let state = self.state();
        let own = state.assignments.values().filter(|place| **place == OWN_SHARD).count();
        let mut shares = vec![view::Shard { number: OWN_SHARD, dispatcher: None, workers: own }];
        shares.extend(state.remotes.iter().map(|(id, remote)| view::Shard {
            number: *id,
            dispatcher: Some(remote.addr),
            workers: remote.workers.len(),
        }));
        shares.sort_by_key(|share| share.number);
        shares
    }

    /// Until when any carrier may act, once all have been ended without an answer.
    pub fn last_lease_end(&self) -> Option<Instant> {
        let state = self.state();
        state
            .remotes
            .values()
            .filter_map(|remote| remote.acked_at)
            .max()
            .map(|at| at + DISPATCH_LEASE)
    }

    /// All shares on other nodes.
    pub fn ids(&self) -> Vec<ShardId> {
        self.state().remotes.keys().copied().collect()
    }

    /// Ends the share of this node.
    pub fn stop_own(&self) {
        self.own.stop();
    }
}
