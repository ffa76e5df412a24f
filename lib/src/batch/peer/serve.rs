//! The answering side of a connection of a peer.
//!
//! Anyone who can reach the listener can send requests, so what is held for them counts against the
//! limits of the process: a request while it arrives and until its answer is written, and the answer.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::SinkExt;
use thiserror::Error;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::batch::node::Node;
use crate::batch::peer::CONNECT_TIMEOUT;
use crate::batch::peer::QUEUE_CAPACITY;
use crate::batch::peer::Request;
use crate::batch::peer::encode;
use crate::transport::admission::Buffer;
use crate::transport::admission::Client;
use crate::transport::admission::Control;
use crate::transport::admission::Exhausted;
use crate::transport::admission::Held;
use crate::transport::admission::PushError;
use crate::transport::clock;
use crate::transport::socket;

/// Largest request, in bytes.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Memory of a request that is being answered, beside its bytes: the state of its task, or a short
/// answer.
const TASK_BYTES: usize = 16 * 1024;

/// Why no further request is read from a connection.
#[derive(Debug, Error)]
enum ReadError {
    /// The connection ended or failed.
    #[error("the connection ended: {0}")]
    Connection(#[from] io::Error),
    /// The process can hold no more of what the peer sends.
    #[error(transparent)]
    Push(#[from] PushError),
    /// The request does not decode.
    #[error("cannot decode a request: {0}")]
    Decode(#[from] postcard::Error),
}

impl From<Exhausted> for ReadError {
    fn from(error: Exhausted) -> ReadError {
        ReadError::Push(error.into())
    }
}

/// An encoded answer, and what is held for it and its request.
type Answer = (Bytes, Held);

/// Accepts connections of peers and answers their requests until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, admission: Control) {
    loop {
        match admission.accept(&listener).await {
            Ok(Some((stream, admitted))) => {
                let node = node.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_connection(node, stream, admitted.client()) => {}
                        () = admitted.client().closed() => {}
                    }
                });
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("cannot accept a connection of a peer: {error}");
                tokio::time::sleep(CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn serve_connection(node: Arc<Node>, stream: TcpStream, client: &Client) {
    if let Err(error) = socket::set_options(&stream) {
        log::debug!("cannot set up a connection of a peer: {error}");
        return;
    }
    let (read_half, write_half) = stream.into_split();
    let (answers, queue) = mpsc::channel(QUEUE_CAPACITY);
    tokio::select! {
        () = write_answers(write_half, queue) => {}
        Err(error) = answer_requests(&node, read_half, client, answers) => match error {
            ReadError::Connection(error) => log::debug!("a connection of a peer ended: {error}"),
            error => log::warn!("closed a connection of a peer: {error}"),
        }
    }
}

/// Writes answers until the connection fails. What is held for an answer is free once it is written.
async fn write_answers(write_half: OwnedWriteHalf, mut queue: mpsc::Receiver<Answer>) {
    let mut sink = FramedWrite::new(write_half, LengthDelimitedCodec::new());
    while let Some((frame, _held)) = queue.recv().await {
        if sink.send(frame).await.is_err() {
            return;
        }
    }
}

/// Reads requests and answers each in a task of its own, until the connection ends.
async fn answer_requests(
    node: &Arc<Node>,
    read_half: OwnedReadHalf,
    client: &Client,
    answers: mpsc::Sender<Answer>,
) -> Result<(), ReadError> {
    let mut reader = BufReader::new(read_half);
    loop {
        client.wait_since(clock::now());
        let (frame, mut held) = receive_frame(&mut reader, client).await?;
        held.grow(TASK_BYTES).await?;
        let (number, request) = postcard::from_bytes::<(u64, Request)>(&frame)?;
        let (node, answers) = (node.clone(), answers.clone());
        tokio::spawn(answer(node, number, request, held, answers));
    }
}

async fn receive_frame(
    reader: &mut BufReader<OwnedReadHalf>,
    client: &Client,
) -> Result<(Vec<u8>, Held), ReadError> {
    let length = reader.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(PushError::TooLarge.into());
    }
    let mut frame = Buffer::new(length, client.hold());
    while frame.len() < length {
        let received = reader.fill_buf().await?;
        if received.is_empty() {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        let count = received.len().min(length - frame.len());
        frame.push(&received[..count]).await?;
        reader.consume(count);
    }
    Ok(frame.into_parts())
}

async fn answer(
    node: Arc<Node>,
    number: u64,
    request: Request,
    mut held: Held,
    answers: mpsc::Sender<Answer>,
) {
    let frame = encode(&(number, node.answer_peer(request).await));
    if frame.len() > TASK_BYTES && held.try_grow(frame.len()).is_err() {
        log::info!(bytes = frame.len(); "an answer to a peer is dropped for want of memory");
        return;
    }
    // If the connection has ended, the peer sends the request again on another one.
    let _ = answers.send((frame, held)).await;
}
