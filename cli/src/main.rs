//! `spokelift`: the operators' command line tool.

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
use crate::args::Command;
use crate::error::Error;

fn main() -> ExitCode {
    let args: Args = match read_args("spokelift") {
        Ok(args) => args,
        Err(code) => return code,
    };
    match init_log(&args).and_then(|()| command::run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

/// Sets up logging to standard error at `warn`. A trial that runs its daemons in this process logs
/// to a file instead.
fn init_log(args: &Args) -> Result<(), Error> {
    match &args.command {
        Command::Trial(trial) if trial::runs_daemons_here(trial) => Ok(trial::redirect_log()?),
        _ => {
            let env = env_logger::Env::default().default_filter_or("warn");
            env_logger::Builder::from_env(env).init();
            Ok(())
        }
    }
}
