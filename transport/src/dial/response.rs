//! The body of a response, which returns its connection to the pool once it is read to the end.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Instant;

use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1::SendRequest;

use crate::clock;
use crate::dial::Body;
use crate::dial::BodyError;
use crate::dial::Dialer;

/// A connection in use, and the dialer to return it to once its response is read.
pub(super) struct ConnectionReturn {
    pub(super) dialer: Dialer,
    pub(super) addr: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    /// Whether the connection carried requests before this one.
    pub(super) is_reused: bool,
}

/// Body of a response. If it is dropped before its end, its connection is closed.
pub struct ResponseBody {
    incoming: Incoming,
    connection: Option<ConnectionReturn>,
    /// When a part of the response was last received.
    last_received_at: Instant,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming, connection: ConnectionReturn) -> ResponseBody {
        ResponseBody { incoming, connection: Some(connection), last_received_at: clock::now() }
    }

    /// Records that the rest of the response is not awaited or does not come.
    fn record_unanswered(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.dialer.record_unanswered(
                connection.addr,
                self.last_received_at,
                connection.is_reused,
            );
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let ConnectionReturn { dialer, addr, sender, .. } = connection;
            dialer.pool.put_idle(addr, sender, dialer.max_idle);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // A response without a body is never polled.
        if self.incoming.is_end_stream() {
            self.return_connection();
        }
        self.record_unanswered();
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => {
                self.last_received_at = clock::now();
                if self.incoming.is_end_stream() {
                    self.return_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.record_unanswered();
                Poll::Ready(Some(Err(BodyError::Cut(error))))
            }
            None => {
                self.return_connection();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
