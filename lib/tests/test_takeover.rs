//! A model check of the rule for leases and takeovers: every interleaving of two drivers, one of
//! them paused anywhere, against a box that compares fences.
//!
//! Each driver does for one step: drive, permit, command drain, command reboot, finish. A paused
//! driver is one whose next action comes arbitrarily late, so enumerating all interleavings covers
//! every pause. The box reboots at most once for the step, and never once it serves again.

use std::collections::HashSet;

use spokelift_lib::state::account::Scope;
use spokelift_lib::state::config::Document;
use spokelift_lib::state::config::Shapes;
use spokelift_lib::state::fleet::Fleet;
use spokelift_lib::state::fleet::Shape;
use spokelift_lib::state::id::Offset;
use spokelift_lib::state::plan::Intent;
use spokelift_lib::state::plan::Outcome;
use spokelift_lib::state::planner::Planner;
use spokelift_lib::state::record::Batch;
use spokelift_lib::state::record::Body;
use spokelift_lib::state::record::Claim;
use spokelift_lib::state::record::Record;
use spokelift_lib::state::snapshot;

const PLAN: u64 = 7;

/// The box: what the workers' protocol says it remembers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Worker {
    fence: Offset,
    rebooted_for: Option<Offset>,
    reboots: u32,
    draining: bool,
}

impl Worker {
    /// Whether the command was taken; `compare` is off in the broken model.
    fn takes(&mut self, fence: Offset, compare: bool) -> bool {
        if compare && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }
}

/// Where a driver is; each holds what it has seen, which may be out of date by the time it acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum At {
    Start,
    Driving { epoch: u32 },
    Permitted { epoch: u32, permit: Offset, fence: Offset },
    Drained { epoch: u32, permit: Offset, fence: Offset },
    Rebooted { epoch: u32, fence: Offset },
    Resumed { epoch: u32 },
    Over,
}

#[derive(Clone)]
struct World {
    fleet: Fleet,
    worker: Worker,
    drivers: [At; 2],
    sequences: [u64; 2],
}

fn start() -> World {
    let shape = Shape {
        addr: "127.0.0.1:1".parse().unwrap(),
        hall: "h".into(),
        rack: "r".into(),
        slots: 1,
        memory_mb: 1,
    };
    let shapes: Shapes = [("box-0", ()), ("box-1", ())]
        .into_iter()
        .map(|(name, ())| (name.into(), shape.clone()))
        .collect();
    let text = "[[account]]\nname = \"a\"\n[[pool]]\nname = \"p\"\naccount = \"a\"\nmax_out = 1\n\
                boxes = [\"box-0\", \"box-1\"]";
    let mut fleet = Fleet::default();
    let change = Document::parse(text).unwrap().compile(&fleet, &shapes, &Scope::Site).unwrap();
    let mut put = |body| {
        let sequence = fleet.next + 1;
        let records = vec![Record { id: sequence.into(), body }];
        let batch = Batch { writer: 9, incarnation: 1, sequence, records };
        assert!(fleet.apply(fleet.next, &batch)[0].1.is_ok());
        fleet.clone()
    };
    let fleet = put(Body::Publish(change));
    let planner = Planner { fleet: &fleet, shapes: &shapes, scope: &Scope::Site };
    let plan = planner.plan(PLAN, Intent::Maintain { pools: vec!["p".into()] }).unwrap();
    put(Body::Propose(plan));
    let fleet = put(Body::Confirm(PLAN));
    let worker = Worker::default();
    World { fleet, worker, drivers: [At::Start; 2], sequences: [0; 2] }
}

impl World {
    fn append(&mut self, who: usize, body: Body) -> Option<Offset> {
        self.sequences[who] += 1;
        let sequence = self.sequences[who];
        let records = vec![Record { id: u128::from(sequence) + 1000 * (who as u128 + 1), body }];
        let batch = Batch { writer: who as u16, incarnation: 1, sequence, records };
        let verdict = self.fleet.apply(self.fleet.next, &batch).remove(0).1;
        verdict.ok()
    }

    fn target(&self) -> &str {
        &self.fleet.plans[&PLAN].steps[0].target
    }

    /// The product's fence: above every earlier epoch and change that the driver has seen.
    fn fence(&self) -> Offset {
        let version = self.fleet.boxes[self.target()].version;
        version.max(self.fleet.plans[&PLAN].driver.fence)
    }

    /// One action of one driver. A driver that is refused stops, as the product's does.
    fn act(&mut self, who: usize, compare: bool) {
        let claim = |epoch| Claim { plan: PLAN, epoch, step: 0 };
        self.drivers[who] = match self.drivers[who] {
            At::Start => {
                let epoch = self.fleet.plans[&PLAN].driver.epoch + 1;
                let drive = Body::Drive { plan: PLAN, holder: who as u16, epoch };
                match self.append(who, drive) {
                    Some(_) => At::Driving { epoch },
                    None => At::Over,
                }
            }
            At::Driving { epoch } => {
                let begun = self.fleet.plans[&PLAN].steps[0].progress.permit();
                let permit = begun.or_else(|| self.append(who, Body::Permit(claim(epoch))));
                let current = self.fleet.plans[&PLAN].driver.epoch == epoch;
                match permit {
                    Some(permit) if current => At::Permitted { epoch, permit, fence: self.fence() },
                    _ => At::Over,
                }
            }
            At::Permitted { epoch, permit, fence } => {
                if self.worker.takes(fence, compare) {
                    self.worker.draining = true;
                    At::Drained { epoch, permit, fence }
                } else {
                    At::Over
                }
            }
            At::Drained { epoch, permit, fence } => {
                if self.worker.takes(fence, compare) {
                    if self.worker.rebooted_for != Some(permit) || !compare {
                        assert!(self.worker.draining, "a box that serves was rebooted");
                        self.worker.rebooted_for = Some(permit);
                        self.worker.reboots += 1;
                    }
                    At::Rebooted { epoch, fence }
                } else {
                    At::Over
                }
            }
            At::Rebooted { epoch, fence } => {
                if self.worker.takes(fence, compare) {
                    self.worker.draining = false;
                    At::Resumed { epoch }
                } else {
                    At::Over
                }
            }
            At::Resumed { epoch } => {
                self.append(who, Body::Finish(claim(epoch), Outcome::Done));
                At::Over
            }
            At::Over => At::Over,
        };
        assert!(self.worker.reboots <= 1, "the box was rebooted twice for one step");
    }

    fn key(&self) -> (Vec<u8>, Worker, [At; 2]) {
        (snapshot::encode(&self.fleet), self.worker.clone(), self.drivers)
    }
}

/// Visits every interleaving; returns how many distinct states there are.
fn explore(compare: bool) -> usize {
    let mut seen = HashSet::new();
    let mut stack = vec![start()];
    while let Some(world) = stack.pop() {
        if !seen.insert(world.key()) {
            continue;
        }
        for who in [0, 1] {
            if world.drivers[who] != At::Over {
                let mut next = world.clone();
                next.act(who, compare);
                stack.push(next);
            }
        }
    }
    seen.len()
}

#[test]
fn no_interleaving_reboots_a_box_twice_or_while_it_serves() {
    let states = explore(true);
    assert!(states > 50, "only {states} states were visited");
}

#[test]
fn the_check_finds_the_fault_when_fences_are_not_compared() {
    let found = std::panic::catch_unwind(|| explore(false));
    assert!(found.is_err(), "a model without fences must fail");
}
