//! Follows the log: applies each batch, and knows when the log's end was reached.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use rand::RngExt;
use thiserror::Error;
use tokio::time::sleep;

use crate::coordination::node::Node;
use crate::protocol::log::Item;
use crate::protocol::log::Page;
use crate::protocol::log::read_path;
use crate::state::id::Offset;
use crate::state::record::Batch;
use crate::state::record::Body;
use crate::state::snapshot::Assembly;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::full;

/// Records asked for at a time.
const MAX_RECORDS: usize = 1000;
/// Largest answer to a read, in bytes.
const MAX_PAGE: usize = 64 * 1024 * 1024;
/// How long the log may hold a read that finds nothing new.
const LONG_POLL: Duration = Duration::from_millis(500);
/// How long a read may take.
const READ_WAIT: Duration = Duration::from_secs(5);
/// First pause after a failed read.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after failed reads.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Why the log could not be followed.
#[derive(Debug, Error)]
pub enum FollowError {
    /// The read failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The log's end is before what this daemon has applied.
    #[error("the log ends at {end}, before {applied}")]
    WentBack {
        /// Offset of the log's end.
        end: Offset,
        /// First offset not applied.
        applied: Offset,
    },
}

/// Follows the log for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut backoff = MIN_BACKOFF;
    let mut assembly = Assembly::default();
    loop {
        match step(&node, &mut assembly).await {
            Ok(()) => backoff = MIN_BACKOFF,
            Err(error) => {
                node.counters.count(failure_counter(&error));
                let jitter = rand::rng().random_range(0.5..1.0);
                sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

fn failure_counter(error: &FollowError) -> &'static str {
    match error {
        FollowError::Exchange(ExchangeError::NotSent(_)) => "log.read.failed.not-sent",
        FollowError::Exchange(ExchangeError::Timeout) => "log.read.failed.timeout",
        FollowError::Exchange(ExchangeError::Status(_)) => "log.read.failed.status",
        FollowError::Exchange(_) => "log.read.failed.cut",
        FollowError::WentBack { .. } => "log.read.went-back",
    }
}

async fn step(node: &Node, assembly: &mut Assembly) -> Result<(), FollowError> {
    let begun = Instant::now();
    let from = node.replica.fleet().next;
    let page = read(node, from).await?;
    if page.next < from {
        return Err(FollowError::WentBack {
            end: page.next,
            applied: from,
        });
    }
    if page.first > from {
        seek_snapshot(node, &page, assembly);
        return Ok(());
    }
    for item in &page.records {
        apply(node, item).await;
    }
    node.routes.rebuild(&node.replica.fleet());
    node.replica.announce();
    if node.replica.next() == page.next {
        node.replica.note_log_read(begun);
    }
    Ok(())
}

async fn read(node: &Node, from: Offset) -> Result<Page, ExchangeError> {
    let path = read_path(from, MAX_RECORDS, LONG_POLL.as_millis() as u64);
    let request = Request::get(path).body(full(""))?;
    let answer = node
        .dialer
        .exchange(node.settings.log, request, MAX_PAGE, READ_WAIT)
        .await?;
    if !answer.status().is_success() {
        return Err(ExchangeError::Status(answer.status().as_u16()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}

async fn apply(node: &Node, item: &Item) {
    // A record that another program wrote, or a later version of this one, is passed over by all
    // readers alike.
    let bytes = item.bytes().ok();
    let Some(batch) = bytes.and_then(|bytes| Batch::decode(&bytes).ok()) else {
        node.counters.count("log.read.not-a-batch");
        node.replica.skip(item.offset);
        return;
    };
    let verdicts = node.replica.apply(item.offset, &batch);
    node.counters
        .add("log.read.records", batch.records.len() as u64);
    if batch.writer == node.settings.id {
        node.appender.settle(verdicts).await;
    }
}

/// Looks for a whole snapshot among records that follow a gap.
fn seek_snapshot(node: &Node, page: &Page, assembly: &mut Assembly) {
    for item in &page.records {
        let bytes = item.bytes().ok();
        let Some(batch) = bytes.and_then(|bytes| Batch::decode(&bytes).ok()) else {
            continue;
        };
        for record in batch.records {
            let Body::Snapshot(chunk) = record.body else {
                continue;
            };
            match assembly.add(chunk) {
                Ok(Some(fleet)) => {
                    node.replica.install(fleet);
                }
                Ok(None) => {}
                Err(_) => node.counters.count("snapshot.refused"),
            }
        }
    }
}
