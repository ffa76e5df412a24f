//! Workers that start again under the id that they had, with real daemons on the stand-in of the users' platform.
//!
//! What happens: such a worker holds and knows nothing of before, and its clock and the numbers of its ends start anew.
//! Callers saw tasks that were done and were run again, and accepted jobs that stood still while workers had room.
//! Why: everything that was kept about a worker was kept by its id, and so outlived the life that it was about.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::store;
use spokelift_testutils::platform::worker::Fault;
use spokelift_testutils::platform::worker::LATE_START_DELAY;
use spokelift_testutils::platform::worker::StartOptions;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// How long a life that begins after a pause is awaited.
const PAUSE: Duration = Duration::from_millis(700);
/// By how much the clock of a life is ahead of the one before, in milliseconds.
const AHEAD: u64 = 60_000;

/// A job of one step; each task runs for `millis`.
fn job(tasks: u32, millis: u32) -> Value {
    let step = json!({ "count": tasks, "cpu": 500, "memMb": 100, "estimateMs": millis });
    json!({ "spec": format!("ms={millis} cpu=500 mem=100"), "steps": [step] })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn assert_sound(site: &Site) {
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// A site with one worker that has told of so many ends, some of which its scheduler has acknowledged.
async fn site_after(ends: u32) -> Site {
    let site = Site::start(PROGRAM, 1, 1, 0).await.unwrap();
    site.submit_until_accepted(&id(1), job(ends, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site
}

/// A later life whose clock is ahead of the one before.
fn ahead(site: &Site) -> StartOptions {
    let before = site.machines.worker("m-0").expect("a worker lives there");
    StartOptions { clock_ms: before.clock_ms() + AHEAD, ..StartOptions::default() }
}

/// What happens: a task is done on a later life, and is started again there after one or two looks.
/// Why: its end has a number that the earlier life had told, so it counts as heard, and the next look acknowledges it.
/// Shown by: `another life answers under this id ... last_end=0 last_end_before=12`, `start ... run=1` and `run=2`
/// of one task 2.4 s apart.
#[tokio::test]
async fn a_task_that_a_later_life_has_done_is_not_started_again() {
    let site = site_after(12).await;
    site.machines.restart("m-0", PAUSE, ahead(&site)).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
    assert_eq!(site.ledger.starts_of(&id(2)), 4);
}

/// What happens: nothing on a later life is ever heard of, and what it is given stands still.
/// Why: its clock is behind that of the earlier one, so each of its answers counts as one that was overtaken.
/// Shown by: `another life answers under this id ... clock=900 clock_before=5200`, no line after it.
#[tokio::test]
async fn a_later_life_whose_clock_is_behind_is_heard() {
    let site = site_after(4).await;
    site.machines.restart("m-0", PAUSE, ahead(&site)).await;
    site.submit_until_accepted(&id(2), job(8, 100)).await;
    site.wait_until("tasks run", async |site| site.ledger.starts_of(&id(2)) > 0).await;
    let birth = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", PAUSE, birth).await;
    site.submit_until_accepted(&id(3), job(4, 100)).await;
    site.wait_until_succeeded(&id(3)).await;
    assert_eq!(site.ledger.starts_of(&id(3)), 4);
}

/// The same where the later life begins at once, so that no look fails, beside tasks that ran on the earlier one.
#[tokio::test]
async fn what_ran_on_an_earlier_life_is_run_again_and_holds_no_room() {
    let site = site_after(4).await;
    site.submit_until_accepted(&id(2), job(16, 1_500)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 16).await;
    let birth = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", Duration::ZERO, birth).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
    assert_eq!(site.ledger.starts_of(&id(2)), 32);
}

/// Its time of day was set back meanwhile, so that the later life says that it is the older one.
#[tokio::test]
async fn a_later_life_may_be_born_before_the_earlier_one_by_its_own_account() {
    let site = site_after(12).await;
    let birth = ahead(&site);
    let birth = StartOptions { birth_ms: birth.birth_ms - 3_600_000, ..birth };
    site.machines.restart("m-0", PAUSE, birth).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
}

/// What happens: the worker is never called again. Why: the entry of a known id changed what was known of the worker,
/// but not the address at which it is called.
#[tokio::test]
async fn a_later_life_is_called_where_it_is() {
    let site = site_after(4).await;
    let birth = StartOptions { reuses_address: false, ..ahead(&site) };
    site.machines.restart("m-0", PAUSE, birth).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
}

/// What happens: a task runs twice at once. Why: a start that had no answer is stopped at the life that it was sent to,
/// and its task is started elsewhere; carried out late, the order meets the next life, which knows of no stop.
#[tokio::test]
async fn a_start_that_is_carried_out_late_does_nothing_at_a_later_life() {
    let site = Site::start(PROGRAM, 1, 2, 0).await.unwrap();
    let worker = site.machines.worker("m-0").unwrap();
    let other = site.machines.worker("m-1").unwrap();
    // Only the first worker has room, so the start goes there.
    other.set_cpu(0, true);
    sleep(Duration::from_millis(900)).await;
    worker.set_fault(Fault::LateStarts);
    site.submit_until_accepted(&id(1), job(1, 6_000)).await;
    let sent = Instant::now();
    sleep(PAUSE).await;
    other.set_cpu(8_000, true);
    site.wait_until("it is started elsewhere", async |site| site.ledger.running_tasks(&id(1)) == 1)
        .await;
    let birth = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", Duration::ZERO, birth).await;
    sleep((LATE_START_DELAY + PAUSE).saturating_sub(sent.elapsed())).await;
    assert_sound(&site);
    site.wait_until_succeeded(&id(1)).await;
    assert_sound(&site);
    assert_eq!(site.ledger.starts_of(&id(1)), 1);
}

/// A worker starts again while the lead passes on: the next scheduler knows it by what the store has of its earlier life.
#[tokio::test]
async fn a_later_life_beside_a_takeover_is_told_from_the_one_before() {
    let site = Site::start(PROGRAM, 2, 2, 0).await.unwrap();
    site.submit_until_accepted(&id(1), job(16, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site.submit_until_accepted(&id(2), job(16, 2_000)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 16).await;
    let leader = site.leader().expect("a node schedules");
    site.nodes[leader].signal(Signal::SIGKILL).unwrap();
    let birth = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", PAUSE, birth).await;
    site.wait_until_succeeded(&id(2)).await;
    site.submit_until_accepted(&id(3), job(16, 50)).await;
    site.wait_until_succeeded(&id(3)).await;
    assert_sound(&site);
}

/// Carriers on other nodes tell lives apart as the scheduler's own one does.
#[tokio::test]
async fn later_lives_are_told_from_the_ones_before_by_carriers_on_other_nodes() {
    let site = Site::start_sharded(PROGRAM, 3, 4, 0, 1).await.unwrap();
    site.submit_until_accepted(&id(1), job(40, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site.submit_until_accepted(&id(2), job(40, 1_500)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 40).await;
    // Tasks that have run for a while are not taken to have brought down their workers.
    sleep(Duration::from_millis(400)).await;
    let births = [10, 50_000, 10, 50_000].into_iter().enumerate().map(|(number, clock_ms)| {
        let birth =
            StartOptions { clock_ms, reuses_address: number < 2, ..StartOptions::default() };
        let machines = site.machines.clone();
        async move { machines.restart(&format!("m-{number}"), PAUSE, birth).await }
    });
    join_all(births).await;
    site.wait_until_succeeded(&id(2)).await;
    site.submit_until_accepted(&id(3), job(40, 50)).await;
    site.wait_until_succeeded(&id(3)).await;
    assert_sound(&site);
}

/// The list of boxes names ids only, so a box that is back from its upkeep is listed as it was before.
#[tokio::test]
async fn a_wave_ends_where_boxes_come_back_with_the_ids_that_they_had() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    site.machines.reuse_ids();
    let lasting = json!({ "count": 4, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": true, "may_miss": 2 });
    site.submit_until_accepted(&id(1), json!({ "spec": "cpu=500 mem=100", "steps": [lasting] }))
        .await;
    site.wait_until("its tasks run", async |site| site.ledger.running_tasks(&id(1)) == 4).await;
    let machines: Vec<String> = (0..4).map(|number| format!("m-{number}")).collect();
    site.request_wave(7, &machines, 1);
    site.wait_until("the wave is over", async |site| site.has_wave_succeeded(7)).await;
    assert_eq!(site.machines.maintenance_counts(7), (4, 1));
    site.wait_until("its tasks run", async |site| site.ledger.running_tasks(&id(1)) == 4).await;
    site.submit_until_accepted(&id(2), job(8, 50)).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
}

/// What a later life says of itself in the store is not read for a while; its answers alone tell that it is there.
#[tokio::test]
async fn a_later_life_whose_entry_cannot_be_read_is_known_and_takes_no_work_until_it_can() {
    let site = site_after(12).await;
    site.nodes[0].store_endpoint.set_fault(store::Fault::Unresponsive);
    site.machines.restart("m-0", PAUSE, ahead(&site)).await;
    sleep(PAUSE).await;
    site.nodes[0].store_endpoint.set_fault(store::Fault::None);
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    assert_sound(&site);
    assert_eq!(site.ledger.starts_of(&id(2)), 4);
}
