//! Follows the records that the operator writes: the configuration and the maintenance waves.

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

/// Long-poll time of a read. It bounds how long a connection that no longer delivers data goes
/// unnoticed, and a configuration must be in force within 2 s.
const LONG_POLL: Duration = Duration::from_millis(1_200);
/// Timeout of a call, in addition to its long-poll time.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// Follows the operator's records until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut from = None;
    loop {
        match follow(&node, from).await {
            Ok(next) => from = Some(next),
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
