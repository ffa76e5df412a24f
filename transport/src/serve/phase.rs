//! What an accepted connection is doing, and how long it may.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::clock;

/// How long a caller may take to send a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be without a request. Longer than any client that we know keeps one: a
/// request that is sent while its connection is being closed has no answer. Of 400 requests within
/// 20 ms of the close, 14 and 37 were lost that way; our own dialer keeps connections for 8 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Nothing, since then.
    Idle(Instant),
    /// It receives the head of a request, since then.
    ReadingHead(Instant),
    /// A request is being answered.
    Responding,
}

/// What is due on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// Nothing before then.
    Later(Instant),
    /// It has been idle for long enough to be closed.
    Close,
    /// The caller takes too long for a head.
    Abort,
}

/// What a connection is doing; shared by its reader and its requests.
#[derive(Clone)]
pub(super) struct Phase(Arc<Mutex<Activity>>);

impl Phase {
    pub(super) fn new() -> Phase {
        Phase(Arc::new(Mutex::new(Activity::Idle(clock::now()))))
    }

    fn set(&self, doing: Activity) {
        *self.0.lock().expect("no holder of the phase panics") = doing;
    }

    /// Bytes have come.
    fn on_bytes(&self) {
        let mut doing = self.0.lock().expect("no holder of the phase panics");
        if matches!(*doing, Activity::Idle(_)) {
            *doing = Activity::ReadingHead(clock::now());
        }
    }

    /// A request has come.
    pub(super) fn start_response(&self) {
        self.set(Activity::Responding);
    }

    /// Its answer is known. What is left of it may still be on its way.
    pub(super) fn finish_response(&self) {
        self.set(Activity::Idle(clock::now()));
    }

    /// What is due now.
    pub(super) fn due(&self) -> Due {
        let doing = *self.0.lock().expect("no holder of the phase panics");
        match doing {
            Activity::Idle(since) if clock::since(since) >= IDLE_TIMEOUT => Due::Close,
            Activity::ReadingHead(since) if clock::since(since) >= HEAD_TIMEOUT => Due::Abort,
            Activity::ReadingHead(since) => Due::Later(since + HEAD_TIMEOUT),
            // A head may begin at any time.
            Activity::Idle(_) | Activity::Responding => Due::Later(clock::now() + HEAD_TIMEOUT),
        }
    }
}

/// A connection whose bytes are noted in its phase.
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
