//! Workers that no scheduler has heard of since an earlier one was lost, and for how long.
//!
//! What such a worker may run waits for its leases. Each scheduler tells the store for how long it has not heard of the
//! worker, so that the next one waits for what is left only, however often the lead passes on. That is right as long as
//! nobody extends the leases: a scheduler grants none before the worker has answered it, nor while the store has a record of
//! this kind.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::record;
use crate::batch::worker::Worker;

/// Time between two records of one worker. Nearly all workers answer a new scheduler sooner.
const UNREACHABLE_RECORD_INTERVAL: Duration = Duration::from_millis(500);

impl Cell {
    /// The store is to know for how long workers have not been heard of that this scheduler has not reached.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        let is_due = |worker: &&Worker| {
            worker.clock.is_none()
                && worker.unreachable_for(now)
                    >= worker.recorded_unreachable + UNREACHABLE_RECORD_INTERVAL
        };
        let due = self.unpolled.iter().filter_map(|life| self.workers.get(life)).filter(is_due);
        let due: Vec<Incarnation> = due.map(|worker| worker.peer.incarnation.clone()).collect();
        for life in due {
            let Some(mut worker) = self.workers.get_mut(&life) else { continue };
            worker.recorded_unreachable = worker.unreachable_for(now);
            self.pending_records.push(record::unreachable(&life, worker.recorded_unreachable));
        }
    }

    /// Takes over for how long earlier schedulers had not heard of workers.
    pub fn restore_unreachable(&mut self, unheard: Vec<(Incarnation, Duration)>) {
        for (life, time) in unheard {
            match self.workers.get_mut(&life) {
                Some(mut worker) => {
                    worker.unreachable_before = time;
                    worker.recorded_unreachable = time;
                }
                None => self.pending_records.push(record::forget_unreachable(&life)),
            }
        }
    }

    /// A worker has answered: it is granted leases, but not before the store has let go of what says that nobody has
    /// heard of it.
    pub(super) fn clear_unreachable(&mut self, life: &Incarnation) {
        let Some(mut worker) = self.workers.get_mut(life).filter(|worker| !worker.renews_lease)
        else {
            return;
        };
        if worker.recorded_unreachable.is_zero() && !worker.recovering {
            drop(worker);
            self.grant_leases(life);
        } else {
            worker.recovering = true;
            worker.recorded_unreachable = Duration::ZERO;
            self.pending_records.push(record::forget_unreachable(life));
        }
    }

    /// From now on a worker's carrier extends its leases.
    pub(super) fn grant_leases(&mut self, life: &Incarnation) {
        let Some(mut worker) = self.workers.get_mut(life).filter(|worker| !worker.renews_lease)
        else {
            return;
        };
        worker.renews_lease = true;
        self.outbox.push(Order::Grant { peer: worker.peer.clone() });
    }
}
