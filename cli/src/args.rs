//! The command line of `spokelift`.

use argh::FromArgs;

/// Fleet capacity and maintenance manager: publishes configuration, states intents, confirms
/// plans and watches them.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// address of a daemon for operators, IP:PORT (SPOKELIFT_DAEMON)
    #[argh(option)]
    pub daemon: Option<String>,

    /// credential, account:secret (SPOKELIFT_KEY)
    #[argh(option)]
    pub key: Option<String>,

    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,

    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Publish(Publish),
    Intent(Intent),
    Plan(Plan),
    Wave(Wave),
    Status(Status),
    Pools(Pools),
    Boxes(Boxes),
    Jobs(Jobs),
    Plans(Plans),
    Batch(Batch),
    Counters(Counters),
    Record(Record),
    HashKey(HashKey),
    Trial(Trial),
    Bench(Bench),
}

/// Check a configuration file and publish it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// the TOML file
    #[argh(positional)]
    pub file: std::path::PathBuf,
}

/// State an intent; the answer is a plan that changes nothing until it is confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "intent")]
pub struct Intent {
    #[argh(subcommand)]
    pub kind: IntentKind,
}

/// What is wanted.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum IntentKind {
    Resize(Resize),
    Move(Move),
    Place(Place),
    Maintain(Maintain),
}

/// Bring a pool to a number of boxes, from or to those in no pool.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "resize")]
pub struct Resize {
    /// the pool
    #[argh(option)]
    pub pool: String,
    /// how many boxes it should hold
    #[argh(option)]
    pub boxes: u32,
}

/// Move boxes to another pool.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "move")]
pub struct Move {
    /// the pool they leave
    #[argh(option)]
    pub from: String,
    /// the pool they join
    #[argh(option)]
    pub to: String,
    /// how many boxes
    #[argh(option)]
    pub boxes: u32,
}

/// Run a service on a number of boxes of its pool; 0 removes it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "place")]
pub struct Place {
    /// the account that owns the service
    #[argh(option)]
    pub account: String,
    /// the service
    #[argh(option)]
    pub service: String,
    /// on how many boxes
    #[argh(option)]
    pub replicas: u32,
}

/// Reboot every box of the pools, within their budgets.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "maintain")]
pub struct Maintain {
    /// a pool; may be given several times
    #[argh(option)]
    pub pool: Vec<String>,
}

/// Show, confirm, watch or cancel a plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    #[argh(subcommand)]
    pub action: PlanAction,
}

/// What to do with a plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum PlanAction {
    Show(PlanShow),
    Confirm(PlanConfirm),
    Watch(PlanWatch),
    Cancel(PlanCancel),
}

/// Show a plan with its steps.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct PlanShow {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Put a plan in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "confirm")]
pub struct PlanConfirm {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Show a plan's progress until it is over.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "watch")]
pub struct PlanWatch {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Drop a plan that is not confirmed, or abort one that is.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct PlanCancel {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Pause, resume or abort a confirmed plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wave")]
pub struct Wave {
    #[argh(subcommand)]
    pub action: WaveAction,
}

/// What to do with a plan under way.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum WaveAction {
    Pause(WavePause),
    Resume(WaveResume),
    Abort(WaveAbort),
}

/// Start no further step.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "pause")]
pub struct WavePause {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Go on after a pause.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "resume")]
pub struct WaveResume {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Finish the steps begun and start no other.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "abort")]
pub struct WaveAbort {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Show the daemon's own state.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// List the pools.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "pools")]
pub struct Pools {}

/// List the boxes that are in a pool.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "boxes")]
pub struct Boxes {}

/// List the services and where they run.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs")]
pub struct Jobs {}

/// List the plans.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plans")]
pub struct Plans {}

/// List the daemon's counters.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "counters")]
pub struct Counters {}

/// Ask what became of a change whose outcome was not yet known.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "record")]
pub struct Record {
    /// the record's id
    #[argh(positional)]
    pub id: String,
}

/// Print the hash of a secret read from standard input, as configuration files take it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {}

/// Run a small site on stand-ins: daemons, boxes, load, a wave, failures.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trial")]
pub struct Trial {
    /// the site: platform (batch work), ulaanbaatar or dakar (requests) [platform]
    #[argh(option, default = "String::from(\"platform\")")]
    pub site: String,
    /// on the platform, which faults come when [1]
    #[argh(option, default = "1")]
    pub seed: u64,
    /// on the platform, how long faults come, 2 to 600 [12]
    #[argh(option, default = "12")]
    pub seconds: u64,
    /// on the platform, jobs belong to accounts, whose keys and bounds change
    #[argh(switch)]
    pub accounts: bool,
    /// on the other sites, requests a second over all entry boxes, 1 to 2000 [300]
    #[argh(option, default = "300")]
    pub load: u32,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure the product against its own baselines.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    #[argh(subcommand)]
    pub kind: BenchKind,
}

/// What to measure.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum BenchKind {
    State(BenchState),
    Plan(BenchPlan),
    Batch(BenchBatch),
    Keys(BenchKeys),
}

/// Measure the agreed state: records a second, memory, snapshots, time to ready, cost of control.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "state")]
pub struct BenchState {
    /// boxes at the largest of four sizes, 64 to 20000
    #[argh(option, default = "6400")]
    pub boxes: u32,
    /// pools at the largest size, 1 to 500
    #[argh(option, default = "43")]
    pub pools: u32,
    /// changes of configuration at the largest size, 100 to 100000
    #[argh(option, default = "25000")]
    pub changes: u32,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure plans and waves at the level of decisions, against baselines and a lower bound.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct BenchPlan {
    /// boxes, 50 to 20000
    #[argh(option, default = "6400")]
    pub boxes: u32,
    /// pools, at most one for each ten boxes
    #[argh(option, default = "43")]
    pub pools: u32,
    /// the site whose measure comes first: ulaanbaatar or dakar
    #[argh(option, default = "String::from(\"ulaanbaatar\")")]
    pub site: String,
    /// what goes wrong: none, rack, hall, liars or blackhole
    #[argh(option, default = "String::from(\"none\")")]
    pub faults: String,
    /// seed of the failures and of the random order
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure what batch work costs the scheduler at three sizes of a site: time and comparisons for each
/// task, without a network.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "batch")]
pub struct BenchBatch {
    /// seconds of load that are played, 2 to 120
    #[argh(option, default = "20")]
    pub seconds: u32,
    /// seed of the load
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure what calls with unknown keys cost a daemon, and callers with good keys beside them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct BenchKeys {
    /// seconds of each part, 2 to 60
    #[argh(option, default = "5")]
    pub seconds: u32,
    /// calls a second with unknown keys, 100 to 20000
    #[argh(option, default = "10000")]
    pub unknown: u32,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Batch work on the users' platform; --daemon is then the daemon's metrics address. Showing needs
/// no credential there, submit and cancel need that of the site.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "batch")]
pub struct Batch {
    #[argh(subcommand)]
    pub action: BatchAction,
}

/// What to show or to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum BatchAction {
    Accounts(BatchAccounts),
    Services(BatchServices),
    Queues(BatchQueues),
    Workers(BatchWorkers),
    Shares(BatchShares),
    Waves(BatchWaves),
    Explain(Explain),
    Submit(BatchSubmit),
    Cancel(BatchCancel),
}

/// What each account has running against what it may, and what of its work waits for that.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "accounts")]
pub struct BatchAccounts {}

/// What each service has, uses and wants.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "services")]
pub struct BatchServices {}

/// Jobs of each queue.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "queues")]
pub struct BatchQueues {}

/// The workers, and why some take nothing new.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "workers")]
pub struct BatchWorkers {}

/// Which node looks after how many workers for the scheduler.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "shares")]
pub struct BatchShares {}

/// Waves of upkeep, and how far they are.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "waves")]
pub struct BatchWaves {}

/// Where a job's tasks run, and what holds those that wait.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the job
    #[argh(positional)]
    pub job: String,
}

/// Submit a job; prints its id once the store keeps it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct BatchSubmit {
    /// the queue
    #[argh(positional)]
    pub queue: String,
    /// the job, a TOML file
    #[argh(positional)]
    pub file: std::path::PathBuf,
    /// id of the job, 16 hexadecimal digits; a job submitted again under its id remains one job
    #[argh(option)]
    pub id: Option<String>,
}

/// Cancel a job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct BatchCancel {
    /// id of the job
    #[argh(positional)]
    pub job: String,
}
