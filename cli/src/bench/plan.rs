//! Plans and waves at the level of decisions: the product's planner, fold and choice of steps run
//! against generated fleets and failures in virtual time; beside two baselines and a lower bound.

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

/// Time declared for one box's maintenance, in virtual milliseconds.
const DECLARED_MAINTENANCE_MS: u64 = 120_000;
/// When a hall or rack fails, and for how long it is gone.
const FAIL_AT_MS: u64 = 300_000;
const OUTAGE_MS: u64 = 600_000;
/// Share of boxes that never come back from a reboot when the fault is `blackhole`.
const BLACKHOLE_FRACTION: f64 = 0.01;
/// A step whose box has not come back after so many times the declared time is given up.
const LOST_AFTER_FACTOR: u64 = 3;

/// What goes wrong.
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

/// What happens to each box, decided by the seed before anyone plans.
pub struct Scenario {
    /// How long its maintenance really takes; none if it never comes back.
    pub durations_ms: BTreeMap<BoxId, Option<u64>>,
    /// Boxes that fail together, when, and when they are back.
    pub failure: Option<Failure>,
}

/// Boxes that fail together.
pub struct Failure {
    pub boxes: Vec<BoxId>,
    pub start_ms: u64,
    pub end_ms: u64,
}

impl Scenario {
    fn new(fleet: &Fleet, faults: Faults, random: &mut StdRng) -> Scenario {
        let takes =
            fleet.boxes.keys().map(|id| (id.clone(), maintenance_duration_ms(faults, random)));
        let takes_ms = takes.collect();
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
        Scenario { durations_ms: takes_ms, failure }
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
    is: impl Fn(&spokelift_lib::state::fleet::Entry) -> bool,
) -> Vec<BoxId> {
    let found = fleet.boxes.iter().filter(|(_, entry)| is(entry));
    found.map(|(id, _)| id.clone()).collect()
}

/// What one way of carrying out the maintenance came to.
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

/// Measures and prints a table, and one line of JSON if asked to.
pub fn run(args: &BenchPlan, json: bool) -> Result<(), Error> {
    let faults = Faults::parse(&args.faults).ok_or(Error::InvalidValue {
        what: "--faults",
        value: args.faults.clone(),
        accepted: "none, rack, hall, liars or blackhole",
    })?;
    let weigh = match args.site.as_str() {
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
    let report = measure(args, faults, weigh);
    print_report(&report);
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn generate_history(boxes: u32, pools: u32, weigh: &'static str) -> History {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    History::new(Size { boxes, pools, changes: 0 }, nowhere, weigh)
}

fn measure(args: &BenchPlan, faults: Faults, weigh: &'static str) -> Report {
    let mut plan_times = Vec::new();
    for part in [8, 4, 2] {
        let boxes = (args.boxes / part).max(10);
        let pools = (args.pools / part).clamp(1, boxes / 10);
        let history = generate_history(boxes, pools, weigh);
        plan_times.push((f64::from(boxes), simulation::plan_ms(&history)));
    }
    let history = generate_history(args.boxes, args.pools, weigh);
    let plan_ms = simulation::plan_ms(&history);
    plan_times.push((f64::from(args.boxes), plan_ms));
    let mut random = StdRng::seed_from_u64(args.seed);
    let fate = Scenario::new(&history.fleet, faults, &mut random);
    let one_at_a_time = baseline::one_at_a_time(&history.fleet, &fate, &mut random);
    let fixed_batch = baseline::fixed_batch(&history.fleet, &fate, &mut random);
    let lower_bound = bound::lower_bound(&history.fleet, &fate);
    let before = probe::resident_bytes();
    let done = simulation::simulate_product(history, &fate);
    let resident = probe::resident_bytes().saturating_sub(before);
    Report {
        boxes: args.boxes,
        pools: args.pools,
        site: args.site.clone(),
        faults: args.faults.clone(),
        seed: args.seed,
        plan_ms,
        plan_ms_per_box: fit_line(plan_times),
        choose_ms_mean: done.choose_ms.iter().sum::<f64>() / done.choose_ms.len().max(1) as f64,
        choose_ms_max: done.choose_ms.iter().copied().fold(0.0, f64::max),
        choices: done.choose_ms.len(),
        resident_mb: resident as f64 / (1024.0 * 1024.0),
        predicted_rollout_seconds: done.predicted_rollout_seconds,
        product: done.measures,
        one_at_a_time,
        fixed_batch,
        lower_bound,
    }
}

/// Time that some work takes, in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (f64, T) {
    let begun = Instant::now();
    let done = work();
    (begun.elapsed().as_secs_f64() * 1000.0, done)
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
