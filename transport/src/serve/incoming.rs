//! Bodies of requests as they arrive.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;

use crate::serve::phase::Phase;

/// Why a body was not received whole.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// It is over its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// Its connection was lost, or it is malformed.
    #[error("the body was cut")]
    Cut(#[from] hyper::Error),
}

/// The body of a request. While a part of it is awaited, the connection waits for its client.
pub struct Incoming {
    body: hyper::body::Incoming,
    phase: Phase,
}

impl Incoming {
    pub(super) fn new(body: hyper::body::Incoming, phase: Phase) -> Incoming {
        Incoming { body, phase }
    }

    /// Receives the whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`]; no part of the body is kept.
    pub async fn receive(mut self, limit: usize) -> Result<Bytes, ReceiveError> {
        let mut bytes = Vec::new();
        while let Some(frame) = self.frame().await {
            let Ok(piece) = frame?.into_data() else { continue };
            if bytes.len() + piece.len() > limit {
                return Err(ReceiveError::TooLarge);
            }
            // The piece itself would keep the buffer that it was received in.
            bytes.extend_from_slice(&piece);
        }
        Ok(bytes.into())
    }
}

impl HttpBody for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match polled {
            Poll::Pending => self.phase.await_body(),
            Poll::Ready(_) => self.phase.start_response(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
