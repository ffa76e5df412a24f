//! Permission to run a step: on some queues only some workers may, and a service knows which.

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

/// Workers named in one question. The service takes time for each, and a job's objective counts one
/// question for 30 workers.
const MAX_WORKERS_PER_QUESTION: usize = 30;
/// How long an answer may take: the service handles one question at a time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// A ticket is not used in the last part of its time, since the start that carries it takes a while.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// What is known of one step.
#[derive(Default)]
struct StepAdvice {
    tickets: HashMap<Incarnation, (Ticket, Instant)>,
    /// Workers that may not run the step; that does not change.
    refused: HashSet<Incarnation>,
    /// A question is under way.
    is_question_pending: bool,
}

/// What the advice service has said, and what it is to be asked.
#[derive(Default)]
pub struct AdviceCache {
    steps: HashMap<StepName, StepAdvice>,
    questions: VecDeque<(StepName, Vec<Incarnation>)>,
}

impl AdviceCache {
    /// The ticket that lets a step run on a worker now.
    pub fn ticket(&self, step: StepName, worker: &Incarnation, now: Instant) -> Option<&Ticket> {
        let (ticket, until) = self.steps.get(&step)?.tickets.get(worker)?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Asks about those of `workers` that the step may still run on, best first, unless a question
    /// about the step is under way.
    pub fn queue_question(&mut self, step: StepName, workers: impl Iterator<Item = Incarnation>) {
        let known = self.steps.entry(step).or_default();
        if known.is_question_pending {
            return;
        }
        let open = workers.filter(|worker| !known.refused.contains(worker));
        let open: Vec<Incarnation> = open.take(MAX_WORKERS_PER_QUESTION).collect();
        if !open.is_empty() {
            known.is_question_pending = true;
            self.questions.push_back((step, open));
        }
    }

    /// The next question.
    pub fn take_question(&mut self) -> Option<(StepName, Vec<Incarnation>)> {
        self.questions.pop_front()
    }

    /// Takes in an answer; `None` if there was none.
    pub fn record_answer(
        &mut self,
        step: StepName,
        workers: Vec<Incarnation>,
        answer: Option<advice::Advice>,
        now: Instant,
    ) {
        let Some(known) = self.steps.get_mut(&step) else { return };
        known.is_question_pending = false;
        let Some(mut answer) = answer else { return };
        for worker in workers {
            match answer.tickets.remove(&worker.id) {
                Some(ticket) => {
                    known.tickets.insert(worker, (ticket, now + answer.valid));
                }
                None => {
                    known.refused.insert(worker);
                }
            }
        }
    }

    /// A worker has refused a ticket.
    pub fn invalidate_ticket(&mut self, step: StepName, worker: &Incarnation) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.tickets.remove(worker);
        }
    }

    /// Lets go of what is known of a job's steps.
    pub fn forget_job(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.0 != job);
        self.questions.retain(|(step, _)| step.0 != job);
    }
}

/// Asks the service, one question at a time, as long as the scheduler lasts.
pub async fn run(scheduler: Arc<Scheduler>) {
    let Some(addr) = scheduler.node.settings.advice else { return };
    loop {
        let Some((step, workers)) = scheduler.cell().advices.take_question() else {
            scheduler.advice_wake.notified().await;
            continue;
        };
        let ids: Vec<WorkerId> = workers.iter().map(|life| life.id.clone()).collect();
        let answer = advice::ask(&scheduler.node.dialer, addr, step, &ids, ANSWER_TIMEOUT).await;
        if let Err(error) = &answer {
            scheduler.node.counters.count("batch.advice.failed");
            log::info!(job = format!("{:016x}", step.0).as_str(), step = step.2; "no advice: {error}");
            sleep(RETRY_PAUSE).await;
        }
        scheduler.cell().advices.record_answer(step, workers, answer.ok(), clock::now());
        scheduler.wake();
    }
}
