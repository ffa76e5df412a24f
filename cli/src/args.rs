//! The command line of `spokelift`.

use argh::FromArgs;

/// Fleet capacity and maintenance manager: publishes configuration, submits intents, confirms
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

/// The subcommands.
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

/// Submit an intent; the reply is a plan that changes nothing until it is confirmed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "intent")]
pub struct Intent {
    #[argh(subcommand)]
    pub kind: IntentKind,
}

/// The kinds of intents.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum IntentKind {
    Resize(Resize),
    Move(Move),
    Place(Place),
    Maintain(Maintain),
}

/// Resize a pool to a number of boxes, with boxes from or to those in no pool.
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

/// The subcommands of `plan`.
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

/// Confirm a plan, which starts it.
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

/// The subcommands of `wave`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum WaveAction {
    Pause(WavePause),
    Resume(WaveResume),
    Abort(WaveAbort),
}

/// Pause a plan: start no further steps.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "pause")]
pub struct WavePause {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Resume a paused plan.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "resume")]
pub struct WaveResume {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Abort a plan: finish the started steps and start no others.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "abort")]
pub struct WaveAbort {
    /// the plan's id
    #[argh(positional)]
    pub id: String,
}

/// Show the state of the daemon.
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

/// Show the outcome of a change that was not yet known when it was published.
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

/// Run a small simulated site: daemons, boxes, load, a maintenance wave and failures.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "trial")]
pub struct Trial {
    /// the site: platform (batch work), ulaanbaatar or dakar (requests) [platform]
    #[argh(option, default = "String::from(\"platform\")")]
    pub site: String,
    /// on the platform, seed of the faults [1]
    #[argh(option, default = "1")]
    pub seed: u64,
    /// on the platform, seconds in which faults are injected, 2 to 600 [12]
    #[argh(option, default = "12")]
    pub seconds: u64,
    /// on the platform, jobs belong to accounts, whose keys and quotas change
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

/// The subcommands of `bench`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum BenchKind {
    State(BenchState),
    Plan(BenchPlan),
    Batch(BenchBatch),
    Keys(BenchKeys),
    Config(BenchConfig),
}

/// Measure the replicated state: records a second, memory, snapshots, time to ready, and the cost
/// of the control plane.
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

/// Measure plans and maintenance waves in virtual time, against baselines and a lower bound.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct BenchPlan {
    /// boxes, 50 to 20000
    #[argh(option, default = "6400")]
    pub boxes: u32,
    /// pools, at most one for each ten boxes
    #[argh(option, default = "43")]
    pub pools: u32,
    /// the site whose planning objective is used: ulaanbaatar or dakar
    #[argh(option, default = "String::from(\"ulaanbaatar\")")]
    pub site: String,
    /// faults to inject: none, rack, hall, liars or blackhole
    #[argh(option, default = "String::from(\"none\")")]
    pub faults: String,
    /// seed of the failures and of the random order
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure the scheduler's work for batch jobs at three sizes of a site: time and examined workers for
/// each task, without a network.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "batch")]
pub struct BenchBatch {
    /// seconds of simulated load, 2 to 120
    #[argh(option, default = "20")]
    pub seconds: u32,
    /// seed of the load
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure how long a version of the configuration takes to reach all nodes, over links of a limited
/// rate and with a third of the nodes turned away by the store.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub struct BenchConfig {
    /// nodes, 1 to 600
    #[argh(option, default = "33")]
    pub nodes: u32,
    /// routes of the configuration, 1 to 100000
    #[argh(option, default = "5000")]
    pub routes: u32,
    /// rate of each link in Mbit/s, 1 to 1000
    #[argh(option, default = "10")]
    pub mbit: u32,
    /// print a last line of JSON
    #[argh(switch)]
    pub json: bool,
}

/// Measure the cost of calls with unknown keys for a daemon, and their effect on callers with valid keys.
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

/// Batch jobs on the users' platform; --daemon is then the daemon's metrics address. Views need no
/// credential there, submit and cancel need that of the site.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "batch")]
pub struct Batch {
    #[argh(subcommand)]
    pub action: BatchAction,
}

/// The subcommands of `batch`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum BatchAction {
    Accounts(BatchAccounts),
    Services(BatchServices),
    Boxes(BatchBoxes),
    Queues(BatchQueues),
    Workers(BatchWorkers),
    Shares(BatchShares),
    Costs(BatchCosts),
    Waves(BatchWaves),
    Explain(Explain),
    Submit(BatchSubmit),
    Cancel(BatchCancel),
}

/// List the accounts: their usage and quotas, and the work that waits for quota.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "accounts")]
pub struct BatchAccounts {}

/// List the services: the cores that each has, uses and wants.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "services")]
pub struct BatchServices {}

/// List the boxes that are not in service: why, for whom, and for how long.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "boxes")]
pub struct BatchBoxes {}

/// List the queues and their numbers of jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "queues")]
pub struct BatchQueues {}

/// List the workers, and why some take no new tasks.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "workers")]
pub struct BatchWorkers {}

/// List the shares of the workers (shards): the node that dispatches to each and its number of workers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "shares")]
pub struct BatchShares {}

/// Add up what the nodes cost the site: calls to the platform, messages, moves and time of boxes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "costs")]
pub struct BatchCosts {
    /// read the log lines of nodes in this file, in place of asking the nodes
    #[argh(option)]
    pub log: Option<std::path::PathBuf>,
}

/// List the maintenance waves and their progress.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "waves")]
pub struct BatchWaves {}

/// Show where a job's tasks run, and why the others wait.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// id of the job
    #[argh(positional)]
    pub job: String,
}

/// Submit a job; prints its id once the job is stored.
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
