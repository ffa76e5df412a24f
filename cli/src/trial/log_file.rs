//! Log file of a trial whose daemons run in the process of the trial.

use std::fs::File;
use std::io;
use std::path::PathBuf;

/// Path of the log file of this process's trial.
fn path() -> PathBuf {
    std::env::temp_dir().join(format!("spokelift-trial-{}.log", std::process::id()))
}

/// Redirects the log of this process to the file, at `info` unless `RUST_LOG` is set.
pub fn redirect_log() -> io::Result<()> {
    let file = File::create(path())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(file)))
        .init();
    Ok(())
}

/// Prints the path of the log after a failed trial; removes the file otherwise.
pub fn keep_or_remove(has_failed: bool) {
    let path = path();
    if has_failed {
        println!("what the daemons wrote is kept in {}", path.display());
    } else if let Err(error) = std::fs::remove_file(&path) {
        log::warn!("cannot remove {}: {error}", path.display());
    }
}
