//! Publishes the outlook of the services, and confirms what nodes would refuse by it.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::machine::Machine;
use tokio::time::sleep;

use crate::batch::caller::Caller;
use crate::batch::cell::Cell;
use crate::batch::outlook::Outlook;
use crate::batch::outlook::measure;
use crate::batch::outlook::published::Published;
use crate::batch::peer::Reply;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::transport::clock;

/// Time between two outlooks while a service is short.
const INTERVAL: Duration = Duration::from_millis(250);

impl Scheduler {
    fn published(&self) -> MutexGuard<'_, Published> {
        self.outlook.lock().expect("no thread panics while it holds the outlook lock")
    }

    /// Records the boxes of the site.
    pub fn set_boxes(&self, boxes: &[Machine]) {
        let cpu = boxes.iter().map(|machine| u64::from(machine.capacity.cpu)).sum();
        self.published().site_cpu = Some(cpu);
    }

    /// Publishes an outlook at intervals while a service is short, and once more when that ends.
    pub(super) async fn publish_outlooks(self: Arc<Self>) {
        let multiple = self.node.options.refuse_after_objectives;
        if multiple == 0 {
            return;
        }
        loop {
            sleep(INTERVAL).await;
            if let Some(outlook) = self.make_outlook(multiple, clock::now()) {
                self.node.set_outlook(outlook);
            }
        }
    }

    /// The outlook to publish now; `None` if there is nothing to tell, or this scheduler cannot be
    /// certain of it.
    fn make_outlook(&self, multiple: u32, now: Instant) -> Option<Outlook> {
        let site_cpu = self.published().site_cpu;
        let boxes_known = self.node.machines.is_none() || site_cpu.is_some();
        let services = {
            let cell = self.cell();
            if !boxes_known || !self.is_certain(&cell, now) {
                return None;
            }
            measure::services(&cell, site_cpu, multiple, now, wall_clock())
        };
        let number = self.published().next(!services.is_empty(), now)?;
        let incarnation = self.node.incarnation;
        Some(Outlook { leader: self.token, incarnation, number, age_ms: 0, services })
    }

    /// Whether this scheduler is certain to be the only one, and to know the jobs and workers.
    fn is_certain(&self, cell: &Cell, now: Instant) -> bool {
        let knows_all = cell.known_everywhere_from.is_some_and(|from| now >= from);
        let has_polled_all = cell.unpolled.is_empty();
        // Jobs may be written without their nodes' knowledge while the store is slow or loses answers.
        let store_answers = !self.store_latency().is_slow(now);
        cell.is_sole_leader(now) && knows_all && has_polled_all && store_answers
    }

    /// Answers whether a job may be refused by the outlook of this number: it is not known here,
    /// and its account does not use less than its fair share.
    pub(super) fn may_refuse(&self, id: JobId, caller: &Caller, outlook: u64) -> Reply {
        let now = clock::now();
        if self.published().age(outlook, now).is_none() {
            return Reply::NotReady;
        }
        let cell = self.cell();
        if !self.is_certain(&cell, now) {
            return Reply::NotReady;
        }
        match measure::confirm_refusal(&cell, id, caller.account(), wall_clock()) {
            Some(is_over_rate) => Reply::Refusable { is_over_rate },
            None => Reply::NotReady,
        }
    }
}
