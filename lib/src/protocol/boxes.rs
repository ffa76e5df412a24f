//! The platform's box list. It lags behind the truth.
//!
//! `GET /v1/boxes?after=V` answers a [`List`] of the boxes that changed after version `V`, or of all
//! boxes if the platform no longer knows which those are; `V` is 0 at first.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::state::fleet::Shape;
use crate::state::id::BoxId;
use crate::state::id::HallId;
use crate::state::id::RackId;

/// Path of the box list.
pub const BOXES: &str = "/v1/boxes";

/// Boxes the platform knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// Version of the whole list.
    pub version: u64,
    /// Whether all boxes are here; those that are not are gone.
    pub whole: bool,
    /// Boxes.
    pub boxes: Vec<ListedBox>,
    /// Boxes that are gone.
    pub gone: Vec<BoxId>,
}

/// Path and query for what changed after a version.
pub fn boxes_path(after: u64) -> String {
    format!("{BOXES}?after={after}")
}

/// A box in the box list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its name.
    pub name: BoxId,
    /// Where it serves.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Its memory, in MB.
    pub memory_mb: u32,
    /// Whether it is on its way out.
    pub leaving: bool,
}

impl ListedBox {
    /// What a plan or a claim keeps of the box.
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
