//! The operators' HTTP API, with JSON bodies. Every request carries `authorization: Bearer
//! account:secret`.
//!
//! | method and path | body | response |
//! |---|---|---|
//! | `POST /v1/publish` | the TOML file | [`Published`] |
//! | `POST /v1/intents` | [`crate::state::plan::Intent`] | [`PlanView`] |
//! | `POST /v1/plans/<id>/<confirm, pause, resume or abort>` | | [`PlanView`] |
//! | `GET /v1/plans`, `GET /v1/plans/<id>` | | [`PlanView`]s |
//! | `GET /v1/pools`, `/v1/boxes`, `/v1/jobs`, `/v1/status`, `/v1/counters` | | views |
//! | `GET /v1/records/<id>` | | [`Published`] |

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::state::account::CredentialError;
use crate::state::config::Fault;
use crate::state::fleet::Objective;
use crate::state::fold::Refusal;
use crate::state::id::AccountId;
use crate::state::id::BoxId;
use crate::state::id::DaemonId;
use crate::state::id::HallId;
use crate::state::id::Offset;
use crate::state::id::PoolId;
use crate::state::id::RackId;
use crate::state::id::ServiceId;
use crate::state::plan::Cost;
use crate::state::plan::Intent;
use crate::state::plan::Phase;
use crate::state::plan::Step;
use crate::state::planner::PlanError;
use crate::transport::serve::ReceiveError;

/// The response to a published configuration or to a query of a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Published {
    /// Id of the record.
    pub record: String,
    /// Position at which it was accepted; `None` if there was nothing to change.
    pub position: Option<Offset>,
    /// Number of objects that it changed; 0 in the response to a query of a record.
    pub changes: usize,
    /// Daemons known to have applied it, including this one.
    pub in_force: Vec<DaemonId>,
}

/// A plan as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanView {
    /// Its id, for use in other requests.
    pub id: String,
    /// The account whose operator requested it; `None` for the site operator.
    pub account: Option<AccountId>,
    /// The requested change.
    pub intent: Intent,
    /// The current phase.
    pub phase: Phase,
    /// Number of steps that have ended.
    pub finished: usize,
    /// The predicted cost.
    pub predicted: Cost,
    /// Maximum number of concurrent steps in each pool.
    pub width: Vec<(PoolId, u32)>,
    /// The daemon that drives it; `None` until one has taken over.
    pub holder: Option<DaemonId>,
    /// The steps; empty in the list of plans.
    pub steps: Vec<Step>,
}

/// A pool as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolView {
    /// Its name.
    pub name: PoolId,
    /// Its owner.
    pub account: AccountId,
    /// Number of boxes in it.
    pub boxes: usize,
    /// Number of boxes out of service, whatever the cause.
    pub out: usize,
    /// Maximum number of boxes out of service.
    pub max_out: u32,
    /// Which measure plans minimize first.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// Position of the last change.
    pub version: Offset,
}

/// A box as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxView {
    /// Its name.
    pub name: BoxId,
    /// Its pool.
    pub pool: PoolId,
    /// Address at which it serves requests.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// The plan that has taken it out of service.
    pub out: Option<String>,
    /// Whether it is unresponsive.
    pub down: bool,
    /// The jobs on it.
    pub jobs: Vec<ServiceId>,
}

/// A service as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobView {
    /// Its name.
    pub name: ServiceId,
    /// Its owner.
    pub account: AccountId,
    /// Its pool.
    pub pool: PoolId,
    /// Number of boxes it runs on.
    pub placed: usize,
    /// Number of boxes on which it is being started.
    pub starting: usize,
    /// Number of replicas on boxes in service.
    pub up: u32,
    /// Minimum number of replicas up.
    pub min_up: u32,
    /// Slots it uses on each box.
    pub slots: u32,
}

/// The state of the daemon that answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Its id.
    pub id: DaemonId,
    /// Whether it serves callers.
    pub serving: bool,
    /// Why its state counts as current: `log`, `peer` or `quorum`; `stale` if it does not.
    pub basis: String,
    /// Offset of the first batch not yet applied.
    pub next: Offset,
    /// Position of the last change of configuration.
    pub configured: Offset,
    /// Live peers, with the offset of the first batch that each has not applied.
    pub peers: Vec<(DaemonId, Offset)>,
    /// Number of requests in flight to targets.
    pub inflight: u32,
}

/// Why an operator's request failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ApiError {
    /// The credential is missing or invalid.
    #[error("the credential is missing or not valid")]
    Credential,
    /// There is no such path, or the body is malformed.
    #[error("the request is not as the protocol has it")]
    Malformed,
    /// There is no such object, or it is not in the operator's scope.
    #[error("there is no such {what}")]
    NotFound {
        /// The kind of object.
        what: Box<str>,
    },
    /// The body is larger than the limit.
    #[error("the request is larger than the limit")]
    TooLarge,
    /// The configuration file has errors; nothing was appended to the log.
    #[error("the configuration has {} fault(s)", faults.len())]
    Config {
        /// All errors found.
        faults: Vec<Fault>,
    },
    /// There is no plan for the intent; nothing was appended to the log.
    #[error("{cause}")]
    Plan {
        /// The constraint that prevents it.
        cause: PlanError,
    },
    /// The job is invalid; nothing was sent to the store.
    #[error("{cause}")]
    Job {
        /// The error.
        cause: Box<str>,
    },
    /// The store refused the job; it will never run.
    #[error("the store did not take the job; nothing was changed")]
    JobRefused,
    /// The store has not answered in time; the job may have been accepted.
    #[error("not known whether job {job} was taken")]
    JobUnknown {
        /// Its id.
        job: Box<str>,
    },
    /// The fold refused the change; nothing was changed.
    #[error("{refusal}")]
    Refused {
        /// The reason.
        refusal: Refusal,
    },
    /// The record was not read back from the log in time; the change may still take effect.
    #[error("not yet known; ask again with record {record}")]
    Unknown {
        /// Id by which to query the verdict.
        record: String,
    },
    /// The daemon's state may be out of date; nothing was appended to the log.
    #[error("this entry box is cut off; nothing was changed")]
    Stale,
    /// Too many changes wait for the log; nothing was appended.
    #[error("too many changes wait for the log; nothing was changed")]
    Busy,
    /// The daemon's memory for requests is used up; nothing was appended.
    #[error("the daemon can hold no more requests now; nothing was changed")]
    Overloaded,
}

impl From<CredentialError> for ApiError {
    fn from(_: CredentialError) -> ApiError {
        ApiError::Credential
    }
}

impl From<ReceiveError> for ApiError {
    fn from(error: ReceiveError) -> ApiError {
        match error {
            ReceiveError::TooLarge => ApiError::TooLarge,
            ReceiveError::Exhausted(_) => ApiError::Overloaded,
            ReceiveError::Cut(_) => ApiError::Malformed,
        }
    }
}

impl ApiError {
    /// HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            ApiError::Credential => 401,
            ApiError::Malformed => 400,
            ApiError::NotFound { .. } => 404,
            ApiError::TooLarge => 413,
            ApiError::Config { .. } | ApiError::Plan { .. } | ApiError::Job { .. } => 422,
            ApiError::Refused { .. } => 409,
            ApiError::Unknown { .. } | ApiError::JobUnknown { .. } => 504,
            ApiError::Stale | ApiError::Busy | ApiError::Overloaded | ApiError::JobRefused => 503,
        }
    }

    /// Name of the counter of such errors.
    pub fn counter(&self) -> &'static str {
        match self {
            ApiError::Credential => "operate.refused.credential",
            ApiError::Malformed => "operate.refused.malformed",
            ApiError::NotFound { .. } => "operate.refused.not-found",
            ApiError::TooLarge => "operate.refused.too-large",
            ApiError::Config { .. } => "operate.refused.config",
            ApiError::Plan { .. } => "operate.refused.plan",
            ApiError::Refused { .. } => "operate.refused.conflict",
            ApiError::Unknown { .. } => "operate.unknown",
            ApiError::Job { .. } => "operate.refused.job",
            ApiError::JobUnknown { .. } => "operate.unknown.job",
            ApiError::JobRefused => "operate.refused.store",
            ApiError::Stale => "operate.refused.stale",
            ApiError::Busy => "operate.refused.busy",
            ApiError::Overloaded => "operate.refused.overloaded",
        }
    }
}
