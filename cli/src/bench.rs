//! Benchmarks: each measures the product and its baselines in one run.

mod batch;
mod config;
mod generate;
mod keys;
mod plan;
mod probe;
mod slope;
mod state;

use crate::args::Bench;
use crate::args::BenchKind;
use crate::error::Error;

/// Runs a benchmark and prints its results.
pub fn run(args: &Bench, json: bool) -> Result<(), Error> {
    match &args.kind {
        BenchKind::Batch(args) => batch::run(args, json || args.json),
        BenchKind::Config(args) => config::run(args, json || args.json),
        BenchKind::Keys(args) => keys::run(args, json || args.json),
        BenchKind::Plan(args) => plan::run(args, json || args.json),
        BenchKind::State(args) => state::run(args, json || args.json),
    }
}
