//! Bodies of responses, held until they are written.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use thiserror::Error;

use crate::admission::Exhausted;
use crate::admission::Held;
use crate::dial::Body;
use crate::dial::BodyError;
use crate::serve::MAX_BUFFER_BYTES;
use crate::serve::phase::Phase;

/// Why a response was not sent whole. Its connection is closed.
#[derive(Debug, Error)]
pub(super) enum SendError {
    /// The process can hold no more of it.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
    /// There is no more of it.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// The body of a response. A client that does not read makes the process hold what the body has
/// passed on: a small piece is part of what any connection takes, larger ones count as held.
pub(super) struct Outgoing {
    body: Body,
    phase: Phase,
}

/// A piece of a body. What is held for it is free once it is written, and dropped.
pub(super) struct Piece {
    bytes: Bytes,
    _held: Option<Held>,
}

impl Outgoing {
    pub(super) fn new(body: Body, phase: Phase) -> Outgoing {
        Outgoing { body, phase }
    }

    fn hold(&self, bytes: Bytes) -> Result<Piece, Exhausted> {
        if bytes.len() <= MAX_BUFFER_BYTES {
            return Ok(Piece { bytes, _held: None });
        }
        let mut held = self.phase.client().hold();
        // Waiting for room would hold the bytes as well.
        held.try_grow(bytes.len())?;
        Ok(Piece { bytes, _held: Some(held) })
    }
}

impl HttpBody for Outgoing {
    type Data = Piece;
    type Error = SendError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Piece>, SendError>>> {
        let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(cx)) else {
            return Poll::Ready(None);
        };
        let piece = match frame?.into_data() {
            Ok(bytes) => Frame::data(self.hold(bytes)?),
            Err(frame) => frame.map_data(|bytes| Piece { bytes, _held: None }),
        };
        Poll::Ready(Some(Ok(piece)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.phase.finish_response();
    }
}

impl Buf for Piece {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
