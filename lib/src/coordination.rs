//! Coordination layer: what makes the daemons of a site act as one.
//!
//! Each daemon holds a [`replica`] of the fleet that it [`follow`]s from the log and changes only
//! by [`append`]ing. [`member`]s know of each other by heartbeats and [`catch_up`] from
//! each other when the log is away; [`snapshot`]s let a new daemon start without the whole log; [`fresh`] says when a daemon
//! may serve; [`drive`] carries out confirmed plans; [`tend`] keeps boxes at their jobs.

pub mod append;
pub mod box_list;
pub mod catch_up;
pub mod drive;
pub mod follow;
pub mod freshness;
pub mod member;
pub mod node;
pub mod reconcile;
pub mod replica;
pub mod route;
pub mod snapshot;
