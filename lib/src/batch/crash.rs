//! Evidence that a task crashes the workers that start it, and when such a task is abandoned.
//!
//! A worker that crashes reports no ends, and many tasks run on it side by side. The cause was
//! there at its last answer, and a task that crashes workers as it starts had only just started by
//! then. So each crash is recorded for every task that was on the worker, with how strongly it
//! speaks against that task. A task that had only just started is a suspect: its next run starts
//! where no other job's task has just started (see [`crate::batch::place`]), so that a second crash
//! speaks against no other task.

pub mod outage;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Incarnation;

/// A run that had been on a worker for no longer than this at the worker's last answer had only
/// just started. It covers few of the runs on a fully loaded worker, which answers at each start.
pub const RECENT_START: Duration = Duration::from_millis(150);
/// Crashes under a suspect after which it is abandoned: as early as the platform permits, since
/// each further one takes down all other tasks on the worker.
const MAX_SUSPECT_CRASHES: usize = 2;
/// The same for a long-running task: it is restarted for as long as its job runs, so crashes of
/// other causes hit it as it starts more often.
const MAX_SUSPECT_CRASHES_LONG_RUNNING: usize = 3;
/// Crashes under a task, however long it had run, after which it is abandoned. The platform permits
/// two more starts after the third crash; one of them is left for a crash that a failed scheduler
/// had not recorded.
const MAX_CRASHES: usize = 4;
/// The same for a long-running task: as many as the platform permits starts, since it is restarted
/// for as long as its job runs.
const MAX_CRASHES_LONG_RUNNING: usize = 5;

/// Fraction of crashes under a previous suspect from which on a task is isolated after its first
/// crash. It is about half where tasks cause the crashes, and low where workers crash whatever they
/// run.
const HIGH_REPEAT_RATE: f64 = 0.25;
/// Weight of the newest crash in that fraction.
const REPEAT_RATE_WEIGHT: f64 = 0.1;
/// The fraction before any crash: high enough that a suspect is isolated after its first crash.
const INITIAL_REPEAT_RATE: f64 = 0.5;

/// How often crashes repeat under the same tasks, as this scheduler observes it. Where workers
/// crash for other reasons, isolating every task that was on them only costs resources.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRate(f64);

impl Default for RepeatRate {
    fn default() -> RepeatRate {
        RepeatRate(INITIAL_REPEAT_RATE)
    }
}

impl RepeatRate {
    /// Records a crash of a worker, under a suspect or not.
    pub fn record_crash(&mut self, under_suspect: bool) {
        self.0 += REPEAT_RATE_WEIGHT * (f64::from(u8::from(under_suspect)) - self.0);
    }

    /// Whether tasks probably cause the recent crashes.
    ///
    /// ```
    /// use spokelift_lib::batch::crash::RepeatRate;
    /// let mut repeat_rate = RepeatRate::default();
    /// assert!(repeat_rate.is_high());
    /// (0..10).for_each(|_| repeat_rate.record_crash(false));
    /// assert!(!repeat_rate.is_high());
    /// (0..4).for_each(|_| repeat_rate.record_crash(true));
    /// assert!(repeat_rate.is_high());
    /// ```
    pub fn is_high(self) -> bool {
        self.0 >= HIGH_REPEAT_RATE
    }
}

/// What a worker's crash says about a task that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other job's task had just started there.
    #[serde(rename = "Alone")]
    OnlyRecent,
    /// It had just started, and so had tasks of other jobs.
    #[serde(rename = "Among")]
    AmongRecent,
    /// It may never have been there: its start was not answered, or it is only known that it may
    /// have run there.
    #[serde(rename = "Unsure")]
    Uncertain,
    /// It had run for longer.
    #[serde(rename = "Earlier")]
    NotRecent,
    /// It had just started, or may have, and other workers failed in the same window: see
    /// [`outage`].
    #[serde(rename = "Shared")]
    Correlated,
}

impl Evidence {
    /// Whether it may count against the task.
    fn is_suspicious(self) -> bool {
        !matches!(self, Evidence::NotRecent | Evidence::Correlated)
    }
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(match self {
            Evidence::OnlyRecent => "only this job had just begun there",
            Evidence::AmongRecent => "it had just begun there, as others had",
            Evidence::Uncertain => "it may not have begun there",
            Evidence::NotRecent => "it had run there for a while",
            Evidence::Correlated => "others crashed in the same moment",
        })
    }
}

/// A crash of a worker on which a task was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker.
    pub worker: Incarnation,
    /// What that says about the task.
    pub evidence: Evidence,
}

impl Crash {
    /// Whether the task may have just started there.
    pub fn may_be_recent_start(&self) -> bool {
        self.evidence != Evidence::NotRecent
    }
}

/// Whether a task's next run should be isolated.
///
/// ```
/// use spokelift_lib::batch::crash::{is_suspect, Crash, Evidence, RepeatRate};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let mut repeat_rate = RepeatRate::default();
/// assert!(is_suspect(&[crash(Evidence::AmongRecent)], repeat_rate));
/// assert!(!is_suspect(&[crash(Evidence::NotRecent)], repeat_rate));
/// // Workers crash whatever they run.
/// (0..10).for_each(|_| repeat_rate.record_crash(false));
/// assert!(!is_suspect(&[crash(Evidence::AmongRecent)], repeat_rate));
/// assert!(is_suspect(&[crash(Evidence::AmongRecent), crash(Evidence::AmongRecent)], repeat_rate));
/// ```
pub fn is_suspect(crashes: &[Crash], repeat_rate: RepeatRate) -> bool {
    let recent = crashes.iter().filter(|crash| crash.evidence.is_suspicious()).count();
    recent >= MAX_SUSPECT_CRASHES || recent > 0 && repeat_rate.is_high()
}

/// Whether a crash hit a task that had just started, and an earlier one did too.
pub fn is_repeat(crashes: &[Crash], evidence: Evidence) -> bool {
    let is_recent = |evidence| matches!(evidence, Evidence::OnlyRecent | Evidence::AmongRecent);
    is_recent(evidence) && crashes.iter().any(|crash| is_recent(crash.evidence))
}

/// Whether a task is abandoned after these crashes; for a long-running one, those of consecutive
/// runs that had just started.
///
/// ```
/// use spokelift_lib::batch::crash::{is_abandoned, Crash, Evidence};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let (only, among) = (crash(Evidence::OnlyRecent), crash(Evidence::AmongRecent));
/// assert!(!is_abandoned(&[only.clone()], false));
/// assert!(is_abandoned(&[among.clone(), only.clone()], false));
/// // Tasks beside it may be the cause both times.
/// assert!(!is_abandoned(&[among.clone(), among], false));
/// assert!(is_abandoned(&[only.clone(), only.clone(), only], true));
/// // Many workers crashed each time, whatever they ran.
/// let correlated = crash(Evidence::Correlated);
/// assert!(!is_abandoned(&vec![correlated.clone(); 3], false));
/// assert!(is_abandoned(&vec![correlated; 4], false));
/// ```
pub fn is_abandoned(crashes: &[Crash], is_long_running: bool) -> bool {
    let count = |wanted: &[Evidence]| {
        crashes.iter().filter(|crash| wanted.contains(&crash.evidence)).count()
    };
    let has_clear_evidence = count(&[Evidence::OnlyRecent]) > 0;
    let recent = count(&[Evidence::OnlyRecent, Evidence::AmongRecent]);
    match is_long_running {
        true => {
            has_clear_evidence && recent >= MAX_SUSPECT_CRASHES_LONG_RUNNING
                || crashes.len() >= MAX_CRASHES_LONG_RUNNING
        }
        false => {
            has_clear_evidence && recent >= MAX_SUSPECT_CRASHES || crashes.len() >= MAX_CRASHES
        }
    }
}
