//! HTTP client of a daemon's operator interface.

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

/// Timeout of a request; longer than a daemon waits for the log and its peers.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of one daemon, with the credential that it sends.
#[derive(Clone)]
pub struct Client {
    daemon: SocketAddr,
    key: String,
    dialer: Dialer,
}

impl Client {
    /// Creates a client of the daemon at this address; `key` is sent as a bearer token.
    pub fn new(daemon: SocketAddr, key: &str) -> Client {
        let dialer = Dialer::new(Duration::from_secs(3));
        Client { daemon, key: key.to_owned(), dialer }
    }

    /// Sends a GET request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.exchange(Method::GET, path, Vec::new()).await
    }

    /// Sends a POST request.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: Vec<u8>) -> Result<T, Error> {
        self.exchange(Method::POST, path, body).await
    }

    /// Sends a DELETE request.
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
        let response =
            self.dialer.exchange(self.daemon, request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT).await;
        let daemon = self.daemon;
        let response = response.map_err(|source| Error::Unreachable { daemon, source })?;
        if response.status().is_success() {
            return Ok(serde_json::from_slice(response.body())?);
        }
        let error: ApiError = serde_json::from_slice(response.body())?;
        Err(Error::Api { error })
    }
}
