//! The product's HTTP server with limits that no test reaches, for stand-ins.

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use spokelift_lib::transport::admission::Control;
use spokelift_lib::transport::admission::Limits;
use spokelift_lib::transport::dial::Body;
use spokelift_lib::transport::serve::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The limits of a stand-in.
const LIMITS: Limits = Limits { connections: 4_096, bytes: 1 << 30 };

/// Admits as many connections as the tests open.
pub fn unlimited() -> Control {
    Control::new(LIMITS, Arc::new(|_| {}))
}

/// Serves `listener` until `stop` turns true, then completes the requests in flight.
pub async fn serve<H, F>(listener: TcpListener, stop: watch::Receiver<bool>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    spokelift_lib::transport::serve::serve(listener, unlimited(), stop, handler).await;
}
