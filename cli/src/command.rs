//! Executes the subcommands.

mod batch;
pub mod costs;

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use spokelift_lib::metrics::Totals;
use spokelift_lib::protocol::api::ApiError;
use spokelift_lib::protocol::api::BoxView;
use spokelift_lib::protocol::api::JobView;
use spokelift_lib::protocol::api::PlanView;
use spokelift_lib::protocol::api::PoolView;
use spokelift_lib::protocol::api::Published;
use spokelift_lib::protocol::api::StatusView;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;
use spokelift_lib::state::config::Document;
use spokelift_lib::state::config::Fault;
use spokelift_lib::state::plan::Intent;

use crate::args::Args;
use crate::args::Command;
use crate::args::IntentKind;
use crate::args::PlanAction;
use crate::args::WaveAction;
use crate::bench;
use crate::client::Client;
use crate::error::Error;
use crate::error::FileFault;
use crate::output;
use crate::trial;

/// Time between two polls of a plan that is watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Executes a command.
pub fn run(args: Args) -> Result<(), Error> {
    match &args.command {
        Command::Trial(trial) => trial::run(trial, args.json || trial.json),
        Command::Bench(bench) => bench::run(bench, args.json),
        Command::HashKey(_) => hash_key(),
        Command::Batch(batch) => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(batch::run(&args, &batch.action))
        }
        _ => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            runtime.block_on(run_remote(args))
        }
    }
}

fn hash_key() -> Result<(), Error> {
    let mut secret = String::new();
    std::io::stdin().read_to_string(&mut secret)?;
    println!("{}", format_hash(&hash_secret(secret.trim_end_matches('\n'))));
    Ok(())
}

fn client(args: &Args) -> Result<Client, Error> {
    let daemon = daemon(args)?;
    let key = flag_or_variable(&args.key, "the credential", "key", "SPOKELIFT_KEY")?;
    Ok(Client::new(daemon, &key))
}

fn daemon(args: &Args) -> Result<SocketAddr, Error> {
    let daemon =
        flag_or_variable(&args.daemon, "the daemon's address", "daemon", "SPOKELIFT_DAEMON")?;
    let addr: Result<SocketAddr, _> = daemon.parse();
    addr.map_err(|_| Error::InvalidValue {
        what: "the daemon's address",
        value: daemon,
        accepted: "IP:PORT",
    })
}

fn flag_or_variable(
    flag_value: &Option<String>,
    what: &'static str,
    flag: &'static str,
    variable: &'static str,
) -> Result<String, Error> {
    let value = flag_value.clone().or_else(|| std::env::var(variable).ok());
    value.ok_or(Error::MissingSetting { what, flag, variable })
}

async fn run_remote(args: Args) -> Result<(), Error> {
    let client = client(&args)?;
    let json = args.json;
    match args.command {
        Command::Publish(publish) => {
            let published = self::publish(&client, &publish.file).await?;
            show(json, &published, output::published)
        }
        Command::Intent(intent) => {
            let body = serde_json::to_vec(&to_intent(intent.kind))?;
            let plan: PlanView = client.post("/v1/intents", body).await?;
            show(json, &plan, output::plan)
        }
        Command::Plan(plan) => self::plan(&client, json, plan.action).await,
        Command::Wave(wave) => {
            let path = match wave.action {
                WaveAction::Pause(wave) => format!("/v1/plans/{}/pause", wave.id),
                WaveAction::Resume(wave) => format!("/v1/plans/{}/resume", wave.id),
                WaveAction::Abort(wave) => format!("/v1/plans/{}/abort", wave.id),
            };
            post_plan_action(&client, json, &path).await
        }
        Command::Status(_) => {
            show(json, &client.get::<StatusView>("/v1/status").await?, output::status)
        }
        Command::Pools(_) => {
            show(json, &client.get::<Vec<PoolView>>("/v1/pools").await?, |v| output::pools(v))
        }
        Command::Boxes(_) => {
            show(json, &client.get::<Vec<BoxView>>("/v1/boxes").await?, |v| output::boxes(v))
        }
        Command::Jobs(_) => {
            show(json, &client.get::<Vec<JobView>>("/v1/jobs").await?, |v| output::jobs(v))
        }
        Command::Plans(_) => {
            show(json, &client.get::<Vec<PlanView>>("/v1/plans").await?, |v| output::plans(v))
        }
        Command::Counters(_) => {
            show(json, &client.get::<Totals>("/v1/counters").await?, output::counters)
        }
        Command::Record(record) => {
            let path = format!("/v1/records/{}", record.id);
            show(json, &client.get::<Published>(&path).await?, output::published)
        }
        Command::HashKey(_) | Command::Trial(_) | Command::Bench(_) | Command::Batch(_) => {
            unreachable!("`run` handles these commands")
        }
    }
}

fn show<T: Serialize>(json: bool, value: &T, table: impl Fn(&T) -> String) -> Result<(), Error> {
    if json {
        println!("{}", serde_json::to_string(value)?);
    } else {
        println!("{}", table(value));
    }
    Ok(())
}

async fn publish(client: &Client, path: &Path) -> Result<Published, Error> {
    let read = std::fs::read_to_string(path);
    let text = read.map_err(|source| Error::File { path: path.to_owned(), source })?;
    Document::parse(&text).map_err(|faults| config_error(path, &text, faults))?;
    let published = client.post("/v1/publish", text.clone().into_bytes()).await;
    published.map_err(|error| match error {
        Error::Api { error: ApiError::Config { faults } } => config_error(path, &text, faults),
        error => error,
    })
}

fn config_error(path: &Path, text: &str, faults: Vec<Fault>) -> Error {
    let faults = faults.into_iter().map(|fault| FileFault::new(path, text, fault));
    Error::Config { path: path.to_owned(), faults: faults.collect() }
}

fn to_intent(kind: IntentKind) -> Intent {
    match kind {
        IntentKind::Resize(resize) => {
            Intent::Resize { pool: resize.pool.into(), boxes: resize.boxes }
        }
        IntentKind::Move(moving) => {
            Intent::Move { from: moving.from.into(), to: moving.to.into(), boxes: moving.boxes }
        }
        IntentKind::Place(place) => Intent::Place {
            account: place.account.into(),
            service: place.service.into(),
            replicas: place.replicas,
        },
        IntentKind::Maintain(maintain) => {
            Intent::Maintain { pools: maintain.pool.into_iter().map(Into::into).collect() }
        }
    }
}

async fn plan(client: &Client, json: bool, action: PlanAction) -> Result<(), Error> {
    match action {
        PlanAction::Show(plan) => {
            let path = format!("/v1/plans/{}", plan.id);
            show(json, &client.get::<PlanView>(&path).await?, output::plan)
        }
        PlanAction::Confirm(plan) => {
            post_plan_action(client, json, &format!("/v1/plans/{}/confirm", plan.id)).await
        }
        PlanAction::Cancel(plan) => {
            post_plan_action(client, json, &format!("/v1/plans/{}/abort", plan.id)).await
        }
        PlanAction::Watch(plan) => watch(client, json, &plan.id).await,
    }
}

async fn post_plan_action(client: &Client, json: bool, path: &str) -> Result<(), Error> {
    let plan: PlanView = client.post(path, Vec::new()).await?;
    show(json, &plan, output::progress_line)
}

/// Prints each change of a plan's progress until the plan has ended.
async fn watch(client: &Client, json: bool, id: &str) -> Result<(), Error> {
    let path = format!("/v1/plans/{id}");
    let mut last = String::new();
    loop {
        let plan: PlanView = client.get(&path).await?;
        let line = output::progress_line(&plan);
        if line != last {
            show(json, &plan, output::progress_line)?;
            last = line;
        }
        if plan.phase.is_over() {
            return Ok(());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}
