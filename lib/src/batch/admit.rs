//! Finds the queue of a request and checks the caller's key.

use hyper::header::HOST;
use hyper::http::request::Parts;
use spokelift_platform::config::Queue;
use thiserror::Error;

use crate::batch::caller::Caller;
use crate::batch::config::Config;
use crate::state::account::CredentialError;

/// An admitted request.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The queue.
    pub queue: Queue,
    /// Who makes the request.
    pub caller: Caller,
    /// What follows the queue's prefix in the path.
    pub rest: String,
}

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// No queue has this host and path.
    #[error("no such queue")]
    NoQueue,
    /// The queue needs a key of an account.
    #[error("{0}")]
    Credential(CredentialError),
}

impl Refusal {
    /// Its name in counters.
    pub fn name(&self) -> &'static str {
        match self {
            Refusal::NoQueue => "no-queue",
            Refusal::Credential(CredentialError::Missing) => "key-missing",
            Refusal::Credential(CredentialError::Malformed) => "key-malformed",
            Refusal::Credential(CredentialError::Unknown) => "key-unknown",
        }
    }

    /// Whether a newer configuration than this node's may admit the request.
    pub fn may_be_outdated(&self) -> bool {
        matches!(self, Refusal::NoQueue | Refusal::Credential(CredentialError::Unknown))
    }
}

/// Finds the queue of a request, by its host and path, and its caller.
///
/// ```
/// # use hyper::Request;
/// # use spokelift_lib::batch::admit::{Refusal, admit};
/// # use spokelift_lib::batch::config::Config;
/// # use spokelift_testutils::batch::published::published_config;
/// let config = Config::decode(&published_config(1, &[("q", None)], Default::default())).unwrap();
/// let call = |path| Request::get(path).header("host", "h:80").body(()).unwrap().into_parts().0;
/// assert_eq!(admit(&config, &call("/q/7")).unwrap().rest, "7");
/// assert_eq!(admit(&config, &call("/p/7")).unwrap_err(), Refusal::NoQueue);
/// ```
///
/// # Errors
///
/// [`Refusal`] if no queue matches or the key is not valid.
pub fn admit(config: &Config, head: &Parts) -> Result<Admitted, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    let path = head.uri.path();
    let queue = config.queue(host, path).ok_or(Refusal::NoQueue)?;
    let caller = config.caller(queue, &head.headers).map_err(Refusal::Credential)?;
    let rest = path[queue.path_prefix.len()..].to_owned();
    Ok(Admitted { queue: queue.clone(), caller, rest })
}
