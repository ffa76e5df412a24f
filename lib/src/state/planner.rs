//! Computes a plan for an intent: which boxes, in which order, how many at a time, and at what cost.

mod choose;
mod cost;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::account::Scope;
use crate::state::config::Shapes;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::fleet::Service;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::PlanId;
use crate::state::id::PoolId;
use crate::state::id::ServiceId;
use crate::state::id::ServiceKey;
use crate::state::plan::Action;
use crate::state::plan::Base;
use crate::state::plan::Cost;
use crate::state::plan::Driver;
use crate::state::plan::Intent;
use crate::state::plan::Phase;
use crate::state::plan::Plan;
use crate::state::plan::Progress;
use crate::state::plan::Reason;
use crate::state::plan::Step;

/// Why there is no plan for an intent: the constraint that prevents it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum PlanError {
    /// There is no such pool, or it is not in the operator's scope.
    #[error("there is no pool {pool}")]
    UnknownPool {
        /// The name given.
        pool: PoolId,
    },
    /// There is no such service, or it is not in the operator's scope.
    #[error("there is no service {service}")]
    UnknownService {
        /// The name given.
        service: ServiceId,
    },
    /// The boxes would be moved to the pool they are in.
    #[error("both pools are {pool}")]
    SamePool {
        /// The pool.
        pool: PoolId,
    },
    /// The fleet already matches the intent.
    #[error("nothing has to change")]
    Nothing,
    /// Too few boxes are available.
    #[error("{asked} boxes are asked for, but only {available} can be taken; {blocker}")]
    TooFew {
        /// Requested number of boxes.
        asked: u32,
        /// Available number of boxes.
        available: u32,
        /// Why no others are available.
        blocker: Blocker,
    },
    /// Too few boxes have the resources for another replica of the service.
    #[error("{asked} replicas are asked for, but only {available} boxes of the pool have room")]
    NoRoom {
        /// Requested number of replicas.
        asked: u32,
        /// Number of replicas that can run.
        available: u32,
    },
    /// The account's jobs would use more slots than its quota.
    #[error("the account's jobs would take up {asked} slots, and its quota is {quota}")]
    Quota {
        /// Slots that all jobs of the account would use.
        asked: u32,
        /// The quota.
        quota: u32,
    },
    /// The service would have fewer replicas than its minimum.
    #[error("{asked} replicas are asked for, but min_up of {service} is {min_up}")]
    MinUp {
        /// The service.
        service: ServiceId,
        /// Requested number of replicas.
        asked: u32,
        /// Minimum number of replicas up.
        min_up: u32,
    },
}

/// Why no more boxes are available.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(tag = "blocker", rename_all = "kebab-case")]
pub enum Blocker {
    /// The box list has no more boxes that are in no pool.
    #[error("no others are in the box list without a pool")]
    NoneFree,
    /// The pool has no more boxes in service.
    #[error("the pool has no others")]
    NoneLeft,
    /// A service of the pool would fall below its minimum number of replicas.
    #[error("lower min_up of {service} or place more of it first")]
    MinUp {
        /// The service.
        service: ServiceId,
    },
}

/// The inputs of planning.
pub struct Planner<'a> {
    /// The replicated state.
    pub fleet: &'a Fleet,
    /// Boxes of the box list, without those that are leaving.
    pub shapes: &'a Shapes,
    /// The objects that the intent may refer to.
    pub scope: &'a Scope,
}

/// The steps of a plan, with the state they were computed from and their cost.
#[derive(Default)]
struct Draft {
    steps: Vec<Step>,
    base: Vec<Base>,
    width: Vec<(PoolId, u32)>,
    cost: Cost,
}

impl Planner<'_> {
    /// Computes a plan with the given id. It has no effect until it is proposed and confirmed.
    ///
    /// # Errors
    ///
    /// The constraint that prevents it, or [`PlanError::Nothing`] if no step is needed.
    pub fn plan(&self, id: PlanId, intent: Intent) -> Result<Plan, PlanError> {
        let draft = match &intent {
            Intent::Resize { pool, boxes } => self.draft_resize(pool, *boxes)?,
            Intent::Move { from, to, boxes } => self.draft_move(from, to, *boxes)?,
            Intent::Place { account, service, replicas } => {
                self.draft_placement(account, service, *replicas)?
            }
            Intent::Maintain { pools } => self.draft_maintenance(pools)?,
        };
        if draft.steps.is_empty() {
            return Err(PlanError::Nothing);
        }
        let account = match self.scope {
            Scope::Site => None,
            Scope::Account(account) => Some(account.clone()),
        };
        Ok(Plan {
            id,
            account,
            intent,
            steps: draft.steps,
            base: draft.base,
            width: draft.width,
            predicted: draft.cost,
            phase: Phase::Proposed,
            driver: Driver::default(),
            version: 0,
        })
    }

    fn pool(&self, id: &PoolId) -> Result<&Pool, PlanError> {
        let pool = self.fleet.pools.get(id);
        let visible = pool.filter(|pool| self.scope.includes(&pool.account));
        visible.ok_or_else(|| PlanError::UnknownPool { pool: id.clone() })
    }

    fn service(&self, key: &ServiceKey) -> Result<&Service, PlanError> {
        let service = self.fleet.services.get(key);
        let visible = service.filter(|_| self.scope.includes(&key.0));
        visible.ok_or_else(|| PlanError::UnknownService { service: key.1.clone() })
    }

    fn draft_maintenance(&self, pools: &[PoolId]) -> Result<Draft, PlanError> {
        let mut draft = Draft::default();
        for id in pools {
            let pool = self.pool(id)?;
            let width = cost::width(self.fleet, pool);
            let order = choose::maintenance_order(self.fleet, pool);
            draft.cost =
                draft.cost.in_parallel_with(cost::reboot_cost(pool, order.len() as u32, width));
            let steps =
                order.into_iter().map(|target| waiting_step(target, Action::Reboot, Reason::Due));
            draft.steps.extend(steps);
            draft.base.push(Base::Pool(id.clone(), pool.version));
            draft.width.push((id.clone(), width));
        }
        Ok(draft)
    }

    fn draft_move(&self, from: &PoolId, to: &PoolId, boxes: u32) -> Result<Draft, PlanError> {
        if from == to {
            return Err(PlanError::SamePool { pool: from.clone() });
        }
        let source = self.pool(from)?;
        let destination = self.pool(to)?;
        let removed = choose::removable_boxes(self.fleet, source, boxes)?;
        let mut assigner = choose::JobAssigner::new(self.fleet, to);
        let mut draft = self.removal_draft(from, source, removed.len() as u32);
        draft.base.push(Base::Pool(to.clone(), destination.version));
        for target in removed {
            let shape = &self.fleet.boxes[&target].shape;
            let action = Action::Move { to: to.clone(), jobs: assigner.assign(shape) };
            draft.steps.push(waiting_step(target, action, Reason::FewestJobs));
        }
        Ok(draft)
    }

    /// A draft, without steps, for taking `count` boxes of `pool` out of service.
    fn removal_draft(&self, id: &PoolId, pool: &Pool, count: u32) -> Draft {
        let width = cost::width(self.fleet, pool).min(count);
        Draft {
            steps: Vec::new(),
            base: vec![Base::Pool(id.clone(), pool.version)],
            width: vec![(id.clone(), width)],
            cost: cost::move_cost(count, width),
        }
    }

    fn draft_resize(&self, id: &PoolId, boxes: u32) -> Result<Draft, PlanError> {
        let pool = self.pool(id)?;
        let current = pool.boxes.len() as u32;
        if boxes < current {
            let removed = choose::removable_boxes(self.fleet, pool, current - boxes)?;
            let mut draft = self.removal_draft(id, pool, current - boxes);
            let release = |target| waiting_step(target, Action::Release, Reason::FewestJobs);
            draft.steps = removed.into_iter().map(release).collect();
            return Ok(draft);
        }
        let chosen = choose::unassigned_boxes(self.fleet, self.shapes, pool, boxes - current)?;
        let mut draft = Draft::default();
        draft.base.push(Base::Pool(id.clone(), pool.version));
        draft.cost.moves = boxes - current;
        for (target, shape) in chosen {
            draft.base.push(Base::Box(target.clone(), 0));
            let action = Action::Claim { to: id.clone(), shape };
            draft.steps.push(waiting_step(target, action, Reason::Free));
        }
        Ok(draft)
    }

    fn draft_placement(
        &self,
        account: &AccountId,
        service: &ServiceId,
        replicas: u32,
    ) -> Result<Draft, PlanError> {
        let key = (account.clone(), service.clone());
        let found = self.service(&key)?;
        let pool = &self.fleet.pools[&found.pool];
        if replicas > 0 && replicas < found.min_up {
            let service = service.clone();
            let min_up = found.min_up;
            return Err(PlanError::MinUp { service, asked: replicas, min_up });
        }
        let current = (found.placed.len() + found.starting.len()) as u32;
        let mut draft = if replicas >= current {
            self.draft_starts(&key, found, pool, replicas - current)?
        } else {
            self.draft_stops(&key, found, pool, current - replicas)
        };
        draft.base.push(Base::Service(key, found.version));
        Ok(draft)
    }

    fn draft_starts(
        &self,
        key: &ServiceKey,
        service: &Service,
        pool: &Pool,
        count: u32,
    ) -> Result<Draft, PlanError> {
        let additional = count.saturating_mul(service.slots);
        let asked = self.fleet.slots_used(&key.0).saturating_add(additional);
        if let Some(quota) = self.fleet.quota_slots(&key.0)
            && asked > quota
        {
            return Err(PlanError::Quota { asked, quota });
        }
        let targets = choose::placement_boxes(self.fleet, service, pool, count);
        if (targets.len() as u32) < count {
            let available = (service.placed.len() + targets.len()) as u32;
            let asked = service.placed.len() as u32 + count;
            return Err(PlanError::NoRoom { asked, available });
        }
        let mut draft = Draft::default();
        draft.cost.moves = count;
        draft.cost.rollout_seconds = u64::from(count > 0) * cost::START_S;
        draft.width.push((service.pool.clone(), count.max(1)));
        for target in targets {
            let action = Action::Start { job: key.clone() };
            draft.steps.push(waiting_step(target, action, Reason::Spread));
        }
        Ok(draft)
    }

    fn draft_stops(&self, key: &ServiceKey, service: &Service, pool: &Pool, count: u32) -> Draft {
        let mut draft = self.removal_draft(&service.pool, pool, count);
        draft.base.clear();
        for target in choose::surplus_boxes(self.fleet, service, count) {
            let action = Action::Stop { job: key.clone() };
            draft.steps.push(waiting_step(target, action, Reason::Surplus));
        }
        draft
    }
}

fn waiting_step(target: BoxId, action: Action, reason: Reason) -> Step {
    Step { target, action, reason, progress: Progress::Waiting }
}
