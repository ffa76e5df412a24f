//! All logic of spokelift, a fleet capacity and maintenance manager.
//!
//! The layers, from the bottom: [`transport`] moves bytes, [`protocol`] says what they mean,
//! [`coordination`] makes the daemons act as one, [`state`] is what they agree on. On top of them,
//! [`call`] serves callers and [`operate`] serves operators; [`daemon`] puts all together.

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
