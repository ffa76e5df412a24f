//! Waves of upkeep beside tasks that last, with real daemons on the stand-in of the users' platform.

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use spokelift_testutils::platform::site::Site;
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_spokeliftd");
/// How long a task that lasts may be away, by the platform's pages.
const MOST_AWAY: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(50);

/// A job whose tasks of so many thousandths of a core run until it is cancelled; one of them may be away.
fn lasting(tasks: u32, cpu: u32, memory: u32) -> Value {
    json!({
        "spec": format!("cpu={cpu} mem={memory}"),
        "steps": [{
            "count": tasks, "cpu": cpu, "memMb": memory, "estimateMs": 100, "longRunning": true, "may_miss": 1,
        }],
    })
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn machines(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("m-{number}")).collect()
}

/// Watches a job whose tasks last until something holds, and that no task is away for too long.
async fn watch(site: &Site, job: &str, holds: impl AsyncFn(&Site) -> bool) {
    let until = Instant::now() + Duration::from_secs(60);
    while !holds(site).await {
        if let Some((task, time)) = site.ledger.longest_not_running(job) {
            assert!(time <= MOST_AWAY, "{task} is away for {time:?}");
        }
        assert!(Instant::now() < until, "not within a minute");
        sleep(PAUSE).await;
    }
}

/// What happens: a box is being emptied for upkeep. The first of its tasks is moved off, finds no room elsewhere and
/// waits; its step may miss no second one, so the others stay, and the box is never empty. Nothing may be placed on a
/// box that is being emptied, so the task waited beside its own room for the rest of the day.
/// Why: a move off began without anywhere to go, and the box was kept from work whether or not that was of use.
/// Shown by: `moves off` for a task, no `start` after it; its box never ordered; ten of 48 boxes closed in that way
/// 20 s after their wave was over, with 140 and 84 cores of tasks waiting in two services.
#[tokio::test]
async fn a_task_is_not_moved_off_where_it_has_nowhere_to_go() {
    let site = Site::start(PROGRAM, 1, 2, 0).await.unwrap();
    let job = id(1);
    site.submit_until_accepted(&job, lasting(14, 1_000, 100)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 14).await;
    // The fuller box has no room left, so what is on the other one has nowhere to go.
    site.request_wave(7, &machines(2), 1);
    let asked_at = Instant::now();
    watch(&site, &job, async |_| asked_at.elapsed() > Duration::from_secs(12)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 14).await;
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// The same where processor is free elsewhere, and memory is not.
#[tokio::test]
async fn a_task_is_not_moved_off_where_only_its_processor_fits() {
    let site = Site::start(PROGRAM, 1, 2, 0).await.unwrap();
    let job = id(1);
    site.submit_until_accepted(&job, lasting(14, 100, 1_000)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 14).await;
    site.request_wave(7, &machines(2), 1);
    let asked_at = Instant::now();
    watch(&site, &job, async |_| asked_at.elapsed() > Duration::from_secs(12)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 14).await;
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// What happens: as above, and boxes stand in the reserve. What runs on a box that is being emptied needs room
/// elsewhere, and nobody asked for it, since such a box counted neither as room nor as use.
#[tokio::test]
async fn a_box_is_fetched_for_what_a_wave_moves_off() {
    let site = Site::start(PROGRAM, 1, 2, 1).await.unwrap();
    let job = id(1);
    site.submit_until_accepted(&job, lasting(15, 1_000, 100)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 15).await;
    site.request_wave(7, &machines(2), 1);
    watch(&site, &job, async |site| site.has_wave_succeeded(7)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 15).await;
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// What happens: a box that leaves refuses its upkeep as busy. It was ordered again in each round, every 0.17 s for
/// the rest of the day, and held its place among those under way, so that others were late.
/// Shown by: `upkeep refused ... reason "busy"` 115 times in 50 s, 91 of them for one box.
#[tokio::test]
async fn a_box_that_refuses_its_upkeep_holds_up_no_other_and_is_seldom_asked() {
    let site = Site::start(PROGRAM, 1, 4, 0).await.unwrap();
    site.machines.refuse_as_busy("m-0");
    site.request_wave(7, &machines(4), 1);
    site.wait_until("the others are done", async |site| site.machines.maintenance_counts(7).0 == 3)
        .await;
    site.wait_until("it is asked again", async |site| site.machines.refused_orders("m-0") >= 3)
        .await;
    let (before, begun) = (site.machines.refused_orders("m-0"), Instant::now());
    sleep(Duration::from_secs(4)).await;
    let asked = site.machines.refused_orders("m-0") - before;
    assert!(asked <= 4, "asked {asked} times in {:?}", begun.elapsed());
}

/// The scheduler is lost or stopped again and again while a wave goes on: no task that lasts is away for long, and
/// the wave is done.
#[tokio::test]
async fn a_wave_passes_from_scheduler_to_scheduler_and_loses_no_task() {
    let site = Site::start(PROGRAM, 3, 6, 2).await.unwrap();
    let job = id(1);
    site.submit_until_accepted(&job, lasting(20, 1_000, 100)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 20).await;
    site.request_wave(7, &machines(6), 2);
    for signal in [Signal::SIGTERM, Signal::SIGKILL, Signal::SIGTERM] {
        let leads =
            async |site: &Site| site.leader().is_some_and(|node| site.nodes[node].is_running());
        watch(&site, &job, leads).await;
        let begun = Instant::now();
        watch(&site, &job, async |_| begun.elapsed() > Duration::from_millis(2_500)).await;
        let node = &site.nodes[site.leader().unwrap()];
        node.signal(signal).unwrap();
        watch(&site, &job, async |_| !node.is_running()).await;
        node.start().unwrap();
    }
    watch(&site, &job, async |site| site.has_wave_succeeded(7)).await;
    site.wait_until("all tasks run", async |site| site.ledger.running_tasks(&job) == 20).await;
    let (begun, most_down) = site.machines.maintenance_counts(7);
    assert_eq!(begun, 6);
    assert!(most_down <= 2, "{most_down} machines were down at once");
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}
