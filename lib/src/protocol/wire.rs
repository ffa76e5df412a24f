//! Datagrams between daemons: `postcard`, sealed by a keyed hash, refused when replayed.

use postcard::from_bytes;
use postcard::to_stdvec;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::state::id::DaemonId;
use crate::state::id::Incarnation;
use crate::state::id::Offset;

/// Key that the daemons of a site share.
pub type PeerKey = [u8; 32];

/// Bytes of the seal behind a frame.
const SEAL_BYTES: usize = 16;
/// Largest datagram, below the usual path limit.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Most boxes named as busy in one beat; with more, the beat says that all may be.
pub const MAX_BUSY_BOXES: usize = 256;

/// Derives the peers' key from a secret of any length.
pub fn derive_key(secret: &str) -> PeerKey {
    blake3::derive_key("spokelift 2026 peer key", secret.as_bytes())
}

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: DaemonId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Counts this life's datagrams to this receiver from 1; a lower or equal one is a replay.
    pub sequence: u64,
    /// The receiver's life as the sender knows it, 0 if it does not: a datagram recorded before
    /// the receiver restarted does not name its new life.
    #[serde(rename = "to")]
    pub receiver_incarnation: Incarnation,
    /// The last datagram of the receiver that the sender had, if any: this one was sent after it.
    pub echo: Option<Echo>,
    /// The heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: Heartbeat,
}

/// Names a datagram that was received, so that its sender can tell the age of the answer by its
/// own clock alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Its sequence.
    pub sequence: u64,
    /// Time from its receipt to the answer, in milliseconds.
    pub held_ms: u32,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Offset of the first batch the sender has not applied.
    pub next: Offset,
    /// Age of the sender's last read at the log's end, in milliseconds, if it has one.
    pub log_age_ms: Option<u32>,
    /// Position and hash of the sender's state at the last snapshot mark.
    pub mark: Option<StateHash>,
    /// Whether the sender has, in this life, had all that was in force.
    pub complete: bool,
    /// Whether the sender serves callers.
    pub serving: bool,
    /// Requests in flight to targets.
    pub inflight: u32,
    /// Short hashes of the boxes that are out of service and still have requests of the sender.
    pub busy: Vec<u32>,
}

/// The hash of a state, by which daemons find that they differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHash {
    /// Position of the snapshot mark.
    pub position: Offset,
    /// First bytes of the state's hash right after it.
    pub head: u64,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// Too short or too long to be a frame.
    #[error("not the size of a frame")]
    Size,
    /// The seal is not that of the site's key.
    #[error("the seal is wrong")]
    Seal,
    /// Sealed, but not a frame of this version.
    #[error("not a frame")]
    Decode,
    /// Seen before, or older than one seen.
    #[error("replayed")]
    Replay,
    /// The sender is not one of the configured peers.
    #[error("not a peer")]
    UnknownPeer,
}

impl WireError {
    /// Name of the counter.
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
    /// Encodes and seals the frame.
    ///
    /// ```
    /// use spokelift_lib::protocol::wire::{Heartbeat, Frame, WireError, derive_key};
    /// let key = derive_key("shared");
    /// let beat = Heartbeat::default();
    /// let frame = Frame { from: 1, incarnation: 5, sequence: 1, receiver_incarnation: 0, echo: None, heartbeat: beat };
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

    /// Checks the seal and decodes the frame.
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
