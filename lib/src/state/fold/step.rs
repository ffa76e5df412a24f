//! Checks and applies the progress of a plan's steps: permit, assignment and end.

use crate::state::fleet::Entry;
use crate::state::fleet::Fleet;
use crate::state::fleet::Pool;
use crate::state::fleet::Shape;
use crate::state::fold::Area;
use crate::state::fold::Object;
use crate::state::fold::Refusal;
use crate::state::id::BoxId;
use crate::state::id::Offset;
use crate::state::id::PoolId;
use crate::state::id::ServiceKey;
use crate::state::plan::Action;
use crate::state::plan::Outcome;
use crate::state::plan::Phase;
use crate::state::plan::Progress;
use crate::state::plan::Step;
use crate::state::record::StepRef;

impl Fleet {
    /// Takes the box of a step out of service if the budget allows it.
    pub(super) fn permit(&mut self, at: Offset, step_ref: StepRef) -> Result<(), Refusal> {
        let step = self.resolve_step(step_ref)?;
        let target = step.target.clone();
        if step.progress != Progress::Waiting || !step.action.is_disruptive() {
            return Err(Refusal::Step);
        }
        self.check_running(step_ref)?;
        self.check_budget(&target)?;
        let entry = self.boxes.get_mut(&target).expect("check_budget looked it up");
        entry.out = Some((step_ref.plan, at));
        entry.version = at;
        self.set_progress(step_ref, Progress::Out { permit: at });
        Ok(())
    }

    /// Checks whether `target` may be taken out of service now.
    pub fn check_budget(&self, target: &BoxId) -> Result<(), Refusal> {
        let target = target.clone();
        let Some(entry) = self.boxes.get(&target) else {
            return Err(Refusal::NoBox { target });
        };
        if entry.out.is_some() {
            return Err(Refusal::Busy { target });
        }
        if entry.down {
            return Err(Refusal::Down { target });
        }
        self.check_pool_budget(entry)?;
        self.check_min_up(&target)
    }

    /// Number of boxes of `entry`'s pool that are out of service: in all, in its hall, in its rack.
    fn count_out_by_area(&self, entry: &Entry) -> [u32; 3] {
        let mut out = [0; 3];
        for (_, other) in self.boxes_out(&self.pools[&entry.pool]) {
            out[0] += 1;
            out[1] += u32::from(other.shape.hall == entry.shape.hall);
            out[2] += u32::from(other.shape.rack == entry.shape.rack);
        }
        out
    }

    fn check_pool_budget(&self, entry: &Entry) -> Result<(), Refusal> {
        let budget = self.pools[&entry.pool].budget;
        let [in_pool, in_hall, in_rack] = self.count_out_by_area(entry);
        let areas = [
            (Area::Pool, Some(budget.max_out), in_pool),
            (Area::Hall, budget.max_out_per_hall, in_hall),
            (Area::Rack, budget.max_out_per_rack, in_rack),
        ];
        for (area, limit, out) in areas {
            let limit = limit.unwrap_or(u32::MAX);
            if out >= limit {
                let pool = entry.pool.clone();
                return Err(Refusal::Budget { pool, area, limit, out });
            }
        }
        Ok(())
    }

    fn check_min_up(&self, target: &BoxId) -> Result<(), Refusal> {
        for key in self.jobs_on(target) {
            let service = &self.services[key];
            let up = self.replicas_up(service);
            if up <= service.min_up {
                let min_up = service.min_up;
                let service = key.1.clone();
                return Err(Refusal::MinUp { service, up, min_up });
            }
        }
        Ok(())
    }

    /// Applies the permanent effect of a step.
    pub(super) fn assign(&mut self, at: Offset, step_ref: StepRef) -> Result<(), Refusal> {
        let step = self.resolve_step(step_ref)?.clone();
        let permit = match (&step.progress, step.action.is_disruptive()) {
            (Progress::Out { permit }, true) => *permit,
            (Progress::Waiting, false) => {
                self.check_running(step_ref)?;
                at
            }
            _ => return Err(Refusal::Step),
        };
        match &step.action {
            Action::Reboot => return Err(Refusal::Step),
            Action::Move { to, jobs } => self.move_box(at, &step.target, to, jobs)?,
            Action::Release => self.remove_box(at, &step.target)?,
            Action::Claim { to, shape } => self.claim_box(at, &step, to, shape)?,
            Action::Start { job } => self.start_job(at, &step.target, job)?,
            Action::Stop { job } => self.stop_job(at, &step.target, job),
        }
        self.set_progress(step_ref, Progress::Assigned { permit });
        Ok(())
    }

    fn move_box(
        &mut self,
        at: Offset,
        target: &BoxId,
        to: &PoolId,
        jobs: &[ServiceKey],
    ) -> Result<(), Refusal> {
        self.existing_pool(to)?;
        let entry = self.boxes.get(target).cloned();
        let mut entry = entry.ok_or(Refusal::NoBox { target: target.clone() })?;
        self.remove_box(at, target)?;
        entry.pool = to.clone();
        entry.version = at;
        self.insert_box(at, target, entry);
        // A job whose service no longer exists or that no longer fits is skipped; the others start.
        let existing = jobs.iter().filter(|job| self.services.contains_key(*job));
        for job in existing.cloned().collect::<Vec<_>>() {
            if self.check_resources(target, &job).is_ok() && self.check_quota(&job).is_ok() {
                self.place_job(at, target, &job);
            }
        }
        Ok(())
    }

    fn remove_box(&mut self, at: Offset, target: &BoxId) -> Result<(), Refusal> {
        let entry = self.boxes.remove(target);
        let entry = entry.ok_or(Refusal::NoBox { target: target.clone() })?;
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.boxes.remove(target);
            pool.version = at;
        }
        for service in self.services.values_mut() {
            let was_placed = service.placed.remove(target);
            let was_starting = service.starting.remove(target);
            if was_placed || was_starting {
                service.version = at;
            }
        }
        Ok(())
    }

    fn claim_box(
        &mut self,
        at: Offset,
        step: &Step,
        to: &PoolId,
        shape: &Shape,
    ) -> Result<(), Refusal> {
        self.existing_pool(to)?;
        if self.boxes.contains_key(&step.target) {
            return Err(Refusal::BoxTaken { target: step.target.clone() });
        }
        let entry = Entry::new(to.clone(), shape.clone(), at);
        self.insert_box(at, &step.target, entry);
        Ok(())
    }

    fn start_job(&mut self, at: Offset, target: &BoxId, job: &ServiceKey) -> Result<(), Refusal> {
        if !self.services.contains_key(job) {
            let object = Object::Service(job.1.as_ref().into());
            return Err(Refusal::Missing { object });
        }
        self.check_resources(target, job)?;
        self.check_quota(job)?;
        let service = self.services.get_mut(job).expect("looked up above");
        service.starting.insert(target.clone());
        service.version = at;
        self.bump_version(at, target);
        Ok(())
    }

    /// Checks that the account's quota allows one more replica of the service. Called only when a
    /// job is started: lowering a quota stops no running jobs.
    fn check_quota(&self, job: &ServiceKey) -> Result<(), Refusal> {
        let used = self.slots_used(&job.0);
        match self.quota_slots(&job.0) {
            Some(quota) if used.saturating_add(self.services[job].slots) > quota => {
                Err(Refusal::Quota { used, quota })
            }
            _ => Ok(()),
        }
    }

    fn check_resources(&self, target: &BoxId, job: &ServiceKey) -> Result<(), Refusal> {
        let entry = self.boxes.get(target);
        let entry = entry.ok_or(Refusal::NoBox { target: target.clone() })?;
        let service = &self.services[job];
        let (slots, memory_mb) = self.free_resources(target, &entry.shape);
        let fits = slots >= service.slots && memory_mb >= service.memory_mb;
        if fits && entry.pool == service.pool {
            return Ok(());
        }
        let service = job.1.clone();
        Err(Refusal::NoRoom { target: target.clone(), service })
    }

    fn stop_job(&mut self, at: Offset, target: &BoxId, job: &ServiceKey) {
        if let Some(service) = self.services.get_mut(job) {
            service.placed.remove(target);
            service.starting.remove(target);
            service.version = at;
        }
        self.bump_version(at, target);
    }

    fn place_job(&mut self, at: Offset, target: &BoxId, job: &ServiceKey) {
        if let Some(service) = self.services.get_mut(job) {
            service.starting.remove(target);
            service.placed.insert(target.clone());
            service.version = at;
        }
    }

    fn bump_version(&mut self, at: Offset, target: &BoxId) {
        if let Some(entry) = self.boxes.get_mut(target) {
            entry.version = at;
        }
    }

    fn existing_pool(&self, id: &PoolId) -> Result<&Pool, Refusal> {
        let object = || Object::Pool(id.as_ref().into());
        self.pools.get(id).ok_or_else(|| Refusal::Missing { object: object() })
    }

    /// Ends a step and returns its box to service.
    pub(super) fn finish(
        &mut self,
        at: Offset,
        step_ref: StepRef,
        outcome: Outcome,
    ) -> Result<(), Refusal> {
        let step = self.resolve_step(step_ref)?.clone();
        let is_skipped = outcome != Outcome::Done && step.progress == Progress::Waiting;
        if !step.progress.is_under_way() && !is_skipped {
            return Err(Refusal::Step);
        }
        self.return_box(at, step_ref, &step.target, outcome);
        if let Action::Start { job } = &step.action {
            self.finish_start(at, &step, job, outcome);
        }
        self.set_progress(step_ref, Progress::Over { outcome });
        self.end_plan_if_finished(at, step_ref);
        Ok(())
    }

    /// Returns the box to service if this plan has taken it out. After [`Outcome::Lost`] the box is
    /// down instead, so it still counts against the budget.
    fn return_box(&mut self, at: Offset, step_ref: StepRef, target: &BoxId, outcome: Outcome) {
        let Some(entry) = self.boxes.get_mut(target) else {
            return;
        };
        let is_out_for_plan = entry.out.is_some_and(|(plan, _)| plan == step_ref.plan);
        if is_out_for_plan {
            entry.out = None;
            entry.down = outcome == Outcome::Lost;
            entry.version = at;
        }
    }

    fn finish_start(&mut self, at: Offset, step: &Step, job: &ServiceKey, outcome: Outcome) {
        let Some(service) = self.services.get_mut(job) else {
            return;
        };
        let was_starting = service.starting.remove(&step.target);
        if was_starting && outcome == Outcome::Done {
            self.place_job(at, &step.target, job);
        }
        self.bump_version(at, &step.target);
    }

    fn end_plan_if_finished(&mut self, at: Offset, step_ref: StepRef) {
        let plan = self.plans.get_mut(&step_ref.plan).expect("resolve_step looked the plan up");
        if !plan.is_finished() {
            return;
        }
        plan.version = at;
        plan.phase = match plan.phase {
            Phase::Aborting => Phase::Aborted,
            _ => Phase::Done,
        };
        self.drop_old_plans();
    }

    fn resolve_step(&self, step_ref: StepRef) -> Result<&Step, Refusal> {
        let plan = self.plans.get(&step_ref.plan).ok_or(Refusal::UnknownPlan)?;
        if !plan.phase.needs_driver() {
            return Err(Refusal::Phase { phase: plan.phase });
        }
        if plan.driver.epoch != step_ref.epoch {
            return Err(Refusal::Epoch { epoch: plan.driver.epoch });
        }
        plan.steps.get(step_ref.step as usize).ok_or(Refusal::Step)
    }

    fn check_running(&self, step_ref: StepRef) -> Result<(), Refusal> {
        let phase = self.plans[&step_ref.plan].phase;
        if phase == Phase::Running {
            return Ok(());
        }
        Err(Refusal::Phase { phase })
    }

    fn set_progress(&mut self, step_ref: StepRef, progress: Progress) {
        if let Some(plan) = self.plans.get_mut(&step_ref.plan) {
            plan.steps[step_ref.step as usize].progress = progress;
        }
    }
}
