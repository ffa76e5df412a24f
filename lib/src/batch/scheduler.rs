//! The scheduler that runs on the leader node: polls workers, carries out the decisions of the [`Cell`], and
//! writes its state to the store.

mod answer;
mod boxes;
mod events;
pub mod flush;
mod follow;
mod forget;
mod job_topic;
mod load;
mod outlook;
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
use crate::batch::leader::lease::MAX_EXTENSION;
use crate::batch::leader::lease::RENEW_INTERVAL;
use crate::batch::leader::lease::TAKEOVER_TIMEOUT;
use crate::batch::node::Node;
use crate::batch::order_window::OrderWindow;
use crate::batch::outlook::published::Published;
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
use crate::batch::store_latency::StoreLatency;
use crate::transport::clock;

/// Producer name of the scheduler in the progress topic.
const PRODUCER_NAME: &str = "scheduler";
/// Timeout of reading a whole topic.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of any other call to the store; a slow store takes about 250 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after its start by which every node that reports jobs to a leader reports them to this scheduler: an earlier
/// one admits none once it may have been replaced.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_000);
/// Number of waiting steps above which a placement round is too expensive to run after every change.
const BACKLOG_STEPS: usize = 60;
/// Pause between placement rounds with such a backlog; a task runs for about a second.
const BACKLOG_PAUSE: Duration = Duration::from_millis(8);
/// How long to wait for the last changes to reach the store when the leader lease is released.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The scheduler, as long as this node is the leader.
pub struct Scheduler {
    /// Node that the scheduler runs on.
    pub node: Arc<Node>,
    /// Fencing token of this scheduler; each later scheduler has a higher one.
    pub token: Token,
    cell: Mutex<Cell>,
    /// How far the accepted jobs were read.
    job_topic: job_topic::Offsets,
    /// Which node dispatches for which worker.
    shards: Shards,
    /// Wakes the task that places and dispatches.
    placement_wake: Notify,
    /// Wakes the task that asks the advice service.
    pub advice_wake: Notify,
    /// Wakes the task that writes to the store.
    flush_wake: Notify,
    /// Number of completed flushes.
    flush_count: watch::Sender<u64>,
    store_latency: Mutex<StoreLatency>,
    outlook: Mutex<Published>,
    /// When the scheduler was started.
    pub started_at: Instant,
    /// When this scheduler may order boxes.
    pub order_window: OrderWindow,
    cancellation: CancellationToken,
}

impl Scheduler {
    /// Starts a scheduler: it reads the store, then polls every worker, then starts tasks. `claimed_at`
    /// is when the claim of the leader lease was sent.
    pub fn start(
        node: Arc<Node>,
        token: Token,
        order_window: OrderWindow,
        claimed_at: Instant,
        predecessor_is_done: bool,
    ) -> Arc<Scheduler> {
        let mut cell = Cell::new(token);
        cell.predecessor_is_done = predecessor_is_done;
        cell.longest_lease = node.settings.longest_lease;
        let (own, events) = Dispatcher::start(node.dispatch_context(), Lease::default());
        let time_base = own.started_at();
        let scheduler = Arc::new(Scheduler {
            node,
            token,
            cell: Mutex::new(cell),
            job_topic: job_topic::Offsets::default(),
            shards: Shards::new(token, own),
            placement_wake: Notify::new(),
            advice_wake: Notify::new(),
            flush_wake: Notify::new(),
            flush_count: watch::Sender::new(0),
            store_latency: Mutex::default(),
            outlook: Mutex::default(),
            started_at: clock::now(),
            order_window,
            cancellation: CancellationToken::new(),
        });
        scheduler.record_renewal(claimed_at);
        scheduler.spawn(consume_own_events(scheduler.clone(), time_base, events));
        scheduler.spawn(run(scheduler.clone()));
        scheduler
    }

    /// Stops all tasks of the scheduler. Dispatchers on other nodes stop acting when their dispatch leases expire.
    pub fn stop(&self) {
        self.cancellation.cancel();
        self.shards.stop_own();
    }

    /// Stops as [`Scheduler::stop`] does, and waits until none of its dispatchers can act any more.
    pub async fn stop_with_dispatchers(self: &Arc<Self>) {
        self.cancellation.cancel();
        stop_shards(self).await;
    }

    /// Spawns a task that is cancelled when the scheduler stops.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let cancellation = self.cancellation.clone();
        tokio::spawn(async move { cancellation.run_until_cancelled_owned(task).await });
    }

    /// Locks the scheduling state.
    pub fn cell(&self) -> MutexGuard<'_, Cell> {
        self.cell.lock().expect("no thread panics while it holds the cell lock")
    }

    /// Whether a newer scheduler is known to exist.
    pub fn is_fenced(&self) -> bool {
        self.cell().is_fenced
    }

    /// Whether it was stopped.
    pub fn is_stopped(&self) -> bool {
        self.cancellation.is_cancelled()
    }

    /// Records that the leader lease was claimed or renewed by a call sent at `sent`: no other node
    /// claims it for [`TAKEOVER_TIMEOUT`] after that.
    pub fn record_renewal(&self, sent: Instant) {
        self.cell().renewed_at = Some(sent);
        self.shards.extend_own(sent + TAKEOVER_TIMEOUT);
    }

    /// Whether a renewal of the leader lease has not succeeded at its time.
    pub fn is_renewal_overdue(&self) -> bool {
        let renewed_at = self.cell().renewed_at;
        renewed_at.is_some_and(|at| clock::since(at) > RENEW_INTERVAL * 3 / 2)
    }

    /// Records that all other nodes promise not to claim the leader lease before `until`. That is of
    /// use only if each promise was given before the last one ended: in between, a node may have claimed
    /// the lease and may be gone again.
    pub fn record_promise(&self, until: Instant) {
        let renewed_at = self.cell().renewed_at;
        let latest = renewed_at.map_or(until, |at| at + MAX_EXTENSION);
        self.shards.extend_own_if_valid(until.min(latest));
    }

    /// Records that the store answered neither a renewal sent at `sent` nor a read of the lease after it.
    pub fn record_failed_renewal(&self, sent: Instant) {
        self.cell().renewal_failed_at = Some(sent);
    }

    /// Wakes the task that places and dispatches.
    pub fn wake(&self) {
        self.placement_wake.notify_one();
    }

    /// Wakes the task that writes to the store.
    pub fn wake_flush(&self) {
        self.flush_wake.notify_one();
    }

    /// Waits up to `SETTLE_TIMEOUT` for all changes to reach the store.
    pub async fn await_flush(&self) {
        self.flush_wake.notify_one();
        let mut flushed = self.flush_count.subscribe();
        let all_flushed = async {
            while self.cell().needs_flush() {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(SETTLE_TIMEOUT, all_flushed).await.is_err() {
            log::warn!(
                "the last changes were not written to the store in time; the next scheduler reads them from the workers"
            );
        }
    }
}

/// Reads the store, then runs the tasks of the scheduler.
async fn run(scheduler: Arc<Scheduler>) {
    let Some(job_ends) = load_until_done(&scheduler).await else { return };
    let job_partitions = scheduler.job_topic.set_loaded(job_ends);
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
            "scheduler started"
        );
    }
    scheduler.node.set_scheduler(Some(scheduler.clone()));
    start_shards(&scheduler);
    await_shards_ready(&scheduler).await;
    assign_unassigned(&scheduler);
    scheduler.spawn(follow_workers(scheduler.clone(), workers_end));
    for partition in 0..job_partitions {
        scheduler.spawn(follow_jobs(scheduler.clone(), partition));
    }
    scheduler.spawn(flush(scheduler.clone()));
    scheduler.spawn(tick(scheduler.clone()));
    scheduler.spawn(manage_shards(scheduler.clone()));
    scheduler.spawn(forget_finished(scheduler.clone()));
    scheduler.spawn(fleet::run(scheduler.clone()));
    scheduler.spawn(advice::run(scheduler.clone()));
    scheduler.spawn(scheduler.clone().publish_outlooks());
    run_placement(scheduler).await;
}

/// Reads the store, and retries until that succeeds; `None` if a newer scheduler has fenced this one off.
async fn load_until_done(scheduler: &Arc<Scheduler>) -> Option<Vec<Offset>> {
    loop {
        let error = match load(scheduler).await {
            Ok(ends) => return Some(ends),
            Err(error) => error,
        };
        scheduler.node.counters.count("batch.scheduler.load-failed");
        log::warn!("reading the store failed: {error}");
        if error.status() == Some(409) {
            scheduler.cell().is_fenced = true;
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn load_workers_until_done(scheduler: &Arc<Scheduler>) -> Offset {
    loop {
        match load_workers(scheduler, None).await {
            Ok(end) => return end,
            Err(error) => log::warn!("reading the worker topic failed: {error}"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Places waiting tasks and dispatches the orders whenever something may have changed.
async fn run_placement(scheduler: Arc<Scheduler>) {
    loop {
        scheduler.placement_wake.notified().await;
        let (wait_times, stats, needs_flush, backlog) = {
            let config = scheduler.node.config();
            let mut cell = scheduler.cell();
            config.iter().for_each(|config| cell.set_quotas(config));
            cell.set_evacuated_halls(scheduler.node.evacuated_halls());
            if cell.needs_placement() {
                cell.place_ready(clock::now(), wall_clock());
            }
            dispatch_orders(&scheduler, &mut cell);
            let (wait_times, stats) =
                (std::mem::take(&mut cell.wait_times), std::mem::take(&mut cell.stats));
            (wait_times, stats, cell.needs_flush(), cell.ready.len())
        };
        scheduler.node.counters.add("batch.worker.crashed", stats.crashed_workers);
        scheduler.node.counters.add("batch.task.given-up", stats.abandoned_tasks);
        scheduler.node.counters.add("batch.worker.gone", stats.ended_incarnations);
        scheduler.node.counters.add("batch.worker.gone-by-list", stats.ended_by_box_list);
        scheduler.node.counters.add("batch.job.put-last", stats.jobs_put_last);
        scheduler.node.counters.add("batch.job.put-back", stats.jobs_put_back);
        for wait_time in wait_times {
            scheduler.node.latencies.record("batch.start.wait", wait_time);
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

/// Time since the Unix epoch; zero if the clock is set before it.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
