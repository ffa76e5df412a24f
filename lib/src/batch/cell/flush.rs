//! What the store is to know.

use std::collections::HashSet;

use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;

use crate::batch::cell::Cell;
use crate::batch::cell::Flush;
use crate::batch::record;
use crate::batch::record::Crashes;

impl Cell {
    /// The store is to know that these boxes are about to be ordered; the announcement's number.
    pub fn announce(&mut self, boxes: &HashSet<MachineId>) -> u64 {
        self.roster.push(record::ordered(boxes));
        self.announcement += 1;
        self.announcement
    }

    /// Number of the last announcement that the store knows of.
    pub fn announced(&self) -> u64 {
        self.announced
    }

    /// Whether [`Cell::take_flush`] would return anything.
    pub fn needs_flush(&self) -> bool {
        let has_unsaid = self.workers.unsaid().next().is_some();
        !self.dirty.is_empty() || !self.crashed.is_empty() || !self.roster.is_empty() || has_unsaid
    }

    /// Takes the changes since the last time.
    pub fn take_flush(&mut self) -> Flush {
        let records = std::mem::take(&mut self.roster);
        let mut flush = Flush { records, announcement: self.announcement, ..Flush::default() };
        for id in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            flush.records.push(record::progress(id, &entry.progress()));
            if entry.end.is_some() {
                flush.ended.push(id);
            }
        }
        for id in std::mem::take(&mut self.crashed) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            let crashed = entry.crashed();
            let crashes: Crashes =
                crashed.map(|(place, task)| (place, task.crashes.clone())).collect();
            let record = match crashes.is_empty() {
                true => record::forget_crashes(id),
                false => record::crashes(id, &crashes),
            };
            flush.records.push(record);
            let counted = crashes.iter().map(|((time, step, index), crashes)| {
                let name = TaskName { job: id, time: *time, step: *step, index: *index };
                (name, crashes.len())
            });
            flush.crashes.extend(counted);
        }
        for worker in self.workers.reopening() {
            flush.reopened.push(worker.peer.life.clone());
        }
        for worker in self.workers.unsaid() {
            let life = worker.peer.life.clone();
            let early = self.early.iter().filter(|early| early.worker == life);
            let held = early.map(|early| early.end.number - 1).min();
            flush.processed.push((life, held.unwrap_or(worker.processed).min(worker.processed)));
        }
        flush
    }

    /// The store knows of these changes.
    pub fn on_flushed(&mut self, flush: &Flush) {
        self.announced = self.announced.max(flush.announcement);
        for id in &flush.ended {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.end_is_durable = true;
            }
        }
        for (name, crashes) in &flush.crashes {
            let task = self.jobs.get_mut(&name.job).and_then(|entry| entry.task(*name));
            if let Some(task) = task {
                task.known_crashes = *crashes;
                self.stirred = true;
            }
        }
        for life in &flush.reopened {
            if let Some(mut worker) = self.workers.get_mut(life) {
                worker.reopening = false;
            }
            self.grant(life);
        }
        for (life, processed) in &flush.processed {
            if let Some(mut worker) = self.workers.get_mut(life) {
                worker.durable = worker.durable.max(*processed);
            }
        }
    }
}
