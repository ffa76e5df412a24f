//! What accounts have running, and whether more of them may start.

use std::collections::HashMap;
use std::sync::LazyLock;

use spokelift_platform::config::Maximum;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Resources;

use crate::state::id::AccountId;

/// A sum of what tasks ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl From<Resources> for Usage {
    fn from(room: Resources) -> Usage {
        Usage { cpu: room.cpu.into(), memory_mb: room.memory_mb.into(), gpu: room.gpu.into() }
    }
}

impl Usage {
    /// What so many tasks of a step ask for, also those that take only what others leave unused.
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

    /// What is left without the other; never less than nothing.
    pub fn minus(self, other: Usage) -> Usage {
        Usage {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The lower of both, part by part.
    pub fn component_min(self, other: Usage) -> Usage {
        Usage {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Whether this is within a bound, of whose parts 0 is none.
    ///
    /// ```
    /// use spokelift_lib::batch::usage::Usage;
    /// use spokelift_platform::config::Maximum;
    /// let bound = Maximum { cpu: 100, memory_mb: 0, gpu: 0 };
    /// assert!(Usage { cpu: 100, memory_mb: 9_000, gpu: 1 }.is_within(&bound));
    /// assert!(!Usage { cpu: 101, ..Usage::default() }.is_within(&bound));
    /// ```
    pub fn is_within(self, bound: &Maximum) -> bool {
        let within = |used: u64, bound: u64| bound == 0 || used <= bound;
        within(self.cpu, bound.cpu)
            && within(self.memory_mb, bound.memory_mb)
            && within(self.gpu, bound.gpu)
    }
}

/// The first step of a job of which no part could ever start within a bound: one of its tasks, or the whole of a gang,
/// is above it.
///
/// ```
/// use spokelift_lib::batch::usage::first_step_over_quota;
/// use spokelift_platform::config::Maximum;
/// use spokelift_platform::job::Step;
/// let bound = Maximum { cpu: 1_000, ..Maximum::default() };
/// let step = |gang| Step { count: 4, cpu: 500, gang, ..Step::default() };
/// assert_eq!(first_step_over_quota(&[step(false)], &bound), None);
/// assert_eq!(first_step_over_quota(&[step(false), step(true)], &bound), Some(1));
/// ```
pub fn first_step_over_quota(steps: &[Step], bound: &Maximum) -> Option<usize> {
    let least = |step: &Step| Usage::of(step, if step.gang { step.count.into() } else { 1 });
    steps.iter().position(|step| step.count > 0 && !least(step).is_within(bound))
}

/// Stands for whoever has no account where shares are compared; it has no bound.
static NO_ACCOUNT: LazyLock<AccountId> = LazyLock::new(|| AccountId::from(""));

/// The account that a job's runs count for.
pub fn owner(account: Option<&AccountId>) -> AccountId {
    account.unwrap_or(&NO_ACCOUNT).clone()
}

/// A part of what an account has running: one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The account.
    pub account: AccountId,
    /// What the run asks for.
    pub usage: Usage,
}

impl Claim {
    /// Whether there may be a bound to what it is a part of.
    pub fn has_quota(&self) -> bool {
        self.account != *NO_ACCOUNT
    }
}

/// What each account has running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals(HashMap<AccountId, Usage>);

impl Totals {
    /// What an account has running.
    pub fn of(&self, account: &AccountId) -> Usage {
        self.0.get(account).copied().unwrap_or_default()
    }

    /// A run may have begun.
    pub fn add(&mut self, claim: &Claim) {
        let total = self.0.entry(claim.account.clone()).or_default();
        *total = total.plus(claim.usage);
    }

    /// A run is known to be gone.
    pub fn remove(&mut self, claim: &Claim) {
        let Some(total) = self.0.get_mut(&claim.account) else { return };
        *total = total.minus(claim.usage);
        if *total == Usage::default() {
            self.0.remove(&claim.account);
        }
    }

    /// Each account that has something running.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountId, &Usage)> {
        self.0.iter()
    }
}
