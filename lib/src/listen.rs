//! Binds the configured addresses, and defines the errors that keep a process from starting.

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
        /// Purpose of the address.
        purpose: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The underlying error.
        #[source]
        source: io::Error,
    },
    /// The socket for metrics could not be created.
    #[error("cannot send metrics")]
    Metrics(#[source] io::Error),
}

/// Binds a TCP listener; `purpose` says in the error what the address is for.
///
/// # Errors
///
/// [`StartError::Bind`] if the address cannot be bound.
pub async fn listen(purpose: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(addr).await;
    bound.map_err(|source| StartError::Bind { purpose, addr, source })
}
