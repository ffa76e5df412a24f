//! Reserves the leader's memory for the jobs that a node accepts.

use std::sync::MutexGuard;
use std::time::Duration;

use spokelift_platform::job::Job;
use spokelift_platform::job::JobId;
use tokio::time::timeout;

use crate::batch::job;
use crate::batch::job_memory::ADVANCE_BYTES;
use crate::batch::job_memory::Credit;
use crate::batch::node::Node;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::transport::clock;

/// Jobs may take this part of the leader's memory, in eighths.
const MEMORY_EIGHTHS: usize = 3;
/// How long a node waits for the leader's answer, which usually takes 3 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

impl Node {
    /// Memory that jobs may take while this node is the leader, in bytes.
    pub fn job_memory_limit(&self) -> u64 {
        (self.settings.memory / 8 * MEMORY_EIGHTHS) as u64
    }

    fn job_credit(&self) -> MutexGuard<'_, Credit> {
        self.job_credit.lock().expect("no thread panics while it holds the credit lock")
    }

    /// Whether the leader has the memory for a job. While no leader answers, small jobs are
    /// accepted.
    pub async fn reserve_job_memory(&self, id: JobId, job: &Job) -> bool {
        let (needed, leader) = (job::memory_of(job), self.leader_incarnation());
        if self.job_credit().take(needed, leader, clock::now()) {
            return true;
        }
        let asked = self.ask_leader(Request::ReserveMemory(id, needed));
        let bytes = match timeout(ANSWER_TIMEOUT, asked).await {
            Ok(Some(Reply::MemoryReserved(bytes))) => bytes,
            _ => ADVANCE_BYTES,
        };
        let is_granted = needed <= bytes;
        if is_granted {
            self.job_credit().set(bytes - needed, leader, clock::now());
        }
        is_granted
    }
}
