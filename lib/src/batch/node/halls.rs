//! The evacuated data halls, as far as a node knows.

use std::sync::Arc;
use std::sync::MutexGuard;

use spokelift_platform::store::Offset;

use crate::batch::evacuated_halls::EvacuatedHalls;
use crate::batch::evacuated_halls::HallNames;
use crate::batch::node::Node;

impl Node {
    /// The evacuated halls.
    pub fn evacuated_halls(&self) -> Arc<HallNames> {
        self.lock_halls().names()
    }

    /// Sets all evacuated halls: see [`EvacuatedHalls::replace`].
    pub fn replace_evacuated_halls(&self, names: HallNames, end: Offset) {
        if self.lock_halls().replace(names, end) {
            self.report_evacuated_halls();
        }
    }

    /// Evacuates a hall or takes it back: see [`EvacuatedHalls::apply`].
    pub fn set_hall_evacuated(&self, hall: &str, is_evacuated: bool, offset: Offset) {
        if self.lock_halls().apply(hall, is_evacuated, offset) {
            self.report_evacuated_halls();
        }
    }

    fn lock_halls(&self) -> MutexGuard<'_, EvacuatedHalls> {
        self.evacuated_halls.lock().expect("no thread panics while it holds the halls lock")
    }

    /// Logs a change, and has the scheduler act on it at once.
    fn report_evacuated_halls(&self) {
        let names = self.evacuated_halls();
        let names = names.iter().map(String::as_str).collect::<Vec<&str>>().join(", ");
        log::info!(halls = names.as_str(); "evacuated halls changed");
        self.counters.count("batch.hall.evacuations-changed");
        if let Some(scheduler) = self.scheduler() {
            scheduler.wake();
        }
    }
}
