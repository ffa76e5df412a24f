//! Batch work on the users' platform: jobs of tasks, leased to workers by one scheduler at a time.
//!
//! Every node takes jobs from clients and writes them to the platform's store ([`intake`]). One
//! node at a time holds the lead ([`lead`]) and runs the scheduler ([`scheduler`]), whose state is
//! a [`cell`]: jobs, workers and what runs where. See `docs/design/on-the-platform.md`.

pub mod admit;
pub mod advice;
pub mod announce;
pub mod caller;
pub mod carry;
pub mod cell;
pub mod commit;
pub mod config;
pub mod contact;
pub mod crash;
pub mod demand;
pub mod directory;
pub mod document;
pub mod fleet;
pub mod intake;
pub mod job;
pub mod lead;
pub mod neighbours;
pub mod node;
pub mod operator;
pub mod peer;
pub mod place;
pub mod pool;
pub mod put_off;
pub mod record;
pub mod relay;
pub mod scheduler;
pub mod spread;
pub mod stuck;
pub mod submit;
pub mod turn;
pub mod upkeep;
pub mod usage;
pub mod view;
pub mod worker;
