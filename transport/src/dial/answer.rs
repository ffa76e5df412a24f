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
pub(super) struct Home {
    pub(super) dialer: Dialer,
    pub(super) addr: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    /// The connection had carried requests before this one.
    pub(super) kept: bool,
}

/// Body of an answer. Dropped before its end, it closes its connection.
pub struct Answer {
    incoming: Incoming,
    home: Option<Home>,
    /// When something of it last came.
    heard_at: Instant,
}

impl Answer {
    pub(super) fn new(incoming: Incoming, home: Home) -> Answer {
        Answer { incoming, home: Some(home), heard_at: clock::now() }
    }

    /// The rest of the answer is not waited for, or does not come.
    fn note_unanswered(&mut self) {
        if let Some(home) = self.home.take() {
            home.dialer.note_unanswered(home.addr, self.heard_at, home.kept);
        }
    }

    fn settle(&mut self) {
        if let Some(home) = self.home.take() {
            home.dialer.idle.put(home.addr, home.sender);
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        // An answer without a body is never polled.
        if self.incoming.is_end_stream() {
            self.settle();
        }
        self.note_unanswered();
    }
}

impl HttpBody for Answer {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match frame {
            Some(Ok(frame)) => {
                self.heard_at = clock::now();
                if self.incoming.is_end_stream() {
                    self.settle();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.note_unanswered();
                Poll::Ready(Some(Err(BodyError::Cut(error))))
            }
            None => {
                self.settle();
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
