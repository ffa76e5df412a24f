//! The platform's box list: `GET /v1/boxes` answers a [`List`]. It lags behind the truth.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::state::fleet::Shape;
use crate::state::id::BoxId;
use crate::state::id::HallId;
use crate::state::id::RackId;

/// Path of the box list.
pub const BOXES: &str = "/v1/boxes";

/// The boxes the platform knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct List {
    /// One entry for each box.
    pub boxes: Vec<Listed>,
}

/// A box in the box list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listed {
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

impl Listed {
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
