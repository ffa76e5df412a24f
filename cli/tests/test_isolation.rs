//! Plays with real daemons in which leaders are cut off while other daemons do not reach some workers.
//! `SPOKELIFT_PLAY_SEEDS=FIRST..END` and `SPOKELIFT_PLAY_ROUNDS=COUNT` select others,
//! `SPOKELIFT_PLAY_PROGRAM=PATH` another build of the daemon; `SPOKELIFT_PLAY_LOGS=FOLDER` keeps the logs.

use spokelift_testutils::platform::isolation;
use spokelift_testutils::platform::isolation::Cuts;
use spokelift_testutils::platform::network::Cut;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::setting;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const NODES: usize = 6;
const WORKERS: usize = 48;
/// Number of workers in a shard that lets all other daemons dispatch for the leader.
const WORKERS_PER_SHARD: usize = 10;
/// Number of daemons of a site that starts beside others. Links need many of the loopback addresses
/// of a test process.
const FEW_NODES: usize = 4;

fn options(nodes: usize) -> Options {
    Options { has_links: true, ..Options::new(nodes, WORKERS) }
}

fn cuts() -> Cuts {
    Cuts { rounds: setting::number("SPOKELIFT_PLAY_ROUNDS", 1), ..Cuts::default() }
}

async fn run(options: Options, cuts: Cuts) {
    let program = setting::text("SPOKELIFT_PLAY_PROGRAM", PROGRAM);
    for seed in setting::range("SPOKELIFT_PLAY_SEEDS", 1..2) {
        let report = isolation::run(&program, options.clone(), &cuts, seed).await.unwrap();
        println!("seed {seed}: {report:#?}");
        assert!(report.starts > 0, "seed {seed}: nothing was started");
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against two runs of a task: an isolated leader goes on renewing the leases of workers whose
/// tasks its successor, which does not reach them, starts elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_beside_an_isolated_leader() {
    run(options(NODES), cuts()).await;
}

/// Guards against two runs of a task: dispatchers on other nodes, whose reports an isolated leader goes on
/// acknowledging, renew the leases.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_beside_the_dispatchers_of_an_isolated_leader() {
    let options = Options { workers_per_shard: Some(WORKERS_PER_SHARD), ..options(NODES) };
    run(options, Cuts { companions: 2, ..cuts() }).await;
}

/// Guards against two runs of a task while only the answers to the leader's renewals are lost, or only the
/// renewals.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_beside_a_leader_that_is_isolated_one_way() {
    for leader_cut in [Cut::Inbound, Cut::Outbound] {
        let cuts = Cuts { leader_cut, ..cuts() };
        run(options(FEW_NODES), cuts).await;
    }
}
