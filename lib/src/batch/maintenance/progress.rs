//! How far one wave is: which machines are being emptied, are down, and are still to come.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Incarnation;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;

use crate::batch::config::Config;
use crate::batch::deferral::Deferrals;

/// Machines as the platform lists them, by id.
pub type MachinesById<'a> = HashMap<&'a str, &'a Machine>;

/// Share of a wave's time in which it is planned to be done; the rest is for what goes wrong.
const PLANNED_FRACTION: f64 = 0.6;
/// Time for which one machine is kept from work: about 3 s until it is empty, 2 s of upkeep and
/// 1 s until its new worker is found.
const MACHINE_CYCLE: Duration = Duration::from_millis(6_000);

/// What is known of one wave.
pub struct WaveProgress {
    pub(super) wave: Wave,
    pub(super) first_seen_at: Instant,
    /// Machines whose upkeep has begun.
    pub(super) started: HashSet<MachineId>,
    /// Machines that are down for it, since when, and the life that was there before.
    pub(super) down: HashMap<MachineId, (Instant, Option<Incarnation>)>,
    /// Machines whose order had no answer. Each counts as down, and is ordered again until there is
    /// an answer: the order may have been lost on the way, and then nothing else would end it.
    pub(super) unanswered: HashSet<MachineId>,
    /// Machines that an earlier scheduler may have ordered just now, and that may be down.
    held: HashSet<MachineId>,
    /// Machines that are left alone for a while.
    pub(super) deferrals: Deferrals,
    /// Machines that are being emptied, since when.
    pub(super) evacuating: HashMap<MachineId, Instant>,
    /// What the operator has been told: none, running, succeeded.
    pub(super) reported: Option<bool>,
    /// What the operator is being told, and where it shows whether that was written.
    pub(super) pending_report: Option<(bool, oneshot::Receiver<bool>)>,
}

impl WaveProgress {
    /// A wave that was first seen so long ago, by whichever scheduler.
    pub fn new(wave: Wave, begun: HashSet<MachineId>, age: Duration, now: Instant) -> WaveProgress {
        WaveProgress {
            wave,
            first_seen_at: now.checked_sub(age).unwrap_or(now),
            held: HashSet::new(),
            started: begun,
            down: HashMap::new(),
            unanswered: HashSet::new(),
            deferrals: Deferrals::default(),
            evacuating: HashMap::new(),
            reported: None,
            pending_report: None,
        }
    }

    /// Whether the operator is to be told how far the wave is now: it was not, and is not being told. One
    /// word is under way at a time, so that none overtakes a later one.
    pub(super) fn needs_report(&mut self, succeeded: bool) -> bool {
        if let Some((word, written)) = &mut self.pending_report {
            match written.try_recv() {
                Ok(true) => self.reported = Some(*word),
                Err(TryRecvError::Empty) => return false,
                // It was not written, or the scheduler ends.
                Ok(false) | Err(TryRecvError::Closed) => {}
            }
            self.pending_report = None;
        }
        self.reported.is_none_or(|told| !told && succeeded)
    }

    /// A machine is no longer being emptied, and is left alone for a while, for a reason: its place goes to the next.
    /// Returns whether that is news.
    pub(super) fn defer(&mut self, id: &str, reason: &str, now: Instant) -> bool {
        self.evacuating.remove(id);
        self.deferrals.defer(id, reason, now)
    }

    /// The upkeep of a machine has begun.
    pub fn mark_started(&mut self, id: &str, before: Option<Incarnation>, now: Instant) {
        self.unanswered.remove(id);
        self.deferrals.forget(id);
        self.evacuating.remove(id);
        self.started.insert(id.to_owned());
        self.mark_down(id, before, now);
    }

    /// Whether a machine is being emptied, or is down.
    pub fn is_under_way(&self, id: &str) -> bool {
        self.evacuating.contains_key(id) || self.down.contains_key(id)
    }

    /// Machines whose upkeep has not begun.
    pub fn remaining(&self) -> Vec<MachineId> {
        let machines = self.wave.machines.iter();
        machines.filter(|id| !self.started.contains(*id)).cloned().collect()
    }

    /// How many machines are being emptied or are down.
    pub(super) fn count_under_way(&self) -> usize {
        let both = self.down.keys().filter(|id| self.evacuating.contains_key(*id)).count();
        self.evacuating.len() + self.down.len() - both
    }

    /// Of the machines that are empty, those that may be ordered now, at most `most`. One whose
    /// order had no answer counts as down already.
    pub(super) fn select_orders(&self, empty: Vec<MachineId>, most: usize) -> Vec<MachineId> {
        let (again, mut first): (Vec<MachineId>, Vec<MachineId>) =
            empty.into_iter().partition(|id| self.unanswered.contains(id));
        first.truncate(self.remaining_down());
        again.into_iter().chain(first).take(most).collect()
    }

    /// How many more machines may go down now.
    fn remaining_down(&self) -> usize {
        let resting = self.held.iter().filter(|id| !self.down.contains_key(*id)).count();
        self.wave.max_down.saturating_sub(self.down.len() + resting)
    }

    /// Takes in which machines an earlier scheduler may have ordered just now.
    pub(super) fn set_held(&mut self, resting: &HashSet<MachineId>) {
        let of_wave = self.wave.machines.iter().filter(|id| resting.contains(*id));
        self.held = of_wave.cloned().collect();
    }

    /// How many machines must be empty or down at a time for the wave to be done in time.
    pub(super) fn required_concurrency(&self, left: usize, now: Instant) -> usize {
        let aim = self.wave.duration.mul_f64(PLANNED_FRACTION);
        let remaining = aim
            .saturating_sub(now.saturating_duration_since(self.first_seen_at))
            .max(MACHINE_CYCLE);
        let needed = left as f64 * MACHINE_CYCLE.as_secs_f64() / remaining.as_secs_f64();
        needed.ceil() as usize
    }

    /// Notes that a machine goes down, and which worker lived there.
    pub fn mark_down(&mut self, id: &str, before: Option<Incarnation>, now: Instant) {
        self.down.insert(id.to_owned(), (now, before));
    }

    /// Lets go of machines that are back. A machine counts as down for `least` at the least, until
    /// its order is answered, and until the platform lists it as up with another worker, another life
    /// of its worker answers, or the one from before answers still: then an earlier scheduler had its
    /// upkeep done already, and the order that came again did nothing. One of the reserve is switched
    /// off and gets no other worker. `answers` tells which life on a machine last answered, and when.
    pub fn update_down(
        &mut self,
        least: Duration,
        config: Option<&Config>,
        listed: &MachinesById<'_>,
        answers: impl Fn(&Machine) -> Option<(Incarnation, Instant)>,
        now: Instant,
    ) {
        let is_off = |machine: &Machine| {
            let service = config.and_then(|config| config.service(&machine.pool));
            service.is_some_and(|service| service.is_reserve)
        };
        // An earlier scheduler ordered it.
        let of_wave = self.wave.machines.iter().filter_map(|id| listed.get(id.as_str()));
        for machine in of_wave.filter(|machine| machine.status == Status::Maintenance) {
            self.down.entry(machine.id.clone()).or_insert((now, None));
        }
        let unanswered = &self.unanswered;
        self.down.retain(|id, (since, before)| {
            let over = *since + least;
            let back = listed.get(id.as_str()).is_none_or(|machine| {
                let id_before = before.as_ref().map(|life| &life.id);
                let has_other_id = machine.worker.is_some() && machine.worker.as_ref() != id_before;
                let lives = answers(machine)
                    .is_some_and(|(life, at)| at > over || Some(&life) != before.as_ref());
                machine.status == Status::Up && (has_other_id || lives || is_off(machine))
            });
            unanswered.contains(id) || !back || now < over
        });
    }
}
