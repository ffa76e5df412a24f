//! Snapshots of the fleet: encoding, splitting into records and verification by a hash.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::fleet::Fleet;
use crate::state::id::Offset;

/// Hash of a fleet's encoding.
pub type Digest = [u8; 32];

/// Maximum size of the part of a snapshot in one record, in bytes.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// Part of a snapshot of the state at the position [`Chunk::mark`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Position of the [`crate::state::record::Body::Mark`] record.
    pub mark: Offset,
    /// Hash of the whole encoding.
    pub digest: Digest,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// Why a snapshot cannot be loaded.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The encoding does not match its hash.
    #[error("the snapshot of offset {0} does not match its hash")]
    Digest(Offset),
    /// The encoding does not decode.
    #[error("the snapshot of offset {0} does not decode")]
    Decode(Offset, #[source] postcard::Error),
}

/// Encodes a fleet; equal fleets have equal encodings.
pub fn encode(fleet: &Fleet) -> Vec<u8> {
    postcard::to_stdvec(fleet).expect("a fleet holds only types that postcard can encode")
}

/// Hash of an encoded fleet; daemons compare their states by it.
pub fn digest(encoded: &[u8]) -> Digest {
    *blake3::hash(encoded).as_bytes()
}

/// Splits an encoded fleet into chunks.
///
/// ```
/// use spokelift_lib::state::fleet::Fleet;
/// use spokelift_lib::state::snapshot::{Assembly, encode, split};
/// let fleet = Fleet::default();
/// let mut assembly = Assembly::default();
/// let chunks = split(&encode(&fleet), 7);
/// let last = chunks.into_iter().map(|chunk| assembly.add(chunk)).last().unwrap();
/// assert_eq!(last.unwrap(), Some(fleet));
/// ```
pub fn split(encoded: &[u8], mark: Offset) -> Vec<Chunk> {
    let digest = digest(encoded);
    let parts = encoded.len().div_ceil(CHUNK_BYTES) as u32;
    let pieces = encoded.chunks(CHUNK_BYTES).enumerate();
    let chunk = |(part, bytes): (usize, &[u8])| {
        let bytes = bytes.to_vec();
        Chunk { mark, digest, part: part as u32, parts, bytes }
    };
    pieces.map(chunk).collect()
}

/// Assembles a snapshot from chunks, which may come in any order and repeatedly.
#[derive(Debug, Default)]
pub struct Assembly {
    mark: Offset,
    parts: BTreeMap<u32, Chunk>,
}

impl Assembly {
    /// Adds a chunk; returns the fleet once its snapshot is complete, otherwise `None`. Chunks of an
    /// older snapshot than the newest one received are ignored.
    ///
    /// # Errors
    ///
    /// If the complete snapshot does not match its hash or does not decode.
    pub fn add(&mut self, chunk: Chunk) -> Result<Option<Fleet>, SnapshotError> {
        if chunk.mark < self.mark {
            return Ok(None);
        }
        if chunk.mark > self.mark {
            self.parts.clear();
            self.mark = chunk.mark;
        }
        let parts = chunk.parts;
        let digest = chunk.digest;
        self.parts.insert(chunk.part, chunk);
        if self.parts.len() < parts as usize {
            return Ok(None);
        }
        let encoded = self.join_parts();
        decode(&encoded, self.mark, digest).map(Some)
    }

    fn join_parts(&mut self) -> Vec<u8> {
        let parts = std::mem::take(&mut self.parts);
        let bytes = parts.into_values().flat_map(|chunk| chunk.bytes);
        bytes.collect()
    }
}

/// Verifies the hash of an encoded fleet and decodes it.
pub fn decode(encoded: &[u8], mark: Offset, expected: Digest) -> Result<Fleet, SnapshotError> {
    if digest(encoded) != expected {
        return Err(SnapshotError::Digest(mark));
    }
    postcard::from_bytes(encoded).map_err(|source| SnapshotError::Decode(mark, source))
}
