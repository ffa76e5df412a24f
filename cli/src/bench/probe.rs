//! Memory and processor time of processes and threads, from `/proc`.

use std::fs;

/// Clock ticks a second in `/proc` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// Resident memory of this process, in bytes; 0 where the system does not report it.
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Processor time of all threads whose name begins with `prefix`, in seconds.
pub fn thread_cpu_seconds(prefix: &str) -> f64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats =
        threads.filter_map(|thread| fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let ticks = stats.filter_map(|stat| cpu_ticks(&stat, prefix));
    ticks.sum::<u64>() as f64 / TICKS_PER_S
}

/// Processor time of another process, in seconds; 0 where the system does not report it.
pub fn process_cpu_seconds(process: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    cpu_ticks(&stat, "").unwrap_or(0) as f64 / TICKS_PER_S
}

/// Sum of user and system ticks of a `stat` line; `None` if the name does not begin with `prefix`
/// or the line is malformed.
fn cpu_ticks(stat: &str, prefix: &str) -> Option<u64> {
    let (head, tail) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}
