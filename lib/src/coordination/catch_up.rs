//! Catches up from a peer while the log cannot be read, and serves peers that do so.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::coordination::follow;
use crate::coordination::node::Node;
use crate::protocol::catch_up::Greeting;
use crate::protocol::catch_up::MAX_PIECE_BYTES;
use crate::protocol::catch_up::Nonce;
use crate::protocol::catch_up::Payload;
use crate::protocol::catch_up::Piece;
use crate::protocol::catch_up::PieceError;
use crate::protocol::catch_up::Request;
use crate::protocol::catch_up::open;
use crate::protocol::catch_up::seal;
use crate::state::fleet::Fleet;
use crate::state::id::Offset;
use crate::state::snapshot;
use crate::transport::admission;
use crate::transport::admission::Client;
use crate::transport::clock;

/// How often a daemon checks whether it should catch up.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last successful read of the log at which a daemon starts to catch up from peers.
const MAX_LOG_AGE: Duration = Duration::from_millis(1300);
/// How long one exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed exchange.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of peers served at a time.
const MAX_CLIENTS: usize = 8;
/// Largest request of a peer, in bytes.
const MAX_REQUEST_BYTES: usize = 1024;
/// Maximum size of the part of a state in one piece, in bytes.
const STATE_PIECE_BYTES: usize = 1024 * 1024;
/// Largest state taken from a peer, in bytes.
const MAX_STATE_BYTES: usize = 64 * 1024 * 1024;

/// Why a daemon could not catch up from a peer.
#[derive(Debug, Error)]
pub enum CatchUpError {
    /// The connection failed.
    #[error("the connection failed")]
    Connection(#[from] io::Error),
    /// The peer closed the connection before the response was complete.
    #[error("the peer closed the connection")]
    ConnectionClosed,
    /// The keyed hash of a message does not match, or the message does not decode.
    #[error(transparent)]
    Piece(#[from] PieceError),
    /// A piece or request belongs to another exchange, or a piece is out of order.
    #[error("a message of another exchange, or out of order")]
    Mismatch,
    /// The state is larger than the limit.
    #[error("the state is too large")]
    TooLarge,
    /// The state does not decode.
    #[error("the state does not decode")]
    State(#[from] snapshot::SnapshotError),
    /// The exchange took too long.
    #[error("the exchange timed out")]
    Timeout,
}

impl CatchUpError {
    fn counter(&self) -> &'static str {
        match self {
            CatchUpError::Connection(_) | CatchUpError::ConnectionClosed => {
                "catch-up.failed.connection"
            }
            CatchUpError::Piece(_) => "catch-up.failed.piece",
            CatchUpError::Mismatch => "catch-up.failed.foreign",
            CatchUpError::TooLarge | CatchUpError::State(_) => "catch-up.failed.state",
            CatchUpError::Timeout => "catch-up.failed.timeout",
        }
    }
}

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(max_frame_bytes);
    codec
}

/// Catches up from peers while the log cannot be read, for as long as the daemon runs.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = clock::now();
        let log_age = node.replica.log_age(now);
        if log_age.is_some_and(|age| age < MAX_LOG_AGE) {
            continue;
        }
        let ahead = node.members.peers_ahead_of(node.replica.next(), now);
        let Some(peer) = ahead.first() else {
            continue;
        };
        if let Err(error) = from_peer(&node, *peer, false).await {
            node.counters.count(error.counter());
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Fetches and applies the batches that a peer has applied and this daemon has not. If `whole`, or
/// if the peer no longer has all of them, installs its state instead.
pub async fn from_peer(
    node: &Arc<Node>,
    peer: SocketAddr,
    whole: bool,
) -> Result<(), CatchUpError> {
    let from = node.replica.next();
    let updates = timeout(EXCHANGE_TIMEOUT, fetch_updates(node, peer, from, whole)).await;
    match updates.map_err(|_| CatchUpError::Timeout)?? {
        Updates::Batches(batches) => {
            node.counters.add("catch-up.batches", batches.len() as u64);
            follow::apply_batches(node, batches).await;
        }
        Updates::State(fleet) => {
            node.counters.count("catch-up.states");
            follow::install_fleet(node, *fleet, whole).await;
        }
    }
    Ok(())
}

enum Updates {
    Batches(Vec<(Offset, Bytes)>),
    State(Box<Fleet>),
}

async fn fetch_updates(
    node: &Node,
    peer: SocketAddr,
    from: Offset,
    whole: bool,
) -> Result<Updates, CatchUpError> {
    let stream = TcpStream::connect(peer).await?;
    let mut stream = Framed::new(stream, codec(MAX_PIECE_BYTES));
    let key = &node.settings.peer_key;
    let greeting: Greeting = open(key, &receive_frame(&mut stream).await?)?;
    let client: Nonce = rand::random();
    let request = Request { server: greeting.server, client, from, whole };
    stream.send(Bytes::from(seal(key, &request))).await?;
    let mut batches = Vec::new();
    let mut state = Vec::new();
    for index in 0.. {
        let piece: Piece = open(key, &receive_frame(&mut stream).await?)?;
        if piece.client != client || piece.index != index {
            return Err(CatchUpError::Mismatch);
        }
        match piece.payload {
            Payload::Batches(more) => {
                batches.extend(more.into_iter().map(|(offset, bytes)| (offset, bytes.into())));
            }
            Payload::State(more) => state.extend(more),
        }
        if state.len() > MAX_STATE_BYTES {
            return Err(CatchUpError::TooLarge);
        }
        if piece.last {
            break;
        }
    }
    if state.is_empty() {
        return Ok(Updates::Batches(batches));
    }
    // The pieces are authenticated and in order, so the digest need not be sent: it is that of the
    // received bytes.
    let digest = snapshot::digest(&state);
    let fleet = snapshot::decode(&state, from, digest)?;
    Ok(Updates::State(Box::new(fleet)))
}

async fn receive_frame(
    frames: &mut (impl Stream<Item = io::Result<BytesMut>> + Unpin),
) -> Result<Bytes, CatchUpError> {
    let frame = frames.next().await.ok_or(CatchUpError::ConnectionClosed)??;
    Ok(frame.freeze())
}

/// Serves peers that catch up, for as long as the daemon runs.
pub async fn serve(node: Arc<Node>, listener: TcpListener, admission: admission::Control) {
    let permits = Arc::new(Semaphore::new(MAX_CLIENTS));
    loop {
        let (stream, admitted) = admission.accept(&listener).await;
        let (node, permits) = (node.clone(), permits.clone());
        tokio::spawn(async move {
            let exchange = serve_peer(&node, stream, admitted.client(), &permits);
            let exchange = timeout(EXCHANGE_TIMEOUT, exchange);
            let result = tokio::select! {
                result = exchange => result,
                () = admitted.client().closed() => return,
            };
            match result {
                Ok(Ok(())) => node.counters.count("catch-up.served"),
                Ok(Err(error)) => node.counters.count(served_counter(&error)),
                Err(_) => node.counters.count("catch-up.refused.timeout"),
            }
        });
    }
}

fn served_counter(error: &CatchUpError) -> &'static str {
    match error {
        CatchUpError::Piece(PieceError::Seal) => "catch-up.refused.seal",
        CatchUpError::Piece(PieceError::Decode) => "catch-up.refused.decode",
        CatchUpError::Mismatch => "catch-up.refused.replay",
        _ => "catch-up.refused.connection",
    }
}

async fn serve_peer(
    node: &Node,
    stream: TcpStream,
    client: &Client,
    permits: &Semaphore,
) -> Result<(), CatchUpError> {
    client.wait_since(clock::now());
    let (read_half, write_half) = stream.into_split();
    let mut requests = FramedRead::new(read_half, codec(MAX_REQUEST_BYTES));
    let mut pieces = FramedWrite::new(write_half, codec(MAX_PIECE_BYTES));
    let key = &node.settings.peer_key;
    let server: Nonce = rand::random();
    pieces.send(Bytes::from(seal(key, &Greeting { server }))).await?;
    let request: Request = open(key, &receive_frame(&mut requests).await?)?;
    if request.server != server {
        return Err(CatchUpError::Mismatch);
    }
    // Only a peer that knows the site's secret gets this far, so others take no permits.
    client.stop_waiting();
    let _permit = permits.acquire().await.expect("the semaphore is never closed");
    let payloads = build_payloads(node, &request);
    let count = payloads.len();
    for (index, payload) in payloads.into_iter().enumerate() {
        let last = index + 1 == count;
        let piece = Piece { client: request.client, index: index as u32, last, payload };
        pieces.send(Bytes::from(seal(key, &piece))).await?;
    }
    Ok(())
}

/// The requested batches if all of them are still kept, else the whole state.
fn build_payloads(node: &Node, request: &Request) -> Vec<Payload> {
    if !request.whole
        && let Some(batches) = node.history.batches_from(request.from)
    {
        let batches = batches.into_iter().map(|(offset, bytes)| (offset, bytes.to_vec()));
        return vec![Payload::Batches(batches.collect())];
    }
    let encoded = snapshot::encode(&node.replica.fleet());
    let pieces = encoded.chunks(STATE_PIECE_BYTES);
    pieces.map(|piece| Payload::State(piece.to_vec())).collect()
}
