//! A soak: real daemons under random faults from outside, judged by what clients were told and
//! what workers saw.
//!
//! A seed gives the jobs and the schedule of faults; the processes' own timing differs from run to
//! run.

mod client;
mod schedule;

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::soak::client::Told;
use crate::platform::soak::schedule::Action;

/// Daemons of a soak.
pub const NODES: usize = 4;
/// Machines with a worker at the start.
const WORKERS: usize = 8;
/// Machines that are switched off at the start.
const RESERVE: usize = 2;
/// Clients that hand in jobs side by side.
const CLIENTS: u64 = 3;
/// How long everything accepted may take to end after the last fault: a takeover, a lease, and the
/// work that is left.
const SETTLE: Duration = Duration::from_secs(60);
/// How long a task may still run after its job was cancelled and all faults are over.
const CANCEL: Duration = Duration::from_secs(12);
/// Pause between looks at something awaited.
const PAUSE: Duration = Duration::from_millis(50);

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
    /// Starts that workers saw.
    pub starts: u32,
    /// Faults brought about, with their times.
    pub faults: Vec<String>,
    /// Promises broken.
    pub broken: Vec<String>,
}

/// Runs daemons of `program` under the faults of a seed for `time`, then waits until all that was
/// accepted has ended.
///
/// # Errors
///
/// If the site cannot be started.
pub async fn play(program: &str, seed: u64, time: Duration) -> io::Result<Report> {
    let site = Arc::new(Site::start(program, NODES, WORKERS, RESERVE).await?);
    let mut rng = StdRng::seed_from_u64(seed);
    let schedule = schedule::draw(&mut rng, time);
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let until = Instant::now() + time;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let rng = StdRng::seed_from_u64(seed ^ (number + 1) << 32);
            tokio::spawn(client::run(site.clone(), rng, until, told.clone()))
        })
        .collect();
    let faults = run_schedule(&site, schedule).await;
    for client in clients {
        client.await.map_err(io::Error::other)?;
    }
    site.mend()?;
    let told = std::mem::take(&mut *told.lock().expect("no holder panics"));
    let mut broken = judge(&site, &told).await;
    broken.extend(site.ledger.faults());
    let count =
        |told: &[Told], wanted: fn(&Told) -> bool| told.iter().filter(|t| wanted(t)).count();
    Ok(Report {
        accepted: count(&told, |told| told.accepted),
        refused: count(&told, |told| told.refused),
        unknown: count(&told, |told| !told.accepted && !told.refused),
        cancelled: count(&told, |told| told.cancelled),
        starts: site.ledger.starts(),
        faults,
        broken,
    })
}

/// Carries out the schedule; what was done, with the time.
async fn run_schedule(site: &Site, schedule: Vec<(Duration, Action)>) -> Vec<String> {
    let begun = Instant::now();
    let mut done = Vec::new();
    for (at, action) in schedule {
        sleep(at.saturating_sub(begun.elapsed())).await;
        done.push(format!("{:.2} s {action:?}", begun.elapsed().as_secs_f64()));
        if let Err(error) = action.carry_out(site).await {
            done.push(format!("that failed: {error}"));
        }
    }
    done
}

/// What does not agree with what clients were told.
async fn judge(site: &Site, told: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + SETTLE;
    for told in told {
        let id = &told.id;
        broken.extend(told.broken.iter().cloned());
        if told.refused && site.ledger.starts_of(id) > 0 {
            broken.push(format!("{id} was refused and ran"));
        }
        if told.accepted && !told.lasts && !succeeds(site, id, until).await {
            broken.push(format!("{id} was accepted and has not succeeded"));
        }
    }
    let until = Instant::now() + CANCEL;
    for told in told.iter().filter(|told| told.cancelled) {
        while site.ledger.running(&told.id) > 0 && Instant::now() < until {
            sleep(PAUSE).await;
        }
        if site.ledger.running(&told.id) > 0 {
            broken.push(format!("{} was cancelled and still runs", told.id));
        }
    }
    broken
}

async fn succeeds(site: &Site, id: &str, until: Instant) -> bool {
    let mut node = 0;
    loop {
        if site.state(node, id).await.is_ok_and(|state| state == "succeeded") {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        node = (node + 1) % NODES;
        sleep(PAUSE).await;
    }
}
