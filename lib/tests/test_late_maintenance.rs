//! Orders for maintenance that an earlier scheduler gave without an answer, and that may be carried
//! out late.
//!
//! Guards against more boxes down than a wave allows: the scheduler is lost right after such an
//! order, its successor orders as many other boxes as may be down, and then the late one goes down
//! as well.

use std::collections::HashSet;
use std::time::Duration;

use spokelift_lib::batch::cell::Cell;
use spokelift_lib::batch::maintenance::plan;
use spokelift_lib::batch::maintenance::progress::MachinesById;
use spokelift_lib::batch::maintenance::progress::WaveProgress;
use spokelift_lib::transport::clock;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status;
use spokelift_platform::wave::Wave;
use spokelift_testutils::batch;

const BOXES: [&str; 6] = ["m0", "m1", "m2", "m3", "m4", "m5"];
const MAX_ORDERS: usize = 10;

fn set<const N: usize>(ids: [&str; N]) -> HashSet<MachineId> {
    ids.map(str::to_owned).into()
}

/// The boxes that a scheduler orders for a wave, while an earlier one may have ordered others.
fn ordered(max_down: usize, unsettled: HashSet<MachineId>) -> HashSet<MachineId> {
    ordered_beside(max_down, unsettled, &[])
}

/// The same while these boxes are down.
fn ordered_beside(
    max_down: usize,
    unsettled: HashSet<MachineId>,
    down: &[&str],
) -> HashSet<MachineId> {
    let now = clock::now();
    let mut cell = Cell::new(10);
    let boxes = BOXES.map(|name| batch::machine(name, Status::Up, None));
    let listed: MachinesById<'_> =
        boxes.iter().map(|machine| (machine.id.as_str(), machine)).collect();
    let duration = Duration::from_secs(20);
    let machines = BOXES.map(str::to_owned).to_vec();
    let wave = Wave { number: 7, machines, duration, max_down };
    let mut progress = WaveProgress::new(wave, HashSet::new(), Duration::ZERO, now);
    progress.set_unsettled(&unsettled);
    down.iter().for_each(|id| progress.mark_down(id, None, now));
    let taken = HashSet::new();
    plan::plan_round(&mut cell, &mut progress, &listed, &taken, MAX_ORDERS, now)
        .into_iter()
        .collect()
}

#[test]
fn a_box_that_a_late_order_may_reach_counts_as_down_and_is_ordered_first() {
    assert_eq!(ordered(1, set(["m4"])), set(["m4"]));
    let two = ordered(2, set(["m4"]));
    assert!(two.len() == 2 && two.contains("m4"), "{two:?}");
    assert_eq!(ordered(2, set(["m3", "m4"])), set(["m3", "m4"]));
}

/// Guards against more boxes down than a wave allows: the earlier scheduler had announced a box that it
/// could not order any more, since as many as may be were down.
#[test]
fn a_box_that_a_late_order_may_reach_is_not_ordered_beside_too_many_others() {
    assert_eq!(ordered_beside(1, set(["m4"]), &["m0"]), set([]));
    assert_eq!(ordered_beside(2, set(["m4"]), &["m0"]), set(["m4"]));
    assert_eq!(ordered_beside(2, set(["m3", "m4"]), &["m0"]), set([]));
}

#[test]
fn boxes_of_other_waves_and_boxes_announced_in_advance_do_not_count() {
    assert_eq!(ordered(2, set([])).len(), 2);
    assert_eq!(ordered(2, set(["m9"])).len(), 2);
    assert_eq!(ordered(2, set(BOXES)).len(), 2);
}
