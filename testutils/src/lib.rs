//! In-memory stand-ins for the platform and its callers, independent of the product code: a
//! [`log`], a [`boxes`] list, [`worker`]s, a [`caller`], a [`crowd`] of
//! clients that do not behave, a fault-injecting [`proxy`], and the
//! [`ledger`] that records what workers and callers observed. A [`fixture`] combines them around
//! real [`process`]es; a [`temp_file`] is removed at the end of its test.

#![warn(missing_docs)]

pub mod batch;
pub mod boxes;
pub mod caller;
pub mod crowd;
pub mod daemon;
pub mod fixture;
pub mod kills;
pub mod ledger;
pub mod log;
pub mod platform;
pub mod ports;
pub mod process;
pub mod proxy;
pub mod scenario;
pub mod serve;
pub mod setting;
pub mod site;
pub mod temp_file;
pub mod worker;
