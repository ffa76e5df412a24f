//! The indexes of workers: they match a full count after any sequence of events, and keep the cost
//! of one placement independent of the number of workers.

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
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 7;
/// Time between two rounds of placement that only the passing of time requires.
const TICK: Duration = Duration::from_millis(100);
/// Longest time that a suspect waits despite free resources, and a little more.
const SUSPECTS_WAIT: Duration = Duration::from_millis(1_300);
const SERVICES: [&str; 3] = ["one", "two", "three"];

fn entry(number: usize, draining: bool) -> Entry {
    Entry {
        service: SERVICES[number % SERVICES.len()].to_owned(),
        address: unused_addr(),
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

/// An event at a worker or a job.
#[derive(Clone, Debug)]
enum Event {
    Discover(usize),
    Drain(usize),
    Unlist(usize),
    Resize(usize, u32),
    Overwrite(usize),
    Poll(usize),
    FailPoll(usize),
    End(usize),
    Expire(usize),
    Job { service: usize, tasks: u32, is_long_running: bool, rack: Option<usize> },
    Cancel(u64),
    Refuse,
    Flush,
    Place,
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0..12_usize;
    prop_oneof![
        3 => worker.clone().prop_map(Event::Discover),
        1 => worker.clone().prop_map(Event::Drain),
        1 => worker.clone().prop_map(Event::Unlist),
        2 => (worker.clone(), 0..12_000_u32).prop_map(|(number, cpu)| Event::Resize(number, cpu)),
        1 => worker.clone().prop_map(Event::Overwrite),
        8 => worker.clone().prop_map(Event::Poll),
        2 => worker.clone().prop_map(Event::FailPoll),
        1 => worker.clone().prop_map(Event::End),
        1 => worker.prop_map(Event::Expire),
        4 => (0..3_usize, 1..6_u32, any::<bool>(), prop::option::of(0..4_usize)).prop_map(
            |(service, tasks, is_long_running, rack)| Event::Job { service, tasks, is_long_running, rack }
        ),
        1 => (1..20_u64).prop_map(Event::Cancel),
        1 => Just(Event::Refuse),
        2 => Just(Event::Flush),
        6 => Just(Event::Place),
    ]
}

/// A scheduler's state, and what the workers run according to their orders.
struct Fixture {
    cell: Cell,
    now: Instant,
    clock: u64,
    jobs: u64,
    running: Vec<(String, TaskName, Run)>,
    /// Some tasks end failed.
    some_fail: bool,
}

impl Fixture {
    fn new() -> Fixture {
        let cell = Cell::new(TOKEN);
        Fixture {
            cell,
            now: clock::now(),
            clock: 1_000,
            jobs: 0,
            running: Vec::new(),
            some_fail: true,
        }
    }

    fn discover(&mut self, number: usize, draining: bool) {
        let peer = Peer { incarnation: format!("w{number}").into(), addr: unused_addr() };
        self.cell.discover(peer, entry(number, draining), self.now);
    }

    /// A worker answers a poll; the oldest half of its runs has ended.
    fn poll(&mut self, number: usize) {
        let id = format!("w{number}");
        let sent = self.now;
        self.tick();
        let processed =
            self.cell.workers.get(&id.as_str().into()).map_or(0, |worker| worker.processed_end);
        let (own, others): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(worker, ..)| *worker == id);
        self.running = others;
        let (finished, unfinished) = own.split_at(own.len() / 2);
        let some_fail = self.some_fail;
        let ended = (processed + 1..).zip(finished).map(|(number, (_, task, run))| End {
            number,
            task: *task,
            run: *run,
            outcome: if some_fail && number % 5 == 0 { Outcome::Failed } else { Outcome::Done },
            checkpoint: String::new(),
        });
        let ended = ended.collect();
        let running = unfinished.iter().map(|(_, task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let response =
            PollResponse { clock: self.clock, running: running.collect(), ended, birth_ms: None };
        self.running.extend_from_slice(unfinished);
        self.cell.on_poll(&id.as_str().into(), sent, self.now, response);
    }

    fn tick(&mut self) {
        self.now += Duration::from_millis(20);
        self.clock += 20;
    }

    /// Places waiting tasks; the workers accept all orders, except starts if `refuse`.
    fn place(&mut self, refuse: bool) {
        let before = self.runs();
        self.cell.place_ready(self.now, Duration::from_secs(1));
        for worker in self.cell.workers.values() {
            let used: u32 =
                worker.allocations.values().map(|allocation| allocation.resources.cpu).sum();
            let is_same =
                before.get(&worker.peer.incarnation.to_string()) == Some(&worker.allocations.len());
            assert!(
                is_same || used <= worker.entry.capacity.cpu,
                "{} is over its capacity",
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
                        .retain(|running| *running != (peer.incarnation.to_string(), task, run));
                }
                Order::Grant { .. } | Order::Pace { .. } | Order::SetPollRate { .. } => {}
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

    fn apply(&mut self, event: Event) {
        self.tick();
        match event {
            Event::Discover(number) => self.discover(number, false),
            Event::Drain(number) => self.discover(number, true),
            Event::Unlist(number) => self.cell.mark_unlisted(&format!("w{number}"), None),
            Event::Resize(number, cpu) => {
                let peer = Peer { incarnation: format!("w{number}").into(), addr: unused_addr() };
                let capacity = Resources { cpu, ..entry(number, false).capacity };
                self.cell.discover(peer, Entry { capacity, ..entry(number, false) }, self.now);
            }
            Event::Overwrite(number) => {
                self.cell.record_invalid_entry(&format!("w{number}"), "misshapen");
            }
            Event::Poll(number) => self.poll(number),
            Event::FailPoll(number) => self.cell.on_failed_poll(&format!("w{number}").into()),
            Event::End(number) => {
                let id = format!("w{number}");
                self.running.retain(|(worker, ..)| *worker != id);
                self.cell.mark_ended(&id.as_str().into(), "a test");
            }
            Event::Expire(number) => {
                let id = format!("w{number}");
                self.running.retain(|(worker, ..)| *worker != id);
                self.cell.expire_runs(&id.as_str().into());
            }
            Event::Job { service, tasks, is_long_running, rack } => {
                let data_rack = rack.map(|rack| format!("r1-{rack}"));
                let step = Step { long_running: is_long_running, data_rack, ..step(tasks) };
                self.jobs += 1;
                self.cell.admit(self.jobs, accepted(SERVICES[service], step), None);
            }
            Event::Cancel(job) => drop(self.cell.cancel(job)),
            Event::Refuse => self.place(true),
            Event::Flush => {
                let flush = self.cell.take_flush();
                self.cell.on_flushed(&flush);
            }
            Event::Place => self.place(false),
        }
    }
}

proptest! {
    #[test]
    fn indexes_match_a_full_count(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut fixture = Fixture::new();
        for event in events {
            let after = format!("{event:?}");
            fixture.apply(event);
            prop_assert_eq!(fixture.cell.workers.faults(), Vec::<String>::new(), "after {}", after);
        }
    }
}

/// Steps that wait although an eligible worker of their service has enough free resources. Suspects
/// wait for more than resources; `suspects` says whether they count.
fn waiting_steps(fixture: &Fixture, suspects: bool) -> Vec<String> {
    let mut steps = Vec::new();
    for rank in
        fixture.cell.ready.iter().filter(|rank| suspects || !fixture.cell.has_waiting_suspect(rank))
    {
        let entry = &fixture.cell.jobs[&rank.job];
        let step = &entry.accepted.job.steps[usize::from(rank.step)];
        let service = &entry.accepted.service;
        let fits = |worker: &&spokelift_lib::batch::worker::Worker| {
            // The end of a quarantine takes effect at the next tick.
            let has_ended = worker.quarantine.is_none_or(|(_, until)| until + TICK <= fixture.now);
            worker.is_schedulable(fixture.now)
                && (has_ended || suspects)
                && worker.free.cpu >= step.cpu
                && worker.free.memory_mb >= step.memory_mb
        };
        steps.extend(fixture.cell.workers.of_service(service).find(fits).map(|worker| {
            format!("{rank:?} fits on {} with {:?}", worker.peer.incarnation, worker.free)
        }));
    }
    steps
}

proptest! {
    /// A round of placement runs only if something may be placeable that was not before. This
    /// checks that no task is missed because of that.
    #[test]
    fn no_placeable_task_waits_although_rounds_are_skipped(
        events in prop::collection::vec(event(), 1..120),
    ) {
        // Backoffs end with time alone, which is tested separately.
        let mut fixture = Fixture { some_fail: false, ..Fixture::new() };
        let mut ticked = fixture.now;
        for event in events {
            let after = format!("{event:?}");
            if !matches!(event, Event::Place | Event::Refuse) {
                fixture.apply(event);
            }
            if fixture.now >= ticked + TICK {
                ticked = fixture.now;
                fixture.cell.request_placement();
            }
            if fixture.cell.needs_placement() {
                fixture.place(false);
            }
            prop_assert_eq!(waiting_steps(&fixture, false), Vec::<String>::new(), "after {}", after);
        }
        // Suspects wait for the store and for a worker where they are isolated, but not
        // indefinitely.
        fixture.apply(Event::Flush);
        fixture.now += SUSPECTS_WAIT;
        fixture.cell.request_placement();
        fixture.place(false);
        prop_assert_eq!(waiting_steps(&fixture, true), Vec::<String>::new(), "in the end");
    }
}

/// Workers examined for each of 200 tasks that are placed one after the other, with `own` workers
/// of their service and `other` workers of another one.
fn examined_per_task(own: usize, other: usize, rack: Option<&str>) -> f64 {
    const TASKS: u32 = 200;
    let mut fixture = Fixture::new();
    for number in 0..own + other {
        let service = if number < own { "one" } else { "two" };
        let peer = Peer { incarnation: format!("w{number}").into(), addr: unused_addr() };
        let machine = Some(format!("m{number}"));
        let entry = Entry { service: service.to_owned(), machine, ..entry(number, false) };
        fixture.cell.discover(peer, entry, fixture.now);
        fixture.poll(number);
    }
    for _ in 0..TASKS {
        fixture.jobs += 1;
        let step = Step { data_rack: rack.map(str::to_owned), ..step(1) };
        fixture.cell.admit(fixture.jobs, accepted("one", step), None);
        fixture.place(false);
        fixture.tick();
    }
    assert_eq!(fixture.running.len(), TASKS as usize);
    fixture.cell.examined_workers as f64 / f64::from(TASKS)
}

/// Without indexes each task would examine every worker: 1,100 here.
#[test]
fn a_placement_does_not_examine_all_workers() {
    for rack in [None, Some("r1-1")] {
        let small = examined_per_task(50, 50, rack);
        let large = examined_per_task(300, 800, rack);
        assert!(small <= 4.0, "{small} at 50 workers, rack {rack:?}");
        assert!(large <= small + 1.0, "{large} at 300 workers of 1,100, {small} at 50, {rack:?}");
    }
}
