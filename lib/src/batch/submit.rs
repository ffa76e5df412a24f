//! Submission, state queries and cancellation of jobs at any node, for clients and operators.

use std::sync::Arc;
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

/// Timeout of writing a cancel request to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the leader is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The result of a state query or a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobAnswer {
    /// The state of the job.
    State(JobState),
    /// The cancel request was written to the store; the state of the job is unknown.
    CancelStored,
    /// There is no such job. If it was to be cancelled, the store has the cancel.
    NoJob,
    /// The leader did not answer in time; a cancel request was not written either.
    NoAnswer,
}

/// A job as accepted now from a caller, with the settings of its queue.
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

/// Sends a request to the leader until it answers; `None` if it does not by `deadline`.
pub async fn ask_leader_until(
    node: &Node,
    request: &peer::Request,
    deadline: Instant,
) -> Option<Reply> {
    loop {
        match node.ask_leader(request.clone()).await {
            Some(Reply::NotReady) | None => {}
            reply => return reply,
        }
        if clock::now() + RETRY_DELAY >= deadline {
            return None;
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns the state of a job of the caller.
pub async fn get_job_state(node: &Node, id: JobId, caller: Caller, deadline: Instant) -> JobAnswer {
    match ask_leader_until(node, &peer::Request::State(id, caller), deadline).await {
        Some(Reply::State(Some(state))) => JobAnswer::State(state),
        Some(Reply::State(None)) => JobAnswer::NoJob,
        _ => JobAnswer::NoAnswer,
    }
}

/// Cancels a job of the caller. Unless the leader knows the job, the cancel is written to the store:
/// the leader may not have answered, or the job's record may still be on its way to the store.
pub async fn cancel_job(node: &Node, id: JobId, caller: Caller, deadline: Instant) -> JobAnswer {
    let request = peer::Request::Cancel(id, caller.clone());
    let answer = match ask_leader_until(node, &request, deadline).await {
        Some(Reply::State(Some(state))) => return JobAnswer::State(state),
        Some(Reply::State(None)) => JobAnswer::NoJob,
        _ => JobAnswer::CancelStored,
    };
    if node.cancel_queue.write(record::cancel(id, &caller), WRITE_TIMEOUT).await {
        return answer;
    }
    node.counters.count("batch.cancel.refused");
    let job = format!("{id:016x}");
    log::info!(job = job.as_str(); "cancel request not written in time");
    JobAnswer::NoAnswer
}

/// Writes cancels to the store until the process ends.
pub async fn write_cancels(node: Arc<Node>) {
    let mut batches = node.cancel_queue.batches();
    while let Some(batch) = batches.next().await {
        let records = batch.records();
        match node.append(record::JOB_TOPIC, &records, &Guard::None, WRITE_TIMEOUT).await {
            Ok(_) => batch.confirm(),
            Err(error) => {
                node.counters.count("batch.cancel.write-failed");
                log::info!(cancels = records.len(); "cancels not written: {error}");
            }
        }
    }
}
