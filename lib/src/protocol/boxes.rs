//! The platform's box list. It may be out of date.
//!
//! `GET /v1/boxes?after=V` returns a [`List`] of the boxes that changed after version `V`, or of all
//! boxes if the platform no longer knows the changes since then; `V` is 0 in the first request.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::state::fleet::Shape;
use crate::state::id::BoxId;
use crate::state::id::HallId;
use crate::state::id::RackId;

/// Path of the box list.
pub const BOXES: &str = "/v1/boxes";

/// Boxes, or changes of boxes, that the platform lists.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// Version of the whole list.
    pub version: u64,
    /// Whether this lists all boxes, so that a box that is missing here no longer exists.
    pub whole: bool,
    /// Boxes.
    pub boxes: Vec<ListedBox>,
    /// Boxes that no longer exist.
    pub gone: Vec<BoxId>,
}

/// Path and query for the changes after a version.
pub fn boxes_path(after: u64) -> String {
    format!("{BOXES}?after={after}")
}

/// A box in the box list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its name.
    pub name: BoxId,
    /// Address at which it serves requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Its memory, in MB.
    pub memory_mb: u32,
    /// Whether it is about to be removed.
    pub leaving: bool,
}

impl ListedBox {
    /// The properties that plans and claims store.
    pub fn shape(&self) -> Shape {
        Shape {
            addr: self.addr,
            hall: self.hall.clone(),
            rack: self.rack.clone(),
            slots: self.slots,
            memory_mb: self.memory_mb,
        }
    }
}
