//! Whether what became of the jobs agrees with what clients were told.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::client::ClientJob;
use crate::platform::soak::client::may_be_abandoned;

/// How long everything accepted may take to end after the last fault: a takeover, a lease, and the
/// work that is left.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a task may still run after its job was cancelled and all faults are over.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between looks at something awaited.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Promises that were broken, once all faults are over.
pub(super) async fn find_violations(site: &Site, told: &[ClientJob], waves: &[u64]) -> Vec<String> {
    let mut broken = check_outcomes(site, told).await;
    broken.extend(check_cancelled(site, told).await);
    broken.extend(check_waves(site, waves).await);
    broken.extend(site.ledger.violations());
    broken
}

/// What was refused never ran; what was accepted is known, and has succeeded if it ends by itself.
async fn check_outcomes(site: &Site, told: &[ClientJob]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + SETTLE_TIMEOUT;
    for told in told {
        let id = &told.id;
        broken.extend(told.violations.iter().cloned());
        if told.refused && site.ledger.starts_of(id) > 0 {
            broken.push(format!("{id} was refused and ran"));
        }
        let ends_well = |state: &str| {
            let given_up = state == "failed" && may_be_abandoned(site, told);
            given_up || state == "succeeded" && !told.is_poison
        };
        if told.accepted
            && !told.is_long_running
            && !reaches_state(site, id, until, ends_well).await
        {
            broken.push(format!("{id} was accepted and has not succeeded"));
        }
        if told.accepted && told.is_long_running && !reaches_state(site, id, until, |_| true).await
        {
            broken.push(format!("{id} was accepted and is unknown"));
        }
    }
    broken
}

/// Nothing of a cancelled job runs.
async fn check_cancelled(site: &Site, told: &[ClientJob]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + CANCEL_TIMEOUT;
    for told in told.iter().filter(|told| told.cancelled) {
        while site.ledger.running_tasks(&told.id) > 0 && Instant::now() < until {
            sleep(CHECK_INTERVAL).await;
        }
        if site.ledger.running_tasks(&told.id) > 0 {
            broken.push(format!("{} was cancelled and still runs", told.id));
        }
    }
    broken
}

/// Waves that have not ended.
async fn check_waves(site: &Site, waves: &[u64]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + SETTLE_TIMEOUT;
    for wave in waves {
        while !site.has_wave_succeeded(*wave) && Instant::now() < until {
            sleep(CHECK_INTERVAL).await;
        }
        if !site.has_wave_succeeded(*wave) {
            broken.push(format!("wave {wave} has not ended"));
        }
    }
    broken
}

/// Whether a job is shown in a state that fits, by whichever node answers, before time is up.
async fn reaches_state(site: &Site, id: &str, until: Instant, fits: impl Fn(&str) -> bool) -> bool {
    let mut node = 0;
    loop {
        if site.job_state(node, id).await.is_ok_and(|state| fits(&state)) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        node = (node + 1) % NODES;
        sleep(CHECK_INTERVAL).await;
    }
}
