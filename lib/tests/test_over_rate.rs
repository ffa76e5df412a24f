//! What a service asks for because of jobs that accounts send above their rates.
//!
//! Guards against a burst of one account that fetches boxes from services that other accounts need:
//! the part of a demand that only such jobs ask for must be known.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::pool::load::Load;
use spokelift_lib::batch::pool::load::loads;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_platform::worker::Entry;
use spokelift_platform::worker::Peer;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::entry;
use spokelift_testutils::batch::published::published_config;
use spokelift_testutils::batch::unused_addr;

/// Jobs a second that each account may send.
const WEIGHT: u64 = 2;

/// Services `one` and `two` with a worker each, and accounts `greedy` and `modest`.
fn cell() -> Cell {
    let accounts = ["greedy", "modest"].map(|name| json!({ "name": name, "weight": WEIGHT }));
    let config = Config::decode(&published_config(1, &[], json!(accounts))).unwrap();
    let mut cell = Cell::new(10);
    cell.set_quotas(&Arc::new(config));
    for service in ["one", "two"] {
        let peer = Peer { incarnation: service.to_owned().into(), addr: unused_addr() };
        let entry = Entry { service: service.to_owned(), ..entry(service, 32_000) };
        cell.discover(peer, entry, clock::now());
    }
    cell
}

/// Admits jobs that an account sends to a service within one second.
fn send(cell: &mut Cell, account: &str, service: &str, first: u64, jobs: u64) {
    let step = Step { count: 4, cpu: 4_000, estimate_ms: 1_000, ..Step::default() };
    for number in 0..jobs {
        let at = Duration::from_secs(100);
        let (account, service) = (Some(account.into()), service.to_owned());
        let job = Accepted { at, account, service, ..accepted(vec![step.clone()]) };
        assert!(cell.admit(first + number, job, None));
    }
}

fn load_of(cell: &Cell, service: &str) -> Load {
    loads(cell, clock::now()).remove(service).unwrap()
}

#[test]
fn what_only_jobs_above_the_rates_ask_for_is_known() {
    let mut cell = cell();
    send(&mut cell, "modest", "one", 1, WEIGHT);
    let modest = load_of(&cell, "one");
    assert_eq!(modest.over_rate, 0);
    send(&mut cell, "greedy", "one", 100, 50);
    send(&mut cell, "modest", "two", 200, WEIGHT);
    let both = load_of(&cell, "one");
    // Two jobs of each account are within their rates.
    assert!(both.wanted() > 10 * modest.wanted(), "{both:?}");
    let within = both.wanted_within_rates();
    let expected = 2 * modest.wanted();
    assert!(within <= expected * 11 / 10 && within * 11 / 10 >= expected, "{both:?}");
    // The other service has no part in it; the account that sends there has used its rate up.
    let other = load_of(&cell, "two");
    assert!(other.over_rate <= other.wanted(), "{other:?}");
}

#[test]
fn an_account_within_its_rate_asks_for_boxes_as_before() {
    let mut cell = cell();
    send(&mut cell, "modest", "two", 1, WEIGHT);
    let load = load_of(&cell, "two");
    assert!(load.wanted() > 0);
    assert_eq!((load.over_rate, load.wanted_within_rates()), (0, load.wanted()));
}

#[test]
fn jobs_without_an_account_are_never_above_a_rate() {
    let mut cell = cell();
    let step = Step { count: 4, cpu: 4_000, estimate_ms: 1_000, ..Step::default() };
    for id in 1..=50 {
        let job = Accepted { service: "one".to_owned(), ..accepted(vec![step.clone()]) };
        cell.admit(id, job, None);
    }
    let load = load_of(&cell, "one");
    assert!(load.wanted() > load.capacity);
    assert_eq!(load.over_rate, 0);
}
