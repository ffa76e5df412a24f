//! Connections of a dispatcher to its workers, which accept only a limited number each.
//!
//! Guards against accepted jobs that never end. A worker goes on counting the connections of a node
//! that has lost power. Once the nodes that dispatched to it have left it none, it rejects starts
//! and stops, while polls on a connection that was opened in time still renew its lease, so that
//! nothing that may run there is ever started elsewhere.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use spokelift_lib::batch::dispatch::Context;
use spokelift_lib::batch::dispatch::Dispatcher;
use spokelift_lib::batch::dispatch::calls::MAX_IDLE_CONNECTIONS;
use spokelift_lib::batch::dispatch::message::Command;
use spokelift_lib::batch::dispatch::message::Event;
use spokelift_lib::batch::dispatch::message::Start;
use spokelift_lib::metrics::Counters;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::ExchangeError;
use spokelift_lib::transport::dial::full;
use spokelift_lib::transport::serve::Incoming;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Peer;
use spokelift_platform::worker::WorkerClient;
use spokelift_testutils::batch;
use spokelift_testutils::platform::read_json;
use spokelift_testutils::proxy::Fault;
use spokelift_testutils::proxy::Proxy;
use spokelift_testutils::serve::serve;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

const TOKEN: u64 = 5;
const WORKER: u64 = 1;
/// Tasks that are started at the same time.
const STARTS: u32 = 40;
/// Time that a worker takes for an order: concurrent ones need a connection each.
const ORDER_TIME: Duration = Duration::from_millis(50);
/// Number of connections that five nodes may each leave behind at a worker that accepts 64.
const MAX_CONNECTIONS: usize = 64 / 5;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const WAIT: Duration = Duration::from_secs(30);

/// A dispatcher with one worker, behind a proxy that counts its connections.
struct Setup {
    proxy: Proxy,
    dispatcher: Arc<Dispatcher>,
    events: UnboundedReceiver<Event>,
    _stop: watch::Sender<bool>,
}

impl Setup {
    /// Returns once the worker has answered its first poll.
    async fn start(fault: Fault) -> Setup {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
        proxy.set_fault(fault);
        let (_stop, stopped) = watch::channel(false);
        let clock = Arc::new(AtomicU64::new(0));
        tokio::spawn(serve(listener, stopped, move |request| answer(request, clock.clone())));
        let dialer = Dialer::new(CONNECT_TIMEOUT).with_max_idle(MAX_IDLE_CONNECTIONS);
        let workers = WorkerClient::new(dialer);
        let context = Context { workers, counters: Counters::new(None).unwrap() };
        let (dispatcher, events) = Dispatcher::start(context, batch::long_lease());
        let peer = Peer { incarnation: "w1".into(), addr: proxy.addr };
        dispatcher.execute(Command::AddWorker {
            number: WORKER,
            peer,
            durable_end: 0,
            token: TOKEN,
            renews_lease: true,
        });
        let mut setup = Setup { proxy, dispatcher, events, _stop };
        setup.wait_for(|event| matches!(event, Event::Polled { .. })).await;
        setup
    }

    async fn wait_for(&mut self, is_expected: impl Fn(&Event) -> bool) {
        let found = async {
            loop {
                let event = self.events.recv().await.expect("the dispatcher is running");
                if is_expected(&event) {
                    return;
                }
            }
        };
        timeout(WAIT, found).await.expect("the event comes")
    }

    /// Starts many tasks at the same time, and waits for the outcomes.
    async fn start_tasks(&mut self) {
        self.dispatcher.execute(start(0..STARTS));
        for _ in 0..STARTS {
            self.wait_for(is_start_outcome).await;
        }
    }
}

/// Starts tasks with these indices at the same time.
fn start(indices: std::ops::Range<u32>) -> Command {
    let starts = indices.map(|index| Start {
        number: WORKER,
        task: task(index),
        run: TOKEN,
        checkpoint: String::new(),
        ticket: String::new(),
    });
    Command::Start { spec: "x".to_owned(), starts: starts.collect() }
}

fn is_start_outcome(event: &Event) -> bool {
    matches!(
        event,
        Event::Started { .. } | Event::NotStarted { .. } | Event::StartUnanswered { .. }
    )
}

fn task(index: u32) -> TaskName {
    TaskName { job: 1, repetition: 0, step: 0, index }
}

/// The answer of a worker on which nothing runs.
async fn answer(request: Request<Incoming>, clock: Arc<AtomicU64>) -> Response<Body> {
    let is_poll = request.uri().path() == "/api/hold";
    let body = read_json(request.into_body()).await;
    let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0));
    sleep(if is_poll { wait } else { ORDER_TIME }).await;
    let clock = clock.fetch_add(1, Ordering::SeqCst) + 1;
    Response::new(full(format!(r#"{{"clockMs":{clock},"running":[],"ended":[]}}"#)))
}

async fn wait_for_open_connections(proxy: &Proxy, max: usize) {
    let few = async {
        while proxy.open_connections() > max {
            sleep(CHECK_INTERVAL).await;
        }
    };
    let open = || proxy.open_connections();
    timeout(WAIT, few).await.unwrap_or_else(|_| panic!("{} connections are open", open()));
}

/// Guards against runs that are never known to have stopped, since every stop is sent on a new
/// connection and rejected.
#[tokio::test]
async fn a_worker_that_accepts_one_connection_gets_orders_and_polls_on_it() {
    let fault = Fault { max_connections: Some(1), ..Fault::default() };
    let mut setup = Setup::start(fault).await;
    let (number, run) = (WORKER, TOKEN);
    setup.dispatcher.execute(Command::Stop { number, task: task(0), run });
    setup.wait_for(|event| matches!(event, Event::Stopped { .. })).await;
    setup.dispatcher.execute(start(1..2));
    setup.wait_for(|event| matches!(event, Event::Started { .. })).await;
    setup.wait_for(|event| matches!(event, Event::Polled { .. })).await;
}

/// Guards against nodes that leave as many connections behind as they once had orders in flight.
#[tokio::test]
async fn many_concurrent_orders_share_few_connections() {
    let mut setup = Setup::start(Fault::default()).await;
    setup.start_tasks().await;
    assert!(setup.proxy.max_open_connections() <= MAX_CONNECTIONS);
    wait_for_open_connections(&setup.proxy, MAX_IDLE_CONNECTIONS).await;
}

/// Guards against a former leader that keeps connections which its successor needs.
#[tokio::test]
async fn a_dispatcher_that_ends_closes_its_connections() {
    let mut setup = Setup::start(Fault::default()).await;
    setup.start_tasks().await;
    setup.dispatcher.execute(Command::End);
    wait_for_open_connections(&setup.proxy, 0).await;
}

async fn call(dialer: &Dialer, addr: SocketAddr) -> Result<Bytes, ExchangeError> {
    let request = Request::builder().uri("/").header("host", "test").body(full("{}")).unwrap();
    dialer.exchange(addr, request, 1024, CONNECT_TIMEOUT).await.map(Response::into_body)
}

/// Guards against connections that stay open for ever because nobody calls their server any more.
#[tokio::test]
async fn an_idle_connection_is_closed_although_its_address_is_not_called_again() {
    let (old, other) = (Setup::start(Fault::default()).await, Setup::start(Fault::default()).await);
    let dialer = Dialer::new(CONNECT_TIMEOUT);
    old.dispatcher.execute(Command::End);
    wait_for_open_connections(&old.proxy, 0).await;
    call(&dialer, old.proxy.addr).await.unwrap();
    assert_eq!(old.proxy.open_connections(), 1);
    let closed = async {
        while old.proxy.open_connections() > 0 {
            call(&dialer, other.proxy.addr).await.unwrap();
            sleep(CHECK_INTERVAL).await;
        }
    };
    timeout(WAIT, closed).await.expect("the idle connection is closed");
}
