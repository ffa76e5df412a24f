//! Listening on the addresses of the settings, and why a process cannot start.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;

/// Why a daemon could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen for {purpose} on {addr}")]
    Bind {
        /// What the address is for.
        purpose: &'static str,
        /// The address.
        addr: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The metrics socket could not be made.
    #[error("cannot send metrics")]
    Metrics(#[source] io::Error),
}

/// Binds an address for connections; `purpose` says in the error what it is for.
///
/// # Errors
///
/// [`StartError::Bind`] if that fails.
pub async fn listen(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| StartError::Bind { purpose, addr, source })
}
