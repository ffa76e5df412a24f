//! Evidence that a task brings down the workers that start it, and when it is given up.
//!
//! A worker that crashes tells no ends, and many tasks run on it side by side. Whatever brought it down was
//! there when it was last heard of, and a task that does so as it starts had only just begun by then. So each
//! crash leaves a mark on every task that was there, and the mark says how much it speaks against the task.
//! One that had only just begun is a suspect: its next run begins where no other job's task has just begun
//! (see [`crate::batch::place`]), so that a second crash speaks against nobody else.

pub mod silence;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Life;

/// A run that had been on a worker for no longer when the worker was last heard of had only just begun: a few of the runs
/// on a worker at full load, of which something is heard at each start.
pub const JUST_BEGUN: Duration = Duration::from_millis(150);
/// Crashes under a suspect after which it is given up: as early as the platform allows it, since a task that goes on takes
/// all others on its worker with it each time.
const MOST_AS_SUSPECT: usize = 2;
/// The same for a task that lasts: it is restarted all day long, so crashes of other causes hit it more often as it begins.
const MOST_LASTING: usize = 3;
/// Crashes under a task, however long it had run, after which it is given up. The platform allows two more
/// starts after the third crash; one of them is left for what a lost scheduler had not written down.
const MOST: usize = 4;
/// The same for a task that lasts: as many as the platform allows starts, since it is started again all day long.
const MOST_OF_ALL_LASTING: usize = 5;

/// Share of crashes under a task that had been a suspect before, from which on a task is tried by itself after the first
/// crash. About half are where tasks are to blame, few where workers crash whatever they run.
const REPEATED: f64 = 0.25;
/// Weight of the newest crash in that share.
const NEWEST: f64 = 0.1;
/// The share before any crash was seen: the first poison task should meet a scheduler that looks for it.
const REPEATED_AT_FIRST: f64 = 0.5;

/// How often crashes come under the same tasks again, as this scheduler sees it. Where workers crash for reasons of their
/// own, trying every task that was there by itself only costs room.
#[derive(Clone, Copy, Debug)]
pub struct Repeats(f64);

impl Default for Repeats {
    fn default() -> Repeats {
        Repeats(REPEATED_AT_FIRST)
    }
}

impl Repeats {
    /// A worker has crashed, under a suspect or not.
    pub fn crashed(&mut self, under_suspect: bool) {
        self.0 += NEWEST * (f64::from(u8::from(under_suspect)) - self.0);
    }

    /// Whether tasks are to blame for the crashes of late.
    ///
    /// ```
    /// use spokelift_lib::batch::crash::Repeats;
    /// let mut repeats = Repeats::default();
    /// assert!(repeats.are_common());
    /// (0..10).for_each(|_| repeats.crashed(false));
    /// assert!(!repeats.are_common());
    /// (0..4).for_each(|_| repeats.crashed(true));
    /// assert!(repeats.are_common());
    /// ```
    pub fn are_common(self) -> bool {
        self.0 >= REPEATED
    }
}

/// What a worker's crash says of a task that was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// No other job's task had just begun there.
    Alone,
    /// It had just begun, as tasks of other jobs had.
    Among,
    /// It may never have been there: its start had no answer, or it is known only that it may have run there.
    Unsure,
    /// It had run for a while.
    Earlier,
    /// It had just begun, or may have, and other workers fell silent in the same moment: see [`silence`].
    Shared,
}

impl Evidence {
    /// Whether it may speak against the task.
    fn is_suspicious(self) -> bool {
        !matches!(self, Evidence::Earlier | Evidence::Shared)
    }
}

impl std::fmt::Display for Evidence {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(match self {
            Evidence::Alone => "only this job had just begun there",
            Evidence::Among => "it had just begun there, as others had",
            Evidence::Unsure => "it may not have begun there",
            Evidence::Earlier => "it had run there for a while",
            Evidence::Shared => "others crashed in the same moment",
        })
    }
}

/// A worker that crashed under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker.
    pub worker: Life,
    /// What that says of the task.
    pub evidence: Evidence,
}

impl Crash {
    /// Whether the task may have just begun there.
    pub fn is_young(&self) -> bool {
        self.evidence != Evidence::Earlier
    }
}

/// Whether a task's next run should begin by itself.
///
/// ```
/// use spokelift_lib::batch::crash::{is_suspect, Crash, Evidence, Repeats};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let mut repeats = Repeats::default();
/// assert!(is_suspect(&[crash(Evidence::Among)], repeats));
/// assert!(!is_suspect(&[crash(Evidence::Earlier)], repeats));
/// // Workers crash whatever they run.
/// (0..10).for_each(|_| repeats.crashed(false));
/// assert!(!is_suspect(&[crash(Evidence::Among)], repeats));
/// assert!(is_suspect(&[crash(Evidence::Among), crash(Evidence::Among)], repeats));
/// ```
pub fn is_suspect(crashes: &[Crash], repeats: Repeats) -> bool {
    let young = crashes.iter().filter(|crash| crash.evidence.is_suspicious()).count();
    young >= MOST_AS_SUSPECT || young > 0 && repeats.are_common()
}

/// Whether a crash came as a task had just begun, and had come so before.
pub fn is_repeat(crashes: &[Crash], evidence: Evidence) -> bool {
    let is_young = |evidence| matches!(evidence, Evidence::Alone | Evidence::Among);
    is_young(evidence) && crashes.iter().any(|crash| is_young(crash.evidence))
}

/// Whether a task is given up after these crashes; for one that lasts, those of runs in a row that had just
/// begun.
///
/// ```
/// use spokelift_lib::batch::crash::{is_given_up, Crash, Evidence};
/// let crash = |evidence| Crash { worker: "w1".into(), evidence };
/// let (alone, among) = (crash(Evidence::Alone), crash(Evidence::Among));
/// assert!(!is_given_up(&[alone.clone()], false));
/// assert!(is_given_up(&[among.clone(), alone.clone()], false));
/// // Its neighbours may be to blame both times.
/// assert!(!is_given_up(&[among.clone(), among], false));
/// assert!(is_given_up(&[alone.clone(), alone.clone(), alone], true));
/// // Many workers crashed each time, whatever they ran.
/// let shared = crash(Evidence::Shared);
/// assert!(!is_given_up(&vec![shared.clone(); 3], false));
/// assert!(is_given_up(&vec![shared; 4], false));
/// ```
pub fn is_given_up(crashes: &[Crash], lasts: bool) -> bool {
    let count = |wanted: &[Evidence]| {
        crashes.iter().filter(|crash| wanted.contains(&crash.evidence)).count()
    };
    let is_clear = count(&[Evidence::Alone]) > 0;
    let young = count(&[Evidence::Alone, Evidence::Among]);
    match lasts {
        true => is_clear && young >= MOST_LASTING || crashes.len() >= MOST_OF_ALL_LASTING,
        false => is_clear && young >= MOST_AS_SUSPECT || crashes.len() >= MOST,
    }
}
