//! The state transition that every daemon applies to every record, in offset order.
//!
//! Whether a record is accepted depends only on the record and on the [`Fleet`] that the records
//! before it produced, so all readers reach the same verdict. The writer learns the verdict by
//! reading the record back. A refused record changes nothing.
//!
//! Versions, permits and fences are positions. The position of a batch is its offset plus one: a
//! daemon has applied the batch once its next offset is at least the position. Position 0 precedes
//! all batches.

mod publish;
mod step;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::fleet::Fleet;
use crate::state::fleet::Writer;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Offset;
use crate::state::id::PlanId;
use crate::state::id::PoolId;
use crate::state::id::RecordId;
use crate::state::id::ServiceId;
use crate::state::plan::Base;
use crate::state::plan::Outcome;
use crate::state::plan::Phase;
use crate::state::plan::Plan;
use crate::state::plan::Progress;
use crate::state::record::Batch;
use crate::state::record::Body;
use crate::state::record::Control;

/// Number of latest verdicts that are kept for later queries by operators.
pub const MAX_VERDICTS: usize = 4096;
/// Number of ended plans that are kept; the oldest are dropped.
pub const MAX_ENDED_PLANS: usize = 64;
/// Maximum number of unconfirmed plans of an account; a new plan replaces the oldest.
pub const MAX_PROPOSED_PLANS: usize = 8;
/// Maximum number of confirmed plans in progress of an account.
pub const MAX_RUNNING_PLANS: usize = 32;
/// Maximum number of steps of a plan.
pub const MAX_STEPS: usize = 10_000;

/// The result of a record: the position at which it was accepted, or why it was refused.
pub type Verdict = Result<Offset, Refusal>;

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// A later incarnation of the daemon has written since.
    #[error("the daemon that wrote this has been replaced")]
    Superseded,
    /// An object changed after it was read.
    #[error("{object} changed at {now}, after it was read at {read}")]
    Stale {
        /// The object.
        object: Object,
        /// The version on which the change is based.
        read: Offset,
        /// The current version.
        now: Offset,
    },
    /// There is no such plan.
    #[error("there is no such plan")]
    UnknownPlan,
    /// Another plan has the same id.
    #[error("the plan's id is taken")]
    PlanExists,
    /// The plan's phase does not allow the action.
    #[error("the plan is {}", describe_phase(*phase))]
    Phase {
        /// The current phase.
        phase: Phase,
    },
    /// The epoch is not the current one of the plan's driver, or not the next one for a takeover.
    #[error("a later driver has taken over in epoch {epoch}")]
    Epoch {
        /// The current epoch.
        epoch: u32,
    },
    /// The step does not exist, or its progress or action does not allow the change.
    #[error("the step has already gone past this point")]
    Step,
    /// Another daemon has marked a snapshot since.
    #[error("a snapshot was marked at {at}")]
    Marked {
        /// Position of the latest mark.
        at: Offset,
    },
    /// The box is not in a pool.
    #[error("box {target} is not in a pool")]
    NoBox {
        /// The box.
        target: BoxId,
    },
    /// The box is in another pool.
    #[error("box {target} is in another pool; boxes move by an intent")]
    BoxTaken {
        /// The box.
        target: BoxId,
    },
    /// Another plan has taken the box out of service.
    #[error("box {target} is out of service under another plan")]
    Busy {
        /// The box.
        target: BoxId,
    },
    /// The box is unresponsive.
    #[error("box {target} is down")]
    Down {
        /// The box.
        target: BoxId,
    },
    /// The pool's availability budget is used up.
    #[error("{out} of {limit} boxes that may be out in {area} of pool {pool} already are")]
    Budget {
        /// The pool.
        pool: PoolId,
        /// The area of the limit.
        area: Area,
        /// The limit.
        limit: u32,
        /// Number of boxes that are out.
        out: u32,
    },
    /// A service would fall below the replicas that must stay up.
    #[error("service {service} has {up} replicas up and must keep {min_up}")]
    MinUp {
        /// The service.
        service: ServiceId,
        /// Number of replicas up.
        up: u32,
        /// Minimum number of replicas up.
        min_up: u32,
    },
    /// The box is not in the service's pool, or has too few free slots or too little memory.
    #[error("box {target} has no room for {service}")]
    NoRoom {
        /// The box.
        target: BoxId,
        /// The service.
        service: ServiceId,
    },
    /// The account's jobs would use more slots than its quota.
    #[error("the account's jobs take up {used} slots, and its quota is {quota}")]
    Quota {
        /// Slots in use.
        used: u32,
        /// The quota.
        quota: u32,
    },
    /// An object that the record refers to does not exist.
    #[error("there is no {object}")]
    Missing {
        /// The object.
        object: Object,
    },
    /// Publishing cannot change the owner of a pool or the pool of a placed service.
    #[error("{object} is in use; its owner and place change by an intent only")]
    InUse {
        /// The object.
        object: Object,
    },
    /// The account has too many plans in progress, or the plan has too many steps.
    #[error("over the limit of {limit}")]
    TooMany {
        /// The limit.
        limit: u32,
    },
}

/// The object that a refusal is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Object {
    /// An account.
    #[error("account {0}")]
    Account(Box<str>),
    /// A pool.
    #[error("pool {0}")]
    Pool(Box<str>),
    /// A service.
    #[error("service {0}")]
    Service(Box<str>),
    /// A box.
    #[error("box {0}")]
    Box(Box<str>),
}

/// The area that a budget limit applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Area {
    /// All of the pool.
    #[error("all")]
    Pool,
    /// One hall.
    #[error("one hall")]
    Hall,
    /// One rack.
    #[error("one rack")]
    Rack,
}

fn describe_phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Proposed => "not confirmed",
        Phase::Running => "running",
        Phase::Paused => "paused",
        Phase::Aborting => "being aborted",
        Phase::Done => "done",
        Phase::Aborted => "aborted",
    }
}

impl Fleet {
    /// Applies the batch at `offset` and returns the verdict on each of its records.
    ///
    /// A batch that was applied before changes nothing and returns no verdicts. The records of a
    /// batch from an earlier incarnation of its writer are all refused.
    ///
    /// ```
    /// use spokelift_lib::state::fleet::Fleet;
    /// use spokelift_lib::state::record::{Batch, Body, Record};
    /// let mut fleet = Fleet::default();
    /// let record = Record { id: 9, body: Body::Confirm(1) };
    /// let batch = Batch { writer: 0, incarnation: 1, sequence: 1, records: vec![record] };
    /// assert!(fleet.apply(0, &batch)[0].1.is_err());
    /// assert!(fleet.apply(1, &batch).is_empty(), "a duplicate batch");
    /// assert_eq!(fleet.next, 2);
    /// ```
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Vec<(RecordId, Verdict)> {
        self.next = offset + 1;
        match self.admit(batch) {
            Admission::Duplicate => Vec::new(),
            Admission::Superseded => self.refuse_all(batch),
            Admission::New => self.apply_records(offset + 1, batch),
        }
    }

    fn admit(&mut self, batch: &Batch) -> Admission {
        let writer = Writer { incarnation: batch.incarnation, sequence: batch.sequence };
        let last = self.writers.get(&batch.writer);
        if let Some(last) = last {
            if last.incarnation > writer.incarnation {
                return Admission::Superseded;
            }
            if last.incarnation == writer.incarnation && last.sequence >= writer.sequence {
                return Admission::Duplicate;
            }
        }
        self.writers.insert(batch.writer, writer);
        Admission::New
    }

    fn refuse_all(&mut self, batch: &Batch) -> Vec<(RecordId, Verdict)> {
        let ids = batch.records.iter().map(|record| record.id);
        let verdicts: Vec<_> = ids.map(|id| (id, Err(Refusal::Superseded))).collect();
        self.keep_verdicts(&verdicts);
        verdicts
    }

    fn apply_records(&mut self, at: Offset, batch: &Batch) -> Vec<(RecordId, Verdict)> {
        let mut verdicts = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            let verdict = self.apply_record(at, &record.body);
            verdicts.push((record.id, verdict.map(|()| at)));
        }
        self.keep_verdicts(&verdicts);
        verdicts
    }

    fn keep_verdicts(&mut self, verdicts: &[(RecordId, Verdict)]) {
        self.verdicts.extend(verdicts.iter().cloned());
        let excess = self.verdicts.len().saturating_sub(MAX_VERDICTS);
        self.verdicts.drain(..excess);
    }

    fn apply_record(&mut self, at: Offset, body: &Body) -> Result<(), Refusal> {
        match body {
            Body::Publish(change) => self.publish(at, change),
            Body::Propose(plan) => self.propose(at, plan),
            Body::Confirm(plan) => self.confirm(at, *plan),
            Body::Drive { plan, holder, epoch } => self.drive(at, *plan, *holder, *epoch),
            Body::Permit(step_ref) => self.permit(at, *step_ref),
            Body::Assign(step_ref) => self.assign(at, *step_ref),
            Body::Finish(step_ref, outcome) => self.finish(at, *step_ref, *outcome),
            Body::Control { plan, action } => self.control(at, *plan, *action),
            Body::Down(targets) => self.set_down(at, targets, true),
            Body::Up(targets) => self.set_down(at, targets, false),
            Body::Mark { after } => self.mark_snapshot(at, *after),
            Body::Snapshot(_) => Ok(()),
        }
    }

    /// Refuses a mark that does not follow the latest one, so that only one daemon writes a snapshot
    /// at a time.
    fn mark_snapshot(&mut self, at: Offset, after: Offset) -> Result<(), Refusal> {
        if self.marked != after {
            return Err(Refusal::Marked { at: self.marked });
        }
        self.marked = at;
        Ok(())
    }

    fn propose(&mut self, at: Offset, plan: &Plan) -> Result<(), Refusal> {
        if self.plans.contains_key(&plan.id) {
            return Err(Refusal::PlanExists);
        }
        if plan.phase != Phase::Proposed {
            return Err(Refusal::Phase { phase: plan.phase });
        }
        if plan.steps.len() > MAX_STEPS {
            return Err(Refusal::TooMany { limit: MAX_STEPS as u32 });
        }
        let mut plan = plan.clone();
        plan.version = at;
        self.plans.insert(plan.id, plan);
        self.drop_old_plans();
        Ok(())
    }

    /// Drops the oldest ended plans and each account's oldest unconfirmed plans beyond the limits.
    fn drop_old_plans(&mut self) {
        let mut ended: Vec<(Offset, PlanId)> = Vec::new();
        let mut proposed: Vec<(&Option<AccountId>, Offset, PlanId)> = Vec::new();
        for plan in self.plans.values() {
            if plan.phase.is_over() {
                ended.push((plan.version, plan.id));
            }
            if plan.phase == Phase::Proposed {
                proposed.push((&plan.account, plan.version, plan.id));
            }
        }
        ended.sort_unstable();
        let excess = ended.len().saturating_sub(MAX_ENDED_PLANS);
        let mut dropped: Vec<PlanId> = ended[..excess].iter().map(|(_, id)| *id).collect();
        proposed.sort_unstable();
        for group in proposed.chunk_by(|a, b| a.0 == b.0) {
            let excess = group.len().saturating_sub(MAX_PROPOSED_PLANS);
            dropped.extend(group[..excess].iter().map(|(_, _, id)| *id));
        }
        for id in dropped {
            self.plans.remove(&id);
        }
    }

    fn confirm(&mut self, at: Offset, id: PlanId) -> Result<(), Refusal> {
        let plan = self.plans.get(&id).ok_or(Refusal::UnknownPlan)?;
        if plan.phase != Phase::Proposed {
            return Err(Refusal::Phase { phase: plan.phase });
        }
        for base in &plan.base {
            self.check_base(base)?;
        }
        let in_progress =
            |other: &&Plan| other.account == plan.account && other.phase.needs_driver();
        if self.plans.values().filter(in_progress).count() >= MAX_RUNNING_PLANS {
            return Err(Refusal::TooMany { limit: MAX_RUNNING_PLANS as u32 });
        }
        self.start_plan(at, id);
        Ok(())
    }

    fn check_base(&self, base: &Base) -> Result<(), Refusal> {
        let (read, now) = match base {
            Base::Pool(id, read) => (*read, self.pools.get(id).map_or(0, |pool| pool.version)),
            Base::Service(key, read) => {
                let service = self.services.get(key);
                (*read, service.map_or(0, |service| service.version))
            }
            Base::Box(id, read) => (*read, self.boxes.get(id).map_or(0, |entry| entry.version)),
        };
        if read == now {
            return Ok(());
        }
        let object = match base {
            Base::Pool(id, _) => Object::Pool(id.as_ref().into()),
            Base::Service((_, id), _) => Object::Service(id.as_ref().into()),
            Base::Box(id, _) => Object::Box(id.as_ref().into()),
        };
        Err(Refusal::Stale { object, read, now })
    }

    /// Starts a plan whose bases were checked. Its pools and services get a new version, so that
    /// other plans computed from the same state become stale.
    fn start_plan(&mut self, at: Offset, id: PlanId) {
        let plan = self.plans.get_mut(&id).expect("confirm looked the plan up");
        plan.version = at;
        plan.phase = if plan.is_finished() { Phase::Done } else { Phase::Running };
        for base in &plan.base {
            match base {
                Base::Pool(id, _) => {
                    self.pools.entry(id.clone()).and_modify(|pool| pool.version = at);
                }
                Base::Service(key, _) => {
                    self.services.entry(key.clone()).and_modify(|service| service.version = at);
                }
                Base::Box(..) => {}
            }
        }
    }

    fn drive(
        &mut self,
        at: Offset,
        id: PlanId,
        holder: DaemonId,
        epoch: u32,
    ) -> Result<(), Refusal> {
        let plan = self.plans.get_mut(&id).ok_or(Refusal::UnknownPlan)?;
        if !plan.phase.needs_driver() {
            return Err(Refusal::Phase { phase: plan.phase });
        }
        if epoch != plan.driver.epoch + 1 {
            return Err(Refusal::Epoch { epoch: plan.driver.epoch });
        }
        plan.driver.holder = Some(holder);
        plan.driver.epoch = epoch;
        plan.driver.fence = at;
        Ok(())
    }

    fn control(&mut self, at: Offset, id: PlanId, action: Control) -> Result<(), Refusal> {
        let plan = self.plans.get_mut(&id).ok_or(Refusal::UnknownPlan)?;
        let next = match (action, plan.phase) {
            (Control::Pause, Phase::Running) => Phase::Paused,
            (Control::Resume, Phase::Paused) => Phase::Running,
            (Control::Abort, Phase::Proposed) => Phase::Aborted,
            (Control::Abort, Phase::Running | Phase::Paused) => Phase::Aborting,
            (_, phase) => return Err(Refusal::Phase { phase }),
        };
        plan.phase = next;
        plan.version = at;
        if action == Control::Abort {
            plan.abort_waiting();
        }
        Ok(())
    }

    fn set_down(&mut self, at: Offset, targets: &[BoxId], down: bool) -> Result<(), Refusal> {
        for target in targets {
            let Some(entry) = self.boxes.get_mut(target) else {
                continue;
            };
            // While a plan has the box out, the plan's driver determines its state.
            if entry.out.is_none() && entry.down != down {
                entry.down = down;
                entry.version = at;
            }
        }
        Ok(())
    }
}

/// How a batch relates to its writer's last one.
enum Admission {
    New,
    Duplicate,
    /// From an incarnation before the writer's latest.
    Superseded,
}

impl Plan {
    fn abort_waiting(&mut self) {
        for step in &mut self.steps {
            if step.progress == Progress::Waiting {
                let outcome = Outcome::Aborted;
                step.progress = Progress::Over { outcome };
            }
        }
        if self.is_finished() {
            self.phase = Phase::Aborted;
        }
    }
}
