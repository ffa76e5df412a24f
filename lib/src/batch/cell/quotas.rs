//! Quotas of accounts: how much an account may have running.
//!
//! Every run that may exist on a worker counts, from the start order until the run is known to be
//! over. Until every worker has answered the present scheduler, what an earlier scheduler may have
//! started there counts as well. Lowering a quota stops nothing: no task of the account is started
//! until its usage is below the quota.

use std::collections::HashMap;
use std::sync::Arc;

use spokelift_platform::config::Quota;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::config::Config;
use crate::batch::job::Entry;
use crate::batch::usage::Claim;
use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::state::id::AccountId;

/// The known quotas, and the usage that this scheduler cannot see.
#[derive(Default)]
pub struct Quotas {
    /// The configuration in force; `None` until one is known.
    config: Option<Arc<Config>>,
    /// Quotas by account. An account that was removed from the configuration keeps its last quota
    /// while its jobs run.
    by_account: HashMap<AccountId, Quota>,
    /// What an earlier scheduler may have running on workers that have not been polled.
    unpolled_usage: Totals,
    /// The numbers of unpolled workers and of admitted jobs that [`Self::unpolled_usage`] was
    /// computed for.
    unpolled_usage_inputs: (usize, usize),
    /// Number of jobs admitted so far.
    pub(super) admitted_jobs: usize,
}

impl Cell {
    /// Applies the quotas of a configuration, unless that version or a later one is in force.
    pub fn set_quotas(&mut self, config: &Arc<Config>) {
        let current = self.quotas.config.as_ref();
        if current.is_some_and(|current| current.version >= config.version) {
            return;
        }
        let quotas = config.accounts().iter();
        self.quotas.by_account.extend(quotas.map(|(id, account)| (id.clone(), account.maximum)));
        self.quotas.config = Some(config.clone());
        self.request_placement();
    }

    /// The configuration in force; `None` if none is known yet.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.quotas.config.as_ref()
    }

    /// The quota of an account; `None` if it has none, or was removed from the configuration before
    /// this scheduler started.
    pub fn quota_of(&self, account: &AccountId) -> Option<&Quota> {
        self.quotas.by_account.get(account)
    }

    /// The usage of an account, including what an earlier scheduler may have running on unpolled
    /// workers.
    pub fn usage_of(&self, account: &AccountId) -> Usage {
        self.workers.totals().of(account).plus(self.quotas.unpolled_usage.of(account))
    }

    /// Whether the quota of an account allows `more` in addition to its usage. It does not before
    /// the quotas are known; without an account it always does.
    pub fn has_quota_for(&self, account: Option<&AccountId>, more: Usage) -> bool {
        let Some(account) = account else { return true };
        if self.quotas.config.is_none() {
            return false;
        }
        let Some(quota) = self.quota_of(account) else { return true };
        self.usage_of(account).plus(more).is_within(quota)
    }

    /// Whether the quota of the job's account keeps every task of a step from starting.
    pub fn is_at_quota(&self, entry: &Entry, step: &Step) -> bool {
        let tasks = if step.gang { step.count } else { 1 };
        !self.has_quota_for(entry.accepted.account.as_ref(), Usage::of(step, tasks.into()))
    }

    /// The quota usage of a run; `None` if its job or step is not known.
    pub(super) fn claim_of(&self, name: TaskName) -> Option<Claim> {
        self.jobs.get(&name.job)?.claim(name.step)
    }

    /// Updates the usage that an earlier scheduler may have on unpolled workers. For workers that
    /// were already unresponsive these are the tasks recorded in the store. On the others it is at
    /// most what their capacity holds, and at most what is left to run of the account's inherited
    /// jobs.
    pub(in crate::batch) fn update_unpolled_usage(&mut self) {
        let has_quotas = self.quotas.by_account.values().any(|quota| *quota != Quota::default());
        // Between two computations the work left in the jobs can only shrink, so the last result is
        // still an upper limit.
        let inputs =
            if has_quotas { (self.unpolled.len(), self.quotas.admitted_jobs) } else { (0, 0) };
        if inputs == self.quotas.unpolled_usage_inputs {
            return;
        }
        self.quotas.unpolled_usage_inputs = inputs;
        self.quotas.unpolled_usage = Totals::default();
        if inputs.0 == 0 {
            return;
        }
        let mut usage = Totals::default();
        let mut capacity = Usage::default();
        let largest_capacity = self
            .workers
            .values()
            .map(|worker| worker.entry.capacity)
            .max_by_key(|capacity| capacity.cpu);
        for incarnation in &self.unpolled {
            match (self.tasks_on_unresponsive.get(incarnation), self.workers.get(incarnation)) {
                (Some(tasks), _) => {
                    let claims = tasks.iter().filter_map(|task| self.claim_of(*task));
                    claims.for_each(|claim| usage.add(&claim));
                }
                // The capacity of a worker that is no longer listed is unknown.
                (None, Some(worker)) if worker.entry.capacity.cpu == 0 => {
                    capacity = capacity.plus(largest_capacity.unwrap_or_default().into());
                }
                (None, Some(worker)) => capacity = capacity.plus(worker.entry.capacity.into()),
                (None, None) => {}
            }
        }
        let (remaining, best_effort) = self.remaining_inherited_usage();
        for (account, remaining) in remaining.iter() {
            usage
                .add(&Claim { account: account.clone(), usage: remaining.component_min(capacity) });
        }
        // Best-effort tasks are not limited by the capacity.
        for (account, remaining) in best_effort.iter() {
            usage.add(&Claim { account: account.clone(), usage: *remaining });
        }
        self.quotas.unpolled_usage = usage;
    }

    /// The resources requested by the remaining tasks of the accounts' inherited jobs: the totals
    /// of all but best-effort tasks, and those of best-effort tasks.
    fn remaining_inherited_usage(&self) -> (Totals, Totals) {
        let (mut remaining, mut best_effort) = (Totals::default(), Totals::default());
        for entry in self.jobs.values().filter(|entry| entry.inherited) {
            let Some(account) = &entry.accepted.account else { continue };
            for repetition in entry.repetitions.iter().filter(|repetition| repetition.due) {
                for (number, step) in entry.accepted.job.steps.iter().enumerate() {
                    let tasks = match repetition.steps.get(number) {
                        // One end completes the whole gang, but its other members may not have been
                        // seen to end.
                        Some(run) if !step.gang => run.left as u64,
                        // Steps of a job that has ended are not opened, but its runs may not have
                        // been stopped yet.
                        Some(_) | None => step.count.into(),
                    };
                    let claim = Claim { account: account.clone(), usage: Usage::of(step, tasks) };
                    if step.best_effort { best_effort.add(&claim) } else { remaining.add(&claim) }
                }
            }
        }
        (remaining, best_effort)
    }
}
