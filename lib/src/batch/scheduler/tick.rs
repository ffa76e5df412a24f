//! What depends on clocks: leases, due times, and how long finished jobs are kept.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use tokio::time::sleep;

use crate::batch::cell::Forgotten;
use crate::batch::record;
use crate::batch::scheduler::CALL;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::batch::upkeep;

/// Time between looks at clocks: leases, due times, rests.
const TICK: Duration = Duration::from_millis(100);
/// How long a finished job is kept beyond what clients were promised.
const KEEP_EXTRA: Duration = Duration::from_secs(15);

/// Does what depends on clocks.
pub(super) async fn tick(scheduler: Arc<Scheduler>) {
    loop {
        sleep(TICK).await;
        let now = Instant::now();
        let keep = scheduler.node.settings.status_time + KEEP_EXTRA;
        let gone = {
            let mut cell = scheduler.cell();
            cell.open_due(wall_clock());
            for (id, listed) in cell.lapsed(now) {
                if listed {
                    cell.lapse(&id)
                } else {
                    cell.remove_worker(&id, "silent and not listed")
                }
            }
            if cell.unasked.is_empty() {
                cell.clear_inherited();
            }
            cell.stop_unknown(now);
            cell.leave_draining();
            for id in cell.leaving_unannounced(now) {
                upkeep::empty(&mut cell, &id, false);
            }
            cell.spare_users(now);
            cell.forget_gone(now);
            cell.forget(keep, now)
        };
        forget(&scheduler, gone).await;
        scheduler.kick();
    }
}

/// Lets go of finished jobs in the store, in each partition that keeps one.
async fn forget(scheduler: &Scheduler, gone: Vec<Forgotten>) {
    let mut by_partition: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
    for job in gone {
        for partition in job.kept_in {
            by_partition.entry(partition).or_default().push(record::forget_job(job.id));
        }
        if job.cancelled {
            by_partition.entry(0).or_default().push(record::forget_cancel(job.id));
        }
    }
    for (partition, records) in by_partition {
        let partition = record::job_partition(partition);
        if let Err(error) = scheduler.node.append(partition, &records, &Guard::None, CALL).await {
            // They are found again, and let go of, by the next scheduler.
            log::warn!("finished jobs stay in the store: {error}");
        }
    }
}
