//! Follows the records that the operator writes: the configuration, the maintenance waves and the
//! evacuations of data halls.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::evacuation;
use spokelift_platform::store::CONFIG_KEY;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use spokelift_platform::wave;
use spokelift_platform::wave::Wave;
use tokio::time::sleep;

use crate::batch::config::Config;
use crate::batch::node::Node;
use crate::batch::watch::Group;

/// Long-poll time of a read. It bounds how long a connection that no longer delivers data goes
/// unnoticed, and a configuration must be in force within 2 s.
const LONG_POLL: Duration = Duration::from_millis(1_200);
/// Timeout of a call, in addition to its long-poll time.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Delay between attempts to read the store that leave the records to the peers otherwise.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of nodes that watch the operator's topic at a time. One of them would suffice unless the
/// store rejects it or its announcements are lost.
const WATCHERS: usize = 16;

/// Follows the operator's records until the process ends. A node other than the leader rests
/// between its turns; it learns of new configurations by gossip, and the rest concerns only the
/// leader.
pub async fn run(node: Arc<Node>) {
    let mut from = None;
    loop {
        if from.is_some()
            && !node.holds_lease()
            && let Some(others) = node.directory.count()
        {
            let group = Group { nodes: others + 1, watchers: WATCHERS };
            node.operator_turns.rest(group).await;
        }
        match follow(&node, from).await {
            Ok(next) => from = Some(next),
            Err(_) if node.leaves_records_to_peers() => sleep(PROBE_INTERVAL).await,
            Err(error) => {
                node.counters.count("batch.operator.follow-failed");
                log::debug!("cannot read the operator's records: {error}");
                if error.status() == Some(410) {
                    from = None;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies the records from `from` on, or the newest ones if it is `None`; returns the offset after
/// them.
async fn follow(node: &Node, from: Option<Offset>) -> Result<Offset, CallError> {
    let Some(from) = from else { return read_all(node, CALL_TIMEOUT).await };
    let page = match node.leaves_records_to_peers() {
        true => node.read_topic_directly(OPERATOR_TOPIC, from, CALL_TIMEOUT).await?,
        false => node.read_topic(OPERATOR_TOPIC, from, LONG_POLL, CALL_TIMEOUT).await?,
    };
    for (offset, record) in (from..).zip(&page.records) {
        apply_record(node, record);
        if let Some(hall) = evacuated_hall(node, record) {
            node.set_hall_evacuated(hall, record.value.is_some(), offset);
        }
    }
    Ok(from + page.records.len() as Offset)
}

/// Reads and applies the newest record of each key; returns the offset to read on from.
///
/// # Errors
///
/// As of [`Node::read_newest`].
pub async fn read_all(node: &Node, call_timeout: Duration) -> Result<Offset, CallError> {
    let newest = node.read_newest(OPERATOR_TOPIC, call_timeout).await?;
    for record in &newest.records {
        apply_record(node, record);
    }
    let present = newest.records.iter().filter(|record| record.value.is_some());
    let halls = present.filter_map(|record| evacuated_hall(node, record)).map(str::to_owned);
    node.replace_evacuated_halls(halls.collect(), newest.end);
    Ok(newest.end)
}

/// The hall that a record evacuates or takes back; `None` for records of other kinds. Its value
/// says nothing more, so an evacuation with an invalid value is one all the same.
fn evacuated_hall<'a>(node: &Node, record: &'a Record) -> Option<&'a str> {
    let hall = evacuation::hall_of(&record.key)?;
    let is_valid = record.value.as_ref().is_none_or(|value| evacuation::is_valid(value));
    if hall.is_empty() || !is_valid {
        node.counters.count("batch.operator.evacuation-invalid");
        let reason = if hall.is_empty() { "it names no hall" } else { "its value is no object" };
        log::warn!(key = record.key.as_str(), reason; "invalid evacuation of a hall");
    }
    Some(hall).filter(|hall| !hall.is_empty())
}

fn apply_record(node: &Node, record: &Record) {
    let Some(value) = &record.value else { return };
    if record.key == CONFIG_KEY {
        match Config::decode(value) {
            Ok(config) => {
                node.set_config(config);
            }
            Err(error) => {
                node.counters.count("batch.operator.config-unreadable");
                log::error!(
                    "cannot decode the configuration; the last one stays in force: {error}"
                );
            }
        }
    } else if wave::is_wave(&record.key) {
        match Wave::decode(value) {
            Ok(wave) => node.add_wave(wave),
            Err(error) => log::error!("cannot decode the maintenance wave {}: {error}", record.key),
        }
    }
}
