//! Attempts at targets, and when another one is safe.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::timeout_at;

use crate::call::forward;
use crate::call::forward::Whole;
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
use crate::transport::dial::Answer;
use crate::transport::dial::Body;
use crate::transport::dial::SendError;

/// Most targets tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// One request of a caller.
pub(super) struct Call<'a> {
    pub node: &'a Arc<Node>,
    pub route: Arc<Route>,
    pub account: &'a AccountId,
    pub service: &'a str,
    pub repeatable: bool,
    pub deadline: Instant,
    pub head: &'a Parts,
}

/// The body of a caller's request.
pub(super) enum Payload {
    /// Read whole; can be sent any number of times.
    Whole(Bytes),
    /// Passed on as it comes; can be sent once.
    Stream(Body),
    /// A stream that was sent.
    Used,
}

/// How one attempt ended.
enum Attempt {
    /// The target's answer, whole so far.
    Answer(Box<Response<Answer>>),
    /// The target has not run the request.
    NotRun(Reason),
    /// The target may have run it.
    Unknown(Reason),
}

impl Call<'_> {
    pub(super) async fn run(&self, mut payload: Payload) -> Result<Response<Body>, Refused> {
        let mut tried: Vec<BoxId> = Vec::new();
        let mut last = Refused::not_run(Reason::Unreachable);
        while tried.len() < MAX_ATTEMPTS {
            let slot = match self.slot(&tried).await {
                Ok(slot) => slot,
                Err(_) if !tried.is_empty() => return Err(last),
                Err(reason) => return Err(Refused::not_run(reason)),
            };
            let id: u128 = rand::random();
            let failed = match self.attempt(&slot, id, &mut payload).await {
                Attempt::Answer(response) => return Ok(self.pass_on(*response, slot)),
                Attempt::NotRun(reason) => Refused::not_run(reason),
                Attempt::Unknown(reason) => Refused::unknown(reason),
            };
            last = worse(last, failed);
            if !self.may_retry(failed, &payload) {
                break;
            }
            slot.lane().avoid();
            self.node.suspect(&slot.lane().target);
            tried.push(slot.lane().target.clone());
            self.node.counters.count(&format!("call.retried.{}", failed.reason.as_str()));
        }
        Err(last)
    }

    /// Another attempt is safe if this one has run nothing, or if running twice does no harm.
    fn may_retry(&self, failed: Refused, payload: &Payload) -> bool {
        let in_time = clock::now() < self.deadline;
        let sendable = !matches!(payload, Payload::Used);
        let safe = failed.outcome == Outcome::NotRun || self.repeatable;
        in_time && sendable && safe && failed.reason != Reason::Stale
    }

    async fn slot(&self, tried: &[BoxId]) -> Result<Slot, Reason> {
        let settings = &self.node.settings;
        let queue_end = clock::now() + settings.queue_wait;
        let deadline = self.deadline.min(queue_end);
        self.node.routes.acquire(&self.route, &settings.hall, tried, deadline).await
    }

    async fn attempt(&self, slot: &Slot, id: u128, payload: &mut Payload) -> Attempt {
        // The wait for a slot may have been long enough for the state to grow old, or for the
        // daemon to have been paused.
        if !self.node.basis().is_fresh() {
            return Attempt::NotRun(Reason::Stale);
        }
        let Some(body) = payload.body() else {
            return Attempt::NotRun(Reason::Unreachable);
        };
        let request = forward::request(self, id, body);
        let sent = self.node.dialer.send(slot.lane().addr, request);
        match timeout_at(clock::timer(self.deadline), sent).await {
            Ok(Ok(response)) => self.judge(slot, id, response),
            Ok(Err(SendError::NotSent(request, _))) => {
                payload.give_back(request.into_body());
                Attempt::NotRun(Reason::Unreachable)
            }
            Ok(Err(SendError::Cut(_))) => Attempt::Unknown(Reason::Cut),
            Err(_) => Attempt::Unknown(Reason::Timeout),
        }
    }

    /// Whether the head of an answer belongs to the request, and whether it was run.
    fn judge(&self, slot: &Slot, id: u128, response: Response<Answer>) -> Attempt {
        let headers = response.headers();
        if headers.contains_key(LEAVING) {
            slot.lane().set_leaving();
        }
        let echo = headers.get(REQUEST).map(|value| value.as_bytes());
        if echo.is_some_and(|echo| echo != forward::id_text(id).as_bytes()) {
            return Attempt::Unknown(Reason::Crossed);
        }
        if headers.contains_key(REFUSED) {
            return Attempt::NotRun(Reason::TurnedAway);
        }
        Attempt::Answer(Box::new(response))
    }

    fn pass_on(&self, response: Response<Answer>, slot: Slot) -> Response<Body> {
        let (mut head, answer) = response.into_parts();
        forward::strip(&mut head.headers);
        head.headers.remove(REQUEST);
        let outcome = HeaderValue::from_static(Outcome::Answered.as_str());
        head.headers.insert(OUTCOME, outcome);
        let whole = Whole::new(answer, slot, self.deadline, self.node.counters.clone());
        Response::from_parts(head, whole.into_body())
    }
}

/// What is known after two attempts: once one of them may have run, the request may have.
fn worse(earlier: Refused, later: Refused) -> Refused {
    match earlier.outcome {
        Outcome::Unknown => Refused::unknown(later.reason),
        _ => later,
    }
}
