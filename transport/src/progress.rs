//! Time limits that yield to progress: an answer that is arriving is awaited beyond its time limit,
//! since giving up on it and asking again would transfer it from its beginning.

use std::pin::pin;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::clock;

/// Time without a further byte after which an answer that began to arrive counts as stalled. Packets
/// wait up to half a second at a link in full use.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long beyond its time limit an answer may arrive: 1 MB over a link of 1 Mbit/s.
const MAX_EXTENSION: Duration = Duration::from_secs(8);

/// When the parts of an answer arrived.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the first and the last one arrived; `None` if none has.
    arrived: Mutex<Option<(Instant, Instant)>>,
}

impl Progress {
    fn arrived(&self) -> MutexGuard<'_, Option<(Instant, Instant)>> {
        self.arrived.lock().expect("no thread panics while it holds the progress lock")
    }

    /// Records that a part of the answer has arrived.
    pub fn advance(&self) {
        let now = clock::now();
        let mut arrived = self.arrived();
        let first = arrived.map_or(now, |(first, _)| first);
        *arrived = Some((first, now));
    }

    /// When the first part arrived; `None` if none has.
    pub fn started_at(&self) -> Option<Instant> {
        self.arrived().map(|(first, _)| first)
    }

    /// Time until the answer counts as stalled; zero if nothing has arrived.
    fn until_stalled(&self) -> Duration {
        let last = self.arrived().map(|(_, last)| last);
        last.map_or(Duration::ZERO, |last| STALL_TIMEOUT.saturating_sub(clock::since(last)))
    }
}

/// Awaits a future up to `limit`, and longer while `progress` is made. `None` if it is not ready by
/// then.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use std::time::Duration;
/// use spokelift_transport::progress::Progress;
/// use spokelift_transport::progress::timeout_without_progress;
/// let never = std::future::pending::<()>();
/// let limit = Duration::from_millis(1);
/// assert_eq!(timeout_without_progress(limit, &Progress::default(), never).await, None);
/// # });
/// ```
pub async fn timeout_without_progress<F: Future>(
    limit: Duration,
    progress: &Progress,
    future: F,
) -> Option<F::Output> {
    let mut future = pin!(future);
    let started_at = clock::now();
    let mut remaining = limit;
    loop {
        if let Ok(output) = timeout(remaining, &mut future).await {
            return Some(output);
        }
        let until_end = (limit + MAX_EXTENSION).saturating_sub(clock::since(started_at));
        remaining = progress.until_stalled().min(until_end);
        if remaining.is_zero() {
            return None;
        }
    }
}
