//! A buffer for bytes that arrive in pieces.

use thiserror::Error;

use crate::admission::Exhausted;
use crate::admission::Held;

/// Why a buffer does not take a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PushError {
    /// The bytes are more than its limit.
    #[error("the bytes are over the limit")]
    TooLarge,
    /// The process can hold no more of them.
    #[error(transparent)]
    Exhausted(#[from] Exhausted),
}

/// Bytes that arrive in pieces, in one allocation that counts as held.
pub struct Buffer {
    bytes: Vec<u8>,
    limit: usize,
    held: Held,
}

impl Buffer {
    /// An empty buffer for at most `limit` bytes, which are held beside those of `held`.
    pub fn new(limit: usize, held: Held) -> Buffer {
        Buffer { bytes: Vec::new(), limit, held }
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no byte yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Copies a piece to the end. The piece itself would keep the buffer that it was received in.
    ///
    /// # Errors
    ///
    /// [`PushError`]; the piece was not added then.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
    /// use std::sync::Arc;
    /// use spokelift_transport::admission::Buffer;
    /// use spokelift_transport::admission::Control;
    /// use spokelift_transport::admission::Limits;
    /// use spokelift_transport::admission::PushError;
    /// let control = Control::new(Limits { connections: 1, bytes: 100 }, Arc::new(|_| {}));
    /// let connection = control.admit().await.unwrap();
    /// let mut buffer = Buffer::new(3, connection.client().hold());
    /// assert_eq!(buffer.push(b"ab").await, Ok(()));
    /// assert_eq!(buffer.push(b"cd").await, Err(PushError::TooLarge));
    /// assert_eq!(buffer.into_parts().0, b"ab");
    /// # });
    /// ```
    pub async fn push(&mut self, piece: &[u8]) -> Result<(), PushError> {
        let length = self.bytes.len() + piece.len();
        if length > self.limit {
            return Err(PushError::TooLarge);
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let larger = length.max(2 * capacity).min(self.limit);
            self.held.grow(larger - capacity).await?;
            self.bytes.reserve_exact(larger - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// The bytes, and what is held for them alone.
    pub fn into_parts(mut self) -> (Vec<u8>, Held) {
        self.held.shrink_to(self.bytes.capacity());
        (self.bytes, self.held)
    }
}
