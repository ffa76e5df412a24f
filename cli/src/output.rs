//! Renders replies of the daemon as plain-text tables.

use std::collections::BTreeMap;
use std::fmt::Display;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use spokelift_lib::batch::costs::Cost;
use spokelift_lib::batch::view;
use spokelift_lib::protocol::api::BoxView;
use spokelift_lib::protocol::api::JobView;
use spokelift_lib::protocol::api::PlanView;
use spokelift_lib::protocol::api::PoolView;
use spokelift_lib::protocol::api::Published;
use spokelift_lib::protocol::api::StatusView;
use spokelift_lib::state::plan::Action;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::plan::Phase;
use spokelift_lib::state::plan::Progress;
use spokelift_lib::state::plan::Reason;
use spokelift_lib::state::plan::Step;

use crate::command::costs;

fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(head);
    for row in rows {
        table.add_row(row);
    }
    let lines = table.lines().map(|line| line.trim_end().to_owned());
    lines.collect::<Vec<_>>().join("\n")
}

fn cell(value: impl Display) -> String {
    value.to_string()
}

fn word_or_dash(is_set: bool, word: &str) -> String {
    if is_set { word.to_owned() } else { "-".to_owned() }
}

/// Pools, one a line.
pub fn pools(pools: &[PoolView]) -> String {
    let row = |pool: &PoolView| {
        let out = format!("{}/{}", pool.out, pool.max_out);
        vec![cell(&pool.name), cell(&pool.account), cell(pool.boxes), out, objective(pool)]
    };
    table(&["POOL", "ACCOUNT", "BOXES", "OUT", "FIRST"], pools.iter().map(row))
}

fn objective(pool: &PoolView) -> String {
    match pool.objective {
        spokelift_lib::state::fleet::Objective::Buffer => cell("buffer"),
        spokelift_lib::state::fleet::Objective::Rollout => cell("roll-out"),
    }
}

/// Boxes, one a line.
pub fn boxes(boxes: &[BoxView]) -> String {
    let row = |view: &BoxView| {
        let state = match (&view.out, view.down) {
            (Some(plan), _) => format!("out: plan {plan}"),
            (None, true) => cell("down"),
            (None, false) => cell("serving"),
        };
        let jobs = view.jobs.join(", ");
        vec![cell(&view.name), cell(&view.pool), cell(&view.hall), cell(&view.rack), state, jobs]
    };
    table(&["BOX", "POOL", "HALL", "RACK", "STATE", "JOBS"], boxes.iter().map(row))
}

/// Services, one a line.
pub fn jobs(jobs: &[JobView]) -> String {
    let row = |job: &JobView| {
        let up = format!("{}/{}", job.up, job.placed);
        let slots = cell(job.slots);
        vec![cell(&job.name), cell(&job.account), cell(&job.pool), up, cell(job.min_up), slots]
    };
    table(&["SERVICE", "ACCOUNT", "POOL", "UP", "LEAST", "SLOTS"], jobs.iter().map(row))
}

/// Plans, one a line.
pub fn plans(plans: &[PlanView]) -> String {
    let row = |plan: &PlanView| {
        let account = plan.account.as_deref().unwrap_or("site");
        let cost = plan.predicted;
        vec![
            plan.id.clone(),
            cell(account),
            intent(&plan.intent),
            cell(phase(plan.phase)),
            cell(plan.finished),
            cell(cost.buffer_box_seconds),
            cell(cost.rollout_seconds),
            cell(cost.moves),
        ]
    };
    let head = ["PLAN", "BY", "INTENT", "PHASE", "ENDED", "BUFFER", "SECONDS", "MOVES"];
    table(&head, plans.iter().map(row))
}

/// One plan with its steps.
pub fn plan(plan: &PlanView) -> String {
    let cost = plan.predicted;
    let width = plan.width.iter().map(|(pool, width)| format!("{pool} {width}"));
    let width: Vec<String> = width.collect();
    let head = format!(
        "plan {}: {}\nphase: {}\npredicted: buffer {} box-seconds, roll-out {} s, {} moves\n\
         at a time: {}\n\n",
        plan.id,
        intent(&plan.intent),
        phase(plan.phase),
        cost.buffer_box_seconds,
        cost.rollout_seconds,
        cost.moves,
        width.join(", "),
    );
    head + &steps(&plan.steps)
}

fn steps(steps: &[Step]) -> String {
    let row = |(index, step): (usize, &Step)| {
        let progress = progress(&step.progress);
        vec![cell(index), cell(&step.target), action(&step.action), reason(step.reason), progress]
    };
    table(&["STEP", "BOX", "ACTION", "REASON", "PROGRESS"], steps.iter().enumerate().map(row))
}

/// One line with the progress of a plan.
pub fn progress_line(plan: &PlanView) -> String {
    let under_way = plan.steps.iter().filter(|step| step.progress.is_under_way()).count();
    let failed = plan.steps.iter().filter(|step| is_failed(step)).count();
    let steps = plan.steps.len();
    let phase = phase(plan.phase);
    format!(
        "plan {}: {phase}, {}/{steps} ended, {under_way} under way, {failed} not done",
        plan.id, plan.finished
    )
}

fn is_failed(step: &Step) -> bool {
    matches!(step.progress, Progress::Over { outcome } if outcome != Outcome::Done)
}

/// A short description of an intent.
pub fn intent(intent: &Intent) -> String {
    match intent {
        Intent::Resize { pool, boxes } => format!("{pool} to {boxes} boxes"),
        Intent::Move { from, to, boxes } => format!("{boxes} boxes from {from} to {to}"),
        Intent::Place { account, service, replicas } => {
            format!("{account}/{service} on {replicas} boxes")
        }
        Intent::Maintain { pools } => format!("maintain {}", pools.join(", ")),
    }
}

fn phase(phase: Phase) -> &'static str {
    match phase {
        Phase::Proposed => "proposed",
        Phase::Running => "running",
        Phase::Paused => "paused",
        Phase::Aborting => "aborting",
        Phase::Done => "done",
        Phase::Aborted => "aborted",
    }
}

fn action(action: &Action) -> String {
    match action {
        Action::Reboot => cell("reboot"),
        Action::Move { to, jobs } => {
            let jobs: Vec<&str> = jobs.iter().map(|job| job.1.as_ref()).collect();
            format!("move to {to}, start {}", jobs.join(", "))
        }
        Action::Release => cell("leave the pool"),
        Action::Claim { to, .. } => format!("join {to}"),
        Action::Start { job } => format!("start {}", job.1),
        Action::Stop { job } => format!("stop {}", job.1),
    }
}

fn reason(reason: Reason) -> String {
    cell(match reason {
        Reason::Due => "due for maintenance",
        Reason::FewestJobs => "fewest jobs",
        Reason::Free => "in no pool",
        Reason::Spread => "spread over halls and racks",
        Reason::Surplus => "one replica too many",
    })
}

fn progress(progress: &Progress) -> String {
    match progress {
        Progress::Waiting => cell("waiting"),
        Progress::Out { .. } => cell("out"),
        Progress::Assigned { .. } => cell("coming back"),
        Progress::Over { outcome } => cell(outcome),
    }
}

/// The outcome of a published change.
pub fn published(published: &Published) -> String {
    let daemons: Vec<String> = published.in_force.iter().map(cell).collect();
    let daemons = daemons.join(", ");
    match published.position {
        Some(position) => format!(
            "accepted at {position} as record {}; in force on daemons {daemons}",
            published.record,
        ),
        None => format!("nothing to change; in force on daemons {daemons}"),
    }
}

/// The state of one daemon.
pub fn status(status: &StatusView) -> String {
    let peers = status.peers.iter().map(|(id, next)| format!("{id} (at {next})"));
    let peers: Vec<String> = peers.collect();
    let rows = [
        ("daemon", cell(status.id)),
        ("serving", word_or_dash(status.serving, "yes")),
        ("basis", status.basis.clone()),
        ("applied", cell(status.next)),
        ("configured", cell(status.configured)),
        ("in flight", cell(status.inflight)),
        ("peers", peers.join(", ")),
    ];
    pairs(rows)
}

/// Counters, one a line.
pub fn counters(counters: &BTreeMap<String, u64>) -> String {
    pairs(counters.iter().map(|(name, total)| (name.as_str(), cell(total))))
}

/// Names and values, one pair a line.
pub fn pairs<'a>(rows: impl IntoIterator<Item = (&'a str, String)>) -> String {
    let rows: Vec<(&str, String)> = rows.into_iter().collect();
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let line = |(name, value): &(&str, String)| format!("{name:width$}  {value}");
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Services that run batch jobs, one a line; figures in cores.
pub fn batch_services(services: &[view::Service]) -> String {
    let row = |service: &view::Service| {
        let figures = [service.has, service.used, service.waiting, service.wanted];
        let mut row = vec![cell(&service.name), cell(service.workers)];
        row.extend(figures.iter().map(|figure| format!("{figure:.0}")));
        let halls: Vec<&str> = service.evacuated_halls.iter().map(String::as_str).collect();
        row.push(match service.evacuated {
            0 => "-".to_owned(),
            workers => format!("{workers} in {}", halls.join(", ")),
        });
        let boxes = service.boxes.iter().map(|(state, count)| format!("{count} {}", state.name()));
        let boxes: Vec<String> = boxes.collect();
        row.push(if boxes.is_empty() { "-".to_owned() } else { boxes.join(", ") });
        row
    };
    let head =
        ["SERVICE", "WORKERS", "HAS", "USED", "WAITING", "WANTED", "EVACUATED", "NOT IN SERVICE"];
    table(&head, services.iter().map(row))
}

/// The boxes that are not in service, one a line.
pub fn batch_boxes(boxes: &[view::boxes::Box]) -> String {
    let row = |shown: &view::boxes::Box| {
        let purpose = shown.purpose.clone().unwrap_or_else(|| "-".to_owned());
        let seconds = format!("{:.1}", shown.seconds);
        vec![cell(&shown.id), cell(&shown.state), cell(&shown.service), purpose, seconds]
    };
    table(&["BOX", "STATE", "SERVICE", "FOR", "SECONDS"], boxes.iter().map(row))
}

/// Costs of a site, one kind a line.
pub fn batch_costs(rows: &[costs::Row]) -> String {
    let row = |row: &costs::Row| {
        let Cost { count, sent_bytes, received_bytes } = row.total;
        let mean = row.total.count as f64 / row.nodes.max(1) as f64;
        let kilobytes = |bytes: u64| format!("{:.0}", bytes as f64 / 1_000.0);
        vec![
            cell(&row.kind),
            cell(count),
            cell(row.nodes),
            format!("{mean:.1}"),
            cell(row.most),
            kilobytes(sent_bytes),
            kilobytes(received_bytes),
        ]
    };
    let head = ["COST", "COUNT", "NODES", "PER NODE", "MOST", "SENT KB", "RECEIVED KB"];
    table(&head, rows.iter().map(row))
}

/// Accounts of batch jobs, one a line, under the version of the configuration that sets their
/// quotas; processor time in cores.
pub fn batch_accounts(listing: &view::account::Accounts) -> String {
    let row = |account: &view::account::Account| {
        let quota = |quota: f64| if quota == 0.0 { "-".to_owned() } else { format!("{quota:.0}") };
        vec![
            cell(&account.name),
            cell(account.weight),
            cell(account.keys),
            format!("{:.1}", account.cores),
            quota(account.most_cores),
            cell(account.memory_mb),
            quota(account.most_memory_mb as f64),
            cell(account.waiting),
            cell(account.held),
        ]
    };
    let head =
        ["ACCOUNT", "WEIGHT", "KEYS", "CORES", "MOST", "MEMORY MB", "MOST", "WAITING", "HELD"];
    let rows = table(&head, listing.accounts.iter().map(row));
    format!("configuration {}\n{rows}", listing.version)
}

/// Queues of batch jobs, one a line.
pub fn batch_queues(queues: &[view::Queue]) -> String {
    let row = |queue: &view::Queue| {
        vec![cell(&queue.name), cell(queue.pending), cell(queue.running), cell(queue.ended)]
    };
    table(&["QUEUE", "PENDING", "RUNNING", "ENDED"], queues.iter().map(row))
}

/// Workers, one a line.
pub fn batch_workers(workers: &[view::Worker]) -> String {
    let row = |worker: &view::Worker| {
        let unschedulable = worker.closed.clone().unwrap_or_else(|| "-".to_owned());
        let free = format!("{:.1}", worker.free);
        vec![
            cell(&worker.id),
            cell(&worker.machine),
            cell(&worker.service),
            cell(worker.runs),
            free,
            unschedulable,
        ]
    };
    table(&["WORKER", "BOX", "SERVICE", "RUNS", "FREE", "CLOSED"], workers.iter().map(row))
}

/// Shards with the node that dispatches to each and its number of workers, one a line.
pub fn batch_shares(shards: &[view::Shard]) -> String {
    let row = |shard: &view::Shard| {
        let node = shard.dispatcher.map_or("the scheduler's own".to_owned(), cell);
        vec![cell(shard.number), node, cell(shard.workers)]
    };
    table(&["SHARE", "NODE", "WORKERS"], shards.iter().map(row))
}

/// Maintenance waves, one a line.
pub fn batch_waves(waves: &[view::Wave]) -> String {
    let row = |wave: &view::Wave| {
        let state = if wave.over { "over" } else { "running" };
        let counts = [wave.machines, wave.begun, wave.max_down];
        let mut row = vec![cell(wave.number)];
        row.extend(counts.iter().map(cell));
        row.push(cell(state));
        row
    };
    table(&["WAVE", "BOXES", "BEGUN", "AT ONCE", "STATE"], waves.iter().map(row))
}

/// The outcome of a request to cancel a job. Without a state, the request is stored and the outcome
/// is not yet known.
pub fn batch_cancelled(cancelled: &view::Cancelled) -> String {
    match cancelled.state {
        Some(state) => format!("{state:?}").to_lowercase(),
        None => "the wish to cancel it is kept; ask again how far the job is".to_owned(),
    }
}

/// One job: where its tasks run, why the others wait, and which tasks crashed their workers.
pub fn batch_job(job: &view::Job) -> String {
    let state = format!("{:?}", job.state).to_lowercase();
    let owner = job.account.as_ref().map(|account| format!(", account {account}"));
    let owner = owner.unwrap_or_default();
    let (id, queue, service) = (&job.id, &job.queue, &job.service);
    let mut lines = vec![format!("job {id} of queue {queue}, service {service}{owner}: {state}")];
    for step in &job.steps {
        let (time, number) = step.place;
        let turn = if step.waits_for_turn { ", its turn has not come" } else { "" };
        let (left, waiting) = (step.left, step.waiting);
        lines.push(format!(
            "step {number} of time {time}: {left} left, {waiting} wait for room{turn}"
        ));
        for (worker, phase, since) in &step.runs {
            lines.push(format!("  {phase} on {worker} for {since:.1} s"));
        }
        for (why, workers) in &step.held_by {
            lines.push(format!("  held from {workers} worker(s) by: {why}"));
        }
    }
    for task in &job.crashed {
        let (time, step, index) = task.place;
        let abandoned = if task.given_up { ", given up for it" } else { "" };
        lines.push(format!("task {index} of step {step}, time {time}: workers crashed{abandoned}"));
        for crash in &task.crashes {
            lines.push(format!("  {} ({})", crash.worker, crash.evidence));
        }
    }
    lines.extend(job.history.iter().map(decision));
    if job.left_out > 0 {
        lines.push(format!("{} decisions before the latest ones are left out", job.left_out));
    }
    lines.join("\n")
}

fn decision(decision: &view::history::Decision) -> String {
    let (age_s, what) = (decision.age_s, &decision.what);
    match decision.place {
        Some((time, step, index)) => {
            format!("{age_s:.3} s ago, task {index} of step {step}, time {time}: {what}")
        }
        None => format!("{age_s:.3} s ago: {what}"),
    }
}
