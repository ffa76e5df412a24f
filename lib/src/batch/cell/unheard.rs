//! Workers that no scheduler has heard of since an earlier one was lost, and for how long.
//!
//! What such a worker may run waits for its leases. Each scheduler tells the store for how long it has not heard of the
//! worker, so that the next one waits for what is left only, however often the lead passes on. That is right as long as
//! nobody extends the leases: a scheduler grants none before the worker has answered it, nor while the store has a record of
//! this kind.

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::worker::Life;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::record;
use crate::batch::worker::Worker;

/// Time between two records of one worker. Nearly all workers answer a new scheduler sooner.
const TELL_UNHEARD: Duration = Duration::from_millis(500);

impl Cell {
    /// The store is to know for how long workers have not been heard of that this scheduler has not reached.
    pub(super) fn note_unheard(&mut self, now: Instant) {
        let is_due = |worker: &&Worker| {
            worker.clock.is_none() && worker.unheard_for(now) >= worker.unheard_told + TELL_UNHEARD
        };
        let due = self.unasked.iter().filter_map(|life| self.workers.get(life)).filter(is_due);
        let due: Vec<Life> = due.map(|worker| worker.peer.life.clone()).collect();
        for life in due {
            let Some(mut worker) = self.workers.get_mut(&life) else { continue };
            worker.unheard_told = worker.unheard_for(now);
            self.roster.push(record::unheard(&life, worker.unheard_told));
        }
    }

    /// Takes over for how long earlier schedulers had not heard of workers.
    pub fn restore_unheard(&mut self, unheard: Vec<(Life, Duration)>) {
        for (life, time) in unheard {
            match self.workers.get_mut(&life) {
                Some(mut worker) => {
                    worker.unheard = time;
                    worker.unheard_told = time;
                }
                None => self.roster.push(record::forget_unheard(&life)),
            }
        }
    }

    /// A worker has answered: it is granted leases, but not before the store has let go of what says that nobody has
    /// heard of it.
    pub(super) fn note_heard(&mut self, life: &Life) {
        let Some(mut worker) = self.workers.get_mut(life).filter(|worker| !worker.granted) else {
            return;
        };
        if worker.unheard_told.is_zero() && !worker.reopening {
            drop(worker);
            self.grant(life);
        } else {
            worker.reopening = true;
            worker.unheard_told = Duration::ZERO;
            self.roster.push(record::forget_unheard(life));
        }
    }

    /// From now on a worker's carrier extends its leases.
    pub(super) fn grant(&mut self, life: &Life) {
        let Some(mut worker) = self.workers.get_mut(life).filter(|worker| !worker.granted) else {
            return;
        };
        worker.granted = true;
        self.outbox.push(Order::Grant { peer: worker.peer.clone() });
    }
}
