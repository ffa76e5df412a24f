//! Log lines stay within bounds, and what is left out is counted.

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
fn a_storm_of_lines_is_cut_and_counted() {
    let now = clock::now();
    let mut budget = Budget::new(now);
    let passed = (0..10_000).filter(|_| budget.try_take_line(Level::Info, now).is_some()).count();
    assert_eq!(passed, 1_000);
    // Warnings still have room.
    assert_eq!(budget.try_take_line(Level::Warn, now), Some(9_000));
    let later = now + Duration::from_secs(1);
    assert!(budget.try_take_line(Level::Info, later).is_some());
    let warnings =
        (0..10_000).filter(|_| budget.try_take_line(Level::Error, later).is_some()).count();
    assert!((100..=700).contains(&warnings), "{warnings}");
}

/// An output that takes nothing until it is told to.
struct Stalled {
    entered: SyncSender<()>,
    go: Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The test waits for the first write only.
        let _ = self.entered.try_send(());
        // Once the test has let it go, the sender is gone.
        let _ = self.go.recv();
        self.seen.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stalls_holds_nobody_up() {
    let (release, go) = sync_channel(1);
    let seen = Arc::<Mutex<Vec<u8>>>::default();
    let (entered, stalls) = sync_channel(1);
    let (mut pipe, progress) = Pipe::new(Stalled { entered, go, seen: seen.clone() });
    pipe.write_all(b"line 0\n").unwrap();
    // From here on nothing leaves the queue, so most of what follows is lost.
    stalls.recv().unwrap();
    for number in 1..20_000 {
        pipe.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    drop(release);
    let until = clock::now() + Duration::from_secs(30);
    let contains = |text: &str| {
        let seen = seen.lock().unwrap();
        String::from_utf8_lossy(&seen).contains(text)
    };
    while !contains("line 4000\n") && clock::now() < until {
        progress.wait_written();
    }
    assert!(contains("line 4000\n"));
    // The queue may still be full behind the lines that were seen, and then this one is lost too.
    while !contains("the end\n") && clock::now() < until {
        pipe.write_all(b"the end\n").unwrap();
        progress.wait_written();
    }
    assert!(contains("lines were lost, the reader of the log is slow\nthe end\n"));
}
