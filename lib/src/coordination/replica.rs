//! A daemon's copy of the fleet, and how recently it was known to be at the log's end.

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
    /// The fleet as of now; hold it briefly.
    pub fn fleet(&self) -> RwLockReadGuard<'_, Fleet> {
        self.fleet.read().expect("no writer of the fleet panics")
    }

    /// Applies the batch at `offset` if it is the next one; [`Replica::announce`] follows once
    /// routing knows of it.
    pub fn apply(&self, offset: Offset, batch: &Batch) -> Option<Vec<(RecordId, Verdict)>> {
        let mut fleet = self.fleet.write().expect("no writer of the fleet panics");
        (fleet.next == offset).then(|| fleet.apply(offset, batch))
    }

    /// Passes over an offset that holds no batch, if it is the next one.
    pub fn skip(&self, offset: Offset) {
        let mut fleet = self.fleet.write().expect("no writer of the fleet panics");
        if fleet.next == offset {
            fleet.next = offset + 1;
        }
    }

    /// Puts a whole fleet in place of one that was found to be wrong.
    pub fn replace_fleet(&self, right: Fleet) {
        *self.fleet.write().expect("no writer of the fleet panics") = right;
    }

    /// Puts a whole fleet in place of the current one, unless that is as recent.
    pub fn install_if_newer(&self, newer: Fleet) -> bool {
        let mut fleet = self.fleet.write().expect("no writer of the fleet panics");
        if newer.next <= fleet.next {
            return false;
        }
        *fleet = newer;
        true
    }

    /// Tells those who wait that everything below the fleet's offset is in force here.
    pub fn announce(&self) {
        let next = self.fleet().next;
        self.next.send_if_modified(|announced| {
            let changed = *announced != next;
            *announced = next;
            changed
        });
    }

    /// Offset of the first batch that is not in force here.
    pub fn next(&self) -> Offset {
        *self.next.borrow()
    }

    /// Waits for changes.
    pub fn changes(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Notes that a read begun at `begun` found the log's end.
    pub fn record_log_read(&self, begun: Instant) {
        let mut log_read = self.log_read_at.lock().expect("no holder panics");
        *log_read = Some(begun);
        self.set_complete();
    }

    /// Whether this copy has, in this life, been known to hold all that was in force.
    pub fn is_complete(&self) -> bool {
        self.complete.load(Ordering::SeqCst)
    }

    /// Notes that this copy holds all that is in force.
    pub fn set_complete(&self) {
        self.complete.store(true, Ordering::SeqCst);
    }

    /// Age of the last read that found the log's end.
    pub fn log_age(&self, now: Instant) -> Option<Duration> {
        let log_read = self.log_read_at.lock().expect("no holder panics");
        log_read.map(|begun| now.saturating_duration_since(begun))
    }
}
