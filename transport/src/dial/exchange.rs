//! Small exchanges: a request, and its whole answer within a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as HttpBody;
use thiserror::Error;
use tokio::time::timeout;

use crate::clock;
use crate::dial::Body;
use crate::dial::BodyError;
use crate::dial::Dialer;
use crate::dial::EXCHANGE_MAX_IDLE;
use crate::dial::NotSent;
use crate::dial::ResponseBody;
use crate::dial::SendError;
use crate::dial::UNANSWERED_AFTER;

/// How many times as long as answers of an address took lately the next one may take before the
/// request is sent a second time.
const OVERDUE_FACTOR: u32 = 4;

/// Why a small exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The request was not sent.
    #[error(transparent)]
    NotSent(NotSent),
    /// The request may have been received.
    #[error("cut: {0}")]
    Cut(hyper::Error),
    /// The answer's body was not read whole.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// No whole answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The answer has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The answer does not decode.
    #[error("the answer does not decode: {0}")]
    Decode(#[from] serde_json::Error),
    /// The request could not be made.
    #[error("not a request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Bounds of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most bytes of the answer's body.
    pub max_bytes: usize,
    /// Longest time for the whole exchange.
    pub timeout: Duration,
    /// How long of that the server may hold the answer back on purpose, as in a long poll.
    pub long_poll: Duration,
}

/// An answer to a request that may have been sent twice.
#[derive(Debug)]
pub struct HedgedResponse {
    /// The answer.
    pub response: Response<Bytes>,
    /// The request was sent a second time as well, and the other try has no answer yet: it may have
    /// been carried out, or may be carried out later.
    pub is_other_pending: bool,
}

impl Dialer {
    /// Sends a request once and reads the whole answer, at most `limit` bytes, within `wait`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; nothing was received only if it is [`ExchangeError::NotSent`].
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: usize,
        wait: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let begun = clock::now();
        let done = self.exchange_once(addr, request, limit, wait).await;
        if done.is_ok() {
            self.pool.record_latency(addr, clock::since(begun));
        }
        done
    }

    async fn exchange_once(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: usize,
        wait: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let sent = async {
            read_response(self.send_within(addr, request, EXCHANGE_MAX_IDLE).await, limit).await
        };
        timeout(wait, sent).await.map_err(|_| ExchangeError::Timeout)?
    }

    /// Sends a request that does no harm if it is received twice. If its answer is overdue, by what
    /// this address or all took lately, it is sent again on a new connection: the first one may be silent,
    /// which a slow server cannot be told from. The same if its connection is cut. The first answer
    /// counts; if it is that of the second try, all connections there that have not answered since the
    /// first are given up.
    ///
    /// With every connection silent a call to the store is answered after 0.3 s instead of none within
    /// its 0.6 s.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; nothing was received only if it is [`ExchangeError::NotSent`].
    pub async fn exchange_hedged(
        &self,
        addr: SocketAddr,
        mut request: impl FnMut() -> Result<Request<Body>, hyper::http::Error>,
        limits: Limits,
    ) -> Result<HedgedResponse, ExchangeError> {
        let begun = clock::now();
        let first = self.exchange_once(addr, request()?, limits.max_bytes, limits.timeout);
        let mut first = std::pin::pin!(first);
        let overdue = limits.long_poll + self.hedge_delay(addr);
        let cut = match timeout(overdue.min(limits.timeout), &mut first).await {
            // The connection ended, perhaps before the request was received.
            Ok(Err(error @ (ExchangeError::Cut(_) | ExchangeError::Body(BodyError::Cut(_))))) => {
                Some(error)
            }
            Ok(done) => {
                if limits.long_poll.is_zero() && done.is_ok() {
                    self.pool.record_latency(addr, clock::since(begun));
                }
                return unhedged(done);
            }
            Err(_) => None,
        };
        let left = limits.timeout.saturating_sub(clock::since(begun));
        let second = request()?;
        let second =
            async { read_response(self.send_on_new(addr, second).await, limits.max_bytes).await };
        let second = timeout(left, second);
        let second = async { second.await.unwrap_or(Err(ExchangeError::Timeout)) };
        let open = |response| Ok(HedgedResponse { response, is_other_pending: true });
        if let Some(cut) = cut {
            return match second.await {
                Ok(response) => open(response),
                Err(_) => Err(cut),
            };
        }
        let mut second = std::pin::pin!(second);
        tokio::select! {
            done = &mut first => match done {
                Ok(response) => {
                    // It was slow, not silent.
                    self.pool.record_latency(addr, clock::since(begun).saturating_sub(limits.long_poll));
                    open(response)
                }
                Err(error) => match second.await {
                    Ok(response) => open(response),
                    Err(other) => Err(less_certain(error, other)),
                },
            },
            done = &mut second => match done {
                Ok(response) => {
                    self.record_unanswered(addr, begun, true);
                    open(response)
                }
                Err(error) => match first.await {
                    Ok(response) => open(response),
                    Err(other) => Err(less_certain(other, error)),
                },
            },
        }
    }

    /// From when on an answer of an address is overdue.
    fn hedge_delay(&self, addr: SocketAddr) -> Duration {
        (self.pool.recent_latency(addr) * OVERDUE_FACTOR).max(UNANSWERED_AFTER)
    }
}

fn unhedged(done: Result<Response<Bytes>, ExchangeError>) -> Result<HedgedResponse, ExchangeError> {
    done.map(|response| HedgedResponse { response, is_other_pending: false })
}

/// What is known after two tries: nothing was received only if neither was sent.
fn less_certain(first: ExchangeError, second: ExchangeError) -> ExchangeError {
    match first {
        ExchangeError::NotSent(_) => second,
        first => first,
    }
}

async fn read_response(
    sent: Result<Response<ResponseBody>, SendError>,
    limit: usize,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = sent.map_err(|error| match error {
        SendError::NotSent(_, cause) => ExchangeError::NotSent(cause),
        SendError::Cut(cause) => ExchangeError::Cut(cause),
    })?;
    let (head, answer) = response.into_parts();
    let bytes = collect_body(answer, limit).await?;
    Ok(Response::from_parts(head, bytes))
}

/// Reads a body whole, at most `limit` bytes.
pub async fn collect_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes, Error = BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            if bytes.len() + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.into())
}
