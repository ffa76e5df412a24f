//! Follows the workers that the store lists.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::store::Offset;
use spokelift_platform::store::WORKER_TOPIC;
use tokio::time::sleep;

use crate::batch::scheduler::STORE_TIMEOUT;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::load::apply_worker_entry;
use crate::batch::scheduler::load::load_workers;
use crate::batch::scheduler::rebalance::assign_unassigned;
use crate::transport::clock;

/// Time between reads of the worker topic. A worker that drains must get nothing new after 2 s. A worker that
/// joins a pool is discovered up to this much later.
const WORKERS_READ_INTERVAL: Duration = Duration::from_millis(150);
/// How long after a store outage a worker that the store does not list may still get tasks: the platform lists
/// live workers again within about two seconds.
const RELIST_GRACE: Duration = Duration::from_millis(2_300);

/// Follows the worker topic; reads all of it again if the store has truncated it beyond the current offset.
pub(super) async fn follow_workers(scheduler: Arc<Scheduler>, mut from: Offset) {
    let mut unlisted_grace_until = None;
    loop {
        sleep(WORKERS_READ_INTERVAL).await;
        match scheduler.node.read_topic(WORKER_TOPIC, from, Duration::ZERO, STORE_TIMEOUT).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                let mut is_new = false;
                for record in &page.records {
                    is_new |= apply_worker_entry(&scheduler, record, unlisted_grace_until);
                }
                if is_new {
                    assign_unassigned(&scheduler);
                }
                if !page.records.is_empty() {
                    scheduler.wake();
                }
            }
            Err(error) if error.status() == Some(410) => {
                match load_workers(&scheduler, unlisted_grace_until).await {
                    Ok(end) => {
                        from = end;
                        assign_unassigned(&scheduler);
                    }
                    Err(error) => log::warn!("reading the worker topic failed: {error}"),
                }
            }
            Err(error) => {
                unlisted_grace_until = Some(clock::now() + RELIST_GRACE);
                log::debug!("following the worker topic failed: {error}");
            }
        }
    }
}
