//! How long a dispatcher may act without an acknowledgement of its scheduler.
//!
//! The scheduler's own node may act until another node may claim the leader lease. The dispatchers on
//! other nodes may not act for longer than that, so an acknowledgement says for how long it holds.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::WorkerMs;

use crate::batch::worker::WORKER_LEASE;
use crate::transport::clock;

/// How long a dispatcher may act after it sent a report that the scheduler acknowledged. It spans several heartbeats,
/// so that a scheduler that is late by a second does not stop its dispatchers. It is far shorter than a worker lease:
/// if a dispatcher is lost, the tasks of its workers may have to wait that much longer.
pub const DISPATCH_LEASE: Duration = Duration::from_millis(1_500);

/// Until when a dispatcher may start tasks and renew worker leases.
///
/// An acknowledged report extends it, from the time at which the report was sent. The scheduler acknowledged it later
/// than that, so [`DISPATCH_LEASE`] after its last acknowledgement the lease has certainly expired.
#[derive(Default)]
pub struct Lease {
    /// `None` before the first extension.
    valid_until: Mutex<Option<Instant>>,
}

impl Lease {
    /// Extends the lease until `until`. It is not valid before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// let lease = Lease::default();
    /// assert!(lease.check().is_none());
    /// lease.extend_until(Instant::now() + Duration::from_secs(60));
    /// assert!(lease.check().is_some());
    /// ```
    pub fn extend_until(&self, until: Instant) {
        let mut valid_until = self.lock();
        *valid_until = (*valid_until).max(Some(until));
    }

    /// Extends the lease until `until` if it is valid at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// let (lease, now) = (Lease::default(), Instant::now());
    /// let second = Duration::from_secs(1);
    /// lease.extend_until(now + second);
    /// lease.extend_if_valid(now, now + second * 2);
    /// assert_eq!(lease.remaining(now), second * 2);
    /// lease.extend_if_valid(now + second * 3, now + second * 4);
    /// assert_eq!(lease.remaining(now), second * 2);
    /// ```
    pub fn extend_if_valid(&self, now: Instant, until: Instant) {
        let mut valid_until = self.lock();
        if valid_until.is_some_and(|valid_until| now < valid_until) {
            *valid_until = (*valid_until).max(Some(until));
        }
    }

    /// For how long the dispatcher may act from `now` on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// let (lease, now) = (Lease::default(), Instant::now());
    /// assert_eq!(lease.remaining(now), Duration::ZERO);
    /// lease.extend_until(now + Duration::from_secs(2));
    /// assert_eq!(lease.remaining(now + Duration::from_secs(1)), Duration::from_secs(1));
    /// ```
    pub fn remaining(&self, now: Instant) -> Duration {
        self.lock().map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// The present time, if the dispatcher may act now.
    pub fn check(&self) -> Option<Validity> {
        let at = clock::now();
        (!self.remaining(at).is_zero()).then_some(Validity { at })
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.valid_until.lock().expect("no thread panics while it holds the lease lock")
    }
}

/// A time at which a dispatcher was allowed to act. The leases that it then requests count from this
/// time, however long its process is suspended or waits for the processor meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Validity {
    at: Instant,
}

impl Validity {
    /// The time.
    pub fn at(self) -> Instant {
        self.at
    }

    /// The end of a worker's lease that lasts [`WORKER_LEASE`] from this time on, by the clock of the
    /// worker, which was received with the reading `clock`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::dispatch::lease::Lease;
    /// use spokelift_lib::batch::worker::WORKER_LEASE;
    /// let (lease, second) = (Lease::default(), Duration::from_secs(1));
    /// lease.extend_until(Instant::now() + second);
    /// let validity = lease.check().unwrap();
    /// let lease_ms = WORKER_LEASE.as_millis() as u64;
    /// assert_eq!(validity.worker_lease(8_000, validity.at() - second), 9_000 + lease_ms);
    /// assert_eq!(validity.worker_lease(8_000, validity.at() + second), 7_000 + lease_ms);
    /// ```
    pub fn worker_lease(self, clock: WorkerMs, received_at: Instant) -> WorkerMs {
        let millis = |time: Duration| time.as_millis() as WorkerMs;
        let age = self.at.saturating_duration_since(received_at);
        let early = received_at.saturating_duration_since(self.at);
        (clock + millis(age) + millis(WORKER_LEASE)).saturating_sub(millis(early))
    }
}
