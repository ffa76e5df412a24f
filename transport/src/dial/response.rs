//! The answer to a request, which gives its connection back once it was read whole.

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

/// Where a connection goes back to when its answer was read whole.
pub(super) struct ConnectionReturn {
    pub(super) dialer: Dialer,
    pub(super) addr: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    /// The connection had carried requests before this one.
    pub(super) is_reused: bool,
}

/// Body of an answer. Dropped before its end, it closes its connection.
pub struct ResponseBody {
    incoming: Incoming,
    connection: Option<ConnectionReturn>,
    /// When something of it last came.
    last_received_at: Instant,
}

impl ResponseBody {
    pub(super) fn new(incoming: Incoming, home: ConnectionReturn) -> ResponseBody {
        ResponseBody { incoming, connection: Some(home), last_received_at: clock::now() }
    }

    /// The rest of the answer is not waited for, or does not come.
    fn record_unanswered(&mut self) {
        if let Some(home) = self.connection.take() {
            home.dialer.record_unanswered(home.addr, self.last_received_at, home.is_reused);
        }
    }

    fn return_connection(&mut self) {
        if let Some(home) = self.connection.take() {
            home.dialer.pool.put_idle(home.addr, home.sender);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // An answer without a body is never polled.
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
