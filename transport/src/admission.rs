//! Admission of connections and of what they send: one bound on the accepted connections of all
//! listeners of a process, and one on the bytes that are held for them.
//!
//! A client may open any number of connections, send a part of a request on each and leave them
//! open. When a bound is reached, a connection that waits for its client is closed in favour of
//! the one that needs room. For a place it is the one that has waited longest; for bytes, the one
//! that has cost most so far, by its bytes and the time since it waits. A connection whose request
//! is being handled is never closed for another one; if all are, the new request is refused.

mod buffer;
mod client;
mod held;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

pub use crate::admission::buffer::Buffer;
pub use crate::admission::buffer::PushError;
pub use crate::admission::client::Client;
use crate::admission::client::Cost;
pub use crate::admission::held::Held;
use crate::socket;

/// Pause after a failed accept, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection without the bodies of its requests, in bytes: mostly the buffer for the
/// head of a request, and the state of its handler.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Connections may take one part in so many of the memory.
const CONNECTIONS_DIVISOR: usize = 4;
/// The bytes of requests may take one part in so many of the memory.
const BYTES_DIVISOR: usize = 8;

/// What all accepted connections of a process may use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections.
    pub connections: usize,
    /// Bytes held for requests.
    pub bytes: usize,
}

impl Limits {
    /// The limits on a machine on which a process may have this much memory, in bytes, and this many
    /// descriptors. Half of those for sockets are left for connections of the process's own.
    ///
    /// ```
    /// use spokelift_transport::admission::Limits;
    /// let limits = Limits::of_machine(160 << 20, 4_100);
    /// assert_eq!(limits, Limits { connections: 640, bytes: 20 << 20 });
    /// assert_eq!(Limits::of_machine(160 << 20, 400).connections, 100);
    /// assert_eq!(Limits::of_machine(0, 0).connections, 1);
    /// ```
    pub fn of_machine(memory: usize, max_descriptors: usize) -> Limits {
        let by_memory = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = max_descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        let connections = by_memory.min(by_descriptors).max(1);
        Limits { connections, bytes: memory / BYTES_DIVISOR }
    }
}

/// What happened at a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection that waited for its client was closed in favour of another one.
    ConnectionClosed,
    /// A new connection was refused.
    ConnectionRefused,
    /// A connection that waited for its client was closed in favour of another one's request.
    RequestClosed,
    /// Bytes of a request were refused.
    RequestRefused,
}

impl Event {
    /// Its name in counters.
    pub fn counter(self) -> &'static str {
        match self {
            Event::ConnectionClosed => "admission.connection-closed",
            Event::ConnectionRefused => "admission.connection-refused",
            Event::RequestClosed => "admission.request-closed",
            Event::RequestRefused => "admission.request-refused",
        }
    }
}

/// Called with each [`Event`].
pub type EventHandler = Arc<dyn Fn(Event) + Send + Sync>;

/// Admits connections to a process. Clones share the limits.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
}

/// No bytes are left for a request, and no other connection is to be closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for requests is used up")]
pub struct Exhausted;

struct Shared {
    limits: Limits,
    in_use: Mutex<InUse>,
    /// Notified whenever a connection has ended or bytes were freed.
    freed: Notify,
    on_event: EventHandler,
}

#[derive(Default)]
struct InUse {
    connections: HashMap<u64, Client>,
    /// Number of the last connection.
    last: u64,
    /// Bytes held for all connections.
    bytes: usize,
}

impl InUse {
    /// The connection that has waited longest for its client.
    fn longest_waiting(&self) -> Option<&Client> {
        let waiting =
            self.connections.values().filter_map(|client| Some((client.waiting_since()?, client)));
        waiting.min_by_key(|(since, _)| *since).map(|(_, client)| client)
    }

    /// The connection that has cost most of those that wait for their clients, if it has cost more
    /// than `cost`.
    fn most_costly(&self, cost: Cost) -> Option<&Client> {
        let waiting = self.connections.values().filter_map(|client| Some((client.cost()?, client)));
        let most = waiting.max_by_key(|(cost, _)| *cost);
        most.filter(|(most, _)| *most > cost).map(|(_, client)| client)
    }

    fn is_one_closing(&self) -> bool {
        self.connections.values().any(|client| client.lock().is_closing)
    }
}

impl Control {
    /// Admits connections within `limits`.
    pub fn new(limits: Limits, on_event: EventHandler) -> Control {
        let in_use = Mutex::default();
        Control { shared: Arc::new(Shared { limits, in_use, freed: Notify::new(), on_event }) }
    }

    fn in_use(&self) -> MutexGuard<'_, InUse> {
        self.shared.in_use.lock().expect("no thread panics while it holds the admission lock")
    }

    /// Accepts the next connection that is admitted, and sets its options.
    pub async fn accept(&self, listener: &TcpListener) -> (TcpStream, Connection) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if socket::set_accepted_options(&stream).is_err() {
                // The client has disconnected already.
                continue;
            }
            if let Some(connection) = self.admit().await {
                return (stream, connection);
            }
        }
    }

    /// Admits a connection that was accepted; `None` if it is refused. At the limit, another
    /// connection is closed first.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// use std::sync::Arc;
    /// use std::time::Instant;
    /// use spokelift_transport::admission::Control;
    /// use spokelift_transport::admission::Limits;
    /// let control = Control::new(Limits { connections: 1, bytes: 0 }, Arc::new(|_| {}));
    /// let first = control.admit().await.unwrap();
    /// assert!(control.admit().await.is_none(), "the request of the first one is being handled");
    /// first.client().wait_since(Instant::now());
    /// let closed = async { first.client().closed().await; drop(first) };
    /// let (second, ()) = tokio::join!(control.admit(), closed);
    /// assert!(second.is_some());
    /// # });
    /// ```
    pub async fn admit(&self) -> Option<Connection> {
        loop {
            let freed = self.shared.freed.notified();
            if let Some(connection) = self.try_admit() {
                return Some(connection);
            }
            if !self.close_one(Event::ConnectionClosed, InUse::longest_waiting) {
                (self.shared.on_event)(Event::ConnectionRefused);
                return None;
            }
            freed.await;
        }
    }

    fn try_admit(&self) -> Option<Connection> {
        let mut in_use = self.in_use();
        if in_use.connections.len() >= self.shared.limits.connections {
            return None;
        }
        in_use.last += 1;
        let (number, client) = (in_use.last, Client::new(self));
        in_use.connections.insert(number, client.clone());
        Some(Connection { number, client })
    }

    /// Has a connection closed, unless one is closing already. Returns whether one is.
    fn close_one(&self, event: Event, choose: impl Fn(&InUse) -> Option<&Client>) -> bool {
        let in_use = self.in_use();
        if in_use.is_one_closing() {
            return true;
        }
        let Some(client) = choose(&in_use) else { return false };
        client.close();
        (self.shared.on_event)(event);
        true
    }

    fn free(&self, client: &Client, bytes: usize) {
        client.lock().bytes -= bytes;
        self.in_use().bytes -= bytes;
        self.shared.freed.notify_waiters();
    }

    fn try_hold(&self, client: &Client, bytes: usize) -> bool {
        let mut in_use = self.in_use();
        let has_room = in_use.bytes.saturating_add(bytes) <= self.shared.limits.bytes;
        if has_room {
            in_use.bytes += bytes;
            client.lock().bytes += bytes;
        }
        has_room
    }
}

/// An admitted connection. Another one may take its place once it is dropped.
pub struct Connection {
    number: u64,
    client: Client,
}

impl Connection {
    /// The client of the connection.
    pub fn client(&self) -> &Client {
        &self.client
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let control = &self.client.control;
        control.in_use().connections.remove(&self.number);
        control.shared.freed.notify_waiters();
    }
}
