//! Costs of running a site: calls to the platform, messages between nodes, and boxes in pools, by
//! kind. Each node counts its own; `spokelift batch costs` adds them up for a whole site.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::call;
use tokio::time::sleep;

use crate::metrics::Counters;
use crate::metrics::Totals;
use crate::transport::dial::ExchangeHandler;

/// Prefix of the counters.
const PREFIX: &str = "cost.";
/// Name of the costs of messages between nodes.
const PEER: &str = "peer";
/// Name of the costs of moves of boxes.
pub const BOX_MOVES: &str = "box.move";
/// Name of the costs of boxes in pools: the sum of the times of all, in milliseconds.
pub const BOX_TIME: &str = "box.in-pool-ms";
/// Time between two log lines with the costs.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What one kind of cost sums up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Number of calls, messages or orders; for times their sum.
    pub count: u64,
    /// Bytes of bodies and messages that were sent.
    pub sent_bytes: u64,
    /// The same of those received in answer.
    pub received_bytes: u64,
}

/// Costs by kind.
pub type Costs = BTreeMap<String, Cost>;

/// Counts one call, message or order of a kind, with the bytes sent and received.
pub fn count(counters: &Counters, kind: &str, sent: usize, received: usize) {
    let cost = Cost { count: 1, sent_bytes: sent as u64, received_bytes: received as u64 };
    add(counters, kind, cost);
}

/// Counts a cost.
pub fn add(counters: &Counters, kind: &str, cost: Cost) {
    counters.add(&format!("{PREFIX}{kind}.count"), cost.count);
    counters.add(&format!("{PREFIX}{kind}.sent"), cost.sent_bytes);
    counters.add(&format!("{PREFIX}{kind}.received"), cost.received_bytes);
}

/// Counts a message to another node, by its name, or the answer to one: then nothing is sent.
pub fn count_message(counters: &Counters, name: &str, sent: usize, received: usize) {
    let count = u64::from(sent > 0);
    let cost = Cost { count, sent_bytes: sent as u64, received_bytes: received as u64 };
    add(counters, &format!("{PEER}.{name}"), cost);
}

/// Counts the calls to the platform, by what they ask for and, at the store, by topic.
pub fn count_exchanges(counters: Counters) -> ExchangeHandler {
    Arc::new(move |path, sent, received| match call::kind(path) {
        (kind, Some(topic)) => count(&counters, &format!("{kind}.{topic}"), sent, received),
        (kind, None) => count(&counters, kind, sent, received),
    })
}

/// The costs among the counters of a node.
///
/// ```
/// use spokelift_lib::batch::costs;
/// use spokelift_lib::metrics::Counters;
/// let counters = Counters::new(None).unwrap();
/// costs::count(&counters, "machines.list", 0, 900);
/// assert_eq!(costs::of(&counters.totals())["machines.list"].received_bytes, 900);
/// ```
pub fn of(totals: &Totals) -> Costs {
    let mut costs = Costs::new();
    for (name, total) in totals {
        let Some((kind, part)) = name.strip_prefix(PREFIX).and_then(|name| name.rsplit_once('.'))
        else {
            continue;
        };
        let cost = costs.entry(kind.to_owned()).or_default();
        match part {
            "count" => cost.count = *total,
            "sent" => cost.sent_bytes = *total,
            _ => cost.received_bytes = *total,
        }
    }
    costs
}

/// Logs the costs of a node at intervals, until the process ends.
pub async fn run(counters: Counters) {
    loop {
        sleep(LOG_INTERVAL).await;
        let costs = to_json(&of(&counters.totals()));
        log::info!(costs = costs.as_str(); "costs so far");
    }
}

/// The costs as JSON.
pub fn to_json(costs: &Costs) -> String {
    serde_json::to_string(costs).expect("costs can be written as JSON")
}
