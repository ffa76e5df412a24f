//! What operators see of a node, and what they may have done through it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use spokelift_platform::job::JobId;
use spokelift_platform::job::parse_id;

use crate::batch::caller::Caller;
use crate::batch::commit::WriteOutcome;
use crate::batch::document::Job;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::submit;
use crate::batch::submit::JobAnswer;
use crate::batch::view;
use crate::call::bearer;
use crate::protocol::api::ApiError;
use crate::state::account::SITE;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::full;

/// How long a change may take; the tool waits longer than that.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Largest job that is read, in bytes.
const BODY_LIMIT_BYTES: usize = 262_144;

/// Answers operators: metrics as text, views of batch work and changes of jobs as JSON.
pub(super) async fn handle_operator(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if !path.starts_with(view::PATH) {
        return Response::new(full(metrics_text(&node)));
    }
    let answered = match *request.method() {
        Method::GET => show_view(&node, path).await,
        _ => change_job(&node, request).await,
    };
    let (status, text) = match answered {
        Ok(text) => (200, text),
        Err(error) => {
            node.counters.count(error.counter());
            (error.status(), to_json(&error))
        }
    };
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(full(text)).expect("a status makes an answer")
}

async fn show_view(node: &Node, path: String) -> Result<String, ApiError> {
    match node.ask_leader(peer::Request::View(path)).await {
        Some(Reply::View(Some(view))) => Ok(view),
        Some(Reply::View(None)) => Err(ApiError::NotFound { what: "view or job".into() }),
        _ => Err(ApiError::Stale),
    }
}

/// Submits or cancels a job for the site's operator.
async fn change_job(node: &Arc<Node>, request: Request<Incoming>) -> Result<String, ApiError> {
    let (head, body) = request.into_parts();
    check_credential(node, &head)?;
    let path = head.uri.path().strip_prefix(view::PATH).unwrap_or_default();
    let words: Vec<&str> = path.split('/').collect();
    let until = clock::now() + CHANGE_TIMEOUT;
    match (&head.method, &words[..]) {
        (&Method::POST, ["queues", queue, "jobs", id]) => {
            let id = parse_id(id).ok_or(ApiError::Malformed)?;
            let body = read_body(body).await?;
            submit_job(node, queue, id, &body, until).await
        }
        (&Method::DELETE, ["jobs", id]) => {
            let id = parse_id(id).ok_or(ApiError::Malformed)?;
            cancel_job(node, id, until).await
        }
        _ => Err(ApiError::Malformed),
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, ApiError> {
    match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ApiError::TooLarge),
        Err(_) => Err(ApiError::Malformed),
    }
}

/// Without a key of the site in the node's settings, nobody may change anything.
fn check_credential(node: &Node, head: &Parts) -> Result<(), ApiError> {
    let key = node.options.site_key.ok_or(ApiError::Credential)?;
    let credential = bearer(head)?;
    let valid = credential.account == SITE && credential.matches(&[key]);
    if valid { Ok(()) } else { Err(ApiError::Credential) }
}

async fn submit_job(
    node: &Arc<Node>,
    queue: &str,
    id: JobId,
    body: &[u8],
    until: Instant,
) -> Result<String, ApiError> {
    let config = node.config().ok_or(ApiError::Stale)?;
    let queue = config.queues.iter().find(|known| known.name == queue);
    let queue = queue.ok_or(ApiError::NotFound { what: "queue".into() })?;
    let job = Job::decode(body);
    let job = job.map_err(|error| ApiError::Job { cause: error.to_string().into() })?;
    match node.commit_job(id, submit::accepted_job(job, queue, &Caller::Operator), until).await {
        WriteOutcome::Stored => Ok(to_json(&view::Submitted { id: format!("{id:016x}") })),
        WriteOutcome::Refused(_) | WriteOutcome::IdInUse(_) => Err(ApiError::JobRefused),
        WriteOutcome::Unknown => Err(ApiError::JobUnknown { job: format!("{id:016x}").into() }),
    }
}

async fn cancel_job(node: &Node, id: JobId, until: Instant) -> Result<String, ApiError> {
    match submit::cancel_job(node, id, Caller::Operator, until).await {
        JobAnswer::State(state) => Ok(to_json(&view::Cancelled { state: Some(state) })),
        JobAnswer::CancelStored => Ok(to_json(&view::Cancelled { state: None })),
        JobAnswer::NoJob => Err(ApiError::NotFound { what: "job".into() }),
        JobAnswer::NoAnswer => Err(ApiError::Stale),
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("answers can be written as JSON")
}

fn metrics_text(node: &Node) -> String {
    let totals = node.counters.totals();
    let lines =
        totals.iter().map(|(name, total)| format!("{} {total}\n", name.replace(['.', '-'], "_")));
    let age_ms = node.config_age().unwrap_or_default().as_millis();
    let version = node.config_version();
    let config = format!("batch_config_version {version}\nbatch_config_age_ms {age_ms}\n");
    lines.chain([config, node.latencies.text()]).collect()
}
