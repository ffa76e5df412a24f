//! Collects the changes to be written to the store.

use std::collections::HashSet;

use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;

use crate::batch::cell::Cell;
use crate::batch::cell::Flush;
use crate::batch::record;
use crate::batch::record::Crashes;
use crate::transport::clock;

impl Cell {
    /// Queues a record that these boxes are about to be ordered; returns the announcement's number.
    /// The order may be sent once [`Self::stored_announcement`] has reached it.
    pub fn announce_box_orders(&mut self, boxes: &HashSet<MachineId>) -> u64 {
        self.pending_records.push(record::ordered(boxes));
        self.last_announcement += 1;
        self.last_announcement
    }

    /// Number of the last announcement that is in the store.
    pub fn stored_announcement(&self) -> u64 {
        self.stored_announcement
    }

    /// Whether [`Cell::take_flush`] would return any change.
    pub fn needs_flush(&self) -> bool {
        let has_pending_ends = self.workers.with_pending_ends().next().is_some();
        !self.dirty_jobs.is_empty()
            || !self.dirty_crashes.is_empty()
            || !self.pending_records.is_empty()
            || has_pending_ends
    }

    /// Takes the changes since the last call.
    pub fn take_flush(&mut self) -> Flush {
        let records = std::mem::take(&mut self.pending_records);
        let mut flush = Flush { records, announcement: self.last_announcement, ..Flush::default() };
        for id in std::mem::take(&mut self.dirty_jobs) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            flush.records.push(record::progress(id, &entry.progress()));
            if entry.end.is_some() {
                flush.ended_jobs.push(id);
            }
        }
        for id in std::mem::take(&mut self.dirty_crashes) {
            let Some(entry) = self.jobs.get(&id) else { continue };
            let crashed = entry.crashed_tasks();
            let crashes: Crashes =
                crashed.map(|(position, task)| (position, task.crashes.clone())).collect();
            let record = match crashes.is_empty() {
                true => record::forget_crashes(id),
                false => record::crashes(id, &crashes),
            };
            flush.records.push(record);
            let counted = crashes.iter().map(|((repetition, step, index), crashes)| {
                let name =
                    TaskName { job: id, repetition: *repetition, step: *step, index: *index };
                (name, crashes.len())
            });
            flush.crashes.extend(counted);
        }
        // Only beside other changes, so that it costs no call.
        if !flush.records.is_empty()
            && let Some(stored) = self.run_times.take_for_store(clock::now())
        {
            flush.records.push(record::run_times(&stored));
        }
        for worker in self.workers.recovering() {
            flush.recovered.push(worker.peer.incarnation.clone());
        }
        for worker in self.workers.with_pending_ends() {
            let incarnation = worker.peer.incarnation.clone();
            let early_ends =
                self.early_ends.iter().filter(|early_end| early_end.worker == incarnation);
            let last_before_early = early_ends.map(|early_end| early_end.end.number - 1).min();
            flush.processed.push((
                incarnation,
                last_before_early.unwrap_or(worker.processed_end).min(worker.processed_end),
            ));
        }
        flush
    }

    /// Handles that these changes are in the store.
    pub fn on_flushed(&mut self, flush: &Flush) {
        self.stored_announcement = self.stored_announcement.max(flush.announcement);
        for id in &flush.ended_jobs {
            if let Some(entry) = self.jobs.get_mut(id) {
                entry.end_is_durable = true;
            }
        }
        for (name, crashes) in &flush.crashes {
            let task = self.jobs.get_mut(&name.job).and_then(|entry| entry.task_mut(*name));
            if let Some(task) = task {
                task.durable_crashes = *crashes;
                self.placement_pending = true;
            }
        }
        for incarnation in &flush.recovered {
            if let Some(mut worker) = self.workers.get_mut(incarnation) {
                worker.recovering = false;
            }
            self.grant_leases(incarnation);
        }
        for (incarnation, processed) in &flush.processed {
            if let Some(mut worker) = self.workers.get_mut(incarnation) {
                worker.durable_end = worker.durable_end.max(*processed);
            }
        }
    }
}
