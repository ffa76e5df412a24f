//! The scheduler's state: jobs, workers and what may run where.
//!
//! Invariants:
//! - A task is started only while no run of it may exist on any worker ([`Task::runs`] is 0), and
//!   each start has a higher run number than all before it.
//! - A run stays in its worker's slots until it is known to be gone: its end was listed, the
//!   worker refused it, the worker's life is over, its lease has run out, or a look that was sent
//!   after the worker had answered the start or the stop does not show it.
//! - An end is acknowledged to the worker only after the store knows of its effect.

mod answers;
mod boxes;
mod caller_jobs;
mod crashes;
mod flush;
mod incarnations;
mod jobs;
mod polls;
mod quotas;
mod unreachable;
mod workers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
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
use crate::batch::cell::crashes::CrashCandidate;
pub use crate::batch::cell::crashes::WorkerStats;
use crate::batch::cell::quotas::Quotas;
use crate::batch::crash::RepeatRate;
use crate::batch::crash::outage::Outages;
use crate::batch::demand::Demand;
use crate::batch::job::Entry;
use crate::batch::job::Task;
use crate::batch::place::fair::Allowances;
use crate::batch::record::JobKey;
use crate::batch::worker::table::Table;
use crate::batch::worker::table::WorkerNumber;

/// The longest lease where nothing else is said.
const DEFAULT_LONGEST_LEASE: Duration = Duration::from_millis(10_000);

/// Order of steps that wait for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Tasks that last come first: each second they are away is lost, and nothing catches it up.
    pub is_finite: bool,
    /// Rank of the queue.
    pub priority: u32,
    /// Its account had sent more jobs than its weight a second.
    pub is_over_rate: bool,
    /// When it should be done, in milliseconds since 1970.
    pub objective_at: u64,
    /// The job.
    pub job: JobId,
    /// The repetition.
    pub repetition: u32,
    /// The step.
    pub step: u16,
}

impl Rank {
    /// The rank of a step of a job, in one repetition. It stays the same as long as the job is known.
    pub fn of(entry: &Entry, time: u32, step: u16) -> Rank {
        Rank {
            is_finite: !entry.is_long_running(),
            priority: entry.accepted.priority,
            is_over_rate: entry.is_over_rate,
            objective_at: entry.objective_at(time),
            job: entry.id,
            repetition: time,
            step,
        }
    }
}

/// What is to be sent to a worker.
#[derive(Debug)]
pub enum Order {
    /// Start a task.
    Start {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// Number of the start.
        run: Run,
        /// Where to go on from.
        checkpoint: String,
        /// Permission, where the queue needs one.
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
    /// Let a task work at a share of its speed.
    Pace {
        /// The worker.
        peer: Peer,
        /// The task.
        task: TaskName,
        /// The run.
        run: Run,
        /// The share, in hundredths.
        percent: u32,
    },
    /// Extend the leases of a worker from now on.
    Grant {
        /// The worker.
        peer: Peer,
    },
    /// Look more often, or no longer.
    Watch {
        /// The worker.
        peer: Peer,
        /// More often.
        closely: bool,
    },
}

impl Order {
    /// The worker it goes to.
    pub fn peer(&self) -> &Peer {
        match self {
            Order::Start { peer, .. }
            | Order::Stop { peer, .. }
            | Order::Pace { peer, .. }
            | Order::Grant { peer }
            | Order::Watch { peer, .. } => peer,
        }
    }
}

/// Changes that the store is to know of.
#[derive(Debug, Default)]
pub struct Flush {
    /// Records of the progress topic.
    pub records: Vec<Record>,
    /// Jobs whose end is among them.
    pub ended_jobs: Vec<JobId>,
    /// Workers of which it tells that they are heard of again.
    pub recovered: Vec<Incarnation>,
    /// Announcements of orders to boxes up to this one are among them.
    pub announcement: u64,
    /// Tasks of which it tells how many workers crashed under them.
    pub crashes: Vec<(TaskName, usize)>,
    /// Ends of each worker that are taken into account by then.
    pub processed: Vec<(Incarnation, u64)>,
}

/// A finished job that is to be let go of.
#[derive(Debug, PartialEq, Eq)]
pub struct FinishedJob {
    /// Its id and its account.
    pub key: JobKey,
    /// The store may keep the wish to cancel it.
    pub cancelled: bool,
    /// Partitions that keep it.
    pub kept_in: BTreeSet<u16>,
}

/// What an earlier scheduler may have started and this one cannot know of.
#[derive(Debug, Default)]
pub struct PossibleRuns {
    /// Any task of these services.
    pub services: HashSet<String>,
    /// These tasks.
    pub tasks: HashSet<TaskName>,
}

/// The end of a run whose job has not been heard of.
struct EarlyEnd {
    worker: Incarnation,
    end: End,
    reported_at: Instant,
}

/// The scheduler's state.
pub struct Cell {
    /// Number of this scheduler; workers refuse lower ones.
    pub token: Token,
    /// The jobs.
    pub jobs: HashMap<JobId, Entry>,
    /// The workers.
    pub workers: Table,
    /// Steps with tasks that wait for room.
    pub ready: BTreeSet<Rank>,
    /// What accounts may have running.
    quotas: Quotas,
    /// What accounts may still send within their weights.
    pub(super) allowances: Allowances,
    /// Something may be placed that could not be before, beside what has become free on workers.
    pub(super) placement_pending: bool,
    /// Workers may be marked as unfenced.
    pub(super) has_unfenced: bool,
    /// Jobs may be marked as inherited.
    has_inherited: bool,
    /// Jobs with tasks that last, as long as they have not ended.
    pub long_running_jobs: HashSet<JobId>,
    /// Jobs of runs that were found on workers before the jobs were heard of.
    unknown_jobs: HashSet<JobId>,
    /// The earlier scheduler had ended before it gave up the lead, so it can have started nothing of
    /// jobs that were not in the store when this one read it.
    pub predecessor_is_done: bool,
    /// From when on every node that reaches the store knows of this scheduler, and tells it, and no earlier
    /// one, of the jobs that it takes.
    pub known_everywhere_from: Option<Instant>,
    /// Workers that may run something of an earlier scheduler and have not been asked.
    pub unpolled: HashSet<Incarnation>,
    /// Entries in the store that name no worker to use, and why.
    pub unusable: BTreeMap<WorkerId, &'static str>,
    /// Lives that are known to be over, and since when. The store may list them for a while.
    ended_incarnations: HashMap<Incarnation, Instant>,
    /// Tasks that may be on workers which had fallen silent under an earlier scheduler.
    tasks_on_unresponsive: HashMap<Incarnation, HashSet<TaskName>>,
    /// Silent workers whose boxes the last list of boxes did not name.
    missing_from_box_list: HashSet<Incarnation>,
    /// What lasts and needs room that is not there, by service, in thousandths of a core: it waits, or is on boxes
    /// that should be emptied.
    pub unplaced_cpu: BTreeMap<String, u64>,
    /// Machines of waves whose upkeep has begun.
    pub maintenance_started: HashMap<u64, HashSet<MachineId>>,
    /// When a scheduler first saw each wave, since 1970.
    pub waves_first_seen: HashMap<u64, Duration>,
    /// Waves that are over.
    pub ended_waves: HashSet<u64>,
    /// Repetitions that are not due yet: when, since 1970.
    scheduled: BTreeSet<(Duration, JobId, u32)>,
    dirty_jobs: HashSet<JobId>,
    /// Records of jobs under ids that are another account's, by partition.
    id_conflicts: BTreeSet<(JobKey, u16)>,
    /// Jobs with tasks under which workers crashed, of which the store is to know.
    dirty_crashes: HashSet<JobId>,
    /// Tasks of some job may be suspects.
    pub(super) has_suspects: bool,
    /// How often crashes come under the same tasks again.
    pub(super) repeated_crashes: RepeatRate,
    /// Silent workers whose leases have run out, and that may have crashed.
    crash_candidates: HashMap<Incarnation, CrashCandidate>,
    /// When workers that are not known any more fell silent.
    outages: Outages,
    /// Crashes that were counted, and what came of them.
    pub stats: WorkerStats,
    /// Workers that the store is to know of, or to forget.
    pending_records: Vec<Record>,
    /// Number of the last announcement of orders to boxes.
    last_announcement: u64,
    /// The last one that the store knows.
    stored_announcement: u64,
    /// Orders to be sent.
    pub outbox: Vec<Order>,
    /// Workers that are not known any more, by number.
    pub removed: Vec<WorkerNumber>,
    /// Workers that a carrier is to take: they were met by an answer, or are called otherwise from now on.
    pub reassigned: Vec<WorkerNumber>,
    /// The longest lease that a worker grants, whatever it is asked for.
    pub longest_lease: Duration,
    /// Workers that were weighed for a task, over all.
    pub examined_workers: u64,
    /// How long the tasks waited that were ordered to start.
    pub wait_times: Vec<Duration>,
    /// A newer scheduler was heard of.
    pub is_fenced: bool,
    /// When the call was sent that last renewed the lead; none where the lead plays no part.
    pub renewed_at: Option<Instant>,
    /// Ends of runs whose job has not been heard of. They are not acknowledged before the job has
    /// come or its time is over.
    early_ends: Vec<EarlyEnd>,
    /// What is learned of the load.
    pub demand: Demand,
    /// What the advice service has said.
    pub advices: AdviceCache,
}

impl Cell {
    /// An empty state.
    pub fn new(token: Token) -> Cell {
        Cell {
            token,
            jobs: HashMap::new(),
            workers: Table::default(),
            ready: BTreeSet::new(),
            quotas: Quotas::default(),
            allowances: Allowances::default(),
            placement_pending: false,
            has_unfenced: false,
            has_inherited: false,
            long_running_jobs: HashSet::new(),
            unknown_jobs: HashSet::new(),
            predecessor_is_done: false,
            known_everywhere_from: None,
            unpolled: HashSet::new(),
            unusable: BTreeMap::new(),
            ended_incarnations: HashMap::new(),
            tasks_on_unresponsive: HashMap::new(),
            missing_from_box_list: HashSet::new(),
            unplaced_cpu: BTreeMap::new(),
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
            early_ends: Vec::new(),
            demand: Demand::default(),
            advices: AdviceCache::default(),
        }
    }
}

/// The next run number of a task: above all used before, and above all that an earlier scheduler
/// used, since tokens rise with each scheduler faster than runs within one.
pub fn next_run(task: &Task, token: Token) -> Run {
    (task.last_run + 1).max(token)
}
