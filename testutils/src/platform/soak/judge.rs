//! Whether what became of the jobs agrees with what clients were told.

use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::soak::NODES;
use crate::platform::soak::client::Told;
use crate::platform::soak::client::may_be_given_up;

/// How long everything accepted may take to end after the last fault: a takeover, a lease, and the
/// work that is left.
const SETTLE: Duration = Duration::from_secs(60);
/// How long a task may still run after its job was cancelled and all faults are over.
const CANCEL: Duration = Duration::from_secs(12);
/// Pause between looks at something awaited.
const PAUSE: Duration = Duration::from_millis(50);

/// Promises that were broken, once all faults are over.
pub(super) async fn judge(site: &Site, told: &[Told], waves: &[u64]) -> Vec<String> {
    let mut broken = outcomes(site, told).await;
    broken.extend(cancelled(site, told).await);
    broken.extend(unfinished(site, waves).await);
    broken.extend(site.ledger.faults());
    broken
}

/// What was refused never ran; what was accepted is known, and has succeeded if it ends by itself.
async fn outcomes(site: &Site, told: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + SETTLE;
    for told in told {
        let id = &told.id;
        broken.extend(told.broken.iter().cloned());
        if told.refused && site.ledger.starts_of(id) > 0 {
            broken.push(format!("{id} was refused and ran"));
        }
        let ends_well = |state: &str| {
            let given_up = state == "failed" && may_be_given_up(site, told);
            given_up || state == "succeeded" && !told.poison
        };
        if told.accepted && !told.lasts && !shows(site, id, until, ends_well).await {
            broken.push(format!("{id} was accepted and has not succeeded"));
        }
        if told.accepted && told.lasts && !shows(site, id, until, |_| true).await {
            broken.push(format!("{id} was accepted and is unknown"));
        }
    }
    broken
}

/// Nothing of a cancelled job runs.
async fn cancelled(site: &Site, told: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
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

/// Waves that have not ended.
async fn unfinished(site: &Site, waves: &[u64]) -> Vec<String> {
    let mut broken = Vec::new();
    let until = Instant::now() + SETTLE;
    for wave in waves {
        while !site.wave_is_over(*wave) && Instant::now() < until {
            sleep(PAUSE).await;
        }
        if !site.wave_is_over(*wave) {
            broken.push(format!("wave {wave} has not ended"));
        }
    }
    broken
}

/// Whether a job is shown in a state that fits, by whichever node answers, before time is up.
async fn shows(site: &Site, id: &str, until: Instant, fits: impl Fn(&str) -> bool) -> bool {
    let mut node = 0;
    loop {
        if site.state(node, id).await.is_ok_and(|state| fits(&state)) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        node = (node + 1) % NODES;
        sleep(PAUSE).await;
    }
}
