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

use crate::batch::carry::Carrier;
use crate::batch::carry::license::LICENSE;
use crate::batch::carry::message::Command;
use crate::batch::carry::remote::Errand;
use crate::batch::carry::remote::Report;
use crate::batch::carry::remote::Session;
use crate::batch::scheduler::share::remote::Remote;
use crate::batch::scheduler::share::remote::Sequence;
use crate::batch::view;
use crate::batch::worker::table::Number;

pub use crate::batch::scheduler::share::remote::Lost;

/// Number of a share of this scheduler; the one of its own node is [`OWN`].
pub type ShareId = u64;
/// The share of the scheduler's own node.
pub const OWN: ShareId = 0;

/// A share with more than this part of what it should have, in hundredths, gives workers to others.
const CROWDED_PERCENT: usize = 125;

/// All shares of a scheduler.
pub struct Shares {
    token: Token,
    own: Arc<Carrier>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    remotes: HashMap<ShareId, Remote>,
    places: HashMap<Number, ShareId>,
    last: ShareId,
}

/// A share that has too many workers.
#[derive(Debug)]
pub struct Crowded {
    /// Its number.
    pub share: ShareId,
    /// All its workers.
    pub workers: Vec<Number>,
    /// How many of them others should have. Not more may be passed on: the others would have too many then,
    /// and pass them on in turn.
    pub too_many: usize,
}

/// A report that was taken: what it tells, and from when its moments count.
#[derive(Debug)]
pub struct Told {
    /// The report.
    pub report: Report,
    /// From when its moments count.
    pub base: Instant,
}

/// What becomes of a report.
#[derive(Debug)]
pub enum Taken {
    /// It is new.
    New(Told),
    /// It was taken before.
    Again,
    /// The share is not that node's any more.
    Stale,
}

impl Shares {
    /// Nothing is dealt out yet.
    pub fn new(token: Token, own: Arc<Carrier>) -> Shares {
        Shares { token, own, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the shares panics")
    }

    /// Begins a share on another node; what wakes the task that is to send its commands.
    pub fn begin(&self, addr: SocketAddr, weight: u32, now: Instant) -> (ShareId, Arc<Notify>) {
        let mut state = self.state();
        state.last += 1;
        let id = state.last;
        let wake = Arc::new(Notify::new());
        // The first message begins the share, whether there are commands or not.
        wake.notify_one();
        let remote = Remote::new(addr, weight, wake.clone(), now);
        state.remotes.insert(id, remote);
        (id, wake)
    }

    /// Gives a worker to the share that has the fewest for its node's processor.
    pub fn assign(&self, number: Number, command: Command) {
        let mut state = self.state();
        let ready = state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let least = ready.min_by(|(_, one), (_, other)| one.load().total_cmp(&other.load()));
        let share = least.map_or(OWN, |(id, _)| *id);
        state.places.insert(number, share);
        if let Some(remote) = state.remotes.get_mut(&share) {
            remote.workers.insert(number);
        }
        self.push(&mut state, share, command);
    }

    /// Whether a worker is in some share.
    pub fn is_assigned(&self, number: Number) -> bool {
        self.state().places.contains_key(&number)
    }

    /// Whether each share that was begun is carried.
    pub fn all_ready(&self) -> bool {
        self.state().remotes.values().all(|remote| remote.is_ready())
    }

    /// A share that has too many workers; none while no other node carries, or where all have about their
    /// part.
    pub fn crowded(&self) -> Option<Crowded> {
        let state = self.state();
        let ready = || state.remotes.iter().filter(|(_, remote)| remote.is_ready());
        let weight: usize = ready().map(|(_, remote)| remote.weight as usize).sum();
        if weight == 0 {
            return None;
        }
        let members = |share: ShareId| {
            let places = state.places.iter().filter(move |(_, place)| **place == share);
            places.map(|(number, _)| *number).collect::<Vec<Number>>()
        };
        let own = members(OWN);
        if !own.is_empty() {
            return Some(Crowded { share: OWN, too_many: own.len(), workers: own });
        }
        ready().find_map(|(id, remote)| {
            let part = state.places.len() * remote.weight as usize / weight;
            let is_crowded = remote.workers.len() > part * CROWDED_PERCENT / 100 + 1;
            let too_many = remote.workers.len().saturating_sub(part);
            is_crowded.then(|| Crowded { share: *id, workers: members(*id), too_many })
        })
    }

    /// Sends a command to the share that has the worker.
    pub fn send(&self, number: Number, command: Command) {
        let mut state = self.state();
        if let Some(share) = state.places.get(&number).copied() {
            self.push(&mut state, share, command);
        }
    }

    /// A worker is to be looked after no more.
    pub fn leave(&self, number: Number) {
        let mut state = self.state();
        let Some(share) = state.places.remove(&number) else { return };
        if let Some(remote) = state.remotes.get_mut(&share) {
            remote.workers.remove(&number);
        }
        self.push(&mut state, share, Command::Leave { number });
    }

    fn push(&self, state: &mut State, share: ShareId, command: Command) {
        let Some(remote) = state.remotes.get_mut(&share) else {
            return self.own.obey(command);
        };
        remote.push(command);
    }

    /// Takes the commands of a share as one message; nothing if there are none. The first message is
    /// made also without any. `None` once the share is over.
    pub fn next_errand(&self, share: ShareId, own: SocketAddr) -> Option<Option<Errand>> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&share)?;
        let session = Session { token: self.token, share };
        Some(remote.next_errand(session, own))
    }

    /// The message that ends a share. It is the next one or, if that is under way, comes too early: the
    /// share is refused then, and its carrier ends at once as well.
    pub fn last_errand(&self, share: ShareId, own: SocketAddr) -> Option<Errand> {
        let mut state = self.state();
        let remote = state.remotes.get_mut(&share)?;
        Some(remote.last_errand(Session { token: self.token, share }, own))
    }

    /// Whether a share is still dealt out, and where.
    pub fn addr_of(&self, share: ShareId) -> Option<SocketAddr> {
        Some(self.state().remotes.get(&share)?.addr)
    }

    /// Takes a report of another node. Each counts once, in its order.
    pub fn take(&self, report: Report, now: Instant) -> Taken {
        let mut state = self.state();
        let is_ours = report.session.token == self.token;
        let remote = state.remotes.get_mut(&report.session.share).filter(|_| is_ours);
        let Some(remote) = remote else { return Taken::Stale };
        match remote.take(&report, now) {
            Sequence::Next(base) => Taken::New(Told { report, base }),
            Sequence::Again => Taken::Again,
            Sequence::Gap => Taken::Stale,
        }
    }

    /// Those of some workers that are in a share.
    pub fn in_share(
        &self,
        share: ShareId,
        numbers: impl Iterator<Item = Number>,
    ) -> HashSet<Number> {
        let state = self.state();
        numbers.filter(|number| state.places.get(number) == Some(&share)).collect()
    }

    /// Shares that are to be taken back.
    pub fn lost(&self, now: Instant) -> Vec<(ShareId, Lost)> {
        let state = self.state();
        let lost = state.remotes.iter().filter_map(|(id, remote)| Some((*id, remote.lost(now)?)));
        lost.collect()
    }

    /// This node was itself late by so much: that nothing was heard meanwhile says nothing.
    pub fn excuse(&self, late: Duration) {
        for remote in self.state().remotes.values_mut() {
            remote.heard_at += late;
        }
    }

    /// Takes a share back; its workers, and until when its carrier may act.
    pub fn take_back(&self, share: ShareId, now: Instant) -> Option<(Vec<Number>, Instant)> {
        let mut state = self.state();
        let remote = state.remotes.remove(&share)?;
        for number in &remote.workers {
            state.places.remove(number);
        }
        remote.wake.notify_one();
        let last = remote.acked_at.map_or(now, |at| at + LICENSE);
        Some((remote.workers.into_iter().collect(), last))
    }

    /// Takes workers out of a share, to be dealt out anew; until when its carrier may act for them.
    pub fn take_out(&self, share: ShareId, numbers: &[Number], now: Instant) -> Instant {
        let mut state = self.state();
        for number in numbers.iter().copied() {
            if state.places.get(&number) != Some(&share) {
                continue;
            }
            state.places.remove(&number);
            if let Some(remote) = state.remotes.get_mut(&share) {
                remote.workers.remove(&number);
            }
            self.push(&mut state, share, Command::Leave { number });
        }
        state.remotes.get(&share).and_then(|remote| remote.acked_at).map_or(now, |at| at + LICENSE)
    }

    /// The nodes that have shares.
    pub fn addrs(&self) -> HashSet<SocketAddr> {
        self.state().remotes.values().map(|remote| remote.addr).collect()
    }

    /// Each share as operators see it.
    pub fn view(&self) -> Vec<view::Share> {
        let state = self.state();
        let own = state.places.values().filter(|place| **place == OWN).count();
        let mut shares = vec![view::Share { number: OWN, carrier: None, workers: own }];
        shares.extend(state.remotes.iter().map(|(id, remote)| view::Share {
            number: *id,
            carrier: Some(remote.addr),
            workers: remote.workers.len(),
        }));
        shares.sort_by_key(|share| share.number);
        shares
    }

    /// Until when any carrier may act, once all have been ended without an answer.
    pub fn last_act(&self) -> Option<Instant> {
        let state = self.state();
        state.remotes.values().filter_map(|remote| remote.acked_at).max().map(|at| at + LICENSE)
    }

    /// All shares on other nodes.
    pub fn ids(&self) -> Vec<ShareId> {
        self.state().remotes.keys().copied().collect()
    }

    /// Ends the share of this node.
    pub fn end_own(&self) {
        self.own.end();
    }
}
