//! Which boxes a new scheduler leaves alone, and for how long.

use std::collections::HashSet;
use std::slice::from_ref;
use std::time::Duration;

use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_lib::batch::order_window::OrderWindow;
use spokelift_lib::batch::store_latency::StoreLatency;
use spokelift_lib::transport::clock;

const GAP: Duration = Duration::from_secs(3);

fn these<const N: usize>(targets: [&str; N]) -> HeldBoxes {
    HeldBoxes::Only(targets.map(str::to_owned).into())
}

#[test]
fn after_a_silent_scheduler_every_box_rests() {
    let now = clock::now();
    let turn = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(!turn.may_order(now + GAP / 2));
    assert!(turn.may_order(now + GAP));
    // Whoever follows soon knows no more.
    assert_eq!(turn.close(now + GAP / 2), HeldBoxes::All);
}

#[test]
fn only_boxes_that_were_ordered_lately_rest() {
    let now = clock::now();
    let turn = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(turn.record_order("a", now + GAP));
    assert!(turn.record_order("b", now + GAP * 2));
    assert_eq!(turn.close(now + GAP * 2), these(["b"]));
}

#[test]
fn boxes_that_the_one_before_ordered_rest_and_are_passed_on() {
    let now = clock::now();
    let turn = OrderWindow::new(GAP, these(["a"]), now);
    assert!(turn.may_order(now));
    assert_eq!(turn.held_boxes(now), HashSet::from(["a".to_owned()]));
    assert!(turn.held_boxes(now + GAP).is_empty());
    assert!(turn.record_order("b", now));
    assert_eq!(turn.close(now), these(["a", "b"]));
}

/// A scheduler that fell silent in a rise cost 3 s without an order about any box: nobody knew what it had
/// ordered last. Now it announces boxes in the store first, and only those rest.
#[test]
fn after_a_silent_scheduler_only_announced_boxes_rest() {
    let now = clock::now();
    let boxes = |targets: &[&str]| -> HashSet<String> {
        targets.iter().map(|target| (*target).to_owned()).collect()
    };
    let turn = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(!turn.may_order(now), "the store has not been read");
    turn.set_inherited(boxes(&["a"]));
    assert!(turn.may_order(now));
    assert_eq!(turn.held_boxes(now), boxes(&["a"]));
    assert!(turn.held_boxes(now + GAP).is_empty());
    // Whoever follows is told of what still rests as well.
    let all = turn.required_announcement(&["b".to_owned()], now).unwrap();
    assert_eq!(all, boxes(&["a", "b"]));
    turn.begin_announcement(1, all);
    turn.confirm_announcement(1);
    assert!(turn.record_order("b", now));
    assert_eq!(turn.required_announcement(&["b".to_owned()], now), None);
    assert_eq!(
        turn.required_announcement(&["c".to_owned()], now).unwrap(),
        boxes(&["a", "b", "c"])
    );
    assert_eq!(turn.required_announcement(&["c".to_owned()], now + GAP).unwrap(), boxes(&["c"]));
    assert_eq!(turn.close(now), these(["a", "b"]));
}

#[test]
fn a_turn_that_is_over_orders_nothing() {
    let now = clock::now();
    let turn = OrderWindow::new(GAP, these([]), now);
    turn.close(now);
    assert!(!turn.may_order(now));
    assert!(!turn.record_order("a", now));
}

/// Orders about boxes waited for each announcement, 0.4 s and more with a store that is slow, in a rise that
/// lasts 5 s. Now every box is announced ahead while it is.
#[test]
fn while_the_store_is_late_no_order_waits_once_every_box_was_announced() {
    let now = clock::now();
    let (a, b, c) = ("a".to_owned(), "b".to_owned(), "c".to_owned());
    let every = HashSet::from([a.clone(), b.clone(), c.clone()]);
    let turn = OrderWindow::new(GAP, these([]), now);
    let told = turn.set_pre_announced(every.clone(), now).unwrap();
    assert_eq!(told, every);
    turn.begin_announcement(1, told);
    assert_eq!(turn.set_pre_announced(every.clone(), now), None, "it is being told");
    assert_eq!(turn.pending_announcement(&[a.clone(), b.clone()]), Some(1));
    turn.confirm_announcement(1);
    assert!(turn.record_order("a", now));
    assert_eq!(turn.required_announcement(&[a.clone(), b.clone(), c.clone()], now), None);
    // A box that came since is announced beside all others.
    let with_new = turn.required_announcement(&["d".to_owned()], now).unwrap();
    assert!(with_new.is_superset(&every));

    // The store is well again: what was ordered lately stays announced, the rest waits again.
    let told = turn.set_pre_announced(HashSet::new(), now).unwrap();
    assert_eq!(told, HashSet::from([a.clone()]));
    turn.begin_announcement(2, told);
    assert!(
        turn.required_announcement(from_ref(&b), now).is_some(),
        "the store may know no longer"
    );
    assert_eq!(turn.required_announcement(&[a], now), None, "it knows either way");
    turn.confirm_announcement(2);
    assert!(turn.required_announcement(&[b], now).is_some());
}

/// An announcement without an answer may take effect at any time, and replaces the one before. Boxes of the one
/// before went on being ordered, although a successor may read nothing of them.
#[test]
fn boxes_of_an_announcement_that_is_being_replaced_are_announced_again() {
    let now = clock::now();
    let (a, b) = ("a".to_owned(), "b".to_owned());
    let turn = OrderWindow::new(GAP, these([]), now);
    turn.begin_announcement(1, HashSet::from([a.clone()]));
    turn.confirm_announcement(1);
    turn.begin_announcement(2, HashSet::from([b.clone()]));
    assert!(turn.required_announcement(from_ref(&a), now).is_some());
    // Neither is one known that an earlier answer is about.
    turn.confirm_announcement(1);
    assert!(turn.required_announcement(from_ref(&b), now).is_some());
    turn.confirm_announcement(2);
    assert!(turn.required_announcement(&[b], now).is_none());
    assert!(turn.required_announcement(&[a], now).is_some());
}

/// Rounds of orders each 150 ms for 8 s, in each of which one more box is wanted; the store takes a write in 10 ms, and
/// in `late` as long as a store 70 times slower, one at a time. Returns the longest time that a box waited.
fn longest_wait(late: std::ops::Range<u64>, ahead: bool) -> u64 {
    const ROUND_MS: u64 = 150;
    let begun = clock::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    let turn = OrderWindow::new(GAP, these([]), begun);
    let every: HashSet<String> = (0..60).map(|number| format!("m{number}")).collect();
    let mut pace = StoreLatency::default();
    // The last announcement that was made, the last one that the store knows, and the write under way: until when, and
    // up to which announcement. What is announced meanwhile goes into the next write.
    let (mut made, mut known, mut write) = (0, 0, None);
    let mut wanted: Vec<(u64, String)> = Vec::new();
    let mut longest = 0;
    for now in (0..9_000).step_by(10) {
        if let Some((_, number)) = write.take_if(|(until, _)| *until <= now) {
            known = number;
            turn.confirm_announcement(number);
            pace.finish_change(at(now));
        }
        if now % ROUND_MS == 0 && now < 8_000 {
            wanted.push((now, format!("m{}", now / ROUND_MS)));
            let boxes = if ahead && pace.is_slow(at(now)) { every.clone() } else { HashSet::new() };
            if let Some(all) = turn.set_pre_announced(boxes, at(now)) {
                made += 1;
                turn.begin_announcement(made, all);
            }
            let targets: Vec<String> = wanted.iter().map(|(_, target)| target.clone()).collect();
            let untold = turn.required_announcement(&targets, at(now));
            if let Some(all) = untold.filter(|_| turn.pending_announcement(&targets).is_none()) {
                made += 1;
                turn.begin_announcement(made, all);
            }
        }
        if write.is_none() && made > known {
            pace.start_change(at(now));
            write = Some((now + if late.contains(&now) { 350 } else { 10 }, made));
        }
        wanted.retain(|(since, target)| {
            let may_go =
                turn.required_announcement(std::slice::from_ref(target), at(now)).is_none();
            if may_go {
                turn.record_order(target, at(now));
                longest = longest.max(now - since);
            }
            !may_go
        });
    }
    longest
}

/// The load of a rise beside a store that is slow from 2 s to 7 s: once all boxes are announced no order waits, so the
/// longest wait is that of the first announcements. Without it each round waits for its own.
#[test]
fn in_a_rise_beside_a_slow_store_boxes_wait_for_the_first_announcements_only() {
    assert!(longest_wait(0..0, true) <= 150);
    let (with, without) = (longest_wait(2_000..7_000, true), longest_wait(2_000..7_000, false));
    println!("longest wait {with} ms, {without} ms without");
    assert!(with <= 1_050, "{with} ms");
    assert!(without > 2 * with, "{without} ms without, {with} ms with");
}
