//! Talks to a daemon's operator interface.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use serde::de::DeserializeOwned;
use spokelift_lib::protocol::api::ApiError;
use spokelift_lib::transport::dial::Dialer;
use spokelift_lib::transport::dial::full;

use crate::error::Error;

/// How long a daemon may take to answer; longer than it waits for the log and its peers.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A daemon and the credential to use there.
#[derive(Clone)]
pub struct Client {
    daemon: SocketAddr,
    key: String,
    dialer: Dialer,
}

impl Client {
    /// A client of the daemon at this address.
    pub fn new(daemon: SocketAddr, key: &str) -> Client {
        let dialer = Dialer::new(Duration::from_secs(3));
        Client { daemon, key: key.to_owned(), dialer }
    }

    /// Reads a view.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.exchange(Method::GET, path, Vec::new()).await
    }

    /// Asks for a change.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: Vec<u8>) -> Result<T, Error> {
        self.exchange(Method::POST, path, body).await
    }

    /// Asks for something to be taken back.
    pub async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.exchange(Method::DELETE, path, Vec::new()).await
    }

    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(full(body));
        let request = request.map_err(|_| Error::InvalidValue {
            what: "the credential or id",
            value: path.to_owned(),
            accepted: "printable characters without spaces",
        })?;
        let answer =
            self.dialer.exchange(self.daemon, request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await;
        let daemon = self.daemon;
        let answer = answer.map_err(|source| Error::Unreachable { daemon, source })?;
        if answer.status().is_success() {
            return Ok(serde_json::from_slice(answer.body())?);
        }
        let error: ApiError = serde_json::from_slice(answer.body())?;
        Err(Error::Api { error })
    }
}
