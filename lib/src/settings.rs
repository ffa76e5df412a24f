//! The daemon's settings. Each one is a flag and an environment variable; all are checked at start.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use crate::protocol::wire::PeerKey;
use crate::protocol::wire::derive_key;
use crate::state::account::KeyHash;
use crate::state::account::parse_hash;
use crate::state::id::DaemonId;
use crate::state::id::is_name;

/// Shortest peer secret accepted, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A setting, as the table of flags and variables lists it.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without the dashes.
    pub flag: &'static str,
    /// Description, with the unit.
    pub help: &'static str,
    /// Description of the accepted values.
    pub accepted: &'static str,
    /// Default value; `None` if the setting is required.
    pub default: Option<&'static str>,
}

impl Setting {
    /// Name of the environment variable: `SPOKELIFT_` and the flag in upper case.
    ///
    /// ```
    /// let setting = spokelift_lib::settings::ALL[0];
    /// assert_eq!((setting.flag, setting.variable().as_str()), ("id", "SPOKELIFT_ID"));
    /// ```
    pub fn variable(&self) -> String {
        format!("SPOKELIFT_{}", self.flag.to_uppercase().replace('-', "_"))
    }
}

macro_rules! settings {
    ($($flag:literal, $help:literal, $accepted:literal, $default:expr;)*) => {
        /// Every setting, in the order of the tables.
        pub const ALL: &[Setting] = &[$(Setting {
            flag: $flag,
            help: $help,
            accepted: $accepted,
            default: $default,
        },)*];
    };
}

settings! {
    "id", "number of this daemon, unique on the site", "0 to 65535", None;
    "hall", "data hall this box stands in", "a name of a-z, 0-9 and -", None;
    "call-addr", "address for callers", "IP:PORT, port 0 for any", Some("127.0.0.1:0");
    "operate-addr", "address for operators", "IP:PORT, port 0 for any", Some("127.0.0.1:0");
    "peer-addr", "address for heartbeats and catch-up", "IP:PORT, port 0 for any", Some("127.0.0.1:0");
    "peers", "the other daemons of the site", "ID=IP:PORT, separated by commas", Some("");
    "peer-secret", "secret that the daemons share", "at least 16 bytes", None;
    "log", "address of the platform's log", "IP:PORT", None;
    "boxes", "address of the platform's box list", "IP:PORT", None;
    "site-key-hash", "hash of the site operator's secret", "64 hexadecimal digits", None;
    "max-age-ms", "how old the state served by may be", "500 to 60000", Some("2500");
    "heartbeat-ms", "time between heartbeats", "50 to 5000", Some("500");
    "poll-ms", "time between polls of the box list, and of boxes in doubt", "50 to 60000", Some("1000");
    "poll-bytes-per-s", "bytes a second that polls of boxes may take", "100 to 1000000000", Some("3000");
    "appends-per-s", "this daemon's share of the log's rate", "1 to 100", Some("12");
    "queue-limit", "requests of a service that may wait for a slot", "0 to 100000", Some("128");
    "queue-wait-ms", "how long a request may wait for a slot", "0 to 60000", Some("500");
    "call-limit-ms", "how long a request may take in all", "100 to 3600000", Some("30000");
    "body-limit", "largest request body, in bytes", "1024 to 1073741824", Some("8388608");
    "memory-mb", "memory that the process may have; connections take up to a quarter, bodies an eighth", "16 to 1000000", Some("260");
    "max-descriptors", "open descriptors that the process may have; its connections take up to half", "300 to 1000000", Some("4100");
    "stop-delay-ms", "time between telling the balancer and closing the door", "0 to 60000", Some("2000");
    "snapshot-every", "batches on the log between two snapshots", "16 to 1000000", Some("2000");
    "snapshot-s", "most seconds between two snapshots; the log must keep three times that", "1 to 86400", Some("600");
    "down-grace-ms", "how long a plan's last steps wait for boxes that are down", "0 to 3600000", Some("30000");
    "workers-per-share", "workers that one node looks after for the scheduler, on the users' platform", "1 to 100000", Some("100");
    "refuse-after-objectives", "a job that would be done later than this many of its objectives is refused, 0 for never, on the users' platform", "0 to 1000", Some("0");
    "statsd", "address to send metrics to", "IP:PORT, or empty for none", Some("");
}

/// Validated settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this daemon.
    pub id: DaemonId,
    /// Data hall of the daemon's box.
    pub hall: String,
    /// Address for callers.
    pub call_addr: SocketAddr,
    /// Address for operators.
    pub operate_addr: SocketAddr,
    /// Address for peers; UDP for heartbeats and TCP for catch-up.
    pub peer_addr: SocketAddr,
    /// The other daemons.
    pub peers: Vec<(DaemonId, SocketAddr)>,
    /// Key derived from the secret that the daemons share.
    pub peer_key: PeerKey,
    /// Address of the platform's log.
    pub log_addr: SocketAddr,
    /// Address of the platform's box list.
    pub box_list_addr: SocketAddr,
    /// Hash of the site operator's secret.
    pub site_key_hash: KeyHash,
    /// Maximum age of the state by which the daemon serves.
    pub max_age: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time between polls of the box list, and of boxes whose state is uncertain.
    pub poll_interval: Duration,
    /// Bytes per second that polls of boxes may take.
    pub poll_bytes_per_s: u32,
    /// Appends per second that this daemon may make to the log.
    pub appends_per_s: u32,
    /// Requests of a service that may wait for a slot.
    pub queue_limit: u32,
    /// How long a request may wait for a slot.
    pub queue_wait: Duration,
    /// How long a request may take in total.
    pub call_limit: Duration,
    /// Largest request body, in bytes.
    pub body_limit: u64,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Maximum number of open descriptors of the process.
    pub max_descriptors: usize,
    /// Time between reporting not ready to the balancer and closing the listeners.
    pub stop_delay: Duration,
    /// Batches on the log between two snapshots.
    pub snapshot_every: u64,
    /// Maximum time between two snapshots.
    pub snapshot_period: Duration,
    /// How long a plan's last steps wait for boxes that are down.
    pub down_grace: Duration,
    /// StatsD address to send metrics to; `None` for none.
    pub statsd: Option<SocketAddr>,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("--{flag} ({variable}) {problem}")]
#[diagnostic(code(spokelift::settings), help("accepted: {accepted}"))]
pub struct Fault {
    /// Name of the flag.
    pub flag: &'static str,
    /// Name of the variable.
    pub variable: String,
    /// What is wrong with the value.
    pub problem: Problem,
    /// Description of the accepted values.
    pub accepted: &'static str,
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// It is required and not set.
    #[error("is not set")]
    Missing,
    /// The value is not one of those accepted.
    #[error("is {0:?}")]
    Invalid(String),
    /// The secret is too short. Its value is not shown.
    #[error("is too short")]
    SecretTooShort,
    /// The list of peers names a daemon twice, or this daemon itself.
    #[error("names daemon {0} twice, or this daemon itself")]
    DuplicatePeer(DaemonId),
}

/// All settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("{} setting(s) cannot be used", faults.len())]
#[diagnostic(help("each one is a flag or an environment variable; --help lists them"))]
pub struct SettingsError {
    /// All faults, in the order of the table.
    #[related]
    pub faults: Vec<Fault>,
}

struct Reader<F> {
    get: F,
    faults: Vec<Fault>,
}

impl<F: Fn(&Setting) -> Option<String>> Reader<F> {
    fn text(&mut self, flag: &'static str) -> Option<String> {
        let setting = find(flag);
        let text = (self.get)(setting).or_else(|| setting.default.map(str::to_owned));
        if text.is_none() {
            self.record_fault(setting, Problem::Missing);
        }
        text
    }

    fn record_fault(&mut self, setting: &Setting, problem: Problem) {
        self.faults.push(Fault {
            flag: setting.flag,
            variable: setting.variable(),
            problem,
            accepted: setting.accepted,
        });
    }

    /// Parses the value of a setting with `read`; records a fault if there is none or it cannot be
    /// parsed.
    fn value<T>(&mut self, flag: &'static str, read: impl Fn(&str) -> Option<T>) -> Option<T> {
        let text = self.text(flag)?;
        let value = read(&text);
        if value.is_none() {
            self.record_fault(find(flag), Problem::Invalid(text));
        }
        value
    }

    fn parsed<T: FromStr>(&mut self, flag: &'static str) -> Option<T> {
        self.value(flag, |text| text.parse().ok())
    }

    fn number<T>(&mut self, flag: &'static str, range: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let read = |text: &str| text.parse().ok().filter(|value| range.contains(value));
        self.value(flag, read)
    }

    fn millis(&mut self, flag: &'static str, range: RangeInclusive<u64>) -> Option<Duration> {
        self.number(flag, range).map(Duration::from_millis)
    }

    fn secret(&mut self, flag: &'static str) -> Option<PeerKey> {
        let text = self.text(flag)?;
        if text.len() < MIN_SECRET_BYTES {
            self.record_fault(find(flag), Problem::SecretTooShort);
            return None;
        }
        Some(derive_key(&text))
    }

    fn peers(&mut self, own: Option<DaemonId>) -> Option<Vec<(DaemonId, SocketAddr)>> {
        let peers = self.value("peers", parse_peers)?;
        let mut known_ids: BTreeSet<DaemonId> = own.into_iter().collect();
        for (id, _) in &peers {
            if !known_ids.insert(*id) {
                self.record_fault(find("peers"), Problem::DuplicatePeer(*id));
            }
        }
        Some(peers)
    }

    fn statsd(&mut self) -> Option<Option<SocketAddr>> {
        self.value("statsd", |text| match text {
            "" => Some(None),
            text => text.parse().ok().map(Some),
        })
    }
}

fn find(flag: &'static str) -> &'static Setting {
    let found = ALL.iter().find(|setting| setting.flag == flag);
    found.expect("every setting that is read is in the table")
}

fn parse_peers(text: &str) -> Option<Vec<(DaemonId, SocketAddr)>> {
    let items = text.split(',').filter(|item| !item.is_empty());
    let pair = |item: &str| {
        let (id, addr) = item.split_once('=')?;
        Some((id.trim().parse().ok()?, addr.trim().parse().ok()?))
    };
    items.map(pair).collect()
}

impl Settings {
    /// Checks the values that `get` returns for each setting, and reports all faults at once.
    ///
    /// ```
    /// use spokelift_lib::settings::Settings;
    /// let error = Settings::resolve(|_| None).unwrap_err();
    /// let flags: Vec<&str> = error.faults.iter().map(|fault| fault.flag).collect();
    /// assert_eq!(flags, ["id", "hall", "peer-secret", "log", "boxes", "site-key-hash"]);
    /// ```
    pub fn resolve(get: impl Fn(&Setting) -> Option<String>) -> Result<Settings, SettingsError> {
        let mut reader = Reader { get, faults: Vec::new() };
        let settings = read_settings(&mut reader);
        match settings {
            Some(settings) if reader.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError { faults: reader.faults }),
        }
    }
}

/// Settings of a node on the users' platform in addition to those of the platform's settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Hash of the site operator's secret. If `None`, the operators' port accepts no changes.
    pub site_key_hash: Option<KeyHash>,
    /// Workers that one node polls and dispatches to for the scheduler.
    pub workers_per_shard: usize,
    /// A job is refused if it is certain to be done later than this many of its objectives; 0 for
    /// never.
    pub refuse_after_objectives: u32,
}

impl NodeSettings {
    /// Checks the values that `get` returns for each setting, and reports all faults at once.
    ///
    /// ```
    /// use spokelift_lib::settings::NodeSettings;
    /// let settings = NodeSettings::resolve(|_| None).unwrap();
    /// assert_eq!((settings.site_key_hash, settings.workers_per_shard), (None, 100));
    /// assert_eq!(settings.refuse_after_objectives, 0);
    /// assert!(NodeSettings::resolve(|_| Some("no hash, no number".to_owned())).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// [`SettingsError`] lists the settings that cannot be used.
    pub fn resolve(
        get: impl Fn(&Setting) -> Option<String>,
    ) -> Result<NodeSettings, SettingsError> {
        const KEY: &str = "site-key-hash";
        let has_key = get(find(KEY)).is_some();
        let mut reader = Reader { get, faults: Vec::new() };
        let site_key_hash = if has_key { reader.value(KEY, parse_hash) } else { None };
        let workers_per_shard = reader.number("workers-per-share", 1..=100_000);
        let refuse_after_objectives = reader.number("refuse-after-objectives", 0..=1_000);
        match (workers_per_shard, refuse_after_objectives) {
            (Some(workers_per_shard), Some(refuse_after_objectives))
                if reader.faults.is_empty() =>
            {
                Ok(NodeSettings { site_key_hash, workers_per_shard, refuse_after_objectives })
            }
            _ => Err(SettingsError { faults: reader.faults }),
        }
    }
}

/// Reads every setting before it returns `None`, so that all faults are found.
fn read_settings<F: Fn(&Setting) -> Option<String>>(reader: &mut Reader<F>) -> Option<Settings> {
    let id = reader.parsed("id");
    let hall = reader.value("hall", |text| is_name(text).then(|| text.to_owned()));
    let call_addr = reader.parsed("call-addr");
    let operate_addr = reader.parsed("operate-addr");
    let peer_addr = reader.parsed("peer-addr");
    let peers = reader.peers(id);
    let peer_key = reader.secret("peer-secret");
    let log_addr = reader.parsed("log");
    let box_list_addr = reader.parsed("boxes");
    let site_key_hash = reader.value("site-key-hash", parse_hash);
    let max_age = reader.millis("max-age-ms", 500..=60_000);
    let heartbeat_interval = reader.millis("heartbeat-ms", 50..=5_000);
    let poll_interval = reader.millis("poll-ms", 50..=60_000);
    let poll_bytes_per_s = reader.number("poll-bytes-per-s", 100..=1_000_000_000);
    let appends_per_s = reader.number("appends-per-s", 1..=100);
    let queue_limit = reader.number("queue-limit", 0..=100_000);
    let queue_wait = reader.millis("queue-wait-ms", 0..=60_000);
    let call_limit = reader.millis("call-limit-ms", 100..=3_600_000);
    let body_limit = reader.number("body-limit", 1024..=1_073_741_824);
    let memory_mb = reader.number::<usize>("memory-mb", 16..=1_000_000);
    let max_descriptors = reader.number("max-descriptors", 300..=1_000_000);
    let stop_delay = reader.millis("stop-delay-ms", 0..=60_000);
    let snapshot_every = reader.number("snapshot-every", 16..=1_000_000);
    let snapshot_period = reader.number("snapshot-s", 1..=86_400).map(Duration::from_secs);
    let down_grace = reader.millis("down-grace-ms", 0..=3_600_000);
    let statsd = reader.statsd();
    Some(Settings {
        id: id?,
        hall: hall?,
        call_addr: call_addr?,
        operate_addr: operate_addr?,
        peer_addr: peer_addr?,
        peers: peers?,
        peer_key: peer_key?,
        log_addr: log_addr?,
        box_list_addr: box_list_addr?,
        site_key_hash: site_key_hash?,
        max_age: max_age?,
        heartbeat_interval: heartbeat_interval?,
        poll_interval: poll_interval?,
        poll_bytes_per_s: poll_bytes_per_s?,
        appends_per_s: appends_per_s?,
        queue_limit: queue_limit?,
        queue_wait: queue_wait?,
        call_limit: call_limit?,
        body_limit: body_limit?,
        memory: memory_mb? << 20,
        max_descriptors: max_descriptors?,
        stop_delay: stop_delay?,
        snapshot_every: snapshot_every?,
        snapshot_period: snapshot_period?,
        down_grace: down_grace?,
        statsd: statsd?,
    })
}
