//! The callers' HTTP protocol: `POST /v1/call/<service>`.
//!
//! Every response has the header [`OUTCOME`]. The body of a refusal is a [`Refused`] in JSON. The
//! header [`REASON`] repeats its reason, so that a caller need not read the body.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Prefix of the path of calls.
pub const CALL: &str = "/v1/call/";
/// Path of the load balancer's health check.
pub const HEALTH: &str = "/healthz";
/// Response header: the [`Outcome`] of the request.
pub const OUTCOME: &str = "spokelift-outcome";
/// Response header of refusals: the [`Reason`].
pub const REASON: &str = "spokelift-reason";
/// Request header: `true` if the request is idempotent. Without it, the request runs at most once.
pub const REPEATABLE: &str = "spokelift-repeatable";
/// Header of a request to a target and of its response: a request id that the target must echo.
pub const REQUEST: &str = "spokelift-request";
/// Request header: how long the caller waits, in milliseconds.
pub const DEADLINE: &str = "spokelift-deadline-ms";

/// Whether a target has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A target has answered it.
    Answered,
    /// No target has run it, and none will.
    NotRun,
    /// A target may or may not have run it.
    Unknown,
}

impl Outcome {
    /// Value of the header [`OUTCOME`].
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request has no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The credential is missing or invalid.
    #[error("the credential is missing or not valid")]
    Credential,
    /// The path or a header is malformed.
    #[error("the request is not as the protocol has it")]
    Malformed,
    /// The account has no such service.
    #[error("the account has no such service")]
    UnknownService,
    /// The body is larger than the limit.
    #[error("the request is larger than the limit")]
    TooLarge,
    /// The caller did not send the whole request.
    #[error("the request was not sent whole")]
    #[serde(rename = "half-sent")]
    Incomplete,
    /// The daemon's state may be out of date.
    #[error("this entry box is cut off; another one may serve")]
    Stale,
    /// The daemon is stopping.
    #[error("this entry box is stopping")]
    Stopping,
    /// The daemon's memory for requests is used up.
    #[error("this entry box can hold no more requests now; another one may serve")]
    Overloaded,
    /// The account's queue of waiting requests is full.
    #[error("too many requests of the account wait already")]
    QueueFull,
    /// No target became free in time.
    #[error("no target became free in time")]
    Busy,
    /// No box that runs the service is in service.
    #[error("no box that runs the service is in service")]
    NoTarget,
    /// No target could be reached.
    #[error("no target could be reached")]
    Unreachable,
    /// All targets that were tried refused the request.
    #[error("the targets tried turned the request away")]
    TurnedAway,
    /// The connection to the target was lost after sending had started.
    #[error("the connection to the target was cut")]
    Cut,
    /// The target did not answer in time.
    #[error("the target did not answer in time")]
    Timeout,
    /// The target's response has the id of another request.
    #[error("the target answered with another request's id")]
    #[serde(rename = "crossed")]
    IdMismatch,
}

impl Reason {
    /// Value of the header [`REASON`], and last part of the counter's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Credential => "credential",
            Reason::Malformed => "malformed",
            Reason::UnknownService => "unknown-service",
            Reason::TooLarge => "too-large",
            Reason::Incomplete => "half-sent",
            Reason::Stale => "stale",
            Reason::Stopping => "stopping",
            Reason::Overloaded => "overloaded",
            Reason::QueueFull => "queue-full",
            Reason::Busy => "busy",
            Reason::NoTarget => "no-target",
            Reason::Unreachable => "unreachable",
            Reason::TurnedAway => "turned-away",
            Reason::Cut => "cut",
            Reason::Timeout => "timeout",
            Reason::IdMismatch => "crossed",
        }
    }

    /// HTTP status of refusals for this reason.
    pub fn status(self) -> u16 {
        match self {
            Reason::Credential => 401,
            Reason::Malformed | Reason::Incomplete => 400,
            Reason::UnknownService => 404,
            Reason::TooLarge => 413,
            Reason::QueueFull => 429,
            Reason::Cut | Reason::IdMismatch => 502,
            Reason::Timeout => 504,
            _ => 503,
        }
    }

    /// Seconds after which the caller may retry; `None` if a retry is not advised.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Reason::Stale
            | Reason::Stopping
            | Reason::Overloaded
            | Reason::QueueFull
            | Reason::Busy => Some(1),
            Reason::NoTarget | Reason::Unreachable | Reason::TurnedAway => Some(2),
            _ => None,
        }
    }
}

/// The refusal of a request: no target's response is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason}")]
pub struct Refused {
    /// Whether a target has run it.
    pub outcome: Outcome,
    /// The reason.
    pub reason: Reason,
}

impl Refused {
    /// A request that no target has run, and none will.
    pub fn not_run(reason: Reason) -> Refused {
        Refused { outcome: Outcome::NotRun, reason }
    }

    /// A request that a target may have run.
    pub fn unknown(reason: Reason) -> Refused {
        Refused { outcome: Outcome::Unknown, reason }
    }

    /// Name of the counter of such refusals.
    pub fn counter(&self) -> String {
        let kind = match self.outcome {
            Outcome::Unknown => "unknown",
            Outcome::NotRun | Outcome::Answered => "refused",
        };
        format!("call.{kind}.{}", self.reason.as_str())
    }
}
