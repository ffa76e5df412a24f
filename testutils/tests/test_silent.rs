//! Connections that go silent: nothing is reset, nothing is answered, and new connections work.
//!
//! What users saw: most jobs of a service came late for half a minute. Open connections had gone silent
//! for a second; orders about boxes then rested for 27 s. Many orders at once had left as many open
//! connections to the interface for boxes; each later call took one of them, waited out its time and
//! gave up that one only. The evidence: 29 calls in a row without an answer, all on connections that
//! had carried requests before, none on a new one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::future::join_all;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use spokelift_lib::batch::caller::Caller;
use spokelift_lib::batch::peer;
use spokelift_lib::batch::peer::Peers;
use spokelift_lib::batch::peer::Reply;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::ExchangeError;
use spokelift_lib::transport::dial::Exchanged;
use spokelift_lib::transport::dial::Limits;
use spokelift_lib::transport::dial::collect;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::serve;
use spokelift_testutils::proxy::Fault;
use spokelift_testutils::proxy::Flow;
use spokelift_testutils::proxy::Proxy;
use spokelift_testutils::proxy::Silence;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Connections that are open when they go silent.
const OPEN: usize = 12;
/// How long a call may take.
const WAIT: Duration = Duration::from_millis(400);
/// Time that a server takes for an answer, so that calls side by side need a connection each.
const WORK: Duration = Duration::from_millis(100);

/// A server behind a proxy, which it ends with.
struct Server {
    line: Proxy,
    _open: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let line = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
        let (open, closed) = watch::channel(false);
        tokio::spawn(serve(listener, closed, async |_| {
            sleep(WORK).await;
            Response::new(full("done"))
        }));
        Server { line, _open: open }
    }
}

async fn call(dialer: &Dialer, addr: SocketAddr) -> Result<Bytes, ExchangeError> {
    let request = Request::builder().uri("/").header("host", "test").body(full("")).unwrap();
    dialer.exchange(addr, request, 1024, WAIT).await.map(Response::into_body)
}

/// Opens connections, silences them, and returns how many calls, one after another, have no answer
/// before one has.
async fn failures_after(way: Silence) -> usize {
    let server = Server::start().await;
    let dialer = Dialer::new(WAIT);
    let calls = (0..OPEN).map(|_| call(&dialer, server.line.addr));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(server.line.opened(), OPEN as u64);
    server.line.silence_open(way);
    for failed in 0..=OPEN {
        if call(&dialer, server.line.addr).await.is_ok() {
            return failed;
        }
    }
    panic!("no call is answered");
}

#[tokio::test]
async fn one_call_without_an_answer_tells_on_all_silent_connections() {
    for way in [Silence::Both, Silence::Requests, Silence::Answers] {
        assert!(failures_after(way).await <= 1, "{way:?}");
    }
}

async fn call_again(dialer: &Dialer, addr: SocketAddr) -> Result<Exchanged, ExchangeError> {
    let request = || Request::builder().uri("/").header("host", "test").body(full(""));
    let limits = Limits { bytes: 1024, wait: WAIT * 4, held: Duration::ZERO };
    dialer.exchange_again(addr, request, limits).await
}

#[tokio::test]
async fn a_call_that_may_be_sent_twice_is_answered_although_every_connection_is_silent() {
    for way in [Silence::Both, Silence::Requests, Silence::Answers] {
        let server = Server::start().await;
        let dialer = Dialer::new(WAIT);
        let calls = (0..OPEN).map(|_| call(&dialer, server.line.addr));
        assert!(join_all(calls).await.iter().all(Result::is_ok));
        for _ in 0..3 {
            server.line.silence_open(way);
            let opened = server.line.opened();
            let exchanged = call_again(&dialer, server.line.addr).await.unwrap();
            assert!(exchanged.other_is_open, "{way:?}");
            // The others were given up with the first, and the new one is kept.
            assert!(!call_again(&dialer, server.line.addr).await.unwrap().other_is_open);
            assert_eq!(server.line.opened(), opened + 1, "{way:?}");
        }
    }
}

#[tokio::test]
async fn an_address_that_never_answers_gets_two_connections_a_call_at_most() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let line = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    line.set(Fault { answer: Flow::Hold, request: Flow::Hold, refuse: false });
    let dialer = Dialer::new(WAIT);
    let calls = (0..OPEN).map(|_| call_again(&dialer, line.addr));
    assert!(join_all(calls).await.iter().all(Result::is_err));
    assert!(line.opened() <= 2 * OPEN as u64, "{} connections", line.opened());
}

/// A request that cannot be sent twice, on connections that have gone silent while they were idle:
/// nobody could say what became of it.
#[tokio::test]
async fn a_request_that_cannot_be_sent_twice_uses_no_connection_that_was_idle_for_long() {
    let server = Server::start().await;
    let dialer = Dialer::new(WAIT);
    let send = async || {
        let request = Request::builder().uri("/").header("host", "test").body(full(""));
        let answer = dialer.send(server.line.addr, request.unwrap()).await.unwrap();
        collect(answer.into_body(), 1024).await.unwrap()
    };
    send().await;
    server.line.silence_open(Silence::Both);
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(timeout(WAIT, send()).await.unwrap(), "done");
}

/// Whether the kernel watches the end of a loopback connection with this local and remote port by
/// keep-alive probes (timer 2 in its table of connections).
fn is_probed(local: Option<u16>, remote: Option<u16>) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let has_port = |field: &str, port: Option<u16>| {
        port.is_none_or(|port| field.ends_with(&format!(":{port:04X}")))
    };
    let is_open = |fields: &[&str]| fields[3] == "01";
    let mut ends = table.lines().skip(1).filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        is_open(&fields) && has_port(fields[1], local) && has_port(fields[2], remote)
    });
    ends.any(|line| line.split_whitespace().nth(5).is_some_and(|timer| timer.starts_with("02:")))
}

#[tokio::test]
async fn connections_that_nobody_waits_on_are_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (_open, closed) = watch::channel(false);
    tokio::spawn(serve(listener, closed, async |_| Response::new(full("done"))));
    let dialer = Dialer::new(WAIT);
    assert!(call(&dialer, addr).await.is_ok());
    let ends = || (is_probed(None, Some(addr.port())), is_probed(Some(addr.port()), None));
    // The timer of an end is another one until its last bytes are acknowledged.
    for _ in 0..100 {
        if ends() == (true, true) {
            return;
        }
        sleep(WORK / 2).await;
    }
    panic!("of the ends that made and accepted the connection are probed: {:?}", ends());
}

/// A request that was sent twice is refused by one try. The other may be carried out all the same, so
/// nobody may be told that it was not.
#[tokio::test]
async fn a_refusal_of_one_try_leaves_the_other_open() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let line = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let (_open, closed) = watch::channel(false);
    let tries = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, closed, move |_| {
        let number = tries.fetch_add(1, Ordering::SeqCst);
        async move {
            // The first try is refused once the second one is under way, which gets no answer.
            sleep(if number == 0 { WAIT } else { WAIT * 10 }).await;
            let mut response = Response::new(full("busy"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }));
    let exchanged = call_again(&Dialer::new(WAIT), line.addr).await.unwrap();
    assert_eq!(exchanged.response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(line.opened(), 2);
    assert!(exchanged.other_is_open);
}

/// A peer that answers every request at once but those for a view, which wait until `held` is notified.
async fn start_peer(held: Arc<Notify>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_peer(stream, held.clone()));
        }
    });
    addr
}

async fn answer_peer(stream: TcpStream, held: Arc<Notify>) {
    let frames = Framed::new(stream, LengthDelimitedCodec::new());
    let (sink, mut frames) = frames.split();
    let sink = Arc::new(Mutex::new(sink));
    while let Some(Ok(frame)) = frames.next().await {
        let (number, request): (u64, peer::Request) = postcard::from_bytes(&frame).unwrap();
        let (held, sink) = (held.clone(), sink.clone());
        tokio::spawn(async move {
            if matches!(request, peer::Request::View(_)) {
                held.notified().await;
            }
            let answer = postcard::to_stdvec(&(number, Reply::Done)).unwrap();
            // The connection may be gone by then.
            let _ = sink.lock().await.send(Bytes::from(answer)).await;
        });
    }
}

/// A peer behind a proxy, and what lets it answer requests for a view.
async fn peer_line() -> (Proxy, Arc<Notify>) {
    let held = Arc::new(Notify::new());
    (Proxy::start(start_peer(held.clone()).await).await.unwrap(), held)
}

#[tokio::test]
async fn a_request_on_a_silent_connection_to_a_peer_is_answered_on_a_new_one() {
    for way in [Silence::Both, Silence::Requests, Silence::Answers] {
        let (line, _) = peer_line().await;
        let peers = Peers::default();
        for opened in 1..=3 {
            let answer = peers.ask(line.addr, peer::Request::State(1, Caller::Operator)).await;
            assert_eq!(answer.unwrap(), Reply::Done, "{way:?}");
            assert_eq!(line.opened(), opened);
            line.silence_open(way);
        }
    }
}

#[tokio::test]
async fn a_peer_that_takes_long_is_not_taken_for_silent() {
    let (line, held) = peer_line().await;
    let peers = Peers::default();
    let view = peers.ask(line.addr, peer::Request::View("slow".to_owned()));
    let release = async {
        // Longer than a silent connection is kept.
        sleep(WAIT + 3 * WORK).await;
        held.notify_one();
    };
    let (answer, ()) = tokio::join!(view, release);
    assert_eq!(answer.unwrap(), Reply::Done);
    assert_eq!(line.opened(), 1);
}

#[tokio::test]
async fn a_late_failure_on_a_silent_connection_does_not_end_the_one_that_replaced_it() {
    let (line, held) = peer_line().await;
    let peers = Peers::default();
    let ask = |request: peer::Request| {
        let (peers, addr) = (peers.clone(), line.addr);
        tokio::spawn(async move { peers.ask_once(addr, request).await })
    };
    assert_eq!(ask(peer::Request::State(1, Caller::Operator)).await.unwrap().unwrap(), Reply::Done);
    line.silence_open(Silence::Both);
    let first = ask(peer::Request::State(1, Caller::Operator));
    sleep(WORK).await;
    // Sent to the silent connection as well.
    let second = ask(peer::Request::State(1, Caller::Operator));
    assert!(first.await.unwrap().is_err());
    let third = ask(peer::Request::View("held".to_owned()));
    let second = second.await.unwrap();
    sleep(WORK).await;
    held.notify_one();
    assert!(second.is_err());
    assert_eq!(third.await.unwrap().unwrap(), Reply::Done);
}
