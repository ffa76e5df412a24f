//! Transport layer: HTTP servers, outgoing HTTP connections and what is known when one fails.

pub mod dial;
pub mod serve;
