//! Transfers of configurations between nodes: a payload is sent in parts, each by a request of its
//! own, so that other messages pass between them, and what has arrived is kept when a sender fails.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::config::Version;

use crate::batch::config::Config;
use crate::batch::config::payload::ChunkIndex;
use crate::batch::config::payload::Digest;
use crate::batch::config::payload::Manifest;
use crate::batch::config::payload::Payload;
use crate::batch::config::payload::pack;

/// Length of a part: about 13 ms on a link of 10 Mbit/s.
pub const PART_BYTES: usize = 16 * 1024;
/// Largest payload that a node accepts.
const MAX_PARCEL_BYTES: u32 = 16 * 1024 * 1024;
/// Number of nodes to which a node sends a payload of several parts at the same time. Further ones are
/// told to ask elsewhere: the sooner some have the whole, the more senders there are.
const MAX_ASKERS: usize = 2;
/// Time after its last request at which a node no longer counts as one that is being sent to.
const ASKER_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of nodes with the newest version that a busy node names.
const MAX_NAMED: usize = 4;
/// Number of earlier versions on which a payload can be based.
const MAX_INDEXES: usize = 4;
/// Number of packed payloads that are kept: one on each base and the whole.
const MAX_PARCELS: usize = MAX_INDEXES + 1;
/// Time without a new part after which another payload of the same version replaces an unfinished one.
const STALE_AFTER: Duration = Duration::from_millis(500);

/// A request for a part of a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// Address at which the asking node answers other nodes.
    pub from: SocketAddr,
    /// The version in force there; only newer ones are of use.
    pub in_force: Version,
    /// The version on which the payload may be based; `None` asks for the whole.
    pub base: Option<Version>,
    /// The digest of the payload under way and the number of the part; `None` if there is none yet.
    pub part: Option<(Digest, u32)>,
}

/// The answer to a [`PartRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartReply {
    /// The version in force is not newer.
    NotNewer,
    /// The node sends to enough others; these nodes have the version as well.
    Busy(Vec<SocketAddr>),
    /// The part that was asked for, or the first one of another payload.
    Part(Box<Part>),
}

/// A part of a payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The payload.
    pub manifest: Manifest,
    /// Number of the part, from 0.
    pub number: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// How a fetch from another node has ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Fetched {
    /// With what that node has, or without anything that it can give.
    Ended,
    /// That node sends to enough others; these have the version as well.
    Busy(Vec<SocketAddr>),
}

/// Nodes of builds that know no parts, and since when that is known.
pub type OlderNodes = HashMap<SocketAddr, Instant>;

fn part_count(manifest: &Manifest) -> u32 {
    manifest.length.div_ceil(PART_BYTES as u32).max(1)
}

/// What a node needs to send versions to others.
#[derive(Debug, Default)]
pub struct Source {
    /// Earlier versions, the oldest first.
    indexes: VecDeque<ChunkIndex>,
    /// Payloads of the newest version, each with the base that was asked for.
    payloads: VecDeque<(Option<Version>, Arc<Payload>)>,
    /// Nodes that are being sent to, and when each last asked.
    askers: Vec<(SocketAddr, Instant)>,
    /// Nodes that have got the newest version from this one, the latest last.
    served: VecDeque<SocketAddr>,
}

impl Source {
    /// Records that `previous` is replaced by a newer version.
    pub fn replace(&mut self, previous: &Config) {
        self.payloads.clear();
        self.served.clear();
        self.indexes.push_back(ChunkIndex::new(previous));
        if self.indexes.len() > MAX_INDEXES {
            self.indexes.pop_front();
        }
    }

    /// Answers a request. `config` is the configuration in force here.
    pub fn answer(&mut self, config: &Config, request: &PartRequest, now: Instant) -> PartReply {
        if config.version <= request.in_force {
            return PartReply::NotNewer;
        }
        let payload = self.payload(config, request.base);
        let number = match request.part {
            Some((digest, number)) if digest == payload.manifest.payload => number,
            _ => 0,
        };
        let Some(bytes) = payload.bytes.chunks(PART_BYTES).nth(number as usize) else {
            return PartReply::NotNewer;
        };
        if !self.admit(request.from, &payload.manifest, number, now) {
            return PartReply::Busy(self.served.iter().copied().collect());
        }
        PartReply::Part(Box::new(Part {
            manifest: payload.manifest.clone(),
            number,
            bytes: bytes.to_vec(),
        }))
    }

    /// Takes a node among those that are being sent to; `false` if there are enough. A payload of one
    /// part is sent to any.
    fn admit(&mut self, from: SocketAddr, manifest: &Manifest, number: u32, now: Instant) -> bool {
        self.askers.retain(|(addr, at)| {
            *addr != from && now.saturating_duration_since(*at) < ASKER_TIMEOUT
        });
        let count = part_count(manifest);
        if count > 1 && self.askers.len() >= MAX_ASKERS {
            return false;
        }
        if number + 1 < count {
            self.askers.push((from, now));
        } else {
            self.served.retain(|addr| *addr != from);
            self.served.push_back(from);
            let excess = self.served.len().saturating_sub(MAX_NAMED);
            self.served.drain(..excess);
        }
        true
    }

    fn payload(&mut self, config: &Config, base: Option<Version>) -> Arc<Payload> {
        self.payloads.retain(|(_, payload)| payload.manifest.version == config.version);
        let index = base.and_then(|base| self.indexes.iter().find(|index| index.version == base));
        let base = index.map(|index| index.version);
        if let Some((_, payload)) = self.payloads.iter().find(|(known, _)| *known == base) {
            return payload.clone();
        }
        let payload = Arc::new(pack(config, index));
        self.payloads.push_back((base, payload.clone()));
        if self.payloads.len() > MAX_PARCELS {
            self.payloads.pop_front();
        }
        payload
    }
}

/// A payload of which parts have arrived.
#[derive(Debug)]
pub struct Download {
    manifest: Manifest,
    parts: Vec<Option<Vec<u8>>>,
    /// Which parts have been asked for.
    is_asked: Vec<bool>,
    /// When the last new part arrived.
    progressed_at: Instant,
}

/// What became of a part that arrived.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// The payload lacks further parts.
    Unfinished,
    /// The payload is complete, with these bytes.
    Complete(Manifest, Vec<u8>),
    /// The part belongs to another payload than the one under way, or is malformed.
    Other,
}

impl Download {
    fn new(manifest: Manifest, now: Instant) -> Download {
        let count = part_count(&manifest) as usize;
        Download {
            manifest,
            parts: vec![None; count],
            is_asked: vec![false; count],
            progressed_at: now,
        }
    }

    /// The version of the payload.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// The part to ask for next, with the payload's digest: one that nobody has been asked for, else
    /// one whose answer has not come.
    pub fn next_part(&mut self) -> Option<(Digest, u32)> {
        let missing = |number: &usize| self.parts[*number].is_none();
        let unasked = |number: &usize| !self.is_asked[*number];
        let mut numbers = (0..self.parts.len()).filter(missing);
        let number = numbers.clone().find(unasked).or_else(|| numbers.next())?;
        self.is_asked[number] = true;
        Some((self.manifest.payload, number as u32))
    }

    /// Adds a part to the payload under way, or starts one with it. A newer version replaces an
    /// unfinished older one.
    pub fn accept(download: &mut Option<Download>, part: Part, now: Instant) -> Progress {
        let Part { manifest, number, bytes } = part;
        let number = number as usize;
        let end = ((number + 1) * PART_BYTES).min(manifest.length as usize);
        let is_well_formed = manifest.length <= MAX_PARCEL_BYTES
            && number < part_count(&manifest) as usize
            && bytes.len() + number * PART_BYTES == end;
        let is_current = |current: &Download| {
            current.manifest == manifest
                || current.manifest.version > manifest.version
                || current.manifest.version == manifest.version
                    && now.saturating_duration_since(current.progressed_at) < STALE_AFTER
        };
        if !is_well_formed {
            return Progress::Other;
        }
        let current = download.take().filter(is_current);
        let current =
            download.insert(current.unwrap_or_else(|| Download::new(manifest.clone(), now)));
        if current.manifest != manifest {
            return Progress::Other;
        }
        if current.parts[number].is_none() {
            current.progressed_at = now;
        }
        current.parts[number] = Some(bytes);
        if current.parts.iter().any(Option::is_none) {
            return Progress::Unfinished;
        }
        let bytes = current.parts.iter().flatten().flatten().copied().collect();
        *download = None;
        Progress::Complete(manifest, bytes)
    }
}
