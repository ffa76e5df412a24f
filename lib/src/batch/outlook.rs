//! What the leader expects of each service: how long a job that arrives now would wait.
//!
//! The leader publishes it to all nodes, so that a node can refuse a job at once that could not be
//! done in time.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Token;

/// Amount of work: thousandths of a core times milliseconds.
pub type Work = u64;

/// The outlook of all services. The newest is the one with the highest leader and, of the same
/// leader, the highest number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Fencing token of the leader that made it.
    pub leader: Token,
    /// Counts the outlooks of this leader from 1.
    pub number: u64,
    /// The services that are short of capacity, by name; a service without an entry is not.
    pub services: BTreeMap<String, Service>,
}

/// The outlook of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// CPU of its schedulable workers, in thousandths of a core.
    pub capacity: u64,
    /// CPU of the boxes on their way to it, in thousandths of a core.
    pub incoming: u64,
    /// Work that is placed before that of a job which its account sends within its rate.
    pub ahead: Work,
    /// Work that is placed before that of a job above its account's rate; includes `ahead`.
    pub ahead_over_rate: Work,
}
