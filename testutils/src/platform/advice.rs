//! Stand-in for the advice service, which approves the workers of one machine only.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::platform::json_response;
use crate::platform::machines::Machines;
use crate::platform::read_json;
use crate::serve::serve;

/// The only machine whose workers may run steps of queues that need advice.
pub const ADVISED_MACHINE: &str = "m-1";
/// Validity of a ticket, in milliseconds.
const VALID_MS: u64 = 1_000;

/// The ticket that a worker requires.
pub fn ticket(worker: &str) -> String {
    format!("ticket-{worker}")
}

/// A running advice service.
pub struct Advice {
    /// The address on which it serves.
    pub addr: SocketAddr,
    _shutdown: Arc<watch::Sender<bool>>,
}

impl Advice {
    /// Starts the service on a port that the system chooses.
    pub async fn start(machines: &Machines) -> std::io::Result<Advice> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (shutdown, shutdown_rx) = watch::channel(false);
        let addr = listener.local_addr()?;
        let machines = machines.clone();
        tokio::spawn(serve(listener, shutdown_rx, move |request| {
            advise(machines.clone(), request)
        }));
        Ok(Advice { addr, _shutdown: Arc::new(shutdown) })
    }
}

async fn advise(machines: Machines, request: Request<Incoming>) -> Response<Body> {
    let question = read_json(request.into_body()).await;
    let requested: Vec<&str> =
        question["workers"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let approved = machines.worker(ADVISED_MACHINE).map(|worker| worker.id);
    let approved = approved.filter(|id| requested.contains(&id.as_str()));
    let rows: Vec<Value> = approved.iter().map(|id| json!([id, ticket(id)])).collect();
    json_response(200, &json!({ "good": rows, "valid_ms": VALID_MS }))
}
