//! Stand-in for callers behind the platform's balancer.

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
/// Largest answer a caller takes, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// How long the balancer waits for a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(300);

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id in the ledger.
    pub token: Token,
    /// `account:secret`.
    pub credential: String,
    /// The service asked for.
    pub service: String,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// How long it runs, in milliseconds.
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

/// Sends a request to an entry box and returns what the caller was told, and what it saw last where
/// that is no outcome.
pub async fn call(dialer: &Dialer, entry: SocketAddr, call: &Call) -> (Outcome, Option<String>) {
    let answer = dialer.exchange(entry, call.request(), MAX_ANSWER_BYTES, ANSWER_TIMEOUT).await;
    match answer {
        Ok(answer) => {
            let told = read_outcome(call, &answer);
            let seen =
                (told == Outcome::Nothing).then(|| format!("saw status {}", answer.status()));
            (told, seen)
        }
        // Nobody has heard of the request; a balancer would say so, too.
        Err(ExchangeError::NotSent(_)) => (Outcome::NotRun, None),
        Err(error) => (Outcome::Nothing, Some(format!("saw {error:?}"))),
    }
}

fn read_outcome(call: &Call, answer: &Response<Bytes>) -> Outcome {
    let outcome = answer.headers().get(OUTCOME).map(|value| value.as_bytes());
    match outcome {
        Some(b"not-run") => Outcome::NotRun,
        Some(b"unknown") => Outcome::Unknown,
        Some(b"answered") => {
            let own = format!("{} ran {} bytes", call.token, call.body.len());
            if answer.body().as_ref() == own.as_bytes() {
                Outcome::Answered
            } else {
                Outcome::Crossed
            }
        }
        _ => Outcome::Nothing,
    }
}

/// Sends a request and writes both sides of it into the ledger.
pub async fn call_and_record(
    ledger: &Ledger,
    dialer: &Dialer,
    entry: SocketAddr,
    request: &Call,
) -> Outcome {
    ledger.record_sent(request.token, request.repeatable);
    let (told, seen) = call(dialer, entry, request).await;
    if let Some(seen) = seen {
        ledger.add_note(request.token, seen);
    }
    ledger.record_outcome(request.token, told);
    told
}

/// Stand-in for the balancer: knows which entry boxes are healthy.
pub struct Balancer {
    entries: Vec<SocketAddr>,
    healthy: Mutex<Vec<bool>>,
    dialer: Dialer,
}

impl Balancer {
    /// A balancer over these entry boxes, none of them known to be healthy.
    pub fn new(entries: Vec<SocketAddr>) -> Balancer {
        let healthy = Mutex::new(vec![false; entries.len()]);
        Balancer { entries, healthy, dialer: Dialer::new(HEALTH_TIMEOUT) }
    }

    /// A healthy entry box, chosen at random.
    pub fn pick(&self) -> Option<usize> {
        let healthy = self.healthy.lock().expect("no holder panics");
        let fit: Vec<usize> = (0..healthy.len()).filter(|index| healthy[*index]).collect();
        if fit.is_empty() {
            return None;
        }
        Some(fit[rand::rng().random_range(0..fit.len())])
    }

    /// The address of an entry box.
    pub fn addr(&self, index: usize) -> SocketAddr {
        self.entries[index]
    }

    /// Whether all entry boxes are healthy.
    pub fn are_all_healthy(&self) -> bool {
        self.healthy.lock().expect("no holder panics").iter().all(|healthy| *healthy)
    }

    /// Checks every entry box once.
    pub async fn check(&self) {
        for (index, addr) in self.entries.iter().enumerate() {
            let request = Request::get(HEALTH).body(full("")).expect("a constant path is valid");
            let answer = self.dialer.exchange(*addr, request, 1024, HEALTH_TIMEOUT).await;
            let ok = answer.is_ok_and(|answer| answer.status().is_success());
            self.healthy.lock().expect("no holder panics")[index] = ok;
        }
    }

    /// Checks every entry box again and again.
    pub async fn keep_checking(&self, every: Duration) {
        loop {
            self.check().await;
            sleep(every).await;
        }
    }
}
