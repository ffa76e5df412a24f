//! Connections kept between requests, by address, with when each last answered.
//!
//! A connection can go silent without a reset: what is sent is lost and nothing comes back. Nobody
//! tells, so a request that has no answer casts doubt on every connection to its address that has
//! not answered since that request was sent. They are all given up then: if each had to fail by
//! itself, 64 of them would cost 64 times the time limit of a call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use hyper::client::conn::http1::SendRequest;
use tokio::sync::Semaphore;

use crate::clock;
use crate::dial::Body;
use crate::dial::EXCHANGE_MAX_IDLE;
use crate::dial::MAX_CONNECTING;

/// Idle connections kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A connection without a request under way.
struct IdleConnection {
    sender: SendRequest<Body>,
    /// When it last answered.
    last_answer_at: Instant,
}

/// What is kept of an address.
struct Remote {
    /// Connections without a request under way, the one that answered last at the end.
    idle: Vec<IdleConnection>,
    /// How long its answers took lately: the longest, forgotten by an eighth with each answer.
    recent_latency: Duration,
    /// Bounds the connections in the making.
    connect_permits: Arc<Semaphore>,
}

impl Default for Remote {
    fn default() -> Remote {
        let connecting = Arc::new(Semaphore::new(MAX_CONNECTING));
        Remote { idle: Vec::new(), recent_latency: Duration::ZERO, connect_permits: connecting }
    }
}

/// What is kept of each address.
#[derive(Default)]
pub(super) struct ConnectionPool {
    remotes: Mutex<HashMap<SocketAddr, Remote>>,
    /// How long answers of all addresses took lately. Where this process is itself late, all are.
    recent_latency: Mutex<Duration>,
}

impl ConnectionPool {
    fn remotes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Remote>> {
        self.remotes.lock().expect("no holder of the addresses panics")
    }

    /// Takes the connection that answered last, if that is no longer ago than `within`.
    pub(super) fn take_idle(
        &self,
        addr: SocketAddr,
        within: Duration,
    ) -> Option<SendRequest<Body>> {
        let mut remotes = self.remotes();
        let idle = &mut remotes.get_mut(&addr)?.idle;
        idle.retain(|kept| clock::since(kept.last_answer_at) <= EXCHANGE_MAX_IDLE);
        let last = idle.pop_if(|kept| clock::since(kept.last_answer_at) <= within);
        last.map(|kept| kept.sender)
    }

    /// Keeps a connection that has just answered.
    pub(super) fn put_idle(&self, addr: SocketAddr, sender: SendRequest<Body>) {
        let mut remotes = self.remotes();
        let idle = &mut remotes.entry(addr).or_default().idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, last_answer_at: clock::now() });
        }
    }

    /// Gives up the connections to an address that have not answered since; returns how many.
    pub(super) fn close_unanswered_since(&self, addr: SocketAddr, since: Instant) -> usize {
        let mut remotes = self.remotes();
        let Some(remote) = remotes.get_mut(&addr) else { return 0 };
        let before = remote.idle.len();
        remote.idle.retain(|kept| kept.last_answer_at >= since);
        before - remote.idle.len()
    }

    /// An answer of an address took so long.
    pub(super) fn record_latency(&self, addr: SocketAddr, took: Duration) {
        let mut remotes = self.remotes();
        let remote = remotes.entry(addr).or_default();
        remote.recent_latency = took.max(remote.recent_latency - remote.recent_latency / 8);
        let mut usual = self.recent_latency.lock().expect("no holder of the time panics");
        *usual = took.max(*usual - *usual / 32);
    }

    /// How long answers take, of an address or of all, whichever is longer; nothing if none came yet.
    pub(super) fn recent_latency(&self, addr: SocketAddr) -> Duration {
        let of_addr =
            self.remotes().get(&addr).map_or(Duration::ZERO, |remote| remote.recent_latency);
        of_addr.max(*self.recent_latency.lock().expect("no holder of the time panics"))
    }

    /// Bounds how many connections to an address are in the making.
    pub(super) fn connect_permits(&self, addr: SocketAddr) -> Arc<Semaphore> {
        self.remotes().entry(addr).or_default().connect_permits.clone()
    }
}
