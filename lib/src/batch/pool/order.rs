//! Orders moves of boxes between pools.

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::machine;
use spokelift_platform::machine::Leader;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Machines;

use crate::batch::costs;
use crate::batch::maintenance::CALL_TIMEOUT;
use crate::batch::pool::Pools;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

impl Pools {
    /// Orders moves, all concurrently: in sequence they would take a second and more on a large
    /// site.
    pub(super) async fn order_moves(
        &mut self,
        scheduler: &Scheduler,
        machines: &Machines,
        ids: Vec<MachineId>,
    ) {
        if ids.is_empty() || !scheduler.announce_orders(&ids).await || !scheduler.may_order_boxes()
        {
            return;
        }
        let leader = Leader { node: &scheduler.node.settings.node, token: scheduler.token };
        let moves = &self.moves;
        let now = clock::now();
        let ids = ids.iter().filter(|id| scheduler.order_window.record_order(id, now));
        let calls = ids.filter_map(|id| {
            let to = &moves.get(id)?.to;
            Some(async move { (id, machines.move_to_pool(leader, id, to, CALL_TIMEOUT).await) })
        });
        let answers = join_all(calls).await;
        for (id, answer) in answers {
            self.on_answer(scheduler, id, answer);
        }
    }

    fn on_answer(&mut self, scheduler: &Scheduler, id: &str, answer: Result<(), CallError>) {
        scheduler.record_order_answer(id, &answer);
        let Some(under_way) = self.moves.get_mut(id) else { return };
        let ok = answer.is_ok();
        log::info!(machine = id, to = under_way.to.as_str(), ok; "move ordered");
        match answer {
            Ok(()) => {
                costs::count(&scheduler.node.counters, costs::BOX_MOVES, 0, 0);
                under_way.is_ordered = true;
                self.deferrals.forget(id);
                scheduler.cell().end_incarnations_elsewhere(id, &under_way.to);
            }
            Err(error) if machine::is_fenced(&error) => scheduler.cell().is_fenced = true,
            Err(error) if error.is_known_not_done() => {
                let reason = error.reason();
                scheduler.node.counters.count(&format!("batch.move.refused.{reason}"));
                if !error.is_unavailable() && self.deferrals.defer(id, reason, clock::now()) {
                    log::info!(machine = id, reason; "move refused");
                }
                self.moves.remove(id);
            }
            // The order may have been carried out; repeating it is harmless.
            Err(error) => {
                under_way.is_unanswered = true;
                scheduler.node.counters.count("batch.move.no-answer");
                log::info!(machine = id; "no answer to move order: {error}");
            }
        }
    }
}
