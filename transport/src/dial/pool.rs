//! Idle connections by address, with the time of the last response on each.
//!
//! A connection can go dead without a reset: what is sent is lost, nothing comes back, and no error
//! is reported. A request without a response therefore makes every connection to its address
//! suspect that has had no response since that request was sent, and all of them are closed. If
//! each had to fail by itself, 64 of them would cost 64 times the time limit of a call.
//!
//! An idle connection takes one of the connections that its server accepts. A server that accepts
//! few goes on counting those of a process whose box has lost power. So connections that have been
//! idle for too long to be used again are closed even if their address is not called any more.

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

/// Time between two searches for connections that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection without a request in flight.
struct IdleConnection {
    sender: SendRequest<Body>,
    /// Time of the last response on it.
    last_response_at: Instant,
}

/// State of an address.
struct Remote {
    /// Idle connections, the one with the latest response at the end.
    idle: Vec<IdleConnection>,
    /// Maximum of the recent response times, reduced by an eighth with each response.
    recent_latency: Duration,
    /// Limits concurrent connection attempts.
    connect_permits: Arc<Semaphore>,
}

impl Default for Remote {
    fn default() -> Remote {
        let connect_permits = Arc::new(Semaphore::new(MAX_CONNECTING));
        Remote { idle: Vec::new(), recent_latency: Duration::ZERO, connect_permits }
    }
}

impl Remote {
    /// Closes the connections that have been idle for too long to be used again.
    fn close_old(&mut self, now: Instant) {
        self.idle.retain(|connection| {
            now.saturating_duration_since(connection.last_response_at) <= EXCHANGE_MAX_IDLE
        });
    }
}

/// State of all addresses.
#[derive(Default)]
struct Remotes {
    by_addr: HashMap<SocketAddr, Remote>,
    /// When connections that have been idle for too long were last closed.
    swept_at: Option<Instant>,
}

impl Remotes {
    fn entry(&mut self, addr: SocketAddr) -> &mut Remote {
        self.by_addr.entry(addr).or_default()
    }

    /// Closes the connections that have been idle for too long, if that is due.
    fn sweep(&mut self, now: Instant) {
        let is_due = self.swept_at.is_none_or(|at| now.duration_since(at) >= SWEEP_INTERVAL);
        if is_due {
            self.swept_at = Some(now);
            self.by_addr.values_mut().for_each(|remote| remote.close_old(now));
        }
    }
}

/// Idle connections and response times of all addresses.
#[derive(Default)]
pub(super) struct ConnectionPool {
    remotes: Mutex<Remotes>,
    /// Maximum of the recent response times of all addresses, reduced by a thirty-second with each
    /// response. If this process itself is slow, all responses are late.
    recent_latency: Mutex<Duration>,
}

impl ConnectionPool {
    fn remotes(&self) -> MutexGuard<'_, Remotes> {
        self.remotes.lock().expect("no thread panics while it holds the addresses lock")
    }

    /// Takes the idle connection with the latest response, if that came within `within`.
    pub(super) fn take_idle(
        &self,
        addr: SocketAddr,
        within: Duration,
    ) -> Option<SendRequest<Body>> {
        let now = clock::now();
        let mut remotes = self.remotes();
        remotes.sweep(now);
        let remote = remotes.by_addr.get_mut(&addr)?;
        remote.close_old(now);
        let is_recent = |connection: &mut IdleConnection| {
            now.saturating_duration_since(connection.last_response_at) <= within
        };
        remote.idle.pop_if(is_recent).map(|connection| connection.sender)
    }

    /// Adds a connection that has just received a response; closes it if there are `max_idle`
    /// already.
    pub(super) fn put_idle(&self, addr: SocketAddr, sender: SendRequest<Body>, max_idle: usize) {
        let now = clock::now();
        let mut remotes = self.remotes();
        remotes.sweep(now);
        let idle = &mut remotes.entry(addr).idle;
        if idle.len() < max_idle {
            idle.push(IdleConnection { sender, last_response_at: now });
        }
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&self, addr: SocketAddr) {
        if let Some(remote) = self.remotes().by_addr.get_mut(&addr) {
            remote.idle.clear();
        }
    }

    /// Closes the idle connections to an address that have had no response since `since`; returns
    /// how many.
    pub(super) fn close_unanswered_since(&self, addr: SocketAddr, since: Instant) -> usize {
        let mut remotes = self.remotes();
        let Some(remote) = remotes.by_addr.get_mut(&addr) else { return 0 };
        let before = remote.idle.len();
        remote.idle.retain(|connection| connection.last_response_at >= since);
        before - remote.idle.len()
    }

    /// Records the response time of an address.
    pub(super) fn record_latency(&self, addr: SocketAddr, elapsed: Duration) {
        let mut remotes = self.remotes();
        let remote = remotes.entry(addr);
        remote.recent_latency = elapsed.max(remote.recent_latency - remote.recent_latency / 8);
        let mut latency =
            self.recent_latency.lock().expect("no thread panics while it holds the latency lock");
        *latency = elapsed.max(*latency - *latency / 32);
    }

    /// Recent response time of the address or of all addresses, whichever is longer; zero if there
    /// was no response yet.
    pub(super) fn recent_latency(&self, addr: SocketAddr) -> Duration {
        let of_addr = self
            .remotes()
            .by_addr
            .get(&addr)
            .map_or(Duration::ZERO, |remote| remote.recent_latency);
        of_addr.max(
            *self.recent_latency.lock().expect("no thread panics while it holds the latency lock"),
        )
    }

    /// Semaphore that limits concurrent connection attempts to an address.
    pub(super) fn connect_permits(&self, addr: SocketAddr) -> Arc<Semaphore> {
        self.remotes().entry(addr).connect_permits.clone()
    }
}
