//! Fault-injecting proxies: for TCP connections, which they can delay, slow down, stall, cut, refuse
//! or black-hole, and for datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// How the proxy handles the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwards them.
    #[default]
    Pass,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Stops forwarding; the connection stays open.
    Hold,
    /// Forwards this many bytes of each connection, then closes it.
    CutAfter(u64),
    /// Forwards this many bytes a second of all connections together.
    Limit(u64),
}

/// Faults of a TCP proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Applied to the bytes to the server.
    pub request: Flow,
    /// Applied to the bytes from the server.
    pub answer: Flow,
    /// Whether new connections are closed at once and open ones are cut.
    pub refuse: bool,
    /// While so many connections are open, new ones are closed at once. `None` for no limit.
    pub max_connections: Option<usize>,
}

/// The direction of a connection that is black-holed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// From the client to the server.
    Requests,
    /// From the server to the client.
    Answers,
}

/// Black-holed connections: those with a lower number than the limit of a direction lose all
/// further bytes of that direction.
#[derive(Clone, Copy, Debug, Default)]
struct BlackHoles {
    requests_below: u64,
    answers_below: u64,
}

/// A proxy for TCP connections. Clones share the same proxy.
#[derive(Clone)]
pub struct Proxy {
    /// The address on which it listens.
    pub addr: SocketAddr,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<watch::Sender<Fault>>,
    black_holes: Arc<watch::Sender<BlackHoles>>,
    connection_count: Arc<AtomicU64>,
    open_connections: Arc<OpenConnections>,
    forwarded_bytes: Arc<AtomicU64>,
    _task: Arc<AbortOnDrop>,
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Proxy {
    /// Starts a proxy to `upstream` on a port that the system chooses.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Proxy> {
        Proxy::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), upstream).await
    }

    /// Starts a proxy to `upstream` that listens on `addr`.
    pub async fn start_on(addr: SocketAddr, upstream: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let (fault, fault_rx) = watch::channel(Fault::default());
        let (black_holes, black_hole_rx) = watch::channel(BlackHoles::default());
        let forwarded_bytes = Arc::new(AtomicU64::new(0));
        let connection_count = Arc::new(AtomicU64::new(0));
        let open_connections = Arc::<OpenConnections>::default();
        let context = ConnectionContext {
            faults: fault_rx,
            black_holes: black_hole_rx,
            open_connections: open_connections.clone(),
            forwarded_bytes: forwarded_bytes.clone(),
            requests: LinkUse::default(),
            answers: LinkUse::default(),
        };
        let task = tokio::spawn(accept_connections(
            listener,
            upstream.clone(),
            context,
            connection_count.clone(),
        ));
        let _task = Arc::new(AbortOnDrop(task.abort_handle()));
        let (fault, black_holes) = (Arc::new(fault), Arc::new(black_holes));
        Ok(Proxy {
            addr,
            upstream,
            fault,
            black_holes,
            connection_count,
            open_connections,
            forwarded_bytes,
            _task,
        })
    }

    /// Changes the server of later connections.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no thread panics while it holds the lock") = upstream;
    }

    /// Sets the fault from now on, also for open connections.
    pub fn set_fault(&self, fault: Fault) {
        // The channel has no receiver while no connection is open.
        self.fault.send_replace(fault);
    }

    /// Turns all open connections into black holes: further bytes of that direction are read and
    /// dropped without an error, for the rest of the connection. Later connections work.
    pub fn black_hole_open(&self, direction: Direction) {
        let below = self.connection_count();
        self.black_holes.send_modify(|black_holes| {
            if direction != Direction::Answers {
                black_holes.requests_below = below;
            }
            if direction != Direction::Requests {
                black_holes.answers_below = below;
            }
        });
    }

    /// Number of connections opened so far.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.open_connections.now.load(Ordering::SeqCst)
    }

    /// Largest number of connections that were open at the same time.
    pub fn max_open_connections(&self) -> usize {
        self.open_connections.max.load(Ordering::SeqCst)
    }

    /// Number of bytes forwarded so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::SeqCst)
    }
}

/// The faults and counters that the connections of a proxy share.
#[derive(Clone)]
struct ConnectionContext {
    faults: watch::Receiver<Fault>,
    black_holes: watch::Receiver<BlackHoles>,
    open_connections: Arc<OpenConnections>,
    forwarded_bytes: Arc<AtomicU64>,
    requests: LinkUse,
    answers: LinkUse,
}

/// Until when one direction of the proxy is in use; `None` before its first bytes.
#[derive(Clone, Default)]
struct LinkUse(Arc<Mutex<Option<Instant>>>);

impl LinkUse {
    /// Takes the time for `bytes` at a rate in bytes a second; returns when they have passed.
    fn take(&self, bytes: usize, rate: u64) -> Instant {
        let mut until = self.0.lock().expect("no thread panics while it holds the lock");
        let now = Instant::now();
        let start = until.map_or(now, |until| until.max(now));
        let end = start + Duration::from_secs_f64(bytes as f64 / rate.max(1) as f64);
        *until = Some(end);
        end
    }
}

async fn accept_connections(
    listener: TcpListener,
    upstream: Arc<Mutex<SocketAddr>>,
    context: ConnectionContext,
    connection_count: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let to = *upstream.lock().expect("no thread panics while it holds the lock");
        let number = connection_count.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(forward_connection(client, to, context.clone(), number));
    }
}

/// Numbers of open connections.
#[derive(Default)]
struct OpenConnections {
    now: AtomicUsize,
    max: AtomicUsize,
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Arc<OpenConnections>);

impl OpenConnection {
    /// `None` if `limit` connections are open already.
    fn count(open: &Arc<OpenConnections>, limit: Option<usize>) -> Option<OpenConnection> {
        let connection = OpenConnection(open.clone());
        let before = open.now.fetch_add(1, Ordering::SeqCst);
        if limit.is_some_and(|limit| before >= limit) {
            return None;
        }
        open.max.fetch_max(before + 1, Ordering::SeqCst);
        Some(connection)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    context: ConnectionContext,
    number: u64,
) {
    let ConnectionContext { faults, black_holes, forwarded_bytes, requests, answers, .. } = context;
    let (request_link, answer_link) = (requests, answers);
    let Fault { refuse, max_connections, .. } = *faults.borrow();
    let open = OpenConnection::count(&context.open_connections, max_connections);
    let Some(_open) = open.filter(|_| !refuse) else { return };
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut refusals = faults.clone();
    let is_request_lost = || number < black_holes.borrow().requests_below;
    let is_answer_lost = || number < black_holes.borrow().answers_below;
    let request = |fault: &Fault| fault.request;
    let requests = forward_bytes(
        client_read,
        server_write,
        faults.clone(),
        &forwarded_bytes,
        request,
        is_request_lost,
        &request_link,
    );
    let answers = forward_bytes(
        server_read,
        client_write,
        faults,
        &forwarded_bytes,
        |fault| fault.answer,
        is_answer_lost,
        &answer_link,
    );
    let mut answers = std::pin::pin!(answers);
    // The end of one direction, or a refusal, closes both. A server that stops reading a request
    // may have answered it already, and that answer is still forwarded.
    let receiver_closed = tokio::select! {
        end = requests => end == End::ReceiverClosed,
        _ = &mut answers => false,
        _ = refusals.wait_for(|fault| fault.refuse) => false,
    };
    if receiver_closed {
        let _ = timeout(LAST_ANSWER_TIMEOUT, answers).await;
    }
}

/// Time limit for forwarding the last answer of a server that has stopped reading.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the forwarding of a direction has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The sender has closed the connection, or a fault has cut it.
    Closed,
    /// The receiver accepts no more bytes.
    ReceiverClosed,
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    forwarded_bytes: &AtomicU64,
    flow: impl Fn(&Fault) -> Flow,
    is_black_hole: impl Fn() -> bool,
    link: &LinkUse,
) -> End {
    let mut buffer = vec![0; 16 * 1024];
    let mut forwarded = 0;
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return End::Closed;
        };
        if is_black_hole() {
            continue;
        }
        let mut bytes = &buffer[..read];
        let current_fault = flow(&faults.borrow());
        match current_fault {
            Flow::Pass => {}
            Flow::Delay(by) => sleep(by).await,
            Flow::Hold => {
                let _ = faults.wait_for(|fault| flow(fault) != Flow::Hold).await;
            }
            Flow::Limit(rate) => sleep_until(link.take(read, rate)).await,
            Flow::CutAfter(limit) => {
                let remaining = (limit.saturating_sub(forwarded)) as usize;
                bytes = &bytes[..remaining.min(read)];
            }
        }
        if to.write_all(bytes).await.is_err() {
            return End::ReceiverClosed;
        }
        forwarded += bytes.len() as u64;
        forwarded_bytes.fetch_add(bytes.len() as u64, Ordering::SeqCst);
        if bytes.len() < read || current_fault == Flow::CutAfter(forwarded) {
            return End::Closed;
        }
    }
}

/// Faults of a datagram proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramFault {
    /// Drops every datagram.
    pub drop: bool,
    /// Forwards each datagram twice.
    pub duplicate: bool,
    /// Delay before a datagram is forwarded.
    pub delay: Duration,
}

/// A one-way proxy for datagrams. Clones share the same proxy.
#[derive(Clone)]
pub struct DatagramProxy {
    /// The address on which it listens.
    pub addr: SocketAddr,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<DatagramFault>>,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
    socket: Arc<UdpSocket>,
    _task: Arc<AbortOnDrop>,
}

/// Largest number of datagrams recorded for replay.
const MAX_RECORDED: usize = 1024;

impl DatagramProxy {
    /// Starts a datagram proxy to `upstream`.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<DatagramProxy> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = socket.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let fault = Arc::new(Mutex::new(DatagramFault::default()));
        let received = Arc::new(Mutex::new(Vec::new()));
        let forwarding =
            forward_datagrams(socket.clone(), upstream.clone(), fault.clone(), received.clone());
        let task = tokio::spawn(forwarding);
        let _task = Arc::new(AbortOnDrop(task.abort_handle()));
        Ok(DatagramProxy { addr, upstream, fault, received, socket, _task })
    }

    /// Changes the receiver of later datagrams.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no thread panics while it holds the lock") = upstream;
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: DatagramFault) {
        *self.fault.lock().expect("no thread panics while it holds the lock") = fault;
    }

    /// The recorded datagrams, the oldest first; only the first `MAX_RECORDED` are recorded.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.received.lock().expect("no thread panics while it holds the lock").clone()
    }

    /// Sends a datagram to the receiver.
    pub async fn send(&self, bytes: &[u8]) -> std::io::Result<()> {
        let to = *self.upstream.lock().expect("no thread panics while it holds the lock");
        self.socket.send_to(bytes, to).await?;
        Ok(())
    }
}

async fn forward_datagrams(
    socket: Arc<UdpSocket>,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<DatagramFault>>,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
) {
    let mut buffer = vec![0; 2048];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..size].to_vec();
        record_datagram(&received, &bytes);
        let current_fault = *fault.lock().expect("no thread panics while it holds the lock");
        let to = *upstream.lock().expect("no thread panics while it holds the lock");
        if current_fault.drop {
            continue;
        }
        let socket = socket.clone();
        tokio::spawn(async move {
            sleep(current_fault.delay).await;
            let copies = 1 + usize::from(current_fault.duplicate);
            for _ in 0..copies {
                let _ = socket.send_to(&bytes, to).await;
            }
        });
    }
}

fn record_datagram(received: &Mutex<Vec<Vec<u8>>>, bytes: &[u8]) {
    let mut received = received.lock().expect("no thread panics while it holds the lock");
    if received.len() < MAX_RECORDED {
        received.push(bytes.to_vec());
    }
}

/// A one-way link between two daemons: datagrams and streams on the same port.
#[derive(Clone)]
pub struct Link {
    /// For heartbeats.
    pub datagrams: DatagramProxy,
    /// For state transfers.
    pub streams: Proxy,
}

/// Attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_ATTEMPTS: usize = 8;

impl Link {
    /// Starts a link without a receiver; see [`Link::set_upstream`].
    pub async fn start() -> std::io::Result<Link> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut last = None;
        for _ in 0..MAX_PORT_ATTEMPTS {
            let datagrams = DatagramProxy::start(nowhere).await?;
            match Proxy::start_on(datagrams.addr, nowhere).await {
                Ok(streams) => return Ok(Link { datagrams, streams }),
                Err(error) => last = Some(error),
            }
        }
        Err(last.expect("there was at least one attempt"))
    }

    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.datagrams.addr
    }

    /// Sets the receiving daemon.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.datagrams.set_upstream(upstream);
        self.streams.set_upstream(upstream);
    }

    /// Cuts the link, or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.datagrams.set_fault(DatagramFault { drop: cut, ..DatagramFault::default() });
        self.streams.set_fault(Fault { refuse: cut, ..Fault::default() });
    }
}
