//! Benchmark of calls with unknown keys: a real daemon on the stand-in platform serves
//! callers with valid keys, first alone, then during a flood of calls whose keys were never
//! configured.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde::Serialize;
use serde_json::Value;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::site::account_key;
use spokelift_testutils::platform::site::config::Account;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;

use crate::args::BenchKeys;
use crate::bench::probe::process_cpu_seconds;
use crate::error::Error;
use crate::trial;

/// Daemons of the site; the first one is called.
const DAEMONS: usize = 2;
/// Boxes of the site; nothing runs on them.
const BOXES: usize = 4;
/// Account with a valid key.
const ACCOUNT: &str = "good";
/// Clients with a valid key, and the pause of each between two calls.
const CLIENTS: usize = 4;
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
/// Connections that carry the calls with unknown keys.
const FLOOD_CONNECTIONS: u32 = 32;
/// Time between two checks whether the account configuration has taken effect.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Path of a job that was never submitted.
const JOB_PATH: &str = "/q/00000000000000aa";

/// Results of one part.
#[derive(Debug, Default, Serialize)]
struct Part {
    /// Calls with unknown keys that were refused, per second.
    refused_per_s: f64,
    /// Calls with valid keys that were answered, per second.
    served_per_s: f64,
    /// Calls with valid keys that got any other response, or none.
    #[serde(rename = "harmed")]
    failed: usize,
    /// Response time with a valid key, in microseconds.
    median_us: u64,
    p99_us: u64,
    /// Processor time of the daemon as a mean number of cores.
    cores: f64,
}

/// Results of both parts.
#[derive(Debug, Serialize)]
struct Report {
    alone: Part,
    flooded: Part,
    /// Processor time of the daemon for each call with an unknown key, in microseconds.
    cost_us: f64,
}

/// Measures both parts and prints them.
pub fn run(args: &BenchKeys, json: bool) -> Result<(), Error> {
    let seconds = u64::from(args.seconds.clamp(2, 60));
    let unknown = args.unknown.clamp(100, 20_000);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(measure(Duration::from_secs(seconds), unknown))?;
    println!("{}", table(&report));
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

async fn measure(time: Duration, unknown: u32) -> Result<Report, Error> {
    let program = trial::daemon_path()?;
    let site = Site::start(&program.to_string_lossy(), DAEMONS, BOXES, 0).await?;
    let site = Arc::new(site);
    site.publish_config(2, &[Account::new(ACCOUNT, &account_key(ACCOUNT))]);
    while site.call_as("unknown", 0, Method::GET, JOB_PATH, Value::Null).await.0 != 401 {
        sleep(POLL_INTERVAL).await;
    }
    let alone = measure_part(&site, time, 0).await;
    let flooded = measure_part(&site, time, unknown).await;
    let extra_cores = (flooded.cores - alone.cores).max(0.0);
    let cost_us = extra_cores / flooded.refused_per_s.max(1.0) * 1e6;
    Ok(Report { alone, flooded, cost_us })
}

/// Runs the clients with valid keys, and at the same time makes `unknown` calls a second with
/// unknown keys.
async fn measure_part(site: &Arc<Site>, time: Duration, unknown: u32) -> Part {
    let started_at = Instant::now();
    let until = started_at + time;
    let cpu_seconds = || site.nodes[0].pid().map_or(0.0, process_cpu_seconds);
    let cpu_before = cpu_seconds();
    let floods = if unknown == 0 { 0 } else { FLOOD_CONNECTIONS };
    let floods: Vec<_> = (0..floods)
        .map(|number| tokio::spawn(flood(site.clone(), number, unknown, until)))
        .collect();
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| tokio::spawn(call_with_valid_key(site.clone(), until))).collect();
    let (mut times, mut failed, mut refused) = (Vec::new(), 0, 0);
    for task in clients {
        let (response_times, failed_calls) = task.await.expect("a caller does not panic");
        times.extend(response_times);
        failed += failed_calls;
    }
    for task in floods {
        refused += task.await.expect("a caller does not panic");
    }
    let elapsed = started_at.elapsed().as_secs_f64();
    times.sort_unstable();
    let quantile = |fraction: f64| {
        let index = (times.len() as f64 * fraction) as usize;
        times.get(index).map_or(0, |time: &Duration| time.as_micros() as u64)
    };
    Part {
        refused_per_s: f64::from(refused) / elapsed,
        served_per_s: times.len() as f64 / elapsed,
        failed,
        median_us: quantile(0.5),
        p99_us: quantile(0.99),
        cores: (cpu_seconds() - cpu_before) / elapsed,
    }
}

/// Calls with a different unknown key each time; returns how many calls were refused.
async fn flood(site: Arc<Site>, number: u32, per_s: u32, until: Instant) -> u32 {
    let mut ticks = interval(Duration::from_secs(1) * FLOOD_CONNECTIONS / per_s);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let (mut refused, mut call) = (0, 0);
    while Instant::now() < until {
        ticks.tick().await;
        call += 1;
        let key = format!("unknown-{number}-{call}");
        let (status, _) = site.call_as(&key, 0, Method::GET, JOB_PATH, Value::Null).await;
        refused += u32::from(status == 401);
    }
    refused
}

/// Calls with a valid key; returns the response times, and the number of calls with any other
/// response.
async fn call_with_valid_key(site: Arc<Site>, until: Instant) -> (Vec<Duration>, usize) {
    let (mut times, mut failed) = (Vec::new(), 0);
    while Instant::now() < until {
        let started_at = Instant::now();
        let (status, _) =
            site.call_as(&account_key(ACCOUNT), 0, Method::GET, JOB_PATH, Value::Null).await;
        match status {
            // The expected response for a job that was never submitted.
            410 => times.push(started_at.elapsed()),
            _ => failed += 1,
        }
        sleep(CLIENT_PAUSE).await;
    }
    (times, failed)
}

fn table(report: &Report) -> String {
    let line = |what: &str, part: &Part| {
        format!(
            "{what:8} unknown keys refused/s {:8.0}, good keys served/s {:6.0} (harmed {}), median {} us, p99 {} us, \
             cores {:.3}",
            part.refused_per_s,
            part.served_per_s,
            part.failed,
            part.median_us,
            part.p99_us,
            part.cores,
        )
    };
    let cost =
        format!("an unknown key costs the daemon {:.1} us of processor time", report.cost_us);
    [line("alone", &report.alone), line("flooded", &report.flooded), cost].join("\n")
}
