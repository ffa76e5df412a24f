//! Soak tests: real daemons under random faults keep the guarantees given to clients.
//! `SPOKELIFT_SOAK_SEEDS=FIRST..END` and `SPOKELIFT_SOAK_S=SECONDS` select other seeds and a longer
//! run, `SPOKELIFT_SOAK_PROGRAM=PATH` another build of the daemon.

use std::ops::Range;
use std::time::Duration;

use spokelift_testutils::platform::soak;
use spokelift_testutils::platform::soak::ACCOUNTS_FROM_SEED;
use spokelift_testutils::platform::soak::LINKS_FROM_SEED;
use spokelift_testutils::platform::soak::REUSED_IDS_FROM_SEED;
use spokelift_testutils::setting;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Default seeds.
const SEEDS: Range<u64> = 1..3;
/// Default duration of the faults, in seconds.
const TIME_S: u64 = 8;

fn seeds() -> Range<u64> {
    setting::range("SPOKELIFT_SOAK_SEEDS", SEEDS)
}

fn duration() -> Duration {
    Duration::from_secs(setting::number("SPOKELIFT_SOAK_S", TIME_S))
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee() {
    run_seeds(seeds()).await;
}

/// As above, with workers that keep their ids across restarts.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee_with_reused_worker_ids() {
    let seeds = seeds();
    run_seeds(seeds.start + REUSED_IDS_FROM_SEED..seeds.end + REUSED_IDS_FROM_SEED).await;
}

/// As above, with accounts whose keys and quotas change.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee_with_changing_accounts() {
    let seeds = seeds();
    run_seeds(seeds.start + ACCOUNTS_FROM_SEED..seeds.end + ACCOUNTS_FROM_SEED).await;
}

/// As above, with daemons that are cut off from each other and from some of the workers.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee_with_cut_links() {
    let seeds = seeds();
    run_seeds(seeds.start + LINKS_FROM_SEED..seeds.end + LINKS_FROM_SEED).await;
}

async fn run_seeds(seeds: Range<u64>) {
    let mut failed = Vec::new();
    let program = setting::text("SPOKELIFT_SOAK_PROGRAM", PROGRAM);
    for seed in seeds {
        let report = soak::run(&program, seed, duration()).await.unwrap();
        println!("seed {seed}: {report:#?}");
        assert!(report.accepted > 0, "seed {seed}: no job was accepted");
        if !report.violations.is_empty() {
            failed.push((seed, report.violations));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Runs a command of the CLI whose last line of output is JSON; returns the output and that line.
fn run_cli(args: &[&str]) -> (String, serde_json::Value) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_spokelift"));
    let output = command.arg("--json").args(args).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    let last = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    (text, last)
}

#[test]
fn trial_violates_no_guarantee() {
    let (text, report) = run_cli(&["trial", "--seconds", "4", "--seed", "3"]);
    assert!(text.contains("promises broken                  0"), "{text}");
    assert!(report["accepted"].as_u64() > Some(0), "{report}");
}

#[test]
fn trial_with_accounts_violates_no_guarantee() {
    let (text, report) = run_cli(&["trial", "--seconds", "4", "--seed", "3", "--accounts"]);
    assert!(text.contains("promises broken                  0"), "{text}");
    assert!(report["accepted"].as_u64() > Some(0), "{report}");
}

/// A flood of requests with unknown keys does not affect callers with valid keys.
#[test]
fn unknown_keys_are_refused_and_valid_keys_served() {
    let (text, report) = run_cli(&["bench", "keys", "--seconds", "2", "--unknown", "500"]);
    for part in ["alone", "flooded"] {
        assert_eq!(report[part]["harmed"].as_u64(), Some(0), "{text}");
        assert!(report[part]["served_per_s"].as_f64() > Some(0.0), "{text}");
    }
    assert!(report["flooded"]["refused_per_s"].as_f64() > Some(0.0), "{text}");
}
