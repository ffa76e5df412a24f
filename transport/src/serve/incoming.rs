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

use crate::admission::Exhausted;
use crate::admission::Held;
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

/// The body of a request. While a part of it is awaited, the connection waits for its client.
pub struct Incoming {
    body: hyper::body::Incoming,
    phase: Phase,
    held: Held,
}

/// A body that was received whole. Its bytes count as held until it is dropped.
pub struct Received {
    /// The bytes.
    pub bytes: Bytes,
    _held: Held,
}

impl Incoming {
    pub(super) fn new(body: hyper::body::Incoming, phase: Phase, held: Held) -> Incoming {
        Incoming { body, phase, held }
    }

    /// Receives the whole body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// [`ReceiveError`]; no part of the body is kept.
    pub async fn receive(mut self, limit: usize) -> Result<Received, ReceiveError> {
        let buffered = self.body.size_hint().upper().map_or(BUFFERED_BYTES, |upper| {
            usize::try_from(upper).unwrap_or(usize::MAX).min(BUFFERED_BYTES)
        });
        self.held.grow(buffered).await?;
        let mut bytes = Vec::new();
        while let Some(frame) = self.frame().await {
            let Ok(piece) = frame?.into_data() else { continue };
            let length = bytes.len() + piece.len();
            if length > limit {
                return Err(ReceiveError::TooLarge);
            }
            let capacity = bytes.capacity();
            if length > capacity {
                let larger = length.max(2 * capacity).min(limit);
                self.held.grow(larger - capacity).await?;
                bytes.reserve_exact(larger - bytes.len());
            }
            // The piece itself would keep the buffer that it was received in.
            bytes.extend_from_slice(&piece);
        }
        self.held.shrink_to(bytes.capacity());
        Ok(Received { bytes: bytes.into(), _held: self.held })
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
