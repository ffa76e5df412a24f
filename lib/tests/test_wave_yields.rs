//! Maintenance yields to callers. Guards against a wave that takes switched-off boxes while a
//! service waits for them, and against one that yields for so long that it is not done in time.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::maintenance::plan::plan_round;
use spokelift_lib::batch::maintenance::progress::MachinesById;
use spokelift_lib::batch::maintenance::progress::WaveProgress;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::wave::Wave;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

/// CPU of a box in thousandths of a core.
const CAPACITY: u32 = 8_000;
const SWITCHED_OFF: usize = 20;
const MAX_DOWN: usize = 10;
const DURATION: Duration = Duration::from_secs(60);
const ROUND: Duration = Duration::from_millis(150);
/// How long a box is down for its maintenance.
const MAINTENANCE_TIME: Duration = Duration::from_secs(2);

/// A service with one box, and a wave over boxes that are switched off.
struct Site {
    cell: Cell,
    list: Vec<Machine>,
    progress: WaveProgress,
    now: Instant,
}

impl Site {
    fn new() -> Site {
        let (mut cell, now) = (Cell::new(10), clock::now());
        cell.discover(
            Peer { incarnation: "w".into(), addr: unused_addr() },
            entry("m", CAPACITY),
            now,
        );
        let answer =
            PollResponse { clock: 1, running: Vec::new(), ended: Vec::new(), birth_ms: None };
        cell.on_poll(&"w".into(), now, now, answer);
        let off = (0..SWITCHED_OFF).map(|number| {
            let mut machine = batch::machine(&format!("off-{number}"), Status::Up, None);
            machine.pool = "reserve".to_owned();
            machine.capacity.cpu = CAPACITY;
            machine
        });
        let list: Vec<Machine> = off.collect();
        let machines = list.iter().map(|machine| machine.id.clone()).collect();
        let wave = Wave { number: 7, machines, duration: DURATION, max_down: MAX_DOWN };
        let progress = WaveProgress::new(wave, HashSet::new(), Duration::ZERO, now);
        Site { cell, list, progress, now }
    }

    /// A service asks for far more than it has.
    fn rise(&mut self) {
        let step =
            Step { count: 200, cpu: 4_000, memory_mb: 1, estimate_ms: 1_000, ..Step::default() };
        self.cell.admit(1, accepted(vec![step]), None);
    }

    /// Its tasks wait no more.
    fn fall(&mut self) {
        self.cell.ready.clear();
        self.cell.demand = Default::default();
    }

    fn plan(&mut self) -> Vec<String> {
        let listed: MachinesById<'_> =
            self.list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        let taken = HashSet::new();
        plan_round(&mut self.cell, &mut self.progress, &listed, &taken, 100, self.now)
    }

    fn under_way(&self) -> usize {
        self.list.iter().filter(|machine| self.progress.is_under_way(&machine.id)).count()
    }
}

#[test]
fn a_wave_takes_switched_off_boxes_while_no_service_needs_them() {
    let mut site = Site::new();
    assert_eq!(site.plan().len(), MAX_DOWN);
}

#[test]
fn a_wave_takes_only_what_its_time_requires_while_a_service_is_short() {
    let mut site = Site::new();
    site.rise();
    let ordered = site.plan().len();
    assert!((1..=MAX_DOWN / 2).contains(&ordered), "{ordered} of {SWITCHED_OFF} in 60 s");
    // It catches up as the rise ends.
    site.fall();
    assert_eq!(site.plan().len(), MAX_DOWN);
}

#[test]
fn a_wave_returns_boxes_that_were_not_ordered_as_a_service_becomes_short() {
    let mut site = Site::new();
    site.plan();
    assert!(site.under_way() >= MAX_DOWN);
    site.rise();
    site.plan();
    assert!(site.under_way() <= MAX_DOWN / 2, "{} under way", site.under_way());
}

#[test]
fn a_wave_is_done_in_time_though_a_service_is_short_throughout() {
    let mut site = Site::new();
    site.rise();
    let (end, mut down) = (site.now + DURATION, HashMap::<String, Instant>::new());
    while site.now < end && !site.progress.remaining().is_empty() {
        for id in site.plan() {
            site.progress.mark_started(&id, None, site.now);
            down.insert(id, site.now + MAINTENANCE_TIME);
        }
        assert!(down.len() <= MAX_DOWN);
        site.now += ROUND;
        let back: Vec<String> =
            down.extract_if(|_, until| *until <= site.now).map(|(id, _)| id).collect();
        for machine in site.list.iter_mut().filter(|machine| back.contains(&machine.id)) {
            machine.worker = Some(format!("new-{}", machine.id));
        }
        let listed: MachinesById<'_> =
            site.list.iter().map(|machine| (machine.id.as_str(), machine)).collect();
        site.progress.update_down(MAINTENANCE_TIME, None, &listed, |_| None, site.now);
    }
    assert_eq!(site.progress.remaining(), Vec::<String>::new());
}
