//! `spokelift`: the operators' tool.

#![allow(missing_docs, reason = "a program, not a library")]

mod args;
mod bench;
mod client;
mod command;
mod error;
mod output;
mod trial;

use std::process::ExitCode;

use spokelift_cli::read_args;
use spokelift_cli::report;

use crate::args::Args;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args: Args = match read_args("spokelift") {
        Ok(args) => args,
        Err(code) => return code,
    };
    match command::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}
