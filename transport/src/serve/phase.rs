//! Activity of an accepted connection, and its time limits.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::admission::Client;
use crate::clock;

/// Time limit for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a further byte after which a body that is arriving counts as abandoned. Packets wait
/// up to half a second at a link in full use.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be without a request. This is longer than known clients keep idle
/// connections, since a request that is sent while its connection is being closed gets no response:
/// of 400 requests within 20 ms of the close, between 14 and 37 were lost. Our own dialer keeps
/// connections for 8 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// No request, since this time.
    Idle(Instant),
    /// Receiving the head of a request, since this time.
    ReadingHead(Instant),
    /// Awaiting a part of the body of a request, since this time.
    AwaitingBody(Instant),
    /// Responding to a request.
    Responding,
}

/// What is to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// Nothing before this time.
    Later(Instant),
    /// It has been idle for too long and is to be closed gracefully.
    Close,
    /// The caller takes too long to send a head or a body; the connection is to be dropped.
    Abort,
}

/// Activity of a connection, shared by its stream and its request handlers.
#[derive(Clone)]
pub(super) struct Phase {
    activity: Arc<Mutex<Activity>>,
    client: Client,
}

impl Phase {
    pub(super) fn new(client: Client) -> Phase {
        let now = clock::now();
        client.wait_since(now);
        Phase { activity: Arc::new(Mutex::new(Activity::Idle(now))), client }
    }

    /// The client of the connection.
    pub(super) fn client(&self) -> &Client {
        &self.client
    }

    fn activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().expect("no thread panics while it holds the phase lock")
    }

    fn set(&self, activity: Activity) {
        match activity {
            Activity::Idle(since)
            | Activity::ReadingHead(since)
            | Activity::AwaitingBody(since) => self.client.wait_since(since),
            Activity::Responding => self.client.stop_waiting(),
        }
        *self.activity() = activity;
    }

    /// Records that bytes were received.
    fn on_bytes(&self) {
        let is_idle = matches!(*self.activity(), Activity::Idle(_));
        if is_idle {
            self.set(Activity::ReadingHead(clock::now()));
        }
    }

    /// Records that the rest of a body is awaited.
    pub(super) fn await_body(&self) {
        let is_awaited = matches!(*self.activity(), Activity::AwaitingBody(_));
        if !is_awaited {
            self.set(Activity::AwaitingBody(clock::now()));
        }
    }

    /// Records that a request was received, or a part of its body.
    pub(super) fn start_response(&self) {
        self.set(Activity::Responding);
    }

    /// Records that the response is ready. The client may not have read it yet.
    pub(super) fn finish_response(&self) {
        self.set(Activity::Idle(clock::now()));
    }

    /// What is to be done now.
    pub(super) fn due(&self) -> Due {
        let activity = *self.activity();
        match activity {
            Activity::Idle(since) if clock::since(since) >= IDLE_TIMEOUT => Due::Close,
            Activity::ReadingHead(since) if clock::since(since) >= HEAD_TIMEOUT => Due::Abort,
            Activity::AwaitingBody(since) if clock::since(since) >= BODY_TIMEOUT => Due::Abort,
            Activity::AwaitingBody(since) => Due::Later(since + BODY_TIMEOUT),
            Activity::ReadingHead(since) => Due::Later(since + HEAD_TIMEOUT),
            // A head may arrive at any time.
            Activity::Idle(_) | Activity::Responding => Due::Later(clock::now() + HEAD_TIMEOUT),
        }
    }
}

/// A stream that records received bytes in its phase.
pub(super) struct TrackedStream {
    stream: TcpStream,
    phase: Phase,
}

impl TrackedStream {
    pub(super) fn new(stream: TcpStream, phase: Phase) -> TrackedStream {
        TrackedStream { stream, phase }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        if buffer.filled().len() > before {
            self.phase.on_bytes();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
