//! Plans: an operator's intent, the steps that carry it out, and their progress.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::fleet::Shape;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Offset;
use crate::state::id::PlanId;
use crate::state::id::PoolId;
use crate::state::id::ServiceId;
use crate::state::id::ServiceKey;

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Intent {
    /// Resize a pool by claiming boxes that are in no pool or by releasing boxes.
    Resize {
        /// The pool.
        pool: PoolId,
        /// The number of boxes it should have.
        boxes: u32,
    },
    /// Move boxes to another pool.
    Move {
        /// The pool the boxes are taken from.
        from: PoolId,
        /// The pool the boxes go to.
        to: PoolId,
        /// The number of boxes; the planner chooses which.
        boxes: u32,
    },
    /// Run a service on a number of boxes of its pool.
    Place {
        /// The account that owns the service.
        account: AccountId,
        /// The service.
        service: ServiceId,
        /// The number of boxes.
        replicas: u32,
    },
    /// Reboot every box of some pools, within their budgets.
    Maintain {
        /// The pools.
        pools: Vec<PoolId>,
    },
}

/// A plan, as stored on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Chosen at random by the daemon that computed it.
    pub id: PlanId,
    /// The account whose operator requested it; `None` for the site operator.
    pub account: Option<AccountId>,
    /// The requested change.
    pub intent: Intent,
    /// The steps, in the order in which they start.
    pub steps: Vec<Step>,
    /// The objects and versions from which the plan was computed.
    pub base: Vec<Base>,
    /// Maximum number of concurrent steps in each pool.
    pub width: Vec<(PoolId, u32)>,
    /// The predicted cost.
    pub predicted: Cost,
    /// The current phase.
    pub phase: Phase,
    /// The daemon that drives it.
    pub driver: Driver,
    /// Position of the record that last changed the plan.
    pub version: Offset,
}

/// The daemon that drives a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Driver {
    /// The daemon; `None` until the first one has taken over.
    pub holder: Option<DaemonId>,
    /// Counts the takeovers.
    pub epoch: u32,
    /// Position of the record that started this epoch; fencing token of the driver's commands.
    pub fence: Offset,
}

/// An object from which a plan was computed, and its version at that time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// A pool, including the set of boxes in it.
    Pool(PoolId, Offset),
    /// A service, including the set of boxes it runs on.
    Service(ServiceKey, Offset),
    /// A box; version 0 means that it is in no pool.
    Box(BoxId, Offset),
}

/// The state of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Not yet confirmed by the operator; has no effect.
    Proposed,
    /// Confirmed; steps are being carried out.
    Running,
    /// Paused: steps in progress are finished and no others are started.
    Paused,
    /// Being aborted: steps in progress are finished and the others are skipped.
    Aborting,
    /// All steps have ended.
    Done,
    /// Aborted, and all steps in progress have ended.
    Aborted,
}

impl Phase {
    /// Whether the plan has ended.
    pub fn is_over(self) -> bool {
        matches!(self, Phase::Done | Phase::Aborted)
    }

    /// Whether a driver is needed.
    pub fn needs_driver(self) -> bool {
        matches!(self, Phase::Running | Phase::Paused | Phase::Aborting)
    }
}

/// One step: an action on one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The box that the step acts on.
    pub target: BoxId,
    /// The action.
    pub action: Action,
    /// Why the planner chose it.
    pub reason: Reason,
    /// The current progress.
    pub progress: Progress,
}

/// The action of a step on its box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Drain the box, reboot it and restart its jobs.
    Reboot,
    /// Drain the box, stop its jobs, change its pool and start `jobs`.
    Move {
        /// The pool the box goes to.
        to: PoolId,
        /// The jobs to start there.
        jobs: Vec<ServiceKey>,
    },
    /// Drain the box, stop its jobs and remove it from its pool.
    Release,
    /// Add a box that is in no pool to a pool.
    Claim {
        /// The pool it goes to.
        to: PoolId,
        /// Its properties in the box list.
        shape: Shape,
    },
    /// Start a job on the box.
    Start {
        /// The job's service.
        job: ServiceKey,
    },
    /// Drain the box and stop a job.
    Stop {
        /// The job's service.
        job: ServiceKey,
    },
}

impl Action {
    /// Whether the box is out of service while the step is in progress.
    pub fn is_disruptive(&self) -> bool {
        !matches!(self, Action::Claim { .. } | Action::Start { .. })
    }

    /// Whether the step counts as a move in [`Cost::moves`].
    pub fn is_move(&self) -> bool {
        !matches!(self, Action::Reboot)
    }
}

/// Why the planner chose a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The box is due for maintenance.
    Due,
    /// The box has the fewest jobs among those that may be taken.
    FewestJobs,
    /// The box is in no pool.
    Free,
    /// The box's hall and rack have the fewest replicas of the service.
    Spread,
    /// The service has more replicas than requested.
    Surplus,
}

/// The progress of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Not started.
    Waiting,
    /// Permitted; the box is out of service.
    Out {
        /// Position of the permit.
        permit: Offset,
    },
    /// The permanent effect has been applied; the step is not yet finished.
    Assigned {
        /// Position of the permit, or of the assignment if the step needs no permit.
        permit: Offset,
    },
    /// Ended.
    Over {
        /// The outcome.
        outcome: Outcome,
    },
}

impl Progress {
    /// Whether the step is in progress.
    pub fn is_under_way(&self) -> bool {
        matches!(self, Progress::Out { .. } | Progress::Assigned { .. })
    }

    /// Whether the step has ended.
    pub fn is_over(&self) -> bool {
        matches!(self, Progress::Over { .. })
    }

    /// Position at which the step started; `None` if it is not in progress.
    pub fn permit(&self) -> Option<Offset> {
        match self {
            Progress::Out { permit } | Progress::Assigned { permit } => Some(*permit),
            Progress::Waiting | Progress::Over { .. } => None,
        }
    }
}

/// The outcome of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Carried out as planned.
    #[error("done")]
    Done,
    /// The box was not idle within its pool's drain limit; the step's action was not carried out.
    #[error("requests still ran when the drain limit passed")]
    DrainLimit,
    /// The step was not started: its box was down or in no pool, and for the driver's grace time
    /// the plan had no other step to run.
    #[error("the box is down")]
    Down,
    /// The box refused or did not answer the commands, or did not return to service in time. It is
    /// marked as down and counts against the budget.
    #[error("the box did not come back")]
    Lost,
    /// The state from which the plan was computed has changed, and the fold refused the step.
    #[error("refused: what the plan was made from has changed")]
    Refused,
    /// The plan was aborted before the step started.
    #[error("the plan was aborted")]
    Aborted,
}

/// The cost of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Capacity out of service, in box-seconds.
    pub buffer_box_seconds: u64,
    /// Time from confirmation to the last step's end, in seconds.
    pub rollout_seconds: u64,
    /// Number of boxes and jobs that are moved.
    pub moves: u32,
}

impl Plan {
    /// Maximum number of concurrent steps in `pool`; 1 if the plan names no limit.
    pub fn width_of(&self, pool: &str) -> u32 {
        let entry = self.width.iter().find(|(id, _)| id.as_ref() == pool);
        entry.map_or(1, |(_, width)| *width)
    }

    /// Whether every step has ended.
    pub fn is_finished(&self) -> bool {
        self.steps.iter().all(|step| step.progress.is_over())
    }

    /// Number of steps that have ended.
    pub fn count_ended_steps(&self) -> usize {
        let ended = self.steps.iter().filter(|step| step.progress.is_over());
        ended.count()
    }
}
