//! HTTP connections, with errors that tell whether a request may have been received: [`dial`] for
//! outgoing and [`serve`] for incoming ones, [`admission`] for their number, [`socket`] for their options, [`progress`] for time
//! limits of long answers, and [`clock`] for time
//! that counts suspensions.

#![warn(missing_docs)]

pub mod admission;
pub mod clock;
pub mod dial;
pub mod progress;
pub mod serve;
pub mod socket;
