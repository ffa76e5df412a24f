//! Commands about batch jobs on the users' platform.

use serde::Serialize;
use spokelift_lib::batch::document::Job;
use spokelift_lib::batch::view;

use crate::args::Args;
use crate::args::BatchAction;
use crate::args::BatchCosts;
use crate::args::BatchSubmit;
use crate::client::Client;
use crate::command::client;
use crate::command::costs;
use crate::command::daemon;
use crate::command::show;
use crate::error::Error;
use crate::output;

/// Executes a `batch` command.
pub async fn run(args: &Args, action: &BatchAction) -> Result<(), Error> {
    let json = args.json;
    if let BatchAction::Costs(BatchCosts { log: Some(path) }) = action {
        return show(json, &costs::of_log(path)?, |rows| output::batch_costs(rows));
    }
    // Read-only endpoints need no credential.
    let viewer = Client::new(daemon(args)?, "");
    match action {
        BatchAction::Accounts(_) => {
            let accounts: view::account::Accounts = viewer.get(&api_path("accounts")).await?;
            show(json, &accounts, output::batch_accounts)
        }
        BatchAction::Services(_) => {
            let services: Vec<view::Service> = viewer.get(&api_path("services")).await?;
            show(json, &services, |services| output::batch_services(services))
        }
        BatchAction::Boxes(_) => {
            let boxes: Vec<view::boxes::Box> = viewer.get(&api_path("boxes")).await?;
            show(json, &boxes, |boxes| output::batch_boxes(boxes))
        }
        BatchAction::Queues(_) => {
            let queues: Vec<view::Queue> = viewer.get(&api_path("queues")).await?;
            show(json, &queues, |queues| output::batch_queues(queues))
        }
        BatchAction::Workers(_) => {
            let workers: Vec<view::Worker> = viewer.get(&api_path("workers")).await?;
            show(json, &workers, |workers| output::batch_workers(workers))
        }
        BatchAction::Shares(_) => {
            let shards: Vec<view::Shard> = viewer.get(&api_path("shares")).await?;
            show(json, &shards, |shards| output::batch_shares(shards))
        }
        BatchAction::Costs(_) => {
            let rows = costs::of_site(&viewer).await?;
            show(json, &rows, |rows| output::batch_costs(rows))
        }
        BatchAction::Waves(_) => {
            let waves: Vec<view::Wave> = viewer.get(&api_path("waves")).await?;
            show(json, &waves, |waves| output::batch_waves(waves))
        }
        BatchAction::Explain(explain) => {
            let job: view::Job = viewer.get(&api_path(&format!("jobs/{}", explain.job))).await?;
            show(json, &job, output::batch_job)
        }
        BatchAction::Submit(submit) => {
            let submitted = self::submit(&client(args)?, submit).await?;
            show(json, &submitted, |submitted| submitted.id.clone())
        }
        BatchAction::Cancel(cancel) => {
            let path = api_path(&format!("jobs/{}", cancel.job));
            let cancelled: view::Cancelled = client(args)?.delete(&path).await?;
            show(json, &cancelled, output::batch_cancelled)
        }
    }
}

fn api_path(suffix: &str) -> String {
    format!("{}{suffix}", view::PATH)
}

/// Submits the job in a TOML file under the given id, or a random one.
async fn submit(client: &Client, submit: &BatchSubmit) -> Result<view::Submitted, Error> {
    let read = std::fs::read_to_string(&submit.file);
    let text = read.map_err(|source| Error::File { path: submit.file.clone(), source })?;
    let job: Job = toml::from_str(&text)
        .map_err(|source| Error::Job { path: submit.file.clone(), source: source.into() })?;
    let id = submit.id.clone().unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let path = api_path(&format!("queues/{}/jobs/{id}", submit.queue));
    client.post(&path, to_json(&job)?).await
}

fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    Ok(serde_json::to_vec(value)?)
}
