//! What operators see of a node.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::view;
use crate::protocol::api::ApiError;
use crate::transport::dial::Body;
use crate::transport::dial::full;

/// Answers operators: metrics as text, views of batch work as JSON.
pub(super) async fn operate(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if !path.starts_with(view::PATH) {
        return Response::new(full(metrics_text(&node)));
    }
    let (status, text) = match node.ask_lead(peer::Request::View(path)).await {
        Some(Reply::View(Some(view))) => (200, view),
        Some(Reply::View(None)) => {
            (404, refusal(&ApiError::NotFound { what: "view or job".into() }))
        }
        _ => (503, refusal(&ApiError::Stale)),
    };
    let response = Response::builder().status(status).header("content-type", "application/json");
    response.body(full(text)).expect("a status makes an answer")
}

fn refusal(error: &ApiError) -> String {
    serde_json::to_string(error).expect("the protocol's errors can be written as JSON")
}

fn metrics_text(node: &Node) -> String {
    let totals = node.counters.totals();
    let lines =
        totals.iter().map(|(name, total)| format!("{} {total}\n", name.replace(['.', '-'], "_")));
    lines.collect()
}
