//! Options of every TCP connection, made or accepted.
//!
//! A connection can go silent without a reset. Whoever waits for an answer has a time limit; what
//! nobody waits on, such as an accepted connection without requests, would stay for ever.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time without a byte after which the kernel asks the other side for a sign of life.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long bytes or questions may go unacknowledged until the kernel ends the connection: longer than
/// any cut that a request survives, since an answer that is ready is delivered also when it is late.
const USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends small messages at once, and has the kernel end the connection once it has been silent for
/// 30 s.
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
/// Those of the system; the connection has usually ended then.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL),
    )?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
