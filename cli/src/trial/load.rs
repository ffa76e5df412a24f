//! Constant load on all daemons through the balancer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt;
use spokelift_lib::transport::dial::Dialer;
use spokelift_testutils::caller;
use spokelift_testutils::caller::Balancer;
use spokelift_testutils::caller::Call;
use spokelift_testutils::kills::Kills;
use spokelift_testutils::ledger::Ledger;
use spokelift_testutils::ledger::Outcome;
use spokelift_testutils::site::Site;
use spokelift_testutils::site::caller_secret;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::trial::testbed::Testbed;

/// One in this many requests runs so long that a stop without draining would cut it off.
const LONG_REQUEST_EVERY: u64 = 25;
/// Run time of such a request, in milliseconds.
const LONG_RUN_MS: u64 = 1500;
/// Run time of the other requests, in milliseconds.
const SHORT_RUN_MS: std::ops::Range<u64> = 5..40;
/// Limit of the size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Handle of a running load generator.
pub struct Load {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Load {
    /// Starts sending `per_second` requests a second (open loop: late responses delay no later
    /// request).
    pub fn start(testbed: &Testbed, per_second: u32) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let site = testbed.site.clone();
        let ledger = testbed.ledger.clone();
        let balancer = testbed.balancer.clone();
        let kills = testbed.kills.clone();
        let is_stopped = stop.clone();
        let started_at = testbed.started_at;
        let task = tokio::spawn(async move {
            let dialer = Dialer::new(Duration::from_millis(500));
            let mut ticks = interval(Duration::from_secs(1) / per_second);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut calls = JoinSet::new();
            let mut token = 0;
            while !is_stopped.load(Ordering::SeqCst) {
                ticks.tick().await;
                while calls.try_join_next().is_some() {}
                token += 1;
                let call = next_call(&site, token);
                let (ledger, balancer) = (ledger.clone(), balancer.clone());
                let call =
                    send_call(started_at, ledger, balancer, kills.clone(), dialer.clone(), call);
                calls.spawn(call);
            }
            while calls.join_next().await.is_some() {}
        });
        Load { stop, task }
    }

    /// Stops sending and waits for outstanding responses.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.task.await;
    }
}

/// Creates a random call; every third one is not repeatable.
fn next_call(site: &Site, token: u64) -> Call {
    let mut random = rand::rng();
    let pool = &site.pools[random.random_range(0..site.pools.len())];
    let (service, _) = pool.services[random.random_range(0..pool.services.len())];
    let is_long = token.is_multiple_of(LONG_REQUEST_EVERY);
    Call {
        token,
        credential: format!("{}:{}", pool.account, caller_secret(pool.account)),
        service: service.to_owned(),
        repeatable: !token.is_multiple_of(3),
        run_ms: if is_long { LONG_RUN_MS } else { random.random_range(SHORT_RUN_MS) },
        body: Bytes::from(vec![b'x'; random.random_range(0..MAX_BODY_BYTES)]),
    }
}

async fn send_call(
    started_at: Instant,
    ledger: Ledger,
    balancer: Arc<Balancer>,
    kills: Arc<Kills>,
    dialer: Dialer,
    call: Call,
) {
    ledger.record_sent(call.token, call.repeatable);
    let Some(daemon) = balancer.pick() else {
        ledger.record_outcome(call.token, Outcome::NotRun);
        return;
    };
    let mark = kills.mark(daemon);
    let sent_at = Instant::now();
    let (outcome, note) = caller::call(&dialer, balancer.addr(daemon), &call).await;
    // A broken connection is attributed to a kill only if that daemon was killed during the call.
    let outcome = if outcome == Outcome::Nothing && kills.was_killed_since(daemon, mark) {
        Outcome::Killed
    } else {
        outcome
    };
    if outcome != Outcome::Answered {
        let account = call.credential.split(':').next().unwrap_or_default();
        let took = sent_at.elapsed().as_millis();
        let sent = sent_at.saturating_duration_since(started_at).as_millis();
        let service = &call.service;
        ledger.add_note(
            call.token,
            format!("{account}/{service} at entry box {daemon}, sent at {sent} ms, took {took} ms"),
        );
    }
    if let Some(note) = note {
        ledger.add_note(call.token, note);
    }
    ledger.record_outcome(call.token, outcome);
}
