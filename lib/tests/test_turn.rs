//! Which boxes a new scheduler leaves alone, and for how long.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use spokelift_lib::batch::turn::Resting;
use spokelift_lib::batch::turn::Turn;

const GAP: Duration = Duration::from_secs(3);

fn these<const N: usize>(targets: [&str; N]) -> Resting {
    Resting::These(targets.map(str::to_owned).into())
}

#[test]
fn after_a_silent_scheduler_every_box_rests() {
    let now = Instant::now();
    let turn = Turn::new(GAP, Resting::Every, now);
    assert!(!turn.may_order(now + GAP / 2));
    assert!(turn.may_order(now + GAP));
    // Whoever follows soon knows no more.
    assert_eq!(turn.end(now + GAP / 2), Resting::Every);
}

#[test]
fn only_boxes_that_were_ordered_lately_rest() {
    let now = Instant::now();
    let turn = Turn::new(GAP, Resting::Every, now);
    assert!(turn.begin_order("a", now + GAP));
    assert!(turn.begin_order("b", now + GAP * 2));
    assert_eq!(turn.end(now + GAP * 2), these(["b"]));
}

#[test]
fn boxes_that_the_one_before_ordered_rest_and_are_passed_on() {
    let now = Instant::now();
    let turn = Turn::new(GAP, these(["a"]), now);
    assert!(turn.may_order(now));
    assert_eq!(turn.resting(now), HashSet::from(["a".to_owned()]));
    assert!(turn.resting(now + GAP).is_empty());
    assert!(turn.begin_order("b", now));
    assert_eq!(turn.end(now), these(["a", "b"]));
}

/// A scheduler that fell silent in a rise cost 3 s without an order about any box: nobody knew what it had
/// ordered last. Now it announces boxes in the store first, and only those rest.
#[test]
fn after_a_silent_scheduler_only_announced_boxes_rest() {
    let now = Instant::now();
    let boxes = |targets: &[&str]| -> HashSet<String> {
        targets.iter().map(|target| (*target).to_owned()).collect()
    };
    let turn = Turn::new(GAP, Resting::Every, now);
    assert!(!turn.may_order(now), "the store has not been read");
    turn.inherit(boxes(&["a"]));
    assert!(turn.may_order(now));
    assert_eq!(turn.resting(now), boxes(&["a"]));
    assert!(turn.resting(now + GAP).is_empty());
    // Whoever follows is told of what still rests as well.
    let all = turn.unannounced(&["b".to_owned()], now).unwrap();
    assert_eq!(all, boxes(&["a", "b"]));
    turn.set_announced(all);
    assert!(turn.begin_order("b", now));
    assert_eq!(turn.unannounced(&["b".to_owned()], now), None);
    assert_eq!(turn.unannounced(&["c".to_owned()], now).unwrap(), boxes(&["a", "b", "c"]));
    assert_eq!(turn.unannounced(&["c".to_owned()], now + GAP).unwrap(), boxes(&["c"]));
    assert_eq!(turn.end(now), these(["a", "b"]));
}

#[test]
fn a_turn_that_is_over_orders_nothing() {
    let now = Instant::now();
    let turn = Turn::new(GAP, these([]), now);
    turn.end(now);
    assert!(!turn.may_order(now));
    assert!(!turn.begin_order("a", now));
}
