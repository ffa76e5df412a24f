//! Follows the log: applies each batch, and records when the log's end was reached.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use rand::RngExt;
use thiserror::Error;
use tokio::time::sleep;

use crate::coordination::node::Node;
use crate::coordination::snapshot;
use crate::protocol::log::Item;
use crate::protocol::log::Page;
use crate::protocol::log::read_path;
use crate::state::fleet::Fleet;
use crate::state::id::Offset;
use crate::state::record::Batch;
use crate::state::record::Body;
use crate::state::snapshot::Assembly;
use crate::transport::clock;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::Limits;
use crate::transport::dial::full;

/// Maximum number of records in one read.
const MAX_RECORDS: usize = 1000;
/// Largest response to a read, in bytes.
const MAX_PAGE_BYTES: usize = 64 * 1024 * 1024;
/// How long the log may delay its response to a read that finds nothing new.
const LONG_POLL: Duration = Duration::from_millis(1000);
/// How long a read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
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
    /// The log has discarded records that were not applied, and holds no snapshot to replace them.
    #[error("the log has a gap and no snapshot")]
    NoSnapshot,
    /// The log's end is before what this daemon has applied.
    #[error("the log ends at {end}, before {applied}")]
    LogRegressed {
        /// Offset of the log's end.
        end: Offset,
        /// First offset not applied.
        applied: Offset,
    },
}

/// Follows the log for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut backoff = MIN_BACKOFF;
    let mut search = SnapshotSearch::default();
    loop {
        match read_and_apply(&node, &mut search).await {
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
        FollowError::NoSnapshot => "log.read.no-snapshot",
        FollowError::LogRegressed { .. } => "log.read.went-back",
    }
}

/// The search for a snapshot, when the log no longer has the next record to apply.
#[derive(Default)]
struct SnapshotSearch {
    next_offset: Offset,
    assembly: Assembly,
}

/// Reads one page of the log and applies its batches.
async fn read_and_apply(node: &Arc<Node>, search: &mut SnapshotSearch) -> Result<(), FollowError> {
    let started_at = clock::now();
    let applied = node.replica.fleet().next;
    let from = applied.max(search.next_offset);
    let page = read_page(node, from, LONG_POLL).await?;
    if page.next < applied {
        return Err(FollowError::LogRegressed { end: page.next, applied });
    }
    if page.first > applied {
        node.counters.count("log.read.gap");
        return search_snapshot(node, &page, search).await;
    }
    *search = SnapshotSearch::default();
    apply_page(node, &page, started_at).await;
    Ok(())
}

/// Applies the log up to the end that it has now or later, beside the task that follows it.
/// Concurrent calls share reads.
pub async fn read_to_end(node: &Arc<Node>) -> Result<(), FollowError> {
    let asked_at = clock::now();
    let _reading = node.read_lock.lock().await;
    while !node.replica.is_log_read_since(asked_at) {
        let started_at = clock::now();
        let applied = node.replica.fleet().next;
        let page = read_page(node, applied, Duration::ZERO).await?;
        if page.next < applied {
            return Err(FollowError::LogRegressed { end: page.next, applied });
        }
        if page.first > applied {
            // The task that follows the log searches for a snapshot.
            return Err(FollowError::NoSnapshot);
        }
        apply_page(node, &page, started_at).await;
    }
    Ok(())
}

/// Applies the batches of a page, and records a read that has reached the log's end.
async fn apply_page(node: &Arc<Node>, page: &Page, started_at: Instant) {
    apply_batches(node, batches(page)).await;
    if node.replica.next() >= page.next {
        node.replica.record_log_read(started_at);
    }
}

fn batches(page: &Page) -> Vec<(Offset, Bytes)> {
    // Bytes that are not base64 are skipped like those that are not a batch.
    let bytes = |item: &Item| item.bytes().unwrap_or_default().into();
    page.records.iter().map(|item| (item.offset, bytes(item))).collect()
}

/// Applies batches in order, and publishes the resulting fleet.
pub async fn apply_batches(node: &Arc<Node>, batches: Vec<(Offset, Bytes)>) {
    let _applying = node.apply_lock.lock().await;
    for (offset, bytes) in batches {
        apply_batch(node, offset, bytes).await;
    }
    publish_fleet(node);
}

/// Replaces this daemon's fleet by a later one, or by any one if its own has diverged.
pub async fn install_fleet(node: &Node, fleet: Fleet, has_diverged: bool) {
    let _applying = node.apply_lock.lock().await;
    if has_diverged {
        node.replica.replace_fleet(fleet);
    } else if !node.replica.install_if_newer(fleet) {
        return;
    }
    node.history.forget_batches();
    publish_fleet(node);
}

/// Announces the applied offset once the routes are rebuilt: a receiver that is notified of an
/// offset relies on the routes of that offset.
fn publish_fleet(node: &Node) {
    node.routes.rebuild(&node.replica.fleet());
    node.replica.announce();
}

async fn read_page(node: &Node, from: Offset, long_poll: Duration) -> Result<Page, ExchangeError> {
    let path = read_path(from, MAX_RECORDS, long_poll.as_millis() as u64);
    let request = || Request::get(&path).body(full(""));
    let limits = Limits { max_bytes: MAX_PAGE_BYTES, timeout: READ_TIMEOUT, long_poll };
    let response =
        node.dialer.exchange_hedged(node.settings.log_addr, request, limits).await?.response;
    if !response.status().is_success() {
        return Err(ExchangeError::Status(response.status().as_u16()));
    }
    Ok(serde_json::from_slice(response.body())?)
}

async fn apply_batch(node: &Arc<Node>, offset: Offset, bytes: Bytes) {
    // A record that another program wrote, or a later version of this one, is skipped by all
    // readers alike.
    let Ok(batch) = Batch::decode(&bytes) else {
        if node.replica.skip(offset) {
            node.counters.count("log.read.not-a-batch");
            node.history.keep_batch(offset, bytes);
        }
        return;
    };
    let Some(verdicts) = node.replica.apply(offset, &batch) else {
        return;
    };
    node.counters.add("log.read.records", batch.records.len() as u64);
    node.history.keep_batch(offset, bytes);
    record_snapshots(node, offset, &batch);
    if batch.writer == node.settings.id {
        node.appender.deliver_verdicts(verdicts).await;
    }
}

/// Records the snapshot chunks of a batch, and hashes the state if the batch has a mark.
fn record_snapshots(node: &Arc<Node>, offset: Offset, batch: &Batch) {
    for record in &batch.records {
        if let Body::Snapshot(chunk) = &record.body {
            node.history.record_chunk(chunk);
        }
    }
    let fleet = node.replica.fleet();
    if fleet.marked != offset + 1 {
        return;
    }
    let is_writer = batch.writer == node.settings.id;
    let chunks = snapshot::hash_at_mark(node, &fleet, is_writer);
    if !chunks.is_empty() {
        tokio::spawn(snapshot::write_chunks(node.clone(), chunks));
    }
}

/// Searches the records that follow a gap for a whole snapshot.
async fn search_snapshot(
    node: &Arc<Node>,
    page: &Page,
    search: &mut SnapshotSearch,
) -> Result<(), FollowError> {
    for (offset, bytes) in batches(page) {
        search.next_offset = offset + 1;
        let Ok(batch) = Batch::decode(&bytes) else {
            continue;
        };
        for record in batch.records {
            let Body::Snapshot(chunk) = record.body else {
                continue;
            };
            node.history.record_chunk(&chunk);
            match search.assembly.add(chunk) {
                Ok(Some(fleet)) if fleet.next >= page.first => {
                    node.counters.count("snapshot.installed");
                    install_fleet(node, fleet, false).await;
                    *search = SnapshotSearch::default();
                    return Ok(());
                }
                // The records that follow an older snapshot are no longer on the log.
                Ok(_) => {}
                Err(_) => node.counters.count("snapshot.refused"),
            }
        }
    }
    if page.records.is_empty() {
        // The rest of the log has no snapshot: one may still be written, or a peer may have the
        // state.
        *search = SnapshotSearch::default();
        return Err(FollowError::NoSnapshot);
    }
    Ok(())
}
