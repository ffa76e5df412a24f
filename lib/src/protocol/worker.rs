//! The HTTP protocol of workers.
//!
//! - `GET /platform/status` returns [`Status`].
//! - `POST /platform/command` with a [`Command`] returns [`Status`], or 409 if the fencing token is
//!   lower than the highest one received.
//! - `POST /run/<account>/<service>` runs a request of a job. If a worker does not run it, the header
//!   [`REFUSED`] has the reason.

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Offset;
use crate::state::id::ServiceKey;

/// Path of status requests.
pub const STATUS: &str = "/platform/status";
/// Path of commands.
pub const COMMAND: &str = "/platform/command";
/// Prefix of the path of requests to jobs.
pub const RUN: &str = "/run";
/// Response header: the reason why the request was not run.
pub const REFUSED: &str = "x-platform-refused";
/// Response header of a box that is about to be removed.
pub const LEAVING: &str = "x-platform-leaving";

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest fencing token received.
    pub fence: Offset,
    /// Whether it is draining.
    pub draining: bool,
    /// Number of requests that are running.
    pub inflight: u32,
    /// Jobs that are running.
    pub jobs: Vec<ServiceKey>,
    /// The operation of the last reboot; `None` before the first.
    pub rebooted_for: Option<Offset>,
}

/// A command. It is refused if its fencing token is lower than that of an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Fencing token of the sender.
    pub fence: Offset,
    /// The action.
    pub action: Action,
}

/// The actions that a worker can be commanded to take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Start draining; requests are still run.
    Drain,
    /// Stop draining.
    Resume,
    /// Reboot, at most once for each operation.
    Reboot {
        /// Id of the operation; a repeated command for it has no effect.
        operation: Offset,
    },
    /// Run exactly these jobs.
    Jobs {
        /// The jobs.
        jobs: Vec<ServiceKey>,
    },
}

/// Path of requests to a job.
///
/// ```
/// use spokelift_lib::protocol::worker::run_path;
/// assert_eq!(run_path("desk", "booking"), "/run/desk/booking");
/// ```
pub fn run_path(account: &str, service: &str) -> String {
    format!("{RUN}/{account}/{service}")
}
