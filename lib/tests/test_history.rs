//! The way from a job's id to its cause at any load: the leader keeps what it decided about each
//! job, and the view of the job shows it. It is bounded for each job and in all.

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::history::Decision;
use spokelift_lib::batch::history::History;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::view;
use spokelift_lib::transport::clock;
use spokelift_platform::job::JobId;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::unused_addr;

const TOKEN: u64 = 10;
const JOB: JobId = 7;
const TASK: TaskName = TaskName { job: JOB, repetition: 0, step: 0, index: 0 };
/// Later than any objective of a job of the tests.
const LATE: Duration = Duration::from_secs(10_000);

struct Fixture {
    cell: Cell,
    now: Instant,
    clock: u64,
}

impl Fixture {
    fn new(workers: &[&str]) -> Fixture {
        let mut fixture = Fixture { cell: Cell::new(TOKEN), now: clock::now(), clock: 1_000 };
        for id in workers {
            let peer = Peer { incarnation: (*id).into(), addr: unused_addr() };
            fixture.cell.discover(peer, entry(&format!("m-{id}"), 8_000), fixture.now);
            fixture.poll(id, Vec::new(), Vec::new());
        }
        fixture
    }

    fn poll(&mut self, id: &str, running: Vec<Running>, ended: Vec<End>) {
        let sent = self.now;
        self.now += Duration::from_millis(1);
        self.clock += 1;
        let response = PollResponse { clock: self.clock, running, ended, birth_ms: None };
        self.cell.on_poll(&id.into(), sent, self.now, response);
    }

    fn admit(&mut self) {
        let step =
            Step { count: 1, cpu: 1_000, memory_mb: 100, estimate_ms: 500, ..Step::default() };
        let accepted = Accepted { max_attempts: 1, ..accepted(vec![step]) };
        self.cell.admit(JOB, accepted, None);
    }

    /// Places what waits, at a time since the Unix epoch; returns the starts.
    fn place(&mut self, wall: Duration) -> Vec<(String, Run)> {
        // Backoffs have ended.
        self.now += Duration::from_secs(3);
        self.cell.place_ready(self.now, wall);
        let orders = std::mem::take(&mut self.cell.outbox);
        let starts = orders.into_iter().filter_map(|order| match order {
            Order::Start { peer, run, .. } => Some((peer.incarnation.to_string(), run)),
            _ => None,
        });
        starts.collect()
    }

    fn shown(&self) -> Vec<String> {
        let job = view::job(&self.cell, JOB, self.now).unwrap();
        job.history.into_iter().map(|decision| decision.what).collect()
    }
}

#[test]
fn a_job_shows_what_was_decided_about_it() {
    let mut fixture = Fixture::new(&["w1"]);
    fixture.admit();
    let (_, run) = fixture.place(Duration::from_secs(1)).remove(0);
    fixture.cell.on_refused(&"w1".into(), TASK, run, Some(Refusal::NoRoom), fixture.now);
    // Put last, which is said once.
    let (_, second) = fixture.place(LATE).remove(0);
    fixture.cell.on_started(&"w1".into(), TASK, second, fixture.now);
    let end = End {
        number: 1,
        task: TASK,
        run: second,
        outcome: Outcome::Failed,
        checkpoint: String::new(),
    };
    fixture.poll("w1", Vec::new(), vec![end]);
    let shown = fixture.shown();
    let expected = [
        format!("run {run} started on w1 after"),
        "start on w1 failed: NoRoom".to_owned(),
        "put last: its objective is out of reach".to_owned(),
        format!("run {second} started on w1 after"),
        "failed on w1: 1 of 1".to_owned(),
        "job ended: Failed".to_owned(),
    ];
    assert_eq!(shown.len(), expected.len(), "{shown:#?}");
    for (shown, expected) in shown.iter().zip(&expected) {
        assert!(shown.starts_with(expected), "{shown} is not {expected}");
    }
}

#[test]
fn a_lost_worker_and_a_found_run_are_shown() {
    let mut fixture = Fixture::new(&["w1", "w2"]);
    fixture.admit();
    // A run of an earlier leader.
    let found = Running { task: TASK, run: 3, checkpoint: String::new(), percent: 100, figure: 0 };
    fixture.poll("w1", vec![found], Vec::new());
    fixture.cell.remove_worker(&"w1".into(), "its box is gone");
    let (worker, run) = fixture.place(Duration::from_secs(1)).remove(0);
    fixture.cell.stop_for(&worker.as_str().into(), TASK, "its worker is being emptied");
    let shown = fixture.shown();
    assert_eq!(shown.len(), 4, "{shown:#?}");
    assert_eq!(shown[0], "run of an earlier leader found on w1");
    assert_eq!(shown[1], "lost with w1");
    assert!(shown[2].starts_with(&format!("run {run} started on {worker} after")), "{shown:#?}");
    assert_eq!(shown[3], "stopped on w2: its worker is being emptied");
}

#[test]
fn what_holds_a_task_is_said_once_however_often_it_is_found() {
    let mut fixture = Fixture::new(&[]);
    fixture.admit();
    for _ in 0..100 {
        assert!(fixture.place(LATE).is_empty());
    }
    assert_eq!(fixture.shown(), ["put last: its objective is out of reach"]);
}

#[test]
fn of_a_job_the_first_and_the_latest_decisions_are_kept() {
    let mut history = History::default();
    for run in 0..1_000 {
        let (worker, waited) = ("w1".into(), Duration::ZERO);
        history.record(TASK, Decision::Started { worker, run, waited });
    }
    let (entries, left_out) = history.of_job(JOB);
    let runs: Vec<Run> = entries
        .map(|entry| match entry.decision {
            Decision::Started { run, .. } => run,
            _ => panic!("{entry:?}"),
        })
        .collect();
    assert_eq!(runs[..8], [0, 1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(runs[8..].to_vec(), (976..1_000).collect::<Vec<_>>());
    assert_eq!(left_out, 1_000 - 32);
}

#[test]
fn the_oldest_jobs_are_forgotten_beyond_the_total() {
    let mut history = History::default();
    for job in 0..200_000 {
        history.record(TaskName { job, ..TASK }, Decision::PutLast);
        history.record_job(job, Decision::HeldByQuota);
        assert!(history.decisions() <= 65_536);
    }
    assert_eq!(history.of_job(0).0.count(), 0);
    assert_eq!(history.of_job(199_999).0.count(), 2);
    assert_eq!(history.of_job(200_000 - 32_768).0.count(), 2);
    assert_eq!(history.of_job(200_000 - 32_769).0.count(), 0);
}
