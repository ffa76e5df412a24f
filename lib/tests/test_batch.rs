//! The scheduler's state, step by step: what is started, and when a run that may exist elsewhere is
//! known to be over.

use std::time::Duration;
use std::time::Instant;

use assert_matches::assert_matches;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::FinishedJob;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::maintenance;
use spokelift_lib::batch::order_window::EXCLUSIVE_LEASE;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::JobKey;
use spokelift_lib::batch::record::JobRecord;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::ProgressRecord;
use spokelift_lib::batch::record::RecordError;
use spokelift_lib::batch::worker::WORKER_LEASE;
use spokelift_lib::batch::worker::compose_token;
use spokelift_lib::transport::clock;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Resources;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 10;
const MILLI: Duration = Duration::from_millis(1);

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn long_running_step(count: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(count) }
}

fn task(job: JobId, step: u16, index: u32) -> TaskName {
    TaskName { job, repetition: 0, step, index }
}

fn entry(machine: &str) -> Entry {
    batch::entry(machine, 4_000)
}

struct Fixture {
    cell: Cell,
    started_at: Instant,
    now: Instant,
}

impl Fixture {
    /// A scheduler with workers `w0`, `w1` and so on, on machines `m0`, `m1` and so on.
    fn new(workers: usize) -> Fixture {
        let now = clock::now();
        let mut fixture = Fixture { cell: Cell::new(TOKEN), started_at: now, now };
        for number in 0..workers {
            fixture.discover(&format!("w{number}"), &format!("m{number}"));
        }
        fixture
    }

    fn discover(&mut self, id: &str, machine: &str) {
        let peer = Peer { incarnation: id.into(), addr: unused_addr() };
        self.cell.discover(peer, entry(machine), self.now);
    }

    /// A worker answers a poll that was sent a millisecond ago.
    fn poll(
        &mut self,
        id: &str,
        running: &[(TaskName, Run)],
        ended: &[(u64, TaskName, Run, Outcome)],
    ) {
        let sent_at = self.now;
        self.now += MILLI;
        let running = running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            figure: 0,
        });
        let ended = ended.iter().map(|(number, task, run, outcome)| End {
            number: *number,
            task: *task,
            run: *run,
            outcome: *outcome,
            checkpoint: String::new(),
        });
        // A worker's clock advances from one answer to the next.
        let clock = 1_000 + (self.now - self.started_at).as_millis() as u64;
        let response = PollResponse {
            clock,
            running: running.collect(),
            ended: ended.collect(),
            birth_ms: None,
        };
        self.now += MILLI;
        self.cell.on_poll(&id.into(), sent_at, self.now, response);
    }

    /// A worker does not answer a poll; its dispatcher reports until when it had requested a lease,
    /// with a start.
    fn fail_poll(&mut self, id: &str) {
        let clock = 1_000 + (self.now - self.started_at).as_millis() as u64;
        self.cell.record_lease(&id.into(), clock + WORKER_LEASE.as_millis() as u64);
        self.cell.on_failed_poll(&id.into());
    }

    fn poll_all(&mut self) {
        let ids: Vec<String> = self.cell.workers.keys().map(Incarnation::to_string).collect();
        for id in ids {
            self.poll(&id, &[], &[]);
        }
    }

    /// Places the waiting tasks; returns worker, task and run of each start.
    fn place(&mut self) -> Vec<(String, TaskName, Run)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let orders = std::mem::take(&mut self.cell.outbox);
        let starts = orders.into_iter().filter_map(|order| match order {
            Order::Start { peer, task, run, .. } => Some((peer.incarnation.to_string(), task, run)),
            _ => None,
        });
        starts.collect()
    }

    /// As [`Self::place`], and the workers accept the starts.
    fn start(&mut self) -> Vec<(String, TaskName, Run)> {
        let starts = self.place();
        for (worker, task, run) in &starts {
            self.cell.on_started(&worker.as_str().into(), *task, *run, self.now);
        }
        self.now += MILLI;
        starts
    }

    fn stops(&mut self) -> Vec<(String, TaskName, Run)> {
        let orders = std::mem::take(&mut self.cell.outbox);
        let stops = orders.into_iter().filter_map(|order| match order {
            Order::Stop { peer, task, run } => Some((peer.incarnation.to_string(), task, run)),
            _ => None,
        });
        stops.collect()
    }
}

#[test]
fn steps_run_in_their_order() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    let second = Step { after: vec![0], ..step(1) };
    fixture.cell.admit(1, accepted(vec![step(2), second]), None);
    let starts = fixture.start();
    assert_eq!(starts.len(), 2);
    fixture.poll("w0", &[(task(1, 0, 1), TOKEN)], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(fixture.start(), []);
    fixture.poll("w0", &[], &[(2, task(1, 0, 1), TOKEN, Outcome::Done)]);
    assert_eq!(fixture.start(), [("w0".to_owned(), task(1, 1, 0), TOKEN)]);
    fixture.poll("w0", &[], &[(3, task(1, 1, 0), TOKEN, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
}

#[test]
fn only_a_worker_that_has_answered_and_has_no_open_order_can_change_dispatcher() {
    let mut fixture = Fixture::new(1);
    assert!(!fixture.cell.workers["w0"].can_change_dispatcher());
    fixture.poll_all();
    assert!(fixture.cell.workers["w0"].can_change_dispatcher());
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, task, run) = fixture.place().remove(0);
    assert!(!fixture.cell.workers["w0"].can_change_dispatcher());
    fixture.cell.on_started(&worker.as_str().into(), task, run, fixture.now);
    assert!(fixture.cell.workers["w0"].can_change_dispatcher());
    fixture.cell.hand_over(&"w0".into(), fixture.now);
    assert!(!fixture.cell.workers["w0"].can_change_dispatcher());
    fixture.poll("w0", &[(task, run)], &[]);
    fixture.cell.on_failed_poll(&"w0".into());
    assert!(!fixture.cell.workers["w0"].can_change_dispatcher());
}

/// Guards against stopping more long-running tasks than `max_unavailable` allows: a new scheduler
/// knows of no runs on a worker that has not answered it yet, and must not take its box for empty
/// and move it.
#[test]
fn a_box_whose_worker_has_not_answered_is_not_empty() {
    let mut fixture = Fixture::new(1);
    assert!(!maintenance::evacuate(&mut fixture.cell, &"w0".into(), true));
    fixture.poll_all();
    assert!(maintenance::evacuate(&mut fixture.cell, &"w0".into(), true));
}

/// Guards against maintenance of a box whose worker runs tasks of an earlier scheduler. The store
/// does not list the worker, as its entry expired while the store was slow, and had no record of
/// it: an unknown worker on a box must not make it count as empty.
#[test]
fn a_box_whose_worker_is_not_known_is_not_empty_until_all_earlier_leases_have_expired() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    let now = clock::now();
    fixture.cell.known_everywhere_from = Some(now + Duration::from_secs(1));
    assert!(!maintenance::evacuate(&mut fixture.cell, &"elsewhere".into(), false));
    // An incarnation that is known to have ended runs nothing.
    fixture.cell.restore_ended("over".into(), now);
    assert!(maintenance::evacuate(&mut fixture.cell, &"over".into(), false));
    fixture.cell.known_everywhere_from = Some(now - WORKER_LEASE - Duration::from_secs(1));
    assert!(maintenance::evacuate(&mut fixture.cell, &"elsewhere".into(), false));
}

#[test]
fn a_worker_that_changes_dispatcher_gets_no_task_until_it_answers() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(3)]), None);
    let starts = fixture.place();
    fixture.cell.on_started(&"w0".into(), starts[0].1, starts[0].2, fixture.now);
    let last = fixture.now + Duration::from_secs(2);
    fixture.cell.hand_over(&"w0".into(), last);
    // A start without an answer may have been executed, so it is stopped first.
    let mut stops: Vec<TaskName> = fixture.stops().into_iter().map(|(_, task, _)| task).collect();
    stops.sort();
    assert_eq!(stops, [task(1, 0, 1), task(1, 0, 2)]);
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(fixture.place(), []);
    // The first dispatcher may have renewed the lease as long as it could act.
    fixture.cell.on_failed_poll(&"w0".into());
    assert_eq!(fixture.cell.expired_workers(last + WORKER_LEASE), []);
    assert_eq!(fixture.cell.expired_workers(last + WORKER_LEASE * 2), [("w0".into(), true)]);
    fixture.poll("w0", &[(task(1, 0, 0), TOKEN)], &[]);
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    assert_eq!(fixture.place(), [("w0".to_owned(), task(2, 0, 0), TOKEN)]);
}

#[test]
fn an_end_is_shown_and_acknowledged_only_once_it_is_stored() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.start();
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].visible_state(), JobState::Running);
    assert_eq!(fixture.cell.workers["w0"].durable_end, 0);
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    assert_eq!(fixture.cell.jobs[&1].visible_state(), JobState::Succeeded);
    assert_eq!(fixture.cell.workers["w0"].durable_end, 1);
}

#[test]
fn nothing_inherited_is_started_before_every_worker_was_polled() {
    let mut fixture = Fixture::new(2);
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    fixture.poll("w0", &[], &[]);
    assert_eq!(fixture.place(), []);
    fixture.poll("w1", &[(task(1, 0, 0), 3)], &[]);
    assert_eq!(fixture.place(), []);
    fixture.poll("w1", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
}

/// Guards against a task running twice. A worker joins while the leader cannot renew its lease:
/// another node may have claimed the lease and read the list of workers before. The new leader then
/// does not tell this worker to refuse the old one, which could start there what the new one starts
/// elsewhere.
#[test]
fn a_worker_discovered_after_the_leader_lease_may_have_changed_gets_no_task_until_it_is_renewed() {
    let mut fixture = Fixture::new(1);
    fixture.cell.renewed_at = Some(fixture.now);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(8)]), None);
    // `w0` is known to any node that claims the leader lease later.
    assert_eq!(fixture.start().len(), 4);
    fixture.now += EXCLUSIVE_LEASE + MILLI;
    fixture.discover("w1", "m1");
    fixture.poll("w1", &[], &[]);
    assert_eq!(fixture.start(), []);
    fixture.cell.renewed_at = Some(fixture.now);
    assert_eq!(fixture.start().len(), 4);
}

#[test]
fn a_job_that_arrives_during_the_takeover_counts_as_inherited() {
    let mut fixture = Fixture::new(2);
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.poll("w0", &[], &[]);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.place(), []);
    fixture.poll("w1", &[(task(1, 0, 0), 3)], &[]);
    assert_eq!(fixture.place(), []);
}

/// Guards against a service waiting with free workers: a worker that died with its box just before
/// the leader did stays unpolled for up to 5.6 s, and jobs that arrive meanwhile must not wait for
/// it.
#[test]
fn a_job_reported_by_its_node_waits_for_no_worker_once_all_nodes_know_this_scheduler() {
    let mut fixture = Fixture::new(2);
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.poll("w0", &[], &[]);
    // Nodes that do not know of this scheduler yet report to the earlier one.
    fixture.cell.admit_reported(1, accepted(vec![step(1)]));
    assert_eq!(fixture.place(), []);
    fixture.cell.known_everywhere_from = Some(clock::now());
    fixture.cell.admit_reported(2, accepted(vec![step(1)]));
    // A job that is only read from the store may have been reported to the earlier scheduler.
    fixture.cell.admit(3, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), [("w0".to_owned(), task(2, 0, 0), TOKEN)]);
}

#[test]
fn a_job_that_arrives_after_the_earlier_scheduler_released_the_leader_lease_waits_for_no_worker() {
    let mut fixture = Fixture::new(2);
    fixture.cell.predecessor_is_done = true;
    fixture.cell.unpolled = fixture.cell.workers.keys().cloned().collect();
    fixture.poll("w0", &[], &[]);
    fixture.cell.admit(1, accepted(vec![step(2)]), None);
    fixture.cell.admit(2, accepted(vec![step(2)]), Some(&Progress::default()));
    // The earlier scheduler cannot know the first job; it may have started the second.
    let starts = fixture.start();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(_, task, _)| task.job == 1));
}

#[test]
fn an_answer_out_of_order_does_not_restore_a_run_that_is_over() {
    let mut fixture = Fixture::new(1);
    fixture.poll("w0", &[], &[]);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (_, task, run) = fixture.start().remove(0);
    fixture.cell.on_started(&"w0".into(), task, run, fixture.now);
    let before = fixture.now;
    fixture.poll("w0", &[], &[(1, task, run, Outcome::Done)]);
    // Sent earlier, on another connection, and answered while the task was still running.
    fixture.now = before;
    fixture.poll("w0", &[(task, run)], &[]);
    assert!(fixture.cell.workers["w0"].allocations.is_empty());
}

#[test]
fn a_worker_whose_machine_has_moved_delays_no_later_scheduler() {
    let mut first = Fixture::new(2);
    first.poll_all();
    first.cell.end_incarnations_elsewhere("m1", "another pool");
    let flush = first.cell.take_flush();
    let mut second = Fixture::new(0);
    for record in &flush.records {
        match ProgressRecord::decode(record).unwrap() {
            ProgressRecord::Ended(id) => second.cell.restore_ended(id, second.now),
            ProgressRecord::Worker(id, stored) => {
                second.cell.restore_worker(id, stored, second.now)
            }
            _ => {}
        }
    }
    // The store lists both workers for a while.
    second.discover("w0", "m0");
    second.discover("w1", "m1");
    let known: Vec<String> = second.cell.workers.keys().map(Incarnation::to_string).collect();
    assert_eq!(known, ["w0"]);
    // A worker whose machine is moved to the pool it is in already stays.
    first.cell.end_incarnations_elsewhere("m0", "work");
    assert!(first.cell.workers.contains_key(&"w0".into()));
}

#[test]
fn a_run_that_is_found_before_its_job_arrives_is_the_run_of_its_task() {
    let mut fixture = Fixture::new(2);
    fixture.poll("w0", &[(task(1, 0, 0), 3)], &[]);
    fixture.poll("w1", &[], &[]);
    assert_eq!(fixture.stops(), []);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.place(), []);
    assert_eq!(fixture.cell.workers["w0"].free.cpu, 3_000);
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
}

#[test]
fn a_run_whose_job_never_arrives_is_stopped() {
    let mut fixture = Fixture::new(1);
    fixture.poll("w0", &[(task(9, 0, 0), 3)], &[]);
    fixture.cell.stop_unknown_jobs(fixture.now + Duration::from_secs(10));
    assert_eq!(fixture.stops(), [("w0".to_owned(), task(9, 0, 0), 3)]);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_it_is_repeated() {
    let mut fixture = Fixture::new(2);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, run) = fixture.place().remove(0);
    fixture.cell.on_unanswered(&worker.as_str().into(), name, run, fixture.now);
    assert_eq!(fixture.stops(), [(worker.clone(), name, run)]);
    assert_eq!(fixture.place(), []);
    // A poll that was sent before the stop was answered proves nothing.
    fixture.poll(&worker, &[], &[]);
    assert_eq!(fixture.place(), []);
    fixture.cell.on_stopped(&worker.as_str().into(), name, run, fixture.now);
    fixture.now += MILLI;
    fixture.poll(&worker, &[], &[]);
    let again = fixture.place();
    assert_eq!(again.len(), 1);
    assert!(again[0].2 > run);
    assert_ne!(again[0].0, worker);
}

#[test]
fn the_lease_of_an_unresponsive_worker_expires() {
    let mut fixture = Fixture::new(2);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, _) = fixture.start().remove(0);
    fixture.fail_poll(&worker);
    assert_eq!(fixture.cell.expired_workers(fixture.now + WORKER_LEASE / 2), []);
    let later = fixture.now + WORKER_LEASE + Duration::from_millis(500);
    assert_eq!(fixture.cell.expired_workers(later), [(worker.as_str().into(), true)]);
    fixture.cell.expire_runs(&worker.as_str().into());
    fixture.now = later;
    let again = fixture.place();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, name);
    assert_ne!(again[0].0, worker);
}

#[test]
fn of_two_incarnations_on_a_machine_the_one_that_answers_is_the_running_one() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.start();
    // A read that is seconds old returns the entry of an earlier incarnation.
    fixture.discover("old", "m0");
    assert!(fixture.cell.workers.contains_key(&"w0".into()));
    fixture.poll("w0", &[(task(1, 0, 0), TOKEN)], &[]);
    assert!(!fixture.cell.workers.contains_key(&"old".into()));
    assert_eq!(fixture.place(), []);
}

#[test]
fn failures_are_counted_once_per_run_in_any_order() {
    let mut fixture = Fixture::new(2);
    fixture.poll_all();
    let mut progress = Progress::default();
    progress.failed.push(((0, 0, 0), vec![7]));
    fixture.cell.admit(1, accepted(vec![step(1)]), Some(&progress));
    // Run 7 is in the store already; run 5 is reported late.
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), 7, Outcome::Failed)]);
    assert_eq!(fixture.cell.jobs[&1].end, None);
    fixture.poll("w1", &[], &[(1, task(1, 0, 0), 5, Outcome::Failed)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Failed));
    assert_eq!(fixture.place(), []);
}

#[test]
fn a_task_is_not_moved_while_another_of_its_step_may_be_unavailable() {
    let mut fixture = Fixture::new(3);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![long_running_step(3)]), None);
    let starts = fixture.start();
    assert_eq!(starts.len(), 3);
    for (worker, name, run) in &starts {
        fixture.poll(worker, &[(*name, *run)], &[]);
    }
    // An unresponsive worker may have lost its task.
    fixture.cell.on_failed_poll(&"w0".into());
    assert!(!maintenance::evacuate(&mut fixture.cell, &"w1".into(), false));
    assert_eq!(fixture.stops(), []);
    let at_w0 = starts.iter().find(|start| start.0 == "w0").unwrap();
    fixture.poll("w0", &[(at_w0.1, at_w0.2)], &[]);
    assert!(!maintenance::evacuate(&mut fixture.cell, &"w1".into(), false));
    assert_eq!(fixture.stops().len(), 1);
    assert!(!maintenance::evacuate(&mut fixture.cell, &"w2".into(), false));
    assert_eq!(fixture.stops(), []);
}

#[test]
fn a_long_running_task_preempts_batch_tasks() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(4)]), None);
    assert_eq!(fixture.start().len(), 4);
    fixture.cell.admit(2, accepted(vec![long_running_step(1)]), None);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    assert_eq!(fixture.stops().len(), 1);
}

/// Guards against preempting a run whose job is not known yet, which may be long-running itself.
/// Such a run counts as a batch task without resources, and as it was found last, it is the
/// youngest; the youngest runs are preempted first.
#[test]
fn a_run_whose_job_is_not_known_is_not_preempted() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(4)]), None);
    let mut runs: Vec<(TaskName, Run)> =
        fixture.start().into_iter().map(|(_, name, run)| (name, run)).collect();
    runs.push((task(9, 0, 0), 3));
    fixture.poll("w0", &runs, &[]);
    fixture.cell.admit(2, accepted(vec![long_running_step(1)]), None);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    let stopped: Vec<JobId> = fixture.stops().into_iter().map(|(_, name, _)| name.job).collect();
    assert_eq!(stopped, [1]);
}

#[test]
fn a_newer_scheduler_ends_this_one() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, run) = fixture.place().remove(0);
    let incarnation = worker.as_str().into();
    fixture
        .cell
        .on_fenced(&incarnation, compose_token(TOKEN, fixture.cell.workers[&incarnation].fence));
    fixture.cell.on_refused(&incarnation, name, run, Some(Refusal::Fenced), fixture.now);
    assert!(fixture.cell.is_fenced);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let starts = fixture.start();
    assert_matches!(fixture.cell.cancel(1), Some(JobState::Canceled));
    assert_eq!(fixture.stops(), starts);
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Canceled));
    assert_eq!(fixture.cell.cancel(2), None);
}

/// A job of two repetitions of one task each, both due within the first second.
fn scheduled_job() -> Accepted {
    let mut job = accepted(vec![step(1)]);
    (job.job.repetitions, job.job.first_run_ms, job.job.interval_ms) = (2, 100, 100);
    job
}

/// Guards against a scheduled job that is shown as running for ever: the last end is reported to a
/// new scheduler before that has looked at which repetitions are due.
#[test]
fn a_scheduled_job_ends_though_its_last_end_comes_before_its_times_are_looked_at() {
    let mut fixture = Fixture::new(1);
    let progress = Progress { started: true, ..Progress::default() };
    fixture.cell.admit(1, scheduled_job(), Some(&progress));
    let tasks = [0, 1].map(|repetition| TaskName { repetition, ..task(1, 0, 0) });
    fixture.poll("w0", &tasks.map(|task| (task, 5)), &[]);
    let ends = [(1, tasks[0], 5, Outcome::Done), (2, tasks[1], 5, Outcome::Done)];
    fixture.poll("w0", &[], &ends);
    assert_eq!(fixture.cell.jobs[&1].end, None, "its times have not been looked at");
    fixture.cell.open_due_repetitions(Duration::from_secs(1));
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
    assert_eq!(fixture.start(), []);
}

/// The same for a job all of whose tasks were done under an earlier scheduler, which did not end it.
#[test]
fn a_scheduled_job_whose_tasks_are_all_done_already_ends() {
    let mut fixture = Fixture::new(1);
    let done = vec![(0, 0, vec![1]), (1, 0, vec![1])];
    let progress = Progress { started: true, done, ..Progress::default() };
    fixture.cell.admit(1, scheduled_job(), Some(&progress));
    fixture.cell.open_due_repetitions(Duration::from_millis(150));
    assert_eq!(fixture.cell.jobs[&1].end, None, "its second time has not come");
    fixture.cell.open_due_repetitions(Duration::from_secs(1));
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![Step { gang: true, ..step(5) }]), None);
    assert_eq!(fixture.place(), []);
    fixture.discover("w9", "m9");
    fixture.poll("w9", &[], &[]);
    let starts = fixture.start();
    assert_eq!(starts.len(), 5);
    assert!(starts.iter().all(|start| start.2 == starts[0].2));
}

/// A scheduler under which `job` was started and one of the workers became unresponsive, and its
/// successor, which only another worker has answered. Returns the successor and the unresponsive
/// worker.
fn after_takeover(job: &Accepted) -> (Fixture, String) {
    let mut first = Fixture::new(2);
    first.poll_all();
    first.cell.admit(1, job.clone(), None);
    let (unresponsive, ..) = first.start().remove(0);
    first.cell.on_failed_poll(&unresponsive.as_str().into());
    let flush = first.cell.take_flush();
    let mut records = flush.records.iter().map(|record| ProgressRecord::decode(record).unwrap());
    let stored = records.find_map(|record| match record {
        ProgressRecord::Worker(id, stored)
            if id == unresponsive.as_str().into() && stored.unresponsive_with.is_some() =>
        {
            Some(stored)
        }
        _ => None,
    });

    let mut second = Fixture::new(0);
    second.cell.restore_worker(unresponsive.as_str().into(), stored.unwrap(), second.now);
    second.discover(&unresponsive, "m0");
    second.discover("other", "m9");
    second.cell.unpolled = second.cell.workers.keys().cloned().collect();
    second.cell.admit(1, job.clone(), Some(&Progress::default()));
    second.poll("other", &[], &[]);
    (second, unresponsive)
}

#[test]
fn a_gang_of_which_a_member_may_run_is_not_started() {
    let (mut fixture, _) = after_takeover(&accepted(vec![Step { gang: true, ..step(2) }]));
    assert_eq!(fixture.start(), []);
}

#[test]
fn a_worker_unresponsive_since_before_the_takeover_delays_only_tasks_it_may_run() {
    let (mut second, unresponsive) = after_takeover(&accepted(vec![step(1)]));
    second.cell.admit(2, accepted(vec![step(1)]), Some(&Progress::default()));
    let starts = second.start();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, task(2, 0, 0));

    // Once it answers again, it gets tasks only after the store has recorded that.
    second.poll(&unresponsive, &[(task(1, 0, 0), TOKEN)], &[]);
    assert!(!second.cell.workers[unresponsive.as_str()].is_schedulable(second.now));
    let flush = second.cell.take_flush();
    second.cell.on_flushed(&flush);
    assert!(second.cell.workers[unresponsive.as_str()].is_schedulable(second.now));
}

#[test]
fn a_machine_whose_maintenance_has_started_is_known_to_the_next_scheduler() {
    let mut fixture = Fixture::new(1);
    fixture.cell.record_maintenance_started(7, "m0");
    let flush = fixture.cell.take_flush();
    let wave = flush.records.iter().find(|record| record.key == "wave/7").unwrap();
    assert_eq!(
        ProgressRecord::decode(wave).unwrap(),
        ProgressRecord::Wave(7, vec!["m0".to_owned()])
    );
}

#[test]
fn an_end_reported_before_its_job_arrives_counts_and_is_not_acknowledged_until_then() {
    let mut fixture = Fixture::new(2);
    fixture.poll_all();
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    assert_eq!(fixture.cell.workers["w0"].durable_end, 0);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.place(), []);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    assert_eq!(fixture.cell.workers["w0"].durable_end, 1);
    // The end of a job that never arrives is dropped after a while.
    fixture.poll("w0", &[], &[(2, task(9, 0, 0), 3, Outcome::Done)]);
    fixture.cell.stop_unknown_jobs(fixture.now + Duration::from_secs(10));
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    assert_eq!(fixture.cell.workers["w0"].durable_end, 2);
}

#[test]
fn a_worker_whose_entry_expired_in_a_store_outage_gets_tasks_until_it_should_be_listed_again() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let back = fixture.now + Duration::from_millis(2_000);
    fixture.cell.mark_unlisted("w0", Some(back));
    assert_eq!(fixture.start().len(), 1);
    fixture.now = back;
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), vec![]);
    // Without an outage of the store, a worker that is not listed gets no tasks from then on.
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.cell.mark_unlisted("w0", None);
    assert_eq!(fixture.start(), vec![]);
}

#[test]
fn long_running_tasks_leave_a_worker_that_departs_unannounced_one_at_a_time() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    let step = Step { max_per_worker: 0, ..long_running_step(2) };
    fixture.cell.admit(1, accepted(vec![step]), None);
    let starts = fixture.start();
    assert_eq!(starts.len(), 2);
    let running: Vec<(TaskName, Run)> = starts.iter().map(|(_, task, run)| (*task, *run)).collect();
    fixture.poll("w0", &running, &[]);
    assert_eq!(fixture.cell.leaving_unannounced(fixture.now), Vec::<Incarnation>::new());
    fixture.cell.mark_unlisted("w0", None);
    fixture.discover("w1", "m1");
    fixture.poll("w1", &[], &[]);
    for _ in 0..3 {
        for id in fixture.cell.leaving_unannounced(fixture.now) {
            maintenance::evacuate(&mut fixture.cell, &id, false);
        }
    }
    let stops = fixture.stops();
    assert_eq!(stops.len(), 1, "one may be unavailable, so one is stopped: {stops:?}");
    let (_, stopped, _) = stops[0];
    fixture.now += MILLI;
    let left: Vec<(TaskName, Run)> =
        running.iter().copied().filter(|(task, _)| *task != stopped).collect();
    fixture.cell.on_stopped(&"w0".into(), stopped, running[0].1, fixture.now);
    fixture.now += MILLI;
    fixture.poll("w0", &left, &[]);
    let starts = fixture.start();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, "w1");
}

#[test]
fn a_worker_that_was_emptied_as_leaving_and_is_listed_again_takes_work() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.mark_unlisted("w0", None);
    for id in fixture.cell.leaving_unannounced(fixture.now) {
        maintenance::evacuate(&mut fixture.cell, &id, false);
    }
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), vec![]);
    fixture.discover("w0", "m0");
    assert_eq!(fixture.start().len(), 1);
}

#[test]
fn a_long_running_task_preempts_only_where_it_may_run() {
    let mut fixture = Fixture::new(1);
    let peer = Peer { incarnation: "w9".into(), addr: unused_addr() };
    let labels = vec!["big".to_owned()];
    fixture.cell.discover(peer, Entry { labels, ..entry("m9") }, fixture.now);
    fixture.poll_all();
    // The only worker with the label is full, the other one is empty.
    let full = Step { requires: Some("big".to_owned()), ..step(4) };
    fixture.cell.admit(1, accepted(vec![full]), None);
    let starts = fixture.start();
    assert!(starts.len() == 4 && starts.iter().all(|(worker, ..)| worker == "w9"));
    fixture.cell.admit(
        2,
        accepted(vec![Step { requires: Some("big".to_owned()), ..long_running_step(1) }]),
        None,
    );
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    let stops = fixture.stops();
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].0, "w9");
}

#[test]
fn a_pool_requests_as_many_workers_as_a_waiting_gang_needs() {
    let mut fixture = Fixture::new(2);
    fixture.poll_all();
    // Nine tasks of 1.5 cores need five workers of four cores. By the amount of work, which takes
    // only a moment, two would do.
    let gang = Step { gang: true, cpu: 1_500, estimate_ms: 10, ..step(9) };
    fixture.cell.admit(1, accepted(vec![gang]), None);
    assert_eq!(fixture.start(), vec![]);
    let loads = loads(&fixture.cell, fixture.now);
    assert_eq!(loads["work"].min_workers, 5);
    assert!(!loads["work"].can_spare(4_000));
    for number in 2..5 {
        fixture.discover(&format!("w{number}"), &format!("m{number}"));
    }
    fixture.poll_all();
    assert_eq!(fixture.start().len(), 9);
}

#[test]
fn a_finished_job_is_removed_from_every_partition_that_holds_it() {
    let mut fixture = Fixture::new(1);
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    fixture.cell.cancel(1);
    let flush = fixture.cell.take_flush();
    fixture.cell.on_flushed(&flush);
    let keep = Duration::from_secs(1);
    let later = clock::now() + Duration::from_secs(60);
    // It is not known yet which partitions hold it; a record left there would be a new job to the
    // next scheduler.
    assert!(fixture.cell.finished_jobs(keep, later).is_empty());
    let key = JobKey { id: 1, account: None };
    fixture.cell.record_stored_in(key.clone(), 3);
    fixture.cell.record_stored_in(key.clone(), 7);
    let finished = [FinishedJob { key, cancelled: true, stored_in: [3, 7].into() }];
    assert_eq!(fixture.cell.finished_jobs(keep, later), finished);
    // Its end is removed last, once no partition holds it.
    let ends = |fixture: &mut Fixture| {
        let records = fixture.cell.take_flush().records;
        records.iter().filter(|record| record.key == format!("{:016x}", 1)).count()
    };
    assert_eq!(ends(&mut fixture), 0);
    assert_eq!(fixture.cell.finished_jobs(keep, later), finished);
    fixture.cell.forget_job(1);
    assert_eq!(ends(&mut fixture), 1);
    assert!(fixture.cell.finished_jobs(keep, later).is_empty());
}

#[test]
fn a_worker_whose_entry_was_overwritten_gets_nothing_new_and_keeps_what_it_runs() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(1)]), None);
    let (_, _, run) = fixture.start().remove(0);
    assert!(fixture.cell.record_invalid_entry("w0", "misshapen"));
    assert!(!fixture.cell.record_invalid_entry("w0", "misshapen"), "reported once");
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    fixture.poll("w0", &[(task(1, 0, 0), run)], &[]);
    assert_eq!(fixture.start(), []);
    assert_eq!(fixture.stops(), [], "nothing on it is stopped");
    fixture.poll("w0", &[], &[(1, task(1, 0, 0), run, Outcome::Done)]);
    assert_eq!(fixture.cell.jobs[&1].end, Some(JobState::Succeeded));
    // Its own entry is listed again.
    fixture.discover("w0", "m0");
    assert_eq!(fixture.start().len(), 1);
}

#[test]
fn the_number_of_remembered_invalid_entries_is_limited() {
    let mut fixture = Fixture::new(1);
    for number in 0..1_000 {
        fixture.cell.record_invalid_entry(&format!("x{number}"), "unreadable");
    }
    assert_eq!(fixture.cell.invalid_entries.len(), 256);
    assert_eq!(fixture.cell.workers.len(), 1);
    fixture.cell.mark_unlisted("x0", None);
    assert_eq!(fixture.cell.invalid_entries.len(), 255);
}

/// A full worker's capacity halves: it gets no tasks, none is stopped, and it gets tasks again once
/// they fit.
#[test]
fn a_worker_whose_capacity_has_shrunk_gets_nothing_until_what_it_runs_fits() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(4)]), None);
    let started = fixture.start();
    assert_eq!(started.len(), 4);
    let resize = |fixture: &mut Fixture, cpu: u32| {
        let peer = Peer { incarnation: "w0".into(), addr: unused_addr() };
        let capacity = Resources { cpu, memory_mb: 4_000, gpu: 0 };
        fixture.cell.discover(peer, Entry { capacity, ..entry("m0") }, fixture.now);
    };
    resize(&mut fixture, 2_000);
    fixture.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(fixture.start(), []);
    assert_eq!(fixture.stops(), []);
    let runs: Vec<(TaskName, Run)> = started.iter().map(|(_, task, run)| (*task, *run)).collect();
    // Two have ended: the other two fill it.
    let ends = [(1, runs[0].0, runs[0].1, Outcome::Done), (2, runs[1].0, runs[1].1, Outcome::Done)];
    fixture.poll("w0", &runs[2..], &ends);
    assert_eq!(fixture.start(), []);
    resize(&mut fixture, 4_000);
    assert_eq!(fixture.start().len(), 1);
}

/// A long-running task preempts enough others: on a worker that is two tasks over its capacity,
/// three have to be stopped for one.
#[test]
fn preemption_also_covers_a_capacity_deficit() {
    let mut fixture = Fixture::new(1);
    fixture.poll_all();
    fixture.cell.admit(1, accepted(vec![step(4)]), None);
    assert_eq!(fixture.start().len(), 4);
    let peer = Peer { incarnation: "w0".into(), addr: unused_addr() };
    let capacity = Resources { cpu: 2_000, memory_mb: 4_000, gpu: 0 };
    fixture.cell.discover(peer, Entry { capacity, ..entry("m0") }, fixture.now);
    fixture.cell.admit(2, accepted(vec![long_running_step(1)]), None);
    fixture.cell.place_ready(fixture.now, Duration::from_secs(1));
    assert_eq!(fixture.stops().len(), 3);
}

#[test]
fn a_record_of_a_job_too_large_for_memory_is_rejected() {
    let mut job = accepted(vec![step(1)]);
    job.job.repetitions = u32::MAX;
    let record = spokelift_lib::batch::record::accepted(1, &job);
    assert_matches!(JobRecord::decode(&record), Err(RecordError::Job(..)));
}
