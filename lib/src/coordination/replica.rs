//! A daemon's copy of the fleet, and the time of the last read that reached the log's end.

use std::sync::Mutex;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::state::fleet::Fleet;
use crate::state::fold::Verdict;
use crate::state::id::Offset;
use crate::state::id::RecordId;
use crate::state::record::Batch;

/// A copy of the fleet. Changes only by applying the log.
#[derive(Debug)]
pub struct Replica {
    fleet: RwLock<Fleet>,
    next: watch::Sender<Offset>,
    log_read_at: Mutex<Option<Instant>>,
    complete: AtomicBool,
}

impl Default for Replica {
    fn default() -> Replica {
        let (next, _) = watch::channel(0);
        Replica {
            fleet: RwLock::default(),
            next,
            log_read_at: Mutex::default(),
            complete: AtomicBool::new(false),
        }
    }
}

impl Replica {
    /// Locks the fleet for reading. Hold the guard briefly, since it blocks applying.
    pub fn fleet(&self) -> RwLockReadGuard<'_, Fleet> {
        self.fleet.read().expect("no thread panics while it holds the fleet lock")
    }

    /// Applies the batch at `offset`; `None` if it is not the next one. The caller rebuilds the
    /// routes and then calls [`Replica::announce`].
    pub fn apply(&self, offset: Offset, batch: &Batch) -> Option<Vec<(RecordId, Verdict)>> {
        let mut fleet = self.fleet.write().expect("no thread panics while it holds the fleet lock");
        (fleet.next == offset).then(|| fleet.apply(offset, batch))
    }

    /// Skips an offset that holds no batch; returns false if it is not the next one.
    pub fn skip(&self, offset: Offset) -> bool {
        let mut fleet = self.fleet.write().expect("no thread panics while it holds the fleet lock");
        let is_next = fleet.next == offset;
        if is_next {
            fleet.next = offset + 1;
        }
        is_next
    }

    /// Replaces a fleet that has diverged.
    pub fn replace_fleet(&self, fleet: Fleet) {
        *self.fleet.write().expect("no thread panics while it holds the fleet lock") = fleet;
    }

    /// Replaces the fleet if `newer` is later. Returns whether it was.
    pub fn install_if_newer(&self, newer: Fleet) -> bool {
        let mut fleet = self.fleet.write().expect("no thread panics while it holds the fleet lock");
        if newer.next <= fleet.next {
            return false;
        }
        *fleet = newer;
        true
    }

    /// Notifies the receivers of [`Replica::changes`] that everything below the fleet's offset is
    /// applied and routed by this daemon.
    pub fn announce(&self) {
        let next = self.fleet().next;
        self.next.send_if_modified(|announced| {
            let changed = *announced != next;
            *announced = next;
            changed
        });
    }

    /// The announced offset: that of the first batch not yet applied and routed by this daemon.
    pub fn next(&self) -> Offset {
        *self.next.borrow()
    }

    /// A receiver that is notified when the announced offset changes.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Records that a read started at `started_at` reached the log's end.
    pub fn record_log_read(&self, started_at: Instant) {
        let mut log_read =
            self.log_read_at.lock().expect("no thread panics while it holds the lock");
        *log_read = log_read.max(Some(started_at));
        self.set_complete();
    }

    /// Whether this copy is complete (see [`crate::coordination::freshness`]).
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::SeqCst)
    }

    /// Records that this copy is complete.
    pub fn set_complete(&self) {
        self.complete.store(true, Ordering::SeqCst);
    }

    /// Whether a read that was started at `at` or later has reached the log's end.
    pub fn is_log_read_since(&self, at: Instant) -> bool {
        let log_read = self.log_read_at.lock().expect("no thread panics while it holds the lock");
        log_read.is_some_and(|started_at| started_at >= at)
    }

    /// Age of the last read that reached the log's end; `None` before the first one.
    pub fn log_age(&self, now: Instant) -> Option<Duration> {
        let log_read = self.log_read_at.lock().expect("no thread panics while it holds the lock");
        log_read.map(|started_at| now.saturating_duration_since(started_at))
    }
}
