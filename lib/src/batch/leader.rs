//! Who schedules: one node at a time, by a record in the store.
//!
//! The holder of the lead renews its record by appends that hold only if nobody else has appended
//! since. Another node may claim the lead once it has heard nothing for [`TAKEOVER_TIMEOUT`], or at once if
//! the holder has given it up. The offset of the claim is the number that workers compare, so a
//! holder that was paused or cut off and comes back is refused by every worker that has heard from
//! its successor.

mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Record;
use spokelift_platform::worker::Token;
use tokio::time::sleep;

use crate::batch::leader::view::View;
use crate::batch::node::Node;
use crate::batch::order_window::HeldBoxes;
use crate::batch::order_window::OrderWindow;
use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// Topic with the one record of the lead.
const TOPIC: &str = "keyed.lead";
/// Its key.
const KEY: &str = "lead";
/// Time between renewals. Each costs a call to the store and a read by each node.
const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Silence of the holder after which another node claims the lead: three renewals and a half.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_100);
/// How long a read waits for news; shorter than [`TAKEOVER_TIMEOUT`] so that silence is seen in time.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time between looks at a lead that is free and left to others for now.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a call to the store may take; a slow store takes about 250 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(120);

/// The record of the lead.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LeaderLease {
    /// Name of the holder's node.
    pub node: String,
    /// The holder's life; a node that starts again is another holder.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Where the holder answers other nodes.
    pub addr: SocketAddr,
    /// The holder has given up the lead.
    pub released: bool,
    /// How often the holder has renewed it.
    pub renewals: u32,
    /// Boxes that the next holder has to leave alone at first.
    #[serde(rename = "resting")]
    pub held_boxes: HeldBoxes,
}

impl LeaderLease {
    /// A claim or a renewal: if nothing more is heard, nobody knows what the holder has ordered.
    fn held_by(node: &Node, renewals: u32) -> LeaderLease {
        let settings = &node.settings;
        let addr = settings.peer_addr();
        let (node, life) = (settings.node.clone(), node.incarnation);
        LeaderLease {
            node,
            incarnation: life,
            addr,
            released: false,
            renewals,
            held_boxes: HeldBoxes::All,
        }
    }

    /// The holder gives it up.
    fn released_by(node: &Node, resting: HeldBoxes) -> LeaderLease {
        LeaderLease { released: true, held_boxes: resting, ..LeaderLease::held_by(node, 0) }
    }

    fn to_record(&self) -> Record {
        let value = postcard::to_stdvec(self).expect("a lead can be written by postcard");
        Record::set(KEY, value)
    }
}

/// Follows the lead, claims it when it is free, and schedules while holding it.
pub async fn run(node: Arc<Node>) {
    let mut view = View::new();
    loop {
        if let Err(error) = follow(&node, &mut view).await {
            node.counters.count("batch.lead.follow-failed");
            log::debug!("the lead cannot be followed: {error}");
            view.is_interrupted = true;
            sleep(RETRY_DELAY).await;
            continue;
        }
        node.set_leader_lease(view.lease.clone().filter(|lead| !lead.released));
        if view.is_own(&node) {
            run_scheduler(&node, &mut view).await;
        } else if !view.is_claimable(&node) {
            view.free_since = None;
        } else if !node.is_stopping() {
            let since = *view.free_since.get_or_insert_with(clock::now);
            let left = view.claim_delay(&node).saturating_sub(clock::since(since));
            if left.is_zero() {
                claim_lease(&node, &mut view).await;
            } else {
                sleep(left.min(CLAIM_CHECK_INTERVAL)).await;
            }
        }
    }
}

type CallResult<T> = Result<T, spokelift_platform::call::CallError>;

async fn follow(node: &Node, view: &mut View) -> CallResult<()> {
    let Some(end) = view.topic_end else {
        let newest = node.read_newest(TOPIC, CALL_TIMEOUT).await?;
        for record in newest.records.iter().filter(|record| record.key == KEY) {
            view.apply_record(record, newest.end.saturating_sub(1));
        }
        view.topic_end = Some(newest.end);
        view.last_contact = clock::now();
        // A claim of an earlier scheduler of this life cannot be told from a renewal here.
        if view.is_own(node) {
            view.lease = None;
        }
        return Ok(());
    };
    let wait = if view.free_since.is_some() { Duration::ZERO } else { LONG_POLL };
    match node.read_topic(TOPIC, end, wait, CALL_TIMEOUT).await {
        Ok(page) => {
            view.apply_page(end, &page);
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

/// Appends a claim. Whether it holds is seen by reading on: the first record after the end is the
/// one that counts, also if the answer is lost.
async fn claim_lease(node: &Node, view: &mut View) {
    let Some(end) = view.topic_end else { return };
    let record = LeaderLease::held_by(node, 0).to_record();
    let claimed = node.append(TOPIC, &[record], &Guard::At(end), CALL_TIMEOUT).await;
    log::info!(at = end, ok = claimed.is_ok(); "claims the lead");
    if claimed.is_err() {
        sleep(RETRY_DELAY).await;
    }
}

/// Schedules until the lead is lost or given up.
async fn run_scheduler(node: &Arc<Node>, view: &mut View) {
    let token: Token = view.lease_offset + 1;
    log::info!(token; "holds the lead");
    node.counters.count("batch.lead.held");
    let turn = OrderWindow::new(node.settings.turn_gap, view.held_boxes(node), clock::now());
    let scheduler = Scheduler::start(node.clone(), token, turn, view.was_released());
    let why = renew_until_lost(node, view, &scheduler).await;
    scheduler.stop();
    node.set_scheduler(None);
    log::info!(token, why; "no longer holds the lead");
    if view.is_own(node) {
        view.clear_own_lease();
    }
}

/// Renews the lead; returns why that ended.
async fn renew_until_lost(
    node: &Arc<Node>,
    view: &mut View,
    scheduler: &Arc<Scheduler>,
) -> &'static str {
    let mut renewals = 0;
    // When the renewal under way was first tried.
    let mut tried_at = None;
    loop {
        if node.is_stopping() {
            scheduler.await_flush().await;
            // Whoever follows relies on that nothing is started after the release.
            scheduler.stop_with_dispatchers().await;
            release_lease(node, view, scheduler.order_window.close(clock::now())).await;
            return "the node stops";
        }
        if scheduler.is_fenced() {
            return "a worker or the store has heard of a newer holder";
        }
        let Some(end) = view.topic_end else { return "the end of the topic is not known" };
        let sent = clock::now();
        let first_sent = *tried_at.get_or_insert(sent);
        let record = LeaderLease::held_by(node, renewals + 1).to_record();
        match node.append(TOPIC, &[record], &Guard::At(end), CALL_TIMEOUT).await {
            Ok(appended) => {
                view.topic_end = Some(appended.end);
                renewals += 1;
                tried_at = None;
                scheduler.record_renewal(sent);
                node.sleep_until_stopping(RENEW_INTERVAL.saturating_sub(clock::since(sent))).await;
            }
            Err(error) => {
                node.counters.count("batch.lead.renew-failed");
                if has_other_leader(node, view, end).await {
                    return "another node holds it";
                }
                if view.has_renewal(renewals + 1) {
                    // It was done, perhaps by the first try; only its answer was lost.
                    renewals += 1;
                    tried_at = None;
                    scheduler.record_renewal(first_sent);
                    continue;
                }
                log::debug!("the lead cannot be renewed: {error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads what came after `end`; a renewal of this node whose answer was lost is among it too.
async fn has_other_leader(node: &Node, view: &mut View, end: Offset) -> bool {
    match node.read_topic(TOPIC, end, Duration::ZERO, CALL_TIMEOUT).await {
        Ok(page) => {
            view.apply_page(end, &page);
            !view.is_own(node)
        }
        Err(error) => {
            log::debug!("the lead cannot be read: {error}");
            false
        }
    }
}

async fn release_lease(node: &Node, view: &View, resting: HeldBoxes) {
    let Some(end) = view.topic_end else { return };
    let record = LeaderLease::released_by(node, resting).to_record();
    if let Err(error) = node.append(TOPIC, &[record], &Guard::At(end), CALL_TIMEOUT).await {
        // The others then wait for the silence.
        log::warn!("the lead cannot be given up: {error}");
    }
}
