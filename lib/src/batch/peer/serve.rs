//! The answering side of a connection of a peer.
//!
//! Anyone who can reach the listener can send requests, so what is held for them counts against the
//! limits of the process: a request while it arrives and until its answer is written, and the answer.

use std::io;

use bytes::Bytes;
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
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

use crate::batch::peer::frame::encode;
use crate::transport::admission::Buffer;
use crate::transport::admission::Client;
use crate::transport::admission::Control;
use crate::transport::admission::Exhausted;
use crate::transport::admission::Held;
use crate::transport::admission::PushError;
use crate::transport::clock;

/// Maximum number of answers queued for one connection.
const QUEUE_CAPACITY: usize = 1_024;
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

/// An encoded reply, and what is held for it and its request.
type Answer = (Bytes, Held);

/// Accepts connections of peers and answers each request with what `answer` returns, until the
/// process ends.
pub async fn serve<Request, Reply, F>(
    listener: TcpListener,
    admission: Control,
    answer: impl Fn(Request) -> F + Clone + Send + Sync + 'static,
) where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let (stream, admitted) = admission.accept(&listener).await;
        let answer = answer.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, admitted.client(), answer) => {}
                () = admitted.client().closed() => {}
            }
        });
    }
}

async fn serve_connection<Request, Reply, F>(
    stream: TcpStream,
    client: &Client,
    answer: impl Fn(Request) -> F + Clone + Send + 'static,
) where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let (read_half, write_half) = stream.into_split();
    let (answers, queue) = mpsc::channel(QUEUE_CAPACITY);
    tokio::select! {
        () = write_answers(write_half, queue) => {}
        Err(error) = answer_requests(read_half, client, answers, answer) => match error {
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
async fn answer_requests<Request, Reply, F>(
    read_half: OwnedReadHalf,
    client: &Client,
    answers: mpsc::Sender<Answer>,
    answer: impl Fn(Request) -> F + Clone + Send + 'static,
) -> Result<(), ReadError>
where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut reader = BufReader::new(read_half);
    loop {
        client.wait_since(clock::now());
        let (frame, mut held) = receive_frame(&mut reader, client).await?;
        held.grow(TASK_BYTES).await?;
        let (number, request) = postcard::from_bytes::<(u64, Request)>(&frame)?;
        let (answer, answers) = (answer.clone(), answers.clone());
        tokio::spawn(send_answer(number, request, answer, held, answers));
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

/// Answers a request. The future of the answer is made here, since an argument would be kept twice.
async fn send_answer<Request, Reply, F>(
    number: u64,
    request: Request,
    answer: impl Fn(Request) -> F,
    mut held: Held,
    answers: mpsc::Sender<Answer>,
) where
    Reply: Serialize,
    F: Future<Output = Reply>,
{
    let frame = encode(&(number, answer(request).await));
    if frame.len() > TASK_BYTES && held.try_grow(frame.len()).is_err() {
        log::info!(bytes = frame.len(); "an answer to a peer is dropped for want of memory");
        return;
    }
    // If the connection has ended, the peer sends the request again on another one.
    let _ = answers.send((frame, held)).await;
}
