//! Leader election: one node at a time schedules, by a lease in the store.
//!
//! The leader renews its lease by appends that succeed only if nobody else has appended since.
//! Another node may claim the lease once it has read no renewal for [`lease::TAKEOVER_TIMEOUT`], or at
//! once if the leader has released it. The fencing token that workers compare is derived from the
//! offset of the claim, so a leader that comes back after a pause or a partition is refused by
//! every worker that has been called by its successor. A worker that the successor does not reach
//! is not protected by that: see [`claim`].

pub mod claim;
pub mod lease;
mod view;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use spokelift_platform::call::CallError;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Offset;
use spokelift_platform::worker::Token;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::leader::lease::KEY;
use crate::batch::leader::lease::LeaderLease;
use crate::batch::leader::lease::RENEW_INTERVAL;
use crate::batch::leader::lease::TAKEOVER_TIMEOUT;
use crate::batch::leader::view::View;
use crate::batch::node::Node;
use crate::batch::order_window::HeldBoxes;
use crate::batch::order_window::OrderWindow;
use crate::batch::peer;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Topic with the record of the leader lease.
const TOPIC: &str = "keyed.lead";
/// Long-poll time of a read of the topic; shorter than [`lease::TAKEOVER_TIMEOUT`] so that missing
/// renewals are noticed in time.
const LONG_POLL: Duration = Duration::from_millis(500);
/// How long a read of the topic usually takes at most; a slow store adds about 250 ms to the long poll.
const USUAL_READ_TIME: Duration = Duration::from_millis(800);
/// Time between checks of a free lease that is left to other nodes until the claim delay is over.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call to the store; a slow store takes about 250 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two times of asking the other nodes for a promise, while the lease is not renewed.
const PROMISE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of asking one of them; until it answers again, its last promise counts.
const PROMISE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(120);

impl Node {
    /// A claim or a renewal of the lease by this node. It holds all boxes: if nothing follows it,
    /// nobody knows which boxes this leader has ordered.
    fn held_lease(&self, renewals: u32) -> LeaderLease {
        let settings = &self.settings;
        let addr = settings.peer_addr();
        let (node, incarnation) = (settings.node.clone(), self.incarnation);
        let held_boxes = HeldBoxes::All;
        LeaderLease { node, incarnation, addr, released: false, renewals, held_boxes }
    }

    /// A release of the lease by this node.
    fn released_lease(&self, held_boxes: HeldBoxes) -> LeaderLease {
        LeaderLease { released: true, held_boxes, ..self.held_lease(0) }
    }
}

/// Follows the leader lease in turns with other nodes, claims it when it is free, and schedules
/// while this node holds it.
pub async fn run(node: Arc<Node>) {
    let mut view = View::new();
    loop {
        if view.has_new_renewal
            && let Some(group) = node.lease_watchers()
        {
            // After a rest the lease is read anew.
            node.claims.set_state(claim::State::Unread);
            if node.lease_turns.rest(group).await {
                view.resume();
            }
        }
        node.claims.set_state(view.claim_state());
        let has_joined = node.directory.has_joined();
        let followed = follow_in_time(&node, &mut view).await;
        node.lease_turns.finish_read();
        view.topic_end.into_iter().for_each(|end| node.claims.record_read(end));
        if let Err(error) = followed {
            node.counters.count("batch.lead.follow-failed");
            log::debug!("cannot read the leader lease: {error}");
            view.is_interrupted = true;
            view.has_new_renewal = false;
            node.claims.set_state(view.claim_state());
            sleep(RETRY_DELAY).await;
            continue;
        }
        if has_joined {
            view.record_joined_read();
        }
        if let Some(lease) = &view.lease {
            node.set_leader_lease(view.lease_offset, lease);
        }
        if view.is_own(&node)
            && let Some(claimed_at) = node.claims.sent_at(view.lease_offset)
        {
            run_scheduler(&node, &mut view, claimed_at).await;
            node.clear_own_lease();
        } else if !view.is_claimable(&node) {
            view.free_since = None;
        } else if !node.is_stopping() {
            let since = *view.free_since.get_or_insert_with(clock::now);
            let left = view.claim_delay(&node).saturating_sub(clock::since(since));
            if left.is_zero() {
                claim_lease(&node, &view).await;
            } else {
                sleep(left.min(CLAIM_CHECK_INTERVAL)).await;
            }
        }
    }
}

type CallResult<T> = Result<T, CallError>;

/// Reads the topic on. While that takes longer than usual, this node promises as much as one that cannot read
/// it; its promises bind it if the read succeeds after all.
async fn follow_in_time(node: &Node, view: &mut View) -> CallResult<()> {
    let mut read = std::pin::pin!(follow(node, view));
    match timeout(USUAL_READ_TIME, &mut read).await {
        Ok(followed) => followed,
        Err(_) => {
            node.claims.set_state(claim::State::Unread);
            read.await
        }
    }
}

async fn follow(node: &Node, view: &mut View) -> CallResult<()> {
    let Some(end) = view.topic_end else {
        let newest = node.read_newest(TOPIC, CALL_TIMEOUT).await?;
        for record in newest.records.iter().filter(|record| record.key == KEY) {
            view.apply_record(record, newest.end.saturating_sub(1));
        }
        view.has_new_renewal = false;
        view.topic_end = Some(newest.end);
        view.last_contact = clock::now();
        // A claim by an earlier scheduler of this incarnation looks like a renewal here.
        if view.is_own(node) {
            view.lease = None;
        }
        return Ok(());
    };
    let wait = if view.free_since.is_some() { Duration::ZERO } else { LONG_POLL };
    match node.read_topic(TOPIC, end, wait, CALL_TIMEOUT).await {
        Ok(page) => {
            view.apply_page(end, &page);
            view.has_new_renewal = !page.records.is_empty() && view.is_held();
            if view.is_interrupted {
                view.is_interrupted = false;
                view.last_contact = clock::now();
            }
            Ok(())
        }
        Err(error) => {
            if error.status() == Some(410) {
                view.topic_end = None;
            }
            Err(error)
        }
    }
}

/// Appends a claim, unless a promise binds this node. Whether it succeeded shows when the topic is read
/// on: the first record after the known end wins, also if the answer to this append is lost.
async fn claim_lease(node: &Node, view: &View) {
    let Some(end) = view.topic_end else { return };
    let sent = clock::now();
    if !node.claims.start_claim(end, sent) {
        node.counters.count("batch.lead.claim-promised");
        return sleep(CLAIM_CHECK_INTERVAL).await;
    }
    let record = node.held_lease(0).to_record();
    let claimed = node.append(TOPIC, &[record], &Guard::EndsAt(end), CALL_TIMEOUT).await;
    log::info!(at = end, ok = claimed.is_ok(); "sent a claim for the leader lease");
    // A claim that came too late is decided at once by reading on.
    if claimed.is_err_and(|error| error.status() != Some(412)) {
        sleep(RETRY_DELAY).await;
    }
}

/// Schedules until the lease is lost or released. The claim of the lease was sent at `claimed_at`.
async fn run_scheduler(node: &Arc<Node>, view: &mut View, claimed_at: Instant) {
    let token: Token = view.lease_offset + 1;
    log::info!(token; "became leader");
    node.claims.set_state(claim::State::Claimed);
    node.counters.count("batch.lead.held");
    node.directory.set_known_to_leaders();
    node.operator_turns.start();
    let order_window =
        OrderWindow::new(node.settings.handover_gap, view.held_boxes(node), clock::now());
    let was_released = view.was_released();
    let scheduler = Scheduler::start(node.clone(), token, order_window, claimed_at, was_released);
    // It needs the promises of all nodes that an earlier leader knew.
    node.directory_turns.start();
    scheduler.spawn(extend_by_promises(node.clone(), scheduler.clone()));
    let why = renew_until_lost(node, view, &scheduler).await;
    scheduler.stop();
    node.set_scheduler(None);
    log::info!(token, why; "no longer leader");
    if view.is_own(node) {
        view.clear_own_lease();
    }
}

/// Renews the lease until it is lost or released; returns why it ended.
async fn renew_until_lost(
    node: &Arc<Node>,
    view: &mut View,
    scheduler: &Arc<Scheduler>,
) -> &'static str {
    let mut renewals = 0;
    // When the current renewal was first sent.
    let mut first_sent_at = None;
    loop {
        if node.is_stopping() {
            scheduler.await_flush().await;
            // The next leader relies on nothing being started after the release.
            scheduler.stop_with_dispatchers().await;
            release_lease(node, view, scheduler.order_window.close(clock::now())).await;
            return "the node is stopping";
        }
        if scheduler.is_fenced() {
            return "fenced: a worker or the store knows a newer leader";
        }
        let Some(end) = view.topic_end else { return "the end of the lease topic is unknown" };
        let sent = clock::now();
        let first_sent = *first_sent_at.get_or_insert(sent);
        let record = node.held_lease(renewals + 1).to_record();
        match node.append(TOPIC, &[record], &Guard::EndsAt(end), CALL_TIMEOUT).await {
            Ok(appended) => {
                view.topic_end = Some(appended.end);
                renewals += 1;
                first_sent_at = None;
                scheduler.record_renewal(sent);
                node.sleep_until_stopping(RENEW_INTERVAL.saturating_sub(clock::since(sent))).await;
            }
            Err(error) => {
                node.counters.count("batch.lead.renew-failed");
                if has_other_leader(node, view, end).await {
                    return "another node holds the lease";
                }
                if view.has_renewal(renewals + 1) {
                    // The append succeeded, maybe on an earlier attempt; only its answer was lost.
                    // The time of the first attempt is the only safe one.
                    renewals += 1;
                    first_sent_at = None;
                    scheduler.record_renewal(first_sent);
                    continue;
                }
                scheduler.record_failed_renewal(sent);
                log::debug!("cannot renew the leader lease: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// When the promise of each of the other nodes ends.
type Promises = HashMap<SocketAddr, Instant>;

/// Lets the scheduler go on while the lease cannot be renewed and all other nodes promise not to claim it.
async fn extend_by_promises(node: Arc<Node>, scheduler: Arc<Scheduler>) {
    let mut promises = Promises::new();
    loop {
        sleep(PROMISE_INTERVAL).await;
        if scheduler.is_renewal_overdue() {
            ask_for_promises(&node, &scheduler, &mut promises).await;
        }
    }
}

/// Asks all other nodes for how long they promise not to claim the lease; the scheduler goes on until the first promise
/// ends. What a node promised last counts until it answers again.
async fn ask_for_promises(node: &Node, scheduler: &Scheduler, promises: &mut Promises) {
    if !node.directory.is_read_since(scheduler.started_at) {
        return;
    }
    let addrs = node.directory.addrs();
    let asked_at = clock::now();
    let (token, incarnation) = (scheduler.token, node.incarnation);
    let ask = async |addr| {
        let request = peer::Request::ClaimPromise { token, incarnation };
        (addr, timeout(PROMISE_TIMEOUT, node.peers.ask_once(addr, request)).await)
    };
    for (addr, reply) in join_all(addrs.iter().copied().map(ask)).await {
        match reply {
            Ok(Ok(peer::Reply::ClaimPromise(promise))) => {
                let promise_ms = promise.as_millis() as u64;
                log::debug!(peer:% = addr, promise_ms; "node promised not to claim the lease");
                promises.insert(addr, asked_at + promise);
            }
            Ok(_) | Err(_) => node.counters.count("batch.lead.promise-missing"),
        }
    }
    // `None`, a node that has promised nothing yet, is less than any time.
    let first_end = addrs.iter().map(|addr| promises.get(addr).copied()).min();
    if let Some(until) = first_end.unwrap_or(Some(asked_at + TAKEOVER_TIMEOUT)) {
        scheduler.record_promise(until);
    }
}

/// Reads the records after `end` and returns whether another node holds the lease. The records may
/// include a renewal of this node whose answer was lost.
async fn has_other_leader(node: &Node, view: &mut View, end: Offset) -> bool {
    match node.read_topic(TOPIC, end, Duration::ZERO, CALL_TIMEOUT).await {
        Ok(page) => {
            view.apply_page(end, &page);
            !view.is_own(node)
        }
        Err(error) => {
            log::debug!("cannot read the leader lease: {error}");
            false
        }
    }
}

async fn release_lease(node: &Node, view: &View, held_boxes: HeldBoxes) {
    let Some(end) = view.topic_end else { return };
    let record = node.released_lease(held_boxes).to_record();
    if let Err(error) = node.append(TOPIC, &[record], &Guard::EndsAt(end), CALL_TIMEOUT).await {
        // The other nodes then wait for the takeover timeout.
        log::warn!("cannot release the leader lease: {error}");
    }
}
