//! Payloads: a version of the configuration as compressed bytes, in full or as what changed since an
//! earlier version.
//!
//! All of it works on the encoded configuration as bytes, cut into chunks at positions that depend
//! on the content only. A sender keeps no more of an earlier version than the hashes of its chunks,
//! and a new field of the configuration changes nothing here. Nodes of one build encode a version to
//! the same bytes, so a payload may be put together from the parts of several senders.

use std::io;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::config::Version;
use thiserror::Error;

use crate::batch::config::Config;

/// Largest encoded configuration, in bytes: twice what the store can hold in one record.
const MAX_ENCODED_BYTES: usize = 32 * 1024 * 1024;
/// Smallest and largest chunk, in bytes.
const MIN_CHUNK_BYTES: usize = 32;
const MAX_CHUNK_BYTES: usize = 1_024;
/// A chunk ends where this many of the highest bits of the rolling hash are zero: 128 bytes on
/// average, about an entry of the configuration.
const CHUNK_BITS: u32 = 7;
/// A difference is sent instead of the whole if at most this fraction of the bytes is new.
const MAX_NEW_FRACTION: f64 = 0.75;

/// Digest of an encoded configuration or of a payload.
pub type Digest = [u8; 32];
/// Hash of a chunk.
type ChunkHash = [u8; 16];

/// What identifies a payload and says how to unpack it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version in the payload.
    pub version: Version,
    /// The version that the receiver must have in force to unpack it; `None` if it is whole.
    pub base: Option<Version>,
    /// Digest of the encoded configuration.
    pub digest: Digest,
    /// Digest of the payload's bytes.
    pub payload: Digest,
    /// Length of the payload in bytes.
    pub length: u32,
}

/// A packed version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Payload {
    /// What it is.
    pub manifest: Manifest,
    /// The compressed content.
    pub bytes: Vec<u8>,
}

/// The content of a payload before compression.
#[derive(Serialize, Deserialize)]
enum Content {
    Whole(Vec<u8>),
    Difference(Vec<Piece>),
}

/// A stretch of the encoded configuration.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// Bytes of the base.
    Copy { offset: u32, length: u32 },
    /// Other bytes.
    New(Vec<u8>),
}

/// Why a payload cannot be unpacked. The whole configuration is to be fetched then.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes are not those that the manifest names.
    #[error("the payload does not match its manifest")]
    Damaged,
    /// The version in force is not the one that the payload is based on.
    #[error("the payload is based on another version")]
    OtherBase,
    /// The content cannot be decompressed.
    #[error("the payload cannot be decompressed: {0}")]
    Compression(#[from] io::Error),
    /// The content cannot be decoded.
    #[error("the payload cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The result is not the version that the sender has.
    #[error("the unpacked configuration differs from the sender's")]
    OtherResult,
}

/// What a node keeps of a version that was in force earlier.
#[derive(Clone, Debug)]
pub struct ChunkIndex {
    /// The version.
    pub version: Version,
    /// Hash, offset and length of each chunk, in the order of hashes.
    chunks: Vec<(ChunkHash, u32, u32)>,
}

impl ChunkIndex {
    /// The index of a configuration.
    pub fn new(config: &Config) -> ChunkIndex {
        let bytes = encode(config);
        let mut offset = 0;
        let mut index = Vec::new();
        for chunk in chunks(&bytes) {
            index.push((hash(chunk), offset, chunk.len() as u32));
            offset += chunk.len() as u32;
        }
        index.sort_unstable();
        index.dedup_by_key(|(hash, _, _)| *hash);
        ChunkIndex { version: config.version, chunks: index }
    }

    fn find(&self, chunk: &[u8]) -> Option<(u32, u32)> {
        let index = self.chunks.binary_search_by_key(&hash(chunk), |(hash, _, _)| *hash).ok()?;
        let (_, offset, length) = self.chunks[index];
        Some((offset, length))
    }

    fn difference(&self, bytes: &[u8]) -> Vec<Piece> {
        let mut pieces = Vec::new();
        for chunk in chunks(bytes) {
            match (self.find(chunk), pieces.last_mut()) {
                (Some((from, more)), Some(Piece::Copy { offset, length }))
                    if *offset + *length == from =>
                {
                    *length += more;
                }
                (Some((offset, length)), _) => pieces.push(Piece::Copy { offset, length }),
                (None, Some(Piece::New(new))) => new.extend_from_slice(chunk),
                (None, _) => pieces.push(Piece::New(chunk.to_vec())),
            }
        }
        pieces
    }
}

/// Packs a configuration: what changed since the base if there is one and that is worth while, else
/// the whole.
pub fn pack(config: &Config, base: Option<&ChunkIndex>) -> Payload {
    let bytes = encode(config);
    let digest = *blake3::hash(&bytes).as_bytes();
    let difference = base.map(|base| (base.version, base.difference(&bytes)));
    let difference = difference
        .filter(|(_, pieces)| new_bytes(pieces) as f64 <= bytes.len() as f64 * MAX_NEW_FRACTION);
    let (base, content) = match difference {
        Some((base, pieces)) => (Some(base), Content::Difference(pieces)),
        None => (None, Content::Whole(bytes)),
    };
    let bytes = compress(&encode(&content));
    let payload = *blake3::hash(&bytes).as_bytes();
    let length = bytes.len() as u32;
    Payload { manifest: Manifest { version: config.version, base, digest, payload, length }, bytes }
}

/// Unpacks a payload. `in_force` is the configuration in force at the receiver.
///
/// # Errors
///
/// [`UnpackError`], if the result is not exactly the configuration that the sender has.
pub fn unpack(
    manifest: &Manifest,
    bytes: &[u8],
    in_force: Option<&Config>,
) -> Result<Config, UnpackError> {
    if *blake3::hash(bytes).as_bytes() != manifest.payload {
        return Err(UnpackError::Damaged);
    }
    let encoded = match postcard::from_bytes(&decompress(bytes)?)? {
        Content::Whole(encoded) => encoded,
        Content::Difference(pieces) => {
            let base = in_force.filter(|base| Some(base.version) == manifest.base);
            apply(&pieces, &encode(base.ok_or(UnpackError::OtherBase)?))?
        }
    };
    if *blake3::hash(&encoded).as_bytes() != manifest.digest {
        return Err(UnpackError::OtherResult);
    }
    let config: Config = postcard::from_bytes(&encoded)?;
    if config.version == manifest.version { Ok(config) } else { Err(UnpackError::OtherResult) }
}

fn apply(pieces: &[Piece], base: &[u8]) -> Result<Vec<u8>, UnpackError> {
    let mut bytes = Vec::new();
    for piece in pieces {
        let piece = match piece {
            Piece::New(new) => new.as_slice(),
            Piece::Copy { offset, length } => {
                let start = *offset as usize;
                base.get(start..start + *length as usize).ok_or(UnpackError::OtherResult)?
            }
        };
        if bytes.len() + piece.len() > MAX_ENCODED_BYTES {
            return Err(UnpackError::OtherResult);
        }
        bytes.extend_from_slice(piece);
    }
    Ok(bytes)
}

fn new_bytes(pieces: &[Piece]) -> usize {
    let new = |piece: &Piece| match piece {
        Piece::New(bytes) => bytes.len(),
        Piece::Copy { .. } => 0,
    };
    pieces.iter().map(new).sum()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("configurations can be encoded by postcard")
}

fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).expect("a vector accepts all bytes");
    encoder.finish().expect("a vector accepts all bytes")
}

fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    let read = decoder.take(MAX_ENCODED_BYTES as u64 + 1).read_to_end(&mut content)?;
    if read > MAX_ENCODED_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the content is too large"));
    }
    Ok(content)
}

fn hash(chunk: &[u8]) -> ChunkHash {
    let digest = blake3::hash(chunk);
    let (first, _) = digest.as_bytes().split_at(size_of::<ChunkHash>());
    first.try_into().expect("a digest is longer than the hash of a chunk")
}

/// Cuts bytes into chunks. An insertion moves the cuts near it only, since each rests on the last 64
/// bytes before it.
fn chunks(bytes: &[u8]) -> Vec<&[u8]> {
    let mut chunks = Vec::new();
    let (mut start, mut rolling) = (0, 0_u64);
    for (index, byte) in bytes.iter().enumerate() {
        let scrambled = (u64::from(*byte) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        rolling = (rolling << 1).wrapping_add(scrambled);
        let length = index + 1 - start;
        let is_cut = length >= MIN_CHUNK_BYTES && rolling.leading_zeros() >= CHUNK_BITS;
        if is_cut || length == MAX_CHUNK_BYTES {
            chunks.push(&bytes[start..=index]);
            start = index + 1;
        }
    }
    if start < bytes.len() {
        chunks.push(&bytes[start..]);
    }
    chunks
}
