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

use argh::EarlyExit;
use argh::FromArgs;
use miette::GraphicalReportHandler;

use crate::args::Args;
use crate::error::Error;

/// Exit code for a command line that cannot be read.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args = match read_args() {
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

fn read_args() -> Result<Args, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().skip(1).map(String::as_str).collect();
    Args::from_args(&["spokelift"], &words).map_err(|exit: EarlyExit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(USAGE)
        }
    })
}

fn report(error: &Error) {
    let mut text = String::new();
    let written = GraphicalReportHandler::new().render_report(&mut text, error);
    match written {
        Ok(()) => eprintln!("{text}"),
        Err(_) => eprintln!("{error}"),
    }
}
