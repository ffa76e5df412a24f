//! Where the daemons of a trial write their log: they run inside the trial's own process.

use std::fs::File;
use std::io;
use std::path::PathBuf;

/// The file with the log of this process's trial.
fn path() -> PathBuf {
    std::env::temp_dir().join(format!("spokelift-trial-{}.log", std::process::id()))
}

/// Sends the log of this process to a file, at `info` unless `RUST_LOG` says otherwise.
pub fn redirect_log() -> io::Result<()> {
    let file = File::create(path())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(file)))
        .init();
    Ok(())
}

/// Keeps the log of a trial that failed and says where it is; removes it otherwise.
pub fn keep_or_remove(failed: bool) {
    let path = path();
    if failed {
        println!("what the daemons wrote is kept in {}", path.display());
    } else if let Err(error) = std::fs::remove_file(&path) {
        log::warn!("{} is not removed: {error}", path.display());
    }
}
