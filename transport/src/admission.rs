//! Admission of connections: one bound on the accepted connections of all listeners of a process.
//!
//! A client may open any number of connections and leave them open. When the bound is reached, the
//! connection that has waited longest for its client is closed in favour of the new one: it is
//! either idle, or its client takes longest to send a request or to read an answer. A connection
//! whose request is being handled is never closed for another one; if all are, the new one is
//! refused.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection without the bodies of its requests, in bytes: mostly the buffer for the
/// head of a request, and the state of its handler.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Connections may take one part in so many of the memory.
const CONNECTIONS_DIVISOR: usize = 4;

/// What all accepted connections of a process may use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of connections.
    pub connections: usize,
}

impl Limits {
    /// The limits on a machine on which a process may have this much memory, in bytes, and this many
    /// descriptors. Half of those for sockets are left for connections of the process's own.
    ///
    /// ```
    /// use spokelift_transport::admission::Limits;
    /// assert_eq!(Limits::of_machine(160 << 20, 4_100).connections, 640);
    /// assert_eq!(Limits::of_machine(160 << 20, 400).connections, 100);
    /// assert_eq!(Limits::of_machine(0, 0).connections, 1);
    /// ```
    pub fn of_machine(memory: usize, max_descriptors: usize) -> Limits {
        let by_memory = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = max_descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        Limits { connections: by_memory.min(by_descriptors).max(1) }
    }
}

/// What happened at a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A connection that waited for its client was closed in favour of another one.
    ConnectionClosed,
    /// A new connection was refused.
    ConnectionRefused,
}

impl Event {
    /// Its name in counters.
    pub fn counter(self) -> &'static str {
        match self {
            Event::ConnectionClosed => "admission.connection-closed",
            Event::ConnectionRefused => "admission.connection-refused",
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

struct Shared {
    limits: Limits,
    connections: Mutex<Connections>,
    /// Notified whenever a connection has ended.
    freed: Notify,
    on_event: EventHandler,
}

#[derive(Default)]
struct Connections {
    open: HashMap<u64, Client>,
    /// Number of the last connection.
    last: u64,
}

impl Connections {
    /// The connection that has waited longest for its client.
    fn longest_waiting(&self) -> Option<&Client> {
        let waiting =
            self.open.values().filter_map(|client| Some((client.waiting_since()?, client)));
        waiting.min_by_key(|(since, _)| *since).map(|(_, client)| client)
    }

    fn is_one_closing(&self) -> bool {
        self.open.values().any(|client| client.lock().is_closing)
    }
}

impl Control {
    /// Admits connections within `limits`.
    pub fn new(limits: Limits, on_event: EventHandler) -> Control {
        let connections = Mutex::default();
        Control { shared: Arc::new(Shared { limits, connections, freed: Notify::new(), on_event }) }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.shared
            .connections
            .lock()
            .expect("no thread panics while it holds the connections lock")
    }

    /// Accepts a connection; `None` if it was refused and closed.
    ///
    /// # Errors
    ///
    /// Errors of the system, for example for lack of descriptors.
    pub async fn accept(
        &self,
        listener: &TcpListener,
    ) -> io::Result<Option<(TcpStream, Connection)>> {
        let (stream, _) = listener.accept().await?;
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
    /// let control = Control::new(Limits { connections: 1 }, Arc::new(|_| {}));
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
            if !self.close_one() {
                (self.shared.on_event)(Event::ConnectionRefused);
                return None;
            }
            freed.await;
        }
    }

    fn try_admit(&self) -> Option<Connection> {
        let mut connections = self.connections();
        if connections.open.len() >= self.shared.limits.connections {
            return None;
        }
        connections.last += 1;
        let (number, client) = (connections.last, Client::default());
        connections.open.insert(number, client.clone());
        Some(Connection { control: self.clone(), number, client })
    }

    /// Has a connection closed, unless one is closing already. Returns whether one is.
    fn close_one(&self) -> bool {
        let connections = self.connections();
        if connections.is_one_closing() {
            return true;
        }
        let Some(client) = connections.longest_waiting() else { return false };
        client.close();
        (self.shared.on_event)(Event::ConnectionClosed);
        true
    }
}

/// An admitted connection. Another one may take its place once it is dropped.
pub struct Connection {
    control: Control,
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
        self.control.connections().open.remove(&self.number);
        self.control.shared.freed.notify_waiters();
    }
}

/// Whether a connection waits for its client. Clones share the state.
#[derive(Clone, Default)]
pub struct Client {
    state: Arc<Mutex<State>>,
    closing: Arc<Notify>,
}

#[derive(Clone, Copy, Default)]
struct State {
    waiting_since: Option<Instant>,
    is_closing: bool,
}

impl Client {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the client lock")
    }

    /// Since when the connection waits for its client; `None` if it does not, or is closing.
    fn waiting_since(&self) -> Option<Instant> {
        let state = self.lock();
        state.waiting_since.filter(|_| !state.is_closing)
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
