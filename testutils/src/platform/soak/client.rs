//! Clients of a soak test: they submit jobs, query them, cancel some, and record the answers.

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

/// Number of attempts of a client to submit a job.
const SUBMIT_ATTEMPTS: usize = 6;
/// Fraction of long-running jobs, whose tasks run until they are cancelled.
const LONG_RUNNING_PROBABILITY: f64 = 0.12;
/// Fraction of the finite jobs that a client queries while they run.
const FOLLOW_UP_PROBABILITY: f64 = 0.2;
/// One job in so many, by their ids, has poison tasks, which crash their workers.
const JOBS_PER_POISON: u64 = 25;
/// Time after which a poison task crashes its worker, in milliseconds.
const POISON_DELAY_MS: u32 = 15;
/// Number of workers that must have crashed under a task before its job may be abandoned.
const MIN_CRASHES_TO_ABANDON: u32 = 2;
/// How often a client requests a cancellation, and the pause in between: 10 s in total, longer than
/// the longest fault and a takeover together.
const CANCEL_ATTEMPTS: usize = 50;
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Processor of a task in thousandths of a core, and its memory in megabytes: 26 tasks fill the
/// processor of a machine of the site.
pub(super) const TASK_CPU: u32 = 300;
const TASK_MEMORY_MB: u32 = 50;
/// Time within which an accepted job must be known, as the platform's documentation requires.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Time after a cancellation from which no task of the job may start. The documented limit of 3 s
/// holds for daemons that can reach each other; the longest fault, of 4 s, and a takeover, of 3 s,
/// come in addition.
const NO_STARTS_AFTER: Duration = Duration::from_secs(10);

/// A job and the answers that its client received about it.
#[derive(Debug, Default)]
pub(super) struct ClientJob {
    pub(super) id: String,
    pub(super) is_long_running: bool,
    /// Whether its tasks crash their workers.
    pub(super) is_poison: bool,
    pub(super) accepted: bool,
    /// Whether every answer said that it was not accepted.
    pub(super) refused: bool,
    pub(super) cancelled: bool,
    pub(super) violations: Vec<String>,
}

/// Submits jobs one after another until the deadline.
pub(super) async fn run_client(
    site: Arc<Site>,
    mut rng: StdRng,
    deadline: Instant,
    client_jobs: Arc<Mutex<Vec<ClientJob>>>,
    has_accounts: bool,
) {
    while Instant::now() < deadline {
        let is_long_running = rng.random_bool(LONG_RUNNING_PROBABILITY);
        let id = rng.random::<u64>();
        let is_poison = id.is_multiple_of(JOBS_PER_POISON);
        let id = format!("{id:016x}");
        let steps: Vec<u32> = match is_long_running {
            true => vec![rng.random_range(1..=3)],
            false => (0..rng.random_range(1..=3)).map(|_| rng.random_range(1..=5)).collect(),
        };
        if has_accounts {
            site.ledger.set_owner(&id, ACCOUNTS[(parse_id(&id) % ACCOUNTS.len() as u64) as usize]);
        }
        site.ledger.expect_job(&id, &steps);
        let mut record = ClientJob { id, is_long_running, is_poison, ..ClientJob::default() };
        let mut job = build_job(&steps, is_long_running, rng.random_range(30..=300));
        if is_poison {
            let spec = job["spec"].as_str().unwrap_or_default();
            job["spec"] = json!(format!("{spec} kills={POISON_DELAY_MS}"));
        }
        submit(&site, &mut rng, &mut record, &job).await;
        if record.accepted {
            follow_up(&site, &mut rng, &mut record).await;
        }
        client_jobs.lock().expect("no thread panics while it holds the lock").push(record);
        sleep(Duration::from_millis(rng.random_range(0..=60))).await;
    }
}

fn parse_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_default()
}

/// A job with these task counts per step, each step after the one before.
fn build_job(steps: &[u32], is_long_running: bool, millis: u32) -> Value {
    let resources = format!("cpu={TASK_CPU} mem={TASK_MEMORY_MB}");
    let spec = if is_long_running { resources } else { format!("ms={millis} {resources}") };
    let step = |(index, count): (usize, &u32)| {
        let after: Vec<usize> = index.checked_sub(1).into_iter().collect();
        json!({
            "count": count, "cpu": TASK_CPU, "memMb": TASK_MEMORY_MB, "estimateMs": millis, "after": after,
            "longRunning": is_long_running,
        })
    };
    json!({ "spec": spec, "steps": steps.iter().enumerate().map(step).collect::<Vec<_>>() })
}

/// Submits a job to one node after another until it is accepted.
async fn submit(site: &Site, rng: &mut StdRng, record: &mut ClientJob, job: &Value) {
    let mut is_known_refused = true;
    for _ in 0..SUBMIT_ATTEMPTS {
        match site.submit(rng.random_range(0..NODES), &record.id, job.clone()).await {
            200 => {
                record.accepted = true;
                return;
            }
            429 | 503 | 404 => {}
            _ => is_known_refused = false,
        }
        sleep(Duration::from_millis(rng.random_range(20..=200))).await;
    }
    record.refused = is_known_refused;
}

/// Queries an accepted job after a while; cancels it if it is long-running.
async fn follow_up(site: &Site, rng: &mut StdRng, record: &mut ClientJob) {
    let accepted = Instant::now();
    if !record.is_long_running && !rng.random_bool(FOLLOW_UP_PROBABILITY) {
        return;
    }
    record.violations.extend(accounts::check_isolation(site, rng, &record.id).await);
    sleep(Duration::from_millis(rng.random_range(100..=900))).await;
    if let Ok(state) = site.job_state(rng.random_range(0..NODES), &record.id).await
        && (state == "failed" && !may_be_abandoned(site, record) || state == "canceled")
    {
        record.violations.push(format!("{} is unexpectedly in state {state}", record.id));
    }
    if record.is_long_running {
        cancel(site, rng, record, accepted).await;
    }
}

/// Whether a job may have failed: enough workers crashed under one of its tasks.
pub(super) fn may_be_abandoned(site: &Site, record: &ClientJob) -> bool {
    site.ledger.max_workers_lost(&record.id) >= MIN_CRASHES_TO_ABANDON
}

/// Requests the cancellation of a job until it is acknowledged.
async fn cancel(site: &Site, rng: &mut StdRng, record: &mut ClientJob, accepted: Instant) {
    for _ in 0..CANCEL_ATTEMPTS {
        match site.cancel(rng.random_range(0..NODES), &record.id).await {
            200 => {
                record.cancelled = true;
                site.ledger.forbid_starts(&record.id, Instant::now() + NO_STARTS_AFTER);
                return;
            }
            410 if accepted.elapsed() > KNOWN_WITHIN + KNOWN_WITHIN => {
                record
                    .violations
                    .push(format!("{} was accepted and is unknown when cancelled", record.id));
                return;
            }
            _ => sleep(CANCEL_RETRY_DELAY).await,
        }
    }
}
