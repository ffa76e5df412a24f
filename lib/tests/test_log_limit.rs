//! Log lines are rate-limited, and dropped lines are counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use log::Level;
use spokelift_lib::log_limit::Budget;
use spokelift_lib::log_limit::Pipe;
use spokelift_lib::transport::clock;

#[test]
fn excess_lines_are_dropped_and_counted() {
    let now = clock::now();
    let mut budget = Budget::new(now);
    let passed = (0..10_000).filter(|_| budget.try_take_line(Level::Info, now).is_some()).count();
    assert_eq!(passed, 1_000);
    // Warnings have a budget of their own.
    assert_eq!(budget.try_take_line(Level::Warn, now), Some(9_000));
    let later = now + Duration::from_secs(1);
    assert!(budget.try_take_line(Level::Info, later).is_some());
    let warnings =
        (0..10_000).filter(|_| budget.try_take_line(Level::Error, later).is_some()).count();
    assert!((100..=700).contains(&warnings), "{warnings}");
}

/// A writer that blocks in its first write until it is released.
struct Stalled {
    entered: SyncSender<()>,
    released: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test waits for the first write only.
        let _ = self.entered.try_send(());
        // Once the test has released it, the sender is dropped and this returns at once.
        let _ = self.released.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_does_not_block_logging() {
    let (release, released) = sync_channel(1);
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let (entered, stalled) = sync_channel(1);
    let (mut pipe, progress) = Pipe::new(Stalled { entered, released, written: written.clone() });
    pipe.write_all(b"line 0\n").unwrap();
    // From here on nothing leaves the queue, so most of the following lines are dropped.
    stalled.recv().unwrap();
    for number in 1..20_000 {
        pipe.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    drop(release);
    let deadline = clock::now() + Duration::from_secs(30);
    let contains = |text: &str| {
        let written = written.lock().unwrap();
        String::from_utf8_lossy(&written).contains(text)
    };
    while !contains("line 4000\n") && clock::now() < deadline {
        progress.wait_written();
    }
    assert!(contains("line 4000\n"));
    // The queue may still be full, and then this line is dropped too.
    while !contains("the end\n") && clock::now() < deadline {
        pipe.write_all(b"the end\n").unwrap();
        progress.wait_written();
    }
    assert!(contains("lines were lost, the reader of the log is slow\nthe end\n"));
}
