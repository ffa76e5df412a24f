//! How long a carrier may act without hearing from its scheduler.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::transport::clock;

/// How long a carrier acts after it has sent a report that the scheduler then acknowledged. Several
/// heartbeats, so that a scheduler which is late by a second does not stop its carriers, and far less
/// than a lease, by which the work of a lost carrier's workers may have to wait longer.
pub const DISPATCH_LEASE: Duration = Duration::from_millis(1_500);

/// Until when a carrier may start tasks and extend leases.
///
/// It is extended from the moment at which a report was sent, once that is acknowledged. The scheduler
/// acknowledged it later, so [`DISPATCH_LEASE`] after its last acknowledgement it is over for certain.
pub struct Lease {
    /// None for the scheduler's own node, which ends its carrier itself.
    valid_until: Option<Mutex<Option<Instant>>>,
}

impl Lease {
    /// One that holds as long as the carrier is not ended.
    pub fn unbounded() -> Lease {
        Lease { valid_until: None }
    }

    /// One that does not hold before it is extended.
    ///
    /// ```
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// let lease = Lease::bounded();
    /// assert!(!lease.is_valid());
    /// lease.extend(Instant::now());
    /// assert!(lease.is_valid());
    /// ```
    pub fn bounded() -> Lease {
        Lease { valid_until: Some(Mutex::new(None)) }
    }

    /// A report that was sent at `sent` is acknowledged.
    pub fn extend(&self, sent: Instant) {
        if let Some(until) = &self.valid_until {
            let mut until = until.lock().expect("no holder of the time panics");
            *until = (*until).max(Some(sent + DISPATCH_LEASE));
        }
    }

    /// Whether the carrier may act now.
    pub fn is_valid(&self) -> bool {
        let Some(until) = &self.valid_until else { return true };
        let until = *until.lock().expect("no holder of the time panics");
        until.is_some_and(|until| clock::now() < until)
    }
}
