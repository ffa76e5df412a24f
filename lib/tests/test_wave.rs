//! The planner's choice of steps agrees with the replicated state: every chosen step is permitted,
//! in the order chosen, and when nothing more is chosen nothing more would be permitted.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spokelift_lib::state::account::Scope;
use spokelift_lib::state::config::Document;
use spokelift_lib::state::config::Shapes;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Shape;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::plan::Plan;
use spokelift_lib::state::plan::Progress;
use spokelift_lib::state::planner::Planner;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Record;
use spokelift_lib::state::record::StepRef;
use spokelift_lib::state::wave::choose_steps;

const PLAN: u64 = 1;

struct Site {
    fleet: Fleet,
    shapes: Shapes,
}

impl Site {
    fn apply(&mut self, body: Body) -> bool {
        let sequence = self.fleet.next + 1;
        let records = vec![Record { id: sequence.into(), body }];
        let batch = Batch { writer: 1, incarnation: 1, sequence, records };
        self.fleet.apply(self.fleet.next, &batch)[0].1.is_ok()
    }

    fn start(&mut self, id: u64, intent: Intent) {
        let planner = Planner { fleet: &self.fleet, shapes: &self.shapes, scope: &Scope::Site };
        let Ok(plan) = planner.plan(id, intent) else {
            return;
        };
        assert!(self.apply(Body::Propose(plan)));
        assert!(self.apply(Body::Confirm(id)));
        assert!(self.apply(Body::Drive { plan: id, holder: 1, epoch: 1 }));
    }

    fn plan(&self) -> &Plan {
        &self.fleet.plans[&PLAN]
    }
}

fn claim(step: u32) -> StepRef {
    StepRef { plan: PLAN, epoch: 1, step }
}

fn site(boxes: usize, limits: (u32, u32, u32), min_up: u32, replicas: u32) -> Site {
    let shape = |index: usize| Shape {
        addr: "127.0.0.1:1".parse().unwrap(),
        hall: format!("hall-{}", index % 3).into(),
        rack: format!("rack-{}", index % 6).into(),
        slots: 8,
        memory_mb: 100,
    };
    let shapes: Shapes = (0..boxes).map(|i| (format!("box-{i}").into(), shape(i))).collect();
    let names: Vec<String> = (0..boxes).map(|index| format!("\"box-{index}\"")).collect();
    let (pool, hall, rack) = limits;
    let text = format!(
        "[[account]]\nname = \"a\"\n[[pool]]\nname = \"p\"\naccount = \"a\"\nmax_out = {pool}\n\
         max_out_per_hall = {}\nmax_out_per_rack = {}\nweigh = \"rollout\"\nboxes = [{}]\n\
         [[service]]\nname = \"s\"\naccount = \"a\"\npool = \"p\"\nslots = 1\nmin_up = {min_up}\n",
        hall.min(pool),
        rack.min(pool),
        names.join(", "),
    );
    let mut site = Site { fleet: Fleet::default(), shapes };
    let document = Document::parse(&text).unwrap();
    let change = document.compile(&site.fleet, &site.shapes, &Scope::Site).unwrap();
    assert!(site.apply(Body::Publish(change)));
    let place = Intent::Place { account: "a".into(), service: "s".into(), replicas };
    site.start(2, place);
    if let Some(plan) = site.fleet.plans.get(&2).cloned() {
        for step in 0..plan.steps.len() as u32 {
            let claim = StepRef { plan: 2, epoch: 1, step };
            assert!(site.apply(Body::Assign(claim)));
            assert!(site.apply(Body::Finish(claim, Outcome::Done)));
        }
    }
    site.start(PLAN, Intent::Maintain { pools: vec!["p".into()] });
    site
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        // Fixed seed: the same fleets in each run, so that the result is reproducible.
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn chosen_steps_are_permitted_and_complete(
        boxes in 6usize..20,
        limits in (1u32..5, 1u32..4, 1u32..3),
        min_up in 0u32..2,
        replicas in 2u32..6,
        events in prop::collection::vec((0usize..20, prop::bool::ANY), 0..12),
    ) {
        let mut site = site(boxes, limits, min_up, replicas);
        for (number, down) in events {
            let begin = choose_steps(&site.fleet, site.plan(), &BTreeSet::new()).ready;
            for step in begin {
                prop_assert!(site.apply(Body::Permit(claim(step))), "step {step} was chosen");
            }
            let width = site.plan().width_of("p");
            let started_steps = site.plan().steps.iter().filter(|s| s.progress.is_under_way()).count();
            for step in 0..site.plan().steps.len() as u32 {
                let waiting = site.plan().steps[step as usize].progress == Progress::Waiting;
                let mut other = Site { fleet: site.fleet.clone(), shapes: site.shapes.clone() };
                let permitted = other.apply(Body::Permit(claim(step)));
                let more = waiting && permitted && (started_steps as u32) < width;
                prop_assert!(!more, "step {step} could have begun");
            }
            let target = format!("box-{number}").into();
            if down {
                site.apply(Body::Down(vec![target]));
            } else {
                site.apply(Body::Up(vec![target]));
            }
            let started = site.plan().steps.iter().position(|step| step.progress.is_under_way());
            if let Some(step) = started {
                prop_assert!(site.apply(Body::Finish(claim(step as u32), Outcome::Done)));
            }
            if site.plan().phase.is_over() {
                break;
            }
        }
    }
}
