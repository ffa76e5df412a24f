//! Dispatchers: what they report, when they may act, and how the workers of a lost one are
//! reassigned.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use assert_matches::assert_matches;
use spokelift_lib::batch::dispatch::Context;
use spokelift_lib::batch::dispatch::Dispatcher;
use spokelift_lib::batch::dispatch::lease::DISPATCH_LEASE;
use spokelift_lib::batch::dispatch::lease::Lease;
use spokelift_lib::batch::dispatch::message::Command;
use spokelift_lib::batch::dispatch::message::Event;
use spokelift_lib::batch::dispatch::message::Start;
use spokelift_lib::batch::dispatch::remote::Commands;
use spokelift_lib::batch::dispatch::remote::RemoteDispatch;
use spokelift_lib::batch::dispatch::remote::Report;
use spokelift_lib::batch::dispatch::remote::Session;
use spokelift_lib::batch::peer::Peers;
use spokelift_lib::batch::scheduler::shard::Lost;
use spokelift_lib::batch::scheduler::shard::OWN_SHARD;
use spokelift_lib::batch::scheduler::shard::ReportOutcome;
use spokelift_lib::batch::scheduler::shard::Shards;
use spokelift_lib::metrics::Counters;
use spokelift_lib::transport::clock;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::WorkerClient;
use spokelift_testutils::batch;
use spokelift_testutils::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::timeout;

const TOKEN: u64 = 5;
const WAIT: Duration = Duration::from_secs(10);
const DONE: &str = r#"[[1,"0000000000000001.0.0.0",5,"done",""]]"#;

fn addr() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn context() -> Context {
    let workers = WorkerClient::new(Dialer::new(Duration::from_secs(1)));
    Context { workers, counters: Counters::new(None).unwrap() }
}

/// Starts a worker that gives these answers to polls, one after another, and none after the last.
/// Returns also the paths of all requests to it.
async fn worker(answers: &[String]) -> (Peer, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer { incarnation: "w1".into(), addr: listener.local_addr().unwrap() };
    let answers: VecDeque<String> = answers.iter().cloned().collect();
    let answers = Arc::new(Mutex::new(answers));
    let paths: Arc<Mutex<Vec<String>>> = Arc::default();
    let requested = paths.clone();
    tokio::spawn(async move {
        // The sender must live as long as the server.
        let (_stop, stopped) = watch::channel(false);
        serve(
            listener,
            stopped,
            move |request: hyper::Request<spokelift_lib::transport::serve::Incoming>| {
                let path = request.uri().path().to_owned();
                let is_poll = path == "/api/hold";
                requested.lock().unwrap().push(path);
                let answer = if is_poll { answers.lock().unwrap().pop_front() } else { None };
                async move {
                    match answer {
                        Some(text) => hyper::Response::new(full(text)),
                        None if is_poll => std::future::pending().await,
                        None => hyper::Response::new(full(r#"{"clockMs":1}"#)),
                    }
                }
            },
        )
        .await;
    });
    (peer, paths)
}

fn poll(clock: u64, ended: &str) -> String {
    format!(r#"{{"clockMs":{clock},"running":[],"ended":{ended}}}"#)
}

async fn next(events: &mut UnboundedReceiver<Event>) -> Event {
    timeout(WAIT, events.recv()).await.expect("an event comes").expect("the dispatcher is running")
}

/// Guards against running an ended task again. Of two responses with the same worker clock the
/// scheduler gets only the first. If the dispatcher then counted the end in the second one as
/// reported, it would leave it out of all later responses, which would no longer list the run
/// either.
#[tokio::test]
async fn an_end_in_a_skipped_response_is_reported_with_the_next_one() {
    let answers = [poll(100, "[]"), poll(100, DONE), poll(101, DONE)];
    let (peer, _) = worker(&answers).await;
    let (dispatcher, mut events) = Dispatcher::start(context(), batch::long_lease());
    dispatcher.execute(Command::AddWorker {
        number: 1,
        peer,
        durable_end: 0,
        token: TOKEN,
        renews_lease: true,
    });
    assert_matches!(next(&mut events).await, Event::Polled { response, .. } => {
        assert_eq!((response.clock, response.ended.len()), (100, 0));
    });
    assert_matches!(next(&mut events).await, Event::Polled { response, .. } => {
        assert_eq!((response.clock, response.ended.len()), (101, 1));
    });
}

#[tokio::test]
async fn an_end_is_reported_once() {
    let answers = [poll(100, DONE), poll(500, DONE), poll(900, DONE)];
    let (peer, _) = worker(&answers).await;
    let (dispatcher, mut events) = Dispatcher::start(context(), batch::long_lease());
    dispatcher.execute(Command::AddWorker {
        number: 1,
        peer,
        durable_end: 0,
        token: TOKEN,
        renews_lease: true,
    });
    assert_matches!(next(&mut events).await, Event::Polled { response, .. } if response.ended.len() == 1);
    assert_matches!(next(&mut events).await, Event::Polled { response, .. } if response.ended.is_empty());
}

fn start(number: u64) -> Command {
    let task = TaskName { job: 1, repetition: 0, step: 0, index: 0 };
    let (checkpoint, ticket) = (String::new(), String::new());
    let start = Start { number, task, run: TOKEN, checkpoint, ticket };
    Command::Start { spec: "x".to_owned(), starts: vec![start] }
}

#[tokio::test]
async fn without_a_dispatch_lease_nothing_is_started_and_no_worker_lease_is_extended() {
    let (peer, paths) = worker(&[poll(100, "[]")]).await;
    let (dispatcher, mut events) = Dispatcher::start(context(), Lease::default());
    dispatcher.execute(Command::AddWorker {
        number: 1,
        peer,
        durable_end: 0,
        token: TOKEN,
        renews_lease: true,
    });
    dispatcher.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { number: 1, why: None, .. });
    assert_eq!(*paths.lock().unwrap(), Vec::<String>::new());
    dispatcher.lease.extend_until(clock::now() + DISPATCH_LEASE);
    assert_matches!(next(&mut events).await, Event::Polled { lease_until: 0, .. });
    dispatcher.execute(start(1));
    assert_matches!(next(&mut events).await, Event::Started { number: 1, .. });
    let is_start = |path: &&String| *path == "/api/run-start";
    assert_eq!(paths.lock().unwrap().iter().filter(is_start).count(), 1);
}

#[tokio::test]
async fn nothing_is_started_on_a_worker_that_has_not_answered_this_dispatcher() {
    let (peer, paths) = worker(&[]).await;
    let (dispatcher, mut events) = Dispatcher::start(context(), batch::long_lease());
    dispatcher.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { .. });
    dispatcher.execute(Command::AddWorker {
        number: 1,
        peer,
        durable_end: 0,
        token: TOKEN,
        renews_lease: true,
    });
    dispatcher.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { .. });
    assert!(!paths.lock().unwrap().iter().any(|path| path == "/api/run-start"));
}

fn commands(token: u64, shard: u64, sequence: u64) -> Commands {
    let session = Session { token, shard };
    let commands = vec![start(sequence)];
    Commands { scheduler: addr(), session, sequence, commands }
}

#[tokio::test]
async fn messages_to_a_dispatcher_are_executed_once_and_in_order() {
    let (remote, context, peers) = (RemoteDispatch::default(), context(), Peers::default());
    let started_dispatchers =
        |context: &Context| context.counters.totals().get("batch.carry.begun").copied();
    // A message that does not start a shard is refused.
    assert!(!remote.take_commands(&context, &peers, commands(TOKEN, 1, 2)));
    assert!(remote.take_commands(&context, &peers, commands(TOKEN, 1, 1)));
    assert!(
        remote.take_commands(&context, &peers, commands(TOKEN, 1, 1)),
        "a duplicate message is acknowledged"
    );
    assert!(remote.take_commands(&context, &peers, commands(TOKEN, 1, 2)));
    assert_eq!(started_dispatchers(&context), Some(1));
    // The shard of an earlier scheduler is refused; that of a later one replaces the current shard.
    assert!(!remote.take_commands(&context, &peers, commands(TOKEN - 1, 9, 1)));
    assert!(remote.take_commands(&context, &peers, commands(TOKEN + 1, 1, 1)));
    assert!(!remote.take_commands(&context, &peers, commands(TOKEN, 1, 3)));
    assert_eq!(started_dispatchers(&context), Some(2));
    // The shard ends if a message is missing: its commands are unknown.
    assert!(!remote.take_commands(&context, &peers, commands(TOKEN + 1, 1, 3)));
    assert!(!remote.take_commands(&context, &peers, commands(TOKEN + 1, 1, 2)));
}

fn shards() -> Shards {
    let (own, _) = Dispatcher::start(context(), batch::long_lease());
    Shards::new(TOKEN, own)
}

fn report(shard: u64, sequence: u64, late_ms: u64) -> Report {
    let session = Session { token: TOKEN, shard };
    Report { session, sequence, made_at: 1_000, late_ms, events: Vec::new() }
}

fn add_worker(number: u64) -> Command {
    let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
    Command::AddWorker { number, peer, durable_end: 0, token: TOKEN, renews_lease: true }
}

#[tokio::test]
async fn workers_are_assigned_to_ready_nodes_in_proportion_to_their_cpu() {
    let (shards, now) = (shards(), clock::now());
    let (small, _) = shards.start(addr(), 100, now);
    let (large, _) = shards.start("127.0.0.1:2".parse().unwrap(), 400, now);
    shards.assign(1, add_worker(1));
    assert_eq!(shards.in_shard(OWN_SHARD, [1].into_iter()).len(), 1, "no other node is ready yet");
    for shard in [small, large] {
        assert_matches!(shards.take_report(report(shard, 1, 0), now), ReportOutcome::New(_));
    }
    for number in 2..52 {
        shards.assign(number, add_worker(number));
    }
    assert_eq!(shards.in_shard(small, 2..52).len(), 10);
    assert_eq!(shards.in_shard(large, 2..52).len(), 40);
    let sizes: Vec<usize> = shards.view().iter().map(|shard| shard.workers).collect();
    assert_eq!(sizes, [1, 10, 40]);
    let overload = shards.find_overload().unwrap();
    assert_eq!((overload.shard, overload.workers, overload.excess), (OWN_SHARD, vec![1], 1));
}

/// Guards against moving workers between shards without end. If more workers move from an
/// overloaded shard than it has in excess, the other shards are overloaded in turn. Each time, an
/// unresponsive worker of an earlier scheduler counts as one that may run tasks for another lease:
/// with 900 free workers nothing was started for a service for 8 s.
#[tokio::test]
async fn an_overloaded_shard_gives_away_no_more_than_its_excess() {
    let (shards, now) = (shards(), clock::now());
    let (first, _) = shards.start(addr(), 100, now);
    let (second, _) = shards.start("127.0.0.1:2".parse().unwrap(), 100, now);
    for shard in [first, second] {
        assert_matches!(shards.take_report(report(shard, 1, 0), now), ReportOutcome::New(_));
    }
    for number in 0..120 {
        shards.assign(number, add_worker(number));
    }
    assert!(shards.find_overload().is_none());
    for number in shards.in_shard(second, 0..120).into_iter().take(40) {
        shards.release(number);
    }
    let overload = shards.find_overload().unwrap();
    assert_eq!((overload.shard, overload.workers.len(), overload.excess), (first, 60, 20));
    shards.remove_workers(first, &overload.workers[..overload.excess], now);
    for number in &overload.workers[..overload.excess] {
        shards.assign(*number, add_worker(*number));
    }
    assert!(shards.find_overload().is_none());
}

#[tokio::test]
async fn reports_are_accepted_once_and_in_order() {
    let (shards, now) = (shards(), clock::now());
    let (shard, _) = shards.start(addr(), 100, now);
    assert_matches!(shards.take_report(report(shard, 1, 0), now), ReportOutcome::New(_));
    assert_matches!(shards.take_report(report(shard, 1, 0), now), ReportOutcome::Duplicate);
    assert_matches!(shards.take_report(report(shard, 3, 0), now), ReportOutcome::Stale);
    assert_matches!(shards.take_report(report(shard, 2, 0), now), ReportOutcome::New(_));
    assert_matches!(shards.take_report(report(shard + 1, 1, 0), now), ReportOutcome::Stale);
    let of_other = Report { session: Session { token: TOKEN + 1, shard }, ..report(shard, 3, 0) };
    assert_matches!(shards.take_report(of_other, now), ReportOutcome::Stale);
}

#[tokio::test]
async fn an_unresponsive_or_late_dispatcher_is_lost_unless_this_node_was_delayed() {
    let (shards, now) = (shards(), clock::now());
    let (shard, _) = shards.start(addr(), 100, now);
    assert_eq!(shards.find_lost(now + Duration::from_millis(400)), []);
    assert_eq!(shards.find_lost(now + Duration::from_millis(600)), [(shard, Lost::Silent)]);
    assert_matches!(shards.take_report(report(shard, 1, 0), now), ReportOutcome::New(_));
    let later = now + Duration::from_millis(800);
    assert_eq!(shards.find_lost(later), [(shard, Lost::Silent)]);
    shards.discount_own_delay(Duration::from_millis(300));
    assert_eq!(shards.find_lost(later), []);
    for sequence in 2..6 {
        assert_eq!(shards.find_lost(later), []);
        assert_matches!(
            shards.take_report(report(shard, sequence, 400), later),
            ReportOutcome::New(_)
        );
    }
    assert_eq!(shards.find_lost(later), [(shard, Lost::Late)]);
}

#[tokio::test]
async fn the_dispatch_lease_of_a_lost_dispatcher_counts_from_its_last_acknowledgement() {
    let (shards, now) = (shards(), clock::now());
    let (shard, _) = shards.start(addr(), 100, now);
    let acked = now + Duration::from_millis(100);
    assert_matches!(shards.take_report(report(shard, 1, 0), acked), ReportOutcome::New(_));
    shards.assign(7, add_worker(7));
    let (workers, lease_end) = shards.reclaim(shard, now + Duration::from_secs(9)).unwrap();
    assert_eq!((workers, lease_end), (vec![7], acked + DISPATCH_LEASE));
    assert_matches!(shards.take_report(report(shard, 2, 0), now), ReportOutcome::Stale);
    assert!(shards.reclaim(shard, now).is_none());
    assert!(!shards.is_assigned(7));
}

/// Guards against a dispatcher on another node that renews leases of workers for a scheduler which
/// may have a successor.
#[tokio::test]
async fn a_report_lets_a_dispatcher_act_no_longer_than_its_scheduler_may() {
    let (own, _) = Dispatcher::start(context(), Lease::default());
    let (shards, now) = (Shards::new(TOKEN, own), clock::now());
    assert_eq!(shards.dispatch_lease(now), Duration::ZERO);
    shards.extend_own(now + DISPATCH_LEASE * 2);
    assert_eq!(shards.dispatch_lease(now), DISPATCH_LEASE);
    assert_eq!(shards.dispatch_lease(now + DISPATCH_LEASE * 3 / 2), DISPATCH_LEASE / 2);
    assert_eq!(shards.dispatch_lease(now + DISPATCH_LEASE * 2), Duration::ZERO);
}
