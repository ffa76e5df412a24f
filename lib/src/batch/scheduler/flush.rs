//! Writing changes to the store.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::store::Guard;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::carry::message::Command;
use crate::batch::cell::Flush;
use crate::batch::record;
use crate::batch::scheduler::CALL;
use crate::batch::scheduler::PAUSE;
use crate::batch::scheduler::PRODUCER;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Changes within this time go to the store in one append.
const GATHER: Duration = Duration::from_millis(12);

/// Writes changes to the store, in order, each until it is done.
pub(super) async fn flush(scheduler: Arc<Scheduler>) {
    let mut sequence = 0;
    loop {
        scheduler.flush.notified().await;
        sleep(GATHER).await;
        let changes = scheduler.cell().take_flush();
        if !changes.records.is_empty() {
            sequence += 1;
            scheduler.store_pace().begin(clock::now());
            if !write(&scheduler, &changes.records, sequence).await {
                return;
            }
            scheduler.store_pace().end(clock::now());
        }
        scheduler.cell().on_flushed(&changes);
        tell_durable(&scheduler, &changes);
        if !changes.crashes.is_empty() || !changes.reopened.is_empty() {
            scheduler.kick();
        }
        scheduler.flushed.send_modify(|count| *count += 1);
    }
}

/// Tells carriers which ends their workers may forget.
fn tell_durable(scheduler: &Scheduler, changes: &Flush) {
    let cell = scheduler.cell();
    for (life, end) in &changes.processed {
        if let Some(worker) = cell.workers.get(life) {
            let number = worker.number;
            scheduler.shares.send(number, Command::Durable { number, end: *end });
        }
    }
}

/// Appends records until that is done; `false` if a newer scheduler has come.
async fn write(scheduler: &Scheduler, records: &[Record], sequence: u64) -> bool {
    loop {
        let producer = Producer { name: PRODUCER.to_owned(), epoch: scheduler.token, sequence };
        let guard = Guard::Producer(producer);
        match scheduler.node.append(record::PROGRESS_TOPIC, records, &guard, CALL).await {
            Ok(_) => return true,
            Err(error) if error.status() == Some(409) => {
                log::warn!("the store refuses this scheduler: {error}");
                scheduler.cell().fenced = true;
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.flush.failed");
                log::debug!("changes were not written: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}
