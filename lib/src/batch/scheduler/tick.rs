//! What depends on clocks: leases and due times.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::wall_clock;
use crate::batch::upkeep;
use crate::transport::clock;

/// Time between looks at clocks: leases, due times, rests.
const TICK: Duration = Duration::from_millis(100);

/// Does what depends on clocks.
pub(super) async fn tick(scheduler: Arc<Scheduler>) {
    loop {
        sleep(TICK).await;
        let now = clock::now();
        {
            let mut cell = scheduler.cell();
            cell.open_due(wall_clock());
            cell.let_lapse(now);
            cell.stop_unknown(now);
            upkeep::leave_draining(&mut cell, now);
            for life in cell.leaving_unannounced(now) {
                upkeep::empty(&mut cell, &life, false);
            }
            cell.spare_users(now);
            cell.forget_gone(now);
            cell.forget_lost(now);
            cell.stir();
        }
        scheduler.kick();
    }
}
