//! What nodes say to the holder of the lead: requests and answers by `postcard` over one TCP
//! connection to each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::batch::node::Node;
use crate::batch::record::Accepted;
use crate::batch::relay;

/// How long a connection to a peer may take to be made; halls are about 1 ms apart.
const CONNECT: Duration = Duration::from_millis(300);
/// How long a peer may take to answer. The longest waits for one write to the store.
const ANSWER: Duration = Duration::from_millis(900);
/// Requests that wait for one connection; further ones fail at once.
const QUEUE: usize = 1_024;

/// A request to the holder of the lead.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// The store has taken this job.
    Submitted(JobId, Box<Accepted>),
    /// How far is this job?
    State(JobId),
    /// Cancel this job.
    Cancel(JobId),
    /// How many jobs of this queue have not begun?
    Pending(String),
    /// Make this call to the store, since the sender is turned away there.
    Relay(relay::Call),
    /// Show operators what this path names.
    View(String),
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Done.
    Done,
    /// The state of the job; none if there is no such job.
    State(Option<JobState>),
    /// So many jobs have not begun.
    Pending(u32),
    /// What became of a call to the store.
    Relayed(relay::Answer),
    /// The view in JSON; none if there is no such thing.
    View(Option<String>),
    /// The receiver does not hold the lead, or has only just taken it.
    NotReady,
}

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum PeerError {
    /// There is no connection, so the request was not sent.
    #[error("no connection to the peer")]
    NotSent,
    /// The connection failed or ended.
    #[error("the connection to the peer ended")]
    Closed,
    /// No answer in time.
    #[error("no answer from the peer in time")]
    Timeout,
}

type Answer = Result<Reply, PeerError>;
type Waiting = (Request, oneshot::Sender<Answer>);

/// Connections to peers.
#[derive(Default)]
pub struct Peers {
    lines: Mutex<HashMap<SocketAddr, mpsc::Sender<Waiting>>>,
}

impl Peers {
    /// Asks a peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the request may have been received.
    pub async fn ask(&self, addr: SocketAddr, request: Request) -> Result<Reply, PeerError> {
        let (reply, answered) = oneshot::channel();
        let line = self.line(addr);
        line.try_send((request, reply)).map_err(|_| PeerError::NotSent)?;
        match timeout(ANSWER, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(PeerError::Closed),
            Err(_) => {
                // The connection may hang; the next request makes another.
                self.lines.lock().expect("no holder of the lines panics").remove(&addr);
                Err(PeerError::Timeout)
            }
        }
    }

    /// Tells a peer something without waiting for its answer.
    pub fn tell(&self, addr: SocketAddr, request: Request) {
        let (reply, _) = oneshot::channel();
        if self.line(addr).try_send((request, reply)).is_err() {
            log::debug!("the peer at {addr} was not told");
        }
    }

    fn line(&self, addr: SocketAddr) -> mpsc::Sender<Waiting> {
        let mut lines = self.lines.lock().expect("no holder of the lines panics");
        if let Some(line) = lines.get(&addr).filter(|line| !line.is_closed()) {
            return line.clone();
        }
        let (line, queue) = mpsc::channel(QUEUE);
        lines.insert(addr, line.clone());
        tokio::spawn(carry(addr, queue));
        line
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    postcard::to_stdvec(value).expect("messages can be written by postcard").into()
}

/// Carries requests over one connection until it fails or nobody asks any more.
async fn carry(addr: SocketAddr, mut queue: mpsc::Receiver<Waiting>) {
    let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(addr)).await else {
        log::debug!("no connection to the peer at {addr}");
        queue.close();
        while let Some((_, reply)) = queue.recv().await {
            // Whoever asked may have given up.
            let _ = reply.send(Err(PeerError::NotSent));
        }
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no immediate sending to {addr}: {error}");
    }
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let mut waiting: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut number = 0u64;
    loop {
        tokio::select! {
            asked = queue.recv() => {
                let Some((request, reply)) = asked else { return };
                number += 1;
                waiting.insert(number, reply);
                if frames.send(encode(&(number, request))).await.is_err() {
                    return;
                }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                match postcard::from_bytes::<(u64, Reply)>(&frame) {
                    Ok((number, reply)) => {
                        // Whoever asked may have given up.
                        let _ = waiting.remove(&number).map(|waiter| waiter.send(Ok(reply)));
                    }
                    Err(error) => {
                        log::warn!("an answer from {addr} does not decode: {error}");
                        return;
                    }
                }
            }
        }
    }
}

/// Answers peers until the process ends: one task for each connection.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_one(node.clone(), stream));
            }
            Err(error) => {
                log::warn!("a peer cannot be accepted: {error}");
                tokio::time::sleep(CONNECT).await;
            }
        }
    }
}

async fn serve_one(node: Arc<Node>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("no immediate sending to a peer: {error}");
    }
    let (mut sink, mut frames) = Framed::new(stream, LengthDelimitedCodec::new()).split();
    let (answers, mut queue) = mpsc::channel::<Bytes>(QUEUE);
    let write = async move {
        while let Some(frame) = queue.recv().await {
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    };
    let read = async move {
        while let Some(Ok(frame)) = frames.next().await {
            let (number, request) = match postcard::from_bytes::<(u64, Request)>(&frame) {
                Ok(told) => told,
                Err(error) => {
                    log::warn!("a peer's request does not decode: {error}");
                    return;
                }
            };
            let (node, answers) = (node.clone(), answers.clone());
            tokio::spawn(async move {
                let reply = node.answer_peer(request).await;
                // A peer that went away asks again elsewhere.
                let _ = answers.send(encode(&(number, reply))).await;
            });
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}
