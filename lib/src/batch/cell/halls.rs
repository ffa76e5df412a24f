//! Evacuated data halls: their workers get nothing new.

use std::sync::Arc;

use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::evacuated_halls::HallNames;

impl Cell {
    /// The evacuated halls.
    pub fn evacuated_halls(&self) -> &Arc<HallNames> {
        &self.evacuated_halls
    }

    /// Sets the evacuated halls. What runs there goes on.
    pub fn set_evacuated_halls(&mut self, halls: Arc<HallNames>) {
        if *self.evacuated_halls == *halls {
            return;
        }
        for hall in halls.difference(&self.evacuated_halls) {
            let workers = self.workers.values().filter(|worker| worker.entry.hall == *hall).count();
            log::info!(hall = hall.as_str(), workers; "hall evacuated: nothing new is started there");
        }
        for hall in self.evacuated_halls.difference(&halls) {
            log::info!(hall = hall.as_str(); "hall taken back");
        }
        self.workers.for_each_mut(|worker| {
            worker.hall_evacuated = halls.contains(&worker.entry.hall);
        });
        self.evacuated_halls = halls;
        self.request_placement();
    }

    /// Updates whether a worker stands in an evacuated hall, after its entry has changed.
    pub(super) fn update_hall(&mut self, incarnation: &Incarnation) {
        let Some(worker) = self.workers.get(incarnation) else { return };
        let hall_evacuated = self.evacuated_halls.contains(&worker.entry.hall);
        if worker.hall_evacuated != hall_evacuated
            && let Some(mut worker) = self.workers.get_mut(incarnation)
        {
            worker.hall_evacuated = hall_evacuated;
        }
    }
}
