//! Datagrams between daemons: encoded by `postcard`, authenticated by a keyed hash, protected against
//! replay.

use postcard::from_bytes;
use postcard::to_stdvec;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::state::id::DaemonId;
use crate::state::id::Incarnation;
use crate::state::id::Offset;

/// Key that is shared by the daemons of a site.
pub type PeerKey = [u8; 32];

/// Length of the keyed hash after a frame, in bytes.
const SEAL_BYTES: usize = 16;
/// Maximum size of a datagram, below the usual path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum number of busy boxes named in one heartbeat; the others are named once these are idle.
pub const MAX_BUSY_BOXES: usize = 256;

/// Derives the peers' key from a secret of any length.
pub fn derive_key(secret: &str) -> PeerKey {
    blake3::derive_key("spokelift 2026 peer key", secret.as_bytes())
}

/// The contents of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: DaemonId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the datagrams of this incarnation to this receiver, from 1. One that is not
    /// greater than the last is a replay.
    pub sequence: u64,
    /// The receiver's incarnation, 0 if the sender does not know it. So a datagram that was recorded
    /// before the receiver restarted cannot be replayed to its new incarnation.
    #[serde(rename = "to")]
    pub receiver_incarnation: Incarnation,
    /// The last datagram that the sender received from the receiver, if any.
    pub echo: Option<Echo>,
    /// The heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
}

/// Identifies a received datagram, so that its sender can compute the age of the reply by its own
/// clock alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Its sequence number.
    pub sequence: u64,
    /// Time between its receipt and the reply, in milliseconds.
    pub held_ms: u32,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Offset of the first batch the sender has not applied.
    pub next: Offset,
    /// Age of the sender's last read that reached the end of the log, in milliseconds; `None` without
    /// one.
    pub log_age_ms: Option<u32>,
    /// Position and hash of the sender's state at the last snapshot mark.
    pub mark: Option<StateHash>,
    /// Whether the sender has had the complete state at some time in this incarnation.
    pub complete: bool,
    /// Whether the sender serves callers.
    pub serving: bool,
    /// Number of requests in flight to targets.
    pub inflight: u32,
    /// Short hashes of the boxes that are out of service but still run requests of the sender.
    pub busy: Vec<u32>,
}

/// The hash of a state, by which daemons detect that their states differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHash {
    /// Position of the snapshot mark.
    pub position: Offset,
    /// First 8 bytes of the hash of the state at the mark, little-endian.
    pub head: u64,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The datagram is too short or too long.
    #[error("the size of the datagram is out of range")]
    Size,
    /// The keyed hash does not match.
    #[error("the keyed hash does not match")]
    Seal,
    /// The datagram is authentic, but not a frame of this version.
    #[error("the datagram does not decode as a frame")]
    Decode,
    /// The sequence number is not greater than the last, or the incarnation is an earlier one.
    #[error("replayed")]
    Replay,
    /// The sender is not one of the configured peers.
    #[error("the sender is not a configured peer")]
    UnknownPeer,
}

impl WireError {
    /// Name of the counter of such datagrams.
    pub fn counter(self) -> &'static str {
        match self {
            WireError::Size => "peer.dropped.size",
            WireError::Seal => "peer.dropped.seal",
            WireError::Decode => "peer.dropped.decode",
            WireError::Replay => "peer.dropped.replay",
            WireError::UnknownPeer => "peer.dropped.stranger",
        }
    }
}

impl Frame {
    /// Encodes the frame and appends its keyed hash.
    ///
    /// ```
    /// use spokelift_lib::protocol::wire::{Heartbeat, Frame, WireError, derive_key};
    /// let key = derive_key("shared");
    /// let frame = Frame {
    ///     from: 1,
    ///     incarnation: 5,
    ///     sequence: 1,
    ///     receiver_incarnation: 0,
    ///     echo: None,
    ///     heartbeat: Heartbeat::default(),
    /// };
    /// let bytes = frame.seal(&key);
    /// assert_eq!(Frame::open(&key, &bytes).unwrap(), frame);
    /// assert_eq!(Frame::open(&derive_key("other"), &bytes), Err(WireError::Seal));
    /// ```
    pub fn seal(&self, key: &PeerKey) -> Vec<u8> {
        let mut bytes = to_stdvec(self).expect("a frame holds only types that postcard can encode");
        let seal = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(&seal.as_bytes()[..SEAL_BYTES]);
        bytes
    }

    /// Verifies the keyed hash and decodes the frame.
    pub fn open(key: &PeerKey, bytes: &[u8]) -> Result<Frame, WireError> {
        if bytes.len() <= SEAL_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::Size);
        }
        let (body, seal) = bytes.split_at(bytes.len() - SEAL_BYTES);
        let expected = blake3::keyed_hash(key, body);
        if !bool::from(expected.as_bytes()[..SEAL_BYTES].ct_eq(seal)) {
            return Err(WireError::Seal);
        }
        from_bytes(body).map_err(|_| WireError::Decode)
    }
}
