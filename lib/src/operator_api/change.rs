//! Requests that change the state: publishing configuration, proposing and controlling plans.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::coordination::append::AppendError;
use crate::coordination::append::new_record_id;
use crate::coordination::freshness::Basis;
use crate::coordination::node::Node;
use crate::operator_api::find::find;
use crate::operator_api::view;
use crate::protocol::api::ApiError;
use crate::protocol::api::PlanView;
use crate::protocol::api::Published;
use crate::state::account::Scope;
use crate::state::config::Document;
use crate::state::id::DaemonId;
use crate::state::id::Offset;
use crate::state::id::PlanId;
use crate::state::id::RecordId;
use crate::state::id::format_record;
use crate::state::plan::Intent;
use crate::state::planner::Planner;
use crate::state::record::Body;
use crate::state::record::Control;
use crate::transport::clock;

/// How long the response to an accepted change is held back for every live daemon to apply it. The
/// response lists the daemons that have.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of checking which daemons have applied a change.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Checks that this daemon's state is current by its own reads of the log. A daemon that depends on
/// its peers for that accepts no changes.
fn check_fresh(node: &Node) -> Result<(), ApiError> {
    match node.basis() {
        Basis::Log => Ok(()),
        _ => Err(ApiError::Stale),
    }
}

/// Publishes a configuration file.
pub(super) async fn publish(
    node: &Arc<Node>,
    scope: &Scope,
    text: &str,
) -> Result<Published, ApiError> {
    check_fresh(node)?;
    let document = Document::parse(text).map_err(|faults| ApiError::Config { faults })?;
    let shapes = node.box_list.shapes();
    let compiled = document.compile(&node.replica.fleet(), &shapes, scope);
    let change = compiled.map_err(|faults| ApiError::Config { faults })?;
    let changes = change.edits.len();
    let id = new_record_id();
    if changes == 0 {
        let in_force = daemons_in_force(node, node.replica.next());
        return Ok(Published { record: format_record(id), position: None, changes, in_force });
    }
    let position = submit_record(node, id, Body::Publish(change)).await?;
    let in_force = wait_in_force(node, position).await;
    Ok(Published { record: format_record(id), position: Some(position), changes, in_force })
}

async fn submit_record(node: &Node, id: RecordId, body: Body) -> Result<Offset, ApiError> {
    match node.appender.submit(id, body).await {
        Ok(offset) => Ok(offset),
        Err(AppendError::Refused(refusal)) => Err(ApiError::Refused { refusal }),
        Err(AppendError::Unknown(id)) => Err(ApiError::Unknown { record: format_record(id) }),
        Err(AppendError::QueueFull) => Err(ApiError::Busy),
    }
}

async fn wait_in_force(node: &Node, position: Offset) -> Vec<DaemonId> {
    let started = clock::now();
    loop {
        let in_force = daemons_in_force(node, position);
        let live = node.members.live_offsets(clock::now()).len() + 1;
        if in_force.len() >= live || clock::since(started) > IN_FORCE_TIMEOUT {
            return in_force;
        }
        sleep(IN_FORCE_CHECK_INTERVAL).await;
    }
}

/// Live daemons that have applied all batches before `position`, sorted.
fn daemons_in_force(node: &Node, position: Offset) -> Vec<DaemonId> {
    let peers = node.members.live_offsets(clock::now());
    let applied = peers.into_iter().filter(|(_, next)| *next >= position);
    let mut daemons: Vec<DaemonId> = applied.map(|(id, _)| id).collect();
    if node.replica.next() >= position {
        daemons.push(node.settings.id);
    }
    daemons.sort_unstable();
    daemons
}

/// Returns the verdict on a record that was submitted earlier.
pub(super) async fn record_status(node: &Arc<Node>, id: RecordId) -> Result<Published, ApiError> {
    find(node, || known_verdict(node, id)).await
}

fn known_verdict(node: &Node, id: RecordId) -> Result<Published, ApiError> {
    let fleet = node.replica.fleet();
    match fleet.verdict(id) {
        Some(Ok(position)) => {
            let in_force = daemons_in_force(node, *position);
            let position = Some(*position);
            Ok(Published { record: format_record(id), position, changes: 0, in_force })
        }
        Some(Err(refusal)) => Err(ApiError::Refused { refusal: refusal.clone() }),
        None => Err(ApiError::Unknown { record: format_record(id) }),
    }
}

/// Computes a plan for an intent and stores it for confirmation.
pub(super) async fn propose(
    node: &Arc<Node>,
    scope: &Scope,
    body: &[u8],
) -> Result<PlanView, ApiError> {
    check_fresh(node)?;
    let intent: Intent = serde_json::from_slice(body).map_err(|_| ApiError::Malformed)?;
    let shapes = node.box_list.shapes();
    let planned = {
        let fleet = node.replica.fleet();
        let planner = Planner { fleet: &fleet, shapes: &shapes, scope };
        planner.plan(rand::random(), intent)
    };
    let plan = planned.map_err(|cause| ApiError::Plan { cause })?;
    let id = plan.id;
    submit_record(node, new_record_id(), Body::Propose(plan)).await?;
    view::plan(node, scope, id)
}

/// Confirms, pauses, resumes or aborts a plan; `None` confirms it.
pub(super) async fn control(
    node: &Arc<Node>,
    scope: &Scope,
    plan: PlanId,
    action: Option<Control>,
) -> Result<PlanView, ApiError> {
    check_fresh(node)?;
    // A plan outside of the operator's scope is reported as one that does not exist.
    find(node, || view::plan(node, scope, plan)).await?;
    let body = match action {
        None => Body::Confirm(plan),
        Some(action) => Body::Control { plan, action },
    };
    submit_record(node, new_record_id(), body).await?;
    view::plan(node, scope, plan)
}
