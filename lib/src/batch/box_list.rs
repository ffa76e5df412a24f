//! The newest list of all boxes, which is asked for in the background.
//!
//! Calls about boxes may be slow. Rounds then go on with the last list for a while, so that orders
//! do not wait for the next one.

use std::future::Future;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::machine::Machine;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::transport::clock;

/// How long a round waits for the list that it has asked for; it usually takes some milliseconds.
const LIST_WAIT: Duration = Duration::from_millis(100);
/// Age from which an answer is dropped: rounds in between needed no list.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(3_000);

/// Answer to a call for the list.
type Answer = Result<Vec<Machine>, CallError>;

/// The newest list, and the call for the next one.
#[derive(Default)]
pub struct BoxList {
    pending: Option<(Instant, JoinHandle<Answer>)>,
    boxes: Vec<Machine>,
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
        self.boxes = answer?;
        self.requested_at = Some(requested_at);
        Ok(Some(requested_at))
    }

    /// The last list; empty before the first one.
    pub fn boxes(&self) -> &[Machine] {
        &self.boxes
    }

    /// Whether the last list was requested less than `max_age` ago.
    pub fn is_recent(&self, max_age: Duration, now: Instant) -> bool {
        self.requested_at.is_some_and(|at| now.saturating_duration_since(at) < max_age)
    }
}
