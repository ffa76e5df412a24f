//! Attempts to run a request on a target, and the rule by which another attempt is safe.

use std::sync::Arc;
use std::time::Instant;

use hyper::Response;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::timeout_at;

use crate::call::forward;
use crate::call::forward::ForwardedBody;
use crate::coordination::node::Node;
use crate::coordination::route::Route;
use crate::coordination::route::Slot;
use crate::protocol::call::OUTCOME;
use crate::protocol::call::Outcome;
use crate::protocol::call::REQUEST;
use crate::protocol::call::Reason;
use crate::protocol::call::Refused;
use crate::protocol::worker::LEAVING;
use crate::protocol::worker::REFUSED;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::ResponseBody;
use crate::transport::dial::SendError;
use crate::transport::serve::Received;

/// Maximum number of targets that are tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// One request of a caller.
pub(super) struct Call<'a> {
    pub node: &'a Arc<Node>,
    pub route: Arc<Route>,
    pub account: &'a AccountId,
    pub service: &'a str,
    pub is_repeatable: bool,
    pub deadline: Instant,
    pub head: &'a Parts,
}

/// The body of a caller's request.
pub(super) enum Payload {
    /// Read whole; can be sent several times.
    Buffered(Received),
    /// Streamed; can be sent once.
    Stream(Body),
    /// A stream that was sent already.
    Consumed,
}

/// How one attempt ended.
enum Attempt {
    /// The head of the target's response was received.
    Answer(Box<Response<ResponseBody>>),
    /// The target has not run the request.
    NotRun(Reason),
    /// The target may have run it.
    Unknown(Reason),
}

impl Call<'_> {
    /// Tries targets until one answers or no further attempt is both safe and possible.
    pub(super) async fn run(&self, mut payload: Payload) -> Result<Response<Body>, Refused> {
        let mut tried: Vec<BoxId> = Vec::new();
        let mut last = Refused::not_run(Reason::Unreachable);
        while tried.len() < MAX_ATTEMPTS {
            let slot = match self.acquire_slot(&tried).await {
                Ok(slot) => slot,
                Err(_) if !tried.is_empty() => return Err(last),
                Err(reason) => return Err(Refused::not_run(reason)),
            };
            let id: u128 = rand::random();
            let failed = match self.attempt_once(&slot, id, &mut payload).await {
                Attempt::Answer(response) => return Ok(self.forward_response(*response, slot)),
                Attempt::NotRun(reason) => Refused::not_run(reason),
                Attempt::Unknown(reason) => Refused::unknown(reason),
            };
            last = combine_failures(last, failed);
            if !self.may_retry(failed, &payload) {
                break;
            }
            slot.endpoint().mark_avoided();
            self.node.add_suspect(&slot.endpoint().target);
            tried.push(slot.endpoint().target.clone());
            self.node.counters.count(&format!("call.retried.{}", failed.reason.as_str()));
        }
        Err(last)
    }

    /// Whether another attempt is safe and possible: the failed one was not run, or the request is
    /// repeatable; time is left; and the body can be sent again.
    fn may_retry(&self, failed: Refused, payload: &Payload) -> bool {
        let in_time = clock::now() < self.deadline;
        let sendable = !matches!(payload, Payload::Consumed);
        let safe = failed.outcome == Outcome::NotRun || self.is_repeatable;
        in_time && sendable && safe && failed.reason != Reason::Stale
    }

    async fn acquire_slot(&self, tried: &[BoxId]) -> Result<Slot, Reason> {
        let settings = &self.node.settings;
        let queue_end = clock::now() + settings.queue_wait;
        let deadline = self.deadline.min(queue_end);
        self.node.routes.acquire_slot(&self.route, &settings.hall, tried, deadline).await
    }

    async fn attempt_once(&self, slot: &Slot, id: u128, payload: &mut Payload) -> Attempt {
        // The state may have become stale during the wait for a slot, or while the daemon was
        // paused.
        if !self.node.basis().is_fresh() {
            return Attempt::NotRun(Reason::Stale);
        }
        let Some(body) = payload.take_body() else {
            return Attempt::NotRun(Reason::Unreachable);
        };
        let request = forward::build_request(self, id, body);
        let sent = self.node.dialer.send(slot.endpoint().addr, request);
        match timeout_at(clock::timer_instant(self.deadline), sent).await {
            Ok(Ok(response)) => self.classify_response(slot, id, response),
            Ok(Err(SendError::NotSent(request, _))) => {
                payload.restore_body(request.into_body());
                Attempt::NotRun(Reason::Unreachable)
            }
            Ok(Err(SendError::Cut(_) | SendError::Rejected(_))) => Attempt::Unknown(Reason::Cut),
            Err(_) => Attempt::Unknown(Reason::Timeout),
        }
    }

    /// Checks that the head of a response belongs to the request, and whether the request was run.
    fn classify_response(
        &self,
        slot: &Slot,
        id: u128,
        response: Response<ResponseBody>,
    ) -> Attempt {
        let headers = response.headers();
        if headers.contains_key(LEAVING) {
            slot.endpoint().mark_leaving();
        }
        let echo = headers.get(REQUEST).map(|value| value.as_bytes());
        if echo.is_some_and(|echo| echo != forward::format_request_id(id).as_bytes()) {
            return Attempt::Unknown(Reason::IdMismatch);
        }
        if headers.contains_key(REFUSED) {
            return Attempt::NotRun(Reason::TurnedAway);
        }
        Attempt::Answer(Box::new(response))
    }

    /// The response to the caller. The slot stays in use until the body ends.
    fn forward_response(&self, response: Response<ResponseBody>, slot: Slot) -> Response<Body> {
        let (mut head, body) = response.into_parts();
        forward::strip_hop_by_hop(&mut head.headers);
        head.headers.remove(REQUEST);
        let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
        head.headers.insert(OUTCOME, outcome);
        let body = ForwardedBody::new(body, slot, self.deadline, self.node.counters.clone());
        Response::from_parts(head, body.into_body())
    }
}

/// The outcome of two failed attempts, with the later reason. If the earlier one may have run, the
/// request may have.
fn combine_failures(earlier: Refused, later: Refused) -> Refused {
    match earlier.outcome {
        Outcome::Unknown => Refused::unknown(later.reason),
        _ => later,
    }
}
