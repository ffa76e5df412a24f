//! Small exchanges: a request and its whole response, with a time limit.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as HttpBody;
use thiserror::Error;

use crate::clock;
use crate::dial::Body;
use crate::dial::BodyError;
use crate::dial::Dialer;
use crate::dial::EXCHANGE_MAX_IDLE;
use crate::dial::NotSent;
use crate::dial::ResponseBody;
use crate::dial::SendError;
use crate::dial::UNANSWERED_AFTER;
use crate::progress::Progress;
use crate::progress::timeout_without_progress;

/// A response is overdue, and the request is sent a second time, after this multiple of the recent
/// response time.
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
    /// The request may have been received. It was the first one on its connection: the server may
    /// accept no more connections.
    #[error("a new connection was closed: {0}")]
    Rejected(hyper::Error),
    /// The body of the response was not read to its end.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// No complete response in time.
    #[error("no answer in time")]
    Timeout,
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(u16),
    /// The response does not decode.
    #[error("the answer does not decode: {0}")]
    Decode(#[from] serde_json::Error),
    /// The request could not be built.
    #[error("not a request: {0}")]
    Request(#[from] hyper::http::Error),
}

impl ExchangeError {
    /// Whether the server closed a new connection without a response, as one does that accepts no
    /// more connections.
    pub fn is_rejected_connection(&self) -> bool {
        matches!(self, ExchangeError::Rejected(_) | ExchangeError::NotSent(NotSent::Closed(_)))
    }

    /// Whether the connection ended after the request was sent.
    fn is_cut(&self) -> bool {
        matches!(
            self,
            ExchangeError::Cut(_)
                | ExchangeError::Rejected(_)
                | ExchangeError::Body(BodyError::Cut(_))
        )
    }
}

/// Limits of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the response's body, in bytes.
    pub max_bytes: usize,
    /// Time limit for the exchange. A response that is arriving by then is read on while it
    /// progresses.
    pub timeout: Duration,
    /// Part of `timeout` for which the server may hold the response back on purpose, as in a long
    /// poll.
    pub long_poll: Duration,
}

/// A response to a request that may have been sent twice.
#[derive(Debug)]
pub struct HedgedResponse {
    /// The response.
    pub response: Response<Bytes>,
    /// Whether the other copy of the request has no response yet: it may have been carried out, or
    /// may be carried out later.
    pub is_other_pending: bool,
}

impl Dialer {
    /// Sends a request once and reads the whole response, at most `limit` bytes. It must have begun
    /// within `time_limit`, and is then read on while it progresses.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; only after [`ExchangeError::NotSent`] is it certain that the server
    /// received nothing.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (started_at, progress) = (clock::now(), Progress::default());
        let result = self.exchange_once(addr, request, limit, time_limit, &progress).await;
        if result.is_ok() {
            self.pool.record_latency(addr, response_time(started_at, &progress));
        }
        result
    }

    async fn exchange_once(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: usize,
        time_limit: Duration,
        progress: &Progress,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let sent = async {
            let sent = self.send_within(addr, request, EXCHANGE_MAX_IDLE).await;
            read_response(sent, limit, progress).await
        };
        let result = timeout_without_progress(time_limit, progress, sent).await;
        result.unwrap_or(Err(ExchangeError::Timeout))
    }

    /// Sends a request that may safely be received twice. If its response is overdue, by the recent
    /// response times of this address or of all, or if its connection is cut, a second copy is sent
    /// on a new connection: the first connection may be dead, which looks the same as a slow
    /// server. A response that is arriving is not overdue, however long it takes: a second copy
    /// would only share its link. The first response counts. If it is that of the second copy, all connections to the
    /// address that have had no response since the first copy was sent are closed.
    ///
    /// If all connections are dead, a call to the store gets its response after 0.3 s; without the
    /// second copy it would get none within its time limit of 0.6 s.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; only after [`ExchangeError::NotSent`] is it certain that the server
    /// received nothing.
    pub async fn exchange_hedged(
        &self,
        addr: SocketAddr,
        mut request: impl FnMut() -> Result<Request<Body>, hyper::http::Error>,
        limits: Limits,
    ) -> Result<HedgedResponse, ExchangeError> {
        let (started_at, progress) = (clock::now(), Progress::default());
        let (max_bytes, time_limit) = (limits.max_bytes, limits.timeout);
        let first = self.exchange_once(addr, request()?, max_bytes, time_limit, &progress);
        let mut first = std::pin::pin!(first);
        let overdue = limits.long_poll + self.hedge_delay(addr);
        let overdue = overdue.min(time_limit);
        let cut_error = match timeout_without_progress(overdue, &progress, &mut first).await {
            // The connection ended, perhaps before the request was received.
            Some(Err(error)) if error.is_cut() => Some(error),
            Some(result) => {
                if limits.long_poll.is_zero() && result.is_ok() {
                    self.pool.record_latency(addr, response_time(started_at, &progress));
                }
                return unhedged(result);
            }
            None => None,
        };
        let remaining = time_limit.saturating_sub(clock::since(started_at));
        let second = request()?;
        let second_progress = Progress::default();
        let second = async {
            let sent = self.send_on_new(addr, second).await;
            read_response(sent, max_bytes, &second_progress).await
        };
        let second = timeout_without_progress(remaining, &second_progress, second);
        let second = async { second.await.unwrap_or(Err(ExchangeError::Timeout)) };
        let other_pending = |response| Ok(HedgedResponse { response, is_other_pending: true });
        if let Some(cut_error) = cut_error {
            return match second.await {
                Ok(response) => other_pending(response),
                Err(_) => Err(cut_error),
            };
        }
        let mut second = std::pin::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                Ok(response) => {
                    // The connection was slow, not dead.
                    let latency = response_time(started_at, &progress);
                    let latency = latency.saturating_sub(limits.long_poll);
                    self.pool.record_latency(addr, latency);
                    other_pending(response)
                }
                Err(error) => match second.await {
                    Ok(response) => other_pending(response),
                    Err(other) => Err(less_certain(error, other)),
                },
            },
            result = &mut second => match result {
                Ok(response) => {
                    self.record_unanswered(addr, started_at, true);
                    other_pending(response)
                }
                Err(error) => match first.await {
                    Ok(response) => other_pending(response),
                    Err(other) => Err(less_certain(other, error)),
                },
            },
        }
    }

    /// Time after which a response of an address is overdue.
    fn hedge_delay(&self, addr: SocketAddr) -> Duration {
        (self.pool.recent_latency(addr) * OVERDUE_FACTOR).max(UNANSWERED_AFTER)
    }
}

fn unhedged(
    result: Result<Response<Bytes>, ExchangeError>,
) -> Result<HedgedResponse, ExchangeError> {
    result.map(|response| HedgedResponse { response, is_other_pending: false })
}

/// The error to report after two copies: nothing was received only if neither was sent.
fn less_certain(first: ExchangeError, second: ExchangeError) -> ExchangeError {
    match first {
        ExchangeError::NotSent(_) => second,
        first => first,
    }
}

/// Time until the response to a request sent at `started_at` began to arrive.
fn response_time(started_at: Instant, progress: &Progress) -> Duration {
    let arrived_at = progress.started_at().unwrap_or_else(clock::now);
    arrived_at.saturating_duration_since(started_at)
}

async fn read_response(
    sent: Result<Response<ResponseBody>, SendError>,
    limit: usize,
    progress: &Progress,
) -> Result<Response<Bytes>, ExchangeError> {
    let response = sent.map_err(|error| match error {
        SendError::NotSent(_, cause) => ExchangeError::NotSent(cause),
        SendError::Cut(cause) => ExchangeError::Cut(cause),
        SendError::Rejected(cause) => ExchangeError::Rejected(cause),
    })?;
    progress.advance();
    let (head, body) = response.into_parts();
    let bytes = collect(body, limit, || progress.advance()).await?;
    Ok(Response::from_parts(head, bytes))
}

/// Reads a body to its end, at most `limit` bytes.
pub async fn collect_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes, Error = BodyError>,
{
    collect(body, limit, || ()).await
}

/// Reads a body to its end, at most `limit` bytes; calls `on_data` for each frame.
async fn collect<B>(body: B, limit: usize, on_data: impl Fn()) -> Result<Bytes, BodyError>
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
            on_data();
        }
    }
    Ok(bytes.into())
}
