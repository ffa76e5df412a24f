//! The `trial` command: runs a small simulated site under load and failures. The site is the users'
//! platform unless another one is named.
//!
//! The counts come from the simulated workers and callers, not from the product.

mod batch;
mod load;
mod log_file;
mod report;
mod testbed;

use std::time::Duration;
use std::time::Instant;

use spokelift_lib::protocol::api::PlanView;
use spokelift_lib::protocol::api::Published;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Phase;
use spokelift_testutils::site::Site;
use tokio::time::sleep;

use crate::args::Trial;
use crate::client::Client;
use crate::error::Error;
use crate::output;
pub use crate::trial::batch::daemon_path;
use crate::trial::load::Load;
pub use crate::trial::log_file::redirect_log;
use crate::trial::report::Report;
use crate::trial::testbed::Testbed;

/// Name of the site that stands for the users' platform.
const PLATFORM: &str = "platform";
/// Timeout of a wait for plans to end.
const PLANS_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two polls of a plan.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time under load before the intents are submitted.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time between the kill of a daemon and its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// Accepted values of `--load`, in requests a second.
const LOAD_RANGE: std::ops::RangeInclusive<u32> = 1..=2000;
/// Fraction of the first plan's steps that have ended when failures are injected.
const FAILURES_AT_FRACTION: f64 = 0.25;

/// Runs a trial and prints its report; fails if an invariant was violated.
pub fn run(args: &Trial, json: bool) -> Result<(), Error> {
    if !batch::FAULT_SECONDS.contains(&args.seconds) {
        return Err(Error::InvalidValue {
            what: "--seconds",
            value: args.seconds.to_string(),
            accepted: "2 to 600",
        });
    }
    if args.site == PLATFORM {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        return runtime.block_on(batch::run(args, json));
    }
    let site = Site::named(&args.site).ok_or(Error::InvalidValue {
        what: "--site",
        value: args.site.clone(),
        accepted: "platform, ulaanbaatar or dakar",
    })?;
    if !LOAD_RANGE.contains(&args.load) {
        return Err(Error::InvalidValue {
            what: "--load",
            value: args.load.to_string(),
            accepted: "1 to 2000",
        });
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_site(site, args.load))?;
    println!("\n{}", report.table());
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let violations = report.violations();
    log_file::keep_or_remove(!violations.is_empty());
    match violations {
        violations if violations.is_empty() => Ok(()),
        violations => Err(Error::Violated { violations }),
    }
}

/// Whether a trial runs its daemons in this process.
pub fn runs_daemons_here(args: &Trial) -> bool {
    Site::named(&args.site).is_some()
}

async fn run_site(site: Site, load: u32) -> Result<Report, Error> {
    println!("site {}: 6 daemons, {} workers, {} halls", site.name, site.size(), site.halls.len());
    let mut testbed = Testbed::start(site).await?;
    let operator = testbed.site_client(0);
    testbed.wait_until("every daemon serves", |testbed| testbed.balancer.are_all_healthy()).await;
    let published = publish(&operator, &testbed.site.config()).await?;
    println!("configuration: {}", output::published(&published));
    place_jobs(&testbed, &operator).await?;
    let load = Load::start(&testbed, load);
    sleep(WARM_UP).await;
    let propagation = measure_config_propagation(&testbed, &operator).await?;
    println!("a new key was in force on every daemon after {} ms", propagation.as_millis());

    let wave = propose(&operator, maintain_all(&testbed)).await?;
    println!("\n{}", truncate_lines(&output::plan(&wave)));
    confirm(&operator, &wave).await?;
    let moving = propose(&operator, move_two_boxes(&testbed)).await?;
    println!("\n{}", output::plan(&moving));
    confirm(&operator, &moving).await?;
    let confirmed = Instant::now();

    let plans = [wave.id, moving.id];
    inject_failures(&mut testbed, &plans).await?;
    let are_done = watch_plans(&testbed, &plans).await?;
    let rollout = confirmed.elapsed();
    testbed.stop_daemon(1).await;
    load.stop().await;
    let counts = testbed.ledger.counts();
    for violation in testbed.ledger.describe_violations(testbed.started_at) {
        println!("{violation}");
    }
    for breach in testbed.ledger.describe_breaches(testbed.started_at) {
        println!("budget breach {breach}");
    }
    let totals = testbed.totals().await;
    testbed.stop_all().await;
    Ok(Report::new(counts, rollout, propagation, are_done, totals))
}

async fn publish(operator: &Client, text: &str) -> Result<Published, Error> {
    operator.post("/v1/publish", text.as_bytes().to_vec()).await
}

async fn propose(operator: &Client, intent: Intent) -> Result<PlanView, Error> {
    operator.post("/v1/intents", serde_json::to_vec(&intent)?).await
}

async fn confirm(operator: &Client, plan: &PlanView) -> Result<PlanView, Error> {
    operator.post(&format!("/v1/plans/{}/confirm", plan.id), Vec::new()).await
}

/// Places every service on every box of its pool.
async fn place_jobs(testbed: &Testbed, operator: &Client) -> Result<(), Error> {
    let mut plans = Vec::new();
    for pool in testbed.site.pools {
        for (service, _) in pool.services {
            let intent = Intent::Place {
                account: pool.account.into(),
                service: (*service).into(),
                replicas: pool.boxes as u32,
            };
            let plan = propose(operator, intent).await?;
            confirm(operator, &plan).await?;
            plans.push(plan.id);
        }
    }
    watch_plans(testbed, &plans).await?;
    println!("placed {} services", plans.len());
    Ok(())
}

fn maintain_all(testbed: &Testbed) -> Intent {
    let pools = testbed.site.pools.iter().map(|pool| pool.name.into());
    Intent::Maintain { pools: pools.collect() }
}

fn move_two_boxes(testbed: &Testbed) -> Intent {
    let [from, to, ..] = testbed.site.pools else {
        unreachable!("every site has three pools");
    };
    Intent::Move { from: from.name.into(), to: to.name.into(), boxes: 2 }
}

/// Publishes a new caller key and returns the time until every daemon accepts it.
async fn measure_config_propagation(
    testbed: &Testbed,
    operator: &Client,
) -> Result<Duration, Error> {
    let text = testbed.config_with_new_key();
    let started_at = Instant::now();
    let publishing = publish(operator, &text);
    let accepted = testbed.wait_for_new_key();
    let (published, ()) = tokio::join!(publishing, accepted);
    published?;
    Ok(started_at.elapsed())
}

/// Kills a worker and the daemon that drives the first plan, once a part of its steps has ended.
/// Replaces the daemon.
async fn inject_failures(testbed: &mut Testbed, plans: &[String; 2]) -> Result<(), Error> {
    let wave = &plans[0];
    let operator = testbed.any_client();
    let driver = loop {
        let plan: PlanView = operator.get(&format!("/v1/plans/{wave}")).await?;
        let fraction = plan.finished as f64 / plan.steps.len() as f64;
        if fraction >= FAILURES_AT_FRACTION {
            break plan.holder;
        }
        sleep(POLL_INTERVAL).await;
    };
    let victim = testbed.kill_worker();
    println!("killed worker {victim} in mid-wave");
    let daemon = usize::from(driver.unwrap_or(0));
    testbed.kill_daemon(daemon);
    println!("killed daemon {daemon}, which drove the wave");
    sleep(REPLACEMENT_DELAY).await;
    testbed.replace_daemon(daemon)?;
    println!("replaced daemon {daemon} by an empty one");
    Ok(())
}

/// Prints the plans' progress until all have ended or the timeout has passed. Returns whether every
/// plan succeeded.
async fn watch_plans(testbed: &Testbed, plans: &[String]) -> Result<bool, Error> {
    let started_at = Instant::now();
    let mut printed_at = Instant::now();
    loop {
        let mut phases = Vec::new();
        for id in plans {
            // The daemon may just have been killed; the next poll picks a running one.
            let path = format!("/v1/plans/{id}");
            if let Ok(plan) = testbed.any_client().get::<PlanView>(&path).await {
                if printed_at.elapsed() > Duration::from_secs(2) && !plan.phase.is_over() {
                    println!("{}", output::progress_line(&plan));
                    printed_at = Instant::now();
                }
                phases.push(plan.phase);
            }
        }
        let are_over = phases.len() == plans.len() && phases.iter().all(|phase| phase.is_over());
        if are_over || started_at.elapsed() > PLANS_TIMEOUT {
            return Ok(are_over && phases.iter().all(|phase| *phase == Phase::Done));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Shortens a long table to its first lines.
fn truncate_lines(text: &str) -> String {
    const LINES: usize = 16;
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() <= LINES {
        return text.to_owned();
    }
    format!("{}\n... and {} more steps", lines[..LINES].join("\n"), lines.len() - LINES)
}
