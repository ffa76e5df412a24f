//! Stand-in for the store: topics with partitions, which can be read by offset or as the latest
//! record of each key.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::Weak;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use serde_json::json;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use spokelift_platform::store::Partition;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use spokelift_platform::store::decode_records;
use spokelift_platform::store::encode_records;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::json_response;
use crate::platform::network;
use crate::platform::network::Network;
use crate::serve::serve;

/// A fault of an endpoint of the store. Each node has its own endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 503 without executing the request.
    Busy,
    /// Neither answers nor executes the request.
    Unresponsive,
    /// Executes the request, and leaves every second write unanswered.
    LosesAnswers,
    /// Executes a write a second later, if its condition still holds, and never answers it.
    Late,
}

#[derive(Default)]
struct Log {
    records: Vec<Record>,
    /// Reads from before this offset fail; the latest record of each key remains available.
    first_offset: usize,
    producers: HashMap<String, (u64, u64, usize)>,
    /// Number of reads of the latest records of all keys.
    full_reads: usize,
    /// Number of appends through the protocol.
    append_count: usize,
    /// Serializes the appends.
    append_lock: Arc<tokio::sync::Mutex<()>>,
}

#[derive(Default)]
struct Inner {
    logs: Mutex<HashMap<Partition, Log>>,
    append_time: Mutex<Duration>,
    appended: Notify,
}

/// A running store. Clones share the same store.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Inner>,
}

/// An endpoint of the store.
#[derive(Clone)]
pub struct Endpoint {
    /// The address on which it listens.
    pub addr: SocketAddr,
    fault: Arc<Mutex<(Fault, u64)>>,
    /// The network of the daemon with this number, whose addresses replace those in the records.
    network: Arc<OnceLock<(Weak<network::Inner>, usize)>>,
    _shutdown: Arc<watch::Sender<bool>>,
}

impl Endpoint {
    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.lock().expect("no thread panics while it holds the lock").0 = fault;
    }

    /// From now on the daemon with this number reads the addresses of its links in `network`.
    ///
    /// # Panics
    ///
    /// If it has a network already.
    pub fn set_network(&self, network: &Network, reader: usize) {
        let network = network.downgrade();
        assert!(self.network.set((network, reader)).is_ok(), "the endpoint has a network");
    }

    /// A record of a topic as it is read here.
    fn view(&self, topic: &str, record: &Record) -> Record {
        let mut record = record.clone();
        let Some((network, reader)) = self.network.get() else { return record };
        if let (Some(network), Some(value)) = (Network::upgrade(network), &mut record.value) {
            if topic == WORKER_TOPIC {
                network.link_worker(value);
            }
            network.substitute(*reader, value);
        }
        record
    }

    /// Number of requests received so far.
    pub fn request_count(&self) -> u64 {
        self.fault.lock().expect("no thread panics while it holds the lock").1
    }

    fn count_request(&self) -> (Fault, u64) {
        let mut fault = self.fault.lock().expect("no thread panics while it holds the lock");
        fault.1 += 1;
        *fault
    }
}

impl Store {
    fn logs(&self) -> MutexGuard<'_, HashMap<Partition, Log>> {
        self.inner.logs.lock().expect("no thread panics while it holds the lock")
    }

    /// Opens an endpoint on a port that the system chooses.
    pub async fn open_endpoint(&self) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (shutdown, shutdown_rx) = watch::channel(false);
        let endpoint = Endpoint {
            addr: listener.local_addr()?,
            fault: Arc::default(),
            network: Arc::default(),
            _shutdown: Arc::new(shutdown),
        };
        let (store, server_endpoint) = (self.clone(), endpoint.clone());
        tokio::spawn(serve(listener, shutdown_rx, move |request| {
            let (store, endpoint) = (store.clone(), server_endpoint.clone());
            async move { store.handle(&endpoint, request).await }
        }));
        Ok(endpoint)
    }

    /// Sets the duration of an append; appends to one partition run one after another.
    pub fn set_append_time(&self, time: Duration) {
        *self.inner.append_time.lock().expect("no thread panics while it holds the lock") = time;
    }

    /// Number of appends to each partition of a topic through the protocol, by partition number.
    pub fn appends_by_partition(&self, topic: &str) -> BTreeMap<u16, usize> {
        let logs = self.logs();
        let of_topic = logs.iter().filter(|(partition, _)| partition.topic == topic);
        of_topic.map(|(partition, log)| (partition.number, log.append_count)).collect()
    }

    /// Number of appends to a topic through the protocol.
    pub fn append_count(&self, topic: &str) -> usize {
        self.appends_by_partition(topic).values().sum()
    }

    async fn wait_append_time(&self, partition: Partition) {
        let append_lock = self.logs().entry(partition).or_default().append_lock.clone();
        let _guard = append_lock.lock().await;
        let time =
            *self.inner.append_time.lock().expect("no thread panics while it holds the lock");
        sleep(time).await;
    }

    /// Appends to a partition directly, without the protocol. The name of a topic stands for its first partition.
    pub fn put(&self, partition: impl Into<Partition>, record: Record) {
        self.logs().entry(partition.into()).or_default().records.push(record);
        self.inner.appended.notify_waiters();
    }

    /// The latest value of a key in the first partition of a topic; `None` if the key is missing or
    /// deleted.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let logs = self.logs();
        let records = &logs.get(&topic.into())?.records;
        records.iter().rev().find(|record| record.key == key)?.value.clone()
    }

    /// Number of reads of the latest records of all keys in the first partition of a topic.
    pub fn full_reads(&self, topic: &str) -> usize {
        self.logs().get(&topic.into()).map_or(0, |log| log.full_reads)
    }

    /// Drops the history of all topics: only the latest record of each key remains available.
    pub fn compact(&self) {
        for log in self.logs().values_mut() {
            log.first_offset = log.records.len();
        }
        self.inner.appended.notify_waiters();
    }

    async fn handle(&self, endpoint: &Endpoint, request: Request<Incoming>) -> Response<Body> {
        let (fault, count) = endpoint.count_request();
        let is_write = request.method() == Method::POST;
        match fault {
            Fault::Busy => return json_response(503, &json!({})),
            Fault::Unresponsive => return std::future::pending().await,
            Fault::Late if is_write => {
                let (store, endpoint) = (self.clone(), endpoint.clone());
                tokio::spawn(async move {
                    sleep(Duration::from_secs(1)).await;
                    store.route(&endpoint, request).await
                });
                return std::future::pending().await;
            }
            _ => {}
        }
        let response = self.route(endpoint, request).await;
        if fault == Fault::LosesAnswers && is_write && count.is_multiple_of(2) {
            return std::future::pending().await;
        }
        response
    }

    async fn route(&self, endpoint: &Endpoint, request: Request<Incoming>) -> Response<Body> {
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
                    return json_response(400, &json!({}));
                };
                self.wait_append_time(partition_of(&query)).await;
                self.append(&query, body.to_bytes())
            }
            "/api/log-read" => self.read(endpoint, &query).await,
            "/api/log-newest" => self.newest(endpoint, &query),
            _ => json_response(404, &json!({})),
        }
    }

    fn append(&self, query: &HashMap<String, String>, body: Bytes) -> Response<Body> {
        let Some(records) = decode_records(body) else { return json_response(400, &json!({})) };
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let mut logs = self.logs();
        let log = logs.entry(partition_of(query)).or_default();
        log.append_count += 1;
        let end = log.records.len();
        if number("at").is_some_and(|at| at != end as u64) {
            return json_response(412, &json!({ "end": end }));
        }
        if let (Some(producer), Some(epoch), Some(seq)) =
            (query.get("producer"), number("epoch"), number("seq"))
        {
            match log.producers.get(producer).copied() {
                Some((known_epoch, _, _)) if epoch < known_epoch => {
                    return json_response(409, &json!({ "reason": "fenced" }));
                }
                Some((known_epoch, last_seq, offset))
                    if epoch == known_epoch && seq == last_seq =>
                {
                    return json_response(200, &json!({ "offset": offset, "end": end }));
                }
                Some((known_epoch, last_seq, _)) if epoch == known_epoch && seq != last_seq + 1 => {
                    return json_response(409, &json!({ "reason": "seq", "seq": last_seq + 1 }));
                }
                _ => {
                    log.producers.insert(producer.clone(), (epoch, seq, end));
                }
            }
        }
        log.records.extend(records);
        let new_end = log.records.len();
        drop(logs);
        self.inner.appended.notify_waiters();
        json_response(200, &json!({ "offset": end, "end": new_end }))
    }

    async fn read(&self, endpoint: &Endpoint, query: &HashMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
        let end = |store: &Store| {
            store.logs().get(&partition_of(query)).map_or(0, |log| log.records.len())
        };
        let appended = async {
            loop {
                let appended = self.inner.appended.notified();
                let mut appended = std::pin::pin!(appended);
                appended.as_mut().enable();
                if end(self) > from {
                    return;
                }
                appended.await;
            }
        };
        // Without new records in time the answer is empty.
        let _ = timeout(wait, appended).await;
        let mut logs = self.logs();
        let log = logs.entry(partition_of(query)).or_default();
        if from < log.first_offset {
            return json_response(410, &json!({ "first": log.first_offset }));
        }
        let mut body = Vec::new();
        body.extend((log.records.len() as u64).to_be_bytes());
        body.extend((log.first_offset as u64).to_be_bytes());
        let records = log.records.get(from..).unwrap_or_default();
        let view = |record| endpoint.view(&query["topic"], record);
        body.extend(encode_records(&records.iter().map(view).collect::<Vec<Record>>()));
        Response::new(full(body))
    }

    fn newest(&self, endpoint: &Endpoint, query: &HashMap<String, String>) -> Response<Body> {
        let mut logs = self.logs();
        let log = logs.entry(partition_of(query)).or_default();
        log.full_reads += 1;
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in log.records.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        let items: Vec<_> = newest
            .values()
            .filter_map(|(offset, record)| {
                let value = STANDARD.encode(endpoint.view(&query["topic"], record).value?);
                Some(json!({ "key": record.key, "value": value, "offset": offset }))
            })
            .collect();
        json_response(200, &json!({ "items": items, "more": false, "end": log.records.len() }))
    }
}

/// The partition that a request names.
fn partition_of(query: &HashMap<String, String>) -> Partition {
    let number = query.get("part").and_then(|text| text.parse().ok());
    Partition { topic: query["topic"].clone(), number: number.unwrap_or_default() }
}
