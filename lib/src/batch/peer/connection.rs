//! The sending side of a connection to a peer.
//!
//! A connection can stop delivering data without a reset. A ping, which any peer answers at once,
//! tells such a connection from a peer that takes long to answer: if nothing at all is received, the
//! connection is closed, and all pending requests on it fail.

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

use crate::batch::costs;
use crate::batch::peer::Answer;
use crate::batch::peer::CONNECT_TIMEOUT;
use crate::batch::peer::PeerError;
use crate::batch::peer::PendingRequest;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::peer::encode;
use crate::metrics::Counters;
use crate::transport::socket;

/// Time without data on a connection with pending requests after which the peer is pinged. Most
/// answers come within 10 ms.
const PING_AFTER: Duration = Duration::from_millis(250);
/// Time after a ping within which something must be received. With 250 ms, high load on 350 boxes
/// closes 249 connections to a leader that is short of CPU; with this, 10 and 27.
const PING_TIMEOUT: Duration = Duration::from_millis(350);
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
    while let Some((_, reply)) = queue.recv().await {
        // The sender of the request may have timed out.
        let _ = reply.send(Err(PeerError::NotSent));
    }
}

/// An open connection with its pending requests.
struct Connection {
    frames: Frames,
    /// Requests without an answer yet, by number, with their names.
    pending: HashMap<u64, (&'static str, oneshot::Sender<Answer>)>,
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
            frame = connection.frames.next() => match frame {
                Some(Ok(frame)) => connection.receive(addr, &frame),
                Some(Err(_)) | None => Err(PeerError::Closed),
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
    for (_, (_, reply)) in connection.pending {
        // The sender of the request may have timed out.
        let _ = reply.send(Err(why));
    }
    Some(why)
}

impl Connection {
    /// When the peer is to be pinged, or, after a ping, when the connection is to be closed.
    fn ping_deadline(&self) -> Instant {
        self.last_activity + if self.is_pinged { PING_AFTER + PING_TIMEOUT } else { PING_AFTER }
    }

    async fn send(&mut self, (request, reply): PendingRequest) -> Result<(), PeerError> {
        if self.pending.is_empty() {
            self.last_activity = Instant::now();
            self.is_pinged = false;
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, (request.name(), reply));
        self.write(self.last_number, request).await
    }

    /// Pings the peer, or returns [`PeerError::Unresponsive`] if the last ping was not answered.
    /// Requests whose senders have timed out are dropped.
    async fn check_liveness(&mut self) -> Result<(), PeerError> {
        self.pending.retain(|_, (_, reply)| !reply.is_closed());
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
        let write = self.frames.send(message);
        match timeout(PING_AFTER + PING_TIMEOUT, write).await {
            Ok(written) => written.map_err(|_| PeerError::Closed),
            Err(_) => Err(PeerError::Unresponsive),
        }
    }

    fn receive(&mut self, addr: SocketAddr, frame: &[u8]) -> Result<(), PeerError> {
        self.last_activity = Instant::now();
        self.is_pinged = false;
        let (number, reply) = postcard::from_bytes::<(u64, Reply)>(frame).map_err(|error| {
            log::warn!("cannot decode an answer of the peer at {addr}: {error}");
            PeerError::Closed
        })?;
        // The sender of the request may have timed out; a ping is not among the pending requests.
        if let Some((name, sender)) = self.pending.remove(&number) {
            if let Some(counters) = &self.counters {
                costs::count_message(counters, name, 0, frame.len());
            }
            let _ = sender.send(Ok(reply));
        }
        Ok(())
    }
}
