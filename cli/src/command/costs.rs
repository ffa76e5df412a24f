//! The costs of a whole site.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use serde::Serialize;
use spokelift_lib::batch::costs::Cost;
use spokelift_lib::batch::costs::Costs;
use spokelift_lib::batch::view;

use crate::client::Client;
use crate::error::Error;

/// Message of the log lines in which nodes report their costs.
const LOG_MESSAGE: &str = "costs so far costs=";

/// One kind of cost, added up over the nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// The kind.
    pub kind: String,
    /// Number of nodes that incur it.
    pub nodes: usize,
    /// Its sum.
    pub total: Cost,
    /// The largest count of one node.
    pub most: u64,
}

/// Asks all nodes that `client`'s node knows for their costs. Nodes that do not answer are left out.
pub async fn of_site(client: &Client) -> Result<Vec<Row>, Error> {
    let nodes: Vec<SocketAddr> = client.get(&format!("{}nodes", view::PATH)).await?;
    let mut all = Vec::new();
    for node in nodes {
        match Client::new(node, "").get(&format!("{}costs", view::PATH)).await {
            Ok(costs) => all.push(costs),
            Err(error) => log::warn!("no costs from {node}: {error}"),
        }
    }
    Ok(add_up(all))
}

/// Adds up the last line of each node in a log. The node's name precedes each line.
pub fn of_log(path: &Path) -> Result<Vec<Row>, Error> {
    let bytes =
        std::fs::read(path).map_err(|source| Error::File { path: path.to_owned(), source })?;
    let text = String::from_utf8_lossy(&bytes);
    let mut last: BTreeMap<&str, Costs> = BTreeMap::new();
    for line in text.lines() {
        let Some((head, costs)) = line.split_once(LOG_MESSAGE) else { continue };
        let node = head.split('[').next().and_then(|head| head.split_whitespace().last());
        match serde_json::from_str(costs) {
            Ok(costs) => {
                last.insert(node.unwrap_or_default(), costs);
            }
            Err(error) => log::warn!("a line of {node:?} cannot be read: {error}"),
        }
    }
    Ok(add_up(last.into_values()))
}

/// Adds up the costs of several nodes; the largest count comes first.
fn add_up(all: impl IntoIterator<Item = Costs>) -> Vec<Row> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for (kind, cost) in all.into_iter().flatten() {
        let row = rows.entry(kind.clone()).or_default();
        row.kind = kind;
        row.nodes += 1;
        row.total.count += cost.count;
        row.total.sent_bytes += cost.sent_bytes;
        row.total.received_bytes += cost.received_bytes;
        row.most = row.most.max(cost.count);
    }
    let mut rows: Vec<Row> = rows.into_values().collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.total.count));
    rows
}
