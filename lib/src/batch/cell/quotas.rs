//! What accounts may have running.
//!
//! Whatever a worker may be running counts, from the order on until the run is known to be gone, and until every
//! worker has told the present scheduler what it runs, also what an earlier one may have started there. A bound that is
//! lowered stops nothing: nothing of the account is started until it is below.

use std::collections::HashMap;
use std::sync::Arc;

use spokelift_platform::config::Maximum;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;

use crate::batch::cell::Cell;
use crate::batch::config::Config;
use crate::batch::job::Entry;
use crate::batch::usage::Claim;
use crate::batch::usage::Totals;
use crate::batch::usage::Usage;
use crate::state::id::AccountId;

/// What is known of the accounts' bounds.
#[derive(Default)]
pub struct Quotas {
    /// The configuration that they are of.
    config: Option<Arc<Config>>,
    /// Bounds of accounts; one that vanished from the configuration keeps its last one, while its jobs run.
    by_account: HashMap<AccountId, Maximum>,
    /// What an earlier scheduler may have running on workers that have not been asked.
    unpolled_usage: Totals,
    /// Workers that had not been asked and jobs that had come when that was worked out.
    unpolled_usage_inputs: (usize, usize),
    /// Jobs that have come.
    pub(super) admitted_jobs: usize,
}

impl Cell {
    /// Takes over the bounds of a configuration, unless they are those in force.
    pub fn set_quotas(&mut self, config: &Arc<Config>) {
        let current = self.quotas.config.as_ref();
        if current.is_some_and(|current| current.version >= config.version) {
            return;
        }
        let bounds = config.accounts().iter();
        self.quotas.by_account.extend(bounds.map(|(id, account)| (id.clone(), account.maximum)));
        self.quotas.config = Some(config.clone());
        self.request_placement();
    }

    /// The accounts of the configuration in force, if one is known.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.quotas.config.as_ref()
    }

    /// What an account may have running; `None` if it has no bound, or vanished before this scheduler began.
    pub fn quota_of(&self, account: &AccountId) -> Option<&Maximum> {
        self.quotas.by_account.get(account)
    }

    /// What an account may have running by now, what is hidden from this scheduler included.
    pub fn usage_of(&self, account: &AccountId) -> Usage {
        self.workers.totals().of(account).plus(self.quotas.unpolled_usage.of(account))
    }

    /// Whether an account may have so much more running. Before its bounds are known it may not.
    pub fn has_quota_for(&self, account: Option<&AccountId>, more: Usage) -> bool {
        let Some(account) = account else { return true };
        if self.quotas.config.is_none() {
            return false;
        }
        let Some(bound) = self.quota_of(account) else { return true };
        self.usage_of(account).plus(more).is_within(bound)
    }

    /// Whether no task of a step may start since its account has as much running as it may.
    pub fn is_at_quota(&self, entry: &Entry, step: &Step) -> bool {
        let tasks = if step.gang { step.count } else { 1 };
        !self.has_quota_for(entry.accepted.account.as_ref(), Usage::of(step, tasks.into()))
    }

    /// What a run of a known job counts for.
    pub(super) fn claim_of(&self, name: TaskName) -> Option<Claim> {
        self.jobs.get(&name.job)?.claim(name.step)
    }

    /// Works out what an earlier scheduler may have running on workers that have not been asked: the tasks that the
    /// store names for those that had fallen silent, and on the others no more than they have room for, nor more than
    /// the account's jobs of before have left to run.
    pub(in crate::batch) fn update_unpolled_usage(&mut self) {
        let has_bounds = self.quotas.by_account.values().any(|bound| *bound != Maximum::default());
        // What jobs have left only falls in between, so what was worked out is no less than there is.
        let now_for =
            if has_bounds { (self.unpolled.len(), self.quotas.admitted_jobs) } else { (0, 0) };
        if now_for == self.quotas.unpolled_usage_inputs {
            return;
        }
        self.quotas.unpolled_usage_inputs = now_for;
        self.quotas.unpolled_usage = Totals::default();
        if now_for.0 == 0 {
            return;
        }
        let mut hidden = Totals::default();
        let mut room = Usage::default();
        let largest =
            self.workers.values().map(|worker| worker.entry.capacity).max_by_key(|room| room.cpu);
        for life in &self.unpolled {
            match (self.tasks_on_unresponsive.get(life), self.workers.get(life)) {
                (Some(tasks), _) => {
                    let claims = tasks.iter().filter_map(|task| self.claim_of(*task));
                    claims.for_each(|claim| hidden.add(&claim));
                }
                // One that is no longer listed says nothing of its room.
                (None, Some(worker)) if worker.entry.capacity.cpu == 0 => {
                    room = room.plus(largest.unwrap_or_default().into());
                }
                (None, Some(worker)) => room = room.plus(worker.entry.capacity.into()),
                (None, None) => {}
            }
        }
        let (left, filling) = self.remaining_inherited_usage();
        for (account, left) in left.iter() {
            hidden.add(&Claim { account: account.clone(), usage: left.component_min(room) });
        }
        // What takes only leftovers is not held to the room.
        for (account, left) in filling.iter() {
            hidden.add(&Claim { account: account.clone(), usage: *left });
        }
        self.quotas.unpolled_usage = hidden;
    }

    /// What the tasks ask for that are left of accounts' jobs of before, and apart those that take only leftovers.
    fn remaining_inherited_usage(&self) -> (Totals, Totals) {
        let (mut left, mut filling) = (Totals::default(), Totals::default());
        for entry in self.jobs.values().filter(|entry| entry.inherited) {
            let Some(account) = &entry.accepted.account else { continue };
            for repetition in entry.repetitions.iter().filter(|repetition| repetition.due) {
                for (number, step) in entry.accepted.job.steps.iter().enumerate() {
                    let tasks = match repetition.steps.get(number) {
                        // One end stands for all of a gang, whose other members may not have been seen to be over.
                        Some(run) if !step.gang => run.left as u64,
                        // Of a job that has ended, steps are not opened; its runs may not have been stopped yet.
                        Some(_) | None => step.count.into(),
                    };
                    let claim = Claim { account: account.clone(), usage: Usage::of(step, tasks) };
                    if step.best_effort { filling.add(&claim) } else { left.add(&claim) }
                }
            }
        }
        (left, filling)
    }
}
