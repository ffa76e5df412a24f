//! The configuration in force, as published by the operator, with the accounts' keys as hashes.
//!
//! Nodes send it to each other in this form, so that no key is stored or sent in clear text after
//! it is decoded.

pub mod payload;
pub mod transfer;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::ops::Deref;

use hyper::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::config;
use spokelift_platform::config::Queue;
use spokelift_platform::config::Quota;
use spokelift_platform::job::Job;
use thiserror::Error;

use crate::batch::caller::Caller;
use crate::batch::usage::first_step_over_quota;
use crate::protocol::bearer;
use crate::state::account::CredentialError;
use crate::state::account::KeyHash;
use crate::state::account::hash_secret;
use crate::state::id::AccountId;

/// An account, without its keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its fair share relative to other accounts.
    pub weight: f64,
    /// Its quota: what it may have running at once.
    pub maximum: Quota,
    /// How many keys it has.
    pub keys: usize,
}

/// A configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    published: config::Config,
    accounts: BTreeMap<AccountId, Account>,
    /// Ordered, so that every node encodes a version to the same bytes.
    owners: BTreeMap<KeyHash, AccountId>,
}

impl Deref for Config {
    type Target = config::Config;

    fn deref(&self) -> &config::Config {
        &self.published
    }
}

impl Config {
    /// The configuration that the operator has published.
    ///
    /// An account that is listed twice gets the keys of both entries, the lower of each quota and
    /// the weight of the first entry. A key that is empty or belongs to two accounts is ignored: it
    /// must not show one account the jobs of another.
    pub fn new(mut published: config::Config) -> Config {
        let mut config = Config::default();
        let mut shared = HashSet::new();
        for listed in published.accounts.iter_mut().flatten() {
            if listed.name.is_empty() {
                log::warn!("account without a name is ignored");
                listed.keys.clear();
                continue;
            }
            let id: AccountId = listed.name.as_str().into();
            config.add_account(&id, listed);
            for key in std::mem::take(&mut listed.keys) {
                let hash = hash_secret(key.as_str().trim());
                let previous = config.owners.insert(hash, id.clone());
                if key.as_str().trim().is_empty() || previous.is_some_and(|previous| previous != id)
                {
                    shared.insert(hash);
                }
            }
        }
        if !shared.is_empty() {
            log::warn!(keys = shared.len(); "empty keys and keys of several accounts are ignored");
        }
        config.owners.retain(|hash, _| !shared.contains(hash));
        for owner in config.owners.values() {
            if let Some(account) = config.accounts.get_mut(owner) {
                account.keys += 1;
            }
        }
        Config { published, ..config }
    }

    fn add_account(&mut self, id: &AccountId, listed: &config::Account) {
        let (weight, maximum) = (listed.weight.max(0.0), listed.maximum);
        let account = self.accounts.entry(id.clone());
        account
            .and_modify(|account| account.maximum = stricter_quota(account.maximum, maximum))
            .or_insert(Account { weight, maximum, keys: 0 });
    }

    /// Decodes what the operator has published.
    ///
    /// # Errors
    ///
    /// The error of the JSON library.
    pub fn decode(bytes: &[u8]) -> Result<Config, serde_json::Error> {
        config::Config::decode(bytes).map(Config::new)
    }

    /// The accounts.
    pub fn accounts(&self) -> &BTreeMap<AccountId, Account> {
        &self.accounts
    }

    /// Checks that each step of a job can run within the quota of the caller's account.
    ///
    /// # Errors
    ///
    /// [`OverQuota`] names the first step that cannot.
    pub fn check_quota(&self, caller: &Caller, job: &Job) -> Result<(), OverQuota> {
        let account = caller.account().and_then(|id| self.accounts.get(id));
        let Some(account) = account else { return Ok(()) };
        first_step_over_quota(&job.steps, &account.maximum)
            .map_or(Ok(()), |step| Err(OverQuota(step)))
    }

    /// The caller of a request to a queue.
    ///
    /// The key is looked up by its hash, so that the time it takes reveals nothing about existing
    /// keys.
    ///
    /// # Errors
    ///
    /// [`CredentialError`] if the queue needs a key and the request has no valid one.
    pub fn caller(&self, queue: &Queue, headers: &HeaderMap) -> Result<Caller, CredentialError> {
        if !self.needs_key(queue) {
            return Ok(Caller::Anyone { queue: queue.name.clone() });
        }
        let hash = hash_secret(bearer::token(headers)?);
        let owner = self.owners.get(&hash).ok_or(CredentialError::Unknown)?;
        Ok(Caller::Account(owner.clone()))
    }
}

/// The step of a job with this index exceeds the quota of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("step {0} exceeds the quota of its account")]
pub struct OverQuota(pub usize);

/// The stricter of two quotas, of which a component of 0 means no limit.
fn stricter_quota(one: Quota, other: Quota) -> Quota {
    let lower = |one: u64, other: u64| match (one, other) {
        (0, limit) | (limit, 0) => limit,
        (one, other) => one.min(other),
    };
    Quota {
        cpu: lower(one.cpu, other.cpu),
        memory_mb: lower(one.memory_mb, other.memory_mb),
        gpu: lower(one.gpu, other.gpu),
    }
}
