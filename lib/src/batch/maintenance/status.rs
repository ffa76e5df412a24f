//! Writes the status of waves for the operator, one after another.
//!
//! The store may carry out a write seconds after a later one. So the writes of a leader are numbered:
//! the store refuses one that comes after its successor, and those of an earlier leader.

use std::time::Instant;

use spokelift_platform::store::Record;
use spokelift_platform::wave::Wave;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::transport::clock;

/// A status that is to be written.
pub struct Update {
    /// Number of the wave.
    pub wave: u64,
    /// Whether the wave has succeeded; otherwise it is running.
    pub succeeded: bool,
    /// When this scheduler first saw the wave.
    pub first_seen_at: Instant,
    /// Receives a value once the store has the status.
    pub written: oneshot::Sender<()>,
}

/// Queues statuses; each is written after the one before.
pub type Queue = mpsc::UnboundedSender<Update>;

/// Writes queued statuses until the queue is closed. `write` writes the record with this number, and returns `false` if
/// no more can be written.
pub async fn write_all<Written: Future<Output = bool>>(
    mut queue: mpsc::UnboundedReceiver<Update>,
    write: impl Fn(Record, u64) -> Written,
) {
    let mut sequence = 0;
    while let Some(Update { wave, succeeded, first_seen_at, written }) = queue.recv().await {
        sequence += 1;
        if !write(Wave::status_record(wave, succeeded), sequence).await {
            return;
        }
        let took_s = clock::since(first_seen_at).as_secs();
        log::info!(wave, succeeded, took_s; "wave status written");
        // The receiver is gone once the scheduler has ended.
        let _ = written.send(());
    }
}
