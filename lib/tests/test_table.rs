//! The indexes of workers: they say what a look at every worker would, whatever happens, and they keep
//! the cost of one placement away from the size of the site.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch;
use spokelift_testutils::batch::addr;

const TOKEN: u64 = 7;
/// Time between two rounds of placing that nothing but time asks for.
const TICK: Duration = Duration::from_millis(100);
/// Longest time that a suspect waits where there is room for it, and a little more.
const SUSPECTS_WAIT: Duration = Duration::from_millis(1_300);
const SERVICES: [&str; 3] = ["one", "two", "three"];

fn entry(number: usize, draining: bool) -> Entry {
    Entry {
        service: SERVICES[number % SERVICES.len()].to_owned(),
        address: addr(),
        hall: "hall-1".to_owned(),
        draining,
        capacity: Resources { cpu: 8_000, memory_mb: 8_000, gpu: 0 },
        labels: vec![format!("r1-{}", number % 4)],
        leaves_in_ms: None,
        machine: Some(format!("m{}", number / 2)),
        birth_ms: None,
    }
}

fn accepted(service: &str, step: Step) -> Accepted {
    Accepted { service: service.to_owned(), ..batch::accepted(vec![step]) }
}

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

/// What may happen to a worker or a job.
#[derive(Clone, Debug)]
enum Happening {
    Meet(usize),
    Drain(usize),
    Unlist(usize),
    Resize(usize, u32),
    Overwrite(usize),
    Look(usize),
    Miss(usize),
    Bury(usize),
    Lapse(usize),
    Job { service: usize, tasks: u32, lasts: bool, rack: Option<usize> },
    Cancel(u64),
    Refuse,
    Flush,
    Place,
}

fn happening() -> impl Strategy<Value = Happening> {
    let worker = 0..12_usize;
    prop_oneof![
        3 => worker.clone().prop_map(Happening::Meet),
        1 => worker.clone().prop_map(Happening::Drain),
        1 => worker.clone().prop_map(Happening::Unlist),
        2 => (worker.clone(), 0..12_000_u32).prop_map(|(number, cpu)| Happening::Resize(number, cpu)),
        1 => worker.clone().prop_map(Happening::Overwrite),
        8 => worker.clone().prop_map(Happening::Look),
        2 => worker.clone().prop_map(Happening::Miss),
        1 => worker.clone().prop_map(Happening::Bury),
        1 => worker.prop_map(Happening::Lapse),
        4 => (0..3_usize, 1..6_u32, any::<bool>(), prop::option::of(0..4_usize)).prop_map(
            |(service, tasks, lasts, rack)| Happening::Job { service, tasks, lasts, rack }
        ),
        1 => (1..20_u64).prop_map(Happening::Cancel),
        1 => Just(Happening::Refuse),
        2 => Just(Happening::Flush),
        6 => Just(Happening::Place),
    ]
}

/// A scheduler's state, and what the workers run by what they were told.
struct Bed {
    cell: Cell,
    now: Instant,
    clock: u64,
    jobs: u64,
    running: Vec<(String, TaskName, Run)>,
    /// Some tasks end failed.
    some_fail: bool,
}

impl Bed {
    fn new() -> Bed {
        let cell = Cell::new(TOKEN);
        Bed { cell, now: clock::now(), clock: 1_000, jobs: 0, running: Vec::new(), some_fail: true }
    }

    fn meet(&mut self, number: usize, draining: bool) {
        let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
        self.cell.discover(peer, entry(number, draining), self.now);
    }

    /// A worker answers a look; the oldest half of what it runs has ended.
    fn look(&mut self, number: usize) {
        let id = format!("w{number}");
        let sent = self.now;
        self.tick();
        let processed =
            self.cell.workers.get(&id.as_str().into()).map_or(0, |worker| worker.processed_end);
        let (mine, others): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(worker, ..)| *worker == id);
        self.running = others;
        let (over, on) = mine.split_at(mine.len() / 2);
        let some_fail = self.some_fail;
        let ended = (processed + 1..).zip(over).map(|(number, (_, task, run))| End {
            number,
            task: *task,
            run: *run,
            outcome: if some_fail && number % 5 == 0 { Outcome::Failed } else { Outcome::Done },
            checkpoint: String::new(),
        });
        let ended = ended.collect();
        let running = on.iter().map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let seen =
            PollResponse { clock: self.clock, running: running.collect(), ended, birth_ms: None };
        self.running.extend_from_slice(on);
        self.cell.on_poll(&id.as_str().into(), sent, self.now, seen);
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(20);
        self.clock += 20;
    }

    /// Places what waits; the workers take all orders, but for a start if `refuse`.
    fn place(&mut self, refuse: bool) {
        let before = self.runs();
        self.cell.place_ready(self.now, Duration::from_secs(1));
        for worker in self.cell.workers.values() {
            let used: u32 = worker.allocations.values().map(|slot| slot.resources.cpu).sum();
            let is_same =
                before.get(&worker.peer.incarnation.to_string()) == Some(&worker.allocations.len());
            assert!(
                is_same || used <= worker.entry.capacity.cpu,
                "{} is over its room",
                worker.peer.incarnation
            );
        }
        for order in std::mem::take(&mut self.cell.outbox) {
            match order {
                Order::Start { peer, task, run, .. } if refuse => {
                    self.cell.on_refused(&peer.incarnation, task, run, None, self.now);
                }
                Order::Start { peer, task, run, .. } => {
                    self.cell.on_started(&peer.incarnation, task, run, self.now);
                    self.running.push((peer.incarnation.to_string(), task, run));
                }
                Order::Stop { peer, task, run } => {
                    self.cell.on_stopped(&peer.incarnation, task, run, self.now);
                    self.running
                        .retain(|known| *known != (peer.incarnation.to_string(), task, run));
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::Watch { .. } => {}
            }
        }
    }

    /// How many runs may be on each worker.
    fn runs(&self) -> HashMap<String, usize> {
        let workers = self.cell.workers.values();
        workers
            .map(|worker| (worker.peer.incarnation.to_string(), worker.allocations.len()))
            .collect()
    }

    fn happen(&mut self, what: Happening) {
        self.tick();
        match what {
            Happening::Meet(number) => self.meet(number, false),
            Happening::Drain(number) => self.meet(number, true),
            Happening::Unlist(number) => self.cell.mark_unlisted(&format!("w{number}"), None),
            Happening::Resize(number, cpu) => {
                let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
                let room = Resources { cpu, ..entry(number, false).capacity };
                self.cell.discover(
                    peer,
                    Entry { capacity: room, ..entry(number, false) },
                    self.now,
                );
            }
            Happening::Overwrite(number) => {
                self.cell.record_unusable(&format!("w{number}"), "misshapen");
            }
            Happening::Look(number) => self.look(number),
            Happening::Miss(number) => self.cell.on_failed_poll(&format!("w{number}").into()),
            Happening::Bury(number) => {
                let id = format!("w{number}");
                self.running.retain(|(worker, ..)| *worker != id);
                self.cell.mark_ended(&id.as_str().into(), "a test");
            }
            Happening::Lapse(number) => {
                let id = format!("w{number}");
                self.running.retain(|(worker, ..)| *worker != id);
                self.cell.expire_runs(&id.as_str().into());
            }
            Happening::Job { service, tasks, lasts, rack } => {
                let data_rack = rack.map(|rack| format!("r1-{rack}"));
                let step = Step { long_running: lasts, data_rack, ..step(tasks) };
                self.jobs += 1;
                self.cell.admit(self.jobs, accepted(SERVICES[service], step), None);
            }
            Happening::Cancel(job) => drop(self.cell.cancel(job)),
            Happening::Refuse => self.place(true),
            Happening::Flush => {
                let flush = self.cell.take_flush();
                self.cell.on_flushed(&flush);
            }
            Happening::Place => self.place(false),
        }
    }
}

proptest! {
    #[test]
    fn indexes_say_what_a_full_count_says(
        happenings in prop::collection::vec(happening(), 1..120),
    ) {
        let mut bed = Bed::new();
        for what in happenings {
            let told = format!("{what:?}");
            bed.happen(what);
            prop_assert_eq!(bed.cell.workers.faults(), Vec::<String>::new(), "after {}", told);
        }
    }
}

/// What waits although an open worker of its service has room for it. Under whose start a worker crashed
/// waits for more than room; `suspects` says whether that counts.
fn left_waiting(bed: &Bed, suspects: bool) -> Vec<String> {
    let mut left = Vec::new();
    for rank in bed.cell.ready.iter().filter(|rank| suspects || !bed.cell.has_waiting_suspect(rank))
    {
        let entry = &bed.cell.jobs[&rank.job];
        let step = &entry.accepted.job.steps[usize::from(rank.step)];
        let service = &entry.accepted.service;
        let fits = |worker: &&spokelift_lib::batch::worker::Worker| {
            // The end of a quarantine is seen at the next tick.
            let over = worker.quarantine.is_none_or(|(_, until)| until + TICK <= bed.now);
            worker.is_schedulable(bed.now)
                && (over || suspects)
                && worker.free.cpu >= step.cpu
                && worker.free.memory_mb >= step.memory_mb
        };
        left.extend(bed.cell.workers.of_service(service).find(fits).map(|worker| {
            format!("{rank:?} fits on {} with {:?}", worker.peer.incarnation, worker.free)
        }));
    }
    left
}

proptest! {
    /// A round of placing is made only when something may be placed that could not be before; this says
    /// that nothing is passed over for that.
    #[test]
    fn nothing_that_could_run_waits_although_rounds_are_left_out(
        happenings in prop::collection::vec(happening(), 1..120),
    ) {
        // Rests end with time alone, which is looked at apart.
        let mut bed = Bed { some_fail: false, ..Bed::new() };
        let mut ticked = bed.now;
        for what in happenings {
            let told = format!("{what:?}");
            if !matches!(what, Happening::Place | Happening::Refuse) {
                bed.happen(what);
            }
            if bed.now >= ticked + TICK {
                ticked = bed.now;
                bed.cell.request_placement();
            }
            if bed.cell.needs_placement() {
                bed.place(false);
            }
            prop_assert_eq!(left_waiting(&bed, false), Vec::<String>::new(), "after {}", told);
        }
        // Suspects wait for the store, and for a place by themselves, but not without end.
        bed.happen(Happening::Flush);
        bed.now += SUSPECTS_WAIT;
        bed.cell.request_placement();
        bed.place(false);
        prop_assert_eq!(left_waiting(&bed, true), Vec::<String>::new(), "in the end");
    }
}

/// Workers weighed for each of 200 tasks that are placed one after the other, at a site of so many
/// workers of the service and of another one.
fn weighed_for_each(own: usize, other: usize, rack: Option<&str>) -> f64 {
    const TASKS: u32 = 200;
    let mut bed = Bed::new();
    for number in 0..own + other {
        let service = if number < own { "one" } else { "two" };
        let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
        let machine = Some(format!("m{number}"));
        let entry = Entry { service: service.to_owned(), machine, ..entry(number, false) };
        bed.cell.discover(peer, entry, bed.now);
        bed.look(number);
    }
    for _ in 0..TASKS {
        bed.jobs += 1;
        let step = Step { data_rack: rack.map(str::to_owned), ..step(1) };
        bed.cell.admit(bed.jobs, accepted("one", step), None);
        bed.place(false);
        bed.tick();
    }
    assert_eq!(bed.running.len(), TASKS as usize);
    bed.cell.examined_workers as f64 / f64::from(TASKS)
}

/// Before there were indexes, each task weighed every worker of the site: 1,100 here.
#[test]
fn a_placement_does_not_weigh_the_whole_site() {
    for rack in [None, Some("r1-1")] {
        let small = weighed_for_each(50, 50, rack);
        let large = weighed_for_each(300, 800, rack);
        assert!(small <= 4.0, "{small} at 50 workers, rack {rack:?}");
        assert!(large <= small + 1.0, "{large} at 300 workers of 1,100, {small} at 50, {rack:?}");
    }
}
