//! Stand-ins for the users' platform, written from its published protocol: a [`store`], [`worker`]s
//! on [`machines`], a [`network`] between them, and a [`site`] that combines them with real daemons.
//! They implement only what spokelift relies on, and faults that tests can set. [`soak`] sets the
//! faults at random, [`isolation`] cuts off leaders.

pub mod advice;
pub mod isolation;
pub mod ledger;
pub mod machines;
pub mod network;
pub mod site;
pub mod soak;
pub mod store;
pub mod worker;

use hyper::Response;
use hyper::header::HeaderMap;
use serde_json::Value;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;

/// A response with a JSON body.
pub(crate) fn json_response(status: u16, body: &Value) -> Response<Body> {
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(full(body.to_string())).expect("a status code makes a valid response")
}

/// Reads the body of a request as JSON; null if it is invalid.
pub async fn read_json(body: Incoming) -> Value {
    use http_body_util::BodyExt;
    match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

/// A number from a header of a request; 0 if it is missing or not a number.
pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    let text = headers.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
