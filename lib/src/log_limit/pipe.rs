//! Output of log lines by a thread of its own.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use crate::transport::clock;

/// Lines that may wait to be written to the output; further ones are dropped.
const QUEUE_LINES: usize = 4_096;
/// Pause between writes to the output, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the process waits at exit until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

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
