//! Fairness between accounts that share a service, while one of them submits three times as many
//! jobs as the workers can run.
//!
//! Guards against an order of waiting jobs that considers only their deadlines: then the jobs of the
//! overloading account delay those of all others. Of 475 jobs of nineteen modest accounts, all finish
//! in time without the overload and 46 with it.

use spokelift_testutils::batch::simulation::Served;
use spokelift_testutils::batch::simulation::simulate_accounts;
use spokelift_testutils::batch::simulation::simulate_with_unowned;

/// Number of modest accounts.
const MODEST: usize = 19;
/// Jobs a second of a modest account; together they use a quarter of the workers' capacity.
const MODEST_PER_S: f64 = 0.25;
/// Jobs a second of the greedy account.
const GREEDY_PER_S: f64 = 58.0;

fn play_all(greedy_per_s: f64) -> (Served, Served) {
    let mut rates = vec![MODEST_PER_S; MODEST];
    rates.push(greedy_per_s);
    let (mut modest, mut greedy) = (Served::default(), Served::default());
    for seed in 1..=10 {
        let served = simulate_accounts(&rates, seed);
        greedy.jobs += served[MODEST].jobs;
        greedy.in_time += served[MODEST].in_time;
        for account in &served[..MODEST] {
            modest.jobs += account.jobs;
            modest.in_time += account.in_time;
        }
    }
    println!("greedy at {greedy_per_s} jobs a second: {greedy:?}, modest: {modest:?}");
    (modest, greedy)
}

#[test]
fn a_greedy_account_does_not_delay_modest_ones() {
    let (alone, _) = play_all(0.0);
    let (loaded, greedy) = play_all(GREEDY_PER_S);
    assert_eq!(alone.jobs, loaded.jobs);
    assert!(
        loaded.in_time * 100 >= alone.in_time * 97,
        "{alone:?} alone, {loaded:?} with the greedy account's {greedy:?}"
    );
}

/// Jobs without an account are treated like those of one account.
#[test]
fn an_overload_without_an_account_does_not_delay_accounts() {
    let mut rates = vec![MODEST_PER_S; MODEST];
    rates.push(GREEDY_PER_S);
    let served = simulate_with_unowned(&rates, 1);
    let (modest, unowned) = (&served[..MODEST], served[MODEST]);
    let jobs: u32 = modest.iter().map(|account| account.jobs).sum();
    let in_time: u32 = modest.iter().map(|account| account.in_time).sum();
    assert!(in_time * 100 >= jobs * 97, "{in_time} of {jobs} in time with {unowned:?}");
}
