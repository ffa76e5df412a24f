//! Serves clients: takes jobs into the store, and asks the holder of the lead about them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use spokelift_platform::config::Queue;
use spokelift_platform::ingress;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;
use spokelift_platform::job::parse_id;
use spokelift_platform::store::Guard;
use tokio::time::sleep;

use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::record;
use crate::batch::record::Accepted;
use crate::transport::dial::Body;
use crate::transport::dial::full;

/// How long a client waits that does not say so.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Share of the client's time after which it gets an answer, whatever it is.
const ANSWER_SHARE: f64 = 0.6;
/// How long one write to the store may take before it is tried again.
const WRITE: Duration = Duration::from_millis(600);
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(60);
/// When a client that was refused should come back, in seconds; a change of the lead takes
/// about two.
const COME_BACK_S: &str = "1";
/// Largest body where the configuration sets no limit, in bytes.
const BODY_LIMIT: usize = 262_144;

/// Answers a client.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let response = answer(&node, request, started).await;
    let status = response.status().as_u16();
    let took_ms = started.elapsed().as_millis() as u64;
    node.record_latency(&method, started.elapsed());
    node.counters.count(&format!("batch.client.{method}.{status}"));
    log::info!(method = method.as_str(), path = path.as_str(), status, took_ms; "client");
    response
}

async fn answer(node: &Node, request: Request<Incoming>, started: Instant) -> Response<Body> {
    let Some(config) = node.config() else {
        return come_back(503);
    };
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("").to_owned();
    let path = request.uri().path().to_owned();
    let Some(queue) = config.queue(&host, &path) else {
        return status(404);
    };
    let deadline = ingress::deadline(request.headers()).unwrap_or(DEFAULT_DEADLINE);
    let until = started + deadline.mul_f64(ANSWER_SHARE);
    let rest = &path[queue.path_prefix.len()..];
    if rest.is_empty() && request.method() == Method::GET {
        return pending(node, queue.name.clone(), until).await;
    }
    let Some(id) = parse_id(rest.trim_start_matches('/')) else {
        return status(404);
    };
    match *request.method() {
        Method::GET => state(node, id, until).await,
        Method::DELETE => cancel(node, id, until).await,
        Method::POST => {
            let limit = match config.limits.body_bytes {
                0 => BODY_LIMIT,
                limit => limit,
            };
            let body = Limited::new(request.into_body(), limit).collect().await;
            let Ok(body) = body else { return too_large() };
            let job = match Job::decode(&body.to_bytes()) {
                Ok(job) => job,
                Err(error) => {
                    log::info!(job = format!("{id:016x}").as_str(); "job cannot be taken: {error}");
                    return status(400);
                }
            };
            submit(node, id, accept(job, queue), until).await
        }
        _ => status(405),
    }
}

/// A job as accepted now, with what its queue says of it.
fn accept(job: Job, queue: &Queue) -> Accepted {
    Accepted {
        job,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        needs_advice: queue.advice.is_some(),
        objective_ms: queue.objective_ms,
        stretch_percent: (queue.stretch * 100.0) as u32,
        at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
    }
}

fn status(code: u16) -> Response<Body> {
    let response = Response::builder().status(code);
    response.body(full(Bytes::new())).expect("a status makes an answer")
}

fn come_back(code: u16) -> Response<Body> {
    let mut response = status(code);
    response.headers_mut().insert(RETRY_AFTER, COME_BACK_S.parse().expect("digits make a header"));
    response
}

fn json(body: Vec<u8>) -> Response<Body> {
    let response = Response::builder().header("content-type", "application/json");
    response.body(full(body)).expect("a body makes an answer")
}

/// The rest of the body stays unread, so the client must not use the connection again.
fn too_large() -> Response<Body> {
    let mut response = status(413);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Writes a job to the store and tells the holder of the lead.
///
/// Once a write has had no answer, the job may be taken whatever later tries say, and the client
/// is told 504 rather than that it was refused.
async fn submit(node: &Node, id: JobId, accepted: Accepted, until: Instant) -> Response<Body> {
    let record = record::accepted(id, &accepted);
    let mut certain = true;
    loop {
        let written =
            node.store.append(record::JOB_TOPIC, std::slice::from_ref(&record), Guard::None, WRITE);
        match written.await {
            Ok(_) => break,
            Err(error) => {
                certain &= error.is_certain();
                node.counters.count("batch.submit.write-failed");
                log::info!(
                    job = format!("{id:016x}").as_str(),
                    certain;
                    "job not written: {error}"
                );
            }
        }
        match through_peer(node, id, &accepted).await {
            Some(Reply::Done) => return status(200),
            Some(Reply::Refused | Reply::NotReady) => {}
            _ => certain = false,
        }
        if Instant::now() + PAUSE >= until {
            return if certain { come_back(503) } else { status(504) };
        }
        sleep(PAUSE).await;
    }
    node.tell_submitted(id, accepted);
    status(200)
}

/// Has the holder of the lead write a job, if that is another node.
async fn through_peer(node: &Node, id: JobId, accepted: &Accepted) -> Option<Reply> {
    let Some(addr) = node.lead_elsewhere() else { return Some(Reply::NotReady) };
    let request = peer::Request::Store(id, Box::new(accepted.clone()));
    node.peers.ask(addr, request).await.ok()
}

/// Asks the holder of the lead until it answers or time is up.
async fn ask(node: &Node, request: &peer::Request, until: Instant) -> Option<Reply> {
    loop {
        match node.ask_lead(request.clone()).await {
            Some(Reply::NotReady | Reply::Refused) | None => {}
            answered => return answered,
        }
        if Instant::now() + PAUSE >= until {
            return None;
        }
        sleep(PAUSE).await;
    }
}

async fn state(node: &Node, id: JobId, until: Instant) -> Response<Body> {
    match ask(node, &peer::Request::State(id), until).await {
        Some(Reply::State(Some(state))) => json(ingress::job_answer(state)),
        Some(Reply::State(None)) => status(410),
        _ => come_back(503),
    }
}

async fn cancel(node: &Node, id: JobId, until: Instant) -> Response<Body> {
    match ask(node, &peer::Request::Cancel(id), until).await {
        Some(Reply::State(Some(_))) => status(200),
        Some(Reply::State(None)) => status(410),
        _ => {
            let record = record::cancel(id);
            let written = node.store.append(record::JOB_TOPIC, &[record], Guard::None, WRITE).await;
            if written.is_ok() { status(200) } else { come_back(503) }
        }
    }
}

async fn pending(node: &Node, queue: String, until: Instant) -> Response<Body> {
    match ask(node, &peer::Request::Pending(queue), until).await {
        Some(Reply::Pending(pending)) => json(ingress::queue_answer(pending)),
        _ => come_back(503),
    }
}
