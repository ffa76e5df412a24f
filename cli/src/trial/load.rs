//! A steady load on all entry boxes through the balancer.

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

/// Every so many requests runs long enough to be cut off by a stop that does not wait.
const LONG_REQUEST_EVERY: u64 = 25;
/// How long such a request runs, in milliseconds.
const LONG_RUN_MS: u64 = 1500;
/// How long the others run, in milliseconds.
const SHORT_RUN_MS: std::ops::Range<u64> = 5..40;
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// A load that is under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    task: JoinHandle<()>,
}

impl Load {
    /// Starts `per_second` requests a second; each is sent at its time, however late the others.
    pub fn start(stage: &Testbed, per_second: u32) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let site = stage.site.clone();
        let ledger = stage.ledger.clone();
        let balancer = stage.balancer.clone();
        let killed = stage.kills.clone();
        let stopped = stop.clone();
        let begun = stage.started_at;
        let task = tokio::spawn(async move {
            let dialer = Dialer::new(Duration::from_millis(500));
            let mut ticks = interval(Duration::from_secs(1) / per_second);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
            let mut calls = JoinSet::new();
            let mut token = 0;
            while !stopped.load(Ordering::SeqCst) {
                ticks.tick().await;
                while calls.try_join_next().is_some() {}
                token += 1;
                let call = next_call(&site, token);
                let (ledger, balancer) = (ledger.clone(), balancer.clone());
                let sent = send_call(begun, ledger, balancer, killed.clone(), dialer.clone(), call);
                calls.spawn(sent);
            }
            while calls.join_next().await.is_some() {}
        });
        Load { stop, task }
    }

    /// Sends no more and waits for the answers.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.task.await;
    }
}

/// Each third request is not repeatable.
fn next_call(site: &Site, token: u64) -> Call {
    let mut random = rand::rng();
    let pool = &site.pools[random.random_range(0..site.pools.len())];
    let (service, _) = pool.services[random.random_range(0..pool.services.len())];
    let long = token.is_multiple_of(LONG_REQUEST_EVERY);
    Call {
        token,
        credential: format!("{}:{}", pool.account, caller_secret(pool.account)),
        service: service.to_owned(),
        repeatable: !token.is_multiple_of(3),
        run_ms: if long { LONG_RUN_MS } else { random.random_range(SHORT_RUN_MS) },
        body: Bytes::from(vec![b'x'; random.random_range(0..MAX_BODY_BYTES)]),
    }
}

async fn send_call(
    begun: Instant,
    ledger: Ledger,
    balancer: Arc<Balancer>,
    kills: Arc<Kills>,
    dialer: Dialer,
    call: Call,
) {
    ledger.record_sent(call.token, call.repeatable);
    let Some(entry) = balancer.pick() else {
        ledger.record_outcome(call.token, Outcome::NotRun);
        return;
    };
    let before = kills.mark(entry);
    let sent_at = Instant::now();
    let (told, seen) = caller::call(&dialer, balancer.addr(entry), &call).await;
    // A connection that broke is the doing of a kill only if there was one meanwhile.
    let told = if told == Outcome::Nothing && kills.was_killed_since(entry, before) {
        Outcome::Killed
    } else {
        told
    };
    if told != Outcome::Answered {
        let account = call.credential.split(':').next().unwrap_or_default();
        let took = sent_at.elapsed().as_millis();
        let sent = sent_at.saturating_duration_since(begun).as_millis();
        let service = &call.service;
        ledger.add_note(
            call.token,
            format!("{account}/{service} at entry box {entry}, sent at {sent} ms, took {took} ms"),
        );
    }
    if let Some(seen) = seen {
        ledger.add_note(call.token, seen);
    }
    ledger.record_outcome(call.token, told);
}
