//! Moves bytes and says what is known when that fails: [`dial`] for outgoing HTTP, [`serve`] for
//! incoming.

#![warn(missing_docs)]

pub mod dial;
pub mod serve;
pub mod socket;
