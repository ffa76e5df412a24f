//! Binds the configured addresses, admits connections to them, and defines the errors that keep a process from starting.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;
use tokio::net::TcpListener;

use crate::metrics::Counters;
use crate::transport::admission::Control;
use crate::transport::admission::Event;
use crate::transport::admission::Limits;

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

/// Admits connections to all listeners of a process that may have this much memory, in bytes, and
/// this many descriptors. What happens at its limits is counted.
pub fn admission(memory: usize, max_descriptors: usize, counters: &Counters) -> Control {
    let counters = counters.clone();
    let count = Arc::new(move |event: Event| counters.count(event.counter()));
    Control::new(Limits::of_machine(memory, max_descriptors), count)
}
