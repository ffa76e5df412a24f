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

use crate::coordination::freshness::Basis;
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
const WORKER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest answer of a worker, in bytes.
const MAX_STATUS_BYTES: usize = 256 * 1024;
/// Polls without an answer after which a box is down.
const DOWN_AFTER_POLLS: u32 = 3;
/// Polls with an answer after which a box that was down is up.
const UP_AFTER_POLLS: u32 = 3;
/// Bytes that one poll takes both ways, as `spokelift bench state` measures it.
const POLL_BYTES: usize = 230;
/// Boxes polled at the same time.
const MAX_CONCURRENT_POLLS: usize = 32;

/// One box to look at, as the fleet has it.
struct PollTarget {
    target: BoxId,
    addr: SocketAddr,
    fence: Offset,
    is_down: bool,
    jobs: Vec<ServiceKey>,
    is_leaving: bool,
}

/// Polls in a row that had, or had not, an answer.
#[derive(Clone, Copy, Default)]
struct Streak {
    answered: u32,
    missed: u32,
}

impl Streak {
    /// Whether the last poll had no answer.
    fn is_unresponsive(&self) -> bool {
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
struct PollState {
    streak: Streak,
    due_at: Instant,
}

/// Which boxes to poll, and when.
///
/// A box that is well is polled seldom, so that polls keep within their share of the network at
/// any number of boxes. One that missed a poll, is down, or failed a request is polled at every
/// turn.
#[derive(Default)]
struct PollSchedule {
    live_daemons: Vec<DaemonId>,
    box_count: usize,
    owned: BTreeSet<BoxId>,
    polled: BTreeMap<BoxId, PollState>,
}

impl PollSchedule {
    /// Works out the duty anew when the daemons or the boxes have changed.
    fn refresh_owned(&mut self, node: &Node) {
        let live = node.serving_daemons();
        let fleet = node.replica.fleet();
        if live == self.live_daemons && fleet.boxes.len() == self.box_count {
            return;
        }
        let is_own = |id: &&BoxId| hash::owner(id.as_bytes(), &live) == Some(node.settings.id);
        self.owned = fleet.boxes.keys().filter(is_own).cloned().collect();
        self.box_count = fleet.boxes.len();
        self.live_daemons = live;
    }

    /// Time between two polls of a box that is well.
    fn interval(&self, node: &Node) -> Duration {
        let bytes = (self.owned.len() * POLL_BYTES) as u32;
        let spread = Duration::from_secs(1) * bytes / node.settings.poll_bytes_per_s;
        spread.max(node.settings.poll_interval)
    }

    /// The boxes to poll now.
    fn take_due(&mut self, node: &Node, now: Instant) -> Vec<PollTarget> {
        let interval = self.interval(node);
        let suspects = node.take_suspects();
        let leaving = node.box_list.leaving();
        let fleet = node.replica.fleet();
        let own = &self.owned;
        self.polled.retain(|id, watched| own.contains(id) || watched.streak.is_unresponsive());
        for id in own {
            self.polled.entry(id.clone()).or_insert_with(|| initial_poll_state(now, interval));
        }
        for id in suspects {
            let watched =
                self.polled.entry(id).or_insert_with(|| initial_poll_state(now, interval));
            watched.due_at = now;
        }
        let due = self.polled.iter().filter(|(_, watched)| watched.due_at <= now);
        let tended = due.filter_map(|(id, _)| PollTarget::new(&fleet, &leaving, id));
        tended.collect()
    }

    /// Notes a poll's result. Returns whether the box should be called down, or up, from now on.
    fn record_poll(
        &mut self,
        node: &Node,
        tended: &PollTarget,
        answered: bool,
        now: Instant,
    ) -> Transition {
        let interval = self.interval(node);
        let watched = self.polled.entry(tended.target.clone());
        let watched = watched.or_insert_with(|| initial_poll_state(now, interval));
        watched.streak.add(answered);
        let in_doubt = watched.streak.is_unresponsive() || tended.is_down;
        watched.due_at = if in_doubt { now } else { now + interval };
        if !tended.is_down && watched.streak.missed >= DOWN_AFTER_POLLS {
            return Transition::Down;
        }
        if tended.is_down && watched.streak.answered >= UP_AFTER_POLLS {
            return Transition::Up;
        }
        Transition::None
    }
}

/// First polls are spread over the interval.
fn initial_poll_state(now: Instant, interval: Duration) -> PollState {
    let due = now + interval.mul_f64(rand::random());
    PollState { streak: Streak::default(), due_at: due }
}

#[derive(PartialEq, Eq)]
enum Transition {
    None,
    Down,
    Up,
}

/// Tends boxes for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut rounds = PollSchedule::default();
    loop {
        sleep(node.settings.poll_interval).await;
        // Only a daemon that reads the log itself knows well enough what should run where.
        if node.basis() != Basis::Log {
            continue;
        }
        rounds.refresh_owned(&node);
        let tended = rounds.take_due(&node, clock::now());
        let answers = poll_all(&node, &tended).await;
        let now = clock::now();
        let mut down = Vec::new();
        let mut up = Vec::new();
        for (tended, answered) in tended.into_iter().zip(answers) {
            match rounds.record_poll(&node, &tended, answered, now) {
                Transition::Down => down.push(tended.target),
                Transition::Up => up.push(tended.target),
                Transition::None => {}
            }
        }
        append_transitions(&node, "tend.down", down, Body::Down).await;
        append_transitions(&node, "tend.up", up, Body::Up).await;
    }
}

async fn append_transitions(
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
    if node.appender.submit_without_timeout(body(targets)).await.is_err() {
        node.counters.count("tend.report-failed");
    }
}

impl PollTarget {
    /// What there is to do on a box; nothing if a plan has taken it out, since its driver sees to
    /// it, or if it is in no pool.
    fn new(fleet: &Fleet, leaving: &BTreeSet<BoxId>, id: &BoxId) -> Option<PollTarget> {
        let entry = fleet.boxes.get(id)?;
        if entry.out.is_some() {
            return None;
        }
        Some(PollTarget {
            target: id.clone(),
            addr: entry.shape.addr,
            fence: entry.version,
            is_down: entry.down,
            jobs: fleet.jobs_on(id).cloned().collect(),
            is_leaving: leaving.contains(id),
        })
    }
}

async fn poll_all(node: &Arc<Node>, tended: &[PollTarget]) -> Vec<bool> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS));
    let mut polls = JoinSet::new();
    for (index, tended) in tended.iter().enumerate() {
        let node = node.clone();
        let permits = permits.clone();
        let addr = tended.addr;
        let fence = tended.fence;
        let leaving = tended.is_leaving;
        let jobs = tended.jobs.clone();
        polls.spawn(async move {
            let _permit = permits.acquire().await;
            (index, poll_box(&node, addr, fence, leaving, jobs).await)
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
async fn poll_box(
    node: &Node,
    addr: SocketAddr,
    fence: Offset,
    leaving: bool,
    jobs: Vec<ServiceKey>,
) -> bool {
    let Ok(status) = fetch_status(node, addr).await else {
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
        let _ = send_command(node, addr, Command { fence, action: Action::Jobs { jobs } }).await;
    }
    if status.draining && !leaving {
        let _ = send_command(node, addr, Command { fence, action: Action::Resume }).await;
    }
    true
}

/// Asks a worker for its status.
pub async fn fetch_status(node: &Node, addr: SocketAddr) -> Result<Status, ExchangeError> {
    let request = Request::get(STATUS).body(full(""))?;
    exchange(node, addr, request).await
}

/// Gives a worker a command.
pub async fn send_command(
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
    let answer = node.dialer.exchange(addr, request, MAX_STATUS_BYTES, WORKER_TIMEOUT).await?;
    if !answer.status().is_success() {
        return Err(ExchangeError::Status(answer.status().as_u16()));
    }
    Ok(serde_json::from_slice(answer.body())?)
}
