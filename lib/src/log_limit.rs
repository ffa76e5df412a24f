//! Log lines within bounds: so many a second, and none that waits for its reader.

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

/// Lines a second. A line costs about 15 microseconds of processor, so these take half a hundredth
/// of a core; a busy site of fifty boxes writes about 300.
const LINES_PER_S: f64 = 400.0;
/// Lines that may come at once.
const BURST_LINES: f64 = 1_200.0;
/// Part of the burst that is kept for warnings and errors.
const WARNING_RESERVE_LINES: f64 = 200.0;
/// Lines that wait for the reader of the output; further ones are left out.
const QUEUE_LINES: usize = 4_096;
/// Time between writes to the output, so that many lines go out in one.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the end of the process waits for the last lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// How many lines may be written now.
#[derive(Debug)]
pub struct Budget {
    available_lines: f64,
    filled_at: Instant,
    dropped_lines: u64,
}

impl Budget {
    /// A full budget.
    pub fn new(now: Instant) -> Budget {
        Budget { available_lines: BURST_LINES, filled_at: now, dropped_lines: 0 }
    }

    /// Takes a line; how many were left out before it, or `None` if it is left out itself.
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
        let least = if level <= Level::Warn { 1.0 } else { WARNING_RESERVE_LINES + 1.0 };
        if self.available_lines < least {
            self.dropped_lines += 1;
            return None;
        }
        self.available_lines -= 1.0;
        Some(std::mem::take(&mut self.dropped_lines))
    }
}

/// Passes lines on to another logger, within a budget.
pub struct RateLimited<L> {
    inner: L,
    budget: Mutex<Budget>,
}

impl<L: Log> RateLimited<L> {
    /// Limits what `inner` gets.
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
        let mut budget = self.budget.lock().expect("no holder of the budget panics");
        let taken = budget.try_take_line(record.level(), clock::now());
        drop(budget);
        match taken {
            None => {}
            Some(0) => self.inner.log(record),
            Some(left_out) => {
                let line = format_args!("{left_out} lines were left out");
                let told =
                    Record::builder().level(Level::Warn).target(module_path!()).args(line).build();
                self.inner.log(&told);
                self.inner.log(record);
            }
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Where formatted lines go: a thread writes them, and whoever logs never waits for it.
pub struct Pipe {
    lines: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
    dropped_lines: u64,
}

/// How far the thread that writes the lines is.
#[derive(Default)]
pub struct Progress {
    sent: AtomicU64,
    written: AtomicU64,
}

impl Progress {
    /// Waits for the lines so far, though not for ever.
    pub fn wait_written(&self) {
        let until = clock::now() + FLUSH_TIMEOUT;
        let waits = || self.written.load(Ordering::Acquire) < self.sent.load(Ordering::Acquire);
        while waits() && clock::now() < until {
            thread::sleep(WRITE_INTERVAL / 10);
        }
    }
}

impl Pipe {
    /// A pipe to an output, and how far it is.
    pub fn new(output: impl Write + Send + 'static) -> (Pipe, Arc<Progress>) {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let progress = Arc::new(Progress::default());
        let written = progress.clone();
        thread::spawn(move || write_queued(&queue, output, &written.written));
        (Pipe { lines, progress: progress.clone(), dropped_lines: 0 }, progress)
    }
}

fn write_queued(queue: &Receiver<Vec<u8>>, mut output: impl Write, written: &AtomicU64) {
    while let Ok(mut bytes) = queue.recv() {
        let mut lines = 1;
        // No more than the queue holds, or a fast writer could keep it here and grow it without end.
        for line in queue.try_iter().take(QUEUE_LINES) {
            bytes.extend_from_slice(&line);
            lines += 1;
        }
        // There is nowhere to tell that the log itself cannot be written.
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

    /// Whoever logs does not wait; [`Progress::settle`] does.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
