//! The tasks of the node that holds the lead: they look at workers, start and stop what the
//! [`Cell`] says, and keep the store informed.

mod answer;
mod boxes;
mod events;
mod flush;
mod follow;
mod forget;
mod load;
mod rebalance;
pub mod shard;
mod tick;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use spokelift_platform::store::Offset;
use spokelift_platform::worker::Token;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::batch::advice;
use crate::batch::cell::Cell;
use crate::batch::dispatch::Dispatcher;
use crate::batch::dispatch::lease::Lease;
use crate::batch::fleet;
use crate::batch::node::Node;
use crate::batch::order_window::OrderWindow;
use crate::batch::scheduler::events::consume_own_events;
use crate::batch::scheduler::flush::flush;
use crate::batch::scheduler::follow::follow_jobs;
use crate::batch::scheduler::follow::follow_workers;
use crate::batch::scheduler::forget::forget_finished;
use crate::batch::scheduler::load::load;
use crate::batch::scheduler::load::load_workers;
use crate::batch::scheduler::rebalance::assign_unassigned;
use crate::batch::scheduler::rebalance::await_shards_ready;
use crate::batch::scheduler::rebalance::dispatch_orders;
use crate::batch::scheduler::rebalance::manage_shards;
use crate::batch::scheduler::rebalance::start_shards;
use crate::batch::scheduler::rebalance::stop_shards;
use crate::batch::scheduler::shard::Shards;
use crate::batch::scheduler::tick::tick;
use crate::batch::store_latency;
use crate::transport::clock;

/// Name under which the store knows the writer of the progress topic.
const PRODUCER_NAME: &str = "scheduler";
/// How long a read of everything may take.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long another call to the store may take; a slow store takes about 250 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long after it began every node knows of a scheduler: they read the record of the lead at least each
/// half second.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_000);
/// Steps that wait, above which a round of placing is dear and every change should not cause one.
const BACKLOG_STEPS: usize = 60;
/// Pause between rounds then; a task runs for about a second.
const BACKLOG_PAUSE: Duration = Duration::from_millis(8);
/// How long the last changes may take to reach the store when the lead is given up.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The scheduler while this node holds the lead.
pub struct Scheduler {
    /// The node.
    pub node: Arc<Node>,
    /// Number of this scheduler.
    pub token: Token,
    cell: Mutex<Cell>,
    /// Which node looks after which worker.
    shards: Shards,
    /// Something may be started.
    placement_wake: Notify,
    /// The advice service may be asked something.
    pub advice_wake: Notify,
    /// Something is to be written to the store.
    flush_wake: Notify,
    /// Number of writes done.
    flush_count: watch::Sender<u64>,
    store_pace: Mutex<store_latency::StoreLatency>,
    /// When this scheduler began.
    pub started_at: Instant,
    /// Its turn to order machines.
    pub order_window: OrderWindow,
    cancellation: CancellationToken,
}

impl Scheduler {
    /// Begins: reads the store, then looks at every worker, then starts tasks.
    pub fn start(
        node: Arc<Node>,
        token: Token,
        turn: OrderWindow,
        predecessor_is_done: bool,
    ) -> Arc<Scheduler> {
        let now = clock::now();
        let mut cell = Cell::new(token);
        cell.predecessor_is_done = predecessor_is_done;
        cell.renewed_at = Some(now);
        cell.longest_lease = node.settings.longest_lease;
        let (own, events) = Dispatcher::start(node.dispatch_context(), Lease::unbounded());
        let base = own.started_at();
        let scheduler = Arc::new(Scheduler {
            node,
            token,
            cell: Mutex::new(cell),
            shards: Shards::new(token, own),
            placement_wake: Notify::new(),
            advice_wake: Notify::new(),
            flush_wake: Notify::new(),
            flush_count: watch::Sender::new(0),
            store_pace: Mutex::default(),
            started_at: now,
            order_window: turn,
            cancellation: CancellationToken::new(),
        });
        scheduler.spawn(consume_own_events(scheduler.clone(), base, events));
        scheduler.spawn(run(scheduler.clone()));
        scheduler
    }

    /// Ends all tasks of the scheduler. Carriers on other nodes end as their licences run out.
    pub fn stop(&self) {
        self.cancellation.cancel();
        self.shards.stop_own();
    }

    /// The same, and waits until nothing more can come of its carriers.
    pub async fn stop_with_dispatchers(self: &Arc<Self>) {
        self.cancellation.cancel();
        stop_shards(self).await;
    }

    /// Runs a task until the scheduler ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let over = self.cancellation.clone();
        tokio::spawn(async move { over.run_until_cancelled_owned(task).await });
    }

    /// The state.
    pub fn cell(&self) -> MutexGuard<'_, Cell> {
        self.cell.lock().expect("no holder of the cell panics")
    }

    /// Whether a newer scheduler was heard of.
    pub fn is_fenced(&self) -> bool {
        self.cell().is_fenced
    }

    /// The call that renewed the lead was sent at `sent`.
    pub fn record_renewal(&self, sent: Instant) {
        self.cell().renewed_at = Some(sent);
    }

    /// Something may be started, or is to be sent.
    pub fn wake(&self) {
        self.placement_wake.notify_one();
    }

    /// Something is to be written.
    pub fn wake_flush(&self) {
        self.flush_wake.notify_one();
    }

    /// Waits a moment for the last changes to reach the store.
    pub async fn await_flush(&self) {
        self.flush_wake.notify_one();
        let mut flushed = self.flush_count.subscribe();
        let settled = async {
            while self.cell().needs_flush() {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(SETTLE_TIMEOUT, settled).await.is_err() {
            log::warn!(
                "the last changes did not reach the store; the next scheduler asks the workers"
            );
        }
    }
}

/// Reads the store, then runs the tasks of the scheduler.
async fn run(scheduler: Arc<Scheduler>) {
    let Some(job_ends) = load_until_done(&scheduler).await else { return };
    let workers_end = load_workers_until_done(&scheduler).await;
    {
        let mut cell = scheduler.cell();
        cell.unpolled = cell.workers.keys().cloned().collect();
        cell.known_everywhere_from = Some(clock::now() + DISCOVERY_TIME);
        log::info!(
            token = scheduler.token,
            jobs = cell.jobs.len(),
            workers = cell.workers.len(),
            took_ms = clock::since(scheduler.started_at).as_millis() as u64;
            "scheduler begins"
        );
    }
    scheduler.node.set_scheduler(Some(scheduler.clone()));
    start_shards(&scheduler);
    await_shards_ready(&scheduler).await;
    assign_unassigned(&scheduler);
    scheduler.spawn(follow_workers(scheduler.clone(), workers_end));
    for (partition, end) in (0..).zip(job_ends) {
        scheduler.spawn(follow_jobs(scheduler.clone(), partition, end));
    }
    scheduler.spawn(flush(scheduler.clone()));
    scheduler.spawn(tick(scheduler.clone()));
    scheduler.spawn(manage_shards(scheduler.clone()));
    scheduler.spawn(forget_finished(scheduler.clone()));
    scheduler.spawn(fleet::run(scheduler.clone()));
    scheduler.spawn(advice::run(scheduler.clone()));
    run_placement(scheduler).await;
}

/// Reads the store, again and again; `None` if a newer scheduler has come.
async fn load_until_done(scheduler: &Arc<Scheduler>) -> Option<Vec<Offset>> {
    loop {
        let error = match load(scheduler).await {
            Ok(ends) => return Some(ends),
            Err(error) => error,
        };
        scheduler.node.counters.count("batch.scheduler.load-failed");
        log::warn!("the store cannot be read: {error}");
        if error.status() == Some(409) {
            scheduler.cell().is_fenced = true;
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn load_workers_until_done(scheduler: &Arc<Scheduler>) -> Offset {
    loop {
        match load_workers(scheduler, None).await {
            Ok(end) => return end,
            Err(error) => log::warn!("the workers cannot be read: {error}"),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Places what waits and sends the orders, whenever something may have changed.
async fn run_placement(scheduler: Arc<Scheduler>) {
    loop {
        scheduler.placement_wake.notified().await;
        let (waits, tally, needs_flush, backlog) = {
            let config = scheduler.node.config();
            let mut cell = scheduler.cell();
            config.iter().for_each(|config| cell.set_quotas(config));
            if cell.needs_placement() {
                cell.place_ready(clock::now(), wall_clock());
            }
            dispatch_orders(&scheduler, &mut cell);
            let (waits, tally) =
                (std::mem::take(&mut cell.wait_times), std::mem::take(&mut cell.stats));
            (waits, tally, cell.needs_flush(), cell.ready.len())
        };
        scheduler.node.counters.add("batch.worker.crashed", tally.crashed_workers);
        scheduler.node.counters.add("batch.task.given-up", tally.abandoned_tasks);
        scheduler.node.counters.add("batch.worker.gone", tally.ended_incarnations);
        scheduler.node.counters.add("batch.worker.gone-by-list", tally.ended_by_box_list);
        for waited in waits {
            scheduler.node.latencies.record("batch.start.wait", waited);
        }
        scheduler.advice_wake.notify_one();
        if needs_flush {
            scheduler.wake_flush();
        }
        if backlog > BACKLOG_STEPS {
            sleep(BACKLOG_PAUSE).await;
        }
    }
}

/// Time since 1970. A clock before that is as good as one that stands at 1970.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
