//! The scheduler's state, step by step: what is started, and when what may run elsewhere is known
//! to be gone.

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
use spokelift_testutils::batch::addr;

const TOKEN: u64 = 10;
const MILLI: Duration = Duration::from_millis(1);

fn step(count: u32) -> Step {
    Step { count, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() }
}

fn lasting(count: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), max_per_worker: 1, ..step(count) }
}

fn task(job: JobId, step: u16, index: u32) -> TaskName {
    TaskName { job, repetition: 0, step, index }
}

fn entry(machine: &str) -> Entry {
    batch::entry(machine, 4_000)
}

struct Bed {
    cell: Cell,
    begun: Instant,
    now: Instant,
}

impl Bed {
    /// A scheduler with workers `w0`, `w1` and so on, on machines `m0`, `m1` and so on.
    fn new(workers: usize) -> Bed {
        let now = clock::now();
        let mut bed = Bed { cell: Cell::new(TOKEN), begun: now, now };
        for number in 0..workers {
            bed.meet(&format!("w{number}"), &format!("m{number}"));
        }
        bed
    }

    fn meet(&mut self, id: &str, machine: &str) {
        let peer = Peer { incarnation: id.into(), addr: addr() };
        self.cell.discover(peer, entry(machine), self.now);
    }

    /// A look that was sent a millisecond ago is answered.
    fn look(
        &mut self,
        id: &str,
        running: &[(TaskName, Run)],
        ended: &[(u64, TaskName, Run, Outcome)],
    ) {
        let sent = self.now;
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
        // A worker's clock goes on from one answer to the next.
        let clock = 1_000 + (self.now - self.begun).as_millis() as u64;
        let seen = PollResponse {
            clock,
            running: running.collect(),
            ended: ended.collect(),
            birth_ms: None,
        };
        self.now += MILLI;
        self.cell.on_poll(&id.into(), sent, self.now, seen);
    }

    /// A worker does not answer; its carrier tells until when it has asked for a lease, at a start.
    fn miss(&mut self, id: &str) {
        let clock = 1_000 + (self.now - self.begun).as_millis() as u64;
        self.cell.record_lease(&id.into(), clock + WORKER_LEASE.as_millis() as u64);
        self.cell.on_failed_poll(&id.into());
    }

    fn look_at_all(&mut self) {
        let ids: Vec<String> = self.cell.workers.keys().map(Incarnation::to_string).collect();
        for id in ids {
            self.look(&id, &[], &[]);
        }
    }

    /// Starts what can be started: worker, task and run.
    fn place(&mut self) -> Vec<(String, TaskName, Run)> {
        self.cell.place_ready(self.now, Duration::from_secs(1));
        let orders = std::mem::take(&mut self.cell.outbox);
        let starts = orders.into_iter().filter_map(|order| match order {
            Order::Start { peer, task, run, .. } => Some((peer.incarnation.to_string(), task, run)),
            _ => None,
        });
        starts.collect()
    }

    /// The same, and the workers take them.
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
    let mut bed = Bed::new(1);
    bed.look_at_all();
    let second = Step { after: vec![0], ..step(1) };
    bed.cell.admit(1, accepted(vec![step(2), second]), None);
    let starts = bed.start();
    assert_eq!(starts.len(), 2);
    bed.look("w0", &[(task(1, 0, 1), TOKEN)], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(bed.start(), []);
    bed.look("w0", &[], &[(2, task(1, 0, 1), TOKEN, Outcome::Done)]);
    assert_eq!(bed.start(), [("w0".to_owned(), task(1, 1, 0), TOKEN)]);
    bed.look("w0", &[], &[(3, task(1, 1, 0), TOKEN, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Succeeded));
}

#[test]
fn only_a_worker_that_has_answered_and_has_no_order_open_passes_to_another_carrier_unasked() {
    let mut bed = Bed::new(1);
    assert!(!bed.cell.workers["w0"].can_change_dispatcher());
    bed.look_at_all();
    assert!(bed.cell.workers["w0"].can_change_dispatcher());
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, task, run) = bed.place().remove(0);
    assert!(!bed.cell.workers["w0"].can_change_dispatcher());
    bed.cell.on_started(&worker.as_str().into(), task, run, bed.now);
    assert!(bed.cell.workers["w0"].can_change_dispatcher());
    bed.cell.hand_over(&"w0".into(), bed.now);
    assert!(!bed.cell.workers["w0"].can_change_dispatcher());
    bed.look("w0", &[(task, run)], &[]);
    bed.cell.on_failed_poll(&"w0".into());
    assert!(!bed.cell.workers["w0"].can_change_dispatcher());
}

/// Tasks that last were ended beyond what their steps may miss: 0.3 s after it began, a scheduler moved
/// boxes whose workers had not answered it yet. It knew of no runs there and took them for empty.
#[test]
fn a_box_whose_worker_has_not_answered_is_not_empty() {
    let mut bed = Bed::new(1);
    assert!(!maintenance::evacuate(&mut bed.cell, &"w0".into(), true));
    bed.look_at_all();
    assert!(maintenance::evacuate(&mut bed.cell, &"w0".into(), true));
}

/// What happens: a scheduler that has just begun orders the upkeep of a box though a worker lives there, which runs what an
/// earlier scheduler has started.
/// Why: the store does not list that worker (its entry ran out while the store was slow), and had not been told of it either;
/// a box whose worker was not known counted as empty.
/// Shown by: reading, while tasks away beside each other were traced; no play is known in which it came.
#[test]
fn a_box_whose_worker_is_not_known_is_not_empty_until_all_of_before_has_lapsed() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    let now = clock::now();
    bed.cell.known_everywhere_from = Some(now + Duration::from_secs(1));
    assert!(!maintenance::evacuate(&mut bed.cell, &"elsewhere".into(), false));
    // One whose life is known to be over runs nothing.
    bed.cell.restore_ended("over".into(), now);
    assert!(maintenance::evacuate(&mut bed.cell, &"over".into(), false));
    bed.cell.known_everywhere_from = Some(now - WORKER_LEASE - Duration::from_secs(1));
    assert!(maintenance::evacuate(&mut bed.cell, &"elsewhere".into(), false));
}

#[test]
fn a_worker_that_passes_to_another_carrier_takes_nothing_until_it_answers() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(3)]), None);
    let starts = bed.place();
    bed.cell.on_started(&"w0".into(), starts[0].1, starts[0].2, bed.now);
    let last = bed.now + Duration::from_secs(2);
    bed.cell.hand_over(&"w0".into(), last);
    // What was not answered for may have been started, so it is stopped first.
    let mut stops: Vec<TaskName> = bed.stops().into_iter().map(|(_, task, _)| task).collect();
    stops.sort();
    assert_eq!(stops, [task(1, 0, 1), task(1, 0, 2)]);
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(bed.place(), []);
    // The first carrier may have extended the lease as long as it could act.
    bed.cell.on_failed_poll(&"w0".into());
    assert_eq!(bed.cell.expired_workers(last + WORKER_LEASE), []);
    assert_eq!(bed.cell.expired_workers(last + WORKER_LEASE * 2), [("w0".into(), true)]);
    bed.look("w0", &[(task(1, 0, 0), TOKEN)], &[]);
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    assert_eq!(bed.place(), [("w0".to_owned(), task(2, 0, 0), TOKEN)]);
}

#[test]
fn an_end_is_shown_and_acknowledged_only_once_the_store_knows() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.start();
    bed.look("w0", &[], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].visible_state(), JobState::Running);
    assert_eq!(bed.cell.workers["w0"].durable_end, 0);
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    assert_eq!(bed.cell.jobs[&1].visible_state(), JobState::Succeeded);
    assert_eq!(bed.cell.workers["w0"].durable_end, 1);
}

#[test]
fn nothing_inherited_is_started_before_every_worker_was_asked() {
    let mut bed = Bed::new(2);
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.cell.admit(1, accepted(vec![step(1)]), Some(&Progress::default()));
    bed.look("w0", &[], &[]);
    assert_eq!(bed.place(), []);
    bed.look("w1", &[(task(1, 0, 0), 3)], &[]);
    assert_eq!(bed.place(), []);
    bed.look("w1", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Succeeded));
}

/// A worker joins while the holder cannot renew the lead. Another node has claimed it and read the
/// workers before, so nobody tells the new one to refuse the old holder, which would start there what
/// the next holder starts elsewhere.
#[test]
fn a_worker_met_after_the_lead_may_have_passed_on_gets_nothing_until_it_is_renewed() {
    let mut bed = Bed::new(1);
    bed.cell.renewed_at = Some(bed.now);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(8)]), None);
    // Known to whoever claims the lead later.
    assert_eq!(bed.start().len(), 4);
    bed.now += EXCLUSIVE_LEASE + MILLI;
    bed.meet("w1", "m1");
    bed.look("w1", &[], &[]);
    assert_eq!(bed.start(), []);
    bed.cell.renewed_at = Some(bed.now);
    assert_eq!(bed.start().len(), 4);
}

#[test]
fn a_job_that_arrives_during_the_takeover_counts_as_inherited() {
    let mut bed = Bed::new(2);
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.look("w0", &[], &[]);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.place(), []);
    bed.look("w1", &[(task(1, 0, 0), 3)], &[]);
    assert_eq!(bed.place(), []);
}

/// A worker that had died with its box just before the holder did stayed unasked for 5.6 s; nothing of its
/// service was started meanwhile, with 900 workers free, jobs that came seconds later included.
#[test]
fn a_job_whose_node_told_this_scheduler_waits_for_no_worker_once_all_nodes_know_it() {
    let mut bed = Bed::new(2);
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.look("w0", &[], &[]);
    // Nodes that have not heard of this scheduler yet tell the earlier one.
    bed.cell.admit_announced(1, accepted(vec![step(1)]));
    assert_eq!(bed.place(), []);
    bed.cell.known_everywhere_from = Some(clock::now());
    bed.cell.admit_announced(2, accepted(vec![step(1)]));
    // What is only read in the store may have been told to the earlier one.
    bed.cell.admit(3, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), [("w0".to_owned(), task(2, 0, 0), TOKEN)]);
}

#[test]
fn a_job_that_arrives_after_the_earlier_scheduler_gave_up_the_lead_waits_for_no_worker() {
    let mut bed = Bed::new(2);
    bed.cell.predecessor_is_done = true;
    bed.cell.unpolled = bed.cell.workers.keys().cloned().collect();
    bed.look("w0", &[], &[]);
    bed.cell.admit(1, accepted(vec![step(2)]), None);
    bed.cell.admit(2, accepted(vec![step(2)]), Some(&Progress::default()));
    // The earlier scheduler cannot have heard of the first; it may have started the second.
    let starts = bed.start();
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(_, task, _)| task.job == 1));
}

#[test]
fn an_answer_that_was_overtaken_does_not_bring_back_a_run_that_is_over() {
    let mut bed = Bed::new(1);
    bed.look("w0", &[], &[]);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (_, task, run) = bed.start().remove(0);
    bed.cell.on_started(&"w0".into(), task, run, bed.now);
    let before = bed.now;
    bed.look("w0", &[], &[(1, task, run, Outcome::Done)]);
    // Sent earlier, on another connection, and answered while the task still ran.
    bed.now = before;
    bed.look("w0", &[(task, run)], &[]);
    assert!(bed.cell.workers["w0"].allocations.is_empty());
}

#[test]
fn a_worker_whose_machine_has_moved_holds_up_no_later_scheduler() {
    let mut first = Bed::new(2);
    first.look_at_all();
    first.cell.end_incarnations_elsewhere("m1", "another pool");
    let flush = first.cell.take_flush();
    let mut second = Bed::new(0);
    for record in &flush.records {
        match ProgressRecord::decode(record).unwrap() {
            ProgressRecord::Ended(id) => second.cell.restore_ended(id, second.now),
            ProgressRecord::Worker(id, known) => second.cell.restore_worker(id, known, second.now),
            _ => {}
        }
    }
    // The store lists both for a while.
    second.meet("w0", "m0");
    second.meet("w1", "m1");
    let known: Vec<String> = second.cell.workers.keys().map(Incarnation::to_string).collect();
    assert_eq!(known, ["w0"]);
    // What was moved to the pool it is in already goes on.
    first.cell.end_incarnations_elsewhere("m0", "work");
    assert!(first.cell.workers.contains_key(&"w0".into()));
}

#[test]
fn a_run_that_is_found_before_its_job_arrives_is_the_run_of_its_task() {
    let mut bed = Bed::new(2);
    bed.look("w0", &[(task(1, 0, 0), 3)], &[]);
    bed.look("w1", &[], &[]);
    assert_eq!(bed.stops(), []);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.place(), []);
    assert_eq!(bed.cell.workers["w0"].free.cpu, 3_000);
    bed.look("w0", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Succeeded));
}

#[test]
fn a_run_whose_job_never_arrives_is_stopped() {
    let mut bed = Bed::new(1);
    bed.look("w0", &[(task(9, 0, 0), 3)], &[]);
    bed.cell.stop_unknown_jobs(bed.now + Duration::from_secs(10));
    assert_eq!(bed.stops(), [("w0".to_owned(), task(9, 0, 0), 3)]);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_it_is_repeated() {
    let mut bed = Bed::new(2);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, run) = bed.place().remove(0);
    bed.cell.on_unanswered(&worker.as_str().into(), name, run, bed.now);
    assert_eq!(bed.stops(), [(worker.clone(), name, run)]);
    assert_eq!(bed.place(), []);
    // A look that was sent before the stop was answered proves nothing.
    bed.look(&worker, &[], &[]);
    assert_eq!(bed.place(), []);
    bed.cell.on_stopped(&worker.as_str().into(), name, run, bed.now);
    bed.now += MILLI;
    bed.look(&worker, &[], &[]);
    let again = bed.place();
    assert_eq!(again.len(), 1);
    assert!(again[0].2 > run);
    assert_ne!(again[0].0, worker);
}

#[test]
fn the_lease_of_a_silent_worker_runs_out() {
    let mut bed = Bed::new(2);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, _) = bed.start().remove(0);
    bed.miss(&worker);
    assert_eq!(bed.cell.expired_workers(bed.now + WORKER_LEASE / 2), []);
    let later = bed.now + WORKER_LEASE + Duration::from_millis(500);
    assert_eq!(bed.cell.expired_workers(later), [(worker.as_str().into(), true)]);
    bed.cell.expire_runs(&worker.as_str().into());
    bed.now = later;
    let again = bed.place();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1, name);
    assert_ne!(again[0].0, worker);
}

#[test]
fn of_two_lives_on_a_machine_the_one_that_answers_is_the_one_that_lives() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.start();
    // A read that is seconds old tells of an earlier life.
    bed.meet("old", "m0");
    assert!(bed.cell.workers.contains_key(&"w0".into()));
    bed.look("w0", &[(task(1, 0, 0), TOKEN)], &[]);
    assert!(!bed.cell.workers.contains_key(&"old".into()));
    assert_eq!(bed.place(), []);
}

#[test]
fn failures_are_counted_by_run_whoever_hears_of_them_and_when() {
    let mut bed = Bed::new(2);
    bed.look_at_all();
    let mut progress = Progress::default();
    progress.failed.push(((0, 0, 0), vec![7]));
    bed.cell.admit(1, accepted(vec![step(1)]), Some(&progress));
    // The store knows of run 7 already; run 5 is told of late.
    bed.look("w0", &[], &[(1, task(1, 0, 0), 7, Outcome::Failed)]);
    assert_eq!(bed.cell.jobs[&1].end, None);
    bed.look("w1", &[], &[(1, task(1, 0, 0), 5, Outcome::Failed)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Failed));
    assert_eq!(bed.place(), []);
}

#[test]
fn a_task_is_not_moved_off_while_another_of_its_step_may_be_away() {
    let mut bed = Bed::new(3);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![lasting(3)]), None);
    let starts = bed.start();
    assert_eq!(starts.len(), 3);
    for (worker, name, run) in &starts {
        bed.look(worker, &[(*name, *run)], &[]);
    }
    // A worker that is silent may have lost its task.
    bed.cell.on_failed_poll(&"w0".into());
    assert!(!maintenance::evacuate(&mut bed.cell, &"w1".into(), false));
    assert_eq!(bed.stops(), []);
    let at_w0 = starts.iter().find(|start| start.0 == "w0").unwrap();
    bed.look("w0", &[(at_w0.1, at_w0.2)], &[]);
    assert!(!maintenance::evacuate(&mut bed.cell, &"w1".into(), false));
    assert_eq!(bed.stops().len(), 1);
    assert!(!maintenance::evacuate(&mut bed.cell, &"w2".into(), false));
    assert_eq!(bed.stops(), []);
}

#[test]
fn a_task_that_lasts_gets_the_room_of_tasks_that_end() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(4)]), None);
    assert_eq!(bed.start().len(), 4);
    bed.cell.admit(2, accepted(vec![lasting(1)]), None);
    bed.cell.place_ready(bed.now, Duration::from_secs(1));
    assert_eq!(bed.stops().len(), 1);
}

/// What happens: room is made for a task that lasts, and beside the one that gives it another run is stopped, of a job that has not
/// been heard of and may last itself.
/// Why: nothing is known of such a run, so it counts as one that ends by itself and takes no room; the youngest are
/// stopped first, and it was found last.
/// Shown by: reading; no play is known in which it came.
#[test]
fn a_run_whose_job_is_not_known_is_not_stopped_to_make_room() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(4)]), None);
    let mut runs: Vec<(TaskName, Run)> =
        bed.start().into_iter().map(|(_, name, run)| (name, run)).collect();
    runs.push((task(9, 0, 0), 3));
    bed.look("w0", &runs, &[]);
    bed.cell.admit(2, accepted(vec![lasting(1)]), None);
    bed.cell.place_ready(bed.now, Duration::from_secs(1));
    let stopped: Vec<JobId> = bed.stops().into_iter().map(|(_, name, _)| name.job).collect();
    assert_eq!(stopped, [1]);
}

#[test]
fn a_newer_scheduler_ends_this_one() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (worker, name, run) = bed.place().remove(0);
    let life = worker.as_str().into();
    bed.cell.on_fenced(&life, compose_token(TOKEN, bed.cell.workers[&life].fence));
    bed.cell.on_refused(&life, name, run, Some(Refusal::Fenced), bed.now);
    assert!(bed.cell.is_fenced);
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let starts = bed.start();
    assert_matches!(bed.cell.cancel(1), Some(JobState::Canceled));
    assert_eq!(bed.stops(), starts);
    bed.look("w0", &[], &[(1, task(1, 0, 0), TOKEN, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Canceled));
    assert_eq!(bed.cell.cancel(2), None);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![Step { gang: true, ..step(5) }]), None);
    assert_eq!(bed.place(), []);
    bed.meet("w9", "m9");
    bed.look("w9", &[], &[]);
    let starts = bed.start();
    assert_eq!(starts.len(), 5);
    assert!(starts.iter().all(|start| start.2 == starts[0].2));
}

/// A scheduler under which `job` was started and one of the workers fell silent, and its successor,
/// which has heard from another worker only. Returns the successor and the silent worker.
fn taken_over(job: &Accepted) -> (Bed, String) {
    let mut first = Bed::new(2);
    first.look_at_all();
    first.cell.admit(1, job.clone(), None);
    let (silent, ..) = first.start().remove(0);
    first.cell.on_failed_poll(&silent.as_str().into());
    let flush = first.cell.take_flush();
    let mut records = flush.records.iter().map(|record| ProgressRecord::decode(record).unwrap());
    let known = records.find_map(|record| match record {
        ProgressRecord::Worker(id, known)
            if id == silent.as_str().into() && known.unresponsive_with.is_some() =>
        {
            Some(known)
        }
        _ => None,
    });

    let mut second = Bed::new(0);
    second.cell.restore_worker(silent.as_str().into(), known.unwrap(), second.now);
    second.meet(&silent, "m0");
    second.meet("other", "m9");
    second.cell.unpolled = second.cell.workers.keys().cloned().collect();
    second.cell.admit(1, job.clone(), Some(&Progress::default()));
    second.look("other", &[], &[]);
    (second, silent)
}

#[test]
fn a_gang_of_which_a_member_may_run_is_not_started() {
    let (mut bed, _) = taken_over(&accepted(vec![Step { gang: true, ..step(2) }]));
    assert_eq!(bed.start(), []);
}

#[test]
fn a_worker_that_fell_silent_before_the_takeover_holds_up_only_what_it_may_run() {
    let (mut second, silent) = taken_over(&accepted(vec![step(1)]));
    second.cell.admit(2, accepted(vec![step(1)]), Some(&Progress::default()));
    let starts = second.start();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, task(2, 0, 0));

    // Heard of again, it is given work only once the store knows.
    second.look(&silent, &[(task(1, 0, 0), TOKEN)], &[]);
    assert!(!second.cell.workers[silent.as_str()].is_schedulable(second.now));
    let flush = second.cell.take_flush();
    second.cell.on_flushed(&flush);
    assert!(second.cell.workers[silent.as_str()].is_schedulable(second.now));
}

#[test]
fn a_machine_whose_upkeep_has_begun_is_known_to_the_next_scheduler() {
    let mut bed = Bed::new(1);
    bed.cell.record_maintenance_started(7, "m0");
    let flush = bed.cell.take_flush();
    let wave = flush.records.iter().find(|record| record.key == "wave/7").unwrap();
    assert_eq!(
        ProgressRecord::decode(wave).unwrap(),
        ProgressRecord::Wave(7, vec!["m0".to_owned()])
    );
}

#[test]
fn an_end_that_is_told_before_its_job_arrives_counts_and_is_not_acknowledged_until_then() {
    let mut bed = Bed::new(2);
    bed.look_at_all();
    bed.look("w0", &[], &[(1, task(1, 0, 0), 3, Outcome::Done)]);
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    assert_eq!(bed.cell.workers["w0"].durable_end, 0);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.place(), []);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Succeeded));
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    assert_eq!(bed.cell.workers["w0"].durable_end, 1);
    // The end of a job that never arrives is let go after a while.
    bed.look("w0", &[], &[(2, task(9, 0, 0), 3, Outcome::Done)]);
    bed.cell.stop_unknown_jobs(bed.now + Duration::from_secs(10));
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    assert_eq!(bed.cell.workers["w0"].durable_end, 2);
}

#[test]
fn a_worker_whose_entry_ran_out_with_the_store_away_works_on_until_it_should_be_back() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let back = bed.now + Duration::from_millis(2_000);
    bed.cell.mark_unlisted("w0", Some(back));
    assert_eq!(bed.start().len(), 1);
    bed.now = back;
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), vec![]);
    // Without an outage a worker that is not listed gets nothing at once.
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.cell.mark_unlisted("w0", None);
    assert_eq!(bed.start(), vec![]);
}

#[test]
fn tasks_that_last_leave_a_worker_that_goes_without_a_word_one_at_a_time() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    let step = Step { max_per_worker: 0, ..lasting(2) };
    bed.cell.admit(1, accepted(vec![step]), None);
    let starts = bed.start();
    assert_eq!(starts.len(), 2);
    let running: Vec<(TaskName, Run)> = starts.iter().map(|(_, task, run)| (*task, *run)).collect();
    bed.look("w0", &running, &[]);
    assert_eq!(bed.cell.leaving_unannounced(bed.now), Vec::<Incarnation>::new());
    bed.cell.mark_unlisted("w0", None);
    bed.meet("w1", "m1");
    bed.look("w1", &[], &[]);
    for _ in 0..3 {
        for id in bed.cell.leaving_unannounced(bed.now) {
            maintenance::evacuate(&mut bed.cell, &id, false);
        }
    }
    let stops = bed.stops();
    assert_eq!(stops.len(), 1, "one may be away, so one is stopped: {stops:?}");
    let (_, gone, _) = stops[0];
    bed.now += MILLI;
    let left: Vec<(TaskName, Run)> =
        running.iter().copied().filter(|(task, _)| *task != gone).collect();
    bed.cell.on_stopped(&"w0".into(), gone, running[0].1, bed.now);
    bed.now += MILLI;
    bed.look("w0", &left, &[]);
    let starts = bed.start();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].0, "w1");
}

#[test]
fn a_worker_that_was_emptied_as_leaving_and_is_listed_again_takes_work() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.mark_unlisted("w0", None);
    for id in bed.cell.leaving_unannounced(bed.now) {
        maintenance::evacuate(&mut bed.cell, &id, false);
    }
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), vec![]);
    bed.meet("w0", "m0");
    assert_eq!(bed.start().len(), 1);
}

#[test]
fn room_for_a_task_that_lasts_is_made_only_where_it_may_run() {
    let mut bed = Bed::new(1);
    let peer = Peer { incarnation: "w9".into(), addr: addr() };
    let labels = vec!["big".to_owned()];
    bed.cell.discover(peer, Entry { labels, ..entry("m9") }, bed.now);
    bed.look_at_all();
    // The one worker with the label is full, the other one is empty.
    let full = Step { requires: Some("big".to_owned()), ..step(4) };
    bed.cell.admit(1, accepted(vec![full]), None);
    let starts = bed.start();
    assert!(starts.len() == 4 && starts.iter().all(|(worker, ..)| worker == "w9"));
    bed.cell.admit(
        2,
        accepted(vec![Step { requires: Some("big".to_owned()), ..lasting(1) }]),
        None,
    );
    bed.cell.place_ready(bed.now, Duration::from_secs(1));
    let stops = bed.stops();
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert_eq!(stops[0].0, "w9");
}

#[test]
fn a_pool_wants_as_many_workers_as_a_gang_that_waits_needs() {
    let mut bed = Bed::new(2);
    bed.look_at_all();
    // Nine tasks of a core and a half need five workers of four cores; by their work alone, which
    // is over in a moment, two would do.
    let gang = Step { gang: true, cpu: 1_500, estimate_ms: 10, ..step(9) };
    bed.cell.admit(1, accepted(vec![gang]), None);
    assert_eq!(bed.start(), vec![]);
    let loads = loads(&bed.cell, bed.now);
    assert_eq!(loads["work"].min_workers, 5);
    assert!(!loads["work"].can_spare(4_000));
    for number in 2..5 {
        bed.meet(&format!("w{number}"), &format!("m{number}"));
    }
    bed.look_at_all();
    assert_eq!(bed.start().len(), 9);
}

#[test]
fn a_finished_job_is_let_go_of_in_every_partition_that_keeps_it() {
    let mut bed = Bed::new(1);
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    bed.cell.cancel(1);
    let flush = bed.cell.take_flush();
    bed.cell.on_flushed(&flush);
    let keep = Duration::from_secs(1);
    let later = clock::now() + Duration::from_secs(60);
    // Nobody knows yet where the store keeps it; a record left there would be a new job to the next
    // scheduler.
    assert!(bed.cell.finished_jobs(keep, later).is_empty());
    let key = JobKey { id: 1, account: None };
    bed.cell.record_kept(key.clone(), 3);
    bed.cell.record_kept(key.clone(), 7);
    let finished = [FinishedJob { key, cancelled: true, kept_in: [3, 7].into() }];
    assert_eq!(bed.cell.finished_jobs(keep, later), finished);
    // Its end is forgotten last, once no partition keeps it.
    let ends = |bed: &mut Bed| {
        let records = bed.cell.take_flush().records;
        records.iter().filter(|record| record.key == format!("{:016x}", 1)).count()
    };
    assert_eq!(ends(&mut bed), 0);
    assert_eq!(bed.cell.finished_jobs(keep, later), finished);
    bed.cell.forget_job(1);
    assert_eq!(ends(&mut bed), 1);
    assert!(bed.cell.finished_jobs(keep, later).is_empty());
}

#[test]
fn a_worker_whose_entry_was_overwritten_gets_nothing_new_and_keeps_what_it_runs() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(1)]), None);
    let (_, _, run) = bed.start().remove(0);
    assert!(bed.cell.record_unusable("w0", "misshapen"));
    assert!(!bed.cell.record_unusable("w0", "misshapen"), "told once");
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    bed.look("w0", &[(task(1, 0, 0), run)], &[]);
    assert_eq!(bed.start(), []);
    assert_eq!(bed.stops(), [], "nothing is taken from it");
    bed.look("w0", &[], &[(1, task(1, 0, 0), run, Outcome::Done)]);
    assert_eq!(bed.cell.jobs[&1].end, Some(JobState::Succeeded));
    // Its own entry is back.
    bed.meet("w0", "m0");
    assert_eq!(bed.start().len(), 1);
}

#[test]
fn entries_of_others_are_remembered_in_bounds() {
    let mut bed = Bed::new(1);
    for number in 0..1_000 {
        bed.cell.record_unusable(&format!("x{number}"), "unreadable");
    }
    assert_eq!(bed.cell.unusable.len(), 256);
    assert_eq!(bed.cell.workers.len(), 1);
    bed.cell.mark_unlisted("x0", None);
    assert_eq!(bed.cell.unusable.len(), 255);
}

/// A worker's room halves while it is full: it gets nothing, nothing is stopped, and it gets more once it fits.
#[test]
fn a_worker_whose_room_has_shrunk_gets_nothing_until_what_it_runs_fits() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(4)]), None);
    let started = bed.start();
    assert_eq!(started.len(), 4);
    let resize = |bed: &mut Bed, cpu: u32| {
        let peer = Peer { incarnation: "w0".into(), addr: addr() };
        let room = Resources { cpu, memory_mb: 4_000, gpu: 0 };
        bed.cell.discover(peer, Entry { capacity: room, ..entry("m0") }, bed.now);
    };
    resize(&mut bed, 2_000);
    bed.cell.admit(2, accepted(vec![step(1)]), None);
    assert_eq!(bed.start(), []);
    assert_eq!(bed.stops(), []);
    let runs: Vec<(TaskName, Run)> = started.iter().map(|(_, task, run)| (*task, *run)).collect();
    // Two have ended: the other two fill it.
    let ends = [(1, runs[0].0, runs[0].1, Outcome::Done), (2, runs[1].0, runs[1].1, Outcome::Done)];
    bed.look("w0", &runs[2..], &ends);
    assert_eq!(bed.start(), []);
    resize(&mut bed, 4_000);
    assert_eq!(bed.start().len(), 1);
}

/// A task that lasts gets the room of enough others: of a worker that is two tasks over its room, three have to be
/// stopped for one.
#[test]
fn room_is_made_for_what_is_missing_too() {
    let mut bed = Bed::new(1);
    bed.look_at_all();
    bed.cell.admit(1, accepted(vec![step(4)]), None);
    assert_eq!(bed.start().len(), 4);
    let peer = Peer { incarnation: "w0".into(), addr: addr() };
    let room = Resources { cpu: 2_000, memory_mb: 4_000, gpu: 0 };
    bed.cell.discover(peer, Entry { capacity: room, ..entry("m0") }, bed.now);
    bed.cell.admit(2, accepted(vec![lasting(1)]), None);
    bed.cell.place_ready(bed.now, Duration::from_secs(1));
    assert_eq!(bed.stops().len(), 3);
}

#[test]
fn a_record_of_a_job_that_nobody_could_keep_in_memory_is_not_taken_in() {
    let mut job = accepted(vec![step(1)]);
    job.job.repetitions = u32::MAX;
    let record = spokelift_lib::batch::record::accepted(1, &job);
    assert_matches!(JobRecord::decode(&record), Err(RecordError::Job(..)));
}
