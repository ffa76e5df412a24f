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
    /// Starts the program with these flags and environment variables, and waits until it prints its
    /// addresses.
    pub fn start(
        program: &str,
        flags: &[(&str, String)],
        variables: &[(&str, &str)],
    ) -> io::Result<Process> {
        let mut command = Command::new(program);
        command.envs(variables.iter().copied());
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

    /// The id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
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

/// What a running process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The most memory that it has had at any time, in bytes.
    pub peak_memory: u64,
    /// Its open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// What the process with this id uses now.
    ///
    /// # Errors
    ///
    /// If there is no such process, or it has ended.
    ///
    /// ```
    /// use spokelift_testutils::process::Usage;
    /// let usage = Usage::of(std::process::id())?;
    /// assert!(usage.peak_memory > 0 && usage.descriptors > 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn of(pid: u32) -> io::Result<Usage> {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        // A process that has ended has no memory.
        let peak = peak.ok_or(io::ErrorKind::NotFound)?;
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count();
        Ok(Usage { peak_memory: peak * 1024, descriptors })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
