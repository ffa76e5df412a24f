//! How far one wave is: which machines are being emptied, are down, and are still to come.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::config::Config;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::WorkerId;

/// Machines as the platform lists them, by id.
pub(super) type Listed<'a> = HashMap<&'a str, &'a Machine>;

/// Share of a wave's time in which it is planned to be done; the rest is for what goes wrong.
const AIM_SHARE: f64 = 0.6;
/// Time for which one machine is kept from work: about 3 s until it is empty, 2 s of upkeep and
/// 1 s until its new worker is found.
const CYCLE: Duration = Duration::from_millis(6_000);

/// What is known of one wave.
pub(super) struct Course {
    pub(super) wave: Wave,
    pub(super) seen_at: Instant,
    /// Machines whose upkeep has begun.
    pub(super) begun: HashSet<MachineId>,
    /// Machines that are down for it, since when, and the worker that lived there before.
    pub(super) down: HashMap<MachineId, (Instant, Option<WorkerId>)>,
    /// Machines that are being emptied, since when.
    pub(super) emptying: HashMap<MachineId, Instant>,
    /// What the operator has been told: none, running, succeeded.
    pub(super) told: Option<bool>,
}

impl Course {
    pub(super) fn new(wave: Wave, begun: HashSet<MachineId>) -> Course {
        Course {
            wave,
            seen_at: Instant::now(),
            begun,
            down: HashMap::new(),
            emptying: HashMap::new(),
            told: None,
        }
    }

    /// Machines whose upkeep has not begun.
    pub(super) fn left(&self) -> Vec<MachineId> {
        let machines = self.wave.machines.iter();
        machines.filter(|id| !self.begun.contains(*id)).cloned().collect()
    }

    /// How many machines are being emptied or are down.
    pub(super) fn under_way(&self) -> usize {
        self.emptying.len() + self.down.len()
    }

    /// How many more machines may go down now.
    pub(super) fn may_go_down(&self) -> usize {
        self.wave.max_down.saturating_sub(self.down.len())
    }

    /// How many machines must be empty or down at a time for the wave to be done in time.
    pub(super) fn at_once(&self, left: usize) -> usize {
        let aim = self.wave.duration.mul_f64(AIM_SHARE);
        let remaining = aim.saturating_sub(self.seen_at.elapsed()).max(CYCLE);
        let needed = left as f64 * CYCLE.as_secs_f64() / remaining.as_secs_f64();
        needed.ceil() as usize
    }

    /// Notes that a machine goes down, and which worker lived there.
    pub(super) fn goes_down(&mut self, id: &str, before: Option<WorkerId>) {
        self.down.insert(id.to_owned(), (Instant::now(), before));
    }

    /// Lets go of machines that are back. A machine counts as down for `least` at the least, and
    /// until the platform lists it as up with another worker. One of the reserve is switched off
    /// and gets no other worker.
    pub(super) fn settle_down(
        &mut self,
        least: Duration,
        config: Option<&Config>,
        listed: &Listed<'_>,
    ) {
        let is_off = |machine: &Machine| {
            let service = config.and_then(|config| config.service(&machine.pool));
            service.is_some_and(|service| service.is_reserve)
        };
        self.down.retain(|id, (since, before)| {
            let back = listed.get(id.as_str()).is_none_or(|machine| {
                let lives_again = machine.worker.is_some() && machine.worker != *before;
                machine.status == Status::Up && (lives_again || is_off(machine))
            });
            !(back && since.elapsed() >= least)
        });
    }
}
