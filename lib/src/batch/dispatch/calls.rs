//! Limits the concurrent calls to one worker, since each of them takes a connection.
//!
//! A worker accepts only so many connections, and goes on counting those of a node that has lost
//! power. If each node that dispatches to it leaves many behind, the worker accepts none of the
//! next one: then polls may renew its lease on a connection that was opened in time, while starts
//! and stops are rejected. So a dispatcher keeps few connections to a worker, and if the worker
//! accepts no more, all calls share one.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::time::timeout;

use crate::transport::clock;

/// Maximum number of idle connections to a worker: one for the poll that waits, and one for each of
/// the [`USUAL_ORDERS`].
pub const MAX_IDLE_CONNECTIONS: usize = 1 + USUAL_ORDERS;

/// Concurrent orders to a worker that answers in time.
const USUAL_ORDERS: usize = 2;
/// Further orders, to a worker that does not.
const EXTRA_ORDERS: usize = 6;
/// How long an order waits for the usual ones before it counts as an extra one.
const USUAL_WAIT: Duration = Duration::from_millis(20);
/// Concurrent immediate polls.
const IMMEDIATE_POLLS: usize = 2;
/// If a worker rejects two connections within this time, it is taken to accept no more. A single one
/// may have been reset.
const REJECTION_INTERVAL: Duration = Duration::from_secs(2);
/// How long calls then share one connection before another is tried.
const SHARED_TIME: Duration = Duration::from_secs(5);

/// Permission to make a call; the next one is permitted when this is dropped.
pub(super) type Permit<'a> = SemaphorePermit<'a>;

/// The concurrent calls to one worker.
pub(super) struct Limit {
    usual_orders: Semaphore,
    extra_orders: Semaphore,
    immediate_polls: Semaphore,
    /// For all calls, while they share one connection.
    shared: Semaphore,
    rejections: Mutex<Rejections>,
}

/// Connections that the worker rejected.
#[derive(Default)]
struct Rejections {
    last_at: Option<Instant>,
    /// Until when all calls share one connection.
    shared_until: Option<Instant>,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            usual_orders: Semaphore::new(USUAL_ORDERS),
            extra_orders: Semaphore::new(EXTRA_ORDERS),
            immediate_polls: Semaphore::new(IMMEDIATE_POLLS),
            shared: Semaphore::new(1),
            rejections: Mutex::default(),
        }
    }
}

impl Limit {
    fn rejections(&self) -> MutexGuard<'_, Rejections> {
        self.rejections.lock().expect("no thread panics while it holds the rejections lock")
    }

    /// Whether all calls to the worker share one connection for now.
    pub(super) fn is_shared(&self) -> bool {
        self.rejections().shared_until.is_some_and(|until| clock::now() < until)
    }

    /// Waits until an order may be sent.
    pub(super) async fn permit_order(&self) -> Permit<'_> {
        if self.is_shared() {
            return acquire(&self.shared).await;
        }
        if let Ok(permit) = timeout(USUAL_WAIT, acquire(&self.usual_orders)).await {
            return permit;
        }
        tokio::select! {
            permit = acquire(&self.usual_orders) => permit,
            permit = acquire(&self.extra_orders) => permit,
        }
    }

    /// Waits until a poll may be sent that the worker answers at once.
    pub(super) async fn permit_immediate_poll(&self) -> Permit<'_> {
        acquire(if self.is_shared() { &self.shared } else { &self.immediate_polls }).await
    }

    /// Waits until the next regular poll may be sent. `None` if it needs no permit: there is only
    /// one at a time.
    pub(super) async fn permit_regular_poll(&self) -> Option<Permit<'_>> {
        match self.is_shared() {
            true => Some(acquire(&self.shared).await),
            false => None,
        }
    }

    /// Records that the worker rejected a new connection; returns whether calls share one from now
    /// on that did not before.
    pub(super) fn record_rejection(&self) -> bool {
        let now = clock::now();
        let mut rejections = self.rejections();
        let is_repeated = rejections.last_at.is_some_and(|at| now - at < REJECTION_INTERVAL);
        rejections.last_at = Some(now);
        if !is_repeated {
            return false;
        }
        let shared_until = rejections.shared_until.replace(now + SHARED_TIME);
        shared_until.is_none_or(|until| until <= now)
    }
}

async fn acquire(semaphore: &Semaphore) -> SemaphorePermit<'_> {
    semaphore.acquire().await.expect("the semaphore is never closed")
}
