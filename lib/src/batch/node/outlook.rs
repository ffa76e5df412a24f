//! The leader's outlook at a node: passed on to other nodes, and used to refuse jobs.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::JobId;
use tokio::time::timeout;

use crate::batch::caller::Caller;
use crate::batch::node::Node;
use crate::batch::outlook::Arrival;
use crate::batch::outlook::Outlook;
use crate::batch::outlook::Service;
use crate::batch::outlook::arrival::work_of;
use crate::batch::outlook::known::Known;
use crate::batch::peer::PeerError;
use crate::batch::peer::Reply;
use crate::batch::peer::Request;
use crate::batch::record::Accepted;
use crate::transport::clock;

/// How long a refusal waits for the leader's confirmation, which usually takes 3 ms. Without it the
/// job is accepted.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// What the outlook that a node has says of a job.
struct Verdict {
    /// Number of the outlook.
    number: u64,
    /// Its age.
    age: Duration,
    /// The outlook of the job's service.
    service: Service,
}

impl Node {
    fn outlook(&self) -> MutexGuard<'_, Known> {
        self.outlook.lock().expect("no thread panics while it holds the outlook lock")
    }

    /// Keeps an outlook that this node has made or received, and passes it on, unless the same or a
    /// newer one is known.
    pub fn set_outlook(self: &Arc<Self>, outlook: Outlook) {
        let now = clock::now();
        if !self.outlook().apply(outlook, now) {
            return;
        }
        self.counters.count("batch.outlook.received");
        for addr in self.gossip_peers() {
            let outlook = self.outlook().to_send(addr, clock::now());
            let Some(outlook) = outlook else { continue };
            self.counters.count("batch.outlook.sent");
            let node = self.clone();
            tokio::spawn(async move {
                let answer = node.peers.ask_once(addr, Request::Outlook(Box::new(outlook))).await;
                // An older node ends the connection on a message that it does not know.
                if answer == Err(PeerError::Closed) {
                    node.counters.count("batch.outlook.declined");
                    node.outlook().decline(addr, clock::now());
                }
            });
        }
    }

    /// Whether a job is refused by the outlook, with the time after which the client should come
    /// back; `None` if it is accepted. A refused job has not been taken, by any node.
    pub async fn refuse_by_outlook(
        &self,
        id: JobId,
        caller: &Caller,
        accepted: &Accepted,
    ) -> Option<Duration> {
        let multiple = self.options.refuse_after_objectives;
        let now = clock::now();
        let (arrival, verdict) = self.find_refusal(accepted, multiple, now)?;
        let Some(is_over_rate) = self.confirm_refusal(id, caller, verdict.number).await else {
            self.counters.count("batch.submit.outlook-unconfirmed");
            return None;
        };
        let arrival = Arrival { is_over_rate, ..arrival };
        let Some(until_served) = verdict.service.time_until_served(&arrival, multiple) else {
            self.counters.count("batch.submit.outlook-within-rate");
            return None;
        };
        let nodes = self.directory.count().unwrap_or(1).max(1);
        let (name, work) = (&accepted.service, work_of(accepted));
        let service = &verdict.service;
        let delay = self.outlook().plan_return(name, service, work, until_served, nodes, now);
        self.counters.count("batch.submit.refused.outlook");
        let wait = service.wait(&arrival);
        log::info!(
            job = format!("{id:016x}").as_str(),
            service = name.as_str(),
            outlook = verdict.number,
            age_ms = verdict.age.as_millis() as u64,
            over_rate = is_over_rate,
            wait_ms = wait.late.as_millis() as u64,
            objective_ms = arrival.objective.as_millis() as u64,
            return_ms = delay.as_millis() as u64;
            "job refused by the outlook"
        );
        Some(delay)
    }

    /// The job, if by a fresh outlook of the leader it would be useless to its caller as a job
    /// above its account's rate.
    fn find_refusal(
        &self,
        accepted: &Accepted,
        multiple: u32,
        now: Instant,
    ) -> Option<(Arrival, Verdict)> {
        // While the store fails, an earlier attempt may have been written without an answer.
        if multiple == 0 || !self.commit_queue.is_store_available(now) {
            return None;
        }
        let known = self.outlook();
        let (outlook, age) = known.fresh(self.leader_incarnation(), now)?;
        let service = outlook.services.get(&accepted.service)?;
        let arrival = Arrival::of(accepted)?;
        service.time_until_served(&arrival, multiple)?;
        Some((arrival, Verdict { number: outlook.number, age, service: service.clone() }))
    }

    /// Asks the leader whether it has no job of this id; returns whether the caller's account sends
    /// it above its rate. `None` if the job must not be refused, or the leader does not answer in
    /// time or is not certain to be the only one.
    async fn confirm_refusal(&self, id: JobId, caller: &Caller, number: u64) -> Option<bool> {
        let request = Request::MayRefuse(id, caller.clone(), number);
        let reply = match self.scheduler() {
            Some(scheduler) => scheduler.answer_own(request).await,
            None => {
                let asked = self.peers.ask_once(self.remote_leader()?, request);
                timeout(CONFIRM_TIMEOUT, asked).await.ok()?.ok()?
            }
        };
        match reply {
            Reply::Refusable { is_over_rate } => Some(is_over_rate),
            _ => None,
        }
    }
}
