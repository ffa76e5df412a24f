//! What matters of a job that is handed in while its service is short.

use std::time::Duration;

use crate::batch::job::Entry;
use crate::batch::outlook::Arrival;
use crate::batch::outlook::Work;
use crate::batch::record::Accepted;

impl Arrival {
    /// The job as one above its account's rate if it has an account. `None` if it is never refused:
    /// it has tasks that last, is to run at a set time, or has no objective.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::outlook::Arrival;
    /// use spokelift_platform::job::Step;
    /// use spokelift_testutils::batch::accepted;
    /// let step = Step { count: 1, cpu: 500, estimate_ms: 1_000, ..Step::default() };
    /// let job = accepted(vec![step.clone()]);
    /// assert_eq!(Arrival::of(&job).unwrap().objective, Duration::from_millis(2_200));
    /// assert!(Arrival::of(&accepted(vec![Step { long_running: true, ..step }])).is_none());
    /// ```
    pub fn of(accepted: &Accepted) -> Option<Arrival> {
        let steps = &accepted.job.steps;
        let lasts = steps.iter().any(|step| step.long_running || step.best_effort);
        if lasts || accepted.objective_ms == 0 || accepted.job.due_at(0).is_some() {
            return None;
        }
        let entry = Entry::new(0, accepted.clone());
        let from_ms = accepted.at.as_millis() as u64;
        Some(Arrival {
            priority: accepted.priority,
            is_over_rate: accepted.account.is_some(),
            objective: Duration::from_millis(entry.objective_at(0).saturating_sub(from_ms)),
            least_cpu: steps.iter().map(|step| step.cpu).min()?,
        })
    }
}

/// The work of a job by its client's estimates.
pub fn work_of(accepted: &Accepted) -> Work {
    let steps = accepted.job.steps.iter();
    let works = steps.map(|step| {
        u64::from(step.count).saturating_mul(step.cpu.into()).saturating_mul(step.estimate_ms)
    });
    works.fold(0, u64::saturating_add)
}
