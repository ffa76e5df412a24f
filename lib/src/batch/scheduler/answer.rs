//! Answers requests of other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use spokelift_platform::ingress::JobState;
use spokelift_platform::job::JobId;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::batch::caller::Caller;
use crate::batch::leader::lease::TAKEOVER_TIMEOUT;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::record::Accepted;
use crate::batch::scheduler::Scheduler;
use crate::batch::scheduler::events::take_report;
use crate::batch::view;
use crate::transport::clock;

/// How long the cancel of a client waits until the store has it.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an answer waits until it is known whether this scheduler has been replaced: a renewal, and a read of the
/// lease if it fails, take up to 1.2 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time between checks of that.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(10);
/// How long after it was sent a renewal without an answer shows that the store is unavailable: until the next one has
/// failed as well.
const RENEWAL_FAILURE_VALIDITY: Duration = Duration::from_millis(2_800);

impl Scheduler {
    /// Answers a request of another node. If this scheduler may have been replaced, what it says of
    /// jobs is marked as [`Reply::Unconfirmed`].
    pub async fn answer_peer(&self, request: Request) -> Reply {
        let reply = self.answer(request).await;
        let is_about_jobs = matches!(reply, Reply::State(_) | Reply::Pending(_) | Reply::View(_));
        if is_about_jobs && self.may_be_replaced() {
            return Reply::Unconfirmed(Box::new(reply));
        }
        reply
    }

    /// Answers a request of this node. Before it says anything of jobs, it waits until it is known whether this
    /// scheduler has been replaced: after a pause of the process its state is out of date. While the store is
    /// unavailable nobody can know, and it answers all the same.
    pub async fn answer_own(&self, request: Request) -> Reply {
        let reply = self.answer_peer(request).await;
        let Reply::Unconfirmed(reply) = reply else { return reply };
        let known = async {
            while self.may_be_replaced() && !self.is_store_unavailable() && !self.is_stopped() {
                sleep(CONFIRM_INTERVAL).await;
            }
        };
        match timeout(CONFIRM_TIMEOUT, known).await {
            Ok(()) if !self.is_stopped() => *reply,
            _ => Reply::NotReady,
        }
    }

    /// Whether another node may have claimed the leader lease.
    fn may_be_replaced(&self) -> bool {
        let renewed_at = self.cell().renewed_at;
        renewed_at.is_some_and(|at| clock::since(at) > TAKEOVER_TIMEOUT)
    }

    /// Whether the store did not answer a renewal that was sent lately.
    fn is_store_unavailable(&self) -> bool {
        let failed_at = self.cell().renewal_failed_at;
        failed_at.is_some_and(|at| clock::since(at) < RENEWAL_FAILURE_VALIDITY)
    }

    async fn answer(&self, request: Request) -> Reply {
        match request {
            Request::Submitted(id, accepted) => self.admit(id, *accepted),
            Request::State(id, caller) => self.state(id, &caller).await,
            Request::Pending(queue, caller) => {
                Reply::Pending(self.cell().count_pending(&queue, &caller))
            }
            Request::Cancel(id, caller) => self.cancel(id, &caller).await,
            Request::View(path) => self.view(&path).await,
            Request::Relay(call) => Reply::Relayed(self.node.relay_for_peer(call).await),
            Request::Report(report) => take_report(self, *report),
            Request::MayRefuse(id, caller, outlook) => self.may_refuse(id, &caller, outlook),
            Request::Joined { addr, cpu } => self.add_joined(addr, cpu),
            Request::ReserveMemory(id, needed) => self.reserve_memory(id, needed),
            // Answered by the node itself.
            Request::Dispatch(_)
            | Request::Newer { .. }
            | Request::Config(_)
            | Request::ConfigPart(_)
            | Request::ClaimPromise { .. }
            | Request::Leader { .. }
            | Request::Outlook(_) => Reply::NotReady,
            Request::Ping => Reply::Done,
        }
    }

    /// Reserves memory for a job; one that is known already needs no more.
    fn reserve_memory(&self, id: JobId, needed: u64) -> Reply {
        let mut cell = self.cell();
        if cell.jobs.contains_key(&id) {
            return Reply::MemoryReserved(needed);
        }
        let (used, limit) = (cell.job_memory, self.node.job_memory_limit());
        Reply::MemoryReserved(cell.memory_grants.grant(needed, used, limit, clock::now()))
    }

    /// Takes note of a node that has joined. If this scheduler may have been replaced, the node is not
    /// known to the leader by that.
    fn add_joined(&self, addr: SocketAddr, cpu: u32) -> Reply {
        self.node.directory.add_joined(addr, cpu);
        match self.cell().is_sole_leader(clock::now()) {
            true => Reply::Done,
            false => Reply::NotReady,
        }
    }

    /// Admits a job whose record is in the store. A scheduler that may have been replaced leaves the
    /// job to the next one, which would not know of starts here.
    fn admit(&self, id: JobId, accepted: Accepted) -> Reply {
        if self.may_be_replaced() {
            return Reply::NotReady;
        }
        let mut cell = self.cell();
        let owner = accepted.account.clone();
        if cell.admit_reported(id, accepted) {
            drop(cell);
            self.wake();
        } else if !cell.is_job_of(id, owner.as_ref()) {
            return Reply::IdInUse;
        }
        Reply::Done
    }

    /// Whether this scheduler can tell if a job exists: it knows the job, or all jobs.
    async fn can_tell(&self, id: JobId) -> bool {
        let is_known = self.cell().jobs.contains_key(&id);
        is_known || self.knows_all_jobs().await
    }

    async fn view(&self, path: &str) -> Reply {
        if let Some(id) = view::job_in(path)
            && !self.can_tell(id).await
        {
            return Reply::NotReady;
        }
        let (waves, shards) = (self.node.waves(), self.shards.view());
        Reply::View(view::render(&self.cell(), &waves, &shards, path))
    }

    async fn state(&self, id: JobId, caller: &Caller) -> Reply {
        if !self.can_tell(id).await {
            return Reply::NotReady;
        }
        Reply::State(self.cell().job_state_for(id, caller))
    }

    /// Cancels a job for a caller and returns its state; if no such job is known, keeps the cancel until it is.
    pub(super) fn apply_cancel(&self, id: JobId, caller: &Caller) -> Option<JobState> {
        let state = self.cell().cancel_for(id, caller);
        match state {
            Some(_) => {
                self.wake();
                self.wake_flush();
            }
            None => self.node.counters.count("batch.cancel.kept"),
        }
        state
    }

    async fn cancel(&self, id: JobId, caller: &Caller) -> Reply {
        if !self.can_tell(id).await {
            return Reply::NotReady;
        }
        let Some(state) = self.apply_cancel(id, caller) else { return Reply::State(None) };
        let mut flushed = self.flush_count.subscribe();
        let durable = async {
            while self.cell().jobs.get(&id).is_some_and(|job| !job.end_is_durable) {
                if flushed.changed().await.is_err() {
                    return;
                }
            }
        };
        match timeout(CANCEL_TIMEOUT, durable).await {
            Ok(()) => Reply::State(Some(state)),
            Err(_) => Reply::NotReady,
        }
    }
}
