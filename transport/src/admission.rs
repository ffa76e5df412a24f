//! Admission of connections and of what they send: one bound on the accepted connections of all
//! listeners of a process, and one on the bytes that are held for them.
//!
//! A client may open any number of connections, send a part of a request on each and leave them
//! open. When a bound is reached, a connection that waits for its client is closed in favour of
//! the one that needs room. For a place it is the one that has waited longest; for bytes, the one
//! that has cost most so far, by its bytes and the time since it waits. A connection whose request
//! is being handled is never closed for another one; if all are, the new request is refused.

mod buffer;

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

pub use crate::admission::buffer::Buffer;
pub use crate::admission::buffer::PushError;
use crate::clock;
use crate::socket;

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

/// What a request has cost: its bytes, times how long they are held, in microseconds.
type Cost = u128;

fn cost(bytes: usize, since: Instant) -> Cost {
    bytes as Cost * clock::since(since).as_micros()
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

    /// Accepts a connection; `None` if it was refused and closed, or has ended.
    ///
    /// # Errors
    ///
    /// Errors of the system, for example for lack of descriptors.
    pub async fn accept(
        &self,
        listener: &TcpListener,
    ) -> io::Result<Option<(TcpStream, Connection)>> {
        let (stream, _) = listener.accept().await?;
        if socket::limit_buffers(&stream).is_err() {
            // The client has disconnected already.
            return Ok(None);
        }
        Ok(self.admit().await.map(|connection| (stream, connection)))
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

/// Bytes that are held for a request. They are free again once this is dropped.
pub struct Held {
    client: Client,
    bytes: usize,
    since: Instant,
}

impl Held {
    /// Holds further bytes. At the limit, other connections are closed first.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room, and this request has cost more than each of those whose
    /// clients are waited for.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// use std::sync::Arc;
    /// use spokelift_transport::admission::Control;
    /// use spokelift_transport::admission::Exhausted;
    /// use spokelift_transport::admission::Limits;
    /// let control = Control::new(Limits { connections: 2, bytes: 100 }, Arc::new(|_| {}));
    /// let connection = control.admit().await.unwrap();
    /// let client = connection.client();
    /// let (mut first, mut second) = (client.hold(), client.hold());
    /// assert_eq!(first.grow(80).await, Ok(()));
    /// assert_eq!(second.grow(30).await, Err(Exhausted));
    /// drop(first);
    /// assert_eq!(second.grow(30).await, Ok(()));
    /// # });
    /// ```
    pub async fn grow(&mut self, by: usize) -> Result<(), Exhausted> {
        let control = self.client.control.clone();
        loop {
            let freed = control.shared.freed.notified();
            if self.hold(by) {
                return Ok(());
            }
            if !self.make_room(by) {
                return Err(self.refuse());
            }
            freed.await;
        }
    }

    /// Holds further bytes without waiting for room: for bytes that exist already. At the limit,
    /// another connection is closed, but these bytes are refused.
    ///
    /// # Errors
    ///
    /// [`Exhausted`] if there is no room.
    pub fn try_grow(&mut self, by: usize) -> Result<(), Exhausted> {
        if self.hold(by) {
            return Ok(());
        }
        self.make_room(by);
        Err(self.refuse())
    }

    fn hold(&mut self, by: usize) -> bool {
        let has_room = self.client.control.try_hold(&self.client, by);
        if has_room {
            self.bytes += by;
        }
        has_room
    }

    /// Has a connection closed that has cost more than this request. Returns whether one is closing.
    fn make_room(&self, by: usize) -> bool {
        let own = cost(self.bytes + by, self.since);
        self.client.control.close_one(Event::RequestClosed, |in_use| in_use.most_costly(own))
    }

    fn refuse(&self) -> Exhausted {
        (self.client.control.shared.on_event)(Event::RequestRefused);
        Exhausted
    }

    /// Frees a part of the bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let freed = self.bytes.saturating_sub(bytes);
        self.bytes -= freed;
        self.client.control.free(&self.client, freed);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.client.control.free(&self.client, self.bytes);
    }
}

/// Whether a connection waits for its client, and what is held for it. Clones share the state.
#[derive(Clone)]
pub struct Client {
    control: Control,
    state: Arc<Mutex<State>>,
    closing: Arc<Notify>,
}

#[derive(Clone, Copy, Default)]
struct State {
    waiting_since: Option<Instant>,
    is_closing: bool,
    /// Bytes held for its requests.
    bytes: usize,
}

impl Client {
    fn new(control: &Control) -> Client {
        Client { control: control.clone(), state: Arc::default(), closing: Arc::default() }
    }

    /// Bytes that are held for a request of the client, none at first.
    pub fn hold(&self) -> Held {
        Held { client: self.clone(), bytes: 0, since: clock::now() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the client lock")
    }

    /// Since when the connection waits for its client; `None` if it does not, or is closing.
    fn waiting_since(&self) -> Option<Instant> {
        let state = self.lock();
        state.waiting_since.filter(|_| !state.is_closing)
    }

    /// What its requests have cost so far; `None` if the connection does not wait for it, or is
    /// closing.
    fn cost(&self) -> Option<Cost> {
        let since = self.waiting_since()?;
        Some(cost(self.lock().bytes, since))
    }

    /// Records that the connection has been waiting for its client since this time: to send a
    /// request or the rest of one, or to read an answer.
    pub fn wait_since(&self, since: Instant) {
        self.lock().waiting_since = Some(since);
    }

    /// Records that the client waits for the connection.
    pub fn stop_waiting(&self) {
        self.lock().waiting_since = None;
    }

    fn close(&self) {
        self.lock().is_closing = true;
        self.closing.notify_one();
    }

    /// Waits until the connection is to be closed in favour of another one.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}
