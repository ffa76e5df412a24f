//! State layer: the replicated state of the daemons and the rules that change it.
//!
//! This layer reads no clock, no network and no random number. A [`fleet::Fleet`] is a fold over the
//! records of the platform's log, so daemons that have applied the same offsets hold equal values.

pub mod account;
pub mod config;
pub mod fleet;
pub mod fold;
pub mod hash;
pub mod id;
pub mod plan;
pub mod planner;
pub mod record;
pub mod snapshot;
pub mod wave;
