//! Catching up from a peer over TCP: one request, one answer in pieces, each sealed.
//!
//! The server speaks first, with a nonce; the client's request names it and brings a nonce of its
//! own, which every piece of the answer names. So neither a request nor an answer can be replayed.
//! Pieces are `postcard`, length-delimited, followed by a keyed hash.

use postcard::from_bytes;
use postcard::to_stdvec;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::protocol::wire::PeerKey;
use crate::state::id::Offset;

/// Bytes of the seal behind a piece.
const SEAL_BYTES: usize = 32;
/// Largest piece, in bytes.
pub const MAX_PIECE_BYTES: usize = 4 * 1024 * 1024;

/// Random number that ties an answer to its request.
pub type Nonce = u128;

/// First piece, from the server.
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
    /// First offset wanted.
    pub from: Offset,
    /// Whether the whole state is wanted, however recent the client's.
    pub whole: bool,
}

/// A piece of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The client's nonce.
    pub client: Nonce,
    /// Counts the pieces from 0.
    pub index: u32,
    /// Whether it is the last one.
    pub last: bool,
    /// What it carries.
    #[serde(rename = "load")]
    pub payload: Payload,
}

/// What a piece carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Batches as they are on the log, in order.
    Batches(Vec<(Offset, Vec<u8>)>),
    /// Part of an encoded fleet.
    State(Vec<u8>),
}

/// Why a piece was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PieceError {
    /// The seal is not that of the site's key.
    #[error("the seal is wrong")]
    Seal,
    /// Sealed, but not what was expected.
    #[error("not the piece expected")]
    Decode,
}

/// Encodes and seals a piece.
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

/// Checks the seal and decodes a piece.
pub fn open<T: DeserializeOwned>(key: &PeerKey, bytes: &[u8]) -> Result<T, PieceError> {
    let split = bytes.len().checked_sub(SEAL_BYTES).ok_or(PieceError::Decode)?;
    let (body, seal) = bytes.split_at(split);
    let expected = blake3::keyed_hash(key, body);
    if !bool::from(expected.as_bytes()[..].ct_eq(seal)) {
        return Err(PieceError::Seal);
    }
    from_bytes(body).map_err(|_| PieceError::Decode)
}
