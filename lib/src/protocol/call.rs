//! The callers' HTTP protocol: `POST /v1/call/<service>`.
//!
//! Every answer carries [`OUTCOME`]. A refusal's body is a [`Refused`] in JSON; the same reason is
//! in a header, so that a caller need not read the body to know whether the request was run.

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Prefix of a call's path.
pub const CALL: &str = "/v1/call/";
/// Path at which the balancer asks whether this daemon takes requests.
pub const HEALTH: &str = "/healthz";
/// Header of an answer: what is known of the request.
pub const OUTCOME: &str = "spokelift-outcome";
/// Header of a refusal: the reason.
pub const REASON: &str = "spokelift-reason";
/// Header of a request: `true` if running it twice does no harm; without it, it runs at most once.
pub const REPEATABLE: &str = "spokelift-repeatable";
/// Header of a request to a target and of its answer: an id that must come back unchanged.
pub const REQUEST: &str = "spokelift-request";
/// Header of a request: how long the caller waits, in milliseconds.
pub const DEADLINE: &str = "spokelift-deadline-ms";

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is the target's own.
    Answered,
    /// No target has run the request, and none will.
    NotRun,
    /// A target may or may not have run it.
    Unknown,
}

impl Outcome {
    /// The value of [`OUTCOME`].
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// Why a request has no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No credential, or one that is not valid.
    #[error("the credential is missing or not valid")]
    Credential,
    /// The path or a header is not as the protocol has it.
    #[error("the request is not as the protocol has it")]
    Malformed,
    /// The account has no such service.
    #[error("the account has no such service")]
    UnknownService,
    /// The body is over the limit.
    #[error("the request is larger than the limit")]
    TooLarge,
    /// The caller did not send the whole request.
    #[error("the request was not sent whole")]
    #[serde(rename = "half-sent")]
    Incomplete,
    /// The daemon cannot tell that its state is the one in force.
    #[error("this entry box is cut off; another one may serve")]
    Stale,
    /// The daemon is stopping.
    #[error("this entry box is stopping")]
    Stopping,
    /// Too many requests of the account wait already.
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
    /// The targets tried turned the request away.
    #[error("the targets tried turned the request away")]
    TurnedAway,
    /// The connection to the target was cut after the request was begun.
    #[error("the connection to the target was cut")]
    Cut,
    /// The target did not answer in time.
    #[error("the target did not answer in time")]
    Timeout,
    /// The target answered another request than the one it was sent.
    #[error("the target answered with another request's id")]
    #[serde(rename = "crossed")]
    IdMismatch,
}

impl Reason {
    /// The value of [`REASON`], and the last part of the counter's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Credential => "credential",
            Reason::Malformed => "malformed",
            Reason::UnknownService => "unknown-service",
            Reason::TooLarge => "too-large",
            Reason::Incomplete => "half-sent",
            Reason::Stale => "stale",
            Reason::Stopping => "stopping",
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

    /// The HTTP status of a refusal for this reason.
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

    /// Seconds after which asking again makes sense, if it does.
    pub fn retry_after_s(self) -> Option<u32> {
        match self {
            Reason::Stale | Reason::Stopping | Reason::QueueFull | Reason::Busy => Some(1),
            Reason::NoTarget | Reason::Unreachable | Reason::TurnedAway => Some(2),
            _ => None,
        }
    }
}

/// A request that has no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason}")]
pub struct Refused {
    /// Whether it was run.
    pub outcome: Outcome,
    /// Why.
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

    /// Name of the counter.
    pub fn counter(&self) -> String {
        let word = match self.outcome {
            Outcome::Unknown => "unknown",
            Outcome::NotRun | Outcome::Answered => "refused",
        };
        format!("call.{word}.{}", self.reason.as_str())
    }
}
