//! Polls the boxes that this daemon owns: detects which of them are down, and corrects the jobs
//! that run on them to those that the fleet has placed there.
//!
//! The owner of a box is chosen by rendezvous hash among the serving daemons. Two daemons that both
//! consider themselves the owner do not conflict: commands carry the box's version as fencing
//! token, and the worker refuses one that is lower than the highest it has seen.

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
/// Largest response of a worker, in bytes.
const MAX_STATUS_BYTES: usize = 256 * 1024;
/// Polls without an answer after which a box is down.
const DOWN_AFTER_POLLS: u32 = 3;
/// Polls with an answer after which a box that was down is up.
const UP_AFTER_POLLS: u32 = 3;
/// Bytes that one poll takes on the network, request and response together.
const POLL_BYTES: usize = 230;
/// Boxes polled at the same time.
const MAX_CONCURRENT_POLLS: usize = 32;

/// A box to poll, with the state that the fleet wants it in.
struct PollTarget {
    id: BoxId,
    addr: SocketAddr,
    fence: Offset,
    is_down: bool,
    jobs: Vec<ServiceKey>,
    is_leaving: bool,
}

/// Number of consecutive polls that were, or were not, answered.
#[derive(Clone, Copy, Default)]
struct Streak {
    answered: u32,
    missed: u32,
}

impl Streak {
    /// Whether the last poll was not answered.
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

/// The polls of a box that this daemon owns, or to which one of its requests failed.
#[derive(Clone, Copy)]
struct PollState {
    streak: Streak,
    due_at: Instant,
}

/// Which boxes to poll, and when.
///
/// Responsive boxes are polled at an interval that grows with their number, so that polls keep
/// within `poll_bytes_per_s`. A box that missed a poll, is down, or failed a request is polled in
/// every round.
#[derive(Default)]
struct PollSchedule {
    live_daemons: Vec<DaemonId>,
    box_count: usize,
    owned: BTreeSet<BoxId>,
    polled: BTreeMap<BoxId, PollState>,
}

impl PollSchedule {
    /// Determines the owned boxes again when the serving daemons or the number of boxes have
    /// changed.
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

    /// Time between two polls of a responsive box.
    fn interval(&self, node: &Node) -> Duration {
        let bytes = (self.owned.len() * POLL_BYTES) as u32;
        let rate_limited = Duration::from_secs(1) * bytes / node.settings.poll_bytes_per_s;
        rate_limited.max(node.settings.poll_interval)
    }

    /// The boxes to poll now; also makes the suspected boxes due.
    fn take_due(&mut self, node: &Node, now: Instant) -> Vec<PollTarget> {
        let interval = self.interval(node);
        let suspects = node.take_suspects();
        let leaving = node.box_list.leaving();
        let fleet = node.replica.fleet();
        let owned = &self.owned;
        self.polled.retain(|id, state| owned.contains(id) || state.streak.is_unresponsive());
        for id in owned {
            self.polled.entry(id.clone()).or_insert_with(|| initial_poll_state(now, interval));
        }
        for id in suspects {
            let state = self.polled.entry(id).or_insert_with(|| initial_poll_state(now, interval));
            state.due_at = now;
        }
        let due = self.polled.iter().filter(|(_, state)| state.due_at <= now);
        let targets = due.filter_map(|(id, _)| PollTarget::new(&fleet, &leaving, id));
        targets.collect()
    }

    /// Records the result of a poll. Returns whether the box is to be marked as down or up.
    fn record_poll(
        &mut self,
        node: &Node,
        target: &PollTarget,
        answered: bool,
        now: Instant,
    ) -> Transition {
        let interval = self.interval(node);
        let state = self.polled.entry(target.id.clone());
        let state = state.or_insert_with(|| initial_poll_state(now, interval));
        state.streak.add(answered);
        let needs_poll = state.streak.is_unresponsive() || target.is_down;
        state.due_at = if needs_poll { now } else { now + interval };
        if !target.is_down && state.streak.missed >= DOWN_AFTER_POLLS {
            return Transition::Down;
        }
        if target.is_down && state.streak.answered >= UP_AFTER_POLLS {
            return Transition::Up;
        }
        Transition::None
    }
}

/// State of a box before its first poll, which is due at a random time within the interval.
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

/// Polls boxes for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    let mut schedule = PollSchedule::default();
    loop {
        sleep(node.settings.poll_interval).await;
        // Only a daemon that reads the log itself has a placement recent enough to enforce.
        if node.basis() != Basis::Log {
            continue;
        }
        schedule.refresh_owned(&node);
        let targets = schedule.take_due(&node, clock::now());
        let answers = poll_all(&node, &targets).await;
        let now = clock::now();
        let mut down = Vec::new();
        let mut up = Vec::new();
        for (target, answered) in targets.into_iter().zip(answers) {
            match schedule.record_poll(&node, &target, answered, now) {
                Transition::Down => down.push(target.id),
                Transition::Up => up.push(target.id),
                Transition::None => {}
            }
        }
        append_transitions(&node, ("tend.down", "boxes are down"), down, Body::Down).await;
        append_transitions(&node, ("tend.up", "boxes are up again"), up, Body::Up).await;
    }
}

/// Appends a record that marks boxes as down or up.
async fn append_transitions(
    node: &Node,
    (counter, message): (&str, &str),
    targets: Vec<BoxId>,
    body: impl Fn(Vec<BoxId>) -> Body,
) {
    if targets.is_empty() {
        return;
    }
    node.counters.add(counter, targets.len() as u64);
    log::info!(targets:? = targets; "{message}");
    if node.appender.submit_without_timeout(body(targets)).await.is_err() {
        node.counters.count("tend.report-failed");
    }
}

impl PollTarget {
    /// The poll of a box; `None` if it is in no pool, or if a plan has taken it out of service:
    /// then that plan's driver controls it.
    fn new(fleet: &Fleet, leaving: &BTreeSet<BoxId>, id: &BoxId) -> Option<PollTarget> {
        let entry = fleet.boxes.get(id)?;
        if entry.out.is_some() {
            return None;
        }
        Some(PollTarget {
            id: id.clone(),
            addr: entry.shape.addr,
            fence: entry.version,
            is_down: entry.down,
            jobs: fleet.jobs_on(id).cloned().collect(),
            is_leaving: leaving.contains(id),
        })
    }
}

/// Polls boxes concurrently. Returns for each, in their order, whether it answered.
async fn poll_all(node: &Arc<Node>, targets: &[PollTarget]) -> Vec<bool> {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_POLLS));
    let mut polls = JoinSet::new();
    for (index, target) in targets.iter().enumerate() {
        let node = node.clone();
        let permits = permits.clone();
        let addr = target.addr;
        let fence = target.fence;
        let leaving = target.is_leaving;
        let jobs = target.jobs.clone();
        polls.spawn(async move {
            let _permit = permits.acquire().await;
            (index, poll_box(&node, addr, fence, leaving, jobs).await)
        });
    }
    let mut answered = vec![false; targets.len()];
    while let Some(polled) = polls.join_next().await {
        if let Ok((index, ok)) = polled {
            answered[index] = ok;
        }
    }
    answered
}

/// Polls one box and corrects its jobs. Returns whether it answered.
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
        // A daemon that has applied more of the log has commanded the worker already.
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

/// Requests a worker's status.
pub async fn fetch_status(node: &Node, addr: SocketAddr) -> Result<Status, ExchangeError> {
    let request = Request::get(STATUS).body(full(""))?;
    exchange(node, addr, request).await
}

/// Sends a worker a command. A fence that is too low fails with status 409.
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
    let response = node.dialer.exchange(addr, request, MAX_STATUS_BYTES, WORKER_TIMEOUT).await?;
    if !response.status().is_success() {
        return Err(ExchangeError::Status(response.status().as_u16()));
    }
    Ok(serde_json::from_slice(response.body())?)
}
