//! Drives confirmed plans: takes the duty for a plan, and starts its steps as budgets allow.
//!
//! One daemon drives a plan at a time, by an epoch that a record on the log gave it. A driver that
//! was paused and followed by another can do no harm: its records carry the old epoch and are
//! refused, and its commands to boxes carry a lower fence than its follower's.

mod step;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::coordination::append::AppendError;
use crate::coordination::append::new_record_id;
use crate::coordination::freshness::Basis;
use crate::coordination::node::Node;
use crate::state::hash;
use crate::state::id::PlanId;
use crate::state::id::format_plan;
use crate::state::plan::Outcome;
use crate::state::plan::Phase;
use crate::state::plan::Plan;
use crate::state::record::Body;
use crate::state::record::StepRef;
use crate::state::wave;
use crate::transport::clock;

/// How often the plans are looked at when nothing changes.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// An epoch of a plan that this daemon drives.
struct DriverTask {
    epoch: u32,
    task: JoinHandle<()>,
}

/// Looks for plans to drive, for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut driving: BTreeMap<PlanId, DriverTask> = BTreeMap::new();
    let mut changes = node.replica.changes();
    loop {
        let _ = timeout(POLL_INTERVAL, changes.changed()).await;
        driving.retain(|_, driving| !driving.task.is_finished());
        if node.basis() != Basis::Log {
            continue;
        }
        for plan in plans_to_drive(&node, &driving) {
            take_over_plan(&node, plan, &mut driving).await;
        }
    }
}

/// Plans that this daemon should drive and does not: those whose holder is gone or was an earlier
/// life of this daemon, and that fall to it by rendezvous hash.
fn plans_to_drive(node: &Node, driving: &BTreeMap<PlanId, DriverTask>) -> Vec<(PlanId, u32)> {
    let now = clock::now();
    let live = node.serving_daemons();
    let own = node.settings.id;
    let fleet = node.replica.fleet();
    let driven = fleet.plans.values().filter(|plan| plan.phase.needs_driver());
    let orphaned = driven.filter(|plan| match plan.driver.holder {
        None => hash::owner(&plan.id.to_le_bytes(), &live) == Some(own),
        Some(holder) if holder == own => {
            let held = driving.get(&plan.id);
            held.is_none_or(|held| held.epoch != plan.driver.epoch)
        }
        Some(holder) => {
            let gone = !node.members.is_live(holder, now);
            gone && hash::owner(&plan.id.to_le_bytes(), &live) == Some(own)
        }
    });
    orphaned.map(|plan| (plan.id, plan.driver.epoch + 1)).collect()
}

async fn take_over_plan(
    node: &Arc<Node>,
    (plan, epoch): (PlanId, u32),
    driving: &mut BTreeMap<PlanId, DriverTask>,
) {
    let body = Body::Drive { plan, holder: node.settings.id, epoch };
    match node.appender.submit(new_record_id(), body).await {
        Ok(_) => {
            node.counters.count("drive.taken-over");
            log::info!(plan = format_plan(plan).as_str(), epoch; "drives plan");
            let driver = Driver { node: node.clone(), plan, epoch };
            let task = tokio::spawn(driver.run());
            driving.insert(plan, DriverTask { epoch, task });
        }
        Err(AppendError::Refused(_)) => node.counters.count("drive.lost-race"),
        Err(_) => node.counters.count("drive.not-known"),
    }
}

/// One epoch of one plan.
#[derive(Clone)]
struct Driver {
    node: Arc<Node>,
    plan: PlanId,
    epoch: u32,
}

/// What a look at the plan found to do.
#[derive(Default)]
struct Decision {
    is_over: bool,
    start: Vec<u32>,
    abandon: Vec<u32>,
}

impl Driver {
    async fn run(self) {
        let mut changes = self.node.replica.changes();
        let mut steps = JoinSet::new();
        let mut begun = BTreeSet::new();
        let mut only_down_since = None;
        loop {
            while let Some(ended) = steps.try_join_next() {
                let index = ended.expect("a step's task does not panic");
                begun.remove(&index);
            }
            let look = self.decide(&begun, &mut only_down_since);
            if look.is_over {
                return;
            }
            for index in look.start {
                begun.insert(index);
                let driver = self.clone();
                steps.spawn(async move {
                    driver.run_step(index).await;
                    index
                });
            }
            for index in look.abandon {
                self.abandon_step(index).await;
            }
            let ended = tokio::time::sleep(POLL_INTERVAL);
            tokio::select! {
                () = ended => {}
                _ = changes.changed() => {}
            }
        }
    }

    fn claim(&self, step: u32) -> StepRef {
        StepRef { plan: self.plan, epoch: self.epoch, step }
    }

    /// Decides which steps to begin and which to give up, as the fleet stands.
    fn decide(&self, begun: &BTreeSet<u32>, only_down_since: &mut Option<Instant>) -> Decision {
        let fleet = self.node.replica.fleet();
        let Some(plan) = fleet.plans.get(&self.plan) else {
            return Decision { is_over: true, ..Decision::default() };
        };
        if !plan.phase.needs_driver() || plan.driver.epoch != self.epoch {
            return Decision { is_over: true, ..Decision::default() };
        }
        let mut look = Decision::default();
        self.resume_started(plan, begun, &mut look);
        if plan.phase == Phase::Running {
            let choice = wave::choose_steps(&fleet, plan, begun);
            look.start.extend(choice.ready);
            let idle = begun.is_empty() && look.start.is_empty();
            self.abandon_blocked(choice.blocked, idle, only_down_since, &mut look);
        }
        look
    }

    /// Steps that an earlier epoch began.
    fn resume_started(&self, plan: &Plan, begun: &BTreeSet<u32>, look: &mut Decision) {
        for (index, step) in wave::indexed_steps(plan) {
            if step.progress.is_under_way() && !begun.contains(&index) {
                look.start.push(index);
            }
        }
    }

    /// A box that is down when all else is done gets some time, then its step is given up.
    fn abandon_blocked(
        &self,
        blocked: Vec<u32>,
        idle: bool,
        only_down_since: &mut Option<Instant>,
        look: &mut Decision,
    ) {
        if blocked.is_empty() || !idle {
            *only_down_since = None;
            return;
        }
        let since = *only_down_since.get_or_insert_with(clock::now);
        if clock::since(since) >= self.node.settings.down_grace {
            look.abandon = blocked;
        }
    }

    async fn abandon_step(&self, step: u32) {
        let finish = Body::Finish(self.claim(step), Outcome::Down);
        if self.node.appender.submit(new_record_id(), finish).await.is_ok() {
            self.node.counters.count("drive.step.given-up");
        }
    }
}
