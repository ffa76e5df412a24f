//! A soak test: real daemons under random faults of their environment, checked against the answers
//! that clients received and the runs that workers observed.
//!
//! A seed determines the jobs and the schedule of faults; the timing of the processes differs
//! between runs.

mod accounts;
mod checks;
mod client;
mod cuts;
mod schedule;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::sleep;

use crate::platform::site::Options;
use crate::platform::site::Site;
use crate::platform::soak::checks::find_violations;
use crate::platform::soak::client::ClientJob;
use crate::platform::soak::schedule::Action;

/// Number of daemons.
pub const NODES: usize = 4;
/// Number of machines with a worker at the start.
const WORKERS: usize = 8;
/// Number of machines that are switched off at the start.
const RESERVE: usize = 2;
/// Number of machines.
pub const MACHINES: usize = WORKERS + RESERVE;
/// Number of workers in a shard with an even seed; with an odd seed the leader's node dispatches to
/// all workers.
const WORKERS_PER_SHARD: usize = 3;
/// From this seed on, workers keep their ids across restarts. Below it, each incarnation has an id
/// of its own.
pub const REUSED_IDS_FROM_SEED: u64 = 1_000;
/// From this seed on, jobs belong to accounts, whose keys and quotas change.
pub const ACCOUNTS_FROM_SEED: u64 = 2_000;
/// From this seed on, the daemons have links, which are cut; their workers have ids of their own, and there
/// are no accounts.
pub const LINKS_FROM_SEED: u64 = 3_000;
/// Separates the random numbers of the accounts from those of the other faults.
const ACCOUNT_SEED_MASK: u64 = 0xacc0_1247;
/// Number of clients that submit jobs concurrently.
const CLIENTS: u64 = 3;
/// Separates the random numbers of black-holed connections from those of the other faults.
const BLACK_HOLE_SEED_MASK: u64 = 0x51_1e47;
/// Separates the random numbers of evacuated halls from those of the other faults.
const EVACUATION_SEED_MASK: u64 = 0xe7ac_4a11;
/// Separates the random numbers of cut links from those of the other faults.
const CUT_SEED_MASK: u64 = 0xc075;

/// The results of a soak test.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Accepted jobs.
    pub accepted: usize,
    /// Jobs that every answer refused.
    pub refused: usize,
    /// Jobs of which clients do not know whether they were accepted.
    pub unknown: usize,
    /// Jobs whose cancellation was acknowledged.
    pub cancelled: usize,
    /// Accepted jobs with tasks that crash their workers.
    pub poison: usize,
    /// Task starts that workers observed.
    pub starts: u32,
    /// Injected faults with their times.
    pub faults: Vec<String>,
    /// Violated guarantees.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// The folder with the daemons' logs and views; `None` if no guarantee was violated.
    #[serde(rename = "kept")]
    pub diagnostics: Option<PathBuf>,
}

/// Runs daemons of `program` under the faults of a seed for `time`, then waits until all accepted
/// jobs have ended.
///
/// # Errors
///
/// If the site cannot be started.
pub async fn run(program: &str, seed: u64, time: Duration) -> io::Result<Report> {
    let has_links = seed >= LINKS_FROM_SEED;
    let has_accounts = (ACCOUNTS_FROM_SEED..LINKS_FROM_SEED).contains(&seed);
    let site = Site::start_with(program, site_options(seed, has_links)).await?;
    let site = Arc::new(site);
    if (REUSED_IDS_FROM_SEED..LINKS_FROM_SEED).contains(&seed) {
        site.machines.reuse_ids();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut black_hole_rng = StdRng::seed_from_u64(seed ^ BLACK_HOLE_SEED_MASK);
    let mut evacuation_rng = StdRng::seed_from_u64(seed ^ EVACUATION_SEED_MASK);
    let mut schedule =
        schedule::draw_schedule(&mut rng, &mut black_hole_rng, &mut evacuation_rng, time);
    if has_links {
        schedule.extend(cuts::draw_cuts(&mut StdRng::seed_from_u64(seed ^ CUT_SEED_MASK), time));
        schedule.sort_by_key(|(at, _)| *at);
    }
    let waves = schedule.iter().filter_map(|(_, action)| match action {
        Action::MaintenanceWave(number) => Some(*number),
        _ => None,
    });
    let waves: Vec<u64> = waves.collect();
    let client_jobs: Arc<Mutex<Vec<ClientJob>>> = Arc::default();
    let mut account_rng = StdRng::seed_from_u64(seed ^ ACCOUNT_SEED_MASK);
    if has_accounts {
        accounts::publish_first(&site, &mut account_rng).await;
    }
    let deadline = Instant::now() + time;
    let account_changes = site.clone();
    let account_changes = tokio::spawn(async move {
        if has_accounts {
            accounts::publish_changes(&account_changes, account_rng, deadline).await;
        }
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed ^ (number + 1) << 32);
            tokio::spawn(client::run_client(
                site.clone(),
                rng,
                deadline,
                client_jobs.clone(),
                has_accounts,
            ))
        })
        .collect();
    let faults = run_schedule(&site, schedule).await;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    account_changes.await.map_err(io::Error::other)?;
    site.end_faults()?;
    let client_jobs =
        std::mem::take(&mut *client_jobs.lock().expect("no thread panics while it holds the lock"));
    let violations = find_violations(&site, &client_jobs, &waves).await;
    let diagnostics = match violations.is_empty() {
        true => None,
        false => Some(save_diagnostics(&site, seed, &client_jobs).await?),
    };
    let count = |is_counted: fn(&ClientJob) -> bool| {
        client_jobs.iter().filter(|job| is_counted(job)).count()
    };
    Ok(Report {
        accepted: count(|job| job.accepted),
        refused: count(|job| job.refused),
        unknown: count(|job| !job.accepted && !job.refused),
        cancelled: count(|job| job.cancelled),
        poison: count(|job| job.accepted && job.is_poison),
        starts: site.ledger.start_count(),
        faults,
        violations,
        diagnostics,
    })
}

/// The site of a seed.
fn site_options(seed: u64, has_links: bool) -> Options {
    let workers_per_shard = seed.is_multiple_of(2).then_some(WORKERS_PER_SHARD);
    Options { reserve: RESERVE, workers_per_shard, has_links, ..Options::new(NODES, WORKERS) }
}

/// Saves what helps to explain a violated guarantee: the daemons' logs and the operator views.
async fn save_diagnostics(
    site: &Site,
    seed: u64,
    client_jobs: &[ClientJob],
) -> io::Result<PathBuf> {
    let name = format!("spokelift-soak-{seed}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let jobs: Vec<String> = client_jobs.iter().map(|job| job.id.clone()).collect();
    site.save_diagnostics(&folder, &jobs).await?;
    Ok(folder)
}

/// Executes the schedule; returns the injected faults with their times.
async fn run_schedule(site: &Site, schedule: Vec<(Duration, Action)>) -> Vec<String> {
    let started_at = Instant::now();
    let mut injected = Vec::new();
    for (at, action) in schedule {
        sleep(at.saturating_sub(started_at.elapsed())).await;
        injected.push(format!("{:.2} s {action:?}", started_at.elapsed().as_secs_f64()));
        if let Err(error) = action.execute(site).await {
            injected.push(format!("execution failed: {error}"));
        }
    }
    injected
}
