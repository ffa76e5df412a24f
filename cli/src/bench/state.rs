//! Benchmark of the replicated state at four sizes: records applied a second, memory, snapshots,
//! time to ready, and the cost of the control plane for a daemon. The baseline is a full replay
//! with one record for each change.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use serde::Serialize;
use spokelift_lib::metrics::Totals;
use spokelift_lib::protocol::api::Published;
use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::protocol::call::HEALTH;
use spokelift_lib::protocol::wire::derive_key;
use spokelift_lib::protocol::worker::Status;
use spokelift_lib::settings::Settings;
use spokelift_lib::state::account::hash_secret;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fold::MAX_VERDICTS;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Record;
use spokelift_lib::state::snapshot;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use spokelift_testutils::boxes::Boxes;
use spokelift_testutils::daemon::Daemon;
use spokelift_testutils::log::Log;
use spokelift_testutils::proxy::Link;
use spokelift_testutils::proxy::Proxy;
use spokelift_testutils::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::args::BenchState;
use crate::bench::generate::History;
use crate::bench::generate::Size;
use crate::bench::probe;
use crate::bench::slope::Slope;
use crate::bench::slope::fit_line;
use crate::client::Client;
use crate::error::Error;
use crate::output::pairs;

/// Number of daemons of a site.
const DAEMONS: u16 = 6;
/// Batches between two snapshots; the default of the daemons.
const SNAPSHOT_EVERY: usize = 2000;
/// Seconds between two snapshots; the default of the daemons.
const SNAPSHOT_PERIOD_S: f64 = 600.0;
/// Time for which the control plane is measured without changes, and again with them.
const MEASURE_TIME: Duration = Duration::from_secs(6);
/// Changes published during the second of these measurements.
const LIVE_CHANGES: usize = 30;
/// Secret of the site operator.
const SECRET: &str = "bench-site-secret";
const DAY_S: f64 = 86_400.0;
/// Seconds between two maintenances of a box: five weeks.
const MAINTENANCE_PERIOD_S: f64 = 35.0 * DAY_S;
/// Failures of a box in a day: 41 among 6,400 boxes.
const FAILURES_PER_BOX_DAY: f64 = 41.0 / 6400.0;
/// Timeout of the start of a daemon.
const READY_TIMEOUT: Duration = Duration::from_secs(120);

/// Results for one size.
#[derive(Clone, Debug, Serialize)]
struct Row {
    boxes: u32,
    pools: u32,
    accounts: u32,
    changes: u32,
    records: usize,
    apply_per_s: f64,
    wave_apply_per_s: f64,
    snapshot_bytes: usize,
    encode_ms: f64,
    fleet_mb: f64,
    ready_ms: f64,
    resident_mb: f64,
    baseline_ready_ms: f64,
    control: Control,
}

/// Mean encoded size of each kind of object in bytes, at the largest size.
#[derive(Clone, Copy, Debug, Serialize)]
struct ObjectBytes {
    account: f64,
    pool: f64,
    service: f64,
    placed_box: f64,
    plan_step: f64,
    verdict: f64,
}

impl ObjectBytes {
    fn measure(fleet: &Fleet) -> ObjectBytes {
        let steps = fleet.plans.values().map(|plan| plan.steps.len()).sum::<usize>();
        ObjectBytes {
            account: bytes_per_object(&fleet.accounts, fleet.accounts.len()),
            pool: bytes_per_object(&fleet.pools, fleet.pools.len()),
            service: bytes_per_object(&fleet.services, fleet.services.len()),
            placed_box: bytes_per_object(&fleet.boxes, fleet.boxes.len()),
            plan_step: bytes_per_object(&fleet.plans, steps),
            verdict: bytes_per_object(&fleet.verdicts, fleet.verdicts.len()),
        }
    }
}

fn bytes_per_object<T: Serialize>(objects: &T, count: usize) -> f64 {
    let bytes = postcard::experimental::serialized_size(objects).unwrap_or(0);
    bytes as f64 / count.max(1) as f64
}

/// Cost of the control plane for one daemon.
#[derive(Clone, Copy, Debug, Serialize)]
struct Control {
    idle_bytes_per_s: f64,
    idle_peer_bytes_per_s: f64,
    idle_log_bytes_per_s: f64,
    idle_list_bytes_per_s: f64,
    idle_poll_bytes_per_s: f64,
    bytes_per_poll: f64,
    bytes_per_change: f64,
    idle_core_percent: f64,
    core_ms_per_change: f64,
    appends_per_change: f64,
    config_everywhere_ms: f64,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Slopes {
    snapshot_bytes_per_box: Slope,
    ready_ms_per_box: Slope,
    baseline_ready_ms_per_box: Slope,
    resident_mb_per_box: Slope,
    control_bytes_per_s_per_box: Slope,
    core_percent_per_box: Slope,
    core_ms_per_change_per_box: Slope,
}

#[derive(Clone, Debug, Serialize)]
struct Report {
    boxes: u32,
    pools: u32,
    changes: u32,
    apply_per_s: f64,
    ready_ms: f64,
    snapshot_bytes: usize,
    resident_mb: f64,
    appends_per_s_mean: f64,
    control_bytes_per_s: f64,
    core_percent: f64,
    baseline_ready_ms: f64,
    bytes_each: ObjectBytes,
    control: Control,
    sizes: Vec<Row>,
    slopes: Slopes,
}

/// Measures at four sizes and prints a table, and one line of JSON if requested.
pub fn run(args: &BenchState, json: bool) -> Result<(), Error> {
    check_range("--boxes", args.boxes, 64, 20_000, "64 to 20000")?;
    check_range("--pools", args.pools, 1, 500, "1 to 500")?;
    check_range("--changes", args.changes, 100, 100_000, "100 to 100000")?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(measure(args))?;
    print_report(&report);
    if json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn check_range(
    what: &'static str,
    value: u32,
    min: u32,
    max: u32,
    accepted: &'static str,
) -> Result<(), Error> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(Error::InvalidValue { what, value: value.to_string(), accepted })
}

async fn measure(args: &BenchState) -> Result<Report, Error> {
    let worker_stub = start_worker_stub().await?;
    let mut sizes = Vec::new();
    let mut bytes_each = None;
    for part in [8, 4, 2, 1] {
        let size = Size {
            boxes: args.boxes / part,
            pools: (args.pools / part).max(1),
            changes: args.changes / part,
        };
        let mut history = History::new(size, worker_stub.proxy.addr, "buffer");
        sizes.push(measure_size(size, &mut history, &worker_stub).await?);
        if part == 1 {
            bytes_each = Some(ObjectBytes::measure(&history.fleet));
        }
    }
    let bytes_each = bytes_each.expect("the largest size was measured");
    Ok(build_report(args, sizes, bytes_each))
}

fn build_report(args: &BenchState, sizes: Vec<Row>, bytes_each: ObjectBytes) -> Report {
    let largest = sizes.last().expect("four sizes were measured").clone();
    let control = largest.control;
    let by_boxes =
        |value: fn(&Row) -> f64| fit_line(sizes.iter().map(|row| (row.boxes.into(), value(row))));
    let slopes = Slopes {
        snapshot_bytes_per_box: by_boxes(|row| row.snapshot_bytes as f64),
        ready_ms_per_box: by_boxes(|row| row.ready_ms),
        baseline_ready_ms_per_box: by_boxes(|row| row.baseline_ready_ms),
        resident_mb_per_box: by_boxes(|row| row.resident_mb),
        control_bytes_per_s_per_box: by_boxes(|row| row.control.idle_bytes_per_s),
        core_percent_per_box: by_boxes(|row| row.control.idle_core_percent),
        core_ms_per_change_per_box: by_boxes(|row| row.control.core_ms_per_change),
    };
    let changes_per_s = f64::from(args.changes) / DAY_S;
    let chunks = largest.snapshot_bytes.div_ceil(snapshot::CHUNK_BYTES) as f64;
    let boxes = f64::from(args.boxes);
    let appends_per_s_mean = changes_per_s * control.appends_per_change
        + 2.0 * boxes / MAINTENANCE_PERIOD_S
        + 2.0 * boxes * FAILURES_PER_BOX_DAY / DAY_S
        + (1.0 + chunks) / SNAPSHOT_PERIOD_S;
    // A snapshot is written to the log once and read back by every daemon, in base64.
    let snapshot_bytes_per_s = largest.snapshot_bytes as f64 * 4.0 / 3.0 / SNAPSHOT_PERIOD_S;
    Report {
        boxes: args.boxes,
        pools: args.pools,
        changes: args.changes,
        apply_per_s: largest.apply_per_s,
        ready_ms: largest.ready_ms,
        snapshot_bytes: largest.snapshot_bytes,
        resident_mb: largest.resident_mb,
        appends_per_s_mean,
        control_bytes_per_s: control.idle_bytes_per_s
            + control.bytes_per_change * changes_per_s
            + snapshot_bytes_per_s,
        core_percent: control.idle_core_percent + control.core_ms_per_change * changes_per_s / 10.0,
        baseline_ready_ms: largest.baseline_ready_ms,
        bytes_each,
        control,
        sizes,
        slopes,
    }
}

async fn measure_size(
    size: Size,
    history: &mut History,
    worker_stub: &WorkerStub,
) -> Result<Row, Error> {
    let wave_records = history.append_wave();
    let changes_from = history.batches.len();
    history.append_changes();
    let encoded: Vec<Bytes> = history.batches.iter().map(encode_batch).collect();
    let wave_from = changes_from - wave_records;
    let resident_before = probe::resident_bytes();
    let mut fleet = Fleet::default();
    fold(&mut fleet, &encoded[..wave_from]);
    let wave_apply_per_s =
        measure_rate(wave_records, || fold(&mut fleet, &encoded[wave_from..changes_from]));
    let apply_per_s =
        measure_rate(size.changes as usize, || fold(&mut fleet, &encoded[changes_from..]));
    let fleet_mb = megabytes(probe::resident_bytes().saturating_sub(resident_before));
    assert_eq!(fleet, history.fleet, "folding the same records twice gives different fleets");
    let started_at = Instant::now();
    let state = snapshot::encode(&fleet);
    let encode_ms = millis(started_at.elapsed());
    let tail_from = encoded.len().saturating_sub(SNAPSHOT_EVERY);
    let (ready_ms, resident_mb) = measure_ready(&truncated_log(history, tail_from)).await?;
    let (baseline_ready_ms, _) = measure_ready(&encoded).await?;
    Ok(Row {
        boxes: size.boxes,
        pools: size.pools,
        accounts: size.accounts(),
        changes: size.changes,
        records: encoded.len(),
        apply_per_s,
        wave_apply_per_s,
        snapshot_bytes: state.len(),
        encode_ms,
        fleet_mb,
        ready_ms,
        resident_mb,
        baseline_ready_ms,
        control: measure_control(history, worker_stub).await?,
    })
}

fn encode_batch(batch: &Batch) -> Bytes {
    batch.encode().expect("generated batches are below the limit").into()
}

fn fold(fleet: &mut Fleet, encoded: &[Bytes]) {
    for bytes in encoded {
        let batch = Batch::decode(bytes).expect("batches were encoded by `encode_batch`");
        fleet.apply(fleet.next, &batch);
    }
}

fn measure_rate(count: usize, work: impl FnOnce()) -> f64 {
    let started_at = Instant::now();
    work();
    count as f64 / started_at.elapsed().as_secs_f64()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / (1024.0 * 1024.0)
}

/// The log after truncation up to a snapshot: the mark, the chunks of the snapshot, and the batches
/// after `tail_from`. Empty records stand in for the truncated ones, so that offsets stay the same.
fn truncated_log(history: &History, tail_from: usize) -> Vec<Bytes> {
    let mut fleet = Fleet::default();
    let earlier: Vec<Bytes> = history.batches[..tail_from].iter().map(encode_batch).collect();
    fold(&mut fleet, &earlier);
    let after = fleet.marked;
    let mut log = vec![Bytes::new(); tail_from];
    let mark = Batch {
        writer: 98,
        incarnation: 1,
        sequence: 1,
        records: vec![Record { id: 1, body: Body::Mark { after } }],
    };
    fleet.apply(fleet.next, &mark);
    log.push(encode_batch(&mark));
    let state = snapshot::encode(&fleet);
    for (index, chunk) in snapshot::split(&state, fleet.marked).into_iter().enumerate() {
        let records = vec![Record { id: index as u128 + 2, body: Body::Snapshot(chunk) }];
        let sequence = index as u64 + 2;
        log.push(encode_batch(&Batch { writer: 98, incarnation: 1, sequence, records }));
    }
    log.extend(history.batches[tail_from..].iter().map(encode_batch));
    log
}

/// Starts a daemon without state on a log and waits until it serves. Returns the time in
/// milliseconds and the growth of resident memory in megabytes.
async fn measure_ready(records: &[Bytes]) -> Result<(f64, f64), Error> {
    let log = Log::start().await?;
    records.iter().for_each(|record| log.put(record.clone()));
    let truncated = records.iter().take_while(|record| record.is_empty()).count();
    // The mark is truncated as well; only the chunks remain of what precedes the tail.
    let kept_from = if truncated > 0 { truncated as u64 + 1 } else { 0 };
    log.retain_from(kept_from);
    let boxes = Boxes::start(Vec::new()).await?;
    let settings = settings(0, &[], log.addr, boxes.addr);
    let resident_before = probe::resident_bytes();
    let started_at = Instant::now();
    let daemon = start_daemon(settings)?;
    wait_until_serving(daemon.addrs.call).await?;
    let ready_ms = millis(started_at.elapsed());
    let resident_mb = megabytes(probe::resident_bytes().saturating_sub(resident_before));
    stop_daemon(daemon).await;
    log.stop();
    boxes.stop();
    Ok((ready_ms, resident_mb))
}

async fn wait_until_serving(addr: SocketAddr) -> Result<(), Error> {
    let dialer = Dialer::new(Duration::from_secs(1));
    let started_at = Instant::now();
    loop {
        let request = Request::get(HEALTH).body(full("")).expect("a constant path is valid");
        let response = dialer.exchange(addr, request, 1024, Duration::from_secs(5)).await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return Ok(());
        }
        if started_at.elapsed() > READY_TIMEOUT {
            let timeout =
                std::io::Error::new(std::io::ErrorKind::TimedOut, "a daemon is not ready");
            return Err(Error::Trial(timeout));
        }
        sleep(Duration::from_millis(2)).await;
    }
}

fn start_daemon(settings: Settings) -> std::io::Result<Daemon> {
    let started = std::thread::spawn(move || Daemon::start(settings)).join();
    started.unwrap_or_else(|_| Err(std::io::Error::other("the daemon's thread panicked")))
}

async fn stop_daemon(daemon: Daemon) {
    let killed = daemon.kill();
    let _ = tokio::task::spawn_blocking(move || killed.join()).await;
}

/// Runs six daemons on the full state and measures bytes, processor time and appends, idle and with
/// changes.
async fn measure_control(history: &History, worker_stub: &WorkerStub) -> Result<Control, Error> {
    let log = Log::start().await?;
    let tail_from = history.batches.len().saturating_sub(SNAPSHOT_EVERY);
    truncated_log(history, tail_from).into_iter().for_each(|record| log.put(record));
    log.retain_from(tail_from as u64 + 1);
    let listed = history.shapes.iter().map(|(name, shape)| ListedBox {
        name: name.clone(),
        addr: shape.addr,
        hall: shape.hall.clone(),
        rack: shape.rack.clone(),
        slots: shape.slots,
        memory_mb: shape.memory_mb,
        leaving: false,
    });
    let boxes = Boxes::start(listed.collect()).await?;
    let log_proxy = Proxy::start(log.addr).await?;
    let boxes_proxy = Proxy::start(boxes.addr).await?;
    let mut links = Vec::new();
    for _ in 0..DAEMONS {
        links.push(Link::start().await?);
    }
    let mut daemons = Vec::new();
    for id in 0..DAEMONS {
        let daemon = start_daemon(settings(id, &links, log_proxy.addr, boxes_proxy.addr))?;
        links[usize::from(id)].set_upstream(daemon.addrs.peer);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        wait_until_serving(daemon.addrs.call).await?;
    }
    // Excludes the first polls of all boxes and the first transfer of the whole box list.
    sleep(MEASURE_TIME).await;
    let worker_stub = worker_stub.clone();
    let testbed = Testbed { log, log_proxy, boxes_proxy, daemons, worker_stub };
    let control = testbed.measure().await;
    for daemon in testbed.daemons {
        stop_daemon(daemon).await;
    }
    control
}

struct Testbed {
    log: Log,
    log_proxy: Proxy,
    boxes_proxy: Proxy,
    daemons: Vec<Daemon>,
    worker_stub: WorkerStub,
}

#[derive(Clone, Copy)]
struct Sample {
    peer_bytes: f64,
    log_bytes: f64,
    list_bytes: f64,
    poll_bytes: f64,
    polls: f64,
    core_s: f64,
    appends: f64,
}

impl Sample {
    fn total_bytes(&self) -> f64 {
        self.peer_bytes + self.log_bytes + self.list_bytes + self.poll_bytes
    }
}

impl Testbed {
    async fn measure(&self) -> Result<Control, Error> {
        let daemon_count = f64::from(DAEMONS);
        let first = self.sample().await?;
        sleep(MEASURE_TIME).await;
        let idle = self.sample().await?;
        let client = self.client(0);
        let mut slowest_change = Duration::ZERO;
        let pause = MEASURE_TIME / LIVE_CHANGES as u32;
        let busy_from = Instant::now();
        for index in 0..LIVE_CHANGES {
            let text = format!(
                "[[service]]\nname = \"service-0\"\naccount = \"account-0\"\npool = \"pool-0\"\n\
                 slots = 1\nmemory_mb = {}\n",
                1000 + index
            );
            let started_at = Instant::now();
            let published: Published = client.post("/v1/publish", text.into_bytes()).await?;
            assert_eq!(published.in_force.len(), self.daemons.len(), "in force everywhere");
            slowest_change = slowest_change.max(started_at.elapsed());
            sleep(pause).await;
        }
        let busy_s = busy_from.elapsed().as_secs_f64();
        let busy = self.sample().await?;
        let idle_s = MEASURE_TIME.as_secs_f64();
        let per_s = |part: fn(&Sample) -> f64| (part(&idle) - part(&first)) / idle_s / daemon_count;
        let idle_bytes_per_s = per_s(Sample::total_bytes);
        let idle_core = (idle.core_s - first.core_s) / idle_s / daemon_count;
        let changes = LIVE_CHANGES as f64;
        let extra_bytes =
            (busy.total_bytes() - idle.total_bytes()) / daemon_count - idle_bytes_per_s * busy_s;
        let extra_core = (busy.core_s - idle.core_s) / daemon_count - idle_core * busy_s;
        Ok(Control {
            idle_bytes_per_s,
            idle_peer_bytes_per_s: per_s(|sample| sample.peer_bytes),
            idle_log_bytes_per_s: per_s(|sample| sample.log_bytes),
            idle_list_bytes_per_s: per_s(|sample| sample.list_bytes),
            idle_poll_bytes_per_s: per_s(|sample| sample.poll_bytes),
            bytes_per_poll: (idle.poll_bytes - first.poll_bytes) / (idle.polls - first.polls),
            bytes_per_change: (extra_bytes / changes).max(0.0),
            idle_core_percent: idle_core * 100.0,
            core_ms_per_change: (extra_core * 1000.0 / changes).max(0.0),
            appends_per_change: (busy.appends - idle.appends) / changes,
            config_everywhere_ms: millis(slowest_change),
        })
    }

    fn client(&self, daemon: usize) -> Client {
        Client::new(self.daemons[daemon].addrs.operate, &format!("site:{SECRET}"))
    }

    async fn sample(&self) -> Result<Sample, Error> {
        let mut peer_bytes = 0;
        for daemon in 0..self.daemons.len() {
            let client = self.client(daemon);
            let totals: Totals = client.get("/v1/counters").await?;
            peer_bytes += totals.get("peer.sent.bytes").copied().unwrap_or(0);
        }
        Ok(Sample {
            peer_bytes: peer_bytes as f64,
            log_bytes: self.log_proxy.forwarded_bytes() as f64,
            list_bytes: self.boxes_proxy.forwarded_bytes() as f64,
            poll_bytes: self.worker_stub.proxy.forwarded_bytes() as f64,
            polls: self.worker_stub.polls.load(Ordering::SeqCst) as f64,
            core_s: probe::thread_cpu_seconds("entry-"),
            appends: self.log.request_counts().0 as f64,
        })
    }
}

/// Stub that answers for all workers. Its status has the highest fence, so no daemon sends it
/// orders.
#[derive(Clone)]
struct WorkerStub {
    proxy: Proxy,
    polls: Arc<AtomicU64>,
}

async fn start_worker_stub() -> std::io::Result<WorkerStub> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let proxy = Proxy::start(listener.local_addr()?).await?;
    let (stop, stopped) = watch::channel(false);
    let status = Status {
        fence: u64::MAX,
        draining: false,
        inflight: 0,
        jobs: vec![("account-0".into(), "service-0".into())],
        rebooted_for: None,
    };
    let body = serde_json::to_vec(&status).map_err(std::io::Error::other)?;
    let polls = Arc::new(AtomicU64::new(0));
    let poll_counter = polls.clone();
    let handler = move |_: Request<Incoming>| {
        poll_counter.fetch_add(1, Ordering::SeqCst);
        let body = body.clone();
        async move { Response::new(full(body)) }
    };
    tokio::spawn(async move {
        let _stop = stop;
        serve(listener, stopped, handler).await;
    });
    Ok(WorkerStub { proxy, polls })
}

fn settings(id: u16, links: &[Link], log: SocketAddr, boxes: SocketAddr) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let others = links.iter().enumerate().filter(|(to, _)| *to != usize::from(id));
    let peers = others.map(|(to, link)| (to as u16, link.addr()));
    let mut settings = Settings::resolve(|setting| {
        let value = match setting.flag {
            "id" => id.to_string(),
            "hall" => "hall-0".to_owned(),
            "peer-secret" => "bench-peer-secret".to_owned(),
            "log" => log.to_string(),
            "boxes" => boxes.to_string(),
            "site-key-hash" => spokelift_lib::state::account::format_hash(&hash_secret(SECRET)),
            _ => return None,
        };
        Some(value)
    })
    .expect("settings of the benchmark are valid");
    settings.peers = peers.collect();
    settings.peer_key = derive_key("bench-peer-secret");
    settings.call_addr = any_port;
    settings
}

fn print_report(report: &Report) {
    println!(
        "boxes   records  apply/s   wave/s  snapshot KB  ready ms  replay ms  resident MB  \
         bytes/s  core %  ms/change"
    );
    for row in &report.sizes {
        println!(
            "{:>5} {:>9} {:>8.0} {:>8.0} {:>12.0} {:>9.0} {:>10.0} {:>12.1} {:>8.0} {:>7.2} {:>10.1}",
            row.boxes,
            row.records,
            row.apply_per_s,
            row.wave_apply_per_s,
            row.snapshot_bytes as f64 / 1024.0,
            row.ready_ms,
            row.baseline_ready_ms,
            row.resident_mb,
            row.control.idle_bytes_per_s,
            row.control.idle_core_percent,
            row.control.core_ms_per_change,
        );
    }
    let control = &report.control;
    let rows = [
        ("snapshot bytes per box", format!("{:.0}", report.slopes.snapshot_bytes_per_box.per)),
        ("bytes: account", format!("{:.0}", report.bytes_each.account)),
        ("bytes: pool, with the names in it", format!("{:.0}", report.bytes_each.pool)),
        ("bytes: service, with its places", format!("{:.0}", report.bytes_each.service)),
        ("bytes: box", format!("{:.0}", report.bytes_each.placed_box)),
        ("bytes: step of a plan", format!("{:.0}", report.bytes_each.plan_step)),
        ("bytes: verdict", format!("{:.0}", report.bytes_each.verdict)),
        ("verdicts kept", MAX_VERDICTS.to_string()),
        ("control, bytes/s idle", format!("{:.0}", control.idle_bytes_per_s)),
        ("  heartbeats", format!("{:.0}", control.idle_peer_bytes_per_s)),
        ("  log", format!("{:.0}", control.idle_log_bytes_per_s)),
        ("  box list", format!("{:.0}", control.idle_list_bytes_per_s)),
        ("  polls of boxes", format!("{:.0}", control.idle_poll_bytes_per_s)),
        ("control, bytes per poll", format!("{:.0}", control.bytes_per_poll)),
        ("control, bytes per change", format!("{:.0}", control.bytes_per_change)),
        ("control, core % idle", format!("{:.2}", control.idle_core_percent)),
        ("control, core ms per change", format!("{:.2}", control.core_ms_per_change)),
        ("appends per change", format!("{:.2}", control.appends_per_change)),
        ("slowest change everywhere, ms", format!("{:.0}", control.config_everywhere_ms)),
        ("appends/s, mean", format!("{:.2}", report.appends_per_s_mean)),
        ("control, bytes/s", format!("{:.0}", report.control_bytes_per_s)),
        ("control, core %", format!("{:.2}", report.core_percent)),
    ];
    println!("\n{}", pairs(rows));
}
