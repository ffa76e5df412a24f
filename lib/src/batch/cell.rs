//! The scheduler's state: jobs, workers and what may run where.
//!
//! Invariants:
//! - A task is started only while no run of it may exist on any worker ([`Task::runs`] is 0), and
//!   each start has a higher run number than all earlier ones.
//! - A run keeps its allocation on the worker until it is known to be over there: its end was
//!   reported, the worker refused the start, the worker's incarnation has ended, its lease has
//!   expired, or a poll that was sent after the worker had answered the start or the stop does not
//!   list the run, although it lists all ends.
//! - An end is acknowledged to the worker only after its effect is in the store.

mod answers;
mod boxes;
mod caller_jobs;
mod crashes;
mod flush;
mod halls;
mod incarnations;
mod jobs;
mod polls;
mod quotas;
mod run_times;
mod unreachable;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use spokelift_platform::job::TaskName;
use spokelift_platform::machine::MachineId;
use spokelift_platform::store::Record;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::Run;
use spokelift_platform::worker::Token;
use spokelift_platform::worker::WorkerId;

use crate::batch::advice::AdviceCache;
use crate::batch::box_state;
use crate::batch::cell::crashes::CrashCandidate;
pub use crate::batch::cell::crashes::WorkerStats;
use crate::batch::cell::quotas::Quotas;
use crate::batch::crash::RepeatRate;
use crate::batch::crash::outage::Outages;
use crate::batch::demand::Demand;
use crate::batch::early_cancels::EarlyCancels;
use crate::batch::evacuated_halls::HallNames;
use crate::batch::history::History;
use crate::batch::job::Entry;
use crate::batch::job::Task;
use crate::batch::job_memory::Grants;
use crate::batch::order_window::is_sole_leader;
use crate::batch::place::fair::Allowances;
use crate::batch::record::JobKey;
use crate::batch::run_time::RunTimes;
use crate::batch::worker::table::Table;
use crate::batch::worker::table::WorkerNumber;

/// The longest lease a worker grants, unless the settings say otherwise.
const DEFAULT_LONGEST_LEASE: Duration = Duration::from_millis(10_000);

/// Priority order of the steps with waiting tasks; the lowest rank is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// False for steps of jobs with long-running tasks, which come first: their downtime cannot be
    /// made up later.
    pub is_finite: bool,
    /// Priority of the queue; lower is first.
    pub priority: u32,
    /// Its account had submitted jobs at a higher rate than its weight allows.
    pub is_over_rate: bool,
    /// When it should be done, in milliseconds since the Unix epoch.
    pub objective_at: u64,
    /// The job.
    pub job: JobId,
    /// The repetition of the job.
    pub repetition: u32,
    /// The step's number within the job.
    pub step: u16,
}

impl Rank {
    /// The rank of a step in one repetition of a job. It does not change while the job is known.
    pub fn of(entry: &Entry, repetition: u32, step: u16) -> Rank {
        Rank {
            is_finite: !entry.is_long_running(),
            priority: entry.accepted.priority,
            is_over_rate: entry.is_over_rate,
            objective_at: entry.objective_at(repetition),
            job: entry.id,
            repetition,
            step,
        }
    }

    /// The first task of the step.
    pub fn first_task(&self) -> TaskName {
        TaskName { job: self.job, repetition: self.repetition, step: self.step, index: 0 }
    }
}

/// A message to be sent to a worker.
#[derive(Debug)]
pub enum Order {
    /// Start a task.
    Start {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run number of this start.
        run: Run,
        /// The checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// The advice service's ticket for this placement; empty if the queue needs none.
        ticket: String,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run.
        run: Run,
    },
    /// Limit a task to a fraction of its speed.
    Pace {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run.
        run: Run,
        /// The fraction, in percent.
        percent: u32,
    },
    /// Allow the worker's dispatcher to renew its leases from now on.
    Grant {
        /// The worker.
        peer: Peer,
    },
    /// Set how often the worker is polled.
    SetPollRate {
        /// The worker.
        peer: Peer,
        /// Poll at the higher rate; otherwise at the normal one.
        fast: bool,
    },
}

impl Order {
    /// The worker the order is sent to.
    pub fn peer(&self) -> &Peer {
        match self {
            Order::Start { peer, .. }
            | Order::Stop { peer, .. }
            | Order::Pace { peer, .. }
            | Order::Grant { peer }
            | Order::SetPollRate { peer, .. } => peer,
        }
    }
}

/// Changes to be written to the store.
#[derive(Debug, Default)]
pub struct Flush {
    /// Records of the progress topic.
    pub records: Vec<Record>,
    /// Jobs whose end is among the records.
    pub ended_jobs: Vec<JobId>,
    /// Workers recorded here as answering again.
    pub recovered: Vec<Incarnation>,
    /// The highest announcement of box orders among the records: see [`Cell::announce_box_orders`].
    pub announcement: u64,
    /// Tasks and the number of worker crashes recorded for each.
    pub crashes: Vec<(TaskName, usize)>,
    /// For each worker, the number of the last end whose effect the records include.
    pub processed: Vec<(Incarnation, u64)>,
}

/// A job that has ended and may be removed from the store.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Its id and account.
    pub key: JobKey,
    /// It was cancelled, so the store may hold a cancellation request.
    pub cancelled: bool,
    /// Partitions of the store that hold it.
    pub stored_in: BTreeSet<u16>,
}

/// What an earlier scheduler may have started on workers that this one has not polled yet.
#[derive(Debug, Default)]
pub struct PossibleRuns {
    /// Services of which any task may be running.
    pub services: HashSet<String>,
    /// Single tasks that may be running.
    pub tasks: HashSet<TaskName>,
}

/// The end of a run whose job is not known yet.
struct EarlyEnd {
    worker: Incarnation,
    end: End,
    reported_at: Instant,
}

/// The scheduler's state: everything it knows of the jobs and workers of one cluster.
pub struct Cell {
    /// Fencing token of this scheduler; workers refuse orders with a lower one.
    pub token: Token,
    /// All known jobs.
    pub jobs: HashMap<JobId, Entry>,
    /// Memory of these jobs, in bytes.
    pub job_memory: u64,
    /// What nodes were granted lately for jobs that they accept.
    pub memory_grants: Grants,
    /// All known workers.
    pub workers: Table,
    /// Steps with tasks waiting to be placed.
    pub ready: BTreeSet<Rank>,
    /// Quotas of the accounts.
    quotas: Quotas,
    /// The evacuated halls; [`Worker::hall_evacuated`] says the same of each worker.
    evacuated_halls: Arc<HallNames>,
    /// The job rate that each account has left within its weight.
    pub(super) allowances: Allowances,
    /// Something may have become placeable for a reason other than resources freed on a worker.
    pub(super) placement_pending: bool,
    /// Some worker may have an uncertain fencing state (`Worker::fencing_uncertain`).
    pub(super) has_fencing_uncertain: bool,
    /// Some job may be marked as inherited from an earlier scheduler.
    has_inherited: bool,
    /// Jobs with long-running tasks that have not ended.
    pub long_running_jobs: HashSet<JobId>,
    /// Jobs that are not known yet and of which runs were found on workers.
    unknown_jobs: HashSet<JobId>,
    /// The previous scheduler had stopped before it released the leader lease, so it cannot have
    /// started tasks of jobs that were not in the store when this scheduler read it.
    pub predecessor_is_done: bool,
    /// The time from which every node that can reach the store reports the jobs it accepts to this
    /// scheduler and no longer to an earlier one; `None` if there is no such time.
    pub known_everywhere_from: Option<Instant>,
    /// Workers that this scheduler has had no complete answer from yet and that may run, or may have
    /// run, tasks of an earlier one.
    pub unpolled: HashSet<Incarnation>,
    /// Invalid worker entries in the store, by worker id, with the reason.
    pub invalid_entries: BTreeMap<WorkerId, &'static str>,
    /// Incarnations known to have ended, and when that became known. The store may list them for a
    /// while.
    ended_incarnations: HashMap<Incarnation, Instant>,
    /// Tasks that may be on workers which were already unresponsive under an earlier scheduler.
    tasks_on_unresponsive: HashMap<Incarnation, HashSet<TaskName>>,
    /// Unresponsive workers whose boxes were missing from the last list of boxes.
    missing_from_box_list: HashSet<Incarnation>,
    /// CPU of long-running tasks without a place, by service, in thousandths of a core: they wait,
    /// or run on boxes that should be emptied.
    pub unplaced_cpu: BTreeMap<String, u64>,
    /// The boxes that are not in service.
    pub box_states: box_state::Tracker,
    /// Machines whose maintenance has started, by wave.
    pub maintenance_started: HashMap<u64, HashSet<MachineId>>,
    /// When a scheduler first saw each wave, as time since the Unix epoch.
    pub waves_first_seen: HashMap<u64, Duration>,
    /// Waves that have ended.
    pub ended_waves: HashSet<u64>,
    /// Repetitions that are not due yet, by due time since the Unix epoch.
    scheduled: BTreeSet<(Duration, JobId, u32)>,
    dirty_jobs: HashSet<JobId>,
    /// Stored jobs whose id belongs to another account's job, with the partition that holds them.
    id_conflicts: BTreeSet<(JobKey, u16)>,
    /// Jobs whose crash records have to be written to the store.
    dirty_crashes: HashSet<JobId>,
    /// Some job may have suspect tasks.
    pub(super) has_suspects: bool,
    /// How often workers crash repeatedly under the same tasks.
    pub(super) repeated_crashes: RepeatRate,
    /// Unresponsive workers whose leases have expired and that may have crashed.
    crash_candidates: HashMap<Incarnation, CrashCandidate>,
    /// When removed workers became unresponsive.
    outages: Outages,
    /// Counters of worker crashes and their effects.
    pub stats: WorkerStats,
    /// Records to be written with the next flush.
    pending_records: Vec<Record>,
    /// Number of the last announcement of box orders.
    last_announcement: u64,
    /// Number of the last announcement that the store has.
    stored_announcement: u64,
    /// Orders to be sent to workers.
    pub outbox: Vec<Order>,
    /// Workers that were removed, by number.
    pub removed: Vec<WorkerNumber>,
    /// Workers to be assigned to a dispatcher again: they were discovered through an answer, or
    /// their address or token has changed.
    pub reassigned: Vec<WorkerNumber>,
    /// The longest lease a worker grants, regardless of the time requested.
    pub longest_lease: Duration,
    /// Total number of workers examined for placements.
    pub examined_workers: u64,
    /// Waiting times of the tasks that were ordered to start.
    pub wait_times: Vec<Duration>,
    /// A newer scheduler is known to exist.
    pub is_fenced: bool,
    /// When the call that last renewed the leader lease was sent; `None` where no leader lease is
    /// used.
    pub renewed_at: Option<Instant>,
    /// When the last renewal was sent of which the store shows no outcome.
    pub renewal_failed_at: Option<Instant>,
    /// Ends of runs whose jobs are not known yet. They are acknowledged once the job arrives or the
    /// wait for it times out.
    early_ends: Vec<EarlyEnd>,
    /// Cancels that apply to no known job.
    pub early_cancels: EarlyCancels,
    /// Observed load.
    pub demand: Demand,
    /// The part of it by jobs above the rates of their accounts.
    pub over_rate_demand: Demand,
    /// Observed run times.
    pub run_times: RunTimes,
    /// Answers of the advice service.
    pub advice: AdviceCache,
    /// What was decided about each job, for operators.
    pub history: History,
}

impl Cell {
    /// A state without jobs and workers.
    pub fn new(token: Token) -> Cell {
        Cell {
            token,
            jobs: HashMap::new(),
            job_memory: 0,
            memory_grants: Grants::default(),
            workers: Table::default(),
            ready: BTreeSet::new(),
            quotas: Quotas::default(),
            evacuated_halls: Arc::default(),
            allowances: Allowances::default(),
            placement_pending: false,
            has_fencing_uncertain: false,
            has_inherited: false,
            long_running_jobs: HashSet::new(),
            unknown_jobs: HashSet::new(),
            predecessor_is_done: false,
            known_everywhere_from: None,
            unpolled: HashSet::new(),
            invalid_entries: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            tasks_on_unresponsive: HashMap::new(),
            missing_from_box_list: HashSet::new(),
            unplaced_cpu: BTreeMap::new(),
            box_states: box_state::Tracker::default(),
            maintenance_started: HashMap::new(),
            waves_first_seen: HashMap::new(),
            ended_waves: HashSet::new(),
            scheduled: BTreeSet::new(),
            dirty_jobs: HashSet::new(),
            id_conflicts: BTreeSet::new(),
            dirty_crashes: HashSet::new(),
            has_suspects: false,
            repeated_crashes: RepeatRate::default(),
            crash_candidates: HashMap::new(),
            outages: Outages::default(),
            stats: WorkerStats::default(),
            pending_records: Vec::new(),
            last_announcement: 0,
            stored_announcement: 0,
            outbox: Vec::new(),
            removed: Vec::new(),
            reassigned: Vec::new(),
            longest_lease: DEFAULT_LONGEST_LEASE,
            examined_workers: 0,
            wait_times: Vec::new(),
            is_fenced: false,
            renewed_at: None,
            renewal_failed_at: None,
            early_ends: Vec::new(),
            early_cancels: EarlyCancels::default(),
            demand: Demand::default(),
            over_rate_demand: Demand::default(),
            run_times: RunTimes::default(),
            advice: AdviceCache::default(),
            history: History::default(),
        }
    }

    /// Whether it is certain that no other node had claimed leadership at `then`.
    pub fn is_sole_leader(&self, then: Instant) -> bool {
        !self.is_fenced && is_sole_leader(self.renewed_at, then)
    }
}

/// The next run number of a task. It is higher than all earlier ones, including those of earlier
/// schedulers: the token grows faster from one scheduler to the next than run numbers do within one
/// scheduler.
pub fn next_run(task: &Task, token: Token) -> Run {
    (task.last_run + 1).max(token)
}
