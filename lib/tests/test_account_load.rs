//! Accounts that share a service: what the modest ones get beside one that sends three times what there is.
//!
//! The order of what waits knew no accounts, only by when each job should be done, so one account's flood took the
//! turns of all others: of 475 jobs of nineteen modest accounts all were done in time without the flood, and 46 with it.

use spokelift_testutils::batch::play::Served;
use spokelift_testutils::batch::play::play_accounts;
use spokelift_testutils::batch::play::play_beside_nobody;

const MODEST: usize = 19;
/// Jobs a second of a modest account; together a quarter of what the workers bear.
const MODEST_PER_S: f64 = 0.25;
/// Jobs a second of the greedy account.
const GREEDY_PER_S: f64 = 58.0;

fn play_all(greedy_per_s: f64) -> (Served, Served) {
    let mut rates = vec![MODEST_PER_S; MODEST];
    rates.push(greedy_per_s);
    let (mut modest, mut greedy) = (Served::default(), Served::default());
    for seed in 1..=10 {
        let served = play_accounts(&rates, seed);
        greedy.jobs += served[MODEST].jobs;
        greedy.in_time += served[MODEST].in_time;
        for account in &served[..MODEST] {
            modest.jobs += account.jobs;
            modest.in_time += account.in_time;
        }
    }
    println!("greedy {greedy_per_s} a second: {greedy:?}, the others {modest:?}");
    (modest, greedy)
}

#[test]
fn a_greedy_account_takes_nothing_from_modest_ones() {
    let (alone, _) = play_all(0.0);
    let (beside, greedy) = play_all(GREEDY_PER_S);
    assert_eq!(alone.jobs, beside.jobs);
    assert!(
        beside.in_time * 100 >= alone.in_time * 97,
        "{alone:?} alone, {beside:?} beside {greedy:?}"
    );
}

/// The same where the flood is of no account: it counts as one.
#[test]
fn a_flood_of_nobody_takes_nothing_from_accounts() {
    let mut rates = vec![MODEST_PER_S; MODEST];
    rates.push(GREEDY_PER_S);
    let served = play_beside_nobody(&rates, 1);
    let (modest, nobody) = (&served[..MODEST], served[MODEST]);
    let jobs: u32 = modest.iter().map(|account| account.jobs).sum();
    let in_time: u32 = modest.iter().map(|account| account.in_time).sum();
    assert!(in_time * 100 >= jobs * 97, "{in_time} of {jobs} beside {nobody:?}");
}
