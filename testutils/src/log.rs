//! Stand-in for the platform's log: kept in memory, with injected outages, delays, lost answers and
//! retention.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use spokelift_lib::protocol::log::APPEND;
use spokelift_lib::protocol::log::Appended;
use spokelift_lib::protocol::log::Item;
use spokelift_lib::protocol::log::Page;
use spokelift_lib::protocol::log::READ;
use spokelift_lib::state::id::Offset;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::serve::serve;

/// Largest size of the records in one answer.
const MAX_PAGE_BYTES: usize = 8 * 1024 * 1024;

/// A running log. Clones share the same log.
#[derive(Clone)]
pub struct Log {
    /// The address on which it serves.
    pub addr: SocketAddr,
    inner: Arc<Inner>,
    stop: Arc<watch::Sender<bool>>,
}

#[derive(Default)]
struct Inner {
    state: Mutex<State>,
    appended: Notify,
}

#[derive(Default)]
struct State {
    first_offset: Offset,
    records: VecDeque<Bytes>,
    faults: Faults,
    appends: u64,
    reads: u64,
}

/// Faults of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether every request is answered with 503.
    pub unavailable: bool,
    /// Delay of every answer.
    pub delay: Duration,
    /// Number of appends that take effect and are then answered with 503.
    pub lose_answers: u32,
    /// Number of appends that take effect twice.
    pub duplicate: u32,
}

impl Log {
    /// Starts an empty log on a port that the system chooses.
    pub async fn start() -> std::io::Result<Log> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let inner = Arc::new(Inner::default());
        let (stop, stop_rx) = watch::channel(false);
        let server_inner = inner.clone();
        tokio::spawn(serve(listener, stop_rx, move |request| {
            answer(server_inner.clone(), request)
        }));
        Ok(Log { addr, inner, stop: Arc::new(stop) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Appends a record directly, without the protocol.
    pub fn put(&self, bytes: Bytes) {
        self.state().append(bytes);
        self.inner.appended.notify_waiters();
    }

    /// Drops all records before `first`.
    pub fn retain_from(&self, first: Offset) {
        let mut state = self.state();
        while state.first_offset < first && !state.records.is_empty() {
            state.records.pop_front();
            state.first_offset += 1;
        }
    }

    /// The offset of the next append.
    pub fn next_offset(&self) -> Offset {
        self.state().next_offset()
    }

    /// Numbers of appends and reads served so far.
    pub fn request_counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.appends, state.reads)
    }

    /// The retained records with their offsets.
    pub fn records(&self) -> Vec<(Offset, Bytes)> {
        let state = self.state();
        let offsets = state.first_offset..;
        offsets.zip(state.records.iter().cloned()).collect()
    }

    /// Stops serving.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

impl State {
    fn next_offset(&self) -> Offset {
        self.first_offset + self.records.len() as Offset
    }

    fn append(&mut self, bytes: Bytes) -> Offset {
        let offset = self.next_offset();
        self.records.push_back(bytes);
        self.appends += 1;
        offset
    }

    fn page(&self, from: Offset, max: usize) -> Page {
        let from = from.max(self.first_offset);
        let skip = (from - self.first_offset) as usize;
        let mut bytes = 0;
        let mut records = Vec::new();
        for (index, record) in self.records.iter().enumerate().skip(skip).take(max) {
            bytes += record.len();
            if bytes > MAX_PAGE_BYTES && !records.is_empty() {
                break;
            }
            records.push(Item::new(self.first_offset + index as Offset, record));
        }
        Page { first: self.first_offset, next: self.next_offset(), records }
    }
}

async fn answer(inner: Arc<Inner>, request: Request<Incoming>) -> Response<Body> {
    let faults = inner.state.lock().expect("no thread panics while it holds the lock").faults;
    sleep(faults.delay).await;
    if faults.unavailable {
        return empty_response(503);
    }
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, APPEND) => append(&inner, request).await,
        (&Method::GET, READ) => read(&inner, request).await,
        _ => empty_response(404),
    }
}

async fn append(inner: &Inner, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = request.into_body().collect().await else {
        return empty_response(400);
    };
    let bytes = body.to_bytes();
    let (offset, is_answer_lost) = {
        let mut state = inner.state.lock().expect("no thread panics while it holds the lock");
        let offset = state.append(bytes.clone());
        if state.faults.duplicate > 0 {
            state.faults.duplicate -= 1;
            state.append(bytes);
        }
        let is_answer_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (offset, is_answer_lost)
    };
    inner.appended.notify_waiters();
    if is_answer_lost {
        return empty_response(503);
    }
    json_response(&Appended { offset })
}

async fn read(inner: &Inner, request: Request<Incoming>) -> Response<Body> {
    let from = query_number(&request, "from").unwrap_or(0);
    let max = query_number(&request, "max").unwrap_or(100) as usize;
    let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
    let appended = inner.appended.notified();
    let mut appended = std::pin::pin!(appended);
    appended.as_mut().enable();
    let next = inner.state.lock().expect("no thread panics while it holds the lock").next_offset();
    if next <= from {
        let _ = timeout(wait, appended).await;
    }
    let mut state = inner.state.lock().expect("no thread panics while it holds the lock");
    if state.faults.unavailable {
        return empty_response(503);
    }
    state.reads += 1;
    let page = state.page(from, max);
    drop(state);
    json_response(&page)
}

/// A number from the query of a request; `None` if it is missing or not a number.
pub(crate) fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}

pub(crate) fn json_response<T: serde::Serialize>(value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("the protocol's types serialize to JSON");
    Response::new(full(body))
}

pub(crate) fn empty_response(code: u16) -> Response<Body> {
    let response = Response::builder().status(code);
    response.body(full("")).expect("a status code makes a valid response")
}
