//! When a scheduler may order boxes.
//!
//! Two schedulers must not order the same box within a time that the platform sets, so a new
//! scheduler holds the boxes that its predecessor may have ordered last. A predecessor that
//! released leadership names these boxes. One that became unresponsive has announced them in the
//! store: a box is announced before it is ordered, and a scheduler that has a successor can
//! announce nothing more, so what the successor reads is complete. Holding every box instead would
//! cost 3 s without any order, while rises of load last 5 s.
//!
//! An order without an answer may be carried out seconds later, also after its scheduler was lost. So
//! the boxes that the predecessor had announced stay unsettled until this scheduler has ordered them
//! itself, which raises the fencing token of the box, or until no order can be that late.
//!
//! While the store is slow (see [`crate::batch::store_latency`]), every box is announced in
//! advance, so that no order waits for an announcement. If such a scheduler fails, its successor
//! holds every box for the 3 s.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::machine::MachineId;

/// How long after a renewal of the leader lease it is certain that no other node has claimed it:
/// others do so after 2.1 s without a renewal at the earliest.
pub const EXCLUSIVE_LEASE: Duration = Duration::from_millis(1_400);

/// How long after it was sent an order without an answer may be carried out.
pub const LATE_ORDER_LIMIT: Duration = Duration::from_secs(12);

/// Whether it is certain that no other node had claimed leadership at `then`. `renewed_at` is when
/// the last successful renewal was sent; `None` where there is no leader lease.
pub fn is_sole_leader(renewed_at: Option<Instant>, then: Instant) -> bool {
    renewed_at.is_none_or(|at| then.saturating_duration_since(at) <= EXCLUSIVE_LEASE)
}

/// Boxes that a new scheduler must not order yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeldBoxes {
    /// All boxes, since it is not known which were ordered.
    #[serde(rename = "Every")]
    All,
    /// Only these boxes.
    #[serde(rename = "These")]
    Only(HashSet<MachineId>),
}

/// The time in which one scheduler may order boxes.
pub struct OrderWindow {
    started_at: Instant,
    /// Least time between orders of two schedulers about the same box.
    handover_gap: Duration,
    held_boxes: HeldBoxes,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// When each box was last ordered.
    ordered_at: HashMap<MachineId, Instant>,
    /// Boxes that the store certainly lists as announced. A write in flight may replace the stored
    /// announcement at any time, so until it is confirmed only boxes that are in both are here.
    announced: HashSet<MachineId>,
    /// Number and boxes of the announcement that is being written.
    in_flight: Option<(u64, HashSet<MachineId>)>,
    /// Boxes that are announced in advance, whether or not they are to be ordered; empty unless the
    /// store is slow.
    pre_announced: HashSet<MachineId>,
    /// Boxes that the predecessor had announced; `None` until the store was read.
    inherited: Option<HashSet<MachineId>>,
    /// Boxes that the predecessor may have ordered and that this scheduler has not ordered yet.
    unsettled: HashSet<MachineId>,
    is_closed: bool,
}

impl OrderWindow {
    /// A window that starts at `now`.
    pub fn new(handover_gap: Duration, held_boxes: HeldBoxes, now: Instant) -> OrderWindow {
        OrderWindow { started_at: now, handover_gap, held_boxes, state: Mutex::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state lock")
    }

    /// What is still held for the predecessor; no boxes once the handover gap has passed.
    fn remaining_held(&self, state: &State, now: Instant) -> HeldBoxes {
        match (&self.held_boxes, &state.inherited) {
            _ if now.saturating_duration_since(self.started_at) >= self.handover_gap => {
                HeldBoxes::Only(HashSet::new())
            }
            (HeldBoxes::All, Some(inherited)) => HeldBoxes::Only(inherited.clone()),
            (held_boxes, _) => held_boxes.clone(),
        }
    }

    /// Sets the boxes that the predecessor had announced, as read from the store.
    pub fn set_inherited(&self, boxes: HashSet<MachineId>) {
        let mut state = self.state();
        state.unsettled.clone_from(&boxes);
        state.inherited = Some(boxes);
    }

    /// Boxes that an order of the predecessor may still reach.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::order_window::{HeldBoxes, OrderWindow};
    /// let now = Instant::now();
    /// let window = OrderWindow::new(Duration::from_secs(3), HeldBoxes::All, now);
    /// window.set_inherited(["a".to_owned(), "b".to_owned()].into());
    /// window.settle("a");
    /// assert_eq!(window.unsettled(now), ["b".to_owned()].into());
    /// assert!(window.unsettled(now + Duration::from_secs(12)).is_empty());
    /// ```
    pub fn unsettled(&self, now: Instant) -> HashSet<MachineId> {
        self.remaining_unsettled(&self.state(), now)
    }

    fn remaining_unsettled(&self, state: &State, now: Instant) -> HashSet<MachineId> {
        let is_over = now.saturating_duration_since(self.started_at) >= LATE_ORDER_LIMIT;
        if is_over { HashSet::new() } else { state.unsettled.clone() }
    }

    /// Records that an order of this scheduler has reached a box: it refuses earlier ones from now
    /// on.
    pub fn settle(&self, id: &str) {
        self.state().unsettled.remove(id);
    }

    /// The announcement to write before these boxes are ordered: them, all that may have been
    /// ordered lately, and what is announced in advance. `None` if the store already lists them.
    pub fn required_announcement(
        &self,
        boxes: &[MachineId],
        now: Instant,
    ) -> Option<HashSet<MachineId>> {
        let state = self.state();
        if boxes.iter().all(|id| state.announced.contains(id)) {
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
        all.extend(self.remaining_unsettled(state, now));
        if let HeldBoxes::Only(held_boxes) = self.remaining_held(state, now) {
            all.extend(held_boxes);
        }
        all
    }

    /// Sets which boxes are announced in advance; returns the announcement to write, `None` if
    /// nothing changes.
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

    /// Number of the announcement in flight that will let all these boxes be ordered; `None` if
    /// there is none.
    pub fn pending_announcement(&self, boxes: &[MachineId]) -> Option<u64> {
        let state = self.state();
        let (number, boxes_in_flight) = state.in_flight.as_ref()?;
        boxes.iter().all(|id| boxes_in_flight.contains(id)).then_some(*number)
    }

    /// Records that an announcement of these boxes is being written.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::order_window::{HeldBoxes, OrderWindow};
    /// let now = Instant::now();
    /// let window = OrderWindow::new(Duration::from_secs(3), HeldBoxes::Only([].into()), now);
    /// let (a, b) = ("a".to_owned(), "b".to_owned());
    /// window.start_announcement(1, [a.clone()].into());
    /// assert!(window.required_announcement(&[a.clone()], now).is_some(), "not confirmed yet");
    /// window.confirm_announcement(1);
    /// assert!(window.required_announcement(&[a.clone()], now).is_none());
    /// window.start_announcement(2, [b].into());
    /// assert!(window.required_announcement(&[a], now).is_some(), "it may be replaced");
    /// ```
    pub fn start_announcement(&self, number: u64, boxes: HashSet<MachineId>) {
        let mut state = self.state();
        state.announced.retain(|id| boxes.contains(id));
        state.in_flight = Some((number, boxes));
    }

    /// Records that the store has the announcements up to this number.
    pub fn confirm_announcement(&self, number: u64) {
        let mut state = self.state();
        let boxes_in_flight = state.in_flight.take_if(|(under_way, _)| *under_way <= number);
        if let Some((_, boxes)) = boxes_in_flight {
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
        recent.map(|(id, _)| id.clone())
    }

    /// Whether any box may be ordered now.
    pub fn may_order(&self, now: Instant) -> bool {
        let state = self.state();
        self.remaining_held(&state, now) != HeldBoxes::All && !state.is_closed
    }

    /// Boxes on hold while others may be ordered; empty if every box is on hold (see
    /// [`OrderWindow::may_order`]).
    pub fn held_boxes(&self, now: Instant) -> HashSet<MachineId> {
        match self.remaining_held(&self.state(), now) {
            HeldBoxes::All => HashSet::new(),
            HeldBoxes::Only(boxes) => boxes,
        }
    }

    /// Records that a box is about to be ordered; returns `false` if the window is closed.
    pub fn record_order(&self, id: &str, now: Instant) -> bool {
        let mut state = self.state();
        if !state.is_closed {
            state.ordered_at.insert(id.to_owned(), now);
        }
        !state.is_closed
    }

    /// Closes the window; returns what the next scheduler must hold.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use spokelift_lib::batch::order_window::{HeldBoxes, OrderWindow};
    /// let now = Instant::now();
    /// let held = HeldBoxes::Only(["a".to_owned()].into());
    /// let window = OrderWindow::new(Duration::from_secs(3), held, now);
    /// assert!(window.record_order("b", now));
    /// assert_eq!(window.close(now), HeldBoxes::Only(["a".to_owned(), "b".to_owned()].into()));
    /// assert!(!window.record_order("c", now));
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
