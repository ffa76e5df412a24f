//! What depends on clocks: leases, due times, and how long finished jobs are kept.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Record;
use tokio::time::sleep;

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

/// Lets go of finished jobs in the store.
async fn forget(scheduler: &Scheduler, gone: Vec<(JobId, bool)>) {
    let records: Vec<Record> =
        gone.into_iter().flat_map(|(id, cancelled)| record::forget_job(id, cancelled)).collect();
    if records.is_empty() {
        return;
    }
    if let Err(error) = scheduler.node.append(record::JOB_TOPIC, &records, &Guard::None, CALL).await
    {
        // They are found again, and let go of, by the next scheduler.
        log::warn!("finished jobs stay in the store: {error}");
    }
}
