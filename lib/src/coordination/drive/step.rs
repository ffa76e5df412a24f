//! Runs one step of a plan, resuming where an earlier driver left it.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;
use tokio::time::sleep;

use crate::coordination::append::AppendError;
use crate::coordination::drive::Driver;
use crate::coordination::reconcile;
use crate::protocol::worker::Action as Order;
use crate::protocol::worker::Command;
use crate::protocol::worker::Status;
use crate::state::fold::Refusal;
use crate::state::id::BoxId;
use crate::state::id::Offset;
use crate::state::id::ServiceKey;
use crate::state::plan::Action;
use crate::state::plan::Outcome;
use crate::state::plan::Progress;
use crate::state::plan::Step;
use crate::state::record::Body;
use crate::transport::clock;
use crate::transport::dial::ExchangeError;

/// Pause between two polls of a box.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Consecutive polls that must find a box idle before it counts as drained.
const MIN_IDLE_POLLS: u32 = 2;
/// Time beyond `max_age` after which an unresponsive daemon is assumed not to serve.
const UNRESPONSIVE_MARGIN: Duration = Duration::from_millis(500);
/// How long a job may take to start after it was ordered.
const JOB_START_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a step stopped without an outcome.
#[derive(Debug, Error)]
enum StepError {
    /// Another driver has taken over, or the plan no longer exists.
    #[error("another driver has taken over")]
    Superseded,
    /// The record was refused in the current state of the fleet.
    #[error(transparent)]
    Refused(Refusal),
    /// The record was not submitted, or its verdict is not known.
    #[error("the record was not submitted or its verdict is not known")]
    AppendFailed,
}

impl From<AppendError> for StepError {
    fn from(error: AppendError) -> StepError {
        match error {
            AppendError::Refused(Refusal::Epoch { .. } | Refusal::Superseded) => {
                StepError::Superseded
            }
            AppendError::Refused(refusal) => StepError::Refused(refusal),
            AppendError::Unknown(_) | AppendError::QueueFull => StepError::AppendFailed,
        }
    }
}

/// The box of a step, as it was when this driver started or resumed the step.
#[derive(Clone)]
struct Target {
    id: BoxId,
    addr: SocketAddr,
    drain_limit: Duration,
    /// Time without success after which the step ends with [`Outcome::Lost`].
    lost_after: Duration,
}

impl Driver {
    /// Runs step `index` and counts its outcome.
    pub(super) async fn run_step(&self, index: u32) {
        let counter = match self.try_or_abandon(index).await {
            Ok(Outcome::Done) => "drive.step.done",
            Ok(Outcome::DrainLimit) => "drive.step.drain-limit",
            Ok(Outcome::Lost) => "drive.step.lost",
            Ok(_) => "drive.step.given-up",
            Err(StepError::Superseded) => "drive.step.superseded",
            Err(StepError::Refused(Refusal::Budget { .. })) => "drive.step.refused.budget",
            Err(StepError::Refused(Refusal::MinUp { .. })) => "drive.step.refused.min-up",
            Err(StepError::Refused(Refusal::Busy { .. })) => "drive.step.refused.busy",
            Err(StepError::Refused(_)) => "drive.step.refused.other",
            Err(StepError::AppendFailed) => "drive.step.busy",
        };
        self.node.counters.count(counter);
    }

    /// Runs a step, and finishes it as refused if it takes no box out of service and its record was
    /// refused.
    ///
    /// Such a step needs no budget, so a retry would be refused again. A step that is already under
    /// way, or whose plan is paused, is not finished.
    async fn try_or_abandon(&self, index: u32) -> Result<Outcome, StepError> {
        let result = self.try_step(index).await;
        let Err(StepError::Refused(refusal)) = &result else {
            return result;
        };
        let step = self.step(index)?;
        let is_paused = matches!(refusal, Refusal::Phase { .. });
        if step.action.is_disruptive() || is_paused || step.progress != Progress::Waiting {
            return result;
        }
        self.append(Body::Finish(self.step_ref(index), Outcome::Refused)).await?;
        Ok(Outcome::Refused)
    }

    /// Runs a step by its action and records its outcome.
    async fn try_step(&self, index: u32) -> Result<Outcome, StepError> {
        let step = self.step(index)?;
        let outcome = match &step.action {
            Action::Reboot => self.reboot_box(index, &step).await?,
            Action::Move { .. } => self.move_box(index, &step).await?,
            Action::Release => self.release_box(index, &step).await?,
            Action::Claim { .. } => self.claim_box(index, &step).await?,
            Action::Start { job } => self.start_job(index, &step, job).await?,
            Action::Stop { .. } => self.stop_job(index, &step).await?,
        };
        self.append(Body::Finish(self.step_ref(index), outcome)).await?;
        Ok(outcome)
    }

    async fn reboot_box(&self, index: u32, step: &Step) -> Result<Outcome, StepError> {
        let target = self.target(step)?;
        let permit = self.acquire_permit(index, step).await?;
        if let Some(outcome) = self.drain(&target, permit).await? {
            return Ok(outcome);
        }
        if !self.send_until_accepted(&target, Order::Reboot { operation: permit }).await? {
            return Ok(Outcome::Lost);
        }
        let has_rebooted = |status: &Status| status.rebooted_for == Some(permit);
        if !self.wait_for_status(&target, has_rebooted).await? {
            return Ok(Outcome::Lost);
        }
        self.return_to_service(&target).await
    }

    async fn move_box(&self, index: u32, step: &Step) -> Result<Outcome, StepError> {
        let target = self.target(step)?;
        if !matches!(step.progress, Progress::Assigned { .. }) {
            let permit = self.acquire_permit(index, step).await?;
            if let Some(outcome) = self.drain(&target, permit).await? {
                return Ok(outcome);
            }
            if !self.send_until_accepted(&target, Order::Jobs { jobs: Vec::new() }).await? {
                return Ok(Outcome::Lost);
            }
            self.append(Body::Assign(self.step_ref(index))).await?;
        }
        self.return_to_service(&target).await
    }

    async fn release_box(&self, index: u32, step: &Step) -> Result<Outcome, StepError> {
        if matches!(step.progress, Progress::Assigned { .. }) {
            return Ok(Outcome::Done);
        }
        let target = self.target(step)?;
        let permit = self.acquire_permit(index, step).await?;
        if let Some(outcome) = self.drain(&target, permit).await? {
            return Ok(outcome);
        }
        self.send_until_accepted(&target, Order::Jobs { jobs: Vec::new() }).await?;
        self.append(Body::Assign(self.step_ref(index))).await?;
        Ok(Outcome::Done)
    }

    async fn claim_box(&self, index: u32, step: &Step) -> Result<Outcome, StepError> {
        if step.progress == Progress::Waiting {
            self.append(Body::Assign(self.step_ref(index))).await?;
        }
        Ok(Outcome::Done)
    }

    async fn start_job(
        &self,
        index: u32,
        step: &Step,
        job: &ServiceKey,
    ) -> Result<Outcome, StepError> {
        if step.progress == Progress::Waiting {
            self.append(Body::Assign(self.step_ref(index))).await?;
        }
        let target = Target { lost_after: JOB_START_TIMEOUT, ..self.target(step)? };
        // A box that is out of service under another plan gets its jobs from that plan's driver.
        if !self.is_out_of_service(&target) {
            self.send_until_accepted(&target, self.jobs_order(&target)).await?;
        }
        let is_running = |status: &Status| status.jobs.contains(job);
        let started = self.wait_for_status(&target, is_running).await?;
        Ok(if started { Outcome::Done } else { Outcome::Lost })
    }

    async fn stop_job(&self, index: u32, step: &Step) -> Result<Outcome, StepError> {
        let target = self.target(step)?;
        if !matches!(step.progress, Progress::Assigned { .. }) {
            let permit = self.acquire_permit(index, step).await?;
            if let Some(outcome) = self.drain(&target, permit).await? {
                return Ok(outcome);
            }
            self.append(Body::Assign(self.step_ref(index))).await?;
        }
        self.return_to_service(&target).await
    }

    /// Starts the box's jobs and then lets it serve.
    async fn return_to_service(&self, target: &Target) -> Result<Outcome, StepError> {
        let started = self.send_until_accepted(target, self.jobs_order(target)).await?;
        if started && self.send_until_accepted(target, Order::Resume).await? {
            return Ok(Outcome::Done);
        }
        Ok(Outcome::Lost)
    }

    /// The order to run the jobs that the fleet has placed on the box.
    fn jobs_order(&self, target: &Target) -> Order {
        let fleet = self.node.replica.fleet();
        Order::Jobs { jobs: fleet.jobs_on(&target.id).cloned().collect() }
    }

    /// The permit to take the box out of service: that of an earlier driver, or a new one.
    async fn acquire_permit(&self, index: u32, step: &Step) -> Result<Offset, StepError> {
        match step.progress.permit() {
            Some(permit) => Ok(permit),
            None => self.append(Body::Permit(self.step_ref(index))).await,
        }
    }

    async fn append(&self, body: Body) -> Result<Offset, StepError> {
        Ok(self.node.appender.submit_without_timeout(body).await?)
    }

    /// Waits until no daemon sends requests to the box and none runs on it.
    ///
    /// Returns `None` once the box is drained, or the outcome of the step if it cannot be: `Lost`
    /// if the box does not accept the order, `DrainLimit` if the drain limit passed, after which
    /// the box serves again.
    async fn drain(&self, target: &Target, permit: Offset) -> Result<Option<Outcome>, StepError> {
        let started_at = clock::now();
        if !self.send_until_accepted(target, Order::Drain).await? {
            return Ok(Some(Outcome::Lost));
        }
        let mut idle_polls = 0;
        while idle_polls < MIN_IDLE_POLLS {
            if clock::since(started_at) > target.drain_limit {
                self.send_until_accepted(target, Order::Resume).await?;
                return Ok(Some(Outcome::DrainLimit));
            }
            sleep(POLL_INTERVAL).await;
            self.check_epoch()?;
            let released = self.is_released(target, permit, started_at);
            let status = reconcile::fetch_status(&self.node, target.addr).await;
            let is_idle = matches!(status, Ok(status) if status.inflight == 0);
            idle_polls = if released && is_idle { idle_polls + 1 } else { 0 };
        }
        Ok(None)
    }

    /// Whether every daemon that may serve has applied the permit and has no request on the box.
    ///
    /// An unresponsive daemon may still serve for as long as the freshness rule allows it. The
    /// quorum condition lets it serve only with a majority of daemons none of which has applied
    /// more than it. So once a majority has applied the permit and `max_age` has passed, it does
    /// not serve.
    fn is_released(&self, target: &Target, permit: Offset, started_at: Instant) -> bool {
        let releases = self.node.members.count_releases(&target.id, permit, clock::now());
        if releases.holding > 0 || self.node.routes.busy_boxes().contains(&target.id) {
            return false;
        }
        if releases.unresponsive == 0 {
            return true;
        }
        let majority = 2 * (releases.released + 1) > self.node.members.configured_count();
        majority && clock::since(started_at) > self.node.settings.max_age + UNRESPONSIVE_MARGIN
    }

    /// Sends an order until the box accepts it. Returns false if it does not do so within
    /// `lost_after`.
    async fn send_until_accepted(&self, target: &Target, order: Order) -> Result<bool, StepError> {
        let started_at = clock::now();
        loop {
            self.check_epoch()?;
            let command = Command { fence: self.fence(target), action: order.clone() };
            match reconcile::send_command(&self.node, target.addr, command).await {
                Ok(_) => return Ok(true),
                Err(ExchangeError::Status(409)) => {
                    self.node.counters.count("drive.order.fenced");
                }
                Err(_) => self.node.counters.count("drive.order.failed"),
            }
            if clock::since(started_at) > target.lost_after {
                return Ok(false);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the box until `reached` is true of its status. Returns false if that takes longer than
    /// `lost_after`.
    async fn wait_for_status(
        &self,
        target: &Target,
        reached: impl Fn(&Status) -> bool,
    ) -> Result<bool, StepError> {
        let started_at = clock::now();
        loop {
            self.check_epoch()?;
            let status = reconcile::fetch_status(&self.node, target.addr).await;
            if matches!(&status, Ok(status) if reached(status)) {
                return Ok(true);
            }
            if clock::since(started_at) > target.lost_after {
                return Ok(false);
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Fencing token for commands to the box: at least that of this epoch, and of the box's last
    /// change.
    fn fence(&self, target: &Target) -> Offset {
        let fleet = self.node.replica.fleet();
        let version = fleet.boxes.get(&target.id).map_or(0, |entry| entry.version);
        let epoch = fleet.plans.get(&self.plan).map_or(0, |plan| plan.driver.fence);
        version.max(epoch)
    }

    fn is_out_of_service(&self, target: &Target) -> bool {
        let fleet = self.node.replica.fleet();
        fleet.boxes.get(&target.id).is_some_and(|entry| entry.out.is_some())
    }

    /// Fails if another driver has taken over the plan.
    fn check_epoch(&self) -> Result<(), StepError> {
        let fleet = self.node.replica.fleet();
        let plan = fleet.plans.get(&self.plan);
        match plan {
            Some(plan) if plan.driver.epoch == self.epoch => Ok(()),
            _ => Err(StepError::Superseded),
        }
    }

    fn step(&self, index: u32) -> Result<Step, StepError> {
        let fleet = self.node.replica.fleet();
        let plan = fleet.plans.get(&self.plan).ok_or(StepError::Superseded)?;
        plan.steps.get(index as usize).cloned().ok_or(StepError::Superseded)
    }

    fn target(&self, step: &Step) -> Result<Target, StepError> {
        let fleet = self.node.replica.fleet();
        let id = step.target.clone();
        let Some(entry) = fleet.boxes.get(&id) else {
            return Err(StepError::Refused(Refusal::NoBox { target: id }));
        };
        let pool = &fleet.pools[&entry.pool];
        let lost_after = Duration::from_secs(u64::from(pool.maintenance_s)) * 3;
        Ok(Target {
            id,
            addr: entry.shape.addr,
            drain_limit: Duration::from_secs(pool.drain_limit_s.into()),
            lost_after,
        })
    }
}
