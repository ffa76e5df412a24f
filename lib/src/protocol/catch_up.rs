//! Catching up from a peer over TCP: one request, and a response in pieces. All messages are
//! authenticated.
//!
//! The server first sends a nonce, which the client's request repeats together with a nonce of its
//! own, which every piece of the response repeats. So neither requests nor responses can be replayed.
//! Messages are length-delimited, encoded by `postcard` and followed by a keyed hash.

use postcard::from_bytes;
use postcard::to_stdvec;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::protocol::wire::PeerKey;
use crate::state::id::Offset;

/// Length of the keyed hash after a message, in bytes.
const SEAL_BYTES: usize = 32;
/// Maximum size of a message, in bytes.
pub const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;

/// Random number that ties a response to its request.
pub type Nonce = u128;

/// The first message, from the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// The server's nonce.
    pub server: Nonce,
}

/// The request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The server's nonce.
    pub server: Nonce,
    /// The client's nonce.
    pub client: Nonce,
    /// The first offset that the client needs.
    pub from: Offset,
    /// Whether the client needs the whole state, even if the server has the batches from that offset.
    pub whole: bool,
}

/// A piece of the response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The client's nonce.
    pub client: Nonce,
    /// Index of the piece, from 0.
    pub index: u32,
    /// Whether it is the last one.
    pub last: bool,
    /// The payload.
    #[serde(rename = "load")]
    pub payload: Payload,
}

/// The payload of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Encoded batches of the log, in order of their offsets.
    Batches(Vec<(Offset, Vec<u8>)>),
    /// Part of an encoded fleet.
    State(Vec<u8>),
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PieceError {
    /// The keyed hash does not match.
    #[error("the keyed hash does not match")]
    Seal,
    /// The message is authentic, but not the expected one.
    #[error("unexpected message")]
    Decode,
}

/// Encodes a message and appends its keyed hash.
///
/// ```
/// use spokelift_lib::protocol::catch_up::{Greeting, PieceError, open, seal};
/// use spokelift_lib::protocol::wire::derive_key;
/// let bytes = seal(&derive_key("shared"), &Greeting { server: 7 });
/// assert_eq!(open(&derive_key("shared"), &bytes), Ok(Greeting { server: 7 }));
/// assert_eq!(open::<Greeting>(&derive_key("other"), &bytes), Err(PieceError::Seal));
/// ```
pub fn seal<T: Serialize>(key: &PeerKey, piece: &T) -> Vec<u8> {
    let mut bytes = to_stdvec(piece).expect("pieces hold only types that postcard can encode");
    let seal = blake3::keyed_hash(key, &bytes);
    bytes.extend_from_slice(seal.as_bytes());
    bytes
}

/// Verifies the keyed hash of a message and decodes it.
pub fn open<T: DeserializeOwned>(key: &PeerKey, bytes: &[u8]) -> Result<T, PieceError> {
    let split = bytes.len().checked_sub(SEAL_BYTES).ok_or(PieceError::Decode)?;
    let (body, seal) = bytes.split_at(split);
    let expected = blake3::keyed_hash(key, body);
    if !bool::from(expected.as_bytes()[..].ct_eq(seal)) {
        return Err(PieceError::Seal);
    }
    from_bytes(body).map_err(|_| PieceError::Decode)
}
