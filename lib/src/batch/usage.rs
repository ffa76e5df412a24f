//! Resource usage of accounts, and whether it is within their quotas.

use std::collections::HashMap;
use std::sync::LazyLock;

use spokelift_platform::config::Quota;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Resources;

use crate::state::id::AccountId;

/// Sum of resources that tasks request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl From<Resources> for Usage {
    fn from(resources: Resources) -> Usage {
        Usage {
            cpu: resources.cpu.into(),
            memory_mb: resources.memory_mb.into(),
            gpu: resources.gpu.into(),
        }
    }
}

impl Usage {
    /// What `tasks` tasks of a step request. Best-effort tasks count in full.
    pub fn of(step: &Step, tasks: u64) -> Usage {
        Usage {
            cpu: u64::from(step.cpu) * tasks,
            memory_mb: u64::from(step.memory_mb) * tasks,
            gpu: u64::from(step.gpu) * tasks,
        }
    }

    /// The sum of both.
    pub fn plus(self, other: Usage) -> Usage {
        Usage {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// The difference of both; components below zero become zero.
    pub fn minus(self, other: Usage) -> Usage {
        Usage {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The minimum of both, component by component.
    pub fn component_min(self, other: Usage) -> Usage {
        Usage {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Whether this is within a quota, of which a component of 0 means no limit.
    ///
    /// ```
    /// use spokelift_lib::batch::usage::Usage;
    /// use spokelift_platform::config::Quota;
    /// let quota = Quota { cpu: 100, memory_mb: 0, gpu: 0 };
    /// assert!(Usage { cpu: 100, memory_mb: 9_000, gpu: 1 }.is_within(&quota));
    /// assert!(!Usage { cpu: 101, ..Usage::default() }.is_within(&quota));
    /// ```
    pub fn is_within(self, quota: &Quota) -> bool {
        let within = |used: u64, quota: u64| quota == 0 || used <= quota;
        within(self.cpu, quota.cpu)
            && within(self.memory_mb, quota.memory_mb)
            && within(self.gpu, quota.gpu)
    }
}

/// The first step of a job that could never start within a quota, because one of its tasks, or the
/// whole of a gang, exceeds it; `None` if all can.
///
/// ```
/// use spokelift_lib::batch::usage::first_step_over_quota;
/// use spokelift_platform::config::Quota;
/// use spokelift_platform::job::Step;
/// let quota = Quota { cpu: 1_000, ..Quota::default() };
/// let step = |gang| Step { count: 4, cpu: 500, gang, ..Step::default() };
/// assert_eq!(first_step_over_quota(&[step(false)], &quota), None);
/// assert_eq!(first_step_over_quota(&[step(false), step(true)], &quota), Some(1));
/// ```
pub fn first_step_over_quota(steps: &[Step], quota: &Quota) -> Option<usize> {
    let least = |step: &Step| Usage::of(step, if step.gang { step.count.into() } else { 1 });
    steps.iter().position(|step| step.count > 0 && !least(step).is_within(quota))
}

/// Stands for callers without an account where fair shares are compared; it has no quota.
static NO_ACCOUNT: LazyLock<AccountId> = LazyLock::new(|| AccountId::from(""));

/// The account to which a job's runs are charged.
pub fn owner(account: Option<&AccountId>) -> AccountId {
    account.unwrap_or(&NO_ACCOUNT).clone()
}

/// Quota usage of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The account.
    pub account: AccountId,
    /// What the run requests.
    pub usage: Usage,
}

impl Claim {
    /// Whether the account may have a quota.
    pub fn has_quota(&self) -> bool {
        self.account != *NO_ACCOUNT
    }
}

/// Usage of each account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals(HashMap<AccountId, Usage>);

impl Totals {
    /// Usage of an account.
    pub fn of(&self, account: &AccountId) -> Usage {
        self.0.get(account).copied().unwrap_or_default()
    }

    /// Adds a run that may have started.
    pub fn add(&mut self, claim: &Claim) {
        let total = self.0.entry(claim.account.clone()).or_default();
        *total = total.plus(claim.usage);
    }

    /// Removes a run that is known to have ended.
    pub fn remove(&mut self, claim: &Claim) {
        let Some(total) = self.0.get_mut(&claim.account) else { return };
        *total = total.minus(claim.usage);
        if *total == Usage::default() {
            self.0.remove(&claim.account);
        }
    }

    /// The accounts with usage.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, &Usage)> {
        self.0.iter()
    }
}
