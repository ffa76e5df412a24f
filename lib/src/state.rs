//! State layer: what the daemons agree on, and the rules that change it.
//!
//! Nothing here reads a clock, the network or a random number. A [`fleet::Fleet`] is a fold over
//! the records of the platform's log, so every daemon that has applied the same offset holds the
//! same value.

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
