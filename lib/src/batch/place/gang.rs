//! Gang scheduling: tasks that start together or not at all.

use std::collections::HashMap;
use std::time::Instant;

use spokelift_platform::job::Step;
use spokelift_platform::job::TaskName;
use spokelift_platform::worker::Incarnation;
use spokelift_platform::worker::Resources;

use crate::batch::cell::Cell;
use crate::batch::cell::PossibleRuns;
use crate::batch::cell::Rank;
use crate::batch::job::Entry;
use crate::batch::place::fit::Request;
use crate::batch::place::fit::cost;
use crate::batch::place::fit::is_fit;
use crate::batch::place::quarantine::Suspicion;
use crate::batch::usage::Usage;
use crate::batch::worker::Worker;

/// Resources that already placed members of a gang take of each worker, and the number of these
/// members.
type Assigned = HashMap<Incarnation, (Resources, u32)>;

impl Cell {
    /// Starts all members of a gang, or none.
    pub(super) fn place_gang(
        &mut self,
        rank: Rank,
        service: &str,
        step: &Step,
        now: Instant,
        possible_runs: &PossibleRuns,
    ) {
        let Rank { repetition, step: number, job, .. } = rank;
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let Some(run) = entry.step_run_mut(repetition, number) else { return };
        if run.waiting.len() < run.tasks.len() {
            return;
        }
        let all = Usage::of(step, run.tasks.len() as u64);
        let indices = 0..run.tasks.len() as u32;
        let account = entry.accepted.account.clone();
        let members: Vec<TaskName> =
            indices.map(|index| TaskName { job, repetition, step: number, index }).collect();
        if !self.has_quota_for(account.as_ref(), all) {
            return;
        }
        // All members run together, so one that may still run elsewhere blocks the whole gang.
        if members.iter().any(|member| possible_runs.tasks.contains(member)) {
            return;
        }
        let awaits_store =
            |member: &TaskName| self.suspicion(*member, now) == Suspicion::AwaitsStore;
        if members.iter().any(awaits_store) {
            return;
        }
        let racks = self.candidate_racks(service, step);
        let mut choices = racks
            .iter()
            .filter_map(|rack| self.choose_members(&members, service, step, rack.as_deref(), now));
        let Some(chosen) = choices.next() else { return };
        self.start_gang(rank, chosen, step, now);
        self.ready.remove(&rank);
    }

    /// Starts the members of a gang with one common run number and from one checkpoint.
    fn start_gang(
        &mut self,
        rank: Rank,
        chosen: Vec<(TaskName, Incarnation)>,
        step: &Step,
        now: Instant,
    ) {
        let Some(entry) = self.jobs.get_mut(&rank.job) else { return };
        let Some(run) = entry.step_run_mut(rank.repetition, rank.step) else { return };
        let last = run.tasks.iter().map(|task| task.last_run).max().unwrap_or(0);
        let saved = run.tasks.iter().find(|task| !task.checkpoint.is_empty());
        let checkpoint = saved.map(|task| task.checkpoint.clone()).unwrap_or_default();
        for task in &mut run.tasks {
            task.last_run = last;
            task.checkpoint.clone_from(&checkpoint);
        }
        for (task, worker) in chosen {
            self.start_task(task, &worker, step, now);
        }
    }

    /// The racks to try for a gang, in this order; `None` stands for any mix of racks.
    fn candidate_racks(&self, service: &str, step: &Step) -> Vec<Option<String>> {
        let mut racks = Vec::new();
        if step.same_rack {
            let workers = self.workers.of_service(service);
            let mut names: Vec<String> =
                workers.filter_map(|worker| worker.entry.rack().map(str::to_owned)).collect();
            names.sort();
            names.dedup();
            racks.extend(names.into_iter().map(Some));
        }
        racks.push(None);
        racks
    }

    /// Chooses a worker for each member; `None` if the resources do not suffice for all.
    fn choose_members(
        &self,
        members: &[TaskName],
        service: &str,
        step: &Step,
        rack: Option<&str>,
        now: Instant,
    ) -> Option<Vec<(TaskName, Incarnation)>> {
        let need = Entry::resources_of(step);
        let mut chosen = Vec::new();
        let mut assigned = Assigned::new();
        for task in members {
            let worker = self.choose_member(*task, service, step, rack, &assigned, now)?;
            let (sum, count) = assigned.entry(worker.clone()).or_default();
            *sum = add_resources(*sum, need);
            *count += 1;
            chosen.push((*task, worker));
        }
        Some(chosen)
    }

    /// The best worker for one member, given what other members already take.
    fn choose_member(
        &self,
        task: TaskName,
        service: &str,
        step: &Step,
        rack: Option<&str>,
        assigned: &Assigned,
        now: Instant,
    ) -> Option<Incarnation> {
        let request = Request::new(task, service, step, &[]);
        let fits = |worker: &&Worker| {
            let (sum, count) = assigned.get(&worker.peer.incarnation).copied().unwrap_or_default();
            let resources = add_resources(sum, request.need);
            let is_within_spread = step.max_per_worker == 0
                || worker.count_of_step(task) + count < step.max_per_worker;
            let is_on_rack = rack.is_none() || worker.entry.rack() == rack;
            let fits = worker.fits(resources) && is_fit(worker, &request, now);
            is_within_spread && is_on_rack && fits && self.is_permitted(task, worker, now)
        };
        let eligible = self.workers.eligible_with(service, request.need.cpu);
        let best = eligible.filter(fits).min_by_key(|worker| cost(worker, &request));
        best.map(|worker| worker.peer.incarnation.clone())
    }
}

fn add_resources(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu: one.cpu + other.cpu,
        memory_mb: one.memory_mb + other.memory_mb,
        gpu: one.gpu + other.gpu,
    }
}
