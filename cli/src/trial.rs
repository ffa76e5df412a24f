//! The main job in one command: a small site on stand-ins, under load and failures. The users'
//! platform unless another site is named.
//!
//! The counts come from what the stand-in workers and callers saw, not from the product.

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

/// Name of the site on the users' platform.
const PLATFORM: &str = "platform";
/// How long one wait of the trial may take.
const PLANS_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Load before the plans are stated.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time until a killed daemon is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
/// Requests a second that may be asked for.
const LOAD_RANGE: std::ops::RangeInclusive<u32> = 1..=2000;
/// Share of the first plan's steps that have ended when failures begin.
const FAILURES_AT_FRACTION: f64 = 0.25;

/// Runs a trial, prints its report, and fails if something that must always hold did not.
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
    let broken = report.violations();
    log_file::keep_or_remove(!broken.is_empty());
    match broken {
        broken if broken.is_empty() => Ok(()),
        broken => Err(Error::Violated { broken }),
    }
}

/// Whether a trial runs its daemons inside this process.
pub fn runs_daemons_here(args: &Trial) -> bool {
    Site::named(&args.site).is_some()
}

async fn run_site(site: Site, load: u32) -> Result<Report, Error> {
    println!("site {}: 6 daemons, {} workers, {} halls", site.name, site.size(), site.halls.len());
    let mut stage = Testbed::start(site).await?;
    let operator = stage.site_client(0);
    stage.wait_until("every daemon serves", |stage| stage.balancer.are_all_healthy()).await;
    let published = publish(&operator, &stage.site.config()).await?;
    println!("configuration: {}", output::published(&published));
    place_jobs(&stage, &operator).await?;
    let load = Load::start(&stage, load);
    sleep(WARM_UP).await;
    let config_everywhere = measure_config_propagation(&stage, &operator).await?;
    println!("a new key was in force on every daemon after {} ms", config_everywhere.as_millis());

    let wave = propose(&operator, maintain_all(&stage)).await?;
    println!("\n{}", truncate_lines(&output::plan(&wave)));
    confirm(&operator, &wave).await?;
    let moving = propose(&operator, move_two_boxes(&stage)).await?;
    println!("\n{}", output::plan(&moving));
    confirm(&operator, &moving).await?;
    let confirmed = Instant::now();

    let plans = [wave.id, moving.id];
    inject_failures(&mut stage, &plans).await?;
    let over = watch_plans(&stage, &plans).await?;
    let rollout = confirmed.elapsed();
    stage.stop_daemon(1).await;
    load.stop().await;
    let counts = stage.ledger.counts();
    for harm in stage.ledger.describe_violations(stage.started_at) {
        println!("{harm}");
    }
    for breach in stage.ledger.describe_breaches(stage.started_at) {
        println!("budget breach {breach}");
    }
    let statuses = stage.totals().await;
    stage.stop_all().await;
    Ok(Report::new(counts, rollout, config_everywhere, over, statuses))
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
async fn place_jobs(stage: &Testbed, operator: &Client) -> Result<(), Error> {
    let mut plans = Vec::new();
    for pool in stage.site.pools {
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
    watch_plans(stage, &plans).await?;
    println!("placed {} services", plans.len());
    Ok(())
}

fn maintain_all(stage: &Testbed) -> Intent {
    let pools = stage.site.pools.iter().map(|pool| pool.name.into());
    Intent::Maintain { pools: pools.collect() }
}

fn move_two_boxes(stage: &Testbed) -> Intent {
    let [from, to, ..] = stage.site.pools else {
        unreachable!("every site has three pools");
    };
    Intent::Move { from: from.name.into(), to: to.name.into(), boxes: 2 }
}

/// How long it takes until a key that is new in the configuration lets callers in everywhere.
async fn measure_config_propagation(stage: &Testbed, operator: &Client) -> Result<Duration, Error> {
    let text = stage.config_with_new_key();
    let begun = Instant::now();
    let publishing = publish(operator, &text);
    let seen = stage.wait_for_new_key();
    let (published, ()) = tokio::join!(publishing, seen);
    published?;
    Ok(begun.elapsed())
}

/// Kills the daemon that drives the first plan and a worker that it has not yet come to.
async fn inject_failures(stage: &mut Testbed, plans: &[String; 2]) -> Result<(), Error> {
    let wave = &plans[0];
    let operator = stage.any_client();
    let holder = loop {
        let plan: PlanView = operator.get(&format!("/v1/plans/{wave}")).await?;
        let ended = plan.finished as f64 / plan.steps.len() as f64;
        if ended >= FAILURES_AT_FRACTION {
            break plan.holder;
        }
        sleep(POLL_INTERVAL).await;
    };
    let victim = stage.kill_worker();
    println!("killed worker {victim} in mid-wave");
    let daemon = usize::from(holder.unwrap_or(0));
    stage.kill_daemon(daemon);
    println!("killed daemon {daemon}, which drove the wave");
    sleep(REPLACEMENT_DELAY).await;
    stage.replace_daemon(daemon)?;
    println!("replaced daemon {daemon} by an empty one");
    Ok(())
}

/// Shows the plans' progress until all are over. Returns whether every one is done.
async fn watch_plans(stage: &Testbed, plans: &[String]) -> Result<bool, Error> {
    let begun = Instant::now();
    let mut shown = Instant::now();
    loop {
        let mut phases = Vec::new();
        for id in plans {
            // The daemon asked may just have been killed; another one knows as much.
            let path = format!("/v1/plans/{id}");
            if let Ok(plan) = stage.any_client().get::<PlanView>(&path).await {
                if shown.elapsed() > Duration::from_secs(2) && !plan.phase.is_over() {
                    println!("{}", output::progress_line(&plan));
                    shown = Instant::now();
                }
                phases.push(plan.phase);
            }
        }
        let over = phases.len() == plans.len() && phases.iter().all(|phase| phase.is_over());
        if over || begun.elapsed() > PLANS_TIMEOUT {
            return Ok(over && phases.iter().all(|phase| *phase == Phase::Done));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The first lines of a long table.
fn truncate_lines(text: &str) -> String {
    const LINES: usize = 16;
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() <= LINES {
        return text.to_owned();
    }
    format!("{}\n... and {} more steps", lines[..LINES].join("\n"), lines.len() - LINES)
}
