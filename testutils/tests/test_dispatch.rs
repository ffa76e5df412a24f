//! Carrying out what a scheduler decides: what carriers tell, what they may do, and what becomes of the
//! workers of one that is lost.

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
use spokelift_lib::transport::serve::serve;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Caller;
use spokelift_platform::worker::Peer;
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

fn tools() -> Context {
    let workers = Caller::new(Dialer::new(Duration::from_secs(1)));
    Context { workers, counters: Counters::new(None).unwrap() }
}

/// A worker that gives these answers to looks, one after another, and none after the last.
async fn worker(answers: &[String]) -> (Peer, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = Peer { incarnation: "w1".into(), addr: listener.local_addr().unwrap() };
    let answers: VecDeque<String> = answers.iter().cloned().collect();
    let answers = Arc::new(Mutex::new(answers));
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = asked.clone();
    tokio::spawn(async move {
        // Kept as long as it serves.
        let (_stop, stopped) = watch::channel(false);
        serve(listener, stopped, move |request: hyper::Request<hyper::body::Incoming>| {
            let path = request.uri().path().to_owned();
            let is_look = path == "/api/hold";
            seen.lock().unwrap().push(path);
            let answer = if is_look { answers.lock().unwrap().pop_front() } else { None };
            async move {
                match answer {
                    Some(text) => hyper::Response::new(full(text)),
                    None if is_look => std::future::pending().await,
                    None => hyper::Response::new(full(r#"{"clockMs":1}"#)),
                }
            }
        })
        .await;
    });
    (peer, asked)
}

fn look(clock: u64, ended: &str) -> String {
    format!(r#"{{"clockMs":{clock},"running":[],"ended":{ended}}}"#)
}

async fn next(events: &mut UnboundedReceiver<Event>) -> Event {
    timeout(WAIT, events.recv()).await.expect("an event comes").expect("the carrier lives")
}

/// A task that had ended was run again: of two answers with the same time of the worker's clock the
/// scheduler takes the first, so the end in the second one was passed over; the carrier took it for
/// told and left it out of all later answers, in which the run was then missing.
#[tokio::test]
async fn an_end_in_an_answer_that_is_passed_over_is_told_with_the_next_one() {
    let answers = [look(100, "[]"), look(100, DONE), look(101, DONE)];
    let (peer, _) = worker(&answers).await;
    let (carrier, mut events) = Dispatcher::start(tools(), Lease::unbounded());
    carrier.execute(Command::AddWorker { number: 1, peer, durable: 0, token: TOKEN, grants: true });
    assert_matches!(next(&mut events).await, Event::Polled { seen, .. } if seen.clock == 100 && seen.ended.is_empty());
    assert_matches!(next(&mut events).await, Event::Polled { seen, .. } => {
        assert_eq!((seen.clock, seen.ended.len()), (101, 1));
    });
}

#[tokio::test]
async fn an_end_is_told_once() {
    let answers = [look(100, DONE), look(500, DONE), look(900, DONE)];
    let (peer, _) = worker(&answers).await;
    let (carrier, mut events) = Dispatcher::start(tools(), Lease::unbounded());
    carrier.execute(Command::AddWorker { number: 1, peer, durable: 0, token: TOKEN, grants: true });
    assert_matches!(next(&mut events).await, Event::Polled { seen, .. } if seen.ended.len() == 1);
    assert_matches!(next(&mut events).await, Event::Polled { seen, .. } if seen.ended.is_empty());
}

fn start(number: u64) -> Command {
    let task = TaskName { job: 1, repetition: 0, step: 0, index: 0 };
    let (checkpoint, ticket) = (String::new(), String::new());
    let start = Start { number, task, run: TOKEN, checkpoint, ticket };
    Command::Start { spec: "x".to_owned(), starts: vec![start] }
}

#[tokio::test]
async fn without_a_licence_nothing_is_started_and_no_lease_is_extended() {
    let (peer, asked) = worker(&[look(100, "[]")]).await;
    let (carrier, mut events) = Dispatcher::start(tools(), Lease::bounded());
    carrier.execute(Command::AddWorker { number: 1, peer, durable: 0, token: TOKEN, grants: true });
    carrier.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { number: 1, why: None, .. });
    assert_eq!(*asked.lock().unwrap(), Vec::<String>::new());
    carrier.lease.extend(clock::now());
    assert_matches!(next(&mut events).await, Event::Polled { lease_until: 0, .. });
    carrier.execute(start(1));
    assert_matches!(next(&mut events).await, Event::Started { number: 1, .. });
    let is_start = |path: &&String| *path == "/api/run-start";
    assert_eq!(asked.lock().unwrap().iter().filter(is_start).count(), 1);
}

#[tokio::test]
async fn nothing_is_started_on_a_worker_that_has_not_answered_this_carrier() {
    let (peer, asked) = worker(&[]).await;
    let (carrier, mut events) = Dispatcher::start(tools(), Lease::unbounded());
    carrier.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { .. });
    carrier.execute(Command::AddWorker { number: 1, peer, durable: 0, token: TOKEN, grants: true });
    carrier.execute(start(1));
    assert_matches!(next(&mut events).await, Event::NotStarted { .. });
    assert!(!asked.lock().unwrap().iter().any(|path| path == "/api/run-start"));
}

fn errand(token: u64, share: u64, sequence: u64) -> Commands {
    let session = Session { token, shard: share };
    let commands = vec![start(sequence)];
    Commands { scheduler: addr(), session, sequence, commands }
}

#[tokio::test]
async fn messages_to_a_carrier_count_once_and_in_their_order() {
    let (carried, tools, peers) = (RemoteDispatch::default(), tools(), Peers::default());
    let not_started = |tools: &Context| tools.counters.totals().get("batch.carry.begun").copied();
    // What does not begin a share is refused.
    assert!(!carried.take_commands(&tools, &peers, errand(TOKEN, 1, 2)));
    assert!(carried.take_commands(&tools, &peers, errand(TOKEN, 1, 1)));
    assert!(
        carried.take_commands(&tools, &peers, errand(TOKEN, 1, 1)),
        "a message that comes twice"
    );
    assert!(carried.take_commands(&tools, &peers, errand(TOKEN, 1, 2)));
    assert_eq!(not_started(&tools), Some(1));
    // The share of an earlier scheduler is refused, and that of a later one takes its place.
    assert!(!carried.take_commands(&tools, &peers, errand(TOKEN - 1, 9, 1)));
    assert!(carried.take_commands(&tools, &peers, errand(TOKEN + 1, 1, 1)));
    assert!(!carried.take_commands(&tools, &peers, errand(TOKEN, 1, 3)));
    assert_eq!(not_started(&tools), Some(2));
    // What comes before a message that is lost cannot be known, so the share ends.
    assert!(!carried.take_commands(&tools, &peers, errand(TOKEN + 1, 1, 3)));
    assert!(!carried.take_commands(&tools, &peers, errand(TOKEN + 1, 1, 2)));
}

fn shares() -> Shards {
    let (own, _) = Dispatcher::start(tools(), Lease::unbounded());
    Shards::new(TOKEN, own)
}

fn report(share: u64, sequence: u64, late_ms: u64) -> Report {
    let session = Session { token: TOKEN, shard: share };
    Report { session, sequence, made_at: 1_000, late_ms, events: Vec::new() }
}

fn take_command(number: u64) -> Command {
    let peer = Peer { incarnation: format!("w{number}").into(), addr: addr() };
    Command::AddWorker { number, peer, durable: 0, token: TOKEN, grants: true }
}

#[tokio::test]
async fn workers_go_to_nodes_that_carry_by_their_processor() {
    let (shares, now) = (shares(), clock::now());
    let (weak, _) = shares.start(addr(), 100, now);
    let (strong, _) = shares.start("127.0.0.1:2".parse().unwrap(), 400, now);
    shares.assign(1, take_command(1));
    assert_eq!(shares.in_shard(OWN_SHARD, [1].into_iter()).len(), 1, "nobody else carries yet");
    for share in [weak, strong] {
        assert_matches!(shares.take_report(report(share, 1, 0), now), ReportOutcome::New(_));
    }
    for number in 2..52 {
        shares.assign(number, take_command(number));
    }
    assert_eq!(shares.in_shard(weak, 2..52).len(), 10);
    assert_eq!(shares.in_shard(strong, 2..52).len(), 40);
    let sizes: Vec<usize> = shares.view().iter().map(|share| share.workers).collect();
    assert_eq!(sizes, [1, 10, 40]);
    let crowded = shares.find_overload().unwrap();
    assert_eq!((crowded.shard, crowded.workers, crowded.excess), (OWN_SHARD, vec![1], 1));
}

/// For 8 s nothing was started for a service with 900 free workers: the scheduler passed a hundred workers
/// from a share that had a few too many to others, which then had too many, and so on without end. A worker
/// of an earlier scheduler that did not answer was passed on each time, and counted each time as one that
/// might run something for another lease.
#[tokio::test]
async fn a_share_with_too_many_workers_gives_away_no_more_than_those() {
    let (shares, now) = (shares(), clock::now());
    let (one, _) = shares.start(addr(), 100, now);
    let (two, _) = shares.start("127.0.0.1:2".parse().unwrap(), 100, now);
    for share in [one, two] {
        assert_matches!(shares.take_report(report(share, 1, 0), now), ReportOutcome::New(_));
    }
    for number in 0..120 {
        shares.assign(number, take_command(number));
    }
    assert!(shares.find_overload().is_none());
    for number in shares.in_shard(two, 0..120).into_iter().take(40) {
        shares.release(number);
    }
    let crowded = shares.find_overload().unwrap();
    assert_eq!((crowded.shard, crowded.workers.len(), crowded.excess), (one, 60, 20));
    shares.remove_workers(one, &crowded.workers[..crowded.excess], now);
    for number in &crowded.workers[..crowded.excess] {
        shares.assign(*number, take_command(*number));
    }
    assert!(shares.find_overload().is_none());
}

#[tokio::test]
async fn reports_count_once_and_in_their_order() {
    let (shares, now) = (shares(), clock::now());
    let (share, _) = shares.start(addr(), 100, now);
    assert_matches!(shares.take_report(report(share, 1, 0), now), ReportOutcome::New(_));
    assert_matches!(shares.take_report(report(share, 1, 0), now), ReportOutcome::Duplicate);
    assert_matches!(shares.take_report(report(share, 3, 0), now), ReportOutcome::Stale);
    assert_matches!(shares.take_report(report(share, 2, 0), now), ReportOutcome::New(_));
    assert_matches!(shares.take_report(report(share + 1, 1, 0), now), ReportOutcome::Stale);
    let of_other =
        Report { session: Session { token: TOKEN + 1, shard: share }, ..report(share, 3, 0) };
    assert_matches!(shares.take_report(of_other, now), ReportOutcome::Stale);
}

#[tokio::test]
async fn a_silent_or_late_carrier_is_lost_unless_this_node_was_late() {
    let (shares, now) = (shares(), clock::now());
    let (share, _) = shares.start(addr(), 100, now);
    assert_eq!(shares.find_lost(now + Duration::from_millis(400)), []);
    assert_eq!(shares.find_lost(now + Duration::from_millis(600)), [(share, Lost::Silent)]);
    assert_matches!(shares.take_report(report(share, 1, 0), now), ReportOutcome::New(_));
    let later = now + Duration::from_millis(800);
    assert_eq!(shares.find_lost(later), [(share, Lost::Silent)]);
    shares.discount_own_delay(Duration::from_millis(300));
    assert_eq!(shares.find_lost(later), []);
    for sequence in 2..6 {
        assert_eq!(shares.find_lost(later), []);
        assert_matches!(
            shares.take_report(report(share, sequence, 400), later),
            ReportOutcome::New(_)
        );
    }
    assert_eq!(shares.find_lost(later), [(share, Lost::Late)]);
}

#[tokio::test]
async fn what_a_lost_carrier_may_still_do_is_bounded_by_its_last_acknowledgement() {
    let (shares, now) = (shares(), clock::now());
    let (share, _) = shares.start(addr(), 100, now);
    let acked = now + Duration::from_millis(100);
    assert_matches!(shares.take_report(report(share, 1, 0), acked), ReportOutcome::New(_));
    shares.assign(7, take_command(7));
    let (workers, last) = shares.reclaim(share, now + Duration::from_secs(9)).unwrap();
    assert_eq!((workers, last), (vec![7], acked + DISPATCH_LEASE));
    assert_matches!(shares.take_report(report(share, 2, 0), now), ReportOutcome::Stale);
    assert!(shares.reclaim(share, now).is_none());
    assert!(!shares.is_assigned(7));
}
