//! Cancels that wait to be written to the store, batched: those that arrive during an append go
//! into the next one.
//!
//! The store limits the appends of all nodes together. Without batches, cancels of jobs that do not
//! exist could take as many appends as a client sends requests.

use std::sync::Mutex;
use std::time::Duration;

use spokelift_platform::store::Record;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum number of cancels that wait.
const CAPACITY: usize = 1_024;
/// Maximum number of cancels in one append.
const MAX_BATCH: usize = 1_024;

struct PendingCancel {
    record: Record,
    stored: oneshot::Sender<()>,
}

/// The cancels that wait at one node.
pub struct Queue {
    sender: mpsc::Sender<PendingCancel>,
    receiver: Mutex<Option<mpsc::Receiver<PendingCancel>>>,
}

impl Default for Queue {
    fn default() -> Queue {
        let (sender, receiver) = mpsc::channel(CAPACITY);
        Queue { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

impl Queue {
    /// Has a cancel written to the store; returns whether the store has it. `false` if the queue is
    /// full, the append fails, or it takes longer than `limit`; in the last two cases the store may
    /// have it all the same.
    pub async fn write(&self, record: Record, limit: Duration) -> bool {
        let (stored, is_stored) = oneshot::channel();
        if self.sender.try_send(PendingCancel { record, stored }).is_err() {
            return false;
        }
        matches!(timeout(limit, is_stored).await, Ok(Ok(())))
    }

    /// The batches to write, for the task that does so.
    ///
    /// # Panics
    ///
    /// At the second call: the cancels have one writer.
    pub fn batches(&self) -> Batches {
        let receiver =
            self.receiver.lock().expect("no thread panics while it holds the lock").take();
        Batches { receiver: receiver.expect("the cancels have one writer") }
    }
}

/// The batches of a [`Queue`].
pub struct Batches {
    receiver: mpsc::Receiver<PendingCancel>,
}

impl Batches {
    /// Waits for the next cancels; `None` if there will be no more.
    pub async fn next(&mut self) -> Option<Batch> {
        let mut cancels = Vec::new();
        let count = self.receiver.recv_many(&mut cancels, MAX_BATCH).await;
        (count > 0).then_some(Batch { cancels })
    }
}

/// Cancels that are written in one append. If it is dropped, they are taken as not written.
pub struct Batch {
    cancels: Vec<PendingCancel>,
}

impl Batch {
    /// The records to append.
    pub fn records(&self) -> Vec<Record> {
        self.cancels.iter().map(|cancel| cancel.record.clone()).collect()
    }

    /// Tells all who wait that the store has the cancels.
    pub fn confirm(self) {
        for cancel in self.cancels {
            // One who no longer waits cancels again if it matters to them.
            let _ = cancel.stored.send(());
        }
    }
}
