//! HTTP server with one task for each admitted connection. On shutdown, requests in flight are
//! completed.

mod incoming;
mod outgoing;
mod phase;

use std::convert::Infallible;
use std::future::Future;

use hyper::Request;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::admission;
use crate::clock;
use crate::dial::Body;
pub use crate::serve::incoming::Incoming;
pub use crate::serve::incoming::ReceiveError;
pub use crate::serve::incoming::Received;
use crate::serve::outgoing::Outgoing;
use crate::serve::phase::Due;
use crate::serve::phase::Phase;
use crate::serve::phase::TrackedStream;

/// Largest request head, and largest piece of a body, in bytes.
const MAX_BUFFER_BYTES: usize = 16 * 1024;

/// Serves `listener` until `stop` turns true, then completes the requests in flight.
///
/// Connections are closed or refused if `admission` says so. Dropping the future closes every
/// connection at once.
pub async fn serve<H, F>(
    listener: TcpListener,
    admission: admission::Control,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, admitted) = tokio::select! {
            accepted = admission.accept(&listener) => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let (stop, handler) = (stop.clone(), handler.clone());
        connections.spawn(serve_connection(stream, admitted, stop, handler));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    admitted: admission::Connection,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let phase = Phase::new(admitted.client().clone());
    let service = service_fn(|request: Request<hyper::body::Incoming>| {
        phase.start_response();
        let incoming = |body| Incoming::new(body, phase.clone());
        let response = handler(request.map(incoming));
        let phase = &phase;
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| Outgoing::new(body, phase.clone())))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let stream = TrackedStream::new(stream, phase.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut is_closing = false;
    loop {
        let due_at = match phase.due() {
            Due::Later(at) => at,
            Due::Abort => return,
            Due::Close if is_closing => break,
            Due::Close => {
                connection.as_mut().graceful_shutdown();
                is_closing = true;
                continue;
            }
        };
        tokio::select! {
            // An error here is the caller's: it disconnected or sent invalid HTTP.
            _ = connection.as_mut() => return,
            _ = stop.wait_for(|stop| *stop), if !is_closing => {
                connection.as_mut().graceful_shutdown();
                is_closing = true;
            }
            () = admitted.client().closed() => return,
            () = sleep_until(clock::timer_instant(due_at)) => {}
        }
    }
    // The rest of a long response may still be in transit.
    tokio::select! {
        _ = connection => {}
        () = admitted.client().closed() => {}
    }
}
