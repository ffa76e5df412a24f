//! A small site of real daemons, with a proxy on every link that a test may want to break.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::header::AUTHORIZATION;
use serde_json::Value;
use spokelift_lib::protocol::boxes::ListedBox;
use spokelift_lib::state::account::format_hash;
use spokelift_lib::state::account::hash_secret;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;
use tokio::time::sleep;

use crate::boxes::Boxes;
use crate::caller;
use crate::caller::Call;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::log::Log;
use crate::process::Process;
use crate::proxy::Link;
use crate::proxy::Proxy;
use crate::site::Pool;
use crate::site::Site;
use crate::site::caller_secret;
use crate::worker::Worker;

/// How long a test waits for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two checks of an awaited condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// How long a worker's reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(300);
/// How long a daemon may take to answer an operator's request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// The secret of the site's operator.
pub const SITE_SECRET: &str = "fixture-site-secret";
/// The credential of the site's operator.
pub const SITE_KEY: &str = "site:fixture-site-secret";

/// A site of twelve boxes: two accounts with a pool and a service each.
pub const SMALL_SITE: Site = Site {
    name: "small",
    halls: &["hall-1", "hall-2", "hall-3"],
    weigh: "buffer",
    pools: &[
        Pool {
            name: "front",
            account: "clinics",
            boxes: 8,
            max_out: 2,
            services: &[("booking", 6)],
        },
        Pool {
            name: "outreach",
            account: "donors",
            boxes: 4,
            max_out: 1,
            services: &[("recall", 6)],
        },
    ],
};

/// The site, its stand-ins and its daemons.
pub struct Fixture {
    /// The description of the site.
    pub site: Site,
    /// What workers and callers observed.
    pub ledger: Ledger,
    /// The stand-in for the log.
    pub log: Log,
    /// The stand-in for the box list.
    pub boxes: Boxes,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The proxy between the daemons and the box list.
    pub boxes_link: Proxy,
    /// The proxies between each daemon and the log.
    pub log_links: Vec<Proxy>,
    /// The links between the daemons: `peer_links[from][to]`, `None` from a daemon to itself.
    pub peer_links: Vec<Vec<Option<Link>>>,
    daemons: Vec<Option<Process>>,
    program: String,
    dialer: Dialer,
    flags: Vec<(&'static str, String)>,
    variables: Vec<(&'static str, &'static str)>,
}

impl Fixture {
    /// Starts the small site with `daemons` daemons of the program, which get `flags` in addition,
    /// and waits until all serve.
    pub async fn start(
        program: &str,
        daemons: usize,
        flags: &[(&'static str, &str)],
    ) -> io::Result<Fixture> {
        Fixture::start_with_variables(program, daemons, flags, &[]).await
    }

    /// Starts the small site as [`Fixture::start`] does, with environment variables for the daemons.
    pub async fn start_with_variables(
        program: &str,
        daemons: usize,
        flags: &[(&'static str, &str)],
        variables: &[(&'static str, &'static str)],
    ) -> io::Result<Fixture> {
        let site = SMALL_SITE;
        let ledger = Ledger::new(site.ledger_pools());
        let log = Log::start().await?;
        let mut workers = Vec::new();
        for listed in site.boxes() {
            workers.push(Worker::start(with_test_addr(listed), ledger.clone(), REBOOT_TIME).await?);
        }
        let listed = workers.iter().map(|worker| worker.listed.clone());
        let boxes = Boxes::start(listed.collect()).await?;
        let boxes_link = Proxy::start(boxes.addr).await?;
        let mut log_links = Vec::new();
        for _ in 0..daemons {
            log_links.push(Proxy::start(log.addr).await?);
        }
        let flags = flags.iter().map(|(flag, value)| (*flag, (*value).to_owned()));
        let mut fixture = Fixture {
            site,
            ledger,
            log,
            boxes,
            workers,
            boxes_link,
            log_links,
            peer_links: start_links(daemons).await?,
            daemons: (0..daemons).map(|_| None).collect(),
            program: program.to_owned(),
            dialer: Dialer::new(Duration::from_secs(1)),
            flags: flags.collect(),
            variables: variables.to_vec(),
        };
        for id in 0..daemons {
            fixture.start_daemon(id)?;
        }
        fixture.wait_until_serving().await;
        Ok(fixture)
    }

    /// Starts a daemon with an empty state under an index, in place of the one before.
    pub fn start_daemon(&mut self, id: usize) -> io::Result<()> {
        let links = self.peer_links[id].iter().enumerate();
        let peers = links.filter_map(|(to, link)| Some(format!("{to}={}", link.as_ref()?.addr())));
        let peers: Vec<String> = peers.collect();
        let mut flags = vec![
            ("id", id.to_string()),
            ("hall", self.site.halls[id % self.site.halls.len()].to_owned()),
            ("peers", peers.join(",")),
            ("peer-secret", "fixture-peer-secret".to_owned()),
            ("log", self.log_links[id].addr.to_string()),
            ("boxes", self.boxes_link.addr.to_string()),
            ("site-key-hash", format_hash(&hash_secret(SITE_SECRET))),
            ("heartbeat-ms", "200".to_owned()),
            ("poll-ms", "200".to_owned()),
            ("stop-delay-ms", "300".to_owned()),
            ("down-grace-ms", "500".to_owned()),
            ("appends-per-s", "30".to_owned()),
        ];
        flags.extend(self.flags.clone());
        let process = Process::start(&self.program, &flags, &self.variables)?;
        for link in self.peer_links.iter().filter_map(|links| links[id].as_ref()) {
            link.set_upstream(process.addrs.peer);
        }
        self.daemons[id] = Some(process);
        Ok(())
    }

    /// The process of a daemon.
    pub fn daemon(&mut self, id: usize) -> &mut Process {
        self.daemons[id].as_mut().expect("the test started this daemon")
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, id: usize, signal: nix::sys::signal::Signal) -> io::Result<()> {
        let daemon = self.daemons[id].as_ref().expect("the test started this daemon");
        daemon.signal(signal)
    }

    /// The addresses on which a daemon listens.
    pub fn addrs(&self, id: usize) -> spokelift_lib::daemon::Addrs {
        self.daemons[id].as_ref().expect("the test started this daemon").addrs
    }

    /// The process id of a daemon.
    pub fn pid(&self, id: usize) -> u32 {
        self.daemons[id].as_ref().expect("the test started this daemon").pid()
    }

    /// Kills a daemon.
    pub fn kill_daemon(&mut self, id: usize) {
        self.daemons[id] = None;
    }

    /// Waits until `condition` returns true.
    ///
    /// # Panics
    ///
    /// If it does not within [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let started_at = Instant::now();
        while !condition().await {
            if started_at.elapsed() > WAIT_TIMEOUT {
                panic!("timed out waiting until {what}\n{}", self.describe_daemons().await);
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// The status and the counters of all running daemons, for the message of a failed test.
    async fn describe_daemons(&self) -> String {
        let mut report = String::new();
        for id in (0..self.daemons.len()).filter(|id| self.daemons[*id].is_some()) {
            let (_, status) = self.call_operator_api(id, "GET", "/v1/status", "").await;
            let (_, counters) = self.call_operator_api(id, "GET", "/v1/counters", "").await;
            report += &format!("daemon {id}: {status}\n{counters:#}\n");
        }
        report
    }

    /// Waits until every running daemon serves and has contact with all other running ones.
    pub async fn wait_until_serving(&self) {
        let running: Vec<usize> =
            (0..self.daemons.len()).filter(|id| self.daemons[*id].is_some()).collect();
        self.wait_until("every daemon serves", async || {
            for id in &running {
                let (_, status) = self.call_operator_api(*id, "GET", "/v1/status", "").await;
                let peers = status["peers"].as_array().map_or(0, Vec::len);
                if status["serving"] != true || peers + 1 < running.len() {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Sends a request with the site operator's credential; returns the status and the JSON body.
    pub async fn call_operator_api(
        &self,
        id: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        self.call_operator_api_as(SITE_KEY, id, method, path, body).await
    }

    /// Sends an operator's request with a credential; returns the status and the JSON body, or 0
    /// and null if there was no answer.
    pub async fn call_operator_api_as(
        &self,
        key: &str,
        id: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
        let request = Request::builder()
            .method(Method::from_bytes(method.as_bytes()).expect("tests name real methods"))
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {key}"))
            .body(full(body.to_owned()))
            .expect("tests make valid requests");
        let addr = self.addrs(id).operate;
        match self.dialer.exchange(addr, request, 1 << 26, ANSWER_TIMEOUT).await {
            Ok(answer) => {
                let json = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
                (answer.status().as_u16(), json)
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Publishes the site's configuration and places each service on all boxes of its pool.
    pub async fn set_up(&self) {
        let (status, answer) =
            self.call_operator_api(0, "POST", "/v1/publish", &self.site.config()).await;
        assert_eq!(status, 200, "{answer}");
        for pool in self.site.pools {
            for (service, _) in pool.services {
                let intent = format!(
                    r#"{{"place":{{"account":"{}","service":"{service}","replicas":{}}}}}"#,
                    pool.account, pool.boxes
                );
                let plan = self.propose_and_confirm(0, &intent).await;
                self.wait_until_plan_ended(0, &plan).await;
            }
        }
    }

    /// Sends an intent; returns the id of its plan.
    pub async fn propose(&self, id: usize, intent: &str) -> String {
        let (status, plan) = self.call_operator_api(id, "POST", "/v1/intents", intent).await;
        assert_eq!(status, 200, "{plan}");
        plan["id"].as_str().expect("a plan has an id").to_owned()
    }

    /// Sends an intent and confirms its plan; returns the plan's id.
    pub async fn propose_and_confirm(&self, id: usize, intent: &str) -> String {
        let plan = self.propose(id, intent).await;
        let path = format!("/v1/plans/{plan}/confirm");
        let (status, answer) = self.call_operator_api(id, "POST", &path, "").await;
        assert_eq!(status, 200, "{answer}");
        plan
    }

    /// A plan as a daemon shows it.
    pub async fn plan(&self, id: usize, plan: &str) -> Value {
        self.call_operator_api(id, "GET", &format!("/v1/plans/{plan}"), "").await.1
    }

    /// Waits until a plan is done or aborted.
    pub async fn wait_until_plan_ended(&self, id: usize, plan: &str) {
        self.wait_until("the plan has ended", async || {
            let phase = self.plan(id, plan).await["phase"].clone();
            phase == "done" || phase == "aborted"
        })
        .await;
    }

    /// A counter of a daemon; 0 if it has none of this name.
    pub async fn counter(&self, id: usize, name: &str) -> u64 {
        let (_, counters) = self.call_operator_api(id, "GET", "/v1/counters", "").await;
        counters[name].as_u64().unwrap_or(0)
    }

    /// A request of an account's caller that must run at most once.
    pub fn build_call(&self, account: &str, service: &str, token: u64) -> Call {
        Call {
            token,
            credential: format!("{account}:{}", caller_secret(account)),
            service: service.to_owned(),
            repeatable: false,
            run_ms: 5,
            body: Bytes::from_static(b"a request"),
        }
    }

    /// Sends a request to a daemon and records its sending and its outcome in the ledger.
    pub async fn call(&self, id: usize, call: &Call) -> Outcome {
        caller::call_and_record(&self.ledger, &self.dialer, self.addrs(id).call, call).await
    }

    /// Sends an arbitrary request to a daemon's address for callers; `None` if there was no answer.
    pub async fn send_raw(
        &self,
        id: usize,
        request: Request<spokelift_lib::transport::dial::Body>,
    ) -> Option<Response<Bytes>> {
        let addr = self.addrs(id).call;
        self.dialer.exchange(addr, request, 1 << 20, ANSWER_TIMEOUT).await.ok()
    }
}

/// Several test sites may run at the same time in one process and in others, so a box's address is
/// a loopback address with a port chosen by the system.
fn with_test_addr(listed: ListedBox) -> ListedBox {
    let addr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 3, 0, 1)), 0);
    ListedBox { addr, ..listed }
}

async fn start_links(daemons: usize) -> io::Result<Vec<Vec<Option<Link>>>> {
    let mut all = Vec::new();
    for from in 0..daemons {
        let mut links = Vec::new();
        for to in 0..daemons {
            links.push(match from == to {
                true => None,
                false => Some(Link::start().await?),
            });
        }
        all.push(links);
    }
    Ok(all)
}
