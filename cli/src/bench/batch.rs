//! Benchmark of the scheduler's processor time for batch jobs. It drives a [`Cell`] with a load
//! whose peak moves from service to service, in virtual time and without a network, and times each
//! part of the work.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::cell::Order;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Accepted;
use spokelift_platform::job::Job;
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

use crate::args::BenchBatch;
use crate::bench::slope::Slope;
use crate::bench::slope::fit_line;
use crate::error::Error;

/// Numbers of workers of the simulated sites.
const WORKER_COUNTS: [usize; 3] = [50, 350, 1_100];
/// Services; the workers are divided evenly among them.
const SERVICES: usize = 5;
/// Virtual time between two steps of the simulation.
const TICK: Duration = Duration::from_millis(5);
/// Time for which the demand of one service is high, before the peak moves to the next.
const PEAK_DURATION: Duration = Duration::from_secs(5);
/// Mean arrival rate of tasks for each worker: about half of what a worker can run.
const TASKS_PER_WORKER_PER_S: f64 = 1.3;
/// Tasks of a job, and the millicores and run time of each.
const TASKS_PER_JOB: u32 = 8;
const TASK_CPU: u32 = 4_500;
const TASK_DURATION: Duration = Duration::from_millis(800);
/// Time until a worker's response to a start, and the round-trip time of a poll.
const RESPONSE_DELAY: Duration = Duration::from_millis(4);
/// Time between two rounds of box placement, and how often each computes the load of all services.
const LOADS_INTERVAL: Duration = Duration::from_millis(300);
const LOADS_PER_INTERVAL: u32 = 3;

/// Results for one number of workers.
#[derive(Clone, Debug, Serialize)]
struct Row {
    workers: usize,
    jobs: u64,
    tasks: u64,
    rounds: u64,
    /// Microseconds for each task, by part of the work.
    micros: BTreeMap<&'static str, f64>,
    micros_in_all: f64,
    /// Workers examined for each task.
    #[serde(rename = "weighed")]
    examined: f64,
}

/// All results.
#[derive(Debug, Serialize)]
struct Report {
    rows: Vec<Row>,
    /// Microseconds for each task, as a function of the number of workers.
    slope: Slope,
}

/// Simulates the load at each size and prints the measurements.
pub fn run(args: &BenchBatch, json: bool) -> Result<(), Error> {
    let time = Duration::from_secs(u64::from(args.seconds.clamp(2, 120)));
    let rows: Vec<Row> = WORKER_COUNTS
        .iter()
        .map(|workers| Simulation::new(*workers, args.seed).run(time))
        .collect();
    let points = rows.iter().map(|row| (row.workers as f64, row.micros_in_all));
    let report = Report { slope: fit_line(points), rows };
    println!("{}", table(&report));
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn table(report: &Report) -> String {
    let mut lines = Vec::new();
    for row in &report.rows {
        let parts = row.micros.iter().map(|(part, micros)| format!("{part} {micros:.1}"));
        let parts = parts.collect::<Vec<_>>().join(", ");
        lines.push(format!(
            "{} workers: {} tasks of {} jobs, {} rounds, {:.1} us a task ({parts}), {:.1} workers weighed",
            row.workers, row.tasks, row.jobs, row.rounds, row.micros_in_all, row.examined
        ));
    }
    lines.push(format!(
        "slope: {:.1} us a task + {:.4} a worker",
        report.slope.base, report.slope.per
    ));
    lines.join("\n")
}

/// Message of a worker that is due at a later virtual time.
enum WorkerEvent {
    Started(TaskName, Run),
    Ended(TaskName, Run),
}

struct Simulation {
    cell: Cell,
    rng: StdRng,
    workers: usize,
    started_at: Instant,
    now: Instant,
    jobs: u64,
    /// Pending messages, by due time and worker.
    events: BTreeMap<(Instant, usize), Vec<WorkerEvent>>,
    running: Vec<Vec<(TaskName, Run)>>,
    last_end: Vec<u64>,
    time_spent: BTreeMap<&'static str, Duration>,
    rounds: u64,
    tasks: u64,
}

impl Simulation {
    fn new(workers: usize, seed: u64) -> Simulation {
        let now = Instant::now();
        let mut simulation = Simulation {
            cell: Cell::new(1),
            rng: StdRng::seed_from_u64(seed),
            workers,
            started_at: now,
            now,
            jobs: 0,
            events: BTreeMap::new(),
            running: vec![Vec::new(); workers],
            last_end: vec![0; workers],
            time_spent: BTreeMap::new(),
            rounds: 0,
            tasks: 0,
        };
        for number in 0..workers {
            let addr = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1);
            simulation.cell.discover(
                Peer { incarnation: worker_id(number).into(), addr },
                worker_entry(number, addr),
                now,
            );
            simulation.poll(number, Vec::new());
        }
        simulation.time_spent.clear();
        simulation
    }

    /// Runs `work` and adds its time to that of a part.
    fn timed<T>(&mut self, part: &'static str, work: impl FnOnce(&mut Simulation) -> T) -> T {
        let started_at = Instant::now();
        let result = work(self);
        *self.time_spent.entry(part).or_default() += started_at.elapsed();
        result
    }

    fn run(mut self, time: Duration) -> Row {
        let mut loads_at = self.now;
        while self.now - self.started_at < time {
            self.now += TICK;
            self.admit_jobs();
            self.deliver_events();
            self.place_tasks();
            self.flush();
            if self.now >= loads_at {
                loads_at = self.now + LOADS_INTERVAL;
                self.timed("loads", |simulation| {
                    for _ in 0..LOADS_PER_INTERVAL {
                        std::hint::black_box(loads(&simulation.cell, simulation.now));
                    }
                });
            }
        }
        let tasks = self.tasks.max(1) as f64;
        let each = |time: &Duration| time.as_secs_f64() * 1e6 / tasks;
        let micros: BTreeMap<_, _> =
            self.time_spent.iter().map(|(part, time)| (*part, each(time))).collect();
        Row {
            workers: self.workers,
            jobs: self.jobs,
            tasks: self.tasks,
            rounds: self.rounds,
            micros_in_all: micros.values().sum(),
            micros,
            examined: self.cell.examined_workers as f64 / tasks,
        }
    }

    /// Admits random jobs, most of them for the service with the demand peak.
    fn admit_jobs(&mut self) {
        let peak = (self.now - self.started_at).as_millis() / PEAK_DURATION.as_millis();
        let peak_service = peak as usize % SERVICES;
        let jobs_per_s = TASKS_PER_WORKER_PER_S * self.workers as f64 / f64::from(TASKS_PER_JOB);
        for service in 0..SERVICES {
            let fraction = if service == peak_service { 0.8 } else { 0.05 };
            if self.rng.random::<f64>() < jobs_per_s * fraction * TICK.as_secs_f64() {
                self.jobs += 1;
                let (job, accepted) = (self.jobs, accepted_job(service));
                self.timed("admit", |simulation| simulation.cell.admit(job, accepted, None));
            }
        }
    }

    /// Delivers the messages that are due: starts, and ends as poll responses.
    fn deliver_events(&mut self) {
        let later = self.events.split_off(&(self.now, usize::MAX));
        for ((_, worker), events) in std::mem::replace(&mut self.events, later) {
            let mut ended = Vec::new();
            for event in events {
                match event {
                    WorkerEvent::Started(task, run) => {
                        let now = self.now;
                        self.timed("start", |simulation| {
                            simulation.cell.on_started(&worker_id(worker).into(), task, run, now)
                        });
                    }
                    WorkerEvent::Ended(task, run) => {
                        self.running[worker].retain(|running| *running != (task, run));
                        self.last_end[worker] += 1;
                        let (number, checkpoint) = (self.last_end[worker], String::new());
                        ended.push(End { number, task, run, outcome: Outcome::Done, checkpoint });
                    }
                }
            }
            if !ended.is_empty() {
                self.poll(worker, ended);
            }
        }
    }

    fn poll(&mut self, worker: usize, ended: Vec<End>) {
        let running = self.running[worker].iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        });
        let clock = 1_000 + (self.now - self.started_at).as_micros() as u64;
        let response = PollResponse { clock, running: running.collect(), ended, birth_ms: None };
        let now = self.now;
        self.timed("look", |simulation| {
            simulation.cell.on_poll(&worker_id(worker).into(), now - RESPONSE_DELAY, now, response)
        });
    }

    fn place_tasks(&mut self) {
        let (now, wall) = (self.now, self.now - self.started_at);
        self.timed("place", |simulation| {
            if simulation.cell.needs_placement() {
                simulation.rounds += 1;
                simulation.cell.place_ready(now, wall);
            }
        });
        for order in std::mem::take(&mut self.cell.outbox) {
            let Order::Start { peer, task, run, .. } = order else { continue };
            let worker: usize = peer.incarnation.to_string()[1..]
                .parse()
                .expect("incarnation ids are `w` and a number");
            self.tasks += 1;
            self.running[worker].push((task, run));
            let mut schedule = |delay: Duration, event: WorkerEvent| {
                self.events.entry((now + delay, worker)).or_default().push(event);
            };
            schedule(RESPONSE_DELAY, WorkerEvent::Started(task, run));
            schedule(TASK_DURATION, WorkerEvent::Ended(task, run));
        }
    }

    fn flush(&mut self) {
        self.timed("flush", |simulation| {
            if simulation.cell.needs_flush() {
                let flush = simulation.cell.take_flush();
                simulation.cell.on_flushed(&flush);
            }
        });
    }
}

fn worker_id(number: usize) -> String {
    format!("w{number}")
}

fn worker_entry(number: usize, address: SocketAddr) -> Entry {
    Entry {
        service: format!("service-{}", number % SERVICES),
        address,
        hall: "hall-1".to_owned(),
        draining: false,
        capacity: Resources { cpu: 32_000, memory_mb: 128_000, gpu: 0 },
        labels: vec![format!("r1-{}", number / 12)],
        leaves_in_ms: None,
        machine: Some(format!("m{number}")),
        birth_ms: None,
    }
}

fn accepted_job(service: usize) -> Accepted {
    let step = Step {
        count: TASKS_PER_JOB,
        cpu: TASK_CPU,
        memory_mb: 1_000,
        estimate_ms: TASK_DURATION.as_millis() as u64,
        ..Step::default()
    };
    Accepted {
        job: Job {
            spec: "bench".to_owned(),
            steps: vec![step],
            repetitions: 0,
            first_run_ms: 0,
            interval_ms: 0,
        },
        queue: format!("queue-{service}"),
        service: format!("service-{service}"),
        priority: 0,
        max_attempts: 3,
        needs_advice: false,
        objective_ms: 600,
        stretch_percent: 160,
        at: Duration::ZERO,
        account: None,
    }
}
