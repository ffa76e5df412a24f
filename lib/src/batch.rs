//! Batch work on the users' platform: jobs of tasks, leased to workers by one scheduler at a time.
//!
//! Every node accepts jobs from clients ([`client_api`]) and writes them to the platform's store
//! ([`commit`]). One node at a time holds the leader lease ([`leader`]) and runs the scheduler
//! ([`scheduler`]), whose state is a [`cell`]: jobs, workers and what runs where. See
//! `docs/design/on-the-platform.md`.

pub mod admit;
pub mod advice;
pub mod availability;
pub mod box_list;
pub mod box_state;
pub mod caller;
pub mod cancel_queue;
pub mod cell;
pub mod client_api;
pub mod commit;
pub mod config;
pub mod costs;
pub mod crash;
pub mod deferral;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod early_cancels;
pub mod evacuated_halls;
pub mod fleet;
pub mod gossip;
pub mod history;
pub mod interference;
pub mod job;
pub mod job_memory;
pub mod leader;
pub mod maintenance;
pub mod node;
pub mod operator;
pub mod order_window;
pub mod outlook;
pub mod peer;
pub mod place;
pub mod pool;
pub mod record;
pub mod relay;
pub mod run_time;
pub mod scheduler;
pub mod store_latency;
pub mod stuck;
pub mod submit;
pub mod usage;
pub mod view;
pub mod watch;
pub mod worker;
