//! Properties of the fold under arbitrary interleaving and duplication of records: every box is in
//! one pool and no budget is exceeded.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spokelift_lib::state::account::Scope;
use spokelift_lib::state::config::Document;
use spokelift_lib::state::config::Shapes;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Shape;
use spokelift_lib::state::id::DaemonId;
use spokelift_lib::state::id::Offset;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::planner::Planner;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Control;
use spokelift_lib::state::record::Record;
use spokelift_lib::state::record::StepRef;
use spokelift_lib::state::snapshot;

const BOXES: usize = 12;

fn shapes() -> Shapes {
    let shape = |index: usize| Shape {
        addr: "127.0.0.1:1".parse().unwrap(),
        hall: format!("hall-{}", index / 4).into(),
        rack: format!("rack-{}", index / 2).into(),
        slots: 8,
        memory_mb: 1024,
    };
    (0..BOXES).map(|index| (format!("box-{index}").into(), shape(index))).collect()
}

fn config() -> String {
    let boxes = |range: std::ops::Range<usize>| {
        let names: Vec<String> = range.map(|index| format!("\"box-{index}\"")).collect();
        names.join(", ")
    };
    format!(
        "[[account]]\nname = \"a\"\n[[account]]\nname = \"b\"\n\
         [[pool]]\nname = \"front\"\naccount = \"a\"\nmax_out = 2\nmax_out_per_hall = 1\n\
         boxes = [{}]\n\
         [[pool]]\nname = \"back\"\naccount = \"b\"\nmax_out = 1\nboxes = [{}]\n\
         [[service]]\nname = \"s\"\naccount = \"a\"\npool = \"front\"\nslots = 4\nmin_up = 2\n",
        boxes(0..7),
        boxes(7..11),
    )
}

/// A fleet after the configuration was published.
fn published() -> Fleet {
    let mut fleet = Fleet::default();
    let document = Document::parse(&config()).unwrap();
    let change = document.compile(&fleet, &shapes(), &Scope::Site).unwrap();
    let record = Record { id: 1, body: Body::Publish(change) };
    let batch = Batch { writer: 0, incarnation: 1, sequence: 1, records: vec![record] };
    assert!(fleet.apply(0, &batch)[0].1.is_ok());
    fleet
}

/// The next step of a random writer, whose view of the fleet may be out of date.
#[derive(Clone, Debug)]
enum Operation {
    Propose(Intent),
    Confirm(usize),
    Drive(usize, DaemonId),
    Permit(usize, u32),
    Assign(usize, u32),
    Finish(usize, u32, Outcome),
    Control(usize, Control),
    Down(usize),
    Up(usize),
    Mark,
    Duplicate,
}

fn intents() -> impl Strategy<Value = Intent> {
    prop_oneof![
        (1u32..3).prop_map(|boxes| Intent::Move { from: "front".into(), to: "back".into(), boxes }),
        (1u32..3).prop_map(|boxes| Intent::Move { from: "back".into(), to: "front".into(), boxes }),
        Just(Intent::Maintain { pools: vec!["front".into(), "back".into()] }),
        (3u32..8).prop_map(|boxes| Intent::Resize { pool: "front".into(), boxes }),
        (0u32..7).prop_map(|replicas| Intent::Place {
            account: "a".into(),
            service: "s".into(),
            replicas,
        }),
    ]
}

fn operations() -> impl Strategy<Value = Operation> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Done),
        1 => Just(Outcome::Lost),
        1 => Just(Outcome::DrainLimit),
        1 => Just(Outcome::Down),
    ];
    let control = prop_oneof![Just(Control::Pause), Just(Control::Resume), Just(Control::Abort)];
    prop_oneof![
        3 => intents().prop_map(Operation::Propose),
        4 => (0usize..4).prop_map(Operation::Confirm),
        4 => (0usize..4, 0u16..3).prop_map(|(plan, daemon)| Operation::Drive(plan, daemon)),
        9 => (0usize..4, 0u32..8).prop_map(|(plan, step)| Operation::Permit(plan, step)),
        6 => (0usize..4, 0u32..8).prop_map(|(plan, step)| Operation::Assign(plan, step)),
        6 => (0usize..4, 0u32..8, outcome).prop_map(|(plan, step, o)| Operation::Finish(plan, step, o)),
        1 => (0usize..4, control).prop_map(|(plan, action)| Operation::Control(plan, action)),
        2 => (0usize..BOXES).prop_map(Operation::Down),
        2 => (0usize..BOXES).prop_map(Operation::Up),
        1 => Just(Operation::Mark),
        2 => Just(Operation::Duplicate),
    ]
}

/// The record of an operation; its epochs and bases come from `view`, which may be out of date.
fn body(operation: &Operation, view: &Fleet, id: u64) -> Option<Body> {
    let plan = |index: &usize| view.plans.values().nth(*index);
    let step_ref = |index: &usize, step: &u32| {
        let plan = plan(index)?;
        Some(StepRef { plan: plan.id, epoch: plan.driver.epoch, step: *step })
    };
    let name = |index: &usize| vec![format!("box-{index}").into()];
    Some(match operation {
        Operation::Propose(intent) => {
            let planner = Planner { fleet: view, shapes: &shapes(), scope: &Scope::Site };
            Body::Propose(planner.plan(id, intent.clone()).ok()?)
        }
        Operation::Confirm(index) => Body::Confirm(plan(index)?.id),
        Operation::Drive(index, holder) => {
            let plan = plan(index)?;
            Body::Drive { plan: plan.id, holder: *holder, epoch: plan.driver.epoch + 1 }
        }
        Operation::Permit(index, step) => Body::Permit(step_ref(index, step)?),
        Operation::Assign(index, step) => Body::Assign(step_ref(index, step)?),
        Operation::Finish(index, step, outcome) => Body::Finish(step_ref(index, step)?, *outcome),
        Operation::Control(index, action) => {
            Body::Control { plan: plan(index)?.id, action: *action }
        }
        Operation::Down(index) => Body::Down(name(index)),
        Operation::Up(index) => Body::Up(name(index)),
        Operation::Mark => Body::Mark { after: view.marked },
        Operation::Duplicate => return None,
    })
}

/// Number of boxes of a pool that are out on a permit, and that are out in all.
fn count_out(fleet: &Fleet, pool: &str) -> (u32, u32) {
    let pool = &fleet.pools[pool];
    let out: Vec<_> = fleet.boxes_out(pool).collect();
    let permitted = out.iter().filter(|(_, entry)| entry.out.is_some()).count();
    (permitted as u32, out.len() as u32)
}

fn check_invariants(before: &Fleet, after: &Fleet, body: &Body, is_accepted: bool) {
    let mut pooled = BTreeSet::new();
    for (name, pool) in &after.pools {
        for id in &pool.boxes {
            assert!(pooled.insert(id.clone()), "{id} is in two pools");
            assert_eq!(after.boxes[id].pool, *name);
        }
    }
    assert_eq!(pooled.len(), after.boxes.len(), "every box is in a pool");
    for service in after.services.values() {
        assert!(service.placed.is_disjoint(&service.starting));
        for id in service.placed.iter().chain(&service.starting) {
            assert_eq!(after.boxes[id].pool, service.pool, "a job runs outside of its pool");
        }
    }
    if let (Body::Permit(step_ref), true) = (body, is_accepted) {
        let target = &after.plans[&step_ref.plan].steps[step_ref.step as usize].target;
        let pool = &after.boxes[target].pool;
        let budget = after.pools[pool].budget;
        assert!(count_out(after, pool).1 <= budget.max_out, "{pool} is over its budget");
        for service in after.services.values() {
            let has_decreased = after.replicas_up(service) < before.replicas_up(service);
            assert!(!has_decreased || after.replicas_up(service) >= service.min_up);
        }
    }
    if !is_accepted {
        let mut same = before.clone();
        same.next = after.next;
        same.verdicts = after.verdicts.clone();
        same.writers = after.writers.clone();
        assert_eq!(same, *after, "a refused record changed something: {body:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        // A fixed seed, so that every run checks the same cases.
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Writers with outdated views and duplicate batches never violate the invariants. A reader that
    /// starts from a snapshot, or reads the whole log again, reaches the same state.
    #[test]
    fn invariants_hold_for_any_history(
        history in prop::collection::vec((operations(), 0usize..6, 0u16..3), 1..120),
        cut in 0usize..120,
    ) {
        let mut fleet = published();
        let mut past = vec![fleet.clone()];
        let mut log: Vec<(Offset, Batch)> = Vec::new();
        let mut sequences = [1u64, 0, 0];
        let mut snapshot = None;
        for (index, (operation, lag, writer)) in history.iter().enumerate() {
            let view = &past[past.len().saturating_sub(1 + lag)];
            let batch = match body(operation, view, index as u64 + 10) {
                Some(body) => {
                    sequences[usize::from(*writer)] += 1;
                    let sequence = sequences[usize::from(*writer)];
                    let record = Record { id: index as u128 + 10, body };
                    Batch { writer: *writer, incarnation: 1, sequence, records: vec![record] }
                }
                // An earlier batch is repeated, as after a lost answer.
                None => match log.get(index / 2) {
                    Some((_, batch)) => batch.clone(),
                    None => continue,
                },
            };
            let offset = fleet.next;
            let before = fleet.clone();
            let verdicts = fleet.apply(offset, &batch);
            let is_accepted = verdicts.first().is_some_and(|(_, verdict)| verdict.is_ok());
            check_invariants(&before, &fleet, &batch.records[0].body, is_accepted);
            log.push((offset, batch));
            past.push(fleet.clone());
            if index == cut {
                snapshot = Some(snapshot::encode(&fleet));
            }
        }
        let mut replayed = published();
        for (offset, batch) in &log {
            replayed.apply(*offset, &Batch::decode(&batch.encode().unwrap()).unwrap());
        }
        prop_assert_eq!(&replayed, &fleet);
        if let Some(encoded) = snapshot {
            let digest = snapshot::digest(&encoded);
            let mut restored = snapshot::decode(&encoded, 0, digest).unwrap();
            let from = restored.next;
            for (offset, batch) in log.iter().filter(|(offset, _)| *offset >= from) {
                restored.apply(*offset, batch);
            }
            prop_assert_eq!(&restored, &fleet);
            prop_assert_eq!(snapshot::encode(&restored), snapshot::encode(&fleet));
        }
    }

    /// Duplicates of a batch change nothing, wherever they follow it.
    #[test]
    fn duplicate_batches_change_nothing(copies in prop::collection::vec(0usize..8, 0..20)) {
        let mut without_copies = published();
        let mut with_copies = published();
        let batch = |sequence: u64| {
            let body = Body::Down(vec![format!("box-{sequence}").into()]);
            let records = vec![Record { id: sequence.into(), body }];
            Batch { writer: 1, incarnation: 5, sequence, records }
        };
        for index in 0..8 {
            without_copies.apply(without_copies.next, &batch(index + 1));
            with_copies.apply(with_copies.next, &batch(index + 1));
            for copy in copies.iter().filter(|copy| **copy as u64 <= index) {
                with_copies.apply(with_copies.next, &batch(*copy as u64 + 1));
            }
        }
        prop_assert_eq!(without_copies.boxes.values().map(|e| e.down).collect::<Vec<_>>(),
                        with_copies.boxes.values().map(|e| e.down).collect::<Vec<_>>());
        prop_assert_eq!(without_copies.verdicts.len(), with_copies.verdicts.len());
    }
}

#[test]
fn a_batch_of_an_earlier_incarnation_is_refused() {
    let mut fleet = published();
    let batch = |incarnation, sequence| Batch {
        writer: 0,
        incarnation,
        sequence,
        records: vec![Record { id: 7, body: Body::Down(vec!["box-1".into()]) }],
    };
    assert!(fleet.apply(fleet.next, &batch(9, 1))[0].1.is_ok());
    let late = fleet.apply(fleet.next, &batch(1, 2));
    assert!(late[0].1.is_err(), "the append of an earlier incarnation arrives late");
}
