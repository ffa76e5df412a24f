//! A soak: real daemons under random faults from outside, judged by what clients were told and
//! what workers saw.
//!
//! A seed gives the jobs and the schedule of faults; the processes' own timing differs from run to
//! run.

mod accounts;
mod checks;
mod client;
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

use crate::platform::site::Site;
use crate::platform::soak::checks::find_violations;
use crate::platform::soak::client::ClientJob;
use crate::platform::soak::schedule::Action;

/// Daemons of a soak.
pub const NODES: usize = 4;
/// Machines with a worker at the start.
const WORKERS: usize = 8;
/// Machines that are switched off at the start.
const RESERVE: usize = 2;
/// Machines of a soak.
pub const MACHINES: usize = WORKERS + RESERVE;
/// Workers that one node looks after for the scheduler, with an even seed; with an odd one the
/// scheduler's node looks after all.
const WORKERS_PER_SHARD: usize = 3;
/// From this seed on workers start again under the id that they had. Below it each life has an id of its own.
pub const REUSED_IDS_FROM_SEED: u64 = 1_000;
/// From this seed on jobs belong to accounts, whose keys and bounds change.
pub const ACCOUNTS_FROM_SEED: u64 = 2_000;
/// Tells the generator of what accounts may from that of the other faults.
const ACCOUNT_SEED_MASK: u64 = 0xacc0_1247;
/// Clients that hand in jobs side by side.
const CLIENTS: u64 = 3;
/// Tells the generator of connections that go silent from that of the other faults.
const BLACK_HOLE_SEED_MASK: u64 = 0x51_1e47;
/// What a soak did and found.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Jobs accepted.
    pub accepted: usize,
    /// Jobs refused by every answer.
    pub refused: usize,
    /// Jobs of which clients do not know.
    pub unknown: usize,
    /// Jobs whose cancelling was acknowledged.
    pub cancelled: usize,
    /// Accepted jobs with tasks that bring down their workers.
    pub poison: usize,
    /// Starts that workers saw.
    pub starts: u32,
    /// Faults brought about, with their times.
    pub faults: Vec<String>,
    /// Promises broken.
    pub broken: Vec<String>,
    /// Where the daemons' logs and views are kept, if any was broken.
    pub kept: Option<PathBuf>,
}

/// Runs daemons of `program` under the faults of a seed for `time`, then waits until all that was
/// accepted has ended.
///
/// # Errors
///
/// If the site cannot be started.
pub async fn run(program: &str, seed: u64, time: Duration) -> io::Result<Report> {
    let site = match seed % 2 {
        0 => Site::start_sharded(program, NODES, WORKERS, RESERVE, WORKERS_PER_SHARD).await?,
        _ => Site::start(program, NODES, WORKERS, RESERVE).await?,
    };
    let site = Arc::new(site);
    if seed >= REUSED_IDS_FROM_SEED {
        site.machines.reuse_ids();
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut silent_rng = StdRng::seed_from_u64(seed ^ BLACK_HOLE_SEED_MASK);
    let schedule = schedule::draw_schedule(&mut rng, &mut silent_rng, time);
    let waves = schedule.iter().filter_map(|(_, action)| match action {
        Action::MaintenanceWave(number) => Some(*number),
        _ => None,
    });
    let waves: Vec<u64> = waves.collect();
    let told: Arc<Mutex<Vec<ClientJob>>> = Arc::default();
    let mut account_rng = StdRng::seed_from_u64(seed ^ ACCOUNT_SEED_MASK);
    let has_accounts = seed >= ACCOUNTS_FROM_SEED;
    if has_accounts {
        accounts::publish_first(&site, &mut account_rng).await;
    }
    let until = Instant::now() + time;
    let changes = site.clone();
    let changes = tokio::spawn(async move {
        if has_accounts {
            accounts::publish_changes(&changes, account_rng, until).await;
        }
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed ^ (number + 1) << 32);
            tokio::spawn(client::run_client(site.clone(), rng, until, told.clone(), has_accounts))
        })
        .collect();
    let faults = run_schedule(&site, schedule).await;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    changes.await.map_err(io::Error::other)?;
    site.end_faults()?;
    let told = std::mem::take(&mut *told.lock().expect("no holder panics"));
    let broken = find_violations(&site, &told, &waves).await;
    let kept = match broken.is_empty() {
        true => None,
        false => Some(save_diagnostics(&site, seed, &told).await?),
    };
    let count = |wanted: fn(&ClientJob) -> bool| told.iter().filter(|told| wanted(told)).count();
    Ok(Report {
        accepted: count(|told| told.accepted),
        refused: count(|told| told.refused),
        unknown: count(|told| !told.accepted && !told.refused),
        cancelled: count(|told| told.cancelled),
        poison: count(|told| told.accepted && told.is_poison),
        starts: site.ledger.start_count(),
        faults,
        broken,
        kept,
    })
}

/// Keeps what tells why a promise was broken: the daemons' logs, and what operators see.
async fn save_diagnostics(site: &Site, seed: u64, told: &[ClientJob]) -> io::Result<PathBuf> {
    let name = format!("spokelift-soak-{seed}-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let jobs: Vec<String> = told.iter().map(|told| told.id.clone()).collect();
    site.save_diagnostics(&folder, &jobs).await?;
    Ok(folder)
}

/// Carries out the schedule; what was done, with the time.
async fn run_schedule(site: &Site, schedule: Vec<(Duration, Action)>) -> Vec<String> {
    let begun = Instant::now();
    let mut done = Vec::new();
    for (at, action) in schedule {
        sleep(at.saturating_sub(begun.elapsed())).await;
        done.push(format!("{:.2} s {action:?}", begun.elapsed().as_secs_f64()));
        if let Err(error) = action.execute(site).await {
            done.push(format!("that failed: {error}"));
        }
    }
    done
}
