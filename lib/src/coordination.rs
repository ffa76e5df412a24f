//! Coordination of the daemons of a site.
//!
//! Each daemon holds a [`replica`] of the fleet, which it updates by [`follow`]ing the log and
//! changes only by [`append`]ing to it. [`member`]s detect each other's failure by heartbeats and
//! [`catch_up`] from each other when the log is unavailable; [`snapshot`]s let a new daemon start
//! without reading the whole log; [`freshness`] decides when a daemon may serve; [`drive`] executes
//! confirmed plans; [`reconcile`] polls the boxes and corrects the jobs that run on them.

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
