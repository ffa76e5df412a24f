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

use crate::admission::Buffer;
use crate::admission::Exhausted;
use crate::admission::Held;
use crate::admission::PushError;
use crate::serve::MAX_BUFFER_BYTES;
use crate::serve::phase::Phase;

/// What the connection may have buffered of a body beside what was received, in bytes: a piece that
/// is being copied, the next one, and the one that is arriving.
const BUFFERED_BYTES: usize = 3 * MAX_BUFFER_BYTES;

/// Why a body was not received whole.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// It is over its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The process can hold no more of it.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// Its connection was lost, or it is malformed.
    #[error("the body was cut")]
    Cut(#[from] hyper::Error),
}

impl From<PushError> for ReceiveError {
    fn from(error: PushError) -> ReceiveError {
        match error {
            PushError::TooLarge => ReceiveError::TooLarge,
            PushError::Exhausted(error) => ReceiveError::Exhausted(error),
        }
    }
}

/// The body of a request. While a part of it is awaited, the connection waits for its client.
pub struct Incoming {
    body: hyper::body::Incoming,
    phase: Phase,
}

/// A body that was received whole. Its bytes count as held until it is dropped.
pub struct Received {
    /// The bytes.
    pub bytes: Bytes,
    held: Held,
}

impl Received {
    /// Counts as held in addition what was decoded from the bytes.
    ///
    /// # Errors
    ///
    /// [`ReceiveError::Exhausted`] if there is no room for it.
    pub fn hold_decoded(&mut self, bytes: usize) -> Result<(), ReceiveError> {
        Ok(self.held.try_grow(bytes)?)
    }
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
    pub async fn receive(mut self, limit: usize) -> Result<Received, ReceiveError> {
        let upper = self.body.size_hint().upper().and_then(|upper| usize::try_from(upper).ok());
        let mut held = self.phase.client().hold();
        held.grow(upper.map_or(BUFFERED_BYTES, |upper| upper.min(BUFFERED_BYTES))).await?;
        let mut buffer = Buffer::new(limit, held);
        while let Some(frame) = self.frame().await {
            if let Ok(piece) = frame?.into_data() {
                buffer.push(&piece).await?;
            }
        }
        let (bytes, held) = buffer.into_parts();
        Ok(Received { bytes: bytes.into(), held })
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
