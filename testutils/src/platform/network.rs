//! The network of a site: each daemon reaches every worker and every other daemon by a link of its
//! own, which can be cut.
//!
//! A daemon learns addresses from the store and from other daemons. In what it reads from them, the
//! addresses of workers and other daemons are replaced by those of its links. These differ in the
//! last byte of the IP address only, and all of them are equally long as text, so that no message
//! changes its length. What a cut holds up is delivered when the link is restored, as TCP does.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::Weak;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::ports::unused_loopback_addr;

/// Number of a daemon.
type NodeNumber = usize;

/// Which directions are cut, as one end sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Cut {
    /// None.
    #[default]
    None,
    /// Both.
    Both,
    /// Nothing arrives at that end.
    Inbound,
    /// Nothing that this end sends arrives.
    Outbound,
}

impl Cut {
    /// Whether what that end sends is held up.
    pub fn holds_outbound(self) -> bool {
        matches!(self, Cut::Both | Cut::Outbound)
    }

    /// Whether what is sent to that end is held up.
    pub fn holds_inbound(self) -> bool {
        matches!(self, Cut::Both | Cut::Inbound)
    }

    /// The same directions as the other end sees them.
    fn reversed(self) -> Cut {
        match self {
            Cut::Inbound => Cut::Outbound,
            Cut::Outbound => Cut::Inbound,
            Cut::None | Cut::Both => self,
        }
    }
}

/// The cut of a link, as the end sees it that opens the connections.
type LinkCut = watch::Sender<Cut>;

/// The network of a site. Clones share it.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Inner>,
}

/// The links of a network.
pub(super) struct Inner {
    /// The IP address of all workers.
    workers: IpAddr,
    /// For each daemon, the IP address of its links to the workers.
    worker_links: Vec<IpAddr>,
    /// For each daemon, what is replaced in what it reads.
    substitutions: Vec<Substitution>,
    /// The links between daemons, by both ends.
    node_cuts: HashMap<(NodeNumber, NodeNumber), LinkCut>,
    /// The links of each daemon to the worker on each machine.
    worker_cuts: Mutex<HashMap<(NodeNumber, String), LinkCut>>,
    /// Addresses of the workers that have links.
    linked: Mutex<Vec<SocketAddr>>,
}

impl Network {
    /// The network of daemons with these addresses, at which they answer other daemons.
    ///
    /// # Errors
    ///
    /// If a link cannot listen.
    pub fn start(nodes: &[SocketAddr]) -> io::Result<Network> {
        let numbers = 0..nodes.len();
        let ips: Vec<IpAddr> = nodes.iter().map(SocketAddr::ip).collect();
        let mut node_links = HashMap::new();
        for from in numbers.clone() {
            for to in numbers.clone().filter(|to| *to != from) {
                node_links.insert((from, to), unused_loopback_addr());
            }
        }
        let workers = unused_loopback_addr();
        let worker_links: Vec<IpAddr> = numbers.clone().map(|_| unused_loopback_addr()).collect();
        let substitution = |reader: NodeNumber| {
            let seen_as = |node| *node_links.get(&(reader, node)).unwrap_or(&ips[reader]);
            let real = numbers.clone().map(|node| (ips[node], seen_as(node)));
            let of_others = node_links.iter().map(|((_, to), link)| (*link, seen_as(*to)));
            let worker_ips = worker_links.iter().copied().chain([workers]);
            let worker_ips = worker_ips.map(|ip| (ip, worker_links[reader]));
            Substitution::new(real.chain(of_others).chain(worker_ips))
        };
        let substitutions: Vec<Substitution> = numbers.clone().map(substitution).collect();
        let mut node_cuts = HashMap::new();
        for ((from, to), ip) in &node_links {
            let cut = LinkCut::default();
            let (requests, answers) = (substitutions[*to].clone(), substitutions[*from].clone());
            let rewrites = Rewrites { requests, answers };
            let link = SocketAddr::new(*ip, nodes[*to].port());
            serve_link(link, nodes[*to], cut.subscribe(), Some(rewrites))?;
            node_cuts.insert((*from, *to), cut);
        }
        let (worker_cuts, linked) = (Mutex::default(), Mutex::default());
        let inner = Inner { workers, worker_links, substitutions, node_cuts, worker_cuts, linked };
        Ok(Network { inner: Arc::new(inner) })
    }

    /// A reference that does not keep the links.
    pub(super) fn downgrade(&self) -> Weak<Inner> {
        Arc::downgrade(&self.inner)
    }

    /// The network of a reference; `None` if it has ended.
    pub(super) fn upgrade(inner: &Weak<Inner>) -> Option<Network> {
        inner.upgrade().map(|inner| Network { inner })
    }

    /// The IP address on which the workers listen.
    pub fn worker_ip(&self) -> IpAddr {
        self.inner.workers
    }

    /// Cuts the path between two daemons, as the first of them sees it.
    pub fn cut_nodes(&self, one: NodeNumber, other: NodeNumber, cut: Cut) {
        for (ends, cut) in [((one, other), cut), ((other, one), cut.reversed())] {
            if let Some(link) = self.inner.node_cuts.get(&ends) {
                link.send_replace(cut);
            }
        }
    }

    /// Cuts the path between a daemon and the worker on a machine, as the daemon sees it.
    pub fn cut_worker(&self, node: NodeNumber, machine: &str, cut: Cut) {
        self.worker_cuts().entry((node, machine.to_owned())).or_default().send_replace(cut);
    }

    /// Restores all paths.
    pub fn restore(&self) {
        let worker_cuts = self.worker_cuts();
        for link in self.inner.node_cuts.values().chain(worker_cuts.values()) {
            link.send_replace(Cut::None);
        }
    }

    fn worker_cuts(&self) -> MutexGuard<'_, HashMap<(NodeNumber, String), LinkCut>> {
        self.inner.worker_cuts.lock().expect("no thread panics while it holds the lock")
    }

    /// Starts the links of all daemons to a worker, whose entry in the store this is, if there are none.
    pub(super) fn link_worker(&self, entry: &[u8]) {
        let entry: Value = serde_json::from_slice(entry).unwrap_or_default();
        let addr = entry["address"].as_str().and_then(|addr| addr.parse::<SocketAddr>().ok());
        let (Some(addr), Some(machine)) = (addr, entry["machine"].as_str()) else { return };
        let mut linked =
            self.inner.linked.lock().expect("no thread panics while it holds the lock");
        if addr.ip() != self.inner.workers || linked.contains(&addr) {
            return;
        }
        linked.push(addr);
        for (node, ip) in self.inner.worker_links.iter().enumerate() {
            let mut cuts = self.worker_cuts();
            let cut = cuts.entry((node, machine.to_owned())).or_default().subscribe();
            let link = SocketAddr::new(*ip, addr.port());
            serve_link(link, addr, cut, None).expect("only links to workers use this IP address");
        }
    }

    /// Replaces the addresses in what a daemon reads.
    pub(super) fn substitute(&self, reader: NodeNumber, bytes: &mut [u8]) {
        self.inner.substitutions[reader].apply(bytes);
    }
}

/// IP addresses that are replaced by others, in binary and in text.
#[derive(Clone, Default)]
struct Substitution {
    binary: HashMap<Vec<u8>, Vec<u8>>,
    text: HashMap<Vec<u8>, Vec<u8>>,
}

impl Substitution {
    fn new(pairs: impl Iterator<Item = (IpAddr, IpAddr)>) -> Substitution {
        let mut substitution = Substitution::default();
        for (from, to) in pairs.filter(|(from, to)| from != to) {
            let (IpAddr::V4(from), IpAddr::V4(to)) = (from, to) else { continue };
            substitution.binary.insert(from.octets().to_vec(), to.octets().to_vec());
            let (from, to) = (from.to_string().into_bytes(), to.to_string().into_bytes());
            assert_eq!(
                from.len(),
                to.len(),
                "all loopback addresses of a process are equally long"
            );
            substitution.text.insert(from, to);
        }
        substitution
    }

    fn apply(&self, bytes: &mut [u8]) {
        replace_all(bytes, &self.binary);
        replace_all(bytes, &self.text);
    }
}

/// What a link between daemons replaces in their messages.
struct Rewrites {
    /// In requests, which the daemon at its end reads.
    requests: Substitution,
    /// In answers, which the daemon reads that has opened the connection.
    answers: Substitution,
}

/// Replaces each of the keys, which are equally long, by its value.
fn replace_all(bytes: &mut [u8], pairs: &HashMap<Vec<u8>, Vec<u8>>) {
    let Some(length) = pairs.keys().next().map(Vec::len) else { return };
    let mut at = 0;
    while at + length <= bytes.len() {
        let Some(to) = pairs.get(&bytes[at..at + length]) else {
            at += 1;
            continue;
        };
        bytes[at..at + length].copy_from_slice(to);
        at += length;
    }
}

/// Serves a link to `to` in the background, until its cut can no longer be set. With `rewrites`, its connections carry
/// messages with a length before each.
fn serve_link(
    link: SocketAddr,
    to: SocketAddr,
    cut: watch::Receiver<Cut>,
    rewrites: Option<Rewrites>,
) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(link)?;
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let rewrites = rewrites.map(Arc::new);
    tokio::spawn(async move {
        let mut end = cut.clone();
        let accept = async {
            while let Ok((client, _)) = listener.accept().await {
                let (cut, rewrites) = (cut.clone(), rewrites.clone());
                // A connection that fails is closed at both ends, which is all that they can see of it.
                tokio::spawn(async move { forward(client, to, cut, rewrites).await.ok() });
            }
        };
        tokio::select! {
            () = accept => {}
            _ = async { while end.changed().await.is_ok() {} } => {}
        }
    });
    Ok(())
}

async fn forward(
    client: TcpStream,
    to: SocketAddr,
    mut cut: watch::Receiver<Cut>,
    rewrites: Option<Arc<Rewrites>>,
) -> io::Result<()> {
    if *cut.borrow() != Cut::None {
        // It cannot be opened before the link is restored, and by then its client has given it up.
        let _ = cut.wait_for(|cut| *cut == Cut::None).await;
        return Ok(());
    }
    let server = TcpStream::connect(to).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let rewrites = rewrites.as_deref();
    let requests = forward_bytes(
        client_read,
        server_write,
        cut.clone(),
        Cut::holds_outbound,
        rewrites.map(|rewrites| &rewrites.requests),
    );
    let answers = forward_bytes(
        server_read,
        client_write,
        cut,
        Cut::holds_inbound,
        rewrites.map(|rewrites| &rewrites.answers),
    );
    tokio::select! {
        end = requests => end,
        end = answers => end,
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<Cut>,
    is_held: impl Fn(Cut) -> bool,
    rewrite: Option<&Substitution>,
) -> io::Result<()> {
    loop {
        let bytes = match rewrite {
            Some(rewrite) => read_message(&mut from, rewrite).await?,
            None => read_some(&mut from).await?,
        };
        if cut.wait_for(|cut| !is_held(*cut)).await.is_err() {
            return Ok(());
        }
        to.write_all(&bytes).await?;
    }
}

async fn read_some(from: &mut OwnedReadHalf) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 16 * 1024];
    let read = from.read(&mut bytes).await?;
    bytes.truncate(read);
    if bytes.is_empty() { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(bytes) }
}

/// Reads a message with its length, and replaces the addresses in it.
async fn read_message(from: &mut OwnedReadHalf, rewrite: &Substitution) -> io::Result<Vec<u8>> {
    let length = from.read_u32().await?;
    let mut bytes = vec![0; length as usize];
    from.read_exact(&mut bytes).await?;
    rewrite.apply(&mut bytes);
    let mut message = length.to_be_bytes().to_vec();
    message.append(&mut bytes);
    Ok(message)
}
