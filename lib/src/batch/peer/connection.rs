//! The sending side of a connection to a peer.
//!
//! A connection can stop delivering data without a reset. A ping, which any peer answers at once,
//! tells such a connection from a peer that takes long to answer: if nothing at all is received, the
//! connection is closed, and all pending requests on it fail. Each byte that arrives counts, and each
//! that is taken by the other side while a request is written: over a slow link, the rest of a long
//! answer may keep the answer to a ping waiting for longer than that.

use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::batch::costs;
use crate::batch::peer::CONNECT_TIMEOUT;
use crate::batch::peer::PeerError;
use crate::batch::peer::Pending;
use crate::batch::peer::PendingRequest;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::peer::frame::encode;
use crate::metrics::Counters;
use crate::transport::socket;

/// Time without data on a connection with pending requests after which the peer is pinged. Most
/// answers come within 10 ms.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time after a ping within which something must be received. With 250 ms, high load on 350 boxes
/// closes 249 connections to a leader that is short of CPU; with this, 10 and 27.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for which a connection that takes bytes slowly is written to.
const MAX_WRITE_TIME: Duration = Duration::from_secs(5);
/// Length of the head of a frame, which says how long the frame is.
const FRAME_HEAD_BYTES: usize = 4;
/// Message number of pings; requests are numbered from 1.
const PING_NUMBER: u64 = 0;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Opens a connection and sends the queued requests over it, until the connection fails or is
/// unresponsive, or all senders of requests are dropped.
pub(super) async fn run(
    addr: SocketAddr,
    mut queue: mpsc::Receiver<PendingRequest>,
    counters: Option<Counters>,
) {
    let why = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => match exchange(addr, stream, &mut queue, counters).await {
            Some(why) => why,
            None => return,
        },
        Ok(Err(_)) | Err(_) => PeerError::NotSent,
    };
    log::debug!("connection to the peer at {addr} ended: {why}");
    queue.close();
    while let Some((_, (reply, _))) = queue.recv().await {
        // The sender of the request may have timed out.
        let _ = reply.send(Err(PeerError::NotSent));
    }
}

/// An open connection with its pending requests.
struct Connection {
    frames: Frames,
    /// Requests without an answer yet, by number, with their names.
    pending: HashMap<u64, (&'static str, Pending)>,
    counters: Option<Counters>,
    /// Number of the last request.
    last_number: u64,
    /// When data was last received, or when the first of the pending requests was sent if that is
    /// later.
    last_activity: Instant,
    /// Whether a ping was sent since the last activity.
    is_pinged: bool,
}

/// Sends requests and receives answers until the connection ends. Returns why it ended, or `None`
/// if all senders of requests are dropped.
async fn exchange(
    addr: SocketAddr,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<PendingRequest>,
    counters: Option<Counters>,
) -> Option<PeerError> {
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("cannot set up the connection to the peer at {addr}: {error}");
        return Some(PeerError::Closed);
    }
    let frames = Framed::new(stream, LengthDelimitedCodec::new());
    let mut connection = Connection {
        frames,
        pending: HashMap::new(),
        counters,
        last_number: PING_NUMBER,
        last_activity: Instant::now(),
        is_pinged: false,
    };
    let why = loop {
        let deadline = connection.ping_deadline();
        let result = tokio::select! {
            request = queue.recv() => match request {
                Some(request) => connection.send(request).await,
                None => return None,
            },
            received = next(&mut connection.frames) => match received {
                Received::Bytes => {
                    connection.record_arriving();
                    Ok(())
                }
                Received::Frame(frame) => connection.receive(addr, &frame),
                Received::End => Err(PeerError::Closed),
            },
            () = sleep_until(deadline), if !connection.pending.is_empty() => {
                connection.check_liveness().await
            }
        };
        if let Err(why) = result {
            break why;
        }
    };
    if why == PeerError::Unresponsive {
        let addr = addr.to_string();
        log::info!(
            peer = addr.as_str(),
            requests = connection.pending.len();
            "closed an unresponsive connection"
        );
    }
    for (_, (_, (reply, _))) in connection.pending {
        // The sender of the request may have timed out.
        let _ = reply.send(Err(why));
    }
    Some(why)
}

/// What was received on a connection.
enum Received {
    /// A part of a frame.
    Bytes,
    /// The rest of a frame.
    Frame(BytesMut),
    /// The end of the connection, or what is no frame.
    End,
}

async fn next(frames: &mut Frames) -> Received {
    poll_fn(|cx| {
        let before = frames.read_buffer().len();
        match frames.poll_next_unpin(cx) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Received::Frame(frame)),
            Poll::Ready(Some(Err(_)) | None) => Poll::Ready(Received::End),
            Poll::Pending if frames.read_buffer().len() != before => Poll::Ready(Received::Bytes),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

impl Connection {
    fn record_activity(&mut self) {
        self.last_activity = Instant::now();
        self.is_pinged = false;
    }

    /// Records that bytes have arrived that end no frame: progress of the answer they belong to.
    fn record_arriving(&mut self) {
        self.record_activity();
        // The decoder takes the head of a frame from the buffer as soon as it is complete.
        let buffer = self.frames.read_buffer();
        if buffer.len() < FRAME_HEAD_BYTES {
            return;
        }
        if let Ok((number, _)) = postcard::take_from_bytes::<u64>(buffer)
            && let Some((_, (_, progress))) = self.pending.get(&number)
        {
            progress.advance();
        }
    }

    /// When the peer is to be pinged, or, after a ping, when the connection is to be closed.
    fn ping_deadline(&self) -> Instant {
        self.last_activity + if self.is_pinged { PING_AFTER + PING_TIMEOUT } else { PING_AFTER }
    }

    async fn send(&mut self, (request, reply): PendingRequest) -> Result<(), PeerError> {
        if self.pending.is_empty() {
            self.record_activity();
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, (request.name(), reply));
        self.write(self.last_number, request).await
    }

    /// Pings the peer, or returns [`PeerError::Unresponsive`] if the last ping was not answered.
    /// Requests whose senders have timed out are dropped.
    async fn check_liveness(&mut self) -> Result<(), PeerError> {
        self.pending.retain(|_, (_, (reply, _))| !reply.is_closed());
        if self.is_pinged {
            return Err(PeerError::Unresponsive);
        }
        self.is_pinged = true;
        self.write(PING_NUMBER, Request::Ping).await
    }

    /// Writes a message. A connection that accepts no data in time counts as unresponsive too.
    async fn write(&mut self, number: u64, request: Request) -> Result<(), PeerError> {
        let message = encode(&(number, &request));
        if let Some(counters) = &self.counters {
            costs::count_message(counters, request.name(), message.len(), 0);
        }
        self.frames.feed(message).await.map_err(|_| PeerError::Closed)?;
        let started_at = Instant::now();
        loop {
            let unwritten = self.frames.write_buffer().len();
            let flush = SinkExt::<Bytes>::flush(&mut self.frames);
            if let Ok(written) = timeout(PING_AFTER + PING_TIMEOUT, flush).await {
                break written.map_err(|_| PeerError::Closed);
            }
            let is_stalled = self.frames.write_buffer().len() == unwritten;
            if is_stalled || started_at.elapsed() > MAX_WRITE_TIME {
                break Err(PeerError::Unresponsive);
            }
            self.record_activity();
        }
    }

    fn receive(&mut self, addr: SocketAddr, frame: &[u8]) -> Result<(), PeerError> {
        self.record_activity();
        let (number, reply) = postcard::from_bytes::<(u64, Reply)>(frame).map_err(|error| {
            log::warn!("cannot decode an answer of the peer at {addr}: {error}");
            PeerError::Closed
        })?;
        // The sender of the request may have timed out; a ping is not among the pending requests.
        if let Some((name, (sender, _))) = self.pending.remove(&number) {
            if let Some(counters) = &self.counters {
                costs::count_message(counters, name, 0, frame.len());
            }
            let _ = sender.send(Ok(reply));
        }
        Ok(())
    }
}
