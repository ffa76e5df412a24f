//! Where each box is that serves nothing: one state, since when, for whom, and for which service.
//!
//! Pools, waves, the order window and the platform's list each know a part of it. [`state_of`]
//! decides from all of them, and [`Tracker`] keeps since when each state has lasted.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status as Listed;

/// Why a box serves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It gets nothing new, and something still runs on it.
    Evacuating,
    /// Nothing runs on it, and its order waits for the announcement, for the rate of orders, or for
    /// other boxes of its wave.
    Empty,
    /// It was ordered, and the list shows no effect yet. The answer may be missing.
    Ordered,
    /// The list shows it down, or on its way to another pool.
    Down,
    /// The list shows it in maintenance.
    Maintenance,
    /// The list shows it up, and its worker has not answered this scheduler.
    NotJoined,
    /// It is switched off or has no answer, and must not be ordered yet, since an earlier scheduler
    /// may just have ordered it.
    Held,
    /// It is switched off, and its last order was refused.
    Deferred,
    /// It is switched off and may be ordered.
    SwitchedOff,
}

impl State {
    /// Its name in logs and metrics.
    ///
    /// ```
    /// use spokelift_lib::batch::box_state::State;
    /// assert_eq!(State::NotJoined.name(), "not-joined");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            State::Evacuating => "evacuating",
            State::Empty => "empty",
            State::Ordered => "ordered",
            State::Down => "down",
            State::Maintenance => "maintenance",
            State::NotJoined => "not-joined",
            State::Held => "held",
            State::Deferred => "deferred",
            State::SwitchedOff => "switched-off",
        }
    }
}

/// What a box leaves service for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A move to the pool of this service.
    Move(String),
    /// A move to the reserve, where it is switched off.
    SwitchOff,
    /// The maintenance of this wave.
    Wave(u64),
}

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Purpose::Move(service) => write!(f, "move to {service}"),
            Purpose::SwitchOff => write!(f, "switch-off"),
            Purpose::Wave(number) => write!(f, "wave {number}"),
        }
    }
}

/// A move or a maintenance that has a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// What it leaves for.
    pub purpose: Purpose,
    /// Whether it was ordered, even if the answer is missing.
    pub is_ordered: bool,
}

/// What is known of a box.
#[derive(Clone, Debug)]
pub struct Facts<'a> {
    /// The platform's entry.
    pub listed: &'a Machine,
    /// Whether its pool is the reserve.
    pub is_reserve: bool,
    /// What has it; `None` if nothing has.
    pub departure: Option<Departure>,
    /// Whether it must not be ordered yet because of an earlier scheduler.
    pub is_held: bool,
    /// Whether its last order was refused a short time ago.
    pub is_deferred: bool,
    /// Whether its worker has answered this scheduler.
    pub has_joined: bool,
    /// Whether nothing may run on its worker.
    pub is_empty: bool,
}

/// The state of a box; `None` if it is in service, or if the list does not say.
pub fn state_of(facts: &Facts<'_>) -> Option<State> {
    match facts.listed.status {
        Listed::Maintenance => return Some(State::Maintenance),
        Listed::Moving | Listed::Down => return Some(State::Down),
        Listed::Unreadable => return None,
        Listed::Up => {}
    }
    match &facts.departure {
        Some(departure) if departure.is_ordered => return state_after_order(facts, departure),
        Some(_) if facts.is_empty || facts.is_reserve => return Some(State::Empty),
        Some(_) => return Some(State::Evacuating),
        None => {}
    }
    match facts {
        Facts { is_reserve: false, has_joined: true, .. } => None,
        Facts { is_held: true, .. } => Some(State::Held),
        Facts { is_reserve: false, .. } => Some(State::NotJoined),
        Facts { is_deferred: true, .. } => Some(State::Deferred),
        _ => Some(State::SwitchedOff),
    }
}

/// The state of a box that was ordered and that the list shows as up.
fn state_after_order(facts: &Facts<'_>, departure: &Departure) -> Option<State> {
    match &departure.purpose {
        Purpose::SwitchOff if facts.is_reserve => Some(State::SwitchedOff),
        Purpose::SwitchOff => Some(State::Ordered),
        Purpose::Move(to) if *to != facts.listed.pool => Some(State::Ordered),
        Purpose::Move(_) if facts.has_joined => None,
        // The worker from before answers until the box goes down.
        Purpose::Wave(_) if facts.has_joined => Some(State::Ordered),
        _ => Some(State::NotJoined),
    }
}

/// The state of a box, and for whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The state.
    pub state: State,
    /// What has the box; `None` if nothing has.
    pub purpose: Option<Purpose>,
    /// The service that gets it: that of the move, otherwise of its pool.
    pub service: String,
}

impl Status {
    /// The status of a box; `None` if it is in service.
    pub fn of(facts: Facts<'_>) -> Option<Status> {
        let state = state_of(&facts)?;
        let purpose = facts.departure.map(|departure| departure.purpose);
        let service = match &purpose {
            Some(Purpose::Move(to)) => to.clone(),
            _ => facts.listed.pool.clone(),
        };
        Some(Status { state, purpose, service })
    }
}

/// Number of boxes in each state.
pub type Counts = BTreeMap<State, u64>;

/// The boxes that are not in service, and since when each has its state.
#[derive(Debug, Default)]
pub struct Tracker {
    boxes: HashMap<MachineId, (Status, Instant)>,
    updated_at: Option<Instant>,
}

impl Tracker {
    /// Takes in the status of every box that is not in service; all others are. Returns the states
    /// that have ended, and how long each had lasted.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use spokelift_lib::batch::box_state::{State, Status, Tracker};
    /// let (mut tracker, now) = (Tracker::default(), Instant::now());
    /// let status = |state| Status { state, purpose: None, service: "work".to_owned() };
    /// tracker.update([("m1".to_owned(), status(State::Down))], now);
    /// let later = now + Duration::from_secs(2);
    /// let ended = tracker.update([("m1".to_owned(), status(State::NotJoined))], later);
    /// assert_eq!(ended, [(State::Down, Duration::from_secs(2))]);
    /// assert_eq!(tracker.counts()[&State::NotJoined], 1);
    /// ```
    pub fn update(
        &mut self,
        current: impl IntoIterator<Item = (MachineId, Status)>,
        now: Instant,
    ) -> Vec<(State, Duration)> {
        let mut before = std::mem::take(&mut self.boxes);
        let mut ended = Vec::new();
        for (id, status) in current {
            let since = match before.remove(&id) {
                Some((same, since)) if same.state == status.state => since,
                Some(other) => {
                    ended.push(other);
                    now
                }
                None => now,
            };
            self.boxes.insert(id, (status, since));
        }
        self.updated_at = Some(now);
        let ended = ended.into_iter().chain(before.into_values());
        ended.map(|(status, since)| (status.state, now.saturating_duration_since(since))).collect()
    }

    /// The status of a box, and since when; `None` if it is in service or unknown.
    pub fn get(&self, id: &str) -> Option<&(Status, Instant)> {
        self.boxes.get(id)
    }

    /// The boxes that are not in service.
    pub fn iter(&self) -> impl Iterator<Item = (&MachineId, &Status, Instant)> {
        self.boxes.iter().map(|(id, (status, since))| (id, status, *since))
    }

    /// Number of boxes by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::new();
        for (status, _) in self.boxes.values() {
            *counts.entry(status.state).or_default() += 1;
        }
        counts
    }

    /// Number of boxes by service and state.
    pub fn counts_by_service(&self) -> BTreeMap<&str, Counts> {
        let mut services: BTreeMap<&str, Counts> = BTreeMap::new();
        for (status, _) in self.boxes.values() {
            let counts = services.entry(&status.service).or_default();
            *counts.entry(status.state).or_default() += 1;
        }
        services
    }

    /// Age of the list that the states rest on; `None` if there was none yet.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.updated_at.map(|at| now.saturating_duration_since(at))
    }
}
