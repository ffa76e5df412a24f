//! A proxy that delays, holds, cuts and limits connections on command, and one for datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
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
use tokio::time::sleep;
use tokio::time::timeout;

/// What the proxy does to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on this much later.
    Delay(Duration),
    /// Holds them; the connection stays open.
    Hold,
    /// Passes on this many bytes of each connection, then cuts it.
    CutAfter(u64),
}

/// What the proxy does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// To the bytes that go to the server.
    pub request: Flow,
    /// To the bytes that come back.
    pub answer: Flow,
    /// Connections are accepted and closed at once, and those open are cut.
    pub refuse: bool,
}

/// Which direction of open connections goes silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both.
    Both,
    /// What goes to the server.
    Requests,
    /// What comes back.
    Answers,
}

/// Connections with a lower number than these pass nothing on that way for good.
#[derive(Clone, Copy, Debug, Default)]
struct BlackHoles {
    requests_below: u64,
    answers_below: u64,
}

/// A proxy for TCP connections. Clones are the same proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<watch::Sender<Fault>>,
    black_holes: Arc<watch::Sender<BlackHoles>>,
    connection_count: Arc<AtomicU64>,
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
    /// Starts a proxy to `upstream` on a port chosen by the system.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Proxy> {
        Proxy::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), upstream).await
    }

    /// Starts a proxy to `upstream` on an address.
    pub async fn start_on(addr: SocketAddr, upstream: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let (fault, faults) = watch::channel(Fault::default());
        let (silenced, silences) = watch::channel(BlackHoles::default());
        let passed = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let line =
            ConnectionContext { faults, black_holes: silences, forwarded_bytes: passed.clone() };
        let task =
            tokio::spawn(accept_connections(listener, upstream.clone(), line, opened.clone()));
        let _task = Arc::new(AbortOnDrop(task.abort_handle()));
        let (fault, silenced) = (Arc::new(fault), Arc::new(silenced));
        Ok(Proxy {
            addr,
            upstream,
            fault,
            black_holes: silenced,
            connection_count: opened,
            forwarded_bytes: passed,
            _task,
        })
    }

    /// Sends later connections elsewhere.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no holder panics") = upstream;
    }

    /// Sets what the proxy does from now on, to open connections as well.
    pub fn set_fault(&self, fault: Fault) {
        // Nobody listens when no connection is open.
        self.fault.send_replace(fault);
    }

    /// The connections that are open now go silent for good: what they carry is taken and lost, and
    /// nobody is told. Later ones work.
    pub fn black_hole_open(&self, way: Direction) {
        let below = self.connection_count();
        self.black_holes.send_modify(|silenced| {
            if way != Direction::Answers {
                silenced.requests_below = below;
            }
            if way != Direction::Requests {
                silenced.answers_below = below;
            }
        });
    }

    /// Connections opened so far.
    pub fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Bytes passed on so far, both ways.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::SeqCst)
    }
}

/// What each connection of a proxy is told, and where it counts.
#[derive(Clone)]
struct ConnectionContext {
    faults: watch::Receiver<Fault>,
    black_holes: watch::Receiver<BlackHoles>,
    forwarded_bytes: Arc<AtomicU64>,
}

async fn accept_connections(
    listener: TcpListener,
    upstream: Arc<Mutex<SocketAddr>>,
    line: ConnectionContext,
    opened: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let to = *upstream.lock().expect("no holder panics");
        let number = opened.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(forward_connection(client, to, line.clone(), number));
    }
}

async fn forward_connection(
    client: TcpStream,
    to: SocketAddr,
    line: ConnectionContext,
    number: u64,
) {
    let ConnectionContext { faults, black_holes, forwarded_bytes } = line;
    if faults.borrow().refuse {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut refusals = faults.clone();
    let is_mute = || number < black_holes.borrow().requests_below;
    let is_deaf = || number < black_holes.borrow().answers_below;
    let request = |fault: &Fault| fault.request;
    let requests = forward_bytes(
        client_read,
        server_write,
        faults.clone(),
        &forwarded_bytes,
        request,
        is_mute,
    );
    let answers = forward_bytes(
        server_read,
        client_write,
        faults,
        &forwarded_bytes,
        |fault| fault.answer,
        is_deaf,
    );
    let mut answers = std::pin::pin!(answers);
    // The first direction to end, or a refusal, cuts both. A server that takes no more of a
    // request may have answered it already, and that answer is passed on.
    let not_taken = tokio::select! {
        end = requests => end == End::ReceiverClosed,
        _ = &mut answers => false,
        _ = refusals.wait_for(|fault| fault.refuse) => false,
    };
    if not_taken {
        let _ = timeout(LAST_ANSWER_TIMEOUT, answers).await;
    }
}

/// How long the last answer of a server may take that has stopped reading.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a direction has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its sender has closed, or it was cut.
    Closed,
    /// Its receiver takes no more.
    ReceiverClosed,
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    all: &AtomicU64,
    flow: impl Fn(&Fault) -> Flow,
    is_silent: impl Fn() -> bool,
) -> End {
    let mut buffer = vec![0; 16 * 1024];
    let mut passed = 0;
    loop {
        let Ok(read @ 1..) = from.read(&mut buffer).await else {
            return End::Closed;
        };
        if is_silent() {
            continue;
        }
        let mut bytes = &buffer[..read];
        let now = flow(&faults.borrow());
        match now {
            Flow::Pass => {}
            Flow::Delay(by) => sleep(by).await,
            Flow::Hold => {
                let _ = faults.wait_for(|fault| flow(fault) != Flow::Hold).await;
            }
            Flow::CutAfter(limit) => {
                let left = (limit.saturating_sub(passed)) as usize;
                bytes = &bytes[..left.min(read)];
            }
        }
        if to.write_all(bytes).await.is_err() {
            return End::ReceiverClosed;
        }
        passed += bytes.len() as u64;
        all.fetch_add(bytes.len() as u64, Ordering::SeqCst);
        if bytes.len() < read || now == Flow::CutAfter(passed) {
            return End::Closed;
        }
    }
}

/// What the datagram proxy does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramFault {
    /// Passes nothing on.
    pub drop: bool,
    /// Passes each one on twice.
    pub duplicate: bool,
    /// Passes each one on this much later.
    pub delay: Duration,
}

/// A one-way proxy for datagrams. Clones are the same proxy.
#[derive(Clone)]
pub struct DatagramProxy {
    /// Where it listens.
    pub addr: SocketAddr,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<DatagramFault>>,
    received: Arc<Mutex<Vec<Vec<u8>>>>,
    socket: Arc<UdpSocket>,
    _task: Arc<AbortOnDrop>,
}

/// Datagrams kept for replay.
const MAX_RECORDED: usize = 1024;

impl DatagramProxy {
    /// Starts a relay to `upstream`.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<DatagramProxy> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let addr = socket.local_addr()?;
        let upstream = Arc::new(Mutex::new(upstream));
        let fault = Arc::new(Mutex::new(DatagramFault::default()));
        let seen = Arc::new(Mutex::new(Vec::new()));
        let work = forward_datagrams(socket.clone(), upstream.clone(), fault.clone(), seen.clone());
        let task = tokio::spawn(work);
        let _task = Arc::new(AbortOnDrop(task.abort_handle()));
        Ok(DatagramProxy { addr, upstream, fault, received: seen, socket, _task })
    }

    /// Sends later datagrams elsewhere.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no holder panics") = upstream;
    }

    /// Sets what the relay does from now on.
    pub fn set_fault(&self, fault: DatagramFault) {
        *self.fault.lock().expect("no holder panics") = fault;
    }

    /// Datagrams that came by, the oldest first.
    pub fn received(&self) -> Vec<Vec<u8>> {
        self.received.lock().expect("no holder panics").clone()
    }

    /// Sends bytes of one's own to the receiver.
    pub async fn send(&self, bytes: &[u8]) -> std::io::Result<()> {
        let to = *self.upstream.lock().expect("no holder panics");
        self.socket.send_to(bytes, to).await?;
        Ok(())
    }
}

async fn forward_datagrams(
    socket: Arc<UdpSocket>,
    upstream: Arc<Mutex<SocketAddr>>,
    fault: Arc<Mutex<DatagramFault>>,
    seen: Arc<Mutex<Vec<Vec<u8>>>>,
) {
    let mut buffer = vec![0; 2048];
    loop {
        let Ok((size, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..size].to_vec();
        record_datagram(&seen, &bytes);
        let now = *fault.lock().expect("no holder panics");
        let to = *upstream.lock().expect("no holder panics");
        if now.drop {
            continue;
        }
        let socket = socket.clone();
        tokio::spawn(async move {
            sleep(now.delay).await;
            let copies = 1 + usize::from(now.duplicate);
            for _ in 0..copies {
                let _ = socket.send_to(&bytes, to).await;
            }
        });
    }
}

fn record_datagram(seen: &Mutex<Vec<Vec<u8>>>, bytes: &[u8]) {
    let mut seen = seen.lock().expect("no holder panics");
    if seen.len() < MAX_RECORDED {
        seen.push(bytes.to_vec());
    }
}

/// A link from one daemon to another: datagrams and streams on the same port.
#[derive(Clone)]
pub struct Link {
    /// For heartbeats.
    pub datagrams: DatagramProxy,
    /// For catching up.
    pub streams: Proxy,
}

/// Ports tried until one is free for both.
const MAX_PORT_ATTEMPTS: usize = 8;

impl Link {
    /// Starts a link that leads nowhere yet.
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
        Err(last.expect("it was tried at least once"))
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.datagrams.addr
    }

    /// Leads to a daemon from now on.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.datagrams.set_upstream(upstream);
        self.streams.set_upstream(upstream);
    }

    /// Cuts the link, or mends it.
    pub fn set_cut(&self, cut: bool) {
        self.datagrams.set_fault(DatagramFault { drop: cut, ..DatagramFault::default() });
        self.streams.set_fault(Fault { refuse: cut, ..Fault::default() });
    }
}
