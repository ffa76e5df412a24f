//! Stand-in for a worker: an HTTP server that runs requests, drains, reboots and can be killed.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::protocol::call::REQUEST;
use spokelift_lib::protocol::worker::Action;
use spokelift_lib::protocol::worker::COMMAND;
use spokelift_lib::protocol::worker::Command;
use spokelift_lib::protocol::worker::LEAVING;
use spokelift_lib::protocol::worker::REFUSED;
use spokelift_lib::protocol::worker::RUN;
use spokelift_lib::protocol::worker::STATUS;
use spokelift_lib::protocol::worker::Status;
use spokelift_lib::state::id::Offset;
use spokelift_lib::state::id::ServiceKey;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::BodyError;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::ledger::Ledger;
use crate::ledger::Token;
use crate::log::empty_response;
use crate::log::json_response;
use crate::serve::serve;

/// Header with the caller's token, repeated in the answer.
pub const TOKEN: &str = "x-token";
/// Header with the run time of the request, in milliseconds.
pub const RUN_MS: &str = "x-run-ms";
/// Pause between attempts to bind the same address again after a reboot.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running worker. Clones share the same worker.
#[derive(Clone)]
pub struct Worker {
    /// Its entry in the box list.
    pub listed: ListedBox,
    inner: Arc<Inner>,
}

struct Inner {
    ledger: Ledger,
    reboot_time: Duration,
    state: Mutex<State>,
    server: Mutex<Option<JoinHandle<()>>>,
}

#[derive(Default)]
struct State {
    fence: Offset,
    draining: bool,
    jobs: Vec<ServiceKey>,
    reboot_in_progress: Option<Offset>,
    last_reboot: Option<Offset>,
    inflight: u32,
    started_requests: u64,
    is_dead: bool,
    faults: Faults,
}

/// Faults of the worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether answers carry another request's id.
    pub wrong_id: bool,
    /// Whether answers are cut off in the middle.
    pub truncate_answer: bool,
    /// Additional run time of every request.
    pub extra_delay: Duration,
}

impl Worker {
    /// Starts a worker on the address of its entry; port 0 lets the system choose.
    pub async fn start(
        mut listed: ListedBox,
        ledger: Ledger,
        reboot_time: Duration,
    ) -> std::io::Result<Worker> {
        let listener = TcpListener::bind(listed.addr).await?;
        listed.addr = listener.local_addr()?;
        let inner = Arc::new(Inner {
            ledger,
            reboot_time,
            state: Mutex::default(),
            server: Mutex::default(),
        });
        let worker = Worker { listed, inner };
        worker.serve_on(listener);
        Ok(worker)
    }

    fn serve_on(&self, listener: TcpListener) {
        let worker = self.clone();
        let (stop, stopped) = watch::channel(false);
        let handler = move |request| answer(worker.clone(), request);
        let task = tokio::spawn(async move {
            let _stop = stop;
            serve(listener, stopped, handler).await;
        });
        *self.inner.server.lock().expect("no thread panics while it holds the lock") = Some(task);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Kills the worker; it does not come back.
    pub fn kill(&self) {
        self.state().is_dead = true;
        self.inner.ledger.record_death(&self.listed.name);
        self.stop_server();
    }

    /// Number of requests started so far.
    pub fn started_requests(&self) -> u64 {
        self.state().started_requests
    }

    /// The status that it reports.
    pub fn status(&self) -> Status {
        let state = self.state();
        Status {
            fence: state.fence,
            draining: state.draining,
            inflight: state.inflight,
            jobs: state.jobs.clone(),
            rebooted_for: state.last_reboot,
        }
    }

    /// Closes the listener and every connection.
    fn stop_server(&self) {
        let server =
            self.inner.server.lock().expect("no thread panics while it holds the lock").take();
        if let Some(server) = server {
            server.abort();
        }
    }

    async fn reboot(self) {
        self.inner.ledger.record_reboot(&self.listed.name);
        self.stop_server();
        sleep(self.inner.reboot_time).await;
        {
            let mut state = self.state();
            state.jobs.clear();
            state.inflight = 0;
            state.last_reboot = state.reboot_in_progress.take();
        }
        while !self.state().is_dead {
            if let Ok(listener) = TcpListener::bind(self.listed.addr).await {
                self.serve_on(listener);
                return;
            }
            sleep(BIND_RETRY_DELAY).await;
        }
    }

    /// Executes a command; refuses one with a lower fencing token than an earlier command had.
    fn handle_command(&self, command: Command) -> Response<Body> {
        {
            let mut state = self.state();
            if command.fence < state.fence {
                return empty_response(409);
            }
            state.fence = command.fence;
            self.apply_action(&mut state, command.action);
        }
        json_response(&self.status())
    }

    fn apply_action(&self, state: &mut State, action: Action) {
        let name = &self.listed.name;
        match action {
            Action::Drain => {
                self.inner.ledger.record_draining(name);
                state.draining = true;
            }
            Action::Resume => {
                self.inner.ledger.record_resumed(name);
                state.draining = false;
            }
            Action::Jobs { jobs } => {
                self.inner.ledger.record_jobs(name, &jobs);
                state.jobs = jobs;
            }
            Action::Reboot { operation } => {
                let ordered = [state.reboot_in_progress, state.last_reboot];
                if !ordered.contains(&Some(operation)) {
                    state.reboot_in_progress = Some(operation);
                    tokio::spawn(self.clone().reboot());
                }
            }
        }
    }
}

async fn answer(worker: Worker, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    match path.as_str() {
        STATUS => json_response(&worker.status()),
        COMMAND => {
            let Ok(body) = request.into_body().collect().await else {
                return empty_response(400);
            };
            match serde_json::from_slice(&body.to_bytes()) {
                Ok(command) => worker.handle_command(command),
                Err(_) => empty_response(400),
            }
        }
        _ => handle_work(worker, &path, request).await,
    }
}

/// A running request; dropped when it ends or its connection closes.
struct RunningRequest {
    worker: Worker,
    token: Token,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.worker.state();
        state.inflight = state.inflight.saturating_sub(1);
        self.worker.inner.ledger.record_ended(&self.worker.listed.name, self.token);
    }
}

async fn handle_work(worker: Worker, path: &str, request: Request<Incoming>) -> Response<Body> {
    let job = path.strip_prefix(RUN).and_then(|rest| rest.strip_prefix('/'));
    let Some((account, service)) = job.and_then(|job| job.split_once('/')) else {
        return empty_response(404);
    };
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let token: Token = header(TOKEN).and_then(|text| text.parse().ok()).unwrap_or(0);
    let run_ms: u64 = header(RUN_MS).and_then(|text| text.parse().ok()).unwrap_or(1);
    let id = header(REQUEST).unwrap_or_default().to_owned();
    let key: ServiceKey = (account.into(), service.into());
    if let Some(reason) = worker.rejection_reason(&key) {
        return Response::builder()
            .status(503)
            .header(REFUSED, reason)
            .body(full(""))
            .expect("the headers are constants");
    }
    let running = worker.start_request(token);
    let faults = worker.state().faults;
    let body = request.into_body().collect().await;
    let Ok(body) = body else {
        return empty_response(400);
    };
    sleep(Duration::from_millis(run_ms) + faults.extra_delay).await;
    let response = worker.respond(token, &id, body.to_bytes(), faults);
    drop(running);
    response
}

impl Worker {
    fn rejection_reason(&self, key: &ServiceKey) -> Option<&'static str> {
        let state = self.state();
        if !state.jobs.contains(key) {
            return Some("no-such-job");
        }
        if state.inflight >= self.listed.slots {
            self.inner.ledger.record_over_slots();
            return Some("slots-full");
        }
        None
    }

    fn start_request(&self, token: Token) -> RunningRequest {
        {
            let mut state = self.state();
            state.inflight += 1;
            state.started_requests += 1;
        }
        self.inner.ledger.record_started(&self.listed.name, token);
        RunningRequest { worker: self.clone(), token }
    }

    fn respond(&self, token: Token, id: &str, body: Bytes, faults: Faults) -> Response<Body> {
        let id = if faults.wrong_id { "00000000000000000000000000000000" } else { id };
        let mut response = Response::builder().header(TOKEN, token).header(REQUEST, id);
        if self.state().draining {
            response = response.header(LEAVING, "true");
        }
        let answer_text = format!("{token} ran {} bytes", body.len());
        let body = if faults.truncate_answer {
            truncated_body(answer_text.len() as u64, answer_text.into_bytes()[..3].to_vec().into())
        } else {
            full(answer_text)
        };
        response.body(body).expect("numbers and ids are valid header values")
    }
}

/// A body that declares `length` bytes and ends in an error after `start`.
fn truncated_body(length: u64, start: Bytes) -> Body {
    TruncatedBody { length, start: Some(start) }.boxed_unsync()
}

struct TruncatedBody {
    length: u64,
    start: Option<Bytes>,
}

impl HttpBody for TruncatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(Some(match self.start.take() {
            Some(start) => Ok(Frame::data(start)),
            None => Err(BodyError::Timeout),
        }))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}
