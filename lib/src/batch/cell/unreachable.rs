//! Workers that no scheduler has had an answer from since an earlier scheduler failed, and for how
//! long.
//!
//! The tasks such a worker may run are not started elsewhere before its leases expire. Each
//! scheduler records in the store for how long it has had no answer, so that the next one only
//! waits for the rest, however often the leader changes. This is correct as long as nobody renews
//! the leases: a scheduler renews none before the worker has answered it, nor while the store holds
//! such a record.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::record;
use crate::batch::worker::Worker;

/// Interval between two records of one worker. Nearly all workers answer a new scheduler sooner.
const UNREACHABLE_RECORD_INTERVAL: Duration = Duration::from_millis(500);

impl Cell {
    /// Queues records of how long workers that this scheduler has not reached yet have been
    /// unreachable.
    pub(super) fn record_unreachable(&mut self, now: Instant) {
        let is_due = |worker: &&Worker| {
            worker.clock.is_none()
                && worker.unreachable_for(now)
                    >= worker.recorded_unreachable + UNREACHABLE_RECORD_INTERVAL
        };
        let due = self
            .unpolled
            .iter()
            .filter_map(|incarnation| self.workers.get(incarnation))
            .filter(is_due);
        let due: Vec<Incarnation> = due.map(|worker| worker.peer.incarnation.clone()).collect();
        for incarnation in due {
            let Some(mut worker) = self.workers.get_mut(&incarnation) else { continue };
            worker.recorded_unreachable = worker.unreachable_for(now);
            self.pending_records
                .push(record::unreachable(&incarnation, worker.recorded_unreachable));
        }
    }

    /// Restores for how long earlier schedulers had no answer from workers; forgets the records of
    /// workers that are not known.
    pub fn restore_unreachable(&mut self, unreachable: Vec<(Incarnation, Duration)>) {
        for (incarnation, duration) in unreachable {
            match self.workers.get_mut(&incarnation) {
                Some(mut worker) => {
                    worker.unreachable_before = duration;
                    worker.recorded_unreachable = duration;
                }
                None => self.pending_records.push(record::forget_unreachable(&incarnation)),
            }
        }
    }

    /// Handles an answer of a worker: its leases are renewed from now on, but only once the store
    /// no longer holds a record that it is unreachable or unresponsive.
    pub(super) fn clear_unreachable(&mut self, incarnation: &Incarnation) {
        let Some(mut worker) =
            self.workers.get_mut(incarnation).filter(|worker| !worker.renews_lease)
        else {
            return;
        };
        if worker.recorded_unreachable.is_zero() && !worker.recovering {
            drop(worker);
            self.grant_leases(incarnation);
        } else {
            worker.recovering = true;
            worker.recorded_unreachable = Duration::ZERO;
            self.pending_records.push(record::forget_unreachable(incarnation));
        }
    }

    /// Allows a worker's dispatcher to renew its leases from now on.
    pub(super) fn grant_leases(&mut self, incarnation: &Incarnation) {
        let Some(mut worker) =
            self.workers.get_mut(incarnation).filter(|worker| !worker.renews_lease)
        else {
            return;
        };
        worker.renews_lease = true;
        self.outbox.push(Order::Grant { peer: worker.peer.clone() });
    }
}
