//! Accounts in a soak test: their keys and quotas change while faults are injected, and no account
//! may access the jobs of another.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use rand::RngExt;
use rand::rngs::StdRng;
use serde_json::Value;
use tokio::time::sleep;

use crate::platform::site::Site;
use crate::platform::site::account_key;
use crate::platform::site::config::Account;
use crate::platform::soak::NODES;
use crate::platform::soak::client::TASK_CPU;

/// The accounts. The quota of the first one never changes, so a start above it violates the quota
/// whichever version of the configuration applies.
pub(super) const ACCOUNTS: [&str; 3] = ["tight", "wide", "other"];
/// Quota of the first account, in running tasks.
const MAX_TASKS: u32 = 4;
/// Time between two versions of the configuration, in milliseconds.
const CONFIG_INTERVAL_MS: std::ops::RangeInclusive<u64> = 150..=1_500;
/// Pause between checks whether the first version is in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

fn draw_accounts(rng: &mut StdRng) -> Vec<Account> {
    let account = |(index, name): (usize, &&str)| {
        let mut account = Account::new(name, &account_key(name));
        account.keys.push(format!("rotated-{}", rng.random::<u32>()));
        let max_tasks = if index == 0 { MAX_TASKS } else { rng.random_range(0..20) };
        account.maximum = (u64::from(max_tasks * TASK_CPU), 0);
        account
    };
    ACCOUNTS.iter().enumerate().map(account).collect()
}

/// Publishes the first version and waits until it is in force on every daemon.
pub(super) async fn publish_first(site: &Site, rng: &mut StdRng) {
    site.ledger.set_max_running(ACCOUNTS[0], MAX_TASKS);
    site.publish_config(2, &draw_accounts(rng));
    for node in 0..NODES {
        site.wait_until("keys are required", async |site| {
            sleep(CHECK_INTERVAL).await;
            site.call_with(&[], node, Method::GET, "/q/0000000000000001", Value::Null).await.0
                == 401
        })
        .await;
    }
}

/// Publishes one version after another until the deadline.
pub(super) async fn publish_changes(site: &Site, mut rng: StdRng, deadline: Instant) {
    let mut version = 2;
    while Instant::now() < deadline {
        sleep(Duration::from_millis(rng.random_range(CONFIG_INTERVAL_MS))).await;
        version += rng.random_range(1..4);
        site.publish_config(version, &draw_accounts(&mut rng));
    }
}

/// Accesses a job with another account's key and with an unknown key; returns the violated
/// guarantees.
///
/// While no node that knows the job can be reached, a cancellation by any account is stored and
/// answered with 200; it must have no effect on the jobs of other accounts.
pub(super) async fn check_isolation(site: &Site, rng: &mut StdRng, job: &str) -> Vec<String> {
    let Some(owner) = site.ledger.owner(job) else { return Vec::new() };
    let other = ACCOUNTS.iter().find(|account| **account != owner).expect("there are several");
    let other = account_key(other);
    let path = format!("/q/{job}");
    let call = async |rng: &mut StdRng, key: &str, method: Method| {
        let node = rng.random_range(0..NODES);
        site.call_as(key, node, method, &path, Value::Null).await.0
    };
    let mut violations = Vec::new();
    if call(rng, &other, Method::GET).await == 200 {
        violations.push(format!("{job}, which is {owner}'s, is shown to {other}"));
    }
    call(rng, &other, Method::DELETE).await;
    for method in [Method::GET, Method::DELETE] {
        if call(rng, "no-such-key", method.clone()).await == 200 {
            violations.push(format!("{method} of {job} is served to an unknown key"));
        }
    }
    if site.job_state(rng.random_range(0..NODES), job).await.is_ok_and(|state| state == "canceled")
    {
        violations.push(format!("{job}, which is {owner}'s, was cancelled by {other}"));
    }
    violations
}
