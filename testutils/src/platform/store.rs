//! The store: topics of one partition, some of which keep the newest record of each key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::serve;
use spokelift_platform::store::Record;
use spokelift_platform::store::decode_records;
use spokelift_platform::store::encode;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::answer;

/// What one door of the store does to whoever comes through it. Each node has a door of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Answers 503 and does nothing.
    Busy,
    /// Says nothing and does nothing.
    Silent,
    /// Does what is asked, and answers every second time only.
    LosesAnswers,
    /// Does what is asked a second later, if its condition still holds, and never answers.
    Late,
}

#[derive(Default)]
struct Topic {
    records: Vec<Record>,
    /// Records before this offset are gone, but for the newest of each key.
    first: usize,
    producers: HashMap<String, (u64, u64, usize)>,
    /// How often it was read whole.
    read_whole: usize,
    /// How often it was appended to.
    appends: usize,
    /// Held by the append whose turn it is.
    turn: Arc<tokio::sync::Mutex<()>>,
}

#[derive(Default)]
struct Inner {
    topics: Mutex<HashMap<String, Topic>>,
    append_time: Mutex<Duration>,
    grown: Notify,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Inner>,
}

/// One way into the store.
#[derive(Clone)]
pub struct Door {
    /// Where it is.
    pub addr: SocketAddr,
    fault: Arc<Mutex<(Fault, u64)>>,
    _open: Arc<watch::Sender<bool>>,
}

impl Door {
    /// Sets what it does from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.lock().expect("no holder panics").0 = fault;
    }

    fn take(&self) -> (Fault, u64) {
        let mut fault = self.fault.lock().expect("no holder panics");
        fault.1 += 1;
        *fault
    }
}

impl Store {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.inner.topics.lock().expect("no holder panics")
    }

    /// Opens a door on a port chosen by the system.
    pub async fn door(&self) -> std::io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (open, closed) = watch::channel(false);
        let door =
            Door { addr: listener.local_addr()?, fault: Arc::default(), _open: Arc::new(open) };
        let (store, entrance) = (self.clone(), door.clone());
        tokio::spawn(serve(listener, closed, move |request| {
            let (store, door) = (store.clone(), entrance.clone());
            async move { store.enter(&door, request).await }
        }));
        Ok(door)
    }

    /// Sets how long an append takes; those of one topic go one after another.
    pub fn set_append_time(&self, time: Duration) {
        *self.inner.append_time.lock().expect("no holder panics") = time;
    }

    /// How often a topic was appended to through the protocol.
    pub fn appends(&self, topic: &str) -> usize {
        self.topics().get(topic).map_or(0, |topic| topic.appends)
    }

    async fn take_turn(&self, topic: &str) {
        let turn = self.topics().entry(topic.to_owned()).or_default().turn.clone();
        let _turn = turn.lock().await;
        let time = *self.inner.append_time.lock().expect("no holder panics");
        sleep(time).await;
    }

    /// Appends past the protocol.
    pub fn put(&self, topic: &str, record: Record) {
        self.topics().entry(topic.to_owned()).or_default().records.push(record);
        self.inner.grown.notify_waiters();
    }

    /// The newest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics();
        let records = &topics.get(topic)?.records;
        records.iter().rev().find(|record| record.key == key)?.value.clone()
    }

    /// How often a topic was read whole.
    pub fn read_whole(&self, topic: &str) -> usize {
        self.topics().get(topic).map_or(0, |topic| topic.read_whole)
    }

    /// Lets go of the history of all topics.
    pub fn forget_history(&self) {
        for topic in self.topics().values_mut() {
            topic.first = topic.records.len();
        }
        self.inner.grown.notify_waiters();
    }

    async fn enter(&self, door: &Door, request: Request<Incoming>) -> Response<Body> {
        let (fault, count) = door.take();
        let writes = request.method() == Method::POST;
        match fault {
            Fault::Busy => return answer(503, &json!({})),
            Fault::Silent => return std::future::pending().await,
            Fault::Late if writes => {
                let store = self.clone();
                tokio::spawn(async move {
                    sleep(Duration::from_secs(1)).await;
                    store.route(request).await
                });
                return std::future::pending().await;
            }
            _ => {}
        }
        let response = self.route(request).await;
        if fault == Fault::LosesAnswers && writes && count.is_multiple_of(2) {
            return std::future::pending().await;
        }
        response
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        match path.as_str() {
            "/api/log-append" => {
                let Ok(body) = request.into_body().collect().await else {
                    return answer(400, &json!({}));
                };
                self.take_turn(&query["topic"]).await;
                self.append(&query, body.to_bytes())
            }
            "/api/log-read" => self.read(&query).await,
            "/api/log-newest" => self.newest(&query),
            _ => answer(404, &json!({})),
        }
    }

    fn append(&self, query: &HashMap<String, String>, body: Bytes) -> Response<Body> {
        let Some(records) = decode_records(body) else { return answer(400, &json!({})) };
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let mut topics = self.topics();
        let topic = topics.entry(query["topic"].clone()).or_default();
        topic.appends += 1;
        let end = topic.records.len();
        if number("at").is_some_and(|at| at != end as u64) {
            return answer(412, &json!({ "end": end }));
        }
        if let (Some(producer), Some(epoch), Some(seq)) =
            (query.get("producer"), number("epoch"), number("seq"))
        {
            match topic.producers.get(producer).copied() {
                Some((seen, _, _)) if epoch < seen => {
                    return answer(409, &json!({ "reason": "fenced" }));
                }
                Some((seen, last, offset)) if epoch == seen && seq == last => {
                    return answer(200, &json!({ "offset": offset, "end": end }));
                }
                Some((seen, last, _)) if epoch == seen && seq != last + 1 => {
                    return answer(409, &json!({ "reason": "seq", "seq": last + 1 }));
                }
                _ => {
                    topic.producers.insert(producer.clone(), (epoch, seq, end));
                }
            }
        }
        topic.records.extend(records);
        let new_end = topic.records.len();
        drop(topics);
        self.inner.grown.notify_waiters();
        answer(200, &json!({ "offset": end, "end": new_end }))
    }

    async fn read(&self, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
        let end = |store: &Store| {
            store.topics().get(&query["topic"]).map_or(0, |topic| topic.records.len())
        };
        let grown = async {
            loop {
                let grown = self.inner.grown.notified();
                let mut grown = std::pin::pin!(grown);
                grown.as_mut().enable();
                if end(self) > from {
                    return;
                }
                grown.await;
            }
        };
        // Without news the answer is empty.
        let _ = timeout(wait, grown).await;
        let mut topics = self.topics();
        let topic = topics.entry(query["topic"].clone()).or_default();
        if from < topic.first {
            return answer(410, &json!({ "first": topic.first }));
        }
        let mut body = Vec::new();
        body.extend((topic.records.len() as u64).to_be_bytes());
        body.extend((topic.first as u64).to_be_bytes());
        body.extend(encode(topic.records.get(from..).unwrap_or_default()));
        Response::new(full(body))
    }

    fn newest(&self, query: &HashMap<String, String>) -> Response<Body> {
        let mut topics = self.topics();
        let topic = topics.entry(query["topic"].clone()).or_default();
        topic.read_whole += 1;
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in topic.records.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        let items: Vec<_> = newest
            .values()
            .filter_map(|(offset, record)| {
                let value = STANDARD.encode(record.value.as_ref()?);
                Some(json!({ "key": record.key, "value": value, "offset": offset }))
            })
            .collect();
        answer(200, &json!({ "items": items, "more": false, "end": topic.records.len() }))
    }
}
