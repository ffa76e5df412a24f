//! Refusal by outlook, in process and without a network.
//!
//! Guards against refusals of jobs that could still be of use, of accounts that keep to their rates
//! while another does not, by an outlook that is old or of an earlier leader, and of jobs that run
//! all the same.

use std::time::Duration;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::outlook::Class;
use spokelift_lib::batch::outlook::Outlook;
use spokelift_lib::batch::outlook::Service;
use spokelift_lib::batch::outlook::known::Known;
use spokelift_lib::batch::outlook::known::MAX_AGE;
use spokelift_lib::batch::outlook::measure;
use spokelift_lib::transport::clock;
use spokelift_platform::job::Step;
use spokelift_testutils::batch::accepted;
use spokelift_testutils::batch::simulation::callers::Callers;
use spokelift_testutils::batch::simulation::callers::Fates;
use spokelift_testutils::batch::simulation::callers::Rules;
use spokelift_testutils::batch::simulation::callers::simulate_callers;

/// Jobs that the simulated workers can do in a second.
const CAPACITY_PER_S: f64 = 21.0;
const SEEDS: u64 = 1;
const RULES: Rules = Rules {
    refuse_after: 3,
    outlook_delay: Duration::ZERO,
    is_of_earlier_leader: false,
    obey: true,
};
const NEVER: Rules = Rules { refuse_after: 0, ..RULES };

fn play(times: f64, rules: Rules) -> Fates {
    let callers = [Callers { account: None, jobs_per_s: CAPACITY_PER_S * times }];
    let mut sum = Fates::default();
    (1..=SEEDS).for_each(|seed| sum.add(&simulate_callers(&callers, rules, seed)[0]));
    println!("{times} times the capacity, {rules:?}: {sum:?}");
    assert_eq!(sum.ran_though_refused, 0, "{times}, {rules:?}: {sum:?}");
    sum
}

fn variants() -> Vec<Rules> {
    let delays = [0, 1_000, 3_000].map(Duration::from_millis);
    let rules = delays
        .map(|outlook_delay| [true, false].map(|obey| Rules { outlook_delay, obey, ..RULES }));
    rules.concat()
}

#[test]
fn nobody_is_refused_below_the_capacity() {
    for rules in variants() {
        let sum = play(0.8, rules);
        assert_eq!(sum.refusals, 0, "{rules:?}: {sum:?}");
    }
}

#[test]
fn refusals_do_not_lower_the_number_of_jobs_in_time() {
    for times in [1.5, 3.0] {
        let before = play(times, NEVER);
        for rules in variants() {
            let sum = play(times, rules);
            assert_eq!(sum.jobs, before.jobs);
            assert!(sum.in_time >= before.in_time, "{times}, {rules:?}: {sum:?}, not {before:?}");
        }
    }
}

#[test]
fn an_overload_is_refused_in_part_and_at_once() {
    for obey in [true, false] {
        let sum = play(3.0, Rules { obey, ..RULES });
        assert!(sum.refusals > 0, "{sum:?}");
    }
}

#[test]
fn an_old_outlook_or_one_of_an_earlier_leader_refuses_nobody() {
    let late = Rules { outlook_delay: MAX_AGE * 3, ..RULES };
    assert_eq!(play(3.0, late).refusals, 0);
    let earlier = Rules { is_of_earlier_leader: true, ..RULES };
    assert_eq!(play(3.0, earlier).refusals, 0);
}

#[test]
fn an_account_within_its_rate_is_not_refused_for_anothers_burst() {
    let modest = Callers { account: Some("modest"), jobs_per_s: 3.0 };
    let greedy = Callers { account: Some("greedy"), jobs_per_s: CAPACITY_PER_S * 3.0 };
    let mut sums = [Fates::default(); 2];
    for seed in 1..=SEEDS {
        let fates = simulate_callers(&[modest.clone(), greedy.clone()], RULES, seed);
        sums.iter_mut().zip(&fates).for_each(|(sum, fate)| sum.add(fate));
    }
    let [modest, greedy] = sums;
    println!("modest: {modest:?}, greedy: {greedy:?}");
    assert_eq!(modest.refusals, 0, "{modest:?}");
    assert!(modest.in_time * 100 >= modest.jobs * 97, "{modest:?}");
    assert!(greedy.refusals > 0, "{greedy:?}");
    assert_eq!(greedy.ran_though_refused, 0);
}

/// The node that refuses asks the leader first: a retry of a job that was accepted elsewhere.
#[test]
fn a_job_that_was_accepted_before_is_not_refused() {
    let mut cell = Cell::new(10);
    let step = Step { count: 1, cpu: 500, estimate_ms: 100, ..Step::default() };
    let wall = Duration::from_secs(1);
    assert_eq!(measure::confirm_refusal(&cell, 4, None, wall), Some(false));
    cell.admit(4, accepted(vec![step]), None);
    assert_eq!(measure::confirm_refusal(&cell, 4, None, wall), None);
}

fn short() -> Outlook {
    let classes = vec![Class { on_time: 9_000, late: 90_000, ..Class::default() }];
    let service = Service { capacity: 1, classes, ..Service::default() };
    let services = [("work".to_owned(), service)].into();
    Outlook { leader: 4, incarnation: 40, number: 1, age_ms: 0, services }
}

/// Two leaders: the outlook of the one that the node does not believe in decides nothing, whichever
/// of them is newer.
#[test]
fn only_the_outlook_of_the_leader_that_the_node_believes_in_counts() {
    let (mut known, now) = (Known::default(), clock::now());
    assert!(known.fresh(Some(40), now).is_none(), "without an outlook nobody is refused");
    assert!(known.apply(short(), now));
    assert!(known.fresh(Some(40), now).is_some());
    assert!(known.fresh(Some(41), now).is_none() && known.fresh(None, now).is_none());
    let successor = Outlook { leader: 5, incarnation: 41, ..short() };
    assert!(known.apply(successor, now));
    assert!(known.fresh(Some(40), now).is_none());
    assert!(!known.apply(Outlook { number: 2, ..short() }, now), "an earlier leader's comes late");
    assert!(known.fresh(Some(41), now).is_some());
}

/// A healed cut: what was on its way for as long as the cut lasted is old when it arrives.
#[test]
fn an_outlook_ages_on_its_way_and_at_the_node() {
    let (mut known, now) = (Known::default(), clock::now());
    let later = now + Duration::from_secs(60);
    assert!(known.apply(Outlook { age_ms: 400, ..short() }, later));
    let at = |ms| later + Duration::from_millis(ms);
    assert!(known.fresh(Some(40), at(600)).is_some());
    assert!(known.fresh(Some(40), at(601)).is_none());
    let to = "127.0.0.1:9".parse().unwrap();
    assert_eq!(known.to_send(to, at(50)).unwrap().age_ms, 450);
    // The node stands still and wakes again.
    assert!(known.fresh(Some(40), at(30_000)).is_none());
    let ended = Outlook { number: 2, services: Default::default(), ..short() };
    assert!(known.apply(ended, at(30_000)));
    let (outlook, _) = known.fresh(Some(40), at(30_000)).unwrap();
    assert!(outlook.services.is_empty());
}

/// A node of an older version ends the connection on a message that it does not know.
#[test]
fn a_node_that_declines_outlooks_is_left_alone() {
    let (mut known, now) = (Known::default(), clock::now());
    let [old, new] = ["127.0.0.1:8", "127.0.0.1:9"].map(|addr| addr.parse().unwrap());
    known.apply(short(), now);
    known.decline(old, now);
    assert!(known.to_send(old, now).is_none());
    assert!(known.to_send(new, now).is_some());
}

#[test]
fn a_service_without_boxes_or_one_that_is_gone_refuses_nobody() {
    let cell = Cell::new(10);
    let wall = Duration::from_secs(1);
    let services = measure::services(&cell, None, 3, clock::now(), wall);
    assert!(services.is_empty());
}
