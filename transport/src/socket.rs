//! Options of every TCP connection, outgoing or accepted.
//!
//! A connection can go dead without a reset. Requests have time limits, but a connection that
//! nothing waits on, such as an accepted one without requests, would stay open forever.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Idle time after which the kernel sends a keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long data or probes may go unacknowledged until the kernel closes the connection. This is
/// longer than any network interruption that a request survives, since a response that is ready is
/// delivered even if it is late.
const USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the kernel's send buffer, and of its receive buffer, of an accepted connection, in bytes.
/// The kernel takes twice as much for its own records. Within a site this is enough for 16 MB a
/// second.
const ACCEPTED_BUFFER_BYTES: usize = 32 * 1024;

/// Sets the options of an accepted connection: those of every connection, and limits of what the
/// kernel holds for it, which by itself would take megabytes of answers that a client does not read.
///
/// # Errors
///
/// Errors of the system; the connection has usually ended then.
pub fn set_accepted_options(stream: &TcpStream) -> io::Result<()> {
    set_options(stream)?;
    let socket = SockRef::from(stream);
    socket.set_send_buffer_size(ACCEPTED_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(ACCEPTED_BUFFER_BYTES)
}

/// Disables Nagle's algorithm, and has the kernel close a connection that has been dead for 30 s.
///
/// ```
/// # let runtime = tokio::runtime::Runtime::new().unwrap();
/// # runtime.block_on(async {
/// use spokelift_transport::socket;
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
/// socket::set_options(&stream).unwrap();
/// assert!(stream.nodelay().unwrap());
/// # });
/// ```
///
/// # Errors
///
/// Errors of the system; the connection has usually ended then.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL),
    )?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
