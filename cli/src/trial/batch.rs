//! Trial on the stand-in platform: real daemon processes run jobs under random faults.

use std::path::PathBuf;
use std::time::Duration;

use spokelift_testutils::platform::soak;
use spokelift_testutils::platform::soak::ACCOUNTS_FROM_SEED;
use spokelift_testutils::platform::soak::MACHINES;
use spokelift_testutils::platform::soak::NODES;
use spokelift_testutils::platform::soak::Report;

use crate::args::Trial;
use crate::error::Error;

/// Name of the daemon's executable, which is in the same directory as this one.
const DAEMON_PROGRAM: &str = "spokeliftd";
/// Accepted durations of the fault phase, in seconds.
pub const FAULT_SECONDS: std::ops::RangeInclusive<u64> = 2..=600;

/// Runs the faults of a seed and prints the results.
pub async fn run(args: &Trial, json: bool) -> Result<(), Error> {
    let program = daemon_path()?;
    let first_seed = if args.accounts { ACCOUNTS_FROM_SEED } else { 0 };
    let seed = args.seed.saturating_add(first_seed);
    let seconds = args.seconds;
    println!("seed {seed}: {NODES} daemons, {MACHINES} boxes, faults for {seconds} s");
    let program = program.to_string_lossy();
    let report = soak::run(&program, seed, Duration::from_secs(seconds)).await?;
    println!("{}", table(&report));
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    match report.violations {
        violations if violations.is_empty() => Ok(()),
        violations => Err(Error::Violated { violations }),
    }
}

/// Path of the daemon's executable; an error if the file is missing.
pub fn daemon_path() -> Result<PathBuf, Error> {
    let path = std::env::current_exe()?.with_file_name(DAEMON_PROGRAM);
    match path.exists() {
        true => Ok(path),
        false => Err(Error::MissingProgram { path }),
    }
}

fn table(report: &Report) -> String {
    let mut lines: Vec<String> = report.faults.iter().map(|fault| format!("  {fault}")).collect();
    let counts = [
        ("jobs accepted", report.accepted),
        ("jobs refused, which never ran", report.refused),
        ("jobs without an answer", report.unknown),
        ("jobs cancelled", report.cancelled),
        ("starts of tasks", report.starts as usize),
        ("promises broken", report.violations.len()),
    ];
    lines.extend(counts.iter().map(|(what, count)| format!("{what:32} {count}")));
    lines.join("\n")
}
