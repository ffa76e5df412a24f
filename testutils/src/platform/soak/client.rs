//! Clients of a soak: they hand in jobs, ask for them, cancel some, and keep what they were told.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::accounts;
use crate::platform::soak::accounts::ACCOUNTS;

/// How often a client sends a job before it gives up.
const SUBMIT_ATTEMPTS: usize = 6;
/// Share of jobs whose tasks last until they are cancelled.
const LONG_RUNNING_PROBABILITY: f64 = 0.12;
/// Share of jobs that end by themselves after which a client asks while they run.
const FOLLOW_UP_PROBABILITY: f64 = 0.2;
/// Of so many jobs, by their ids, one has tasks that bring down their workers.
const JOBS_PER_POISON: u64 = 25;
/// After how many milliseconds they do.
const POISON_DELAY_MS: u32 = 15;
/// Workers that must have crashed under a task before its job may be given up.
const MIN_CRASHES_TO_ABANDON: u32 = 2;
/// How often a client asks for a job to be cancelled, and the pause between: together 10 s, longer
/// than the longest fault and a takeover.
const CANCEL_ATTEMPTS: usize = 50;
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Processor of a task in thousandths of a core, and its memory in MB: 26 of them fill the
/// processor of a machine of the site.
pub(super) const TASK_CPU: u32 = 300;
const TASK_MEMORY_MB: u32 = 50;
/// Time after which an accepted job must be known: a bound of the platform's pages.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Time after which a cancelled job must start nothing. The pages' bound of 3 s holds for daemons
/// that are in touch; the longest fault, of 4 s, and a takeover, of 3 s, come on top.
const NO_STARTS_AFTER: Duration = Duration::from_secs(10);

/// What a client was told of a job.
#[derive(Debug, Default)]
pub(super) struct ClientJob {
    pub(super) id: String,
    pub(super) is_long_running: bool,
    /// Its tasks bring down their workers.
    pub(super) is_poison: bool,
    pub(super) accepted: bool,
    /// Every answer said that it was not taken.
    pub(super) refused: bool,
    pub(super) cancelled: bool,
    pub(super) violations: Vec<String>,
}

/// Hands in jobs, one after another, until the time is over.
pub(super) async fn run_client(
    site: Arc<Site>,
    mut rng: StdRng,
    until: Instant,
    told: Arc<Mutex<Vec<ClientJob>>>,
    has_accounts: bool,
) {
    while Instant::now() < until {
        let lasts = rng.random_bool(LONG_RUNNING_PROBABILITY);
        let id = rng.random::<u64>();
        let poison = id.is_multiple_of(JOBS_PER_POISON);
        let id = format!("{id:016x}");
        let steps: Vec<u32> = match lasts {
            true => vec![rng.random_range(1..=3)],
            false => (0..rng.random_range(1..=3)).map(|_| rng.random_range(1..=5)).collect(),
        };
        if has_accounts {
            site.ledger.set_owner(&id, ACCOUNTS[(parse_id(&id) % ACCOUNTS.len() as u64) as usize]);
        }
        site.ledger.expect_job(&id, &steps);
        let mut one =
            ClientJob { id, is_long_running: lasts, is_poison: poison, ..ClientJob::default() };
        let mut job = build_job(&steps, lasts, rng.random_range(30..=300));
        if poison {
            let spec = job["spec"].as_str().unwrap_or_default();
            job["spec"] = json!(format!("{spec} kills={POISON_DELAY_MS}"));
        }
        submit(&site, &mut rng, &mut one, &job).await;
        if one.accepted {
            follow_up(&site, &mut rng, &mut one).await;
        }
        told.lock().expect("no holder panics").push(one);
        sleep(Duration::from_millis(rng.random_range(0..=60))).await;
    }
}

fn parse_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

/// A job of steps, each after the one before it, with so many tasks in each.
fn build_job(steps: &[u32], lasts: bool, millis: u32) -> Value {
    let room = format!("cpu={TASK_CPU} mem={TASK_MEMORY_MB}");
    let spec = if lasts { room } else { format!("ms={millis} {room}") };
    let step = |(index, count): (usize, &u32)| {
        let after: Vec<usize> = index.checked_sub(1).into_iter().collect();
        json!({
            "count": count, "cpu": TASK_CPU, "memMb": TASK_MEMORY_MB, "estimateMs": millis, "after": after,
            "longRunning": lasts,
        })
    };
    json!({ "spec": spec, "steps": steps.iter().enumerate().map(step).collect::<Vec<_>>() })
}

/// Sends a job at one node after another, as clients do, until it is accepted.
async fn submit(site: &Site, rng: &mut StdRng, told: &mut ClientJob, job: &Value) {
    let mut certain = true;
    for _ in 0..SUBMIT_ATTEMPTS {
        match site.submit(rng.random_range(0..NODES), &told.id, job.clone()).await {
            200 => {
                told.accepted = true;
                return;
            }
            429 | 503 | 404 => {}
            _ => certain = false,
        }
        sleep(Duration::from_millis(rng.random_range(20..=200))).await;
    }
    told.refused = certain;
}

/// Asks for an accepted job after a while; cancels one that lasts.
async fn follow_up(site: &Site, rng: &mut StdRng, told: &mut ClientJob) {
    let accepted = Instant::now();
    if !told.is_long_running && !rng.random_bool(FOLLOW_UP_PROBABILITY) {
        return;
    }
    told.violations.extend(accounts::check_isolation(site, rng, &told.id).await);
    sleep(Duration::from_millis(rng.random_range(100..=900))).await;
    if let Ok(state) = site.job_state(rng.random_range(0..NODES), &told.id).await
        && (state == "failed" && !may_be_abandoned(site, told) || state == "canceled")
    {
        told.violations.push(format!("{} is shown as {state} without cause", told.id));
    }
    if told.is_long_running {
        cancel(site, rng, told, accepted).await;
    }
}

/// Whether a job may be shown as failed: enough workers crashed under one of its tasks.
pub(super) fn may_be_abandoned(site: &Site, told: &ClientJob) -> bool {
    site.ledger.max_workers_lost(&told.id) >= MIN_CRASHES_TO_ABANDON
}

/// Asks for a job to be cancelled until an answer comes.
async fn cancel(site: &Site, rng: &mut StdRng, told: &mut ClientJob, accepted: Instant) {
    for _ in 0..CANCEL_ATTEMPTS {
        match site.cancel(rng.random_range(0..NODES), &told.id).await {
            200 => {
                told.cancelled = true;
                site.ledger.forbid_starts(&told.id, Instant::now() + NO_STARTS_AFTER);
                return;
            }
            410 if accepted.elapsed() > KNOWN_WITHIN + KNOWN_WITHIN => {
                told.violations
                    .push(format!("{} was accepted and is not there to cancel", told.id));
                return;
            }
            _ => sleep(CANCEL_RETRY_DELAY).await,
        }
    }
}
