//! Runs a daemon: binds its sockets, starts its tasks and shuts it down.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
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
use crate::listen::admission;
use crate::listen::listen;
use crate::metrics::Counters;
use crate::operator_api;
use crate::settings::Settings;
use crate::transport::serve::Incoming;
use crate::transport::serve::serve;

/// How often the basis on which the daemon serves is checked for changes.
const BASIS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts to find a port that is free for both TCP and UDP when the system chooses it.
const MAX_BIND_ATTEMPTS: usize = 8;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Addrs {
    /// For callers and the balancer.
    pub call: SocketAddr,
    /// For operators.
    pub operate: SocketAddr,
    /// For peers.
    pub peer: SocketAddr,
}

/// The sockets that a daemon serves.
pub struct Sockets {
    call: TcpListener,
    operate: TcpListener,
    peer: UdpSocket,
    catch_up: TcpListener,
}

impl Sockets {
    /// Binds the configured addresses.
    pub async fn bind(settings: &Settings) -> Result<Sockets, StartError> {
        let call = listen("callers", settings.call_addr).await?;
        let operate = listen("operators", settings.operate_addr).await?;
        let (peer, catch_up) = bind_peer(settings.peer_addr).await?;
        Ok(Sockets { call, operate, peer, catch_up })
    }

    /// The bound addresses.
    pub fn addrs(&self) -> io::Result<Addrs> {
        Ok(Addrs {
            call: self.call.local_addr()?,
            operate: self.operate.local_addr()?,
            peer: self.peer.local_addr()?,
        })
    }
}

/// Binds the same port for UDP and TCP. A port that the system chose for TCP may be in use for UDP,
/// so several are tried.
async fn bind_peer(addr: SocketAddr) -> Result<(UdpSocket, TcpListener), StartError> {
    let mut last_error = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = listen("peers", addr).await?;
        let bind_udp = async {
            let bound = listener.local_addr()?;
            UdpSocket::bind(bound).await
        };
        match bind_udp.await {
            Ok(socket) => return Ok((socket, listener)),
            Err(source) => last_error = Some(source),
        }
    }
    let source = last_error.expect("at least one port is tried");
    let purpose = "peers";
    Err(StartError::Bind { purpose, addr, source })
}

/// Runs a daemon until `stop` turns true and the requests in flight have ended.
///
/// Dropping the future, or the runtime it runs on, stops the daemon as a crash would.
pub async fn run(
    settings: Settings,
    sockets: Sockets,
    mut stop: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let counters = Counters::new(settings.statsd).map_err(StartError::Metrics)?;
    let node = Node::new(settings, counters);
    let mut tasks = JoinSet::new();
    let (memory, max_descriptors) = (node.settings.memory, node.settings.max_descriptors);
    let admission = admission(memory, max_descriptors, &node.counters);
    tasks.spawn(catch_up::serve(node.clone(), sockets.catch_up, admission.clone()));
    spawn_tasks(&node, sockets.peer, &mut tasks);
    let (close, closed) = watch::channel(false);
    let calls =
        serve(sockets.call, admission.clone(), closed.clone(), handler(&node, call::handle));
    let operations =
        serve(sockets.operate, admission, closed, handler(&node, operator_api::handle));
    let stopping = async {
        // A dropped sender stops the daemon as well.
        let _ = stop.wait_for(|stop| *stop).await;
        node.set_stopping();
        log::info!("shutting down: reporting not ready before the listeners close");
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

/// Logs and counts each change of the basis on which the daemon serves.
async fn log_basis(node: Arc<Node>) {
    let mut last = None;
    loop {
        let basis = node.basis();
        if last != Some(basis) {
            log::info!(basis = basis.as_str(); "serving basis changed");
            node.counters.count(&format!("basis.{}", basis.as_str()));
            last = Some(basis);
        }
        sleep(BASIS_CHECK_INTERVAL).await;
    }
}
