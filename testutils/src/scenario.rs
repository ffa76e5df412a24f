//! The directives of the scenario files: each runs a step on a small site of real daemons and
//! prints the result, which the file states.
//!
//! | directive | effect | output |
//! |---|---|---|
//! | `site daemons=N [flag=value …]` | starts a site and places its services | `serving` |
//! | `publish daemon=N front=M` | publishes a budget for pool `front` | `accepted` or the error |
//! | `intent daemon=N as=NAME` + JSON | sends an intent | `planned` or the error |
//! | `confirm daemon=N plan=NAME`, `abort …` | confirms or aborts a plan | `accepted` or the error |
//! | `race first=NAME second=NAME` | confirms two plans concurrently, on daemons 0 and 1 | both results, sorted |
//! | `until plan=NAME ended=N`, `phase=P`, `begun` | waits until a plan has N ended steps, a phase, or a started step | `yes` |
//! | `until daemon=N basis=B` | waits until a daemon serves by this basis | `yes` |
//! | `until daemon=N counter=NAME min=M` | waits until a counter is at least M | `yes` |
//! | `until daemon=N front=M` | waits until a daemon has this budget for pool `front` | `yes` |
//! | `call daemon=N` | sends a request that must run at most once | its outcome |
//! | `log away`, `back`, `lose-answers=N`, `double=N`, `delay-ms=N` | sets the faults of the log | `set` |
//! | `log keep-snapshot`, `keep=N` | the log drops what is before its last snapshot, or all but the last N records | `set` |
//! | `cut log=N`, `cut peers=N`, `cut boxes`, `mend …` | cuts or restores a daemon's links, or that to the box list | `set` |
//! | `hold log=N` | a daemon's connections to the log stay open but transfer nothing | `set` |
//! | `deafen daemon=N from=M` | drops the heartbeats from one daemon to another | `set` |
//! | `slow log=N ms=M` | delays what a daemon receives from the log | `set` |
//! | `slow peers=N ms=M`, `slow peers=N double` | delays or duplicates the heartbeats from and to a daemon | `set` |
//! | `kill daemon=N`, `start`, `pause`, `resume`; `kill worker=NAME` | controls the process of a daemon; kills a worker | `set` |
//! | `driver plan=NAME do=kill`, `pause`, `resume` | the same for the daemon that drives the plan | `set` |
//! | `alike` | compares the fleet as the running daemons show it | `alike` or the difference |
//! | `ledger` | checks what workers and callers observed | `clean` or the violated guarantees |

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use datadriven::TestCase;
use nix::sys::signal::Signal;
use serde_json::Value;
use spokelift_lib::state::id::Offset;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;

use crate::fixture::Fixture;
use crate::log::Faults;
use crate::log::Log;
use crate::proxy::DatagramFault;
use crate::proxy::Fault;
use crate::proxy::Flow;

/// Runs the scenario files at `path` with daemons of `program`; panics where an output differs.
pub fn run(program: &str, path: &str) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    let mut scenario = Scenario { program: program.to_owned(), ..Scenario::default() };
    datadriven::walk(path, |file| {
        file.run(|case| {
            let mut output = runtime.block_on(scenario.run_step(case));
            case.expect_empty().expect("every argument is one of the directive's");
            output.push('\n');
            output
        });
    });
}

/// The state of a scenario.
#[derive(Default)]
struct Scenario {
    program: String,
    fixture: Option<Fixture>,
    daemons: usize,
    running: BTreeSet<usize>,
    plans: BTreeMap<String, String>,
    driver: Option<usize>,
    token: u64,
}

fn required_arg<T: FromStr>(case: &mut TestCase, name: &str) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.take_arg(name).expect("the directive has this argument")
}

fn optional_arg<T: FromStr>(case: &mut TestCase, name: &str) -> Option<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).expect("the argument can be parsed")
}

fn take_flag(case: &mut TestCase, name: &str) -> bool {
    case.take_flag(name).expect("the flag has no value")
}

/// The arguments of `site` that become flags of the daemons.
const SITE_FLAGS: [&str; 3] = ["snapshot-every", "snapshot-s", "max-age-ms"];

impl Scenario {
    fn fixture(&self) -> &Fixture {
        self.fixture.as_ref().expect("a scenario begins with a site")
    }

    async fn run_step(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "site" => self.site(case).await,
            "publish" => self.publish(case).await,
            "intent" => self.intent(case).await,
            "confirm" | "abort" => self.change_plan(case).await,
            "race" => self.race(case).await,
            "until" => self.until(case).await,
            "call" => self.call(case).await,
            "log" => self.log(case),
            "cut" => self.cut(case, true),
            "mend" => self.cut(case, false),
            "slow" => self.slow(case),
            "hold" => self.hold(case),
            "deafen" => self.drop_heartbeats(case),
            "kill" | "start" | "pause" | "resume" => self.process(case),
            "driver" => self.driver(case).await,
            "alike" => self.compare_views().await,
            "ledger" => self.ledger(),
            directive => panic!("unknown directive {directive}"),
        }
    }

    async fn site(&mut self, case: &mut TestCase) -> String {
        self.daemons = required_arg(case, "daemons");
        let arguments = SITE_FLAGS.map(|flag| (flag, optional_arg::<String>(case, flag)));
        let flags: Vec<(&'static str, String)> =
            arguments.into_iter().filter_map(|(flag, value)| Some((flag, value?))).collect();
        let flags: Vec<(&'static str, &str)> =
            flags.iter().map(|(flag, value)| (*flag, value.as_str())).collect();
        let fixture = Fixture::start(&self.program, self.daemons, &flags).await;
        let fixture = fixture.expect("the site starts");
        fixture.set_up().await;
        self.running = (0..self.daemons).collect();
        self.fixture = Some(fixture);
        "serving".to_owned()
    }

    async fn publish(&mut self, case: &mut TestCase) -> String {
        let daemon = required_arg(case, "daemon");
        let max_out: u32 = required_arg(case, "front");
        let text = format!(
            "[[pool]]\nname = \"front\"\naccount = \"clinics\"\nweigh = \"buffer\"\n\
             drain_limit_s = 15\nmaintenance_s = 2\nmax_out = {max_out}\n"
        );
        // Either budget may be in force while the change is being published, so the ledger allows
        // the larger one.
        let ledger = &self.fixture().ledger;
        let before = ledger.max_out("front");
        ledger.set_max_out("front", before.max(max_out as usize));
        let answer = self.fixture().call_operator_api(daemon, "POST", "/v1/publish", &text).await;
        let accepted = answer.0 == 200;
        ledger.set_max_out("front", if accepted { max_out as usize } else { before });
        summarize_answer(&answer)
    }

    async fn intent(&mut self, case: &mut TestCase) -> String {
        let daemon = required_arg(case, "daemon");
        let name: String = required_arg(case, "as");
        let answer =
            self.fixture().call_operator_api(daemon, "POST", "/v1/intents", &case.input).await;
        match answer.1["id"].as_str() {
            Some(id) => {
                self.plans.insert(name, id.to_owned());
                "planned".to_owned()
            }
            None => summarize_answer(&answer),
        }
    }

    /// The id of a plan that was named, or else the text itself as an id.
    fn plan_id<'a>(&'a self, name: &'a str) -> &'a str {
        self.plans.get(name).map_or(name, String::as_str)
    }

    async fn change_plan(&mut self, case: &mut TestCase) -> String {
        let daemon = required_arg(case, "daemon");
        let plan: String = required_arg(case, "plan");
        let path = format!("/v1/plans/{}/{}", self.plan_id(&plan), case.directive);
        summarize_answer(&self.fixture().call_operator_api(daemon, "POST", &path, "").await)
    }

    async fn race(&mut self, case: &mut TestCase) -> String {
        let names: [String; 2] = [required_arg(case, "first"), required_arg(case, "second")];
        let paths = names.map(|name| format!("/v1/plans/{}/confirm", self.plan_id(&name)));
        let (first, second) = tokio::join!(
            self.fixture().call_operator_api(0, "POST", &paths[0], ""),
            self.fixture().call_operator_api(1, "POST", &paths[1], ""),
        );
        let mut verdicts = [summarize_answer(&first), summarize_answer(&second)];
        verdicts.sort();
        verdicts.join("\n")
    }

    /// A running daemon, which can show plans.
    fn running_daemon(&self) -> usize {
        *self.running.first().expect("a daemon runs")
    }

    async fn until(&mut self, case: &mut TestCase) -> String {
        match optional_arg::<String>(case, "plan") {
            Some(plan) => self.until_plan(case, &plan).await,
            None => self.until_daemon(case).await,
        }
        "yes".to_owned()
    }

    async fn until_plan(&self, case: &mut TestCase, name: &str) {
        let ended: Option<u64> = optional_arg(case, "ended");
        let phase: Option<String> = optional_arg(case, "phase");
        let must_have_started = take_flag(case, "begun");
        let fixture = self.fixture();
        let daemon = self.running_daemon();
        let reached = async || {
            let plan = fixture.plan(daemon, self.plan_id(name)).await;
            let enough = ended.is_none_or(|ended| plan["finished"].as_u64() >= Some(ended));
            let in_phase = phase.as_ref().is_none_or(|phase| plan["phase"] == phase.as_str());
            let started = !must_have_started || has_started_step(&plan);
            enough && in_phase && started && plan["id"].is_string()
        };
        fixture.wait_until(&format!("plan {name} is so far"), reached).await;
    }

    async fn until_daemon(&self, case: &mut TestCase) {
        let daemon: usize = required_arg(case, "daemon");
        let fixture = self.fixture();
        if let Some(basis) = optional_arg::<String>(case, "basis") {
            let reached = async || {
                let (_, status) = fixture.call_operator_api(daemon, "GET", "/v1/status", "").await;
                status["basis"] == basis.as_str()
            };
            fixture.wait_until(&format!("daemon {daemon} serves by {basis}"), reached).await;
        }
        if let Some(counter) = optional_arg::<String>(case, "counter") {
            let min: u64 = required_arg(case, "min");
            let reached = async || fixture.counter(daemon, &counter).await >= min;
            fixture.wait_until(&format!("{counter} is {min}"), reached).await;
        }
        if let Some(max_out) = optional_arg::<u64>(case, "front") {
            let reached = async || {
                let (_, pools) = fixture.call_operator_api(daemon, "GET", "/v1/pools", "").await;
                pools[0]["max_out"] == max_out
            };
            fixture.wait_until(&format!("daemon {daemon} has the budget {max_out}"), reached).await;
        }
    }

    async fn call(&mut self, case: &mut TestCase) -> String {
        let daemon = required_arg(case, "daemon");
        self.token += 1;
        let call = self.fixture().build_call("clinics", "booking", self.token);
        format!("{:?}", self.fixture().call(daemon, &call).await)
    }

    fn log(&mut self, case: &mut TestCase) -> String {
        let log = &self.fixture().log;
        if take_flag(case, "keep-snapshot") {
            let mark = last_snapshot_mark(log).expect("a snapshot is on the log");
            log.retain_from(mark);
            return "set".to_owned();
        }
        if let Some(kept) = optional_arg::<u64>(case, "keep") {
            log.retain_from(log.next_offset().saturating_sub(kept));
            return "set".to_owned();
        }
        take_flag(case, "back");
        log.set_faults(Faults {
            unavailable: take_flag(case, "away"),
            delay: Duration::from_millis(optional_arg(case, "delay-ms").unwrap_or(0)),
            lose_answers: optional_arg(case, "lose-answers").unwrap_or(0),
            duplicate: optional_arg(case, "double").unwrap_or(0),
        });
        "set".to_owned()
    }

    fn cut(&mut self, case: &mut TestCase, cut: bool) -> String {
        let fixture = self.fixture();
        if take_flag(case, "boxes") {
            fixture.boxes_link.set_fault(Fault { refuse: cut, ..Fault::default() });
        }
        if let Some(daemon) = optional_arg::<usize>(case, "log") {
            let fault = Fault { refuse: cut, ..Default::default() };
            fixture.log_links[daemon].set_fault(fault);
        }
        if let Some(daemon) = optional_arg::<usize>(case, "peers") {
            for (from, to) in self.links_of(daemon) {
                let link = fixture.peer_links[from][to].as_ref();
                link.expect("there is a link between two daemons").set_cut(cut);
            }
        }
        "set".to_owned()
    }

    fn hold(&mut self, case: &mut TestCase) -> String {
        let daemon: usize = required_arg(case, "log");
        let fault = Fault { request: Flow::Hold, answer: Flow::Hold, ..Fault::default() };
        self.fixture().log_links[daemon].set_fault(fault);
        "set".to_owned()
    }

    fn drop_heartbeats(&mut self, case: &mut TestCase) -> String {
        let daemon: usize = required_arg(case, "daemon");
        let from: usize = required_arg(case, "from");
        let link = self.fixture().peer_links[from][daemon].as_ref();
        let link = link.expect("there is a link between two daemons");
        link.datagrams.set_fault(DatagramFault { drop: true, ..DatagramFault::default() });
        "set".to_owned()
    }

    fn slow(&mut self, case: &mut TestCase) -> String {
        if let Some(daemon) = optional_arg::<usize>(case, "log") {
            let delay = Flow::Delay(Duration::from_millis(required_arg(case, "ms")));
            let fault = Fault { answer: delay, ..Fault::default() };
            self.fixture().log_links[daemon].set_fault(fault);
            return "set".to_owned();
        }
        let daemon: usize = required_arg(case, "peers");
        let delay = Duration::from_millis(optional_arg(case, "ms").unwrap_or(0));
        let duplicate = take_flag(case, "double");
        let fault = DatagramFault { delay, duplicate, ..DatagramFault::default() };
        for (from, to) in self.links_of(daemon) {
            let link = self.fixture().peer_links[from][to].as_ref();
            link.expect("there is a link between two daemons").datagrams.set_fault(fault);
        }
        "set".to_owned()
    }

    /// The links to and from a daemon, as pairs of sender and receiver.
    fn links_of(&self, daemon: usize) -> Vec<(usize, usize)> {
        let others = (0..self.daemons).filter(|other| *other != daemon);
        others.flat_map(|other| [(daemon, other), (other, daemon)]).collect()
    }

    fn process(&mut self, case: &mut TestCase) -> String {
        let directive = case.directive.clone();
        if let Some(worker) = optional_arg::<String>(case, "worker") {
            let workers = &self.fixture().workers;
            let found = workers.iter().find(|candidate| candidate.listed.name.as_ref() == worker);
            found.expect("the site has this box").kill();
            return "set".to_owned();
        }
        let daemon = required_arg(case, "daemon");
        self.control_daemon(&directive, daemon);
        "set".to_owned()
    }

    fn control_daemon(&mut self, directive: &str, daemon: usize) {
        let fixture = self.fixture.as_mut().expect("a scenario begins with a site");
        match directive {
            "kill" => {
                fixture.kill_daemon(daemon);
                self.running.remove(&daemon);
            }
            "start" => {
                fixture.start_daemon(daemon).expect("the daemon starts");
                self.running.insert(daemon);
            }
            "pause" => {
                fixture.signal(daemon, Signal::SIGSTOP).expect("the daemon runs");
                self.running.remove(&daemon);
            }
            "resume" => {
                fixture.signal(daemon, Signal::SIGCONT).expect("the daemon is there");
                self.running.insert(daemon);
            }
            directive => panic!("unknown directive {directive}"),
        }
    }

    async fn driver(&mut self, case: &mut TestCase) -> String {
        let directive: String = required_arg(case, "do");
        if let Some(plan) = optional_arg::<String>(case, "plan") {
            let plan = self.fixture().plan(self.running_daemon(), self.plan_id(&plan)).await;
            self.driver = plan["holder"].as_u64().map(|holder| holder as usize);
        }
        let driver = self.driver.expect("the plan has a driver");
        self.control_daemon(&directive, driver);
        "set".to_owned()
    }

    /// Compares the views of the running daemons once all have applied the same records.
    async fn compare_views(&self) -> String {
        let fixture = self.fixture();
        let mut views = Vec::new();
        let settled = async || {
            views.clear();
            for daemon in &self.running {
                views.push(daemon_view(fixture, *daemon).await);
            }
            // The first and the last element of each view are the daemon's offset: if they are all
            // equal, the elements in between show the same state.
            let ends = views.iter().flat_map(|view| [view.first(), view.last()]);
            let next: BTreeSet<String> = ends.map(|next| format!("{next:?}")).collect();
            next.len() == 1
        };
        fixture.wait_until("all have applied the same", settled).await;
        let distinct: BTreeSet<String> = views.iter().map(|view| format!("{view:?}")).collect();
        if distinct.len() == 1 { "alike".to_owned() } else { format!("{distinct:#?}") }
    }

    fn ledger(&self) -> String {
        let violations = self.fixture().ledger.counts().violations();
        if violations.is_empty() { "clean".to_owned() } else { violations.join("\n") }
    }
}

/// The offset in the log of the mark of the last complete snapshot.
fn last_snapshot_mark(log: &Log) -> Option<Offset> {
    let mut last = None;
    for (_, bytes) in log.records() {
        let Ok(batch) = Batch::decode(&bytes) else {
            continue;
        };
        for record in batch.records {
            if let Body::Snapshot(chunk) = record.body
                && chunk.part + 1 == chunk.parts
            {
                last = Some(chunk.mark);
            }
        }
    }
    last
}

fn has_started_step(plan: &Value) -> bool {
    let steps = plan["steps"].as_array();
    steps.is_some_and(|steps| steps.iter().any(|step| step["progress"].get("out").is_some()))
}

/// The daemon's offset, the fleet as the daemon shows it, and its offset again.
async fn daemon_view(fixture: &Fixture, daemon: usize) -> Vec<Value> {
    let next =
        async || fixture.call_operator_api(daemon, "GET", "/v1/status", "").await.1["next"].clone();
    let mut views = vec![next().await];
    for path in ["/v1/pools", "/v1/boxes", "/v1/jobs", "/v1/plans"] {
        views.push(fixture.call_operator_api(daemon, "GET", path, "").await.1);
    }
    views.push(next().await);
    views
}

/// An operator's answer in one line, without ids and offsets.
fn summarize_answer((status, answer): &(u16, Value)) -> String {
    if *status == 200 {
        return "accepted".to_owned();
    }
    let error = answer["error"].as_str().unwrap_or("no answer");
    let refusal = match &answer["refusal"] {
        Value::Object(refusal) => refusal.keys().next().cloned(),
        Value::String(refusal) => Some(refusal.clone()),
        _ => None,
    };
    match refusal {
        Some(refusal) => format!("{error}: {refusal}"),
        None => error.to_owned(),
    }
}
