//! Whose task is next where accounts share the workers.
//!
//! Under more load than there is room for, steps in the order of their objectives give the room to whoever sends most.
//! So what an account sends within its weight a second comes before what any account sends beyond, and of that, what
//! an account may have by its share of the workers comes before what others want above theirs. Below its share an
//! account waits for nobody; while there is room for all, the order of the objectives is all that counts. Work of no
//! account counts as that of one with the least weight.

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

/// Weight of an account that says none, and of work that is nobody's.
const MIN_WEIGHT: f64 = 1.0;

/// How many jobs accounts may still send within their weight: as many as the weight in each second, and no more than
/// that at once.
#[derive(Default)]
pub struct Allowances(HashMap<AccountId, (f64, Duration)>);

impl Allowances {
    /// Takes a job that an account has sent at a time since 1970; whether it goes beyond the weight.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::place::fair::Allowances;
    /// let mut allowances = Allowances::default();
    /// let second = Duration::from_secs(1);
    /// let mut beyond = |at| allowances.exceeds_rate(&"a".into(), 2.0, at);
    /// assert_eq!([second, second, second].map(&mut beyond), [false, false, true]);
    /// assert!(!beyond(second * 2));
    /// ```
    pub fn exceeds_rate(&mut self, account: &AccountId, weight: f64, at: Duration) -> bool {
        let (left, last) = self.0.entry(account.clone()).or_insert((weight, at));
        let since = at.saturating_sub(*last).as_secs_f64();
        *left = (*left + since * weight).min(weight.max(1.0));
        *last = at.max(*last);
        if *left < 1.0 {
            return true;
        }
        *left -= 1.0;
        false
    }
}

impl Cell {
    /// Whether a job that an account has sent at a time since 1970 goes beyond its weight.
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

    /// Starts what waits of some steps, as far as there is room, in the order given; but steps of accounts that have
    /// their share by then come last.
    pub(super) fn place_fairly(&mut self, ranks: Vec<Rank>, now: Instant, doubt: &PossibleRuns) {
        let owners = ranks.iter().map(|rank| self.owner_of(rank));
        let owners: Vec<AccountId> = owners.collect();
        let shares = self.fair_shares(&owners);
        let mut above = Vec::new();
        for (rank, account) in ranks.into_iter().zip(owners) {
            if shares.len() > 1 && self.dominant_share(&account) >= shares[&account] {
                above.push(rank);
            } else {
                self.place_step(rank, now, doubt);
            }
        }
        for rank in above {
            self.place_step(rank, now, doubt);
        }
    }

    fn owner_of(&self, rank: &Rank) -> AccountId {
        let entry = self.jobs.get(&rank.job);
        owner(entry.and_then(|entry| entry.accepted.account.as_ref()))
    }

    /// The share of all workers that each account may have before others come first: by weight, among those that
    /// have something running or wait.
    fn fair_shares(&self, waiting: &[AccountId]) -> BTreeMap<AccountId, f64> {
        let running = self.workers.totals().iter().map(|(account, _)| account);
        let accounts = running.chain(waiting);
        let mut shares: BTreeMap<AccountId, f64> =
            accounts.map(|account| (account.clone(), self.weight_of(account))).collect();
        let all: f64 = shares.values().sum();
        shares.values_mut().for_each(|share| *share /= all);
        shares
    }

    /// The share of all workers that an account has, of what it has most of.
    fn dominant_share(&self, account: &AccountId) -> f64 {
        let all = self.workers.capacity();
        let Usage { cpu, memory_mb, .. } = self.usage_of(account);
        let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        part(cpu, all.cpu).max(part(memory_mb, all.memory_mb))
    }

    fn weight_of(&self, account: &AccountId) -> f64 {
        let known = self.config().and_then(|config| config.accounts().get(account));
        known.map_or(MIN_WEIGHT, |account| account.weight.max(MIN_WEIGHT))
    }
}
