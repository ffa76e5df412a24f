//! View of accounts on the operators' API.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::config::Version;

use crate::batch::cell::Cell;
use crate::batch::usage::Usage;
use crate::batch::view::cores;
use crate::state::id::AccountId;

/// An account with its usage and quota.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its weight relative to other accounts.
    pub weight: f64,
    /// Number of its keys.
    pub keys: usize,
    /// Cores of its running tasks, including those that may run on workers not polled yet.
    pub cores: f64,
    /// CPU quota in cores; 0 for none.
    pub most_cores: f64,
    /// Memory of these tasks, in megabytes.
    pub memory_mb: u64,
    /// Memory quota in megabytes; 0 for none.
    pub most_memory_mb: u64,
    /// Tasks that wait for resources.
    pub waiting: u64,
    /// Tasks that wait because the account has reached its quota.
    pub held: u64,
}

/// The accounts of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Accounts {
    /// The version.
    pub version: Version,
    /// The accounts, by name.
    pub accounts: Vec<Account>,
}

/// The accounts of the configuration, and those removed from it that still have tasks.
pub fn accounts(cell: &Cell) -> Accounts {
    let mut shown: BTreeMap<AccountId, Account> = BTreeMap::new();
    for (id, account) in cell.config().into_iter().flat_map(|config| config.accounts()) {
        let entry = shown.entry(id.clone()).or_default();
        (entry.weight, entry.keys) = (account.weight, account.keys);
    }
    for id in cell.workers.totals().iter().map(|(id, _)| id).filter(|id| !id.is_empty()) {
        shown.entry(id.clone()).or_default();
    }
    for rank in &cell.ready {
        let Some(entry) = cell.jobs.get(&rank.job) else { continue };
        let (Some(owner), Some(step)) = (&entry.accepted.account, entry.step(rank.step)) else {
            continue;
        };
        let tasks = entry
            .find_step_run(rank.repetition, rank.step)
            .map_or(0, |run| run.waiting.len() as u64);
        let account = shown.entry(owner.clone()).or_default();
        match cell.is_at_quota(entry, step) {
            true => account.held += tasks,
            false => account.waiting += tasks,
        }
    }
    let accounts = shown.into_iter().map(|(id, account)| with_usage(cell, &id, account));
    let version = cell.config().map_or(0, |config| config.version);
    Accounts { version, accounts: accounts.collect() }
}

fn with_usage(cell: &Cell, id: &AccountId, account: Account) -> Account {
    let Usage { cpu, memory_mb, .. } = cell.usage_of(id);
    let quota = cell.quota_of(id).copied().unwrap_or_default();
    Account {
        name: id.to_string(),
        cores: cores(cpu),
        most_cores: cores(quota.cpu),
        memory_mb,
        most_memory_mb: quota.memory_mb,
        ..account
    }
}
