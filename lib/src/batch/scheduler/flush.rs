//! Writes changes to the store.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::store::Guard;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::cell::Flush;
use crate::batch::dispatch::message::Command;
use crate::batch::record;
use crate::batch::scheduler::PRODUCER_NAME;
use crate::batch::scheduler::RETRY_DELAY;
use crate::batch::scheduler::STORE_TIMEOUT;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Changes within this time are written in one append.
const FLUSH_DELAY: Duration = Duration::from_millis(12);

/// Writes changes to the store in order; each write is retried until it succeeds.
pub(super) async fn flush(scheduler: Arc<Scheduler>) {
    let mut sequence = 0;
    loop {
        scheduler.flush_wake.notified().await;
        sleep(FLUSH_DELAY).await;
        let changes = scheduler.cell().take_flush();
        if !changes.records.is_empty() {
            sequence += 1;
            scheduler.store_latency().start_change(clock::now());
            if !write(&scheduler, record::PROGRESS_TOPIC, &changes.records, sequence).await {
                return;
            }
            scheduler.store_latency().finish_change(clock::now());
        }
        scheduler.cell().on_flushed(&changes);
        acknowledge_ends(&scheduler, &changes);
        if !changes.crashes.is_empty() || !changes.recovered.is_empty() {
            scheduler.wake();
        }
        scheduler.flush_count.send_modify(|count| *count += 1);
    }
}

/// Acknowledges ends whose effect is in the store to the workers, through their dispatchers.
fn acknowledge_ends(scheduler: &Scheduler, changes: &Flush) {
    let cell = scheduler.cell();
    for (incarnation, end) in &changes.processed {
        if let Some(worker) = cell.workers.get(incarnation) {
            let number = worker.number;
            scheduler.shards.send(number, Command::AcknowledgeEnds { number, end: *end });
        }
    }
}

/// Appends records to a topic to which only schedulers write, and retries until that succeeds; `false` if a newer
/// scheduler has fenced this one off. `sequence` numbers the writes of this scheduler to the topic.
pub async fn write(scheduler: &Scheduler, topic: &str, records: &[Record], sequence: u64) -> bool {
    loop {
        let producer =
            Producer { name: PRODUCER_NAME.to_owned(), epoch: scheduler.token, sequence };
        let guard = Guard::Producer(producer);
        match scheduler.node.append(topic, records, &guard, STORE_TIMEOUT).await {
            Ok(_) => return true,
            Err(error) if error.status() == Some(409) => {
                log::warn!("the store rejected a write: fenced off by a newer scheduler: {error}");
                scheduler.cell().is_fenced = true;
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.flush.failed");
                log::debug!("writing to topic {topic} failed: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
