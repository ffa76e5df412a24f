//! When boxes may be ordered: the holder's turn, and what the store is to know before.

use std::collections::HashSet;
use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_platform::machine::MachineId;
use tokio::time::timeout;

use crate::batch::order_window::is_sole_leader;
use crate::batch::scheduler::Scheduler;
use crate::batch::store_latency;
use crate::transport::clock;

/// How long orders about boxes wait for the store to know of them; a slow one takes about 0.4 s.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);

impl Scheduler {
    /// Whether orders about machines may be given now, but for those that are left alone: the turn
    /// of an earlier holder must be over for some time, and that of a later one cannot have begun.
    pub fn may_order_boxes(&self) -> bool {
        let now = clock::now();
        self.order_window.may_order(now) && is_sole_leader(self.cell().renewed_at, now)
    }

    /// Makes sure that the store knows that boxes are about to be ordered; `false` if it does not.
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
        let known = async {
            while self.cell().stored_announcement() < number {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(ANNOUNCE_TIMEOUT, known).await.is_err() {
            self.node.counters.count("batch.machines.not-announced");
            log::debug!("the store does not know of {} orders about boxes in time", boxes.len());
            return false;
        }
        self.update_announced();
        true
    }

    /// Has the store told of boxes that may be ordered; returns the announcement's number.
    fn start_announcement(&self, boxes: HashSet<MachineId>) -> u64 {
        let number = self.cell().announce_box_orders(&boxes);
        self.order_window.begin_announcement(number, boxes);
        self.wake_flush();
        number
    }

    fn update_announced(&self) {
        let announced = self.cell().stored_announcement();
        self.order_window.confirm_announcement(announced);
    }

    /// While the store is late every box is announced ahead, so that orders do not wait for it.
    pub fn announce_ahead(&self, every: impl FnOnce() -> HashSet<MachineId>) {
        let late = self.store_pace().is_slow(clock::now());
        let boxes = if late { every() } else { HashSet::new() };
        let Some(all) = self.order_window.set_pre_announced(boxes, clock::now()) else { return };
        log::info!(late, boxes = all.len(); "boxes announced ahead");
        if late {
            self.node.counters.count("batch.machines.announced-ahead");
        }
        self.start_announcement(all);
    }

    /// How fast the store takes changes.
    pub(super) fn store_pace(&self) -> MutexGuard<'_, store_latency::StoreLatency> {
        self.store_pace.lock().expect("no holder of the pace panics")
    }
}
