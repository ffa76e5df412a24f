//! Event counters, with one for each reason of a refusal, retry or fault.
//!
//! Counting goes through `cadence`. Its sink keeps totals in this process, for `spokelift
//! counters`, and forwards each metric to a StatsD address if one is set.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;

use cadence::Counted;
use cadence::MetricSink;
use cadence::StatsdClient;

/// Prefix of every metric.
const PREFIX: &str = "spokelift";

/// Totals by counter name.
pub type Totals = BTreeMap<String, u64>;

/// Counts events by name. Clones share their totals.
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<Totals>>,
}

impl std::fmt::Debug for Counters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Counters").finish_non_exhaustive()
    }
}

struct Sink {
    totals: Arc<Mutex<Totals>>,
    statsd: Option<(UdpSocket, SocketAddr)>,
}

impl MetricSink for Sink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, value)) = parse_metric(metric) {
            let mut totals =
                self.totals.lock().expect("no thread panics while it holds the totals lock");
            match totals.get_mut(name) {
                Some(total) => *total += value,
                None => {
                    totals.insert(name.to_owned(), value);
                }
            }
        }
        match &self.statsd {
            Some((socket, addr)) => socket.send_to(metric.as_bytes(), addr),
            None => Ok(metric.len()),
        }
    }
}

/// Splits `spokelift.name:value|c`.
fn parse_metric(metric: &str) -> Option<(&str, u64)> {
    let (name, rest) = metric.split_once(':')?;
    let (value, _) = rest.split_once('|')?;
    let name = name.strip_prefix(PREFIX)?.strip_prefix('.')?;
    Some((name, value.parse().ok()?))
}

impl Counters {
    /// Creates counters that also send to `statsd`, if given.
    pub fn new(statsd: Option<SocketAddr>) -> io::Result<Counters> {
        let totals = Arc::new(Mutex::new(Totals::new()));
        let statsd = match statsd {
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                Some((socket, addr))
            }
            None => None,
        };
        let sink = Sink { totals: totals.clone(), statsd };
        let client = Arc::new(StatsdClient::from_sink(PREFIX, sink));
        Ok(Counters { client, totals })
    }

    /// Adds one to a counter.
    ///
    /// ```
    /// use spokelift_lib::metrics::Counters;
    /// let counters = Counters::new(None).unwrap();
    /// counters.count("call.refused.queue-full");
    /// assert_eq!(counters.totals()["call.refused.queue-full"], 1);
    /// ```
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, value: u64) {
        // A StatsD datagram that cannot be sent must not fail the operation that is counted.
        let _ = self.client.count(name, value);
    }

    /// The totals so far.
    pub fn totals(&self) -> Totals {
        let totals = self.totals.lock().expect("no thread panics while it holds the totals lock");
        totals.clone()
    }
}
