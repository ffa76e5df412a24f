//! A model check of leases and takeovers: every interleaving of two drivers, either of which may pause anywhere,
//! against a box that compares fencing tokens.
//!
//! For one step each driver does: drive, permit, command drain, command reboot, command resume, finish. The next action
//! of a paused driver comes arbitrarily late, so all interleavings cover every pause. The box must reboot at most once
//! for the step, and never while it serves.

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
use spokelift_lib::state::record::Record;
use spokelift_lib::state::record::StepRef;
use spokelift_lib::state::snapshot;

const PLAN: u64 = 7;

/// The state that a box keeps by the worker protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Worker {
    fence: Offset,
    rebooted_for: Option<Offset>,
    reboots: u32,
    draining: bool,
}

impl Worker {
    /// Whether the box accepts a command; `compare` is `false` in the broken model, which ignores fencing tokens.
    fn accepts(&mut self, fence: Offset, compare: bool) -> bool {
        if compare && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }
}

/// The state of a driver, with what it has read, which may be outdated by the time it acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum DriverState {
    Start,
    Driving { epoch: u32 },
    Permitted { epoch: u32, permit: Offset, fence: Offset },
    Drained { epoch: u32, permit: Offset, fence: Offset },
    Rebooted { epoch: u32, fence: Offset },
    Resumed { epoch: u32 },
    Stopped,
}

#[derive(Clone)]
struct World {
    fleet: Fleet,
    worker: Worker,
    drivers: [DriverState; 2],
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
    World { fleet, worker, drivers: [DriverState::Start; 2], sequences: [0; 2] }
}

impl World {
    fn append(&mut self, driver: usize, body: Body) -> Option<Offset> {
        self.sequences[driver] += 1;
        let sequence = self.sequences[driver];
        let records = vec![Record { id: u128::from(sequence) + 1000 * (driver as u128 + 1), body }];
        let batch = Batch { writer: driver as u16, incarnation: 1, sequence, records };
        let verdict = self.fleet.apply(self.fleet.next, &batch).remove(0).1;
        verdict.ok()
    }

    fn target(&self) -> &str {
        &self.fleet.plans[&PLAN].steps[0].target
    }

    /// The fencing token as the product computes it: above every earlier epoch and change that the driver has read.
    fn fence(&self) -> Offset {
        let version = self.fleet.boxes[self.target()].version;
        version.max(self.fleet.plans[&PLAN].driver.fence)
    }

    /// Performs the next action of a driver. A driver that is refused stops, as in the product.
    fn act(&mut self, driver: usize, compare: bool) {
        let claim = |epoch| StepRef { plan: PLAN, epoch, step: 0 };
        self.drivers[driver] = match self.drivers[driver] {
            DriverState::Start => {
                let epoch = self.fleet.plans[&PLAN].driver.epoch + 1;
                let drive = Body::Drive { plan: PLAN, holder: driver as u16, epoch };
                match self.append(driver, drive) {
                    Some(_) => DriverState::Driving { epoch },
                    None => DriverState::Stopped,
                }
            }
            DriverState::Driving { epoch } => {
                let earlier_permit = self.fleet.plans[&PLAN].steps[0].progress.permit();
                let permit =
                    earlier_permit.or_else(|| self.append(driver, Body::Permit(claim(epoch))));
                let current = self.fleet.plans[&PLAN].driver.epoch == epoch;
                match permit {
                    Some(permit) if current => {
                        DriverState::Permitted { epoch, permit, fence: self.fence() }
                    }
                    _ => DriverState::Stopped,
                }
            }
            DriverState::Permitted { epoch, permit, fence } => {
                if self.worker.accepts(fence, compare) {
                    self.worker.draining = true;
                    DriverState::Drained { epoch, permit, fence }
                } else {
                    DriverState::Stopped
                }
            }
            DriverState::Drained { epoch, permit, fence } => {
                if self.worker.accepts(fence, compare) {
                    if self.worker.rebooted_for != Some(permit) || !compare {
                        assert!(self.worker.draining, "a box that serves was rebooted");
                        self.worker.rebooted_for = Some(permit);
                        self.worker.reboots += 1;
                    }
                    DriverState::Rebooted { epoch, fence }
                } else {
                    DriverState::Stopped
                }
            }
            DriverState::Rebooted { epoch, fence } => {
                if self.worker.accepts(fence, compare) {
                    self.worker.draining = false;
                    DriverState::Resumed { epoch }
                } else {
                    DriverState::Stopped
                }
            }
            DriverState::Resumed { epoch } => {
                self.append(driver, Body::Finish(claim(epoch), Outcome::Done));
                DriverState::Stopped
            }
            DriverState::Stopped => DriverState::Stopped,
        };
        assert!(self.worker.reboots <= 1, "the box was rebooted twice for one step");
    }

    fn key(&self) -> (Vec<u8>, Worker, [DriverState; 2]) {
        (snapshot::encode(&self.fleet), self.worker.clone(), self.drivers)
    }
}

/// Visits every interleaving; returns the number of distinct states.
fn explore(compare: bool) -> usize {
    let mut visited = HashSet::new();
    let mut stack = vec![start()];
    while let Some(world) = stack.pop() {
        if !visited.insert(world.key()) {
            continue;
        }
        for driver in [0, 1] {
            if world.drivers[driver] != DriverState::Stopped {
                let mut next = world.clone();
                next.act(driver, compare);
                stack.push(next);
            }
        }
    }
    visited.len()
}

#[test]
fn no_interleaving_reboots_a_box_twice_or_while_it_serves() {
    let states = explore(true);
    assert!(states > 50, "only {states} states were visited");
}

#[test]
fn the_check_fails_if_fencing_tokens_are_not_compared() {
    let found = std::panic::catch_unwind(|| explore(false));
    assert!(found.is_err(), "a model that ignores fencing tokens must fail");
}
