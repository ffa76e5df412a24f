//! Proxies callers' requests to targets, and the targets' responses back.
//!
//! The reported outcome never claims more than is known. A request was *not run* only if no byte of
//! it was sent to a target, or the target said that it refused it; in every other case without a
//! target's response the outcome is *unknown*.

mod attempt;
mod forward;

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as HttpBody;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;

use crate::call::attempt::Call;
use crate::call::attempt::Payload;
use crate::coordination::node::Node;
use crate::protocol::bearer;
use crate::protocol::call::CALL;
use crate::protocol::call::DEADLINE;
use crate::protocol::call::HEALTH;
use crate::protocol::call::OUTCOME;
use crate::protocol::call::REASON;
use crate::protocol::call::REPEATABLE;
use crate::protocol::call::Reason;
use crate::protocol::call::Refused;
use crate::state::account::Credential;
use crate::state::account::CredentialError;
use crate::state::account::Role;
use crate::state::id::AccountId;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::BodyError;
use crate::transport::dial::full;
use crate::transport::serve::Incoming;
use crate::transport::serve::ReceiveError;

/// Bodies up to this size are read whole before a target is chosen, so that a request whose body is
/// incomplete does not run, and so that a repeatable request can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Answers one request of a caller or of the load balancer.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == HEALTH {
        return health_response(&node);
    }
    match run_call(&node, request).await {
        Ok(response) => {
            node.counters.count("call.answered");
            response
        }
        Err(refused) => {
            node.counters.count(&refused.counter());
            refusal_response(refused)
        }
    }
}

fn health_response(node: &Node) -> Response<Body> {
    let status = match node.is_serving() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(full(""));
    *response.status_mut() = status;
    response
}

fn refusal_response(refused: Refused) -> Response<Body> {
    let body = serde_json::to_vec(&refused).expect("a refusal can be written as JSON");
    let mut response = Response::builder()
        .status(refused.reason.status())
        .header(CONTENT_TYPE, "application/json")
        .header(OUTCOME, refused.outcome.as_str())
        .header(REASON, refused.reason.as_str());
    if let Some(seconds) = refused.reason.retry_after_s() {
        response = response.header(RETRY_AFTER, seconds);
    }
    if matches!(refused.reason, Reason::TooLarge | Reason::Overloaded) {
        // The connection is closed with the rest of the body unread; without this header, a caller
        // may send its next request on it.
        response = response.header(CONNECTION, "close");
    }
    response.body(full(body)).expect("the headers are constants")
}

/// Authenticates and validates a request, then runs it on a target.
async fn run_call(node: &Arc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
    let started_at = clock::now();
    let (head, body) = request.into_parts();
    let account = authenticate(node, &head)?;
    // Whether the daemon is stopping is not checked: requests on open connections are still served.
    if !node.basis().is_fresh() {
        return Err(Refused::not_run(Reason::Stale));
    }
    let path = head.uri.path();
    let service = path.strip_prefix(CALL).filter(|_| head.method == Method::POST);
    let service = service.ok_or(Refused::not_run(Reason::Malformed))?;
    let route = node.routes.find_route(&account, service);
    let route = route.ok_or(Refused::not_run(Reason::UnknownService))?;
    let is_repeatable = parse_repeatable(&head)?;
    let limit = time_limit(node, &head)?;
    let payload = read_payload(node, body, limit).await?;
    node.counters.count(&format!("account.{account}.calls"));
    let call = Call {
        node,
        route,
        account: &account,
        service,
        is_repeatable,
        deadline: started_at + limit,
        head: &head,
    };
    call.run(payload).await
}

/// The account whose caller credential the request carries.
fn authenticate(node: &Node, head: &Parts) -> Result<AccountId, Refused> {
    let account = bearer_credential(head).and_then(|credential| {
        let fleet = node.replica.fleet();
        credential.authenticate(&fleet, Role::Caller)
    });
    account.map_err(|_| Refused::not_run(Reason::Credential))
}

/// The bearer credential in a request's head.
pub(crate) fn bearer_credential(head: &Parts) -> Result<Credential<'_>, CredentialError> {
    Credential::parse(bearer::token(&head.headers)?)
}

fn parse_repeatable(head: &Parts) -> Result<bool, Refused> {
    match head.headers.get(REPEATABLE).map(|value| value.as_bytes()) {
        None | Some(b"false") => Ok(false),
        Some(b"true") => Ok(true),
        Some(_) => Err(Refused::not_run(Reason::Malformed)),
    }
}

/// How long the request may take: the caller's deadline, at most the daemon's own limit.
fn time_limit(node: &Node, head: &Parts) -> Result<Duration, Refused> {
    let max_limit = node.settings.call_limit;
    let Some(value) = head.headers.get(DEADLINE) else {
        return Ok(max_limit);
    };
    let text = value.to_str().ok();
    let millis: Option<u64> = text.and_then(|text| text.parse().ok());
    let millis = millis.ok_or(Refused::not_run(Reason::Malformed))?;
    Ok(max_limit.min(Duration::from_millis(millis)))
}

/// Reads a body of up to [`MAX_BUFFERED_BYTES`] whole; a larger one, or one of unknown size, is
/// streamed.
async fn read_payload(node: &Node, body: Incoming, limit: Duration) -> Result<Payload, Refused> {
    let hint = body.size_hint();
    if hint.lower() > node.settings.body_limit {
        return Err(Refused::not_run(Reason::TooLarge));
    }
    if hint.upper().is_none_or(|upper| upper > MAX_BUFFERED_BYTES) {
        return Ok(Payload::Stream(limited_stream(node, body)));
    }
    match tokio::time::timeout(limit, body.receive(MAX_BUFFERED_BYTES as usize)).await {
        Ok(Ok(received)) => Ok(Payload::Buffered(received)),
        Ok(Err(ReceiveError::Exhausted(_))) => Err(Refused::not_run(Reason::Overloaded)),
        _ => Err(Refused::not_run(Reason::Incomplete)),
    }
}

/// A stream of the body that fails once it exceeds the daemon's limit.
fn limited_stream(node: &Node, body: Incoming) -> Body {
    let limited = Limited::new(body, node.settings.body_limit as usize);
    limited.map_err(body_error).boxed_unsync()
}

fn body_error(error: Box<dyn std::error::Error + Send + Sync>) -> BodyError {
    if error.is::<LengthLimitError>() {
        return BodyError::TooLarge;
    }
    match error.downcast::<hyper::Error>() {
        Ok(error) => BodyError::Cut(*error),
        Err(_) => BodyError::Timeout,
    }
}

impl Payload {
    /// The body for one attempt; `None` if an earlier one has sent the stream.
    fn take_body(&mut self) -> Option<Body> {
        match std::mem::replace(self, Payload::Consumed) {
            Payload::Buffered(received) => {
                let body = full(received.bytes.clone());
                *self = Payload::Buffered(received);
                Some(body)
            }
            Payload::Stream(body) => Some(body),
            Payload::Consumed => None,
        }
    }

    /// Returns a stream that was not sent, for the next attempt.
    fn restore_body(&mut self, body: Body) {
        if matches!(self, Payload::Consumed) {
            *self = Payload::Stream(body);
        }
    }
}
