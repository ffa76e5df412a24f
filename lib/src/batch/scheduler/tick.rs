//! Periodic work that depends on clocks: lease expiry and due times.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::batch::maintenance;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::transport::clock;

/// Time between checks of leases, due times and backoffs.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the periodic work until the scheduler stops.
pub(super) async fn tick(scheduler: Arc<Scheduler>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let now = clock::now();
        {
            let mut cell = scheduler.cell();
            cell.open_due_repetitions(wall_clock());
            cell.expire_due(now);
            cell.stop_unknown_jobs(now);
            maintenance::evacuate_draining(&mut cell, now);
            for incarnation in cell.leaving_unannounced(now) {
                maintenance::evacuate(&mut cell, &incarnation, false);
            }
            cell.adjust_best_effort_paces(now);
            cell.forget_ended(now);
            cell.forget_crash_candidates(now);
            cell.request_placement();
        }
        scheduler.wake();
    }
}
