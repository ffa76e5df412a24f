//! Small stand-ins for the platform and its callers, kept apart from the product: a [`log`], a
//! [`boxes`] list, [`worker`]s, a [`caller`], a [`proxy`] that breaks connections on command, and
//! the [`ledger`] in which workers and callers write down what they saw. A [`fixture`] puts them
//! together around real [`process`]es; a [`file`] is removed at the end of its test.

#![warn(missing_docs)]

pub mod batch;
pub mod boxes;
pub mod caller;
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
pub mod site;
pub mod temp_file;
pub mod worker;
