//! Real daemons under random faults keep what clients were told. `SPOKELIFT_SOAK_SEEDS=FIRST..END`
//! and `SPOKELIFT_SOAK_S=SECONDS` run other seeds and longer ones.

use std::ops::Range;
use std::time::Duration;

use spokelift_testutils::platform::soak;
use spokelift_testutils::platform::soak::ACCOUNTS_FROM_SEED;
use spokelift_testutils::platform::soak::REUSED_IDS_FROM_SEED;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Seeds that run where none are named.
const SEEDS: Range<u64> = 1..3;
/// How long faults go on where nothing else is said.
const TIME_S: u64 = 8;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SPOKELIFT_SOAK_SEEDS") else { return SEEDS };
    let (first, end) = text.split_once("..").expect("SPOKELIFT_SOAK_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("a seed is a number");
    number(first)..number(end)
}

fn time() -> Duration {
    let text = std::env::var("SPOKELIFT_SOAK_S").ok();
    let seconds = text.map(|text| text.parse().expect("SPOKELIFT_SOAK_S is a number"));
    Duration::from_secs(seconds.unwrap_or(TIME_S))
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise() {
    play(seeds()).await;
}

/// The same where workers start again under the id that they had.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise_where_workers_keep_their_ids() {
    let seeds = seeds();
    play(seeds.start + REUSED_IDS_FROM_SEED..seeds.end + REUSED_IDS_FROM_SEED).await;
}

/// The same with accounts whose keys and bounds change.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise_where_accounts_change() {
    let seeds = seeds();
    play(seeds.start + ACCOUNTS_FROM_SEED..seeds.end + ACCOUNTS_FROM_SEED).await;
}

async fn play(seeds: Range<u64>) {
    let mut failed = Vec::new();
    for seed in seeds {
        let report = soak::run(PROGRAM, seed, time()).await.unwrap();
        println!("seed {seed}: {report:#?}");
        assert!(report.accepted > 0, "seed {seed}: nothing was accepted");
        if !report.broken.is_empty() {
            failed.push((seed, report.broken));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Runs a command of the tool that ends with a line of JSON; returns what it printed.
fn told(args: &[&str]) -> (String, serde_json::Value) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_spokelift"));
    let output = command.arg("--json").args(args).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    let last = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    (text, last)
}

#[test]
fn the_trial_of_the_tool_breaks_no_promise() {
    let (text, report) = told(&["trial", "--seconds", "4", "--seed", "3"]);
    assert!(text.contains("promises broken                  0"), "{text}");
    assert!(report["accepted"].as_u64() > Some(0), "{report}");
}

#[test]
fn the_trial_with_accounts_breaks_no_promise() {
    let (text, report) = told(&["trial", "--seconds", "4", "--seed", "3", "--accounts"]);
    assert!(text.contains("promises broken                  0"), "{text}");
    assert!(report["accepted"].as_u64() > Some(0), "{report}");
}

/// A flood of keys that nobody has harms no caller with a good one.
#[test]
fn unknown_keys_are_refused_and_good_ones_served() {
    let (text, report) = told(&["bench", "keys", "--seconds", "2", "--unknown", "500"]);
    for part in ["alone", "flooded"] {
        assert_eq!(report[part]["harmed"].as_u64(), Some(0), "{text}");
        assert!(report[part]["served_per_s"].as_f64() > Some(0.0), "{text}");
    }
    assert!(report["flooded"]["refused_per_s"].as_f64() > Some(0.0), "{text}");
}
