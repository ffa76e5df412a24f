//! Which boxes a new scheduler holds, and for how long.

use std::collections::HashSet;
use std::slice::from_ref;
use std::time::Duration;

use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_lib::batch::order_window::LATE_ORDER_LIMIT;
use spokelift_lib::batch::order_window::OrderWindow;
use spokelift_lib::batch::store_latency::StoreLatency;
use spokelift_lib::transport::clock;

const GAP: Duration = Duration::from_secs(3);

fn only<const N: usize>(ids: [&str; N]) -> HeldBoxes {
    HeldBoxes::Only(ids.map(str::to_owned).into())
}

#[test]
fn after_an_unresponsive_scheduler_every_box_is_on_hold() {
    let now = clock::now();
    let window = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(!window.may_order(now + GAP / 2));
    assert!(window.may_order(now + GAP));
    // A successor within that time knows no more.
    assert_eq!(window.close(now + GAP / 2), HeldBoxes::All);
}

#[test]
fn only_recently_ordered_boxes_are_passed_on() {
    let now = clock::now();
    let window = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(window.record_order("a", now + GAP));
    assert!(window.record_order("b", now + GAP * 2));
    assert_eq!(window.close(now + GAP * 2), only(["b"]));
}

#[test]
fn boxes_that_the_predecessor_ordered_are_held_and_passed_on() {
    let now = clock::now();
    let window = OrderWindow::new(GAP, only(["a"]), now);
    assert!(window.may_order(now));
    assert_eq!(window.held_boxes(now), HashSet::from(["a".to_owned()]));
    assert!(window.held_boxes(now + GAP).is_empty());
    assert!(window.record_order("b", now));
    assert_eq!(window.close(now), only(["a", "b"]));
}

/// Guards against holding every box after an unresponsive scheduler, which cost 3 s without any
/// order during a rise of load: boxes are announced in the store before they are ordered, and only
/// announced ones are on hold.
#[test]
fn after_an_unresponsive_scheduler_only_announced_boxes_are_on_hold() {
    let now = clock::now();
    let boxes =
        |ids: &[&str]| -> HashSet<String> { ids.iter().map(|id| (*id).to_owned()).collect() };
    let window = OrderWindow::new(GAP, HeldBoxes::All, now);
    assert!(!window.may_order(now), "the store has not been read");
    window.set_inherited(boxes(&["a"]));
    assert!(window.may_order(now));
    assert_eq!(window.held_boxes(now), boxes(&["a"]));
    assert!(window.held_boxes(now + GAP).is_empty());
    // The successor must learn of boxes that are still on hold as well.
    let all = window.required_announcement(&["b".to_owned()], now).unwrap();
    assert_eq!(all, boxes(&["a", "b"]));
    window.start_announcement(1, all);
    window.confirm_announcement(1);
    assert!(window.record_order("b", now));
    assert_eq!(window.required_announcement(&["b".to_owned()], now), None);
    assert_eq!(
        window.required_announcement(&["c".to_owned()], now).unwrap(),
        boxes(&["a", "b", "c"])
    );
    // A late order may still reach the first box, though it is no longer on hold.
    let announced = |now| window.required_announcement(&["c".to_owned()], now).unwrap();
    assert_eq!(announced(now + GAP), boxes(&["a", "c"]));
    assert_eq!(announced(now + LATE_ORDER_LIMIT), boxes(&["c"]));
    window.settle("a");
    assert_eq!(announced(now + GAP), boxes(&["c"]));
    assert_eq!(window.close(now), only(["a", "b"]));
}

#[test]
fn a_closed_window_permits_no_order() {
    let now = clock::now();
    let window = OrderWindow::new(GAP, only([]), now);
    window.close(now);
    assert!(!window.may_order(now));
    assert!(!window.record_order("a", now));
}

/// Guards against orders that wait for an announcement each, 0.4 s and more with a slow store, in a
/// rise of load that lasts 5 s: while the store is slow, every box is announced in advance.
#[test]
fn while_the_store_is_slow_no_order_waits_once_every_box_was_announced() {
    let now = clock::now();
    let (a, b, c) = ("a".to_owned(), "b".to_owned(), "c".to_owned());
    let every = HashSet::from([a.clone(), b.clone(), c.clone()]);
    let window = OrderWindow::new(GAP, only([]), now);
    let announcement = window.set_pre_announced(every.clone(), now).unwrap();
    assert_eq!(announcement, every);
    window.start_announcement(1, announcement);
    assert_eq!(window.set_pre_announced(every.clone(), now), None, "it is in flight");
    assert_eq!(window.pending_announcement(&[a.clone(), b.clone()]), Some(1));
    window.confirm_announcement(1);
    assert!(window.record_order("a", now));
    assert_eq!(window.required_announcement(&[a.clone(), b.clone(), c.clone()], now), None);
    // A new box is announced together with all others.
    let with_new = window.required_announcement(&["d".to_owned()], now).unwrap();
    assert!(with_new.is_superset(&every));

    // The store is fast again: boxes ordered lately stay announced, the others need an announcement
    // again.
    let announcement = window.set_pre_announced(HashSet::new(), now).unwrap();
    assert_eq!(announcement, HashSet::from([a.clone()]));
    window.start_announcement(2, announcement);
    assert!(
        window.required_announcement(from_ref(&b), now).is_some(),
        "the store may no longer list it"
    );
    assert_eq!(window.required_announcement(&[a], now), None, "the store lists it in either case");
    window.confirm_announcement(2);
    assert!(window.required_announcement(&[b], now).is_some());
}

/// Guards against ordering boxes of a replaced announcement: an unanswered announcement may take
/// effect at any time and replace the previous one, so a successor may not read the boxes of the
/// previous one.
#[test]
fn boxes_of_a_replaced_announcement_are_announced_again() {
    let now = clock::now();
    let (a, b) = ("a".to_owned(), "b".to_owned());
    let window = OrderWindow::new(GAP, only([]), now);
    window.start_announcement(1, HashSet::from([a.clone()]));
    window.confirm_announcement(1);
    window.start_announcement(2, HashSet::from([b.clone()]));
    assert!(window.required_announcement(from_ref(&a), now).is_some());
    // An answer to an earlier announcement does not confirm a later one.
    window.confirm_announcement(1);
    assert!(window.required_announcement(from_ref(&b), now).is_some());
    window.confirm_announcement(2);
    assert!(window.required_announcement(&[b], now).is_none());
    assert!(window.required_announcement(&[a], now).is_some());
}

/// Simulates rounds of orders every 150 ms for 8 s, each of which wants one more box. The store
/// takes one write at a time, in 10 ms, or in 350 ms while in `slow_times`. Returns the longest time
/// in milliseconds that a box waited.
fn longest_wait(slow_times: std::ops::Range<u64>, in_advance: bool) -> u64 {
    const ROUND_MS: u64 = 150;
    let started_at = clock::now();
    let at = |ms: u64| started_at + Duration::from_millis(ms);
    let window = OrderWindow::new(GAP, only([]), started_at);
    let every: HashSet<String> = (0..60).map(|number| format!("m{number}")).collect();
    let mut latency = StoreLatency::default();
    // The last announcement made, the last one confirmed by the store, and the write under way:
    // until when, and up to which announcement. Announcements made meanwhile go into the next
    // write.
    let (mut last_started, mut last_confirmed, mut write_under_way) = (0, 0, None);
    let mut wanted: Vec<(u64, String)> = Vec::new();
    let mut longest = 0;
    for now in (0..9_000).step_by(10) {
        if let Some((_, number)) = write_under_way.take_if(|(until, _)| *until <= now) {
            last_confirmed = number;
            window.confirm_announcement(number);
            latency.finish_change(at(now));
        }
        if now % ROUND_MS == 0 && now < 8_000 {
            wanted.push((now, format!("m{}", now / ROUND_MS)));
            let boxes =
                if in_advance && latency.is_slow(at(now)) { every.clone() } else { HashSet::new() };
            if let Some(all) = window.set_pre_announced(boxes, at(now)) {
                last_started += 1;
                window.start_announcement(last_started, all);
            }
            let ids: Vec<String> = wanted.iter().map(|(_, id)| id.clone()).collect();
            let missing = window.required_announcement(&ids, at(now));
            if let Some(all) = missing.filter(|_| window.pending_announcement(&ids).is_none()) {
                last_started += 1;
                window.start_announcement(last_started, all);
            }
        }
        if write_under_way.is_none() && last_started > last_confirmed {
            latency.start_change(at(now));
            write_under_way =
                Some((now + if slow_times.contains(&now) { 350 } else { 10 }, last_started));
        }
        wanted.retain(|(since, id)| {
            let may_order =
                window.required_announcement(std::slice::from_ref(id), at(now)).is_none();
            if may_order {
                window.record_order(id, at(now));
                longest = longest.max(now - since);
            }
            !may_order
        });
    }
    longest
}

/// A rise of load while the store is slow from 2 s to 7 s: once all boxes are announced no order
/// waits, so the longest wait is that of the first announcements. Without announcing in advance
/// each round waits for its own.
#[test]
fn with_a_slow_store_boxes_wait_only_for_the_first_announcements() {
    assert!(longest_wait(0..0, true) <= 150);
    let (with, without) = (longest_wait(2_000..7_000, true), longest_wait(2_000..7_000, false));
    println!("longest wait {with} ms, {without} ms without");
    assert!(with <= 1_050, "{with} ms");
    assert!(without > 2 * with, "{without} ms without, {with} ms with");
}

/// Guards against an order of a lost scheduler that is carried out late, while its successor has as
/// many other boxes down as may be: the successor of the successor must know of it, too.
#[test]
fn boxes_that_a_late_order_may_reach_stay_announced_until_they_are_ordered() {
    let now = clock::now();
    // The node of the lost scheduler is back, and holds no boxes.
    let window = OrderWindow::new(GAP, only([]), now);
    window.set_inherited(["a".to_owned(), "b".to_owned()].into());
    let later = now + GAP * 2;
    assert_eq!(window.unsettled(later), ["a".to_owned(), "b".to_owned()].into());
    let announced = window.required_announcement(&["c".to_owned()], later).unwrap();
    assert_eq!(announced, ["a", "b", "c"].map(str::to_owned).into());
    window.settle("a");
    let announced = window.required_announcement(&["c".to_owned()], later).unwrap();
    assert_eq!(announced, ["b", "c"].map(str::to_owned).into());
}
