//! Moves of boxes between services. Guards against a rise that waits for boxes which were just
//! taken out of service for something else: on their way to the reserve, or cordoned for an order
//! that cannot be given.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::box_state::Purpose;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::fleet::uncordon;
use spokelift_lib::batch::pool::Pools;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::transport::clock;
use spokelift_platform::config::Config;
use spokelift_platform::config::Service;
use spokelift_platform::job::Step;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

/// CPU of a box in thousandths of a core.
const CAPACITY: u32 = 8_000;
const BOXES: usize = 12;
/// How many of all boxes move to services at once, in percent.
const MAX_MOVING_PERCENT: usize = 60;

/// Boxes of service `work` on which nothing runs, beside a service `other` without boxes.
struct Site {
    cell: Cell,
    config: Config,
    list: Vec<Machine>,
    pools: Pools,
    now: Instant,
}

impl Site {
    fn new() -> Site {
        let (mut cell, now) = (Cell::new(10), clock::now());
        let ids: Vec<String> = (0..BOXES).map(|number| number.to_string()).collect();
        for id in &ids {
            let peer = Peer { incarnation: id.as_str().into(), addr: unused_addr() };
            cell.discover(peer, entry(&format!("m{id}"), CAPACITY), now);
            let answer =
                PollResponse { clock: 1, running: Vec::new(), ended: Vec::new(), birth_ms: None };
            cell.on_poll(&id.as_str().into(), now, now, answer);
        }
        let list = ids.iter().map(|id| {
            let mut machine = batch::machine(&format!("m{id}"), Status::Up, Some(id));
            machine.capacity.cpu = CAPACITY;
            machine
        });
        let service = |name: &str, is_reserve| Service {
            name: name.to_owned(),
            enforces_capacity: true,
            is_reserve,
        };
        let services =
            vec![service("work", false), service("other", false), service("reserve", true)];
        let config = Config { services, ..Config::default() };
        Site { cell, config, list: list.collect(), pools: Pools::default(), now }
    }

    /// One round; returns the boxes that may be ordered.
    fn round(&mut self) -> Vec<String> {
        self.pools.update(&self.cell, &self.list, self.now);
        let taken = HashSet::new();
        self.pools.plan(&mut self.cell, Some(&self.config), &self.list, &taken, self.now)
    }

    /// Rounds until idle boxes are about to be switched off; returns their number.
    fn idle(&mut self) -> usize {
        self.round();
        self.now += Duration::from_secs(2);
        self.round();
        self.count(&Purpose::SwitchOff)
    }

    fn submit(&mut self, service: &str, tasks: u32) {
        let step = Step {
            count: tasks,
            cpu: CAPACITY,
            memory_mb: 1,
            estimate_ms: 2_000,
            ..Step::default()
        };
        let job = Accepted { service: service.to_owned(), ..accepted(vec![step]) };
        self.cell.admit(1, job, None);
    }

    fn count(&self, purpose: &Purpose) -> usize {
        let departures = self.list.iter().filter_map(|machine| self.pools.departure(&machine.id));
        departures.filter(|departure| departure.purpose == *purpose).count()
    }

    fn cordoned(&self) -> usize {
        self.cell.workers.values().filter(|worker| worker.cordoned).count()
    }
}

#[test]
fn a_box_about_to_be_switched_off_goes_directly_to_a_service_that_rises() {
    let mut site = Site::new();
    let leaving = site.idle();
    assert!(leaving > 0);
    site.submit("other", 4 * BOXES as u32);
    let ready = site.round();
    let moved = site.count(&Purpose::Move("other".to_owned()));
    assert_eq!(moved, BOXES * MAX_MOVING_PERCENT / 100);
    // All of them were about to be switched off, and are empty.
    assert_eq!(site.count(&Purpose::SwitchOff), leaving - moved);
    assert_eq!(ready.len(), leaving);
}

#[test]
fn a_box_about_to_be_switched_off_stays_as_its_own_service_rises() {
    let mut site = Site::new();
    assert!(site.idle() > 0);
    site.submit("work", 4 * BOXES as u32);
    assert_eq!(site.round(), Vec::<String>::new());
    assert_eq!(site.cordoned(), 0);
}

/// While calls about boxes are not answered, no order can be given; a cordon ends with what it was
/// for.
#[test]
fn boxes_that_cannot_be_ordered_return_to_service() {
    let mut site = Site::new();
    let leaving = site.idle();
    assert_eq!(site.cordoned(), leaving);
    assert_eq!(site.pools.cancel_pending(), leaving);
    uncordon(&mut site.cell, &site.pools.busy_machines(), &site.list);
    assert_eq!(site.cordoned(), 0);
}
