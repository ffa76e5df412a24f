//! The product's own decisions in virtual time: planner, permits judged by the fold, and the choice of
//! steps that the driver makes.

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

/// What the product came to, and how long it thought.
pub struct Results {
    pub measures: Measures,
    pub choose_ms: Vec<f64>,
    pub predicted_rollout_seconds: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FailureStarted,
    FailureEnded,
    StepEnded { step: u32, lost: bool },
}

fn maintain_all(fleet: &Fleet) -> Intent {
    Intent::Maintain { pools: fleet.pools.keys().cloned().collect() }
}

/// How long the planner takes for a wave over every pool, in milliseconds.
pub fn plan_ms(history: &History) -> f64 {
    let planner = Planner { fleet: &history.fleet, shapes: &history.shapes, scope: &Scope::Site };
    let intent = maintain_all(&history.fleet);
    let (ms, plan) = timed(|| planner.plan(1 << 40, intent));
    plan.expect("a wave over every pool has a plan");
    ms
}

struct Simulation<'a> {
    history: History,
    fate: &'a Scenario,
    plan: PlanId,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    measures: Measures,
    choose_ms: Vec<f64>,
}

/// Carries out a wave over every pool.
pub fn simulate_product(mut history: History, fate: &Scenario) -> Results {
    let plan = history.start_plan(maintain_all(&history.fleet));
    let predicted_rollout_seconds = history.fleet.plans[&plan].predicted.rollout_seconds;
    let mut run = Simulation {
        history,
        fate,
        plan,
        now_ms: 0,
        events: BinaryHeap::new(),
        measures: Measures::default(),
        choose_ms: Vec::new(),
    };
    if let Some(failure) = &fate.failure {
        run.events.push(Reverse((failure.start_ms, Event::FailureStarted)));
        run.events.push(Reverse((failure.end_ms, Event::FailureEnded)));
    }
    run.start_steps();
    while let Some(Reverse((at, event))) = run.events.pop() {
        if run.is_over() {
            break;
        }
        run.advance_to(at);
        run.apply_event(event);
        // Everything that happens at the same moment is seen before the next choice.
        let more = run.events.peek().is_some_and(|Reverse((next, _))| *next == at);
        if !more {
            run.start_steps();
        }
    }
    run.count_unfinished();
    Results { measures: run.measures, choose_ms: run.choose_ms, predicted_rollout_seconds }
}

impl Simulation<'_> {
    fn is_over(&self) -> bool {
        self.history.fleet.plans[&self.plan].phase.is_over()
    }

    fn claim(&self, step: u32) -> StepRef {
        StepRef { plan: self.plan, epoch: 1, step }
    }

    fn apply_event(&mut self, event: Event) {
        let failed = self.fate.failure.as_ref().map(|failure| failure.boxes.clone());
        match event {
            Event::FailureStarted => self.history.append(Body::Down(failed.unwrap_or_default())),
            Event::FailureEnded => self.history.append(Body::Up(failed.unwrap_or_default())),
            Event::StepEnded { step, lost } => {
                let outcome = if lost { Outcome::Lost } else { Outcome::Done };
                self.measures.not_done += u64::from(lost);
                self.history.append(Body::Finish(self.claim(step), outcome));
                self.measures.rollout_seconds = self.now_ms as f64 / 1000.0;
            }
        }
    }

    /// Begins the steps that the product would begin now.
    fn start_steps(&mut self) {
        let fleet = &self.history.fleet;
        let plan = &fleet.plans[&self.plan];
        let (ms, choice) = timed(|| wave::choose_steps(fleet, plan, &BTreeSet::new()));
        self.choose_ms.push(ms);
        for step in choice.ready {
            self.history.append(Body::Permit(self.claim(step)));
            let target = self.target(step);
            let (at, lost) = self.step_end(&target);
            self.events.push(Reverse((at, Event::StepEnded { step, lost })));
            self.measures.budget_breaches += u64::from(self.exceeds_budget(&target));
        }
    }

    fn target(&self, step: u32) -> BoxId {
        self.history.fleet.plans[&self.plan].steps[step as usize].target.clone()
    }

    fn step_end(&self, target: &BoxId) -> (u64, bool) {
        let Some(takes) = self.fate.durations_ms[target] else {
            return (self.now_ms + DECLARED_MAINTENANCE_MS * LOST_AFTER_FACTOR, true);
        };
        let fails = self.fate.failure.as_ref().filter(|failure| {
            failure.boxes.contains(target)
                && failure.start_ms >= self.now_ms
                && failure.start_ms < self.now_ms + takes
        });
        match fails {
            Some(failure) => (failure.end_ms + takes, false),
            None => (self.now_ms + takes, false),
        }
    }

    /// Counts for itself, from what it did and what failed, whether a permit went over a budget.
    fn exceeds_budget(&self, target: &BoxId) -> bool {
        let fleet = &self.history.fleet;
        let pool = &fleet.pools[&fleet.boxes[target].pool];
        let hall = &fleet.boxes[target].shape.hall;
        let failure = self.fate.failure.as_ref().filter(|failure| failure.is_down(self.now_ms));
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

    /// Adds up the spare that each pool's wave holds until `at`: what it may still have out.
    fn advance_to(&mut self, at: u64) {
        let held: u64 = self
            .remaining_steps()
            .into_iter()
            .map(|(pool, left)| self.reserved_boxes(&pool, left))
            .sum();
        self.measures.buffer_cost_box_seconds += held as f64 * (at - self.now_ms) as f64 / 1000.0;
        self.now_ms = at;
    }

    /// Steps that have not ended, by pool.
    fn remaining_steps(&self) -> BTreeMap<PoolId, u64> {
        let fleet = &self.history.fleet;
        let mut left: BTreeMap<PoolId, u64> = BTreeMap::new();
        for step in &fleet.plans[&self.plan].steps {
            if !step.progress.is_over() {
                *left.entry(fleet.boxes[&step.target].pool.clone()).or_default() += 1;
            }
        }
        left
    }

    fn reserved_boxes(&self, pool: &PoolId, left: u64) -> u64 {
        let fleet = &self.history.fleet;
        let plan = &fleet.plans[&self.plan];
        let pool_state = &fleet.pools[pool];
        let down = pool_state.boxes.iter().filter(|id| fleet.boxes[*id].down).count() as u64;
        let free = u64::from(pool_state.budget.max_out).saturating_sub(down);
        let out =
            fleet.boxes_out(pool_state).filter(|(_, entry)| entry.out.is_some()).count() as u64;
        // What is out is held in any case; beyond it only what may still go out.
        out.max(u64::from(plan.width_of(pool)).min(left).min(free))
    }

    /// What never had its turn, since its box stayed down.
    fn count_unfinished(&mut self) {
        let left: u64 = self.remaining_steps().values().sum();
        self.measures.not_done += left;
    }
}
