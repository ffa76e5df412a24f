//! The operators' HTTP protocol, in JSON. Every request carries `authorization: Bearer
//! account:secret`.
//!
//! | method and path | body | answer |
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

/// An accepted change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Published {
    /// Id of the record.
    pub record: String,
    /// Position at which it was accepted; none if there was nothing to change.
    pub position: Option<Offset>,
    /// How many objects it changed.
    pub changes: usize,
    /// Daemons known to have it in force, this one included.
    pub in_force: Vec<DaemonId>,
}

/// A plan as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanView {
    /// Its id, as the other requests take it.
    pub id: String,
    /// The account that asked, none for the site operator.
    pub account: Option<AccountId>,
    /// What was asked for.
    pub intent: Intent,
    /// Where it stands.
    pub phase: Phase,
    /// How many steps have ended.
    pub finished: usize,
    /// What it is expected to take.
    pub predicted: Cost,
    /// How many boxes may be out at a time in each pool.
    pub width: Vec<(PoolId, u32)>,
    /// The daemon that drives it.
    pub holder: Option<DaemonId>,
    /// The steps.
    pub steps: Vec<Step>,
}

/// A pool as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolView {
    /// Its name.
    pub name: PoolId,
    /// Its owner.
    pub account: AccountId,
    /// Boxes in it.
    pub boxes: usize,
    /// Boxes out of service for any cause.
    pub out: usize,
    /// Boxes that may be out.
    pub max_out: u32,
    /// Which measure comes first.
    #[serde(rename = "weigh")]
    pub objective: Objective,
    /// Offset of the last change.
    pub version: Offset,
}

/// A box as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxView {
    /// Its name.
    pub name: BoxId,
    /// Its pool.
    pub pool: PoolId,
    /// Where it serves.
    pub addr: SocketAddr,
    /// Its hall.
    pub hall: HallId,
    /// Its rack.
    pub rack: RackId,
    /// The plan that has taken it out.
    pub out: Option<String>,
    /// Whether it does not answer.
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
    /// Replicas placed.
    pub placed: usize,
    /// Replicas being started.
    pub starting: usize,
    /// Replicas on boxes that serve.
    pub up: u32,
    /// Replicas that must stay up.
    pub min_up: u32,
    /// Slots on each box.
    pub slots: u32,
}

/// A daemon's own state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Its number.
    pub id: DaemonId,
    /// Whether it serves callers.
    pub serving: bool,
    /// Why it may or may not: `log`, `peer`, `quorum` or `stale`.
    pub basis: String,
    /// Offset of the first batch not yet applied.
    pub next: Offset,
    /// Offset of the last change of configuration.
    pub configured: Offset,
    /// Peers heard of lately, with the first offset each has not applied.
    pub peers: Vec<(DaemonId, Offset)>,
    /// Requests in flight to targets.
    pub inflight: u32,
}

/// Why an operator's request was not carried out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Error)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum ApiError {
    /// The credential is missing or not valid.
    #[error("the credential is missing or not valid")]
    Credential,
    /// There is no such path, or the body is not as it should be.
    #[error("the request is not as the protocol has it")]
    Malformed,
    /// There is no such object, or it is not the operator's.
    #[error("there is no such {what}")]
    NotFound {
        /// The kind of object.
        what: Box<str>,
    },
    /// The body is over the limit.
    #[error("the request is larger than the limit")]
    TooLarge,
    /// The configuration file has faults; nothing was sent.
    #[error("the configuration has {} fault(s)", faults.len())]
    Config {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// The intent has no plan; nothing was sent.
    #[error("{cause}")]
    Plan {
        /// The constraint that stops it.
        cause: PlanError,
    },
    /// The job cannot be used; nothing was sent.
    #[error("{cause}")]
    Job {
        /// What is wrong with it.
        cause: Box<str>,
    },
    /// The store did not take the job; it never will run.
    #[error("the store did not take the job; nothing was changed")]
    JobRefused,
    /// The job may have been taken: the store has not answered in time.
    #[error("not known whether job {job} was taken")]
    JobUnknown {
        /// Its id.
        job: Box<str>,
    },
    /// The change was refused by the rule that every daemon applies; nothing was changed.
    #[error("{refusal}")]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// The change may yet take effect: the log has not shown it in time.
    #[error("not yet known; ask again with record {record}")]
    Unknown {
        /// Id to ask with.
        record: String,
    },
    /// The daemon cannot tell that its state is the one in force; nothing was sent.
    #[error("this entry box is cut off; nothing was changed")]
    Stale,
    /// Too many changes wait for the log; nothing was sent.
    #[error("too many changes wait for the log; nothing was changed")]
    Busy,
}

impl From<CredentialError> for ApiError {
    fn from(_: CredentialError) -> ApiError {
        ApiError::Credential
    }
}

impl ApiError {
    /// HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            ApiError::Credential => 401,
            ApiError::Malformed => 400,
            ApiError::NotFound { .. } => 404,
            ApiError::TooLarge => 413,
            ApiError::Config { .. } | ApiError::Plan { .. } | ApiError::Job { .. } => 422,
            ApiError::Refused { .. } => 409,
            ApiError::Unknown { .. } | ApiError::JobUnknown { .. } => 504,
            ApiError::Stale | ApiError::Busy | ApiError::JobRefused => 503,
        }
    }

    /// Name of the counter.
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
        }
    }
}
