//! `spokeliftd`: the daemon.

#![allow(missing_docs, reason = "a program, not a library")]

use std::io;
use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use miette::Diagnostic;
use spokelift_cli::EXIT_USAGE;
use spokelift_cli::read_args;
use spokelift_cli::report;
use spokelift_lib::daemon;
use spokelift_lib::daemon::Sockets;
use spokelift_lib::log_limit::Pipe;
use spokelift_lib::log_limit::RateLimited;
use spokelift_lib::settings::NodeSettings;
use spokelift_lib::settings::Setting;
use spokelift_lib::settings::Settings;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Serves callers and operators of a site. Each flag is also an environment variable: --max-age-ms
/// is SPOKELIFT_MAX_AGE_MS. A flag goes before its variable.
#[derive(FromArgs)]
struct Args {
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// run on the users' platform, with the settings file that the platform names; of the other
    /// settings only --site-key-hash is read, without which operators may change nothing
    #[argh(switch)]
    platform: bool,
    /// number of this daemon, unique on the site
    #[argh(option)]
    id: Option<String>,
    /// data hall this box stands in
    #[argh(option)]
    hall: Option<String>,
    /// address for callers [127.0.0.1:0]
    #[argh(option)]
    call_addr: Option<String>,
    /// address for operators [127.0.0.1:0]
    #[argh(option)]
    operate_addr: Option<String>,
    /// address for heartbeats and catch-up [127.0.0.1:0]
    #[argh(option)]
    peer_addr: Option<String>,
    /// the other daemons of the site
    #[argh(option)]
    peers: Option<String>,
    /// secret that the daemons share
    #[argh(option)]
    peer_secret: Option<String>,
    /// address of the platform's log
    #[argh(option)]
    log: Option<String>,
    /// address of the platform's box list
    #[argh(option)]
    boxes: Option<String>,
    /// hash of the site operator's secret
    #[argh(option)]
    site_key_hash: Option<String>,
    /// how old the state served by may be [2500]
    #[argh(option)]
    max_age_ms: Option<String>,
    /// time between heartbeats [500]
    #[argh(option)]
    heartbeat_ms: Option<String>,
    /// time between polls of the box list, and of boxes in doubt [1000]
    #[argh(option)]
    poll_ms: Option<String>,
    /// bytes a second that polls of boxes may take [3000]
    #[argh(option)]
    poll_bytes_per_s: Option<String>,
    /// this daemon's share of the log's rate [12]
    #[argh(option)]
    appends_per_s: Option<String>,
    /// requests of a service that may wait for a slot [128]
    #[argh(option)]
    queue_limit: Option<String>,
    /// how long a request may wait for a slot [500]
    #[argh(option)]
    queue_wait_ms: Option<String>,
    /// how long a request may take in all [30000]
    #[argh(option)]
    call_limit_ms: Option<String>,
    /// largest request body, in bytes [8388608]
    #[argh(option)]
    body_limit: Option<String>,
    /// memory that the process may have; connections take up to a quarter, bodies an eighth [260]
    #[argh(option)]
    memory_mb: Option<String>,
    /// open descriptors that the process may have; its connections take up to half [4100]
    #[argh(option)]
    max_descriptors: Option<String>,
    /// time between telling the balancer and closing the door [2000]
    #[argh(option)]
    stop_delay_ms: Option<String>,
    /// batches on the log between two snapshots [2000]
    #[argh(option)]
    snapshot_every: Option<String>,
    /// most seconds between two snapshots; the log must keep three times that [600]
    #[argh(option)]
    snapshot_s: Option<String>,
    /// how long a plan's last steps wait for boxes that are down [30000]
    #[argh(option)]
    down_grace_ms: Option<String>,
    /// workers that one node looks after for the scheduler, on the users' platform [100]
    #[argh(option)]
    workers_per_share: Option<String>,
    /// a job that would be done later than this many of its objectives is refused, 0 for never, on
    /// the users' platform [3]
    #[argh(option)]
    refuse_after_objectives: Option<String>,
    /// address to send metrics to
    #[argh(option)]
    statsd: Option<String>,
}

impl Args {
    fn flag(&self, name: &str) -> Option<String> {
        let value = match name {
            "id" => &self.id,
            "hall" => &self.hall,
            "call-addr" => &self.call_addr,
            "operate-addr" => &self.operate_addr,
            "peer-addr" => &self.peer_addr,
            "peers" => &self.peers,
            "peer-secret" => &self.peer_secret,
            "log" => &self.log,
            "boxes" => &self.boxes,
            "site-key-hash" => &self.site_key_hash,
            "max-age-ms" => &self.max_age_ms,
            "heartbeat-ms" => &self.heartbeat_ms,
            "poll-ms" => &self.poll_ms,
            "poll-bytes-per-s" => &self.poll_bytes_per_s,
            "appends-per-s" => &self.appends_per_s,
            "queue-limit" => &self.queue_limit,
            "queue-wait-ms" => &self.queue_wait_ms,
            "call-limit-ms" => &self.call_limit_ms,
            "body-limit" => &self.body_limit,
            "memory-mb" => &self.memory_mb,
            "max-descriptors" => &self.max_descriptors,
            "stop-delay-ms" => &self.stop_delay_ms,
            "snapshot-every" => &self.snapshot_every,
            "snapshot-s" => &self.snapshot_s,
            "down-grace-ms" => &self.down_grace_ms,
            "workers-per-share" => &self.workers_per_share,
            "refuse-after-objectives" => &self.refuse_after_objectives,
            "statsd" => &self.statsd,
            _ => return None,
        };
        value.clone()
    }

    /// The value of a setting: the flag, or else the environment variable.
    fn value(&self, setting: &Setting) -> Option<String> {
        let flag = self.flag(setting.flag);
        flag.or_else(|| std::env::var(setting.variable()).ok())
    }
}

fn main() -> ExitCode {
    let args: Args = match read_args("spokeliftd") {
        Ok(args) => args,
        Err(code) => return code,
    };
    let mut logger =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if args.platform {
        // The platform's engineers read the log from standard output.
        let (pipe, progress) = Pipe::new(io::stdout());
        let logger = logger.target(env_logger::Target::Pipe(Box::new(pipe))).build();
        log::set_max_level(logger.filter());
        log::set_boxed_logger(Box::new(RateLimited::new(logger))).expect("no logger has been set");
        let code = run_platform(&args);
        log::logger().flush();
        progress.wait_written();
        return code;
    }
    logger.init();
    let settings = match Settings::resolve(|setting| args.value(setting)) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(&error),
    };
    if args.check {
        println!("the settings can be used");
        return ExitCode::SUCCESS;
    }
    run_site(settings)
}

/// Prints why the settings are invalid and returns the exit code.
fn report_usage_error(error: &dyn Diagnostic) -> ExitCode {
    report(error);
    ExitCode::from(EXIT_USAGE)
}

/// Runs a node on the users' platform.
fn run_platform(args: &Args) -> ExitCode {
    let Some(path) = std::env::var_os(spokelift_platform::settings::FILE_VARIABLE) else {
        eprintln!("{} is not set", spokelift_platform::settings::FILE_VARIABLE);
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match spokelift_platform::settings::Settings::read(path.as_ref()) {
        Ok(settings) => settings,
        Err(error) => return report_usage_error(&error),
    };
    let options = match NodeSettings::resolve(|setting| args.value(setting)) {
        Ok(options) => options,
        Err(error) => return report_usage_error(&error),
    };
    if args.check {
        println!("the settings can be used");
        return ExitCode::SUCCESS;
    }
    // Single-threaded: a node gets a fraction of one core there, and each wake-up of a further
    // thread is charged to it.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    run_to_completion(runtime, serve_platform(settings, options))
}

/// Serves until SIGTERM. Settings are read only at the start, so SIGHUP is logged and ignored.
async fn serve_platform(
    settings: spokelift_platform::settings::Settings,
    options: NodeSettings,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => log::info!(
                    "SIGHUP ignored: the settings file is read only at the start"
                ),
            }
        }
        stop.send_replace(true);
    });
    spokelift_lib::batch::node::run(settings, options, stopping).await?;
    Ok(())
}

/// Runs as a daemon of a site.
fn run_site(settings: Settings) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    run_to_completion(runtime, serve_site(settings))
}

/// Runs the server on a runtime until it ends; prints its error to standard error.
fn run_to_completion(
    runtime: io::Result<Runtime>,
    serving: impl Future<Output = Result<(), Box<dyn std::error::Error>>>,
) -> ExitCode {
    let served = match runtime {
        Ok(runtime) => runtime.block_on(serving),
        Err(error) => Err(error.into()),
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

/// Serves until SIGTERM or SIGINT. Prints the bound addresses as one line of JSON.
async fn serve_site(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let sockets = Sockets::bind(&settings).await?;
    println!("{}", serde_json::to_string(&sockets.addrs()?)?);
    std::io::stdout().flush()?;
    let (stop, stopping) = watch::channel(false);
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        let _ = stop.send(true);
    });
    daemon::run(settings, sockets, stopping).await?;
    Ok(())
}
