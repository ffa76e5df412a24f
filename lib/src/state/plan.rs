//! Plans: what an operator asked for, the steps that lead there, and how far they are.

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

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Intent {
    /// Bring a pool to a number of boxes, from or to the boxes that are in no pool.
    Resize {
        /// The pool.
        pool: PoolId,
        /// How many boxes it should hold.
        boxes: u32,
    },
    /// Move boxes to another pool.
    Move {
        /// Where from.
        from: PoolId,
        /// Where to.
        to: PoolId,
        /// How many boxes, chosen by the planner.
        boxes: u32,
    },
    /// Run a service on a number of boxes of its pool.
    Place {
        /// The account that owns the service.
        account: AccountId,
        /// The service.
        service: ServiceId,
        /// On how many boxes.
        replicas: u32,
    },
    /// Reboot every box of the pools named, within their budgets.
    Maintain {
        /// The pools.
        pools: Vec<PoolId>,
    },
}

/// A plan as the log keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Chosen at random by the daemon that computed it.
    pub id: PlanId,
    /// The account whose operator asked, none for the site operator.
    pub account: Option<AccountId>,
    /// What was asked for.
    pub intent: Intent,
    /// The steps, in the order in which they start.
    pub steps: Vec<Step>,
    /// What the plan was computed from.
    pub base: Vec<Base>,
    /// How many steps may be under way at a time in each pool.
    pub width: Vec<(PoolId, u32)>,
    /// What the plan is expected to take.
    pub predicted: Cost,
    /// Where the plan stands.
    pub phase: Phase,
    /// Who drives it.
    pub driver: Driver,
    /// Offset of the record that last changed the plan.
    pub version: Offset,
}

/// The daemon that drives a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Driver {
    /// None until the first one took the duty.
    pub holder: Option<DaemonId>,
    /// Counts the takeovers.
    pub epoch: u32,
    /// Offset of the record by which this epoch began; fences the driver's commands.
    pub fence: Offset,
}

/// One object a plan was computed from, and its version then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Base {
    /// A pool, which also stands for the set of boxes in it.
    Pool(PoolId, Offset),
    /// A service, which also stands for the boxes it runs on.
    Service(ServiceKey, Offset),
    /// A box; version 0 is a box in no pool.
    Box(BoxId, Offset),
}

/// Where a plan stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Waits for the operator to confirm it; nothing has changed.
    Proposed,
    /// Confirmed; steps are started.
    Running,
    /// Confirmed; steps begun are finished and no other is started.
    Paused,
    /// Being aborted: steps begun are finished.
    Aborting,
    /// Every step has ended.
    Done,
    /// Ended before every step was started.
    Aborted,
}

impl Phase {
    /// Whether nothing more will happen.
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
    /// The box acted on.
    pub target: BoxId,
    /// What is done.
    pub action: Action,
    /// Why the planner chose it.
    pub reason: Reason,
    /// How far it is.
    pub progress: Progress,
}

/// What a step does to its box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Drain, reboot, start the jobs again.
    Reboot,
    /// Drain, stop the jobs, change the pool, start the jobs named.
    Move {
        /// The pool the box goes to.
        to: PoolId,
        /// The jobs to start there.
        jobs: Vec<ServiceKey>,
    },
    /// Drain, stop the jobs, leave the pool.
    Release,
    /// Take a box that is in no pool.
    Claim {
        /// The pool it goes to.
        to: PoolId,
        /// What the box list says of it.
        shape: Shape,
    },
    /// Start a job.
    Start {
        /// The job's service.
        job: ServiceKey,
    },
    /// Drain, then stop a job.
    Stop {
        /// The job's service.
        job: ServiceKey,
    },
}

impl Action {
    /// Whether the box serves nothing while the step is under way.
    pub fn is_disruptive(&self) -> bool {
        !matches!(self, Action::Claim { .. } | Action::Start { .. })
    }

    /// Whether the step counts as a move of a box or a job.
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
    /// The box holds fewest jobs among those that may go.
    FewestJobs,
    /// The box is in no pool.
    Free,
    /// The box's hall and rack hold fewest replicas of the service.
    Spread,
    /// The service has more replicas than asked for.
    Surplus,
}

/// How far a step is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Not begun.
    Waiting,
    /// Permitted at this offset; the box counts as out of service.
    Out {
        /// Offset of the permit.
        permit: Offset,
    },
    /// The lasting effect is in force; the step still has to be finished.
    Assigned {
        /// Offset of the permit, or of the assignment where none is needed.
        permit: Offset,
    },
    /// Ended.
    Over {
        /// How.
        outcome: Outcome,
    },
}

impl Progress {
    /// Whether the step is under way.
    pub fn is_under_way(&self) -> bool {
        matches!(self, Progress::Out { .. } | Progress::Assigned { .. })
    }

    /// Whether the step has ended.
    pub fn is_over(&self) -> bool {
        matches!(self, Progress::Over { .. })
    }

    /// Offset at which the step began, if it is under way.
    pub fn permit(&self) -> Option<Offset> {
        match self {
            Progress::Out { permit } | Progress::Assigned { permit } => Some(*permit),
            Progress::Waiting | Progress::Over { .. } => None,
        }
    }
}

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// As planned.
    #[error("done")]
    Done,
    /// The box did not become idle within its pool's drain limit; it was left as it was.
    #[error("requests still ran when the drain limit passed")]
    DrainLimit,
    /// The box was down when its turn came, and still at the end.
    #[error("the box is down")]
    Down,
    /// The box did not come back; it stays out and counts against the budget.
    #[error("the box did not come back")]
    Lost,
    /// What the plan was made from has changed, and the log's rule refused the step.
    #[error("refused: what the plan was made from has changed")]
    Refused,
    /// The plan was aborted first.
    #[error("the plan was aborted")]
    Aborted,
}

/// The three measures that operators weigh.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Capacity held back, in box-seconds.
    pub buffer_box_seconds: u64,
    /// Time from confirmation to the last step's end, in seconds.
    pub rollout_seconds: u64,
    /// Boxes and jobs shifted.
    pub moves: u32,
}

impl Plan {
    /// How many steps may be under way in `pool`.
    pub fn width_of(&self, pool: &str) -> u32 {
        let entry = self.width.iter().find(|(id, _)| id.as_ref() == pool);
        entry.map_or(1, |(_, width)| *width)
    }

    /// Whether every step has ended.
    pub fn is_finished(&self) -> bool {
        self.steps.iter().all(|step| step.progress.is_over())
    }

    /// How many steps have ended.
    pub fn count_ended_steps(&self) -> usize {
        let over = self.steps.iter().filter(|step| step.progress.is_over());
        over.count()
    }
}
