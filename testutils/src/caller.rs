//! Stand-ins for callers and for the platform's load balancer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use rand::RngExt;
use spokelift_lib::protocol::call::CALL;
use spokelift_lib::protocol::call::HEALTH;
use spokelift_lib::protocol::call::OUTCOME;
use spokelift_lib::protocol::call::REPEATABLE;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::ExchangeError;
use spokelift_lib::transport::dial::full;
use tokio::time::sleep;

use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Token;
use crate::worker::RUN_MS;
use crate::worker::TOKEN;

/// How long a caller waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer that a caller accepts, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// How long the balancer waits for the answer to a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifies the request in the ledger and in its answer.
    pub token: Token,
    /// The credential, as `account:secret`.
    pub credential: String,
    /// The requested service.
    pub service: String,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// How long the worker takes to run it, in milliseconds.
    pub run_ms: u64,
    /// Its body.
    pub body: Bytes,
}

impl Call {
    fn request(&self) -> Request<spokelift_lib::transport::dial::Body> {
        Request::post(format!("{CALL}{}", self.service))
            .header(AUTHORIZATION, format!("Bearer {}", self.credential))
            .header(REPEATABLE, if self.repeatable { "true" } else { "false" })
            .header(TOKEN, self.token)
            .header(RUN_MS, self.run_ms)
            .body(full(self.body.clone()))
            .expect("the parts of a test's request are valid")
    }
}

/// Sends a request to a daemon. Returns its outcome, and a description of what the caller observed
/// if there was no valid outcome.
pub async fn call(dialer: &Dialer, daemon: SocketAddr, call: &Call) -> (Outcome, Option<String>) {
    let answer = dialer.exchange(daemon, call.request(), MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
    match answer {
        Ok(answer) => {
            let outcome = read_outcome(call, &answer);
            let observed =
                (outcome == Outcome::Nothing).then(|| format!("saw status {}", answer.status()));
            (outcome, observed)
        }
        // No daemon received the request; a load balancer would also report that it was not run.
        Err(ExchangeError::NotSent(_)) => (Outcome::NotRun, None),
        Err(error) => (Outcome::Nothing, Some(format!("saw {error:?}"))),
    }
}

fn read_outcome(call: &Call, answer: &Response<Bytes>) -> Outcome {
    let header = answer.headers().get(OUTCOME).map(|value| value.as_bytes());
    match header {
        Some(b"not-run") => Outcome::NotRun,
        Some(b"unknown") => Outcome::Unknown,
        Some(b"answered") => {
            let expected = format!("{} ran {} bytes", call.token, call.body.len());
            if answer.body().as_ref() == expected.as_bytes() {
                Outcome::Answered
            } else {
                Outcome::Crossed
            }
        }
        _ => Outcome::Nothing,
    }
}

/// Sends a request and records its sending and its outcome in the ledger.
pub async fn call_and_record(
    ledger: &Ledger,
    dialer: &Dialer,
    daemon: SocketAddr,
    request: &Call,
) -> Outcome {
    ledger.record_sent(request.token, request.repeatable);
    let (outcome, observed) = call(dialer, daemon, request).await;
    if let Some(observed) = observed {
        ledger.add_note(request.token, observed);
    }
    ledger.record_outcome(request.token, outcome);
    outcome
}

/// Stand-in for the load balancer, which health-checks the daemons.
pub struct Balancer {
    daemons: Vec<SocketAddr>,
    healthy: Mutex<Vec<bool>>,
    dialer: Dialer,
}

impl Balancer {
    /// A balancer for daemons at these addresses, all of them unhealthy until the first check.
    pub fn new(daemons: Vec<SocketAddr>) -> Balancer {
        let healthy = Mutex::new(vec![false; daemons.len()]);
        Balancer { daemons, healthy, dialer: Dialer::new(HEALTH_TIMEOUT) }
    }

    /// The index of a healthy daemon chosen at random; `None` if there is none.
    pub fn pick(&self) -> Option<usize> {
        let healthy = self.healthy.lock().expect("no thread panics while it holds the lock");
        let candidates: Vec<usize> = (0..healthy.len()).filter(|index| healthy[*index]).collect();
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rand::rng().random_range(0..candidates.len())])
    }

    /// The address of a daemon.
    pub fn addr(&self, index: usize) -> SocketAddr {
        self.daemons[index]
    }

    /// Whether all daemons are healthy.
    pub fn are_all_healthy(&self) -> bool {
        self.healthy
            .lock()
            .expect("no thread panics while it holds the lock")
            .iter()
            .all(|healthy| *healthy)
    }

    /// Checks the health of every daemon once.
    pub async fn check(&self) {
        for (index, addr) in self.daemons.iter().enumerate() {
            let request = Request::get(HEALTH).body(full("")).expect("a constant path is valid");
            let answer = self.dialer.exchange(*addr, request, 1024, HEALTH_TIMEOUT).await;
            let ok = answer.is_ok_and(|answer| answer.status().is_success());
            self.healthy.lock().expect("no thread panics while it holds the lock")[index] = ok;
        }
    }

    /// Checks the health of every daemon repeatedly, with pauses of `every`.
    pub async fn keep_checking(&self, every: Duration) {
        loop {
            self.check().await;
            sleep(every).await;
        }
    }
}
