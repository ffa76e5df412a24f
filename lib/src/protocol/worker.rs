//! The workers' published HTTP protocol.
//!
//! - `GET /platform/status` answers [`Status`].
//! - `POST /platform/command` with a [`Command`] answers [`Status`], or 409 if the fence is lower
//!   than one already seen.
//! - `POST /run/<account>/<service>` runs a request of a job. A worker that does not run it says
//!   why in the header [`REFUSED`].

use serde::Deserialize;
use serde::Serialize;

use crate::state::id::Offset;
use crate::state::id::ServiceKey;

/// Path of the status.
pub const STATUS: &str = "/platform/status";
/// Path of commands.
pub const COMMAND: &str = "/platform/command";
/// Prefix of requests to jobs.
pub const RUN: &str = "/run";
/// Header of an answer that says the request was not run, and why.
pub const REFUSED: &str = "x-platform-refused";
/// Header of an answer from a box that is on its way out.
pub const LEAVING: &str = "x-platform-leaving";

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The highest fence seen.
    pub fence: Offset,
    /// Whether it has been told to drain.
    pub draining: bool,
    /// Requests running now.
    pub inflight: u32,
    /// Jobs running now.
    pub jobs: Vec<ServiceKey>,
    /// The operation of the last reboot.
    pub rebooted_for: Option<Offset>,
}

/// A command, in the order of fences: one with a lower fence than the last is refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Fence of the sender.
    pub fence: Offset,
    /// What to do.
    pub action: Action,
}

/// What a worker can be told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Prepare to leave; requests are still run.
    Drain,
    /// Serve again.
    Resume,
    /// Reboot, once for each operation.
    Reboot {
        /// Names the operation; a second reboot for the same one is not carried out.
        operation: Offset,
    },
    /// Run just these jobs.
    Jobs {
        /// The jobs.
        jobs: Vec<ServiceKey>,
    },
}

/// Path at which a job's requests are sent.
///
/// ```
/// use spokelift_lib::protocol::worker::run_path;
/// assert_eq!(run_path("desk", "booking"), "/run/desk/booking");
/// ```
pub fn run_path(account: &str, service: &str) -> String {
    format!("{RUN}/{account}/{service}")
}
