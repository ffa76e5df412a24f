//! A daemon on the users' platform, as a real process.

use std::fs::OpenOptions;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;
use tokio::time::sleep;

use crate::platform::site::CHECK_INTERVAL;
use crate::platform::store::Endpoint;
use crate::platform::store::Store;
use crate::ports;
use crate::proxy::Proxy;

/// Credential of the site's operator.
pub const SITE_KEY: &str = "site:a-secret-of-the-site";
/// Lines of a daemon's log that are shown when something awaited did not come.
const MAX_SHOWN_LINES: usize = 20;
/// Loopback addresses that a process of tests gives out before it begins anew.
const ADDRESSES_PER_PROCESS: u32 = 250;
/// Loopback addresses given out in this process.
static ADDRESSES_USED: AtomicU32 = AtomicU32::new(0);

/// What tells a daemon from the others, and what it has around it.
pub(super) struct NodeOptions {
    pub(super) number: usize,
    /// Share of a core that its settings give it.
    pub(super) cpu_share: f64,
    /// Least time between the turns of two schedulers.
    pub(super) handover_gap: Duration,
    /// Workers that one node looks after for the scheduler; none for the daemon's default.
    pub(super) workers_per_shard: Option<usize>,
    /// Where the platform's machines are listed and ordered.
    pub(super) machines: SocketAddr,
    /// Where the advice service answers.
    pub(super) advice: SocketAddr,
}

/// A daemon as a real process.
pub struct Node {
    /// Its way into the store.
    pub store_endpoint: Endpoint,
    /// What lies between it and the store.
    pub store_proxy: Proxy,
    /// What lies between clients and it.
    pub client_proxy: Proxy,
    /// Where operators call it.
    pub operator_addr: SocketAddr,
    settings_file: PathBuf,
    /// Where the process writes its log, unless it writes to the test's own output.
    log_file: PathBuf,
    program: String,
    workers_per_shard: Option<usize>,
    child: Mutex<Option<Child>>,
}

impl Node {
    /// Writes the settings of a daemon, which is not started yet.
    pub(super) async fn prepare(
        program: &str,
        store: &Store,
        place: &NodeOptions,
    ) -> io::Result<Node> {
        let ip = unused_loopback_addr();
        let door = store.open_endpoint().await?;
        let store_line = Proxy::start(door.addr).await?;
        let ([front, readiness], peers) = ports::free_and_pair(ip)?;
        let client_line = Proxy::start(front).await?;
        let peers = peers.port();
        let file = std::env::temp_dir().join(format!("spokelift-{ip}.toml"));
        let NodeOptions { number, cpu_share, handover_gap, workers_per_shard, machines, advice } =
            place;
        let text = format!(
            "node = \"node-{number}\"\nip = \"{ip}\"\nzone = \"hall-1\"\n\
             portRange = [{peers}, {operate}]\nheartbeatMs = 500\nadvice = \"{advice}\"\n\
             [listen]\nfront = \"{front}\"\nreadiness = \"{readiness}\"\n\
             [limits]\ncpuShare = {cpu_share}\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nparts = 12\n\
             [cloudApi]\naddress = \"{machines}\"\n\
             [bounds]\nleaseMs = {gap}\nupkeep_s = 0.6\nmove_s = 0.6\n",
            gap = handover_gap.as_millis(),
            operate = peers + 1,
            store = store_line.addr,
        );
        std::fs::write(&file, text)?;
        let output = file.with_extension("log");
        let program = program.to_owned();
        let operate_addr = SocketAddr::new(ip, peers + 1);
        Ok(Node {
            store_endpoint: door,
            store_proxy: store_line,
            client_proxy: client_line,
            operator_addr: operate_addr,
            settings_file: file,
            log_file: output,
            program,
            workers_per_shard: *workers_per_shard,
            child: Mutex::default(),
        })
    }

    /// Starts the process; one that still runs is killed first.
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
            let output = OpenOptions::new().create(true).append(true).open(&self.log_file)?;
            command.stdout(output.try_clone()?).stderr(output);
        }
        *self.child() = Some(ports::spawn(&mut command)?);
        Ok(())
    }

    /// Whether the process runs, and the last lines that it wrote.
    pub(super) fn diagnostics(&self) -> String {
        let running = if self.is_running() { "runs" } else { "does not run" };
        let text = match std::fs::read_to_string(&self.log_file) {
            Ok(text) => text,
            Err(error) => format!("(no output: {error})"),
        };
        let lines: Vec<&str> = text.lines().collect();
        let last = lines.len().saturating_sub(MAX_SHOWN_LINES);
        format!("{} {running}\n{}", self.settings_file.display(), lines[last..].join("\n"))
    }

    /// Copies all that the process has written to a folder.
    pub(super) fn copy_log(&self, folder: &Path) -> io::Result<()> {
        let name = self.log_file.file_name().unwrap_or(self.log_file.as_os_str());
        std::fs::copy(&self.log_file, folder.join(name)).map(drop)
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().expect("no holder panics")
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child().take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Number of the process, if it was started.
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

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        match self.child().as_ref() {
            Some(child) => kill(Pid::from_raw(child.id() as i32), signal).map_err(io::Error::from),
            None => Ok(()),
        }
    }

    /// Waits for the process to end; whether it ended well.
    pub async fn wait_for_exit(&self, within: Duration) -> Option<bool> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let ended = self.child().as_mut()?.try_wait();
            if let Ok(Some(status)) = ended {
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
        // The files lie in the directory for temporary files.
        let _ = std::fs::remove_file(&self.settings_file);
        let _ = std::fs::remove_file(&self.log_file);
    }
}

/// A loopback address that no other test process uses, so that a port that was found free on it
/// stays free; the daemons of long ago, whose addresses come again, are gone.
fn unused_loopback_addr() -> IpAddr {
    let number = ADDRESSES_USED.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, (number % ADDRESSES_PER_PROCESS) as u8 + 1))
}
