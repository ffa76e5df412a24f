//! Plays in which the leader is cut off from the store and from all other daemons, again and again,
//! while other daemons do not reach some of the workers.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::platform::network::Cut;
use crate::platform::site::Options;
use crate::platform::site::Site;

/// Number of long-running jobs, each of [`LONG_RUNNING_TASKS`].
const LONG_RUNNING_JOBS: u64 = 16;
/// Number of tasks of a long-running job.
const LONG_RUNNING_TASKS: u64 = 5;
/// Time between two submissions of short jobs.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(120);
/// Time after the last round in which what was cut off is found again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What is cut in each round, and for how long.
#[derive(Clone, Debug)]
pub struct Cuts {
    /// Number of rounds.
    pub rounds: usize,
    /// Time from one round to the next.
    pub interval: Duration,
    /// Fraction of the workers that some daemons do not reach.
    pub workers: f64,
    /// Fraction of the daemons that do not reach such a worker.
    pub nodes: f64,
    /// For how long they do not.
    pub worker_time: Duration,
    /// How much later the leader is cut off.
    pub leader_delay: Duration,
    /// Which directions of its paths are cut.
    pub leader_cut: Cut,
    /// Number of other daemons that are cut off together with it; they reach each other.
    pub companions: usize,
    /// For how long it is cut off.
    pub leader_time: Duration,
}

impl Default for Cuts {
    fn default() -> Cuts {
        Cuts {
            rounds: 1,
            interval: Duration::from_secs(17),
            workers: 0.5,
            nodes: 0.5,
            worker_time: Duration::from_secs(10),
            leader_delay: Duration::from_millis(200),
            leader_cut: Cut::Both,
            companions: 0,
            leader_time: Duration::from_secs(11),
        }
    }
}

/// The result of a play.
#[derive(Debug)]
pub struct Report {
    /// Number of task starts that workers observed.
    pub starts: u32,
    /// The leader that was cut off in each round, and the one after it.
    pub leaders: Vec<(usize, usize)>,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

/// Plays on a site with links.
///
/// # Errors
///
/// If the site cannot be started.
pub async fn run(program: &str, options: Options, cuts: &Cuts, seed: u64) -> io::Result<Report> {
    let site = Arc::new(Site::start_with(program, options).await?);
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0..LONG_RUNNING_JOBS {
        site.submit_until_accepted(&format!("{number:016x}"), long_running_job()).await;
    }
    site.wait_until("the long-running tasks run", async |site| {
        (0..LONG_RUNNING_JOBS).all(|number| {
            u64::from(site.ledger.running_tasks(&format!("{number:016x}"))) == LONG_RUNNING_TASKS
        })
    })
    .await;
    let clients = tokio::spawn(submit_short_jobs(site.clone()));
    let mut leaders = Vec::new();
    for _ in 0..cuts.rounds {
        let next_round = Instant::now() + cuts.interval;
        leaders.push(run_round(&site, cuts, &mut rng).await);
        sleep(next_round.saturating_duration_since(Instant::now())).await;
    }
    sleep(SETTLE_TIME).await;
    clients.abort();
    let (starts, violations) = (site.ledger.start_count(), site.ledger.violations());
    if let Some(folder) = std::env::var_os("SPOKELIFT_PLAY_LOGS") {
        site.save_diagnostics(folder.as_ref(), &[]).await?;
    }
    Ok(Report { starts, leaders, violations })
}

/// One round; returns the leader that is cut off and the one when it is back.
async fn run_round(site: &Site, cuts: &Cuts, rng: &mut StdRng) -> (usize, usize) {
    let paths = draw_paths(site, cuts, rng);
    let cut_workers = |cut| {
        for (node, machine) in &paths {
            site.network().cut_worker(*node, machine, cut);
        }
    };
    let began = Instant::now();
    cut_workers(Cut::Both);
    sleep(cuts.leader_delay).await;
    let leader = site.leader().unwrap_or_default();
    let mut others: Vec<usize> = (0..site.nodes.len()).filter(|node| *node != leader).collect();
    others.shuffle(rng);
    let isolated: Vec<usize> = others.into_iter().take(cuts.companions).chain([leader]).collect();
    site.isolate_nodes(&isolated, cuts.leader_cut);
    let workers_back = began + cuts.worker_time;
    let leader_back = began + cuts.leader_delay + cuts.leader_time;
    sleep(workers_back.min(leader_back).saturating_duration_since(Instant::now())).await;
    if workers_back <= leader_back {
        cut_workers(Cut::None);
        sleep(leader_back.saturating_duration_since(Instant::now())).await;
    }
    site.isolate_nodes(&isolated, Cut::None);
    sleep(workers_back.saturating_duration_since(Instant::now())).await;
    cut_workers(Cut::None);
    (leader, site.leader().unwrap_or_default())
}

/// Draws the paths from daemons to workers that are cut in a round.
fn draw_paths(site: &Site, cuts: &Cuts, rng: &mut StdRng) -> Vec<(usize, String)> {
    let count = (cuts.nodes * site.nodes.len() as f64).round() as usize;
    let mut paths = Vec::new();
    for worker in site.machines.workers() {
        if rng.random::<f64>() >= cuts.workers {
            continue;
        }
        let mut nodes: Vec<usize> = (0..site.nodes.len()).collect();
        nodes.shuffle(rng);
        paths.extend(nodes.into_iter().take(count).map(|node| (node, worker.machine.clone())));
    }
    paths
}

fn long_running_job() -> Value {
    let step = json!({ "count": LONG_RUNNING_TASKS, "cpu": 500, "memMb": 16, "longRunning": true });
    json!({ "spec": "cpu=500 mem=16", "steps": [step] })
}

/// Submits short jobs to one daemon after another until it is stopped.
async fn submit_short_jobs(site: Arc<Site>) {
    for number in LONG_RUNNING_JOBS.. {
        let step = json!({ "count": 6, "cpu": 800, "memMb": 16, "estimateMs": 900 });
        let job = json!({ "spec": "cpu=800 mem=16 ms=900", "steps": [step] });
        let (site, node) = (site.clone(), number as usize % site.nodes.len());
        // A client that gets no answer in time gives its job up.
        tokio::spawn(async move { site.submit(node, &format!("{number:016x}"), job).await });
        sleep(SUBMIT_INTERVAL).await;
    }
}
