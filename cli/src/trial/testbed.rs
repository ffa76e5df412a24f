//! Testbed of a trial: six daemons and simulated services of the platform.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt;
use spokelift_lib::metrics::Totals;
use spokelift_lib::protocol::wire::derive_key;
use spokelift_lib::settings::Settings;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;
use spokelift_lib::transport::dial::Dialer;
use spokelift_testutils::boxes::Boxes;
use spokelift_testutils::caller;
use spokelift_testutils::caller::Balancer;
use spokelift_testutils::caller::Call;
use spokelift_testutils::daemon::Daemon;
use spokelift_testutils::kills::Kills;
use spokelift_testutils::ledger::Ledger;
use spokelift_testutils::ledger::Outcome;
use spokelift_testutils::log::Log;
use spokelift_testutils::ports;
use spokelift_testutils::site::Site;
use spokelift_testutils::site::caller_secret;
use spokelift_testutils::worker::Worker;
use tokio::task::AbortHandle;
use tokio::time::sleep;

use crate::client::Client;

/// Number of daemons of a site.
pub const DAEMONS: u16 = 6;
/// Duration of a worker's reboot.
const REBOOT_TIME: Duration = Duration::from_millis(600);
/// Time between the balancer's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The site operator's secret.
const SITE_SECRET: &str = "trial-site-secret";
/// Caller key that is published during the trial.
const NEW_KEY: &str = "a-new-caller-secret";
/// Timeout of a wait for the testbed.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The running daemons and simulated services.
pub struct Testbed {
    pub site: Site,
    pub ledger: Ledger,
    pub balancer: Arc<Balancer>,
    log: Log,
    boxes: Boxes,
    workers: Vec<Worker>,
    settings: Vec<Settings>,
    daemons: Vec<Option<Daemon>>,
    /// Kills of daemons, which may have cut off requests.
    pub kills: Arc<Kills>,
    /// Start of the trial; times in its reports are relative to it.
    pub started_at: Instant,
    health_checks: AbortHandle,
}

impl Testbed {
    /// Starts the simulated services and the daemons.
    pub async fn start(site: Site) -> std::io::Result<Testbed> {
        let ledger = Ledger::new(site.ledger_pools());
        let log = Log::start().await?;
        let mut workers = Vec::new();
        for listed in site.boxes() {
            workers.push(Worker::start(listed, ledger.clone(), REBOOT_TIME).await?);
        }
        let listed = workers.iter().map(|worker| worker.listed.clone());
        let boxes = Boxes::start(listed.collect()).await?;
        let settings = settings(&site, log.addr, boxes.addr)?;
        let mut daemons = Vec::new();
        for settings in &settings {
            daemons.push(Some(start_daemon(settings)?));
        }
        let addrs = settings.iter().map(|settings| settings.call_addr);
        let balancer = Arc::new(Balancer::new(addrs.collect()));
        let checker = balancer.clone();
        let health_checks =
            tokio::spawn(async move { checker.keep_checking(HEALTH_CHECK_INTERVAL).await });
        let health_checks = health_checks.abort_handle();
        let kills = Arc::new(Kills::new(DAEMONS.into()));
        Ok(Testbed {
            site,
            ledger,
            balancer,
            log,
            boxes,
            workers,
            settings,
            daemons,
            kills,
            started_at: Instant::now(),
            health_checks,
        })
    }

    /// Waits until a condition holds. After the timeout it prints a message and returns; the trial
    /// goes on and its report shows the consequences.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&Testbed) -> bool) {
        let started_at = Instant::now();
        while !condition(self) {
            if started_at.elapsed() > READY_TIMEOUT {
                println!("gave up waiting until {what}");
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Client of one daemon with the credential of the site operator.
    pub fn site_client(&self, daemon: usize) -> Client {
        Client::new(self.settings[daemon].operate_addr, &format!("site:{SITE_SECRET}"))
    }

    /// Client of a running daemon with the credential of the site operator.
    pub fn any_client(&self) -> Client {
        let running = self.daemons.iter().position(Option::is_some);
        self.site_client(running.unwrap_or(0))
    }

    /// The site's configuration with a second caller key for the first account.
    pub fn config_with_new_key(&self) -> String {
        let account = self.site.pools[0].account;
        let old = format_hash(&hash_secret(&caller_secret(account)));
        let new = format_hash(&hash_secret(NEW_KEY));
        self.site.config().replacen(&old, &format!("{old}\", \"{new}"), 1)
    }

    /// Waits until calls with the new key succeed at every daemon, or the timeout has passed.
    pub async fn wait_for_new_key(&self) {
        let dialer = Dialer::new(Duration::from_secs(1));
        let pool = &self.site.pools[0];
        let started_at = Instant::now();
        for settings in &self.settings {
            loop {
                let call = Call {
                    token: rand::rng().random(),
                    credential: format!("{}:{NEW_KEY}", pool.account),
                    service: pool.services[0].0.to_owned(),
                    repeatable: true,
                    run_ms: 1,
                    body: Bytes::new(),
                };
                let outcome =
                    caller::call_and_record(&self.ledger, &dialer, settings.call_addr, &call).await;
                if outcome == Outcome::Answered || started_at.elapsed() > READY_TIMEOUT {
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Kills a serving worker of the first pool. Returns its name.
    pub fn kill_worker(&self) -> String {
        let in_pool = &self.workers[..self.site.pools[0].boxes];
        let mut serving = in_pool.iter().filter(|worker| !worker.status().draining);
        // The wave usually maintains the last worker last, so its step has not started yet.
        let victim = serving.next_back().unwrap_or(&in_pool[0]);
        victim.kill();
        victim.listed.name.to_string()
    }

    /// Kills a daemon without waiting for its threads to end.
    pub fn kill_daemon(&mut self, daemon: usize) {
        if let Some(running) = self.daemons[daemon].take() {
            self.kills.record_started(daemon);
            let started_at = self.started_at;
            println!("kills daemon {daemon} at {} ms", started_at.elapsed().as_millis());
            let killed = running.kill();
            let kills = self.kills.clone();
            std::thread::spawn(move || {
                let is_joined = killed.join().is_ok();
                kills.record_ended(daemon);
                println!(
                    "daemon {daemon} is gone at {} ms ({is_joined})",
                    started_at.elapsed().as_millis()
                );
            });
        }
    }

    /// Starts a new daemon without state in place of a killed one.
    pub fn replace_daemon(&mut self, daemon: usize) -> std::io::Result<()> {
        self.daemons[daemon] = Some(start_daemon(&self.settings[daemon])?);
        Ok(())
    }

    /// Stops a daemon gracefully under load, as an operator would.
    pub async fn stop_daemon(&mut self, daemon: usize) {
        if let Some(running) = self.daemons[daemon].take() {
            println!("stops daemon {daemon} at {} ms", self.started_at.elapsed().as_millis());
            running.stop().await;
            println!(
                "stopped daemon {daemon} under load, {} ms",
                self.started_at.elapsed().as_millis()
            );
        }
    }

    /// Sums of the counters of all running daemons.
    pub async fn totals(&self) -> Totals {
        let mut sum = Totals::new();
        for (daemon, running) in self.daemons.iter().enumerate() {
            if running.is_none() {
                continue;
            }
            let totals: Result<Totals, _> = self.site_client(daemon).get("/v1/counters").await;
            for (name, total) in totals.unwrap_or_default() {
                *sum.entry(name).or_default() += total;
            }
        }
        sum
    }

    /// Stops all daemons and simulated services.
    pub async fn stop_all(mut self) {
        self.health_checks.abort();
        for daemon in self.daemons.iter_mut().filter_map(Option::take) {
            // Waiting for the thread lets its sockets close before the process ends.
            let killed = daemon.kill();
            let _ = tokio::task::spawn_blocking(move || killed.join()).await;
        }
        self.log.stop();
        self.boxes.stop();
        for worker in &self.workers {
            worker.kill();
        }
    }
}

/// Starts a daemon on a thread of its own, outside the current runtime.
fn start_daemon(settings: &Settings) -> std::io::Result<Daemon> {
    let settings = settings.clone();
    let started = std::thread::spawn(move || Daemon::start(settings)).join();
    started.unwrap_or_else(|_| Err(std::io::Error::other("the daemon's thread panicked")))
}

/// Settings of all daemons, each on its own loopback address.
fn settings(site: &Site, log: SocketAddr, boxes: SocketAddr) -> std::io::Result<Vec<Settings>> {
    let mut addrs: Vec<[SocketAddr; 3]> = Vec::new();
    for id in 0..DAEMONS {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 2, 0, id as u8 + 1));
        addrs.push(ports::free(ip)?);
    }
    let mut all = Vec::new();
    for id in 0..DAEMONS {
        let others = (0..DAEMONS).filter(|other| *other != id);
        let peers = others.map(|other| (other, addrs[usize::from(other)][2]));
        let [call_addr, operate_addr, peer_addr] = addrs[usize::from(id)];
        all.push(Settings {
            id,
            hall: site.halls[usize::from(id) % site.halls.len()].to_owned(),
            call_addr,
            operate_addr,
            peer_addr,
            peers: peers.collect(),
            peer_key: derive_key("trial-peer-secret"),
            log_addr: log,
            box_list_addr: boxes,
            site_key_hash: hash_secret(SITE_SECRET),
            max_age: Duration::from_millis(2500),
            heartbeat_interval: Duration::from_millis(250),
            poll_interval: Duration::from_millis(300),
            poll_bytes_per_s: 30_000,
            appends_per_s: 12,
            queue_limit: 128,
            queue_wait: Duration::from_millis(500),
            call_limit: Duration::from_secs(15),
            body_limit: 1024 * 1024,
            memory: 260 << 20,
            max_descriptors: 4_100,
            stop_delay: Duration::from_secs(1),
            snapshot_every: 64,
            snapshot_period: Duration::from_secs(5),
            down_grace: Duration::from_secs(2),
            statsd: None,
        });
    }
    Ok(all)
}
