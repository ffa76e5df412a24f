//! Outgoing HTTP connections, with errors that tell whether a request may have been received.
//!
//! Connections are pooled by address and used for one request at a time. hyper's bare connection is
//! used rather than a pooling client, since such a client retries some requests by itself. A
//! connection returns to the pool only when its response was read to the end, so the rest of an
//! abandoned response is never taken for the next one.

mod exchange;
mod pool;
mod response;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::clock;
pub use crate::dial::exchange::ExchangeError;
pub use crate::dial::exchange::HedgedResponse;
pub use crate::dial::exchange::Limits;
pub use crate::dial::exchange::collect_body;
use crate::dial::pool::ConnectionPool;
use crate::dial::response::ConnectionReturn;
pub use crate::dial::response::ResponseBody;
use crate::socket;

/// Time without a response after which a connection counts as possibly dead, if its request is then
/// abandoned or the connection ends; also the minimum delay before a second copy is sent. Services
/// respond within 5 ms under normal load, and a process short of CPU is usually late by less than
/// this: with 0.2 s a leader short of CPU sent 848 second copies under high load with 350 boxes. A
/// request abandoned sooner was abandoned for another reason.
const UNANSWERED_AFTER: Duration = Duration::from_millis(300);
/// Maximum time since its last response for a connection to be reused by [`Dialer::send`], whose
/// requests cannot be sent twice: a small part of the time that callers wait, and long enough for
/// consecutive requests to share a connection.
const SEND_MAX_IDLE: Duration = Duration::from_secs(1);
/// Maximum time since its last response for a connection to be reused by exchanges. Our own server
/// closes a connection that is idle for 120 s; others may sooner.
const EXCHANGE_MAX_IDLE: Duration = Duration::from_secs(8);
/// Maximum number of concurrent connection attempts to one address. Concurrent calls need a few; to
/// an address that does not respond, this many attempts are made in each `connect_timeout`.
const MAX_CONNECTING: usize = 8;
/// Maximum number of idle connections to one address, unless the caller sets another.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// How long an idle connection may take to become ready before a new one is opened.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Body of an outgoing request, or of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body was not passed on in full.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection that the body came from was lost.
    #[error("the body was cut")]
    Cut(#[source] hyper::Error),
    /// The body is over its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The body did not end in time.
    #[error("the body did not end in time")]
    Timeout,
}

/// Creates a body with the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Why a request has no response, and whether it may have been received.
pub enum SendError {
    /// No byte of the request was sent; it is returned, so that it can be sent elsewhere.
    NotSent(Box<Request<Body>>, NotSent),
    /// The request may have been received.
    Cut(hyper::Error),
    /// The request may have been received. It was the first one on its connection: the server may
    /// accept no more connections.
    Rejected(hyper::Error),
}

/// Why a request was not sent.
#[derive(Debug, Error)]
pub enum NotSent {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// No connection could be opened in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection ended before the request was written to it.
    #[error("the connection ended first: {0}")]
    Closed(#[from] hyper::Error),
}

/// What happened on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new connection was opened.
    Opened,
    /// No connection could be opened.
    Unreachable,
    /// A new connection ended before the first response on it: the server may accept no more
    /// connections.
    Rejected,
    /// A request got no response for at least 300 ms, and then was abandoned or its connection
    /// ended.
    Unanswered {
        /// Whether the connection carried requests before this one.
        is_reused: bool,
        /// Number of idle connections to the address that were closed because of it.
        closed_idle: usize,
    },
}

/// Called with each [`Event`] of a connection to an address.
pub type EventHandler = Arc<dyn Fn(SocketAddr, Event) + Send + Sync>;

/// Called with the path of an exchange, and the bytes of the bodies that were sent and received.
pub type ExchangeHandler = Arc<dyn Fn(&str, usize, usize) + Send + Sync>;

impl fmt::Debug for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(_, cause) => f.debug_tuple("NotSent").field(cause).finish(),
            SendError::Cut(cause) => f.debug_tuple("Cut").field(cause).finish(),
            SendError::Rejected(cause) => f.debug_tuple("Rejected").field(cause).finish(),
        }
    }
}

/// Opens and pools connections. Clones share the pool.
#[derive(Clone)]
pub struct Dialer {
    pool: Arc<ConnectionPool>,
    connect_timeout: Duration,
    /// Maximum number of idle connections to one address.
    max_idle: usize,
    on_event: Option<EventHandler>,
    on_exchange: Option<ExchangeHandler>,
}

impl Dialer {
    /// Creates a dialer that waits up to `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Dialer {
        let (pool, max_idle) = (Arc::default(), MAX_IDLE_CONNECTIONS);
        Dialer { pool, connect_timeout, max_idle, on_event: None, on_exchange: None }
    }

    /// Returns a dialer that shares the connections of this one, and keeps at most `max_idle` idle
    /// connections to each address that it calls.
    pub fn with_max_idle(self, max_idle: usize) -> Dialer {
        Dialer { max_idle, ..self }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.pool.close_idle(addr);
    }

    /// Returns the same dialer, which calls `handler` with each event of its connections.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use std::time::Duration;
    /// # use spokelift_transport::dial::Dialer;
    /// let dialer = Dialer::new(Duration::from_millis(400));
    /// let handler = Arc::new(|addr, event| println!("{addr}: {event:?}"));
    /// let dialer = dialer.with_event_handler(handler);
    /// ```
    pub fn with_event_handler(self, handler: EventHandler) -> Dialer {
        Dialer { on_event: Some(handler), ..self }
    }

    /// Returns the same dialer, which calls `handler` with each exchange that is recorded.
    pub fn with_exchange_handler(self, handler: ExchangeHandler) -> Dialer {
        Dialer { on_exchange: Some(handler), ..self }
    }

    /// Records an exchange, with the bytes of the bodies that were sent and received.
    pub fn record_exchange(&self, path: &str, sent: usize, received: usize) {
        if let Some(handler) = &self.on_exchange {
            handler(path, sent, received);
        }
    }

    fn emit(&self, addr: SocketAddr, event: Event) {
        if let Some(handler) = &self.on_event {
            handler(addr, event);
        }
    }

    /// Sends a request and returns the head of its response; the body is read from
    /// [`ResponseBody`].
    ///
    /// For requests that must not be sent twice: a connection is reused only if it had a response
    /// within the last second. If an older one is dead, nobody could tell whether the request was
    /// received; a new connection costs one round trip.
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether the request may have been received.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.send_within(addr, request, SEND_MAX_IDLE).await
    }

    /// Sends a request on a connection that had a response within `within`, or on a new one.
    async fn send_within(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        within: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        // An idle connection may have been closed by the other side; hyper returns the request if
        // it was not written, and the next connection is tried.
        while let Some(sender) = self.take_idle(addr, within).await {
            match self.send_on(addr, sender, request, true).await {
                Err(SendError::NotSent(unsent, _)) => request = *unsent,
                result => return result,
            }
        }
        self.send_on_new(addr, request).await
    }

    /// Sends a request on a new connection.
    async fn send_on_new(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        match self.connect(addr).await {
            Ok(sender) => {
                self.emit(addr, Event::Opened);
                self.send_on(addr, sender, request, false).await
            }
            Err(cause) => {
                self.emit(addr, Event::Unreachable);
                Err(SendError::NotSent(Box::new(request), cause))
            }
        }
    }

    async fn send_on(
        &self,
        addr: SocketAddr,
        mut sender: SendRequest<Body>,
        request: Request<Body>,
        is_reused: bool,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut pending = PendingRequest {
            dialer: self,
            addr,
            is_reused,
            sent_at: clock::now(),
            is_finished: false,
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                pending.is_finished = true;
                let dialer = self.clone();
                let connection = ConnectionReturn { dialer, addr, sender, is_reused };
                Ok(response.map(|incoming| ResponseBody::new(incoming, connection)))
            }
            Err(mut error) => {
                if !is_reused {
                    self.emit(addr, Event::Rejected);
                }
                Err(match error.take_message() {
                    Some(unsent) => {
                        pending.is_finished = true;
                        let cause = NotSent::Closed(error.into_error());
                        SendError::NotSent(Box::new(unsent), cause)
                    }
                    None if is_reused => SendError::Cut(error.into_error()),
                    None => SendError::Rejected(error.into_error()),
                })
            }
        }
    }

    async fn take_idle(&self, addr: SocketAddr, within: Duration) -> Option<SendRequest<Body>> {
        loop {
            let mut sender = self.pool.take_idle(addr, within)?;
            if sender.is_closed() {
                continue;
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, sender.ready()).await {
                return Some(sender);
            }
        }
    }

    /// Handles a request that was abandoned, or whose connection ended, with nothing received on
    /// the connection after `since`. If at least [`UNANSWERED_AFTER`] has passed, closes the idle
    /// connections to the address that have had no response after `since` either, and emits
    /// [`Event::Unanswered`].
    fn record_unanswered(&self, addr: SocketAddr, since: Instant, is_reused: bool) {
        if clock::since(since) >= UNANSWERED_AFTER {
            let closed_idle = self.pool.close_unanswered_since(addr, since);
            self.emit(addr, Event::Unanswered { is_reused, closed_idle });
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<Body>, NotSent> {
        let permits = self.pool.connect_permits(addr);
        let connect = async {
            let _permit = permits.acquire().await.expect("the semaphore is never closed");
            TcpStream::connect(addr).await
        };
        let connect = timeout(self.connect_timeout, connect);
        let stream = connect.await.map_err(|_| NotSent::ConnectTimeout)??;
        socket::set_options(&stream)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The error is also returned to the task that waits for the response.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// A request without a response so far. If it is dropped before there is one, its connection may be
/// dead.
struct PendingRequest<'a> {
    dialer: &'a Dialer,
    addr: SocketAddr,
    is_reused: bool,
    sent_at: Instant,
    is_finished: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.dialer.record_unanswered(self.addr, self.sent_at, self.is_reused);
        }
    }
}
