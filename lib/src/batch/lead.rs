//! Who schedules: one node at a time, by a record in the store.
//!
//! The holder of the lead renews its record by appends that hold only if nobody else has appended
//! since. Another node may claim the lead once it has heard nothing for [`TAKEOVER`], or at once if
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

use crate::batch::lead::view::View;
use crate::batch::node::Node;
use crate::batch::scheduler::Scheduler;
use crate::batch::turn::Resting;
use crate::batch::turn::Turn;
use crate::transport::clock;

/// Topic with the one record of the lead.
const TOPIC: &str = "keyed.lead";
/// Its key.
const KEY: &str = "lead";
/// Time between renewals. Each costs a call to the store and a read by each node.
const RENEW: Duration = Duration::from_millis(600);
/// Silence of the holder after which another node claims the lead: three renewals and a half.
pub const TAKEOVER: Duration = Duration::from_millis(2_100);
/// How long a read waits for news; shorter than [`TAKEOVER`] so that silence is seen in time.
const LONG_POLL: Duration = Duration::from_millis(500);
/// Time between looks at a lead that is free and left to others for now.
const STEP: Duration = Duration::from_millis(50);
/// How long a call to the store may take; a slow store takes about 250 ms.
const CALL: Duration = Duration::from_millis(600);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(120);

/// The record of the lead.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Lead {
    /// Name of the holder's node.
    pub node: String,
    /// The holder's life; a node that starts again is another holder.
    pub life: u64,
    /// Where the holder answers other nodes.
    pub addr: SocketAddr,
    /// The holder has given up the lead.
    pub released: bool,
    /// How often the holder has renewed it.
    pub renewals: u32,
    /// Boxes that the next holder has to leave alone at first.
    pub resting: Resting,
}

impl Lead {
    /// A claim or a renewal: if nothing more is heard, nobody knows what the holder has ordered.
    fn held(node: &Node, renewals: u32) -> Lead {
        let settings = &node.settings;
        let addr = settings.peer_addr();
        let (node, life) = (settings.node.clone(), node.life);
        Lead { node, life, addr, released: false, renewals, resting: Resting::Every }
    }

    /// The holder gives it up.
    fn released(node: &Node, resting: Resting) -> Lead {
        Lead { released: true, resting, ..Lead::held(node, 0) }
    }

    fn record(&self) -> Record {
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
            view.interrupted = true;
            sleep(PAUSE).await;
            continue;
        }
        node.set_lead(view.lead.clone().filter(|lead| !lead.released));
        if view.is_mine(&node) {
            hold(&node, &mut view).await;
        } else if !view.is_free(&node) {
            view.free_since = None;
        } else if !node.is_stopping() {
            let since = *view.free_since.get_or_insert_with(clock::now);
            let left = view.reserve(&node).saturating_sub(clock::since(since));
            if left.is_zero() {
                claim(&node, &mut view).await;
            } else {
                sleep(left.min(STEP)).await;
            }
        }
    }
}

type CallResult<T> = Result<T, spokelift_platform::call::CallError>;

async fn follow(node: &Node, view: &mut View) -> CallResult<()> {
    let Some(end) = view.end else {
        let newest = node.read_newest(TOPIC, CALL).await?;
        for record in newest.records.iter().filter(|record| record.key == KEY) {
            view.take(record, newest.end.saturating_sub(1));
        }
        view.end = Some(newest.end);
        view.heard_at = clock::now();
        // A claim of an earlier scheduler of this life cannot be told from a renewal here.
        if view.is_mine(node) {
            view.lead = None;
        }
        return Ok(());
    };
    let wait = if view.free_since.is_some() { Duration::ZERO } else { LONG_POLL };
    match node.read_topic(TOPIC, end, wait, CALL).await {
        Ok(page) => {
            view.take_page(end, &page);
            if view.interrupted {
                view.interrupted = false;
                view.heard_at = clock::now();
            }
            Ok(())
        }
        Err(error) => {
            if error.status() == Some(410) {
                view.end = None;
            }
            Err(error)
        }
    }
}

/// Appends a claim. Whether it holds is seen by reading on: the first record after the end is the
/// one that counts, also if the answer is lost.
async fn claim(node: &Node, view: &mut View) {
    let Some(end) = view.end else { return };
    let record = Lead::held(node, 0).record();
    let claimed = node.append(TOPIC, &[record], &Guard::At(end), CALL).await;
    log::info!(at = end, ok = claimed.is_ok(); "claims the lead");
    if claimed.is_err() {
        sleep(PAUSE).await;
    }
}

/// Schedules until the lead is lost or given up.
async fn hold(node: &Arc<Node>, view: &mut View) {
    let token: Token = view.offset + 1;
    log::info!(token; "holds the lead");
    node.counters.count("batch.lead.held");
    let turn = Turn::new(node.settings.turn_gap, view.resting(node), clock::now());
    let scheduler = Scheduler::begin(node.clone(), token, turn, view.was_released());
    let why = renew(node, view, &scheduler).await;
    scheduler.end();
    node.set_scheduler(None);
    log::info!(token, why; "no longer holds the lead");
    if view.is_mine(node) {
        view.drop_own();
    }
}

/// Renews the lead; returns why that ended.
async fn renew(node: &Arc<Node>, view: &mut View, scheduler: &Arc<Scheduler>) -> &'static str {
    let mut renewals = 0;
    // When the renewal under way was first tried.
    let mut tried_at = None;
    loop {
        if node.is_stopping() {
            scheduler.settle().await;
            // Whoever follows relies on that nothing is started after the release.
            scheduler.end_with_carriers().await;
            release(node, view, scheduler.turn.end(clock::now())).await;
            return "the node stops";
        }
        if scheduler.is_fenced() {
            return "a worker or the store has heard of a newer holder";
        }
        let Some(end) = view.end else { return "the end of the topic is not known" };
        let sent = clock::now();
        let first_sent = *tried_at.get_or_insert(sent);
        let record = Lead::held(node, renewals + 1).record();
        match node.append(TOPIC, &[record], &Guard::At(end), CALL).await {
            Ok(appended) => {
                view.end = Some(appended.end);
                renewals += 1;
                tried_at = None;
                scheduler.set_renewed(sent);
                node.wait_stopping(RENEW.saturating_sub(clock::since(sent))).await;
            }
            Err(error) => {
                node.counters.count("batch.lead.renew-failed");
                if is_overtaken(node, view, end).await {
                    return "another node holds it";
                }
                if view.has_renewal(renewals + 1) {
                    // It was done, perhaps by the first try; only its answer was lost.
                    renewals += 1;
                    tried_at = None;
                    scheduler.set_renewed(first_sent);
                    continue;
                }
                log::debug!("the lead cannot be renewed: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Reads what came after `end`; a renewal of this node whose answer was lost is among it too.
async fn is_overtaken(node: &Node, view: &mut View, end: Offset) -> bool {
    match node.read_topic(TOPIC, end, Duration::ZERO, CALL).await {
        Ok(page) => {
            view.take_page(end, &page);
            !view.is_mine(node)
        }
        Err(error) => {
            log::debug!("the lead cannot be read: {error}");
            false
        }
    }
}

async fn release(node: &Node, view: &View, resting: Resting) {
    let Some(end) = view.end else { return };
    let record = Lead::released(node, resting).record();
    if let Err(error) = node.append(TOPIC, &[record], &Guard::At(end), CALL).await {
        // The others then wait for the silence.
        log::warn!("the lead cannot be given up: {error}");
    }
}
