//! State shared by the tasks of one daemon.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::coordination::append::Appender;
use crate::coordination::box_list::BoxList;
use crate::coordination::freshness;
use crate::coordination::freshness::Basis;
use crate::coordination::freshness::OwnState;
use crate::coordination::member::Members;
use crate::coordination::replica::Replica;
use crate::coordination::route::Routes;
use crate::coordination::snapshot::History;
use crate::metrics::Counters;
use crate::settings::Settings;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Incarnation;
use crate::transport::clock;
use crate::transport::dial::Dialer;

/// How long connecting to a target or to the platform may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// State shared by the tasks of one daemon.
pub struct Node {
    /// The settings it was started with.
    pub settings: Settings,
    /// Its counters.
    pub counters: Counters,
    /// Its incarnation: the start time in microseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Its copy of the fleet.
    pub replica: Replica,
    /// Its peers.
    pub members: Members,
    /// Appends records to the log.
    pub appender: Appender,
    /// The hash of its last marked state, and the latest batches, for peers that catch up.
    pub history: History,
    /// The platform's box list.
    pub box_list: BoxList,
    /// The routing table.
    pub routes: Routes,
    /// Its outgoing connections.
    pub dialer: Dialer,
    started_at: Instant,
    suspects: Mutex<BTreeSet<BoxId>>,
    stopping: AtomicBool,
    diverged: AtomicBool,
    /// Held while batches or a fleet are applied, so that the routes are rebuilt in their order.
    pub(crate) apply_lock: tokio::sync::Mutex<()>,
    /// Held while the log is read to its end for requests, so that these share reads.
    pub(crate) read_lock: tokio::sync::Mutex<()>,
}

impl Node {
    /// Creates the state of a daemon. Must be called within a Tokio runtime.
    pub fn new(settings: Settings, counters: Counters) -> Arc<Node> {
        let incarnation = new_incarnation();
        let suspect_after = settings.heartbeat_interval * 4;
        let members = Members::new(settings.id, incarnation, suspect_after, &settings.peers);
        let routes = Routes::new(settings.id, members.configured_ids(), settings.queue_limit);
        Arc::new(Node {
            settings,
            counters,
            incarnation,
            replica: Replica::default(),
            members,
            appender: Appender::start(),
            history: History::default(),
            box_list: BoxList::default(),
            routes,
            dialer: Dialer::new(CONNECT_TIMEOUT),
            suspects: Mutex::default(),
            started_at: clock::now(),
            stopping: AtomicBool::new(false),
            diverged: AtomicBool::new(false),
            apply_lock: tokio::sync::Mutex::default(),
            read_lock: tokio::sync::Mutex::default(),
        })
    }

    /// The condition by which this daemon may serve now, or that none holds.
    pub fn basis(&self) -> Basis {
        if self.diverged.load(Ordering::SeqCst) {
            return Basis::Stale;
        }
        let now = clock::now();
        let max_age = self.settings.max_age;
        let own = OwnState {
            next: self.replica.next(),
            log_age: self.replica.log_age(now),
            is_complete: self.replica.is_complete(),
            uptime: now.saturating_duration_since(self.started_at),
        };
        if own.log_age.is_some_and(|age| age < max_age) {
            return Basis::Log;
        }
        let peers = self.members.recent_peers(now, max_age);
        let daemons = self.members.configured_count();
        if !own.is_complete && freshness::becomes_complete(own, &peers, daemons, max_age) {
            self.replica.set_complete();
        }
        freshness::evaluate(own, &peers, daemons, max_age)
    }

    /// Whether this daemon accepts callers' requests.
    pub fn is_serving(&self) -> bool {
        !self.is_stopping() && self.basis().is_fresh()
    }

    /// Marks a box as suspect, since a request to it failed: it is polled soon.
    pub fn add_suspect(&self, target: &BoxId) {
        let mut suspects = self.suspects.lock().expect("no thread panics while it holds the lock");
        if !suspects.contains(target) {
            suspects.insert(target.clone());
        }
    }

    /// Removes and returns the boxes that were marked as suspect.
    pub fn take_suspects(&self) -> BTreeSet<BoxId> {
        std::mem::take(
            &mut *self.suspects.lock().expect("no thread panics while it holds the lock"),
        )
    }

    /// Sets whether this daemon's state differs from that of a majority; it does not serve then.
    pub fn set_diverged(&self, diverged: bool) {
        self.diverged.store(diverged, Ordering::SeqCst);
    }

    /// Whether this daemon is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Makes the health check fail and the heartbeats say that this daemon does not serve.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// The serving daemons, among which the tasks of the site are divided.
    pub fn serving_daemons(&self) -> Vec<DaemonId> {
        self.members.serving_daemons(clock::now(), self.is_serving())
    }
}

fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as Incarnation)
}
