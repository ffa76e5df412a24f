//! What a node knows of the leader, and its requests to it.
//!
//! A node that watches the lease topic knows of a new leader from there and tells a few others,
//! which tell others in turn. A node that has missed that finds out when the leader it knows does
//! not answer, answers that it is not the leader, or has not renewed its lease; it then reads the
//! topic at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::store::Offset;
use spokelift_platform::worker::Token;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::leader::lease::KnownLease;
use crate::batch::leader::lease::LeaderLease;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::record::Accepted;
use crate::batch::watch::Group;
use crate::transport::clock;

/// How long a request waits for the lease topic to be read where the leader that answered may have
/// been replaced.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the last read up to which it confirms what such a leader answered; a node that watches
/// reads once in half a second.
const CONFIRMED_FOR: Duration = Duration::from_millis(700);
/// Number of times that an accepted job is reported to the leader: together they take longer than a
/// change of leader.
const REPORT_ATTEMPTS: u32 = 12;
/// Delay before an accepted job is reported again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of preferred leaders that watch the lease topic at a time. Each delays its claim of a free
/// lease at random; among several, the shortest delay is small.
const PREFERRED_WATCHERS: usize = 12;
/// The same of the other nodes, which claim the lease if no preferred leader is left.
const OTHER_WATCHERS: usize = 4;

impl Node {
    fn lock_lease(&self) -> MutexGuard<'_, KnownLease> {
        self.known_lease.lock().expect("no thread panics while it holds the leader lease lock")
    }

    /// Promises the leader with this token, in this incarnation of its node, not to claim the leader
    /// lease; returns for how long. A leader that has a successor is promised nothing.
    pub(super) fn promise_to(&self, token: Token, incarnation: u64) -> Duration {
        if self.lock_lease().has_successor(token, incarnation) {
            return Duration::ZERO;
        }
        self.claims.promise(clock::now())
    }

    /// Applies a record of the leader lease, which stands at `offset` in its topic, unless a later
    /// one is known. If it names another leader than before, a few other nodes are told.
    pub fn set_leader_lease(&self, offset: Offset, lease: &LeaderLease) {
        if !self.lock_lease().apply(offset, lease) {
            return;
        }
        for addr in self.gossip_peers() {
            self.counters.count("batch.lead.told");
            let request = peer::Request::Leader { offset, lease: Box::new(lease.clone()) };
            self.peers.notify(addr, request);
        }
    }

    /// Forgets the leader lease if this node held it.
    pub fn clear_own_lease(&self) {
        self.lock_lease().clear_own(self.incarnation);
    }

    /// Whether this node holds the leader lease, as far as it knows.
    pub fn holds_lease(&self) -> bool {
        let known = self.lock_lease();
        known.lease().is_some_and(|lease| lease.incarnation == self.incarnation)
    }

    /// Whether no other node has much more CPU than this one; `None` until the others are known.
    pub fn is_preferred_leader(&self) -> Option<bool> {
        self.directory.is_preferred_leader(self.settings.cpu)
    }

    /// The nodes that watch the lease topic in turns with this one; `None` until the others are
    /// known.
    pub fn lease_watchers(&self) -> Option<Group> {
        let is_preferred = self.is_preferred_leader()?;
        let watchers = if is_preferred { PREFERRED_WATCHERS } else { OTHER_WATCHERS };
        let nodes = self.directory.count_alike(self.settings.cpu) + 1;
        Some(Group { nodes, watchers })
    }

    /// Incarnation of the leader's node; `None` if the lease is free or not known.
    pub(super) fn leader_incarnation(&self) -> Option<u64> {
        self.lock_lease().lease().map(|lease| lease.incarnation)
    }

    /// Address of the leader, if it is another node.
    pub fn remote_leader(&self) -> Option<SocketAddr> {
        let known = self.lock_lease();
        let lease = known.lease().filter(|lease| lease.incarnation != self.incarnation);
        lease.map(|lease| lease.addr)
    }

    /// Sends a request to the leader, which may be this node; `None` if there is no leader or it
    /// does not answer.
    pub async fn ask_leader(&self, request: peer::Request) -> Option<Reply> {
        if let Some(scheduler) = self.scheduler() {
            return Some(scheduler.answer_own(request).await);
        }
        let Some(addr) = self.remote_leader() else {
            self.lease_turns.start();
            return None;
        };
        match self.peers.ask(addr, request.clone()).await {
            Ok(Reply::Unconfirmed(reply)) => {
                self.lease_turns.refresh(CONFIRMED_FOR, CONFIRM_TIMEOUT).await;
                match self.remote_leader().filter(|leader| *leader != addr) {
                    Some(leader) => self.peers.ask(leader, request).await.ok(),
                    None => Some(*reply),
                }
            }
            Ok(Reply::NotReady) => {
                if !self.lock_lease().is_recent() {
                    self.lease_turns.start();
                }
                Some(Reply::NotReady)
            }
            Ok(reply) => Some(reply),
            Err(error) => {
                self.lease_turns.start();
                self.counters.count("batch.peer.no-answer");
                log::debug!("the leader at {addr} does not answer: {error}");
                None
            }
        }
    }

    /// Reports a job that the store has taken to the leader, again if there is none. If that fails,
    /// the leader finds the job when it next reads the store.
    pub fn report_submitted(self: &Arc<Self>, id: JobId, accepted: Accepted) {
        let (node, request) = (self.clone(), peer::Request::Submitted(id, Box::new(accepted)));
        tokio::spawn(async move { node.report(request).await });
    }

    /// Sends a report to the leader until one takes it, a limited number of times.
    async fn report(&self, request: peer::Request) -> Option<Reply> {
        for _ in 1..REPORT_ATTEMPTS {
            match self.ask_leader(request.clone()).await {
                Some(Reply::NotReady) | None => self.counters.count("batch.report.retried"),
                reply => return reply,
            }
            sleep(REPORT_RETRY_DELAY).await;
        }
        self.ask_leader(request).await
    }

    /// Reports a job like [`Node::report_submitted`], and returns whether its id is in use by another
    /// account's job; `None` if the leader does not say by `deadline`. Only the leader knows: two
    /// accounts may hand in jobs under one id at two nodes at the same time.
    pub async fn is_id_in_use(
        self: &Arc<Self>,
        id: JobId,
        accepted: Accepted,
        deadline: Instant,
    ) -> Option<bool> {
        let (node, request) = (self.clone(), peer::Request::Submitted(id, Box::new(accepted)));
        // The task outlives the timeout, so that the report is sent again if nobody takes it.
        let reply = tokio::spawn(async move { node.report(request).await });
        let left = deadline.saturating_duration_since(clock::now());
        match timeout(left, reply).await.ok()?.ok()?? {
            Reply::Done => Some(false),
            Reply::IdInUse => Some(true),
            _ => None,
        }
    }
}
