//! Serves the operators' HTTP API, see [`crate::protocol::api`].

mod change;
mod find;
mod view;

use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONTENT_TYPE;
use hyper::http::request::Parts;
use serde::Serialize;

use crate::call::bearer_credential;
use crate::coordination::node::Node;
use crate::protocol::api::ApiError;
use crate::state::account::Role;
use crate::state::account::SITE;
use crate::state::account::Scope;
use crate::state::config::MAX_FILE_BYTES;
use crate::state::id::parse_plan;
use crate::state::id::parse_record;
use crate::state::record::Control;
use crate::transport::dial::Body;
use crate::transport::dial::full;
use crate::transport::serve::Incoming;

/// The body of a response.
type Json = Vec<u8>;

/// Handles a request of an operator.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    match route_request(&node, request).await {
        Ok(json) => json_response(200, json),
        Err(error) => {
            node.counters.count(error.counter());
            json_response(error.status(), to_json(&error))
        }
    }
}

fn json_response(status: u16, json: Json) -> Response<Body> {
    let response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    response.body(full(json)).expect("the headers are constants")
}

fn to_json<T: Serialize>(value: &T) -> Json {
    serde_json::to_vec(value).expect("views hold only types that JSON can carry")
}

async fn route_request(node: &Arc<Node>, request: Request<Incoming>) -> Result<Json, ApiError> {
    let (head, body) = request.into_parts();
    let scope = authorize(node, &head)?;
    let body = body.receive(MAX_FILE_BYTES).await?;
    let body = &body.bytes;
    let path: Vec<&str> = head.uri.path().trim_start_matches('/').split('/').collect();
    let resource = path.strip_prefix(&["v1"]).ok_or(ApiError::Malformed)?;
    match (&head.method, resource) {
        (&Method::GET, ["status"]) => Ok(to_json(&view::status(node))),
        (&Method::GET, ["counters"]) => Ok(to_json(&view::counters(node, &scope))),
        (&Method::GET, ["pools"]) => Ok(to_json(&view::pools(node, &scope))),
        (&Method::GET, ["boxes"]) => Ok(to_json(&view::boxes(node, &scope))),
        (&Method::GET, ["jobs"]) => Ok(to_json(&view::jobs(node, &scope))),
        (&Method::GET, ["plans"]) => Ok(to_json(&view::plans(node, &scope))),
        (&Method::GET, ["plans", id]) => {
            let id = plan_id(id)?;
            Ok(to_json(&find::find(node, || view::plan(node, &scope, id)).await?))
        }
        (&Method::GET, ["records", id]) => {
            let id = parse_record(id).ok_or(ApiError::Malformed)?;
            Ok(to_json(&change::record_status(node, id).await?))
        }
        (&Method::POST, ["publish"]) => {
            Ok(to_json(&change::publish(node, &scope, body_text(body)?).await?))
        }
        (&Method::POST, ["intents"]) => Ok(to_json(&change::propose(node, &scope, body).await?)),
        (&Method::POST, ["plans", id, action]) => {
            let id = plan_id(id)?;
            let action = match *action {
                "confirm" => None,
                "pause" => Some(Control::Pause),
                "resume" => Some(Control::Resume),
                "abort" => Some(Control::Abort),
                _ => return Err(ApiError::Malformed),
            };
            Ok(to_json(&change::control(node, &scope, id, action).await?))
        }
        _ => Err(ApiError::Malformed),
    }
}

fn plan_id(text: &str) -> Result<u64, ApiError> {
    parse_plan(text).ok_or(ApiError::NotFound { what: "plan".into() })
}

fn body_text(body: &Bytes) -> Result<&str, ApiError> {
    std::str::from_utf8(body).map_err(|_| ApiError::Malformed)
}

/// Verifies the request's credential and returns the objects that it may see and change.
fn authorize(node: &Node, head: &Parts) -> Result<Scope, ApiError> {
    let credential = bearer_credential(head)?;
    if credential.account == SITE {
        let is_valid = credential.matches(&[node.settings.site_key_hash]);
        return if is_valid { Ok(Scope::Site) } else { Err(ApiError::Credential) };
    }
    let fleet = node.replica.fleet();
    Ok(Scope::Account(credential.authenticate(&fleet, Role::Operator)?))
}
