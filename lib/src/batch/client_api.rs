//! HTTP interface for clients: writes submitted jobs to the store, and asks the leader about jobs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::header::WWW_AUTHENTICATE;
use hyper::http::request::Parts;
use spokelift_platform::ingress;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;
use spokelift_platform::job::parse_id;

use crate::batch::admit::Admitted;
use crate::batch::admit::Refusal;
use crate::batch::admit::admit;
use crate::batch::caller::Caller;
use crate::batch::commit::WriteOutcome;
use crate::batch::config::Config;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::submit;
use crate::batch::submit::JobAnswer;
use crate::transport::clock;
use crate::transport::dial::Body;
use crate::transport::dial::full;
use crate::transport::serve::Incoming;
use crate::transport::serve::ReceiveError;

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest deadline of a request. A request that waits keeps its connection from being closed for
/// another one.
const MAX_DEADLINE: Duration = Duration::from_secs(15);
/// Fraction of the client's deadline within which it gets an answer, whatever the answer is.
const ANSWER_FRACTION: f64 = 0.6;
/// Delay after which a client should retry a request that could not be answered; a change of leader
/// takes about two seconds.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Largest body of a request, in bytes, if the configuration sets no limit.
const DEFAULT_BODY_LIMIT_BYTES: usize = 262_144;

/// Answers a request of a client, logs it and records its latency.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let started = clock::now();
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let response = answer(&node, request, started).await;
    let status = response.status().as_u16();
    let took_ms = clock::since(started).as_millis() as u64;
    let counted = counted_method(&method);
    node.latencies.record(&format!("batch.client.{counted}"), clock::since(started));
    node.counters.count(&format!("batch.client.{counted}.{status}"));
    log::info!(method = method.as_str(), path = path.as_str(), status, took_ms; "client request");
    response
}

/// The method as metrics name it. A client may send any name, and each one in the metrics would be
/// kept for as long as the process runs.
fn counted_method(method: &Method) -> &str {
    match *method {
        Method::GET | Method::POST | Method::DELETE => method.as_str(),
        _ => "other",
    }
}

async fn answer(node: &Arc<Node>, request: Request<Incoming>, started: Instant) -> Response<Body> {
    let Some(mut config) = node.config() else {
        return retry_later(503, RETRY_DELAY);
    };
    let (head, body) = request.into_parts();
    let mut admitted = admit(&config, &head);
    if admitted.as_ref().is_err_and(Refusal::may_be_outdated)
        && let Some(newer) = node.fetch_newer_config().await
    {
        admitted = admit(&newer, &head);
        config = newer;
    }
    let Admitted { queue, caller, rest } = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(node, &config, &head, &refusal),
    };
    let mut deadline = ingress::client_timeout(&head.headers).unwrap_or(DEFAULT_DEADLINE);
    if deadline > MAX_DEADLINE {
        node.counters.count("batch.client.deadline-shortened");
        deadline = MAX_DEADLINE;
    }
    let answer_by = started + deadline.mul_f64(ANSWER_FRACTION);
    if rest.is_empty() && head.method == Method::GET {
        return count_pending(node, queue.name.clone(), caller, answer_by).await;
    }
    let Some(id) = parse_id(rest.trim_start_matches('/')) else {
        return empty_response(404);
    };
    match head.method {
        Method::GET => get_job(node, id, caller, answer_by).await,
        Method::DELETE => cancel_job(node, id, caller, answer_by).await,
        Method::POST => {
            let limit = match config.limits.max_body_bytes {
                0 => DEFAULT_BODY_LIMIT_BYTES,
                limit => limit,
            };
            let mut body = match body.receive(limit).await {
                Ok(body) => body,
                Err(error) => return refuse_body(id, &error),
            };
            let job = match Job::decode(&body.bytes) {
                Ok(job) => job,
                Err(error) => {
                    log::info!(job = format!("{id:016x}").as_str(); "cannot decode the job: {error}");
                    return empty_response(400);
                }
            };
            if let Err(error) = body.hold_decoded(job.memory()) {
                return refuse_body(id, &error);
            }
            if let Err(error) = config.check_quota(&caller, &job) {
                node.counters.count("batch.submit.refused.too-wide");
                log::info!(job = format!("{id:016x}").as_str(); "job refused by the quota of its account: {error}");
                return retry_later(429, RETRY_DELAY);
            }
            let accepted = submit::accepted_job(job, &queue, &caller);
            match node.refuse_by_outlook(id, &caller, &accepted).await {
                Some(delay) => come_back(delay),
                None => write_response(node.commit_job(id, accepted, answer_by).await),
            }
        }
        _ => empty_response(405),
    }
}

/// Refuses a request that no queue accepts from this caller, before its body is read.
fn refuse(node: &Node, config: &Config, head: &Parts, refusal: &Refusal) -> Response<Body> {
    let (why, version) = (refusal.to_string(), config.version);
    let path = head.uri.path();
    node.counters.count(&format!("batch.client.refused.{}", refusal.name()));
    log::info!(path, why = why.as_str(), version; "client request refused");
    match refusal {
        Refusal::NoQueue => empty_response(404),
        Refusal::Credential(_) => {
            let mut response = empty_response(401);
            response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            response
        }
    }
}

fn empty_response(code: u16) -> Response<Body> {
    let response = Response::builder().status(code);
    response.body(full(Bytes::new())).expect("the status is valid")
}

/// Refuses a request and asks the client to retry. The delay has a random part in proportion to its
/// length, so that clients that were refused together do not retry together.
fn retry_later(code: u16, delay: Duration) -> Response<Body> {
    let mut response = empty_response(code);
    let jitter = delay.mul_f64(rand::random());
    let seconds = (delay + jitter).as_secs_f64().ceil().max(1.0) as u64;
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}

/// Refuses a job and asks the client to come back after a delay that was planned for it alone. The
/// part of a second is rounded at random, so that clients come back evenly spread.
fn come_back(delay: Duration) -> Response<Body> {
    let mut response = empty_response(429);
    let seconds = (delay.as_secs_f64() + rand::random::<f64>()).floor().max(1.0) as u64;
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}

fn json_response(body: Vec<u8>) -> Response<Body> {
    let response = Response::builder().header("content-type", "application/json");
    response.body(full(body)).expect("the header is valid")
}

/// Refuses a job whose body was not received. The rest of the body is not read, so the connection
/// closes.
fn refuse_body(id: JobId, error: &ReceiveError) -> Response<Body> {
    log::info!(job = format!("{id:016x}").as_str(); "job refused: {error}");
    let mut response = match error {
        ReceiveError::TooLarge => empty_response(413),
        ReceiveError::Exhausted(_) => retry_later(503, RETRY_DELAY),
        ReceiveError::Cut(_) => empty_response(400),
    };
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

fn write_response(outcome: WriteOutcome) -> Response<Body> {
    match outcome {
        WriteOutcome::Stored => empty_response(200),
        WriteOutcome::Refused(delay) | WriteOutcome::IdInUse(delay) => retry_later(503, delay),
        WriteOutcome::Unknown => empty_response(504),
    }
}

async fn get_job(node: &Node, id: JobId, caller: Caller, answer_by: Instant) -> Response<Body> {
    match submit::get_job_state(node, id, caller, answer_by).await {
        JobAnswer::State(state) => json_response(ingress::job_answer(state)),
        JobAnswer::NoJob => empty_response(410),
        JobAnswer::CancelStored | JobAnswer::NoAnswer => retry_later(503, RETRY_DELAY),
    }
}

async fn cancel_job(node: &Node, id: JobId, caller: Caller, answer_by: Instant) -> Response<Body> {
    match submit::cancel_job(node, id, caller, answer_by).await {
        JobAnswer::State(_) | JobAnswer::CancelStored => empty_response(200),
        JobAnswer::NoJob => empty_response(410),
        JobAnswer::NoAnswer => retry_later(503, RETRY_DELAY),
    }
}

async fn count_pending(
    node: &Node,
    queue: String,
    caller: Caller,
    answer_by: Instant,
) -> Response<Body> {
    match submit::ask_leader_until(node, &peer::Request::Pending(queue, caller), answer_by).await {
        Some(Reply::Pending(pending)) => json_response(ingress::queue_answer(pending)),
        _ => retry_later(503, RETRY_DELAY),
    }
}
