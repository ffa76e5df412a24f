//! Benchmark of the configuration's way to the nodes: nodes in this process on links of a limited
//! rate, some of them turned away by the store. Each node has one link for what it sends to other
//! nodes and one for what the store sends to it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use spokelift_lib::batch::gossip;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::operator;
use spokelift_platform::store::CONFIG_KEY;
use spokelift_platform::store::OPERATOR_TOPIC;
use spokelift_platform::store::Record;
use spokelift_testutils::batch::node_behind;
use spokelift_testutils::batch::published::large_config;
use spokelift_testutils::platform::store;
use spokelift_testutils::platform::store::Store;
use spokelift_testutils::proxy::Fault;
use spokelift_testutils::proxy::Flow;
use spokelift_testutils::proxy::Proxy;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::args::BenchConfig;
use crate::bench::probe::resident_bytes;
use crate::error::Error;
use crate::output::pairs;

/// One node of this many is turned away by the store.
const TURNED_AWAY: usize = 3;
/// Time between two looks at the versions that are in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which a version that is not in force everywhere is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// Time between two versions, in which the nodes come to rest.
const PAUSE: Duration = Duration::from_secs(3);
/// CPU of each node as its entry says it, in thousandths of a core.
const NODE_CPU: u32 = 120;

/// How a version reached the nodes.
#[derive(Clone, Debug, Serialize)]
struct Row {
    /// What changed.
    change: &'static str,
    /// Size of the operator's record, in bytes.
    record_bytes: usize,
    /// Nodes with the version when the benchmark ended its wait.
    nodes: usize,
    /// Time from the record until half, 99 % and the last of those nodes had the version.
    median_ms: u64,
    p99_ms: u64,
    last_ms: u64,
    /// Bytes that passed the links, divided by the nodes.
    bytes_per_node: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Report {
    nodes: usize,
    routes: u32,
    mbit: u32,
    /// Resident memory of this process divided by the nodes, in bytes.
    resident_per_node: u64,
    versions: Vec<Row>,
}

/// A node and its links.
struct Member {
    node: Arc<Node>,
    links: [Proxy; 2],
    _store: store::Endpoint,
}

/// Measures and prints a table, and one line of JSON if requested.
pub fn run(args: &BenchConfig, json: bool) -> Result<(), Error> {
    for (what, value, max) in [
        ("--nodes", args.nodes, 600),
        ("--routes", args.routes, 100_000),
        ("--mbit", args.mbit, 1_000),
    ] {
        if !(1..=max).contains(&value) {
            let accepted = "1 to 600 nodes, 100000 routes, 1000 Mbit/s";
            return Err(Error::InvalidValue { what, value: value.to_string(), accepted });
        }
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(measure(args))?;
    print_report(&report);
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

async fn measure(args: &BenchConfig) -> Result<Report, Error> {
    let store = Store::default();
    store.put(OPERATOR_TOPIC, record(1, args.routes / 10));
    let members = start(&store, args).await?;
    wait_for(&members, 1, Instant::now()).await;
    let changes =
        [("all but a tenth is new", args.routes), ("10 routes are new", args.routes + 10)];
    let mut versions = Vec::new();
    for (version, (change, routes)) in (2..).zip(changes) {
        sleep(PAUSE).await;
        let record = record(version, routes);
        let record_bytes = record.value.as_ref().map_or(0, Vec::len);
        let before = forwarded(&members);
        let put_at = Instant::now();
        store.put(OPERATOR_TOPIC, record);
        let times = wait_for(&members, version, put_at).await;
        let at = |fraction: f64| {
            let index = (times.len() as f64 * fraction).ceil() as usize;
            times.get(index.saturating_sub(1)).map_or(0, |time| time.as_millis() as u64)
        };
        versions.push(Row {
            change,
            record_bytes,
            nodes: times.len(),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            last_ms: at(1.0),
            bytes_per_node: (forwarded(&members) - before) / members.len() as u64,
        });
    }
    let resident_per_node = resident_bytes() / members.len() as u64;
    let (nodes, routes, mbit) = (members.len(), args.routes, args.mbit);
    Ok(Report { nodes, routes, mbit, resident_per_node, versions })
}

/// Starts the nodes and the tasks through which they learn of versions.
async fn start(store: &Store, args: &BenchConfig) -> Result<Vec<Member>, Error> {
    let rate = u64::from(args.mbit) * 1_000_000 / 8;
    let mut members = Vec::new();
    for number in 0..args.nodes as usize {
        let endpoint = store.open_endpoint().await?;
        if number % TURNED_AWAY == TURNED_AWAY - 1 {
            endpoint.set_fault(store::Fault::Busy);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let links =
            [Proxy::start(listener.local_addr()?).await?, Proxy::start(endpoint.addr).await?];
        for link in &links {
            link.set_fault(Fault { answer: Flow::Limit(rate), ..Fault::default() });
        }
        let node = node_behind(listener, links[0].addr, links[1].addr);
        members.push(Member { node, links, _store: endpoint });
    }
    for member in &members {
        let own = member.links[0].addr;
        let others = members.iter().map(|other| other.links[0].addr);
        let others = others.filter(|addr| *addr != own).map(|addr| (addr, NODE_CPU));
        member.node.directory.set_nodes(others);
        tokio::spawn(operator::run(member.node.clone()));
        tokio::spawn(gossip::run(member.node.clone()));
    }
    Ok(members)
}

fn record(version: u64, routes: u32) -> Record {
    Record::set(CONFIG_KEY, large_config(version, routes))
}

/// Waits until all nodes have a version; returns how long after `since` each got it, in order.
async fn wait_for(members: &[Member], version: u64, since: Instant) -> Vec<Duration> {
    let mut has = vec![false; members.len()];
    let mut times = Vec::new();
    while times.len() < members.len() && since.elapsed() < GIVE_UP_AFTER {
        for (member, has) in members.iter().zip(&mut has) {
            if !*has && member.node.config_version() >= version {
                *has = true;
                times.push(since.elapsed());
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
    times
}

fn forwarded(members: &[Member]) -> u64 {
    members.iter().flat_map(|member| &member.links).map(Proxy::forwarded_bytes).sum()
}

fn print_report(report: &Report) {
    println!(
        "{} nodes on links of {} Mbit/s, {} routes, a third turned away by the store",
        report.nodes, report.mbit, report.routes
    );
    for row in &report.versions {
        println!();
        println!(
            "{}",
            pairs([
                ("change", row.change.to_owned()),
                ("operator's record", format!("{} KB", row.record_bytes / 1_000)),
                ("nodes with it", format!("{} of {}", row.nodes, report.nodes)),
                ("half of the nodes", format!("{} ms", row.median_ms)),
                ("99 % of the nodes", format!("{} ms", row.p99_ms)),
                ("last node", format!("{} ms", row.last_ms)),
                ("passed the links", format!("{} KB a node", row.bytes_per_node / 1_000)),
            ])
        );
    }
    println!();
    println!("resident memory  {} KB a node", report.resident_per_node / 1_000);
}
