//! Idle connections by address, with the time of the last response on each.
//!
//! A connection can go dead without a reset: what is sent is lost, nothing comes back, and no error
//! is reported. A request without a response therefore makes every connection to its address
//! suspect that has had no response since that request was sent, and all of them are closed. If
//! each had to fail by itself, 64 of them would cost 64 times the time limit of a call.

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

/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

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

/// Idle connections and response times of all addresses.
#[derive(Default)]
pub(super) struct ConnectionPool {
    remotes: Mutex<HashMap<SocketAddr, Remote>>,
    /// Maximum of the recent response times of all addresses, reduced by a thirty-second with each
    /// response. If this process itself is slow, all responses are late.
    recent_latency: Mutex<Duration>,
}

impl ConnectionPool {
    fn remotes(&self) -> MutexGuard<'_, HashMap<SocketAddr, Remote>> {
        self.remotes.lock().expect("no thread panics while it holds the addresses lock")
    }

    /// Takes the idle connection with the latest response, if that came within `within`.
    pub(super) fn take_idle(
        &self,
        addr: SocketAddr,
        within: Duration,
    ) -> Option<SendRequest<Body>> {
        let mut remotes = self.remotes();
        let idle = &mut remotes.get_mut(&addr)?.idle;
        idle.retain(|connection| clock::since(connection.last_response_at) <= EXCHANGE_MAX_IDLE);
        let last = idle.pop_if(|connection| clock::since(connection.last_response_at) <= within);
        last.map(|connection| connection.sender)
    }

    /// Adds a connection that has just received a response; closes it if there are enough idle
    /// ones.
    pub(super) fn put_idle(&self, addr: SocketAddr, sender: SendRequest<Body>) {
        let mut remotes = self.remotes();
        let idle = &mut remotes.entry(addr).or_default().idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { sender, last_response_at: clock::now() });
        }
    }

    /// Closes the idle connections to an address that have had no response since `since`; returns
    /// how many.
    pub(super) fn close_unanswered_since(&self, addr: SocketAddr, since: Instant) -> usize {
        let mut remotes = self.remotes();
        let Some(remote) = remotes.get_mut(&addr) else { return 0 };
        let before = remote.idle.len();
        remote.idle.retain(|connection| connection.last_response_at >= since);
        before - remote.idle.len()
    }

    /// Records the response time of an address.
    pub(super) fn record_latency(&self, addr: SocketAddr, elapsed: Duration) {
        let mut remotes = self.remotes();
        let remote = remotes.entry(addr).or_default();
        remote.recent_latency = elapsed.max(remote.recent_latency - remote.recent_latency / 8);
        let mut latency =
            self.recent_latency.lock().expect("no thread panics while it holds the latency lock");
        *latency = elapsed.max(*latency - *latency / 32);
    }

    /// Recent response time of the address or of all addresses, whichever is longer; zero if there
    /// was no response yet.
    pub(super) fn recent_latency(&self, addr: SocketAddr) -> Duration {
        let of_addr =
            self.remotes().get(&addr).map_or(Duration::ZERO, |remote| remote.recent_latency);
        of_addr.max(
            *self.recent_latency.lock().expect("no thread panics while it holds the latency lock"),
        )
    }

    /// Semaphore that limits concurrent connection attempts to an address.
    pub(super) fn connect_permits(&self, addr: SocketAddr) -> Arc<Semaphore> {
        self.remotes().entry(addr).or_default().connect_permits.clone()
    }
}
