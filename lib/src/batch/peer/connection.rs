//! The sending side of a connection to a peer.
//!
//! A connection can go silent without a reset. A peer that takes long for an answer is told from such a
//! connection by a ping, which any peer answers at once: if nothing at all comes back, the connection is
//! given up with all that waits on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::batch::peer::Answer;
use crate::batch::peer::CONNECT_TIMEOUT;
use crate::batch::peer::PeerError;
use crate::batch::peer::PendingRequest;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::peer::encode;
use crate::transport::socket;

/// How long requests may wait, with nothing coming on the connection, before the peer is asked for a
/// sign of life. Most answers come within 10 ms.
const PING_AFTER: Duration = Duration::from_millis(250);
/// How long that may take. With 0.25 s, 249 connections to a holder of the lead that was short of
/// processor were given up on a day of high load at 350 boxes; with this, 10 and 27.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of a ping; requests are numbered from 1.
const PING_NUMBER: u64 = 0;

type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Carries requests over one connection until it fails, falls silent, or nobody asks any more.
pub(super) async fn run(addr: SocketAddr, mut queue: mpsc::Receiver<PendingRequest>) {
    let why = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => match exchange(addr, stream, &mut queue).await {
            Some(why) => why,
            None => return,
        },
        Ok(Err(_)) | Err(_) => PeerError::NotSent,
    };
    log::debug!("no connection to the peer at {addr}: {why}");
    queue.close();
    while let Some((_, reply)) = queue.recv().await {
        // Whoever asked may have given up.
        let _ = reply.send(Err(PeerError::NotSent));
    }
}

/// Requests on a connection, and when something last came on it.
struct Connection {
    frames: Frames,
    /// Those without an answer, by number.
    pending: HashMap<u64, oneshot::Sender<Answer>>,
    /// Number of the last request.
    last_number: u64,
    /// When something last came, or when the first of those that wait was sent.
    last_activity: Instant,
    /// The peer was asked for a sign of life since.
    is_pinged: bool,
}

/// Carries requests until the connection ends; returns why, or nothing if nobody asks any more.
async fn exchange(
    addr: SocketAddr,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<PendingRequest>,
) -> Option<PeerError> {
    if let Err(error) = socket::prepare(&stream) {
        log::debug!("the peer at {addr} has gone already: {error}");
        return Some(PeerError::Closed);
    }
    let frames = Framed::new(stream, LengthDelimitedCodec::new());
    let heard_at = Instant::now();
    let waiting = HashMap::new();
    let mut open = Connection {
        frames,
        pending: waiting,
        last_number: PING_NUMBER,
        last_activity: heard_at,
        is_pinged: false,
    };
    let ended = loop {
        let sign = open.ping_deadline();
        let step = tokio::select! {
            asked = queue.recv() => match asked {
                Some(asked) => open.send(asked).await,
                None => return None,
            },
            frame = open.frames.next() => match frame {
                Some(Ok(frame)) => open.receive(addr, &frame),
                Some(Err(_)) | None => Err(PeerError::Closed),
            },
            () = sleep_until(sign), if !open.pending.is_empty() => open.check_liveness().await,
        };
        if let Err(why) = step {
            break why;
        }
    };
    if ended == PeerError::Unresponsive {
        let addr = addr.to_string();
        log::info!(peer = addr.as_str(), requests = open.pending.len(); "connection given up as silent");
    }
    for (_, reply) in open.pending {
        // Whoever asked may have given up.
        let _ = reply.send(Err(ended));
    }
    Some(ended)
}

impl Connection {
    /// When the peer is to be asked for a sign of life, or to be given up.
    fn ping_deadline(&self) -> Instant {
        self.last_activity + if self.is_pinged { PING_AFTER + PING_TIMEOUT } else { PING_AFTER }
    }

    async fn send(&mut self, (request, reply): PendingRequest) -> Result<(), PeerError> {
        if self.pending.is_empty() {
            self.last_activity = Instant::now();
            self.is_pinged = false;
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, reply);
        self.write(self.last_number, request).await
    }

    async fn check_liveness(&mut self) -> Result<(), PeerError> {
        self.pending.retain(|_, reply| !reply.is_closed());
        if self.is_pinged {
            return Err(PeerError::Unresponsive);
        }
        self.is_pinged = true;
        self.write(PING_NUMBER, Request::Ping).await
    }

    /// A connection that takes no more bytes is as silent as one that brings none.
    async fn write(&mut self, number: u64, request: Request) -> Result<(), PeerError> {
        let sent = self.frames.send(encode(&(number, request)));
        match timeout(PING_AFTER + PING_TIMEOUT, sent).await {
            Ok(sent) => sent.map_err(|_| PeerError::Closed),
            Err(_) => Err(PeerError::Unresponsive),
        }
    }

    fn receive(&mut self, addr: SocketAddr, frame: &[u8]) -> Result<(), PeerError> {
        self.last_activity = Instant::now();
        self.is_pinged = false;
        let (number, reply) = postcard::from_bytes::<(u64, Reply)>(frame).map_err(|error| {
            log::warn!("an answer from {addr} does not decode: {error}");
            PeerError::Closed
        })?;
        // Whoever asked may have given up; a ping has nobody that waits.
        let _ = self.pending.remove(&number).map(|waiter| waiter.send(Ok(reply)));
        Ok(())
    }
}
