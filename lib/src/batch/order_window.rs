//! When a scheduler may order boxes. No box is ordered by two schedulers within the time that the
//! platform names, so a new scheduler leaves alone what the one before may have ordered last: those that
//! it names if it gave up the lead, and if it fell silent those that it had announced in the store. A
//! box is announced before it is ordered, and a scheduler that has a successor can announce nothing more,
//! so what the successor reads is all. With every box resting, a silent scheduler cost 3 s without an
//! order, where rises of load last 5 s.
//!
//! While the store is late (see [`crate::batch::store_latency`]), every box is announced ahead of need, so that no
//! order waits for it; a scheduler that is lost then costs its successor the 3 s.

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
pub const EXCLUSIVE_LEASE: Duration = Duration::from_millis(1_400);

/// Whether it is certain that at `then` nobody else had claimed the lead, by when the call was sent
/// that last renewed it; none where the lead plays no part.
pub fn is_sole_leader(renewed_at: Option<Instant>, then: Instant) -> bool {
    renewed_at.is_none_or(|at| then.saturating_duration_since(at) <= EXCLUSIVE_LEASE)
}

/// Boxes that a scheduler leaves alone at its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldBoxes {
    /// Every box: nobody knows what was ordered.
    #[serde(rename = "Every")]
    All,
    /// These.
    #[serde(rename = "These")]
    Only(HashSet<MachineId>),
}

/// A scheduler's turn to order boxes.
pub struct OrderWindow {
    started_at: Instant,
    /// Least time between the orders of two schedulers about one box.
    handover_gap: Duration,
    held_boxes: HeldBoxes,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// When boxes were last ordered.
    ordered_at: HashMap<MachineId, Instant>,
    /// Boxes that the store knows of as ordered, or about to be. What it is being told may replace that at
    /// any time, so only boxes that both name are among them until it is known to have been told.
    announced: HashSet<MachineId>,
    /// What it is being told, and the number of that announcement.
    in_flight: Option<(u64, HashSet<MachineId>)>,
    /// Boxes that are announced whether or not they are to be ordered; none but while the store is late.
    pre_announced: HashSet<MachineId>,
    /// Boxes that the one before had announced; none until the store was read.
    inherited: Option<HashSet<MachineId>>,
    is_closed: bool,
}

impl OrderWindow {
    /// A turn that begins at `now`.
    pub fn new(gap: Duration, resting: HeldBoxes, now: Instant) -> OrderWindow {
        OrderWindow {
            started_at: now,
            handover_gap: gap,
            held_boxes: resting,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    /// The boxes of before that are still left alone; none once the time is over.
    fn remaining_held(&self, state: &State, now: Instant) -> HeldBoxes {
        match (&self.held_boxes, &state.inherited) {
            _ if now.saturating_duration_since(self.started_at) >= self.handover_gap => {
                HeldBoxes::Only(HashSet::new())
            }
            (HeldBoxes::All, Some(inherited)) => HeldBoxes::Only(inherited.clone()),
            (resting, _) => resting.clone(),
        }
    }

    /// The store was read: these boxes were announced before.
    pub fn set_inherited(&self, boxes: HashSet<MachineId>) {
        self.state().inherited = Some(boxes);
    }

    /// What the store is to be told before these boxes are ordered: all that may have been ordered lately,
    /// and what is announced ahead. `None` if it knows of them.
    pub fn required_announcement(
        &self,
        boxes: &[MachineId],
        now: Instant,
    ) -> Option<HashSet<MachineId>> {
        let state = self.state();
        if boxes.iter().all(|target| state.announced.contains(target)) {
            return None;
        }
        Some(self.build_announcement(&state, boxes, now))
    }

    fn build_announcement(
        &self,
        state: &State,
        boxes: &[MachineId],
        now: Instant,
    ) -> HashSet<MachineId> {
        let mut all: HashSet<MachineId> =
            boxes.iter().chain(&state.pre_announced).cloned().collect();
        all.extend(self.recently_ordered(state, now));
        if let HeldBoxes::Only(resting) = self.remaining_held(state, now) {
            all.extend(resting);
        }
        all
    }

    /// Sets which boxes are announced ahead of need; returns what the store is to be told for it, if
    /// anything changes.
    pub fn set_pre_announced(
        &self,
        boxes: HashSet<MachineId>,
        now: Instant,
    ) -> Option<HashSet<MachineId>> {
        let mut state = self.state();
        if state.pre_announced == boxes {
            return None;
        }
        state.pre_announced = boxes;
        Some(self.build_announcement(&state, &[], now))
    }

    /// Number of the announcement under way that will let these boxes be ordered, if there is one.
    pub fn pending_announcement(&self, boxes: &[MachineId]) -> Option<u64> {
        let state = self.state();
        let (number, told) = state.in_flight.as_ref()?;
        boxes.iter().all(|target| told.contains(target)).then_some(*number)
    }

    /// The store is being told of these boxes.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::order_window::{HeldBoxes, OrderWindow};
    /// let now = Instant::now();
    /// let order_window = OrderWindow::new(Duration::from_secs(3), HeldBoxes::Only([].into()), now);
    /// let (a, b) = ("a".to_owned(), "b".to_owned());
    /// order_window.begin_announcement(1, [a.clone()].into());
    /// assert!(order_window.required_announcement(&[a.clone()], now).is_some(), "it may not have been told yet");
    /// order_window.confirm_announcement(1);
    /// assert!(order_window.required_announcement(&[a.clone()], now).is_none());
    /// order_window.begin_announcement(2, [b].into());
    /// assert!(order_window.required_announcement(&[a], now).is_some(), "it may have been told by now");
    /// ```
    pub fn begin_announcement(&self, number: u64, boxes: HashSet<MachineId>) {
        let mut state = self.state();
        state.announced.retain(|target| boxes.contains(target));
        state.in_flight = Some((number, boxes));
    }

    /// The store knows of the announcements up to this one.
    pub fn confirm_announcement(&self, number: u64) {
        let mut state = self.state();
        let told = state.in_flight.take_if(|(under_way, _)| *under_way <= number);
        if let Some((_, boxes)) = told {
            state.announced = boxes;
        }
    }

    fn recently_ordered<'a>(
        &'a self,
        state: &'a State,
        now: Instant,
    ) -> impl Iterator<Item = MachineId> + 'a {
        let is_recent = move |at: Instant| now.saturating_duration_since(at) < self.handover_gap;
        let recent = state.ordered_at.iter().filter(move |(_, at)| is_recent(**at));
        recent.map(|(target, _)| target.clone())
    }

    /// Whether any box may be ordered now.
    pub fn may_order(&self, now: Instant) -> bool {
        let state = self.state();
        self.remaining_held(&state, now) != HeldBoxes::All && !state.is_closed
    }

    /// Boxes that are left alone for now, where others are not.
    pub fn held_boxes(&self, now: Instant) -> HashSet<MachineId> {
        match self.remaining_held(&self.state(), now) {
            HeldBoxes::All => HashSet::new(),
            HeldBoxes::Only(boxes) => boxes,
        }
    }

    /// Notes that a box is about to be ordered; `false` if the turn is over.
    pub fn record_order(&self, target: &str, now: Instant) -> bool {
        let mut state = self.state();
        if !state.is_closed {
            state.ordered_at.insert(target.to_owned(), now);
        }
        !state.is_closed
    }

    /// Ends the turn; returns what the next scheduler has to leave alone.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::order_window::{HeldBoxes, OrderWindow};
    /// let now = Instant::now();
    /// let order_window = OrderWindow::new(Duration::from_secs(3), HeldBoxes::Only(["a".to_owned()].into()), now);
    /// assert!(order_window.record_order("b", now));
    /// assert_eq!(order_window.close(now), HeldBoxes::Only(["a".to_owned(), "b".to_owned()].into()));
    /// assert!(!order_window.record_order("c", now));
    /// ```
    pub fn close(&self, now: Instant) -> HeldBoxes {
        let mut state = self.state();
        state.is_closed = true;
        let HeldBoxes::Only(mut boxes) = self.remaining_held(&state, now) else {
            return HeldBoxes::All;
        };
        boxes.extend(self.recently_ordered(&state, now));
        HeldBoxes::Only(boxes)
    }
}
