//! Simulates the product's decisions in virtual time: the planner, permits checked by the fold, and
//! the driver's choice of steps.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use spokelift_lib::state::account::Scope;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::id::BoxId;
use spokelift_lib::state::id::PlanId;
use spokelift_lib::state::id::PoolId;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::plan::Progress;
use spokelift_lib::state::planner::Planner;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::StepRef;
use spokelift_lib::state::wave;

use crate::bench::generate::History;
use crate::bench::plan::DECLARED_MAINTENANCE_MS;
use crate::bench::plan::LOST_AFTER_FACTOR;
use crate::bench::plan::Measures;
use crate::bench::plan::Scenario;
use crate::bench::plan::timed;

/// Results of the product, and the time that its decisions took.
pub struct Results {
    pub measures: Measures,
    pub choose_ms: Vec<f64>,
    pub predicted_rollout_seconds: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FailureStarted,
    FailureEnded,
    StepEnded { step: u32, is_lost: bool },
}

fn maintain_all(fleet: &Fleet) -> Intent {
    Intent::Maintain { pools: fleet.pools.keys().cloned().collect() }
}

/// Time that the planner takes for a wave over every pool, in milliseconds.
pub fn plan_ms(history: &History) -> f64 {
    let planner = Planner { fleet: &history.fleet, shapes: &history.shapes, scope: &Scope::Site };
    let intent = maintain_all(&history.fleet);
    let (ms, plan) = timed(|| planner.plan(1 << 40, intent));
    plan.expect("a wave over every pool is feasible");
    ms
}

struct Simulation<'a> {
    history: History,
    scenario: &'a Scenario,
    plan: PlanId,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    measures: Measures,
    choose_ms: Vec<f64>,
}

/// Simulates a wave over every pool.
pub fn simulate_product(mut history: History, scenario: &Scenario) -> Results {
    let plan = history.start_plan(maintain_all(&history.fleet));
    let predicted_rollout_seconds = history.fleet.plans[&plan].predicted.rollout_seconds;
    let mut simulation = Simulation {
        history,
        scenario,
        plan,
        now_ms: 0,
        events: BinaryHeap::new(),
        measures: Measures::default(),
        choose_ms: Vec::new(),
    };
    if let Some(failure) = &scenario.failure {
        simulation.events.push(Reverse((failure.start_ms, Event::FailureStarted)));
        simulation.events.push(Reverse((failure.end_ms, Event::FailureEnded)));
    }
    simulation.start_steps();
    while let Some(Reverse((at_ms, event))) = simulation.events.pop() {
        if simulation.is_over() {
            break;
        }
        simulation.advance_to(at_ms);
        simulation.apply_event(event);
        // All events of the same time are applied before the next choice of steps.
        let has_more = simulation.events.peek().is_some_and(|Reverse((next, _))| *next == at_ms);
        if !has_more {
            simulation.start_steps();
        }
    }
    simulation.count_unfinished();
    Results {
        measures: simulation.measures,
        choose_ms: simulation.choose_ms,
        predicted_rollout_seconds,
    }
}

impl Simulation<'_> {
    fn is_over(&self) -> bool {
        self.history.fleet.plans[&self.plan].phase.is_over()
    }

    fn step_ref(&self, step: u32) -> StepRef {
        StepRef { plan: self.plan, epoch: 1, step }
    }

    fn apply_event(&mut self, event: Event) {
        let failed = self.scenario.failure.as_ref().map(|failure| failure.boxes.clone());
        match event {
            Event::FailureStarted => self.history.append(Body::Down(failed.unwrap_or_default())),
            Event::FailureEnded => self.history.append(Body::Up(failed.unwrap_or_default())),
            Event::StepEnded { step, is_lost } => {
                let outcome = if is_lost { Outcome::Lost } else { Outcome::Done };
                self.measures.not_done += u64::from(is_lost);
                self.history.append(Body::Finish(self.step_ref(step), outcome));
                self.measures.rollout_seconds = self.now_ms as f64 / 1000.0;
            }
        }
    }

    /// Starts the steps that the product would start now.
    fn start_steps(&mut self) {
        let fleet = &self.history.fleet;
        let plan = &fleet.plans[&self.plan];
        let (ms, choice) = timed(|| wave::choose_steps(fleet, plan, &BTreeSet::new()));
        self.choose_ms.push(ms);
        for step in choice.ready {
            self.history.append(Body::Permit(self.step_ref(step)));
            let target = self.target(step);
            let (at_ms, is_lost) = self.step_end(&target);
            self.events.push(Reverse((at_ms, Event::StepEnded { step, is_lost })));
            self.measures.budget_breaches += u64::from(self.exceeds_budget(&target));
        }
    }

    fn target(&self, step: u32) -> BoxId {
        self.history.fleet.plans[&self.plan].steps[step as usize].target.clone()
    }

    /// Time at which the step of a box ends if it starts now, and whether it is abandoned as lost.
    fn step_end(&self, target: &BoxId) -> (u64, bool) {
        let Some(duration_ms) = self.scenario.durations_ms[target] else {
            return (self.now_ms + DECLARED_MAINTENANCE_MS * LOST_AFTER_FACTOR, true);
        };
        let failure = self.scenario.failure.as_ref().filter(|failure| {
            failure.boxes.contains(target)
                && failure.start_ms >= self.now_ms
                && failure.start_ms < self.now_ms + duration_ms
        });
        match failure {
            Some(failure) => (failure.end_ms + duration_ms, false),
            None => (self.now_ms + duration_ms, false),
        }
    }

    /// Checks independently of the fold, from started steps and failed boxes, whether a permit
    /// exceeded a budget.
    fn exceeds_budget(&self, target: &BoxId) -> bool {
        let fleet = &self.history.fleet;
        let pool = &fleet.pools[&fleet.boxes[target].pool];
        let hall = &fleet.boxes[target].shape.hall;
        let failure = self.scenario.failure.as_ref().filter(|failure| failure.is_down(self.now_ms));
        let plan = &fleet.plans[&self.plan];
        let mut out: BTreeSet<&BoxId> = BTreeSet::new();
        for step in plan.steps.iter().filter(|step| pool.boxes.contains(&step.target)) {
            let lost = Progress::Over { outcome: Outcome::Lost };
            if step.progress.is_under_way() || step.progress == lost {
                out.insert(&step.target);
            }
        }
        let failed = failure.iter().flat_map(|failure| &failure.boxes);
        out.extend(failed.filter(|id| pool.boxes.contains(*id)));
        let in_hall = out.iter().filter(|id| fleet.boxes[**id].shape.hall == *hall).count();
        let per_hall = pool.budget.max_out_per_hall.unwrap_or(u32::MAX) as usize;
        out.len() > pool.budget.max_out as usize || in_hall > per_hall
    }

    /// Advances the virtual time to `at_ms` and adds up the spare capacity that each pool reserves
    /// until then: the boxes that it may still take out.
    fn advance_to(&mut self, at_ms: u64) {
        let reserved: u64 = self
            .remaining_steps()
            .into_iter()
            .map(|(pool, remaining)| self.reserved_boxes(&pool, remaining))
            .sum();
        self.measures.buffer_cost_box_seconds +=
            reserved as f64 * (at_ms - self.now_ms) as f64 / 1000.0;
        self.now_ms = at_ms;
    }

    /// Steps that have not ended, by pool.
    fn remaining_steps(&self) -> BTreeMap<PoolId, u64> {
        let fleet = &self.history.fleet;
        let mut remaining: BTreeMap<PoolId, u64> = BTreeMap::new();
        for step in &fleet.plans[&self.plan].steps {
            if !step.progress.is_over() {
                *remaining.entry(fleet.boxes[&step.target].pool.clone()).or_default() += 1;
            }
        }
        remaining
    }

    fn reserved_boxes(&self, pool: &PoolId, remaining: u64) -> u64 {
        let fleet = &self.history.fleet;
        let plan = &fleet.plans[&self.plan];
        let pool_state = &fleet.pools[pool];
        let down = pool_state.boxes.iter().filter(|id| fleet.boxes[*id].down).count() as u64;
        let free = u64::from(pool_state.budget.max_out).saturating_sub(down);
        let out =
            fleet.boxes_out(pool_state).filter(|(_, entry)| entry.out.is_some()).count() as u64;
        // Boxes that are out count in any case; others only as far as they may still be taken out.
        out.max(u64::from(plan.width_of(pool)).min(remaining).min(free))
    }

    /// Counts the steps that never started because their boxes stayed down.
    fn count_unfinished(&mut self) {
        let remaining: u64 = self.remaining_steps().values().sum();
        self.measures.not_done += remaining;
    }
}
