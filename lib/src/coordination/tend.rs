//! Tends the boxes this daemon has the duty for: sees whether they answer, and keeps the jobs
//! running on them that the fleet has placed there.
//!
//! The duty for a box goes by rendezvous hash among the live daemons. Two daemons that differ
//! about it do no harm: commands carry the box's version as fence, and the worker refuses a lower
//! one than it has seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::coordination::fresh::Basis;
use crate::coordination::node::Node;
use crate::protocol::worker::Action;
use crate::protocol::worker::COMMAND;
use crate::protocol::worker::Command;
use crate::protocol::worker::STATUS;
use crate::protocol::worker::Status;
use crate::state::fleet::Fleet;
use crate::state::hash;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::Offset;
use crate::state::id::ServiceKey;
use crate::state::record::Body;
use crate::transport::clock;
use crate::transport::dial::Body as HttpBody;
use crate::transport::dial::ExchangeError;
use crate::transport::dial::full;

/// How long a worker may take to answer.
const WAIT: Duration = Duration::from_millis(800);
/// Largest answer of a worker, in bytes.
const MAX_STATUS: usize = 256 * 1024;
/// Polls without an answer after which a box is down.
const DOWN_AFTER: u32 = 3;
/// Polls with an answer after which a box that was down is up.
const UP_AFTER: u32 = 3;
/// Bytes that one poll takes both ways, as `spokelift bench state` measures it.
const POLL_BYTES: usize = 230;
/// Boxes polled at the same time.
const AT_ONCE: usize = 32;

/// One box to look at, as the fleet has it.
struct Tended {
    target: BoxId,
    addr: SocketAddr,
    fence: Offset,
    down: bool,
    jobs: Vec<ServiceKey>,
    leaving: bool,
}

/// Polls in a row that had, or had not, an answer.
#[derive(Clone, Copy, Default)]
struct Streak {
    answered: u32,
    missed: u32,
}

impl Streak {
    /// Whether the last poll had no answer.
    fn is_in_doubt(&self) -> bool {
        self.missed > 0
    }

    fn add(&mut self, answered: bool) {
        if answered {
            *self = Streak { answered: self.answered + 1, missed: 0 };
        } else {
            *self = Streak { answered: 0, missed: self.missed + 1 };
        }
    }
}

/// A box in this daemon's care, or one that a request to it has cast doubt on.
#[derive(Clone, Copy)]
struct Watched {
    streak: Streak,
    due: Instant,
}

/// Which boxes to poll, and when.
///
/// A box that is well is polled seldom, so that polls keep within their share of the network at
/// any number of boxes. One that missed a poll, is down, or failed a request is polled at every
/// turn.
#[derive(Default)]
struct Rounds {
    live: Vec<DaemonId>,
    known: usize,
    own: BTreeSet<BoxId>,
    watched: BTreeMap<BoxId, Watched>,
}

impl Rounds {
    /// Works out the duty anew when the daemons or the boxes have changed.
    fn refresh(&mut self, node: &Node) {
        let live = node.live();
        let fleet = node.replica.fleet();
        if live == self.live && fleet.boxes.len() == self.known {
            return;
        }
        let is_own = |id: &&BoxId| hash::owner(id.as_bytes(), &live) == Some(node.settings.id);
        self.own = fleet.boxes.keys().filter(is_own).cloned().collect();
        self.known = fleet.boxes.len();
        self.live = live;
    }

    /// Time between two polls of a box that is well.
    fn interval(&self, node: &Node) -> Duration {
        let bytes = (self.own.len() * POLL_BYTES) as u32;
        let spread = Duration::from_secs(1) * bytes / node.settings.poll_bytes_per_s;
        spread.max(node.settings.poll)
    }

    /// The boxes to poll now.
    fn due(&mut self, node: &Node, now: Instant) -> Vec<Tended> {
        let interval = self.interval(node);
        let suspects = node.take_suspects();
        let leaving = node.listing.leaving();
        let fleet = node.replica.fleet();
        let own = &self.own;
        self.watched.retain(|id, watched| own.contains(id) || watched.streak.is_in_doubt());
        for id in own {
            self.watched.entry(id.clone()).or_insert_with(|| first_poll(now, interval));
        }
        for id in suspects {
            let watched = self.watched.entry(id).or_insert_with(|| first_poll(now, interval));
            watched.due = now;
        }
        let due = self.watched.iter().filter(|(_, watched)| watched.due <= now);
        let tended = due.filter_map(|(id, _)| Tended::new(&fleet, &leaving, id));
        tended.collect()
    }

    /// Notes a poll's result. Returns whether the box should be called down, or up, from now on.
    fn note(&mut self, node: &Node, tended: &Tended, answered: bool, now: Instant) -> Change {
        let interval = self.interval(node);
        let watched = self.watched.entry(tended.target.clone());
        let watched = watched.or_insert_with(|| first_poll(now, interval));
        watched.streak.add(answered);
        let in_doubt = watched.streak.is_in_doubt() || tended.down;
        watched.due = if in_doubt { now } else { now + interval };
        if !tended.down && watched.streak.missed >= DOWN_AFTER {
            return Change::Down;
        }
        if tended.down && watched.streak.answered >= UP_AFTER {
            return Change::Up;
        }
        Change::None
    }
}

/// First polls are spread over the interval.
fn first_poll(now: Instant, interval: Duration) -> Watched {
    let due = now + interval.mul_f64(rand::random());
    Watched { streak: Streak::default(), due }
}

#[derive(PartialEq, Eq)]
enum Change {
    None,
    Down,
    Up,
}

/// Tends boxes for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut rounds = Rounds::default();
    loop {
        sleep(node.settings.poll).await;
        // Only a daemon that reads the log itself knows well enough what should run where.
        if node.basis() != Basis::Log {
            continue;
        }
        rounds.refresh(&node);
        let tended = rounds.due(&node, clock::now());
        let answers = poll_all(&node, &tended).await;
        let now = clock::now();
        let mut down = Vec::new();
        let mut up = Vec::new();
        for (tended, answered) in tended.into_iter().zip(answers) {
            match rounds.note(&node, &tended, answered, now) {
                Change::Down => down.push(tended.target),
                Change::Up => up.push(tended.target),
                Change::None => {}
            }
        }
        report(&node, "tend.down", down, Body::Down).await;
        report(&node, "tend.up", up, Body::Up).await;
    }
}

async fn report(
    node: &Node,
    counter: &str,
    targets: Vec<BoxId>,
    body: impl Fn(Vec<BoxId>) -> Body,
) {
    if targets.is_empty() {
        return;
    }
    node.counters.add(counter, targets.len() as u64);
    log::info!(targets:? = targets; "{counter}");
    if node.appender.submit_whatever_it_takes(body(targets)).await.is_err() {
        node.counters.count("tend.report-failed");
    }
}

impl Tended {
    /// What there is to do on a box; nothing if a plan has taken it out, since its driver sees to
    /// it, or if it is in no pool.
    fn new(fleet: &Fleet, leaving: &BTreeSet<BoxId>, id: &BoxId) -> Option<Tended> {
        let entry = fleet.boxes.get(id)?;
        if entry.out.is_some() {
            return None;
        }
        Some(Tended {
            target: id.clone(),
            addr: entry.shape.addr,
            fence: entry.version,
            down: entry.down,
            jobs: fleet.jobs_on(id).cloned().collect(),
            leaving: leaving.contains(id),
        })
    }
}

async fn poll_all(node: &Arc<Node>, tended: &[Tended]) -> Vec<bool> {
    let permits = Arc::new(Semaphore::new(AT_ONCE));
    let mut polls = JoinSet::new();
    for (index, tended) in tended.iter().enumerate() {
        let node = node.clone();
        let permits = permits.clone();
        let addr = tended.addr;
        let fence = tended.fence;
        let leaving = tended.leaving;
        let jobs = tended.jobs.clone();
        polls.spawn(async move {
            let _permit = permits.acquire().await;
            (index, look_at(&node, addr, fence, leaving, jobs).await)
        });
    }
    let mut answered = vec![false; tended.len()];
    while let Some(polled) = polls.join_next().await {
        if let Ok((index, ok)) = polled {
            answered[index] = ok;
        }
    }
    answered
}

/// Looks at one box and corrects what it runs. Returns whether it answered.
async fn look_at(
    node: &Node,
    addr: SocketAddr,
    fence: Offset,
    leaving: bool,
    jobs: Vec<ServiceKey>,
) -> bool {
    let Ok(status) = status(node, addr).await else {
        node.counters.count("tend.poll.missed");
        return false;
    };
    if status.fence > fence {
        // Someone knows of a later change; what this daemon knows will catch up.
        return true;
    }
    let mut running = status.jobs.clone();
    running.sort();
    if running != jobs {
        node.counters.count("tend.jobs-corrected");
        let _ = command(node, addr, Command { fence, action: Action::Jobs { jobs } }).await;
    }
    if status.draining && !leaving {
        let _ = command(node, addr, Command { fence, action: Action::Resume }).await;
    }
    true
}

/// Asks a worker for its status.
pub async fn status(node: &Node, addr: SocketAddr) -> Result<Status, ExchangeError> {
    let request = Request::get(STATUS).body(full(""))?;
    exchange(node, addr, request).await
}

/// Gives a worker a command.
pub async fn command(
    node: &Node,
    addr: SocketAddr,
    command: Command,
) -> Result<Status, ExchangeError> {
    let body = serde_json::to_vec(&command)?;
    let request = Request::post(COMMAND).body(full(body))?;
    exchange(node, addr, request).await
}

async fn exchange(
    node: &Node,
    addr: SocketAddr,
    request: Request<HttpBody>,
) -> Result<Status, ExchangeError> {
    let answer = node.dialer.exchange(addr, request, MAX_STATUS, WAIT).await?;
    if !answer.status().is_success() {
        return Err(ExchangeError::Status(answer.status().as_u16()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}
