//! Evacuated data halls: no task starts on their workers, in whichever way it would be started.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::maintenance;
use spokelift_lib::batch::maintenance::reservations::Reservations;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::view;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::unused_addr;

const JOB: u64 = 1;
const TASK: TaskName = TaskName { job: JOB, repetition: 0, step: 0, index: 0 };

/// A scheduler, and how far its workers' clocks have come.
struct Fixture {
    cell: Cell,
    now: Instant,
    worker_clock: u64,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture { cell: Cell::new(10), now: clock::now(), worker_clock: 1_000 }
    }

    /// Adds a worker of four cores in a hall; it has answered a poll.
    fn add_worker(&mut self, id: &str, hall: &str) {
        self.discover(id, hall);
        self.poll(id, &[]);
    }

    fn discover(&mut self, id: &str, hall: &str) {
        let entry = Entry { hall: hall.to_owned(), ..batch::entry(&format!("m-{id}"), 4_000) };
        let peer = Peer { incarnation: id.into(), addr: unused_addr() };
        self.cell.discover(peer, entry, self.now);
    }

    fn poll(&mut self, id: &str, running: &[(TaskName, Run)]) {
        self.worker_clock += 10;
        let running = running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let response = PollResponse {
            clock: self.worker_clock,
            running: running.collect(),
            ended: Vec::new(),
            birth_ms: None,
        };
        self.cell.on_poll(&id.into(), self.now, self.now, response);
    }

    fn evacuate(&mut self, halls: &[&str]) {
        let halls = halls.iter().map(|hall| (*hall).to_owned()).collect();
        self.cell.set_evacuated_halls(Arc::new(halls));
    }

    /// Places the waiting tasks; returns worker, task and run of each start.
    fn place(&mut self) -> Vec<(String, TaskName, Run)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let starts =
            std::mem::take(&mut self.cell.outbox).into_iter().filter_map(|order| match order {
                Order::Start { peer, task, run, .. } => {
                    Some((peer.incarnation.to_string(), task, run))
                }
                _ => None,
            });
        starts.collect()
    }

    /// The workers on which tasks are started.
    fn started_on(&mut self) -> Vec<String> {
        self.place().into_iter().map(|(worker, _, _)| worker).collect()
    }
}

fn step() -> Step {
    Step { count: 1, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn long_running() -> Step {
    Step { long_running: true, max_unavailable: Some(1), ..step() }
}

/// Guards against a way to start a task that does not look at the hall.
#[test]
fn nothing_of_any_kind_starts_in_an_evacuated_hall() {
    let on_rack = Step { data_rack: Some("r1-1".to_owned()), ..step() };
    let kinds = [
        ("batch", accepted(vec![step()])),
        ("long-running", accepted(vec![long_running()])),
        ("gang", accepted(vec![Step { count: 2, gang: true, ..step() }])),
        ("gang on one rack", {
            accepted(vec![Step { count: 2, gang: true, same_rack: true, ..step() }])
        }),
        ("best-effort", accepted(vec![Step { best_effort: true, ..step() }])),
        ("near its data", accepted(vec![on_rack])),
        ("speculative", accepted(vec![Step { speculative: true, ..step() }])),
        ("checkpointing", accepted(vec![Step { checkpointing: true, ..step() }])),
    ];
    for (kind, job) in kinds {
        let mut fixture = Fixture::new();
        fixture.add_worker("w0", "hall-1");
        fixture.evacuate(&["hall-1"]);
        fixture.cell.admit(JOB, job, None);
        assert_eq!(fixture.started_on(), Vec::<String>::new(), "{kind}");
        fixture.evacuate(&[]);
        assert!(!fixture.started_on().is_empty(), "{kind}: the hall was taken back");
    }
}

#[test]
fn no_later_repetition_starts_in_an_evacuated_hall() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    let mut job: Accepted = accepted(vec![step()]);
    (job.job.repetitions, job.job.interval_ms) = (2, 1_000);
    job.job.first_run_ms = 10_000;
    fixture.cell.admit(JOB, job, None);
    fixture.evacuate(&["hall-1"]);
    fixture.cell.open_due_repetitions(Duration::from_secs(30));
    assert_eq!(fixture.started_on(), Vec::<String>::new());
    fixture.evacuate(&[]);
    assert!(!fixture.started_on().is_empty());
}

#[test]
fn a_start_without_an_answer_is_repeated_in_another_hall() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.cell.admit(JOB, accepted(vec![step()]), None);
    let (worker, task, run) = fixture.place().remove(0);
    fixture.add_worker("w1", "hall-2");
    fixture.evacuate(&["hall-1"]);
    fixture.cell.on_unanswered(&worker.as_str().into(), task, run, fixture.now);
    fixture.cell.on_stopped(&worker.as_str().into(), task, run, fixture.now);
    fixture.now += Duration::from_secs(1);
    fixture.poll("w0", &[]);
    assert_eq!(fixture.started_on(), ["w1"]);
}

#[test]
fn a_worker_that_comes_up_in_an_evacuated_hall_gets_nothing() {
    let mut fixture = Fixture::new();
    fixture.evacuate(&["hall-1"]);
    fixture.add_worker("w0", "hall-1");
    fixture.cell.admit(JOB, accepted(vec![step()]), None);
    assert_eq!(fixture.started_on(), Vec::<String>::new());
    // Its entry then names another hall.
    fixture.discover("w0", "hall-2");
    assert_eq!(fixture.started_on(), ["w0"]);
}

/// Guards against stopping batch tasks in an evacuated hall for a task that cannot start there.
#[test]
fn nothing_is_preempted_in_an_evacuated_hall() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.cell.admit(JOB, accepted(vec![Step { cpu: 4_000, ..step() }]), None);
    let (worker, task, run) = fixture.place().remove(0);
    fixture.cell.on_started(&worker.as_str().into(), task, run, fixture.now);
    fixture.poll("w0", &[(task, run)]);
    fixture.evacuate(&["hall-1"]);
    fixture.cell.admit(2, accepted(vec![long_running()]), None);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    assert!(fixture.cell.outbox.is_empty());
    fixture.evacuate(&[]);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    let stops = fixture.cell.outbox.iter().filter(|order| matches!(order, Order::Stop { .. }));
    assert_eq!(stops.count(), 1);
}

#[test]
fn no_task_is_moved_to_an_evacuated_hall() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.cell.admit(JOB, accepted(vec![long_running()]), None);
    let (worker, task, run) = fixture.place().remove(0);
    fixture.cell.on_started(&worker.as_str().into(), task, run, fixture.now);
    fixture.poll("w0", &[(task, run)]);
    fixture.add_worker("w1", "hall-2");
    let can_move = |fixture: &Fixture| {
        let mut reservations = Reservations::new(&fixture.cell, fixture.now);
        reservations.reserve(&fixture.cell, TASK, Some(&"w0".into()), fixture.now)
    };
    assert!(can_move(&fixture));
    fixture.evacuate(&["hall-2"]);
    assert!(!can_move(&fixture));
}

#[test]
fn what_runs_in_an_evacuated_hall_goes_on() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.cell.admit(JOB, accepted(vec![long_running()]), None);
    let (worker, task, run) = fixture.place().remove(0);
    fixture.cell.on_started(&worker.as_str().into(), task, run, fixture.now);
    fixture.poll("w0", &[(task, run)]);
    fixture.add_worker("w1", "hall-2");
    fixture.evacuate(&["hall-1"]);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    maintenance::evacuate_draining(&mut fixture.cell, fixture.now);
    let mut orders = fixture.cell.outbox.iter();
    assert!(!orders.any(|order| matches!(order, Order::Stop { .. })));
}

/// Guards against fetching boxes for the missing capacity only once the queues have grown.
#[test]
fn an_evacuated_hall_counts_as_missing_capacity_at_once() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.add_worker("w1", "hall-2");
    assert_eq!(loads(&fixture.cell, fixture.now)["work"].capacity, 8_000);
    fixture.evacuate(&["hall-1"]);
    assert_eq!(loads(&fixture.cell, fixture.now)["work"].capacity, 4_000);
}

#[test]
fn views_name_the_evacuation_as_the_reason() {
    let mut fixture = Fixture::new();
    fixture.add_worker("w0", "hall-1");
    fixture.evacuate(&["hall-1", "hall-unknown"]);
    fixture.cell.admit(JOB, accepted(vec![step()]), None);
    assert_eq!(fixture.started_on(), Vec::<String>::new());
    let job = view::job(&fixture.cell, JOB, fixture.now).unwrap();
    assert_eq!(job.steps[0].held_by["its hall is evacuated"], 1);
    let service = &view::services(&fixture.cell, fixture.now)[0];
    assert_eq!((service.workers, service.evacuated), (0, 1));
    assert!(service.evacuated_halls.iter().eq(["hall-1"]));
}
