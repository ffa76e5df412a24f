//! The tasks of the node that holds the lead: they look at workers, start and stop what the
//! [`Cell`] says, and keep the store informed.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use spokelift_platform::call::CallError;
use spokelift_platform::store::Guard;
use spokelift_platform::store::Offset;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use spokelift_platform::store::WORKER_TOPIC;
use spokelift_platform::worker;
use spokelift_platform::worker::Look;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Start;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerId;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::fleet;
use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::record;
use crate::batch::record::JobRecord;
use crate::batch::record::Progress;
use crate::batch::record::ProgressRecord;
use crate::batch::view;

/// Name under which the store knows the writer of the progress topic.
const PRODUCER: &str = "scheduler";
/// How long a read of everything may take.
const LOAD: Duration = Duration::from_millis(2_000);
/// How long another call to the store may take; a slow store takes about 250 ms.
const CALL: Duration = Duration::from_millis(700);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Time between reads of workers' entries. A worker that drains must get nothing new after 2 s.
/// A worker that joins a pool is found as late as that.
const READ_WORKERS: Duration = Duration::from_millis(150);
/// Time between reads of the jobs' topic, for jobs whose news was lost on the way.
const READ_JOBS: Duration = Duration::from_millis(400);
/// How long a look waits for an end; a lease is renewed at each look.
const LOOK_WAIT: Duration = Duration::from_millis(1_200);
/// The same where tasks that serve stand beside tasks that take leftovers.
const LOOK_WAIT_SERVING: Duration = Duration::from_millis(600);
/// How long a look may take beyond its wait.
const LOOK: Duration = Duration::from_millis(600);
/// How long an order may take; answers come in about 2 ms.
const ORDER: Duration = Duration::from_millis(500);
/// Longest pause between looks at a worker that does not answer.
const LOOK_PAUSE: Duration = Duration::from_millis(400);
/// How long the ends of one look wait for the store before the worker is looked at again.
const AWAIT_FLUSH: Duration = Duration::from_millis(300);
/// Changes within this time go to the store in one append.
const GATHER: Duration = Duration::from_millis(12);
/// Time between looks at clocks: leases, due times, rests.
const TICK: Duration = Duration::from_millis(100);
/// How long a finished job is kept beyond what clients were promised.
const KEEP_EXTRA: Duration = Duration::from_secs(15);
/// How long a client's cancel waits for the store.
const AWAIT_CANCEL: Duration = Duration::from_millis(700);
/// How long ago the lead may have been renewed for an order about a machine to be given. Another
/// node claims the lead after 2.1 s of silence at the earliest.
const RENEWED: Duration = Duration::from_millis(1_400);
/// How long the last changes may take to reach the store when the lead is given up.
const SETTLE: Duration = Duration::from_millis(500);

/// The scheduler while this node holds the lead.
pub struct Scheduler {
    /// The node.
    pub node: Arc<Node>,
    /// Number of this scheduler.
    pub token: Token,
    cell: Mutex<Cell>,
    /// Something may be started.
    work: Notify,
    /// Something is to be written to the store.
    flush: Notify,
    /// Number of writes done.
    flushed: watch::Sender<u64>,
    /// When the call that last renewed the lead was sent.
    renewed_at: Mutex<Instant>,
    /// When this scheduler began.
    pub began_at: Instant,
    over: CancellationToken,
}

impl Scheduler {
    /// Begins: reads the store, then looks at every worker, then starts tasks.
    pub fn begin(node: Arc<Node>, token: Token) -> Arc<Scheduler> {
        let now = Instant::now();
        let cell = Cell::new(token);
        let scheduler = Arc::new(Scheduler {
            node,
            token,
            cell: Mutex::new(cell),
            work: Notify::new(),
            flush: Notify::new(),
            flushed: watch::Sender::new(0),
            renewed_at: Mutex::new(now),
            began_at: now,
            over: CancellationToken::new(),
        });
        scheduler.spawn(run(scheduler.clone()));
        scheduler
    }

    /// Ends all tasks of the scheduler.
    pub fn end(&self) {
        self.over.cancel();
    }

    /// Runs a task until the scheduler ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let over = self.over.clone();
        tokio::spawn(async move { over.run_until_cancelled_owned(task).await });
    }

    /// The state.
    pub fn cell(&self) -> MutexGuard<'_, Cell> {
        self.cell.lock().expect("no holder of the cell panics")
    }

    /// Whether a newer scheduler was heard of.
    pub fn is_fenced(&self) -> bool {
        self.cell().fenced
    }

    /// The call that renewed the lead was sent at `sent`.
    pub fn set_renewed(&self, sent: Instant) {
        *self.renewed_at.lock().expect("no holder of the time panics") = sent;
    }

    /// Whether orders about machines may be given now: the turn of an earlier holder must be over
    /// for some time, and that of a later one cannot have begun.
    pub fn may_order_machines(&self) -> bool {
        let renewed = self.renewed_at.lock().expect("no holder of the time panics").elapsed();
        self.began_at.elapsed() >= self.node.settings.turn_gap && renewed <= RENEWED
    }

    /// Something may be started, or is to be sent.
    pub fn kick(&self) {
        self.work.notify_one();
    }

    /// Something is to be written.
    pub fn kick_flush(&self) {
        self.flush.notify_one();
    }

    /// Waits a moment for the last changes to reach the store.
    pub async fn settle(&self) {
        self.flush.notify_one();
        let mut flushed = self.flushed.subscribe();
        let settled = async {
            while self.cell().needs_flush() {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        if timeout(SETTLE, settled).await.is_err() {
            log::warn!(
                "the last changes did not reach the store; the next scheduler asks the workers"
            );
        }
    }

    /// Answers a node on a client's behalf.
    pub async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Submitted(id, accepted) => {
                if self.cell().admit(id, *accepted, None) {
                    self.kick();
                }
                Reply::Done
            }
            Request::State(id) => Reply::State(self.cell().jobs.get(&id).map(|job| job.shown())),
            Request::Pending(queue) => Reply::Pending(self.cell().pending(&queue)),
            Request::Cancel(id) => self.cancel(id).await,
            Request::View(path) => Reply::View(view::show(&self.cell(), &path)),
            Request::Store(..) | Request::Read(..) => Reply::Refused,
        }
    }

    async fn cancel(&self, id: spokelift_platform::job::JobId) -> Reply {
        let Some(state) = self.cell().cancel(id) else { return Reply::State(None) };
        self.kick();
        self.kick_flush();
        let mut flushed = self.flushed.subscribe();
        let durable = async {
            while self.cell().jobs.get(&id).is_some_and(|job| !job.end_is_durable) {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        match timeout(AWAIT_CANCEL, durable).await {
            Ok(()) => Reply::State(Some(state)),
            Err(_) => Reply::NotReady,
        }
    }
}

async fn run(scheduler: Arc<Scheduler>) {
    let jobs_end = loop {
        match load(&scheduler).await {
            Ok(end) => break end,
            Err(error) => {
                scheduler.node.counters.count("batch.scheduler.load-failed");
                log::warn!("the store cannot be read: {error}");
                if error.status() == Some(409) {
                    scheduler.cell().fenced = true;
                    return;
                }
                sleep(PAUSE).await;
            }
        }
    };
    let workers_end = loop {
        match load_workers(&scheduler).await {
            Ok(end) => break end,
            Err(error) => {
                log::warn!("the workers cannot be read: {error}");
                sleep(PAUSE).await;
            }
        }
    };
    {
        let mut cell = scheduler.cell();
        cell.unasked = cell.workers.keys().cloned().collect();
        log::info!(token = scheduler.token, jobs = cell.jobs.len(), workers = cell.workers.len(), took_ms = scheduler.began_at.elapsed().as_millis() as u64; "scheduler begins");
    }
    scheduler.node.set_scheduler(Some(scheduler.clone()));
    let ids: Vec<WorkerId> = scheduler.cell().workers.keys().cloned().collect();
    for id in ids {
        spawn_looks(&scheduler, id);
    }
    scheduler.spawn(follow_workers(scheduler.clone(), workers_end));
    scheduler.spawn(follow_jobs(scheduler.clone(), jobs_end));
    scheduler.spawn(flush(scheduler.clone()));
    scheduler.spawn(tick(scheduler.clone()));
    scheduler.spawn(fleet::run(scheduler.clone()));
    work(scheduler).await;
}

/// Bars earlier schedulers from the progress topic, then reads it and the jobs.
async fn load(scheduler: &Arc<Scheduler>) -> Result<Offset, CallError> {
    let store = &scheduler.node.store;
    let producer = Producer { name: PRODUCER, epoch: scheduler.token, sequence: 0 };
    store.append(record::PROGRESS_TOPIC, &[], Guard::Producer(producer), LOAD).await?;
    let kept = store.newest(record::PROGRESS_TOPIC, LOAD).await?;
    let jobs = store.newest(record::JOB_TOPIC, LOAD).await?;
    let mut progress = std::collections::HashMap::new();
    let mut cell = scheduler.cell();
    for kept in &kept.records {
        match ProgressRecord::decode(kept) {
            Ok(ProgressRecord::Progress(id, told)) => {
                progress.insert(id, told);
            }
            Ok(ProgressRecord::Worker(id, known)) => cell.meet_known(id, known, Instant::now()),
            Ok(ProgressRecord::Wave(number, begun)) => {
                cell.begun.insert(number, begun.into_iter().collect());
            }
            Ok(ProgressRecord::Dropped) => {}
            Err(error) => log::error!("a record of progress cannot be used: {error}"),
        }
    }
    let mut cancelled = Vec::new();
    let mut accepted = Vec::new();
    for record in &jobs.records {
        match JobRecord::decode(record) {
            Ok(JobRecord::Accepted(id, job)) => accepted.push((id, job)),
            Ok(JobRecord::Cancel(id)) => cancelled.push(id),
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("the record of a job cannot be used: {error}"),
        }
    }
    accepted.sort_by_key(|(_, job)| job.at);
    for (id, job) in accepted {
        let progress = progress.remove(&id).unwrap_or_else(Progress::default);
        cell.admit(id, *job, Some(&progress));
    }
    for id in cancelled {
        cell.cancel(id);
    }
    Ok(jobs.end)
}

async fn load_workers(scheduler: &Arc<Scheduler>) -> Result<Offset, CallError> {
    let newest = scheduler.node.store.newest(WORKER_TOPIC, LOAD).await?;
    let mut listed = std::collections::HashSet::new();
    for record in &newest.records {
        take_worker(scheduler, record);
        listed.insert(record.key.clone());
    }
    let mut cell = scheduler.cell();
    let gone: Vec<WorkerId> =
        cell.workers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
    for id in gone {
        cell.unlist(&id);
    }
    Ok(newest.end)
}

/// Takes in a worker's entry; returns its id if it is new.
fn take_worker(scheduler: &Arc<Scheduler>, record: &Record) -> Option<WorkerId> {
    let Some(value) = &record.value else {
        scheduler.cell().unlist(&record.key);
        return None;
    };
    let entry = match worker::Entry::decode(value) {
        Ok(entry) => entry,
        Err(error) => {
            scheduler.node.counters.count("batch.worker.entry-unreadable");
            log::error!("the entry of worker {} does not decode: {error}", record.key);
            return None;
        }
    };
    let peer = Peer { id: record.key.clone(), addr: entry.address };
    let mut cell = scheduler.cell();
    let was_draining = cell.workers.get(&peer.id).is_some_and(|worker| worker.entry.draining);
    if entry.draining && !was_draining {
        log::info!(worker = peer.id.as_str(), leaves_in_ms = entry.leaves_in_ms.unwrap_or(0); "worker drains");
    }
    let new = cell.meet(peer.clone(), entry, Instant::now());
    new.then_some(peer.id)
}

async fn follow_workers(scheduler: Arc<Scheduler>, mut from: Offset) {
    loop {
        sleep(READ_WORKERS).await;
        match scheduler.node.store.read(WORKER_TOPIC, from, Duration::ZERO, CALL).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                for record in &page.records {
                    if let Some(id) = take_worker(&scheduler, record) {
                        spawn_looks(&scheduler, id);
                    }
                }
                if !page.records.is_empty() {
                    scheduler.kick();
                }
            }
            Err(error) if error.status() == Some(410) => match load_workers(&scheduler).await {
                Ok(end) => {
                    from = end;
                    let ids: Vec<WorkerId> = scheduler.cell().workers.keys().cloned().collect();
                    for id in ids {
                        spawn_looks(&scheduler, id);
                    }
                }
                Err(error) => log::warn!("the workers cannot be read: {error}"),
            },
            Err(error) => log::debug!("the workers cannot be followed: {error}"),
        }
    }
}

async fn follow_jobs(scheduler: Arc<Scheduler>, mut from: Offset) {
    loop {
        sleep(READ_JOBS).await;
        match scheduler.node.store.read(record::JOB_TOPIC, from, Duration::ZERO, CALL).await {
            Ok(page) => {
                from += page.records.len() as Offset;
                take_jobs(&scheduler, &page.records);
            }
            Err(error) if error.status() == Some(410) => {
                match scheduler.node.store.newest(record::JOB_TOPIC, LOAD).await {
                    Ok(newest) => {
                        from = newest.end;
                        take_jobs(&scheduler, &newest.records);
                    }
                    Err(error) => log::warn!("the jobs cannot be read: {error}"),
                }
            }
            Err(error) => log::debug!("the jobs cannot be followed: {error}"),
        }
    }
}

fn take_jobs(scheduler: &Scheduler, records: &[Record]) {
    let mut changed = false;
    for record in records {
        match JobRecord::decode(record) {
            Ok(JobRecord::Accepted(id, job)) => changed |= scheduler.cell().admit(id, *job, None),
            Ok(JobRecord::Cancel(id)) => {
                changed = true;
                scheduler.cell().cancel(id);
                scheduler.kick_flush();
            }
            Ok(JobRecord::Dropped) => {}
            Err(error) => log::error!("the record of a job cannot be used: {error}"),
        }
    }
    if changed {
        scheduler.kick();
    }
}

/// Places what waits and sends the orders, whenever something may have changed.
async fn work(scheduler: Arc<Scheduler>) {
    loop {
        scheduler.work.notified().await;
        let orders = {
            let mut cell = scheduler.cell();
            cell.place(Instant::now(), wall_clock());
            std::mem::take(&mut cell.outbox)
        };
        for order in orders {
            scheduler.spawn(send(scheduler.clone(), order));
        }
        if scheduler.cell().needs_flush() {
            scheduler.kick_flush();
        }
    }
}

async fn send(scheduler: Arc<Scheduler>, order: Order) {
    match order {
        Order::Start { peer, task, run, spec, lease_until, checkpoint, ticket } => {
            let start = Start {
                task,
                run,
                spec: &spec,
                lease_until,
                token: scheduler.token,
                checkpoint: &checkpoint,
                ticket: &ticket,
            };
            let taken = scheduler.node.workers.start(&peer, &start, ORDER).await;
            on_start_answer(&scheduler, &peer, (task, run), taken.map(drop));
        }
        Order::Stop { peer, task, run } => stop(&scheduler, &peer, (task, run)).await,
        Order::Pace { peer, task, run, percent } => {
            let paced = scheduler
                .node
                .workers
                .pace(&peer, (task, run), percent, scheduler.token, ORDER)
                .await;
            if let Err(error) = paced {
                log::debug!("the pace of {task} was not set: {error}");
            }
        }
    }
}

type RunName = (spokelift_platform::job::TaskName, worker::Run);

fn on_start_answer(
    scheduler: &Scheduler,
    peer: &Peer,
    (task, run): RunName,
    taken: Result<(), CallError>,
) {
    let now = Instant::now();
    let mut cell = scheduler.cell();
    match taken {
        Ok(()) => cell.on_started(&peer.id, task, run, now),
        Err(error) => {
            let why = Refusal::of(&error);
            let certain = error.is_certain();
            log::info!(task = task.to_string().as_str(), run, worker = peer.id.as_str(), certain; "start not taken: {error}");
            scheduler.node.counters.count(&format!("batch.start.refused.{why:?}"));
            if certain {
                cell.on_refused(&peer.id, task, run, why, now);
            } else {
                cell.on_unanswered(&peer.id, task, run, now);
            }
        }
    }
    drop(cell);
    scheduler.kick();
}

/// Stops a run, again and again until the worker has taken it or is gone.
async fn stop(scheduler: &Arc<Scheduler>, peer: &Peer, (task, run): RunName) {
    loop {
        let stopped = scheduler.node.workers.stop(peer, task, run, scheduler.token, ORDER).await;
        let now = Instant::now();
        match stopped {
            Ok(()) => break scheduler.cell().on_stopped(&peer.id, task, run, now),
            Err(error) => match Refusal::of(&error) {
                Some(Refusal::Fenced) => {
                    scheduler.cell().fenced = true;
                    return;
                }
                Some(Refusal::OtherLife) => {
                    scheduler.cell().remove_worker(&peer.id, "another life answers at its address");
                    break;
                }
                Some(Refusal::Unhealthy) | None => {}
                // Refused for good: the worker knows of the run or of a later one.
                Some(_) => break scheduler.cell().on_stopped(&peer.id, task, run, now),
            },
        }
        let wanted = scheduler
            .cell()
            .workers
            .get(&peer.id)
            .is_some_and(|worker| worker.slots.get(&task).is_some_and(|slot| slot.run == run));
        if !wanted {
            return;
        }
        sleep(PAUSE).await;
    }
    scheduler.kick();
}

fn spawn_looks(scheduler: &Arc<Scheduler>, id: WorkerId) {
    let met_at = {
        let mut cell = scheduler.cell();
        let Some(worker) = cell.workers.get_mut(&id).filter(|worker| !worker.looked_at) else {
            return;
        };
        worker.looked_at = true;
        worker.met_at
    };
    scheduler.spawn(look(scheduler.clone(), id, met_at));
}

/// Looks at one worker as long as it is known: renews its lease, hears what ends.
async fn look(scheduler: Arc<Scheduler>, id: WorkerId, met_at: Instant) {
    loop {
        let sent = Instant::now();
        let Some((peer, message)) = next_look(&scheduler, &id, met_at, sent) else { return };
        match scheduler.node.workers.look(&peer, &message, LOOK).await {
            Ok(seen) => {
                let ends = !seen.ended.is_empty();
                scheduler.cell().on_look(&id, sent, Instant::now(), seen);
                scheduler.kick();
                if ends {
                    scheduler.kick_flush();
                    await_flush(&scheduler, &id).await;
                }
            }
            Err(error) => {
                scheduler.node.counters.count("batch.look.failed");
                match Refusal::of(&error) {
                    Some(Refusal::Fenced) => {
                        scheduler.cell().fenced = true;
                        return;
                    }
                    Some(Refusal::OtherLife) => {
                        scheduler.cell().remove_worker(&id, "another life answers at its address");
                        scheduler.kick();
                        return;
                    }
                    _ => scheduler.cell().on_miss(&id),
                }
                log::debug!("worker {id} does not answer: {error}");
                sleep(LOOK_PAUSE).await;
            }
        }
    }
}

fn next_look(
    scheduler: &Scheduler,
    id: &str,
    met_at: Instant,
    now: Instant,
) -> Option<(Peer, Look)> {
    let mut cell = scheduler.cell();
    let worker = cell.workers.get_mut(id).filter(|worker| worker.met_at == met_at)?;
    let waits = worker.clock.is_some() && worker.misses == 0 && worker.processed == worker.durable;
    let wait = match (waits, worker.serves_beside_fillers()) {
        (false, _) => Duration::ZERO,
        (true, true) => LOOK_WAIT_SERVING,
        (true, false) => LOOK_WAIT,
    };
    // A look that is not answered may still be carried out, so a worker that is silent is not
    // granted more time: its lease would never be known to have run out.
    let lease_until = if worker.misses == 0 { worker.grant(now) } else { None };
    let look = Look {
        token: scheduler.token,
        seen: worker.durable,
        lease_until,
        wait_ms: wait.as_millis() as u64,
    };
    Some((worker.peer.clone(), look))
}

/// Waits until the store knows of the ends that the worker has listed.
async fn await_flush(scheduler: &Scheduler, id: &str) {
    let mut flushed = scheduler.flushed.subscribe();
    let durable = async {
        loop {
            let waits = scheduler
                .cell()
                .workers
                .get(id)
                .is_some_and(|worker| worker.processed > worker.durable);
            if !waits || flushed.changed().await.is_err() {
                return;
            }
        }
    };
    // While the store is away, the worker is looked at all the same, to renew its lease.
    let _ = timeout(AWAIT_FLUSH, durable).await;
}

/// Writes changes to the store, in order, each until it is done.
async fn flush(scheduler: Arc<Scheduler>) {
    let mut sequence = 0;
    loop {
        scheduler.flush.notified().await;
        sleep(GATHER).await;
        let changes = scheduler.cell().take_flush();
        if !changes.records.is_empty() {
            sequence += 1;
            if !write(&scheduler, &changes.records, sequence).await {
                return;
            }
        }
        scheduler.cell().on_flushed(&changes);
        scheduler.flushed.send_modify(|count| *count += 1);
    }
}

/// Appends records until that is done; `false` if a newer scheduler has come.
async fn write(scheduler: &Scheduler, records: &[Record], sequence: u64) -> bool {
    loop {
        let producer = Producer { name: PRODUCER, epoch: scheduler.token, sequence };
        let guard = Guard::Producer(producer);
        match scheduler.node.store.append(record::PROGRESS_TOPIC, records, guard, CALL).await {
            Ok(_) => return true,
            Err(error) if error.status() == Some(409) => {
                log::warn!("the store refuses this scheduler: {error}");
                scheduler.cell().fenced = true;
                return false;
            }
            Err(error) => {
                scheduler.node.counters.count("batch.flush.failed");
                log::debug!("changes were not written: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Does what depends on clocks.
async fn tick(scheduler: Arc<Scheduler>) {
    loop {
        sleep(TICK).await;
        let now = Instant::now();
        let keep = scheduler.node.settings.status_time + KEEP_EXTRA;
        let gone = {
            let mut cell = scheduler.cell();
            cell.open_due(wall_clock());
            for (id, listed) in cell.lapsed(now) {
                if listed {
                    cell.lapse(&id)
                } else {
                    cell.remove_worker(&id, "silent and not listed")
                }
            }
            if cell.unasked.is_empty() {
                cell.clear_inherited();
            }
            cell.stop_unknown(now);
            cell.leave_draining();
            cell.spare_users(now);
            cell.forget(keep, now)
        };
        forget(&scheduler, gone).await;
        scheduler.kick();
    }
}

async fn forget(scheduler: &Scheduler, gone: Vec<(spokelift_platform::job::JobId, bool)>) {
    let records: Vec<Record> =
        gone.into_iter().flat_map(|(id, cancelled)| record::forget_job(id, cancelled)).collect();
    if records.is_empty() {
        return;
    }
    if let Err(error) =
        scheduler.node.store.append(record::JOB_TOPIC, &records, Guard::None, CALL).await
    {
        // They are found again, and let go of, by the next scheduler.
        log::warn!("finished jobs stay in the store: {error}");
    }
}

/// Time since 1970. A clock before that is as good as one that stands at 1970.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
