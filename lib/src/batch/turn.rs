//! When a scheduler may order boxes. No box is ordered by two schedulers within the time that the
//! platform names, so a new scheduler leaves alone what the one before may have ordered last: every
//! box if that one fell silent, and those that it names if it gave up the lead.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::machine::MachineId;

/// How long after the lead was renewed it is certain that nobody else has claimed it: others do so after
/// 2.1 s of silence at the earliest.
pub const RENEWED: Duration = Duration::from_millis(1_400);

/// Whether it is certain that at `then` nobody else had claimed the lead, by when the call was sent
/// that last renewed it; none where the lead plays no part.
pub fn is_sole_holder(renewed_at: Option<Instant>, then: Instant) -> bool {
    renewed_at.is_none_or(|at| then.saturating_duration_since(at) <= RENEWED)
}

/// Boxes that a scheduler leaves alone at its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Resting {
    /// Every box: nobody knows what was ordered.
    Every,
    /// These.
    These(HashSet<MachineId>),
}

/// A scheduler's turn to order boxes.
pub struct Turn {
    began_at: Instant,
    /// Least time between the orders of two schedulers about one box.
    gap: Duration,
    resting: Resting,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// When boxes were last ordered.
    ordered: HashMap<MachineId, Instant>,
    is_over: bool,
}

impl Turn {
    /// A turn that begins at `now`.
    pub fn new(gap: Duration, resting: Resting, now: Instant) -> Turn {
        Turn { began_at: now, gap, resting, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    /// The boxes of before that are still left alone; none once the time is over.
    fn still_resting(&self, now: Instant) -> Resting {
        match &self.resting {
            _ if now.saturating_duration_since(self.began_at) >= self.gap => {
                Resting::These(HashSet::new())
            }
            resting => resting.clone(),
        }
    }

    /// Whether any box may be ordered now.
    pub fn may_order(&self, now: Instant) -> bool {
        self.still_resting(now) != Resting::Every && !self.state().is_over
    }

    /// Boxes that are left alone for now, where others are not.
    pub fn resting(&self, now: Instant) -> HashSet<MachineId> {
        match self.still_resting(now) {
            Resting::Every => HashSet::new(),
            Resting::These(boxes) => boxes,
        }
    }

    /// Notes that a box is about to be ordered; `false` if the turn is over.
    pub fn begin_order(&self, target: &str, now: Instant) -> bool {
        let mut state = self.state();
        if !state.is_over {
            state.ordered.insert(target.to_owned(), now);
        }
        !state.is_over
    }

    /// Ends the turn; returns what the next scheduler has to leave alone.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::turn::{Resting, Turn};
    /// let now = Instant::now();
    /// let turn = Turn::new(Duration::from_secs(3), Resting::These(["a".to_owned()].into()), now);
    /// assert!(turn.begin_order("b", now));
    /// assert_eq!(turn.end(now), Resting::These(["a".to_owned(), "b".to_owned()].into()));
    /// assert!(!turn.begin_order("c", now));
    /// ```
    pub fn end(&self, now: Instant) -> Resting {
        let mut state = self.state();
        state.is_over = true;
        let Resting::These(mut boxes) = self.still_resting(now) else { return Resting::Every };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < self.gap;
        let recent = state.ordered.iter().filter(|(_, at)| is_recent(**at));
        boxes.extend(recent.map(|(target, _)| target.clone()));
        Resting::These(boxes)
    }
}
