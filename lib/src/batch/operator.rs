//! Follows what the operator writes: the configuration and the waves.

use std::sync::Arc;
use std::time::Duration;

use spokelift_platform::call::CallError;
use spokelift_platform::store::CONFIG_KEY;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use spokelift_platform::wave;
use spokelift_platform::wave::Wave;
use tokio::time::sleep;

use crate::batch::config::Config;
use crate::batch::node::Node;

/// How long a read waits for news. A connection that died silently is found out by then, and a
/// configuration must be in force within 2 s.
const LONG_POLL: Duration = Duration::from_millis(1_200);
/// How long a call may take beyond that.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Follows the operator's records until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut from = None;
    loop {
        match follow(&node, from).await {
            Ok(next) => from = Some(next),
            Err(error) => {
                node.counters.count("batch.operator.follow-failed");
                log::debug!("the operator's records cannot be followed: {error}");
                if error.status() == Some(410) {
                    from = None;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow(node: &Node, from: Option<Offset>) -> Result<Offset, CallError> {
    let Some(from) = from else {
        let newest = node.read_newest(OPERATOR_TOPIC, CALL_TIMEOUT).await?;
        for record in &newest.records {
            apply_record(node, record);
        }
        return Ok(newest.end);
    };
    let page = node.read_topic(OPERATOR_TOPIC, from, LONG_POLL, CALL_TIMEOUT).await?;
    for record in &page.records {
        apply_record(node, record);
    }
    Ok(from + page.records.len() as Offset)
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
                log::error!("a configuration does not decode, the last one stays: {error}");
            }
        }
    } else if wave::is_wave(&record.key) {
        match Wave::decode(value) {
            Ok(wave) => node.add_wave(wave),
            Err(error) => log::error!("the wave {} does not decode: {error}", record.key),
        }
    }
}
