//! The library of spokelift, a fleet capacity and maintenance manager.
//!
//! The layers, from the bottom: [`transport`] makes and serves HTTP connections, [`protocol`]
//! defines the messages, [`coordination`] keeps the daemons in agreement, and [`state`] is the
//! state that they agree on. On top of them, [`call`] serves callers and [`operator_api`] serves
//! operators; [`daemon`] assembles them. [`batch`] schedules jobs on the users' platform.

#![warn(missing_docs)]

pub mod batch;
pub mod call;
pub mod coordination;
pub mod daemon;
pub mod latency;
pub mod listen;
pub mod log_limit;
pub mod metrics;
pub mod operator_api;
pub mod protocol;
pub mod settings;
pub mod state;
pub use spokelift_transport as transport;
