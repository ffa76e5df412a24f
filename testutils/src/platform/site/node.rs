//! Daemons on the stand-in platform, as separate processes.

use std::fs::OpenOptions;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;
use tokio::time::sleep;

use crate::platform::site::CHECK_INTERVAL;
use crate::platform::site::Machine;
use crate::platform::store::Endpoint;
use crate::platform::store::Store;
use crate::ports;
use crate::proxy::Proxy;

/// The credential of the site's operator.
pub const SITE_KEY: &str = "site:a-secret-of-the-site";
/// Largest number of log lines in a daemon's diagnostics.
const MAX_SHOWN_LINES: usize = 20;

/// The settings of a daemon, and the services around it.
pub(super) struct NodeOptions {
    pub(super) number: usize,
    /// Its `cpuShare` setting: the fraction of a core that it may use.
    pub(super) cpu_share: f64,
    /// Its `memoryMb` and `maxFds` settings.
    pub(super) machine: Machine,
    /// Minimum time between the order windows of two schedulers.
    pub(super) handover_gap: Duration,
    /// Number of workers in a shard; `None` for the daemon's default.
    pub(super) workers_per_shard: Option<usize>,
    /// The address of the machines API.
    pub(super) machines: SocketAddr,
    /// The address of the advice service.
    pub(super) advice: SocketAddr,
}

/// A daemon as a separate process.
pub struct Node {
    /// Its own endpoint of the store.
    pub store_endpoint: Endpoint,
    /// The proxy between it and the store.
    pub store_proxy: Proxy,
    /// The proxy between clients and it.
    pub client_proxy: Proxy,
    /// The address for clients.
    pub client_addr: SocketAddr,
    /// The address for readiness probes.
    pub readiness_addr: SocketAddr,
    /// The address for operators.
    pub operator_addr: SocketAddr,
    /// The address for other daemons.
    pub peer_addr: SocketAddr,
    settings_file: PathBuf,
    /// The file to which the process logs, unless it logs to the test's own output.
    log_file: PathBuf,
    program: String,
    workers_per_shard: Option<usize>,
    child: Mutex<Option<Child>>,
}

impl Node {
    /// Writes the settings of a daemon without starting it.
    pub(super) async fn prepare(
        program: &str,
        store: &Store,
        options: &NodeOptions,
    ) -> io::Result<Node> {
        let ip = ports::unused_loopback_addr();
        let store_endpoint = store.open_endpoint().await?;
        let store_proxy = Proxy::start(store_endpoint.addr).await?;
        let ([front, readiness], peers) = ports::free_and_pair(ip)?;
        let client_proxy = Proxy::start(front).await?;
        let (peer_addr, peers) = (peers, peers.port());
        let settings_file = std::env::temp_dir().join(format!("spokelift-{ip}.toml"));
        let NodeOptions { number, cpu_share, machine, .. } = options;
        let NodeOptions { handover_gap, workers_per_shard, machines, advice, .. } = options;
        let text = format!(
            "node = \"node-{number}\"\nip = \"{ip}\"\nzone = \"hall-1\"\n\
             portRange = [{peers}, {operate}]\nheartbeatMs = 500\nadvice = \"{advice}\"\n\
             [listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\n\
             [limits]\ncpuShare = {cpu_share}\nmemoryMb = {memory}\nmaxFds = {descriptors}\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nparts = 12\n\
             [cloudApi]\naddress = \"{machines}\"\n\
             [bounds]\nleaseMs = {gap}\nupkeep_s = 0.6\nmove_s = 0.6\n",
            memory = machine.memory_mb,
            descriptors = machine.max_descriptors,
            gap = handover_gap.as_millis(),
            operate = peers + 1,
            store = store_proxy.addr,
        );
        std::fs::write(&settings_file, text)?;
        let log_file = settings_file.with_extension("log");
        let program = program.to_owned();
        let operator_addr = SocketAddr::new(ip, peers + 1);
        Ok(Node {
            store_endpoint,
            store_proxy,
            client_proxy,
            client_addr: front,
            readiness_addr: readiness,
            operator_addr,
            peer_addr,
            settings_file,
            log_file,
            program,
            workers_per_shard: *workers_per_shard,
            child: Mutex::default(),
        })
    }

    /// Starts the process; kills one that is still running first.
    pub fn start(&self) -> io::Result<()> {
        self.kill();
        let secret = SITE_KEY.split_once(':').expect("a credential has two parts").1;
        let mut command = Command::new(&self.program);
        command
            .arg("--platform")
            .env(spokelift_platform::settings::FILE_VARIABLE, &self.settings_file);
        command.env("SPOKELIFT_SITE_KEY_HASH", format_hash(&hash_secret(secret)));
        if let Some(workers) = self.workers_per_shard {
            command.env("SPOKELIFT_WORKERS_PER_SHARE", workers.to_string());
        }
        if std::env::var_os("SPOKELIFT_TEST_LOG").is_none() {
            let log_file = OpenOptions::new().create(true).append(true).open(&self.log_file)?;
            command.stdout(log_file.try_clone()?).stderr(log_file);
        }
        *self.child() = Some(ports::spawn(&mut command)?);
        Ok(())
    }

    /// Whether the process runs, and the last lines of its log.
    pub(super) fn diagnostics(&self) -> String {
        let running = if self.is_running() { "runs" } else { "does not run" };
        let text = match std::fs::read_to_string(&self.log_file) {
            Ok(text) => text,
            Err(error) => format!("(no output: {error})"),
        };
        let lines: Vec<&str> = text.lines().collect();
        let first_shown = lines.len().saturating_sub(MAX_SHOWN_LINES);
        format!("{} {running}\n{}", self.settings_file.display(), lines[first_shown..].join("\n"))
    }

    /// Copies the log of the process to a folder.
    pub(super) fn copy_log(&self, folder: &Path) -> io::Result<()> {
        let name = self.log_file.file_name().unwrap_or(self.log_file.as_os_str());
        std::fs::copy(&self.log_file, folder.join(name)).map(drop)
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no thread panics while it holds the lock")
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The id of the process, if it was started.
    pub fn pid(&self) -> Option<u32> {
        self.child().as_ref().map(Child::id)
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        match self.child().as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            Some(Ok(Some(_)) | Err(_)) | None => false,
        }
    }

    /// Sends a signal to the process; without effect if it was not started.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match self.child().as_ref() {
            Some(child) => kill(Pid::from_raw(child.id() as i32), signal).map_err(io::Error::from),
            None => Ok(()),
        }
    }

    /// Waits for the process to exit; returns whether it exited successfully, or `None` if it did
    /// not within the time or was not started.
    pub async fn wait_for_exit(&self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let exit_status = self.child().as_mut()?.try_wait();
            if let Ok(Some(status)) = exit_status {
                *self.child() = None;
                return Some(status.success());
            }
            sleep(CHECK_INTERVAL).await;
        }
        None
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        // Files that remain are in the directory for temporary files.
        let _ = std::fs::remove_file(&self.settings_file);
        let _ = std::fs::remove_file(&self.log_file);
    }
}
