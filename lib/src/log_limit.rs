//! Limits logging: the rate of lines is bounded, and a thread that logs never waits for the reader
//! of the output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use log::Log;
use log::Metadata;
use log::Record;

use crate::transport::clock;

/// Log lines per second. A cluster of fifty boxes under load writes about 300. A line takes about
/// 15 microseconds of CPU, so this is about half a percent of a core.
const LINES_PER_S: f64 = 400.0;
/// Log lines allowed in a burst.
const BURST_LINES: f64 = 1_200.0;
/// Part of the burst that is reserved for warnings and errors.
const WARNING_RESERVE_LINES: f64 = 200.0;
/// Lines that may wait to be written to the output; further ones are dropped.
const QUEUE_LINES: usize = 4_096;
/// Pause between writes to the output, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the process waits at exit until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A token bucket that limits the rate of log lines.
#[derive(Debug)]
pub struct Budget {
    available_lines: f64,
    filled_at: Instant,
    dropped_lines: u64,
}

impl Budget {
    /// A full bucket.
    pub fn new(now: Instant) -> Budget {
        Budget { available_lines: BURST_LINES, filled_at: now, dropped_lines: 0 }
    }

    /// Accounts for one line. Returns how many lines were dropped since the last one that passed,
    /// or `None` if this line must be dropped.
    ///
    /// ```
    /// use std::time::Instant;
    /// use spokelift_lib::log_limit::Budget;
    /// let now = Instant::now();
    /// let mut budget = Budget::new(now);
    /// assert_eq!(budget.try_take_line(log::Level::Info, now), Some(0));
    /// ```
    pub fn try_take_line(&mut self, level: Level, now: Instant) -> Option<u64> {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.available_lines = (self.available_lines + passed * LINES_PER_S).min(BURST_LINES);
        self.filled_at = now;
        let required = if level <= Level::Warn { 1.0 } else { WARNING_RESERVE_LINES + 1.0 };
        if self.available_lines < required {
            self.dropped_lines += 1;
            return None;
        }
        self.available_lines -= 1.0;
        Some(std::mem::take(&mut self.dropped_lines))
    }
}

/// A logger that passes records on to another one within a [`Budget`].
pub struct RateLimited<L> {
    inner: L,
    budget: Mutex<Budget>,
}

impl<L: Log> RateLimited<L> {
    /// Limits the rate of the records that `inner` gets.
    pub fn new(inner: L) -> RateLimited<L> {
        RateLimited { inner, budget: Mutex::new(Budget::new(clock::now())) }
    }
}

impl<L: Log> Log for RateLimited<L> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.enabled(record.metadata()) {
            return;
        }
        let mut budget =
            self.budget.lock().expect("no thread panics while it holds the budget lock");
        let dropped = budget.try_take_line(record.level(), clock::now());
        drop(budget);
        match dropped {
            None => {}
            Some(0) => self.inner.log(record),
            Some(dropped) => {
                let line = format_args!("{dropped} log lines dropped by the rate limit");
                let notice =
                    Record::builder().level(Level::Warn).target(module_path!()).args(line).build();
                self.inner.log(&notice);
                self.inner.log(record);
            }
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// A writer for formatted log lines that never blocks: a thread of its own writes them to the
/// output.
pub struct Pipe {
    lines: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
    dropped_lines: u64,
}

/// How many lines a [`Pipe`] has queued and its thread has written.
#[derive(Default)]
pub struct Progress {
    sent: AtomicU64,
    written: AtomicU64,
}

impl Progress {
    /// Waits until all lines queued so far are written, or a timeout has passed.
    pub fn wait_written(&self) {
        let deadline = clock::now() + FLUSH_TIMEOUT;
        let is_pending =
            || self.written.load(Ordering::Acquire) < self.sent.load(Ordering::Acquire);
        while is_pending() && clock::now() < deadline {
            thread::sleep(WRITE_INTERVAL / 10);
        }
    }
}

impl Pipe {
    /// Starts a thread that writes to `output`; returns a pipe to it, and its progress.
    pub fn new(output: impl Write + Send + 'static) -> (Pipe, Arc<Progress>) {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let progress = Arc::new(Progress::default());
        let counts = progress.clone();
        thread::spawn(move || write_queued(&queue, output, &counts.written));
        (Pipe { lines, progress: progress.clone(), dropped_lines: 0 }, progress)
    }
}

fn write_queued(queue: &Receiver<Vec<u8>>, mut output: impl Write, written: &AtomicU64) {
    while let Ok(mut bytes) = queue.recv() {
        let mut lines = 1;
        // At most one queue of lines, since a thread that logs fast could otherwise keep this loop
        // going and grow `bytes` without bound.
        for line in queue.try_iter().take(QUEUE_LINES) {
            bytes.extend_from_slice(&line);
            lines += 1;
        }
        // A failure to write the log itself cannot be reported anywhere.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        written.fetch_add(lines, Ordering::Release);
        thread::sleep(WRITE_INTERVAL);
    }
}

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut bytes = Vec::new();
        if self.dropped_lines > 0 {
            bytes =
                format!("{} lines were lost, the reader of the log is slow\n", self.dropped_lines)
                    .into();
        }
        bytes.extend_from_slice(line);
        match self.lines.try_send(bytes) {
            Ok(()) => {
                self.progress.sent.fetch_add(1, Ordering::Release);
                self.dropped_lines = 0;
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped_lines += 1,
        }
        Ok(line.len())
    }

    /// Does nothing, so that logging never blocks; [`Progress::wait_written`] waits.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
