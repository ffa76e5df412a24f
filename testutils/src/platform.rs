//! Stand-in for the users' platform, written from its published protocol: a [`store`], [`worker`]s
//! on [`machines`], and a [`site`] that puts them around real daemons. Small; it keeps just what
//! spokelift relies on, and faults that can be set. [`soak`] sets them at random.

pub mod advice;
pub mod ledger;
pub mod machines;
pub mod site;
pub mod soak;
pub mod store;
pub mod worker;

use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use serde_json::Value;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;

/// An answer in JSON.
pub(crate) fn json_response(status: u16, body: &Value) -> Response<Body> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(full(body.to_string())).expect("a status makes an answer")
}

/// Reads a request's body as JSON; null if it is none.
pub(crate) async fn read_json(body: Incoming) -> Value {
    use http_body_util::BodyExt;
    match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

/// A number in a request's head.
pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
