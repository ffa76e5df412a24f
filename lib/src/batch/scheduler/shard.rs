//! Assigns workers to dispatchers: which node dispatches for which worker, and what happens to a shard whose
//! dispatcher is lost.
//!
//! The scheduler makes all decisions; dispatchers hold the connections to workers and carry out its commands. On a
//! site with few workers the scheduler's own node has the only shard. On a large site the calls to workers would take
//! all its CPU: 1,100 workers mean some 150,000 calls in 45 s. There other nodes have the shards, and the scheduler
//! gets a few hundred messages a second, each with many events.
//!
//! The shard of an unresponsive dispatcher is reclaimed, and its workers are assigned to others at once. The dispatch
//! lease bounds how long the dispatcher may still act, and the expiry of the worker leases takes that into account.

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
use crate::transport::clock;

pub use crate::batch::scheduler::shard::remote::Lost;

/// Number of a shard of this scheduler; that of its own node is [`OWN_SHARD`].
pub type ShardId = u64;
/// The shard of the scheduler's own node.
pub const OWN_SHARD: ShardId = 0;

/// A shard with more workers than this, in percent of its fair count, gives workers to others.
const OVERLOAD_PERCENT: usize = 125;

/// All shards of a scheduler.
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

/// A shard that has too many workers.
#[derive(Debug)]
pub struct Overload {
    /// Number of the shard.
    pub shard: ShardId,
    /// All workers of the shard.
    pub workers: Vec<WorkerNumber>,
    /// How many of them other shards should have. No more than these may be moved: the other shards would have too
    /// many then, and move them on in turn.
    pub excess: usize,
}

/// A report that was accepted.
#[derive(Debug)]
pub struct ReceivedReport {
    /// The report itself.
    pub report: Report,
    /// The time that its offsets count from.
    pub time_base: Instant,
}

/// How a report was received.
#[derive(Debug)]
pub enum ReportOutcome {
    /// It is the next one of its shard.
    New(ReceivedReport),
    /// It was accepted before.
    Duplicate,
    /// Its shard has ended, or a report before it is missing.
    Stale,
}

impl Shards {
    /// Creates the shard of the own node; no worker is assigned yet.
    pub fn new(token: Token, own: Arc<Dispatcher>) -> Shards {
        Shards { token, own, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the shards lock")
    }

    /// Starts a shard on another node; `weight` is the CPU of that node, in thousandths of a core. Returns the number
    /// of the shard, and what wakes the task that sends its commands.
    pub fn start(&self, addr: SocketAddr, weight: u32, now: Instant) -> (ShardId, Arc<Notify>) {
        let mut state = self.state();
        state.last_id += 1;
        let id = state.last_id;
        let wake = Arc::new(Notify::new());
        // The first message starts the shard, with or without commands.
        wake.notify_one();
        let remote = RemoteShard::new(addr, weight, wake.clone(), now);
        state.remotes.insert(id, remote);
        (id, wake)
    }

    /// Assigns a worker to the ready shard with the fewest workers for the CPU of its node, and sends `command` there.
    /// The own node gets it if no other one is ready.
    pub fn assign(&self, number: WorkerNumber, command: Command) {
        let mut state = self.state();
        let ready = state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let least = ready.min_by(|(_, first), (_, second)| first.load().total_cmp(&second.load()));
        let shard = least.map_or(OWN_SHARD, |(id, _)| *id);
        state.assignments.insert(number, shard);
        if let Some(remote) = state.remotes.get_mut(&shard) {
            remote.workers.insert(number);
        }
        self.push(&mut state, shard, command);
    }

    /// Whether a worker is assigned to a shard.
    pub fn is_assigned(&self, number: WorkerNumber) -> bool {
        self.state().assignments.contains_key(&number)
    }

    /// Whether the dispatcher of every shard has reported.
    pub fn are_all_ready(&self) -> bool {
        self.state().remotes.values().all(|remote| remote.is_ready())
    }

    /// A shard that has too many workers; `None` while no other node dispatches, and if each shard has about its fair
    /// count.
    pub fn find_overload(&self) -> Option<Overload> {
        let state = self.state();
        let ready = || state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let weight: usize = ready().map(|(_, remote)| remote.weight as usize).sum();
        if weight == 0 {
            return None;
        }
        let members = |shard: ShardId| {
            let assigned =
                state.assignments.iter().filter(move |(_, assigned)| **assigned == shard);
            assigned.map(|(number, _)| *number).collect::<Vec<WorkerNumber>>()
        };
        let own = members(OWN_SHARD);
        if !own.is_empty() {
            return Some(Overload { shard: OWN_SHARD, excess: own.len(), workers: own });
        }
        ready().find_map(|(id, remote)| {
            let fair_count = state.assignments.len() * remote.weight as usize / weight;
            let is_overloaded = remote.workers.len() > fair_count * OVERLOAD_PERCENT / 100 + 1;
            let excess = remote.workers.len().saturating_sub(fair_count);
            is_overloaded.then(|| Overload { shard: *id, workers: members(*id), excess })
        })
    }

    /// Sends a command to the shard that has the worker.
    pub fn send(&self, number: WorkerNumber, command: Command) {
        let mut state = self.state();
        if let Some(shard) = state.assignments.get(&number).copied() {
            self.push(&mut state, shard, command);
        }
    }

    /// Removes a worker from its shard.
    pub fn release(&self, number: WorkerNumber) {
        let mut state = self.state();
        let Some(shard) = state.assignments.remove(&number) else { return };
        if let Some(remote) = state.remotes.get_mut(&shard) {
            remote.workers.remove(&number);
        }
        self.push(&mut state, shard, Command::RemoveWorker { number });
    }

    fn push(&self, state: &mut State, shard: ShardId, command: Command) {
        let Some(remote) = state.remotes.get_mut(&shard) else {
            return self.own.execute(command);
        };
        remote.push(command);
    }

    /// Takes the pending commands of a shard as one message; `Some(None)` if there are none, but the first message is
    /// also made without any. `None` once the shard has ended.
    pub fn next_commands(&self, shard: ShardId, own: SocketAddr) -> Option<Option<Commands>> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&shard)?;
        let session = Session { token: self.token, shard };
        Some(remote.next_commands(session, own))
    }

    /// The message that ends a shard; `None` if it has ended. If the message before it is still in flight, this one may
    /// arrive out of order: the dispatcher then refuses it, and stops all the same.
    pub fn final_commands(&self, shard: ShardId, own: SocketAddr) -> Option<Commands> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&shard)?;
        Some(remote.final_commands(Session { token: self.token, shard }, own))
    }

    /// The node of a shard; `None` once the shard has ended.
    pub fn addr_of(&self, shard: ShardId) -> Option<SocketAddr> {
        Some(self.state().remotes.get(&shard)?.addr)
    }

    /// Receives a report of another node. Reports are accepted once each, in order.
    pub fn take_report(&self, report: Report, now: Instant) -> ReportOutcome {
        let mut state = self.state();
        let is_ours = report.session.token == self.token;
        let remote = state.remotes.get_mut(&report.session.shard).filter(|_| is_ours);
        let Some(remote) = remote else { return ReportOutcome::Stale };
        match remote.take_report(&report, now) {
            ReportOrder::Next(time_base) => {
                ReportOutcome::New(ReceivedReport { report, time_base })
            }
            ReportOrder::Duplicate => ReportOutcome::Duplicate,
            ReportOrder::Gap => ReportOutcome::Stale,
        }
    }

    /// Those of these workers that are in a shard.
    pub fn in_shard(
        &self,
        shard: ShardId,
        numbers: impl Iterator<Item = WorkerNumber>,
    ) -> HashSet<WorkerNumber> {
        let state = self.state();
        numbers.filter(|number| state.assignments.get(number) == Some(&shard)).collect()
    }

    /// Shards that are to be reclaimed, and why.
    pub fn find_lost(&self, now: Instant) -> Vec<(ShardId, Lost)> {
        let state = self.state();
        let lost =
            state.remotes.iter().filter_map(|(id, remote)| Some((*id, remote.loss_reason(now)?)));
        lost.collect()
    }

    /// Extends the time that each dispatcher has for its next report by a delay of this node itself: reports could not
    /// be received meanwhile.
    pub fn discount_own_delay(&self, delay: Duration) {
        for remote in self.state().remotes.values_mut() {
            remote.received_at += delay;
        }
    }

    /// Ends a shard; returns its workers, and until when its dispatcher may still act.
    pub fn reclaim(&self, shard: ShardId, now: Instant) -> Option<(Vec<WorkerNumber>, Instant)> {
        let mut state = self.state();
        let remote = state.remotes.remove(&shard)?;
        for number in &remote.workers {
            state.assignments.remove(number);
        }
        remote.wake.notify_one();
        let lease_end = remote.acked_at.map_or(now, |at| at + DISPATCH_LEASE);
        Some((remote.workers.into_iter().collect(), lease_end))
    }

    /// Removes workers from a shard, so that they can be assigned again; returns until when its dispatcher may still
    /// act for them.
    pub fn remove_workers(
        &self,
        shard: ShardId,
        numbers: &[WorkerNumber],
        now: Instant,
    ) -> Instant {
        let mut state = self.state();
        for number in numbers.iter().copied() {
            if state.assignments.get(&number) != Some(&shard) {
                continue;
            }
            state.assignments.remove(&number);
            if let Some(remote) = state.remotes.get_mut(&shard) {
                remote.workers.remove(&number);
            }
            self.push(&mut state, shard, Command::RemoveWorker { number });
        }
        state
            .remotes
            .get(&shard)
            .and_then(|remote| remote.acked_at)
            .map_or(now, |at| at + DISPATCH_LEASE)
    }

    /// The other nodes that have shards.
    pub fn addrs(&self) -> HashSet<SocketAddr> {
        self.state().remotes.values().map(|remote| remote.addr).collect()
    }

    /// All shards as operators see them.
    pub fn view(&self) -> Vec<view::Shard> {
        let state = self.state();
        let own = state.assignments.values().filter(|assigned| **assigned == OWN_SHARD).count();
        let mut shards = vec![view::Shard { number: OWN_SHARD, dispatcher: None, workers: own }];
        shards.extend(state.remotes.iter().map(|(id, remote)| view::Shard {
            number: *id,
            dispatcher: Some(remote.addr),
            workers: remote.workers.len(),
        }));
        shards.sort_by_key(|shard| shard.number);
        shards
    }

    /// Until when any dispatcher may still act if none confirms that it has stopped; `None` if none has ever reported.
    pub fn last_lease_end(&self) -> Option<Instant> {
        let state = self.state();
        state
            .remotes
            .values()
            .filter_map(|remote| remote.acked_at)
            .max()
            .map(|at| at + DISPATCH_LEASE)
    }

    /// All shards on other nodes.
    pub fn ids(&self) -> Vec<ShardId> {
        self.state().remotes.keys().copied().collect()
    }

    /// For how long a dispatcher on another node may act whose report is acknowledged at `now`.
    pub fn dispatch_lease(&self, now: Instant) -> Duration {
        self.own.lease.remaining(now).min(DISPATCH_LEASE)
    }

    /// Lets the dispatcher of this node act until `until`.
    pub fn extend_own(&self, until: Instant) {
        self.own.lease.extend_until(until);
    }

    /// Lets the dispatcher of this node act until `until` if it may act now.
    pub fn extend_own_if_valid(&self, until: Instant) {
        self.own.lease.extend_if_valid(clock::now(), until);
    }

    /// Stops the dispatcher of this node.
    pub fn stop_own(&self) {
        self.own.stop();
    }
}
