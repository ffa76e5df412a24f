//! Protocol layer: messages exchanged with callers, operators, peers and the platform.

pub mod api;
pub mod bearer;
pub mod boxes;
pub mod call;
pub mod catch_up;
pub mod log;
pub mod wire;
pub mod worker;
