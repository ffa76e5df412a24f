//! Views for operators; an account's operator sees only objects of the account.

use crate::coordination::node::Node;
use crate::metrics::Totals;
use crate::protocol::api::ApiError;
use crate::protocol::api::BoxView;
use crate::protocol::api::JobView;
use crate::protocol::api::PlanView;
use crate::protocol::api::PoolView;
use crate::protocol::api::StatusView;
use crate::state::account::Scope;
use crate::state::fleet::Pool;
use crate::state::id::PlanId;
use crate::state::id::format_plan;
use crate::state::plan::Plan;
use crate::transport::clock;

pub(super) fn status(node: &Node) -> StatusView {
    let (next, configured) = {
        let fleet = node.replica.fleet();
        (fleet.next, fleet.configured)
    };
    StatusView {
        id: node.settings.id,
        serving: node.is_serving(),
        basis: node.basis().as_str().to_owned(),
        next,
        configured,
        peers: node.members.live_offsets(clock::now()),
        inflight: node.routes.inflight(),
    }
}

/// All counters for the site operator; only those of the account for an account's operator.
pub(super) fn counters(node: &Node, scope: &Scope) -> Totals {
    let mut totals = node.counters.totals();
    if let Scope::Account(account) = scope {
        let prefix = format!("account.{account}.");
        totals.retain(|name, _| name.starts_with(&prefix));
    }
    totals
}

pub(super) fn pools(node: &Node, scope: &Scope) -> Vec<PoolView> {
    let fleet = node.replica.fleet();
    let visible = fleet.pools.iter().filter(|(_, pool)| is_pool_visible(scope, pool));
    let view = visible.map(|(name, pool)| PoolView {
        name: name.clone(),
        account: pool.account.clone(),
        boxes: pool.boxes.len(),
        out: fleet.boxes_out(pool).count(),
        max_out: pool.budget.max_out,
        objective: pool.objective,
        version: pool.version,
    });
    view.collect()
}

pub(super) fn boxes(node: &Node, scope: &Scope) -> Vec<BoxView> {
    let fleet = node.replica.fleet();
    let mut views = Vec::new();
    for (name, entry) in &fleet.boxes {
        if !scope.includes(&fleet.pools[&entry.pool].account) {
            continue;
        }
        views.push(BoxView {
            name: name.clone(),
            pool: entry.pool.clone(),
            addr: entry.shape.addr,
            hall: entry.shape.hall.clone(),
            rack: entry.shape.rack.clone(),
            out: entry.out.map(|(plan, _)| format_plan(plan)),
            down: entry.down,
            jobs: fleet
                .jobs_on(name)
                .filter(|key| scope.includes(&key.0))
                .map(|k| k.1.clone())
                .collect(),
        });
    }
    views
}

pub(super) fn jobs(node: &Node, scope: &Scope) -> Vec<JobView> {
    let fleet = node.replica.fleet();
    let visible = fleet.services.iter().filter(|(key, _)| scope.includes(&key.0));
    let view = visible.map(|(key, service)| JobView {
        name: key.1.clone(),
        account: key.0.clone(),
        pool: service.pool.clone(),
        placed: service.placed.len(),
        starting: service.starting.len(),
        up: fleet.replicas_up(service),
        min_up: service.min_up,
        slots: service.slots,
    });
    view.collect()
}

/// Whether an operator with `scope` sees the pool: its account may place services on it.
fn is_pool_visible(scope: &Scope, pool: &Pool) -> bool {
    match scope {
        Scope::Site => true,
        Scope::Account(account) => pool.is_open_to(account),
    }
}

fn is_plan_visible(scope: &Scope, plan: &Plan) -> bool {
    match (scope, &plan.account) {
        (Scope::Site, _) => true,
        (Scope::Account(own), Some(account)) => own == account,
        (Scope::Account(_), None) => false,
    }
}

/// The plans in the scope, latest change first, without their steps.
pub(super) fn plans(node: &Node, scope: &Scope) -> Vec<PlanView> {
    let fleet = node.replica.fleet();
    let mut visible: Vec<&Plan> =
        fleet.plans.values().filter(|plan| is_plan_visible(scope, plan)).collect();
    visible.sort_by_key(|plan| std::cmp::Reverse(plan.version));
    let view = |plan: &&Plan| PlanView { steps: Vec::new(), ..plan_view(plan) };
    visible.iter().map(view).collect()
}

pub(super) fn plan(node: &Node, scope: &Scope, id: PlanId) -> Result<PlanView, ApiError> {
    let fleet = node.replica.fleet();
    let plan = fleet.plans.get(&id).filter(|plan| is_plan_visible(scope, plan));
    plan.map(plan_view).ok_or_else(|| ApiError::NotFound { what: "plan".into() })
}

fn plan_view(plan: &Plan) -> PlanView {
    PlanView {
        id: format_plan(plan.id),
        account: plan.account.clone(),
        intent: plan.intent.clone(),
        phase: plan.phase,
        finished: plan.count_ended_steps(),
        predicted: plan.predicted,
        width: plan.width.clone(),
        holder: plan.driver.holder,
        steps: plan.steps.clone(),
    }
}
