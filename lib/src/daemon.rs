//! A daemon: its sockets, its tasks, and its stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::call;
use crate::coordination::append;
use crate::coordination::box_list;
use crate::coordination::catch_up;
use crate::coordination::drive;
use crate::coordination::follow;
use crate::coordination::member;
use crate::coordination::node::Node;
use crate::coordination::reconcile;
use crate::coordination::snapshot;
use crate::listen::StartError;
use crate::listen::listen;
use crate::metrics::Counters;
use crate::operator_api;
use crate::settings::Settings;
use crate::transport::serve::serve;

/// How often the state of service is looked at for the log lines.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Ports tried where the system may choose.
const MAX_BIND_ATTEMPTS: usize = 8;

/// The addresses a daemon listens on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Addrs {
    /// For callers and the balancer.
    pub call: SocketAddr,
    /// For operators.
    pub operate: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
}

/// The sockets a daemon serves.
pub struct Sockets {
    call: TcpListener,
    operate: TcpListener,
    peer: UdpSocket,
    catch_up: TcpListener,
}

impl Sockets {
    /// Binds the addresses of the settings.
    pub async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
        let call = listen("callers", settings.call_addr).await?;
        let operate = listen("operators", settings.operate_addr).await?;
        let (peer, catch_up) = bind_peer(settings.peer_addr).await?;
        Ok(Sockets { call, operate, peer, catch_up })
    }

    /// The addresses bound.
    pub fn addrs(&self) -> io::Result<Addrs> {
        Ok(Addrs {
            call: self.call.local_addr()?,
            operate: self.operate.local_addr()?,
            peer: self.peer.local_addr()?,
        })
    }
}

/// Binds the same port for datagrams and streams. A port that the system chose for one may be
/// taken for the other; another one is tried then.
async fn bind_peer(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let mut last = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let stream = listen("peers", addr).await?;
        let both = async {
            let bound = stream.local_addr()?;
            UdpSocket::bind(bound).await
        };
        match both.await {
            Ok(datagrams) => return Ok((datagrams, stream)),
            Err(source) => last = Some(source),
        }
    }
    let source = last.expect("it was tried at least once");
    let purpose = "peers";
    Err(StartError::Bind { purpose, addr, source })
}

/// Runs a daemon until `stop` turns true and the requests in flight have ended.
///
/// Dropping the future, or the runtime it is on, is a crash.
pub async fn run(
    settings: Settings,
    sockets: Sockets,
    mut stop: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let counters = Counters::new(settings.statsd).map_err(StartError::Metrics)?;
    let node = Node::new(settings, counters);
    let mut tasks = JoinSet::new();
    tasks.spawn(catch_up::serve(node.clone(), sockets.catch_up));
    spawn_tasks(&node, sockets.peer, &mut tasks);
    let (close, closed) = watch::channel(false);
    let calls = serve(sockets.call, closed.clone(), handler(&node, call::handle));
    let operations = serve(sockets.operate, closed, handler(&node, operator_api::handle));
    let stopping = async {
        // A sender that is gone is a stop as well.
        let _ = stop.wait_for(|stop| *stop).await;
        node.set_stopping();
        log::info!("stops: the balancer is told first");
        sleep(node.settings.stop_delay).await;
        let _ = close.send(true);
    };
    tokio::join!(calls, operations, stopping);
    log::info!("stopped");
    Ok(())
}

fn handler<F, Fut>(
    node: &Arc<Node>,
    handle: F,
) -> impl Fn(Request<Incoming>) -> Fut + Clone + Send + Sync + 'static
where
    F: Fn(Arc<Node>, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
{
    let node = node.clone();
    move |request| handle(node.clone(), request)
}

fn spawn_tasks(node: &Arc<Node>, peer: UdpSocket, tasks: &mut JoinSet<()>) {
    let peer = Arc::new(peer);
    tasks.spawn(append::run(node.clone()));
    tasks.spawn(follow::run(node.clone()));
    tasks.spawn(catch_up::run(node.clone()));
    tasks.spawn(snapshot::run(node.clone()));
    tasks.spawn(box_list::run(node.clone()));
    tasks.spawn(reconcile::run(node.clone()));
    tasks.spawn(drive::run(node.clone()));
    tasks.spawn(member::receive_heartbeats(node.clone(), peer.clone()));
    tasks.spawn(member::detect_pauses(node.clone()));
    tasks.spawn(log_basis(node.clone()));
    for (id, _) in &node.settings.peers {
        tasks.spawn(member::send_heartbeats(node.clone(), peer.clone(), *id));
    }
}

/// Logs when the daemon begins and ceases to serve, and on what basis.
async fn log_basis(node: Arc<Node>) {
    let mut last = None;
    loop {
        let basis = node.basis();
        if last != Some(basis) {
            log::info!(basis = basis.as_str(); "serves by");
            node.counters.count(&format!("basis.{}", basis.as_str()));
            last = Some(basis);
        }
        sleep(SERVICE_CHECK_INTERVAL).await;
    }
}
