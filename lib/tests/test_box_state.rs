//! Where the boxes are that serve nothing. Guards against a rise during which four boxes of five
//! serve nobody and no line says what they wait for.

use std::time::Duration;

use spokelift_lib::batch::box_state::Departure;
use spokelift_lib::batch::box_state::Facts;
use spokelift_lib::batch::box_state::Purpose;
use spokelift_lib::batch::box_state::State;
use spokelift_lib::batch::box_state::Status;
use spokelift_lib::batch::box_state::Tracker;
use spokelift_lib::batch::box_state::state_of;
use spokelift_lib::transport::clock;
use spokelift_platform::machine;
use spokelift_platform::machine::Machine;
use spokelift_testutils::batch;

/// A box of service `work` that serves.
fn serving(listed: &Machine) -> Facts<'_> {
    Facts {
        listed,
        is_reserve: false,
        departure: None,
        is_held: false,
        is_deferred: false,
        has_joined: true,
        is_empty: false,
    }
}

fn leaves(purpose: Purpose, is_ordered: bool) -> Option<Departure> {
    Some(Departure { purpose, is_ordered })
}

#[test]
fn a_box_in_service_has_no_state() {
    let listed = batch::machine("m1", machine::Status::Up, Some("w1"));
    assert_eq!(state_of(&serving(&listed)), None);
    // It serves all the same.
    let facts = Facts { is_held: true, is_deferred: true, ..serving(&listed) };
    assert_eq!(state_of(&facts), None);
}

#[test]
fn a_move_passes_through_each_state() {
    let to_other = |is_ordered| leaves(Purpose::Move("other".to_owned()), is_ordered);
    let listed = |pool: &str, status| Machine {
        pool: pool.to_owned(),
        ..batch::machine("m1", status, Some("w1"))
    };
    let before = listed("work", machine::Status::Up);
    let facts = Facts { departure: to_other(false), ..serving(&before) };
    assert_eq!(state_of(&facts), Some(State::Evacuating));
    let facts = Facts { is_empty: true, ..facts };
    assert_eq!(state_of(&facts), Some(State::Empty));
    let facts = Facts { departure: to_other(true), ..facts };
    assert_eq!(state_of(&facts), Some(State::Ordered));
    let moving = listed("other", machine::Status::Moving);
    let facts = Facts { listed: &moving, has_joined: false, ..facts };
    assert_eq!(state_of(&facts), Some(State::Down));
    let after = listed("other", machine::Status::Up);
    let facts = Facts { listed: &after, ..facts };
    assert_eq!(state_of(&facts), Some(State::NotJoined));
    assert_eq!(state_of(&Facts { has_joined: true, ..facts }), None);
}

#[test]
fn a_box_under_maintenance_is_shown_until_its_next_worker_answers() {
    let listed = |status| batch::machine("m1", status, Some("w1"));
    let (up, down) = (listed(machine::Status::Up), listed(machine::Status::Maintenance));
    let facts = Facts { departure: leaves(Purpose::Wave(7), true), ..serving(&up) };
    assert_eq!(state_of(&facts), Some(State::Ordered));
    assert_eq!(state_of(&Facts { listed: &down, ..facts.clone() }), Some(State::Maintenance));
    assert_eq!(state_of(&Facts { has_joined: false, ..facts }), Some(State::NotJoined));
}

#[test]
fn a_switched_off_box_says_why_it_cannot_be_fetched() {
    let listed = batch::machine("m1", machine::Status::Up, None);
    let off = Facts { is_reserve: true, has_joined: false, is_empty: true, ..serving(&listed) };
    assert_eq!(state_of(&off), Some(State::SwitchedOff));
    assert_eq!(state_of(&Facts { is_held: true, ..off.clone() }), Some(State::Held));
    assert_eq!(state_of(&Facts { is_deferred: true, ..off.clone() }), Some(State::Deferred));
    let fetched = Facts { departure: leaves(Purpose::Move("work".to_owned()), false), ..off };
    assert_eq!(state_of(&fetched), Some(State::Empty));
}

/// A box counts for the service that gets it, so that `batch services` shows what is on its way.
#[test]
fn a_moving_box_counts_for_the_service_that_gets_it() {
    let (mut tracker, now) = (Tracker::default(), clock::now());
    let listed = batch::machine("m1", machine::Status::Up, Some("w1"));
    let departure = leaves(Purpose::Move("other".to_owned()), false);
    let status = Status::of(Facts { departure, ..serving(&listed) }).unwrap();
    tracker.update([("m1".to_owned(), status.clone())], now);
    assert_eq!(tracker.counts_by_service()["other"][&State::Evacuating], 1);
    // The state lasts until the box is back in service, however often it is confirmed.
    tracker.update([("m1".to_owned(), status)], now + Duration::from_secs(1));
    let ended = tracker.update([], now + Duration::from_secs(3));
    assert_eq!(ended, [(State::Evacuating, Duration::from_secs(3))]);
    assert!(tracker.counts().is_empty());
}
