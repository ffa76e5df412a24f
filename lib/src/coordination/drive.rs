//! Drives confirmed plans: takes over plans that have no driver, and starts their steps as budgets
//! allow.
//!
//! One daemon drives a plan at a time, in an epoch that a record on the log assigns to it. A paused
//! driver that resumes after another has taken over has no effect: its records carry the old epoch
//! and are refused, and its commands to boxes carry a lower fencing token than those of its
//! successor.

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

/// How often the plans are examined when the fleet does not change.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The task that drives a plan in one epoch.
struct DriverTask {
    epoch: u32,
    task: JoinHandle<()>,
}

/// Takes over plans that need a driver, for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut tasks: BTreeMap<PlanId, DriverTask> = BTreeMap::new();
    let mut changes = node.replica.changes();
    loop {
        let _ = timeout(POLL_INTERVAL, changes.changed()).await;
        tasks.retain(|_, driver| !driver.task.is_finished());
        if node.basis() != Basis::Log {
            continue;
        }
        for plan in plans_to_drive(&node, &tasks) {
            take_over_plan(&node, plan, &mut tasks).await;
        }
    }
}

/// Plans that this daemon should take over, each with the epoch that the takeover starts: those
/// without a driver or whose driver is not live, if the rendezvous hash assigns them to this
/// daemon, and those whose driver is this daemon but which have no task here, as after a restart.
fn plans_to_drive(node: &Node, tasks: &BTreeMap<PlanId, DriverTask>) -> Vec<(PlanId, u32)> {
    let now = clock::now();
    let live = node.serving_daemons();
    let own = node.settings.id;
    let fleet = node.replica.fleet();
    let driven = fleet.plans.values().filter(|plan| plan.phase.needs_driver());
    let orphaned = driven.filter(|plan| match plan.driver.holder {
        None => hash::owner(&plan.id.to_le_bytes(), &live) == Some(own),
        Some(holder) if holder == own => {
            let own_task = tasks.get(&plan.id);
            own_task.is_none_or(|own_task| own_task.epoch != plan.driver.epoch)
        }
        Some(holder) => {
            let is_unresponsive = !node.members.is_live(holder, now);
            is_unresponsive && hash::owner(&plan.id.to_le_bytes(), &live) == Some(own)
        }
    });
    orphaned.map(|plan| (plan.id, plan.driver.epoch + 1)).collect()
}

/// Becomes the driver of a plan, unless another daemon does so first.
async fn take_over_plan(
    node: &Arc<Node>,
    (plan, epoch): (PlanId, u32),
    tasks: &mut BTreeMap<PlanId, DriverTask>,
) {
    let body = Body::Drive { plan, holder: node.settings.id, epoch };
    match node.appender.submit(new_record_id(), body).await {
        Ok(_) => {
            node.counters.count("drive.taken-over");
            log::info!(plan = format_plan(plan).as_str(), epoch; "driving plan");
            let driver = Driver { node: node.clone(), plan, epoch };
            let task = tokio::spawn(driver.run());
            tasks.insert(plan, DriverTask { epoch, task });
        }
        Err(AppendError::Refused(_)) => node.counters.count("drive.lost-race"),
        Err(_) => node.counters.count("drive.not-known"),
    }
}

/// Drives one plan in one epoch.
#[derive(Clone)]
struct Driver {
    node: Arc<Node>,
    plan: PlanId,
    epoch: u32,
}

/// What is to be done for a plan: steps to start and to abandon, by index.
#[derive(Default)]
struct Decision {
    is_over: bool,
    start: Vec<u32>,
    abandon: Vec<u32>,
}

impl Driver {
    /// Runs the plan's steps until the plan is over or another driver takes over.
    async fn run(self) {
        let mut changes = self.node.replica.changes();
        let mut steps = JoinSet::new();
        let mut running = BTreeSet::new();
        let mut only_blocked_since = None;
        loop {
            while let Some(finished) = steps.try_join_next() {
                let index = finished.expect("a step's task does not panic");
                running.remove(&index);
            }
            let decision = self.decide(&running, &mut only_blocked_since);
            if decision.is_over {
                return;
            }
            for index in decision.start {
                running.insert(index);
                let driver = self.clone();
                steps.spawn(async move {
                    driver.run_step(index).await;
                    index
                });
            }
            for index in decision.abandon {
                self.abandon_step(index).await;
            }
            let interval = tokio::time::sleep(POLL_INTERVAL);
            tokio::select! {
                () = interval => {}
                _ = changes.changed() => {}
            }
        }
    }

    fn step_ref(&self, step: u32) -> StepRef {
        StepRef { plan: self.plan, epoch: self.epoch, step }
    }

    /// Decides which steps to start and which to abandon in the current state of the fleet.
    fn decide(
        &self,
        running: &BTreeSet<u32>,
        only_blocked_since: &mut Option<Instant>,
    ) -> Decision {
        let fleet = self.node.replica.fleet();
        let Some(plan) = fleet.plans.get(&self.plan) else {
            return Decision { is_over: true, ..Decision::default() };
        };
        if !plan.phase.needs_driver() || plan.driver.epoch != self.epoch {
            return Decision { is_over: true, ..Decision::default() };
        }
        let mut decision = Decision::default();
        self.resume_started(plan, running, &mut decision);
        if plan.phase == Phase::Running {
            let choice = wave::choose_steps(&fleet, plan, running);
            decision.start.extend(choice.ready);
            let idle = running.is_empty() && decision.start.is_empty();
            self.abandon_blocked(choice.blocked, idle, only_blocked_since, &mut decision);
        }
        decision
    }

    /// Starts the steps that an earlier epoch left unfinished.
    fn resume_started(&self, plan: &Plan, running: &BTreeSet<u32>, decision: &mut Decision) {
        for (index, step) in wave::indexed_steps(plan) {
            if step.progress.is_under_way() && !running.contains(&index) {
                decision.start.push(index);
            }
        }
    }

    /// Abandons the blocked steps, whose boxes are down or in no pool, once the plan has had no
    /// other step to run for `down_grace`.
    fn abandon_blocked(
        &self,
        blocked: Vec<u32>,
        idle: bool,
        only_blocked_since: &mut Option<Instant>,
        decision: &mut Decision,
    ) {
        if blocked.is_empty() || !idle {
            *only_blocked_since = None;
            return;
        }
        let since = *only_blocked_since.get_or_insert_with(clock::now);
        if clock::since(since) >= self.node.settings.down_grace {
            decision.abandon = blocked;
        }
    }

    /// Finishes a blocked step without running it.
    async fn abandon_step(&self, step: u32) {
        let finish = Body::Finish(self.step_ref(step), Outcome::Down);
        if self.node.appender.submit(new_record_id(), finish).await.is_ok() {
            self.node.counters.count("drive.step.given-up");
        }
    }
}
