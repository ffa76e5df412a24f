//! The HTTP protocol of the platform's log service.
//!
//! - `POST /v1/append` with the record as the body returns [`Appended`].
//! - `GET /v1/read?from=N&max=M&wait_ms=W` returns [`Page`]; it waits up to `W` ms for a record.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Offset;

/// Path of an append.
pub const APPEND: &str = "/v1/append";
/// Path of a read.
pub const READ: &str = "/v1/read";

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
}

/// Response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record still kept.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Records from the requested offset, or from `first` if that is greater.
    pub records: Vec<Item>,
}

/// A record on the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Its offset.
    pub offset: Offset,
    /// The record in base64.
    pub data: String,
}

impl Item {
    /// An item with the record `bytes`.
    pub fn new(offset: Offset, bytes: &[u8]) -> Item {
        Item { offset, data: STANDARD.encode(bytes) }
    }

    /// The record's bytes.
    ///
    /// ```
    /// use spokelift_lib::protocol::log::Item;
    /// assert_eq!(Item::new(3, b"abc").bytes().unwrap(), b"abc");
    /// ```
    pub fn bytes(&self) -> Result<Vec<u8>, base64::DecodeError> {
        STANDARD.decode(&self.data)
    }
}

/// Path and query of a read.
pub fn read_path(from: Offset, max: usize, wait_ms: u64) -> String {
    format!("{READ}?from={from}&max={max}&wait_ms={wait_ms}")
}
