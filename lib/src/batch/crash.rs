//! Evidence that a task brings down the workers that start it, and when it is given up.
//!
//! A worker that crashes tells no ends, and many tasks run on it side by side. Whatever brought it down was
//! there when it was last heard of, and a task that does so as it starts had only just begun by then. So each
//! crash leaves a mark on every task that was there, and the mark says how much it speaks against the task.
//! One that had only just begun is a suspect: its next run begins where no other job's task has just begun
//! (see [`crate::batch::place`]), so that a second crash speaks against nobody else.

pub mod outage;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Incarnation;

/// A run that had been on a worker for no longer when the worker was last heard of had only just begun: a few of the runs
/// on a worker at full load, of which something is heard at each start.
pub const RECENT_START: Duration = Duration::from_millis(150);
/// Crashes under a suspect after which it is given up: as early as the platform allows it, since a task that goes on takes
/// all others on its worker with it each time.
const MAX_SUSPECT_CRASHES: usize = 2;
/// The same for a task that lasts: it is restarted all day long, so crashes of other causes hit it more often as it begins.
const MAX_SUSPECT_CRASHES_LONG_RUNNING: usize = 3;
/// Crashes under a task, however long it had run, after which it is given up. The platform allows two more
/// starts after the third crash; one of them is left for what a lost scheduler had not written down.
const MAX_CRASHES: usize = 4;
/// The same for a task that lasts: as many as the platform allows starts, since it is started again all day long.
const MAX_CRASHES_LONG_RUNNING: usize = 5;

/// Share of crashes under a task that had been a suspect before, from which on a task is tried by itself after the first
/// crash. About half are where tasks are to blame, few where workers crash whatever they run.
const HIGH_REPEAT_RATE: f64 = 0.25;
/// Weight of the newest crash in that share.
const REPEAT_RATE_WEIGHT: f64 = 0.1;
/// The share before any crash was seen: the first poison task should meet a scheduler that looks for it.
const INITIAL_REPEAT_RATE: f64 = 0.5;

/// How often crashes come under the same tasks again, as this scheduler sees it. Where workers crash for reasons of their
/// own, trying every task that was there by itself only costs room.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRate(f64);

impl Default for RepeatRate {
    fn default() -> RepeatRate {
        RepeatRate(INITIAL_REPEAT_RATE)
    }
}

impl RepeatRate {
    /// A worker has crashed, under a suspect or not.
    pub fn record_crash(&mut self, under_suspect: bool) {
        self.0 += REPEAT_RATE_WEIGHT * (f64::from(u8::from(under_suspect)) - self.0);
    }

    /// Whether tasks are to blame for the crashes of late.
    ///
    /// ```
    /// use spokelift_lib::batch::crash::RepeatRate;
    /// let mut repeats = RepeatRate::default();
    /// assert!(repeats.is_high());
    /// (0..10).for_each(|_| repeats.record_crash(false));
    /// assert!(!repeats.is_high());
    /// (0..4).for_each(|_| repeats.record_crash(true));
    /// assert!(repeats.is_high());
    /// ```
    pub fn is_high(self) -> bool {
        self.0 >= HIGH_REPEAT_RATE
    }
}

/// What a worker's crash says of a task that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other job's task had just begun there.
    #[serde(rename = "Alone")]
    OnlyRecent,
    /// It had just begun, as tasks of other jobs had.
    #[serde(rename = "Among")]
    AmongRecent,
    /// It may never have been there: its start had no answer, or it is known only that it may have run there.
    #[serde(rename = "Unsure")]
    Uncertain,
    /// It had run for a while.
    #[serde(rename = "Earlier")]
    NotRecent,
    /// It had just begun, or may have, and other workers fell silent in the same moment: see [`silence`].
    #[serde(rename = "Shared")]
    Correlated,
}

impl Evidence {
    /// Whether it may speak against the task.
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

/// A worker that crashed under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker.
    pub worker: Incarnation,
    /// What that says of the task.
    pub evidence: Evidence,
}

impl Crash {
    /// Whether the task may have just begun there.
    pub fn may_be_recent_start(&self) -> bool {
        self.evidence != Evidence::NotRecent
    }
}

/// Whether a task's next run should begin by itself.
///
/// ```
/// use spokelift_lib::batch::crash::{is_suspect, Crash, Evidence, RepeatRate};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let mut repeats = RepeatRate::default();
/// assert!(is_suspect(&[crash(Evidence::AmongRecent)], repeats));
/// assert!(!is_suspect(&[crash(Evidence::NotRecent)], repeats));
/// // Workers crash whatever they run.
/// (0..10).for_each(|_| repeats.record_crash(false));
/// assert!(!is_suspect(&[crash(Evidence::AmongRecent)], repeats));
/// assert!(is_suspect(&[crash(Evidence::AmongRecent), crash(Evidence::AmongRecent)], repeats));
/// ```
pub fn is_suspect(crashes: &[Crash], repeats: RepeatRate) -> bool {
    let young = crashes.iter().filter(|crash| crash.evidence.is_suspicious()).count();
    young >= MAX_SUSPECT_CRASHES || young > 0 && repeats.is_high()
}

/// Whether a crash came as a task had just begun, and had come so before.
pub fn is_repeat(crashes: &[Crash], evidence: Evidence) -> bool {
    let is_young = |evidence| matches!(evidence, Evidence::OnlyRecent | Evidence::AmongRecent);
    is_young(evidence) && crashes.iter().any(|crash| is_young(crash.evidence))
}

/// Whether a task is given up after these crashes; for one that lasts, those of runs in a row that had just
/// begun.
///
/// ```
/// use spokelift_lib::batch::crash::{is_abandoned, Crash, Evidence};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let (alone, among) = (crash(Evidence::OnlyRecent), crash(Evidence::AmongRecent));
/// assert!(!is_abandoned(&[alone.clone()], false));
/// assert!(is_abandoned(&[among.clone(), alone.clone()], false));
/// // Its neighbours may be to blame both times.
/// assert!(!is_abandoned(&[among.clone(), among], false));
/// assert!(is_abandoned(&[alone.clone(), alone.clone(), alone], true));
/// // Many workers crashed each time, whatever they ran.
/// let shared = crash(Evidence::Correlated);
/// assert!(!is_abandoned(&vec![shared.clone(); 3], false));
/// assert!(is_abandoned(&vec![shared; 4], false));
/// ```
pub fn is_abandoned(crashes: &[Crash], lasts: bool) -> bool {
    let count = |wanted: &[Evidence]| {
        crashes.iter().filter(|crash| wanted.contains(&crash.evidence)).count()
    };
    let is_clear = count(&[Evidence::OnlyRecent]) > 0;
    let young = count(&[Evidence::OnlyRecent, Evidence::AmongRecent]);
    match lasts {
        true => {
            is_clear && young >= MAX_SUSPECT_CRASHES_LONG_RUNNING
                || crashes.len() >= MAX_CRASHES_LONG_RUNNING
        }
        false => is_clear && young >= MAX_SUSPECT_CRASHES || crashes.len() >= MAX_CRASHES,
    }
}
