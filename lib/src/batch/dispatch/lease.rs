//! How long a dispatcher may act without an acknowledgement of its scheduler.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::transport::clock;

/// How long a dispatcher may act after it sent a report that the scheduler acknowledged. It spans several heartbeats,
/// so that a scheduler that is late by a second does not stop its dispatchers. It is far shorter than a worker lease:
/// if a dispatcher is lost, the tasks of its workers may have to wait that much longer.
pub const DISPATCH_LEASE: Duration = Duration::from_millis(1_500);

/// Until when a dispatcher may start tasks and renew worker leases.
///
/// An acknowledged report extends it, from the time at which the report was sent. The scheduler acknowledged it later
/// than that, so [`DISPATCH_LEASE`] after its last acknowledgement the lease has certainly expired.
pub struct Lease {
    /// `None` on the scheduler's own node, which stops its dispatcher itself; inside, `None` before the first
    /// acknowledgement.
    valid_until: Option<Mutex<Option<Instant>>>,
}

impl Lease {
    /// A lease that does not expire; the dispatcher acts until it is stopped.
    pub fn unbounded() -> Lease {
        Lease { valid_until: None }
    }

    /// A lease that is not valid before it is extended.
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

    /// Extends the lease: a report that was sent at `sent` is acknowledged.
    pub fn extend(&self, sent: Instant) {
        self.extend_until(sent + DISPATCH_LEASE);
    }

    /// Extends the lease until `until`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// let lease = Lease::bounded();
    /// lease.extend_until(Instant::now() + Duration::from_secs(60));
    /// assert!(lease.is_valid());
    /// ```
    pub fn extend_until(&self, until: Instant) {
        if let Some(valid_until) = &self.valid_until {
            let mut valid_until =
                valid_until.lock().expect("no thread panics while it holds the lease lock");
            *valid_until = (*valid_until).max(Some(until));
        }
    }

    /// Whether the dispatcher may act now.
    pub fn is_valid(&self) -> bool {
        let Some(until) = &self.valid_until else { return true };
        let until = *until.lock().expect("no thread panics while it holds the lease lock");
        until.is_some_and(|until| clock::now() < until)
    }
}
