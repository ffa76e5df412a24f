//! When boxes may be ordered: the order window of the leader, and the announcement in the store that comes first.

use std::collections::HashSet;
use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::machine;
use spokelift_platform::machine::MachineId;
use tokio::time::timeout;

use crate::batch::order_window::is_sole_leader;
use crate::batch::scheduler::Scheduler;
use crate::batch::store_latency;
use crate::transport::clock;

/// How long orders to boxes wait until the store has their announcement; a slow store takes about 0.4 s.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);

impl Scheduler {
    /// Whether boxes may be ordered now, apart from those on hold: the order window of an earlier leader must have
    /// ended some time ago, and that of a later one cannot have started.
    pub fn may_order_boxes(&self) -> bool {
        let now = clock::now();
        self.order_window.may_order(now) && is_sole_leader(self.cell().renewed_at, now)
    }

    /// Records the answer to an order to a box.
    pub fn record_order_answer(&self, id: &str, answer: &Result<(), CallError>) {
        self.node.record_machines_result(answer);
        if machine::has_reached_machine(answer) {
            self.order_window.settle(id);
        }
    }

    /// Makes sure that the store has an announcement of orders to these boxes; `false` if it did not get it in time.
    pub async fn announce_orders(&self, boxes: &[MachineId]) -> bool {
        self.update_announced();
        let Some(all) = self.order_window.required_announcement(boxes, clock::now()) else {
            return true;
        };
        let number = self
            .order_window
            .pending_announcement(boxes)
            .unwrap_or_else(|| self.start_announcement(all));
        let mut flushed = self.flush_count.subscribe();
        let stored = async {
            while self.cell().stored_announcement() < number {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(ANNOUNCE_TIMEOUT, stored).await.is_err() {
            self.node.counters.count("batch.machines.not-announced");
            log::debug!(
                "the announcement of orders to {} boxes did not reach the store in time",
                boxes.len()
            );
            return false;
        }
        self.update_announced();
        true
    }

    /// Starts writing an announcement of orders to these boxes; returns its number.
    fn start_announcement(&self, boxes: HashSet<MachineId>) -> u64 {
        let number = self.cell().announce_box_orders(&boxes);
        self.order_window.start_announcement(number, boxes);
        self.wake_flush();
        number
    }

    fn update_announced(&self) {
        let announced = self.cell().stored_announcement();
        self.order_window.confirm_announcement(announced);
    }

    /// While the store is slow, announces every box in advance, so that orders do not wait for it.
    pub fn announce_in_advance(&self, every: impl FnOnce() -> HashSet<MachineId>) {
        let is_slow = self.store_latency().is_slow(clock::now());
        let boxes = if is_slow { every() } else { HashSet::new() };
        let Some(all) = self.order_window.set_pre_announced(boxes, clock::now()) else { return };
        log::info!(late = is_slow, boxes = all.len(); "boxes announced in advance");
        if is_slow {
            self.node.counters.count("batch.machines.announced-ahead");
        }
        self.start_announcement(all);
    }

    /// How long the store takes to write changes.
    pub(super) fn store_latency(&self) -> MutexGuard<'_, store_latency::StoreLatency> {
        self.store_latency.lock().expect("no thread panics while it holds the latency lock")
    }
}
