//! HTTP interface of a node for operators: metrics, views of batch work and changes of jobs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::http::request::Parts;
use spokelift_platform::job::JobId;
use spokelift_platform::job::parse_id;

use crate::batch::caller::Caller;
use crate::batch::commit::WriteOutcome;
use crate::batch::costs;
use crate::batch::document::Job;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::submit;
use crate::batch::submit::JobAnswer;
use crate::batch::view;
use crate::call::bearer_credential;
use crate::protocol::api::ApiError;
use crate::state::account::SITE;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::full;
use crate::transport::serve::Incoming;
use crate::transport::serve::Received;

/// Timeout of a change; the operator's tool waits longer than that.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Views of the leader that a node asks for at a time. Each may be a megabyte, and is held while it
/// is not certain that the leader has not been replaced.
pub(super) const MAX_VIEWS: usize = 4;
/// Largest body of a submitted job, in bytes.
const BODY_LIMIT_BYTES: usize = 262_144;

/// Answers a request of an operator: metrics as text, views and results of changes as JSON.
pub(super) async fn handle_operator(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if !path.starts_with(view::PATH) {
        return Response::new(full(metrics_text(&node)));
    }
    let result = match *request.method() {
        Method::GET => show_view(&node, path).await,
        _ => change_job(&node, request).await,
    };
    let (status, text) = match result {
        Ok(text) => (200, text),
        Err(error) => {
            node.counters.count(error.counter());
            (error.status(), to_json(&error))
        }
    };
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(full(text)).expect("the status and header are valid")
}

async fn show_view(node: &Node, path: String) -> Result<String, ApiError> {
    match path.strip_prefix(view::PATH) {
        Some("nodes") => return Ok(to_json(&operator_addrs(node))),
        Some("costs") => return Ok(costs::to_json(&costs::of(&node.counters.totals()))),
        _ => {}
    }
    let _permit = node.view_permits.acquire().await.expect("the semaphore is never closed");
    match node.ask_leader(peer::Request::View(path)).await {
        Some(Reply::View(Some(view))) => Ok(view),
        Some(Reply::View(None)) => Err(ApiError::NotFound { what: "view or job".into() }),
        _ => Err(ApiError::Stale),
    }
}

/// Addresses at which this node and the others answer operators.
fn operator_addrs(node: &Node) -> Vec<SocketAddr> {
    let settings = &node.settings;
    let distance = settings.metrics_port.wrapping_sub(settings.peer_port);
    let of_peer = |addr: SocketAddr| SocketAddr::new(addr.ip(), addr.port().wrapping_add(distance));
    let others = node.directory.addrs();
    std::iter::once(settings.peer_addr()).chain(others).map(of_peer).collect()
}

/// Submits or cancels a job for the operator of the site.
async fn change_job(node: &Arc<Node>, request: Request<Incoming>) -> Result<String, ApiError> {
    let (head, body) = request.into_parts();
    check_credential(node, &head)?;
    let path = head.uri.path().strip_prefix(view::PATH).unwrap_or_default();
    let segments: Vec<&str> = path.split('/').collect();
    let deadline = clock::now() + CHANGE_TIMEOUT;
    match (&head.method, &segments[..]) {
        (&Method::POST, ["queues", queue, "jobs", id]) => {
            let id = parse_id(id).ok_or(ApiError::Malformed)?;
            let body = body.receive(BODY_LIMIT_BYTES).await?;
            submit_job(node, queue, id, body, deadline).await
        }
        (&Method::DELETE, ["jobs", id]) => {
            let id = parse_id(id).ok_or(ApiError::Malformed)?;
            cancel_job(node, id, deadline).await
        }
        _ => Err(ApiError::Malformed),
    }
}

/// Checks that the request carries the key of the site. Without one in the node's settings, every
/// change is refused.
fn check_credential(node: &Node, head: &Parts) -> Result<(), ApiError> {
    let key = node.options.site_key_hash.ok_or(ApiError::Credential)?;
    let credential = bearer_credential(head)?;
    let is_valid = credential.account == SITE && credential.matches(&[key]);
    if is_valid { Ok(()) } else { Err(ApiError::Credential) }
}

async fn submit_job(
    node: &Arc<Node>,
    name: &str,
    id: JobId,
    mut body: Received,
    deadline: Instant,
) -> Result<String, ApiError> {
    let config = node.config().ok_or(ApiError::Stale)?;
    let queue = config.queues.iter().find(|queue| queue.name == name);
    let queue = queue.ok_or(ApiError::NotFound { what: "queue".into() })?;
    let job = Job::decode(&body.bytes);
    let job = job.map_err(|error| ApiError::Job { cause: error.to_string().into() })?;
    body.hold_decoded(job.memory())?;
    match node.commit_job(id, submit::accepted_job(job, queue, &Caller::Operator), deadline).await {
        WriteOutcome::Stored => Ok(to_json(&view::Submitted { id: format!("{id:016x}") })),
        WriteOutcome::Refused(_) | WriteOutcome::IdInUse(_) => Err(ApiError::JobRefused),
        WriteOutcome::Unknown => Err(ApiError::JobUnknown { job: format!("{id:016x}").into() }),
    }
}

async fn cancel_job(node: &Node, id: JobId, deadline: Instant) -> Result<String, ApiError> {
    match submit::cancel_job(node, id, Caller::Operator, deadline).await {
        JobAnswer::State(state) => Ok(to_json(&view::Cancelled { state: Some(state) })),
        JobAnswer::CancelStored => Ok(to_json(&view::Cancelled { state: None })),
        JobAnswer::NoJob => Err(ApiError::NotFound { what: "job".into() }),
        JobAnswer::NoAnswer => Err(ApiError::Stale),
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("answers can be encoded as JSON")
}

fn metrics_text(node: &Node) -> String {
    let totals = node.counters.totals();
    let lines =
        totals.iter().map(|(name, total)| format!("{} {total}\n", name.replace(['.', '-'], "_")));
    let age_ms = node.config_age().unwrap_or_default().as_millis();
    let version = node.config_version();
    let config = format!("batch_config_version {version}\nbatch_config_age_ms {age_ms}\n");
    lines.chain([config, node.latencies.render()]).collect()
}
