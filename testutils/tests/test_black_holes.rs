//! Black-holed connections: they stop delivering data without being reset, so requests on them get
//! no answer, while new connections work.
//!
//! Guards against calls that time out one after another on such connections. Many concurrent orders
//! leave as many idle connections to the machines API. If all of them are black-holed at once, and
//! each later call uses one of them, times out and closes only that one, no box is ordered for 27 s
//! (29 calls), and most jobs of a service are late.

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
use spokelift_lib::transport::dial::HedgedResponse;
use spokelift_lib::transport::dial::Limits;
use spokelift_lib::transport::dial::collect_body;
use spokelift_lib::transport::dial::full;
use spokelift_testutils::proxy::Direction;
use spokelift_testutils::proxy::Fault;
use spokelift_testutils::proxy::Flow;
use spokelift_testutils::proxy::Proxy;
use spokelift_testutils::serve::serve;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

/// Number of connections that are open when they are black-holed.
const OPEN_CONNECTIONS: usize = 12;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that the server takes for an answer, so that concurrent calls need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// A server behind a proxy. It stops when this is dropped.
struct Server {
    proxy: Proxy,
    _open: watch::Sender<bool>,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
        let (open, closed) = watch::channel(false);
        tokio::spawn(serve(listener, closed, async |_| {
            sleep(ANSWER_TIME).await;
            Response::new(full("done"))
        }));
        Server { proxy, _open: open }
    }
}

async fn call(dialer: &Dialer, addr: SocketAddr) -> Result<Bytes, ExchangeError> {
    let request = Request::builder().uri("/").header("host", "test").body(full("")).unwrap();
    dialer.exchange(addr, request, 1024, CALL_TIMEOUT).await.map(Response::into_body)
}

/// Opens connections, black-holes them in a direction, and returns how many consecutive calls get
/// no answer before the first that gets one.
async fn failures_after_black_hole(direction: Direction) -> usize {
    let server = Server::start().await;
    let dialer = Dialer::new(CALL_TIMEOUT);
    let calls = (0..OPEN_CONNECTIONS).map(|_| call(&dialer, server.proxy.addr));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(server.proxy.connection_count(), OPEN_CONNECTIONS as u64);
    server.proxy.black_hole_open(direction);
    for failed in 0..=OPEN_CONNECTIONS {
        if call(&dialer, server.proxy.addr).await.is_ok() {
            return failed;
        }
    }
    panic!("no call is answered");
}

#[tokio::test]
async fn one_call_without_an_answer_closes_all_black_holed_connections() {
    for direction in [Direction::Both, Direction::Requests, Direction::Answers] {
        assert!(failures_after_black_hole(direction).await <= 1, "{direction:?}");
    }
}

async fn call_again(dialer: &Dialer, addr: SocketAddr) -> Result<HedgedResponse, ExchangeError> {
    let request = || Request::builder().uri("/").header("host", "test").body(full(""));
    let limits = Limits { max_bytes: 1024, timeout: CALL_TIMEOUT * 4, long_poll: Duration::ZERO };
    dialer.exchange_hedged(addr, request, limits).await
}

#[tokio::test]
async fn a_call_that_may_be_sent_twice_is_answered_although_every_connection_is_black_holed() {
    for direction in [Direction::Both, Direction::Requests, Direction::Answers] {
        let server = Server::start().await;
        let dialer = Dialer::new(CALL_TIMEOUT);
        let calls = (0..OPEN_CONNECTIONS).map(|_| call(&dialer, server.proxy.addr));
        assert!(join_all(calls).await.iter().all(Result::is_ok));
        for _ in 0..3 {
            server.proxy.black_hole_open(direction);
            let opened = server.proxy.connection_count();
            let exchanged = call_again(&dialer, server.proxy.addr).await.unwrap();
            assert!(exchanged.is_other_pending, "{direction:?}");
            // All black-holed connections were closed with the first one; the new one stays open.
            assert!(!call_again(&dialer, server.proxy.addr).await.unwrap().is_other_pending);
            assert_eq!(server.proxy.connection_count(), opened + 1, "{direction:?}");
        }
    }
}

#[tokio::test]
async fn an_address_that_never_answers_gets_two_connections_a_call_at_most() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    proxy.set_fault(Fault { answer: Flow::Hold, request: Flow::Hold, ..Fault::default() });
    let dialer = Dialer::new(CALL_TIMEOUT);
    let calls = (0..OPEN_CONNECTIONS).map(|_| call_again(&dialer, proxy.addr));
    assert!(join_all(calls).await.iter().all(Result::is_err));
    assert!(
        proxy.connection_count() <= 2 * OPEN_CONNECTIONS as u64,
        "{} connections",
        proxy.connection_count()
    );
}

/// If such a request were sent on a connection that was black-holed while idle, its outcome would
/// be unknown.
#[tokio::test]
async fn a_request_that_cannot_be_sent_twice_uses_no_connection_that_was_idle_for_long() {
    let server = Server::start().await;
    let dialer = Dialer::new(CALL_TIMEOUT);
    let send = async || {
        let request = Request::builder().uri("/").header("host", "test").body(full(""));
        let answer = dialer.send(server.proxy.addr, request.unwrap()).await.unwrap();
        collect_body(answer.into_body(), 1024).await.unwrap()
    };
    send().await;
    server.proxy.black_hole_open(Direction::Both);
    sleep(Duration::from_millis(1_100)).await;
    assert_eq!(timeout(CALL_TIMEOUT, send()).await.unwrap(), "done");
}

/// Whether the kernel sends keep-alive probes for the end of a loopback connection with this local
/// and remote port (timer 2 in its table of connections).
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
async fn idle_connections_are_probed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (_open, closed) = watch::channel(false);
    tokio::spawn(serve(listener, closed, async |_| Response::new(full("done"))));
    let dialer = Dialer::new(CALL_TIMEOUT);
    assert!(call(&dialer, addr).await.is_ok());
    let ends = || (is_probed(None, Some(addr.port())), is_probed(Some(addr.port()), None));
    // Until the last bytes of an end are acknowledged, its timer is the one for retransmission.
    for _ in 0..100 {
        if ends() == (true, true) {
            return;
        }
        sleep(ANSWER_TIME / 2).await;
    }
    panic!("probed ends (connecting, accepting): {:?}", ends());
}

/// One attempt of a request that was sent twice is refused. The other one may still be executed, so
/// the refusal must not be reported as final.
#[tokio::test]
async fn a_refusal_of_one_attempt_leaves_the_other_pending() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let (_open, closed) = watch::channel(false);
    let attempts = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve(listener, closed, move |_| {
        let number = attempts.fetch_add(1, Ordering::SeqCst);
        async move {
            // The first attempt is refused once the second one, which gets no answer, is in flight.
            sleep(if number == 0 { CALL_TIMEOUT } else { CALL_TIMEOUT * 10 }).await;
            let mut response = Response::new(full("busy"));
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }));
    let exchanged = call_again(&Dialer::new(CALL_TIMEOUT), proxy.addr).await.unwrap();
    assert_eq!(exchanged.response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(proxy.connection_count(), 2);
    assert!(exchanged.is_other_pending);
}

/// A peer that answers every request at once, except requests for a view: each waits until `held`
/// is notified.
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
            // The connection may have ended.
            let _ = sink.lock().await.send(Bytes::from(answer)).await;
        });
    }
}

/// A peer behind a proxy, and the notification that lets it answer a request for a view.
async fn proxied_peer() -> (Proxy, Arc<Notify>) {
    let held = Arc::new(Notify::new());
    (Proxy::start(start_peer(held.clone()).await).await.unwrap(), held)
}

#[tokio::test]
async fn a_request_on_a_black_holed_connection_to_a_peer_is_answered_on_a_new_one() {
    for direction in [Direction::Both, Direction::Requests, Direction::Answers] {
        let (proxy, _) = proxied_peer().await;
        let peers = Peers::default();
        for opened in 1..=3 {
            let answer = peers.ask(proxy.addr, peer::Request::State(1, Caller::Operator)).await;
            assert_eq!(answer.unwrap(), Reply::Done, "{direction:?}");
            assert_eq!(proxy.connection_count(), opened);
            proxy.black_hole_open(direction);
        }
    }
}

#[tokio::test]
async fn a_slow_peer_is_not_unresponsive() {
    let (proxy, held) = proxied_peer().await;
    let peers = Peers::default();
    let view = peers.ask(proxy.addr, peer::Request::View("slow".to_owned()));
    let release = async {
        // Longer than an unresponsive connection stays open.
        sleep(CALL_TIMEOUT + 3 * ANSWER_TIME).await;
        held.notify_one();
    };
    let (answer, ()) = tokio::join!(view, release);
    assert_eq!(answer.unwrap(), Reply::Done);
    assert_eq!(proxy.connection_count(), 1);
}

#[tokio::test]
async fn a_late_failure_on_a_black_holed_connection_does_not_end_the_one_that_replaced_it() {
    let (proxy, held) = proxied_peer().await;
    let peers = Peers::default();
    let ask = |request: peer::Request| {
        let (peers, addr) = (peers.clone(), proxy.addr);
        tokio::spawn(async move { peers.ask_once(addr, request).await })
    };
    assert_eq!(ask(peer::Request::State(1, Caller::Operator)).await.unwrap().unwrap(), Reply::Done);
    proxy.black_hole_open(Direction::Both);
    let first = ask(peer::Request::State(1, Caller::Operator));
    sleep(ANSWER_TIME).await;
    // Sent on the black-holed connection as well.
    let second = ask(peer::Request::State(1, Caller::Operator));
    assert!(first.await.unwrap().is_err());
    let third = ask(peer::Request::View("held".to_owned()));
    let second = second.await.unwrap();
    sleep(ANSWER_TIME).await;
    held.notify_one();
    assert!(second.is_err());
    assert_eq!(third.await.unwrap().unwrap(), Reply::Done);
}
