//! The bytes of stored records and of messages between nodes, and the JSON that operators get: a node reads what another
//! build has written, so none of it may change by a rename. Each line of `encodings.txt` is a name and the bytes in
//! hexadecimal digits, or the JSON.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::config::Config;
use spokelift_lib::batch::config::payload::Manifest;
use spokelift_lib::batch::config::transfer::Part;
use spokelift_lib::batch::config::transfer::PartReply;
use spokelift_lib::batch::config::transfer::PartRequest;
use spokelift_lib::batch::crash::Crash;
use spokelift_lib::batch::crash::Evidence;
use spokelift_lib::batch::dispatch::message::Command;
use spokelift_lib::batch::dispatch::message::Event;
use spokelift_lib::batch::dispatch::message::Start;
use spokelift_lib::batch::dispatch::remote::Commands;
use spokelift_lib::batch::dispatch::remote::Report;
use spokelift_lib::batch::dispatch::remote::Session;
use spokelift_lib::batch::leader::lease::LeaderLease;
use spokelift_lib::batch::order_window::HeldBoxes;
use spokelift_lib::batch::outlook;
use spokelift_lib::batch::outlook::Class;
use spokelift_lib::batch::outlook::Outlook;
use spokelift_lib::batch::peer::Reply;
use spokelift_lib::batch::peer::Request;
use spokelift_lib::batch::record;
use spokelift_lib::batch::record::Accepted;
use spokelift_lib::batch::record::JobKey;
use spokelift_lib::batch::record::Progress;
use spokelift_lib::batch::record::StoredWorker;
use spokelift_lib::batch::relay;
use spokelift_lib::batch::view;
use spokelift_lib::batch::worker::Shortage;
use spokelift_lib::batch::worker::Unschedulable;
use spokelift_lib::protocol::catch_up;
use spokelift_lib::protocol::wire;
use spokelift_lib::state::fleet;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::plan;
use spokelift_lib::state::record as log_record;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::snapshot::Chunk;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::store::Appended;
use spokelift_platform::store::Guard;
use spokelift_platform::store::LatestRecords;
use spokelift_platform::store::Page;
use spokelift_platform::store::Partition;
use spokelift_platform::store::Producer;
use spokelift_platform::store::Record;
use spokelift_platform::worker::End;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Outcome;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::PollResponse;
use spokelift_platform::worker::Refusal;
use spokelift_platform::worker::Running;
use spokelift_testutils::batch;
use spokelift_testutils::batch::published;

/// Lines of the file that is compared.
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn bytes(&mut self, name: &str, bytes: &[u8]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(self.0, "{name} {hex}").unwrap();
    }

    fn postcard<T: Serialize>(&mut self, name: &str, value: &T) {
        self.bytes(name, &postcard::to_stdvec(value).unwrap());
    }

    fn record(&mut self, name: &str, record: &Record) {
        let value = record.value.as_deref().unwrap_or_default();
        self.bytes(&format!("{name} {}", record.key), value);
    }

    fn json<T: Serialize>(&mut self, name: &str, value: &T) {
        writeln!(self.0, "{name} {}", serde_json::to_string(value).unwrap()).unwrap();
    }
}

fn addr() -> SocketAddr {
    "127.0.0.1:7001".parse().unwrap()
}

fn task() -> TaskName {
    TaskName { job: 0x5c0e, repetition: 1, step: 2, index: 3 }
}

fn incarnation() -> Incarnation {
    Incarnation::new("i-1", Some(77))
}

fn step() -> Step {
    Step {
        count: 4,
        cpu: 500,
        memory_mb: 256,
        gpu: 1,
        estimate_ms: 900,
        after: vec![0],
        checkpointing: true,
        gang: true,
        same_rack: true,
        requires: Some("fast".to_owned()),
        data_rack: Some("r1-1".to_owned()),
        max_per_worker: 2,
        speculative: true,
        long_running: true,
        image: Some("img".to_owned()),
        max_tail_latency_ms: 40,
        best_effort: true,
        max_unavailable: Some(1),
    }
}

fn accepted() -> Accepted {
    Accepted { account: Some("clinics".into()), ..batch::accepted(vec![step()]) }
}

fn seen() -> PollResponse {
    let running =
        Running { task: task(), run: 9, checkpoint: "c".to_owned(), percent: 40, figure: 12 };
    let outcomes = [
        Outcome::Done,
        Outcome::Failed,
        Outcome::Stopped,
        Outcome::Expired,
        Outcome::GangMemberEnded,
        Outcome::GangIncomplete,
    ];
    let ended = outcomes.into_iter().zip(1..).map(|(outcome, number)| End {
        number,
        task: task(),
        run: 9,
        outcome,
        checkpoint: String::new(),
    });
    PollResponse {
        clock: 1_000,
        running: vec![running],
        ended: ended.collect(),
        birth_ms: Some(77),
    }
}

fn outlook() -> Outlook {
    let class = Class { priority: 1, is_over_rate: true, due_ms: 500, on_time: 7, late: 300 };
    let classes = vec![class];
    let service = outlook::Service { capacity: 64_000, incoming: 32_000, free: 2, classes };
    let services = [("work".to_owned(), service)].into();
    Outlook { leader: 3, incarnation: 77, number: 4, age_ms: 9, services }
}

fn stored(lines: &mut Lines) {
    let key = JobKey { id: 0x5c0e, account: Some("clinics".into()) };
    let anyone = Caller::Anyone { queue: "q".to_owned() };
    lines.record("accepted", &record::accepted(key.id, &accepted()));
    lines.record("cancel", &record::cancel(key.id, &Caller::Account("clinics".into())));
    lines.record("cancel-site", &record::cancel(key.id, &Caller::Operator));
    lines.record("cancel-anyone", &record::cancel(key.id, &anyone));
    lines.record("forget-job", &record::forget_job(&key));
    for dropped in record::forget_cancel(&key) {
        lines.record("forget-cancel", &dropped);
    }
    let place = (1, 2, 3);
    for end in [None, Some(JobState::Succeeded)] {
        let progress = Progress {
            end,
            started: true,
            done: vec![(1, 2, vec![5, 1])],
            failed: vec![(place, vec![7, 8])],
        };
        lines.record("progress", &record::progress(key.id, &progress));
    }
    lines.record("forget-progress", &record::forget_progress(key.id));
    let evidence = [
        Evidence::OnlyRecent,
        Evidence::AmongRecent,
        Evidence::Uncertain,
        Evidence::NotRecent,
        Evidence::Correlated,
    ];
    let crashes = evidence.map(|evidence| Crash { worker: incarnation(), evidence }).to_vec();
    lines.record("crashes", &record::crashes(key.id, &vec![(place, crashes)]));
    lines.record("forget-crashes", &record::forget_crashes(key.id));
    let known = StoredWorker {
        addr: addr(),
        service: "work".to_owned(),
        machine: Some("m-1".to_owned()),
        unresponsive_with: Some(vec![(key.id, place)]),
    };
    lines.record("worker", &record::worker(&incarnation(), &known));
    lines.record("worker-without-birth", &record::worker(&Incarnation::from("i-2"), &known));
    lines.record("forget-worker", &record::forget_worker(&incarnation()));
    lines.record("unheard", &record::unreachable(&incarnation(), Duration::from_millis(1_500)));
    lines.record("forget-unheard", &record::forget_unreachable(&incarnation()));
    lines.record("gone", &record::ended(&incarnation()));
    lines.record("forget-gone", &record::forget_ended(&incarnation()));
    lines.record("wave", &record::wave(3, &["m-1".to_owned(), "m-2".to_owned()]));
    lines.record("forget-wave", &record::forget_wave(3));
    lines.record("wave-seen", &record::wave_seen(3, Duration::new(5, 7)));
    lines.record("forget-wave-seen", &record::forget_wave_seen(3));
    lines.record("ordered", &record::ordered(&HashSet::from(["m-1".to_owned()])));
    for held_boxes in [HeldBoxes::All, HeldBoxes::Only(HashSet::from(["m-1".to_owned()]))] {
        lines.postcard("lead", &lease(held_boxes));
    }
}

fn lease(held_boxes: HeldBoxes) -> LeaderLease {
    LeaderLease {
        node: "n-1".to_owned(),
        incarnation: 5,
        addr: addr(),
        released: true,
        renewals: 2,
        held_boxes,
    }
}

fn commands() -> Vec<Command> {
    let start = Start {
        number: 4,
        task: task(),
        run: 9,
        checkpoint: "c".to_owned(),
        ticket: "t".to_owned(),
    };
    vec![
        Command::AddWorker {
            number: 4,
            peer: Peer { incarnation: incarnation(), addr: addr() },
            durable_end: 6,
            token: 1 << 20,
            renews_lease: true,
        },
        Command::RemoveWorker { number: 4 },
        Command::AcknowledgeEnds { number: 4, end: 6 },
        Command::Grant { number: 4 },
        Command::SetPollRate { number: 4, fast: true },
        Command::Start { spec: "x".to_owned(), starts: vec![start] },
        Command::Stop { number: 4, task: task(), run: 9 },
        Command::Pace { number: 4, task: task(), run: 9, percent: 30 },
        Command::End,
    ]
}

fn events() -> Vec<Event> {
    let mut events = vec![
        Event::Polled { number: 4, sent: 10, at: 20, lease_until: 5_500, response: seen() },
        Event::PollFailed { number: 4, lease_until: 5_500 },
        Event::Fenced { number: 4, token: 1 << 20 },
        Event::OtherId { number: 4 },
        Event::OtherIncarnation { number: 4, birth_ms: 77 },
        Event::ClockMismatch { number: 4 },
        Event::Started { number: 4, task: task(), run: 9, at: 30 },
        Event::NotStarted { number: 4, task: task(), run: 9, why: None },
        Event::StartUnanswered { number: 4, task: task(), run: 9 },
        Event::Stopped { number: 4, task: task(), run: 9, at: 30 },
    ];
    let refusals = [
        Refusal::Fenced,
        Refusal::OldRun,
        Refusal::Late,
        Refusal::NoRoom,
        Refusal::Ticket,
        Refusal::OtherLife,
        Refusal::Unhealthy,
        Refusal::Invalid,
    ];
    events.extend(refusals.map(|why| Event::NotStarted {
        number: 4,
        task: task(),
        run: 9,
        why: Some(why),
    }));
    events
}

fn config() -> Config {
    let accounts = json!([published::account("clinics", &["k1"], 100)]);
    Config::decode(&published::published_config(3, &[("q", Some(true))], accounts)).unwrap()
}

fn part_request(base: Option<u64>, part: Option<([u8; 32], u32)>) -> PartRequest {
    PartRequest { from: addr(), in_force: 2, base, part }
}

fn part_replies() -> [PartReply; 4] {
    let manifest =
        Manifest { version: 3, base: None, digest: [8; 32], payload: [9; 32], length: 300 };
    let whole = Part { manifest: manifest.clone(), number: 0, bytes: vec![1, 2] };
    let changed =
        Part { manifest: Manifest { base: Some(2), ..manifest }, number: 300, bytes: Vec::new() };
    [
        PartReply::NotNewer,
        PartReply::Busy(vec![addr()]),
        PartReply::Part(Box::new(whole)),
        PartReply::Part(Box::new(changed)),
    ]
}

fn between_nodes(lines: &mut Lines) {
    let session = Session { token: 1 << 20, shard: 2 };
    let partition = Partition { topic: "keyed.jobs".to_owned(), number: 3 };
    let kept = vec![Record::set("k", *b"v"), Record::tombstone("d")];
    let producer = Producer { name: "n-1".to_owned(), epoch: 2, sequence: 3 };
    let append =
        |guard| relay::Call::Append { partition: partition.clone(), records: kept.clone(), guard };
    let commands = Commands { scheduler: addr(), session, sequence: 1, commands: commands() };
    let report = Report { session, sequence: 1, made_at: 40, late_ms: 2, events: events() };
    let polled_partly =
        Event::PolledPartly { number: 4, sent: 10, at: 20, lease_until: 5_500, response: seen() };
    let partial_report = Report { events: vec![polled_partly], ..report.clone() };
    let requests = [
        Request::Submitted(0x5c0e, Box::new(accepted())),
        Request::State(0x5c0e, Caller::Operator),
        Request::Cancel(0x5c0e, Caller::Account("clinics".into())),
        Request::Pending("q".to_owned(), Caller::Anyone { queue: "q".to_owned() }),
        Request::Relay(append(Guard::None)),
        Request::Relay(append(Guard::EndsAt(8))),
        Request::Relay(append(Guard::Producer(producer))),
        Request::Relay(relay::Call::Read {
            partition: partition.clone(),
            from: 8,
            long_poll: Duration::from_millis(300),
        }),
        Request::Relay(relay::Call::Newest { partition }),
        Request::Dispatch(Box::new(commands)),
        Request::Report(Box::new(report)),
        Request::Newer { version: 3, from: addr() },
        Request::Config(3),
        Request::View("/v1/batch/shares".to_owned()),
        Request::Ping,
        Request::Leader { offset: 9, lease: Box::new(lease(HeldBoxes::All)) },
        Request::Outlook(Box::new(outlook())),
        Request::ConfigPart(part_request(None, None)),
        Request::ConfigPart(part_request(Some(2), Some(([7; 32], 300)))),
        Request::MayRefuse(0x5c0e, Caller::Account("clinics".into()), 4),
        Request::Report(Box::new(partial_report)),
        Request::ClaimPromise { token: 9, incarnation: 3 },
        Request::Joined { addr: addr(), cpu: 500 },
    ];
    for (number, request) in (1_u64..).zip(requests) {
        lines.postcard("request", &(number, request));
    }
    let states = [
        JobState::Pending,
        JobState::Running,
        JobState::Succeeded,
        JobState::Failed,
        JobState::Canceled,
    ];
    let refused = relay::Answer::Refused { status: 409, reason: "guard".to_owned() };
    let mut replies = vec![
        Reply::Done,
        Reply::State(None),
        Reply::Pending(7),
        Reply::Relayed(relay::Answer::Appended(Appended { offset: 8, end: 10 })),
        Reply::Relayed(relay::Answer::Page(Page { end: 10, first: 2, records: kept.clone() })),
        Reply::Relayed(relay::Answer::Newest(LatestRecords { records: kept, end: 10 })),
        Reply::Relayed(refused),
        Reply::Relayed(relay::Answer::Unavailable),
        Reply::Relayed(relay::Answer::Unknown),
        Reply::Config(None),
        Reply::Config(Some(Box::new(config()))),
        Reply::View(Some("{}".to_owned())),
        Reply::IdInUse,
        Reply::NotReady,
    ];
    replies.extend(states.map(|state| Reply::State(Some(state))));
    replies.push(Reply::Unconfirmed(Box::new(Reply::Pending(7))));
    replies.extend(part_replies().map(Reply::ConfigPart));
    replies.push(Reply::Refusable { is_over_rate: true });
    replies.push(Reply::ClaimPromise(Duration::from_millis(2_100)));
    replies.push(Reply::Reported(Duration::from_millis(1_500)));
    for (number, reply) in (1_u64..).zip(replies) {
        lines.postcard("reply", &(number, reply));
    }
}

fn fleet() -> Fleet {
    let shape = fleet::Shape {
        addr: addr(),
        hall: "hall-1".into(),
        rack: "r1".into(),
        slots: 4,
        memory_mb: 512,
    };
    let key = ("clinics".into(), "booking".into());
    let actions = [
        plan::Action::Reboot,
        plan::Action::Move { to: "front".into(), jobs: vec![key.clone()] },
        plan::Action::Release,
        plan::Action::Claim { to: "front".into(), shape: shape.clone() },
        plan::Action::Start { job: key.clone() },
        plan::Action::Stop { job: key.clone() },
    ];
    let progress = [
        plan::Progress::Waiting,
        plan::Progress::Out { permit: 3 },
        plan::Progress::Assigned { permit: 3 },
        plan::Progress::Over { outcome: plan::Outcome::Done },
        plan::Progress::Over { outcome: plan::Outcome::Lost },
        plan::Progress::Waiting,
    ];
    let steps = actions.into_iter().zip(progress).map(|(action, progress)| plan::Step {
        target: "b-1".into(),
        action,
        reason: plan::Reason::Free,
        progress,
    });
    let planned = plan::Plan {
        id: 0x4f0c,
        account: Some("clinics".into()),
        intent: plan::Intent::Resize { pool: "front".into(), boxes: 3 },
        steps: steps.collect(),
        base: vec![
            plan::Base::Pool("front".into(), 1),
            plan::Base::Service(key.clone(), 2),
            plan::Base::Box("b-1".into(), 3),
        ],
        width: vec![("front".into(), 2)],
        predicted: plan::Cost { buffer_box_seconds: 1, rollout_seconds: 2, moves: 3 },
        phase: plan::Phase::Running,
        driver: plan::Driver { holder: Some(1), epoch: 2, fence: 3 },
        version: 9,
    };
    let boxes = BTreeSet::from(["b-1".into()]);
    Fleet {
        next: 10,
        configured: 4,
        accounts: BTreeMap::from([(
            "clinics".into(),
            fleet::Account {
                caller_keys: vec![[1; 32]],
                operator_keys: vec![[2; 32]],
                quota_slots: Some(5),
                version: 1,
            },
        )]),
        pools: BTreeMap::from([(
            "front".into(),
            fleet::Pool {
                account: "clinics".into(),
                shared_with: BTreeSet::from(["other".into()]),
                budget: fleet::Budget {
                    max_out: 1,
                    max_out_per_hall: Some(2),
                    max_out_per_rack: None,
                },
                objective: fleet::Objective::Rollout,
                drain_limit_s: 30,
                maintenance_s: 60,
                boxes: boxes.clone(),
                version: 2,
            },
        )]),
        services: BTreeMap::from([(
            key,
            fleet::Service {
                pool: "front".into(),
                slots: 2,
                memory_mb: 64,
                min_up: 1,
                placed: boxes,
                starting: BTreeSet::new(),
                version: 3,
            },
        )]),
        boxes: BTreeMap::from([("b-1".into(), fleet::Entry::new("front".into(), shape, 4))]),
        plans: BTreeMap::from([(planned.id, planned)]),
        writers: BTreeMap::from([(1, fleet::Writer { incarnation: 2, sequence: 3 })]),
        verdicts: Default::default(),
        marked: 8,
    }
}

fn on_the_log(lines: &mut Lines) {
    let fleet = fleet();
    let claim = log_record::StepRef { plan: 0x4f0c, epoch: 2, step: 1 };
    let shape = fleet.boxes["b-1"].shape.clone();
    let edits = vec![
        log_record::Edit::Account("clinics".into(), 1, fleet.accounts["clinics"].clone()),
        log_record::Edit::Pool("front".into(), 2, fleet.pools["front"].clone()),
        log_record::Edit::Service(
            "clinics".into(),
            "booking".into(),
            3,
            fleet.services.values().next().unwrap().clone(),
        ),
        log_record::Edit::Claim("b-1".into(), "front".into(), shape),
    ];
    let chunk = Chunk { mark: 8, digest: [3; 32], part: 0, parts: 1, bytes: vec![1, 2] };
    let bodies = [
        Body::Publish(log_record::Change { edits }),
        Body::Propose(fleet.plans[&0x4f0c].clone()),
        Body::Confirm(0x4f0c),
        Body::Drive { plan: 0x4f0c, holder: 1, epoch: 2 },
        Body::Permit(claim),
        Body::Assign(claim),
        Body::Finish(claim, plan::Outcome::DrainLimit),
        Body::Control { plan: 0x4f0c, action: log_record::Control::Abort },
        Body::Down(vec!["b-1".into()]),
        Body::Up(vec!["b-1".into()]),
        Body::Mark { after: 8 },
        Body::Snapshot(chunk),
    ];
    let records = (1..).zip(bodies).map(|(id, body)| log_record::Record { id, body }).collect();
    let batch = Batch { writer: 1, incarnation: 2, sequence: 3, records };
    lines.bytes("batch", &batch.encode().unwrap());
    lines.postcard("fleet", &fleet);
}

fn between_daemons(lines: &mut Lines) {
    let heartbeat = wire::Heartbeat {
        next: 10,
        log_age_ms: Some(20),
        mark: Some(wire::StateHash { position: 8, head: 9 }),
        complete: true,
        serving: true,
        inflight: 3,
        busy: vec![4],
    };
    let echo = Some(wire::Echo { sequence: 6, held_ms: 7 });
    let frame = wire::Frame {
        from: 1,
        incarnation: 2,
        sequence: 3,
        receiver_incarnation: 4,
        echo,
        heartbeat,
    };
    let key = wire::derive_key("shared");
    lines.bytes("frame", &frame.seal(&key));
    lines.bytes("greeting", &catch_up::seal(&key, &catch_up::Greeting { server: 7 }));
    let request = catch_up::Request { server: 7, client: 8, from: 9, whole: true };
    lines.bytes("catch-up", &catch_up::seal(&key, &request));
    let loads = [catch_up::Payload::Batches(vec![(9, vec![1])]), catch_up::Payload::State(vec![2])];
    for load in loads {
        let piece = catch_up::Piece { client: 8, index: 1, last: true, payload: load };
        lines.bytes("piece", &catch_up::seal(&key, &piece));
    }
}

fn to_operators(lines: &mut Lines) {
    lines.json(
        "service",
        &view::Service {
            name: "work".to_owned(),
            workers: 2,
            has: 4.0,
            used: 1.5,
            waiting: 0.5,
            wanted: 2.0,
            evacuated: 3,
            evacuated_halls: BTreeSet::from(["hall-1".to_owned()]),
            boxes: BTreeMap::new(),
        },
    );
    let queue = view::Queue {
        name: "q".to_owned(),
        pending: 1,
        running: 2,
        ended: 3,
        ..view::Queue::default()
    };
    lines.json("queue", &queue);
    lines.json(
        "worker",
        &view::Worker {
            id: "i-1".to_owned(),
            machine: "m-1".to_owned(),
            service: "work".to_owned(),
            runs: 2,
            free: 0.5,
            closed: Some(Unschedulable::Cordoned.to_string()),
        },
    );
    let crash = |evidence| Crash { worker: incarnation(), evidence };
    lines.json(
        "job",
        &view::Job {
            id: "5c0e".to_owned(),
            queue: "q".to_owned(),
            service: "work".to_owned(),
            account: Some("clinics".to_owned()),
            state: JobState::Running,
            steps: vec![view::Step {
                place: (1, 2),
                left: 3,
                waiting: 1,
                runs: vec![("t".to_owned(), "i-1".to_owned(), 0.5)],
                held_by: BTreeMap::from([("label missing".to_owned(), 2)]),
                waits_for_turn: true,
            }],
            crashed: vec![view::Crashed {
                place: (1, 2, 3),
                crashes: vec![crash(Evidence::OnlyRecent), crash(Evidence::Correlated)],
                given_up: true,
            }],
            history: Vec::new(),
            left_out: 0,
        },
    );
    let decision =
        |place, what: &str| view::history::Decision { age_s: 0.5, place, what: what.to_owned() };
    lines.json(
        "job-history",
        &view::Job {
            id: "5c0e".to_owned(),
            queue: "q".to_owned(),
            service: "work".to_owned(),
            account: None,
            state: JobState::Failed,
            steps: Vec::new(),
            crashed: Vec::new(),
            history: vec![decision(Some((1, 2, 3)), "lost with i-1"), decision(None, "job ended")],
            left_out: 4,
        },
    );
    let wave = view::Wave { number: 3, machines: 9, begun: 4, max_down: 2, over: false };
    lines.json("wave", &wave);
    lines.json("share", &view::Shard { number: 1, dispatcher: Some(addr()), workers: 5 });
    lines.json("submitted", &view::Submitted { id: "5c0e".to_owned() });
    lines.json("cancelled", &view::Cancelled { state: Some(JobState::Canceled) });
    let account = view::account::Account {
        name: "clinics".to_owned(),
        weight: 3.0,
        keys: 1,
        cores: 0.5,
        most_cores: 2.0,
        memory_mb: 64,
        most_memory_mb: 128,
        waiting: 1,
        held: 2,
    };
    let accounts = view::account::Accounts { version: 3, accounts: vec![account] };
    lines.json("accounts", &accounts);
    let closed = [
        Unschedulable::Unpolled,
        Unschedulable::NotListed,
        Unschedulable::HandedOver,
        Unschedulable::InvalidEntry,
        Unschedulable::Draining,
        Unschedulable::FencingUncertain,
        Unschedulable::Cordoned,
        Unschedulable::Unresponsive,
        Unschedulable::BackingOff,
        Unschedulable::Quarantined,
        Unschedulable::HallEvacuated,
    ];
    lines.json("closed", &closed.map(|closed| closed.to_string()));
    let lack = [Shortage::Unknown, Shortage::Processor, Shortage::Memory, Shortage::Accelerator];
    lines.json("lack", &lack.map(|lack| lack.to_string()));
}

#[test]
fn stored_and_sent_values_keep_their_encoding() {
    let mut lines = Lines::default();
    stored(&mut lines);
    between_nodes(&mut lines);
    on_the_log(&mut lines);
    between_daemons(&mut lines);
    to_operators(&mut lines);
    let expected: Vec<&str> = include_str!("encodings.txt").lines().collect();
    let actual: Vec<&str> = lines.0.lines().collect();
    for (actual, expected) in actual.iter().zip(&expected) {
        assert_eq!(actual, expected);
    }
    assert_eq!(actual.len(), expected.len());
}
