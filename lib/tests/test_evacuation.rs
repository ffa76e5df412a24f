//! Evacuation of boxes: which tasks are stopped, and when.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::maintenance;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

fn discover(cell: &mut Cell, id: &str, now: Instant) {
    let machine = format!("m-{id}");
    cell.discover(
        Peer { incarnation: id.into(), addr: unused_addr() },
        entry(&machine, 8_000),
        now,
    );
}

/// A worker answers a poll, `at` milliseconds on its clock, and runs these tasks.
fn poll(cell: &mut Cell, id: &str, at: u64, runs: &[(TaskName, Run)], now: Instant) {
    let running = runs.iter().map(|(task, run)| Running {
        task: *task,
        run: *run,
        checkpoint: String::new(),
        percent: 100,
        figure: 0,
    });
    let response =
        PollResponse { clock: at, running: running.collect(), ended: Vec::new(), birth_ms: None };
    cell.on_poll(&id.into(), now, now, response);
}

fn start(cell: &mut Cell, now: Instant) -> Vec<(TaskName, Run)> {
    cell.place_ready(now, Duration::from_secs(1));
    let starts = std::mem::take(&mut cell.outbox).into_iter().filter_map(|order| match order {
        Order::Start { task, run, .. } => Some((task, run)),
        _ => None,
    });
    starts.collect()
}

fn take_stop_count(cell: &mut Cell) -> usize {
    let orders = std::mem::take(&mut cell.outbox);
    orders.iter().filter(|order| matches!(order, Order::Stop { .. })).count()
}

fn long_running_step(count: u32) -> Step {
    Step {
        count,
        cpu: 1_000,
        memory_mb: 100,
        long_running: true,
        max_unavailable: Some(1),
        ..Step::default()
    }
}

/// Guards against exceeding a step's disruption budget just after a change of the scheduler: stops
/// that the previous scheduler ordered may still be under way while a poll shows their tasks as
/// running, so the evacuation of a worker that was unlisted without notice must wait until they are
/// over, as it does for waves. Without that, one task more was unavailable than allowed, 3 s after
/// a takeover.
#[test]
fn no_task_leaves_an_unlisted_worker_while_earlier_stops_are_pending() {
    let (mut cell, now) = (Cell::new(10), clock::now());
    discover(&mut cell, "w0", now);
    poll(&mut cell, "w0", 1, &[], now);
    cell.admit(1, accepted(vec![long_running_step(2)]), None);
    let runs = start(&mut cell, now);
    assert_eq!(runs.len(), 2);
    poll(&mut cell, "w0", 2, &runs, now);
    discover(&mut cell, "w1", now);
    poll(&mut cell, "w1", 1, &[], now);
    cell.mark_unlisted("w0", None);
    cell.known_everywhere_from = Some(now + Duration::from_secs(1));
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 0);
    // The earlier stops are over.
    cell.known_everywhere_from = Some(now - Duration::from_secs(5));
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 1);
}

/// Guards against exceeding a step's disruption budget when workers become unresponsive just after
/// a takeover: a poll waits up to 1.2 s for an end and times out after 1.8 s, so until then the
/// tasks in the last answer must not all be taken for running. Two tasks of a step were unavailable
/// where one may be, 1.53 s after a rack had become unresponsive; that this was the cause there is
/// not shown.
#[test]
fn no_task_is_stopped_while_another_worker_has_not_answered() {
    let (mut cell, now) = (Cell::new(10), clock::now());
    let before = now - Duration::from_millis(1_530);
    let name = |index| TaskName { job: 1, repetition: 0, step: 0, index };
    for id in ["w0", "w1", "w2"] {
        discover(&mut cell, id, before);
    }
    cell.admit(1, accepted(vec![long_running_step(2)]), None);
    poll(&mut cell, "w1", 1, &[(name(1), 5)], before);
    poll(&mut cell, "w0", 1, &[(name(0), 5)], now);
    poll(&mut cell, "w2", 1, &[], now);
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 0, "it is not known whether the other task runs");
    poll(&mut cell, "w1", 2, &[(name(1), 5)], clock::now());
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 1);
}

/// Guards against a wrong waiting time: a task waits from when a scheduler reads its job until it
/// is found running. If that start of the wait is kept, the task's next start reports seconds of
/// waiting (`waited_ms=3624` 50 ms after its last run ended), and a suspect counts as overdue at
/// once.
#[test]
fn a_task_that_is_found_running_does_not_wait() {
    let (mut cell, now) = (Cell::new(10), clock::now());
    discover(&mut cell, "w0", now);
    cell.admit(1, accepted(vec![long_running_step(1)]), None);
    let name = TaskName { job: 1, repetition: 0, step: 0, index: 0 };
    poll(&mut cell, "w0", 1, &[(name, 5)], now);
    let task = cell.jobs.get_mut(&1).and_then(|job| job.task_mut(name)).unwrap();
    assert_eq!(task.runs, 1);
    assert_eq!(task.waiting_since, None);
}

/// A scheduler with two workers that each run one task of a step of which one may be unavailable,
/// and an empty third worker.
fn with_two_running() -> (Cell, Instant, Vec<(TaskName, Run)>) {
    let (mut cell, now) = (Cell::new(10), clock::now());
    cell.admit(1, accepted(vec![Step { max_per_worker: 1, ..long_running_step(2) }]), None);
    for id in ["w0", "w1"] {
        discover(&mut cell, id, now);
        poll(&mut cell, id, 1, &[], now);
    }
    let runs = start(&mut cell, now);
    let tasks_on =
        |cell: &Cell, id: &str| cell.workers[id].allocations.keys().copied().collect::<Vec<_>>();
    for id in ["w0", "w1"] {
        let mine: Vec<(TaskName, Run)> =
            runs.iter().filter(|(task, _)| tasks_on(&cell, id).contains(task)).copied().collect();
        assert_eq!(mine.len(), 1);
        poll(&mut cell, id, 2, &mine, now);
    }
    discover(&mut cell, "w2", now);
    poll(&mut cell, "w2", 1, &[], now);
    (cell, now, runs)
}

fn list_as_draining(cell: &mut Cell, id: &str, now: Instant) {
    let draining = Entry { draining: true, ..entry(&format!("m-{id}"), 8_000) };
    cell.discover(Peer { incarnation: id.into(), addr: unused_addr() }, draining, now);
}

/// Stopping both at the same moment would leave one more unavailable than allowed.
#[test]
fn no_task_is_stopped_beside_a_draining_worker() {
    let (mut cell, now, _) = with_two_running();
    list_as_draining(&mut cell, "w1", now);
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 0);
    // Tasks on a draining worker are stopped even if others are unavailable.
    maintenance::evacuate_draining(&mut cell, now);
    assert_eq!(take_stop_count(&mut cell), 1);
}

/// The stop on the draining worker may be carried out first, and then the other task is one too
/// many.
#[test]
fn a_task_on_a_draining_worker_waits_for_pending_stops_of_its_step() {
    let (mut cell, now, runs) = with_two_running();
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 1);
    list_as_draining(&mut cell, "w1", now);
    maintenance::evacuate_draining(&mut cell, now);
    assert_eq!(take_stop_count(&mut cell), 0);
    // The first stop is complete.
    let (task, run) = runs[usize::from(!cell.workers["w0"].allocations.contains_key(&runs[0].0))];
    let end = End { number: 1, task, run, outcome: Outcome::Stopped, checkpoint: String::new() };
    let response = PollResponse { clock: 3, running: Vec::new(), ended: vec![end], birth_ms: None };
    cell.on_poll(&"w0".into(), now, now, response);
    maintenance::evacuate_draining(&mut cell, now);
    assert_eq!(take_stop_count(&mut cell), 1);
}

/// An unresponsive worker may never end its run, and the other worker is about to leave.
#[test]
fn a_task_on_a_draining_worker_does_not_wait_for_an_unresponsive_worker() {
    let (mut cell, now, _) = with_two_running();
    maintenance::evacuate(&mut cell, &"w0".into(), false);
    assert_eq!(take_stop_count(&mut cell), 1);
    cell.on_failed_poll(&"w0".into());
    list_as_draining(&mut cell, "w1", now);
    maintenance::evacuate_draining(&mut cell, now);
    assert_eq!(take_stop_count(&mut cell), 1);
}
