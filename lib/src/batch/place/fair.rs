//! Fair sharing of the workers between accounts.
//!
//! Under overload, placement in the order of the objectives alone would give the resources to the
//! account that sends most. Therefore jobs that an account sends within its rate (its weight in
//! jobs per second) come before jobs above the sender's rate, and within each of these groups an
//! account below its fair share of the workers comes before accounts above theirs. An account below
//! its share waits for no other. While there are resources for all, only the objectives count. Jobs
//! without an account count as those of one with the minimum weight.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::batch::cell::Cell;
use crate::batch::cell::PossibleRuns;
use crate::batch::cell::Rank;
use crate::batch::usage::Usage;
use crate::batch::usage::owner;
use crate::state::id::AccountId;

/// Weight of an account that sets none, and of jobs without an account.
const MIN_WEIGHT: f64 = 1.0;

/// Token buckets of the accounts' job rates: each fills by the account's weight per second and
/// holds at most one second's worth, but at least one job.
#[derive(Default)]
pub struct Allowances(HashMap<AccountId, (f64, Duration)>);

impl Allowances {
    /// Counts a job sent by an account at a time since the Unix epoch. Returns whether it exceeds
    /// the account's rate, its weight in jobs per second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::place::fair::Allowances;
    /// let mut allowances = Allowances::default();
    /// let second = Duration::from_secs(1);
    /// let mut exceeds = |at| allowances.exceeds_rate(&"a".into(), 2.0, at);
    /// assert_eq!([second, second, second].map(&mut exceeds), [false, false, true]);
    /// assert!(!exceeds(second * 2));
    /// ```
    pub fn exceeds_rate(&mut self, account: &AccountId, weight: f64, at: Duration) -> bool {
        let left = self.left(account, weight, at);
        let last = self.0.get(account).map_or(at, |(_, last)| at.max(*last));
        let exceeds = left < 1.0;
        self.0.insert(account.clone(), (if exceeds { left } else { left - 1.0 }, last));
        exceeds
    }

    /// The number of jobs that an account may send at a time within its rate.
    fn left(&self, account: &AccountId, weight: f64, at: Duration) -> f64 {
        let Some((left, last)) = self.0.get(account) else { return weight };
        let since = at.saturating_sub(*last).as_secs_f64();
        (left + since * weight).min(weight.max(1.0))
    }
}

impl Cell {
    /// Counts a job sent by an account at a time since the Unix epoch, and returns whether it
    /// exceeds the account's rate. Jobs without an account, and of accounts not in the
    /// configuration, never do.
    pub(in crate::batch) fn exceeds_rate(
        &mut self,
        account: Option<&AccountId>,
        at: Duration,
    ) -> bool {
        let Some(account) = account else { return false };
        if self.config().is_none_or(|config| !config.accounts().contains_key(account)) {
            return false;
        }
        let weight = self.weight_of(account);
        self.allowances.exceeds_rate(account, weight, at)
    }

    /// Whether a job that an account sends at a time since the Unix epoch would exceed its rate. It
    /// is not counted.
    pub(in crate::batch) fn is_over_rate_at(
        &self,
        account: Option<&AccountId>,
        at: Duration,
    ) -> bool {
        let Some(account) = account else { return false };
        if self.config().is_none_or(|config| !config.accounts().contains_key(account)) {
            return false;
        }
        self.allowances.left(account, self.weight_of(account), at) < 1.0
    }

    /// Whether an account uses less than its fair share among the accounts with running tasks, so
    /// that its jobs come before those of others. If no other account has any, it does not matter.
    pub(in crate::batch) fn is_below_share(&self, account: Option<&AccountId>) -> bool {
        let account = owner(account);
        let shares = self.fair_shares(std::slice::from_ref(&account));
        shares.len() > 1 && self.dominant_share(&account) < shares[&account]
    }

    /// Starts waiting tasks of some steps in the order given, but defers steps whose accounts have
    /// already reached their fair share until after all others.
    pub(super) fn place_fairly(
        &mut self,
        ranks: Vec<Rank>,
        now: Instant,
        possible_runs: &PossibleRuns,
    ) {
        let owners = ranks.iter().map(|rank| self.owner_of(rank));
        let owners: Vec<AccountId> = owners.collect();
        let shares = self.fair_shares(&owners);
        let mut above_share = Vec::new();
        for (rank, account) in ranks.into_iter().zip(owners) {
            if shares.len() > 1 && self.dominant_share(&account) >= shares[&account] {
                above_share.push(rank);
            } else {
                self.place_step(rank, now, possible_runs);
            }
        }
        for rank in above_share {
            self.place_step(rank, now, possible_runs);
        }
    }

    fn owner_of(&self, rank: &Rank) -> AccountId {
        let entry = self.jobs.get(&rank.job);
        owner(entry.and_then(|entry| entry.accepted.account.as_ref()))
    }

    /// The fraction of all workers' resources that each account may use before others come first:
    /// by weight, among the accounts that have tasks running or waiting.
    fn fair_shares(&self, waiting: &[AccountId]) -> BTreeMap<AccountId, f64> {
        let running = self.workers.totals().iter().map(|(account, _)| account);
        let accounts = running.chain(waiting);
        let mut shares: BTreeMap<AccountId, f64> =
            accounts.map(|account| (account.clone(), self.weight_of(account))).collect();
        let all: f64 = shares.values().sum();
        shares.values_mut().for_each(|share| *share /= all);
        shares
    }

    /// An account's dominant share: the larger of the fractions of CPU and memory that it uses.
    fn dominant_share(&self, account: &AccountId) -> f64 {
        let all = self.workers.capacity();
        let Usage { cpu, memory_mb, .. } = self.usage_of(account);
        let fraction = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        fraction(cpu, all.cpu).max(fraction(memory_mb, all.memory_mb))
    }

    fn weight_of(&self, account: &AccountId) -> f64 {
        let known = self.config().and_then(|config| config.accounts().get(account));
        known.map_or(MIN_WEIGHT, |account| account.weight.max(MIN_WEIGHT))
    }
}
