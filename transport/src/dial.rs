//! Outgoing HTTP connections that say truthfully whether a request may have been received.
//!
//! Connections are kept by address and used for one request at a time. hyper's bare connection
//! is used rather than a pooling client, since such a client sends some requests again by itself.
//! A connection goes back to the pool only when its answer was read whole, so an abandoned answer
//! can never be taken for the next request's.

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

/// How long a request must have gone without an answer when it is given up, or its connection ends,
/// to say anything about the connection: many times the 5 ms that any of our services takes in calm,
/// and longer than a process short of processor is usually late. With 0.2 s such a holder of the lead
/// sent 848 calls again on a day of high load at 350 boxes. Whoever gives up sooner had another reason.
const UNANSWERED_AFTER: Duration = Duration::from_millis(300);
/// How long ago a connection may have answered to be used for a request that cannot be sent twice: a
/// small part of the time that callers wait, and long enough for requests in a row to share one.
const SEND_MAX_IDLE: Duration = Duration::from_secs(1);
/// How long ago a connection may have answered to be used for other requests. Our own server closes
/// one that is idle for 120 s; others may sooner.
const EXCHANGE_MAX_IDLE: Duration = Duration::from_secs(8);
/// Connections to one address that may be in the making at a time. A site's calls side by side need a
/// few; where an address does not answer, so many packets each `connect_timeout` ask whether it does.
const MAX_CONNECTING: usize = 8;
/// How long an idle connection may take to become ready before a new one is made.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Body of an outgoing request or of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body was not passed on whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection the body came from was cut.
    #[error("the body was cut")]
    Cut(#[source] hyper::Error),
    /// The body is over its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The body did not end in time.
    #[error("the body did not end in time")]
    Timeout,
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Why a request has no answer, in the order of what is known of it.
pub enum SendError {
    /// Not one byte of the request has left; it comes back to be sent elsewhere.
    NotSent(Box<Request<Body>>, NotSent),
    /// The request may have been received.
    Cut(hyper::Error),
}

/// Why a request was not sent.
#[derive(Debug, Error)]
pub enum NotSent {
    /// No connection could be made.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// No connection could be made in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection ended before the request was written to it.
    #[error("the connection ended first: {0}")]
    Closed(#[from] hyper::Error),
}

/// What happened to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new connection was made.
    Opened,
    /// No connection could be made.
    Unreachable,
    /// A request had no answer for a quarter of a second or longer, then it was given up or its
    /// connection ended.
    Unanswered {
        /// The connection had carried requests before.
        is_reused: bool,
        /// So many idle connections to the address were given up for it.
        closed_idle: usize,
    },
}

/// Is told of each [`Event`] of a connection to an address.
pub type EventHandler = Arc<dyn Fn(SocketAddr, Event) + Send + Sync>;

impl fmt::Debug for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(_, cause) => f.debug_tuple("NotSent").field(cause).finish(),
            SendError::Cut(cause) => f.debug_tuple("Cut").field(cause).finish(),
        }
    }
}

/// Makes and keeps connections. Clones share them.
#[derive(Clone)]
pub struct Dialer {
    pool: Arc<ConnectionPool>,
    connect_timeout: Duration,
    on_event: Option<EventHandler>,
}

impl Dialer {
    /// A dialer that waits up to `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Dialer {
        Dialer { pool: Arc::default(), connect_timeout, on_event: None }
    }

    /// The same dialer, which tells `watch` what happens to its connections.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use std::time::Duration;
    /// # use spokelift_transport::dial::Dialer;
    /// let dialer = Dialer::new(Duration::from_millis(400));
    /// let dialer = dialer.with_event_handler(Arc::new(|addr, event| println!("{addr}: {event:?}")));
    /// ```
    pub fn with_event_handler(self, watch: EventHandler) -> Dialer {
        Dialer { on_event: Some(watch), ..self }
    }

    fn emit(&self, addr: SocketAddr, event: Event) {
        if let Some(watch) = &self.on_event {
            watch(addr, event);
        }
    }

    /// Sends a request and returns the head of its answer; the body is read from [`ResponseBody`].
    ///
    /// For requests that may do harm if they are sent twice: only a connection that answered within the
    /// last second is used again. Of one that has gone silent since, nobody could say whether the
    /// request was received; a new connection costs one round trip.
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

    /// The same on a connection that answered within that time, or a new one.
    async fn send_within(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        within: Duration,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        // An idle connection may have been closed by the other side; hyper gives the request
        // back if it was not written, and the next connection is tried.
        while let Some(sender) = self.take_idle(addr, within).await {
            match self.send_on(addr, sender, request, true).await {
                Err(SendError::NotSent(unsent, _)) => request = *unsent,
                done => return done,
            }
        }
        self.send_on_new(addr, request).await
    }

    /// The same on a connection that has carried no request yet.
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
        kept: bool,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut pending = PendingRequest {
            dialer: self,
            addr,
            is_reused: kept,
            sent_at: clock::now(),
            is_finished: false,
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                pending.is_finished = true;
                let dialer = self.clone();
                let home = ConnectionReturn { dialer, addr, sender, is_reused: kept };
                Ok(response.map(|incoming| ResponseBody::new(incoming, home)))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(unsent) => {
                    pending.is_finished = true;
                    let cause = NotSent::Closed(error.into_error());
                    SendError::NotSent(Box::new(unsent), cause)
                }
                None => SendError::Cut(error.into_error()),
            }),
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

    /// Takes in that a request was given up, or its connection ended, while nothing had come on that
    /// connection since `since`.
    fn record_unanswered(&self, addr: SocketAddr, since: Instant, kept: bool) {
        if clock::since(since) >= UNANSWERED_AFTER {
            let given_up = self.pool.close_unanswered_since(addr, since);
            self.emit(addr, Event::Unanswered { is_reused: kept, closed_idle: given_up });
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<SendRequest<Body>, NotSent> {
        let connecting = self.pool.connect_permits(addr);
        let connect = async {
            let _permit = connecting.acquire().await.expect("the semaphore is never closed");
            TcpStream::connect(addr).await
        };
        let connect = timeout(self.connect_timeout, connect);
        let stream = connect.await.map_err(|_| NotSent::ConnectTimeout)??;
        socket::set_options(&stream)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The error also reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// A request without an answer so far. Dropped before there is one, its connection may
/// be silent.
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
