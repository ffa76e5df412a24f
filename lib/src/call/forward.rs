//! Builds the request to a target and forwards the body of its response.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Request;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::call::attempt::Call;
use crate::coordination::route::Slot;
use crate::metrics::Counters;
use crate::protocol::call::REQUEST;
use crate::protocol::worker::run_path;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::BodyError;
use crate::transport::dial::ResponseBody;

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Removes the headers that belong to one connection.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}

/// The id of an attempt as it is sent to the target.
pub(super) fn format_request_id(id: u128) -> String {
    format!("{id:032x}")
}

/// The request to a target, without the caller's credential.
pub(super) fn build_request(call: &Call<'_>, id: u128, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = call.head.method.clone();
    let mut path = run_path(call.account, call.service);
    if let Some(query) = call.head.uri.query() {
        path.push('?');
        path.push_str(query);
    }
    *request.uri_mut() = path.parse().expect("names and a parsed query make a path");
    let headers = request.headers_mut();
    *headers = call.head.headers.clone();
    strip_hop_by_hop(headers);
    headers.remove(AUTHORIZATION);
    headers.remove(HOST);
    let id = format_request_id(id).parse().expect("digits make a header value");
    headers.insert(REQUEST, id);
    request
}

/// The body of a target's response, forwarded to the caller. Holds the target's slot until it ends.
///
/// A body that is cut off or does not end by the deadline ends in an error, upon which the server
/// closes the caller's connection without terminating the body: the caller sees that it is
/// incomplete.
pub(super) struct ForwardedBody {
    response: ResponseBody,
    slot: Option<Slot>,
    timeout: Pin<Box<Sleep>>,
    counters: Counters,
}

impl ForwardedBody {
    pub(super) fn new(
        response: ResponseBody,
        slot: Slot,
        deadline: Instant,
        counters: Counters,
    ) -> ForwardedBody {
        let timeout = Box::pin(sleep_until(clock::timer_instant(deadline)));
        ForwardedBody { response, slot: Some(slot), timeout, counters }
    }

    pub(super) fn into_body(self) -> Body {
        self.boxed_unsync()
    }
}

impl HttpBody for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.response).poll_frame(cx);
        match &polled {
            Poll::Pending => {
                if self.timeout.as_mut().poll(cx).is_ready() {
                    self.counters.count("call.answer-cut.timeout");
                    return Poll::Ready(Some(Err(BodyError::Timeout)));
                }
            }
            Poll::Ready(None) => self.slot = None,
            Poll::Ready(Some(Err(_))) => self.counters.count("call.answer-cut.target"),
            Poll::Ready(Some(Ok(_))) => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.response.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.response.size_hint()
    }
}
