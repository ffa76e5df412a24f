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
pub struct Bounds {
    /// The configuration that they are of.
    config: Option<Arc<Config>>,
    /// Bounds of accounts; one that vanished from the configuration keeps its last one, while its jobs run.
    known: HashMap<AccountId, Maximum>,
    /// What an earlier scheduler may have running on workers that have not been asked.
    hidden: Totals,
    /// Workers that had not been asked and jobs that had come when that was worked out.
    hidden_for: (usize, usize),
    /// Jobs that have come.
    pub(super) arrivals: usize,
}

impl Cell {
    /// Takes over the bounds of a configuration, unless they are those in force.
    pub fn set_bounds(&mut self, config: &Arc<Config>) {
        let current = self.bounds.config.as_ref();
        if current.is_some_and(|current| current.version >= config.version) {
            return;
        }
        let bounds = config.accounts().iter();
        self.bounds.known.extend(bounds.map(|(id, account)| (id.clone(), account.maximum)));
        self.bounds.config = Some(config.clone());
        self.stir();
    }

    /// The accounts of the configuration in force, if one is known.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.bounds.config.as_ref()
    }

    /// What an account may have running; `None` if it has no bound, or vanished before this scheduler began.
    pub fn bound_of(&self, account: &AccountId) -> Option<&Maximum> {
        self.bounds.known.get(account)
    }

    /// What an account may have running by now, what is hidden from this scheduler included.
    pub fn usage_of(&self, account: &AccountId) -> Usage {
        self.workers.totals().of(account).plus(self.bounds.hidden.of(account))
    }

    /// Whether an account may have so much more running. Before its bounds are known it may not.
    pub fn may_run(&self, account: Option<&AccountId>, more: Usage) -> bool {
        let Some(account) = account else { return true };
        if self.bounds.config.is_none() {
            return false;
        }
        let Some(bound) = self.bound_of(account) else { return true };
        self.usage_of(account).plus(more).is_within(bound)
    }

    /// Whether no task of a step may start since its account has as much running as it may.
    pub fn is_at_bound(&self, entry: &Entry, step: &Step) -> bool {
        let tasks = if step.gang { step.count } else { 1 };
        !self.may_run(entry.accepted.account.as_ref(), Usage::of(step, tasks.into()))
    }

    /// What a run of a known job counts for.
    pub(super) fn claim_of(&self, name: TaskName) -> Option<Claim> {
        self.jobs.get(&name.job)?.claim(name.step)
    }

    /// Works out what an earlier scheduler may have running on workers that have not been asked: the tasks that the
    /// store names for those that had fallen silent, and on the others no more than they have room for, nor more than
    /// the account's jobs of before have left to run.
    pub(in crate::batch) fn note_hidden(&mut self) {
        let has_bounds = self.bounds.known.values().any(|bound| *bound != Maximum::default());
        // What jobs have left only falls in between, so what was worked out is no less than there is.
        let now_for = if has_bounds { (self.unasked.len(), self.bounds.arrivals) } else { (0, 0) };
        if now_for == self.bounds.hidden_for {
            return;
        }
        self.bounds.hidden_for = now_for;
        self.bounds.hidden = Totals::default();
        if now_for.0 == 0 {
            return;
        }
        let mut hidden = Totals::default();
        let mut room = Usage::default();
        let largest =
            self.workers.values().map(|worker| worker.entry.room).max_by_key(|room| room.cpu);
        for life in &self.unasked {
            match (self.silent_with.get(life), self.workers.get(life)) {
                (Some(tasks), _) => {
                    let claims = tasks.iter().filter_map(|task| self.claim_of(*task));
                    claims.for_each(|claim| hidden.add(&claim));
                }
                // One that is no longer listed says nothing of its room.
                (None, Some(worker)) if worker.entry.room.cpu == 0 => {
                    room = room.plus(largest.unwrap_or_default().into());
                }
                (None, Some(worker)) => room = room.plus(worker.entry.room.into()),
                (None, None) => {}
            }
        }
        let (left, filling) = self.inherited_left();
        for (account, left) in left.iter() {
            hidden.add(&Claim { account: account.clone(), usage: left.lower(room) });
        }
        // What takes only leftovers is not held to the room.
        for (account, left) in filling.iter() {
            hidden.add(&Claim { account: account.clone(), usage: *left });
        }
        self.bounds.hidden = hidden;
    }

    /// What the tasks ask for that are left of accounts' jobs of before, and apart those that take only leftovers.
    fn inherited_left(&self) -> (Totals, Totals) {
        let (mut left, mut filling) = (Totals::default(), Totals::default());
        for entry in self.jobs.values().filter(|entry| entry.inherited) {
            let Some(account) = &entry.accepted.account else { continue };
            for repetition in entry.times.iter().filter(|repetition| repetition.due) {
                for (number, step) in entry.accepted.job.steps.iter().enumerate() {
                    let tasks = match repetition.steps.get(number) {
                        // One end stands for all of a gang, whose other members may not have been seen to be over.
                        Some(run) if !step.gang => run.left as u64,
                        // Of a job that has ended, steps are not opened; its runs may not have been stopped yet.
                        Some(_) | None => step.count.into(),
                    };
                    let claim = Claim { account: account.clone(), usage: Usage::of(step, tasks) };
                    if step.fills { filling.add(&claim) } else { left.add(&claim) }
                }
            }
        }
        (left, filling)
    }
}
