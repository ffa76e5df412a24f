//! Sample values for in-process tests of batch work: an accepted job, a worker's entry.

pub mod published;
pub mod simulation;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::dispatch::lease::Lease;
use spokelift_lib::batch::node::Node;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::metrics::Counters;
use spokelift_lib::settings::NodeSettings;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Job;
use spokelift_platform::job::Step;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::Status;
use spokelift_platform::settings::Settings;
use spokelift_platform::store::Record;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Resources;
use tokio::net::TcpListener;

/// A dispatch lease that outlasts every test.
pub fn long_lease() -> Lease {
    let lease = Lease::default();
    lease.extend_until(clock::now() + Duration::from_secs(3_600));
    lease
}

/// An address on which nothing listens.
pub fn unused_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// A job of service `work` that runs `steps` once, accepted one second after the Unix epoch.
///
/// ```
/// use spokelift_platform::job::Step;
/// use spokelift_testutils::batch::accepted;
/// assert_eq!(accepted(vec![Step::default()]).service, "work");
/// ```
pub fn accepted(steps: Vec<Step>) -> Accepted {
    Accepted {
        job: Job { spec: "x".to_owned(), steps, repetitions: 0, first_run_ms: 0, interval_ms: 0 },
        queue: "q".to_owned(),
        service: "work".to_owned(),
        priority: 0,
        max_attempts: 2,
        needs_advice: false,
        objective_ms: 600,
        stretch_percent: 160,
        at: Duration::from_secs(1),
        account: None,
    }
}

/// The entry of a worker of service `work` on `machine`, with `cpu` thousandths of a core and as
/// many megabytes of memory.
pub fn entry(machine: &str, cpu: u32) -> Entry {
    Entry {
        service: "work".to_owned(),
        address: unused_addr(),
        hall: "hall-1".to_owned(),
        draining: false,
        capacity: Resources { cpu, memory_mb: cpu, gpu: 0 },
        labels: vec!["r1-1".to_owned()],
        leaves_in_ms: None,
        machine: Some(machine.to_owned()),
        birth_ms: None,
    }
}

/// A box in the pool of service `work`, as the platform lists it.
pub fn machine(id: &str, status: Status, worker: Option<&str>) -> Machine {
    Machine {
        id: id.to_owned(),
        pool: "work".to_owned(),
        status,
        hall: "hall-1".to_owned(),
        labels: Vec::new(),
        capacity: Resources::default(),
        worker: worker.map(str::to_owned),
    }
}

/// The compacted progress topic: the latest record of each key.
pub type Store = BTreeMap<String, Record>;

/// Applies the pending records of the cell to `store` and reports them to the cell as durable.
///
/// ```
/// use spokelift_lib::batch::cell::Cell;
/// use spokelift_testutils::batch::{flush, Store};
/// let mut store = Store::new();
/// flush(&mut Cell::new(1), &mut store);
/// assert!(store.is_empty());
/// ```
pub fn flush(cell: &mut Cell, store: &mut Store) {
    let flush = cell.take_flush();
    for record in &flush.records {
        match record.value {
            Some(_) => store.insert(record.key.clone(), record.clone()),
            None => store.remove(&record.key),
        };
    }
    cell.on_flushed(&flush);
}

/// Starts a node that serves its peers on `listener` and runs none of its background tasks.
pub fn node(listener: TcpListener, store: SocketAddr) -> Arc<Node> {
    let addr = listener.local_addr().expect("a listener has an address");
    node_behind(listener, addr, store)
}

/// Like [`node`], for a node that others reach at `addr`, such as that of a proxy to `listener`.
pub fn node_behind(listener: TcpListener, addr: SocketAddr, store: SocketAddr) -> Arc<Node> {
    let (ip, port) = (addr.ip(), addr.port());
    let settings_text = format!(
        "node = \"n-{addr}\"\nip = \"{ip}\"\nzone = \"hall-1\"\nportRange = [{port}, {}]\n\
         [listen]\nfront = \"{ip}:1\"\nreadiness = \"{ip}:1\"\n[platform]\naddress = \"{store}\"\n",
        u32::from(port) + 1,
    );
    let settings = Settings::decode(&settings_text).expect("the settings decode");
    let options = NodeSettings::resolve(|_| None).expect("every setting has a value");
    let options = NodeSettings { refuse_after_objectives: 3, ..options };
    let node = Node::new(settings, options, Counters::new(None).expect("no metrics are sent"));
    tokio::spawn(node.clone().serve_peers(listener, crate::serve::unlimited()));
    node
}
