//! Moves bytes and says what is known when that fails: [`dial`] for outgoing HTTP, [`serve`] for
//! incoming, and [`clock`] for what "now" is.

#![warn(missing_docs)]

pub mod clock;
pub mod dial;
pub mod serve;
pub mod socket;
