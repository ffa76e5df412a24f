//! Daemons as separate processes.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use spokelift_lib::daemon::Addrs;

use crate::ports;

/// A daemon's process, killed when dropped.
pub struct Process {
    /// The addresses on which it listens.
    pub addrs: Addrs,
    child: Child,
}

impl Process {
    /// Starts the program with these flags and waits until it prints its addresses.
    pub fn start(program: &str, flags: &[(&str, String)]) -> io::Result<Process> {
        let mut command = Command::new(program);
        for (flag, value) in flags {
            command.arg(format!("--{flag}")).arg(value);
        }
        let mut child = ports::spawn(command.stdout(Stdio::piped()).stderr(Stdio::null()))?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let addrs = serde_json::from_str(&line)?;
        Ok(Process { addrs, child })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).map_err(io::Error::from)
    }

    /// Whether the process exited successfully; `None` while it runs.
    pub fn exit_success(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
