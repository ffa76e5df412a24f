//! Shared by both programs: parsing the command line and printing errors.

use std::process::ExitCode;

use argh::EarlyExit;
use argh::TopLevelCommand;
use miette::Diagnostic;
use miette::GraphicalReportHandler;

/// Exit code for invalid settings or an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Parses the process's command line as that of `program`. For `--help` or an invalid command line,
/// prints the text and returns the exit code to end with.
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

/// Prints an error with its help text to standard error.
pub fn report(error: &dyn Diagnostic) {
    let mut text = String::new();
    match GraphicalReportHandler::new().render_report(&mut text, error) {
        Ok(()) => eprintln!("{text}"),
        Err(_) => eprintln!("{error}"),
    }
}
