//! Placement of waiting tasks on workers.

pub mod fair;
pub mod fit;
mod gang;
mod on_time;
mod preempt;
mod quarantine;

use std::time::Duration;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;

use crate::batch::cell::Cell;
use crate::batch::cell::Order;
use crate::batch::cell::PossibleRuns;
use crate::batch::cell::Rank;
use crate::batch::cell::next_run;
use crate::batch::crash::is_suspect;
use crate::batch::history::Decision;
use crate::batch::job::Entry;
use crate::batch::job::StepRun;
use crate::batch::job::Task;
use crate::batch::order_window::is_sole_leader;
use crate::batch::place::fit::Request;
use crate::batch::place::fit::cost;
use crate::batch::place::fit::is_fit;
use crate::batch::place::fit::is_ideal;
use crate::batch::place::quarantine::Suspicion;
use crate::batch::usage::Usage;
use crate::batch::worker::Allocation;
use crate::batch::worker::Phase;
use crate::batch::worker::Worker;

impl Cell {
    /// Starts waiting tasks in rank order as far as resources allow. Steps of jobs that are nearly
    /// certain to miss their objective come after all others, and those whose result will be of no
    /// use any more come last.
    pub fn place_ready(&mut self, now: Instant, wall: Duration) {
        self.placement_pending = false;
        self.workers.take_freed();
        self.update_fencing_uncertain(now);
        self.update_unpolled_usage();
        let possible_runs = self.possible_runs();
        let ranks: Vec<Rank> = self.ready.iter().copied().collect();
        let (suspect, others) = self.split_suspects(ranks);
        let [mut on_time, late, expired] = self.split_by_time(others, now, wall);
        self.sort_started_first(&mut on_time);
        let first_finite = on_time.partition_point(|rank| !rank.is_finite);
        let finite = on_time.split_off(first_finite);
        for rank in suspect.into_iter().chain(on_time) {
            self.place_step(rank, now, &possible_runs);
        }
        for ranks in [finite, late, expired] {
            for ranks in group_by_priority(ranks) {
                self.place_fairly(ranks, now, &possible_runs);
            }
        }
    }

    /// Among long-running tasks of one priority, puts those of jobs that have run before first:
    /// their users notice the outage, and while one is unavailable its step lets no other task be
    /// moved.
    fn sort_started_first(&self, ranks: &mut [Rank]) {
        let first_finite = ranks.partition_point(|rank| !rank.is_finite);
        let is_new = |rank: &Rank| self.jobs.get(&rank.job).is_none_or(|entry| !entry.started);
        ranks[..first_finite].sort_by_key(|rank| (rank.priority, is_new(rank)));
    }

    /// Splits off the steps with tasks that may have crashed a worker; they are placed first. A
    /// suspect needs a worker without recent starts, often the next incarnation of the one that
    /// crashed, and other tasks would soon fill such a worker.
    fn split_suspects(&mut self, ranks: Vec<Rank>) -> (Vec<Rank>, Vec<Rank>) {
        if !std::mem::take(&mut self.has_suspects) {
            return (Vec::new(), ranks);
        }
        let (suspect, others): (Vec<Rank>, Vec<Rank>) =
            ranks.into_iter().partition(|rank| self.has_waiting_suspect(rank));
        self.has_suspects = !suspect.is_empty();
        (suspect, others)
    }

    /// Whether a waiting task of the step is suspected of crashing a worker.
    pub fn has_waiting_suspect(&self, rank: &Rank) -> bool {
        let run =
            self.jobs.get(&rank.job).and_then(|job| job.find_step_run(rank.repetition, rank.step));
        let is_suspect = |task: &Task| is_suspect(&task.crashes, self.repeated_crashes);
        let has_suspect =
            |run: &StepRun| run.waiting.iter().any(|index| is_suspect(&run.tasks[*index as usize]));
        run.is_some_and(has_suspect)
    }

    /// Withholds tasks from workers that were discovered after another node may have claimed
    /// leadership. Such a node can have read the worker list without them and start the same task
    /// on a worker that it knows, so that the task runs twice: for 0.3 s if the worker was
    /// discovered 2.1 s after the last renewal.
    fn update_fencing_uncertain(&mut self, now: Instant) {
        let renewed_at = self.renewed_at;
        let may_withhold = !is_sole_leader(renewed_at, now);
        if !may_withhold && !self.has_fencing_uncertain {
            return;
        }
        let mut has_fencing_uncertain = false;
        self.workers.for_each_mut(|worker| {
            worker.fencing_uncertain = !is_sole_leader(renewed_at, worker.discovered_at);
            has_fencing_uncertain |= worker.fencing_uncertain;
        });
        self.has_fencing_uncertain = has_fencing_uncertain;
    }

    /// Whether a placement round may start something that the last one could not. Ignores what
    /// changes with time alone, such as the end of a backoff: see [`Cell::request_placement`].
    pub fn needs_placement(&mut self) -> bool {
        self.workers.take_freed() || self.placement_pending
    }

    /// Requests a placement round, since with time backoffs end and objectives go out of reach.
    pub fn request_placement(&mut self) {
        self.placement_pending = true;
    }

    /// The most free CPU, in thousandths of a core, on any schedulable worker of a service; `None`
    /// if no worker is schedulable.
    fn max_free_cpu(&self, service: &str, now: Instant) -> Option<u32> {
        let mut eligible = self.workers.eligible_with(service, 0).rev();
        eligible.find(|worker| worker.is_schedulable(now)).map(|worker| worker.free.cpu)
    }

    /// Starts waiting tasks of a step as far as resources allow.
    fn place_step(&mut self, rank: Rank, now: Instant, possible_runs: &PossibleRuns) {
        let Some(entry) = self.jobs.get(&rank.job) else {
            self.ready.remove(&rank);
            return;
        };
        let service = &entry.accepted.service;
        if entry.inherited && possible_runs.services.contains(service) {
            return;
        }
        let Some(step) = entry.step(rank.step) else { return };
        let need = Entry::resources_of(step);
        if rank.is_finite && self.max_free_cpu(service, now).is_none_or(|top| top < need.cpu) {
            return;
        }
        let (service, step) = (service.clone(), step.clone());
        if step.gang {
            let first =
                TaskName { job: rank.job, repetition: rank.repetition, step: rank.step, index: 0 };
            self.request_advice(first, &service, now);
            self.place_gang(rank, &service, &step, now, possible_runs);
        } else {
            self.place_tasks(rank, &service, &step, now, possible_runs);
        }
    }

    /// Starts the waiting tasks of a step one by one until one finds no worker.
    fn place_tasks(
        &mut self,
        rank: Rank,
        service: &str,
        step: &Step,
        now: Instant,
        possible_runs: &PossibleRuns,
    ) {
        let Some(entry) = self.jobs.get_mut(&rank.job) else { return };
        let (account, one) = (entry.accepted.account.clone(), Usage::of(step, 1));
        let Some(run) = entry.step_run_mut(rank.repetition, rank.step) else { return };
        let waiting: Vec<u32> = run.waiting.iter().copied().collect();
        let mut left = waiting.len();
        for index in waiting {
            let task =
                TaskName { job: rank.job, repetition: rank.repetition, step: rank.step, index };
            if possible_runs.tasks.contains(&task) {
                continue;
            }
            let suspicion = self.suspicion(task, now);
            if suspicion == Suspicion::AwaitsStore {
                continue;
            }
            if !self.has_quota_for(account.as_ref(), one) {
                self.history.record(task, Decision::HeldByQuota);
                break;
            }
            let Some(worker) = self.choose_worker(task, service, step, suspicion, now) else {
                self.request_advice(task, service, now);
                if suspicion == Suspicion::Isolate {
                    continue;
                }
                if !rank.is_finite {
                    self.preempt(task, service, step, now);
                }
                // Tasks of a step have the same requirements, except for the workers they avoid.
                break;
            };
            self.start_task(task, &worker, step, now);
            if suspicion != Suspicion::None {
                self.quarantine_worker(task.job, &worker, now);
            }
            left -= 1;
        }
        if left == 0 {
            self.ready.remove(&rank);
        }
    }

    /// The best worker for a task now; `None` if no worker may run it.
    fn choose_worker(
        &mut self,
        task: TaskName,
        service: &str,
        step: &Step,
        suspicion: Suspicion,
        now: Instant,
    ) -> Option<Incarnation> {
        let avoided_workers = self.jobs.get_mut(&task.job)?.task_mut(task)?.avoided_workers.clone();
        let request = Request::new(task, service, step, &avoided_workers).with_suspicion(suspicion);
        let mut examined = 0;
        let mut fits = |worker: &&Worker| {
            examined += 1;
            is_fit(worker, &request, now) && self.is_permitted(task, worker, now)
        };
        let near = step.data_rack.iter();
        let near =
            near.flat_map(|rack| self.workers.eligible_on_rack(service, rack, request.need.cpu));
        let near = best_worker(near.filter(&mut fits), &request);
        let any = best_worker(
            self.workers.eligible_with(service, request.need.cpu).filter(&mut fits),
            &request,
        );
        let best = near.into_iter().chain(any).min_by_key(|worker| cost(worker, &request));
        let best = best.map(|worker| worker.peer.incarnation.clone());
        self.examined_workers += examined;
        best
    }

    /// Whether the advice service permits the task on this worker, if its queue needs advice.
    pub(super) fn is_permitted(&self, task: TaskName, worker: &Worker, now: Instant) -> bool {
        let entry = self.jobs.get(&task.job);
        let needed = entry.is_some_and(|entry| entry.accepted.needs_advice);
        let step = (task.job, task.repetition, task.step);
        !needed || self.advice.ticket(step, &worker.peer.incarnation, now).is_some()
    }

    /// Requests advice about the schedulable workers of the service, those with the most free CPU
    /// first.
    fn request_advice(&mut self, task: TaskName, service: &str, now: Instant) {
        if !self.jobs.get(&task.job).is_some_and(|entry| entry.accepted.needs_advice) {
            return;
        }
        let eligible = self.workers.eligible_with(service, 0).rev();
        let eligible = eligible.filter(|worker| worker.is_schedulable(now));
        let ids = eligible.map(|worker| worker.peer.incarnation.clone());
        self.advice.queue_question((task.job, task.repetition, task.step), ids);
    }

    /// Orders the start of a task and allocates its resources.
    fn start_task(&mut self, name: TaskName, incarnation: &Incarnation, step: &Step, now: Instant) {
        let token = self.token;
        let Some(mut worker) = self.workers.get_mut(incarnation) else { return };
        let Some(entry) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = entry.task_mut(name) else { return };
        let run = next_run(task, token);
        task.last_run = run;
        task.runs += 1;
        task.ordered_at = Some(now);
        let waited = task.waiting_since.take().map(|since| now.saturating_duration_since(since));
        let checkpoint = task.checkpoint.clone();
        if let Some(run) = entry.step_run_mut(name.repetition, name.step) {
            run.waiting.remove(&name.index);
        }
        let allocation = Allocation::new(
            run,
            Phase::Starting,
            Entry::resources_of(step),
            Entry::class_of(step),
            now,
        );
        let is_resumed = !checkpoint.is_empty();
        let claim = entry.claim(name.step);
        worker.insert(name, Allocation { claim, is_resumed, ..allocation });
        let waited = waited.unwrap_or_default();
        self.wait_times.push(waited);
        let waited_ms = waited.as_millis() as u64;
        log::info!(
            task = name.to_string().as_str(),
            run,
            worker:% = incarnation,
            waited_ms,
            free_cpu = worker.free.cpu;
            "start"
        );
        self.history.record(name, Decision::Started { worker: incarnation.clone(), run, waited });
        let peer = worker.peer.clone();
        drop(worker);
        let ticket = self.advice.ticket((name.job, name.repetition, name.step), incarnation, now);
        let ticket = ticket.cloned().unwrap_or_default();
        self.outbox.push(Order::Start { peer, task: name, run, checkpoint, ticket });
    }
}

/// Groups finite steps by priority, the first priority first. Within a priority, jobs that their
/// accounts sent within their rate come before those above it.
fn group_by_priority(ranks: Vec<Rank>) -> Vec<Vec<Rank>> {
    let same = |one: &Rank, other: &Rank| {
        (one.priority, one.is_over_rate) == (other.priority, other.is_over_rate)
    };
    ranks.chunk_by(same).map(<[Rank]>::to_vec).collect()
}

/// The best of some workers that may run a task, those with the least free CPU first. For a batch
/// task the search ends at the first ideal worker.
fn best_worker<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    request: &Request<'_>,
) -> Option<&'a Worker> {
    let mut best: Option<&Worker> = None;
    for worker in workers {
        if best.is_none_or(|best| cost(worker, request) < cost(best, request)) {
            best = Some(worker);
        }
        if best.is_some_and(|best| is_ideal(best, request)) {
            break;
        }
    }
    best
}
