//! What becomes of a job that is handed in, asked for or cancelled, at any node.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use spokelift_platform::config;
use spokelift_platform::ingress::JobState;
use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;
use spokelift_platform::store::Guard;
use tokio::time::sleep;

use crate::batch::caller::Caller;
use crate::batch::node::Node;
use crate::batch::peer;
use crate::batch::peer::Reply;
use crate::batch::record;
use crate::batch::record::Accepted;
use crate::transport::clock;

/// How long the write of a wish to cancel may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between tries.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// What the holder of the lead said of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// Its state.
    State(JobState),
    /// A wish to cancel it is kept; its state was not told.
    CancelStored,
    /// There is no such job.
    NoJob,
    /// Nobody who knows could be asked in time.
    NoAnswer,
}

/// A job as accepted now from a caller, with what its queue says of it.
pub fn accepted_job(job: Job, queue: &config::Queue, caller: &Caller) -> Accepted {
    Accepted {
        job,
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        needs_advice: queue.advice.is_some(),
        objective_ms: queue.objective_ms,
        stretch_percent: (queue.stretch * 100.0) as u32,
        at: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        account: caller.account().cloned(),
    }
}

/// Asks the holder of the lead until it answers or time is up.
pub async fn ask_leader_until(
    node: &Node,
    request: &peer::Request,
    until: Instant,
) -> Option<Reply> {
    loop {
        match node.ask_leader(request.clone()).await {
            Some(Reply::NotReady) | None => {}
            answered => return answered,
        }
        if clock::now() + RETRY_DELAY >= until {
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Asks how far a job of the caller's is.
pub async fn get_job_state(node: &Node, id: JobId, caller: Caller, until: Instant) -> JobAnswer {
    match ask_leader_until(node, &peer::Request::State(id, caller), until).await {
        Some(Reply::State(Some(state))) => JobAnswer::State(state),
        Some(Reply::State(None)) => JobAnswer::NoJob,
        _ => JobAnswer::NoAnswer,
    }
}

/// Cancels a job of the caller's. If nobody who knows it can be asked, the wish is kept in the store.
pub async fn cancel_job(node: &Node, id: JobId, caller: Caller, until: Instant) -> JobAnswer {
    match ask_leader_until(node, &peer::Request::Cancel(id, caller.clone()), until).await {
        Some(Reply::State(Some(state))) => JobAnswer::State(state),
        Some(Reply::State(None)) => JobAnswer::NoJob,
        _ => {
            let record = record::cancel(id, &caller);
            match node.append(record::JOB_TOPIC, &[record], &Guard::None, WRITE_TIMEOUT).await {
                Ok(_) => JobAnswer::CancelStored,
                Err(error) => {
                    let job = format!("{id:016x}");
                    log::info!(job = job.as_str(); "cancel not written: {error}");
                    JobAnswer::NoAnswer
                }
            }
        }
    }
}
