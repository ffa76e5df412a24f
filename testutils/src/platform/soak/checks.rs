//! Checks whether the results of jobs agree with the answers that clients received.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::client::ClientJob;
use crate::platform::soak::client::may_be_abandoned;

/// How long accepted jobs may take to end after the last fault: a takeover, the lease of a worker,
/// and the remaining work.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a task of a cancelled job may keep running after all faults have ended.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Finds violated guarantees once all faults have ended.
pub(super) async fn find_violations(site: &Site, jobs: &[ClientJob], waves: &[u64]) -> Vec<String> {
    let mut violations = check_outcomes(site, jobs).await;
    violations.extend(check_cancelled(site, jobs).await);
    violations.extend(check_waves(site, waves).await);
    violations.extend(site.ledger.violations());
    violations
}

/// Checks that refused jobs never ran, that accepted jobs are known, and that accepted finite jobs
/// succeed. A job with a poison task must be abandoned instead.
async fn check_outcomes(site: &Site, jobs: &[ClientJob]) -> Vec<String> {
    let mut violations = Vec::new();
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for job in jobs {
        let id = &job.id;
        violations.extend(job.violations.iter().cloned());
        if job.refused && site.ledger.starts_of(id) > 0 {
            violations.push(format!("{id} was refused and ran"));
        }
        let is_expected_end = |state: &str| {
            let abandoned = state == "failed" && may_be_abandoned(site, job);
            abandoned || state == "succeeded" && !job.is_poison
        };
        if job.accepted
            && !job.is_long_running
            && !reaches_state(site, id, deadline, is_expected_end).await
        {
            violations.push(format!("{id} was accepted and has not succeeded"));
        }
        if job.accepted && job.is_long_running && !reaches_state(site, id, deadline, |_| true).await
        {
            violations.push(format!("{id} was accepted and is unknown"));
        }
    }
    violations
}

/// Checks that no task of a cancelled job keeps running.
async fn check_cancelled(site: &Site, jobs: &[ClientJob]) -> Vec<String> {
    let mut violations = Vec::new();
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    for job in jobs.iter().filter(|job| job.cancelled) {
        while site.ledger.running_tasks(&job.id) > 0 && Instant::now() < deadline {
            sleep(CHECK_INTERVAL).await;
        }
        if site.ledger.running_tasks(&job.id) > 0 {
            violations.push(format!("{} was cancelled and still runs", job.id));
        }
    }
    violations
}

/// Checks that all waves end.
async fn check_waves(site: &Site, waves: &[u64]) -> Vec<String> {
    let mut violations = Vec::new();
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    for wave in waves {
        while !site.has_wave_succeeded(*wave) && Instant::now() < deadline {
            sleep(CHECK_INTERVAL).await;
        }
        if !site.has_wave_succeeded(*wave) {
            violations.push(format!("wave {wave} has not ended"));
        }
    }
    violations
}

/// Whether any node shows a job in an expected state before the deadline.
async fn reaches_state(
    site: &Site,
    id: &str,
    deadline: Instant,
    is_expected: impl Fn(&str) -> bool,
) -> bool {
    let mut node = 0;
    loop {
        if site.job_state(node, id).await.is_ok_and(|state| is_expected(&state)) {
            return true;
        }
        if Instant::now() > deadline {
            return false;
        }
        node = (node + 1) % NODES;
        sleep(CHECK_INTERVAL).await;
    }
}
