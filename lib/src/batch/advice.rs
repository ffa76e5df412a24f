//! Tickets of the advice service: on some queues a step may run only on workers that the service
//! approves.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::advice;
use spokelift_platform::advice::Ticket;
use spokelift_platform::job::JobId;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::WorkerId;
use tokio::time::sleep;

use crate::batch::scheduler::Scheduler;
use crate::transport::clock;

/// A step of a job in one repetition.
pub type StepName = (JobId, u32, u16);

/// Maximum number of workers named in one question. The service takes time for each, and the
/// objective of a job allows for one question about 30 workers.
const MAX_WORKERS_PER_QUESTION: usize = 30;
/// Timeout of a question: the service handles one question at a time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Delay after a question without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A ticket is not used in this last part of its validity, since the start with it takes a while.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Tickets and refusals for one step.
#[derive(Default)]
struct StepAdvice {
    tickets: HashMap<Incarnation, (Ticket, Instant)>,
    /// Workers that may not run the step; that does not change.
    refused: HashSet<Incarnation>,
    /// A question about the step is in flight or queued.
    is_question_pending: bool,
}

/// Answers of the advice service, and queued questions.
#[derive(Default)]
pub struct AdviceCache {
    steps: HashMap<StepName, StepAdvice>,
    questions: VecDeque<(StepName, Vec<Incarnation>)>,
}

impl AdviceCache {
    /// The ticket with which a step may start on a worker now; `None` if there is no valid one.
    pub fn ticket(&self, step: StepName, worker: &Incarnation, now: Instant) -> Option<&Ticket> {
        let (ticket, until) = self.steps.get(&step)?.tickets.get(worker)?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Queues a question about those of `workers`, best first, that have not been refused for the
    /// step, unless a question about the step is in flight or queued.
    pub fn queue_question(&mut self, step: StepName, workers: impl Iterator<Item = Incarnation>) {
        let step_advice = self.steps.entry(step).or_default();
        if step_advice.is_question_pending {
            return;
        }
        let candidates = workers.filter(|worker| !step_advice.refused.contains(worker));
        let candidates: Vec<Incarnation> = candidates.take(MAX_WORKERS_PER_QUESTION).collect();
        if !candidates.is_empty() {
            step_advice.is_question_pending = true;
            self.questions.push_back((step, candidates));
        }
    }

    /// Removes and returns the next question.
    pub fn take_question(&mut self) -> Option<(StepName, Vec<Incarnation>)> {
        self.questions.pop_front()
    }

    /// Records an answer; `None` if the service gave none.
    pub fn record_answer(
        &mut self,
        step: StepName,
        workers: Vec<Incarnation>,
        answer: Option<advice::Advice>,
        now: Instant,
    ) {
        let Some(step_advice) = self.steps.get_mut(&step) else { return };
        step_advice.is_question_pending = false;
        let Some(mut answer) = answer else { return };
        for worker in workers {
            match answer.tickets.remove(&worker.id) {
                Some(ticket) => {
                    step_advice.tickets.insert(worker, (ticket, now + answer.validity));
                }
                None => {
                    step_advice.refused.insert(worker);
                }
            }
        }
    }

    /// Drops a ticket that a worker has refused.
    pub fn invalidate_ticket(&mut self, step: StepName, worker: &Incarnation) {
        if let Some(step_advice) = self.steps.get_mut(&step) {
            step_advice.tickets.remove(worker);
        }
    }

    /// Forgets everything about a job's steps.
    pub fn forget_job(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.0 != job);
        self.questions.retain(|(step, _)| step.0 != job);
    }
}

/// Asks the service, one question at a time, for as long as the scheduler runs.
pub async fn run(scheduler: Arc<Scheduler>) {
    let Some(addr) = scheduler.node.settings.advice else { return };
    loop {
        let Some((step, workers)) = scheduler.cell().advice.take_question() else {
            scheduler.advice_wake.notified().await;
            continue;
        };
        let ids: Vec<WorkerId> = workers.iter().map(|incarnation| incarnation.id.clone()).collect();
        let answer =
            advice::request_advice(&scheduler.node.dialer, addr, step, &ids, ANSWER_TIMEOUT).await;
        if let Err(error) = &answer {
            scheduler.node.counters.count("batch.advice.failed");
            log::info!(job = format!("{:016x}", step.0).as_str(), step = step.2; "question to the advice service failed: {error}");
            sleep(RETRY_DELAY).await;
        }
        scheduler.cell().advice.record_answer(step, workers, answer.ok(), clock::now());
        scheduler.wake();
    }
}
