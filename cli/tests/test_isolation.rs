//! Plays with real daemons in which leaders are cut off while other daemons do not reach some workers.
//! `SPOKELIFT_PLAY_SEEDS=FIRST..END` and `SPOKELIFT_PLAY_ROUNDS=COUNT` select others,
//! `SPOKELIFT_PLAY_PROGRAM=PATH` another build of the daemon.

use std::ops::Range;

use spokelift_testutils::platform::isolation;
use spokelift_testutils::platform::isolation::Cuts;
use spokelift_testutils::platform::network::Cut;
use spokelift_testutils::platform::site::Options;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
const NODES: usize = 6;
const WORKERS: usize = 48;
/// So that all other nodes dispatch for the leader.
const WORKERS_PER_SHARD: usize = 10;

fn setting(name: &str) -> Option<String> {
    std::env::var(format!("SPOKELIFT_PLAY_{name}")).ok()
}

fn seeds() -> Range<u64> {
    let Some(text) = setting("SEEDS") else { return 1..2 };
    let (first, end) = text.split_once("..").expect("SPOKELIFT_PLAY_SEEDS is FIRST..END");
    let number = |text: &str| text.parse().expect("a seed is a number");
    number(first)..number(end)
}

fn cuts() -> Cuts {
    let rounds = setting("ROUNDS").map(|text| text.parse().expect("a count of rounds"));
    Cuts { rounds: rounds.unwrap_or(1), ..Cuts::default() }
}

async fn run(options: Options, cuts: Cuts) {
    let program = setting("PROGRAM").unwrap_or_else(|| PROGRAM.to_owned());
    for seed in seeds() {
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
    run(Options::new(NODES, WORKERS).with_links(), cuts()).await;
}

/// Guards against the same by dispatchers on other nodes, whose reports an isolated leader goes on
/// acknowledging.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_beside_the_dispatchers_of_an_isolated_leader() {
    let options = Options::new(NODES, WORKERS).with_links();
    let options = Options { workers_per_shard: Some(WORKERS_PER_SHARD), ..options };
    run(options, Cuts { companions: 2, ..cuts() }).await;
}

/// Guards against the same while the renewals of the leader arrive and their answers do not, and the other
/// way round.
#[tokio::test(flavor = "multi_thread")]
async fn no_task_runs_twice_beside_a_leader_that_is_isolated_one_way() {
    for leader_cut in [Cut::Inbound, Cut::Outbound] {
        let cuts = Cuts { leader_cut, ..cuts() };
        run(Options::new(NODES, WORKERS).with_links(), cuts).await;
    }
}
