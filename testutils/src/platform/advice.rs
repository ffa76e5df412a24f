//! The advice service: it lets steps run on the workers of some machines only.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::platform::json_response;
use crate::platform::machines::Machines;
use crate::platform::read_json;

/// The only machine whose workers may run steps of queues that need advice.
pub const ADVISED_MACHINE: &str = "m-1";
/// How long a ticket is said to hold, in milliseconds.
const VALID_MS: u64 = 1_000;

/// The ticket that a worker wants to see.
pub fn ticket(worker: &str) -> String {
    format!("ticket-{worker}")
}

/// A running service.
pub struct Advice {
    /// Where it answers.
    pub addr: SocketAddr,
    _shutdown: Arc<watch::Sender<bool>>,
}

impl Advice {
    /// Starts it on a port chosen by the system.
    pub async fn start(machines: &Machines) -> std::io::Result<Advice> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (open, closed) = watch::channel(false);
        let addr = listener.local_addr()?;
        let machines = machines.clone();
        tokio::spawn(serve(listener, closed, move |request| advise(machines.clone(), request)));
        Ok(Advice { addr, _shutdown: Arc::new(open) })
    }
}

async fn advise(machines: Machines, request: Request<Incoming>) -> Response<Body> {
    let question = read_json(request.into_body()).await;
    let named: Vec<&str> =
        question["workers"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    let good = machines.worker(ADVISED_MACHINE).map(|worker| worker.id);
    let good = good.filter(|id| named.contains(&id.as_str()));
    let rows: Vec<Value> = good.iter().map(|id| json!([id, ticket(id)])).collect();
    json_response(200, &json!({ "good": rows, "valid_ms": VALID_MS }))
}
