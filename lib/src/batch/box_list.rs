//! The newest list of all boxes, which is asked for in the background.
//!
//! Calls about boxes may be slow. Rounds then go on with the last list for a while, so that orders
//! do not wait for the next one.

use std::collections::HashSet;
use std::future::Future;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::machine::List;
use spokelift_platform::machine::Machine;
use spokelift_platform::machine::MachineId;
use spokelift_platform::machine::Status;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::transport::clock;

/// How long a round waits for the list that it has asked for; it usually takes some milliseconds.
const LIST_WAIT: Duration = Duration::from_millis(100);
/// Age from which an answer is dropped: rounds in between needed no list.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(3_000);

/// Answer to a call for the list.
type Answer = Result<List, CallError>;

/// The newest list, and the call for the next one.
#[derive(Default)]
pub struct BoxList {
    pending: Option<(Instant, JoinHandle<Answer>)>,
    boxes: Vec<Machine>,
    /// Rows of the last list that name no box.
    unnamed_rows: usize,
    requested_at: Option<Instant>,
}

impl BoxList {
    /// Waits a short time for the next list; `call` asks for it if no earlier call is under way.
    /// Returns when the list was requested, `None` if it has not come yet.
    ///
    /// # Errors
    ///
    /// The error of the call.
    pub async fn refresh(
        &mut self,
        call: impl Future<Output = Answer> + Send + 'static,
    ) -> Result<Option<Instant>, CallError> {
        let is_old = |requested_at: Instant| clock::since(requested_at) > MAX_ANSWER_AGE;
        self.pending.take_if(|(at, answer)| answer.is_finished() && is_old(*at));
        let (requested_at, answer) =
            self.pending.get_or_insert_with(|| (clock::now(), tokio::spawn(call)));
        let requested_at = *requested_at;
        let Ok(answer) = timeout(LIST_WAIT, answer).await else { return Ok(None) };
        self.pending = None;
        // The task only ends without an answer as the process does.
        let Ok(answer) = answer else { return Ok(None) };
        List { machines: self.boxes, unnamed_rows: self.unnamed_rows } = answer?;
        self.requested_at = Some(requested_at);
        Ok(Some(requested_at))
    }

    /// The last list; empty before the first one.
    pub fn boxes(&self) -> &[Machine] {
        &self.boxes
    }

    /// Number of rows of the last list that cannot be read, whether they name a box or not.
    pub fn unreadable_rows(&self) -> usize {
        let is_unreadable = |listed: &&Machine| listed.status == Status::Unreadable;
        self.boxes.iter().filter(is_unreadable).count() + self.unnamed_rows
    }

    /// Adds those of `known` that the last list leaves out as [`Status::Unreadable`] if it has rows that
    /// name no box: each may be the row of any of them, so none counts as removed by this list.
    pub fn keep_known(&mut self, known: HashSet<MachineId>) {
        if self.unnamed_rows == 0 {
            return;
        }
        let listed: HashSet<&MachineId> = self.boxes.iter().map(|listed| &listed.id).collect();
        let left_out = known.iter().filter(|id| !listed.contains(*id));
        let left_out: Vec<Machine> = left_out.map(|id| Machine::unreadable(id.as_str())).collect();
        self.boxes.extend(left_out);
    }

    /// Whether the last list was requested less than `max_age` ago.
    pub fn is_recent(&self, max_age: Duration, now: Instant) -> bool {
        self.requested_at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }
}
