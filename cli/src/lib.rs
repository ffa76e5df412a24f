//! What both programs share: reading the command line and showing an error.

use std::process::ExitCode;

use argh::EarlyExit;
use argh::TopLevelCommand;
use miette::Diagnostic;
use miette::GraphicalReportHandler;

/// Exit code for settings or a command line that cannot be used.
pub const EXIT_USAGE: u8 = 2;

/// Reads the process's command line as that of `program`; prints help or what is wrong with it, and
/// gives the exit code to end with.
pub fn read_args<T: TopLevelCommand>(program: &str) -> Result<T, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    T::from_args(&[program], &words).map_err(|exit: EarlyExit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}

/// Prints an error with its hint to standard error.
pub fn report(error: &dyn Diagnostic) {
    let mut text = String::new();
    match GraphicalReportHandler::new().render_report(&mut text, error) {
        Ok(()) => eprintln!("{text}"),
        Err(_) => eprintln!("{error}"),
    }
}
