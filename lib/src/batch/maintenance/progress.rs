//! Progress of one wave: which boxes are being evacuated, are down, or are still to be started.

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

use crate::batch::config::Config;
use crate::batch::deferral::Deferrals;
use crate::batch::maintenance::status;

/// The machines as the platform lists them, by id.
pub type MachinesById<'a> = HashMap<&'a str, &'a Machine>;

/// Fraction of a wave's duration in which it is planned to be done; the rest is a margin for
/// failures.
const PLANNED_FRACTION: f64 = 0.6;
/// Time for which one box takes no work: about 3 s until it is empty, 2 s of maintenance and 1 s
/// until its new worker is discovered.
const MACHINE_CYCLE: Duration = Duration::from_millis(6_000);

/// What the scheduler knows of one wave.
pub struct WaveProgress {
    pub(super) wave: Wave,
    pub(super) first_seen_at: Instant,
    /// Boxes whose maintenance has started.
    pub(super) started: HashSet<MachineId>,
    /// Boxes that are down for the wave, since when, and the worker incarnation before; `None` if
    /// that is not known.
    pub(super) down: HashMap<MachineId, (Instant, Option<Incarnation>)>,
    /// Boxes whose order was not answered. Each counts as down and is ordered again until there is
    /// an answer: the order may have been lost, and then nothing else would end that state.
    pub(super) unanswered: HashSet<MachineId>,
    /// Boxes that an earlier scheduler may just have ordered, and that may be down.
    held: HashSet<MachineId>,
    /// Boxes that an order of an earlier scheduler may still reach. They count as down, and are
    /// ordered first, so that they refuse that order.
    pub(super) unsettled: HashSet<MachineId>,
    /// Boxes that are not tried again for a while.
    pub(super) deferrals: Deferrals,
    /// Boxes that are being evacuated, and since when.
    pub(super) evacuating: HashMap<MachineId, Instant>,
    /// Whether the last status for the operator says that the wave has succeeded, and the channel that
    /// says when the store has it; `None` before the first.
    status: Option<(bool, oneshot::Receiver<()>)>,
}

impl WaveProgress {
    /// A wave that some scheduler first saw `age` ago, with the boxes whose maintenance has already
    /// started.
    pub fn new(
        wave: Wave,
        started: HashSet<MachineId>,
        age: Duration,
        now: Instant,
    ) -> WaveProgress {
        WaveProgress {
            wave,
            first_seen_at: now.checked_sub(age).unwrap_or(now),
            held: HashSet::new(),
            unsettled: HashSet::new(),
            started,
            down: HashMap::new(),
            unanswered: HashSet::new(),
            deferrals: Deferrals::default(),
            evacuating: HashMap::new(),
            status: None,
        }
    }

    /// Has the status written for the operator, unless the last one says the same or more.
    pub(super) fn report(&mut self, statuses: &status::Queue, succeeded: bool) {
        if self.status.as_ref().is_some_and(|(last, _)| *last || !succeeded) {
            return;
        }
        let (written, is_written) = oneshot::channel();
        self.status = Some((succeeded, is_written));
        let (wave, first_seen_at) = (self.wave.number, self.first_seen_at);
        // The queue is closed once the scheduler has ended.
        let _ = statuses.send(status::Update { wave, succeeded, first_seen_at, written });
    }

    /// Whether the store has just got the status that the wave has succeeded.
    pub(super) fn has_ended(&mut self) -> bool {
        match &mut self.status {
            Some((true, is_written)) => is_written.try_recv().is_ok(),
            Some((false, _)) | None => false,
        }
    }

    /// Ends the evacuation of a box and defers it for a reason, so that another box takes its
    /// place. Returns whether the reason differs from that of its last deferral.
    pub(super) fn defer(&mut self, id: &str, reason: &str, now: Instant) -> bool {
        self.evacuating.remove(id);
        self.deferrals.defer(id, reason, now)
    }

    /// Records that the maintenance of a box has started. `before` is the worker incarnation that
    /// was on it.
    pub fn mark_started(&mut self, id: &str, before: Option<Incarnation>, now: Instant) {
        self.unanswered.remove(id);
        self.deferrals.forget(id);
        self.evacuating.remove(id);
        self.started.insert(id.to_owned());
        self.mark_down(id, before, now);
    }

    /// Ends all evacuations of boxes that were not ordered; returns their number.
    pub(super) fn cancel_pending(&mut self) -> usize {
        let before = self.evacuating.len();
        let (down, unanswered) = (&self.down, &self.unanswered);
        self.evacuating.retain(|id, _| down.contains_key(id) || unanswered.contains(id));
        before - self.evacuating.len()
    }

    /// Whether a box is being evacuated or is down.
    pub fn is_under_way(&self, id: &str) -> bool {
        self.evacuating.contains_key(id) || self.down.contains_key(id)
    }

    /// Boxes whose maintenance has not started.
    pub fn remaining(&self) -> Vec<MachineId> {
        let machines = self.wave.machines.iter();
        machines.filter(|id| !self.started.contains(*id)).cloned().collect()
    }

    /// Number of boxes that are being evacuated or are down.
    pub(super) fn count_under_way(&self) -> usize {
        let both = self.down.keys().filter(|id| self.evacuating.contains_key(*id)).count();
        self.evacuating.len() + self.down.len() - both
    }

    /// Of the empty boxes, those that may be ordered now, at most `most`. Boxes with an unanswered
    /// order of this scheduler come first, then unsettled ones: they count as down already. An
    /// unsettled one need not have been ordered, so it goes down only if all that may be down, with
    /// it, are not too many.
    pub(super) fn select_orders(&self, empty: Vec<MachineId>, most: usize) -> Vec<MachineId> {
        let (again, empty): (Vec<MachineId>, Vec<MachineId>) =
            empty.into_iter().partition(|id| self.unanswered.contains(id));
        let (mut unsettled, mut first): (Vec<MachineId>, Vec<MachineId>) =
            empty.into_iter().partition(|id| self.unsettled.contains(id));
        let may_be_down = self.count_possibly_down();
        if may_be_down > self.wave.max_down {
            unsettled.clear();
        }
        first.truncate(self.wave.max_down.saturating_sub(may_be_down));
        again.into_iter().chain(unsettled).chain(first).take(most).collect()
    }

    /// Number of boxes that are down, or that an earlier scheduler may have ordered.
    fn count_possibly_down(&self) -> usize {
        let ordered = self.held.union(&self.unsettled);
        self.down.len() + ordered.filter(|id| !self.down.contains_key(*id)).count()
    }

    /// Sets which boxes an order of an earlier scheduler may still reach. If there are more than may
    /// be down, it had announced them in advance, and this says little of what it has ordered.
    pub fn set_unsettled(&mut self, unsettled: &HashSet<MachineId>) {
        let of_wave = self.wave.machines.iter().filter(|id| unsettled.contains(*id));
        self.unsettled = of_wave.filter(|id| !self.started.contains(*id)).cloned().collect();
        if self.unsettled.len() > self.wave.max_down {
            self.unsettled.clear();
        }
    }

    /// Sets which boxes an earlier scheduler may just have ordered.
    pub(super) fn set_held(&mut self, held: &HashSet<MachineId>) {
        let of_wave = self.wave.machines.iter().filter(|id| held.contains(*id));
        self.held = of_wave.cloned().collect();
    }

    /// How many boxes must be evacuating or down at a time for the wave to be done in time.
    pub(super) fn required_concurrency(&self, left: usize, now: Instant) -> usize {
        let planned = self.wave.duration.mul_f64(PLANNED_FRACTION);
        let remaining = planned
            .saturating_sub(now.saturating_duration_since(self.first_seen_at))
            .max(MACHINE_CYCLE);
        let needed = left as f64 * MACHINE_CYCLE.as_secs_f64() / remaining.as_secs_f64();
        needed.ceil() as usize
    }

    /// Records that a box goes down, and which worker incarnation was on it.
    pub fn mark_down(&mut self, id: &str, before: Option<Incarnation>, now: Instant) {
        self.down.insert(id.to_owned(), (now, before));
    }

    /// Adds boxes that the platform lists as under maintenance, and removes boxes that are back.
    ///
    /// A box counts as down for at least `min_down_time` and until its order is answered. It is
    /// back once the platform lists it as up and one of these holds: it has another worker id;
    /// another incarnation of its worker has answered; the incarnation from before has answered
    /// after `min_down_time`, which means that an earlier scheduler had the maintenance done and
    /// the repeated order had no effect; or it is in the reserve, where a box is switched off and
    /// gets no worker. `answers` returns the incarnation on a box that last answered, and when.
    pub fn update_down(
        &mut self,
        min_down_time: Duration,
        config: Option<&Config>,
        listed: &MachinesById<'_>,
        answers: impl Fn(&Machine) -> Option<(Incarnation, Instant)>,
        now: Instant,
    ) {
        let is_off = |machine: &Machine| {
            let service = config.and_then(|config| config.service(&machine.pool));
            service.is_some_and(|service| service.is_reserve)
        };
        // These were ordered by an earlier scheduler.
        let of_wave = self.wave.machines.iter().filter_map(|id| listed.get(id.as_str()));
        for machine in of_wave.filter(|machine| machine.status == Status::Maintenance) {
            self.down.entry(machine.id.clone()).or_insert((now, None));
        }
        let unanswered = &self.unanswered;
        self.down.retain(|id, (since, before)| {
            let earliest_end = *since + min_down_time;
            let back = listed.get(id.as_str()).is_none_or(|machine| {
                let id_before = before.as_ref().map(|incarnation| &incarnation.id);
                let has_other_id = machine.worker.is_some() && machine.worker.as_ref() != id_before;
                let has_answered = answers(machine).is_some_and(|(incarnation, at)| {
                    at > earliest_end || Some(&incarnation) != before.as_ref()
                });
                machine.status == Status::Up && (has_other_id || has_answered || is_off(machine))
            });
            unanswered.contains(id) || !back || now < earliest_end
        });
    }
}
