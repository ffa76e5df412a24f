//! When boxes may be ordered: the holder's turn, and what the store is to know before.

use std::collections::HashSet;
use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_platform::machine::MachineId;
use tokio::time::timeout;

use crate::batch::announce;
use crate::batch::scheduler::Scheduler;
use crate::batch::turn::is_sole_holder;
use crate::transport::clock;

/// How long orders about boxes wait for the store to know of them; a slow one takes about 0.4 s.
const ANNOUNCE: Duration = Duration::from_millis(900);

impl Scheduler {
    /// Whether orders about machines may be given now, but for those that are left alone: the turn
    /// of an earlier holder must be over for some time, and that of a later one cannot have begun.
    pub fn may_order_machines(&self) -> bool {
        let now = clock::now();
        self.turn.may_order(now) && is_sole_holder(self.cell().renewed_at, now)
    }

    /// Makes sure that the store knows that boxes are about to be ordered; `false` if it does not.
    pub async fn announce(&self, boxes: &[MachineId]) -> bool {
        self.note_announced();
        let Some(all) = self.turn.unannounced(boxes, clock::now()) else { return true };
        let number = self.turn.awaited(boxes).unwrap_or_else(|| self.tell_store(all));
        let mut flushed = self.flushed.subscribe();
        let known = async {
            while self.cell().announced() < number {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(ANNOUNCE, known).await.is_err() {
            self.node.counters.count("batch.machines.not-announced");
            log::debug!("the store does not know of {} orders about boxes in time", boxes.len());
            return false;
        }
        self.note_announced();
        true
    }

    /// Has the store told of boxes that may be ordered; returns the announcement's number.
    fn tell_store(&self, boxes: HashSet<MachineId>) -> u64 {
        let number = self.cell().announce(&boxes);
        self.turn.begin_announcement(number, boxes);
        self.kick_flush();
        number
    }

    fn note_announced(&self) {
        let announced = self.cell().announced();
        self.turn.note_announced(announced);
    }

    /// While the store is late every box is announced ahead, so that orders do not wait for it.
    pub fn announce_ahead(&self, every: impl FnOnce() -> HashSet<MachineId>) {
        let late = self.store_pace().is_late(clock::now());
        let boxes = if late { every() } else { HashSet::new() };
        let Some(all) = self.turn.announce_ahead(boxes, clock::now()) else { return };
        log::info!(late, boxes = all.len(); "boxes announced ahead");
        if late {
            self.node.counters.count("batch.machines.announced-ahead");
        }
        self.tell_store(all);
    }

    /// How fast the store takes changes.
    pub(super) fn store_pace(&self) -> MutexGuard<'_, announce::Pace> {
        self.store_pace.lock().expect("no holder of the pace panics")
    }
}
