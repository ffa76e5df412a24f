//! Benchmark of plans and maintenance waves in virtual time: the product's planner, fold and choice
//! of steps run on generated fleets with failures, and are compared with two baselines and a lower
//! bound.

mod baseline;
mod bound;
mod simulation;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::id::BoxId;

use crate::args::BenchPlan;
use crate::bench::generate::History;
use crate::bench::generate::Size;
use crate::bench::probe;
use crate::bench::slope::Slope;
use crate::bench::slope::fit_line;
use crate::error::Error;

/// Declared duration of one box's maintenance, in virtual milliseconds.
const DECLARED_MAINTENANCE_MS: u64 = 120_000;
/// Start and duration of the outage of a hall or rack, in virtual milliseconds.
const FAIL_AT_MS: u64 = 300_000;
const OUTAGE_MS: u64 = 600_000;
/// Fraction of boxes that never return from a reboot with `--faults blackhole`.
const BLACKHOLE_FRACTION: f64 = 0.01;
/// A step is abandoned if its box has not returned after this multiple of the declared duration.
const LOST_AFTER_FACTOR: u64 = 3;

/// Kinds of injected faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    None,
    Rack,
    Hall,
    WrongDurations,
    NeverReturns,
}

impl Faults {
    fn parse(name: &str) -> Option<Faults> {
        Some(match name {
            "none" => Faults::None,
            "rack" => Faults::Rack,
            "hall" => Faults::Hall,
            "liars" => Faults::WrongDurations,
            "blackhole" => Faults::NeverReturns,
            _ => return None,
        })
    }
}

/// Faults of one run, drawn from the seed before planning.
pub struct Scenario {
    /// Actual duration of the maintenance of each box; `None` if the box never returns.
    pub durations_ms: BTreeMap<BoxId, Option<u64>>,
    /// Outage of a hall or rack.
    pub failure: Option<Failure>,
}

/// Simultaneous outage of a group of boxes, in virtual milliseconds.
pub struct Failure {
    pub boxes: Vec<BoxId>,
    pub start_ms: u64,
    pub end_ms: u64,
}

impl Scenario {
    fn new(fleet: &Fleet, faults: Faults, random: &mut StdRng) -> Scenario {
        let durations =
            fleet.boxes.keys().map(|id| (id.clone(), maintenance_duration_ms(faults, random)));
        let durations_ms = durations.collect();
        let failed: Vec<BoxId> = match faults {
            Faults::Hall => boxes_where(fleet, |entry| entry.shape.hall.as_ref() == "hall-3"),
            Faults::Rack => boxes_where(fleet, |entry| entry.shape.rack.as_ref() == "rack-3"),
            _ => Vec::new(),
        };
        let failure = (!failed.is_empty()).then_some(Failure {
            boxes: failed,
            start_ms: FAIL_AT_MS,
            end_ms: FAIL_AT_MS + OUTAGE_MS,
        });
        Scenario { durations_ms, failure }
    }
}

fn maintenance_duration_ms(faults: Faults, random: &mut StdRng) -> Option<u64> {
    match faults {
        Faults::WrongDurations => {
            Some((DECLARED_MAINTENANCE_MS as f64 * random.random_range(0.4..3.0)) as u64)
        }
        Faults::NeverReturns if random.random_bool(BLACKHOLE_FRACTION) => None,
        _ => Some(DECLARED_MAINTENANCE_MS),
    }
}

fn boxes_where(
    fleet: &Fleet,
    matches: impl Fn(&spokelift_lib::state::fleet::Entry) -> bool,
) -> Vec<BoxId> {
    let found = fleet.boxes.iter().filter(|(_, entry)| matches(entry));
    found.map(|(id, _)| id.clone()).collect()
}

/// Results of one maintenance strategy.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Measures {
    pub buffer_cost_box_seconds: f64,
    pub rollout_seconds: f64,
    pub moves: u32,
    pub budget_breaches: u64,
    pub not_done: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    boxes: u32,
    pools: u32,
    site: String,
    faults: String,
    seed: u64,
    plan_ms: f64,
    plan_ms_per_box: Slope,
    choose_ms_mean: f64,
    choose_ms_max: f64,
    choices: usize,
    resident_mb: f64,
    predicted_rollout_seconds: u64,
    product: Measures,
    one_at_a_time: Measures,
    fixed_batch: Measures,
    lower_bound: Measures,
}

/// Runs the benchmark and prints a table, and one line of JSON if requested.
pub fn run(args: &BenchPlan, json: bool) -> Result<(), Error> {
    let faults = Faults::parse(&args.faults).ok_or(Error::InvalidValue {
        what: "--faults",
        value: args.faults.clone(),
        accepted: "none, rack, hall, liars or blackhole",
    })?;
    let objective = match args.site.as_str() {
        "ulaanbaatar" => "buffer",
        "dakar" => "rollout",
        _ => {
            return Err(Error::InvalidValue {
                what: "--site",
                value: args.site.clone(),
                accepted: "ulaanbaatar or dakar",
            });
        }
    };
    if !(50..=20_000).contains(&args.boxes) || args.pools == 0 || args.pools > args.boxes / 10 {
        return Err(Error::InvalidValue {
            what: "--boxes or --pools",
            value: format!("{} and {}", args.boxes, args.pools),
            accepted: "50 to 20000 boxes, at least 10 for each pool",
        });
    }
    let report = measure(args, faults, objective);
    print_report(&report);
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn generate_history(boxes: u32, pools: u32, objective: &'static str) -> History {
    let unused_addr = SocketAddr::from(([127, 0, 0, 1], 9));
    History::new(Size { boxes, pools, changes: 0 }, unused_addr, objective)
}

fn measure(args: &BenchPlan, faults: Faults, objective: &'static str) -> Report {
    let mut plan_times = Vec::new();
    for part in [8, 4, 2] {
        let boxes = (args.boxes / part).max(10);
        let pools = (args.pools / part).clamp(1, boxes / 10);
        let history = generate_history(boxes, pools, objective);
        plan_times.push((f64::from(boxes), simulation::plan_ms(&history)));
    }
    let history = generate_history(args.boxes, args.pools, objective);
    let plan_ms = simulation::plan_ms(&history);
    plan_times.push((f64::from(args.boxes), plan_ms));
    let mut random = StdRng::seed_from_u64(args.seed);
    let scenario = Scenario::new(&history.fleet, faults, &mut random);
    let one_at_a_time = baseline::one_at_a_time(&history.fleet, &scenario, &mut random);
    let fixed_batch = baseline::fixed_batch(&history.fleet, &scenario, &mut random);
    let lower_bound = bound::lower_bound(&history.fleet, &scenario);
    let resident_before = probe::resident_bytes();
    let results = simulation::simulate_product(history, &scenario);
    let resident = probe::resident_bytes().saturating_sub(resident_before);
    Report {
        boxes: args.boxes,
        pools: args.pools,
        site: args.site.clone(),
        faults: args.faults.clone(),
        seed: args.seed,
        plan_ms,
        plan_ms_per_box: fit_line(plan_times),
        choose_ms_mean: results.choose_ms.iter().sum::<f64>()
            / results.choose_ms.len().max(1) as f64,
        choose_ms_max: results.choose_ms.iter().copied().fold(0.0, f64::max),
        choices: results.choose_ms.len(),
        resident_mb: resident as f64 / (1024.0 * 1024.0),
        predicted_rollout_seconds: results.predicted_rollout_seconds,
        product: results.measures,
        one_at_a_time,
        fixed_batch,
        lower_bound,
    }
}

/// Runs `work`; returns its time in milliseconds and its result.
fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let started_at = Instant::now();
    let result = work();
    (started_at.elapsed().as_secs_f64() * 1000.0, result)
}

fn print_report(report: &Report) {
    println!("way             buffer box-s   roll-out s  moves  breaches  not done");
    let rows = [
        ("product", report.product),
        ("one at a time", report.one_at_a_time),
        ("fixed batch", report.fixed_batch),
        ("lower bound", report.lower_bound),
    ];
    for (name, row) in rows {
        println!(
            "{name:<15} {:>12.0} {:>12.0} {:>6} {:>9} {:>9}",
            row.buffer_cost_box_seconds,
            row.rollout_seconds,
            row.moves,
            row.budget_breaches,
            row.not_done,
        );
    }
    println!(
        "\nplan {:.2} ms, {:.4} ms a box; {} choices of steps, {:.3} ms each, {:.3} at most",
        report.plan_ms,
        report.plan_ms_per_box.per,
        report.choices,
        report.choose_ms_mean,
        report.choose_ms_max,
    );
}
