//! Workers that keep their id across a restart, with real daemons on the stand-in platform.
//!
//! Such a worker has lost its state, and its clock and the numbers of its ends start again. Guards
//! against tasks that were done and run again, and against accepted jobs that make no progress
//! although workers have free resources. Both happen if the scheduler keys a worker's state by the
//! id alone, and so applies the state of one incarnation to the next.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Options;
use spokelift_testutils::platform::site::Site;
use spokelift_testutils::platform::store;
use spokelift_testutils::platform::worker::Fault;
use spokelift_testutils::platform::worker::LATE_START_DELAY;
use spokelift_testutils::platform::worker::StartOptions;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// Pause before the next incarnation starts.
const RESTART_PAUSE: Duration = Duration::from_millis(700);
/// How far the clock of an incarnation is ahead of its predecessor's, in milliseconds.
const CLOCK_ADVANCE_MS: u64 = 60_000;

/// A job of one step whose tasks run for `millis` milliseconds each.
fn job(tasks: u32, millis: u32) -> Value {
    let step = json!({ "count": tasks, "cpu": 500, "memMb": 100, "estimateMs": millis });
    json!({ "spec": format!("ms={millis} cpu=500 mem=100"), "steps": [step] })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

/// A site with one worker that has reported `ends` ends, some of which its scheduler has
/// acknowledged.
async fn start_site_with_ends(ends: u32) -> Site {
    let site = Site::start(PROGRAM, 1, 1, 0).await.unwrap();
    site.submit_until_accepted(&id(1), job(ends, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site
}

/// Options of an incarnation whose clock is ahead of its predecessor's.
fn with_clock_ahead(site: &Site) -> StartOptions {
    let predecessor = site.machines.worker("m-0").expect("the machine has a worker");
    StartOptions { clock_ms: predecessor.clock_ms() + CLOCK_ADVANCE_MS, ..StartOptions::default() }
}

/// Guards against restarting a task one or two polls after it was done on a later incarnation. Its
/// end has a number that the earlier incarnation reported, so it counts as received, and the next
/// poll acknowledges it without its being processed. The log shows `another incarnation answers
/// under this id` with `last_end=0 last_end_before=12`, and two starts of one task 2.4 s apart.
#[tokio::test]
async fn a_task_done_on_a_later_incarnation_is_not_started_again() {
    let site = start_site_with_ends(12).await;
    site.machines.restart("m-0", RESTART_PAUSE, with_clock_ahead(&site)).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
    assert_eq!(site.ledger.starts_of(&id(2)), 4);
}

/// Guards against a later incarnation whose answers are all ignored, so that its tasks make no
/// progress. Its clock is behind that of the earlier one, so each of its answers counts as
/// outdated. The log shows `another incarnation answers under this id` with `clock=900
/// clock_before=5200`, and nothing of the worker after it.
#[tokio::test]
async fn answers_of_a_later_incarnation_count_if_its_clock_is_behind() {
    let site = start_site_with_ends(4).await;
    site.machines.restart("m-0", RESTART_PAUSE, with_clock_ahead(&site)).await;
    site.submit_until_accepted(&id(2), job(8, 100)).await;
    site.wait_until("tasks run", async |site| site.ledger.starts_of(&id(2)) > 0).await;
    let options = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", RESTART_PAUSE, options).await;
    site.submit_until_accepted(&id(3), job(4, 100)).await;
    site.wait_until_succeeded(&id(3)).await;
    assert_eq!(site.ledger.starts_of(&id(3)), 4);
}

/// As above, with an incarnation that starts at once, so that no poll fails, and tasks that run on
/// the earlier one.
#[tokio::test]
async fn tasks_of_an_earlier_incarnation_run_again_and_hold_no_resources() {
    let site = start_site_with_ends(4).await;
    site.submit_until_accepted(&id(2), job(16, 1_500)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 16).await;
    let options = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", Duration::ZERO, options).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
    assert_eq!(site.ledger.starts_of(&id(2)), 32);
}

/// The time of day of the machine was set back in between, so the later incarnation reports an
/// earlier birth time.
#[tokio::test]
async fn a_later_incarnation_may_report_an_earlier_birth_time() {
    let site = start_site_with_ends(12).await;
    let options = with_clock_ahead(&site);
    let options = StartOptions { birth_ms: options.birth_ms - 3_600_000, ..options };
    site.machines.restart("m-0", RESTART_PAUSE, options).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
}

/// Guards against a worker that is never called again: the entry of a known id updates everything
/// about the worker but its address.
#[tokio::test]
async fn a_later_incarnation_is_called_at_its_own_address() {
    let site = start_site_with_ends(4).await;
    let options = StartOptions { reuses_address: false, ..with_clock_ahead(&site) };
    site.machines.restart("m-0", RESTART_PAUSE, options).await;
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
}

/// Guards against a task that runs twice at once. The run of a start without an answer is stopped
/// at the incarnation that the start was sent to, and the task is started elsewhere. If the start
/// is executed late, the next incarnation executes it, which has not received the stop.
#[tokio::test]
async fn a_start_executed_late_has_no_effect_on_a_later_incarnation() {
    let site = Site::start(PROGRAM, 1, 2, 0).await.unwrap();
    let worker = site.machines.worker("m-0").unwrap();
    let other = site.machines.worker("m-1").unwrap();
    // Only the first worker has free resources, so the start goes there.
    other.set_cpu(0, true);
    sleep(Duration::from_millis(900)).await;
    worker.set_fault(Fault::LateStarts);
    site.submit_until_accepted(&id(1), job(1, 6_000)).await;
    let submitted_at = Instant::now();
    sleep(RESTART_PAUSE).await;
    other.set_cpu(8_000, true);
    site.wait_until("it is started elsewhere", async |site| site.ledger.running_tasks(&id(1)) == 1)
        .await;
    let options = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", Duration::ZERO, options).await;
    sleep((LATE_START_DELAY + RESTART_PAUSE).saturating_sub(submitted_at.elapsed())).await;
    site.assert_no_violations();
    site.wait_until_succeeded(&id(1)).await;
    site.assert_no_violations();
    assert_eq!(site.ledger.starts_of(&id(1)), 1);
}

/// A worker restarts during a takeover: the next leader knows it from the stored records of its
/// earlier incarnation.
#[tokio::test]
async fn a_later_incarnation_during_a_takeover_is_distinguished_from_the_earlier_one() {
    let site = Site::start(PROGRAM, 2, 2, 0).await.unwrap();
    site.submit_until_accepted(&id(1), job(16, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site.submit_until_accepted(&id(2), job(16, 2_000)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 16).await;
    let leader = site.leader().expect("there is a leader");
    site.nodes[leader].signal(Signal::SIGKILL).unwrap();
    let options = StartOptions { clock_ms: 10, ..StartOptions::default() };
    site.machines.restart("m-0", RESTART_PAUSE, options).await;
    site.wait_until_succeeded(&id(2)).await;
    site.submit_until_accepted(&id(3), job(16, 50)).await;
    site.wait_until_succeeded(&id(3)).await;
    site.assert_no_violations();
}

/// Dispatchers on other nodes distinguish incarnations as the leader's own dispatcher does.
#[tokio::test]
async fn remote_dispatchers_distinguish_later_incarnations_from_earlier_ones() {
    let options = Options { workers_per_shard: Some(1), ..Options::new(3, 4) };
    let site = Site::start_with(PROGRAM, options).await.unwrap();
    site.submit_until_accepted(&id(1), job(40, 50)).await;
    site.wait_until_succeeded(&id(1)).await;
    site.submit_until_accepted(&id(2), job(40, 1_500)).await;
    site.wait_until("tasks run", async |site| site.ledger.running_tasks(&id(2)) == 40).await;
    // Tasks that have run for a while are not suspected of crashing their workers.
    sleep(Duration::from_millis(400)).await;
    let restarts = [10, 50_000, 10, 50_000].into_iter().enumerate().map(|(number, clock_ms)| {
        let options =
            StartOptions { clock_ms, reuses_address: number < 2, ..StartOptions::default() };
        let machines = site.machines.clone();
        async move { machines.restart(&format!("m-{number}"), RESTART_PAUSE, options).await }
    });
    join_all(restarts).await;
    site.wait_until_succeeded(&id(2)).await;
    site.submit_until_accepted(&id(3), job(40, 50)).await;
    site.wait_until_succeeded(&id(3)).await;
    site.assert_no_violations();
}

/// The machine list contains only ids, so a box that is back from maintenance is listed as before.
#[tokio::test]
async fn a_wave_ends_if_boxes_return_with_the_same_worker_ids() {
    let site = Site::start(PROGRAM, 2, 4, 0).await.unwrap();
    site.machines.reuse_ids();
    let long_running_step = json!({ "count": 4, "cpu": 500, "memMb": 100, "estimateMs": 100, "longRunning": true, "may_miss": 2 });
    site.submit_until_accepted(
        &id(1),
        json!({ "spec": "cpu=500 mem=100", "steps": [long_running_step] }),
    )
    .await;
    site.wait_until("its tasks run", async |site| site.ledger.running_tasks(&id(1)) == 4).await;
    let machines: Vec<String> = (0..4).map(|number| format!("m-{number}")).collect();
    site.request_wave(7, &machines, 1);
    site.wait_until("the wave has succeeded", async |site| site.has_wave_succeeded(7)).await;
    assert_eq!(site.machines.maintenance_counts(7), (4, 1));
    site.wait_until("its tasks run", async |site| site.ledger.running_tasks(&id(1)) == 4).await;
    site.submit_until_accepted(&id(2), job(8, 50)).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
}

/// The entry of a later incarnation cannot be read for a while, so the scheduler knows of it only
/// from its answers.
#[tokio::test]
async fn a_later_incarnation_gets_no_work_until_its_entry_can_be_read() {
    let site = start_site_with_ends(12).await;
    site.nodes[0].store_endpoint.set_fault(store::Fault::Unresponsive);
    site.machines.restart("m-0", RESTART_PAUSE, with_clock_ahead(&site)).await;
    sleep(RESTART_PAUSE).await;
    site.nodes[0].store_endpoint.set_fault(store::Fault::None);
    site.submit_until_accepted(&id(2), job(4, 100)).await;
    site.wait_until_succeeded(&id(2)).await;
    site.assert_no_violations();
    assert_eq!(site.ledger.starts_of(&id(2)), 4);
}
