//! Clients that do not behave: connections that send parts of requests, stay open and read nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// How long a connection may take to open. The other side may accept no more of them.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one write may take until its connection counts as blocked. The other side may read no
/// more of it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at what the other side has not read yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of looks that find the same after which the other side counts as reading no more.
const CHECKS_WITHOUT_PROGRESS: usize = 10;
/// Largest number of looks.
const MAX_CHECKS: usize = 600;
/// Receive buffer of a connection, in bytes, so that answers that are not read soon block the other
/// side.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Open connections to one address.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use spokelift_testutils::crowd::Crowd;
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let mut crowd = Crowd::connect(listener.local_addr().unwrap(), 3).await;
/// crowd.send("GET / HTT").await;
/// assert_eq!(crowd.len(), 3);
/// # });
/// ```
pub struct Crowd {
    addr: SocketAddr,
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens connections. Those that the other side refuses are not part of the crowd.
    pub async fn connect(addr: SocketAddr, count: usize) -> Crowd {
        let mut connecting = JoinSet::new();
        for _ in 0..count {
            connecting.spawn(timeout(CONNECT_TIMEOUT, connect(addr)));
        }
        let results = connecting.join_all().await;
        let streams: Vec<TcpStream> = results.into_iter().flatten().flatten().collect();
        Crowd { addr, streams }
    }

    /// Number of connections that were opened.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no connection was opened.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Sends bytes on every connection, at the same time, without waiting until they are read. What
    /// the other side does not take is left.
    pub async fn send(&mut self, bytes: impl Into<Bytes>) {
        let bytes: Bytes = bytes.into();
        let mut sending = JoinSet::new();
        for mut stream in self.streams.drain(..) {
            let bytes = bytes.clone();
            sending.spawn(async move {
                // The other side may close the connection, or read no more.
                let _ = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
                stream
            });
        }
        self.streams = sending.join_all().await;
    }

    /// Waits until the other side has read what was sent, or reads no more.
    pub async fn wait_until_read(&self) {
        let (mut last_unread, mut unchanged) = (None, 0);
        for _ in 0..MAX_CHECKS {
            let unread = unread_bytes(self.addr);
            unchanged = if Some(unread) == last_unread { unchanged + 1 } else { 0 };
            if unread == 0 || unchanged == CHECKS_WITHOUT_PROGRESS {
                return;
            }
            last_unread = Some(unread);
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Bytes that have arrived at the connections of a listener on this machine and are not read yet.
fn unread_bytes(listener: SocketAddr) -> u64 {
    let SocketAddr::V4(addr) = listener else { return 0 };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let local = format!("{ip:08X}:{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let of_listener = |line: &str| {
        let mut columns = line.split_whitespace().skip(1);
        let is_local = columns.next()? == local;
        let (_, unread) = columns.nth(2)?.split_once(':')?;
        if is_local { u64::from_str_radix(unread, 16).ok() } else { None }
    };
    // The listener itself reports the connections that wait to be accepted.
    table.lines().filter_map(of_listener).sum()
}

async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    // Each write is to arrive as a piece of its own.
    socket.set_nodelay(true)?;
    socket.connect(addr).await
}
